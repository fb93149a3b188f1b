//! Owner of the session table: requests and sessions by number and by wire id, and the wire ids that must not be
//! reused.

use crate::HexId;
use crate::ids::{NodeConnectionId, ViewerId};
use crate::recent::Recent;
use crate::recent_ids::RecentIds;
use crate::session::{ActiveSession, Attempt, SendProgress, Session, Stage};
use crate::unconfirmed_transfers::UnconfirmedTransfers;
use shalewall::{ServerId, SessionId, Timestamp};
use std::collections::BTreeMap;

/// Number of ids that are kept of ended sessions that a node may have executed: they must not be executed again.
const MAX_EXECUTED_IDS: usize = 32_768;
/// Number of ids that are kept of other ended sessions.
const MAX_ENDED_IDS: usize = 4096;
/// Number of ids that are kept of requests that were withdrawn before they were received.
const MAX_WITHDRAWN_IDS: usize = 1024;
/// Number of nodes' releases that are kept of sessions that were not transferred yet.
const MAX_EARLY_RELEASES: usize = 4096;

/// Number of sessions of a director.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionCounts {
    /// Requests without an answer.
    pub pending_requests: usize,
    /// Sessions whose request is answered.
    pub active_sessions: usize,
}

impl SessionCounts {
    /// The sum of both.
    pub fn total(&self) -> usize {
        self.pending_requests + self.active_sessions
    }
}

/// The next attempt of a session, before it is started.
pub(crate) struct NextAttempt {
    pub(crate) number: u32,
    /// Whether the request still needs it.
    pub(crate) is_needed: bool,
    /// Time until which the viewer waits for the answer.
    pub(crate) deadline: Timestamp,
}

/// An attempt that ended without a session.
pub(crate) struct EndedAttempt {
    /// The connection on which it was sent.
    pub(crate) connection: Option<NodeConnectionId>,
    /// Whether the request is already answered, or needs no answer.
    pub(crate) is_answered: bool,
}

/// A node's release of a session that was not transferred to this director yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EarlyRelease {
    pub(crate) wire_id: HexId,
    pub(crate) server: ServerId,
    /// The cause for the viewer; `None` if the viewer is not notified.
    pub(crate) viewer_cause: Option<i64>,
}

#[derive(Default)]
pub(crate) struct SessionTable {
    sessions: BTreeMap<SessionId, Session>,
    by_wire_id: BTreeMap<HexId, SessionId>,
    /// Ids of ended sessions that a node may have executed. They are kept apart, since a viewer can end any number of
    /// others at once.
    executed_ids: RecentIds<MAX_EXECUTED_IDS>,
    /// Ids of other ended sessions.
    ended_ids: RecentIds<MAX_ENDED_IDS>,
    /// Ids of requests that were withdrawn on one connection before they were received on another.
    withdrawn_ids: RecentIds<MAX_WITHDRAWN_IDS>,
    early_releases: Recent<EarlyRelease, MAX_EARLY_RELEASES>,
    unconfirmed: UnconfirmedTransfers,
    /// Total size of the descriptions.
    description_bytes: usize,
}

impl SessionTable {
    pub(crate) fn len(&self) -> usize {
        self.sessions.len()
    }

    pub(crate) fn contains(&self, id: SessionId) -> bool {
        self.sessions.contains_key(&id)
    }

    pub(crate) fn counts(&self) -> SessionCounts {
        let is_pending = |session: &&Session| session.awaits_answer;
        let pending_requests = self.sessions.values().filter(is_pending).count();
        SessionCounts {
            pending_requests,
            active_sessions: self.sessions.len() - pending_requests,
        }
    }

    pub(crate) fn get(&self, id: SessionId) -> Option<&Session> {
        self.sessions.get(&id)
    }

    pub(crate) fn find(&self, wire_id: HexId) -> Option<SessionId> {
        self.by_wire_id.get(&wire_id).copied()
    }

    pub(crate) fn get_by_wire_id(&self, wire_id: HexId) -> Option<&Session> {
        self.sessions.get(self.by_wire_id.get(&wire_id)?)
    }

    pub(crate) fn attempt(&self, id: SessionId) -> Option<&Attempt> {
        self.sessions.get(&id)?.attempt()
    }

    pub(crate) fn is_active(&self, id: SessionId) -> bool {
        self.sessions
            .get(&id)
            .is_some_and(|session| session.active().is_some())
    }

    /// Requests without an answer.
    pub(crate) fn pending_requests(&self) -> Vec<SessionId> {
        self.sessions
            .iter()
            .filter(|(_, session)| session.awaits_answer)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Total size of the descriptions of requests that wait for an answer.
    pub(crate) fn description_bytes(&self) -> usize {
        self.description_bytes
    }

    /// Transferred sessions that their node has not confirmed.
    pub(crate) fn unconfirmed(&self) -> &UnconfirmedTransfers {
        &self.unconfirmed
    }

    // ---- ids ---------------------------------------------------------------------------------

    pub(crate) fn has_ended(&self, wire_id: HexId) -> bool {
        self.executed_ids.contains(wire_id) || self.ended_ids.contains(wire_id)
    }

    pub(crate) fn was_withdrawn(&self, wire_id: HexId) -> bool {
        self.withdrawn_ids.contains(wire_id)
    }

    /// Records the withdrawal of a request that has not been received yet.
    pub(crate) fn withdraw_in_advance(&mut self, wire_id: HexId) {
        self.withdrawn_ids.insert(wire_id);
    }

    /// Records the end of a session that no node has executed for this director, so that its id is not accepted again.
    pub(crate) fn record_ended(&mut self, wire_id: HexId) {
        self.ended_ids.insert(wire_id);
    }

    /// Keeps a node's release of an unknown session until the session is transferred. A node repeats its releases on
    /// new connections: a repeated one, or one of a session that has ended here, is not kept.
    pub(crate) fn keep_early_release(&mut self, release: EarlyRelease) {
        let is_repeated = self.early_releases.contains(&release);
        if !is_repeated && !self.has_ended(release.wire_id) {
            self.early_releases.push(release);
        }
    }

    /// Removes the release of a session by the node where it is said to be active, if that release was received before
    /// the session was transferred.
    pub(crate) fn take_early_release(
        &mut self,
        wire_id: HexId,
        server: ServerId,
    ) -> Option<EarlyRelease> {
        self.early_releases
            .take(|release| release.wire_id == wire_id && release.server == server)
    }

    // ---- lifecycle ---------------------------------------------------------------------------

    pub(crate) fn insert(&mut self, id: SessionId, session: Session) {
        self.by_wire_id.insert(session.wire_id, id);
        self.description_bytes += session.description.len();
        self.sessions.insert(id, session);
    }

    /// Removes a session that has ended; returns its viewer's connection.
    pub(crate) fn remove(&mut self, id: SessionId) -> Option<ViewerId> {
        let session = self.sessions.remove(&id)?;
        self.by_wire_id.remove(&session.wire_id);
        self.description_bytes -= session.description.len();
        let is_unconfirmed = self.unconfirmed.viewer_of(id).is_some();
        self.unconfirmed.remove(id);
        if session.may_have_run() && !is_unconfirmed {
            self.executed_ids.insert(session.wire_id);
        } else {
            self.record_ended(session.wire_id);
        }
        session.viewer
    }

    /// Marks a request as answered or no longer waiting; returns its viewer's connection.
    pub(crate) fn mark_answered(&mut self, id: SessionId) -> Option<ViewerId> {
        let session = self.sessions.get_mut(&id)?;
        session.awaits_answer = false;
        self.description_bytes -= session.description.len();
        session.description = String::new();
        session.viewer
    }

    /// Records that a viewer has transferred a session.
    pub(crate) fn mark_transferred(&mut self, id: SessionId, viewer: ViewerId) {
        self.unconfirmed.insert(viewer, id);
    }

    /// Records that a node has sent a message about a session that is active there.
    pub(crate) fn confirm(&mut self, id: SessionId) {
        self.unconfirmed.remove(id);
    }

    /// Clears the viewer's connection, which has closed.
    pub(crate) fn detach_viewer(&mut self, id: SessionId) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.viewer = None;
        }
    }

    /// Marks a session as active after its attempt was answered.
    pub(crate) fn activate(&mut self, id: SessionId, active: ActiveSession) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.stage = Stage::Active(active);
        }
    }

    pub(crate) fn set_rung(&mut self, id: SessionId, rung: usize) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.rung = rung;
        }
    }

    // ---- attempts ----------------------------------------------------------------------------

    /// Assigns a number to the session's next attempt.
    pub(crate) fn number_attempt(&mut self, id: SessionId) -> Option<NextAttempt> {
        let session = self.sessions.get_mut(&id)?;
        let number = session.attempts_started;
        session.attempts_started += 1;
        Some(NextAttempt {
            number,
            is_needed: session.awaits_answer && matches!(session.stage, Stage::Unassigned),
            deadline: session.deadline,
        })
    }

    pub(crate) fn begin_attempt(&mut self, id: SessionId, attempt: Attempt) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.stage = Stage::Attempting(attempt);
        }
    }

    /// Whether the attempt with this number is in progress.
    pub(crate) fn is_attempting(&self, id: SessionId, number: u32) -> bool {
        self.attempt(id)
            .is_some_and(|attempt| attempt.number == number)
    }

    /// Returns the session whose set-up a message on this connection answers.
    pub(crate) fn find_attempt_on(
        &self,
        connection: NodeConnectionId,
        wire_id: HexId,
    ) -> Option<SessionId> {
        let id = self.find(wire_id)?;
        let attempt = self.attempt(id)?;
        let was_sent = attempt.progress != SendProgress::NotStarted;
        (attempt.connection == connection && was_sent).then_some(id)
    }

    /// Records that the first byte of the set-up is about to be written.
    pub(crate) fn begin_write(&mut self, id: SessionId) {
        if let Some(attempt) = self.attempt_mut(id) {
            attempt.progress = SendProgress::PartlyWritten;
        }
    }

    /// Records that the socket accepted no byte of the set-up, which goes back to the queue.
    pub(crate) fn return_unwritten(&mut self, id: SessionId, number: u32) {
        if let Some(attempt) = self.attempt_mut(id)
            && attempt.number == number
            && attempt.progress == SendProgress::PartlyWritten
        {
            attempt.progress = SendProgress::NotStarted;
        }
    }

    /// Records that the whole set-up was written.
    pub(crate) fn finish_write(&mut self, id: SessionId, number: u32) {
        if let Some(attempt) = self.attempt_mut(id)
            && attempt.number == number
        {
            attempt.progress = SendProgress::Written;
        } else {
            return;
        }
        if let Some(session) = self.sessions.get_mut(&id) {
            session.was_written = true;
        }
    }

    /// Ends the current attempt, after which the session is unassigned; returns `None` if there is no such session.
    pub(crate) fn end_attempt(&mut self, id: SessionId) -> Option<EndedAttempt> {
        let session = self.sessions.get_mut(&id)?;
        let connection = session.attempt().map(|attempt| attempt.connection);
        session.stage = Stage::Unassigned;
        Some(EndedAttempt {
            connection,
            is_answered: !session.awaits_answer,
        })
    }

    fn attempt_mut(&mut self, id: SessionId) -> Option<&mut Attempt> {
        match &mut self.sessions.get_mut(&id)?.stage {
            Stage::Attempting(attempt) => Some(attempt),
            Stage::Unassigned | Stage::Active(_) => None,
        }
    }

    /// Returns the number of the attempt that a node's notification about the session belongs to. The first
    /// notification, which best shows the node's load, may arrive before the answer to the set-up.
    pub(crate) fn notified_attempt(&self, id: SessionId, server: ServerId) -> Option<u32> {
        let session = self.sessions.get(&id)?;
        match &session.stage {
            Stage::Active(active) if active.server == server => Some(active.attempt),
            Stage::Attempting(attempt) if attempt.server == server => {
                session.may_be_executed().then_some(attempt.number)
            }
            _ => None,
        }
    }
}
