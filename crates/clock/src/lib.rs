//! The clock of the program: Unix time at the first reading, and monotonic from then on.
//!
//! Times of processes on one machine can be compared, as recordings require, and setting the wall clock back has no
//! effect. Only drivers of state machines read the clock ([`now`]); the state machines receive the time as an argument,
//! and return the due time of their next timer. [`TimeoutDriver`] then calls them.

#![deny(missing_docs)]

mod loop_clock;
mod monotonic;
mod timeout_driver;

pub use loop_clock::LoopClock;
pub use monotonic::{now, to_duration, to_instant};
pub use timeout_driver::TimeoutDriver;
