//! Scripted days: whole days of the service against emulated nodes and viewers, judged by its rules.
//!
//! A day runs on loopback sockets. Nodes, endpoint list and viewers are emulated in this process ([`emulation`]), each
//! director is a process of its own (`director_processes`), a hosted service's store and API are in this process
//! (`hosted_service`), and [`faults`] come by the script. What passed on the sockets is recorded and judged by the
//! [`rules`] when the day is over; [`run`] puts it together and leaves a [`Summary`]. A day of a machine that lacked
//! something is not valid (`host_resources`). [`import`] makes scripts of the bench's day files.

#![deny(missing_docs)]

mod director_processes;
pub mod emulation;
pub mod error;
pub mod faults;
mod host_resources;
mod hosted_service;
mod import;
mod rules;
mod run;
mod summary;

pub use director_processes::DirectorProcesses;
pub use emulation::{Emulation, MoveKey, endpoint};
pub use error::DayError;
pub use host_resources::Shortfall;
pub use import::error::{ImportError, ValueProblem};
pub use import::{Imported, import};
pub use rules::rules;
pub use run::{audit, run};
pub use summary::{Summary, ViewerFigures, WaitTimes};

/// Directors that one machine runs as processes.
pub const MAX_DIRECTORS: u32 = 64;
