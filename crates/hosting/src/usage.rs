//! What fronts say that they hold of each tenant, and when the last session of a deleted one is over.
//!
//! A front that is cut off can't say what it holds, and goes on serving what it knew. So a tenant is buried only when
//! every front heard of within a stated time has just said that it knows of the deletion and holds nothing.

use crate::Millis;
use crate::model::TenantId;
use std::collections::BTreeMap;

/// A report that is older says nothing of now.
const FRESH: Millis = 5_000;
/// Fronts and tenants of one report at most: what more would come is refused.
pub const MOST_FRONTS: usize = 1024;

struct Report {
    at: Millis,
    number: u64,
    held: BTreeMap<TenantId, u64>,
}

/// The fronts' reports.
pub struct Fronts {
    began: Millis,
    /// A front that has not been heard of for so long is taken for gone, and its sessions with it.
    forget: Millis,
    reports: BTreeMap<u32, Report>,
}

impl Fronts {
    /// `now`: since when reports are heard. Nothing is known of fronts that were heard before.
    pub fn new(now: Millis, forget: Millis) -> Fronts {
        Fronts { began: now, forget, reports: BTreeMap::new() }
    }

    /// A front tells as of which change it serves, and what it holds. False: there are too many fronts.
    pub fn report(&mut self, now: Millis, front: u32, number: u64, held: BTreeMap<TenantId, u64>) -> bool {
        let forget = self.forget;
        self.reports.retain(|_, r| now.saturating_sub(r.at) < forget);
        let fits = self.reports.len() < MOST_FRONTS || self.reports.contains_key(&front);
        if fits {
            self.reports.insert(front, Report { at: now, number, held });
        }
        fits
    }

    /// Sessions of a tenant by front, as of the last reports; with how old each is.
    pub fn held(&self, now: Millis, tenant: &TenantId) -> Vec<(u32, u64, Millis)> {
        let row = |(front, r): (&u32, &Report)| {
            (*front, r.held.get(tenant).copied().unwrap_or(0), now.saturating_sub(r.at))
        };
        self.reports.iter().map(row).collect()
    }

    /// Whether the last session of a tenant is over, as of this change: all fronts that may live say so.
    pub fn empty(&self, now: Millis, tenant: &TenantId, number: u64) -> bool {
        let lives = |r: &&Report| now.saturating_sub(r.at) < self.forget;
        let says = |r: &Report| {
            now.saturating_sub(r.at) < FRESH && r.number >= number && !r.held.contains_key(tenant)
        };
        now.saturating_sub(self.began) >= self.forget && self.reports.values().filter(lives).all(says)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_tenant_is_over_when_every_front_that_may_live_says_so() {
        let id = TenantId::try_from("a".to_string()).unwrap();
        let some = || BTreeMap::from([(id.clone(), 1)]);
        let mut fronts = Fronts::new(0, 60_000);
        assert!(!fronts.empty(1_000, &id, 1), "too early to know of any front");
        fronts.report(70_000, 1, 9, some());
        fronts.report(70_000, 2, 9, BTreeMap::new());
        assert!(!fronts.empty(70_001, &id, 9), "one holds a session");
        fronts.report(71_000, 1, 9, BTreeMap::new());
        assert!(fronts.empty(71_001, &id, 9));
        assert!(!fronts.empty(71_001, &id, 10), "they don't know of the last change");
        fronts.report(80_000, 1, 10, BTreeMap::new());
        assert!(!fronts.empty(80_001, &id, 10), "front 2 is silent: it may serve what it knew");
        fronts.report(131_000, 1, 10, BTreeMap::new());
        assert!(fronts.empty(131_001, &id, 10), "until it is taken for gone");
        assert_eq!(fronts.held(131_001, &id), [(1, 0, 1)]);
    }
}
