//! The database file, opened, and opened again after a fault. A fault of writing (the disk was full) leaves the
//! database closed to writing until it has been opened anew, which brings back the last state that was whole. That
//! takes room by itself, so it is done on a copy, which takes the file's place once it is open: until there is room,
//! what was there can be read.

use crate::{Error, fault, format};
use redb::{
    Database, ReadTransaction, ReadableDatabase, StorageError, TransactionError, WriteTransaction,
};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::sync::{PoisonError, RwLock};

pub(crate) struct Kept {
    path: PathBuf,
    db: RwLock<Database>,
}

fn open(path: &Path) -> Result<Database, Error> {
    let db = Database::create(path).map_err(fault)?;
    format::forward(&db)?;
    Ok(db)
}

/// What an earlier fault leaves behind.
fn stale<T>(begun: &Result<T, TransactionError>) -> bool {
    matches!(
        begun,
        Err(TransactionError::Storage(StorageError::PreviousIo))
    )
}

impl Kept {
    pub fn open(path: &Path) -> Result<Kept, Error> {
        Ok(Kept {
            path: path.to_path_buf(),
            db: RwLock::new(open(path)?),
        })
    }

    pub fn read(&self) -> Result<ReadTransaction, Error> {
        // Nothing can be half changed in there: a panic elsewhere does no harm to it.
        self.db
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .begin_read()
            .map_err(fault)
    }

    pub fn write(&self) -> Result<WriteTransaction, Error> {
        let begun = self
            .db
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .begin_write();
        if !stale(&begun) {
            return begun.map_err(fault);
        }
        let mut db = self.db.write().unwrap_or_else(PoisonError::into_inner);
        // Another may have done it meanwhile.
        let begun = db.begin_write();
        if !stale(&begun) {
            return begun.map_err(fault);
        }
        *db = self.again()?;
        db.begin_write().map_err(fault)
    }

    /// Opens a copy and puts it in the file's place. The file itself is not written to: its database is closed to that.
    fn again(&self) -> Result<Database, Error> {
        let unable = |e: std::io::Error| Error::Unable(e.to_string());
        let mut name = self.path.clone().into_os_string();
        name.push(".again");
        let copy = PathBuf::from(name);
        let opened = std::fs::copy(&self.path, &copy)
            .and_then(|_| File::open(&copy)?.sync_all())
            .map_err(unable)
            .and_then(|()| open(&copy));
        if opened.is_err() {
            let _ = std::fs::remove_file(&copy);
        }
        let db = opened?;
        std::fs::rename(&copy, &self.path).map_err(unable)?;
        let folder = self
            .path
            .parent()
            .filter(|p| !p.as_os_str().is_empty())
            .unwrap_or(Path::new("."));
        File::open(folder)
            .and_then(|f| f.sync_all())
            .map_err(unable)?;
        Ok(db)
    }
}
