//! Connections of a director that is shared by tenants. A request's head assigns its connection to a tenant, and
//! connections over a tenant's quota may be evicted. `shalewall_tenancy::connections` makes the decisions.

use crate::tenants::Tenants;
use async_executor::Task;
use shalewall_http::HttpError;
use shalewall_http::head::RequestHead;
use shalewall_http::server::ConnectionHooks;
use shalewall_tenancy::connections::{AssignError, ConnectionId};
use shalewall_tenancy::tenant::TenantId;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// The header field that names a request's tenant, so that it is known before the content is read.
pub const TENANT_FIELD: &str = "shalewall-tenant";

/// All connections of a director that is shared by tenants.
pub struct TenantConnections {
    tenants: Rc<Tenants>,
    tasks: RefCell<HashMap<ConnectionId, Task<()>>>,
}

impl TenantConnections {
    /// Creates the registry without any connections.
    pub fn new(tenants: Rc<Tenants>) -> Rc<TenantConnections> {
        Rc::new(TenantConnections {
            tenants,
            tasks: RefCell::default(),
        })
    }

    /// Registers an accepted connection. Returns `None` at the connection limit; the caller closes the connection then.
    pub fn open(self: &Rc<TenantConnections>) -> Option<AdmittedConnection> {
        let opened = self.tenants.connections().open()?;
        self.evict(opened.evicted);
        Some(AdmittedConnection {
            connections: self.clone(),
            id: opened.id,
        })
    }

    /// Sets the task that serves a connection. Dropping the task closes the connection.
    pub fn set_task(&self, id: ConnectionId, task: Task<()>) {
        self.tasks.borrow_mut().insert(id, task);
    }

    /// Closes a connection by dropping the task that serves it.
    fn evict(&self, evicted: Option<ConnectionId>) {
        let task = evicted.and_then(|id| self.tasks.borrow_mut().remove(&id));
        drop(task);
    }
}

/// A registered connection; dropping it removes the registration.
pub struct AdmittedConnection {
    connections: Rc<TenantConnections>,
    /// The connection's id.
    pub id: ConnectionId,
}

impl AdmittedConnection {
    /// Assigns the connection to a tenant, evicting another connection if the quotas require it.
    fn assign(&self, tenant: &TenantId) -> Result<(), HttpError> {
        let tenants = &self.connections.tenants;
        let assigned = tenants.connections().assign(self.id, tenant);
        match assigned {
            Ok(evicted) => {
                self.connections.evict(evicted);
                Ok(())
            }
            Err(AssignError::UnknownTenant) => Err(unknown_tenant()),
            Err(AssignError::TenantLimit) => {
                Err(HttpError::new(503, "above the tenant's connections"))
            }
            Err(AssignError::Quota) => Err(HttpError::new(
                503,
                "the front is full, and the tenant has its part",
            )),
        }
    }
}

fn unknown_tenant() -> HttpError {
    HttpError::new(404, "tenant is not known here")
}

impl ConnectionHooks for AdmittedConnection {
    fn on_request_head(&mut self, head: &RequestHead, size: usize) -> Result<usize, HttpError> {
        let Some(name) = head.fields.get(TENANT_FIELD) else {
            return Ok(usize::MAX);
        };
        let Ok(tenant) = TenantId::try_from(name.to_string()) else {
            return Err(unknown_tenant());
        };
        if self.connections.tenants.is_empty() {
            return Ok(usize::MAX);
        }
        self.assign(&tenant)?;
        let connections = self.connections.tenants.connections();
        let Some(limits) = connections.limits(&tenant) else {
            return Err(unknown_tenant());
        };
        if limits.head_bytes.is_some_and(|max| size > max as usize) {
            return Err(HttpError::new(431, "the head is above the tenant's limit"));
        }
        Ok(limits.body_bytes.map_or(usize::MAX, |max| max as usize))
    }

    fn on_request_complete(&mut self) {
        self.connections.tenants.connections().mark_busy(self.id);
    }

    fn on_idle(&mut self) {
        self.connections.tenants.connections().mark_idle(self.id);
    }
}

impl Drop for AdmittedConnection {
    fn drop(&mut self) {
        self.connections.tenants.connections().close(self.id);
        // When the connection ends by itself, this runs in its own task: dropping the task would cancel it, so it is
        // detached.
        let own_task = self.connections.tasks.borrow_mut().remove(&self.id);
        own_task.into_iter().for_each(Task::detach);
    }
}
