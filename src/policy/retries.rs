//! Whether and when a request is tried again: retry budget, seats, attempt timeouts, and what follows from an
//! outcome. A request that may have run is repeated only where its class is idempotent.

use crate::director::Director;
use crate::interface::{Action, Outcome, Request, RetryBudget};
use crate::state::sessions::PendingRequest;
use crate::time::TimeDelta;

/// Attempts time out after so many usual set-up times.
const TIMEOUT_SETUP_TIMES: f64 = 4.0;
/// Shortest attempt timeout: a handshake and a busy core.
const MIN_ATTEMPT_TIMEOUT: TimeDelta = TimeDelta::from_millis(300);
/// Usual set-up time before any was seen, in microseconds.
pub(crate) const INITIAL_SETUP_TIME_US: f64 = 120_000.0;
/// Weight of the latest set-up time in the usual one.
pub(crate) const SETUP_TIME_WEIGHT: f64 = 0.1;
/// Later deadlines are cut to this.
pub(crate) const MAX_DEADLINE: TimeDelta = TimeDelta::from_secs(3600);
/// A request that so many servers answer with an error is at fault itself: no further server is judged by it.
const FAULTY_REQUEST_ERRORS: u32 = 2;

/// Whether a request's errors are its own: what several servers answer with an error is wrong by itself.
pub(crate) fn is_faulty(pending: &PendingRequest) -> bool {
    pending.error_responses >= FAULTY_REQUEST_ERRORS
}

impl Director {
    /// Whether seats, attempts, deadline and retry budget allow another attempt.
    pub(crate) fn allows_attempt(&self, pending: &PendingRequest) -> bool {
        let request = &pending.request;
        let session_limit =
            self.settings.classes.get(request.class).map_or(0, |class| class.session_limit_per_title);
        let held = self.sessions.by_title.get(&request.title).copied().unwrap_or(0);
        if session_limit > 0 && held >= session_limit as usize {
            return false;
        }
        let limits = &self.settings.limits;
        let is_too_late = self.now >= request.deadline - limits.min_batch_interval;
        if pending.attempts >= limits.max_attempts.max(1) || is_too_late {
            return false;
        }
        let budget = self.settings.rules.retry_budget.filter(|_| pending.attempts > 0);
        budget.is_none_or(|budget| self.allows_retry(budget))
    }

    /// Whether the budget has one more retry. A retry on the window's edge counts, a request on it does not.
    fn allows_retry(&self, budget: RetryBudget) -> bool {
        let window_start = self.now - budget.window;
        let retries = self.attempts.retries_from(window_start) as f64;
        let requests = self.attempts.requests_after(window_start) as f64;
        retries + 1.0 <= budget.base + budget.per_request * requests
    }

    /// An idempotent set-up times out while another server can still meet the viewer's deadline. One that may
    /// run only once is not sent again after a timeout, so it waits as long as the viewer does.
    pub(crate) fn attempt_timeout(&self, pending: &PendingRequest) -> Option<TimeDelta> {
        let is_last = pending.attempts + 1 >= self.settings.limits.max_attempts;
        let usual = TimeDelta::from_micros((self.setup_time.mean_us * TIMEOUT_SETUP_TIMES) as i64);
        let timeout = usual.max(MIN_ATTEMPT_TIMEOUT);
        let is_retryable = self.settings.is_idempotent(pending.request.class) && !is_last;
        (is_retryable && self.now + timeout < pending.request.deadline).then_some(timeout)
    }

    /// Whether a request that is still owed its answer goes on after an attempt with this outcome: where it
    /// never ran, or may run again and the request is not at fault itself.
    pub(crate) fn is_retryable(&self, pending: &PendingRequest, outcome: Outcome) -> bool {
        let never_ran = matches!(outcome, Outcome::Rejected | Outcome::ConnectionFailed | Outcome::NotSent);
        never_ran || (self.settings.is_idempotent(pending.request.class) && !is_faulty(pending))
    }

    /// Answers a request whose time is up while its attempt is out: one that may run only once has failed.
    pub(crate) fn answer_at_deadline(&mut self, request: &Request) {
        if self.settings.is_idempotent(request.class) {
            self.reject(request);
        } else {
            self.actions.push(Action::Fail { session: request.session });
        }
    }
}
