//! Sessions that a director takes over, and sessions that migrate. Sessions that play when a director starts
//! are transferred to it; a caller may request that a playing session migrates to another server that hosts
//! its title.

use super::Director;
use crate::interface::{Action, Request, ServerId, SessionId};
use crate::policy::downgrades::RECONSIDER_INTERVAL;
use crate::policy::retries::MAX_DEADLINE;
use crate::state::records::Placement;
use crate::state::sessions::{ActiveSession, PendingRequest, SessionState, placeholder_id};

impl Director {
    /// Takes over a session that already plays. It is recorded at its class's lowest rung until a
    /// notification gives the actual one.
    pub(super) fn adopt_session(&mut self, mut request: Request, server: ServerId) {
        if self.sessions.contains(request.session) {
            return;
        }
        let sent_at = self.presumed_send_time();
        // The hint is the remaining duration, but the session's age counts from `sent_at`.
        request.duration_hint = request.duration_hint.map(|hint| hint + (self.now - sent_at));
        let rung = self.settings.lowest_rung(request.class);
        let rate_kb_s = self.settings.rate(request.class, rung);
        let pending = PendingRequest { attempts: 1, ..PendingRequest::already_at(server, request) };
        let state = SessionState::Playing;
        let reconsider_at = self.now;
        self.add_session(ActiveSession { pending, state, server, rung, rate_kb_s, sent_at, reconsider_at });
    }

    /// Finds another server for a playing session by the rules for a new one. Until the migration finishes,
    /// the session counts twice, at source and target: towards rates and towards the limit of sessions per
    /// title.
    pub(super) fn start_migration(&mut self, id: SessionId) {
        let is_migrating = self.sessions.contains(placeholder_id(id));
        if is_migrating || !self.sessions.get(id).is_some_and(ActiveSession::is_playing) {
            return;
        }
        let Some(session) = self.sessions.remove(id) else { return };
        let hint = session.pending.request.duration_hint;
        let duration_hint = hint.map(|hint| hint - (self.now - session.sent_at));
        let deadline = self.now + MAX_DEADLINE;
        let request = Request { duration_hint, deadline, ..session.pending.request };
        let mut pending = PendingRequest::already_at(session.server, request);
        // The session is removed during the search, so that it neither counts towards its own title's session
        // limit nor is downgraded for its own migration.
        let found = self.place(&pending);
        self.sessions.insert(session);
        let Some(Placement { server, rung }) = found else { return };
        self.attempts.record_migration(self.now);
        self.record_set_up(server);
        pending.request.session = placeholder_id(id);
        let rate_kb_s = self.settings.rate(request.class, rung);
        let state = SessionState::Closed;
        let sent_at = self.now;
        let reconsider_at = sent_at + RECONSIDER_INTERVAL;
        self.add_session(ActiveSession { pending, state, server, rung, rate_kb_s, sent_at, reconsider_at });
        self.actions.push(Action::Migrate { session: id, server, rung });
    }

    /// Ends a migration: the session now plays at the target, or it stays at the source.
    pub(super) fn finish_migration(&mut self, id: SessionId, is_migrated: bool) {
        let Some(target) = self.sessions.remove(placeholder_id(id)) else { return };
        let Some(source) = is_migrated.then(|| self.sessions.remove(id)).flatten() else {
            return self.adjust_own_rate(target.server, -target.rate_kb_s);
        };
        self.record_health(target.server, true);
        self.adjust_own_rate(source.server, -source.rate_kb_s);
        let request = Request { session: id, ..target.pending.request };
        let pending = PendingRequest { request, ..source.pending };
        self.sessions.insert(ActiveSession { pending, state: SessionState::Playing, ..target });
    }
}
