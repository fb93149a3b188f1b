//! One director's estimate of the load of the whole fleet, computed by [`crate::policy::capacity_estimate`].

use super::link_estimate::LinkEstimate;

/// Utilization over all links, or over all uplinks.
#[derive(Default)]
pub(crate) struct Utilization {
    pub mean: f64,
    /// Standard deviation over single links or uplinks.
    pub deviation: f64,
}

/// One director's estimate of the fleet's load.
#[derive(Default)]
pub(crate) struct FleetLoad {
    pub link: Utilization,
    pub uplink: Utilization,
    /// Number of sessions that play or are being set up.
    pub sessions: f64,
    /// Fraction of all sessions that belong to other directors.
    pub others_fraction: f64,
    /// Set-ups of other directors that are assumed for each own one, until a report shows them.
    pub peer_setups_per_own: f64,
}

/// Sums over the utilization of links with a current report.
#[derive(Default)]
pub(crate) struct ReportSums {
    pub sum: f64,
    pub squares: f64,
    pub count: f64,
}

impl ReportSums {
    /// Sums over the estimates that have a current report.
    pub fn of<'a>(estimates: impl Iterator<Item = &'a LinkEstimate>) -> ReportSums {
        let mut sums = ReportSums::default();
        for estimate in estimates.filter(|estimate| estimate.reported_at.is_some()) {
            sums.sum += estimate.utilization;
            sums.squares += estimate.utilization * estimate.utilization;
            sums.count += 1.0;
        }
        sums
    }
}
