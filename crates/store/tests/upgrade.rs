//! Files of earlier and later formats, and files that are not a store.

mod support;

use redb::TableDefinition;
use shalewall_store::{FORMAT_VERSION, Store, StoreError};
use shalewall_tenancy::change::Change;
use std::path::Path;
use support::{change, create};

const META: TableDefinition<'_, &str, u64> = TableDefinition::new("meta");
const CHANGES: TableDefinition<'_, u64, &str> = TableDefinition::new("changes");

/// Sets the format version of a file, and removes the table of changes for format 1, which has none.
fn write_version(path: &Path, version: u64) {
    let database = redb::Database::open(path).unwrap();
    let transaction = database.begin_write().unwrap();
    transaction
        .open_table(META)
        .unwrap()
        .insert("version", version)
        .unwrap();
    if version == 1 {
        transaction.delete_table(CHANGES).unwrap();
    }
    transaction.commit().unwrap();
}

#[test]
fn earlier_format_is_upgraded_and_later_one_is_rejected_unchanged() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("t.redb");
    let store = Store::open(&path).unwrap();
    create(&store, "a");
    create(&store, "b");
    change(&store, "a", Change::Suspend);
    drop(store);
    write_version(&path, 1);
    let store = Store::open(&path).unwrap();
    assert_eq!(
        (
            store.format_version().unwrap(),
            store.last_change_number().unwrap()
        ),
        (FORMAT_VERSION, 3)
    );
    store.check().unwrap();
    drop(store);
    write_version(&path, FORMAT_VERSION + 1);
    assert!(
        matches!(Store::open(&path), Err(StoreError::NewerFormat { found }) if found == FORMAT_VERSION + 1)
    );
    // The rejected file is unchanged: it can be read with its original version.
    write_version(&path, FORMAT_VERSION);
    let store = Store::open(&path).unwrap();
    assert_eq!(
        (
            store.last_change_number().unwrap(),
            store.check().unwrap().tenants
        ),
        (3, 2)
    );
}

#[test]
fn file_that_is_not_a_store_is_rejected_unchanged() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("t.redb");
    std::fs::write(&path, vec![b'x'; 9000]).unwrap();
    assert!(Store::open(&path).is_err());
    assert_eq!(
        std::fs::read(&path).unwrap(),
        vec![b'x'; 9000],
        "the file is unchanged"
    );
}
