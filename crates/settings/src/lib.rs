//! Reads and validates settings files in HCL, and converts them to the settings of the decision module and the engine.
//!
//! [`read`] reads a file with the file that it includes, [`parse`] a text. There are three kinds of files:
//! [`server::ServerConfig`] for `shalewall serve`, [`admin::AdminConfig`] for `shalewall admin` and [`day::DayPlan`]
//! for `shalewall day run`; [`site`] is the part that directors share. The range of each value is checked first, then
//! the consistency of fields by the rules in [`rule`]. An [`Error`] contains the file, the line, the path within it and
//! the allowed values.
//!
//! This crate is independent of sockets, sessions and nodes.

#![deny(missing_docs)]

pub mod admin;
pub mod day;
pub mod error;
mod field_names;
mod load;
mod locate;
pub mod migration;
pub mod rule;
pub mod server;
pub mod site;
mod source;
pub mod units;

pub use admin::{Admin, AdminConfig};
pub use day::{Day, DayPlan, Fault, FaultKind, Fleet, HostedDay, Load, Machine};
pub use error::{Error, Location, Problem};
pub use load::{SettingsFile, parse, read};
pub use migration::MigrationSettings;
pub use rule::{Rule, Violation};
pub use server::{DirectorSettings, Hosting, ServerConfig};
pub use site::Site;
pub use site::capacity::{Layout, Link, MachineKind, Notifications, Title};
pub use site::policy::{Costs, Limits, RetryBudget, Rules};
pub use site::traffic::{Class, LadderRung, Tenant};
pub use units::micros_from_millis;
