//! Requests that wait for health checks of their candidate servers.

use super::Director;
use crate::interface::{Action, Outcome, ServerId, SessionId};
use crate::policy::health_checks::CHECK_TIMEOUT;
use crate::state::sessions::PendingRequest;

/// A request that waits for health checks of its candidates.
pub(super) struct AwaitingChecks {
    pending: PendingRequest,
    /// Candidates whose checks are still pending.
    unanswered: Vec<ServerId>,
}

impl Director {
    /// Sends the health checks and holds the request until they finish or [`CHECK_TIMEOUT`] has passed.
    pub(super) fn start_health_checks(&mut self, pending: PendingRequest, unanswered: Vec<ServerId>) {
        let session = pending.request.session;
        self.actions.extend(unanswered.iter().map(|server| Action::CheckHealth { server: *server }));
        self.set_session_timer(session, CHECK_TIMEOUT);
        self.awaiting_checks.insert(session, AwaitingChecks { pending, unanswered });
    }

    /// Records a finished health check and decides the requests that waited for no other one.
    pub(super) fn finish_health_check(&mut self, server: ServerId, outcome: Outcome) {
        self.record_health_check(server, outcome);
        for waiting in self.awaiting_checks.values_mut() {
            waiting.unanswered.retain(|unanswered| *unanswered != server);
        }
        let is_ready = |waiting: &AwaitingChecks| waiting.unanswered.is_empty();
        let waiting = self.awaiting_checks.iter();
        let ready: Vec<_> = waiting.filter(|(_, w)| is_ready(w)).map(|(id, _)| *id).collect();
        ready.into_iter().for_each(|id| self.finish_waiting(id));
    }

    /// Decides a waiting request on the reports that have arrived. Does nothing if the request does not wait.
    pub(super) fn finish_waiting(&mut self, id: SessionId) {
        let Some(waiting) = self.awaiting_checks.remove(&id) else { return };
        self.admit(waiting.pending);
    }
}
