//! Viewers' connections: opening, messages, and closing.

use super::DirectorProtocol;
use crate::HexId;
use crate::arrival::Arrival;
use crate::error::ViewerProtocolError;
use crate::ids::{ConnectionId, Peer, ViewerId};
use crate::log_event::LogEvent;
use crate::permission::ViewerCloseReason;
use crate::viewer_connection::{LineKind, ReceivedMessage};
use crate::viewer_connections::{AcceptCapacity, Received};
use crate::viewer_message::{Verb, ViewerMessage, cause};
use shalewall::{SessionId, Timestamp};
use std::net::IpAddr;

impl DirectorProtocol {
    /// Whether a viewer's connection can be accepted now. Otherwise it waits in the listener's queue: closing it would
    /// lose its request.
    pub fn can_accept_viewer(&mut self, now: Timestamp) -> bool {
        self.now = now;
        match self.viewers.accept_capacity() {
            AcceptCapacity::Available => true,
            AcceptCapacity::Exhausted(evict) => {
                if let Some(unused) = evict {
                    self.close_viewer_if_no_unread_bytes(unused);
                }
                false
            }
        }
    }

    /// Accepts a viewer's connection. Without capacity for it, its requests are rejected.
    pub fn accept_viewer(&mut self, now: Timestamp, address: IpAddr) -> ConnectionId {
        self.now = now;
        let accepted = self.viewers.accept(address, now);
        if let Some(unused) = accepted.evict {
            self.close_viewer_if_no_unread_bytes(unused);
        }
        accepted.id.into()
    }

    /// Closes a connection that is not needed, unless its socket has unread bytes.
    pub(super) fn close_viewer_if_no_unread_bytes(&mut self, id: ViewerId) {
        self.viewers.close_if_no_unread_bytes(id);
        self.outputs.write(id);
    }

    /// Handles that a viewer has closed its side, although messages that it sent before may be unread: nothing is
    /// forwarded for it any more. Its other messages are handled up to the end of the stream.
    pub fn handle_peer_closed(&mut self, now: Timestamp, connection: ConnectionId) {
        self.now = now;
        if let Peer::Viewer(id) = connection.0 {
            self.viewers.record_stream_ending(id);
            self.answer_requests_of(id);
        }
    }

    // ---- messages ----------------------------------------------------------------------------

    pub(super) fn handle_viewer_bytes(&mut self, id: ViewerId, arrival: Arrival, bytes: &[u8]) {
        match self.viewers.receive(id, arrival, bytes, self.now) {
            Received::Ignored => return,
            Received::TooManyIgnored => {
                return self.close_viewer(id, ViewerCloseReason::KeepsSending);
            }
            Received::Buffered => {}
        }
        loop {
            let handled = match self.viewers.next_message(id, self.now) {
                Ok(None) => break,
                Ok(Some(received)) => self.handle_viewer_message(id, received),
                Err(error) => Err(error),
            };
            if let Err(error) = handled {
                return self.reject_viewer(id, error);
            }
            self.process_module_events();
        }
        if self.viewers.closes_when_read(id) {
            self.outputs.write(id);
        }
    }

    fn handle_viewer_message(
        &mut self,
        id: ViewerId,
        received: ReceivedMessage,
    ) -> Result<(), ViewerProtocolError> {
        let ReceivedMessage {
            message,
            arrived_at,
        } = received;
        let wire_id =
            HexId::parse(&message.session).ok_or(ViewerProtocolError::InvalidSessionId)?;
        match message.verb {
            Verb::Start => self.handle_request(id, wire_id, message, arrived_at),
            Verb::Finish => self.handle_finish(id, wire_id),
            Verb::Echo => self.answer_health_check(id, wire_id),
            Verb::Pending | Verb::Finished | Verb::Notice => {}
            Verb::Started | Verb::Echoed | Verb::Rate | Verb::Move => {
                return Err(ViewerProtocolError::UnexpectedVerb(message.verb));
            }
        }
        self.viewers.record_message(id);
        Ok(())
    }

    /// Answers a health check of this director, which succeeds unless the director is shutting down or no node is
    /// ready.
    fn answer_health_check(&mut self, id: ViewerId, wire_id: HexId) {
        let is_ready = !self.is_shutting_down && self.nodes.has_ready_node();
        let answer = ViewerMessage {
            cause: Some(i64::from(is_ready)),
            ..ViewerMessage::new(Verb::Echoed, wire_id)
        };
        self.send_to_viewer(id, &answer);
    }

    /// Handles a protocol violation: ends the viewer's requests with an answer, and closes its connection after a
    /// message. What follows the violation can't be decoded, so that a withdrawal would not be noticed.
    fn reject_viewer(&mut self, id: ViewerId, error: ViewerProtocolError) {
        self.outputs.log(LogEvent::ViewerProtocolViolated {
            connection: id.into(),
            error,
        });
        self.answer_requests_of(id);
        self.detach_viewer(id);
        let no_session = HexId::from_value(0);
        self.send_to_viewer(id, &ViewerMessage::finish(no_session, cause::INVALID));
        self.reject_received_requests(id);
        self.viewers.close(id, self.now);
    }

    /// Rejects the requests that were received after a protocol violation, up to a line that is too long.
    fn reject_received_requests(&mut self, id: ViewerId) {
        loop {
            match self.viewers.next_message(id, self.now) {
                Ok(Some(received)) if received.message.verb == Verb::Start => {
                    self.reject_request(id, &received.message);
                }
                Ok(Some(_)) | Err(ViewerProtocolError::InvalidMessage) => {}
                Ok(None) | Err(_) => return,
            }
        }
    }

    /// Handles the end of a viewer's stream: the viewer has left, or has closed only its write half and still reads.
    /// Its requests end with an answer, and nothing is forwarded for them any more.
    pub(super) fn handle_viewer_end_of_stream(&mut self, id: ViewerId) {
        let Some(address) = self.viewers.address(id) else {
            return;
        };
        self.viewers.close_after_end_of_stream(id, self.now);
        self.answer_requests_of(id);
        let queued = self.viewers.take_queued(id);
        self.detach_viewer(id);
        for session in queued.answers {
            self.replace_answer_by_failure(id, session);
        }
        for line in queued.others {
            self.enqueue_to_viewer(id, LineKind::Other, line);
        }
        for release in queued.releases {
            self.send_release_to_viewer(None, address, release);
        }
        self.outputs.write(id);
        self.process_module_events();
    }

    /// Releases an active session whose answer is not written yet, and answers its request as failed.
    fn replace_answer_by_failure(&mut self, viewer: ViewerId, session: SessionId) {
        let wire_id = self.sessions.get(session).map(|session| session.wire_id);
        self.answer_undelivered(session);
        if let Some(wire_id) = wire_id {
            self.send_to_viewer(viewer, &ViewerMessage::finish(wire_id, cause::FAILED));
        }
    }

    // ---- writing -----------------------------------------------------------------------------

    /// Sends a message that is only useful on this connection. The connection is closed if its queue is full.
    pub(super) fn send_to_viewer(&mut self, id: ViewerId, message: &ViewerMessage) {
        self.enqueue_to_viewer(id, LineKind::Other, message.encode());
    }

    /// Queues a line; returns `false` if the connection does not exist or its queue is full, and closes it in that
    /// case.
    pub(super) fn enqueue_to_viewer(
        &mut self,
        id: ViewerId,
        kind: LineKind,
        bytes: Vec<u8>,
    ) -> bool {
        if self.viewers.enqueue(id, kind, bytes) {
            self.outputs.write(id);
            return true;
        }
        self.close_viewer(id, ViewerCloseReason::NotReading);
        false
    }

    // ---- closing -----------------------------------------------------------------------------

    /// Closes a viewer's connection. Sessions with an unwritten answer are released, and unwritten releases are sent on
    /// another connection.
    pub(super) fn close_viewer(&mut self, id: ViewerId, reason: ViewerCloseReason) {
        self.record_viewer_closed(id, reason);
        let unwritten = self.viewers.take_unwritten(id);
        self.detach_viewer(id);
        let Some(address) = self.viewers.remove(id) else {
            return;
        };
        self.outputs.close(id);
        for session in unwritten.answers {
            self.answer_undelivered(session);
        }
        for release in unwritten.releases {
            self.send_release_to_viewer(None, address, release);
        }
        self.process_module_events();
    }

    fn record_viewer_closed(&mut self, id: ViewerId, reason: ViewerCloseReason) {
        if !self.viewers.contains(id) {
            return;
        }
        let unanswered = self.viewers.pending_requests(id).len();
        if !reason.allows_unanswered() {
            self.counters.violations.closed_unanswered += unanswered as u32;
        }
        self.outputs.log(LogEvent::ViewerConnectionClosed {
            connection: id.into(),
            reason,
            unanswered,
        });
    }

    /// Withdraws a connection's requests; its active sessions continue without a connection.
    fn detach_viewer(&mut self, id: ViewerId) {
        let Some(detached) = self.viewers.detach_sessions(id) else {
            return;
        };
        for session in detached.pending_requests {
            self.withdraw_request(session);
        }
        for session in detached.active_sessions {
            self.sessions.detach_viewer(session);
        }
        self.process_module_events();
    }
}
