//! Why a session is not admitted, and when to retry.

use shalewall::TimeDelta;

/// The bounds of Retry-After.
const MIN_RETRY_AFTER: TimeDelta = TimeDelta::from_millis(200);
const MAX_RETRY_AFTER: TimeDelta = TimeDelta::from_secs(60);
const MICROS_PER_SECOND: f64 = 1e6;

/// Why a session is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RejectionCause {
    /// There is no such tenant, or it accepts no new sessions.
    #[error("there is no such tenant, or it accepts no new sessions")]
    UnknownTenant,
    /// The tenant's own limit of set-ups per second is reached.
    #[error("the tenant's limit of set-ups per second is reached")]
    TenantSetUpLimit,
    /// The tenant's own limit of sessions is reached.
    #[error("the tenant's limit of sessions is reached")]
    TenantSessionLimit,
    /// The director has no set-ups left for the tenant, which has used its quota.
    #[error("the director is short of set-up capacity, and the tenant has used its quota")]
    SetUpQuota,
    /// The director has no session capacity left for the tenant: the tenant has used its quota, or the rest of its
    /// quota is in use by others.
    #[error("the director is short of session capacity")]
    SessionQuota,
}

/// A session was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{cause}; retry after {} ms", .retry_after.as_millis())]
pub struct Rejection {
    /// The cause.
    pub cause: RejectionCause,
    /// When there may be capacity again.
    pub retry_after: TimeDelta,
}

impl Rejection {
    /// Creates a rejection with a Retry-After of `seconds`, clamped to its bounds.
    pub(super) fn after_s(cause: RejectionCause, seconds: f64) -> Rejection {
        let retry_after = TimeDelta::from_micros((seconds * MICROS_PER_SECOND) as i64);
        Rejection {
            cause,
            retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
        }
    }

    /// Creates a rejection with the longest Retry-After.
    pub(super) fn latest(cause: RejectionCause) -> Rejection {
        Rejection {
            cause,
            retry_after: MAX_RETRY_AFTER,
        }
    }
}
