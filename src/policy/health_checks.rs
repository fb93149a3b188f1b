//! Exception: if health checks are allowed and cheap enough, and the best candidate has no recent report, the
//! best candidates without one are checked before the request is placed.

use super::health::STALL_RECOVERY_TIME;
use crate::director::Director;
use crate::interface::ServerId;
use crate::state::servers::Server;
use crate::state::sessions::PendingRequest;
use crate::time::TimeDelta;

/// Fraction of a session's utility that recent reports save. It bounds the cost of the health checks for a
/// request.
const FRESH_REPORT_VALUE: f64 = 0.03;
/// Lower bound of the assumed cost of a health check.
const MIN_CHECK_PRICE: f64 = 1e-4;
/// Maximum number of servers checked for one request.
const MAX_CHECKS: usize = 2;
/// Age up to which a report makes a health check unnecessary.
const FRESH_REPORT_AGE: TimeDelta = TimeDelta::from_secs(2);
/// Timeout of health checks. Servers answer within milliseconds or not at all.
pub(crate) const CHECK_TIMEOUT: TimeDelta = TimeDelta::from_millis(60);

impl Director {
    /// The servers to check before placing a request; usually empty.
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
