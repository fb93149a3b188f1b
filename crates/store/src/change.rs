//! One change of a tenant, in one transaction with its history entry, its number and its idempotency key.

use crate::tables::{
    CHANGES, HISTORY, KEYS, KeyRecord, TENANTS, decode, encode, get, last_change_number,
};
use crate::{Corruption, Store, StoreError};
use redb::{ReadableTableMetadata, Table, WriteTransaction};
use shalewall_tenancy::change::{AppliedChange, Change, ChangeContext, apply_change};
use shalewall_tenancy::history::HistoryEntry;
use shalewall_tenancy::tenant::{Tenant, TenantId};

/// An idempotency key is remembered for at least so many later changes.
const KEYS_REMEMBERED: u64 = 10_000;

/// A caller's key for a request that it may send more than once.
#[derive(Clone, Copy, Debug)]
pub struct IdempotencyKey<'a> {
    /// The key, with what tells one caller's keys from another's.
    pub key: &'a str,
    /// The request under the key: a second one under the same key has to be equal.
    pub request: &'a str,
}

/// A change that was made, or had been made under the same idempotency key.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeOutcome {
    /// The tenant as it is now.
    pub tenant: Tenant,
    /// The change's number in the store; absent where the change had been made before.
    pub change_number: Option<u64>,
}

impl Store {
    /// Changes a tenant, or creates it. A request that comes again under its idempotency key is not carried out a
    /// second time.
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
            remember_key(&transaction, key, &tenant, number)?;
        }
        transaction.commit()?;
        Ok(ChangeOutcome {
            tenant,
            change_number: Some(number),
        })
    }
}

/// Whether a key was used for this very request before. For another request it is an error.
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

/// Writes a tenant and its new entry under the next change number, which is returned.
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

/// Remembers what a key was used for.
fn remember_key(
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
    forget_old_keys(&mut keys, change_number)
}

/// Drops old keys once there are twice as many as are remembered, so that few changes pay for it.
fn forget_old_keys(
    keys: &mut Table<'_, &'static str, &'static [u8]>,
    change_number: u64,
) -> Result<(), StoreError> {
    if keys.len()? <= 2 * KEYS_REMEMBERED {
        return Ok(());
    }
    let oldest = change_number.saturating_sub(KEYS_REMEMBERED);
    keys.retain(|_, value| {
        decode::<KeyRecord>(value).is_ok_and(|record| record.change_number >= oldest)
    })?;
    Ok(())
}
