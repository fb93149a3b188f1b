//! Periodic tasks, and when to subscribe to the endpoint list.

use crate::director::Director;
use crate::time::{TimeDelta, Timestamp};

/// Interval of the periodic tasks, short enough to react to the servers' notifications.
pub(crate) const TICK_INTERVAL: TimeDelta = TimeDelta::from_millis(200);
/// Interval at which the director requests a subscription to the endpoint list until it has one.
const SUBSCRIPTION_RETRY_INTERVAL: TimeDelta = TimeDelta::from_secs(2);

impl Director {
    /// Updates the estimates, expires reports and upgrades sessions.
    pub(crate) fn run_periodic_tasks(&mut self) {
        self.estimate_demand();
        self.expire_reports();
        self.find_upgrades().into_iter().for_each(|(session, rung)| self.change_rung(session, rung));
    }

    /// Whether to request a subscription to the endpoint list. `requested_at` is the time of the last
    /// request.
    pub(crate) fn is_subscription_due(&self, requested_at: Option<Timestamp>) -> bool {
        let is_retry_due = requested_at.is_none_or(|at| self.now - at >= SUBSCRIPTION_RETRY_INTERVAL);
        self.settings.must_poll_endpoints && is_retry_due
    }
}
