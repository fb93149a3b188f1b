//! Identifiers of connections and health checks. An identifier is never reused.

/// Identifies a viewer's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ViewerId(pub(crate) u64);

/// Identifies a connection to a media node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct NodeConnectionId(pub(crate) u64);

/// Identifies a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct HealthCheckId(pub(crate) u64);

/// Identifies a connection to a viewer or to a media node for the driver of the sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub(crate) Peer);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Peer {
    Viewer(ViewerId),
    Node(NodeConnectionId),
}

impl From<ViewerId> for ConnectionId {
    fn from(id: ViewerId) -> ConnectionId {
        ConnectionId(Peer::Viewer(id))
    }
}

impl From<NodeConnectionId> for ConnectionId {
    fn from(id: NodeConnectionId) -> ConnectionId {
        ConnectionId(Peer::Node(id))
    }
}
