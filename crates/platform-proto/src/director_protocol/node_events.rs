//! Messages from media nodes, and the queue of messages to them.

use super::{DirectorProtocol, ReportedOutcome, Timer};
use crate::HexId;
use crate::connection_reasons::CloseReason;
use crate::error::NodeProtocolError;
use crate::ids::{HealthCheckId, NodeConnectionId};
use crate::log_event::{LogEvent, NodeName};
use crate::node_connection::OutgoingMessage;
use crate::rtsp::{CSEQ_OPTIONS, CSEQ_SETUP, RtspMessage, StartLine, encode, status};
use shalewall::{Outcome, ServerId};

impl DirectorProtocol {
    pub(super) fn handle_node_bytes(&mut self, id: NodeConnectionId, bytes: &[u8]) {
        if self.half_closed.receive(id, bytes) {
            return self.read_until_closed(id);
        }
        let Some(connection) = self.node_connections.get_mut(id) else {
            return;
        };
        connection.receive(bytes);
        self.read_messages(id);
    }

    /// Handles all messages that were received on an open connection.
    fn read_messages(&mut self, id: NodeConnectionId) {
        while let Some(connection) = self.node_connections.get_mut(id) {
            let server = connection.server();
            match connection.next_message(self.now) {
                Ok(None) => return self.set_content_length_timer(id),
                Ok(Some(message)) => {
                    if let Some(node) = self.nodes.get_mut(server) {
                        node.record_contact(self.now);
                    }
                    self.handle_node_message(id, server, message);
                }
                Err(error) => {
                    self.log_node_violation(server, error);
                    self.close_node_connection(id, CloseReason::Unusable);
                }
            }
            self.process_module_events();
        }
    }

    fn set_content_length_timer(&mut self, id: NodeConnectionId) {
        let due = self
            .node_connections
            .get(id)
            .and_then(|connection| connection.content_length_due());
        if let Some(due) = due {
            self.timers.set(due, Timer::ContentLength(id));
        }
    }

    /// Accepts a message whose content length nothing has verified in time.
    pub(super) fn content_length_timed_out(&mut self, id: NodeConnectionId) {
        let Some(connection) = self.node_connections.get_mut(id) else {
            return;
        };
        let is_due = connection
            .content_length_due()
            .is_some_and(|due| due <= self.now);
        if is_due {
            connection.accept_unverified_message();
            self.read_messages(id);
        }
    }

    /// Handles the last message of a connection that the node closed after it: nothing more follows.
    pub(super) fn read_last_message(&mut self, id: NodeConnectionId) {
        if let Some(connection) = self.node_connections.get_mut(id) {
            connection.accept_unverified_message();
            self.read_messages(id);
        } else {
            self.half_closed.accept_unverified_message(id);
            self.read_until_closed(id);
        }
    }

    /// Handles messages on a connection whose write half is closed.
    fn read_until_closed(&mut self, id: NodeConnectionId) {
        while let Some(read) = self.half_closed.read(id) {
            let server = read.server;
            match read.message {
                Ok(None) => return,
                Ok(Some(message)) => {
                    if let Some(node) = self.nodes.get_mut(server) {
                        node.record_contact_on_half_closed(self.now);
                    }
                    self.handle_node_message(id, server, message);
                    self.process_module_events();
                }
                Err(error) => {
                    self.log_node_violation(server, error);
                    self.abort(id);
                    self.reconnect_after_close(server);
                }
            }
        }
    }

    fn log_node_violation(&mut self, server: ServerId, error: NodeProtocolError) {
        self.outputs.log(LogEvent::NodeProtocolViolated {
            node: NodeName(server),
            error,
        });
    }

    fn handle_node_message(
        &mut self,
        id: NodeConnectionId,
        server: ServerId,
        message: RtspMessage,
    ) {
        let Some(wire_id) = message.session else {
            return;
        };
        match &message.start {
            StartLine::Status(answer_status) => {
                let answer_status = *answer_status;
                self.handle_node_answer(id, wire_id, answer_status, message);
            }
            StartLine::Request(method) if method == "TEARDOWN" => {
                let confirmation = encode::release_response(wire_id);
                self.enqueue_to_node(id, OutgoingMessage::Encoded(confirmation));
                self.handle_teardown(id, server, wire_id, message);
            }
            StartLine::Request(method) if method == "ANNOUNCE" => {
                self.handle_notification(server, wire_id, &message);
            }
            StartLine::Request(_) => {}
        }
    }

    fn handle_node_answer(
        &mut self,
        id: NodeConnectionId,
        wire_id: HexId,
        answer_status: u16,
        message: RtspMessage,
    ) {
        let is_progress = (100..200).contains(&answer_status);
        match message.cseq {
            _ if is_progress => {}
            Some(CSEQ_SETUP) => self.handle_set_up_answer(id, wire_id, answer_status, message),
            Some(CSEQ_OPTIONS) => {
                let outcome = if answer_status == status::OK {
                    Outcome::Success
                } else {
                    Outcome::Error
                };
                let reported = ReportedOutcome {
                    outcome,
                    load_report: message.load_report(),
                };
                let check = HealthCheckId(wire_id.value());
                self.handle_health_check_answer(check, id, reported);
            }
            _ => {}
        }
    }

    /// Queues a message on a connection; returns `false` if the connection does not exist or its queue is full.
    pub(super) fn enqueue_to_node(
        &mut self,
        id: NodeConnectionId,
        message: OutgoingMessage,
    ) -> bool {
        let is_queued = self
            .node_connections
            .get_mut(id)
            .is_some_and(|connection| connection.enqueue(message));
        if is_queued {
            self.outputs.write(id);
        }
        is_queued
    }
}
