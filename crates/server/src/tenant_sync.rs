//! Synchronizes the tenants of a hosted service from the administration API. Changes are fetched by number with long
//! polling, decoded completely, and applied between two requests. While the API is unreachable the director keeps its
//! last state.

use crate::admin_client::{AdminCallError, AdminClient};
use crate::event_loop::EventLoop;
use crate::tenant_terms::tenant_update;
use crate::tenants::Tenants;
use async_executor::Task;
use async_io::Timer;
use serde::Deserialize;
use shalewall_engine::Input;
use shalewall_settings::Hosting;
use shalewall_tenancy::tenant::{Tenant, TenantId, TenantState};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::{info, warn};

/// How long the API holds a call open while there are no changes.
const LONG_POLL_DURATION: Duration = Duration::from_secs(5);
/// Time added to the long poll for a call's timeout.
const CALL_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Maximum size of an answer, enough for all tenants of a service with about 100,000 titles.
const MAX_CHANGES_BYTES: usize = 64 << 20;

/// The current state of the tenants that have changed.
#[derive(Deserialize)]
struct Changes {
    /// Number of the last change.
    number: u64,
    tenants: Vec<Tenant>,
}

/// Keeps a director's tenants up to date.
pub struct TenantSync {
    event_loop: Rc<EventLoop>,
    tenants: Rc<Tenants>,
    admin: AdminClient,
    /// Tenants that are being deleted. Each task ends the tenant's sessions at the deadline.
    expirations: BTreeMap<TenantId, Task<()>>,
}

impl TenantSync {
    /// `token` is the director's bearer token for the API.
    pub fn new(
        event_loop: Rc<EventLoop>,
        tenants: Rc<Tenants>,
        hosting: &Hosting,
        token: &str,
    ) -> TenantSync {
        TenantSync {
            event_loop,
            tenants,
            admin: AdminClient::new(hosting, token, MAX_CHANGES_BYTES),
            expirations: BTreeMap::new(),
        }
    }

    /// Fetches and applies changes forever.
    pub async fn run(mut self) {
        loop {
            match self.fetch_changes().await {
                Ok(changes) => {
                    if !self.tenants.set_connected(true) {
                        info!("tenant sync connected");
                    }
                    if changes.number > self.tenants.change_number() {
                        self.apply(changes);
                    }
                }
                Err(error) => {
                    if self.tenants.set_connected(false) {
                        let change_number = self.tenants.change_number();
                        warn!(%error, change_number, "tenant sync disconnected");
                    }
                    Timer::after(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn fetch_changes(&self) -> Result<Changes, AdminCallError> {
        let after = self.tenants.change_number();
        let wait_ms = LONG_POLL_DURATION.as_millis();
        let target = format!("/changes?after={after}&wait_ms={wait_ms}");
        let answer = self
            .admin
            .get(&target, LONG_POLL_DURATION + CALL_TIMEOUT_MARGIN)
            .await?;
        Ok(serde_json::from_slice(&answer.body)?)
    }

    /// Updates the engine and admission control in one step, so that no request is decided in between.
    fn apply(&mut self, changes: Changes) {
        let now = shalewall_clock::now();
        let updates = changes.tenants.iter().map(tenant_update).collect();
        self.event_loop.handle(Input::TenantsUpdated(updates));
        for tenant in &changes.tenants {
            self.tenants.update(now, tenant);
            self.expirations.remove(&tenant.id);
            if let TenantState::Deleting { until, .. } = tenant.state {
                let expiration = expire_sessions(self.event_loop.clone(), &tenant.id, until);
                let task = self.event_loop.executor().spawn(expiration);
                self.expirations.insert(tenant.id.clone(), task);
            }
        }
        let change_number = changes.number;
        self.tenants.set_change_number(change_number);
        info!(change_number, "tenants updated");
    }
}

/// Ends a tenant's sessions at `until_ms`, in milliseconds of Unix time.
fn expire_sessions(
    event_loop: Rc<EventLoop>,
    tenant: &TenantId,
    until_ms: u64,
) -> impl Future<Output = ()> + 'static {
    let tenant = tenant.to_string();
    async move {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix_time = since_epoch.unwrap_or_default();
        Timer::after(Duration::from_millis(until_ms).saturating_sub(unix_time)).await;
        info!(tenant, "deleted tenant sessions ended");
        event_loop.handle(Input::EndTenantSessions { tenant });
    }
}
