//! Changes of tenants. Each is one transaction with its history entry, change number and idempotency key.

use crate::tables::{
    CHANGES, HISTORY, KEYS, KeyRecord, TENANTS, decode, encode, get, last_change_number,
};
use crate::{Corruption, Store, StoreError};
use redb::{ReadableTableMetadata, Table, WriteTransaction};
use shalewall_tenancy::change::{AppliedChange, Change, ChangeContext, apply_change};
use shalewall_tenancy::history::HistoryEntry;
use shalewall_tenancy::tenant::{Tenant, TenantId};

/// Minimum number of later changes for which an idempotency key is retained.
const KEY_RETENTION_CHANGES: u64 = 10_000;

/// A caller's idempotency key, under which it may repeat a request.
#[derive(Clone, Copy, Debug)]
pub struct IdempotencyKey<'a> {
    /// The key, prefixed with the caller's identity so that keys of different callers are distinct.
    pub key: &'a str,
    /// The request's content. A repetition under the same key must be equal.
    pub request: &'a str,
}

/// The result of a change, or of a repetition under the same idempotency key.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeOutcome {
    /// The tenant's current state.
    pub tenant: Tenant,
    /// The change's number in the store, or `None` if the request repeated an earlier change.
    pub change_number: Option<u64>,
}

impl Store {
    /// Changes a tenant, or creates it. A repeated request with the same idempotency key is not executed a second
    /// time.
    pub fn change_tenant(
        &self,
        id: &TenantId,
        change: &Change,
        context: &ChangeContext<'_>,
        key: Option<IdempotencyKey<'_>>,
    ) -> Result<ChangeOutcome, StoreError> {
        let transaction = self.database.begin_write()?;
        let before: Option<Tenant> = get(&transaction.open_table(TENANTS)?, id.as_str())?;
        if let Some(key) = key
            && is_repeated(&transaction, id, key)?
        {
            let tenant = before.ok_or_else(|| Corruption::MissingTenant {
                tenant: id.to_string(),
            })?;
            return Ok(ChangeOutcome {
                tenant,
                change_number: None,
            });
        }
        let applied =
            apply_change(id, before.as_ref(), change, context).map_err(StoreError::Rejected)?;
        let AppliedChange { tenant, entry } = applied;
        let number = write_change(&transaction, &tenant, &entry)?;
        if let Some(key) = key {
            store_key(&transaction, key, &tenant, number)?;
        }
        transaction.commit()?;
        Ok(ChangeOutcome {
            tenant,
            change_number: Some(number),
        })
    }
}

/// Whether the key was used for an equal request before. Returns an error if it was used for a different one.
fn is_repeated(
    transaction: &WriteTransaction,
    id: &TenantId,
    key: IdempotencyKey<'_>,
) -> Result<bool, StoreError> {
    let keys = transaction.open_table(KEYS)?;
    let Some(record) = get::<KeyRecord>(&keys, key.key)? else {
        return Ok(false);
    };
    if record.request != key.request || record.tenant != *id {
        return Err(StoreError::IdempotencyKeyReused);
    }
    Ok(true)
}

/// Writes a tenant and its new history entry under the next change number. Returns that number.
fn write_change(
    transaction: &WriteTransaction,
    tenant: &Tenant,
    entry: &HistoryEntry,
) -> Result<u64, StoreError> {
    let id = tenant.id.as_str();
    let mut changes = transaction.open_table(CHANGES)?;
    let number = last_change_number(&changes)? + 1;
    changes.insert(number, id)?;
    transaction
        .open_table(TENANTS)?
        .insert(id, encode(tenant)?.as_slice())?;
    transaction
        .open_table(HISTORY)?
        .insert((id, entry.revision), encode(entry)?.as_slice())?;
    Ok(number)
}

/// Stores the change that a key was used for.
fn store_key(
    transaction: &WriteTransaction,
    key: IdempotencyKey<'_>,
    tenant: &Tenant,
    change_number: u64,
) -> Result<(), StoreError> {
    let record = KeyRecord {
        change_number,
        tenant: tenant.id.clone(),
        revision: tenant.revision,
        request: key.request.to_string(),
    };
    let mut keys = transaction.open_table(KEYS)?;
    keys.insert(key.key, encode(&record)?.as_slice())?;
    remove_expired_keys(&mut keys, change_number)
}

/// Removes expired keys once the table has twice the retained number, so that the cost is amortized.
fn remove_expired_keys(
    keys: &mut Table<'_, &'static str, &'static [u8]>,
    change_number: u64,
) -> Result<(), StoreError> {
    if keys.len()? <= 2 * KEY_RETENTION_CHANGES {
        return Ok(());
    }
    let oldest = change_number.saturating_sub(KEY_RETENTION_CHANGES);
    keys.retain(|_, value| {
        decode::<KeyRecord>(value).is_ok_and(|record| record.change_number >= oldest)
    })?;
    Ok(())
}
