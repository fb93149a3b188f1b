//! Directors on the simulator's text wire: lines of text become events, and actions become lines.
//!
//! The wire carries batches of lines. [`SimulatorAdapter`] takes line after line and gives the reply of each batch; it
//! holds as many directors as the simulator begins. A line that breaks the form ends the run with a [`WireError`], which
//! names line, field and problem. No decision is made here.

#![deny(missing_docs)]

mod adapter;
mod encode;
mod endpoint_list;
mod error;
mod events;
mod fields;

pub use adapter::SimulatorAdapter;
pub use error::{WireError, WireProblem};
