//! The connections of a hosted front: which tenant's each is, by the head of its requests, and which are closed for
//! others. What is decided is decided in `shalewall_tenancy::connections`.

use crate::tenants::Tenants;
use async_executor::Task;
use shalewall_http::Bad;
use shalewall_http::head::RequestHead;
use shalewall_http::server::Gate;
use shalewall_tenancy::connections::{AssignError, ConnectionId, Connections};
use shalewall_tenancy::tenant::TenantId;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// The field by which a request says whose it is before its content is read.
pub const FIELD: &str = "shalewall-tenant";

/// All connections of a hosted front.
pub struct Keeper {
    tenants: Rc<Tenants>,
    tasks: RefCell<HashMap<ConnectionId, Task<()>>>,
}

impl Keeper {
    pub fn new(tenants: Rc<Tenants>) -> Rc<Keeper> {
        Rc::new(Keeper {
            tenants,
            tasks: RefCell::default(),
        })
    }

    fn book(&self) -> std::cell::RefMut<'_, Connections> {
        self.tenants.connections.borrow_mut()
    }

    /// Closes a connection by dropping the task that serves it.
    fn drop_one(&self, victim: Option<ConnectionId>) {
        let task = victim.and_then(|ticket| self.tasks.borrow_mut().remove(&ticket));
        drop(task);
    }

    /// A connection has come; none: there is no room, and it is to be closed.
    pub fn open(self: &Rc<Keeper>) -> Option<Kept> {
        let opened = self.book().open()?;
        self.drop_one(opened.evicted);
        Some(Kept {
            keeper: self.clone(),
            ticket: opened.id,
        })
    }

    /// The task that serves it.
    pub fn serves(&self, ticket: ConnectionId, task: Task<()>) {
        self.tasks.borrow_mut().insert(ticket, task);
    }
}

/// One connection's place, held for as long as it is served.
pub struct Kept {
    keeper: Rc<Keeper>,
    pub ticket: ConnectionId,
}

impl Gate for Kept {
    fn head(&mut self, head: &RequestHead, size: usize) -> Result<usize, Bad> {
        let Some(name) = head.fields.get(FIELD) else {
            return Ok(usize::MAX);
        };
        let unknown = Bad::new(404, "tenant is not known here");
        let Ok(tenant) = TenantId::try_from(name.to_string()) else {
            return Err(unknown);
        };
        if self.keeper.tenants.number.get() == 0 {
            return Ok(usize::MAX); // nothing is known yet, so nobody is unknown
        }
        let named = self.keeper.book().assign(self.ticket, &tenant);
        match named {
            Ok(victim) => self.keeper.drop_one(victim),
            Err(AssignError::UnknownTenant) => return Err(unknown),
            Err(AssignError::TenantLimit) => {
                return Err(Bad::new(503, "above the tenant's connections"));
            }
            Err(AssignError::Quota) => {
                return Err(Bad::new(
                    503,
                    "the front is full, and the tenant has its part",
                ));
            }
        }
        let book = self.keeper.book();
        let Some(limits) = book.limits(&tenant) else {
            return Err(unknown);
        };
        if limits.head_bytes.is_some_and(|most| size > most as usize) {
            return Err(Bad::new(431, "the head is above the tenant's limit"));
        }
        Ok(limits.body_bytes.map_or(usize::MAX, |most| most as usize))
    }

    fn whole(&mut self) {
        self.keeper.book().mark_busy(self.ticket);
    }

    fn idle(&mut self) {
        self.keeper.book().mark_idle(self.ticket);
    }
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.keeper.book().close(self.ticket);
        // Its own task, if it ends by itself: detached, since it is what runs this.
        let own = self.keeper.tasks.borrow_mut().remove(&self.ticket);
        own.into_iter().for_each(Task::detach);
    }
}
