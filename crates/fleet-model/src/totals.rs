//! Totals over viewers, used by the emulator and by the simulation.

use std::collections::BTreeMap;

/// Keeps a ratio finite when the divisor is 0.
const MIN_DIVISOR: f64 = 1e-9;
const SECONDS_PER_MINUTE: f64 = 60.0;

/// Sums over viewers within a day. Worth is in seconds at a rung of utility 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ViewerTotals {
    /// Requests sent.
    pub requested: u64,
    /// Requests whose session played.
    pub played: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests with a failure response.
    pub failed: u64,
    /// Requests without a response: the connection failed, or closed before a response arrived.
    pub unanswered: u64,
    /// Sessions that were interrupted while they played.
    pub broken: u64,
    /// Viewers that arrived.
    pub viewers: u64,
    /// Viewers that were rejected at least once.
    pub viewers_rejected: u64,
    /// Viewers whose session never played.
    pub viewers_unserved: u64,
    /// Changes of rung during playback.
    pub rung_changes: u64,
    /// Worth of all sessions that viewers requested.
    pub worth_offered: f64,
    /// Worth of the sessions that played, less the cost of stalls and changes of rung.
    pub worth_earned: f64,
    /// Seconds of playback at each rung.
    pub seconds_by_rung: BTreeMap<usize, f64>,
}

fn ratio(numerator: f64, denominator: f64) -> f64 {
    numerator / denominator.max(MIN_DIVISOR)
}

impl ViewerTotals {
    /// Worth earned over worth offered.
    pub fn worth(&self) -> f64 {
        ratio(self.worth_earned, self.worth_offered)
    }

    /// Fraction of all requests that was rejected.
    pub fn rejected_fraction(&self) -> f64 {
        ratio(self.rejected as f64, self.requested as f64)
    }

    /// Fraction of all viewers that was rejected at least once.
    pub fn viewers_rejected_fraction(&self) -> f64 {
        ratio(self.viewers_rejected as f64, self.viewers as f64)
    }

    /// Fraction of all viewers whose session never played.
    pub fn unserved_fraction(&self) -> f64 {
        ratio(self.viewers_unserved as f64, self.viewers as f64)
    }

    /// Seconds of playback at all rungs together.
    pub fn played_s(&self) -> f64 {
        self.seconds_by_rung.values().sum()
    }

    /// Changes of rung per minute of playback.
    pub fn rung_changes_per_minute(&self) -> f64 {
        ratio(
            self.rung_changes as f64 * SECONDS_PER_MINUTE,
            self.played_s(),
        )
    }
}

/// Totals of all viewers, and of the viewers of each tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TotalsByTenant {
    /// Over all viewers.
    pub all: ViewerTotals,
    /// Over the viewers of each tenant, by the tenant's name.
    pub tenants: BTreeMap<String, ViewerTotals>,
}

impl TotalsByTenant {
    /// Applies one change to the totals of all, and to those of the viewer's tenant.
    pub fn update(&mut self, tenant: Option<&str>, change: impl Fn(&mut ViewerTotals)) {
        change(&mut self.all);
        if let Some(tenant) = tenant {
            if !self.tenants.contains_key(tenant) {
                self.tenants
                    .insert(tenant.to_string(), ViewerTotals::default());
            }
            self.tenants.get_mut(tenant).into_iter().for_each(change);
        }
    }
}
