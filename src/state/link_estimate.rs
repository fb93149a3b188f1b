//! The running estimate of the utilization of one link or rack uplink.
//!
//! It combines reported utilization with this director's own rate changes since the reports. The caller
//! decides the weight of a report, and what to assume of other directors' load where there is no report.

use crate::time::{TimeDelta, Timestamp};
use std::collections::VecDeque;

/// A change of this director's own rate on a link.
pub(crate) struct RateChange {
    pub at: Timestamp,
    pub kb_s: f64,
}

/// The estimated utilization of one link or uplink.
#[derive(Default)]
pub(crate) struct LinkEstimate {
    /// Configured capacity, kB/s; 0 if unknown.
    pub capacity_kb_s: f64,
    /// Estimated requested rates, as a fraction of the capacity.
    pub utilization: f64,
    /// Rate of this director's own sessions on it, kB/s.
    pub own_rate_kb_s: f64,
    /// Arrival time of the last report; `None` if there was none or it has expired.
    pub reported_at: Option<Timestamp>,
    /// Latest time at which any report was measured.
    measured_until: Timestamp,
    /// Recent rate changes of own sessions, in order of time.
    own_changes: VecDeque<RateChange>,
}

impl LinkEstimate {
    /// An estimate of an idle link.
    pub fn with_capacity(capacity_kb_s: f64) -> LinkEstimate {
        LinkEstimate { capacity_kb_s, ..LinkEstimate::default() }
    }

    /// Whether the last report is at most `age` old.
    pub fn is_reported_within(&self, now: Timestamp, age: TimeDelta) -> bool {
        self.reported_at.is_some_and(|at| now - at <= age)
    }

    /// A rate as a fraction of the capacity; 0 if the capacity is unknown.
    pub fn fraction(&self, kb_s: f64) -> f64 {
        if self.capacity_kb_s > 0.0 { kb_s / self.capacity_kb_s } else { 0.0 }
    }

    /// Adds to this director's own rate, and records the change for the time `keep`.
    pub fn adjust_own_rate(&mut self, now: Timestamp, kb_s: f64, keep: TimeDelta) {
        self.own_rate_kb_s = (self.own_rate_kb_s + kb_s).max(0.0);
        self.utilization = (self.utilization + self.fraction(kb_s)).max(0.0);
        self.own_changes.push_back(RateChange { at: now, kb_s });
        while self.own_changes.front().is_some_and(|change| change.at < now - keep) {
            self.own_changes.pop_front();
        }
    }

    /// Own rate changes after a time. Found by binary search, since the ordered log is long at thousands of
    /// set-ups per second.
    fn own_changes_after(&self, time: Timestamp) -> impl Iterator<Item = &RateChange> {
        self.own_changes.range(self.own_changes.partition_point(|change| change.at <= time)..)
    }

    /// Sum of the rates of own set-ups that no report includes yet, kB/s. Sessions that ended since are not
    /// subtracted.
    pub fn unreported_own_setups_kb_s(&self) -> f64 {
        let setups = self.own_changes_after(self.measured_until).filter(|change| change.kb_s > 0.0);
        setups.map(|change| change.kb_s).sum()
    }

    /// Records a report of this age with a weight from 0 to 1 against the current estimate. Own changes since
    /// it was measured are added to it. The first report, or the first after expiry, replaces the estimate.
    pub fn record_report(&mut self, now: Timestamp, age: TimeDelta, utilization: f64, weight: f64) {
        if !utilization.is_finite() || utilization < 0.0 {
            return;
        }
        let since: f64 = self.own_changes_after(now - age).map(|change| change.kb_s).sum();
        let current = (utilization + self.fraction(since)).max(0.0);
        let weight = if self.reported_at.is_none() { 1.0 } else { weight };
        self.utilization += weight * (current - self.utilization);
        self.reported_at = Some(now);
        self.measured_until = self.measured_until.max(now - age);
    }
}
