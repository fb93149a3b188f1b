//! Estimates the demand on the fleet from active sessions, recently rejected viewers and expected arrivals,
//! assuming that the other directors see the same. It scales the utilization limit of each rung in
//! [`super::admission`].

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

/// Time for which a rejected viewer counts towards demand. Most return sooner.
const REJECTED_VIEWER_RETENTION: TimeDelta = TimeDelta::from_secs(3);
/// Window of arrivals from which future demand is estimated.
const ARRIVALS_WINDOW: TimeDelta = TimeDelta::from_secs(30);
/// Shorter window at the end of [`ARRIVALS_WINDOW`]. Its rate bounds the estimate, so that a burst that has
/// ended does not count as lasting demand.
const RECENT_ARRIVALS_WINDOW: TimeDelta = TimeDelta::from_secs(5);
/// Arrivals are aggregated in steps of this length, so that the cost does not grow with their number.
const ARRIVALS_STEP: TimeDelta = TimeDelta::from_secs(1);
/// Time without arrivals that is assumed before the start, in seconds, so that a first viewer is not
/// extrapolated to a steady rate.
const PRESUMED_IDLE_S: f64 = 2.0;
/// How far ahead demand is estimated, in seconds. Sessions can be downgraded for demand that comes later.
const DEMAND_HORIZON_S: f64 = 40.0;
/// Weight of the prior in estimates of durations, in equivalent ended sessions.
const DURATION_PRIOR_WEIGHT: f64 = 8.0;
/// Factor by which the weight of earlier ended sessions decays with each further one.
const DURATION_DECAY: f64 = 0.98;
/// Smallest prior per class, in viewers; a smaller one is omitted.
const MIN_PRIOR_PER_CLASS: f64 = 0.02;

impl Director {
    /// Counts the arrival of a new viewer. A returning viewer has been counted at the first request.
    pub(crate) fn count_arrival(&mut self, request: &Request, is_returning: bool) {
        let seconds = self.remaining_seconds(request, TimeDelta::ZERO);
        let step = self.now.round_down(ARRIVALS_STEP);
        self.demand.arrivals.record(step, request.class, seconds, !is_returning);
    }

    /// Records the duration of a session that has played to its end.
    pub(crate) fn record_end(&mut self, duration: TimeDelta, hint: Option<TimeDelta>) {
        self.demand.ended.record(duration, hint, DURATION_DECAY);
    }

    /// Expected remaining time of a session of this age, in seconds. Based on its duration hint, corrected by
    /// the observed ratio of durations to hints; without a hint, on the mean duration of ended sessions, with
    /// twice the age of the oldest active session as the prior.
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

    /// Expected growth over the current viewers within [`DEMAND_HORIZON_S`], by class, if arrivals continue
    /// at the recent rate. By Little's law the number of sessions tends to the arrival rate times their mean
    /// duration.
    fn expected_growth(&mut self, current_viewers: f64) -> BTreeMap<usize, f64> {
        let recent_start = self.now - RECENT_ARRIVALS_WINDOW;
        let totals = self.demand.arrivals.totals(self.now - ARRIVALS_WINDOW, recent_start);
        let observed_s = |span| (self.now - self.started_at).min(span).as_secs_f64() + PRESUMED_IDLE_S;
        // Few arrivals, as at each of hundreds of directors, are weak evidence, so two standard deviations
        // are subtracted. The recent rate bounds the result, so that a burst that has ended does not count.
        let confident_fraction = 1.0 - 2.0 / totals.count.max(4.0).sqrt();
        let recent_offered_load = totals.recent_seconds / observed_s(RECENT_ARRIVALS_WINDOW);
        let offered_load =
            f64::min(recent_offered_load, totals.seconds / observed_s(ARRIVALS_WINDOW) * confident_fraction);
        let added = (offered_load - current_viewers).max(0.0)
            * (DEMAND_HORIZON_S * totals.count / totals.seconds).min(1.0);
        let mut growth = totals.seconds_by_class;
        growth.values_mut().for_each(|wanted| *wanted *= added / totals.seconds);
        growth
    }

    /// Demand for a rung. For a tenant with a quota it is the demand of its own sessions on that quota, if
    /// that is lower, so that one tenant's demand does not lower another's rungs.
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

    /// Whether the capacity suffices to give a rung to a fraction of all viewers, from 0 to 1, on a server
    /// whose load is `load_ratio` times the mean.
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

    /// Updates the estimate of demand from this director's viewers. Rungs are counted in order of decreasing
    /// utility per rate, the order in which they should be given.
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

    /// Capacity of the links and uplinks of ready, healthy servers up to [`UTILIZATION_LIMIT`], kB/s.
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

    /// This director's viewers by class: active sessions, recently rejected viewers, expected arrivals and a
    /// prior.
    fn viewers_by_class(&mut self) -> BTreeMap<usize, f64> {
        let current_viewers = self.sessions.len() as f64 + self.demand.rejected.len() as f64;
        let mut viewers = self.expected_growth(current_viewers);
        for (class, sessions) in &self.sessions.by_class {
            *viewers.entry(*class).or_default() += *sessions as f64;
        }
        for viewer in self.demand.rejected.values() {
            *viewers.entry(viewer.class).or_default() += 1.0;
        }
        let classes = self.settings.classes.len();
        let prior = PRIOR_WEIGHT / classes.max(1) as f64;
        // With few classes, any may be requested next. With thousands on a shared director, only those that
        // have been seen count.
        if prior > MIN_PRIOR_PER_CLASS {
            (0..classes).for_each(|class| *viewers.entry(class).or_default() += prior);
        }
        viewers
    }

    /// Each rung of each class, with the rate that it adds for all of the class's viewers in the fleet. The
    /// utility per rate of a rung is capped at that of the rungs below it, so that lower rungs sort first.
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
