//! The database's tables, and the encoding of their rows.

use crate::{Corruption, StoreError, StoreUnavailable};
use redb::{ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use shalewall_tenancy::tenant::TenantId;

/// Metadata of the file, by name.
pub(crate) const META: TableDefinition<'_, &str, u64> = TableDefinition::new("meta");
/// The row of [`META`] that holds the file's format.
pub(crate) const META_VERSION: &str = "version";
/// Tenants by id, as JSON.
pub(crate) const TENANTS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("tenants");
/// History entries by tenant and revision, as JSON.
pub(crate) const HISTORY: TableDefinition<'_, (&str, u64), &[u8]> = TableDefinition::new("history");
/// All changes in order, by change number, each with its tenant's id. Exists since format 2.
pub(crate) const CHANGES: TableDefinition<'_, u64, &str> = TableDefinition::new("changes");
/// Idempotency keys, each with its [`KeyRecord`] as JSON.
pub(crate) const KEYS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("keys");
/// Tokens by id, as JSON.
pub(crate) const TOKENS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("tokens");

/// The change that an idempotency key was used for.
#[derive(Serialize, Deserialize)]
pub(crate) struct KeyRecord {
    /// The change's number.
    #[serde(rename = "at")]
    pub change_number: u64,
    /// The tenant that was changed.
    pub tenant: TenantId,
    /// The revision that the change made.
    pub revision: u64,
    /// The content of the caller's request.
    pub request: String,
}

/// Decodes a row from JSON.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(bytes).map_err(|error| Corruption::Row(error).into())
}

/// Encodes a row as JSON.
pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, StoreError> {
    serde_json::to_vec(value)
        .map_err(|error| StoreError::Unavailable(StoreUnavailable::Encode(error)))
}

/// Reads and decodes the row of a key, if there is one.
pub(crate) fn get<T: DeserializeOwned>(
    table: &impl ReadableTable<&'static str, &'static [u8]>,
    key: &str,
) -> Result<Option<T>, StoreError> {
    match table.get(key)? {
        Some(bytes) => decode(bytes.value()).map(Some),
        None => Ok(None),
    }
}

/// The number of the last change, or 0 if there was none.
pub(crate) fn last_change_number(
    changes: &impl ReadableTable<u64, &'static str>,
) -> Result<u64, StoreError> {
    let last = changes.last()?;
    Ok(last.map_or(0, |(number, _)| number.value()))
}
