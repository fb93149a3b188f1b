//! Attempts to set up a session: from the module's action to the node's answer or another end.

use super::{DirectorProtocol, ReportedOutcome, Timer};
use crate::HexId;
use crate::connection_reasons::CloseReason;
use crate::ids::NodeConnectionId;
use crate::log_event::LogEvent;
use crate::node_connection::OutgoingMessage;
use crate::permission::{self, Answer, DropReason};
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
        if !next.is_needed {
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
            self.attempt_interrupted(id, Outcome::NotSent);
        }
    }

    /// Encodes a set-up that is next to be written. It is validated again, since it may have waited for its connection;
    /// returns `None` if it must not be sent.
    pub(super) fn encode_set_up(&mut self, id: SessionId, number: u32) -> Option<Vec<u8>> {
        let session = self.sessions.get(id)?;
        let server = session.attempt()?.server;
        let permission =
            permission::forward(session, number, self.nodes.is_ready(server), self.now);
        let time_left_ms = match permission {
            Ok(time_left_ms) => time_left_ms,
            Err(reason) => {
                self.drop_set_up(id, number, reason);
                return None;
            }
        };
        let viewer_left = session
            .viewer
            .is_none_or(|viewer| !self.viewers.contains(viewer));
        self.counters.violations.forwarded_after_end += u32::from(viewer_left);
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

    fn drop_set_up(&mut self, id: SessionId, attempt: u32, reason: DropReason) {
        let Some(session) = self.sessions.get(id).map(|session| session.wire_id) else {
            return;
        };
        self.outputs.log(LogEvent::SetUpDropped {
            session,
            attempt,
            reason,
        });
        if reason != DropReason::NotCurrent {
            self.attempt_interrupted(id, Outcome::NotSent);
        }
    }

    // ---- end of an attempt -------------------------------------------------------------------

    /// Ends an attempt that did not set up a session.
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
            self.remove_session(id);
        }
        self.report_end(id, number, server, reported, ended.is_answered);
    }

    /// Ends an attempt whose connection closed, or did not accept the set-up.
    pub(super) fn attempt_interrupted(&mut self, id: SessionId, outcome: Outcome) {
        let Some(attempt) = self.sessions.attempt(id).copied() else {
            return;
        };
        let was_not_fully_written =
            attempt.progress != SendProgress::Written && outcome == Outcome::ConnectionReset;
        let outcome = if was_not_fully_written {
            Outcome::NotSent
        } else {
            outcome
        };
        self.end_attempt(id, attempt.server, attempt.number, outcome.into());
    }

    /// Cancels an attempt, and notifies its node if that may have executed it.
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
        // The connection is unusable: the node is waiting for the rest of the set-up, which is never sent.
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

    /// Resumes the session's next attempt, which may have waited for a cancellation that is now complete.
    pub(super) fn resume_next_attempt(&mut self, id: SessionId) {
        if let Some(attempt) = self.sessions.attempt(id) {
            self.outputs.write(attempt.connection);
        }
    }

    // ---- answers -----------------------------------------------------------------------------

    /// Handles a node's answer to a set-up.
    pub(super) fn handle_set_up_answer(
        &mut self,
        connection: NodeConnectionId,
        wire_id: HexId,
        answer_status: u16,
        message: RtspMessage,
    ) {
        // If the next attempt is open on the same connection, the answer is taken as the answer to that attempt.
        let Some(id) = self.sessions.find_attempt_on(connection, wire_id) else {
            if answer_status == status::OK {
                self.release_if_rejected_before(connection, wire_id);
            }
            return;
        };
        if answer_status == status::OK {
            self.handle_set_up_success(id, connection, message);
        } else {
            self.handle_set_up_rejection(id, connection, answer_status, message);
        }
    }

    fn handle_set_up_rejection(
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
            // Closing the connection ends the attempt.
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

    /// Marks the session that an attempt has set up as active.
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
        self.record_answer(id, Answer::Served);
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
