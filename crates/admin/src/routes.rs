//! The calls there are.

use serde_json::{Map, Value, json};
use shalewall_tenancy::access::Act;
use shalewall_tenancy::model;

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Openapi,
    Schema,
    List,
    Create,
    Read,
    Replace,
    Patch,
    Delete,
    Suspend,
    Resume,
    History,
    Usage,
    Sessions,
    Report,
    Changes,
    Tokens,
    NewToken,
    Revoke,
}

/// One call: its method, its path (`{}` stands for an id), who may make it, and the answers beside those that
/// every call can have.
pub struct Route {
    pub call: Call,
    pub method: &'static str,
    pub path: &'static str,
    pub act: Act,
    pub answers: &'static [u16],
    pub summary: &'static str,
}

/// Answers that any call may have: not known who asks, not allowed, hidden or not there, too many, the store.
pub const ANY: [u16; 6] = [401, 403, 404, 405, 429, 503];

const fn route(
    call: Call,
    method: &'static str,
    path: &'static str,
    act: Act,
    answers: &'static [u16],
    summary: &'static str,
) -> Route {
    Route {
        call,
        method,
        path,
        act,
        answers,
        summary,
    }
}

const TENANT: &str = "/tenants/{}";

/// All calls. Those that change a tenant take `If-Match`: 428 without, 412 where it is stale.
pub const ROUTES: [Route; 18] = [
    route(
        Call::Openapi,
        "GET",
        "/openapi.json",
        Act::Read,
        &[200],
        "This document",
    ),
    route(
        Call::Schema,
        "GET",
        "/schema/terms.json",
        Act::Read,
        &[200],
        "The schema of a tenant's terms",
    ),
    route(
        Call::List,
        "GET",
        "/tenants",
        Act::Directory,
        &[200, 400],
        "Tenants by id, in pages",
    ),
    route(
        Call::Create,
        "POST",
        "/tenants",
        Act::Directory,
        &[200, 201, 400, 409, 422],
        "Make a tenant",
    ),
    route(Call::Read, "GET", TENANT, Act::Read, &[200], "A tenant"),
    route(
        Call::Replace,
        "PUT",
        TENANT,
        Act::Change,
        &[200, 400, 409, 412, 422, 428],
        "Replace its terms",
    ),
    route(
        Call::Patch,
        "PATCH",
        TENANT,
        Act::Change,
        &[200, 400, 409, 412, 415, 422, 428],
        "Merge into its terms",
    ),
    route(
        Call::Delete,
        "DELETE",
        TENANT,
        Act::Agree,
        &[202, 412, 428],
        "Delete it: nothing new, what plays ends",
    ),
    route(
        Call::Suspend,
        "POST",
        "/tenants/{}/suspend",
        Act::Agree,
        &[200, 409, 412, 428],
        "Nothing new",
    ),
    route(
        Call::Resume,
        "POST",
        "/tenants/{}/resume",
        Act::Agree,
        &[200, 409, 412, 428],
        "New sessions again",
    ),
    route(
        Call::History,
        "GET",
        "/tenants/{}/history",
        Act::Read,
        &[200, 400],
        "Its changes: who, when, from, to",
    ),
    route(
        Call::Usage,
        "GET",
        "/tenants/{}/usage",
        Act::Read,
        &[200],
        "Sessions that fronts hold of it",
    ),
    route(
        Call::Sessions,
        "GET",
        "/tenants/{}/sessions",
        Act::Read,
        &[200],
        "Its sessions, by front",
    ),
    route(
        Call::Report,
        "POST",
        "/usage",
        Act::Follow,
        &[200, 400, 422],
        "A front tells what it holds",
    ),
    route(
        Call::Changes,
        "GET",
        "/changes",
        Act::Follow,
        &[200, 400],
        "Tenants changed after a number",
    ),
    route(
        Call::Tokens,
        "GET",
        "/tokens",
        Act::Tokens,
        &[200],
        "Tokens, without their secrets",
    ),
    route(
        Call::NewToken,
        "POST",
        "/tokens",
        Act::Tokens,
        &[201, 400, 422],
        "Make a token; shown once",
    ),
    route(
        Call::Revoke,
        "DELETE",
        "/tokens/{}",
        Act::Tokens,
        &[204],
        "Revoke a token",
    ),
];

/// What a target leads to.
pub enum Found<'t> {
    Call(&'static Route, &'t str),
    /// The path is known, for these methods.
    Methods(Vec<&'static str>),
    Nothing,
}

/// Finds a call. The id is as it stands in the path: ids need no escapes.
pub fn find<'t>(method: &str, path: &'t str) -> Found<'t> {
    let id = |pattern: &str| -> Option<&'t str> {
        let Some((before, after)) = pattern.split_once("{}") else {
            return (pattern == path).then_some("");
        };
        let id = path.strip_prefix(before)?.strip_suffix(after)?;
        (!id.is_empty() && !id.contains('/')).then_some(id)
    };
    let here: Vec<(&'static Route, &str)> = ROUTES
        .iter()
        .filter_map(|r| Some((r, id(r.path)?)))
        .collect();
    match here.iter().find(|(r, _)| r.method == method) {
        Some((route, id)) => Found::Call(route, id),
        None if here.is_empty() => Found::Nothing,
        None => Found::Methods(here.iter().map(|(r, _)| r.method).collect()),
    }
}

/// The OpenAPI 3.1 document, made from the table.
pub fn openapi() -> Value {
    let mut paths: Map<String, Value> = Map::new();
    for route in &ROUTES {
        let mut answers = Map::new();
        for status in route.answers.iter().chain(&ANY) {
            let (kind, schema) = match status {
                204 => ("", json!({})),
                200..=299 => ("application/json", json!({})),
                _ => (
                    "application/problem+json",
                    json!({ "$ref": "#/components/schemas/Problem" }),
                ),
            };
            let mut answer = json!({ "description": shalewall_http::head::reason(*status) });
            if !kind.is_empty() {
                answer["content"] = json!({ kind: { "schema": schema } });
            }
            answers.insert(status.to_string(), answer);
        }
        let mut call = json!({ "summary": route.summary, "operationId": format!("{:?}", route.call),
            "responses": answers });
        let mut parameters = Vec::new();
        if route.path.contains("{}") {
            parameters.push(
                json!({ "name": "id", "in": "path", "required": true, "schema": { "type": "string" } }),
            );
        }
        if route.answers.contains(&428) {
            parameters.push(
                json!({ "name": "If-Match", "in": "header", "required": true,
                "schema": { "type": "string" } }),
            );
        }
        if route.call == Call::Create {
            parameters
                .push(json!({ "name": "Idempotency-Key", "in": "header", "schema": { "type": "string" } }));
        }
        call["parameters"] = parameters.into();
        let content = match route.call {
            Call::Replace => Some((
                "application/json",
                json!({ "$ref": "#/components/schemas/Terms" }),
            )),
            Call::Patch => Some(("application/merge-patch+json", json!({ "type": "object" }))),
            Call::Create => Some((
                "application/json",
                json!({ "type": "object", "required": ["id", "terms"],
                "properties": { "id": { "type": "string" }, "terms": { "$ref": "#/components/schemas/Terms" } } }),
            )),
            Call::Report => Some((
                "application/json",
                json!({ "type": "object",
                "required": ["front", "number", "held"] }),
            )),
            Call::NewToken => Some((
                "application/json",
                json!({ "type": "object", "required": ["role"] }),
            )),
            _ => None,
        };
        if let Some((kind, schema)) = content {
            call["requestBody"] =
                json!({ "required": true, "content": { kind: { "schema": schema } } });
        }
        let path = paths
            .entry(route.path.replace("{}", "{id}"))
            .or_insert_with(|| json!({}));
        path[route.method.to_ascii_lowercase()] = call;
    }
    json!({
        "openapi": "3.1.0",
        "info": { "title": "shalewall administration", "version": env!("CARGO_PKG_VERSION") },
        "security": [{ "bearer": [] }],
        "paths": paths,
        "components": {
            "securitySchemes": { "bearer": { "type": "http", "scheme": "bearer" } },
            "schemas": { "Terms": model::schema(), "Problem": { "type": "object", "required": ["status", "title"] } },
        },
    })
}
