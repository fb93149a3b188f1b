//! Runs directors on the simulator's text protocol: input lines become events, and actions become output lines.
//!
//! The protocol transfers batches of lines. [`SimulatorAdapter`] reads them line by line and returns the reply of each
//! batch; it runs any number of directors, which the simulator starts and stops. A malformed line ends the run with a
//! [`WireError`], which contains the line number, the field and the problem. This crate makes no decisions.

#![deny(missing_docs)]

mod adapter;
mod encode;
mod endpoint_list;
mod error;
mod events;
mod fields;

pub use adapter::SimulatorAdapter;
pub use error::{WireError, WireProblem};
