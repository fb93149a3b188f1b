//! Hosted service of a day: the store with the plan's tenants, and the administration API in this process.

use crate::error::DayError;
use async_executor::LocalExecutor;
use shalewall_admin::api::Api;
use shalewall_admin::serve::{start_server, unix_time_millis};
use shalewall_admin::tokens::issue_token;
use shalewall_settings::{Class, DayPlan, HostedDay, Hosting, Site, Tenant};
use shalewall_store::Store;
use shalewall_tenancy::access::Role;
use shalewall_tenancy::change::{Change, ChangeContext, Precondition};
use shalewall_tenancy::tenant::TenantId;
use std::io;
use std::path::Path;
use std::rc::Rc;

/// Time without a report after which the service considers a director gone.
const DIRECTOR_TIMEOUT_MS: u64 = 10_000;

/// Starts the hosted service, which runs as long as the executor. Returns the hosting settings for directors.
pub fn start(
    executor: &Rc<LocalExecutor<'static>>,
    plan: &DayPlan,
    hosted: &HostedDay,
    out: &Path,
) -> Result<Hosting, DayError> {
    let store = Store::open(&new_store_file(out)?)?;
    let token = issue_token(&store, Role::Director)?;
    for (name, tenant) in &plan.site.tenants {
        create_tenant(&store, &plan.site, name, tenant)?;
    }
    let token_file = out.join("front.token");
    std::fs::write(&token_file, token)?;
    let api = Rc::new(Api::new(store, unix_time_millis(), DIRECTOR_TIMEOUT_MS));
    let admin = start_server(executor, ([127, 0, 0, 1], 0).into(), api)?;
    Ok(Hosting {
        admin,
        token_file,
        set_ups_per_s: hosted.set_ups_per_s,
    })
}

/// Path of the store's file, after deleting the file of an earlier day.
fn new_store_file(out: &Path) -> io::Result<std::path::PathBuf> {
    let file = out.join("tenants.redb");
    if file.exists() {
        std::fs::remove_file(&file)?;
    }
    Ok(file)
}

fn create_tenant(store: &Store, site: &Site, name: &str, tenant: &Tenant) -> Result<(), DayError> {
    let tenant_error = |reason: String| DayError::Tenant {
        name: name.to_string(),
        reason,
    };
    let id =
        TenantId::try_from(name.to_string()).map_err(|error| tenant_error(error.to_string()))?;
    let context = ChangeContext {
        actor: "day",
        now: unix_time_millis(),
        may_edit_agreement: true,
        precondition: Precondition::Missing,
    };
    let change = Change::Create(terms(site, name, tenant.share));
    let created = store.change_tenant(&id, &change, &context, None);
    created.map_err(|error| tenant_error(error.to_string()))?;
    Ok(())
}

/// Terms of a tenant of the plan: its share, and the site's classes as its own.
fn terms(site: &Site, name: &str, share: f64) -> serde_json::Value {
    let classes = site.classes.iter();
    let classes: serde_json::Map<_, _> = classes
        .map(|(name, class)| (name.clone(), class_terms(class)))
        .collect();
    serde_json::json!({ "display_name": name, "share": share, "classes": classes })
}

fn class_terms(class: &Class) -> serde_json::Value {
    serde_json::json!({
        "paid": class.paid,
        "aim_ms": class.latency_objective_ms as u32,
        "give_up_ms": class.deadline_ms as u32,
        "worth": class.priority_weight,
        "floor": class.lowest_rung,
        "top": class.highest_rung,
        "seats": class.session_limit_per_title,
    })
}
