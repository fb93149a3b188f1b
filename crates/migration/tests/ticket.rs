//! Ticket keys and seals: the format of a key, and the rejection of modified tickets.

use shalewall::{ServerId, SessionId};
use shalewall_migration::Epoch;
use shalewall_migration::ticket::{InvalidTicketKey, Ticket, TicketKey, Validity};

const VALIDITY: Validity = Validity {
    issued_at: 5,
    expires_at: 9,
};

fn issue(key: &TicketKey) -> Ticket {
    key.issue(SessionId(1), Epoch(2), ServerId(3), ServerId(4), VALIDITY)
}

#[test]
fn a_key_is_64_hexadecimal_digits_and_nothing_else() {
    let key: TicketKey = "0a".repeat(32).parse().expect("a key");
    assert!(TicketKey::new([10; 32]).verify(&issue(&key)));
    for wrong in [
        "",
        "0a",
        &"0a".repeat(33),
        &"0g".repeat(32),
        &"é".repeat(32),
    ] {
        let parsed: Result<TicketKey, InvalidTicketKey> = wrong.parse();
        assert!(parsed.is_err(), "{wrong}");
    }
}

#[test]
fn a_changed_ticket_is_not_verified() {
    let key = TicketKey::new([7; 32]);
    let ticket = issue(&key);
    assert!(key.verify(&ticket));
    assert!(!TicketKey::new([8; 32]).verify(&ticket));
    let changes: [fn(&mut Ticket); 6] = [
        |ticket| ticket.session = 9,
        |ticket| ticket.epoch = Epoch(3),
        |ticket| ticket.source = 9,
        |ticket| ticket.target = 9,
        |ticket| ticket.issued_at = 6,
        |ticket| ticket.expires_at = 10,
    ];
    for change in changes {
        let mut changed = ticket.clone();
        change(&mut changed);
        assert_ne!(changed, ticket);
        assert!(!key.verify(&changed), "{changed:?}");
    }
}
