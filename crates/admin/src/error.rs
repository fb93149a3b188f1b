//! Why a request is refused, and the problem document (RFC 9457) that says so.

use serde_json::{Map, json};
use shalewall_http::server::Reply;
use shalewall_store::StoreError;
use shalewall_tenancy::access::RoleError;
use shalewall_tenancy::change::{AgreementField, ChangeError, StateConflict};
use shalewall_tenancy::schema::ValidationError;
use shalewall_tenancy::tenant::InvalidTenantId;

/// How long a caller is to wait after the store has failed.
const STORE_RETRY_AFTER_S: u64 = 5;

/// A refused request. `Display` is the problem document's detail.
#[derive(Debug, thiserror::Error)]
pub enum ApiError {
    /// No token, or one that is unknown, wrong or revoked.
    #[error("a bearer token is needed")]
    Unauthenticated,
    /// The caller's role does not allow it.
    #[error("not for this role")]
    Forbidden,
    /// There is no such path, tenant or token, or the caller may not know of it.
    #[error("there is no such thing here")]
    NotFound,
    /// The path has other methods.
    #[error("not this method")]
    MethodNotAllowed {
        /// The methods of the path.
        allowed: Vec<&'static str>,
    },
    /// The tenant's callers have used up their calls of this minute.
    #[error("more calls a minute than agreed")]
    TooManyCalls {
        /// Seconds until the next minute begins.
        retry_after_s: u64,
    },
    /// A query parameter is no number.
    #[error("{name} has to be a number")]
    QueryNotANumber {
        /// The parameter.
        name: &'static str,
    },
    /// The query's `after` is no tenant's id.
    #[error("after {0}")]
    InvalidAfter(#[source] InvalidTenantId),
    /// The content is not JSON.
    #[error("the content is not JSON: {0}")]
    MalformedJson(#[source] serde_json::Error),
    /// The content is JSON, but not of this operation.
    #[error("{expected}: {error}")]
    InvalidContent {
        /// The members that the operation takes.
        expected: &'static str,
        /// What the parser says.
        #[source]
        error: serde_json::Error,
    },
    /// A patch of another media type than a merge patch.
    #[error("has to be application/merge-patch+json")]
    UnsupportedMediaType,
    /// An idempotency key that is empty or too long.
    #[error(
        "an idempotency key takes 1 to {} bytes",
        crate::request::MAX_IDEMPOTENCY_KEY_BYTES
    )]
    IdempotencyKeyLength,
    /// The idempotency key was used for another request.
    #[error("the idempotency key was used for another request")]
    IdempotencyKeyReused,
    /// A token's role is none, or does not go with a tenant.
    #[error("{0}")]
    InvalidRole(#[source] RoleError),
    /// More directors report usage than are kept account of.
    #[error("there are too many fronts")]
    TooManyDirectors,
    /// A tenant's terms, or its id, break the published schema.
    #[error("the terms are not in order")]
    InvalidTerms(Vec<ValidationError>),
    /// The id of a new tenant is in use, or not free yet.
    #[error("the id is in use, or what was called so has not ended yet")]
    IdInUse,
    /// A change named no revision.
    #[error("name the revision that the change is for in If-Match")]
    RevisionRequired,
    /// A change named a revision that is not the tenant's.
    #[error("another change came first; read it again")]
    StaleRevision {
        /// The tenant's revision.
        current: u64,
    },
    /// The tenant's state does not allow the change.
    #[error("the tenant {0}")]
    StateConflict(#[source] StateConflict),
    /// A tenant's administrator may not change these fields.
    #[error("agreed with the operators, and theirs to change: {}", join(.fields))]
    OperatorFields {
        /// The fields that would change.
        fields: Vec<AgreementField>,
    },
    /// The store failed. What is wrong with it is for the operators' log, not for callers.
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

    /// The header field that goes with the status, where there is one.
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

/// The entity tag of a tenant's revision.
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
