//! Active sessions, from a node's answer to their end by either side.

use super::{DirectorProtocol, ReportedOutcome};
use crate::HexId;
use crate::connection_reasons::ConnectReason;
use crate::ids::NodeConnectionId;
use crate::node_connection::OutgoingMessage;
use crate::rtsp::{RtspMessage, encode, status};
use crate::session::{SendProgress, Stage};
use crate::session_table::EarlyRelease;
use crate::viewer_message::{ViewerMessage, cause};
use shalewall::{Event, Outcome, ServerId, SessionId};

impl DirectorProtocol {
    /// Registers a session as active at a node.
    pub(super) fn session_activated(&mut self, id: SessionId, server: ServerId) {
        let viewer = self.sessions.get(id).and_then(|session| session.viewer);
        if let Some(viewer) = viewer {
            self.viewers.add_active_session(viewer, id);
        }
        if let Some(node) = self.nodes.get_mut(server) {
            node.add_active_session(id);
        }
        if !self.node_connections.has_connection(server) {
            self.open_node_connection(server, ConnectReason::ActiveSessions);
        }
    }

    /// Ends an active session. `viewer_cause` is the cause that is sent to its viewer; with `None` the viewer is not
    /// notified.
    pub(super) fn end_session(
        &mut self,
        id: SessionId,
        reported: ReportedOutcome,
        viewer_cause: Option<i64>,
    ) {
        let Some(session) = self.sessions.get(id) else {
            return;
        };
        let Some(active) = session.active().copied() else {
            return;
        };
        let wire_id = session.wire_id;
        let viewer = session.viewer;
        let address = session.viewer_address;
        if let Some(node) = self.nodes.get_mut(active.server) {
            node.remove_active_session(id);
        }
        self.remove_session(id);
        if let Some(cause) = viewer_cause {
            let release = ViewerMessage::finish(wire_id, cause);
            self.send_release_to_viewer(viewer, address, release.encode());
        }
        self.report_end(id, active.attempt, active.server, reported, true);
    }

    /// Releases an active session at its node because its viewer ended it, or because it moves.
    pub(super) fn release_session(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get(id) else {
            return;
        };
        let Some(active) = session.active().copied() else {
            return;
        };
        self.release_at_node(active.server, active.connection, session.wire_id);
        self.end_session(id, Outcome::Cancelled.into(), None);
    }

    /// Releases a session at its node, over the connection of its set-up if possible.
    pub(super) fn release_at_node(
        &mut self,
        server: ServerId,
        own_connection: Option<NodeConnectionId>,
        wire_id: HexId,
    ) {
        let connection = self.connection_for_session(server, own_connection);
        let is_queued = connection.is_some_and(|connection| {
            self.enqueue_to_node(connection, OutgoingMessage::Release(wire_id))
        });
        if !is_queued {
            self.enqueue_pending_releases(server, vec![wire_id]);
        }
    }

    /// Sets a session's rung, before or after it is active.
    pub(super) fn set_rung(&mut self, id: SessionId, rung: usize) {
        self.sessions.set_rung(id, rung);
        let Some(session) = self.sessions.get(id) else {
            return;
        };
        let Some(active) = session.active().copied() else {
            return;
        };
        let message = OutgoingMessage::Encoded(encode::set_rung(session.wire_id, rung));
        if let Some(connection) = self.connection_for_session(active.server, active.connection) {
            self.enqueue_to_node(connection, message);
        }
    }

    // ---- messages from nodes -----------------------------------------------------------------

    /// Handles a node's release of a session or abort of a set-up.
    pub(super) fn handle_teardown(
        &mut self,
        connection: NodeConnectionId,
        server: ServerId,
        wire_id: HexId,
        message: RtspMessage,
    ) {
        let Some(id) = self.sessions.find(wire_id) else {
            let (_, viewer_cause) = meaning_of_release(message.cause());
            return self.sessions.keep_early_release(EarlyRelease {
                wire_id,
                server,
                viewer_cause,
            });
        };
        let Some(session) = self.sessions.get(id) else {
            return;
        };
        match &session.stage {
            Stage::Active(active) if active.server == server => {
                self.handle_session_end(id, message);
            }
            Stage::Attempting(attempt)
                if attempt.server == server && attempt.progress != SendProgress::NotStarted =>
            {
                let number = attempt.number;
                self.handle_attempt_end(id, connection, wire_id, number, message);
            }
            Stage::Unassigned | Stage::Attempting(_) | Stage::Active(_) => {}
        }
    }

    fn handle_session_end(&mut self, id: SessionId, message: RtspMessage) {
        let (outcome, mut viewer_cause) = meaning_of_release(message.cause());
        // The viewer can't have ended the session itself if its answer is not written yet.
        if outcome == Outcome::Cancelled && self.retract_answer(id) {
            viewer_cause = Some(cause::FAILED);
        }
        let reported = ReportedOutcome {
            outcome,
            load_report: message.load_report(),
        };
        self.end_session(id, reported, viewer_cause);
    }

    fn handle_attempt_end(
        &mut self,
        id: SessionId,
        connection: NodeConnectionId,
        wire_id: HexId,
        number: u32,
        message: RtspMessage,
    ) {
        let load_report = message.load_report();
        // The session was active and ended at once: its answer and its release arrive in one message.
        if message.cause() == Some(cause::NORMAL) && !message.body.is_empty() {
            self.handle_set_up_answer(connection, wire_id, status::OK, message);
            let reported = ReportedOutcome {
                outcome: Outcome::Success,
                load_report,
            };
            return self.end_session(id, reported, Some(cause::NORMAL));
        }
        let Some(server) = self.sessions.attempt(id).map(|attempt| attempt.server) else {
            return;
        };
        let reported = ReportedOutcome {
            outcome: Outcome::ConnectionReset,
            load_report,
        };
        self.end_attempt(id, server, number, reported);
    }

    /// Removes an answer that has not begun to be written: it no longer applies, and the viewer must get only one
    /// answer.
    fn retract_answer(&mut self, id: SessionId) -> bool {
        let viewer = self.sessions.get(id).and_then(|session| session.viewer);
        viewer.is_some_and(|viewer| self.viewers.retract_answer(viewer, id))
    }

    /// Handles a node's notification about a session.
    pub(super) fn handle_notification(
        &mut self,
        server: ServerId,
        wire_id: HexId,
        message: &RtspMessage,
    ) {
        let Some(session) = self.sessions.find(wire_id) else {
            return;
        };
        let Some(attempt) = self.sessions.notified_attempt(session, server) else {
            return;
        };
        self.sessions.confirm(session);
        if let Some(notification) = message.notification() {
            self.events.push_back(Event::Notified {
                session,
                attempt,
                server,
                notification,
            });
        }
    }
}

/// Returns the outcome of a session that its node released with this cause, and the cause for its viewer. A viewer that
/// ended or moved the session itself is not notified.
fn meaning_of_release(node_cause: Option<i64>) -> (Outcome, Option<i64>) {
    match node_cause {
        Some(cause::NORMAL) => (Outcome::Success, Some(cause::NORMAL)),
        Some(cause::CANCELLED) => (Outcome::Cancelled, None),
        _ => (Outcome::ConnectionReset, Some(cause::FAILED)),
    }
}
