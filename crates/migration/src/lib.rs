//! Make-before-break migration of a playing session from one media node to another.
//!
//! A migration is not a set-up: the session was admitted once, at its set-up, and a [`ticket`] proves that to the
//! target. Each migration has an [`Epoch`], greater than that of any migration of the session before it. The target
//! node prepares the epoch ([`node`]), the player is offered it and fetches it ([`player`]), and the source is released
//! last, after the player has confirmed that it decoded the target's first picture ([`coordinator`]). The target alone
//! decides whether a migration happens: an epoch that it has prepared is either fetched or cancelled, whichever comes
//! first. Both operations are idempotent.
//!
//! [`planner`] decides which sessions are to be migrated when, and limits the number of concurrent migrations.
//!
//! All of these are state machines without I/O: ids, epochs and time are arguments. Sockets, clocks and the selection
//! of the target and its rung are left to the callers. The server, the emulator and the model checker (`tests/model`)
//! use the same state machines.

#![deny(missing_docs)]

pub mod coordinator;
pub mod node;
pub mod planner;
pub mod player;
pub mod ticket;

use serde::{Deserialize, Serialize};

/// Numbers the migrations of one session; its set-up has epoch 0. If two nodes claim to serve a session, the one with
/// the greater epoch takes precedence.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u32);

impl Epoch {
    /// The next epoch.
    pub fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}
