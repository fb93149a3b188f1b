//! Decodes and validates a viewer's request for a session.

use crate::connections::TENANT_FIELD;
use serde::Deserialize;
use shalewall::TimeDelta;
use shalewall_engine::SessionRequest;
use shalewall_http::server::Request;
use thiserror::Error;

/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 256;
/// Microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1e3;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// Why a request for a session is invalid.
#[derive(Debug, Error)]
pub enum InvalidRequest {
    /// The content is not JSON or has an unexpected structure.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The header field and the content name different tenants.
    #[error("head and content name different tenants")]
    TenantMismatch,
    /// A name is empty or longer than `MAX_NAME_BYTES`.
    #[error("viewer, tenant, class and title take 1 to {MAX_NAME_BYTES} bytes")]
    NameLength,
    /// A time is negative, too long or not finite.
    #[error("times have to be from 0 to 1e9")]
    TimeOutOfRange,
}

/// A viewer's request in its wire format. Unknown members are ignored.
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

/// Decodes a viewer's request for a session.
pub fn decode(request: &Request) -> Result<SessionRequest, InvalidRequest> {
    let mut wire: WireRequest = serde_json::from_slice(&request.body)?;
    // The header field makes the tenant known before the content is read; clients may name it in the content instead.
    if let Some(header_tenant) = request.head.fields.get(TENANT_FIELD) {
        if wire
            .tenant
            .as_deref()
            .is_some_and(|tenant| tenant != header_tenant)
        {
            return Err(InvalidRequest::TenantMismatch);
        }
        wire.tenant = Some(header_tenant.to_string());
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

/// Converts a duration, given in units of `micros_per_unit` microseconds.
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
