//! Selects the connections that a director keeps open, so that neither a single tenant nor clients without a tenant can
//! use all of them.
//!
//! A connection is unassigned until the head of a request names a tenant. A quarter of the director's connections may
//! be unassigned; when that part is full, the longest idle unassigned connection is evicted for a new one, so clients
//! that send heads slowly affect each other only. The rest is divided among tenants by share. Unused connections are
//! available to all tenants, except for a reserve; when all are in use, a tenant within its quota gets the slot of the
//! longest idle connection of the tenant that exceeds its quota the most. A connection on which a complete request
//! waits for its answer is never evicted. A connection with a partial request counts as idle, so a client that never
//! completes a request only risks its own connection.
//!
//! The cost of a request is a few look-ups, independent of the number of tenants. All tenants are iterated over only
//! when all connections are in use.

mod tenant_connections;

use crate::tenant::TenantId;
use crate::terms::Limits;
use std::collections::BTreeMap;
use tenant_connections::{Connection, IdleSet, TenantConnections};

/// Fraction of the director's connections that may be unassigned.
const UNASSIGNED_FRACTION: f64 = 0.25;
/// Fraction of the rest that only tenants within their quota may use.
const RESERVE_FRACTION: f64 = 0.05;
/// Prevents a division by a quota of zero.
const MIN_QUOTA: f64 = 1e-9;

/// Identifies a connection. Ids of later connections are greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// A connection that has been opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenedConnection {
    /// The id of the new connection.
    pub id: ConnectionId,
    /// A connection that has to be closed in exchange.
    pub evicted: Option<ConnectionId>,
}

/// Why a connection is not assigned to a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AssignError {
    /// There is no such tenant.
    #[error("there is no such tenant")]
    UnknownTenant,
    /// The tenant's own limit of connections is reached, and none of its connections is idle.
    #[error("the tenant's limit of connections is reached")]
    TenantLimit,
    /// All connections are in use, and the tenant has used its quota.
    #[error("all connections are in use, and the tenant has used its quota")]
    Quota,
}

/// The connections of one director.
#[derive(Debug)]
pub struct Connections {
    capacity: usize,
    tenants: BTreeMap<TenantId, TenantConnections>,
    total_share: f64,
    open: BTreeMap<ConnectionId, Connection>,
    unassigned: usize,
    unassigned_idle: IdleSet,
    /// Logical time that orders connections by when they were opened or became idle.
    sequence: u64,
}

impl Connections {
    /// Creates the state of a director that keeps at most `capacity` connections open.
    pub fn new(capacity: usize) -> Connections {
        Connections {
            capacity,
            tenants: BTreeMap::new(),
            total_share: 0.0,
            open: BTreeMap::new(),
            unassigned: 0,
            unassigned_idle: IdleSet::default(),
            sequence: 0,
        }
    }

    /// Sets a tenant's share and limits. Its connections are kept even if they exceed a reduced limit.
    pub fn set_tenant(&mut self, tenant: &TenantId, share: f64, limits: &Limits) {
        let state = self.tenants.entry(tenant.clone()).or_default();
        self.total_share += share - if state.exists { state.share } else { 0.0 };
        state.exists = true;
        state.share = share;
        state.limits = limits.clone();
    }

    /// Removes a tenant: no further connection is assigned to it.
    pub fn remove_tenant(&mut self, tenant: &TenantId) {
        let state = self.tenants.get_mut(tenant);
        let Some(state) = state.filter(|state| state.exists) else {
            return;
        };
        state.exists = false;
        self.total_share -= state.share;
        self.drop_if_empty(tenant);
    }

    /// The limits of a tenant, or `None` if there is no such tenant.
    pub fn limits(&self, tenant: &TenantId) -> Option<&Limits> {
        self.existing(tenant).map(|state| &state.limits)
    }

    /// A tenant's quota of the connections that can be assigned.
    pub fn quota(&self, tenant: &TenantId) -> f64 {
        let share = self.existing(tenant).map_or(0.0, |state| state.share);
        self.assigned_capacity() as f64 * share / self.total_share.max(f64::MIN_POSITIVE)
    }

    /// Number of open connections.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Number of open connections that are assigned to a tenant.
    pub fn tenant_open_count(&self, tenant: &TenantId) -> usize {
        self.tenants.get(tenant).map_or(0, |state| state.open)
    }

    /// Adds a new connection. Returns `None` if it has to be closed, because all unassigned connections are busy.
    pub fn open(&mut self) -> Option<OpenedConnection> {
        let is_full = self.unassigned >= self.unassigned_capacity();
        let evicted = if is_full {
            Some(self.unassigned_idle.longest_idle()?)
        } else {
            None
        };
        if let Some(evicted) = evicted {
            self.close(evicted);
        }
        let now = self.next_sequence();
        let id = ConnectionId(now);
        let connection = Connection {
            tenant: None,
            idle_since: Some(now),
        };
        self.open.insert(id, connection);
        self.unassigned += 1;
        self.unassigned_idle.insert(now, id);
        Some(OpenedConnection { id, evicted })
    }

    /// Assigns a connection to the tenant that the head of a request names. Returns the connection that has to be
    /// closed in exchange, if any. On an error, the connection is unassigned.
    pub fn assign(
        &mut self,
        connection: ConnectionId,
        tenant: &TenantId,
    ) -> Result<Option<ConnectionId>, AssignError> {
        let Some(before) = self.open.get(&connection) else {
            return Err(AssignError::UnknownTenant);
        };
        if before.tenant.as_ref() == Some(tenant) && self.existing(tenant).is_some() {
            self.mark_idle(connection);
            return Ok(None);
        }
        self.unassign(connection);
        let evicted = self.find_slot(tenant)?;
        if let Some(evicted) = evicted {
            self.close(evicted);
        }
        self.unassigned -= 1;
        self.open.entry(connection).or_default().tenant = Some(tenant.clone());
        self.tenants.entry(tenant.clone()).or_default().open += 1;
        self.mark_idle(connection);
        Ok(evicted)
    }

    /// Marks a connection on which a complete request waits for its answer: it is not evicted until it is idle.
    pub fn mark_busy(&mut self, connection: ConnectionId) {
        let Some(state) = self.open.get_mut(&connection) else {
            return;
        };
        let Some(idle_since) = state.idle_since.take() else {
            return;
        };
        let idle = match &state.tenant {
            None => Some(&mut self.unassigned_idle),
            Some(tenant) => self.tenants.get_mut(tenant).map(|state| &mut state.idle),
        };
        if let Some(idle) = idle {
            idle.remove(idle_since, connection);
        }
    }

    /// Marks a connection whose request has been answered, or on which only a part of a request has arrived.
    pub fn mark_idle(&mut self, connection: ConnectionId) {
        self.mark_busy(connection);
        let now = self.next_sequence();
        let Some(state) = self.open.get_mut(&connection) else {
            return;
        };
        state.idle_since = Some(now);
        let idle = match &state.tenant {
            None => &mut self.unassigned_idle,
            Some(tenant) => &mut self.tenants.entry(tenant.clone()).or_default().idle,
        };
        idle.insert(now, connection);
    }

    /// Removes a closed connection.
    pub fn close(&mut self, connection: ConnectionId) {
        self.unassign(connection);
        if self.open.remove(&connection).is_some() {
            self.unassigned -= 1;
        }
    }

    fn existing(&self, tenant: &TenantId) -> Option<&TenantConnections> {
        let state = self.tenants.get(tenant);
        state.filter(|state| state.exists)
    }

    fn unassigned_capacity(&self) -> usize {
        ((self.capacity as f64 * UNASSIGNED_FRACTION) as usize).max(1)
    }

    fn assigned_capacity(&self) -> usize {
        self.capacity
            .saturating_sub(self.unassigned_capacity())
            .max(1)
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Finds a slot for one more connection of a tenant. Returns the connection to evict, or `None` if a slot is free.
    fn find_slot(&self, tenant: &TenantId) -> Result<Option<ConnectionId>, AssignError> {
        let state = self.existing(tenant).ok_or(AssignError::UnknownTenant)?;
        if state.is_at_limit() {
            // One of its own idle connections is evicted.
            let own = state.idle.longest_idle();
            return own.map(Some).ok_or(AssignError::TenantLimit);
        }
        let full = self.assigned_capacity() as f64;
        let is_within_quota = state.open as f64 + 1.0 <= self.quota(tenant).max(1.0);
        let limit = if is_within_quota {
            full
        } else {
            (full * (1.0 - RESERVE_FRACTION)).max(1.0)
        };
        let assigned = self.open.len() - self.unassigned;
        if assigned as f64 + 1.0 <= limit {
            return Ok(None);
        }
        let evicted = self.longest_idle_of_highest_usage(tenant);
        evicted.map(Some).ok_or(AssignError::Quota)
    }

    /// The longest idle connection of the tenant with the highest usage relative to its quota, unless this tenant's
    /// usage would be higher with one more connection.
    fn longest_idle_of_highest_usage(&self, tenant: &TenantId) -> Option<ConnectionId> {
        let usage = |tenant: &TenantId, open: f64| open / self.quota(tenant).max(MIN_QUOTA);
        let own_usage = usage(tenant, self.tenant_open_count(tenant) as f64 + 1.0);
        let farthest = self
            .tenants
            .iter()
            .filter_map(|(tenant, state)| {
                let idle = state.idle.longest_idle()?;
                Some((usage(tenant, state.open as f64), idle))
            })
            .max_by(|(a, _), (b, _)| a.total_cmp(b));
        let (_, idle) = farthest.filter(|(usage, _)| *usage >= own_usage)?;
        Some(idle)
    }

    /// Removes a connection from its tenant. It is unassigned and busy afterwards.
    fn unassign(&mut self, connection: ConnectionId) {
        self.mark_busy(connection);
        let Some(state) = self.open.get_mut(&connection) else {
            return;
        };
        let Some(tenant) = state.tenant.take() else {
            return;
        };
        self.unassigned += 1;
        if let Some(state) = self.tenants.get_mut(&tenant) {
            state.open -= 1;
        }
        self.drop_if_empty(&tenant);
    }

    fn drop_if_empty(&mut self, tenant: &TenantId) {
        let state = self.tenants.get(tenant);
        if state.is_some_and(|state| !state.exists && state.open == 0) {
            self.tenants.remove(tenant);
        }
    }
}
