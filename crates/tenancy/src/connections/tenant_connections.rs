//! The state of one tenant's connections, and of one connection.

use super::ConnectionId;
use crate::tenant::TenantId;
use crate::terms::Limits;
use std::collections::BTreeSet;

/// Idle connections in the order in which they became idle.
#[derive(Debug, Default)]
pub(super) struct IdleSet(BTreeSet<(u64, ConnectionId)>);

impl IdleSet {
    pub fn insert(&mut self, idle_since: u64, connection: ConnectionId) {
        self.0.insert((idle_since, connection));
    }

    pub fn remove(&mut self, idle_since: u64, connection: ConnectionId) {
        self.0.remove(&(idle_since, connection));
    }

    /// The connection that has been idle for the longest time.
    pub fn longest_idle(&self) -> Option<ConnectionId> {
        self.0.first().map(|(_, connection)| *connection)
    }
}

#[derive(Debug, Default)]
pub(super) struct TenantConnections {
    /// Whether the tenant exists. If not, its connections that are still open are counted until they close.
    pub exists: bool,
    pub share: f64,
    pub limits: Limits,
    pub open: usize,
    pub idle: IdleSet,
}

impl TenantConnections {
    /// Whether its own limit does not allow one more connection.
    pub fn is_at_limit(&self) -> bool {
        let limit = self.limits.connections;
        limit.is_some_and(|limit| self.open >= limit as usize)
    }
}

#[derive(Debug, Default)]
pub(super) struct Connection {
    /// The tenant to which it is assigned.
    pub tenant: Option<TenantId>,
    /// The logical time at which it became idle, as counted by [`Connections`](super::Connections).
    pub idle_since: Option<u64>,
}
