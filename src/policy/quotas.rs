//! Exception: tenants have quotas of the fleet. One that holds more than its own finds every line lower, so
//! that there is capacity for those within theirs as soon as they come.

use super::admission::{PREFERRED_RUNG_UTILIZATION_LIMIT, UTILIZATION_LIMIT};
use crate::director::Director;
use crate::interface::Request;
use crate::state::records::{QuotaLimit, QuotaStatus};

/// Fraction of a link closed to a tenant of the greatest debt; half of it to one of hardly any.
const DEBT_PENALTY: f64 = 0.05;

impl Director {
    /// The position of a tenant; none without a quota.
    pub(crate) fn quota_status(&self, tenant: Option<usize>) -> Option<QuotaStatus> {
        let tenant = tenant?;
        let quota = self.settings.fleet_quota(tenant)?;
        let usage = self.sessions.by_tenant.get(&tenant).copied().unwrap_or_default();
        let held_fraction = usage.rate_kb_s / self.sessions.tenants_rate_kb_s.max(f64::MIN_POSITIVE);
        Some(QuotaStatus { sessions: usage.sessions as f64, held_fraction, quota })
    }

    /// 0 within the quota; above it from a half to 1, the more the more the tenant holds beyond it.
    pub(crate) fn quota_debt(&self, tenant: Option<usize>) -> f64 {
        let status = self.quota_status(tenant).filter(|status| status.held_fraction > status.quota);
        status.map_or(0.0, |status| (1.0 + status.held_fraction - status.quota) / 2.0)
    }

    /// A part of every line is closed to a tenant in debt; while others are here within their quotas all
    /// above the mark is too, and a session at the top must fit beside its own.
    pub(crate) fn quota_limit(&self, request: &Request) -> QuotaLimit {
        let debt = self.quota_debt(request.tenant);
        let limit_scale = 1.0 - DEBT_PENALTY * debt;
        if debt > 0.0 && self.demand.has_tenant_within_quota {
            let top = self.settings.ladder.len().saturating_sub(1);
            let reserved_kb_s = self.settings.rate(request.class, top);
            QuotaLimit {
                limit_scale: limit_scale * PREFERRED_RUNG_UTILIZATION_LIMIT / UTILIZATION_LIMIT,
                reserved_kb_s,
            }
        } else {
            QuotaLimit { limit_scale, reserved_kb_s: 0.0 }
        }
    }
}
