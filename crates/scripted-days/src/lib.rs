//! Scripted days: runs directors against emulated nodes and viewers, with faults, and judges the recording.
//!
//! A day runs on loopback sockets. Nodes, endpoint list and viewers are emulated in this process ([`emulation`]), each
//! director is a child process (`director_processes`), a hosted service's store and API run in this process
//! (`hosted_service`), and [`faults`] are injected as the script says. Events on the sockets are recorded, and judged
//! by the [`rules`] when the day is over; [`run`] does all of this and writes a [`Summary`]. A day on an overloaded
//! machine is not valid (`host_resources`). [`import`] converts day files of the benchmark to scripts.

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
pub use emulation::{Emulation, MigrationKey, endpoint};
pub use error::DayError;
pub use host_resources::Shortfall;
pub use import::error::{ImportError, ValueProblem};
pub use import::{Imported, import};
pub use rules::rules;
pub use run::{audit, run};
pub use summary::{Summary, ViewerFigures, WaitTimes};

/// Maximum number of directors that one machine runs as processes.
pub const MAX_DIRECTORS: u32 = 64;
