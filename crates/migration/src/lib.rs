//! Migration of a playing session from one media node to another, make before break.
//!
//! A migration is not a set-up: the session was booked once, at its set-up, and the booking travels as a [`ticket`].
//! Each migration has an [`Epoch`], one more than any before it. The target node prepares under it ([`node`]), the
//! player is offered it and fetches ([`player`]), and the source is released last, once the player has said that it
//! decoded the target's first picture ([`coordinator`]). Whether a migration happened is decided at one place only,
//! the target: what it has under an epoch is either fetched or cancelled, whichever comes first, and both answers can
//! be asked for again.
//!
//! [`planner`] decides when a session is to be migrated, and how many at once.
//!
//! All of it is state machines without I/O: ids, epochs and time are arguments. Sockets, clocks, and the choice of the
//! target and its rung belong to the callers. The program, the emulator and the model checker (`tests/model`) drive
//! these same state machines.

#![deny(missing_docs)]

pub mod coordinator;
pub mod node;
pub mod planner;
pub mod player;
pub mod ticket;

use serde::{Deserialize, Serialize};

/// Counts the migrations of one session; its set-up is epoch 0. Of two nodes that both claim to serve a session, the
/// one with the greater epoch does.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u32);

impl Epoch {
    /// The epoch of the following migration.
    pub fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}
