//! The fleet and its viewers as models, for stand-ins on sockets and for the lab in simulated time alike.
//!
//! [`fleet`]: links and uplinks that cut everyone alike, places, cold starts, falling over, and what nodes tell
//! of themselves, how late. [`crowd`]: who comes, for what and for how long; [`tally`]: what came of them.
//!
//! What this crate may know: time as an argument, and chance from ChaCha8 with a stated seed. What it must
//! not: sockets, clocks, engine, decisions, settings files.

pub mod crowd;
pub mod fleet;
pub mod news;
pub mod playhead;
pub mod tally;

pub type Micros = i64;
