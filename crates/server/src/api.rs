//! The viewers' side: sessions asked for and ended, as `docs/protocol.md` has it.

use crate::follow;
use crate::hub::Hub;
use crate::keeper::FIELD;
use serde::Deserialize;
use shalewall::{Micros, SessionId};
use shalewall_engine::{Answer, Input, SessionRequest};
use shalewall_http::server::{Reply, Request};
use std::rc::Rc;

/// What a viewer sends. Unknown members are passed over.
#[derive(Deserialize)]
struct Wanted {
    viewer: String,
    tenant: Option<String>,
    class: String,
    title: String,
    wait_ms: Option<f64>,
    hint_s: Option<f64>,
    top: Option<usize>,
    #[serde(default)]
    again: bool,
}

/// Names are so long at most, in bytes.
const NAME: usize = 256;

fn micros(x: Option<f64>, unit: f64) -> Result<Option<Micros>, &'static str> {
    match x {
        None => Ok(None),
        Some(x) if x.is_finite() && (0.0..=1e9).contains(&x) => Ok(Some((x * unit) as Micros)),
        Some(_) => Err("times have to be from 0 to 1e9"),
    }
}

fn read(request: &Request) -> Result<SessionRequest, String> {
    let mut w: Wanted = serde_json::from_slice(&request.body).map_err(|e| e.to_string())?;
    // In the head, so that it is known before the content is read; in the content for those who say it there.
    if let Some(named) = request.head.fields.get(FIELD) {
        if w.tenant.as_deref().is_some_and(|tenant| tenant != named) {
            return Err("head and content name different tenants".to_string());
        }
        w.tenant = Some(named.to_string());
    }
    let names = [
        &w.viewer,
        &w.class,
        &w.title,
        w.tenant.as_ref().unwrap_or(&w.class),
    ];
    if names.iter().any(|n| n.is_empty() || n.len() > NAME) {
        return Err(format!(
            "viewer, tenant, class and title take 1 to {NAME} bytes"
        ));
    }
    Ok(SessionRequest {
        max_wait: micros(w.wait_ms, 1e3)?,
        duration_hint: micros(w.hint_s, 1e6)?,
        viewer_key: w.viewer,
        tenant: w.tenant,
        class: w.class,
        title: w.title,
        highest_rung: w.top,
        is_retry: w.again,
    })
}

/// Answers one request.
pub async fn answer(hub: Rc<Hub>, request: Request) -> Reply {
    let head = &request.head;
    let path = head.path().strip_prefix("/sessions/").unwrap_or_default();
    let (number, word) = path
        .split_once('/')
        .map_or((path, None), |(number, word)| (number, Some(word)));
    let session: Option<u64> = number.parse().ok();
    if let (Some(session), Some(word)) = (session.map(SessionId), word) {
        let reply = match head.method.as_str() {
            "GET" if word == "events" => Some(follow::events(&hub, session, &request)),
            "POST" => follow::word(&hub, session, word, &request),
            _ => None,
        };
        return reply.unwrap_or_else(|| Reply::problem(404, "no such thing here"));
    }
    match (head.method.as_str(), head.path(), session) {
        // Not taken, so nothing was set up: another front may have it at once.
        ("POST", "/sessions", _) if hub.leaving() => {
            problem(503, "this front is ending", None, Some(0))
        }
        ("POST", "/sessions", _) => match read(&request) {
            Err(why) => Reply::problem(422, &why),
            Ok(new) => match hub.ask(new).answer().await {
                Some(answer) => reply(answer),
                None => Reply::problem(500, "the front is being stopped"),
            },
        },
        ("DELETE", _, Some(session)) => {
            // Ending what has ended, or never was, is no error: the wish is fulfilled.
            hub.feed(Input::EndSession {
                session: SessionId(session),
            });
            Reply::new(204)
        }
        ("GET", "/state", _) => {
            let held = hub.held();
            let mut state = serde_json::json!({ "waiting": held.waiting, "playing": held.playing,
                "moving": held.migrating, "leaving": held.leaving, "owed_ends": held.unconfirmed_ends });
            if let Some(tenants) = hub.tenants.get() {
                // As of which change, and whether later ones would be heard of.
                state["tenants"] = tenants.number.get().into();
                state["tenants_followed"] = tenants.reached.get().into();
            }
            Reply::json(200, state.to_string())
        }
        ("GET" | "POST" | "DELETE", ..) => Reply::problem(404, "no such thing here"),
        _ => Reply::problem(405, "no such method here"),
    }
}

/// A problem that names its session and says when to come back, where there are such.
fn problem(
    status: u16,
    detail: &str,
    session: Option<SessionId>,
    come_back: Option<Micros>,
) -> Reply {
    let mut members = serde_json::Map::new();
    if let Some(session) = session {
        members.insert("session".into(), session.0.into());
    }
    if let Some(after) = come_back {
        members.insert("come_back_ms".into(), (after as f64 / 1000.0).into());
    }
    Reply::problem_with(status, detail, members)
}

fn reply(answer: Answer) -> Reply {
    match answer {
        Answer::Playing {
            session,
            rung,
            media,
        } => {
            let body = serde_json::json!({ "session": session.0, "rung": rung, "media": media });
            Reply::json(201, body.to_string()).with("Location", format!("/sessions/{}", session.0))
        }
        Answer::Rejected {
            session,
            retry_after: come_back,
        } => {
            let reply = problem(503, "turned away, free to come back", session, come_back);
            match come_back {
                // The field has whole seconds; the exact time is in the body.
                Some(after) => {
                    reply.with("Retry-After", ((after + 999_999) / 1_000_000).to_string())
                }
                None => reply,
            }
        }
        Answer::Failed {
            session,
            is_deadline_exceeded: false,
        } => problem(502, "failed; it may have been set up", Some(session), None),
        Answer::Failed {
            session,
            is_deadline_exceeded: true,
        } => problem(
            504,
            "the time was up; it may have been set up",
            Some(session),
            None,
        ),
        Answer::Unknown(what) => Reply::problem(404, &format!("{what} is not known here")),
        Answer::Conflict(what) => Reply::problem(409, what),
    }
}
