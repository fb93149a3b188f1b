//! Totals over a run.

use shalewall_fleet_model::totals::TotalsByTenant;
use std::collections::BTreeMap;

/// Totals over a run; worth is in seconds at a rung of worth 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunTotals {
    pub viewer_totals: TotalsByTenant,
    /// Worth lost to stalls.
    pub stall_cost: f64,
    /// Worth lost to changes of rung.
    pub rung_change_cost: f64,
    /// Number of nodes that failed by overload, which the policy must never cause.
    pub overloaded_nodes: u64,
    /// By intervals of [`INTERVAL_S`] seconds from the start of the run.
    pub intervals: Vec<IntervalTotals>,
}

/// Length of an interval, in seconds.
pub const INTERVAL_S: f64 = 10.0;

/// Totals over one interval of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IntervalTotals {
    pub requested: u64,
    pub rejected: u64,
    pub worth_offered: f64,
    pub worth_earned: f64,
    pub worth_bound: f64,
    pub seconds_by_rung: BTreeMap<usize, f64>,
}

impl RunTotals {
    /// The interval that contains the time `at_s`, in seconds since the start of the run.
    pub fn interval(&mut self, at_s: f64) -> &mut IntervalTotals {
        let i = (at_s / INTERVAL_S).max(0.0) as usize;
        if self.intervals.len() <= i {
            self.intervals.resize(i + 1, IntervalTotals::default());
        }
        &mut self.intervals[i]
    }
}
