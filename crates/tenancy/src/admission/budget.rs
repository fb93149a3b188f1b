//! The capacity of a director, the usage of one tenant, and the checks of one against the other.

use super::bucket::{EndRate, TokenBucket, burst_size};
use super::{Rejection, RejectionCause};
use crate::terms::Limits;
use shalewall::Timestamp;

/// Fraction of the director's capacity that only tenants within their quota may use.
const RESERVE_FRACTION: f64 = 0.05;
/// Maximum set-up debt of a tenant beyond its quota, in seconds of its quota.
const MAX_DEBT_S: f64 = 8.0;
/// Additional headroom that has to be free for a tenant with the maximum debt, as a fraction of the director's burst.
const DEBT_HEADROOM_FRACTION: f64 = 0.5;
/// Retry-After for a tenant at its own session limit, seconds: a quarter of the longest Retry-After.
const SESSION_LIMIT_RETRY_S: f64 = 15.0;
/// Retry-After if no session has ended recently, seconds.
const UNKNOWN_RETRY_S: f64 = 1.0;
/// Prevents a division by a rate of zero.
const MIN_RATE_PER_S: f64 = 1e-6;

/// The capacity of a director.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Set-ups per second.
    pub set_ups_per_s: f64,
    /// Number of concurrent sessions.
    pub sessions: f64,
}

/// The capacity and usage of a director.
#[derive(Debug)]
pub(super) struct DirectorBudget {
    pub capacity: Capacity,
    /// Set-ups that are still available.
    pub free_set_ups: TokenBucket,
    pub held_sessions: usize,
    pub ends: EndRate,
}

/// The limits and usage of one tenant.
#[derive(Clone, Debug, Default)]
pub(super) struct TenantBudget {
    pub accepts_sessions: bool,
    pub share: f64,
    pub limits: Limits,
    /// Set-ups left in its quota.
    pub quota: TokenBucket,
    /// Set-ups left in its own limit.
    pub limit: TokenBucket,
    pub held_sessions: usize,
}

/// The session quota of a tenant at the time of a request.
pub(super) struct SessionQuota {
    /// The tenant's quota.
    pub sessions: f64,
    /// Sessions that are reserved for other tenants.
    pub reserved_for_others: f64,
}

impl TenantBudget {
    /// The share that counts towards the sum of all shares.
    pub fn effective_share(&self) -> f64 {
        if self.accepts_sessions {
            self.share
        } else {
            0.0
        }
    }

    /// Whether one more session is within its quota. Quotas are rounded down, so that their sum does not exceed the
    /// capacity.
    pub fn is_within_quota(&self, quota: &SessionQuota) -> bool {
        self.held_sessions as f64 + 1.0 <= quota.sessions.max(1.0)
    }

    /// Checks the tenant's own limits, which apply even if there is free capacity.
    pub fn check_limits(&mut self, now: Timestamp) -> Result<(), Rejection> {
        if let Some(limit_per_s) = self.limits.set_ups_per_s {
            self.limit.refill(now, limit_per_s);
            let missing = 1.0 - self.limit.level;
            if self.limit.level < 1.0 {
                let wait_s = missing / limit_per_s.max(MIN_RATE_PER_S);
                return Err(Rejection::after_s(RejectionCause::TenantSetUpLimit, wait_s));
            }
        }
        let limit = self.limits.sessions;
        if limit.is_some_and(|limit| self.held_sessions >= limit as usize) {
            let cause = RejectionCause::TenantSessionLimit;
            return Err(Rejection::after_s(cause, SESSION_LIMIT_RETRY_S));
        }
        Ok(())
    }

    /// Its debt as a fraction of the maximum.
    fn debt_fraction(&self, quota_per_s: f64) -> f64 {
        (-self.quota.level / max_debt(quota_per_s)).clamp(0.0, 1.0)
    }

    /// Counts an admitted session.
    pub fn use_set_up(&mut self, quota_per_s: f64) {
        self.quota.level = (self.quota.level - 1.0).max(-max_debt(quota_per_s));
        self.limit.level -= 1.0;
        self.held_sessions += 1;
    }
}

fn max_debt(quota_per_s: f64) -> f64 {
    (quota_per_s * MAX_DEBT_S).max(1.0)
}

impl DirectorBudget {
    /// Checks the held sessions: a tenant beyond its quota can't use the reserve or what is reserved for others.
    pub fn check_sessions(
        &self,
        tenant: &TenantBudget,
        quota: &SessionQuota,
    ) -> Result<(), Rejection> {
        let limit = if tenant.is_within_quota(quota) {
            self.capacity.sessions
        } else {
            self.capacity.sessions * (1.0 - RESERVE_FRACTION) - quota.reserved_for_others
        };
        if self.held_sessions as f64 + 1.0 <= limit {
            return Ok(());
        }
        let excess = self.held_sessions as f64 + 1.0 - limit;
        let ends_per_s = self.ends.per_second();
        let wait_s = if ends_per_s > 0.0 {
            excess / ends_per_s
        } else {
            UNKNOWN_RETRY_S
        };
        Err(Rejection::after_s(RejectionCause::SessionQuota, wait_s))
    }

    /// Checks the set-ups: a tenant uses its quota, or else the unused set-ups of others. The greater its debt, the
    /// more set-ups have to be free for it.
    pub fn check_set_ups(&self, tenant: &TenantBudget, quota_per_s: f64) -> Result<(), Rejection> {
        let total_per_s = self.capacity.set_ups_per_s;
        let headroom = if tenant.quota.level >= 1.0 {
            f64::NEG_INFINITY
        } else {
            burst_size(total_per_s)
                * (RESERVE_FRACTION + tenant.debt_fraction(quota_per_s) * DEBT_HEADROOM_FRACTION)
        };
        if self.free_set_ups.level - 1.0 >= headroom {
            return Ok(());
        }
        let quota_wait_s = (1.0 - tenant.quota.level) / quota_per_s.max(MIN_RATE_PER_S);
        let missing = headroom + 1.0 - self.free_set_ups.level;
        let free_wait_s = missing / total_per_s.max(MIN_RATE_PER_S);
        let wait_s = quota_wait_s.min(free_wait_s.max(0.0));
        Err(Rejection::after_s(RejectionCause::SetUpQuota, wait_s))
    }
}
