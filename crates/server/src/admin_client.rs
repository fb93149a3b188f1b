//! A director's client for the administration API.

use shalewall_http::Limits;
use shalewall_http::client::{Call, CallError, Response, with_timeout};
use shalewall_http::pool::Pool;
use shalewall_settings::Hosting;
use std::time::Duration;
use thiserror::Error;

/// How long an idle connection to the API is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a call to the API failed.
#[derive(Debug, Error)]
pub enum AdminCallError {
    /// No answer arrived within the call's timeout.
    #[error("no answer in time")]
    TimedOut,
    /// No complete answer was received.
    #[error("{0}")]
    Failed(CallError),
    /// The API answered with a status other than success.
    #[error("status {0}")]
    Status(u16),
    /// The answer can't be decoded.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// Calls the API with a director's token.
pub struct AdminClient {
    pool: Pool,
    host: String,
    authorization: String,
}

impl AdminClient {
    /// Creates a client. `max_body` is the maximum size of an answer in bytes.
    pub fn new(hosting: &Hosting, token: &str, max_body: usize) -> AdminClient {
        let limits = Limits {
            body: max_body,
            ..Limits::default()
        };
        AdminClient {
            pool: Pool::new(hosting.admin, limits, IDLE_TIMEOUT, 1),
            host: hosting.admin.to_string(),
            authorization: format!("Bearer {}", token.trim()),
        }
    }

    /// Sends a GET request.
    pub async fn get(&self, target: &str, timeout: Duration) -> Result<Response, AdminCallError> {
        self.call(Call::new("GET", target, &self.host), timeout)
            .await
    }

    /// Sends a POST request with JSON content.
    pub async fn post(
        &self,
        target: &str,
        body: &str,
        timeout: Duration,
    ) -> Result<Response, AdminCallError> {
        let call = Call::new("POST", target, &self.host).json(body.as_bytes());
        self.call(call, timeout).await
    }

    async fn call(&self, call: Call<'_>, timeout: Duration) -> Result<Response, AdminCallError> {
        let fields = [("Authorization", self.authorization.as_str())];
        let call = call.fields(&fields);
        let answer = with_timeout(timeout, self.pool.call(&call)).await;
        let answer = answer.ok_or(AdminCallError::TimedOut)?;
        let answer = answer.map_err(AdminCallError::Failed)?;
        match answer.head.status {
            200..=299 => Ok(answer),
            status => Err(AdminCallError::Status(status)),
        }
    }
}
