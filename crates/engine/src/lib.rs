//! The sessions of one director, between what passes on sockets and the decisions: a state machine without I/O and
//! without a clock, in the manner of quinn-proto beside quinn. [`Engine::handle`] takes what happened and the time,
//! [`Engine::poll_output`] gives what is to be done, [`Engine::poll_timeout`] when to call
//! [`Engine::handle_timeout`]. Equal inputs give equal outputs, whatever drives the engine.
//!
//! The crate knows sessions, calls, nodes by id and address, and the decision module's events and actions. It must
//! not know sockets, HTTP, files or a clock. It leaves to the decision module where a session goes, at which rung,
//! and whether it is tried again or rejected. Its own duties: each viewer's request gets one answer; whatever a node
//! may still hold of a session that is over is ended there; and each attempt's outcome tells whether it was not
//! started or may have been executed.
//!
//! Each state has one owner with methods on itself, and no owner knows another: [`catalogue`] (names),
//! `session_table` (sessions and waiting requests), `call_table` (calls in flight), `pending_ends` (ends that nodes
//! have not confirmed), `node_table` (the endpoint list), `migrations` (which sessions are to migrate) and
//! `recovery` (what nodes hold of an earlier process). [`Engine`] holds them all; the modules below `engine` pass
//! between them what one has found out and another must know.

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
