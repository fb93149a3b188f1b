//! Handing a session that plays over from one node to another, make before break.
//!
//! A move is no set-up: the session was booked once, at its set-up, and the booking travels as a [`ticket`]. Each
//! move has an epoch, one more than any before it. The target prepares under it ([`node`]), the player is offered it
//! and fetches ([`player`]), and the source is released last, when the player has said that it took the target's
//! picture ([`front`]). Whether a move happened is decided at one place only, the target: what it has under an epoch
//! is either fetched or cancelled, whichever comes first, and both answers can be asked for again.
//!
//! [`mover`] says when a session is to be moved, and how many at once.
//!
//! What this crate may know: ids, epochs, time as an argument. What it must not: sockets, clocks, which node to take
//! and at which rung: that is the decision module's. Program, stand-ins and the model checker (`tests/model.rs`)
//! drive these same state machines.

pub mod front;
pub mod mover;
pub mod node;
pub mod player;
pub mod ticket;

use serde::{Deserialize, Serialize};

/// Counts the moves of one session; its set-up is epoch 0. Of two who think that they serve, the greater one does.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u32);

impl Epoch {
    pub fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}
