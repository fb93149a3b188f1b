//! Owner of the connections to media nodes that are closed gracefully: written no more, and read until the node has
//! closed its half, too.
//!
//! A close says nothing of what the other side sent before it learned of it: bytes on their way are dropped unread. A
//! node sends the end of a session once, on one connection, and again only on the next one that is opened after that.
//! So a connection over which an end may be on its way is closed in two steps. A stream that can't be read any further
//! is closed at once, and the next connection is opened only when the node must have learned of it: whatever the node
//! sent before that, it sends there again.

use crate::error::NodeProtocolError;
use crate::ids::NodeConnectionId;
use crate::rtsp::{RtspDecoder, RtspMessage};
use shalewall::{ServerId, TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// A node that stands still has not closed its half after this, and is not waited for any longer: what it sends later
/// it sends again on a connection that was opened since.
const CLOSE_TIMEOUT: TimeDelta = TimeDelta::from_secs(5);

struct HalfClosedConnection {
    server: ServerId,
    decoder: RtspDecoder,
    expires_at: Timestamp,
}

/// What was read on a half-closed connection.
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

    /// Whether the node has still to close one.
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

    /// False: it is none of these.
    pub(crate) fn remove(&mut self, id: NodeConnectionId) -> bool {
        self.0.remove(&id).is_some()
    }

    /// Takes in received bytes. False: the connection is none of these.
    pub(crate) fn receive(&mut self, id: NodeConnectionId, bytes: &[u8]) -> bool {
        let Some(connection) = self.0.get_mut(&id) else {
            return false;
        };
        connection.decoder.push(bytes);
        true
    }

    /// Reads the next message. None: the connection is none of these any more.
    pub(crate) fn read(&mut self, id: NodeConnectionId) -> Option<HalfClosedRead> {
        let connection = self.0.get_mut(&id)?;
        Some(HalfClosedRead {
            server: connection.server,
            message: connection.decoder.message(),
        })
    }

    /// The one that was opened first.
    pub(crate) fn oldest(&self) -> Option<NodeConnectionId> {
        self.0.keys().next().copied()
    }

    /// Those whose node has not closed its half in time.
    pub(crate) fn expired(&self, now: Timestamp) -> Vec<NodeConnectionId> {
        self.0
            .iter()
            .filter(|(_, connection)| connection.expires_at <= now)
            .map(|(id, _)| *id)
            .collect()
    }
}
