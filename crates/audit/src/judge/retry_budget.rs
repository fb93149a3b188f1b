//! Rule: the retries of each director stay within the retry budget.

use super::{Judge, SetUp};
use crate::verdict::Rule;
use shalewall::Timestamp;
use std::collections::BTreeMap;

/// Keeps the limit above zero as a divisor.
const MIN_LIMIT: f64 = 1e-9;

/// Requests and retries of each director since its last start.
#[derive(Default)]
pub(super) struct RetryWindows {
    requests: BTreeMap<u32, Vec<Timestamp>>,
    retries: BTreeMap<u32, Vec<Timestamp>>,
}

impl RetryWindows {
    pub fn add_request(&mut self, director: u32, time: Timestamp) {
        self.requests.entry(director).or_default().push(time);
    }

    fn add_retry(&mut self, director: u32, time: Timestamp) {
        self.retries.entry(director).or_default().push(time);
    }

    /// Forgets the requests and retries of a director that restarted.
    pub fn clear(&mut self, director: u32) {
        self.requests.remove(&director);
        self.retries.remove(&director);
    }

    fn requests_after(&self, director: u32, from: Timestamp) -> f64 {
        count_after(self.requests.get(&director), from)
    }

    fn retries_after(&self, director: u32, from: Timestamp) -> f64 {
        count_after(self.retries.get(&director), from)
    }
}

fn count_after(times: Option<&Vec<Timestamp>>, from: Timestamp) -> f64 {
    let times = times.into_iter().flatten();
    times.filter(|time| **time > from).count() as f64
}

impl Judge<'_> {
    pub(super) fn check_retry_budget(&mut self, set_up: &SetUp<'_>) {
        if set_up.id.number == 0 {
            return;
        }
        let Some(budget) = &self.rules.retry_budget else {
            return;
        };
        let director = set_up.route.director;
        self.retry_windows.add_retry(director, set_up.time);
        // Events may arrive in a later window than the one in which they were sent.
        let window_start = set_up.time - budget.window;
        let transit = self.rules.transit;
        let retries = self
            .retry_windows
            .retries_after(director, window_start + transit);
        let requests = self
            .retry_windows
            .requests_after(director, window_start - transit);
        let limit = budget.free + budget.per_request * requests;
        let utilization = retries / limit.max(MIN_LIMIT);
        self.verdict
            .record_check(Rule::RetryBudget, set_up.tenant, utilization);
        if retries > limit {
            let evidence =
                format!("director {director}: {retries} further attempts, {limit:.1} allowed");
            self.verdict
                .record_violation(Rule::RetryBudget, set_up.tenant, set_up.time, evidence);
        }
    }
}
