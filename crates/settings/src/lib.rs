//! Settings files in HCL: read, checked, and turned into what the decision module is told.
//!
//! [`read`] takes a file with what it includes, [`parse`] a text. There are three files: [`server::ServerConfig`] of
//! `shalewall serve`, [`admin::AdminConfig`] of `shalewall admin` and [`day::DayPlan`] of `shalewall day run`; [`site`]
//! is the part that directors share. Each value is checked by its range, then the fields against each other by the
//! rules of [`rule`]. An [`Error`] names the file, the line, the path within it and what would be right.
//!
//! This crate knows files, their form, and what module and engine are told at their start. It knows nothing of
//! sockets, sessions and nodes.

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
