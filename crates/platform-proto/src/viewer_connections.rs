//! Owner of the viewers' connections, and of the releases that could not be sent because their viewer had no
//! connection.

use crate::arrival::Arrival;
use crate::error::ViewerProtocolError;
use crate::ids::ViewerId;
use crate::memory_limits::MemoryLimits;
use crate::undelivered_releases::UndeliveredReleases;
use crate::viewer_connection::{
    LineKind, QueuedLine, ReceivedMessage, ViewerCloseState, ViewerConnection,
};
use shalewall::{SessionId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// Maximum number of connections beyond the limit: those that are accepted only to reject their requests, and evicted ones
/// with unread bytes.
const MAX_EXCESS_CONNECTIONS: usize = 16;
/// A connection that was accepted.
pub(crate) struct AcceptedViewer {
    pub(crate) id: ViewerId,
    /// The connection to evict for it, unless that has unread bytes.
    pub(crate) evict: Option<ViewerId>,
}

/// Whether another connection can be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AcceptCapacity {
    Available,
    /// Not before another one has closed; this one is to be evicted.
    Exhausted(Option<ViewerId>),
}

/// Lines that were not written when a connection closed.
#[derive(Default)]
pub(crate) struct UnwrittenLines {
    /// Sessions with an unwritten answer that they are active.
    pub(crate) answers: Vec<SessionId>,
    /// Encoded releases of active sessions.
    pub(crate) releases: Vec<Vec<u8>>,
    /// Other encoded lines.
    pub(crate) others: Vec<Vec<u8>>,
}

impl UnwrittenLines {
    fn new(lines: Vec<QueuedLine>) -> UnwrittenLines {
        let mut unwritten = UnwrittenLines::default();
        for line in lines {
            match line.kind {
                LineKind::Answer(session) => unwritten.answers.push(session),
                LineKind::Release => unwritten.releases.push(line.bytes),
                LineKind::Other => unwritten.others.push(line.bytes),
            }
        }
        unwritten
    }
}

/// The sessions of a connection that closes.
#[derive(Default)]
pub(crate) struct DetachedSessions {
    /// Requests that can no longer be answered.
    pub(crate) pending_requests: BTreeSet<SessionId>,
    /// Sessions that continue without a connection.
    pub(crate) active_sessions: BTreeSet<SessionId>,
}

/// How received bytes were handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Received {
    /// They were added to the decoder.
    Buffered,
    /// They were ignored because the connection is closed or being closed.
    Ignored,
    /// Too many bytes were received while the connection was being closed.
    TooManyIgnored,
}

#[derive(Default)]
pub(crate) struct ViewerConnections {
    connections: BTreeMap<ViewerId, ViewerConnection>,
    next_id: u64,
    max_connections: usize,
    /// Total size of all queues from which on a connection is closed whose queue takes more than its share of it.
    max_queued_bytes: usize,
    /// The same for unfinished lines.
    max_unfinished_bytes: usize,
    /// Whether every connection is to be closed once its socket has no unread bytes.
    closes_all: bool,
    undelivered_releases: UndeliveredReleases,
}

impl ViewerConnections {
    pub(crate) fn new(max_connections: usize, limits: &MemoryLimits) -> ViewerConnections {
        ViewerConnections {
            max_connections,
            max_queued_bytes: limits.max_queued_bytes,
            max_unfinished_bytes: limits.max_unfinished_bytes,
            ..ViewerConnections::default()
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.connections.len()
    }

    pub(crate) fn contains(&self, id: ViewerId) -> bool {
        self.connections.contains_key(&id)
    }

    pub(crate) fn address(&self, id: ViewerId) -> Option<IpAddr> {
        self.connections.get(&id).map(ViewerConnection::address)
    }

    // ---- opening and closing -----------------------------------------------------------------

    pub(crate) fn accept_capacity(&self) -> AcceptCapacity {
        if self.connections.len() < self.max_connections + MAX_EXCESS_CONNECTIONS {
            AcceptCapacity::Available
        } else {
            AcceptCapacity::Exhausted(self.find_evictable())
        }
    }

    /// Accepts a connection. If the limit is reached and no connection can be evicted, its requests are rejected.
    pub(crate) fn accept(&mut self, address: IpAddr, now: Timestamp) -> AcceptedViewer {
        let is_full = self.connections.len() >= self.max_connections;
        let evict = if is_full { self.find_evictable() } else { None };
        let id = ViewerId(self.next_id);
        self.next_id += 1;
        let sheds_requests = is_full && evict.is_none();
        let mut connection = ViewerConnection::new(address, sheds_requests, now);
        for bytes in self.undelivered_releases.take(address) {
            connection.enqueue_unbounded(LineKind::Release, bytes);
        }
        self.connections.insert(id, connection);
        AcceptedViewer { id, evict }
    }

    fn find_evictable(&self) -> Option<ViewerId> {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.is_unused())
            .min_by_key(|(_, connection)| connection.eviction_order())
            .map(|(id, _)| *id)
    }

    /// Removes a connection; returns its address.
    pub(crate) fn remove(&mut self, id: ViewerId) -> Option<IpAddr> {
        self.connections
            .remove(&id)
            .map(|connection| connection.address())
    }

    /// Closes a connection once everything is written.
    pub(crate) fn close(&mut self, id: ViewerId, now: Timestamp) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.close(now);
        }
    }

    /// Closes a connection whose viewer sends no more, once everything is written.
    pub(crate) fn close_after_end_of_stream(&mut self, id: ViewerId, now: Timestamp) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.close_after_end_of_stream(now);
        }
    }

    /// Records that a connection's viewer has closed its side, although some of its messages may be unread.
    pub(crate) fn record_stream_ending(&mut self, id: ViewerId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.record_stream_ending();
        }
    }

    /// Whether a connection's viewer is known to send no more than what is unread.
    pub(crate) fn is_stream_ending(&self, id: ViewerId) -> bool {
        self.connections
            .get(&id)
            .is_some_and(ViewerConnection::is_stream_ending)
    }

    /// Closes a connection if its socket has no unread bytes.
    pub(crate) fn close_if_no_unread_bytes(&mut self, id: ViewerId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.close_if_no_unread_bytes();
        }
    }

    /// Returns the close state of a connection; `None` if it does not exist.
    pub(crate) fn close_state(&self, id: ViewerId) -> Option<ViewerCloseState> {
        let state = self.connections.get(&id)?.close_state();
        Some(match state {
            ViewerCloseState::Open if self.closes_all => ViewerCloseState::CloseIfNoUnreadBytes,
            state => state,
        })
    }

    /// Closes all connections, each once its socket has no unread bytes; returns their ids.
    pub(crate) fn begin_closing_all(&mut self) -> Vec<ViewerId> {
        self.closes_all = true;
        self.connections.keys().copied().collect()
    }

    /// Whether the connection's requests are rejected, since there is no capacity for it.
    pub(crate) fn sheds_requests(&self, id: ViewerId) -> bool {
        self.connections
            .get(&id)
            .is_some_and(ViewerConnection::sheds_requests)
    }

    /// Whether the connection is to be closed once everything is written and its socket has no unread bytes.
    pub(crate) fn closes_when_read(&self, id: ViewerId) -> bool {
        self.close_state(id) == Some(ViewerCloseState::CloseIfNoUnreadBytes)
    }

    /// Connections whose viewers have not closed their half in time.
    pub(crate) fn close_timed_out(&self, now: Timestamp) -> Vec<ViewerId> {
        self.ids_where(|connection| connection.close_timed_out(now))
    }

    /// Connections that have been idle or silent for too long.
    pub(crate) fn stale(&self, now: Timestamp) -> Vec<ViewerId> {
        self.ids_where(|connection| !connection.is_closing() && connection.is_stale(now))
    }

    fn ids_where(&self, matches: impl Fn(&ViewerConnection) -> bool) -> Vec<ViewerId> {
        self.connections
            .iter()
            .filter(|(_, connection)| matches(connection))
            .map(|(id, _)| *id)
            .collect()
    }

    // ---- receiving ---------------------------------------------------------------------------

    pub(crate) fn receive(
        &mut self,
        id: ViewerId,
        arrival: Arrival,
        bytes: &[u8],
        now: Timestamp,
    ) -> Received {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Received::Ignored;
        };
        if !connection.is_closing() {
            connection.receive(arrival, bytes, now);
            return Received::Buffered;
        }
        if connection.count_ignored_bytes(bytes.len()) {
            Received::Ignored
        } else {
            Received::TooManyIgnored
        }
    }

    /// The next complete message of a connection that is not being closed.
    pub(crate) fn next_message(
        &mut self,
        id: ViewerId,
        now: Timestamp,
    ) -> Result<Option<ReceivedMessage>, ViewerProtocolError> {
        let message = match self.connections.get_mut(&id) {
            Some(connection) if !connection.is_closing() => connection.next_message(now)?,
            _ => return Ok(None),
        };
        let unfinished_bytes = ViewerConnection::unfinished_bytes;
        if message.is_none() && self.exceeds_share(id, self.max_unfinished_bytes, unfinished_bytes)
        {
            return Err(ViewerProtocolError::UnfinishedLine);
        }
        Ok(message)
    }

    /// Records that a valid message was received on the connection.
    pub(crate) fn record_message(&mut self, id: ViewerId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.record_message();
        }
    }

    // ---- sessions ----------------------------------------------------------------------------

    pub(crate) fn add_request(&mut self, id: ViewerId, session: SessionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.add_request(session);
        }
    }

    pub(crate) fn remove_request(&mut self, id: ViewerId, session: SessionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.remove_request(session);
        }
    }

    /// Requests of the connection that have no answer.
    pub(crate) fn pending_requests(&self, id: ViewerId) -> Vec<SessionId> {
        self.connections
            .get(&id)
            .map_or(Vec::new(), ViewerConnection::pending_requests)
    }

    pub(crate) fn add_active_session(&mut self, id: ViewerId, session: SessionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.add_active_session(session);
        }
    }

    /// Removes a session that has ended from the connection's requests and active sessions.
    pub(crate) fn remove_session(&mut self, id: ViewerId, session: SessionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.remove_request(session);
            connection.remove_active_session(session);
        }
    }

    /// Takes the sessions of a connection that is about to close.
    pub(crate) fn detach_sessions(&mut self, id: ViewerId) -> Option<DetachedSessions> {
        let connection = self.connections.get_mut(&id)?;
        Some(DetachedSessions {
            pending_requests: connection.take_requests(),
            active_sessions: connection.take_active_sessions(),
        })
    }

    // ---- writing -----------------------------------------------------------------------------

    /// Queues a line; returns `false` if the connection does not exist, or is to be closed because its viewer does not
    /// read.
    pub(crate) fn enqueue(&mut self, id: ViewerId, kind: LineKind, bytes: Vec<u8>) -> bool {
        if self.exceeds_share(id, self.max_queued_bytes, ViewerConnection::queued_bytes) {
            return false;
        }
        self.connections
            .get_mut(&id)
            .is_some_and(|connection| connection.enqueue(kind, bytes))
    }

    /// Whether a connection takes more than an equal share of the memory for all connections, and that is exhausted.
    fn exceeds_share(
        &self,
        id: ViewerId,
        limit: usize,
        size: impl Fn(&ViewerConnection) -> usize,
    ) -> bool {
        let own = self.connections.get(&id).map_or(0, &size);
        let share = limit / self.connections.len().max(1);
        own > share && self.connections.values().map(size).sum::<usize>() > limit
    }

    /// Records that the last line has been written.
    pub(crate) fn finish_write(&mut self, id: ViewerId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.finish_write();
        }
    }

    pub(crate) fn next_line(&mut self, id: ViewerId) -> Option<Vec<u8>> {
        self.connections.get_mut(&id)?.next_line()
    }

    /// Returns the last line to the queue because the socket accepted no byte of it.
    pub(crate) fn return_unwritten(&mut self, id: ViewerId, bytes: Vec<u8>) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.return_unwritten(bytes);
        }
    }

    /// Removes an answer that has not begun to be written.
    pub(crate) fn retract_answer(&mut self, id: ViewerId, session: SessionId) -> bool {
        self.connections
            .get_mut(&id)
            .is_some_and(|connection| connection.retract_answer(session))
    }

    /// Takes the unwritten lines of a connection that is about to close.
    pub(crate) fn take_unwritten(&mut self, id: ViewerId) -> UnwrittenLines {
        self.connections
            .get_mut(&id)
            .map(|connection| UnwrittenLines::new(connection.take_unwritten()))
            .unwrap_or_default()
    }

    /// Takes the lines of a connection that have not begun to be written.
    pub(crate) fn take_queued(&mut self, id: ViewerId) -> UnwrittenLines {
        self.connections
            .get_mut(&id)
            .map(|connection| UnwrittenLines::new(connection.take_queued()))
            .unwrap_or_default()
    }

    pub(crate) fn has_pending_writes(&self) -> bool {
        self.connections
            .values()
            .any(ViewerConnection::has_pending_writes)
    }

    // ---- releases without a connection -------------------------------------------------------

    /// Returns an open connection from the same address: one with requests or sessions, which its viewer does not close,
    /// before others, and among those the one on which bytes were received last.
    pub(crate) fn find_by_address(&self, address: IpAddr) -> Option<ViewerId> {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.address() == address && connection.is_open())
            .max_by_key(|(id, connection)| {
                let last_received_at = connection.last_received_at();
                (connection.has_sessions(), last_received_at, **id)
            })
            .map(|(id, _)| *id)
    }

    /// Keeps a release for the viewer's next connection.
    pub(crate) fn keep_release(&mut self, address: IpAddr, bytes: Vec<u8>, now: Timestamp) {
        self.undelivered_releases.keep(address, bytes, now);
    }

    /// Removes expired releases.
    pub(crate) fn expire_releases(&mut self, now: Timestamp) {
        self.undelivered_releases.expire(now);
    }
}
