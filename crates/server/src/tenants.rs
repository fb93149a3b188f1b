//! A director's state of the tenants of a hosted service: admission control and open connections.
//!
//! `tenant_sync` keeps it up to date, the engine queries it through [`TenantAdmissionControl`], and `usage_reports`
//! sends it to the administration API.

use shalewall::{TimeDelta, Timestamp};
use shalewall_engine::{Admission, AdmissionControl};
use shalewall_tenancy::admission::{Capacity, RejectionCause, TenantAdmission};
use shalewall_tenancy::connections::Connections;
use shalewall_tenancy::tenant::{Tenant, TenantId, TenantState};
use std::cell::{Cell, RefCell, RefMut};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Retry-After for requests that arrive before the first tenants are known.
const INITIAL_RETRY_AFTER: TimeDelta = TimeDelta::from_secs(1);

/// A director's state of its tenants.
pub struct Tenants {
    admission: RefCell<TenantAdmission>,
    connections: RefCell<Connections>,
    change_number: Cell<u64>,
    is_connected: Cell<bool>,
}

impl Tenants {
    /// Creates the state without any tenants. `set_ups_per_s`, `sessions` and `connections` are the director's total
    /// capacity, which its tenants share.
    pub fn new(set_ups_per_s: f64, sessions: usize, connections: usize) -> Rc<Tenants> {
        let capacity = Capacity {
            set_ups_per_s,
            sessions: sessions as f64,
        };
        let admission = TenantAdmission::new(capacity, shalewall_clock::now());
        Rc::new(Tenants {
            admission: RefCell::new(admission),
            connections: RefCell::new(Connections::new(connections)),
            change_number: Cell::new(0),
            is_connected: Cell::new(false),
        })
    }

    /// Number of the last applied change, or 0 if no change has been applied yet.
    pub fn change_number(&self) -> u64 {
        self.change_number.get()
    }

    /// Records that all changes up to `number` are applied.
    pub fn set_change_number(&self, number: u64) {
        self.change_number.set(number);
    }

    /// Whether the last call to the administration API succeeded.
    pub fn is_connected(&self) -> bool {
        self.is_connected.get()
    }

    /// Sets whether the last call to the API succeeded. Returns the previous value.
    pub fn set_connected(&self, is_connected: bool) -> bool {
        self.is_connected.replace(is_connected)
    }

    /// Whether no change has been applied yet. Until then no tenant can be rejected as unknown.
    pub fn is_empty(&self) -> bool {
        self.change_number() == 0
    }

    /// The open connections by tenant.
    pub fn connections(&self) -> RefMut<'_, Connections> {
        self.connections.borrow_mut()
    }

    /// Applies a changed tenant to admission control and connection quotas.
    pub fn update(&self, now: Timestamp, tenant: &Tenant) {
        let id = &tenant.id;
        let share = tenant.terms.share;
        let limits = &tenant.terms.limits;
        match tenant.state {
            TenantState::Deleted { .. } => self.connections().remove_tenant(id),
            _ => self.connections().set_tenant(id, share, limits),
        }
        let mut admission = self.admission.borrow_mut();
        match tenant.state {
            TenantState::Active => admission.set_tenant(now, id, share, limits),
            _ => admission.remove_tenant(id),
        }
    }

    /// Number of sessions in this director, by tenant.
    pub fn session_counts(&self) -> BTreeMap<String, usize> {
        let admission = self.admission.borrow();
        let counts = admission.sessions_by_tenant();
        counts
            .map(|(tenant, count)| (tenant.to_string(), count))
            .collect()
    }

    fn admit(&self, now: Timestamp, tenant: Option<&str>) -> Admission {
        if self.is_empty() {
            return Admission::Rejected {
                retry_after: INITIAL_RETRY_AFTER,
            };
        }
        let Some(tenant) = tenant_id(tenant) else {
            return Admission::UnknownTenant;
        };
        match self.admission.borrow_mut().admit(now, &tenant) {
            Ok(()) => Admission::Admitted,
            Err(rejection) if rejection.cause == RejectionCause::UnknownTenant => {
                Admission::UnknownTenant
            }
            Err(rejection) => Admission::Rejected {
                retry_after: rejection.retry_after,
            },
        }
    }

    fn release(&self, now: Timestamp, tenant: Option<&str>) {
        if let Some(tenant) = tenant_id(tenant) {
            self.admission.borrow_mut().release(now, &tenant);
        }
    }
}

fn tenant_id(name: Option<&str>) -> Option<TenantId> {
    TenantId::try_from(name?.to_string()).ok()
}

/// Admission control for the engine, by the tenants' quotas.
pub struct TenantAdmissionControl(pub Rc<Tenants>);

impl AdmissionControl for TenantAdmissionControl {
    fn admit(&mut self, now: Timestamp, tenant: Option<&str>) -> Admission {
        self.0.admit(now, tenant)
    }

    fn release(&mut self, now: Timestamp, tenant: Option<&str>) {
        self.0.release(now, tenant);
    }
}
