//! Tenants of a hosted service, as they are rolled out to this front: changes are fetched from the administration
//! API by number, read whole, and applied between two requests. Cut off, the front goes on with the last it had.

use crate::hub::Hub;
use async_executor::Task;
use async_io::Timer;
use serde::Deserialize;
use shalewall::{ClassSettings, Idempotency, Micros, ServerId, TimeDelta, Timestamp};
use shalewall_engine::{
    Admission, AdmissionControl, ClassTerms, Input, SessionSummary, TenantTerms, TenantUpdate,
    TitlePlacement,
};
use shalewall_http::Limits;
use shalewall_http::client::{Call, Response, in_time};
use shalewall_http::pool::Pool;
use shalewall_settings::Hosting;
use shalewall_tenancy::admission::{Capacity, RejectionCause, TenantAdmission};
use shalewall_tenancy::connections::Connections;
use shalewall_tenancy::tenant::{Tenant, TenantId, TenantState};
use shalewall_tenancy::terms::{Class, Fleet};
use shalewall_tenancy::usage::ReportedSession;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tracing::{info, warn};

/// A call that finds no news waits for some at the other side for so long.
const WAIT: Duration = Duration::from_secs(5);
const REPORT: Duration = Duration::from_secs(1);
/// After a call that failed.
const PAUSE: Duration = Duration::from_millis(300);
/// Advice before the first news has come.
const FIRST: Micros = 1_000_000;
/// Sessions that one report tells of at most.
const ROWS: usize = 1000;
/// All tenants of the service, with a hundred thousand titles or so.
const NEWS: usize = 64 << 20;

/// What this front knows of its tenants.
pub struct Tenants {
    shares: RefCell<TenantAdmission>,
    pub(crate) connections: RefCell<Connections>,
    /// Number of the last change that is applied here, and whether the API could be reached last.
    pub number: Cell<u64>,
    pub reached: Cell<bool>,
    /// Tenants whose time is running out.
    ending: RefCell<BTreeMap<TenantId, Task<()>>>,
}

/// The door of the engine.
pub struct Door(pub Rc<Tenants>);

fn id(tenant: Option<&str>) -> Option<TenantId> {
    TenantId::try_from(tenant?.to_string()).ok()
}

impl AdmissionControl for Door {
    fn admit(&mut self, now: Micros, tenant: Option<&str>) -> Admission {
        if self.0.number.get() == 0 {
            return Admission::Rejected { retry_after: FIRST }; // nothing is known yet, so nobody is unknown
        }
        let Some(tenant) = id(tenant) else {
            return Admission::UnknownTenant;
        };
        let now = Timestamp::from_micros(now);
        match self.0.shares.borrow_mut().admit(now, &tenant) {
            Ok(()) => Admission::Admitted,
            Err(rejection) if rejection.cause == RejectionCause::UnknownTenant => {
                Admission::UnknownTenant
            }
            Err(rejection) => Admission::Rejected {
                retry_after: rejection.retry_after.as_micros(),
            },
        }
    }

    fn release(&mut self, now: Micros, tenant: Option<&str>) {
        if let Some(tenant) = id(tenant) {
            let now = Timestamp::from_micros(now);
            self.0.shares.borrow_mut().release(now, &tenant);
        }
    }
}

#[derive(Deserialize)]
struct News {
    number: u64,
    tenants: Vec<Tenant>,
}

/// What a tenant's terms are to the engine; nothing once it is gone.
fn agreed(tenant: &Tenant) -> Option<TenantTerms> {
    let ms = |ms: u32| Micros::from(ms) * 1000;
    let class = |c: &Class| ClassSettings {
        idempotency: if c.paid {
            Idempotency::AtMostOnce
        } else {
            Idempotency::Idempotent
        },
        latency_objective: TimeDelta::from_micros(ms(c.latency_objective_ms)),
        priority_weight: c.priority_weight,
        rate_scale: 1.0,
        lowest_rung: c.lowest_rung as usize,
        highest_rung: c.highest_rung.map_or(usize::MAX, |top| top as usize),
        session_limit_per_title: c.session_limit_per_title,
        is_live: false,
    };
    let terms = &tenant.terms;
    let classes = terms.classes.iter();
    (!matches!(tenant.state, TenantState::Deleted { .. })).then(|| TenantTerms {
        quota: tenant.state.accepts_sessions().then_some(terms.share),
        classes: classes
            .map(|(name, c)| {
                (
                    name.clone(),
                    ClassTerms {
                        settings: class(c),
                        max_wait: ms(c.deadline_ms),
                    },
                )
            })
            .collect(),
        titles: terms
            .titles
            .iter()
            .map(|(name, t)| {
                (
                    name.clone(),
                    TitlePlacement {
                        first_cell: t.first_cell,
                        replica_cells: t.replica_cells,
                    },
                )
            })
            .collect(),
        nodes: match &terms.fleet {
            Fleet::Pool => Vec::new(),
            Fleet::Own(nodes) => nodes.iter().map(|n| ServerId(*n)).collect(),
        },
    })
}

impl Tenants {
    pub fn new(set_ups_per_s: f64, sessions: usize, connections: usize) -> Rc<Tenants> {
        let capacity = Capacity {
            set_ups_per_s,
            sessions: sessions as f64,
        };
        Rc::new(Tenants {
            shares: RefCell::new(TenantAdmission::new(capacity, shalewall_clock::now())),
            connections: RefCell::new(Connections::new(connections)),
            number: Cell::new(0),
            reached: Cell::new(false),
            ending: RefCell::default(),
        })
    }

    /// Door and engine hear of all of it in one turn: no request is decided in between.
    fn apply(&self, hub: &Rc<Hub>, news: News) {
        let now = shalewall_clock::now();
        hub.feed(Input::TenantsUpdated(
            news.tenants
                .iter()
                .map(|t| TenantUpdate {
                    tenant: t.id.to_string(),
                    terms: agreed(t),
                })
                .collect(),
        ));
        for tenant in news.tenants {
            let (id, terms) = (&tenant.id, &tenant.terms);
            if let TenantState::Deleted { .. } = tenant.state {
                self.connections.borrow_mut().remove_tenant(id);
            } else {
                self.connections
                    .borrow_mut()
                    .set_tenant(id, terms.share, &terms.limits);
            }
            self.ending.borrow_mut().remove(id);
            match tenant.state {
                TenantState::Active => {
                    self.shares
                        .borrow_mut()
                        .set_tenant(now, id, terms.share, &terms.limits);
                }
                TenantState::Suspended => self.shares.borrow_mut().remove_tenant(id),
                TenantState::Deleting { until, .. } => {
                    self.shares.borrow_mut().remove_tenant(id);
                    let (hub, name) = (hub.clone(), id.to_string());
                    let task = hub.ex.clone().spawn(async move {
                        let wall = SystemTime::now()
                            .duration_since(UNIX_EPOCH)
                            .unwrap_or_default();
                        Timer::after(Duration::from_millis(until).saturating_sub(wall)).await;
                        info!(
                            tenant = name,
                            "a deleted tenant's time is over: what plays ends"
                        );
                        hub.feed(Input::EndTenantSessions { tenant: name });
                    });
                    self.ending.borrow_mut().insert(id.clone(), task);
                }
                TenantState::Deleted { .. } => self.shares.borrow_mut().remove_tenant(id),
            }
        }
        self.number.set(news.number);
        info!(number = news.number, "tenants are as of this change");
    }
}

/// The administration API as this front calls it.
struct Service {
    pool: Pool,
    host: String,
    authorization: String,
}

impl Service {
    /// `body`: bytes of an answer at most.
    fn new(hosting: &Hosting, token: &str, body: usize) -> Service {
        let limits = Limits {
            body,
            ..Limits::default()
        };
        Service {
            pool: Pool::new(hosting.admin, limits, Duration::from_secs(20), 1),
            host: hosting.admin.to_string(),
            authorization: format!("Bearer {}", token.trim()),
        }
    }

    async fn call(
        &self,
        method: &str,
        target: &str,
        said: &[u8],
        within: Duration,
    ) -> Result<Response, String> {
        let fields = [("Authorization", self.authorization.as_str())];
        let call = Call::new(method, target, &self.host).fields(&fields);
        let call = if said.is_empty() {
            call
        } else {
            call.json(said)
        };
        let answer = in_time(within, self.pool.call(&call))
            .await
            .ok_or("no answer in time")?;
        let answer = answer.map_err(|e| e.to_string())?;
        match answer.head.status {
            200..=299 => Ok(answer),
            status => Err(format!("status {status}")),
        }
    }
}

/// Whose sessions the API wants to hear of.
#[derive(Default, Deserialize)]
struct Wished {
    sessions_of: Vec<String>,
}

fn row(shown: SessionSummary) -> ReportedSession {
    let SessionSummary {
        session,
        class,
        title,
        server,
        rung,
        is_playing,
    } = shown;
    ReportedSession {
        session: session.0,
        class,
        title,
        node: server.map(|s| s.0),
        rung,
        is_playing,
    }
}

/// Tells the API each second what this front holds of its tenants.
pub async fn report(hub: Rc<Hub>, tenants: Rc<Tenants>, hosting: Hosting, token: String) {
    let service = Service::new(&hosting, &token, Limits::default().body);
    let mut wished = Wished::default();
    loop {
        Timer::after(REPORT).await;
        // What people look at, of few tenants and not without end.
        let mut left = ROWS;
        let mut sessions: BTreeMap<String, Vec<ReportedSession>> = BTreeMap::new();
        for tenant in &wished.sessions_of {
            let rows: Vec<_> = hub.sessions_of(tenant, left).into_iter().map(row).collect();
            left -= rows.len();
            sessions.insert(tenant.clone(), rows);
        }
        let said = {
            let shares = tenants.shares.borrow();
            let held: BTreeMap<String, usize> = shares
                .sessions_by_tenant()
                .map(|(id, n)| (id.to_string(), n))
                .collect();
            serde_json::json!({ "front": hub.director, "number": tenants.number.get(), "held": held,
                "sessions": sessions })
            .to_string()
        };
        // One that is lost is followed by the next; that the API is away is told by the other call.
        let answer = service
            .call("POST", "/usage", said.as_bytes(), Duration::from_secs(2))
            .await;
        wished = answer
            .ok()
            .and_then(|a| serde_json::from_slice(&a.body).ok())
            .unwrap_or_default();
    }
}

/// Keeps this front's tenants up to date.
pub async fn follow(hub: Rc<Hub>, tenants: Rc<Tenants>, hosting: Hosting, token: String) {
    let service = Service::new(&hosting, &token, NEWS);
    loop {
        let target = format!(
            "/changes?after={}&wait_ms={}",
            tenants.number.get(),
            WAIT.as_millis()
        );
        let answer = service
            .call("GET", &target, &[], WAIT + Duration::from_secs(2))
            .await;
        let news =
            answer.and_then(|a| serde_json::from_slice::<News>(&a.body).map_err(|e| e.to_string()));
        match news {
            Ok(news) => {
                if !tenants.reached.replace(true) {
                    info!("tenants can be followed");
                }
                if news.number > tenants.number.get() {
                    tenants.apply(&hub, news);
                }
            }
            Err(why) => {
                if tenants.reached.replace(false) {
                    warn!(
                        why,
                        number = tenants.number.get(),
                        "tenants can't be followed, the last ones stand"
                    );
                }
                Timer::after(PAUSE).await;
            }
        }
    }
}
