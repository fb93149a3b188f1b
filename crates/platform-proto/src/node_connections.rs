//! Owner of the connections to media nodes: the set of connections, the choice of a connection for a message, and
//! counts of opened and closed connections by reason.

use crate::connection_reasons::{CloseReason, ConnectReason};
use crate::connectivity::NodeConnectivity;
use crate::ids::NodeConnectionId;
use crate::node_connection::NodeConnection;
use shalewall::{ServerId, SessionId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of connections to one node; further concurrent set-ups share them.
const MAX_CONNECTIONS_PER_NODE: usize = 16;

/// Number of opened and closed connections by reason.
#[derive(Default)]
pub(crate) struct ConnectionTally {
    pub(crate) opened: BTreeMap<ConnectReason, u32>,
    pub(crate) closed: BTreeMap<CloseReason, u32>,
}

#[derive(Default)]
pub(crate) struct NodeConnections {
    connections: BTreeMap<NodeConnectionId, NodeConnection>,
    by_server: BTreeMap<ServerId, BTreeSet<NodeConnectionId>>,
    next_id: u64,
    max_connections: usize,
    /// Counts since the previous status.
    tally: ConnectionTally,
}

impl NodeConnections {
    pub(crate) fn new(max_connections: usize) -> NodeConnections {
        NodeConnections {
            max_connections,
            ..NodeConnections::default()
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.connections.len()
    }

    pub(crate) fn max_connections(&self) -> usize {
        self.max_connections
    }

    pub(crate) fn get(&self, id: NodeConnectionId) -> Option<&NodeConnection> {
        self.connections.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: NodeConnectionId) -> Option<&mut NodeConnection> {
        self.connections.get_mut(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (NodeConnectionId, &NodeConnection)> {
        self.connections
            .iter()
            .map(|(id, connection)| (*id, connection))
    }

    /// The connections to one node.
    pub(crate) fn to_server(
        &self,
        server: ServerId,
    ) -> impl Iterator<Item = (NodeConnectionId, &NodeConnection)> {
        self.by_server
            .get(&server)
            .into_iter()
            .flatten()
            .filter_map(|id| Some((*id, self.connections.get(id)?)))
    }

    pub(crate) fn has_connection(&self, server: ServerId) -> bool {
        self.by_server.contains_key(&server)
    }

    pub(crate) fn connectivity(&self, server: ServerId) -> NodeConnectivity {
        let mut connectivity = NodeConnectivity::default();
        for (_, connection) in self.to_server(server) {
            let is_connected = connection.is_connected();
            connectivity.has_connection = true;
            connectivity.has_healthy_connection |= is_connected && !connection.is_suspect();
            connectivity.is_connecting |= !is_connected;
        }
        connectivity
    }

    // ---- opening and closing -----------------------------------------------------------------

    pub(crate) fn open(
        &mut self,
        server: ServerId,
        reason: ConnectReason,
        now: Timestamp,
    ) -> NodeConnectionId {
        let id = NodeConnectionId(self.next_id);
        self.next_id += 1;
        self.connections
            .insert(id, NodeConnection::new(server, now));
        self.by_server.entry(server).or_default().insert(id);
        *self.tally.opened.entry(reason).or_default() += 1;
        id
    }

    pub(crate) fn remove(&mut self, id: NodeConnectionId) -> Option<NodeConnection> {
        let connection = self.connections.remove(&id)?;
        let server = connection.server();
        if let Some(ids) = self.by_server.get_mut(&server) {
            ids.remove(&id);
            if ids.is_empty() {
                self.by_server.remove(&server);
            }
        }
        Some(connection)
    }

    pub(crate) fn count_closed(&mut self, reason: CloseReason) {
        *self.tally.closed.entry(reason).or_default() += 1;
    }

    pub(crate) fn take_tally(&mut self) -> ConnectionTally {
        std::mem::take(&mut self.tally)
    }

    // ---- selection ---------------------------------------------------------------------------

    /// Returns the most recently used idle, healthy connection, so that the others become idle for long enough to be
    /// closed. A connection that was last used before `used_since` may be closing at the node's side.
    pub(crate) fn find_idle(
        &self,
        server: ServerId,
        used_since: Timestamp,
    ) -> Option<NodeConnectionId> {
        self.to_server(server)
            .filter(|(_, connection)| connection.is_idle() && !connection.is_suspect())
            .filter(|(_, connection)| connection.last_used_at() >= used_since)
            .max_by_key(|(id, connection)| (connection.last_used_at(), *id))
            .map(|(id, _)| id)
    }

    /// Returns an established connection for a message without an answer, preferably a healthy one.
    pub(crate) fn find_connected(&self, server: ServerId) -> Option<NodeConnectionId> {
        self.to_server(server)
            .filter(|(_, connection)| connection.is_connected())
            .max_by_key(|(id, connection)| {
                (!connection.is_suspect(), connection.last_used_at(), *id)
            })
            .map(|(id, _)| id)
    }

    /// Returns the connection to share if no further one may be opened.
    pub(crate) fn find_least_loaded(&self, server: ServerId) -> Option<NodeConnectionId> {
        self.to_server(server)
            .min_by_key(|(id, connection)| {
                (
                    connection.is_suspect(),
                    connection.open_attempt_count(),
                    *id,
                )
            })
            .map(|(id, _)| id)
    }

    /// Returns the idle connection to another node that is needed least: the least recently used one that is not the
    /// only one for notifications about active sessions.
    pub(crate) fn find_evictable(
        &self,
        server: ServerId,
        has_active_sessions: impl Fn(ServerId) -> bool,
    ) -> Option<NodeConnectionId> {
        self.iter()
            .filter(|(_, connection)| connection.server() != server)
            .filter(|(_, connection)| connection.is_connected() && !connection.is_busy())
            .filter(|(_, connection)| {
                let other = connection.server();
                self.to_server(other).count() > 1 || !has_active_sessions(other)
            })
            .min_by_key(|(id, connection)| (connection.last_used_at(), *id))
            .map(|(id, _)| id)
    }

    /// Whether a further connection to the node may be opened.
    pub(crate) fn has_capacity(&self, server: ServerId) -> bool {
        let to_server = self.by_server.get(&server).map_or(0, BTreeSet::len);
        to_server < MAX_CONNECTIONS_PER_NODE && self.connections.len() < self.max_connections
    }

    /// Returns why an attempt at the node needs a new connection. `was_connected`: a connection to the node was opened
    /// before.
    pub(crate) fn connect_reason(
        &self,
        server: ServerId,
        used_since: Timestamp,
        was_connected: bool,
    ) -> ConnectReason {
        if !self.has_connection(server) {
            return if was_connected {
                ConnectReason::Reconnect
            } else {
                ConnectReason::First
            };
        }
        let any = |matches: &dyn Fn(&NodeConnection) -> bool| {
            self.to_server(server)
                .any(|(_, connection)| matches(connection))
        };
        let is_stale = |connection: &NodeConnection| {
            connection.is_connected()
                && !connection.is_busy()
                && !connection.is_suspect()
                && connection.last_used_at() < used_since
        };
        if any(&is_stale) {
            ConnectReason::AllStale
        } else if any(&|connection| connection.is_suspect() || connection.has_partial_message()) {
            ConnectReason::AllSuspect
        } else {
            ConnectReason::AllBusy
        }
    }

    // ---- sessions ----------------------------------------------------------------------------

    /// Whether a cancellation of an earlier attempt of the session has still to be written.
    pub(crate) fn is_cancelling(&self, session: SessionId) -> bool {
        self.connections.values().any(|connection| {
            connection
                .unwritten_cancellations()
                .any(|(cancelled, _)| cancelled == session)
        })
    }

    pub(crate) fn has_pending_writes(&self) -> bool {
        self.connections
            .values()
            .any(|connection| connection.is_connected() && connection.has_pending_writes())
    }
}
