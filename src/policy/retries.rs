//! Whether a request gets another attempt: session limits, retry budget, attempt timeouts and outcomes. A
//! set-up that may have run is retried only if its class is idempotent.

use crate::director::Director;
use crate::interface::{Action, Outcome, Request, RetryBudget};
use crate::state::sessions::PendingRequest;
use crate::time::TimeDelta;

/// Attempt timeout, in mean set-up times.
const TIMEOUT_SETUP_TIMES: f64 = 4.0;
/// Shortest attempt timeout, which leaves time for a handshake on a busy core.
const MIN_ATTEMPT_TIMEOUT: TimeDelta = TimeDelta::from_millis(300);
/// Initial mean set-up time, in microseconds.
pub(crate) const INITIAL_SETUP_TIME_US: f64 = 120_000.0;
/// Weight of the latest set-up time in the moving average.
pub(crate) const SETUP_TIME_WEIGHT: f64 = 0.1;
/// Longest wait for an answer; later deadlines are shortened to it.
pub(crate) const MAX_DEADLINE: TimeDelta = TimeDelta::from_secs(3600);
/// Number of servers that must answer a request with an error for the fault to be attributed to the request.
/// Further errors do not count against servers.
const FAULTY_REQUEST_ERRORS: u32 = 2;

/// Whether the request itself is at fault, since several servers answered it with an error.
pub(crate) fn is_faulty(pending: &PendingRequest) -> bool {
    pending.error_responses >= FAULTY_REQUEST_ERRORS
}

impl Director {
    /// Whether the title's session limit, the number of attempts, the deadline and the retry budget allow
    /// another attempt.
    pub(crate) fn allows_attempt(&self, pending: &PendingRequest) -> bool {
        let request = &pending.request;
        let session_limit =
            self.settings.classes.get(request.class).map_or(0, |class| class.session_limit_per_title);
        let title_sessions = self.sessions.by_title.get(&request.title).copied().unwrap_or(0);
        if session_limit > 0 && title_sessions >= session_limit as usize {
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

    /// Whether the budget allows one more retry. A retry exactly at the start of the window counts, a request
    /// does not.
    fn allows_retry(&self, budget: RetryBudget) -> bool {
        let window_start = self.now - budget.window;
        let retries = self.attempts.retries_from(window_start) as f64;
        let requests = self.attempts.requests_after(window_start) as f64;
        retries + 1.0 <= budget.base + budget.per_request * requests
    }

    /// Timeout of the next attempt; `None`: it may take until the deadline. Only an idempotent set-up with
    /// time for another attempt before the deadline gets one: an at-most-once set-up is not retried after a
    /// timeout.
    pub(crate) fn attempt_timeout(&self, pending: &PendingRequest) -> Option<TimeDelta> {
        let is_last = pending.attempts + 1 >= self.settings.limits.max_attempts;
        let usual = TimeDelta::from_micros((self.setup_time.mean_us * TIMEOUT_SETUP_TIMES) as i64);
        let timeout = usual.max(MIN_ATTEMPT_TIMEOUT);
        let is_retryable = self.settings.is_idempotent(pending.request.class) && !is_last;
        (is_retryable && self.now + timeout < pending.request.deadline).then_some(timeout)
    }

    /// Whether an unanswered request may be retried after an attempt with this outcome: either the set-up did
    /// not run, or its class is idempotent and the request itself is not at fault.
    pub(crate) fn is_retryable(&self, pending: &PendingRequest, outcome: Outcome) -> bool {
        let never_ran = matches!(outcome, Outcome::Rejected | Outcome::ConnectionFailed | Outcome::NotSent);
        never_ran || (self.settings.is_idempotent(pending.request.class) && !is_faulty(pending))
    }

    /// Answers a request at its deadline while an attempt is in flight. An at-most-once set-up may have run,
    /// so it is failed rather than rejected.
    pub(crate) fn answer_at_deadline(&mut self, request: &Request) {
        if self.settings.is_idempotent(request.class) {
            self.reject(request);
        } else {
            self.actions.push(Action::Fail { session: request.session });
        }
    }
}
