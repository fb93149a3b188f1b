//! Which sessions are admitted when a director is short of capacity, so that no tenant starves another.
//!
//! A director can be short of two things: set-ups a second and sessions held. Of both each tenant has a quota, by its
//! share over the sum of all shares. What others leave unused goes to whoever wants it, but for a small reserve. A
//! tenant within its quota may use the reserve too, so one that comes back finds capacity at once, and from then on
//! every session that ends frees capacity for it first.
//!
//! A tenant that is rejected within its quota reserves capacity for each such request: what becomes free is kept for
//! it, beside the reserve, until it has been admitted as often or has not come for a while. So it has its quota when as
//! many sessions of others have ended: seconds where they come and go steadily, and at the worst the length of one,
//! since nobody's session is ended for another's.
//!
//! Cost of a request: look-ups, whatever the number of tenants, and a walk over those with reservations. Times are of
//! any clock that does not go back.

mod bucket;
mod budget;
mod rejection;

pub use budget::Capacity;
pub use rejection::{Rejection, RejectionCause};

use crate::tenant::TenantId;
use crate::terms::Limits;
use bucket::{EndRate, TokenBucket};
use budget::{DirectorBudget, SessionQuota, TenantBudget};
use shalewall::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// A reservation lasts so long after the tenant's last request.
const RESERVATION_LIFETIME: TimeDelta = TimeDelta::from_secs(30);

/// Sessions that are to be admitted for a tenant before those of others.
#[derive(Clone, Copy, Debug, Default)]
struct Reservation {
    last_request: Timestamp,
    sessions: usize,
}

/// The tenants' quotas of one director.
#[derive(Debug)]
pub struct TenantAdmission {
    director: DirectorBudget,
    tenants: BTreeMap<TenantId, TenantBudget>,
    /// The sum of the shares of all tenants that accept sessions.
    total_share: f64,
    reservations: BTreeMap<TenantId, Reservation>,
}

impl TenantAdmission {
    /// A director without tenants.
    pub fn new(capacity: Capacity, now: Timestamp) -> TenantAdmission {
        TenantAdmission {
            director: DirectorBudget {
                capacity,
                free_set_ups: TokenBucket::full(now, capacity.set_ups_per_s),
                held_sessions: 0,
                ends: EndRate::new(now),
            },
            tenants: BTreeMap::new(),
            total_share: 0.0,
            reservations: BTreeMap::new(),
        }
    }

    /// Sets a tenant's terms. What it holds it keeps, also above a quota that has become smaller: it gets nothing new
    /// until it is within it.
    pub fn set_tenant(&mut self, now: Timestamp, tenant: &TenantId, share: f64, limits: &Limits) {
        let is_new = !self.tenants.contains_key(tenant);
        let budget = self.tenants.entry(tenant.clone()).or_default();
        self.total_share += share - budget.effective_share();
        budget.accepts_sessions = true;
        budget.share = share;
        budget.limits = limits.clone();
        if is_new {
            let total_per_s = self.director.capacity.set_ups_per_s;
            let quota_per_s = total_per_s * share / self.total_share.max(share);
            budget.quota = TokenBucket::full(now, quota_per_s);
            budget.limit = TokenBucket::full(now, limits.set_ups_per_s.unwrap_or(0.0));
        }
    }

    /// A tenant accepts no more sessions. What it still holds counts until it has ended.
    pub fn remove_tenant(&mut self, tenant: &TenantId) {
        if let Some(budget) = self.tenants.get_mut(tenant) {
            self.total_share -= budget.effective_share();
            budget.accepts_sessions = false;
        }
        self.drop_if_empty(tenant);
    }

    /// Sessions that a tenant holds.
    pub fn held_sessions(&self, tenant: &TenantId) -> usize {
        self.tenants
            .get(tenant)
            .map_or(0, |budget| budget.held_sessions)
    }

    /// Sessions by tenant, of those that hold some.
    pub fn sessions_by_tenant(&self) -> impl Iterator<Item = (&TenantId, usize)> {
        self.tenants
            .iter()
            .filter(|(_, budget)| budget.held_sessions > 0)
            .map(|(tenant, budget)| (tenant, budget.held_sessions))
    }

    /// A tenant's quota of all sessions held.
    pub fn session_quota(&self, tenant: &TenantId) -> f64 {
        let share = self
            .tenants
            .get(tenant)
            .map_or(0.0, TenantBudget::effective_share);
        self.director.capacity.sessions * share / self.total_share.max(f64::MIN_POSITIVE)
    }

    /// Tenants that accept sessions or still hold some.
    pub fn tenant_count(&self) -> usize {
        self.tenants.len()
    }

    /// Decides on a request for a session. One that is admitted counts as a set-up, and as a session held until
    /// [`TenantAdmission::release`].
    pub fn admit(&mut self, now: Timestamp, tenant: &TenantId) -> Result<(), Rejection> {
        let quota = SessionQuota {
            sessions: self.session_quota(tenant),
            reserved_for_others: self.reserved_for_others(now, tenant),
        };
        let director = &mut self.director;
        let accepting = self.tenants.get_mut(tenant);
        let Some(budget) = accepting.filter(|budget| budget.accepts_sessions) else {
            return Err(Rejection::latest(RejectionCause::UnknownTenant));
        };
        let total_per_s = director.capacity.set_ups_per_s;
        let quota_per_s = total_per_s * budget.share / self.total_share.max(f64::MIN_POSITIVE);
        budget.quota.refill(now, quota_per_s);
        director.free_set_ups.refill(now, total_per_s);
        director.ends.touch(now);

        budget.check_limits(now)?;
        if let Err(rejection) = director.check_sessions(budget, &quota) {
            if budget.is_within_quota(&quota) {
                let reservation = self.reservations.entry(tenant.clone()).or_default();
                reservation.last_request = now;
                reservation.sessions += 1;
            }
            return Err(rejection);
        }
        director.check_set_ups(budget, quota_per_s)?;

        budget.use_set_up(quota_per_s);
        director.free_set_ups.level -= 1.0;
        director.held_sessions += 1;
        if let Some(reservation) = self.reservations.get_mut(tenant) {
            reservation.last_request = now;
            reservation.sessions = reservation.sessions.saturating_sub(1);
        }
        Ok(())
    }

    /// An admitted session is over, or its set-up has failed.
    pub fn release(&mut self, now: Timestamp, tenant: &TenantId) {
        let holding = self.tenants.get_mut(tenant);
        let Some(budget) = holding.filter(|budget| budget.held_sessions > 0) else {
            return;
        };
        budget.held_sessions -= 1;
        self.director.held_sessions -= 1;
        self.director.ends.record_end(now);
        self.drop_if_empty(tenant);
    }

    /// Sessions that are reserved for other tenants than this one.
    fn reserved_for_others(&mut self, now: Timestamp, tenant: &TenantId) -> f64 {
        if self.reservations.is_empty() {
            return 0.0;
        }
        self.reservations.retain(|_, reservation| {
            reservation.sessions > 0 && now - reservation.last_request < RESERVATION_LIFETIME
        });
        self.reservations
            .iter()
            .filter(|(other, _)| *other != tenant)
            .map(|(other, reservation)| {
                let left = self.session_quota(other) - self.held_sessions(other) as f64;
                left.clamp(0.0, reservation.sessions as f64)
            })
            .sum()
    }

    fn drop_if_empty(&mut self, tenant: &TenantId) {
        let is_empty = self
            .tenants
            .get(tenant)
            .is_some_and(|budget| !budget.accepts_sessions && budget.held_sessions == 0);
        if is_empty {
            self.tenants.remove(tenant);
        }
    }
}
