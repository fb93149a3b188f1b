//! The open database file, reopened after a failed write.
//!
//! After a failed write (a full disk, say) redb refuses every further write until the database has been opened
//! anew, which recovers the last committed state. Recovery itself needs room on the disk, so it is done on a copy,
//! which replaces the file once it is open. Until there is room, reads go on from the database that is open.

use crate::StoreError;
use crate::upgrade::upgrade;
use redb::{
    Database, ReadTransaction, ReadableDatabase, StorageError, TransactionError, WriteTransaction,
};
use std::ffi::OsString;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::sync::{PoisonError, RwLock, RwLockReadGuard};

/// Appended to the file's name for the copy that is recovered.
const COPY_SUFFIX: &str = ".again";

/// A database file that is opened again when an earlier write has failed.
pub(crate) struct ReopeningDatabase {
    path: PathBuf,
    database: RwLock<Database>,
}

impl ReopeningDatabase {
    /// Opens a file, or creates it, and upgrades its format.
    pub fn open(path: &Path) -> Result<ReopeningDatabase, StoreError> {
        Ok(ReopeningDatabase {
            path: path.to_path_buf(),
            database: RwLock::new(open_and_upgrade(path)?),
        })
    }

    /// A transaction that reads the last committed state.
    pub fn begin_read(&self) -> Result<ReadTransaction, StoreError> {
        Ok(self.current().begin_read()?)
    }

    /// A transaction that writes, on a database that is reopened first if it has to be.
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

    /// The database that is open. A poisoned lock does no harm: the value behind it is only ever replaced whole.
    fn current(&self) -> RwLockReadGuard<'_, Database> {
        self.database.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a copy and puts it in the file's place. The file itself is not written to.
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

/// Makes a renaming in the directory of a file durable.
fn sync_directory_of(file: &Path) -> Result<(), StoreError> {
    let parent = file.parent().filter(|path| !path.as_os_str().is_empty());
    let directory = parent.unwrap_or(Path::new("."));
    File::open(directory)?.sync_all()?;
    Ok(())
}

/// Whether an earlier write has failed and closed the database to writing.
fn needs_reopening<T>(attempt: &Result<T, TransactionError>) -> bool {
    matches!(
        attempt,
        Err(TransactionError::Storage(StorageError::PreviousIo))
    )
}
