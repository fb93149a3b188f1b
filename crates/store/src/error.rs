//! Errors of the store. An operation that returns an error has changed nothing.

use crate::FORMAT_VERSION;
use shalewall_tenancy::change::ChangeError;

/// Why an operation of the store failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The tenant's state, or the change itself, does not allow it.
    #[error("change rejected: {0}")]
    Rejected(#[source] ChangeError),
    /// The idempotency key was used for another request.
    #[error("the idempotency key was used for another request")]
    IdempotencyKeyReused,
    /// The file was written by a later version of the program. It is unchanged.
    #[error("the store is of version {found}, this program knows {FORMAT_VERSION} at most")]
    NewerFormat {
        /// The file's format.
        found: u64,
    },
    /// The file is not a store, is truncated, or is inconsistent. It has to be restored from an export.
    #[error("the store is damaged: {0}")]
    Corrupt(#[source] Corruption),
    /// The file can't be used at present; reads may still work.
    #[error("the store can't be used: {0}")]
    Unavailable(#[source] StoreUnavailable),
}

/// What is damaged in a store, or in an export.
#[derive(Debug, thiserror::Error)]
pub enum Corruption {
    /// The database found an invalid page, table or file header.
    #[error("{0}")]
    Database(String),
    /// A row can't be decoded as its table's type.
    #[error("{0}")]
    Row(#[source] serde_json::Error),
    /// A line of an export can't be decoded.
    #[error("line {line}: {error}")]
    ExportLine {
        /// The line's number, from 1.
        line: usize,
        /// What the parser says.
        #[source]
        error: serde_json::Error,
    },
    /// A change or an idempotency key names a tenant that does not exist.
    #[error("tenant {tenant} is missing")]
    MissingTenant {
        /// The tenant's id.
        tenant: String,
    },
    /// A history entry is stored under a tenant or revision other than its own.
    #[error("history entry {revision} of tenant {tenant} names another tenant or revision")]
    MisplacedEntry {
        /// The id that it is stored under.
        tenant: String,
        /// The revision that it is stored under.
        revision: u64,
    },
    /// A change has no entry in its tenant's history.
    #[error("the history of tenant {tenant} has no revision {revision}")]
    MissingEntry {
        /// The tenant's id.
        tenant: String,
        /// The revision that the change made.
        revision: u64,
    },
    /// The number of a tenant's history entries differs from the number of its changes.
    #[error("tenant {tenant} has different numbers of changes and history entries")]
    ChangeCountMismatch {
        /// The tenant's id.
        tenant: String,
    },
    /// A tenant differs from the replay of its history.
    #[error("tenant {tenant} differs from the replay of its history")]
    ReplayMismatch {
        /// The tenant's id.
        tenant: String,
    },
    /// There are history entries or changes of a tenant that does not exist.
    #[error("there are history entries or changes of tenant {tenant}, which does not exist")]
    HistoryWithoutTenant {
        /// The id that they name.
        tenant: String,
    },
    /// An export does not contain a tenant's complete history in order.
    #[error("the history of tenant {tenant} is incomplete")]
    IncompleteHistory {
        /// The id that they name.
        tenant: String,
    },
}

/// Why a store can't be used at present.
#[derive(Debug, thiserror::Error)]
pub enum StoreUnavailable {
    /// The database can't read, write or lock its file, for example because the disk is full or the file is in use.
    #[error("{0}")]
    Database(#[source] redb::Error),
    /// An operation on a file outside the database failed.
    #[error("{0}")]
    Io(#[source] std::io::Error),
    /// A value can't be encoded.
    #[error("{0}")]
    Encode(#[source] serde_json::Error),
    /// The store to import into is not empty.
    #[error("only an empty store can be imported into")]
    NotEmpty,
}

impl From<Corruption> for StoreError {
    fn from(corruption: Corruption) -> StoreError {
        StoreError::Corrupt(corruption)
    }
}

impl From<std::io::Error> for StoreError {
    fn from(error: std::io::Error) -> StoreError {
        StoreError::Unavailable(StoreUnavailable::Io(error))
    }
}

/// Separates corruption of the file from temporary failures.
impl From<redb::Error> for StoreError {
    fn from(error: redb::Error) -> StoreError {
        match error {
            redb::Error::Corrupted(detail) => Corruption::Database(detail).into(),
            redb::Error::TableTypeMismatch { .. } | redb::Error::UpgradeRequired(_) => {
                Corruption::Database(error.to_string()).into()
            }
            _ => StoreError::Unavailable(StoreUnavailable::Database(error)),
        }
    }
}

/// Each redb operation has its own error type; all of them convert to `redb::Error`.
macro_rules! from_redb {
    ($($error:ident),*) => {
        $(impl From<redb::$error> for StoreError {
            fn from(error: redb::$error) -> StoreError {
                redb::Error::from(error).into()
            }
        })*
    };
}

from_redb!(
    CommitError,
    DatabaseError,
    StorageError,
    TableError,
    TransactionError
);
