//! The end of sessions: for the viewer at once, for the decision module when all nodes have confirmed.

use super::Engine;
use crate::pending_ends::EndKey;
use crate::session::{Session, Stage};
use shalewall::{Event, LoadReport, Outcome, ServerId, SessionId};

impl Engine {
    /// Ends a session that plays. The decision module hears of it when the node has confirmed.
    pub(super) fn end_session(&mut self, session: SessionId) {
        let Some(state) = self.sessions.get_mut(session) else {
            return;
        };
        let Some(server) = state.playing_at() else {
            return;
        };
        state.stage = Stage::Leaving {
            server,
            outcome: Outcome::Success,
        };
        let viewer = state.viewer;
        let attempt = state.last_attempt();
        // It is not over before the last of its nodes has confirmed: held until all ends are required.
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

    /// Ends what plays of a tenant; requests that wait have their answers as usual.
    pub(super) fn end_tenant_sessions(&mut self, tenant: &str) {
        let ending = self
            .sessions
            .ids_where(|session| session.tenant.as_deref() == Some(tenant) && session.is_playing());
        for session in ending {
            self.end_session(session);
        }
    }

    /// Finishes a session that its viewer has left, once no request waits for it and no node holds it.
    pub(super) fn finish_if_over(&mut self, session: SessionId) {
        let Some(state) = self.sessions.get(session) else {
            return;
        };
        if let Some((server, outcome)) = state.outcome_if_over() {
            let attempt = state.last_attempt();
            self.finish_session(session, server, attempt, outcome);
        }
    }

    /// Tells the decision module that a session that had begun is over.
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

    /// Forgets a session and releases what it holds.
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
