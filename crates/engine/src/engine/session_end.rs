//! The end of sessions: immediate for the viewer, and reported to the decision module once all nodes have confirmed.

use super::Engine;
use crate::pending_ends::EndKey;
use crate::session::{Session, Stage};
use shalewall::{Event, LoadReport, Outcome, ServerId, SessionId};

impl Engine {
    /// Ends a playing session. The decision module is notified when the node has confirmed the end.
    pub(super) fn end_session(&mut self, session: SessionId) {
        let Some(state) = self.sessions.get_mut(session) else {
            return;
        };
        let Some(server) = state.playing_at() else {
            return;
        };
        state.stage = Stage::Ending {
            server,
            outcome: Outcome::Success,
        };
        let viewer = state.viewer;
        let attempt = state.last_attempt();
        // Counted as unconfirmed until all ends are required, so that the session is not finished in between.
        state.unconfirmed_ends += 1;
        self.sessions.release_viewer(viewer, session);
        self.stop_migration(session);
        let key = EndKey {
            server,
            session,
            attempt,
        };
        self.require_end(key, None);
        if let Some(state) = self.sessions.get_mut(session) {
            state.unconfirmed_ends -= 1;
        }
        self.finish_if_over(session);
    }

    /// Ends the playing sessions of a tenant. Waiting requests are answered as usual.
    pub(super) fn end_tenant_sessions(&mut self, tenant: &str) {
        let ending = self
            .sessions
            .ids_where(|session| session.tenant.as_deref() == Some(tenant) && session.is_playing());
        for session in ending {
            self.end_session(session);
        }
    }

    /// Finishes a session that its viewer has left, once no request waits for it and all nodes have confirmed its end.
    pub(super) fn finish_if_over(&mut self, session: SessionId) {
        let Some(state) = self.sessions.get(session) else {
            return;
        };
        if let Some((server, outcome)) = state.outcome_if_over() {
            let attempt = state.last_attempt();
            self.finish_session(session, server, attempt, outcome);
        }
    }

    /// Removes a session that had started, and notifies the decision module that it is over.
    pub(super) fn finish_session(
        &mut self,
        session: SessionId,
        server: ServerId,
        attempt: u32,
        outcome: Outcome,
    ) {
        let state = self.sessions.get(session);
        let earlier_attempts = state.map_or(0, |state| state.earlier_attempts);
        self.remove_session(session);
        self.events.push_back(Event::AttemptFinished {
            session,
            attempt: attempt.saturating_sub(earlier_attempts),
            server,
            outcome,
            is_answered: true,
            load_report: LoadReport::default(),
        });
    }

    /// Removes a session and releases its numbers in the catalogue and its admission.
    pub(super) fn remove_session(&mut self, session: SessionId) {
        self.stop_migration(session);
        let Some(removed) = self.sessions.remove(session) else {
            return;
        };
        let Session {
            request, tenant, ..
        } = removed;
        self.catalogue.release(request.class, request.tenant);
        self.admission.release(self.now, tenant.as_deref());
    }
}
