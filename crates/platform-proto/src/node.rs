//! One media node: its entry of the endpoint list, the sessions that are active there, and its reachability.

use crate::HexId;
use crate::connection_reasons::{ConnectError, ConnectReason};
use crate::connectivity::NodeConnectivity;
use shalewall::{Endpoint, EndpointState, SessionId, TimeDelta, Timestamp};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Time without received messages after which a new connection probes a node: a lost machine sends nothing, while a
/// stalled one still accepts connections.
const SILENCE_TIMEOUT: TimeDelta = TimeDelta::from_secs(3);
/// Time without an established connection after which a node is considered gone and its sessions as ended. Together
/// with the silence timeout and one connection attempt this stays below the 8 s that the protocol allows for releases.
const UNREACHABLE_TIMEOUT: TimeDelta = TimeDelta::from_millis(2_500);
/// Time after which a node that refuses connections and sends nothing is considered gone, even if an old connection
/// looks open. It equals the silence timeout, because a draining node also refuses connections, and sends nothing while
/// nothing changes. Together with the silence timeout this stays below 8 s as well.
const REFUSED_TIMEOUT: TimeDelta = SILENCE_TIMEOUT;
/// Delay between connection attempts.
const RECONNECT_DELAY: TimeDelta = TimeDelta::from_millis(300);
/// Time for which a release stays pending: by then a connection is established, or the node is considered gone.
const PENDING_RELEASE_TIMEOUT: TimeDelta = TimeDelta::from_secs(8);
/// Maximum number of pending releases of one node.
const MAX_PENDING_RELEASES: usize = 64;

/// The release of a session that may be active at a node and has no owner.
struct PendingRelease {
    expires_at: Timestamp,
    session: HexId,
}

/// The state of a node with active sessions, and what to do about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reachability {
    Reachable,
    /// The node's process no longer runs.
    Gone,
    /// A new connection has to be opened.
    Reconnect(ConnectReason),
}

pub(crate) struct Node {
    endpoint: Endpoint,
    address: SocketAddr,
    active_sessions: BTreeSet<SessionId>,
    last_received_at: Timestamp,
    /// Opening time of the first failed connection attempt since the last contact.
    unreachable_since: Option<Timestamp>,
    /// Time of the first refused connection since the last received message.
    refused_since: Option<Timestamp>,
    /// Earliest time of the next connection for its active sessions.
    reconnect_not_before: Timestamp,
    /// Whether a connection to it was ever opened.
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

    /// Whether this entry of the list describes another process than the known one.
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

    pub(crate) fn active_sessions(&self) -> &BTreeSet<SessionId> {
        &self.active_sessions
    }

    pub(crate) fn add_active_session(&mut self, session: SessionId) {
        self.active_sessions.insert(session);
    }

    pub(crate) fn remove_active_session(&mut self, session: SessionId) {
        self.active_sessions.remove(&session);
    }

    /// Resets the state of a process that no longer runs; returns the sessions that were active there.
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

    /// Records that a connection was established or a message received. Either shows that the machine is not lost; a
    /// stalled one still accepts connections.
    pub(crate) fn record_contact(&mut self, now: Timestamp) {
        self.last_received_at = now;
        self.unreachable_since = None;
        self.refused_since = None;
    }

    /// Records a message on a half-closed connection: a process runs, but may not be reachable by new connections.
    pub(crate) fn record_contact_on_half_closed(&mut self, now: Timestamp) {
        self.last_received_at = now;
        self.refused_since = None;
    }

    pub(crate) fn back_off(&mut self, now: Timestamp) {
        self.reconnect_not_before = now + RECONNECT_DELAY;
    }

    pub(crate) fn delay_reconnect(&mut self, until: Timestamp) {
        self.reconnect_not_before = self.reconnect_not_before.max(until);
    }

    /// Records that a connection that was opened at `opened_at` could not be established.
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

    /// Determines the reachability of a node with active sessions.
    pub(crate) fn reachability(
        &self,
        connectivity: NodeConnectivity,
        now: Timestamp,
    ) -> Reachability {
        let has_lasted = |since: Option<Timestamp>, timeout: TimeDelta| {
            since.is_some_and(|since| now - since >= timeout)
        };
        if has_lasted(self.unreachable_since, UNREACHABLE_TIMEOUT)
            || has_lasted(self.refused_since, REFUSED_TIMEOUT)
        {
            return Reachability::Gone;
        }
        let is_healthy = connectivity.has_healthy_connection;
        let has_connect_failure = self.unreachable_since.is_some() || self.refused_since.is_some();
        let is_silent = now - self.last_received_at >= SILENCE_TIMEOUT;
        let needs_connection = !is_healthy || has_connect_failure || is_silent;
        if !self.may_reconnect(now) || connectivity.is_connecting || !needs_connection {
            return Reachability::Reachable;
        }
        Reachability::Reconnect(match connectivity.has_connection {
            false => ConnectReason::ActiveSessions,
            true if is_healthy => ConnectReason::NodeSilent,
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
