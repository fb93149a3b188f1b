//! Upgrades files of earlier formats to the current one.

use crate::tables::{CHANGES, HISTORY, KEYS, META, META_VERSION, TENANTS, TOKENS, decode};
use crate::{FORMAT_VERSION, StoreError};
use redb::{Database, ReadableDatabase, ReadableTable, ReadableTableMetadata, WriteTransaction};
use shalewall_tenancy::history::HistoryEntry;

/// The format without an order of changes across tenants.
const FORMAT_WITHOUT_CHANGE_NUMBERS: u64 = 1;

/// Upgrades a file to [`FORMAT_VERSION`] in one transaction, and creates the tables of a new file. Returns an error for
/// a file of a later format and leaves it unchanged.
pub(crate) fn upgrade(database: &Database) -> Result<(), StoreError> {
    let found = stored_version(database)?;
    if found == Some(FORMAT_VERSION) {
        return Ok(());
    }
    if let Some(found) = found.filter(|version| *version > FORMAT_VERSION) {
        return Err(StoreError::NewerFormat { found });
    }
    let transaction = database.begin_write()?;
    for table in [TENANTS, KEYS, TOKENS] {
        transaction.open_table(table)?;
    }
    if found == Some(FORMAT_WITHOUT_CHANGE_NUMBERS) {
        number_changes(&transaction)?;
    }
    transaction.open_table(HISTORY)?;
    transaction.open_table(CHANGES)?;
    transaction
        .open_table(META)?
        .insert(META_VERSION, FORMAT_VERSION)?;
    transaction.commit()?;
    Ok(())
}

/// The format version recorded in the file, or `None` for a new file.
fn stored_version(database: &Database) -> Result<Option<u64>, StoreError> {
    let transaction = database.begin_read()?;
    let meta = match transaction.open_table(META) {
        Ok(meta) => meta,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    let version = meta.get(META_VERSION)?;
    Ok(version.map(|version| version.value()))
}

/// Numbers the changes of format 1 in the order of their times, then of revision and tenant.
fn number_changes(transaction: &WriteTransaction) -> Result<(), StoreError> {
    let history = transaction.open_table(HISTORY)?;
    let mut changes = transaction.open_table(CHANGES)?;
    let mut order = Vec::new();
    for row in history.iter()? {
        let (_, value) = row?;
        let entry: HistoryEntry = decode(value.value())?;
        order.push((entry.changed_at, entry.revision, entry.tenant));
    }
    order.sort();
    debug_assert_eq!(
        changes.len().unwrap_or(0),
        0,
        "format 1 has no table of changes"
    );
    for (number, (_, _, tenant)) in (1u64..).zip(order) {
        changes.insert(number, tenant.as_str())?;
    }
    Ok(())
}
