//! Owner of the half-closed connections to media nodes: this side writes no more, and reads until the node has closed
//! its half as well.
//!
//! A close discards bytes that the other side sent before it noticed the close. A node sends the end of a session once
//! on one connection, and repeats it only on the next connection that is opened. A connection on which such a message
//! may be in flight is therefore closed in two steps. A stream that can't be decoded is closed at once, and the next
//! connection is opened only when the node must have noticed the close: it repeats there whatever it sent before.

use crate::error::NodeProtocolError;
use crate::ids::NodeConnectionId;
use crate::rtsp::{RtspDecoder, RtspMessage};
use shalewall::{ServerId, TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// Time after which a half-closed connection is closed although the node has not closed its half: a stalled node
/// repeats later messages on the next connection.
const CLOSE_TIMEOUT: TimeDelta = TimeDelta::from_secs(5);

struct HalfClosedConnection {
    server: ServerId,
    decoder: RtspDecoder,
    expires_at: Timestamp,
}

/// A message read from a half-closed connection.
pub(crate) struct HalfClosedRead {
    pub(crate) server: ServerId,
    pub(crate) message: Result<Option<RtspMessage>, NodeProtocolError>,
}

#[derive(Default)]
pub(crate) struct HalfClosedConnections(BTreeMap<NodeConnectionId, HalfClosedConnection>);

impl HalfClosedConnections {
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    pub(crate) fn contains(&self, id: NodeConnectionId) -> bool {
        self.0.contains_key(&id)
    }

    /// Whether a half-closed connection to the node exists.
    pub(crate) fn has_server(&self, server: ServerId) -> bool {
        self.0
            .values()
            .any(|connection| connection.server == server)
    }

    pub(crate) fn insert(
        &mut self,
        id: NodeConnectionId,
        server: ServerId,
        decoder: RtspDecoder,
        now: Timestamp,
    ) {
        let connection = HalfClosedConnection {
            server,
            decoder,
            expires_at: now + CLOSE_TIMEOUT,
        };
        self.0.insert(id, connection);
    }

    /// Removes a connection; returns whether it was half-closed.
    pub(crate) fn remove(&mut self, id: NodeConnectionId) -> bool {
        self.0.remove(&id).is_some()
    }

    /// Adds received bytes; returns `false` if the connection is not half-closed.
    pub(crate) fn receive(&mut self, id: NodeConnectionId, bytes: &[u8]) -> bool {
        let Some(connection) = self.0.get_mut(&id) else {
            return false;
        };
        connection.decoder.push(bytes);
        true
    }

    /// Accepts the content length of an unverified message, since the node sends no more.
    pub(crate) fn accept_unverified_message(&mut self, id: NodeConnectionId) {
        if let Some(connection) = self.0.get_mut(&id) {
            connection.decoder.accept_unverified_message();
        }
    }

    /// Decodes the next message; returns `None` if the connection is no longer half-closed.
    pub(crate) fn read(&mut self, id: NodeConnectionId) -> Option<HalfClosedRead> {
        let connection = self.0.get_mut(&id)?;
        Some(HalfClosedRead {
            server: connection.server,
            message: connection.decoder.message(),
        })
    }

    /// The half-closed connection that was opened first.
    pub(crate) fn oldest(&self) -> Option<NodeConnectionId> {
        self.0.keys().next().copied()
    }

    /// Half-closed connections whose close timeout has expired.
    pub(crate) fn expired(&self, now: Timestamp) -> Vec<NodeConnectionId> {
        self.0
            .iter()
            .filter(|(_, connection)| connection.expires_at <= now)
            .map(|(id, _)| *id)
            .collect()
    }
}
