//! What fronts say that they hold of each tenant, and when the last session of a deleted one is over.
//!
//! A front that is cut off can't say what it holds, and goes on serving what it knew. So a tenant is buried only when
//! every front heard of within a stated time has just said that it knows of the deletion and holds nothing.

use crate::Millis;
use crate::model::TenantId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A report that is older says nothing of now.
const FRESH: Millis = 5_000;
/// Fronts and tenants of one report at most: what more would come is refused.
pub const MOST_FRONTS: usize = 1024;

/// At most so many tenants' sessions are asked for at once, and for so long after they were wished for.
const MOST_WISHES: usize = 64;
const WISHED: Millis = 10_000;

/// A session as its front tells of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub session: u64,
    pub class: String,
    pub title: String,
    /// Where it plays or is being set up, and at which rung.
    pub node: Option<u64>,
    pub rung: usize,
    pub plays: bool,
}

/// What one front tells.
#[derive(Clone, Debug, Deserialize)]
pub struct Told {
    pub front: u32,
    /// As of which change it serves.
    pub number: u64,
    pub held: BTreeMap<TenantId, u64>,
    /// Sessions of the tenants that were asked for, perhaps not all of them.
    #[serde(default)]
    pub sessions: BTreeMap<TenantId, Vec<Row>>,
}

struct Report {
    at: Millis,
    told: Told,
}

/// A front's part of a tenant's sessions.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Part {
    pub front: u32,
    pub age_ms: Millis,
    /// How many it holds; and those that it told of, nothing where it has not been asked yet.
    pub held: u64,
    pub sessions: Option<Vec<Row>>,
}

/// The fronts' reports.
pub struct Fronts {
    began: Millis,
    /// A front that has not been heard of for so long is taken for gone, and its sessions with it.
    forget: Millis,
    reports: BTreeMap<u32, Report>,
    /// Whose sessions are wished for, and since when.
    wishes: BTreeMap<TenantId, Millis>,
}

impl Fronts {
    /// `now`: since when reports are heard. Nothing is known of fronts that were heard before.
    pub fn new(now: Millis, forget: Millis) -> Fronts {
        Fronts {
            began: now,
            forget,
            reports: BTreeMap::new(),
            wishes: BTreeMap::new(),
        }
    }

    /// A front tells what it holds. Whose sessions it is to tell of with its next report; none: there are too many
    /// fronts.
    pub fn report(&mut self, now: Millis, told: Told) -> Option<Vec<TenantId>> {
        let forget = self.forget;
        self.reports
            .retain(|_, r| now.saturating_sub(r.at) < forget);
        self.wishes.retain(|_, at| now.saturating_sub(*at) < WISHED);
        if self.reports.len() >= MOST_FRONTS && !self.reports.contains_key(&told.front) {
            return None;
        }
        self.reports.insert(told.front, Report { at: now, told });
        Some(self.wishes.keys().cloned().collect())
    }

    /// A tenant's sessions as fronts told of them last. They are asked for from now on for a while: what is not there
    /// yet is a report or two later.
    pub fn sessions(&mut self, now: Millis, tenant: &TenantId) -> Vec<Part> {
        if self.wishes.len() < MOST_WISHES || self.wishes.contains_key(tenant) {
            self.wishes.insert(tenant.clone(), now);
        }
        let part = |r: &Report| Part {
            front: r.told.front,
            age_ms: now.saturating_sub(r.at),
            held: r.told.held.get(tenant).copied().unwrap_or(0),
            sessions: r.told.sessions.get(tenant).cloned(),
        };
        self.reports.values().map(part).collect()
    }

    /// Sessions of a tenant by front, as of the last reports; with how old each is.
    pub fn held(&self, now: Millis, tenant: &TenantId) -> Vec<(u32, u64, Millis)> {
        let row = |(front, r): (&u32, &Report)| {
            (
                *front,
                r.told.held.get(tenant).copied().unwrap_or(0),
                now.saturating_sub(r.at),
            )
        };
        self.reports.iter().map(row).collect()
    }

    /// Whether the last session of a tenant is over, as of this change: all fronts that may live say so.
    pub fn empty(&self, now: Millis, tenant: &TenantId, number: u64) -> bool {
        let lives = |r: &&Report| now.saturating_sub(r.at) < self.forget;
        let says = |r: &Report| {
            now.saturating_sub(r.at) < FRESH
                && r.told.number >= number
                && !r.told.held.contains_key(tenant)
        };
        now.saturating_sub(self.began) >= self.forget
            && self.reports.values().filter(lives).all(says)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_tenant_is_over_when_every_front_that_may_live_says_so() {
        let id = TenantId::try_from("a".to_string()).unwrap();
        let some = || BTreeMap::from([(id.clone(), 1)]);
        let told = |front, number, held| Told {
            front,
            number,
            held,
            sessions: BTreeMap::new(),
        };
        let mut fronts = Fronts::new(0, 60_000);
        assert!(
            !fronts.empty(1_000, &id, 1),
            "too early to know of any front"
        );
        fronts.report(70_000, told(1, 9, some()));
        fronts.report(70_000, told(2, 9, BTreeMap::new()));
        assert!(!fronts.empty(70_001, &id, 9), "one holds a session");
        fronts.report(71_000, told(1, 9, BTreeMap::new()));
        assert!(fronts.empty(71_001, &id, 9));
        assert!(
            !fronts.empty(71_001, &id, 10),
            "they don't know of the last change"
        );
        fronts.report(80_000, told(1, 10, BTreeMap::new()));
        assert!(
            !fronts.empty(80_001, &id, 10),
            "front 2 is silent: it may serve what it knew"
        );
        fronts.report(131_000, told(1, 10, BTreeMap::new()));
        assert!(fronts.empty(131_001, &id, 10), "until it is taken for gone");
        assert_eq!(fronts.held(131_001, &id), [(1, 0, 1)]);
    }

    #[test]
    fn sessions_are_asked_for_while_somebody_wishes_to_see_them() {
        let id = |name: &str| TenantId::try_from(name.to_string()).unwrap();
        let mut fronts = Fronts::new(0, 60_000);
        let told = |sessions| Told {
            front: 1,
            number: 9,
            held: BTreeMap::from([(id("a"), 1)]),
            sessions,
        };
        assert_eq!(fronts.report(1_000, told(BTreeMap::new())), Some(vec![]));
        assert_eq!(
            fronts.sessions(1_500, &id("a"))[0].sessions,
            None,
            "not asked for yet"
        );
        assert_eq!(
            fronts.report(2_000, told(BTreeMap::new())),
            Some(vec![id("a")])
        );
        let (class, title) = ("room".to_string(), "monday".to_string());
        let row = Row {
            session: 7,
            class,
            title,
            node: Some(3),
            rung: 1,
            plays: true,
        };
        fronts.report(3_000, told(BTreeMap::from([(id("a"), vec![row.clone()])])));
        let part = &fronts.sessions(3_400, &id("a"))[0];
        assert_eq!(
            (part.age_ms, part.held, &part.sessions),
            (400, 1, &Some(vec![row]))
        );
        assert_eq!(
            fronts.sessions(3_400, &id("b"))[0].sessions,
            None,
            "another's are not there"
        );
        assert_eq!(
            fronts.report(20_000, told(BTreeMap::new())),
            Some(vec![]),
            "nobody looks any more"
        );
    }
}
