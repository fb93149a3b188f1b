//! The platform's door on sockets: one director, as the platform starts it.
//!
//! Everything that is said and heard is `shalewall-platform-proto`'s; here are its connections ([`hub`]), the journal
//! service's ([`journal`]) and the signals ([`run`]); what panics ends alone ([`guard`]).
//!
//! What this crate may know: sockets, files, signals, the clock. What it must not: messages, sessions, nodes; and it
//! decides nothing.

mod guard;
mod hub;
mod journal;
mod run;

pub use run::run;
