//! Observations of viewers' demand: arrivals, rejections, durations of sessions, and the estimates that
//! [`crate::policy::demand`] derives from them.

use crate::interface::Request;
use crate::time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// A recently rejected viewer.
pub(crate) struct RejectedViewer {
    pub at: Timestamp,
    pub class: usize,
}

/// New viewers within one time step.
struct ArrivalStep {
    from: Timestamp,
    count: f64,
    /// Sum of their expected session durations in seconds, by class.
    seconds: BTreeMap<usize, f64>,
}

/// Totals of the arrivals in a time window.
pub(crate) struct ArrivalTotals {
    pub count: f64,
    /// Sum of expected session durations in seconds; above 0, so that it can be a divisor.
    pub seconds: f64,
    /// The part of `seconds` from recent arrivals.
    pub recent_seconds: f64,
    pub seconds_by_class: BTreeMap<usize, f64>,
}

/// Recent arrivals, aggregated by time step.
#[derive(Default)]
pub(crate) struct Arrivals {
    steps: VecDeque<ArrivalStep>,
}

impl Arrivals {
    /// Records a viewer with an expected session duration. With `is_counted` false, it only starts a new time
    /// step.
    pub fn record(&mut self, from: Timestamp, class: usize, seconds: f64, is_counted: bool) {
        if self.steps.back().is_none_or(|step| step.from < from) {
            self.steps.push_back(ArrivalStep { from, count: 0.0, seconds: BTreeMap::new() });
        }
        if let Some(step) = self.steps.back_mut().filter(|_| is_counted) {
            step.count += 1.0;
            *step.seconds.entry(class).or_default() += seconds;
        }
    }

    /// Removes steps before `start` and sums the rest. Steps after `recent_start` are recent.
    pub fn totals(&mut self, start: Timestamp, recent_start: Timestamp) -> ArrivalTotals {
        while self.steps.front().is_some_and(|step| step.from < start) {
            self.steps.pop_front();
        }
        let seconds_by_class = BTreeMap::new();
        let mut totals = ArrivalTotals { count: 0.0, seconds: 1e-9, recent_seconds: 0.0, seconds_by_class };
        for step in &self.steps {
            totals.count += step.count;
            for (class, wanted) in &step.seconds {
                totals.seconds += wanted;
                totals.recent_seconds += if step.from > recent_start { *wanted } else { 0.0 };
                *totals.seconds_by_class.entry(*class).or_insert(0.0) += wanted;
            }
        }
        totals
    }
}

/// Exponentially decaying sums over the sessions that have ended at this director.
#[derive(Default)]
pub(crate) struct EndedSessions {
    pub count: f64,
    pub seconds: f64,
    /// Number of sessions with a duration hint.
    pub hinted: f64,
    /// Sum of their ratios of duration to hint.
    pub hint_fractions: f64,
}

impl EndedSessions {
    /// Adds an ended session, after multiplying the earlier sums by `decay`.
    pub fn record(&mut self, duration: TimeDelta, hint: Option<TimeDelta>, decay: f64) {
        let seconds = duration.as_secs_f64();
        let hint = hint.filter(|hint| *hint > TimeDelta::ZERO);
        let fraction = hint.map(|hint| seconds * 1e6 / hint.as_micros() as f64);
        let add = |sum: &mut f64, added: f64| *sum = *sum * decay + added;
        add(&mut self.count, 1.0);
        add(&mut self.seconds, seconds);
        add(&mut self.hinted, if fraction.is_some() { 1.0 } else { 0.0 });
        add(&mut self.hint_fractions, fraction.unwrap_or(0.0));
    }
}

/// A rung of a class.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ClassRung {
    pub class: usize,
    pub rung: usize,
}

/// Demand of all viewers as a fraction of the fleet's usable capacity, if each had every rung with at least
/// this one's utility per rate.
#[derive(Clone, Copy)]
pub(crate) struct RungDemand {
    /// Before anyone is given this rung.
    pub without_rung: f64,
    /// With this rung given to all viewers of the class.
    pub with_rung: f64,
}

/// Observed and estimated demand.
#[derive(Default)]
pub(crate) struct Demand {
    /// Recently rejected viewers, by viewer id.
    pub rejected: BTreeMap<u64, RejectedViewer>,
    pub arrivals: Arrivals,
    pub ended: EndedSessions,
    pub rungs: BTreeMap<ClassRung, RungDemand>,
    /// Capacity of links and uplinks up to the utilization limit, kB/s.
    pub capacity_kb_s: f64,
    /// Whether any tenant with sessions here is within its quota.
    pub has_tenant_within_quota: bool,
}

impl Demand {
    /// Records a rejected viewer, who is expected to return.
    pub fn record_rejection(&mut self, request: &Request, now: Timestamp) {
        self.rejected.insert(request.viewer, RejectedViewer { at: now, class: request.class });
    }
}
