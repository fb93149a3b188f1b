//! Message types of the viewers' protocol.

use serde::{Deserialize, Serialize};

/// Type of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Verb {
    /// A viewer requests a session.
    Start,
    /// Progress report of a request; ignored.
    Pending,
    /// The session is active.
    Started,
    /// A request or a session ends.
    Finish,
    /// A `FINISH` was received.
    Finished,
    /// A health check of this director.
    Echo,
    /// Answer to a health check.
    Echoed,
    /// A notification about a session.
    Notice,
    /// A new rung.
    Rate,
    /// The session ends at this director, and its viewer has to request it again.
    Move,
}
