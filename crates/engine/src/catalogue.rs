//! The classes, titles and tenants that viewers may name in requests, and their numbers in the decision module.
//!
//! Tenants are added, changed and removed while sessions play. A number keeps its meaning as long as a session refers
//! to it. Classes with equal settings share a number, so that a thousand tenants with the usual terms cost the
//! decision module one class. A class whose settings change gets a new number: existing sessions keep the settings
//! that they were set up with, and a set-up in flight that must not be executed twice keeps this property.

mod number_pool;

use crate::config::{Config, TitlePlacement};
use crate::input::TenantTerms;
use number_pool::NumberPool;
use shalewall::{ClassSettings, ServerId, TenantSettings, TimeDelta, TitleId};
use std::collections::BTreeMap;
use std::mem::take;
use xxhash_rust::xxh3::xxh3_64;

/// A class that viewers may name in requests.
#[derive(Clone, Copy)]
struct Class {
    number: usize,
    max_wait: TimeDelta,
}

/// The names that one tenant's viewers may use.
#[derive(Default)]
struct Tenant {
    number: usize,
    accepts_requests: bool,
    /// If empty, the site's classes apply.
    classes: BTreeMap<String, Class>,
    titles: BTreeMap<String, TitlePlacement>,
    nodes: Vec<ServerId>,
    fleet: u32,
}

/// The numbers and terms that the names in a viewer's request resolve to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResolvedNames {
    /// Number of the class.
    pub class: usize,
    /// The maximum time that viewers of the class wait for an answer.
    pub max_wait: TimeDelta,
    /// Identifies the title, together with the class and the namespace of its tenant.
    pub title: TitleId,
    /// The cells that hold the title.
    pub placement: TitlePlacement,
    /// Number of the tenant.
    pub tenant: Option<usize>,
    /// The fleet whose nodes the session may use; 0 is the shared fleet.
    pub fleet: u32,
}

/// The kind of name that could not be resolved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownName {
    /// There is no such tenant, or it accepts no new sessions.
    Tenant,
    /// There is no such class.
    Class,
    /// There is no such title.
    Title,
}

impl UnknownName {
    /// The kind, as the answer to the viewer names it.
    pub fn kind(self) -> &'static str {
        match self {
            UnknownName::Tenant => "tenant",
            UnknownName::Class => "class",
            UnknownName::Title => "title",
        }
    }
}

/// All names and their numbers.
pub struct Catalogue {
    classes: NumberPool<ClassSettings>,
    /// Each tenant's weight. The fraction of the fleet that it stands for depends on the sum of all weights.
    quotas: NumberPool<f64>,
    /// Request quotas of the settings' tenants, by number.
    request_quotas_per_s: Vec<f64>,
    site: Tenant,
    tenants: BTreeMap<String, Tenant>,
    /// The fleets of nodes that are dedicated to tenants.
    fleets: BTreeMap<ServerId, u32>,
}

impl Catalogue {
    /// Moves the names out of the configuration: from now on the catalogue is their only owner.
    pub fn new(config: &mut Config) -> Catalogue {
        let classes = take(&mut config.classes).into_iter().enumerate();
        let classes = classes.map(|(number, class)| {
            let max_wait = class.max_wait;
            (class.name, Class { number, max_wait })
        });
        let site = Tenant {
            accepts_requests: true,
            classes: classes.collect(),
            titles: take(&mut config.titles),
            ..Tenant::default()
        };
        let tenants = take(&mut config.tenants).into_iter().enumerate();
        let tenants = tenants.map(|(number, name)| {
            let tenant = Tenant {
                number,
                accepts_requests: true,
                ..Tenant::default()
            };
            (name, tenant)
        });
        let tenant_settings = &config.settings.tenants;
        Catalogue {
            // The settings keep a reference to these numbers, so they are never reused.
            classes: NumberPool::new(config.settings.classes.iter().copied()),
            quotas: NumberPool::new(tenant_settings.iter().map(|tenant| tenant.fleet_quota)),
            request_quotas_per_s: tenant_settings
                .iter()
                .map(|tenant| tenant.request_quota_per_s)
                .collect(),
            site,
            tenants: tenants.collect(),
            fleets: BTreeMap::new(),
        }
    }

    /// Resolves the names in a viewer's request.
    pub fn resolve(
        &self,
        tenant: Option<&str>,
        class: &str,
        title: &str,
    ) -> Result<ResolvedNames, UnknownName> {
        let owner = tenant.map(|name| self.accepting(name)).transpose()?;
        let own_classes = owner.filter(|tenant| !tenant.classes.is_empty());
        let own_titles = owner.filter(|tenant| !tenant.titles.is_empty());
        let classes = &own_classes.unwrap_or(&self.site).classes;
        let titles = &own_titles.unwrap_or(&self.site).titles;
        let found_class = *classes.get(class).ok_or(UnknownName::Class)?;
        let placement = *titles.get(title).ok_or(UnknownName::Title)?;
        // Session limits apply per title and class. Tenants with classes or titles of their own have a separate
        // namespace, so that they share no limit with others.
        let has_own_names = own_classes.is_some() || own_titles.is_some();
        let namespace = tenant.filter(|_| has_own_names).unwrap_or("");
        let title = format!("{namespace}\n{class}\n{title}");
        Ok(ResolvedNames {
            class: found_class.number,
            max_wait: found_class.max_wait,
            title: TitleId(xxh3_64(title.as_bytes())),
            placement,
            tenant: owner.map(|tenant| tenant.number),
            fleet: owner.map_or(0, |tenant| tenant.fleet),
        })
    }

    fn accepting(&self, name: &str) -> Result<&Tenant, UnknownName> {
        let tenant = self.tenants.get(name);
        let accepting = tenant.filter(|tenant| tenant.accepts_requests);
        accepting.ok_or(UnknownName::Tenant)
    }

    /// Adds a reference to the numbers of a session's class and tenant.
    pub fn acquire(&mut self, class: usize, tenant: Option<usize>) {
        self.classes.acquire(class);
        if let Some(tenant) = tenant {
            self.quotas.acquire(tenant);
        }
    }

    /// Releases the references of a session that is over.
    pub fn release(&mut self, class: usize, tenant: Option<usize>) {
        self.classes.release(class);
        if let Some(tenant) = tenant {
            self.quotas.release(tenant);
        }
    }

    /// Sets a tenant's terms, or removes the tenant if `terms` is `None`. Its sessions keep their numbers.
    pub fn set_terms(&mut self, name: &str, terms: Option<TenantTerms>) {
        let before = self.tenants.remove(name);
        let number = before.as_ref().map(|tenant| tenant.number);
        match (terms, number) {
            (Some(terms), _) => self.add_tenant(name, number, terms),
            (None, Some(number)) => {
                self.quotas.release(number);
                self.quotas.set(number, 0.0);
            }
            (None, None) => {}
        }
        // Released after the new ones are acquired, so that unchanged classes keep their numbers.
        for class in before.iter().flat_map(|tenant| tenant.classes.values()) {
            self.classes.release(class.number);
        }
    }

    fn add_tenant(&mut self, name: &str, number: Option<usize>, terms: TenantTerms) {
        let number = number.unwrap_or_else(|| self.quotas.allocate(0.0));
        self.quotas.set(number, terms.quota.unwrap_or(0.0));
        let classes = terms.classes.into_iter().map(|(name, class)| {
            let number = self.classes.allocate_shared(class.settings);
            let max_wait = class.max_wait;
            (name, Class { number, max_wait })
        });
        let tenant = Tenant {
            number,
            accepts_requests: terms.quota.is_some(),
            classes: classes.collect(),
            titles: terms.titles,
            nodes: terms.nodes,
            fleet: 0,
        };
        self.tenants.insert(name.to_string(), tenant);
    }

    /// Recomputes the fleets, and returns the nodes whose fleet has changed. Tenants with the same set of nodes share a
    /// fleet. Otherwise, a node that several tenants name belongs to the first of them in the order of their names, so
    /// the result does not depend on the order of updates.
    pub fn assign_fleets(&mut self) -> Vec<ServerId> {
        let before = take(&mut self.fleets);
        let mut fleet_by_nodes: BTreeMap<Vec<ServerId>, u32> = BTreeMap::new();
        for tenant in self.tenants.values_mut() {
            tenant.fleet = 0;
            if tenant.nodes.is_empty() {
                continue;
            }
            let mut nodes = tenant.nodes.clone();
            nodes.sort_unstable();
            let next = fleet_by_nodes.len() as u32 + 1;
            tenant.fleet = *fleet_by_nodes.entry(nodes).or_insert(next);
            for node in &tenant.nodes {
                self.fleets.entry(*node).or_insert(tenant.fleet);
            }
        }
        let nodes = before.keys().chain(self.fleets.keys());
        let changed = nodes.filter(|node| before.get(node) != self.fleets.get(node));
        let mut changed: Vec<_> = changed.copied().collect();
        changed.sort_unstable();
        changed.dedup();
        changed
    }

    /// The fleet of a node; 0 is the shared fleet.
    pub fn fleet(&self, server: ServerId) -> u32 {
        self.fleets.get(&server).copied().unwrap_or(0)
    }

    /// The classes in the order of their numbers, for the decision module.
    pub fn classes(&self) -> Vec<ClassSettings> {
        self.classes.values().collect()
    }

    /// The tenants in the order of their numbers, for the decision module, with each weight as a fraction of the sum.
    pub fn tenants(&self) -> Vec<TenantSettings> {
        let total: f64 = self.quotas.values().sum();
        let fraction = |quota: f64| if total > 0.0 { quota / total } else { 0.0 };
        let request_quota = |number: usize| self.request_quotas_per_s.get(number).copied();
        let quotas = self.quotas.values().enumerate();
        quotas
            .map(|(number, quota)| TenantSettings {
                request_quota_per_s: request_quota(number).unwrap_or(0.0),
                fleet_quota: fraction(quota),
            })
            .collect()
    }
}
