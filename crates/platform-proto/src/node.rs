//! One media node: its line of the endpoint list, the sessions that are active there, and whether it can be reached.

use crate::HexId;
use crate::connection_reasons::{ConnectError, ConnectReason};
use crate::connectivity::NodeConnectivity;
use shalewall::{Endpoint, EndpointState, SessionId, TimeDelta, Timestamp};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// A node of which nothing was received for so long is tried with a new connection: a machine that is gone gives no
/// sign, and one that stands still accepts connections.
const SILENCE_TIMEOUT: TimeDelta = TimeDelta::from_secs(3);
/// A node to which no connection was established for so long is gone, and its sessions are over. With the silence
/// before it and one try it stays under the 8 s that the protocol gives for releases.
const UNREACHABLE_TIMEOUT: TimeDelta = TimeDelta::from_millis(2_500);
/// A node that refuses connections and sends nothing for so long is gone, though some connection of it may look open.
/// As long as any silence: one that drains refuses connections, too, and sends nothing where nothing changes. With the
/// silence before it this, too, stays under the 8 s.
const REFUSED_TIMEOUT: TimeDelta = SILENCE_TIMEOUT;
/// Backoff between connection attempts.
const RECONNECT_BACKOFF: TimeDelta = TimeDelta::from_millis(300);
/// A release of what may be active at a node is pending so long: by then a connection is established, or the node is
/// gone.
const PENDING_RELEASE_TIMEOUT: TimeDelta = TimeDelta::from_secs(8);
/// Pending releases of one node.
const MAX_PENDING_RELEASES: usize = 64;

/// The release of a session that may be active at a node and belongs to nobody.
struct PendingRelease {
    expires_at: Timestamp,
    session: HexId,
}

/// What is to be done about a node whose sessions are active.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reachability {
    Reachable,
    /// Its process is gone.
    Gone,
    /// A connection is to be tried.
    Reconnect(ConnectReason),
}

pub(crate) struct Node {
    endpoint: Endpoint,
    address: SocketAddr,
    active_sessions: BTreeSet<SessionId>,
    last_received_at: Timestamp,
    /// Since when no connection was established.
    unreachable_since: Option<Timestamp>,
    /// Since when connections are refused and nothing was received on others.
    refused_since: Option<Timestamp>,
    /// No new connection for the sake of its active sessions before this.
    reconnect_not_before: Timestamp,
    /// A connection to it has been opened.
    was_connected: bool,
    pending_releases: Vec<PendingRelease>,
}

impl Node {
    pub(crate) fn new(endpoint: Endpoint, address: SocketAddr, now: Timestamp) -> Node {
        Node {
            endpoint,
            address,
            active_sessions: BTreeSet::new(),
            last_received_at: now,
            unreachable_since: None,
            refused_since: None,
            reconnect_not_before: now,
            was_connected: false,
            pending_releases: Vec::new(),
        }
    }

    // ---- the endpoint list -------------------------------------------------------------------

    pub(crate) fn endpoint(&self) -> Endpoint {
        self.endpoint
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }

    pub(crate) fn is_gone(&self) -> bool {
        self.endpoint.state == EndpointState::Gone
    }

    pub(crate) fn mark_gone(&mut self) {
        self.endpoint.state = EndpointState::Gone;
    }

    /// Whether this line of the list names another process than the one that is known.
    pub(crate) fn is_replaced_by(&self, endpoint: &Endpoint, address: SocketAddr) -> bool {
        let is_later_start = endpoint.started_at > self.endpoint.started_at;
        let is_restarted = is_later_start && endpoint.state != EndpointState::Gone;
        self.address != address || is_restarted
    }

    pub(crate) fn update(&mut self, endpoint: Endpoint, address: SocketAddr) {
        self.endpoint = endpoint;
        self.address = address;
    }

    // ---- active sessions ---------------------------------------------------------------------

    pub(crate) fn has_active_sessions(&self) -> bool {
        !self.active_sessions.is_empty()
    }

    pub(crate) fn add_active_session(&mut self, session: SessionId) {
        self.active_sessions.insert(session);
    }

    pub(crate) fn remove_active_session(&mut self, session: SessionId) {
        self.active_sessions.remove(&session);
    }

    /// Its process is gone: what was known of that is forgotten. The sessions that were active there.
    pub(crate) fn reset_process(&mut self) -> BTreeSet<SessionId> {
        self.unreachable_since = None;
        self.refused_since = None;
        std::mem::take(&mut self.active_sessions)
    }

    // ---- reachability ------------------------------------------------------------------------

    pub(crate) fn was_connected(&self) -> bool {
        self.was_connected
    }

    pub(crate) fn mark_connecting(&mut self) {
        self.was_connected = true;
    }

    /// A connection was established, or a message received. A machine that stands still accepts connections, too.
    pub(crate) fn record_contact(&mut self, now: Timestamp) {
        self.last_received_at = now;
        self.unreachable_since = None;
        self.refused_since = None;
    }

    /// A message was received on a half-closed connection: a process runs, whether it can be reached or not.
    pub(crate) fn record_contact_on_half_closed(&mut self, now: Timestamp) {
        self.last_received_at = now;
        self.refused_since = None;
    }

    pub(crate) fn back_off(&mut self, now: Timestamp) {
        self.reconnect_not_before = now + RECONNECT_BACKOFF;
    }

    pub(crate) fn delay_reconnect(&mut self, until: Timestamp) {
        self.reconnect_not_before = self.reconnect_not_before.max(until);
    }

    /// A connection that was opened at `opened_at` was not established.
    pub(crate) fn record_connect_failure(
        &mut self,
        error: ConnectError,
        opened_at: Timestamp,
        now: Timestamp,
    ) {
        match error {
            ConnectError::Unreachable => {
                self.unreachable_since.get_or_insert(opened_at);
            }
            ConnectError::Refused => {
                self.refused_since.get_or_insert(now);
            }
            ConnectError::LocalShortage => {}
        }
    }

    pub(crate) fn may_reconnect(&self, now: Timestamp) -> bool {
        now >= self.reconnect_not_before
    }

    /// Judges a node whose sessions are active.
    pub(crate) fn reachability(
        &self,
        connectivity: NodeConnectivity,
        now: Timestamp,
    ) -> Reachability {
        let lasts = |since: Option<Timestamp>, timeout: TimeDelta| {
            since.is_some_and(|since| now - since >= timeout)
        };
        if lasts(self.unreachable_since, UNREACHABLE_TIMEOUT)
            || lasts(self.refused_since, REFUSED_TIMEOUT)
        {
            return Reachability::Gone;
        }
        let is_sound = connectivity.has_sound_connection;
        let is_in_doubt = self.unreachable_since.is_some() || self.refused_since.is_some();
        let is_silent = now - self.last_received_at >= SILENCE_TIMEOUT;
        let needs_connection = !is_sound || is_in_doubt || is_silent;
        if !self.may_reconnect(now) || connectivity.is_connecting || !needs_connection {
            return Reachability::Reachable;
        }
        Reachability::Reconnect(match connectivity.has_connection {
            false => ConnectReason::ActiveSessions,
            true if is_sound => ConnectReason::NodeSilent,
            true => ConnectReason::AllSuspect,
        })
    }

    // ---- pending releases --------------------------------------------------------------------

    pub(crate) fn has_pending_releases(&self) -> bool {
        !self.pending_releases.is_empty()
    }

    pub(crate) fn add_pending_release(&mut self, session: HexId, now: Timestamp) {
        if self.pending_releases.len() < MAX_PENDING_RELEASES {
            self.pending_releases.push(PendingRelease {
                expires_at: now + PENDING_RELEASE_TIMEOUT,
                session,
            });
        }
    }

    pub(crate) fn take_pending_releases(&mut self) -> Vec<HexId> {
        std::mem::take(&mut self.pending_releases)
            .into_iter()
            .map(|release| release.session)
            .collect()
    }

    pub(crate) fn expire_pending_releases(&mut self, now: Timestamp) {
        self.pending_releases
            .retain(|release| release.expires_at > now);
    }
}
