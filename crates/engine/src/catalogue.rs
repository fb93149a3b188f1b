//! Names to indices: the classes, titles and tenants that viewers may name, as they are now. Tenants come, change
//! and go while sessions play; the module knows numbers, which mean the same as long as a session holds them.
//!
//! Classes with equal terms share a number, so that a thousand tenants on the usual terms cost the module one
//! class. A class whose terms change gets another number: what plays keeps the terms that it was set up on, and a
//! paid set-up that is out stays paid.

use crate::config::{Config, NamedClass, TitlePlacement};
use crate::input::TenantTerms;
use shalewall::{ClassSettings, Micros, ServerId, TenantSettings, TitleId};
use std::collections::BTreeMap;
use std::mem::take;
use xxhash_rust::xxh3::xxh3_64;

/// Numbers that are handed out, and taken back when nothing holds them.
#[derive(Default)]
struct Numbers<T>(Vec<(T, usize)>);

impl<T: PartialEq + Copy> Numbers<T> {
    /// A number of its own, by the smallest that is free.
    fn new_one(&mut self, what: T) -> usize {
        match self.0.iter().position(|(_, holders)| *holders == 0) {
            Some(free) => {
                self.0[free] = (what, 1);
                free
            }
            None => {
                self.0.push((what, 1));
                self.0.len() - 1
            }
        }
    }

    /// The number of an equal one, or a new one.
    fn shared(&mut self, what: T) -> usize {
        match self
            .0
            .iter()
            .position(|(same, holders)| *holders > 0 && *same == what)
        {
            Some(number) => {
                self.hold(number);
                number
            }
            None => self.new_one(what),
        }
    }

    fn hold(&mut self, number: usize) {
        self.0[number].1 += 1;
    }

    fn release(&mut self, number: usize) {
        self.0[number].1 = self.0[number].1.saturating_sub(1);
    }

    fn all(&self) -> impl Iterator<Item = T> {
        self.0.iter().map(|(what, _)| *what)
    }
}

/// What one tenant's viewers may name.
#[derive(Default)]
struct Tenant {
    number: usize,
    takes: bool,
    /// Number and longest wait of each class; without any, the site's are its own.
    classes: BTreeMap<String, (usize, Micros)>,
    titles: BTreeMap<String, TitlePlacement>,
    nodes: Vec<ServerId>,
    fleet: u32,
}

/// What a viewer's names stand for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Found {
    pub class: usize,
    pub give_up: Micros,
    pub title: TitleId,
    pub place: TitlePlacement,
    pub tenant: Option<usize>,
    pub fleet: u32,
}

/// What there is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Missing {
    Tenant,
    Class,
    Title,
}

pub(crate) struct Catalogue {
    classes: Numbers<ClassSettings>,
    /// Each tenant's share; what it comes to as a part depends on the others'.
    shares: Numbers<f64>,
    allowances: Vec<f64>,
    site: Tenant,
    tenants: BTreeMap<String, Tenant>,
    /// Fleets of nodes that are a tenant's own.
    fleets: BTreeMap<ServerId, u32>,
}

impl Catalogue {
    /// Takes the names out of the settings: from here on they are known here alone.
    pub fn new(config: &mut Config) -> Catalogue {
        let (classes, tenants) = (take(&mut config.classes), take(&mut config.tenants));
        let number = |(number, class): (usize, NamedClass)| (class.name, (number, class.max_wait));
        let site = Tenant {
            takes: true,
            classes: classes.into_iter().enumerate().map(number).collect(),
            titles: take(&mut config.titles),
            ..Tenant::default()
        };
        let (terms, told) = (&config.settings.classes, &config.settings.tenants);
        let tenant = |(number, name): (usize, String)| {
            (
                name,
                Tenant {
                    number,
                    takes: true,
                    ..Tenant::default()
                },
            )
        };
        Catalogue {
            // Held by the settings: never given to others.
            classes: Numbers(terms.iter().map(|t| (*t, 1)).collect()),
            shares: Numbers(told.iter().map(|t| (t.fleet_quota, 1)).collect()),
            allowances: told.iter().map(|t| t.request_quota_per_s).collect(),
            site,
            tenants: tenants.into_iter().enumerate().map(tenant).collect(),
            fleets: BTreeMap::new(),
        }
    }

    /// What a viewer's names stand for.
    pub fn find(&self, tenant: Option<&str>, class: &str, title: &str) -> Result<Found, Missing> {
        let of = match tenant {
            None => None,
            Some(name) => Some(
                self.tenants
                    .get(name)
                    .filter(|t| t.takes)
                    .ok_or(Missing::Tenant)?,
            ),
        };
        let own_classes = of.filter(|t| !t.classes.is_empty());
        let own_titles = of.filter(|t| !t.titles.is_empty());
        let classes = &own_classes.unwrap_or(&self.site).classes;
        let (class_number, give_up) = *classes.get(class).ok_or(Missing::Class)?;
        let place = *own_titles
            .unwrap_or(&self.site)
            .titles
            .get(title)
            .ok_or(Missing::Title)?;
        // Seats go by title and class; of tenants that have classes or titles of their own nothing is in common.
        let owner = if own_classes.is_some() || own_titles.is_some() {
            tenant
        } else {
            None
        };
        let title = TitleId(xxh3_64(
            format!("{}\n{class}\n{title}", owner.unwrap_or("")).as_bytes(),
        ));
        let (tenant, fleet) = (of.map(|t| t.number), of.map_or(0, |t| t.fleet));
        Ok(Found {
            class: class_number,
            give_up,
            title,
            place,
            tenant,
            fleet,
        })
    }

    /// A session that names these numbers is under way.
    pub fn hold(&mut self, class: usize, tenant: Option<usize>) {
        self.classes.hold(class);
        tenant.into_iter().for_each(|t| self.shares.hold(t));
    }

    pub fn release(&mut self, class: usize, tenant: Option<usize>) {
        self.classes.release(class);
        tenant.into_iter().for_each(|t| self.shares.release(t));
    }

    /// What is agreed with a tenant from now on; nothing: it is gone. Its sessions keep what they hold.
    pub fn agree(&mut self, name: &str, agreed: Option<TenantTerms>) {
        let before = self.tenants.remove(name);
        if let Some(agreed) = agreed {
            let number = before
                .as_ref()
                .map_or_else(|| self.shares.new_one(0.0), |t| t.number);
            self.shares.0[number].0 = agreed.quota.unwrap_or(0.0);
            let classes = agreed.classes.into_iter();
            let classes = classes
                .map(|(name, terms)| (name, (self.classes.shared(terms.settings), terms.max_wait)));
            let tenant = Tenant {
                number,
                takes: agreed.quota.is_some(),
                classes: classes.collect(),
                titles: agreed.titles,
                nodes: agreed.nodes,
                fleet: 0,
            };
            self.tenants.insert(name.to_string(), tenant);
        } else if let Some(before) = &before {
            self.shares.release(before.number);
            self.shares.0[before.number].0 = 0.0;
        }
        // After the new ones, so that what did not change keeps its number.
        before
            .into_iter()
            .flat_map(|t| t.classes)
            .for_each(|(_, (class, _))| self.classes.release(class));
    }

    /// Lays out the fleets anew; the servers whose fleet has changed. A node that several tenants name is the
    /// first one's by name, whatever the order in which a front heard of them, unless all name the same nodes.
    pub fn lay_out(&mut self) -> Vec<ServerId> {
        let before = take(&mut self.fleets);
        let mut same: BTreeMap<Vec<ServerId>, u32> = BTreeMap::new();
        for tenant in self.tenants.values_mut() {
            tenant.fleet = 0;
            if tenant.nodes.is_empty() {
                continue;
            }
            let mut nodes = tenant.nodes.clone();
            nodes.sort_unstable();
            let next = same.len() as u32 + 1;
            tenant.fleet = *same.entry(nodes).or_insert(next);
            for node in &tenant.nodes {
                self.fleets.entry(*node).or_insert(tenant.fleet);
            }
        }
        let changed = |s: &&ServerId| before.get(s) != self.fleets.get(s);
        let mut changed: Vec<_> = before
            .keys()
            .chain(self.fleets.keys())
            .filter(changed)
            .copied()
            .collect();
        changed.sort_unstable();
        changed.dedup();
        changed
    }

    /// The fleet that a server is for; 0: the one that all share.
    pub fn fleet(&self, server: ServerId) -> u32 {
        self.fleets.get(&server).copied().unwrap_or(0)
    }

    /// Classes by number, as the module wants them.
    pub fn classes(&self) -> Vec<ClassSettings> {
        self.classes.all().collect()
    }

    /// Tenants by number: each share over the sum of all.
    pub fn tenants(&self) -> Vec<TenantSettings> {
        let all: f64 = self.shares.all().sum();
        let part = |share: f64| if all > 0.0 { share / all } else { 0.0 };
        let allowance = |number: usize| self.allowances.get(number).copied().unwrap_or(0.0);
        let tenants = self.shares.all().enumerate();
        tenants
            .map(|(number, share)| TenantSettings {
                request_quota_per_s: allowance(number),
                fleet_quota: part(share),
            })
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn agreed(share: f64, worth: f64, nodes: &[u64]) -> TenantTerms {
        let terms = ClassSettings {
            priority_weight: worth,
            ..ClassSettings::default()
        };
        TenantTerms {
            quota: Some(share),
            classes: [(
                "room".to_string(),
                crate::input::ClassTerms {
                    settings: terms,
                    max_wait: 5,
                },
            )]
            .into(),
            titles: [(
                "monday".to_string(),
                TitlePlacement {
                    first_cell: 1,
                    replica_cells: 2,
                },
            )]
            .into(),
            nodes: nodes.iter().map(|n| ServerId(*n)).collect(),
        }
    }

    fn find(c: &Catalogue, tenant: &str) -> Found {
        c.find(Some(tenant), "room", "monday").expect("it is there")
    }

    #[test]
    fn equal_terms_share_a_number_and_held_ones_are_never_given_to_others() {
        let mut c = Catalogue::new(&mut Config::default());
        c.agree("a", Some(agreed(1.0, 2.0, &[])));
        c.agree("b", Some(agreed(3.0, 2.0, &[])));
        let (a, b) = (find(&c, "a"), find(&c, "b"));
        assert_eq!((a.class, a.tenant), (b.class, Some(0)));
        assert_ne!(
            a.title, b.title,
            "titles of two tenants have nothing in common"
        );
        assert_eq!(
            c.tenants()
                .iter()
                .map(|t| t.fleet_quota)
                .collect::<Vec<_>>(),
            [0.25, 0.75]
        );

        // A session of a plays on the old terms while they change, and while a is gone.
        c.hold(a.class, a.tenant);
        c.agree("a", Some(agreed(1.0, 9.0, &[])));
        assert_ne!(find(&c, "a").class, a.class);
        assert_eq!(find(&c, "a").title, a.title, "seats go on");
        c.agree("a", None);
        c.agree("b", None);
        c.agree("c", Some(agreed(1.0, 7.0, &[])));
        let other = find(&c, "c");
        assert_ne!((other.class, other.tenant), (a.class, a.tenant));
        assert!(other.class != a.class && other.tenant != a.tenant);
        assert_eq!(c.classes()[a.class].priority_weight, 2.0);
        // Over: the numbers are free again, and a thousand changes need no more of them.
        c.release(a.class, a.tenant);
        for i in 0..1000 {
            c.agree("d", Some(agreed(1.0, 100.0 + f64::from(i), &[])));
        }
        assert!(c.classes().len() <= 4, "{}", c.classes().len());
        assert!(c.tenants().len() <= 3, "{}", c.tenants().len());
    }

    #[test]
    fn fleets_do_not_depend_on_the_order_of_news() {
        let tenants = [
            ("a", vec![1, 2]),
            ("b", vec![2, 3]),
            ("c", vec![2, 1]),
            ("d", vec![]),
        ];
        let lay = |order: &[usize]| {
            let mut c = Catalogue::new(&mut Config::default());
            order
                .iter()
                .for_each(|i| c.agree(tenants[*i].0, Some(agreed(1.0, 1.0, &tenants[*i].1))));
            c.lay_out();
            let of = ["a", "b", "c", "d"].map(|t| find(&c, t).fleet);
            (of, [1, 2, 3, 4].map(|n| c.fleet(ServerId(n))))
        };
        assert_eq!(lay(&[0, 1, 2, 3]), ([1, 2, 1, 0], [1, 1, 2, 0]));
        assert_eq!(lay(&[3, 2, 1, 0]), lay(&[0, 1, 2, 3]));
    }
}
