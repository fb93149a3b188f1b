//! Parsing of requests: the bearer token, preconditions, query parameters and content.

use crate::error::ApiError;
use serde::de::DeserializeOwned;
use serde_json::Value;
use shalewall_http::server::Request;
use shalewall_tenancy::change::Precondition;

/// Rows of a page if the query gives no limit.
const DEFAULT_PAGE_ROWS: u64 = 100;
/// Maximum number of rows of a page.
pub(crate) const MAX_PAGE_ROWS: usize = 1000;
/// Maximum size of an idempotency key.
pub(crate) const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;
/// The media type of a merge patch (RFC 7396).
const MERGE_PATCH_MEDIA_TYPE: &str = "application/merge-patch+json";

/// The bearer token, or an empty string if there is none.
pub(crate) fn bearer_token(request: &Request) -> &str {
    let text = request.head.fields.get("authorization").unwrap_or_default();
    let token = text
        .strip_prefix("Bearer ")
        .or_else(|| text.strip_prefix("bearer "));
    token.unwrap_or_default().trim()
}

/// Parses `If-Match`: `*`, or entity tags of a tenant's revisions. Weak tags never match (RFC 9110, section 13.1.1).
pub(crate) fn if_match(request: &Request) -> Precondition {
    let mut revisions = Vec::new();
    let mut is_present = false;
    for value in request.head.fields.all("if-match") {
        is_present = true;
        let value = String::from_utf8_lossy(value);
        for tag in value.split(',').map(str::trim) {
            if tag == "*" {
                return Precondition::Any;
            }
            revisions.extend(parse_entity_tag(tag));
        }
    }
    if is_present {
        Precondition::Revisions(revisions)
    } else {
        Precondition::Missing
    }
}

fn parse_entity_tag(tag: &str) -> Option<u64> {
    let revision = tag.strip_prefix('"')?.strip_suffix('"')?;
    revision.parse().ok()
}

/// The caller's idempotency key, if it sent one.
pub(crate) fn idempotency_key(request: &Request) -> Result<Option<&str>, ApiError> {
    let key = request.head.fields.get("idempotency-key");
    if key.is_some_and(|key| key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES) {
        return Err(ApiError::IdempotencyKeyLength);
    }
    Ok(key)
}

/// A number in the query, or its default.
pub(crate) fn query_number(
    request: &Request,
    name: &'static str,
    default: u64,
) -> Result<u64, ApiError> {
    let Some(text) = request.head.query(name) else {
        return Ok(default);
    };
    text.parse().map_err(|_| ApiError::QueryNotANumber { name })
}

/// Number of rows of the requested page.
pub(crate) fn page_rows(request: &Request) -> Result<usize, ApiError> {
    let rows = query_number(request, "limit", DEFAULT_PAGE_ROWS)?;
    Ok((rows as usize).clamp(1, MAX_PAGE_ROWS))
}

/// Parses the content as JSON.
pub(crate) fn json(request: &Request) -> Result<Value, ApiError> {
    serde_json::from_slice(&request.body).map_err(ApiError::MalformedJson)
}

/// Parses the content as an operation's type. `expected` names its members.
pub(crate) fn content<T: DeserializeOwned>(
    request: &Request,
    expected: &'static str,
) -> Result<T, ApiError> {
    serde_json::from_value(json(request)?)
        .map_err(|error| ApiError::InvalidContent { expected, error })
}

/// Parses the content as a merge patch.
pub(crate) fn merge_patch(request: &Request) -> Result<Value, ApiError> {
    let media_type = request.head.fields.get("content-type").unwrap_or_default();
    if !media_type.starts_with(MERGE_PATCH_MEDIA_TYPE) {
        return Err(ApiError::UnsupportedMediaType);
    }
    json(request)
}
