//! A director of the platform on sockets, as started by `shalewall direct`.
//!
//! The protocol with viewers, media nodes and the endpoint list service is `shalewall-platform-proto`, a state machine
//! without I/O. This crate drives it on one thread: [`run()`] starts a director and waits for signals, the event loop
//! owns the state machine and its connections, and other tasks follow the endpoint list, accept viewers, log the state,
//! reload the configuration file and shut down. A panic ends only the task in which it occurs ([`panics`]).
//!
//! The crate handles sockets, files, signals and the clock. It does not interpret messages, track sessions or make
//! decisions.

#![deny(missing_docs)]

mod accept;
mod config_file;
mod connection;
mod endpoint_watch;
mod error;
mod event_loop;
pub mod panics;
mod protocol_log;
mod receive;
mod reload;
mod run;
mod shutdown;
mod state_log;

pub use error::{ConfigFileError, ConfigFileProblem, RunError};
pub use run::run;
