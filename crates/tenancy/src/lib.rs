//! Tenants of a hosted service.
//!
//! [`model`]: what a tenant is, and the JSON Schema of its terms. [`change`]: what becomes of a tenant when
//! someone changes it, as a state machine: the record before and the wish in, the record after and its entry
//! in the history out, or the reason why not. [`access`]: tokens, roles, and what each may see and do.
//! [`share`]: who is taken and who is turned away when a front is short. [`usage`]: what fronts hold, and when a
//! deleted tenant's last session is over.
//!
//! What this crate may know: tenants, their terms, time as an argument. What it must not: sockets, files, a
//! clock, sessions beyond their number, and how requests are placed. Whatever drives it (the store and the
//! administration API now, the lab later) gets the same behaviour from the same inputs.

pub mod access;
pub mod change;
pub mod connections;
pub mod model;
pub mod share;
pub mod usage;

/// Wall-clock time, milliseconds since 1970.
pub type Millis = u64;
