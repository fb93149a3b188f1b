//! Why a session is not admitted, and when to come back.

use shalewall::TimeDelta;

/// The bounds of all advice on when to come back.
const MIN_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(200);
const MAX_RETRY_AFTER: TimeDelta = TimeDelta::from_secs(60);
const MICROS_PER_SECOND: f64 = 1e6;

/// Why a session is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectionCause {
    /// There is no such tenant, or it takes no new sessions.
    #[error("there is no such tenant, or it takes no new sessions")]
    UnknownTenant,
    /// The tenant's own limit of set-ups a second.
    #[error("above the tenant's own limit of set-ups")]
    TenantSetUpLimit,
    /// The tenant's own limit of sessions.
    #[error("above the tenant's own limit of sessions")]
    TenantSessionLimit,
    /// The director is short of set-ups, and the tenant has used its quota.
    #[error("the director is short of set-ups, and the tenant has used its quota")]
    SetUpQuota,
    /// The director is short of sessions: the tenant has used its quota, or what it has left is in use.
    #[error("the director is short of sessions")]
    SessionQuota,
}

/// A session is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{cause}; to be tried again in {} ms", .retry_after.as_millis())]
pub struct Rejection {
    /// Why.
    pub cause: RejectionCause,
    /// When there may be capacity.
    pub retry_after: TimeDelta,
}

impl Rejection {
    /// A rejection with advice to come back after so many seconds, within the bounds of all advice.
    pub(super) fn after_s(cause: RejectionCause, seconds: f64) -> Rejection {
        let retry_after = TimeDelta::from_micros((seconds * MICROS_PER_SECOND) as i64);
        Rejection {
            cause,
            retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }

    /// A rejection with advice to come back as late as is ever advised.
    pub(super) fn latest(cause: RejectionCause) -> Rejection {
        Rejection {
            cause,
            retry_after: MAX_RETRY_AFTER,
        }
    }
}
