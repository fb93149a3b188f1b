//! The sessions of one director: a sans-I/O state machine between the network layer and the decision module, without
//! a clock, in the manner of quinn-proto. [`Engine::handle`] takes an input and the current time,
//! [`Engine::poll_output`] returns the next output, and [`Engine::poll_timeout`] the time at which
//! [`Engine::handle_timeout`] is due. The same inputs always give the same outputs.
//!
//! The crate deals with sessions, calls, nodes by id and address, and the decision module's events and actions. It
//! must not depend on sockets, HTTP, files or a clock. The decision module chooses the node and the rung of a session
//! and whether an attempt is retried or rejected. The engine guarantees that each viewer's request gets one answer,
//! that a session which is over is ended at every node that may still hold it, and that the outcome of each attempt
//! distinguishes "not started" from "may have been executed".
//!
//! Each part of the state is owned by one module, and these modules do not depend on each other: [`catalogue`]
//! (names), `session_table` (sessions and waiting requests), `call_table` (calls in flight), `pending_ends` (session
//! ends that nodes have not confirmed), `node_table` (the endpoint list), `migrations` (which sessions are to
//! migrate) and `recovery` (sessions of an earlier process that nodes still hold). [`Engine`] contains them all; the
//! submodules of `engine` coordinate them.

#![deny(missing_docs)]

mod call_table;
pub mod catalogue;
mod config;
mod engine;
mod ids;
mod input;
mod migrations;
mod node_table;
mod output;
mod pending_ends;
mod policy;
mod recovery;
mod session;
mod session_migration;
mod session_table;

pub use config::{Config, NamedClass, TitlePlacement};
pub use engine::Engine;
pub use ids::{CallId, RequestId, SessionAttempt};
pub use input::{
    CallResult, ClassTerms, EndpointEntry, Input, NodeEvent, SessionRequest, TenantTerms,
    TenantUpdate, TransferredSession,
};
pub use output::{Answer, CallKind, Output, SessionCounts, SessionSummary};
pub use policy::{Admission, AdmissionControl, DecisionPolicy};
