//! What a node's connections say of its reachability, passed from the connections' owner to the node's.

/// The connections to one node, for judging whether it can be reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct NodeConnectivity {
    pub(crate) has_connection: bool,
    /// One is established and not suspect.
    pub(crate) has_sound_connection: bool,
    pub(crate) is_connecting: bool,
}
