//! The sessions of one front, between what passes on sockets and the decisions.
//!
//! In the manner of quinn-proto beside quinn: [`Engine::handle`] takes what happened and the time,
//! [`Engine::poll_output`] gives what is to be done, [`Engine::poll_timeout`] when to call
//! [`Engine::handle_timeout`]. Whatever drives it gets the same behaviour from the same inputs.
//!
//! What this crate may know: sessions, calls, nodes by id and address, the decision module's events and
//! actions. What it must not: sockets, HTTP, files, a clock. And it decides nothing that the module decides:
//! where a session goes, at which rung, whether again, whether refused. Its own matters are that each viewer
//! gets one answer, that what a node may still hold is ended there, and that an outcome is called by the name
//! that the rules need: never ran, or may have run.

mod attempts;
mod carried;
mod catalogue;
mod config;
mod engine;
mod input;
mod moves;
mod nodes;
mod output;
mod playing;
mod policy;
mod viewers;

pub use config::{Config, NamedClass, TitlePlacement};
pub use engine::Engine;
pub use input::{
    CallResult, ClassTerms, EndpointEntry, Input, NodeEvent, RequestId, SessionAttempt,
    SessionRequest, TenantTerms, TenantUpdate, TransferredSession,
};
pub use output::{Answer, CallId, CallKind, Output, SessionCounts, SessionSummary};
pub use policy::{Admission, AdmissionControl, DecisionPolicy};
