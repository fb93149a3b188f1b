//! Errors of the API and their problem documents (RFC 9457).

use serde_json::{Map, json};
use shalewall_http::server::Reply;
use shalewall_store::StoreError;
use shalewall_tenancy::access::RoleError;
use shalewall_tenancy::change::{AgreementField, ChangeError, StateConflict};
use shalewall_tenancy::schema::ValidationError;
use shalewall_tenancy::tenant::InvalidTenantId;

/// `Retry-After` after a failure of the store.
const STORE_RETRY_AFTER_S: u64 = 5;

/// Why a request is rejected. `Display` is the problem document's detail, which is part of the published API.
#[derive(Debug, thiserror::Error)]
pub enum ApiError {
    /// The token is missing, unknown, wrong or revoked.
    #[error("a bearer token is needed")]
    Unauthenticated,
    /// The caller's role does not allow the operation.
    #[error("not for this role")]
    Forbidden,
    /// The path, tenant or token does not exist, or the caller may not know of it.
    #[error("there is no such thing here")]
    NotFound,
    /// The path does not support the method.
    #[error("not this method")]
    MethodNotAllowed {
        /// The methods that the path supports.
        allowed: Vec<&'static str>,
    },
    /// The tenant's users have exceeded their limit of calls per minute.
    #[error("more calls a minute than agreed")]
    TooManyCalls {
        /// Seconds until the next minute begins.
        retry_after_s: u64,
    },
    /// A query parameter is not a number.
    #[error("{name} has to be a number")]
    QueryNotANumber {
        /// The parameter.
        name: &'static str,
    },
    /// The query parameter `after` is not a valid tenant id.
    #[error("after {0}")]
    InvalidAfter(#[source] InvalidTenantId),
    /// The content is not JSON.
    #[error("the content is not JSON: {0}")]
    MalformedJson(#[source] serde_json::Error),
    /// The content is JSON, but does not match the operation's type.
    #[error("{expected}: {error}")]
    InvalidContent {
        /// The members that the operation takes.
        expected: &'static str,
        /// The parser's error.
        #[source]
        error: serde_json::Error,
    },
    /// The media type of a patch is not that of a merge patch.
    #[error("has to be application/merge-patch+json")]
    UnsupportedMediaType,
    /// The idempotency key is empty or too long.
    #[error(
        "an idempotency key takes 1 to {} bytes",
        crate::request::MAX_IDEMPOTENCY_KEY_BYTES
    )]
    IdempotencyKeyLength,
    /// The idempotency key was used for another request.
    #[error("the idempotency key was used for another request")]
    IdempotencyKeyReused,
    /// A token's role is unknown, or its tenant is missing, unexpected or invalid.
    #[error("{0}")]
    InvalidRole(#[source] RoleError),
    /// A usage report from a new director would exceed the limit of directors.
    #[error("there are too many fronts")]
    TooManyDirectors,
    /// A tenant's terms or id are invalid.
    #[error("the terms are not in order")]
    InvalidTerms(Vec<ValidationError>),
    /// The id of a new tenant is in use, possibly by a tenant that is still being deleted.
    #[error("the id is in use, or what was called so has not ended yet")]
    IdInUse,
    /// A change has no `If-Match` field.
    #[error("name the revision that the change is for in If-Match")]
    RevisionRequired,
    /// A change's `If-Match` field does not match the tenant's revision.
    #[error("another change came first; read it again")]
    StaleRevision {
        /// The tenant's current revision.
        current: u64,
    },
    /// The tenant's state does not allow the change.
    #[error("the tenant {0}")]
    StateConflict(#[source] StateConflict),
    /// A tenant's administrator may not change fields that are agreed with the operator.
    #[error("agreed with the operators, and theirs to change: {}", join(.fields))]
    OperatorFields {
        /// The agreed fields that the change affects.
        fields: Vec<AgreementField>,
    },
    /// The store failed. The cause goes to the log and is not shown to callers.
    #[error("the store can't do this now; nothing was changed")]
    StoreFailed(#[source] StoreError),
}

fn join(fields: &[AgreementField]) -> String {
    let names: Vec<String> = fields.iter().map(ToString::to_string).collect();
    names.join(", ")
}

impl ApiError {
    fn status(&self) -> u16 {
        match self {
            ApiError::QueryNotANumber { .. }
            | ApiError::InvalidAfter(_)
            | ApiError::MalformedJson(_)
            | ApiError::IdempotencyKeyLength => 400,
            ApiError::Unauthenticated => 401,
            ApiError::Forbidden | ApiError::OperatorFields { .. } => 403,
            ApiError::NotFound => 404,
            ApiError::MethodNotAllowed { .. } => 405,
            ApiError::IdInUse | ApiError::StateConflict(_) => 409,
            ApiError::StaleRevision { .. } => 412,
            ApiError::UnsupportedMediaType => 415,
            ApiError::InvalidContent { .. }
            | ApiError::IdempotencyKeyReused
            | ApiError::InvalidRole(_)
            | ApiError::TooManyDirectors
            | ApiError::InvalidTerms(_) => 422,
            ApiError::RevisionRequired => 428,
            ApiError::TooManyCalls { .. } => 429,
            ApiError::StoreFailed(_) => 503,
        }
    }

    /// The header field that belongs to the status, if there is one.
    fn header(&self) -> Option<(&'static str, String)> {
        match self {
            ApiError::Unauthenticated => Some(("WWW-Authenticate", "Bearer".to_string())),
            ApiError::MethodNotAllowed { allowed } => Some(("Allow", allowed.join(", "))),
            ApiError::StaleRevision { current } => Some(("ETag", entity_tag(*current))),
            ApiError::TooManyCalls { retry_after_s } => {
                Some(("Retry-After", retry_after_s.to_string()))
            }
            ApiError::StoreFailed(_) => Some(("Retry-After", STORE_RETRY_AFTER_S.to_string())),
            _ => None,
        }
    }
}

/// Formats a tenant's revision as an entity tag.
pub(crate) fn entity_tag(revision: u64) -> String {
    format!("\"{revision}\"")
}

impl From<&ApiError> for Reply {
    fn from(error: &ApiError) -> Reply {
        let mut members = Map::new();
        if let ApiError::InvalidTerms(errors) = error {
            members.insert("errors".into(), json!(errors));
        }
        let reply = Reply::problem_with(error.status(), &error.to_string(), members);
        match error.header() {
            Some((name, value)) => reply.with_field(name, value),
            None => reply,
        }
    }
}

impl From<StoreError> for ApiError {
    fn from(error: StoreError) -> ApiError {
        match error {
            StoreError::Rejected(reason) => reason.into(),
            StoreError::IdempotencyKeyReused => ApiError::IdempotencyKeyReused,
            StoreError::NewerFormat { .. }
            | StoreError::Corrupt(_)
            | StoreError::Unavailable(_) => ApiError::StoreFailed(error),
        }
    }
}

impl From<ChangeError> for ApiError {
    fn from(reason: ChangeError) -> ApiError {
        match reason {
            ChangeError::NotFound => ApiError::NotFound,
            ChangeError::IdTaken => ApiError::IdInUse,
            ChangeError::PreconditionRequired => ApiError::RevisionRequired,
            ChangeError::Stale { current_revision } => ApiError::StaleRevision {
                current: current_revision,
            },
            ChangeError::StateConflict(conflict) => ApiError::StateConflict(conflict),
            ChangeError::AgreementProtected(fields) => ApiError::OperatorFields { fields },
            ChangeError::Invalid(errors) => ApiError::InvalidTerms(errors),
        }
    }
}
