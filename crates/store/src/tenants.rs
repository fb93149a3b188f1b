//! Reads of tenants, their histories and the order of changes.

use crate::tables::{CHANGES, HISTORY, META, META_VERSION, TENANTS, decode, get};
use crate::{Corruption, Store, StoreError, tables};
use shalewall_tenancy::history::HistoryEntry;
use shalewall_tenancy::tenant::{Tenant, TenantId};
use std::collections::BTreeSet;
use std::ops::Bound;

/// The current state of tenants that have changed.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangedTenants {
    /// The number of the last change that the tenants include.
    pub last_change_number: u64,
    /// The tenants in the order of their ids.
    pub tenants: Vec<Tenant>,
}

impl Store {
    /// A tenant by its id, including deleted ones.
    pub fn tenant(&self, id: &TenantId) -> Result<Option<Tenant>, StoreError> {
        let transaction = self.database.begin_read()?;
        get(&transaction.open_table(TENANTS)?, id.as_str())
    }

    /// Up to `limit` tenants in the order of their ids, starting after `after`.
    pub fn list_tenants(
        &self,
        after: Option<&TenantId>,
        limit: usize,
    ) -> Result<Vec<Tenant>, StoreError> {
        let transaction = self.database.begin_read()?;
        let tenants = transaction.open_table(TENANTS)?;
        let start = after.map_or(Bound::Unbounded, |id| Bound::Excluded(id.as_str()));
        let rows = tenants.range::<&str>((start, Bound::Unbounded))?;
        rows.take(limit).map(|row| decode(row?.1.value())).collect()
    }

    /// Up to `limit` entries of a tenant's history, starting at `from_revision`.
    pub fn history(
        &self,
        id: &TenantId,
        from_revision: u64,
        limit: usize,
    ) -> Result<Vec<HistoryEntry>, StoreError> {
        let transaction = self.database.begin_read()?;
        let history = transaction.open_table(HISTORY)?;
        let rows = history.range((id.as_str(), from_revision)..=(id.as_str(), u64::MAX))?;
        rows.take(limit).map(|row| decode(row?.1.value())).collect()
    }

    /// Tenants that have changed after the change with the given number.
    pub fn changed_since(&self, change_number: u64) -> Result<ChangedTenants, StoreError> {
        let transaction = self.database.begin_read()?;
        let changes = transaction.open_table(CHANGES)?;
        let mut ids = BTreeSet::new();
        let mut last_change_number = change_number;
        for row in changes.range(change_number.saturating_add(1)..)? {
            let (number, id) = row?;
            ids.insert(id.value().to_string());
            last_change_number = number.value();
        }
        let table = transaction.open_table(TENANTS)?;
        let mut tenants = Vec::new();
        for tenant in ids {
            let found = get(&table, &tenant)?;
            tenants.push(found.ok_or(Corruption::MissingTenant { tenant })?);
        }
        Ok(ChangedTenants {
            last_change_number,
            tenants,
        })
    }

    /// The number of the last change, or 0 in an empty store.
    pub fn last_change_number(&self) -> Result<u64, StoreError> {
        let transaction = self.database.begin_read()?;
        tables::last_change_number(&transaction.open_table(CHANGES)?)
    }

    /// The format version recorded in the file.
    pub fn format_version(&self) -> Result<u64, StoreError> {
        let transaction = self.database.begin_read()?;
        let meta = transaction.open_table(META)?;
        let version = meta.get(META_VERSION)?;
        Ok(version.map_or(0, |version| version.value()))
    }
}
