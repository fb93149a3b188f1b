//! The next bytes of a connection. A set-up is encoded only when its socket can accept it, and is validated again at
//! that time.

use super::DirectorProtocol;
use crate::connection_reasons::CloseReason;
use crate::ids::{ConnectionId, NodeConnectionId, Peer, ViewerId};
use crate::node_connection::{InFlight, OutgoingMessage};
use crate::output::Transmit;
use crate::rtsp::encode;
use crate::viewer_connection::ViewerCloseState;
use crate::viewer_message::cause;
use shalewall::{SessionId, Timestamp};

/// Result of encoding the next message.
enum Encoded {
    Bytes(Vec<u8>),
    /// The message must no longer be sent.
    Dropped,
    /// The message has to wait.
    Blocked,
}

impl DirectorProtocol {
    /// Returns the next step of a connection; the bytes returned before have been written completely.
    pub fn poll_transmit(&mut self, now: Timestamp, connection: ConnectionId) -> Transmit {
        self.now = now;
        match connection.0 {
            Peer::Viewer(id) => self.poll_viewer_transmit(id),
            Peer::Node(id) => self.poll_node_transmit(id),
        }
    }

    fn poll_viewer_transmit(&mut self, id: ViewerId) -> Transmit {
        self.viewers.finish_write(id);
        if self.catch_up.hold(id.into()) {
            return Transmit::Wait;
        }
        if let Some(bytes) = self.viewers.next_line(id) {
            return Transmit::Bytes(bytes);
        }
        match self.viewers.close_state(id) {
            None => Transmit::Close,
            Some(ViewerCloseState::Closed) => Transmit::Close,
            Some(ViewerCloseState::HalfClosed) => Transmit::CloseWriteHalf,
            Some(ViewerCloseState::CloseIfNoUnreadBytes) => Transmit::CloseIfNoUnreadBytes,
            Some(ViewerCloseState::Open) => Transmit::Wait,
        }
    }

    fn poll_node_transmit(&mut self, id: NodeConnectionId) -> Transmit {
        loop {
            let Some(connection) = self.node_connections.get_mut(id) else {
                return if self.half_closed.contains(id) {
                    Transmit::CloseWriteHalf
                } else {
                    Transmit::Close
                };
            };
            match connection.finish_write() {
                Some(InFlight::SetUp { session, attempt }) => {
                    self.sessions.finish_write(session, attempt);
                    continue;
                }
                Some(InFlight::CancelAttempt { session, .. }) => {
                    self.resume_next_attempt(session);
                    continue;
                }
                Some(InFlight::Release(_)) | None => {}
            }
            let Some(message) = connection.next_outgoing() else {
                return Transmit::Wait;
            };
            match self.encode_outgoing(id, message) {
                Encoded::Bytes(bytes) => {
                    if let Some(connection) = self.node_connections.get_mut(id) {
                        connection.begin_write(self.now);
                    }
                    return Transmit::Bytes(bytes);
                }
                Encoded::Blocked => return Transmit::Wait,
                Encoded::Dropped => self.process_module_events(),
            }
        }
    }

    fn encode_outgoing(&mut self, id: NodeConnectionId, message: OutgoingMessage) -> Encoded {
        let (bytes, in_flight) = match message {
            OutgoingMessage::Encoded(bytes) => return Encoded::Bytes(bytes),
            OutgoingMessage::CancelAttempt { session, wire_id } => (
                encode::cancel_attempt(wire_id),
                InFlight::CancelAttempt { session, wire_id },
            ),
            OutgoingMessage::Release(wire_id) => (
                encode::release(wire_id, cause::CANCELLED),
                InFlight::Release(wire_id),
            ),
            OutgoingMessage::SetUp { session, attempt } => {
                if self.must_wait_for_cancellation(session, attempt)
                    || self.catch_up.hold(id.into())
                {
                    if let Some(connection) = self.node_connections.get_mut(id) {
                        connection.return_unwritten(message);
                    }
                    return Encoded::Blocked;
                }
                match self.encode_set_up(session, attempt) {
                    Some(bytes) => (bytes, InFlight::SetUp { session, attempt }),
                    None => return Encoded::Dropped,
                }
            }
        };
        if let Some(connection) = self.node_connections.get_mut(id) {
            connection.set_in_flight(in_flight);
        }
        Encoded::Bytes(bytes)
    }

    /// Whether an attempt has to wait for the cancellation of an earlier one. Messages to two nodes may arrive in
    /// either order, and two attempts must never be open at once.
    fn must_wait_for_cancellation(&self, session: SessionId, attempt: u32) -> bool {
        attempt > 0 && self.node_connections.is_cancelling(session)
    }

    /// Returns bytes of which the socket accepted none, so that they can still be withdrawn.
    pub fn return_unwritten(&mut self, now: Timestamp, connection: ConnectionId, bytes: Vec<u8>) {
        self.now = now;
        match connection.0 {
            Peer::Viewer(id) => self.viewers.return_unwritten(id, bytes),
            Peer::Node(id) => self.return_unwritten_to_node(id, bytes),
        }
    }

    fn return_unwritten_to_node(&mut self, id: NodeConnectionId, bytes: Vec<u8>) {
        let Some(connection) = self.node_connections.get_mut(id) else {
            return;
        };
        match connection.take_in_flight() {
            None => connection.return_unwritten(OutgoingMessage::Encoded(bytes)),
            Some(InFlight::Release(wire_id)) => {
                connection.return_unwritten(OutgoingMessage::Release(wire_id));
            }
            Some(InFlight::SetUp { session, attempt }) => {
                connection.return_unwritten(OutgoingMessage::SetUp { session, attempt });
                self.sessions.return_unwritten(session, attempt);
            }
            Some(InFlight::CancelAttempt { session, wire_id }) => {
                connection.return_unwritten(OutgoingMessage::CancelAttempt { session, wire_id });
                self.cancel_by_closing(id);
            }
        }
    }

    /// Reports that the socket accepted only part of the last bytes.
    pub fn partially_written(&mut self, now: Timestamp, connection: ConnectionId) {
        self.now = now;
        if let Peer::Node(id) = connection.0
            && self
                .node_connections
                .get(id)
                .is_some_and(|connection| connection.is_writing_cancellation())
        {
            self.cancel_by_closing(id);
        }
    }

    /// Closes a connection that does not accept a cancellation, which cancels as well, so that the next attempt need
    /// not wait. The connection is kept if another attempt on it is waiting for its answer.
    fn cancel_by_closing(&mut self, id: NodeConnectionId) {
        let can_close = self
            .node_connections
            .get(id)
            .is_some_and(|connection| !connection.has_open_attempts());
        if can_close {
            self.close_node_connection(id, CloseReason::Unusable);
            self.process_module_events();
        }
    }
}
