//! Owner of the viewers' connections, and of the releases that found no connection of their viewer.

use crate::error::ViewerProtocolError;
use crate::ids::ViewerId;
use crate::viewer_connection::{LineKind, ViewerCloseState, ViewerConnection};
use crate::viewer_message::ViewerMessage;
use shalewall::{SessionId, TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::IpAddr;

/// Connections beyond the limit, while those that are closed for them turn out to have something unread.
const MAX_EXCESS_CONNECTIONS: usize = 16;
/// Releases kept for viewers without a connection, and how long: later they help nobody.
const MAX_UNDELIVERED_RELEASES: usize = 4096;
const UNDELIVERED_RELEASE_TIMEOUT: TimeDelta = TimeDelta::from_secs(8);

/// A connection that was accepted.
pub(crate) struct AcceptedViewer {
    pub(crate) id: ViewerId,
    /// The connection to close for it, if nothing of that waits unread.
    pub(crate) evict: Option<ViewerId>,
}

/// What a connection that ends leaves unwritten.
#[derive(Default)]
pub(crate) struct UnwrittenLines {
    /// Sessions whose viewer was not told that they are active.
    pub(crate) answers: Vec<SessionId>,
    /// Lines that tell the end of sessions.
    pub(crate) releases: Vec<Vec<u8>>,
}

/// The sessions of a connection that ends.
#[derive(Default)]
pub(crate) struct DetachedSessions {
    /// Requests that can't be answered any more.
    pub(crate) pending_requests: BTreeSet<SessionId>,
    /// Sessions that go on without a connection.
    pub(crate) active_sessions: BTreeSet<SessionId>,
}

/// What became of bytes that were received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Received {
    /// They wait to be decoded.
    Buffered,
    /// The connection is gone, or is being closed and its bytes are ignored.
    Ignored,
    /// The connection is being closed, and too much has come since.
    TooManyIgnored,
}

struct UndeliveredRelease {
    expires_at: Timestamp,
    address: IpAddr,
    bytes: Vec<u8>,
}

#[derive(Default)]
pub(crate) struct ViewerConnections {
    connections: BTreeMap<ViewerId, ViewerConnection>,
    next_id: u64,
    max_connections: usize,
    /// In the order in which they were to be sent.
    undelivered_releases: VecDeque<UndeliveredRelease>,
}

impl ViewerConnections {
    pub(crate) fn new(max_connections: usize) -> ViewerConnections {
        ViewerConnections {
            max_connections,
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

    /// Accepts a connection. None: there is no room.
    pub(crate) fn accept(&mut self, address: IpAddr, now: Timestamp) -> Option<AcceptedViewer> {
        let evict = if self.connections.len() >= self.max_connections {
            Some(self.find_evictable()?)
        } else {
            None
        };
        let id = ViewerId(self.next_id);
        self.next_id += 1;
        let mut connection = ViewerConnection::new(address, now);
        for bytes in self.take_undelivered(address) {
            connection.enqueue_unbounded(LineKind::Release, bytes);
        }
        self.connections.insert(id, connection);
        Some(AcceptedViewer { id, evict })
    }

    fn find_evictable(&self) -> Option<ViewerId> {
        if self.connections.len() >= self.max_connections + MAX_EXCESS_CONNECTIONS {
            return None;
        }
        self.connections
            .iter()
            .filter(|(_, connection)| connection.is_unused())
            .min_by_key(|(_, connection)| connection.eviction_order())
            .map(|(id, _)| *id)
    }

    /// Removes a connection; its address.
    pub(crate) fn remove(&mut self, id: ViewerId) -> Option<IpAddr> {
        self.connections
            .remove(&id)
            .map(|connection| connection.address())
    }

    /// Closes a connection once all is written.
    pub(crate) fn close(&mut self, id: ViewerId, now: Timestamp) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.close(now);
        }
    }

    /// Closes a connection if nothing of it waits unread.
    pub(crate) fn close_if_no_unread_bytes(&mut self, id: ViewerId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.close_if_no_unread_bytes();
        }
    }

    /// None: the connection is gone.
    pub(crate) fn close_state(&self, id: ViewerId) -> Option<ViewerCloseState> {
        self.connections.get(&id).map(ViewerConnection::close_state)
    }

    /// Connections that are not being closed.
    pub(crate) fn open_ids(&self) -> Vec<ViewerId> {
        self.ids_where(|connection| !connection.is_closing())
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

    pub(crate) fn receive(&mut self, id: ViewerId, bytes: &[u8], now: Timestamp) -> Received {
        let Some(connection) = self.connections.get_mut(&id) else {
            return Received::Ignored;
        };
        if !connection.is_closing() {
            connection.receive(bytes, now);
            return Received::Buffered;
        }
        if connection.ignore(bytes.len()) {
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
    ) -> Result<Option<ViewerMessage>, ViewerProtocolError> {
        match self.connections.get_mut(&id) {
            Some(connection) if !connection.is_closing() => connection.next_message(now),
            _ => Ok(None),
        }
    }

    /// A message of the connection was valid.
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

    pub(crate) fn add_active_session(&mut self, id: ViewerId, session: SessionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.add_active_session(session);
        }
    }

    /// A session is over: neither a request nor active.
    pub(crate) fn remove_session(&mut self, id: ViewerId, session: SessionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.remove_request(session);
            connection.remove_active_session(session);
        }
    }

    /// Takes the sessions of a connection that is about to end.
    pub(crate) fn detach_sessions(&mut self, id: ViewerId) -> Option<DetachedSessions> {
        let connection = self.connections.get_mut(&id)?;
        Some(DetachedSessions {
            pending_requests: connection.take_requests(),
            active_sessions: connection.take_active_sessions(),
        })
    }

    // ---- writing -----------------------------------------------------------------------------

    /// Queues a line. False where the connection is gone, or its viewer reads nothing and it is to be closed.
    pub(crate) fn enqueue(&mut self, id: ViewerId, kind: LineKind, bytes: Vec<u8>) -> bool {
        self.connections
            .get_mut(&id)
            .is_some_and(|connection| connection.enqueue(kind, bytes))
    }

    pub(crate) fn next_line(&mut self, id: ViewerId) -> Option<Vec<u8>> {
        self.connections.get_mut(&id)?.next_line()
    }

    /// Nothing of the line given last was written.
    pub(crate) fn return_unwritten(&mut self, id: ViewerId, bytes: Vec<u8>) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.return_unwritten(bytes);
        }
    }

    /// Takes back an answer that has not begun to be written.
    pub(crate) fn retract_answer(&mut self, id: ViewerId, session: SessionId) -> bool {
        self.connections
            .get_mut(&id)
            .is_some_and(|connection| connection.retract_answer(session))
    }

    /// Takes what a connection that is about to end has not written.
    pub(crate) fn take_unwritten(&mut self, id: ViewerId) -> UnwrittenLines {
        let mut unwritten = UnwrittenLines::default();
        let Some(connection) = self.connections.get_mut(&id) else {
            return unwritten;
        };
        for line in connection.take_unwritten() {
            match line.kind {
                LineKind::Answer(session) => unwritten.answers.push(session),
                LineKind::Release => unwritten.releases.push(line.bytes),
                LineKind::Other => {}
            }
        }
        unwritten
    }

    pub(crate) fn has_pending_writes(&self) -> bool {
        self.connections
            .values()
            .any(ViewerConnection::has_pending_writes)
    }

    // ---- releases without a connection -------------------------------------------------------

    /// Another connection from the same address: the one on which something was received last.
    pub(crate) fn find_by_address(&self, address: IpAddr) -> Option<ViewerId> {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.address() == address && !connection.is_closing())
            .max_by_key(|(id, connection)| (connection.last_received_at(), **id))
            .map(|(id, _)| *id)
    }

    /// Keeps a release for the viewer's next connection.
    pub(crate) fn keep_release(&mut self, address: IpAddr, bytes: Vec<u8>, now: Timestamp) {
        if self.undelivered_releases.len() >= MAX_UNDELIVERED_RELEASES {
            self.undelivered_releases.pop_front();
        }
        self.undelivered_releases.push_back(UndeliveredRelease {
            expires_at: now + UNDELIVERED_RELEASE_TIMEOUT,
            address,
            bytes,
        });
    }

    /// Forgets releases that help nobody any more.
    pub(crate) fn expire_releases(&mut self, now: Timestamp) {
        while let Some(release) = self.undelivered_releases.front()
            && release.expires_at <= now
        {
            self.undelivered_releases.pop_front();
        }
    }

    fn take_undelivered(&mut self, address: IpAddr) -> Vec<Vec<u8>> {
        let mut taken = Vec::new();
        self.undelivered_releases.retain_mut(|release| {
            let is_for_another = release.address != address;
            if !is_for_another {
                taken.push(std::mem::take(&mut release.bytes));
            }
            is_for_another
        });
        taken
    }
}
