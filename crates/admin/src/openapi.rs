//! The OpenAPI 3.1 document, generated from the table of operations.

use crate::routes::{COMMON_STATUSES, Operation, ROUTES, Route, ServiceOperation, TenantOperation};
use serde_json::{Map, Value, json};
use shalewall_http::head::reason_phrase;
use shalewall_tenancy::schema::terms_schema;

/// The published document.
pub fn document() -> Value {
    let mut paths: Map<String, Value> = Map::new();
    for route in &ROUTES {
        let path = paths
            .entry(route.path.replace("{}", "{id}"))
            .or_insert_with(|| json!({}));
        path[route.method.to_ascii_lowercase()] = operation(route);
    }
    json!({
        "openapi": "3.1.0",
        "info": { "title": "shalewall administration", "version": env!("CARGO_PKG_VERSION") },
        "security": [{ "bearer": [] }],
        "paths": paths,
        "components": {
            "securitySchemes": { "bearer": { "type": "http", "scheme": "bearer" } },
            "schemas": { "Terms": terms_schema(), "Problem": { "type": "object", "required": ["status", "title"] } },
        },
    })
}

fn operation(route: &Route) -> Value {
    let mut operation = json!({
        "summary": route.summary,
        "operationId": route.operation_id,
        "responses": responses(route),
        "parameters": parameters(route),
    });
    if let Some(body) = request_body(route.operation) {
        operation["requestBody"] = body;
    }
    operation
}

fn responses(route: &Route) -> Value {
    let mut responses = Map::new();
    for status in route.statuses.iter().chain(&COMMON_STATUSES) {
        let mut response = json!({ "description": reason_phrase(*status) });
        match status {
            204 => {}
            200..=299 => response["content"] = content("application/json", json!({})),
            _ => {
                let schema = json!({ "$ref": "#/components/schemas/Problem" });
                response["content"] = content("application/problem+json", schema);
            }
        }
        responses.insert(status.to_string(), response);
    }
    responses.into()
}

fn parameters(route: &Route) -> Vec<Value> {
    let mut parameters = Vec::new();
    if route.path.contains("{}") {
        parameters.push(
            json!({ "name": "id", "in": "path", "required": true, "schema": { "type": "string" } }),
        );
    }
    if route.statuses.contains(&428) {
        parameters.push(
            json!({ "name": "If-Match", "in": "header", "required": true, "schema": { "type": "string" } }),
        );
    }
    if route.operation == Operation::Service(ServiceOperation::CreateTenant) {
        parameters.push(
            json!({ "name": "Idempotency-Key", "in": "header", "schema": { "type": "string" } }),
        );
    }
    parameters
}

fn request_body(operation: Operation) -> Option<Value> {
    let terms = json!({ "$ref": "#/components/schemas/Terms" });
    let (media_type, schema) = match operation {
        Operation::Tenant(TenantOperation::Replace) => ("application/json", terms),
        Operation::Tenant(TenantOperation::Patch) => {
            ("application/merge-patch+json", json!({ "type": "object" }))
        }
        Operation::Service(ServiceOperation::CreateTenant) => (
            "application/json",
            json!({ "type": "object", "required": ["id", "terms"],
                "properties": { "id": { "type": "string" }, "terms": terms } }),
        ),
        Operation::Service(ServiceOperation::ReportUsage) => (
            "application/json",
            json!({ "type": "object", "required": ["front", "number", "held"] }),
        ),
        Operation::Service(ServiceOperation::CreateToken) => (
            "application/json",
            json!({ "type": "object", "required": ["role"] }),
        ),
        _ => return None,
    };
    Some(json!({ "required": true, "content": content(media_type, schema) }))
}

fn content(media_type: &str, schema: Value) -> Value {
    json!({ media_type: { "schema": schema } })
}
