//! The running estimate of what is asked of one link or rack uplink, as a fraction of its capacity.
//!
//! It is the utilization last reported plus this director's own changes since then. How much a report weighs, and
//! how the load of other directors is guessed where nothing was reported, is decided by the caller.

use crate::time::{TimeDelta, Timestamp};
use std::collections::VecDeque;

/// A change of this director's own rate on a link.
pub(crate) struct RateChange {
    pub at: Timestamp,
    pub kb_s: f64,
}

/// What is believed to be asked of one link or uplink.
#[derive(Default)]
pub(crate) struct LinkEstimate {
    /// Notified capacity, kB a second; 0 where it is unknown.
    pub capacity_kb_s: f64,
    /// Believed rates asked, as a fraction of the capacity.
    pub utilization: f64,
    /// Rate of this director's own sessions on it, kB a second.
    pub own_rate_kb_s: f64,
    /// When the last report came that still counts.
    pub reported_at: Option<Timestamp>,
    /// The latest time of which any report told.
    measured_until: Timestamp,
    /// Own changes of the last seconds, in order of time.
    own_changes: VecDeque<RateChange>,
}

impl LinkEstimate {
    /// An estimate of an idle link.
    pub fn with_capacity(capacity_kb_s: f64) -> LinkEstimate {
        LinkEstimate { capacity_kb_s, ..LinkEstimate::default() }
    }

    /// Whether a report came within `age`.
    pub fn is_reported_within(&self, now: Timestamp, age: TimeDelta) -> bool {
        self.reported_at.is_some_and(|at| now - at <= age)
    }

    /// A rate as a fraction of the capacity; 0 where the capacity is unknown.
    pub fn fraction(&self, kb_s: f64) -> f64 {
        if self.capacity_kb_s > 0.0 { kb_s / self.capacity_kb_s } else { 0.0 }
    }

    /// Adds to this director's own rate, and remembers the change for `keep`.
    pub fn adjust_own_rate(&mut self, now: Timestamp, kb_s: f64, keep: TimeDelta) {
        self.own_rate_kb_s = (self.own_rate_kb_s + kb_s).max(0.0);
        self.utilization = (self.utilization + self.fraction(kb_s)).max(0.0);
        self.own_changes.push_back(RateChange { at: now, kb_s });
        while self.own_changes.front().is_some_and(|change| change.at < now - keep) {
            self.own_changes.pop_front();
        }
    }

    /// Own changes after a time. The log is in order of time, and at thousands of set-ups a second the rest of it
    /// is long, so the first one is searched for.
    fn own_changes_after(&self, time: Timestamp) -> impl Iterator<Item = &RateChange> {
        self.own_changes.range(self.own_changes.partition_point(|change| change.at <= time)..)
    }

    /// Sum of own set-ups that no report shows yet, kB a second; what ended meanwhile is not taken off.
    pub fn unreported_own_setups_kb_s(&self) -> f64 {
        let setups = self.own_changes_after(self.measured_until).filter(|change| change.kb_s > 0.0);
        setups.map(|change| change.kb_s).sum()
    }

    /// Takes a report of this age and weight against the belief, from 0 to 1; own changes since it was measured
    /// are added to it. The first report counts whole.
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
