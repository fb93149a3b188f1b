//! Releases of sessions that may be active at a node and belong to nobody here.
//!
//! A connection that ends takes attempts and releases with it, while an answer may be on its way: a session that is
//! active at the node then is released over another connection, at once or when the next one is established.

use super::DirectorProtocol;
use crate::HexId;
use crate::ids::NodeConnectionId;
use crate::node_connection::OutgoingMessage;
use shalewall::ServerId;

impl DirectorProtocol {
    /// A node that rejected a set-up says that the session is active: nobody here waits for that any more.
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
            self.release_unowned(connection, wire_id);
        }
    }

    /// Releases a session that belongs to nobody, unless it is at the same node again: the release would end that.
    fn release_unowned(&mut self, connection: NodeConnectionId, wire_id: HexId) {
        let Some(server) = self
            .node_connections
            .get(connection)
            .map(|connection| connection.server())
        else {
            return;
        };
        let is_there_again = self
            .sessions
            .get_by_wire_id(wire_id)
            .is_some_and(|session| session.is_at(server));
        if !is_there_again {
            self.enqueue_to_node(connection, OutgoingMessage::Release(wire_id));
        }
    }

    /// Releases these sessions over an established connection, or over the next one.
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
            self.release_unowned(connection, wire_id);
        }
    }
}
