//! What the clock alone brings about: the periodic tasks, and calls for the list of servers.

use crate::director::Director;
use crate::time::{TimeDelta, Timestamp};

/// Time between periodic tasks: often enough to follow the servers' notifications.
pub(crate) const TICK_INTERVAL: TimeDelta = TimeDelta::from_millis(200);
/// A failed call for the list is repeated after this.
const POLL_RETRY_INTERVAL: TimeDelta = TimeDelta::from_secs(2);

impl Director {
    pub(crate) fn run_periodic_tasks(&mut self) {
        self.estimate_demand();
        self.expire_reports();
        self.find_upgrades().into_iter().for_each(|(session, rung)| self.change_rung(session, rung));
    }

    /// Whether a director that has no subscription asks for one; `requested_at`: when it last did.
    pub(crate) fn is_subscription_due(&self, requested_at: Option<Timestamp>) -> bool {
        let is_retry_due = requested_at.is_none_or(|at| self.now - at >= POLL_RETRY_INTERVAL);
        self.settings.must_poll_endpoints && is_retry_due
    }
}
