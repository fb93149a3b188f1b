//! Commands that manage the tenants of a hosted service over its administration API.

use crate::args::{ApiAccess, TenantCommand};
use crate::error::CliError;
use serde_json::{Value, json};
use shalewall_http::Limits;
use shalewall_http::client::{Call, Response, with_timeout};
use shalewall_http::pool::Pool;
use std::io::{Read, stdin};
use std::time::Duration;

/// Timeout of a call to the API.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Executes one command and prints the API's answer.
pub fn run(access: &ApiAccess, command: TenantCommand) -> Result<(), CliError> {
    let request = ApiRequest::from_command(command)?;
    let file = &access.token_file;
    let token = std::fs::read_to_string(file).map_err(CliError::file_error(file))?;
    let answer = request.send(access, token.trim())?;
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    let status = answer.head.status;
    if !(200..300).contains(&status) {
        return Err(CliError::Status { status, body });
    }
    println!("{body}");
    Ok(())
}

/// A call to the API.
struct ApiRequest {
    method: &'static str,
    target: String,
    /// The revision for `If-Match`, if the call changes a tenant.
    revision: Option<u64>,
    content: Option<Content>,
}

/// Content of a call.
struct Content {
    media_type: &'static str,
    text: String,
}

impl ApiRequest {
    /// Creates the call of a command. Content is read from standard input.
    fn from_command(command: TenantCommand) -> Result<ApiRequest, CliError> {
        Ok(match command {
            TenantCommand::List => ApiRequest::new("GET", "/tenants".to_string()),
            TenantCommand::Show { id } => ApiRequest::new("GET", tenant_path(&id, "")),
            TenantCommand::History { id } => ApiRequest::new("GET", tenant_path(&id, "/history")),
            TenantCommand::Create { id } => {
                let terms: Value = serde_json::from_str(&read_input()?)?;
                let content = Content {
                    media_type: "application/json",
                    text: json!({ "id": id, "terms": terms }).to_string(),
                };
                ApiRequest::new("POST", "/tenants".to_string()).with_content(content)
            }
            TenantCommand::Patch { id, at } => {
                let content = Content {
                    media_type: "application/merge-patch+json",
                    text: read_input()?,
                };
                let request = ApiRequest::new("PATCH", tenant_path(&id, ""));
                request.at_revision(at).with_content(content)
            }
            TenantCommand::Suspend { id, at } => {
                ApiRequest::new("POST", tenant_path(&id, "/suspend")).at_revision(at)
            }
            TenantCommand::Resume { id, at } => {
                ApiRequest::new("POST", tenant_path(&id, "/resume")).at_revision(at)
            }
            TenantCommand::Delete { id, at } => {
                ApiRequest::new("DELETE", tenant_path(&id, "")).at_revision(at)
            }
        })
    }

    fn new(method: &'static str, target: String) -> ApiRequest {
        ApiRequest {
            method,
            target,
            revision: None,
            content: None,
        }
    }

    fn at_revision(self, revision: u64) -> ApiRequest {
        ApiRequest {
            revision: Some(revision),
            ..self
        }
    }

    fn with_content(self, content: Content) -> ApiRequest {
        ApiRequest {
            content: Some(content),
            ..self
        }
    }

    fn send(&self, access: &ApiAccess, token: &str) -> Result<Response, CliError> {
        let limits = Limits {
            body: MAX_ANSWER_BYTES,
            ..Limits::default()
        };
        let pool = Pool::new(access.api, limits, Duration::ZERO, 0);
        let host = access.api.to_string();
        let authorization = format!("Bearer {token}");
        let entity_tag = self.revision.map(|revision| format!("\"{revision}\""));
        let mut fields = vec![("Authorization", authorization.as_str())];
        fields.extend(entity_tag.as_deref().map(|tag| ("If-Match", tag)));
        let content = self.content.as_ref();
        let call = Call {
            content: content.map(|content| (content.media_type, content.text.as_bytes())),
            ..Call::new(self.method, &self.target, &host).fields(&fields)
        };
        let answer = async_io::block_on(with_timeout(CALL_TIMEOUT, pool.call(&call)));
        answer.ok_or(CliError::NoAnswer)?.map_err(CliError::Call)
    }
}

fn tenant_path(id: &str, rest: &str) -> String {
    format!("/tenants/{id}{rest}")
}

fn read_input() -> Result<String, CliError> {
    let mut text = String::new();
    stdin().lock().read_to_string(&mut text)?;
    Ok(text)
}
