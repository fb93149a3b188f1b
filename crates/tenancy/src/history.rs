//! The history of a tenant: one entry for each change, from which the tenant can be replayed.

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
    /// The revision that resulted from the change.
    pub revision: u64,
    /// The time of the change.
    #[serde(rename = "when")]
    pub changed_at: UnixMillis,
    /// Who made the change.
    #[serde(rename = "who")]
    pub actor: String,
    /// The kind of change, by [`Change::name`](crate::change::Change::name).
    #[serde(rename = "what")]
    pub change: String,
    /// The tenant's state after the change.
    pub state: TenantState,
    /// The terms before the change, if they changed.
    #[serde(rename = "from")]
    pub terms_before: Option<Terms>,
    /// The terms after the change, if they changed.
    #[serde(rename = "to")]
    pub terms_after: Option<Terms>,
}

/// Replays a history. Returns `None` if the entries are not the complete history of one tenant in order.
pub fn replay(history: &[HistoryEntry]) -> Option<Tenant> {
    let mut tenant = None;
    for entry in history {
        tenant = Some(replay_entry(tenant, entry)?);
    }
    tenant
}

fn replay_entry(before: Option<Tenant>, entry: &HistoryEntry) -> Option<Tenant> {
    let is_create = entry.change == CREATE;
    // The id of a deleted tenant may be reused.
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
