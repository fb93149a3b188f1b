//! The booking on its way: issued by a front, good at one node, for one epoch, for a short time.

use crate::Epoch;
use serde::{Deserialize, Serialize};
use shalewall::{ServerId, SessionId};
use subtle::ConstantTimeEq;

/// Wall-clock time, milliseconds since 1970: fronts and nodes have no other clock in common.
pub type Millis = u64;

/// Leave to prepare a session that was booked elsewhere.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ticket {
    pub session: SessionId64,
    pub epoch: Epoch,
    pub from: u64,
    pub to: u64,
    /// When it was issued: a process that began later does not know what it has served of it before.
    pub issued: Millis,
    /// Not good from then on.
    pub until: Millis,
    seal: [u8; 16],
}

/// A session's number, as tickets carry it.
pub type SessionId64 = u64;

/// What fronts and nodes of one service share to know their tickets.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

impl Key {
    pub fn new(bytes: [u8; 32]) -> Key {
        Key(bytes)
    }

    /// From 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Key> {
        let mut bytes = [0; 32];
        if text.len() != 64 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return None;
        }
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
        }
        Some(Key(bytes))
    }

    fn seal(&self, t: &Ticket) -> [u8; 16] {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(b"shalewall hand-over 1");
        for part in [
            t.session,
            u64::from(t.epoch.0),
            t.from,
            t.to,
            t.issued,
            t.until,
        ] {
            hasher.update(&part.to_le_bytes());
        }
        let mut seal = [0; 16];
        seal.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        seal
    }

    /// `good`: from when on, and until when.
    pub fn issue(
        &self,
        session: SessionId,
        epoch: Epoch,
        from: ServerId,
        to: ServerId,
        good: std::ops::Range<Millis>,
    ) -> Ticket {
        let (issued, until, seal) = (good.start, good.end, [0; 16]);
        let mut ticket = Ticket {
            session: session.0,
            epoch,
            from: from.0,
            to: to.0,
            issued,
            until,
            seal,
        };
        ticket.seal = self.seal(&ticket);
        ticket
    }

    /// Whether a ticket is this service's, unchanged.
    pub fn knows(&self, t: &Ticket) -> bool {
        self.seal(t).ct_eq(&t.seal).into()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_key_is_64_hexadecimal_digits_and_nothing_else() {
        let ticket = |key: &Key| key.issue(SessionId(1), Epoch(2), ServerId(3), ServerId(4), 5..9);
        let key = Key::from_hex(&"0a".repeat(32)).expect("a key");
        assert!(Key::new([10; 32]).knows(&ticket(&key)));
        for wrong in [
            "",
            "0a",
            &"0a".repeat(33),
            &"0g".repeat(32),
            &"é".repeat(32),
        ] {
            assert!(Key::from_hex(wrong).is_none(), "{wrong}");
        }
    }

    #[test]
    fn a_ticket_with_anything_changed_is_not_known() {
        let key = Key::new([7; 32]);
        let good = key.issue(SessionId(1), Epoch(2), ServerId(3), ServerId(4), 5..9);
        assert!(key.knows(&good));
        assert!(!Key::new([8; 32]).knows(&good));
        for wrong in [
            Ticket {
                session: 9,
                ..good.clone()
            },
            Ticket {
                epoch: Epoch(3),
                ..good.clone()
            },
            Ticket {
                from: 9,
                ..good.clone()
            },
            Ticket {
                to: 9,
                ..good.clone()
            },
            Ticket {
                issued: 6,
                ..good.clone()
            },
            Ticket {
                until: 10,
                ..good.clone()
            },
        ] {
            assert!(!key.knows(&wrong), "{wrong:?}");
        }
    }
}
