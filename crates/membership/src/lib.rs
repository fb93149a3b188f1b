//! Who is in the fleet.
//!
//! May know: names, start numbers, keys, bytes that came and the time that it is told. Must not: open a socket, read a clock,
//! draw a number, or decide anything about sessions; what is made of a member is for others.
//!
//! [`seal`] is the envelope of every datagram, [`members`] the membership inside it: SWIM as `foca` has it. What is built on them
//! and what is still to come is in docs/members.md.

pub mod members;
pub mod seal;

/// Microseconds of a clock that only goes forward.
pub type Micros = i64;
