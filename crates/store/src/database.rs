//! The open database file, reopened after a failed write.
//!
//! After a failed write, such as on a full disk, redb rejects all further writes until the database is reopened, which
//! recovers the last committed state. Recovery needs disk space itself, so it runs on a copy, which replaces the file
//! once it is open. Until there is enough space, reads use the database that is still open.

use crate::StoreError;
use crate::upgrade::upgrade;
use redb::{
    Database, ReadTransaction, ReadableDatabase, StorageError, TransactionError, WriteTransaction,
};
use std::ffi::OsString;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::sync::{PoisonError, RwLock, RwLockReadGuard};

/// Suffix of the file name of the copy on which recovery runs.
const COPY_SUFFIX: &str = ".again";

/// A database file that is reopened after a failed write.
pub(crate) struct ReopeningDatabase {
    path: PathBuf,
    database: RwLock<Database>,
}

impl ReopeningDatabase {
    /// Opens or creates a file and upgrades its format.
    pub fn open(path: &Path) -> Result<ReopeningDatabase, StoreError> {
        Ok(ReopeningDatabase {
            path: path.to_path_buf(),
            database: RwLock::new(open_and_upgrade(path)?),
        })
    }

    /// Begins a transaction that reads the last committed state.
    pub fn begin_read(&self) -> Result<ReadTransaction, StoreError> {
        Ok(self.current().begin_read()?)
    }

    /// Begins a write transaction. Reopens the database first if an earlier write has failed.
    pub fn begin_write(&self) -> Result<WriteTransaction, StoreError> {
        let attempt = self.current().begin_write();
        if !needs_reopening(&attempt) {
            return Ok(attempt?);
        }
        let mut database = self
            .database
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        // Another thread may have reopened it while this one waited for the lock.
        let attempt = database.begin_write();
        if !needs_reopening(&attempt) {
            return Ok(attempt?);
        }
        *database = self.reopen_from_copy()?;
        Ok(database.begin_write()?)
    }

    /// The open database. A poisoned lock is harmless, because the value is only replaced as a whole.
    fn current(&self) -> RwLockReadGuard<'_, Database> {
        self.database.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a copy of the file and replaces the file with it. The file itself is not modified.
    fn reopen_from_copy(&self) -> Result<Database, StoreError> {
        let mut copy_name = OsString::from(&self.path);
        copy_name.push(COPY_SUFFIX);
        let copy = PathBuf::from(copy_name);
        let opened = copy_and_open(&self.path, &copy);
        if opened.is_err() {
            let _ = std::fs::remove_file(&copy);
        }
        let database = opened?;
        std::fs::rename(&copy, &self.path)?;
        sync_directory_of(&self.path)?;
        Ok(database)
    }
}

fn open_and_upgrade(path: &Path) -> Result<Database, StoreError> {
    let database = Database::create(path)?;
    upgrade(&database)?;
    Ok(database)
}

fn copy_and_open(from: &Path, to: &Path) -> Result<Database, StoreError> {
    std::fs::copy(from, to)?;
    File::open(to)?.sync_all()?;
    open_and_upgrade(to)
}

/// Syncs the directory of a file, which makes a rename durable.
fn sync_directory_of(file: &Path) -> Result<(), StoreError> {
    let parent = file.parent().filter(|path| !path.as_os_str().is_empty());
    let directory = parent.unwrap_or(Path::new("."));
    File::open(directory)?.sync_all()?;
    Ok(())
}

/// Whether the database rejects writes because an earlier write has failed.
fn needs_reopening<T>(attempt: &Result<T, TransactionError>) -> bool {
    matches!(
        attempt,
        Err(TransactionError::Storage(StorageError::PreviousIo))
    )
}
