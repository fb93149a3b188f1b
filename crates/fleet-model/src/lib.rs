//! Models of the media nodes and their viewers, without I/O and without a clock.
//!
//! The emulator drives them on loopback sockets and the simulation drives them in simulated time, so that both play
//! the same fleet. [`fleet`] holds nodes, links and their limits; [`notifications`] says what nodes report unasked,
//! and how late; [`population`] draws who arrives, for what and for how long; [`playhead`] models a player's buffer;
//! [`totals`] adds up what came of the viewers.
//!
//! Times are arguments. Randomness comes from ChaCha8 with the caller's seed, so equal calls give equal results.
//! The crate knows no sockets, no clocks, no decisions and no settings files.

#![deny(missing_docs)]

pub mod fleet;
pub mod notifications;
pub mod playhead;
pub mod population;
pub mod totals;
