//! Reachability of a node as its connections show it, passed from `node_connections` to `node`.

/// State of the connections to one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct NodeConnectivity {
    pub(crate) has_connection: bool,
    /// At least one connection is established and not suspect.
    pub(crate) has_healthy_connection: bool,
    pub(crate) is_connecting: bool,
}
