//! Types of the viewers' messages.

use serde::{Deserialize, Serialize};

/// Type of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Verb {
    /// A viewer requests a session.
    Start,
    /// Progress, which means nothing.
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
    /// The session ends here; its viewer requests it again.
    Move,
}
