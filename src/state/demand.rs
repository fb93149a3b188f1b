//! What was seen of viewers' demand: arrivals, rejections, how long sessions lasted, and the figures that
//! [`crate::policy::demand`] made of them.

use crate::interface::Request;
use crate::time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// A viewer lately rejected.
pub(crate) struct RejectedViewer {
    pub at: Timestamp,
    pub class: usize,
}

/// New viewers of one step of time.
struct ArrivalStep {
    from: Timestamp,
    count: f64,
    /// Seconds that they want, by class.
    seconds: BTreeMap<usize, f64>,
}

/// Arrivals over a span of time.
pub(crate) struct ArrivalTotals {
    pub count: f64,
    /// Seconds that they want; never 0, so that it can divide.
    pub seconds: f64,
    /// The same of those that came lately.
    pub recent_seconds: f64,
    pub seconds_by_class: BTreeMap<usize, f64>,
}

/// Arrivals of late, in steps of time.
#[derive(Default)]
pub(crate) struct Arrivals {
    steps: VecDeque<ArrivalStep>,
}

impl Arrivals {
    /// Counts a viewer who wants to play for so many seconds. One that is not counted still begins a step.
    pub fn record(&mut self, from: Timestamp, class: usize, seconds: f64, is_counted: bool) {
        if self.steps.back().is_none_or(|step| step.from < from) {
            self.steps.push_back(ArrivalStep { from, count: 0.0, seconds: BTreeMap::new() });
        }
        if let Some(step) = self.steps.back_mut().filter(|_| is_counted) {
            step.count += 1.0;
            *step.seconds.entry(class).or_default() += seconds;
        }
    }

    /// Forgets what is older than `start`, and sums the rest; steps after `recent_start` are recent.
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

/// Sums over the sessions that have ended here; older ones fade.
#[derive(Default)]
pub(crate) struct EndedSessions {
    pub count: f64,
    pub seconds: f64,
    /// Those with a duration hint.
    pub hinted: f64,
    /// Sum of the durations of those hinted, as fractions of their hints.
    pub hint_fractions: f64,
}

impl EndedSessions {
    /// Takes a session's end; the earlier ones fade by the factor `fade`.
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

/// What all viewers would ask, over the fleet's usable capacity, if each had every rung worth as much for its rate.
#[derive(Clone, Copy)]
pub(crate) struct RungDemand {
    /// Before this rung is given to any.
    pub without_rung: f64,
    /// With this rung given to all who want it.
    pub with_rung: f64,
}

/// The demand seen.
#[derive(Default)]
pub(crate) struct Demand {
    /// Viewers lately rejected, by viewer.
    pub rejected: BTreeMap<u64, RejectedViewer>,
    pub arrivals: Arrivals,
    pub ended: EndedSessions,
    pub rungs: BTreeMap<ClassRung, RungDemand>,
    /// What links and uplinks give under the full line, kB a second.
    pub capacity_kb_s: f64,
    /// Some tenant here holds no more than its quota.
    pub has_tenant_within_quota: bool,
}

impl Demand {
    /// A viewer is rejected, and will come again.
    pub fn record_rejection(&mut self, request: &Request, now: Timestamp) {
        self.rejected.insert(request.viewer, RejectedViewer { at: now, class: request.class });
    }
}
