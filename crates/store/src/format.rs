//! The form of the file, and the way forward from earlier ones.

use crate::{Error, VERSION, fault, read};
use redb::{
    Database, ReadableDatabase, ReadableTable, ReadableTableMetadata, TableDefinition,
    WriteTransaction,
};
use shalewall_tenancy::change::Entry;

/// What the file says of itself: `version`.
pub(crate) const META: TableDefinition<'_, &str, u64> = TableDefinition::new("meta");
/// Tenants by id, as JSON.
pub(crate) const TENANTS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("tenants");
/// Entries by tenant and revision, as JSON.
pub(crate) const HISTORY: TableDefinition<'_, (&str, u64), &[u8]> = TableDefinition::new("history");
/// Since version 2: changes in the order in which they were made, and whose each was.
pub(crate) const CHANGES: TableDefinition<'_, u64, &str> = TableDefinition::new("changes");
/// Idempotency keys, and what each was used for.
pub(crate) const KEYS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("keys");
/// Tokens by id, as JSON.
pub(crate) const TOKENS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("tokens");

/// Brings a file to this program's version, or says that it is of a later one, and changes nothing then.
pub(crate) fn forward(db: &Database) -> Result<(), Error> {
    let version = {
        let txn = db.begin_read().map_err(fault)?;
        match txn.open_table(META) {
            Ok(meta) => meta.get("version").map_err(fault)?.map(|v| v.value()),
            Err(redb::TableError::TableDoesNotExist(_)) => None,
            Err(e) => return Err(fault(e)),
        }
    };
    if version == Some(VERSION) {
        return Ok(());
    }
    if let Some(newer) = version.filter(|v| *v > VERSION) {
        return Err(Error::Newer(newer));
    }
    let txn = db.begin_write().map_err(fault)?;
    for table in [TENANTS, KEYS, TOKENS] {
        txn.open_table(table).map_err(fault)?;
    }
    if version == Some(1) {
        number_changes(&txn)?;
    }
    txn.open_table(HISTORY).map_err(fault)?;
    txn.open_table(CHANGES).map_err(fault)?;
    txn.open_table(META)
        .map_err(fault)?
        .insert("version", VERSION)
        .map_err(fault)?;
    txn.commit().map_err(fault)
}

/// From version 1, which kept no order among tenants: changes are numbered by their times, then by tenant.
fn number_changes(txn: &WriteTransaction) -> Result<(), Error> {
    let history = txn.open_table(HISTORY).map_err(fault)?;
    let mut changes = txn.open_table(CHANGES).map_err(fault)?;
    let mut order = Vec::new();
    for row in history.iter().map_err(fault)? {
        let entry: Entry = read(row.map_err(fault)?.1.value())?;
        order.push((entry.when, entry.revision, entry.tenant));
    }
    order.sort();
    debug_assert_eq!(changes.len().unwrap_or(0), 0, "version 1 has no such table");
    for (number, (_, _, tenant)) in (1u64..).zip(order) {
        changes.insert(number, tenant.as_str()).map_err(fault)?;
    }
    Ok(())
}
