//! The history of a tenant: one entry for each change, enough to replay it.

use crate::UnixMillis;
use crate::change::CREATE;
use crate::tenant::{Tenant, TenantId, TenantState};
use crate::terms::Terms;
use serde::{Deserialize, Serialize};

/// One change of a tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The tenant that was changed.
    pub tenant: TenantId,
    /// The revision that the change made.
    pub revision: u64,
    /// When it was made.
    #[serde(rename = "when")]
    pub changed_at: UnixMillis,
    /// Who made it.
    #[serde(rename = "who")]
    pub actor: String,
    /// Which change it was, by [`Change::name`](crate::change::Change::name).
    #[serde(rename = "what")]
    pub change: String,
    /// The tenant's state after it.
    pub state: TenantState,
    /// Terms before, where they changed.
    #[serde(rename = "from")]
    pub terms_before: Option<Terms>,
    /// Terms after, where they changed.
    #[serde(rename = "to")]
    pub terms_after: Option<Terms>,
}

/// The tenant that a history leads to. Nothing where the entries are not one tenant's complete history in order.
pub fn replay(history: &[HistoryEntry]) -> Option<Tenant> {
    let mut tenant = None;
    for entry in history {
        tenant = Some(replay_entry(tenant, entry)?);
    }
    tenant
}

fn replay_entry(before: Option<Tenant>, entry: &HistoryEntry) -> Option<Tenant> {
    let is_create = entry.change == CREATE;
    // A deleted tenant's id may be used again.
    let current = before.filter(|tenant| !(tenant.state.is_deleted() && is_create));
    let is_next = current
        .as_ref()
        .is_none_or(|tenant| entry.revision == tenant.revision + 1);
    if !is_next {
        return None;
    }
    let created_at = current
        .as_ref()
        .map_or(entry.changed_at, |tenant| tenant.created_at);
    let terms = match (current, &entry.terms_after) {
        (None, Some(terms)) if is_create => terms.clone(),
        (Some(tenant), Some(terms)) if Some(&tenant.terms) == entry.terms_before.as_ref() => {
            terms.clone()
        }
        (Some(tenant), None) => tenant.terms,
        _ => return None,
    };
    Some(Tenant {
        id: entry.tenant.clone(),
        revision: entry.revision,
        state: entry.state,
        terms,
        created_at,
        changed_at: entry.changed_at,
    })
}
