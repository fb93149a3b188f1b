//! Passes events to the decision module and carries out its actions.

use super::Engine;
use super::timer::Timer;
use crate::output::{Answer, Output};
use shalewall::{Action, SessionId, TimeDelta};

/// The decision module may fail a session ahead of its deadline by its batch interval plus this tolerance.
const DEADLINE_TOLERANCE: TimeDelta = TimeDelta::from_millis(1);

impl Engine {
    /// Passes the queued events to the decision module and carries out its actions, until no event is left.
    pub(super) fn run_policy(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.policy.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::StartAttempt {
                session,
                server,
                attempt_timeout,
            } => self.start_attempt(session, server, attempt_timeout),
            Action::CancelAttempt { session, attempt } => self.cancel_attempt(session, attempt),
            Action::SetRung { session, rung } => self.set_rung(session, rung),
            Action::Reject {
                session,
                retry_after,
            } => {
                let answer = Answer::Rejected {
                    session: Some(session),
                    retry_after,
                };
                self.answer_session(session, answer);
            }
            Action::Fail { session } => self.fail_session(session),
            Action::Redirect { session } => self.end_session(session),
            Action::SetTimer { after, token } => {
                let due = self.now + after.max(TimeDelta::ZERO);
                self.timers.set(due, Timer::Policy(token));
            }
            Action::Migrate {
                session,
                server,
                rung,
            } => self.start_migration(session, server, rung),
            Action::CheckHealth { server } => self.check_health(server),
            Action::CloseIdleConnections { server } => {
                let output = Output::CloseIdleConnections { server };
                self.outputs.push_back(output);
            }
            Action::Log(text) => self.outputs.push_back(Output::Log(text)),
            // The endpoint list is pushed, and there is no communication between directors yet.
            Action::PollEndpoints | Action::WatchEndpoints(_) | Action::SendToPeer { .. } => {}
        }
    }

    fn fail_session(&mut self, session: SessionId) {
        let tolerance = self.config.settings.limits.min_batch_interval + DEADLINE_TOLERANCE;
        let now = self.now;
        let is_late = |deadline| now >= deadline - tolerance;
        let state = self.sessions.get(session);
        let answer = Answer::Failed {
            session,
            is_deadline_exceeded: state.is_some_and(|state| is_late(state.request.deadline)),
        };
        self.answer_session(session, answer);
    }
}
