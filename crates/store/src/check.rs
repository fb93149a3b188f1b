//! Verification of a complete store: every tenant must equal the replay of its history, and every change must be in the
//! tenant's history and in the order of all changes.

use crate::tables::{CHANGES, HISTORY, TENANTS, decode};
use crate::{Corruption, Store, StoreError};
use redb::{ReadTransaction, ReadableTable};
use shalewall_tenancy::history::{HistoryEntry, replay};
use shalewall_tenancy::tenant::Tenant;
use std::collections::BTreeMap;

/// Numbers of rows in a store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreSummary {
    /// Tenants, including deleted ones.
    pub tenants: usize,
    /// Changes of all tenants.
    pub changes: usize,
    /// Tokens, including revoked ones.
    pub tokens: usize,
}

impl Store {
    /// Reads everything. Returns an error for the first inconsistency.
    pub fn check(&self) -> Result<StoreSummary, StoreError> {
        let transaction = self.database.begin_read()?;
        let mut histories = read_histories(&transaction)?;
        let mut change_counts = count_changes(&transaction)?;
        let mut summary = StoreSummary {
            changes: histories.values().map(Vec::len).sum(),
            ..StoreSummary::default()
        };
        for row in transaction.open_table(TENANTS)?.iter()? {
            let (_, value) = row?;
            let tenant: Tenant = decode(value.value())?;
            let id = tenant.id.to_string();
            let history = histories.remove(&id).unwrap_or_default();
            check_tenant(&tenant, &history, change_counts.remove(&id))?;
            summary.tenants += 1;
        }
        if let Some(id) = histories.keys().chain(change_counts.keys()).next() {
            let tenant = id.clone();
            return Err(Corruption::HistoryWithoutTenant { tenant }.into());
        }
        summary.tokens = self.tokens()?.len();
        Ok(summary)
    }
}

/// All history entries by tenant, in the order of their revisions.
fn read_histories(
    transaction: &ReadTransaction,
) -> Result<BTreeMap<String, Vec<HistoryEntry>>, StoreError> {
    let mut histories: BTreeMap<String, Vec<HistoryEntry>> = BTreeMap::new();
    for row in transaction.open_table(HISTORY)?.iter()? {
        let (key, value) = row?;
        let (tenant, revision) = key.value();
        let entry: HistoryEntry = decode(value.value())?;
        if entry.tenant.as_str() != tenant || entry.revision != revision {
            let tenant = tenant.to_string();
            return Err(Corruption::MisplacedEntry { tenant, revision }.into());
        }
        histories.entry(tenant.to_string()).or_default().push(entry);
    }
    Ok(histories)
}

/// Number of changes by tenant.
fn count_changes(transaction: &ReadTransaction) -> Result<BTreeMap<String, usize>, StoreError> {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for row in transaction.open_table(CHANGES)?.iter()? {
        let (_, tenant) = row?;
        *counts.entry(tenant.value().to_string()).or_default() += 1;
    }
    Ok(counts)
}

/// Compares a tenant with its history and its number of changes.
fn check_tenant(
    tenant: &Tenant,
    history: &[HistoryEntry],
    change_count: Option<usize>,
) -> Result<(), Corruption> {
    let id = tenant.id.to_string();
    if change_count != Some(history.len()) {
        return Err(Corruption::ChangeCountMismatch { tenant: id });
    }
    if replay(history).as_ref() != Some(tenant) {
        return Err(Corruption::ReplayMismatch { tenant: id });
    }
    Ok(())
}
