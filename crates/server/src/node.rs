//! Media nodes as the front meets them: calls, and one event stream each. The protocol is in
//! `docs/protocol.md`.

use crate::hub::Hub;
use async_io::Timer;
use serde::Deserialize;
use serde_json::Value;
use shalewall::{LoadReport, ServerId, SessionId};
use shalewall_engine::{
    CallKind, CallResult, Input, NodeEvent, SessionAttempt, TransferredSession,
};
use shalewall_http::Limits;
use shalewall_http::client::{Call, Events, Failure, Response, Unconnected, in_time};
use shalewall_http::head::Fields;
use shalewall_http::pool::Pool;
use shalewall_migration::Epoch;
use shalewall_migration::ticket::{TicketKey, Validity};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tracing::{debug, info, warn};

/// Idle connections to a node are kept for less than nodes keep theirs, so that few calls meet a closing one.
const IDLE: Duration = Duration::from_secs(10);
const MOST_IDLE: usize = 64;
/// Pauses between attempts at an event stream.
const PAUSE: Duration = Duration::from_millis(200);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// A ticket is good for so long: clocks of fronts and nodes may differ by less.
const TICKET_MS: u64 = 5_000;
/// One event holds at most so many bytes: a snapshot of all sessions of a node.
const EVENT: usize = 4 * 1024 * 1024;

/// A node, and the connections to it.
pub struct Peer {
    pub server: ServerId,
    pub pool: Pool,
    host: String,
}

impl Peer {
    pub fn new(server: ServerId, address: SocketAddr, limits: &Limits) -> Peer {
        let pool = Pool::new(address, limits.clone(), IDLE, MOST_IDLE);
        Peer {
            server,
            pool,
            host: address.to_string(),
        }
    }
}

/// Carries out one call. Waits as long as it is let; dropped, it closes its connection.
///
/// `key`: seals the tickets of hand-overs.
pub async fn call(
    peer: &Peer,
    director: u32,
    key: Option<&TicketKey>,
    kind: &CallKind,
) -> CallResult {
    let path = |session: &SessionId, attempt: &u32| format!("/sessions/{}/{attempt}", session.0);
    let (method, target, body) = match kind {
        CallKind::SetUpSession {
            session,
            attempt,
            viewer,
            tenant,
            class,
            title,
            rung,
            rate_kb_s: kb,
        } => {
            let body = serde_json::json!({
                "director": director, "viewer": viewer, "tenant": tenant, "class": class, "title": title,
                "rung": rung, "kb": kb,
            });
            ("PUT", path(session, attempt), Some(body.to_string()))
        }
        CallKind::SetRung {
            session,
            attempt,
            rung,
            rate_kb_s: kb,
        } => {
            let body = serde_json::json!({ "rung": rung, "kb": kb });
            ("PATCH", path(session, attempt), Some(body.to_string()))
        }
        CallKind::EndSession {
            session,
            attempt,
            up_to_epoch: None,
        } => ("DELETE", path(session, attempt), None),
        CallKind::EndSession {
            session,
            attempt,
            up_to_epoch: Some(upto),
        } => (
            "DELETE",
            format!("{}?upto={}", path(session, attempt), upto.0),
            None,
        ),
        CallKind::PrepareMigration {
            session,
            attempt,
            epoch,
            from,
            viewer,
            tenant,
            class,
            title,
            rung,
            rate_kb_s: kb,
        } => {
            let Some(key) = key else {
                return CallResult::NotStarted("this front has no key for tickets".into());
            };
            let now = (shalewall_clock::now().as_micros() / 1000) as u64;
            let validity = Validity {
                issued_at: now,
                expires_at: now + TICKET_MS,
            };
            let ticket = key.issue(*session, *epoch, *from, peer.server, validity);
            let body = serde_json::json!({
                "director": director, "viewer": viewer, "tenant": tenant, "class": class, "title": title,
                "rung": rung, "kb": kb, "ticket": ticket,
            });
            (
                "PUT",
                format!("/moves/{}/{attempt}", session.0),
                Some(body.to_string()),
            )
        }
        CallKind::CancelMigration {
            session,
            attempt,
            epoch,
        } => (
            "DELETE",
            format!("/moves/{}/{attempt}?epoch={}", session.0, epoch.0),
            None,
        ),
        CallKind::CheckHealth => ("GET", "/probe".to_string(), None),
    };
    let content = body.as_ref().map(|b| ("application/json", b.as_bytes()));
    let call = Call {
        content,
        ..Call::new(method, &target, &peer.host)
    };
    match peer.pool.call(&call).await {
        Ok(response) => answered(&response),
        Err(Failure::NotConnected(Unconnected::Own, why)) => CallResult::NotSent(why),
        Err(Failure::NotConnected(_, why) | Failure::NeverRan(why)) => CallResult::NotStarted(why),
        Err(Failure::MayHaveRun(why)) => CallResult::MaybeExecuted(why),
    }
}

fn answered(response: &Response) -> CallResult {
    let fields = &response.head.fields;
    let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
    CallResult::Answered {
        status: response.head.status,
        not_started: fields.get("shalewall-never-ran") == Some("yes"),
        load_report: load(fields),
        media: body["media"].as_str().map(str::to_string),
    }
}

/// `streams=7, link=0.4, uplink=1.2`; what is missing or no number is left out.
fn load(fields: &Fields) -> LoadReport {
    let mut load = LoadReport::default();
    for part in fields.get("shalewall-load").unwrap_or_default().split(',') {
        let Some((name, value)) = part.split_once('=') else {
            continue;
        };
        let Ok(value) = value.trim().parse::<f64>() else {
            continue;
        };
        if !value.is_finite() || value < 0.0 {
            continue;
        }
        match name.trim() {
            "streams" => load.streams = Some(value),
            "link" => load.link_utilization = Some(value),
            "uplink" => load.uplink_utilization = Some(value),
            _ => {}
        }
    }
    load
}

/// Keeps a node's event stream open and feeds what it tells.
pub async fn watch(hub: Rc<Hub>, peer: Rc<Peer>) {
    let mut pause = PAUSE;
    loop {
        match listen(&hub, &peer).await {
            Some(true) => pause = PAUSE,
            Some(false) => {
                info!(
                    server = peer.server.0,
                    "node is gone: connections are refused"
                );
                hub.feed(Input::NodeDown {
                    server: peer.server,
                });
            }
            None => {}
        }
        Timer::after(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// Some(true): it was open for a while; Some(false): refused; None: no answer came.
async fn listen(hub: &Rc<Hub>, peer: &Peer) -> Option<bool> {
    let asked = shalewall_clock::now().as_micros();
    let connection = match in_time(hub.silence, peer.pool.connect()).await? {
        Ok(connection) => connection,
        // Only this is proof. Out of descriptors, or with a route that is away, a front knows nothing of its nodes.
        Err(Failure::NotConnected(Unconnected::Refused, _)) => return Some(false),
        Err(e) => {
            debug!(server = peer.server.0, error = %e, "no connection for an event stream");
            return None;
        }
    };
    let target = format!("/events?director={}", hub.director);
    let call = Call::new("GET", &target, &peer.host);
    let (head, incoming) = in_time(hub.silence, connection.stream(&call)).await?.ok()?;
    if head.status != 200 {
        warn!(
            server = peer.server.0,
            status = head.status,
            "a node refuses its event stream"
        );
        return None;
    }
    let server = peer.server;
    let mut events = Events::new(incoming, EVENT);
    while let Some(batch) = events.next(hub.silence).await {
        for event in batch {
            if event.kind == "held" {
                let Some((sessions, held)) = held(&event.data) else {
                    warn!(server = server.0, "a snapshot that is not understood");
                    return None;
                };
                hub.feed(Input::NodeSessionsReported { server, sessions });
                hub.feed(Input::NodeConnected {
                    server,
                    requested_at: asked,
                    held,
                });
                continue;
            }
            match input(server, &event.kind, &event.data) {
                Some(input) => hub.feed(input),
                None => warn!(
                    server = server.0,
                    kind = event.kind,
                    "an event that is not understood"
                ),
            }
        }
    }
    Some(true)
}

/// A session as a node's snapshot tells of it.
#[derive(Deserialize)]
struct Snapped {
    session: u64,
    attempt: u32,
    viewer: u64,
    tenant: Option<String>,
    class: String,
    title: String,
    rung: usize,
    #[serde(flatten)]
    held: shalewall_migration::node::SessionEpochs,
    media: String,
}

type Snapshot = (Vec<TransferredSession>, Vec<SessionAttempt>);

fn held(data: &str) -> Option<Snapshot> {
    let told: Vec<Snapped> = serde_json::from_str(data).ok()?;
    let held = told
        .iter()
        .map(|t| SessionAttempt {
            session: SessionId(t.session),
            attempt: t.attempt,
        })
        .collect();
    let carried = |t: Snapped| TransferredSession {
        session: SessionId(t.session),
        attempt: t.attempt,
        viewer: t.viewer,
        tenant: t.tenant,
        class: t.class,
        title: t.title,
        rung: t.rung,
        epochs: t.held,
        media: t.media,
    };
    Some((told.into_iter().map(carried).collect(), held))
}

fn input(server: ServerId, kind: &str, data: &str) -> Option<Input> {
    let data: Value = serde_json::from_str(data).ok()?;
    let session = SessionId(data["session"].as_u64()?);
    let share = |name: &str| data[name].as_f64().filter(|x| *x >= 0.0);
    let told = match kind {
        "ended" => NodeEvent::SessionEnded {
            session,
            attempt: u32::try_from(data["attempt"].as_u64()?).ok()?,
        },
        "fetched" => NodeEvent::StreamFetched {
            session,
            attempt: u32::try_from(data["attempt"].as_u64()?).ok()?,
            epoch: Epoch(u32::try_from(data["epoch"].as_u64()?).ok()?),
        },
        "figures" => NodeEvent::LoadNotified {
            session,
            delivered_fraction: share("delivered"),
            link_utilization: share("link"),
            uplink_utilization: share("uplink"),
        },
        _ => return None,
    };
    Some(Input::NodeNotified {
        server,
        event: told,
    })
}
