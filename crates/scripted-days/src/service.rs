//! The hosted service of a day: a store, the administration API in this process, and the plan's tenants in it.

use async_executor::LocalExecutor;
use shalewall_admin::api::Api;
use shalewall_admin::serve::{start_server, unix_time_millis};
use shalewall_admin::tokens::issue_token;
use shalewall_settings::{DayPlan, HostedDay, Hosting, Site};
use shalewall_store::Store;
use shalewall_tenancy::access::Role;
use shalewall_tenancy::change::{By, Match, Wish};
use shalewall_tenancy::model::TenantId;
use std::io;
use std::path::Path;
use std::rc::Rc;

/// A front that is silent for so long is taken for gone.
const FORGET_FRONT_MS: u64 = 10_000;

/// What a tenant of the plan is agreed on: the site's classes are its own.
fn terms(site: &Site, name: &str, share: f64) -> serde_json::Value {
    let class = |c: &shalewall_settings::Class| {
        serde_json::json!({ "paid": c.paid, "aim_ms": c.aim_ms as u32, "give_up_ms": c.give_up_ms as u32,
            "worth": c.worth, "floor": c.floor, "top": c.top, "seats": c.seats })
    };
    let classes: serde_json::Map<_, _> = site
        .class
        .iter()
        .map(|(n, c)| (n.clone(), class(c)))
        .collect();
    serde_json::json!({ "display_name": name, "share": share, "classes": classes })
}

/// Starts it; it runs as long as the executor does. What fronts are to be told of it.
pub fn host(
    ex: &Rc<LocalExecutor<'static>>,
    plan: &DayPlan,
    hosted: &HostedDay,
    out: &Path,
) -> io::Result<Hosting> {
    let file = out.join("tenants.redb");
    if file.exists() {
        std::fs::remove_file(&file)?; // an earlier day's
    }
    let store = Store::open(&file).map_err(io::Error::other)?;
    let shown = issue_token(&store, Role::Front).map_err(io::Error::other)?;
    for (name, tenant) in &plan.site.tenant {
        let id = TenantId::try_from(name.clone()).map_err(io::Error::other)?;
        let by = By {
            who: "day",
            now: unix_time_millis(),
            agrees: true,
            of: Match::Missing,
        };
        let wish = Wish::Create(terms(&plan.site, name, tenant.share));
        store
            .change_tenant(&id, &wish, &by, None)
            .map_err(|e| io::Error::other(format!("tenant {name}: {e}")))?;
    }
    let token_file = out.join("front.token");
    std::fs::write(&token_file, shown)?;
    let api = Rc::new(Api::new(store, unix_time_millis(), FORGET_FRONT_MS));
    let admin = start_server(ex, ([127, 0, 0, 1], 0).into(), api)?;
    Ok(Hosting {
        admin,
        token_file,
        set_ups_per_s: hosted.set_ups_per_s,
    })
}
