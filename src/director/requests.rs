//! The life cycle of a request, from its arrival through its attempts to its final answer.

use super::Director;
use crate::interface::{Action, Outcome, Request, ServerId, SessionId};
use crate::policy::retries::{MAX_DEADLINE, SETUP_TIME_WEIGHT, is_faulty};
use crate::state::attempts::FinishedAttempt;
use crate::state::records::Placement;
use crate::state::sessions::{ActiveSession, PendingRequest, SessionState};
use crate::time::TimeDelta;

impl Director {
    /// Handles a viewer's request for a session: admits or rejects it, or sends health checks first.
    pub(super) fn receive_request(&mut self, mut request: Request) {
        let budget_window = self.settings.rules.retry_budget.map_or(TimeDelta::ZERO, |budget| budget.window);
        self.attempts.record_request(self.now, budget_window.max(self.settings.rules.overload_window));
        request.deadline = request.deadline.clamp(self.now, self.now + MAX_DEADLINE);
        let is_returning = self.demand.rejected.remove(&request.viewer).is_some();
        self.count_arrival(&request, is_returning || request.is_retry);
        self.estimate_demand();
        if self.sessions.contains(request.session) || self.awaiting_checks.contains_key(&request.session) {
            return; // The id is in use, and its request will get its own answer.
        }
        let pending = PendingRequest::new(request);
        let unreported = self.servers_to_check(&pending);
        if unreported.is_empty() {
            return self.admit(pending);
        }
        self.start_health_checks(pending, unreported);
    }

    /// Sends an attempt and records the session as awaiting its answer.
    pub(crate) fn start_attempt(
        &mut self,
        mut pending: PendingRequest,
        Placement { server, rung }: Placement,
    ) {
        let session = pending.request.session;
        let rate_kb_s = self.settings.rate(pending.request.class, rung);
        let attempt_timeout = self.attempt_timeout(&pending);
        if pending.attempts == 0 {
            let answer_due = pending.request.deadline - self.settings.limits.min_batch_interval;
            self.set_session_timer(session, (answer_due - self.now).max(TimeDelta::ZERO));
        } else {
            self.attempts.record_retry(self.now);
        }
        self.record_set_up(server);
        pending.attempts += 1;
        pending.tried.push(server);
        self.actions.push(Action::SetRung { session, rung });
        self.actions.push(Action::StartAttempt { session, server, attempt_timeout });
        let reconsider_at = self.initial_reconsider_at(server);
        let state = SessionState::AwaitingAnswer;
        let sent_at = self.now;
        self.add_session(ActiveSession { pending, state, server, rung, rate_kb_s, sent_at, reconsider_at });
    }

    /// Records that a session plays. Only the latest attempt changes the session's state.
    pub(super) fn record_start(
        &mut self,
        id: SessionId,
        attempts: u32,
        server: ServerId,
        setup_time: TimeDelta,
    ) {
        self.setup_time.record(setup_time, SETUP_TIME_WEIGHT);
        self.record_health(server, true);
        let is_latest = |s: &ActiveSession| s.awaits_answer() && s.pending.attempts == attempts;
        if self.sessions.get(id).is_some_and(is_latest) {
            self.sessions.update(id, |session| session.state = SessionState::Playing);
        }
    }

    /// Handles the end of an attempt: updates the server's health, and retries or fails a request that has no
    /// answer yet.
    pub(super) fn finish_attempt(&mut self, finished: FinishedAttempt) {
        let FinishedAttempt { session: id, attempts, outcome, is_answered } = finished;
        if self.sessions.get(id).is_none_or(|session| session.pending.attempts != attempts) {
            return;
        }
        self.finish_migration(id, false);
        let Some(session) = self.sessions.remove(id) else { return };
        self.adjust_own_rate(session.server, -session.rate_kb_s);
        if matches!(outcome, Outcome::NotSent | Outcome::ConnectionFailed) {
            let server = self.servers.get_mut(&session.server);
            server.into_iter().for_each(|server| server.recent_set_ups.remove(session.sent_at));
        }
        let is_owed_answer = session.awaits_answer() && !is_answered && outcome != Outcome::Success;
        if session.is_playing() && outcome == Outcome::Success {
            self.record_end(self.now - session.sent_at, session.pending.request.duration_hint);
        }
        let mut pending = session.pending;
        pending.error_responses += u32::from(outcome == Outcome::Error);
        self.record_outcome(session.server, if is_faulty(&pending) { Outcome::NotSent } else { outcome });
        if is_owed_answer && self.is_retryable(&pending, outcome) {
            self.admit(pending);
        } else if is_owed_answer {
            self.actions.push(Action::Fail { session: id });
        }
    }

    /// Handles a session's timer. Decides a request whose health checks are late; gives the final answer if
    /// the deadline is due, even while an attempt is in flight.
    pub(super) fn handle_deadline(&mut self, id: SessionId) {
        self.finish_waiting(id);
        let Some(session) = self.sessions.get(id).filter(|session| session.awaits_answer()) else { return };
        let request = session.pending.request;
        if self.now + self.settings.limits.min_batch_interval < request.deadline {
            return; // The timer was for health checks that have finished before.
        }
        if self.settings.limits.can_cancel {
            let attempt = session.pending.attempts - 1;
            self.actions.push(Action::CancelAttempt { session: id, attempt });
        }
        self.answer_at_deadline(&request);
        self.sessions.update(id, |session| session.state = SessionState::Closed);
    }
}
