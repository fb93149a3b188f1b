//! Persistent storage of tenants, their histories and tokens in one file, with transactions.
//!
//! The file is a redb database (copy on write, checksummed pages, two roots): a process killed at any point leaves
//! the state either before or after a change. [`Store`] is the only entry point.
//!
//! - `tables`: the tables of the file and how their rows are encoded;
//! - `upgrade`: upgrades files of earlier formats;
//! - `database`: opens the file, and reopens it after a failed write;
//! - `change`: one change of a tenant, with its idempotency key, in one transaction;
//! - `tenants` and `tokens`: reads of tenants, and reads and writes of tokens;
//! - `check` and `export`: verification of a complete file, and its export and import as JSON lines.
//!
//! This crate handles the file, and calls [`shalewall_tenancy::change`] for the effect of a change on a tenant. It
//! knows nothing of HTTP or sessions and reads no clock: times are arguments.

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

/// The file format that this program writes, and the latest one that it reads.
pub const FORMAT_VERSION: u64 = 2;

/// The store of one service. Threads may share it: changes are serialized, and a read sees a consistent state.
pub struct Store {
    database: ReopeningDatabase,
}

impl Store {
    /// Opens a store, or creates an empty one. Upgrades a file of an earlier format in one transaction.
    pub fn open(path: &Path) -> Result<Store, StoreError> {
        let database = ReopeningDatabase::open(path)?;
        Ok(Store { database })
    }
}
