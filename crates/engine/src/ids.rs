//! Numbers that name what the engine and its driver speak of.

use shalewall::SessionId;

/// A viewer's request that waits for its answer, as the driver numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A call to a node, as the engine numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A set-up attempt of a session, as nodes name what they hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionAttempt {
    /// The session.
    pub session: SessionId,
    /// Number of the attempt, from 0 on.
    pub attempt: u32,
}
