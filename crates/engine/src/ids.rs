//! Identifiers that are shared by the engine and its driver.

use shalewall::SessionId;

/// Identifies a viewer's request; assigned by the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifies a call to a node; assigned by the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A set-up attempt of a session, by which nodes identify what they hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionAttempt {
    /// The session.
    pub session: SessionId,
    /// Number of the attempt, starting with 0.
    pub attempt: u32,
}
