//! Rule: a director sends no new sessions to a node that is draining or gone, from a short time after its notification.

use super::{Judge, Route};
use crate::verdict::Rule;
use shalewall::{TimeDelta, Timestamp};

/// Keeps the limit above zero as a divisor.
const MIN_LIMIT: TimeDelta = TimeDelta::from_micros(1);

impl Judge<'_> {
    pub(super) fn check_draining(&mut self, time: Timestamp, route: Route, tenant: Option<&str>) {
        self.verdict.record_check(Rule::Draining, tenant, 0.0);
        let Some(notified_at) = self.directors.drain_notified(route) else {
            return;
        };
        let Route { director, node } = route;
        let stalled = self.outages.stalled(director, notified_at, time);
        let elapsed = time - notified_at - stalled;
        let limit = self.rules.drain_within + self.rules.transit;
        let divisor = limit.max(MIN_LIMIT).as_micros() as f64;
        let utilization = elapsed.as_micros() as f64 / divisor;
        self.verdict
            .record_check(Rule::Draining, tenant, utilization);
        if elapsed > limit {
            let evidence = format!(
                "director {director} sent to node {node} {} ms after it was told",
                elapsed.as_millis()
            );
            self.verdict
                .record_violation(Rule::Draining, tenant, time, evidence);
        }
    }
}
