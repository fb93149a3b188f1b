//! Admission of sessions when a director is short of capacity, so that no tenant starves another.
//!
//! A director has two limited resources: set-ups per second and held sessions. Each tenant has a quota of both, in
//! proportion to its share of the sum of all shares. Unused capacity of other tenants is available to all, except for a
//! small reserve that only tenants within their quota may use. So a tenant that becomes active again finds capacity at
//! once, and from then on each session that ends frees capacity for it first.
//!
//! For each request of a tenant that is rejected within its quota, one session is reserved for the tenant, in addition
//! to the reserve. Reservations are used by later admissions, or expire when the tenant sends no requests for a while.
//! Thus a tenant reaches its quota when enough sessions of others have ended: within seconds if sessions start and end
//! steadily, and at the worst after the length of one session, since no session is ended in favour of another tenant.
//!
//! The cost of a request is a few look-ups, independent of the number of tenants, plus an iteration over the tenants
//! with reservations. Times are those of any monotonic clock.

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

/// How long reservations last after the tenant's last request.
const RESERVATION_LIFETIME: TimeDelta = TimeDelta::from_secs(30);

/// Capacity that is reserved for a tenant ahead of others.
#[derive(Clone, Copy, Debug, Default)]
struct Reservation {
    last_request: Timestamp,
    sessions: usize,
}

/// Admission control of one director, with the quotas of its tenants.
#[derive(Debug)]
pub struct TenantAdmission {
    director: DirectorBudget,
    tenants: BTreeMap<TenantId, TenantBudget>,
    /// The sum of the shares of all tenants that accept sessions.
    total_share: f64,
    reservations: BTreeMap<TenantId, Reservation>,
}

impl TenantAdmission {
    /// Creates the admission control of a director without tenants.
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

    /// Sets a tenant's share and limits. Its sessions are kept even if they exceed a reduced quota; then new ones are
    /// admitted as for any tenant above its quota.
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

    /// Stops admitting sessions of a tenant. Its sessions count until they have ended.
    pub fn remove_tenant(&mut self, tenant: &TenantId) {
        if let Some(budget) = self.tenants.get_mut(tenant) {
            self.total_share -= budget.effective_share();
            budget.accepts_sessions = false;
        }
        self.drop_if_empty(tenant);
    }

    /// Number of sessions that a tenant holds.
    pub fn held_sessions(&self, tenant: &TenantId) -> usize {
        self.tenants
            .get(tenant)
            .map_or(0, |budget| budget.held_sessions)
    }

    /// The tenants that hold sessions, with their numbers of sessions.
    pub fn sessions_by_tenant(&self) -> impl Iterator<Item = (&TenantId, usize)> {
        self.tenants
            .iter()
            .filter(|(_, budget)| budget.held_sessions > 0)
            .map(|(tenant, budget)| (tenant, budget.held_sessions))
    }

    /// A tenant's quota of the sessions that the director can hold.
    pub fn session_quota(&self, tenant: &TenantId) -> f64 {
        let share = self
            .tenants
            .get(tenant)
            .map_or(0.0, TenantBudget::effective_share);
        self.director.capacity.sessions * share / self.total_share.max(f64::MIN_POSITIVE)
    }

    /// Number of tenants that accept sessions or still hold some.
    pub fn tenant_count(&self) -> usize {
        self.tenants.len()
    }

    /// Decides on a request for a session. If it is admitted, it counts as one set-up, and as a held session until
    /// [`TenantAdmission::release`] is called.
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

    /// Releases an admitted session that is over or whose set-up has failed.
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

    /// Number of sessions that are reserved for other tenants.
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
