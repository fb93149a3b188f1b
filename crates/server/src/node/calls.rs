//! Sends the engine's calls to a node as HTTP requests and converts the responses to the engine's results.

use super::NodeConnections;
use crate::director::Director;
use serde_json::{Value, json};
use shalewall::{LoadReport, ServerId, SessionId};
use shalewall_engine::{CallKind, CallResult};
use shalewall_http::client::{Call, CallError, ConnectErrorKind, Response};
use shalewall_http::head::Fields;
use shalewall_migration::ticket::{TicketKey, Validity};

/// Lifetime of a migration ticket. It must exceed the clock skew between directors and nodes.
const TICKET_LIFETIME_MS: u64 = 5_000;

/// Executes one call, without a timeout. Dropping the future closes the connection.
pub async fn call(
    connections: &NodeConnections,
    director: &Director,
    kind: &CallKind,
) -> CallResult {
    let Some(request) = NodeRequest::from_call(kind, director, connections.server) else {
        return CallResult::NotStarted("the director has no ticket key".into());
    };
    let body = request.body.as_ref().map(Value::to_string);
    let content = body
        .as_ref()
        .map(|text| ("application/json", text.as_bytes()));
    let call = Call {
        content,
        ..Call::new(request.method, &request.target, &connections.host)
    };
    match connections.pool.call(&call).await {
        Ok(response) => decode_response(&response),
        Err(CallError::NotConnected(ConnectErrorKind::LocalShortage, reason)) => {
            CallResult::NotSent(reason)
        }
        Err(CallError::NotConnected(_, reason) | CallError::NotExecuted(reason)) => {
            CallResult::NotStarted(reason)
        }
        Err(CallError::MaybeExecuted(reason)) => CallResult::MaybeExecuted(reason),
    }
}

/// A call in the form of the node protocol.
struct NodeRequest {
    method: &'static str,
    target: String,
    body: Option<Value>,
}

impl NodeRequest {
    /// Returns `None` if the call needs a ticket and the director has no ticket key.
    fn from_call(kind: &CallKind, director: &Director, server: ServerId) -> Option<NodeRequest> {
        Some(match kind {
            CallKind::SetUpSession {
                session,
                attempt,
                viewer,
                tenant,
                class,
                title,
                rung,
                rate_kb_s,
            } => NodeRequest {
                method: "PUT",
                target: session_path(*session, *attempt),
                body: Some(json!({
                    "director": director.number, "viewer": viewer, "tenant": tenant,
                    "class": class, "title": title, "rung": rung, "kb": rate_kb_s,
                })),
            },
            CallKind::SetRung {
                session,
                attempt,
                rung,
                rate_kb_s,
            } => NodeRequest {
                method: "PATCH",
                target: session_path(*session, *attempt),
                body: Some(json!({ "rung": rung, "kb": rate_kb_s })),
            },
            CallKind::EndSession {
                session,
                attempt,
                up_to_epoch,
            } => {
                let path = session_path(*session, *attempt);
                let query = up_to_epoch.map(|epoch| format!("?upto={}", epoch.0));
                let target = path + &query.unwrap_or_default();
                NodeRequest::without_body("DELETE", target)
            }
            CallKind::PrepareMigration { .. } => {
                return prepare_migration(kind, director, server);
            }
            CallKind::CancelMigration {
                session,
                attempt,
                epoch,
            } => {
                let path = migration_path(*session, *attempt);
                NodeRequest::without_body("DELETE", format!("{path}?epoch={}", epoch.0))
            }
            CallKind::CheckHealth => NodeRequest::without_body("GET", "/probe".to_string()),
        })
    }

    fn without_body(method: &'static str, target: String) -> NodeRequest {
        NodeRequest {
            method,
            target,
            body: None,
        }
    }
}

fn prepare_migration(
    kind: &CallKind,
    director: &Director,
    server: ServerId,
) -> Option<NodeRequest> {
    let CallKind::PrepareMigration {
        session,
        attempt,
        epoch,
        from,
        viewer,
        tenant,
        class,
        title,
        rung,
        rate_kb_s,
    } = kind
    else {
        return None;
    };
    let key: &TicketKey = director.ticket_key.as_ref()?;
    let ticket = key.issue(*session, *epoch, *from, server, ticket_validity());
    Some(NodeRequest {
        method: "PUT",
        target: migration_path(*session, *attempt),
        body: Some(json!({
            "director": director.number, "viewer": viewer, "tenant": tenant, "class": class,
            "title": title, "rung": rung, "kb": rate_kb_s, "ticket": ticket,
        })),
    })
}

fn ticket_validity() -> Validity {
    let now_ms = (shalewall_clock::now().as_micros() / 1000) as u64;
    Validity {
        issued_at: now_ms,
        expires_at: now_ms + TICKET_LIFETIME_MS,
    }
}

fn session_path(session: SessionId, attempt: u32) -> String {
    format!("/sessions/{}/{attempt}", session.0)
}

fn migration_path(session: SessionId, attempt: u32) -> String {
    format!("/moves/{}/{attempt}", session.0)
}

fn decode_response(response: &Response) -> CallResult {
    let fields = &response.head.fields;
    let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
    CallResult::Answered {
        status: response.head.status,
        not_started: fields.get("shalewall-never-ran") == Some("yes"),
        load_report: load_report(fields),
        media: body["media"].as_str().map(str::to_string),
    }
}

/// Parses a load report such as `streams=7, link=0.4, uplink=1.2`. Missing and invalid values are left out.
fn load_report(fields: &Fields) -> LoadReport {
    let mut report = LoadReport::default();
    let text = fields.get("shalewall-load").unwrap_or_default();
    for part in text.split(',') {
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
            "streams" => report.streams = Some(value),
            "link" => report.link_utilization = Some(value),
            "uplink" => report.uplink_utilization = Some(value),
            _ => {}
        }
    }
    report
}
