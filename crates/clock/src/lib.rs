//! The clock of the program: unix time at the first reading, and monotonic from there on.
//!
//! Times of processes on one machine can be compared, as recordings need, and a wall clock that is set back changes
//! nothing. Only drivers of state machines read the clock ([`now`]); the state machines themselves take the time as an
//! argument, and say when their next timer is due. [`TimeoutDriver`] calls them then.

#![deny(missing_docs)]

mod monotonic;
mod timeout_driver;

pub use monotonic::{now, to_duration, to_instant};
pub use timeout_driver::TimeoutDriver;
