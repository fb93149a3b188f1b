//! Reasons for which connections to media nodes are opened, fail and end, counted in the status and written to the log.

/// Why a connection to a node was not established.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectError {
    /// The node refused the connection, which proves that no process listens there.
    Refused,
    /// The connection timed out, or there is no route.
    Unreachable,
    /// This machine lacks a local resource, such as a file descriptor or a port.
    LocalShortage,
}

/// Why a connection to a node is opened. Each connection costs a handshake, and a fleet of directors opens hundreds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectReason {
    /// It is the first connection to the node.
    First,
    /// All previous connections to the node have ended.
    Reconnect,
    /// All open connections are busy.
    AllBusy,
    /// All open connections have been idle for longer than the idle cutoff, so the node may be closing them.
    AllStale,
    /// An attempt timed out on the open connections, or part of a message is pending on them.
    AllSuspect,
    /// Sessions are active at the node, which sends notifications about them over a connection.
    ActiveSessions,
    /// Nothing was received from the node for a while: the connection checks whether it is reachable.
    NodeSilent,
}

/// How a connection to a node ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// It was not established.
    ConnectFailed(ConnectError),
    /// This side no longer needs it.
    NotNeeded,
    /// An attempt timed out on it, and a healthy connection has replaced it.
    Replaced,
    /// The node closed it after its last message: no bytes are left unread.
    ClosedByNode,
    /// It broke: the node's last messages may be lost, and the node repeats them on the next connection.
    Broken,
    /// This side closes it because its stream can't be decoded, or it is stalled or suspect. Messages may be lost as
    /// with [`CloseReason::Broken`], but the node does not know of the close yet.
    Unusable,
}
