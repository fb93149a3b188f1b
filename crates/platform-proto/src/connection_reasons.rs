//! Why connections to media nodes are opened, fail and end: counted in the status, and told in the log.

/// Why a connection to a node was not established.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectError {
    /// Nobody listens there, which proves that no process runs.
    Refused,
    /// It was not established in time, or there is no route.
    Unreachable,
    /// This machine is short of a resource of its own.
    LocalShortage,
}

/// Why a connection to a node is opened. Each costs a handshake, of which a fleet of directors pays hundreds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectReason {
    /// There was none to that node yet.
    First,
    /// There was one that has ended since.
    Reconnect,
    /// Those that are open are in use.
    AllBusy,
    /// Those that are open have not been used for so long that the node may be closing them.
    AllStale,
    /// An attempt timed out on those that are open, or part of a message waits on them.
    AllSuspect,
    /// Sessions are active at the node, and it notifies of them over a connection.
    ActiveSessions,
    /// The node is silent: it is tried.
    NodeSilent,
}

/// How a connection to a node ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// It was not established.
    ConnectFailed(ConnectError),
    /// This side has no more use for it.
    NotNeeded,
    /// An attempt timed out on it, and there is a better one.
    Replaced,
    /// The node closed it after its last message: nothing on it is unread.
    ClosedByNode,
    /// It broke: what the node sent last may be lost, and is repeated on the next one.
    Broken,
    /// It can't be read any further, or is silent: as [`CloseReason::Broken`], but the node has still to learn of it.
    Unusable,
}
