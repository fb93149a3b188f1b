//! Exception: a tenant that uses more than its quota of the fleet gets lower utilization limits, so that
//! tenants within their quotas find capacity as soon as they need it.

use super::admission::{PREFERRED_RUNG_UTILIZATION_LIMIT, UTILIZATION_LIMIT};
use crate::director::Director;
use crate::interface::Request;
use crate::state::records::{QuotaLimit, QuotaStatus};

/// Fraction of a link's capacity that a tenant with the highest quota debt may not use. A tenant barely above
/// its quota may not use half of that.
const DEBT_PENALTY: f64 = 0.05;

impl Director {
    /// A tenant's usage and quota; `None` without a quota.
    pub(crate) fn quota_status(&self, tenant: Option<usize>) -> Option<QuotaStatus> {
        let tenant = tenant?;
        let quota = self.settings.fleet_quota(tenant)?;
        let usage = self.sessions.by_tenant.get(&tenant).copied().unwrap_or_default();
        let used_fraction = usage.rate_kb_s / self.sessions.tenants_rate_kb_s.max(f64::MIN_POSITIVE);
        Some(QuotaStatus { sessions: usage.sessions as f64, used_fraction, quota })
    }

    /// Quota debt of a tenant: 0 within its quota; above it from 0.5 to 1, growing with the excess.
    pub(crate) fn quota_debt(&self, tenant: Option<usize>) -> f64 {
        let status = self.quota_status(tenant).filter(|status| status.used_fraction > status.quota);
        status.map_or(0.0, |status| (1.0 + status.used_fraction - status.quota) / 2.0)
    }

    /// Reduction of the utilization limits for a tenant with quota debt. While another tenant here is within
    /// its quota, the limit is also lowered to [`PREFERRED_RUNG_UTILIZATION_LIMIT`], and a session at the top
    /// rung must still fit in addition.
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
