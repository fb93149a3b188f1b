//! Where tenants are kept: one file, changed by transactions (redb: copy on write, checksummed pages, two roots).
//! Killed at any point it opens at the state before a change or after it.
//!
//! What this crate may know: files, and what a change decides. What it must not: HTTP, sessions, a clock, and
//! how to decide; [`shalewall_tenancy::change`] does.

mod dump;
mod format;
mod kept;

pub use dump::Found;

use format::{CHANGES, HISTORY, KEYS, META, TENANTS, TOKENS};
use kept::Kept;
use redb::{ReadableTable, ReadableTableMetadata};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use shalewall_tenancy::Millis;
use shalewall_tenancy::access::Token;
use shalewall_tenancy::change::{By, Entry, Refusal, Wish, decide};
use shalewall_tenancy::model::{Tenant, TenantId};
use std::fmt;
use std::path::Path;

/// The form of the file that this program writes.
pub const VERSION: u64 = 2;
/// An idempotency key is remembered for so many later changes.
const KEYS_KEPT: u64 = 10_000;

/// Why the store did not do it. Whatever it is, nothing has changed.
#[derive(Debug)]
pub enum Error {
    /// By the tenant's state or the wish itself.
    Refused(Refusal),
    /// The idempotency key was used for another request.
    KeyReused,
    /// The file is of a later version of the program.
    Newer(u64),
    /// Not a store, torn, or its parts contradict each other.
    Corrupt(String),
    /// The disk is full, the file can't be written, or the like: reading may still go on.
    Unable(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Refused(why) => write!(f, "refused: {why:?}"),
            Error::KeyReused => write!(f, "the idempotency key was used for another request"),
            Error::Newer(v) => write!(
                f,
                "the store is of version {v}, this program knows {VERSION} at most"
            ),
            Error::Corrupt(what) => write!(f, "the store is damaged: {what}"),
            Error::Unable(what) => write!(f, "the store can't be used: {what}"),
        }
    }
}

impl std::error::Error for Error {}

/// Any fault of the database, told apart into what is damaged and what can't be done now.
pub(crate) fn fault(e: impl Into<redb::Error>) -> Error {
    match e.into() {
        redb::Error::Corrupted(what) => Error::Corrupt(what),
        e @ (redb::Error::TableTypeMismatch { .. } | redb::Error::UpgradeRequired(_)) => {
            Error::Corrupt(e.to_string())
        }
        e => Error::Unable(e.to_string()),
    }
}

pub(crate) fn read<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(bytes).map_err(|e| Error::Corrupt(e.to_string()))
}

pub(crate) fn written<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(value).map_err(|e| Error::Unable(e.to_string()))
}

/// What a key was used for.
#[derive(Serialize, Deserialize)]
struct Used {
    at: u64,
    tenant: TenantId,
    revision: u64,
    request: String,
}

/// A change that was made, or had been made under the same key.
#[derive(Clone, Debug, PartialEq)]
pub struct Done {
    pub tenant: Tenant,
    /// Number of the change among all of the store; absent where it had been made before.
    pub number: Option<u64>,
}

/// All tenants.
pub struct Store {
    kept: Kept,
}

impl Store {
    /// Opens a store, or makes an empty one. One of an earlier version is moved forward in one transaction.
    pub fn open(path: &Path) -> Result<Store, Error> {
        Ok(Store {
            kept: Kept::open(path)?,
        })
    }

    /// Changes a tenant, or makes it. `key`: a wish that comes again under it is not done twice; `request` tells
    /// whether it is the same.
    pub fn change(
        &self,
        id: &TenantId,
        wish: &Wish,
        by: &By<'_>,
        key: Option<(&str, &str)>,
    ) -> Result<Done, Error> {
        let txn = self.kept.write()?;
        let done = {
            let mut tenants = txn.open_table(TENANTS).map_err(fault)?;
            let mut changes = txn.open_table(CHANGES).map_err(fault)?;
            let mut keys = txn.open_table(KEYS).map_err(fault)?;
            let before = match tenants.get(id.as_str()).map_err(fault)? {
                Some(bytes) => Some(read::<Tenant>(bytes.value())?),
                None => None,
            };
            if let Some((key, request)) = key
                && let Some(used) = keys.get(key).map_err(fault)?
            {
                let used: Used = read(used.value())?;
                if used.request != request || used.tenant != *id {
                    return Err(Error::KeyReused);
                }
                let tenant = before.ok_or_else(|| Error::Corrupt(format!("{id} is missing")))?;
                return Ok(Done {
                    tenant,
                    number: None,
                });
            }
            let (after, entry) = decide(id, before.as_ref(), wish, by).map_err(Error::Refused)?;
            let number = changes
                .last()
                .map_err(fault)?
                .map_or(1, |(n, _)| n.value() + 1);
            tenants
                .insert(id.as_str(), written(&after)?.as_slice())
                .map_err(fault)?;
            changes.insert(number, id.as_str()).map_err(fault)?;
            let mut history = txn.open_table(HISTORY).map_err(fault)?;
            history
                .insert((id.as_str(), entry.revision), written(&entry)?.as_slice())
                .map_err(fault)?;
            if let Some((key, request)) = key {
                let (tenant, revision) = (id.clone(), after.revision);
                let used = Used {
                    at: number,
                    tenant,
                    revision,
                    request: request.to_string(),
                };
                keys.insert(key, written(&used)?.as_slice())
                    .map_err(fault)?;
                if keys.len().map_err(fault)? > 2 * KEYS_KEPT {
                    let old = number.saturating_sub(KEYS_KEPT);
                    keys.retain(|_, used| read::<Used>(used).is_ok_and(|u| u.at >= old))
                        .map_err(fault)?;
                }
            }
            Done {
                tenant: after,
                number: Some(number),
            }
        };
        txn.commit().map_err(fault)?;
        Ok(done)
    }

    pub fn tenant(&self, id: &TenantId) -> Result<Option<Tenant>, Error> {
        let txn = self.kept.read()?;
        let tenants = txn.open_table(TENANTS).map_err(fault)?;
        let found = tenants.get(id.as_str()).map_err(fault)?;
        found.map(|bytes| read(bytes.value())).transpose()
    }

    /// Tenants in the order of their ids, after one, so many at most.
    pub fn list(&self, after: Option<&TenantId>, most: usize) -> Result<Vec<Tenant>, Error> {
        use std::ops::Bound::{Excluded, Unbounded};
        let txn = self.kept.read()?;
        let tenants = txn.open_table(TENANTS).map_err(fault)?;
        let from = after.map_or(Unbounded, |id| Excluded(id.as_str()));
        let range = tenants.range::<&str>((from, Unbounded)).map_err(fault)?;
        range
            .take(most)
            .map(|row| read(row.map_err(fault)?.1.value()))
            .collect()
    }

    /// A tenant's history from a revision on, so many entries at most.
    pub fn history(&self, id: &TenantId, from: u64, most: usize) -> Result<Vec<Entry>, Error> {
        let txn = self.kept.read()?;
        let history = txn.open_table(HISTORY).map_err(fault)?;
        let range = history
            .range((id.as_str(), from)..=(id.as_str(), u64::MAX))
            .map_err(fault)?;
        range
            .take(most)
            .map(|row| read(row.map_err(fault)?.1.value()))
            .collect()
    }

    /// Tenants that have changed after a number, as they are now, and the number that this is the state of.
    pub fn since(&self, number: u64) -> Result<(u64, Vec<Tenant>), Error> {
        let txn = self.kept.read()?;
        let changes = txn.open_table(CHANGES).map_err(fault)?;
        let tenants = txn.open_table(TENANTS).map_err(fault)?;
        let mut ids = std::collections::BTreeSet::new();
        let mut last = number;
        for row in changes.range(number.saturating_add(1)..).map_err(fault)? {
            let (n, id) = row.map_err(fault)?;
            ids.insert(id.value().to_string());
            last = n.value();
        }
        let mut found = Vec::new();
        for id in ids {
            let bytes = tenants.get(id.as_str()).map_err(fault)?;
            let bytes = bytes.ok_or_else(|| Error::Corrupt(format!("{id} is missing")))?;
            found.push(read(bytes.value())?);
        }
        Ok((last, found))
    }

    pub fn keep_token(&self, token: &Token) -> Result<(), Error> {
        let txn = self.kept.write()?;
        {
            let mut tokens = txn.open_table(TOKENS).map_err(fault)?;
            tokens
                .insert(token.id.as_str(), written(token)?.as_slice())
                .map_err(fault)?;
        }
        txn.commit().map_err(fault)
    }

    pub fn token(&self, id: &str) -> Result<Option<Token>, Error> {
        let txn = self.kept.read()?;
        let tokens = txn.open_table(TOKENS).map_err(fault)?;
        let found = tokens.get(id).map_err(fault)?;
        found.map(|bytes| read(bytes.value())).transpose()
    }

    /// All tokens: there are as many as people and programs that administer.
    pub fn tokens(&self) -> Result<Vec<Token>, Error> {
        let txn = self.kept.read()?;
        let tokens = txn.open_table(TOKENS).map_err(fault)?;
        let rows = tokens.iter().map_err(fault)?;
        rows.map(|row| read(row.map_err(fault)?.1.value()))
            .collect()
    }

    /// Revokes a token. False: there is none of that id.
    pub fn revoke(&self, id: &str, now: Millis) -> Result<bool, Error> {
        match self.token(id)? {
            None => Ok(false),
            Some(mut token) => {
                token.revoked = token.revoked.or(Some(now));
                self.keep_token(&token).map(|()| true)
            }
        }
    }

    /// Number of the last change.
    pub fn last(&self) -> Result<u64, Error> {
        let txn = self.kept.read()?;
        let changes = txn.open_table(CHANGES).map_err(fault)?;
        let last = changes.last().map_err(fault)?;
        Ok(last.map_or(0, |(n, _)| n.value()))
    }

    /// The version that the file says of itself.
    pub fn version(&self) -> Result<u64, Error> {
        let txn = self.kept.read()?;
        let meta = txn.open_table(META).map_err(fault)?;
        let version = meta.get("version").map_err(fault)?;
        Ok(version.map_or(0, |v| v.value()))
    }
}
