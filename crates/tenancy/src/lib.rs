//! Tenants of a hosted service.
//!
//! - [`tenant`]: ids, states and records of tenants, and [`terms`]: the agreed terms; [`schema`] publishes the JSON
//!   Schema of terms and validates documents against it.
//! - [`change`]: the state machine that applies changes to a tenant, and [`history`]: the record of all changes, from
//!   which a tenant can be replayed.
//! - [`access`]: roles and their permissions; [`token`]: the bearer tokens that authenticate a role.
//! - [`admission`]: admission of sessions by tenant when a director is short of capacity.
//! - [`connections`]: eviction of connections by tenant when a director is short of connections.
//! - [`usage`]: the sessions that directors hold of each tenant, and whether a deleted tenant is drained.
//!
//! The crate does not depend on sockets, files, a clock, the details of sessions or their placement. Time is an
//! argument: the same inputs always give the same results.

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
