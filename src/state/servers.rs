//! The evidence on each server: its line of the endpoint list, link, health, and shortage of delivery.

use super::link_estimate::LinkEstimate;
use crate::interface::Endpoint;
use crate::time::Timestamp;

/// Failures of a server.
#[derive(Default)]
pub(crate) struct Health {
    /// Failures since the last sign of life.
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

    /// Whether it has failed since its last sign of life.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }
}

/// A server's reports that it delivers less than its sessions' rates.
#[derive(Default)]
pub(crate) struct Shortage {
    /// It delivers short: its link counts as full until this is cleared.
    pub is_short: bool,
    /// Time of the last report of it.
    pub reported_at: Timestamp,
    /// Utility that the shortage has cost each session so far, in seconds at full utility.
    pub lost_utility_s: f64,
    /// When sessions were last downgraded for it.
    pub downgraded_at: Option<Timestamp>,
}

impl Shortage {
    /// The server delivers in full.
    pub fn clear(&mut self) {
        self.is_short = false;
        self.lost_utility_s = 0.0;
    }
}

/// All evidence on one server.
#[derive(Default)]
pub(crate) struct Server {
    pub endpoint: Endpoint,
    pub link: LinkEstimate,
    pub health: Health,
    pub shortage: Shortage,
    /// It warms up until then, as far as this director can tell.
    pub warm_at: Timestamp,
}
