//! The state of each server: its endpoint list entry, link estimate, health, and shortage of delivery.

use super::link_estimate::LinkEstimate;
use crate::interface::Endpoint;
use crate::time::{TimeDelta, Timestamp};
use std::collections::VecDeque;

/// Failures of a server.
#[derive(Default)]
pub(crate) struct Health {
    /// Failures since the last evidence that it works.
    pub failures: u32,
    /// Time of the last failure.
    pub failed_at: Timestamp,
}

impl Health {
    /// Counts a failure.
    pub fn record_failure(&mut self, now: Timestamp) {
        self.failures += 1;
        self.failed_at = now;
    }

    /// Whether there was a failure since the last evidence that it works.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }
}

/// A server's reports that it delivers less than its sessions' rates.
#[derive(Default)]
pub(crate) struct Shortage {
    /// Whether it currently delivers less; its link counts as full until this is cleared.
    pub is_short: bool,
    /// Time of the last report of a shortage.
    pub reported_at: Timestamp,
    /// Utility that the shortage has cost each session so far, in seconds at full utility.
    pub lost_utility_s: f64,
    /// When sessions were last downgraded for it.
    pub downgraded_at: Option<Timestamp>,
}

impl Shortage {
    /// Records that the server delivers the full rates again.
    pub fn clear(&mut self) {
        self.is_short = false;
        self.lost_utility_s = 0.0;
    }
}

/// The times of the latest attempts and migrations to a server. They count whatever has become of their sessions: a
/// server that warms up has the work of each.
#[derive(Default)]
pub(crate) struct RecentSetUps(VecDeque<Timestamp>);

impl RecentSetUps {
    /// Records a set-up, and removes those older than `keep`.
    pub fn record(&mut self, now: Timestamp, keep: TimeDelta) {
        while self.0.front().is_some_and(|time| *time < now - keep) {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Removes a set-up that did not reach the server.
    pub fn remove(&mut self, sent_at: Timestamp) {
        if let Some(position) = self.0.iter().rposition(|time| *time == sent_at) {
            self.0.remove(position);
        }
    }

    /// Number of set-ups after a time.
    pub fn count_after(&self, time: Timestamp) -> usize {
        self.0.iter().rev().take_while(|set_up| **set_up > time).count()
    }
}

/// The state of one server.
#[derive(Default)]
pub(crate) struct Server {
    pub endpoint: Endpoint,
    pub link: LinkEstimate,
    pub health: Health,
    pub shortage: Shortage,
    pub recent_set_ups: RecentSetUps,
    /// Time until which it is assumed to warm up.
    pub warm_at: Timestamp,
}
