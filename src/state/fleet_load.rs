//! The load of the whole fleet, as one director makes it out. [`crate::policy::capacity_estimate`] estimates it.

use super::link_estimate::LinkEstimate;

/// Utilization over all links, or over all uplinks.
#[derive(Default)]
pub(crate) struct Utilization {
    pub mean: f64,
    /// Standard deviation of single ones.
    pub deviation: f64,
}

/// What this director makes of the whole fleet.
#[derive(Default)]
pub(crate) struct FleetLoad {
    pub link: Utilization,
    pub uplink: Utilization,
    /// Sessions that play, or are being set up.
    pub sessions: f64,
    /// Fraction of all sessions that other directors hold.
    pub others_fraction: f64,
    /// Set-ups of other directors that an own one stands for, until a report shows them.
    pub peer_setups_per_own: f64,
}

/// Sums over the utilization of reported links.
#[derive(Default)]
pub(crate) struct ReportSums {
    pub sum: f64,
    pub squares: f64,
    pub count: f64,
}

impl ReportSums {
    /// Sums those that are reported.
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
