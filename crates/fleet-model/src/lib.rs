//! Models of the media nodes and their viewers, without I/O and without a clock.
//!
//! The emulator drives them on loopback sockets and the simulation drives them in simulated time, so that both run
//! the same fleet. [`fleet`] holds nodes, links and their limits; [`notifications`] decides which load notifications
//! nodes send, and with which delay; [`population`] draws the viewers that arrive, their classes, titles and watch
//! times; [`playhead`] models a player's buffer; [`totals`] sums up the results of viewers.
//!
//! Times are arguments. Random numbers come from ChaCha8 with the caller's seed, so the same calls produce the same
//! results. The crate contains no sockets, clocks, routing decisions or settings files.

#![deny(missing_docs)]

pub mod fleet;
pub mod notifications;
pub mod playhead;
pub mod population;
pub mod totals;
