//! What can go wrong with a store. Whatever the error, nothing was changed.

use crate::FORMAT_VERSION;
use shalewall_tenancy::change::ChangeError;

/// Why the store did not do what it was asked for.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The tenant's state, or the change itself, does not allow it.
    #[error("refused: {0}")]
    Rejected(#[source] ChangeError),
    /// The idempotency key was used for another request.
    #[error("the idempotency key was used for another request")]
    IdempotencyKeyReused,
    /// The file was written by a later version of the program; it was left as it is.
    #[error("the store is of version {found}, this program knows {FORMAT_VERSION} at most")]
    NewerFormat {
        /// The file's format.
        found: u64,
    },
    /// The file is no store, is torn, or its parts contradict each other: restore an export.
    #[error("the store is damaged: {0}")]
    Corrupt(#[source] Corruption),
    /// The file can't be used now; reads may still work.
    #[error("the store can't be used: {0}")]
    Unavailable(#[source] StoreUnavailable),
}

/// What is damaged in a store, or in an export.
#[derive(Debug, thiserror::Error)]
pub enum Corruption {
    /// The database found a page, a table or a file header that is not as it should be.
    #[error("{0}")]
    Database(String),
    /// A row is not the JSON that its table holds.
    #[error("{0}")]
    Row(#[source] serde_json::Error),
    /// A line of an export is not one.
    #[error("line {line}: {error}")]
    ExportLine {
        /// The line's number, from 1.
        line: usize,
        /// What the parser says.
        #[source]
        error: serde_json::Error,
    },
    /// A change or a key names a tenant that is not there.
    #[error("{tenant} is missing")]
    MissingTenant {
        /// The tenant's id.
        tenant: String,
    },
    /// An entry is stored under another tenant or revision than its own.
    #[error("entry {revision} of {tenant} says it is another's")]
    MisplacedEntry {
        /// The id that it is stored under.
        tenant: String,
        /// The revision that it is stored under.
        revision: u64,
    },
    /// A change has no entry in its tenant's history.
    #[error("{tenant} lacks {revision}")]
    MissingEntry {
        /// The tenant's id.
        tenant: String,
        /// The revision that the change made.
        revision: u64,
    },
    /// A tenant's history has more or fewer entries than the order of changes names.
    #[error("changes of {tenant} and its history differ in number")]
    ChangeCountMismatch {
        /// The tenant's id.
        tenant: String,
    },
    /// A tenant differs from what its history replays to.
    #[error("{tenant} is not what its history comes to")]
    ReplayMismatch {
        /// The tenant's id.
        tenant: String,
    },
    /// There are entries or changes of a tenant that is not there.
    #[error("there is a history of {tenant}, and no such tenant")]
    HistoryWithoutTenant {
        /// The id that they name.
        tenant: String,
    },
    /// The entries of an export are not one tenant's complete history in order.
    #[error("{tenant}: its entries are not whole")]
    IncompleteHistory {
        /// The id that they name.
        tenant: String,
    },
}

/// Why a store can't be used now.
#[derive(Debug, thiserror::Error)]
pub enum StoreUnavailable {
    /// The database can't read, write or lock its file: the disk is full, the file is in use, or the like.
    #[error("{0}")]
    Database(#[source] redb::Error),
    /// A file beside the database can't be read or written.
    #[error("{0}")]
    Io(#[source] std::io::Error),
    /// A value can't be encoded.
    #[error("{0}")]
    Encode(#[source] serde_json::Error),
    /// An import needs a store that nothing was ever changed in.
    #[error("only an empty store can be filled")]
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

/// Tells damage of the file from what merely can't be done now.
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

/// Each step of redb has an error type of its own; all convert by `redb::Error`.
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
