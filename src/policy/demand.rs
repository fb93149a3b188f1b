//! What all viewers would ask of the fleet: sessions held, viewers lately rejected, and arrivals to come, the
//! other directors taken to see as much. Each rung's line in [`super::admission`] answers to it.

use super::admission::UTILIZATION_LIMIT;
use super::capacity_estimate::PRIOR_WEIGHT;
use crate::director::Director;
use crate::interface::{EndpointState, Request, Rung};
use crate::state::demand::{ClassRung, RungDemand};
use crate::state::records::RungStep;
use crate::state::servers::Server;
use crate::state::sessions::SessionGroup;
use crate::time::TimeDelta;
use std::collections::BTreeMap;

/// A rejected viewer still wants a session so long: most return sooner.
const REJECTED_VIEWER_RETENTION: TimeDelta = TimeDelta::from_secs(3);
/// Arrivals are counted so long: what they will come to is demand.
const ARRIVALS_WINDOW: TimeDelta = TimeDelta::from_secs(30);
/// A flow of arrivals goes on only if they came in the last of the span as well.
const RECENT_ARRIVALS_WINDOW: TimeDelta = TimeDelta::from_secs(5);
/// Arrivals are counted by steps of this, so that a crowd does not cost more to count.
const ARRIVALS_STEP: TimeDelta = TimeDelta::from_secs(1);
/// Time without arrivals presumed before the start, in seconds: a first viewer is no flow.
const PRESUMED_IDLE_S: f64 = 2.0;
/// A rung is chosen for so many seconds ahead: what is later can downgrade for it.
const DEMAND_HORIZON_S: f64 = 40.0;
/// Duration hints weigh as much as so many sessions that have ended as told.
const DURATION_PRIOR_WEIGHT: f64 = 8.0;
/// The weight of older sessions that have ended fades by this with each further one.
const DURATION_DECAY: f64 = 0.98;
/// Where fewer viewers than this would be presumed for each class, none are.
const MIN_PRIOR_PER_CLASS: f64 = 0.02;

impl Director {
    /// Counts a new viewer's request; one that returns was counted when it came first.
    pub(crate) fn count_arrival(&mut self, request: &Request, is_returning: bool) {
        let seconds = self.remaining_seconds(request, TimeDelta::ZERO);
        let step = self.now.round_down(ARRIVALS_STEP);
        self.demand.arrivals.record(step, request.class, seconds, !is_returning);
    }

    /// Counts a session that has ended by itself.
    pub(crate) fn record_end(&mut self, duration: TimeDelta, hint: Option<TimeDelta>) {
        self.demand.ended.record(duration, hint, DURATION_DECAY);
    }

    /// Seconds that a session of this age has to go: by its hint, corrected by how hints have proved; without
    /// one by how long sessions lasted, and at first twice as long as the oldest has by now.
    pub(crate) fn remaining_seconds(&self, request: &Request, age: TimeDelta) -> f64 {
        let ended = &self.demand.ended;
        let expected_s = if let Some(hint) = request.duration_hint {
            let seconds = hint.max(TimeDelta::ZERO).as_secs_f64();
            seconds * (ended.hint_fractions + DURATION_PRIOR_WEIGHT) / (ended.hinted + DURATION_PRIOR_WEIGHT)
        } else {
            let first_sent = self.sessions.by_send_time.first();
            let oldest = first_sent.map_or(TimeDelta::ZERO, |(sent_at, _)| self.now - *sent_at);
            let prior = 2.0 * oldest.as_secs_f64() * DURATION_PRIOR_WEIGHT;
            (ended.seconds + prior) / (ended.count + DURATION_PRIOR_WEIGHT)
        };
        (expected_s - age.as_secs_f64()).max(0.0)
    }

    /// What `held` sessions will grow by, by class, if viewers go on coming as of late: their rate times
    /// their duration is what they come to (Little's law), and a part of it is there within the horizon.
    fn expected_growth(&mut self, held: f64) -> BTreeMap<usize, f64> {
        let recent_start = self.now - RECENT_ARRIVALS_WINDOW;
        let totals = self.demand.arrivals.totals(self.now - ARRIVALS_WINDOW, recent_start);
        let observed_s = |span| (self.now - self.started_at).min(span).as_secs_f64() + PRESUMED_IDLE_S;
        // Few arrivals, as at each of hundreds of directors, are weak evidence: two standard deviations are
        // taken off. A crowd that is over is no flow either, so the recent rate bounds it.
        let confident_fraction = 1.0 - 2.0 / totals.count.max(4.0).sqrt();
        let recent_offered_load = totals.recent_seconds / observed_s(RECENT_ARRIVALS_WINDOW);
        let offered_load =
            f64::min(recent_offered_load, totals.seconds / observed_s(ARRIVALS_WINDOW) * confident_fraction);
        let added =
            (offered_load - held).max(0.0) * (DEMAND_HORIZON_S * totals.count / totals.seconds).min(1.0);
        let mut growth = totals.seconds_by_class;
        growth.values_mut().for_each(|wanted| *wanted *= added / totals.seconds);
        growth
    }

    /// Demand for a rung. One tenant's demand is not the other's: for its sessions it is what they alone
    /// would ask of its quota, if that is less.
    pub(crate) fn rung_demand(&self, class: usize, tenant: Option<usize>, rung: usize) -> Option<RungDemand> {
        let all = self.demand.rungs.get(&ClassRung { class, rung }).copied()?;
        let Some(status) = self.quota_status(tenant) else { return Some(all) };
        let capacity_kb_s = status.quota * self.demand.capacity_kb_s;
        let own = |kb_s: f64| status.sessions * kb_s * self.settings.directors() / capacity_kb_s;
        let own_below = rung.checked_sub(1).map_or(0.0, |below| own(self.settings.rate(class, below)));
        let own_with = own(self.settings.rate(class, rung));
        let without_rung = all.without_rung.min(own_below);
        Some(RungDemand { without_rung, with_rung: all.with_rung.min(own_with) })
    }

    /// Whether a part of all viewers, from 0 to 1, could have a rung where load over its mean is a ratio.
    pub(crate) fn is_affordable(
        &self,
        group: &SessionGroup,
        rung: usize,
        fraction: f64,
        load_ratio: f64,
    ) -> bool {
        self.rung_demand(group.class, group.tenant, rung).is_some_and(|demand| {
            let requested = demand.without_rung + fraction * (demand.with_rung - demand.without_rung);
            requested * load_ratio <= 1.0
        })
    }

    /// Estimates demand from what is seen here: rungs of the most utility for their rate are given first.
    pub(crate) fn estimate_demand(&mut self) {
        self.estimate_fleet_load();
        let now = self.now;
        self.demand.rejected.retain(|_, viewer| now - viewer.at < REJECTED_VIEWER_RETENTION);
        let is_within_quota = |tenant: &usize| self.quota_debt(Some(*tenant)) == 0.0;
        self.demand.has_tenant_within_quota = self.sessions.by_tenant.keys().any(is_within_quota);
        let capacity_kb_s = self.usable_capacity_kb_s();
        self.demand.capacity_kb_s = capacity_kb_s;
        self.demand.rungs.clear();
        if capacity_kb_s <= 0.0 {
            return;
        }
        let mut steps = self.rung_steps();
        steps.sort_by(|a, b| {
            let by_utility = b.utility_per_kb.total_cmp(&a.utility_per_kb);
            by_utility.then((a.at.rung, a.at.class).cmp(&(b.at.rung, b.at.class)))
        });
        let mut requested = 0.0;
        for step in steps {
            let with_rung = (requested + step.kb_s) / capacity_kb_s;
            let demand = RungDemand { without_rung: requested / capacity_kb_s, with_rung };
            self.demand.rungs.insert(step.at, demand);
            requested += step.kb_s;
        }
    }

    /// What links and uplinks of ready and healthy servers give under the full line, kB a second.
    fn usable_capacity_kb_s(&self) -> f64 {
        let is_usable = |s: &&Server| s.endpoint.state == EndpointState::Ready && !s.health.is_failing();
        let mut links_by_rack: BTreeMap<Option<u64>, f64> = BTreeMap::new();
        for server in self.servers.values().filter(is_usable) {
            let rack = self.settings.rack_of_cell(server.endpoint.cell);
            *links_by_rack.entry(rack).or_insert(0.0) += server.link.capacity_kb_s;
        }
        let has_uplinks = self.settings.rack_count > 0;
        let uplink = Some(self.settings.rack_uplink_kb_s).filter(|kb_s| has_uplinks && *kb_s > 0.0);
        UTILIZATION_LIMIT
            * links_by_rack.values().map(|links| links.min(uplink.unwrap_or(*links))).sum::<f64>()
    }

    /// Viewers of each class seen here: those held, lately rejected and to come, and a presumed few.
    fn viewers_by_class(&mut self) -> BTreeMap<usize, f64> {
        let current_viewers = self.sessions.len() as f64 + self.demand.rejected.len() as f64;
        let mut viewers = self.expected_growth(current_viewers);
        for (class, held) in &self.sessions.by_class {
            *viewers.entry(*class).or_default() += *held as f64;
        }
        for viewer in self.demand.rejected.values() {
            *viewers.entry(viewer.class).or_default() += 1.0;
        }
        let classes = self.settings.classes.len();
        let prior = PRIOR_WEIGHT / classes.max(1) as f64;
        // Of few classes each may be asked for next; of thousands that a front hosts those seen are weighed.
        if prior > MIN_PRIOR_PER_CLASS {
            (0..classes).for_each(|class| *viewers.entry(class).or_default() += prior);
        }
        viewers
    }

    /// Each rung of each class for all of its viewers in the fleet; a rung counts as worth no more for its
    /// rate than those below it.
    fn rung_steps(&mut self) -> Vec<RungStep> {
        let viewers_by_class = self.viewers_by_class();
        let seen = self.sessions.len() as f64 + PRIOR_WEIGHT;
        let mut steps = Vec::new();
        for (class, viewers) in viewers_by_class {
            let Some(class_settings) = self.settings.classes.get(class) else { continue };
            let fleet_viewers = viewers / seen * self.fleet_load.sessions;
            let mut utility_per_kb = f64::INFINITY;
            for rung in class_settings.lowest_rung..=class_settings.highest_rung {
                let Some(here) = self.settings.ladder.get(rung) else { break };
                let is_lowest = rung <= class_settings.lowest_rung;
                let below = if is_lowest { Rung::default() } else { self.settings.ladder[rung - 1] };
                let kb_s = (here.rate_kb_s - below.rate_kb_s) * class_settings.rate_scale;
                if kb_s > 0.0 {
                    let added_utility = class_settings.priority_weight * (here.utility - below.utility);
                    utility_per_kb = utility_per_kb.min(added_utility / kb_s);
                }
                steps.push(RungStep {
                    utility_per_kb,
                    at: ClassRung { class, rung },
                    kb_s: kb_s * fleet_viewers,
                });
            }
        }
        steps
    }
}
