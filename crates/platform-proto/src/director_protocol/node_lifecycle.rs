//! Connections to media nodes: selecting one for a message, opening, and closing, gracefully or not.

use super::{DirectorProtocol, Timer};
use crate::HexId;
use crate::connection_reasons::{CloseReason, ConnectError, ConnectReason};
use crate::ids::{ConnectionId, NodeConnectionId, Peer};
use crate::log_event::{LogEvent, NodeName};
use crate::node_connection::ClosedNodeConnection;
use crate::output::Output;
use shalewall::{Outcome, ServerId, Timestamp};

impl DirectorProtocol {
    // ---- selection ---------------------------------------------------------------------------

    /// Returns the connection for a set-up or a health check: an idle one, else a new one, or one to share if the limit
    /// is reached.
    pub(super) fn connection_for_attempt(&mut self, server: ServerId) -> Option<NodeConnectionId> {
        let used_since = self.timeouts.idle_cutoff(self.now);
        if let Some(idle) = self.node_connections.find_idle(server, used_since) {
            return Some(idle);
        }
        self.make_room_for_connection();
        if !self.node_connections.has_capacity(server) {
            let evictable = self
                .node_connections
                .find_evictable(server, |other| self.nodes.has_active_sessions(other));
            let has_connection = self.node_connections.has_connection(server);
            match evictable.filter(|_| !has_connection) {
                Some(evictable) => self.close_gracefully(evictable, CloseReason::NotNeeded),
                None => return self.node_connections.find_least_loaded(server),
            }
        }
        let was_connected = self
            .nodes
            .get(server)
            .is_some_and(|node| node.was_connected());
        let reason = self
            .node_connections
            .connect_reason(server, used_since, was_connected);
        self.open_node_connection(server, reason)
    }

    /// Returns the connection for a message about a session: that of its set-up, else any established one, else a new
    /// one.
    pub(super) fn connection_for_session(
        &mut self,
        server: ServerId,
        own: Option<NodeConnectionId>,
    ) -> Option<NodeConnectionId> {
        let is_healthy = |id: &NodeConnectionId| {
            self.node_connections
                .get(*id)
                .is_some_and(|connection| connection.is_connected() && !connection.is_suspect())
        };
        own.filter(is_healthy)
            .or_else(|| self.node_connections.find_connected(server))
            .or_else(|| self.node_connections.find_least_loaded(server))
            .or_else(|| self.open_node_connection(server, ConnectReason::ActiveSessions))
    }

    /// Makes room for a new connection, if necessary by closing the oldest half-closed one.
    fn make_room_for_connection(&mut self) {
        let connections = self.node_connections.len() + self.half_closed.len();
        if connections >= self.node_connections.max_connections()
            && let Some(oldest) = self.half_closed.oldest()
        {
            self.abort(oldest);
        }
    }

    // ---- opening -----------------------------------------------------------------------------

    pub(super) fn open_node_connection(
        &mut self,
        server: ServerId,
        reason: ConnectReason,
    ) -> Option<NodeConnectionId> {
        let node = self.nodes.get_mut(server)?;
        node.mark_connecting();
        let address = node.address();
        let id = self.node_connections.open(server, reason, self.now);
        self.outputs.log(LogEvent::NodeConnectionOpened {
            node: NodeName(server),
            connection: id.0,
            reason,
        });
        self.outputs.push(Output::Connect {
            connection: id.into(),
            address,
            timeout: self.timeouts.connect,
        });
        Some(id)
    }

    /// Handles an established connection to a node.
    pub fn node_connected(&mut self, now: Timestamp, connection: ConnectionId) {
        self.now = now;
        let Peer::Node(id) = connection.0 else {
            return;
        };
        let Some(connection) = self.node_connections.get_mut(id) else {
            return;
        };
        connection.mark_connected(now);
        let server = connection.server();
        if let Some(node) = self.nodes.get_mut(server) {
            node.record_contact(now);
        }
        self.outputs.write(id);
        self.flush_pending_releases(server, id);
        let suspect: Vec<_> = self
            .node_connections
            .to_server(server)
            .filter(|(_, connection)| {
                connection.is_connected() && connection.is_suspect() && !connection.is_busy()
            })
            .map(|(id, _)| id)
            .collect();
        for id in suspect {
            self.close_gracefully(id, CloseReason::Replaced);
        }
    }

    /// Handles a connection to a node that could not be established.
    pub fn node_connect_failed(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        error: ConnectError,
    ) {
        self.now = now;
        let Peer::Node(id) = connection.0 else {
            return;
        };
        let Some(connection) = self.node_connections.get(id) else {
            return;
        };
        let server = connection.server();
        let opened_at = connection.opened_at();
        if let Some(node) = self.nodes.get_mut(server) {
            node.back_off(now);
        }
        self.close_node_connection(id, CloseReason::ConnectFailed(error));
        // A refused connection proves that the process is gone only if no other connection exists: a node may refuse
        // connections beyond its limit. An old connection may also look open long after the process ended, so messages
        // received on it decide.
        let has_other = self
            .node_connections
            .to_server(server)
            .any(|(_, connection)| connection.is_connected())
            || self.half_closed.has_server(server);
        if error == ConnectError::Refused && !has_other {
            self.node_process_gone(server);
        } else if let Some(node) = self.nodes.get_mut(server) {
            node.record_connect_failure(error, opened_at, now);
        }
        self.process_module_events();
    }

    /// Opens a connection for a node's active sessions, unless the reconnect delay has not expired.
    pub(super) fn reconnect(&mut self, server: ServerId) {
        if self.nodes.may_reconnect(server, self.now) {
            self.open_node_connection(server, ConnectReason::ActiveSessions);
        }
    }

    /// Schedules a connection to a node after this side closed one. The node repeats its lost messages on the next
    /// connection that is opened after it noticed the close, which takes no longer than establishing a connection.
    pub(super) fn reconnect_after_close(&mut self, server: ServerId) {
        let at = self.now + self.timeouts.connect;
        if let Some(node) = self.nodes.get_mut(server)
            && node.has_active_sessions()
        {
            node.delay_reconnect(at);
            self.timers.set(at, Timer::Reconnect(server));
        }
    }

    // ---- closing -----------------------------------------------------------------------------

    /// Handles a connection that the node closed, or that broke.
    pub(super) fn handle_node_closed(&mut self, id: NodeConnectionId, is_clean: bool) {
        if is_clean {
            self.read_last_message(id);
        }
        if self.abort(id) {
            return;
        }
        // An answer that is cut off shows that the node may have executed the set-up.
        let is_cut_off = self
            .node_connections
            .get(id)
            .is_some_and(|connection| connection.has_partial_message());
        let reason = if is_clean && !is_cut_off {
            CloseReason::ClosedByNode
        } else {
            CloseReason::Broken
        };
        self.close_node_connection(id, reason);
    }

    /// Closes a connection at once, which ends what is open on it.
    pub(super) fn close_node_connection(&mut self, id: NodeConnectionId, reason: CloseReason) {
        let Some(connection) = self.node_connections.remove(id) else {
            return;
        };
        self.outputs.close(id);
        let closed = connection.into_closed();
        let server = closed.server;
        let releases = self.releases_after_close(&closed, reason);
        for (session, _) in closed.unwritten_cancellations {
            self.resume_next_attempt(session);
        }
        let outcome = outcome_of_close(reason);
        for session in closed.open_attempts {
            self.attempt_interrupted(session, outcome);
        }
        for check in closed.health_checks {
            self.health_check_failed(check, outcome);
        }
        if reason == CloseReason::Unusable {
            self.reconnect_after_close(server);
        }
        if !releases.is_empty() {
            self.enqueue_pending_releases(server, releases);
        }
        self.connection_ended(id, server, reason);
    }

    /// Returns the sessions that may be active at the node after a connection closed, and that have no owner here.
    fn releases_after_close(
        &self,
        closed: &ClosedNodeConnection,
        reason: CloseReason,
    ) -> Vec<HexId> {
        // If the node closed it after its last message, no answer is in flight.
        let answer_may_be_in_flight = !matches!(
            reason,
            CloseReason::ClosedByNode | CloseReason::ConnectFailed(_)
        );
        let cancelled = closed
            .unwritten_cancellations
            .iter()
            .map(|(_, wire_id)| *wire_id);
        let maybe_executed = closed
            .open_attempts
            .iter()
            .filter(|_| answer_may_be_in_flight)
            .filter_map(|id| self.sessions.get(*id))
            .filter(|session| session.may_be_executed())
            .map(|session| session.wire_id);
        let unreleased = closed.unwritten_releases.iter().copied();
        cancelled.chain(maybe_executed).chain(unreleased).collect()
    }

    /// Closes an idle connection. If sessions are active at the node it is half-closed, and read until the node has
    /// closed it as well.
    pub(super) fn close_gracefully(&mut self, id: NodeConnectionId, reason: CloseReason) {
        let Some(connection) = self.node_connections.get(id) else {
            return;
        };
        let server = connection.server();
        if !connection.is_idle() || !self.nodes.has_active_sessions(server) {
            return self.close_node_connection(id, reason);
        }
        let Some(connection) = self.node_connections.remove(id) else {
            return;
        };
        let decoder = connection.into_decoder();
        self.half_closed.insert(id, server, decoder, self.now);
        self.outputs.write(id);
        self.connection_ended(id, server, reason);
    }

    /// Closes a half-closed connection; returns `false` if the connection is not half-closed.
    pub(super) fn abort(&mut self, id: NodeConnectionId) -> bool {
        let is_half_closed = self.half_closed.remove(id);
        if is_half_closed {
            self.outputs.close(id);
        }
        is_half_closed
    }

    /// Records the end of a connection, and reconnects if necessary: the node reports the end of its active sessions
    /// over the next connection, and a refused connection proves that they have ended.
    fn connection_ended(&mut self, id: NodeConnectionId, server: ServerId, reason: CloseReason) {
        self.node_connections.count_closed(reason);
        self.outputs.log(LogEvent::NodeConnectionClosed {
            node: NodeName(server),
            connection: id.0,
            reason,
        });
        let may_have_lost_messages = matches!(reason, CloseReason::Broken | CloseReason::Unusable);
        if may_have_lost_messages || !self.node_connections.has_connection(server) {
            self.reconnect(server);
        }
    }
}

/// Returns the outcome of the attempts and health checks on a connection that closed.
fn outcome_of_close(reason: CloseReason) -> Outcome {
    match reason {
        CloseReason::ConnectFailed(ConnectError::LocalShortage) => Outcome::NotSent,
        CloseReason::ConnectFailed(ConnectError::Refused | ConnectError::Unreachable) => {
            Outcome::ConnectionFailed
        }
        CloseReason::NotNeeded
        | CloseReason::Replaced
        | CloseReason::ClosedByNode
        | CloseReason::Broken
        | CloseReason::Unusable => Outcome::ConnectionReset,
    }
}
