//! Persistent storage of tenants, their histories and tokens: one file, changed by transactions.
//!
//! The file is a redb database (copy on write, checksummed pages, two roots): a process killed at any point
//! leaves the state before a change or after it. [`Store`] is the only entry point.
//!
//! - `tables`: the tables of the file and how their rows are encoded;
//! - `upgrade`: brings files of earlier formats forward;
//! - `database`: opens the file, and reopens it after a failed write;
//! - `change`: one change of a tenant, with its idempotency key, in one transaction;
//! - `tenants` and `tokens`: reads, and the tokens' writes;
//! - `check` and `export`: verification of a whole file, and its copy as JSON lines.
//!
//! This crate knows files, and calls [`shalewall_tenancy::change`] for what a change does to a tenant. It knows
//! nothing of HTTP, sessions or a clock: times are arguments.

#![deny(missing_docs)]

mod change;
mod check;
mod database;
mod error;
mod export;
mod tables;
mod tenants;
mod tokens;
mod upgrade;

pub use change::{ChangeOutcome, IdempotencyKey};
pub use check::StoreSummary;
pub use error::{Corruption, StoreError, StoreUnavailable};
pub use tenants::ChangedTenants;

use database::ReopeningDatabase;
use std::path::Path;

/// The format of the file that this program writes, and the latest that it reads.
pub const FORMAT_VERSION: u64 = 2;

/// The store of one service. Threads may share it: changes come one after the other, reads see whole states.
pub struct Store {
    database: ReopeningDatabase,
}

impl Store {
    /// Opens a store, or creates an empty one. A file of an earlier format is upgraded in one transaction.
    pub fn open(path: &Path) -> Result<Store, StoreError> {
        let database = ReopeningDatabase::open(path)?;
        Ok(Store { database })
    }
}
