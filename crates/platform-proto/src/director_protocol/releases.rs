//! Releases of sessions that may be active at a node and have no owner here.
//!
//! When a connection closes, an answer to one of its set-ups may be in flight, and its queued releases are lost. The
//! sessions that may be active at the node are then released over another connection, at once or when the next one is
//! established.

use super::DirectorProtocol;
use crate::HexId;
use crate::ids::NodeConnectionId;
use crate::node_connection::OutgoingMessage;
use shalewall::ServerId;

impl DirectorProtocol {
    /// Releases a session whose set-up the node rejected before it reported the session as active, since no request
    /// waits for it any more.
    pub(super) fn release_if_rejected_before(
        &mut self,
        connection: NodeConnectionId,
        wire_id: HexId,
    ) {
        let was_rejected = self
            .node_connections
            .get_mut(connection)
            .is_some_and(|connection| connection.take_rejection(wire_id));
        if was_rejected {
            self.release_orphaned(connection, wire_id);
        }
    }

    /// Releases a session without an owner, unless the same session is at that node again, which the release would end.
    fn release_orphaned(&mut self, connection: NodeConnectionId, wire_id: HexId) {
        let Some(server) = self
            .node_connections
            .get(connection)
            .map(|connection| connection.server())
        else {
            return;
        };
        let is_at_same_node = self
            .sessions
            .get_by_wire_id(wire_id)
            .is_some_and(|session| session.is_at(server));
        if !is_at_same_node {
            self.enqueue_to_node(connection, OutgoingMessage::Release(wire_id));
        }
    }

    /// Releases sessions over an established connection, or over the next one.
    pub(super) fn enqueue_pending_releases(&mut self, server: ServerId, wire_ids: Vec<HexId>) {
        let Some(node) = self.nodes.get_mut(server) else {
            return;
        };
        for wire_id in wire_ids {
            node.add_pending_release(wire_id, self.now);
        }
        if let Some(connection) = self.node_connections.find_connected(server) {
            self.flush_pending_releases(server, connection);
        }
    }

    /// Sends a node's pending releases on this connection.
    pub(super) fn flush_pending_releases(
        &mut self,
        server: ServerId,
        connection: NodeConnectionId,
    ) {
        let Some(node) = self.nodes.get_mut(server) else {
            return;
        };
        for wire_id in node.take_pending_releases() {
            self.release_orphaned(connection, wire_id);
        }
    }
}
