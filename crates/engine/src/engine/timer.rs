//! The engine's timers.

use crate::ids::CallId;
use crate::pending_ends::EndKey;
use shalewall::SessionId;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer of the decision module, with its token.
    Policy(u64),
    /// A set-up attempt has had no answer in time.
    AttemptTimeout { session: SessionId, attempt: u32 },
    /// A health check has had no answer in time.
    HealthCheckTimeout(CallId),
    /// An end that its node has not confirmed is to be sent again.
    SendEnd(EndKey),
    /// A rung that its node has not confirmed is to be sent again.
    SendRung(SessionId),
    /// A session's migration coordinator has a timeout.
    Migration(SessionId),
}
