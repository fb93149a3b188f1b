//! Events for the log, each with its fields.

use crate::HexId;
use crate::connection_reasons::{CloseReason, ConnectReason};
use crate::error::{NodeProtocolError, ViewerProtocolError};
use crate::ids::ConnectionId;
use crate::permission::{Answer, DropReason, RejectReason, ViewerCloseReason};
use shalewall::ServerId;
use std::fmt;

/// A node's id in text: `s-` and 8 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeName(pub ServerId);

impl fmt::Display for NodeName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "s-{:08x}", self.0.0)
    }
}

/// An event that is written to the operator's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A connection to a node is being opened.
    NodeConnectionOpened {
        /// The node.
        node: NodeName,
        /// Number of the connection.
        connection: u64,
        /// Why it is opened.
        reason: ConnectReason,
    },
    /// A connection to a node has ended, or was not established.
    NodeConnectionClosed {
        /// The node.
        node: NodeName,
        /// Number of the connection.
        connection: u64,
        /// Why it ended.
        reason: CloseReason,
    },
    /// A node's process no longer runs, so its sessions have ended.
    NodeGone {
        /// The node.
        node: NodeName,
        /// Number of sessions that were active at the node.
        sessions: usize,
    },
    /// A node sent bytes that can't be decoded; its connection is closed.
    NodeProtocolViolated {
        /// The node.
        node: NodeName,
        /// The rule that it broke.
        error: NodeProtocolError,
    },
    /// A viewer sent bytes that can't be decoded; its connection is closed.
    ViewerProtocolViolated {
        /// The viewer's connection.
        connection: ConnectionId,
        /// The rule that it broke.
        error: ViewerProtocolError,
    },
    /// A request is rejected without consulting the decision module.
    RequestRejected {
        /// The session's id.
        session: HexId,
        /// Why it is rejected.
        reason: RejectReason,
    },
    /// A request is answered.
    RequestAnswered {
        /// The session's id.
        session: HexId,
        /// The answer.
        answer: Answer,
    },
    /// A request has ended without an answer: its viewer has withdrawn it, or its connection broke.
    RequestWithdrawn {
        /// The session's id.
        session: HexId,
        /// Whether a node may have executed it.
        was_sent: bool,
    },
    /// A queued set-up is not written.
    SetUpDropped {
        /// The session's id.
        session: HexId,
        /// Number of the attempt.
        attempt: u32,
        /// Why it must not be sent.
        reason: DropReason,
    },
    /// A viewer's connection is closed.
    ViewerConnectionClosed {
        /// The connection.
        connection: ConnectionId,
        /// Why it is closed.
        reason: ViewerCloseReason,
        /// Number of requests on it that have no answer.
        unanswered: usize,
    },
    /// A log message of the decision module.
    Decision(String),
}
