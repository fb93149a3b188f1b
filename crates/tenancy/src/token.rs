//! Bearer tokens: `swt.ID.SECRET`. Only a hash of the secret is stored, so that tokens can't be recovered from the
//! store. Secrets are 32 random bytes, so a fast hash is sufficient: they can't be guessed.

use crate::UnixMillis;
use crate::access::Role;
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

const PREFIX: &str = "swt.";
const ID_BYTES: usize = 8;
const SECRET_BYTES: usize = 32;
const HASH_BYTES: usize = 32;
/// Domain separation: distinguishes these hashes from other hashes of the same bytes.
const HASH_CONTEXT: &str = "shalewall 2026 bearer token";

/// The stored record of a token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// Its id in hexadecimal digits.
    pub id: String,
    /// The role of its holder.
    pub role: Role,
    hash: [u8; HASH_BYTES],
    /// When it was created.
    #[serde(rename = "made")]
    pub created_at: UnixMillis,
    /// When it was revoked.
    #[serde(rename = "revoked")]
    pub revoked_at: Option<UnixMillis>,
}

/// A new token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IssuedToken {
    /// The record to store.
    pub token: Token,
    /// The token text for its holder, which is not stored.
    pub text: String,
}

/// A token as presented by a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PresentedToken<'a> {
    /// Its id.
    pub id: &'a str,
    secret: &'a str,
}

impl Token {
    /// Issues a new token. `id` and `secret` must be random.
    pub fn issue(
        role: Role,
        id: [u8; ID_BYTES],
        secret: [u8; SECRET_BYTES],
        now: UnixMillis,
    ) -> IssuedToken {
        let id = to_hex(&id);
        let secret = to_hex(&secret);
        let text = format!("{PREFIX}{id}.{secret}");
        let token = Token {
            id,
            role,
            hash: hash(&secret),
            created_at: now,
            revoked_at: None,
        };
        IssuedToken { token, text }
    }
}

impl<'a> PresentedToken<'a> {
    /// Parses a token. Returns `None` if the text is not a token.
    pub fn parse(text: &'a str) -> Option<PresentedToken<'a>> {
        let (id, secret) = text.strip_prefix(PREFIX)?.split_once('.')?;
        let is_complete = id.len() == 2 * ID_BYTES && secret.len() == 2 * SECRET_BYTES;
        is_complete.then_some(PresentedToken { id, secret })
    }

    /// Returns the role of this token if it matches the record stored under its id and has not been revoked. An unknown
    /// id takes the same work, so that the timing does not reveal whether the id exists.
    pub fn authenticate(&self, stored: Option<&Token>) -> Option<Role> {
        let no_hash = [0u8; HASH_BYTES];
        let stored_hash = stored.map_or(&no_hash, |token| &token.hash);
        let is_same: bool = hash(self.secret).ct_eq(stored_hash).into();
        let valid = stored.filter(|token| is_same && token.revoked_at.is_none());
        valid.map(|token| token.role.clone())
    }
}

fn hash(secret: &str) -> [u8; HASH_BYTES] {
    blake3::derive_key(HASH_CONTEXT, secret.as_bytes())
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
