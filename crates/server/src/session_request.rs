//! A viewer's request for a session, decoded and checked.

use crate::connections::TENANT_FIELD;
use serde::Deserialize;
use shalewall::TimeDelta;
use shalewall_engine::SessionRequest;
use shalewall_http::server::Request;
use thiserror::Error;

/// Names are so long at most, in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1e3;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// Why a request for a session is not understood.
#[derive(Debug, Error)]
pub enum InvalidRequest {
    /// It is not JSON, or not of the right form.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Head and content name different tenants.
    #[error("head and content name different tenants")]
    TenantMismatch,
    /// A name is empty or too long.
    #[error("viewer, tenant, class and title take 1 to {MAX_NAME_BYTES} bytes")]
    NameLength,
    /// A time is negative, too long or no number.
    #[error("times have to be from 0 to 1e9")]
    TimeOutOfRange,
}

/// What a viewer sends. Unknown members are passed over.
#[derive(Deserialize)]
struct WireRequest {
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

impl WireRequest {
    fn has_valid_names(&self) -> bool {
        let tenant = self.tenant.as_ref().unwrap_or(&self.class);
        let names = [&self.viewer, &self.class, &self.title, tenant];
        let mut lengths = names.iter().map(|name| name.len());
        lengths.all(|length| (1..=MAX_NAME_BYTES).contains(&length))
    }
}

/// Reads a viewer's request for a session.
pub fn decode(request: &Request) -> Result<SessionRequest, InvalidRequest> {
    let mut wire: WireRequest = serde_json::from_slice(&request.body)?;
    // In the head, so that it is known before the content is read; in the content for those who say it there.
    if let Some(in_head) = request.head.fields.get(TENANT_FIELD) {
        if wire
            .tenant
            .as_deref()
            .is_some_and(|tenant| tenant != in_head)
        {
            return Err(InvalidRequest::TenantMismatch);
        }
        wire.tenant = Some(in_head.to_string());
    }
    if !wire.has_valid_names() {
        return Err(InvalidRequest::NameLength);
    }
    Ok(SessionRequest {
        max_wait: time_delta(wire.wait_ms, MICROS_PER_MILLI)?,
        duration_hint: time_delta(wire.hint_s, MICROS_PER_SECOND)?,
        viewer_key: wire.viewer,
        tenant: wire.tenant,
        class: wire.class,
        title: wire.title,
        highest_rung: wire.top,
        is_retry: wire.again,
    })
}

/// A length of time in a unit of so many microseconds.
fn time_delta(
    time: Option<f64>,
    micros_per_unit: f64,
) -> Result<Option<TimeDelta>, InvalidRequest> {
    match time {
        None => Ok(None),
        Some(time) if time.is_finite() && (0.0..=1e9).contains(&time) => Ok(Some(
            TimeDelta::from_micros((time * micros_per_unit) as i64),
        )),
        Some(_) => Err(InvalidRequest::TimeOutOfRange),
    }
}
