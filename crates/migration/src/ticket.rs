//! The ticket that authorizes a node to take over a session: issued by a director, valid at one node, for one epoch and
//! for a short time.

use crate::Epoch;
use serde::{Deserialize, Serialize};
use shalewall::{ServerId, SessionId};
use std::str::FromStr;
use subtle::ConstantTimeEq;

/// Wall-clock time in milliseconds since 1970, the only clock that directors and nodes share.
pub type UnixMillis = u64;

/// Domain separation: distinguishes these seals from any other use of the same key.
const SEAL_CONTEXT: &[u8] = b"shalewall hand-over 1";
const SEAL_BYTES: usize = 16;
const KEY_BYTES: usize = 32;

/// Authorizes a node to prepare a session that was set up elsewhere.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The session's number.
    pub session: u64,
    /// The epoch that may be prepared.
    pub epoch: Epoch,
    /// The node that serves the session, by number.
    #[serde(rename = "from")]
    pub source: u64,
    /// The node that may prepare it, by number.
    #[serde(rename = "to")]
    pub target: u64,
    /// When it was issued. A node process that started later rejects it, since the previous one may have used it.
    #[serde(rename = "issued")]
    pub issued_at: UnixMillis,
    /// The time from which it is invalid.
    #[serde(rename = "until")]
    pub expires_at: UnixMillis,
    seal: [u8; SEAL_BYTES],
}

/// The validity period of a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Validity {
    /// When it is issued.
    pub issued_at: UnixMillis,
    /// The time from which it is invalid.
    pub expires_at: UnixMillis,
}

/// The text is not a ticket key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("must hold 64 hexadecimal digits")]
pub struct InvalidTicketKey;

/// The secret key with which the directors and nodes of a service issue and verify tickets.
#[derive(Clone)]
pub struct TicketKey([u8; KEY_BYTES]);

impl std::fmt::Debug for TicketKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("TicketKey(..)")
    }
}

/// Parses 64 hexadecimal digits.
impl FromStr for TicketKey {
    type Err = InvalidTicketKey;

    fn from_str(text: &str) -> Result<TicketKey, InvalidTicketKey> {
        let all_digits = text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if text.len() != 2 * KEY_BYTES || !all_digits {
            return Err(InvalidTicketKey);
        }
        let mut bytes = [0; KEY_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| InvalidTicketKey)?;
        }
        Ok(TicketKey(bytes))
    }
}

impl TicketKey {
    /// Creates a key from bytes, which must be secret and random.
    pub fn new(bytes: [u8; KEY_BYTES]) -> TicketKey {
        TicketKey(bytes)
    }

    /// Issues a ticket.
    pub fn issue(
        &self,
        session: SessionId,
        epoch: Epoch,
        source: ServerId,
        target: ServerId,
        validity: Validity,
    ) -> Ticket {
        let mut ticket = Ticket {
            session: session.0,
            epoch,
            source: source.0,
            target: target.0,
            issued_at: validity.issued_at,
            expires_at: validity.expires_at,
            seal: [0; SEAL_BYTES],
        };
        ticket.seal = self.seal(&ticket);
        ticket
    }

    /// Whether a ticket was issued with this key and has not been modified.
    pub fn verify(&self, ticket: &Ticket) -> bool {
        self.seal(ticket).ct_eq(&ticket.seal).into()
    }

    fn seal(&self, ticket: &Ticket) -> [u8; SEAL_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(SEAL_CONTEXT);
        let sealed_fields = [
            ticket.session,
            u64::from(ticket.epoch.0),
            ticket.source,
            ticket.target,
            ticket.issued_at,
            ticket.expires_at,
        ];
        for field in sealed_fields {
            hasher.update(&field.to_le_bytes());
        }
        let mut seal = [0; SEAL_BYTES];
        seal.copy_from_slice(&hasher.finalize().as_bytes()[..SEAL_BYTES]);
        seal
    }
}
