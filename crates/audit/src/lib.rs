//! Judges recordings of what passed on sockets: the six rules of the service ([`judge`]), and what migrations did to
//! viewers ([`review_migrations`]).
//!
//! The crate knows the form of recordings ([`Record`]), the figures of the rules ([`Rules`]) and the two types of
//! time. It uses nothing else of the software that it judges: no engine, no server, no decisions.

#![deny(missing_docs)]

mod judge;
mod micros;
mod migrations;
mod record;
mod recording;
mod rules;
mod verdict;

pub use judge::judge;
pub use migrations::{GapCause, MigrationReport, review_migrations};
pub use record::{Record, RungTime, SetUpOutcome};
pub use recording::{Writer, read, read_rules};
pub use rules::{ClassRule, Placement, RetryBudget, Rules};
pub use shalewall::{TimeDelta, Timestamp};
pub use verdict::{Coverage, Finding, Rule, Verdict};
