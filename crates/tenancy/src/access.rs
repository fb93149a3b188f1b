//! Tokens, roles, and what each may see and do. A token is `swt.ID.SECRET`; what is kept of it is a hash of
//! the secret, so that whoever reads the store can't use it. Secrets are 32 random bytes: a plain fast hash is
//! enough, since there is nothing to guess.

use crate::Millis;
use crate::model::TenantId;
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

/// What a caller is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Runs the service: all tenants.
    Operator,
    /// A front: follows the tenants and tells what it holds, and nothing else.
    Front,
    /// Administers one tenant: its names, classes, titles and state, not what is agreed with the operators.
    Admin(TenantId),
    /// Reads one tenant.
    Reader(TenantId),
}

/// What a call does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// Lists all tenants, or makes one.
    Directory,
    Read,
    /// Changes what is the tenant's own.
    Change,
    /// Changes what is agreed with the operators: share, fleet, limits; or deletes.
    Agree,
    /// Makes and revokes tokens.
    Tokens,
    /// Follows all changes, and reports usage.
    Follow,
}

/// What is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    Granted,
    /// It is the caller's own, but not the caller's to do.
    Forbidden,
    /// To the caller it does not exist, whether it does or not.
    Hidden,
}

impl Role {
    /// A role by its name, and whose it is where it is one tenant's.
    pub fn named(name: &str, tenant: Option<String>) -> Result<Role, String> {
        let tenant = tenant
            .map(TenantId::try_from)
            .transpose()
            .map_err(|e| format!("tenant {e}"))?;
        match (name, tenant) {
            ("operator", None) => Ok(Role::Operator),
            ("front", None) => Ok(Role::Front),
            ("admin", Some(id)) => Ok(Role::Admin(id)),
            ("reader", Some(id)) => Ok(Role::Reader(id)),
            _ => Err("operator or front alone, or admin or reader of a tenant".to_string()),
        }
    }

    /// Whether this role may do that to a tenant; none: to the service as a whole.
    pub fn may(&self, act: Act, to: Option<&TenantId>) -> Access {
        let (own, admin) = match self {
            Role::Operator => return Access::Granted,
            Role::Front if act == Act::Follow => return Access::Granted,
            // What a front may not do it is not told of either.
            Role::Front => {
                return if to.is_some() {
                    Access::Hidden
                } else {
                    Access::Forbidden
                };
            }
            Role::Admin(own) => (own, true),
            Role::Reader(own) => (own, false),
        };
        match (act, to) {
            (_, Some(other)) if other != own => Access::Hidden,
            (Act::Directory | Act::Tokens | Act::Follow, _) | (_, None) => Access::Forbidden,
            (Act::Read, _) => Access::Granted,
            (Act::Change, _) if admin => Access::Granted,
            (Act::Change | Act::Agree, _) => Access::Forbidden,
        }
    }
}

/// What is kept of a token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    pub id: String,
    pub role: Role,
    hash: [u8; 32],
    pub made: Millis,
    pub revoked: Option<Millis>,
}

fn hash(secret: &str) -> [u8; 32] {
    blake3::derive_key("shalewall 2026 bearer token", secret.as_bytes())
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

impl Token {
    /// A new token from random bytes, and the text that its holder shows. The text is kept nowhere.
    pub fn new(role: Role, id: [u8; 8], secret: [u8; 32], now: Millis) -> (Token, String) {
        let (id, secret) = (hex(&id), hex(&secret));
        let text = format!("swt.{id}.{secret}");
        (
            Token {
                id,
                role,
                hash: hash(&secret),
                made: now,
                revoked: None,
            },
            text,
        )
    }
}

/// The id and the secret of a token as it is shown.
pub fn parts(text: &str) -> Option<(&str, &str)> {
    let (id, secret) = text.strip_prefix("swt.")?.split_once('.')?;
    (id.len() == 16 && secret.len() == 64).then_some((id, secret))
}

/// The role of a token as it is shown, if the one kept under its id is this one and stands. As much is
/// computed for an id that nobody has.
pub fn role(kept: Option<&Token>, secret: &str) -> Option<Role> {
    let nobody = [0u8; 32];
    let same: bool = hash(secret).ct_eq(kept.map_or(&nobody, |t| &t.hash)).into();
    kept.filter(|t| same && t.revoked.is_none())
        .map(|t| t.role.clone())
}
