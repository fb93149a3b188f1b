//! Audits recordings of socket events: checks the six rules of the service ([`judge`]), and reviews the effect of
//! migrations on viewers ([`review_migrations`]).
//!
//! The crate contains the format of recordings ([`Record`]) and the parameters of the rules ([`Rules`]). Apart from the
//! two time types it uses nothing of the software that it audits: no engine, no server, no decisions.

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
