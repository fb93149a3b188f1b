//! A tenant: its id, state, terms and revision.

use crate::UnixMillis;
use crate::terms::Terms;
use serde::{Deserialize, Serialize};
use std::fmt;

const MAX_ID_BYTES: usize = 63;

/// A tenant's id: 1 to 63 of a-z, 0-9 and '-', a letter first. The characters are restricted because ids are used in
/// paths and logs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TenantId(String);

/// The text is not a tenant id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("has to be 1 to 63 of a-z, 0-9 and '-', a letter first")]
pub struct InvalidTenantId;

impl TenantId {
    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for TenantId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl TryFrom<String> for TenantId {
    type Error = InvalidTenantId;

    fn try_from(id: String) -> Result<TenantId, InvalidTenantId> {
        let is_allowed =
            |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
        let first = id.bytes().next();
        let starts_with_letter = first.is_some_and(|byte| byte.is_ascii_lowercase());
        if id.len() <= MAX_ID_BYTES && starts_with_letter && id.bytes().all(is_allowed) {
            Ok(TenantId(id))
        } else {
            Err(InvalidTenantId)
        }
    }
}

impl From<TenantId> for String {
    fn from(id: TenantId) -> String {
        id.0
    }
}

/// The state of a tenant, which determines whether new sessions are admitted. The record of a deleted tenant is kept,
/// so that its history is complete; its id is free for reuse.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "is")]
pub enum TenantState {
    /// New sessions are admitted.
    Active,
    /// No new sessions are admitted; existing ones continue.
    Suspended,
    /// No new sessions are admitted; existing ones end by themselves, or are ended at `until`.
    Deleting {
        /// When the deletion was requested.
        since: UnixMillis,
        /// When the remaining sessions are ended.
        until: UnixMillis,
    },
    /// No session is left, and the id is free.
    #[serde(rename = "gone")]
    Deleted {
        /// When the deletion was finished.
        since: UnixMillis,
    },
}

impl TenantState {
    /// Whether new sessions are admitted.
    pub fn accepts_sessions(self) -> bool {
        self == TenantState::Active
    }

    /// Whether the deletion is finished.
    pub fn is_deleted(self) -> bool {
        matches!(self, TenantState::Deleted { .. })
    }

    /// Whether the tenant is being deleted.
    pub fn is_deleting(self) -> bool {
        matches!(self, TenantState::Deleting { .. })
    }
}

/// The record of a tenant in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its id.
    pub id: TenantId,
    /// Number of changes under this id, including those of earlier tenants with the same id; never decreases.
    pub revision: u64,
    /// Its state.
    pub state: TenantState,
    /// Its terms.
    pub terms: Terms,
    /// When it was created.
    #[serde(rename = "created")]
    pub created_at: UnixMillis,
    /// When it was last changed.
    #[serde(rename = "changed")]
    pub changed_at: UnixMillis,
}
