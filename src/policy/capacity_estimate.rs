//! How full links and uplinks are believed, one by one and over the fleet. A director takes its own sessions
//! for a sample of the fleet; reports replace that, the more the more it hears.

use crate::director::Director;
use crate::interface::{Endpoint, Settings};
use crate::state::fleet_load::{FleetLoad, ReportSums, Utilization};
use crate::state::link_estimate::LinkEstimate;
use crate::state::records::{ReportSource, ReportTrust};
use crate::state::servers::Server;
use crate::state::sessions::count_after;
use crate::time::{TimeDelta, Timestamp};

/// Own rate changes are remembered so long, for reports that predate them.
pub(crate) const OWN_CHANGES_RETENTION: TimeDelta = TimeDelta::from_secs(5);
/// What is presumed of the fleet weighs as much as so many reports or sessions.
pub(crate) const PRIOR_WEIGHT: f64 = 2.0;
/// Own sessions that the ladder's middle weighs as: a few own rates tell more.
const PRIOR_RATE_WEIGHT: f64 = 0.5;
/// An own set-up not yet reported stands for at most so many of other directors: weak evidence.
const MAX_PEER_SETUPS_PER_OWN: f64 = 4.0;
/// Weight of a report in an answer, noisy and of unknown age, against the belief.
const ANSWER_WEIGHT: f64 = 0.4;
/// Age of the figures in an answer: refresh and delay.
const ANSWER_AGE: TimeDelta = TimeDelta::from_millis(500);
/// Weight of a notification of utilization: later, but without noise.
const NOTIFICATION_WEIGHT: f64 = 0.8;
/// Evidence older than so many usual times between reports is forgotten.
const EXPIRY_INTERVALS: i64 = 2;
/// Reports lag by about so much.
const REPORT_LAG: TimeDelta = TimeDelta::from_secs(3);

impl FleetLoad {
    /// Believed utilization of a link; until a report comes, the others' part of it is taken for the mean.
    fn estimated_utilization(&self, estimate: &LinkEstimate, mean: f64) -> f64 {
        if estimate.reported_at.is_none() {
            return mean * self.others_fraction + estimate.fraction(estimate.own_rate_kb_s);
        }
        estimate.utilization
            + self.peer_setups_per_own * estimate.fraction(estimate.unreported_own_setups_kb_s())
    }
}

/// A link's capacity: by weight where weights tell size, else the mean link shared out by streams.
pub(crate) fn link_capacity_kb_s(settings: &Settings, endpoint: &Endpoint, mean_streams: f64) -> f64 {
    let is_by_weight = settings.weight_is_capacity || mean_streams <= 0.0;
    let by_streams = settings.stream_capacity(endpoint.machine_kind) / mean_streams;
    let kb_s = settings.link_kb_s_per_weight * if is_by_weight { endpoint.weight } else { by_streams };
    if kb_s.is_finite() { kb_s.max(0.0) } else { 0.0 }
}

/// Mean and deviation of what is reported, shrunk towards this director's own rate times the directors.
fn pool_reports(reports: ReportSums, presumed_kb_s: f64, capacity_kb_s: f64) -> Utilization {
    let ReportSums { sum, squares, count } = reports;
    let presumed = if capacity_kb_s > 0.0 { presumed_kb_s / capacity_kb_s } else { 0.0 };
    let mean = (sum + PRIOR_WEIGHT * presumed) / (count + PRIOR_WEIGHT);
    let variance = (squares - sum * sum / f64::max(count, 1.0)) / (count + PRIOR_WEIGHT);
    Utilization { mean, deviation: variance.max(0.0).sqrt() }
}

impl Director {
    /// Estimates the fleet's load from all evidence.
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
        // Reports lag behind a crowd: the others set up as many as this one. That is added and no factor,
        // since a director that has just restarted has no earlier sessions for a ratio.
        let lag_start = self.started_at.max(self.now - REPORT_LAG);
        let sessions =
            reported_sessions + directors * count_after(&self.sessions.by_send_time, lag_start) as f64;
        let peer_setups_per_own = (directors - 1.0) / (1.0 + (directors - 1.0) / MAX_PEER_SETUPS_PER_OWN);
        let others_fraction = 1.0 - 1.0 / directors;
        self.fleet_load = FleetLoad { link, uplink, sessions, others_fraction, peer_setups_per_own };
    }

    /// When a session that is transferred now began to play: at the director's start, even if the news of it
    /// is a little late, so that it is no arrival since.
    pub(crate) fn presumed_send_time(&self) -> Timestamp {
        if self.now - self.started_at < REPORT_LAG { self.started_at } else { self.now }
    }

    /// Believed utilization of a server's link.
    pub(crate) fn link_utilization(&self, server: &Server) -> f64 {
        self.fleet_load.estimated_utilization(&server.link, self.fleet_load.link.mean)
    }

    /// Believed utilization of the uplink of a server's rack; 0 where racks have none.
    pub(crate) fn uplink_utilization(&self, server: &Server) -> f64 {
        let Some(rack) = self.settings.rack_of_cell(server.endpoint.cell) else { return 0.0 };
        let mean = self.fleet_load.uplink.mean;
        self.uplinks.get(&rack).map_or(mean, |uplink| self.fleet_load.estimated_utilization(uplink, mean))
    }

    /// Believed utilization of a server's link or uplink over the mean, whichever is more.
    pub(crate) fn load_ratio(&self, server: &Server) -> f64 {
        let ratio = |utilization: f64, mean: f64| if mean > 0.0 { utilization / mean } else { 1.0 };
        let link = ratio(self.link_utilization(server), self.fleet_load.link.mean);
        link.max(ratio(self.uplink_utilization(server), self.fleet_load.uplink.mean))
    }

    /// How old a report is, and how much it weighs against the belief.
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

    /// Missing evidence is not bad evidence: what no report has confirmed for long is forgotten.
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
