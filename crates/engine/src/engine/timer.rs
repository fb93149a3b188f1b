//! What the engine's timers are for.

use crate::ids::CallId;
use crate::pending_ends::EndKey;
use shalewall::SessionId;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The decision module set it, with this token.
    Policy(u64),
    /// The attempt has had no answer in time.
    AttemptTimeout { session: SessionId, attempt: u32 },
    /// The health check has had no answer in time.
    HealthCheckTimeout(CallId),
    /// An end that its node has not confirmed is sent again.
    SendEnd(EndKey),
    /// A rung that its node has not confirmed is sent again.
    SendRung(SessionId),
    /// A step of the session's migration is due.
    Migration(SessionId),
}
