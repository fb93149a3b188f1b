//! Exception: where health checks are allowed and cost less than fresh reports are worth, and nothing fresh
//! is known of the holder that would be chosen, the best such holders are asked first.

use super::health::STALL_RECOVERY_TIME;
use crate::director::Director;
use crate::interface::ServerId;
use crate::state::servers::Server;
use crate::state::sessions::PendingRequest;
use crate::time::TimeDelta;

/// What fresh reports save of a session's utility: dearer health checks are not sent.
const FRESH_REPORT_VALUE: f64 = 0.03;
/// Health checks are taken to cost at least this.
const MIN_CHECK_PRICE: f64 = 1e-4;
/// Servers checked for one request at most.
const MAX_CHECKS: usize = 2;
/// A younger report needs no health check.
const FRESH_REPORT_AGE: TimeDelta = TimeDelta::from_secs(2);
/// Servers answer a health check in milliseconds or not at all.
pub(crate) const CHECK_TIMEOUT: TimeDelta = TimeDelta::from_millis(60);

impl Director {
    /// The servers to check for a request; mostly none.
    pub(crate) fn servers_to_check(&self, pending: &PendingRequest) -> Vec<ServerId> {
        let limits = &self.settings.limits;
        if !limits.can_check_health || self.now - self.stalled_at < STALL_RECOVERY_TIME {
            return Vec::new();
        }
        let affordable = (FRESH_REPORT_VALUE / limits.health_check_price.max(MIN_CHECK_PRICE)) as usize;
        if affordable == 0 {
            return Vec::new();
        }
        let is_fresh = |server: &Server| server.link.is_reported_within(self.now, FRESH_REPORT_AGE);
        let candidates = self.candidates(pending);
        if candidates.first().is_none_or(|best| is_fresh(best)) {
            return Vec::new();
        }
        let unreported = candidates.into_iter().filter(|server| !is_fresh(server));
        unreported.take(affordable.min(MAX_CHECKS)).map(|server| server.endpoint.server).collect()
    }
}
