//! Tenants of a hosted service.
//!
//! - [`tenant`]: what a tenant is, and [`terms`]: what is agreed with it; [`schema`] publishes the JSON Schema of
//!   terms and validates documents by it.
//! - [`change`]: what becomes of a tenant when someone changes it, as a state machine, and [`history`]: the record of
//!   all changes, from which a tenant can be replayed.
//! - [`access`]: roles and what each may do; [`token`]: how a caller proves its role.
//! - [`admission`]: which tenant's sessions are admitted when a director is short of capacity.
//! - [`connections`]: which tenant's connections stay open when a director is short of them.
//! - [`usage`]: what directors hold of each tenant, and when a deleted tenant's last session is over.
//!
//! Nothing here knows sockets, files, a clock, sessions beyond their number, or how requests are placed. Time is an
//! argument: the same inputs give the same behavior, whatever drives them.

#![deny(missing_docs)]

pub mod access;
pub mod admission;
pub mod change;
pub mod connections;
pub mod history;
pub mod schema;
pub mod tenant;
pub mod terms;
pub mod token;
pub mod usage;

/// Wall-clock time, milliseconds since 1970.
pub type UnixMillis = u64;
