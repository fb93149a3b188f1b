//! Attempts to set a session up: from the module's order to the node's answer, or the end without one.

use super::{DirectorProtocol, ReportedOutcome, Timer};
use crate::HexId;
use crate::connection_reasons::CloseReason;
use crate::ids::NodeConnectionId;
use crate::node_connection::OutgoingMessage;
use crate::rtsp::encode::SetUp;
use crate::rtsp::{RtspMessage, status};
use crate::session::{ActiveSession, Attempt, SendProgress};
use crate::viewer_connection::LineKind;
use crate::viewer_message::{Verb, ViewerMessage};
use shalewall::{Event, Outcome, ServerId, SessionId, TimeDelta};

impl DirectorProtocol {
    /// Queues the session's next set-up on a connection to the node.
    pub(super) fn start_attempt(
        &mut self,
        id: SessionId,
        server: ServerId,
        timeout: Option<TimeDelta>,
    ) {
        let now = self.now;
        let Some(next) = self.sessions.number_attempt(id) else {
            return;
        };
        if !next.is_wanted {
            return;
        }
        let number = next.number;
        let expires_at =
            timeout.map_or(next.deadline, |timeout| (now + timeout).min(next.deadline));
        let Some(connection) = self.connection_for_attempt(server) else {
            return self.end_attempt(id, server, number, Outcome::NotSent.into());
        };
        let attempt = Attempt {
            server,
            number,
            connection,
            started_at: now,
            expires_at,
            progress: SendProgress::NotStarted,
        };
        self.sessions.begin_attempt(id, attempt);
        if let Some(connection) = self.node_connections.get_mut(connection) {
            connection.add_attempt(id);
        }
        self.timers.set(expires_at, Timer::Attempt(id, number));
        let set_up = OutgoingMessage::SetUp {
            session: id,
            attempt: number,
        };
        if !self.enqueue_to_node(connection, set_up) {
            self.attempt_cut_off(id, Outcome::NotSent);
        }
    }

    /// Encodes a set-up whose turn to be written has come. It is checked again, since it may have waited for its
    /// connection. None: it is not to be sent.
    pub(super) fn encode_set_up(&mut self, id: SessionId, number: u32) -> Option<Vec<u8>> {
        let session = self.sessions.get(id)?;
        let attempt = *session.attempt()?;
        if attempt.number != number || attempt.progress != SendProgress::NotStarted {
            return None;
        }
        let time_left_ms = (attempt.expires_at - self.now).as_millis();
        let is_ready = self.nodes.is_ready(attempt.server);
        if !session.awaits_answer || !is_ready || time_left_ms <= 0 {
            self.attempt_cut_off(id, Outcome::NotSent);
            return None;
        }
        // Nobody who has left awaits an answer; this counts what must not be.
        let viewer_left = session
            .viewer
            .is_none_or(|viewer| !self.viewers.contains(viewer));
        self.counters.sent_after_withdrawal += u32::from(viewer_left);
        self.sessions.begin_write(id);
        let session = self.sessions.get(id)?;
        let set_up = SetUp {
            session: session.wire_id,
            title: session.title,
            class: self.names.classes.get(session.class)?,
            time_left_ms,
            rung: session.rung,
            description: &session.description,
        };
        Some(set_up.encode())
    }

    // ---- the end -----------------------------------------------------------------------------

    /// An attempt ends without a session.
    pub(super) fn end_attempt(
        &mut self,
        id: SessionId,
        server: ServerId,
        number: u32,
        reported: ReportedOutcome,
    ) {
        let Some(ended) = self.sessions.end_attempt(id) else {
            return;
        };
        if let Some(connection_id) = ended.connection
            && let Some(connection) = self.node_connections.get_mut(connection_id)
        {
            connection.remove_attempt(id);
            if connection.remove_queued_set_up(id) {
                self.outputs.write(connection_id);
            }
        }
        if ended.is_answered {
            self.forget_session(id);
        }
        self.report_end(id, number, server, reported, ended.is_answered);
    }

    /// The connection of an attempt has ended, or did not take it.
    pub(super) fn attempt_cut_off(&mut self, id: SessionId, outcome: Outcome) {
        let Some(attempt) = self.sessions.attempt(id).copied() else {
            return;
        };
        let was_never_whole =
            attempt.progress != SendProgress::Written && outcome == Outcome::ConnectionReset;
        let outcome = if was_never_whole {
            Outcome::NotSent
        } else {
            outcome
        };
        self.end_attempt(id, attempt.server, attempt.number, outcome.into());
    }

    /// Cancels an attempt. Its node is told if it may have executed it.
    pub(super) fn cancel_attempt(&mut self, id: SessionId, outcome: Outcome) {
        let Some(session) = self.sessions.get(id) else {
            return;
        };
        let Some(attempt) = session.attempt().copied() else {
            return;
        };
        let connection = attempt.connection;
        if attempt.progress == SendProgress::Written {
            self.send_cancellation(id, session.wire_id, connection);
        }
        self.end_attempt(id, attempt.server, attempt.number, outcome.into());
        // The node waits for the rest of it and reads nothing else: the rest never follows.
        if attempt.progress == SendProgress::PartlyWritten {
            self.close_node_connection(connection, CloseReason::Unusable);
        }
    }

    fn send_cancellation(&mut self, id: SessionId, wire_id: HexId, connection: NodeConnectionId) {
        if let Some(connection) = self.node_connections.get_mut(connection) {
            connection.mark_suspect();
        }
        let cancellation = OutgoingMessage::CancelAttempt {
            session: id,
            wire_id,
        };
        if !self.enqueue_to_node(connection, cancellation) {
            self.close_node_connection(connection, CloseReason::Unusable);
        }
    }

    pub(super) fn attempt_timed_out(&mut self, id: SessionId, number: u32) {
        if self.sessions.is_attempting(id, number) {
            self.cancel_attempt(id, Outcome::TimedOut);
        }
    }

    /// A cancellation is done: the session's next attempt, which may have waited for that, can be written.
    pub(super) fn resume_next_attempt(&mut self, id: SessionId) {
        if let Some(attempt) = self.sessions.attempt(id) {
            self.outputs.write(attempt.connection);
        }
    }

    // ---- the answer --------------------------------------------------------------------------

    /// A node answers a set-up.
    pub(super) fn handle_set_up_answer(
        &mut self,
        connection: NodeConnectionId,
        wire_id: HexId,
        answer_status: u16,
        message: RtspMessage,
    ) {
        // Where the next attempt is open on the same connection, it is the answer to that one.
        let Some(id) = self.sessions.find_attempt_on(connection, wire_id) else {
            if answer_status == status::OK {
                self.release_if_rejected_before(connection, wire_id);
            }
            return;
        };
        if answer_status == status::OK {
            self.handle_set_up_success(id, connection, message);
        } else {
            self.handle_set_up_refusal(id, connection, answer_status, message);
        }
    }

    fn handle_set_up_refusal(
        &mut self,
        id: SessionId,
        connection: NodeConnectionId,
        answer_status: u16,
        message: RtspMessage,
    ) {
        let Some(session) = self.sessions.get(id) else {
            return;
        };
        let Some(attempt) = session.attempt().copied() else {
            return;
        };
        if let Some(connection) = self.node_connections.get_mut(connection) {
            connection.record_rejection(session.wire_id);
        }
        let outcome = match answer_status {
            status::FULL => Outcome::Rejected,
            status::NOT_SENT => Outcome::NotSent,
            status::RESET => Outcome::ConnectionReset,
            _ => Outcome::Error,
        };
        let reported = ReportedOutcome {
            outcome,
            load_report: message.load_report(),
        };
        self.end_attempt(id, attempt.server, attempt.number, reported);
    }

    fn handle_set_up_success(
        &mut self,
        id: SessionId,
        connection: NodeConnectionId,
        message: RtspMessage,
    ) {
        let Some(session) = self.sessions.get(id) else {
            return;
        };
        let Some(attempt) = session.attempt().copied() else {
            return;
        };
        if !session.awaits_answer {
            return self.cancel_attempt(id, Outcome::Cancelled);
        }
        let wire_id = session.wire_id;
        let viewer = session.viewer;
        let Ok(description) = message.into_description() else {
            // The attempt ends with its connection.
            return self.close_node_connection(connection, CloseReason::Unusable);
        };
        self.activate_session(id, &attempt);
        if let Some(viewer) = viewer {
            let answer = ViewerMessage {
                description: Some(description),
                ..ViewerMessage::new(Verb::Started, wire_id)
            };
            if !self.enqueue_to_viewer(viewer, LineKind::Answer(id), answer.encode()) {
                self.answer_undelivered(id);
            }
        }
    }

    /// The session that an attempt set up is active.
    fn activate_session(&mut self, id: SessionId, attempt: &Attempt) {
        let active = ActiveSession {
            server: attempt.server,
            attempt: attempt.number,
            connection: Some(attempt.connection),
        };
        self.sessions.activate(id, active);
        if let Some(connection) = self.node_connections.get_mut(attempt.connection) {
            connection.remove_attempt(id);
        }
        self.mark_answered(id);
        self.session_activated(id, attempt.server);
        self.events.push_back(Event::SessionStarted {
            session: id,
            attempt: attempt.number,
            server: attempt.server,
            setup_time: self.now - attempt.started_at,
        });
    }
}
