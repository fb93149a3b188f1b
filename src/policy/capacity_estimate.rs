//! Estimates of the utilization of single links and uplinks and of the whole fleet. A director treats its own
//! sessions as a sample of the fleet's. The more reports it has, the less this sample counts.

use crate::director::Director;
use crate::interface::{Endpoint, Settings};
use crate::state::fleet_load::{FleetLoad, ReportSums, Utilization};
use crate::state::link_estimate::LinkEstimate;
use crate::state::records::{ReportSource, ReportTrust};
use crate::state::servers::Server;
use crate::state::sessions::count_after;
use crate::time::{TimeDelta, Timestamp};

/// Retention time of own rate changes, which are added to reports measured before them.
pub(crate) const OWN_CHANGES_RETENTION: TimeDelta = TimeDelta::from_secs(5);
/// Weight of the prior estimate of the fleet, in equivalent reports or sessions.
pub(crate) const PRIOR_WEIGHT: f64 = 2.0;
/// Weight of the ladder's middle rung in the mean rate of a session, in equivalent own sessions. Low, since a
/// few own sessions already give a better mean.
const PRIOR_RATE_WEIGHT: f64 = 0.5;
/// Upper bound of the other directors' set-ups that are assumed for each own unreported set-up, since a
/// single set-up is weak evidence.
const MAX_PEER_SETUPS_PER_OWN: f64 = 4.0;
/// Weight of a report in an answer against the current estimate. Low, since it is noisy and of unknown age.
const ANSWER_WEIGHT: f64 = 0.4;
/// Assumed age of the figures in an answer: their refresh interval and the network delay.
const ANSWER_AGE: TimeDelta = TimeDelta::from_millis(500);
/// Weight of a utilization notification against the current estimate. Higher than that of an answer: it comes
/// later, but without noise.
const NOTIFICATION_WEIGHT: f64 = 0.8;
/// Reports expire after this many notification intervals, plus the notification delay.
const EXPIRY_INTERVALS: i64 = 2;
/// Approximate delay until reports show a set-up.
const REPORT_LAG: TimeDelta = TimeDelta::from_secs(3);

impl FleetLoad {
    /// Estimated utilization of a link. Without a report, the other directors' part is assumed to be the
    /// mean.
    fn estimated_utilization(&self, estimate: &LinkEstimate, mean: f64) -> f64 {
        if estimate.reported_at.is_none() {
            return mean * self.others_fraction + estimate.fraction(estimate.own_rate_kb_s);
        }
        estimate.utilization
            + self.peer_setups_per_own * estimate.fraction(estimate.unreported_own_setups_kb_s())
    }
}

/// A link's capacity in kB/s: proportional to its weight if weights express capacity, else the mean link
/// scaled by the machine kind's streams over their mean.
pub(crate) fn link_capacity_kb_s(settings: &Settings, endpoint: &Endpoint, mean_streams: f64) -> f64 {
    let is_by_weight = settings.weight_is_capacity || mean_streams <= 0.0;
    let by_streams = settings.stream_capacity(endpoint.machine_kind) / mean_streams;
    let kb_s = settings.link_kb_s_per_weight * if is_by_weight { endpoint.weight } else { by_streams };
    if kb_s.is_finite() { kb_s.max(0.0) } else { 0.0 }
}

/// Mean and deviation of the reported utilization, shrunk towards a prior: this director's own rate times the
/// number of directors.
fn pool_reports(reports: ReportSums, presumed_kb_s: f64, capacity_kb_s: f64) -> Utilization {
    let ReportSums { sum, squares, count } = reports;
    let presumed = if capacity_kb_s > 0.0 { presumed_kb_s / capacity_kb_s } else { 0.0 };
    let mean = (sum + PRIOR_WEIGHT * presumed) / (count + PRIOR_WEIGHT);
    let variance = (squares - sum * sum / f64::max(count, 1.0)) / (count + PRIOR_WEIGHT);
    Utilization { mean, deviation: variance.max(0.0).sqrt() }
}

impl Director {
    /// Updates the estimate of the fleet's load from reports and own sessions.
    pub(crate) fn estimate_fleet_load(&mut self) {
        let directors = self.settings.directors();
        let links_kb_s: f64 = self.servers.values().map(|s| s.link.capacity_kb_s).sum();
        let uplinks_kb_s = self.settings.rack_count as f64 * self.settings.uplink_capacity_kb_s();
        let own_kb_s: f64 = self.servers.values().map(|s| s.link.own_rate_kb_s).sum();
        let own_sessions = self.sessions.len() as f64;
        let middle_kb_s = self.settings.rate(0, self.settings.ladder.len() / 2);
        let presumed_kb_s = own_kb_s * directors;
        let link_reports = ReportSums::of(self.servers.values().map(|s| &s.link));
        let uplink_reports = ReportSums::of(self.uplinks.values());
        let link = pool_reports(link_reports, presumed_kb_s, links_kb_s);
        let uplink = pool_reports(uplink_reports, presumed_kb_s, uplinks_kb_s);
        let mean_session_kb_s =
            (own_kb_s + PRIOR_RATE_WEIGHT * middle_kb_s) / (own_sessions + PRIOR_RATE_WEIGHT);
        let requested_kb_s =
            if uplinks_kb_s > 0.0 { uplink.mean * uplinks_kb_s } else { link.mean * links_kb_s };
        let reported_sessions = if mean_session_kb_s > 0.0 {
            requested_kb_s / mean_session_kb_s
        } else {
            own_sessions * directors
        };
        // Reports lag behind a burst of requests, so each other director is assumed to have set up as many
        // sessions recently as this one. They are added, not applied as a growth ratio, since a director that
        // has just restarted has no earlier sessions to relate them to.
        let lag_start = self.started_at.max(self.now - REPORT_LAG);
        let sessions =
            reported_sessions + directors * count_after(&self.sessions.by_send_time, lag_start) as f64;
        let peer_setups_per_own = (directors - 1.0) / (1.0 + (directors - 1.0) / MAX_PEER_SETUPS_PER_OWN);
        let others_fraction = 1.0 - 1.0 / directors;
        self.fleet_load = FleetLoad { link, uplink, sessions, others_fraction, peer_setups_per_own };
    }

    /// Presumed start of a session that is transferred now. Within [`REPORT_LAG`] of the director's start it
    /// is that start, so that a transfer a little later does not count as a recent arrival.
    pub(crate) fn presumed_send_time(&self) -> Timestamp {
        if self.now - self.started_at < REPORT_LAG { self.started_at } else { self.now }
    }

    /// Estimated utilization of a server's link.
    pub(crate) fn link_utilization(&self, server: &Server) -> f64 {
        self.fleet_load.estimated_utilization(&server.link, self.fleet_load.link.mean)
    }

    /// Estimated utilization of the uplink of a server's rack; 0 if racks have no uplinks.
    pub(crate) fn uplink_utilization(&self, server: &Server) -> f64 {
        let Some(rack) = self.settings.rack_of_cell(server.endpoint.cell) else { return 0.0 };
        let mean = self.fleet_load.uplink.mean;
        self.uplinks.get(&rack).map_or(mean, |uplink| self.fleet_load.estimated_utilization(uplink, mean))
    }

    /// Ratio of a server's utilization to the fleet's mean, for its link or its uplink, whichever is higher.
    pub(crate) fn load_ratio(&self, server: &Server) -> f64 {
        let ratio = |utilization: f64, mean: f64| if mean > 0.0 { utilization / mean } else { 1.0 };
        let link = ratio(self.link_utilization(server), self.fleet_load.link.mean);
        link.max(ratio(self.uplink_utilization(server), self.fleet_load.uplink.mean))
    }

    /// Assumed age of a report and its weight against the current estimate, by source.
    pub(crate) fn report_trust(&self, source: ReportSource) -> ReportTrust {
        let delay = self.settings.notification_delay;
        match source {
            ReportSource::Answer => ReportTrust { age: ANSWER_AGE, weight: ANSWER_WEIGHT },
            ReportSource::FirstNotification => {
                ReportTrust { age: TimeDelta::ZERO, weight: NOTIFICATION_WEIGHT }
            }
            ReportSource::LaterNotification => ReportTrust { age: delay, weight: NOTIFICATION_WEIGHT },
            ReportSource::Shortage => ReportTrust { age: delay, weight: ANSWER_WEIGHT },
        }
    }

    /// Drops reports that have expired, so that a server is not avoided forever on an old report:
    /// reports come with sessions, so a server without sessions sends no new one.
    pub(crate) fn expire_reports(&mut self) {
        let interval = self.settings.notification_interval.max(TimeDelta::from_secs(1));
        let expiry = interval * EXPIRY_INTERVALS + self.settings.notification_delay;
        let is_current = |at: &Timestamp| self.now - *at <= expiry;
        for server in self.servers.values_mut() {
            server.link.reported_at = server.link.reported_at.filter(is_current);
            server.shortage.is_short &= is_current(&server.shortage.reported_at);
        }
        for uplink in self.uplinks.values_mut() {
            uplink.reported_at = uplink.reported_at.filter(is_current);
        }
    }
}
