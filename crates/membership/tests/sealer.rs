//! Which datagrams are accepted, and which are rejected without effect.

use proptest::prelude::*;
use shalewall::{TimeDelta, Timestamp};
use shalewall_membership::datagram::{DecodeError, MAX_CONTENT_BYTES, MAX_DATAGRAM_BYTES};
use shalewall_membership::keys::{FleetKey, PeerId};
use shalewall_membership::sealer::{MAX_PEERS, OpenError, Sealer, TOKEN_PERIOD};

const START: Timestamp = Timestamp::ZERO;

fn key(fleet: &str) -> FleetKey {
    FleetKey::new(&[7; 32], fleet)
}

fn sealer(name: &str, incarnation: u64) -> Sealer {
    Sealer::new(
        key("f"),
        name,
        incarnation,
        [incarnation as u8 ^ name.as_bytes()[0]; 32],
    )
}

/// Two peers that have exchanged tokens.
fn pair_with_tokens() -> (Sealer, Sealer) {
    let (mut a, mut b) = (sealer("a", 1), sealer("b", 1));
    exchange_tokens(&mut a, &mut b);
    (a, b)
}

/// The first datagram is rejected, the challenge carries the token, and the next datagram is accepted.
fn exchange_tokens(a: &mut Sealer, b: &mut Sealer) {
    let first = a.seal(START, PeerId::of_name("b"), b"join").unwrap();
    let Err(OpenError::InvalidToken { challenge }) = b.open(START, &first) else {
        panic!("accepted without a token")
    };
    assert!(challenge.len() <= first.len(), "no traffic amplification");
    assert!(a.open(START, &challenge).unwrap().content.is_empty());
    let next = a.seal(START, PeerId::of_name("b"), b"join").unwrap();
    assert_eq!(b.open(START, &next).unwrap().content, b"join");
}

#[test]
fn replays_change_nothing() {
    let (mut a, mut b) = pair_with_tokens();
    let datagram = a.seal(START, PeerId::of_name("b"), b"alive").unwrap();
    assert!(b.open(START, &datagram).is_ok());
    assert_eq!(b.open(START, &datagram), Err(OpenError::Replayed));
    // Later, when b has removed a and the token has expired.
    assert!(matches!(
        b.open(START + TOKEN_PERIOD * 3, &datagram),
        Err(OpenError::InvalidToken { .. })
    ));
    // After a restart of b.
    let mut b = sealer("b", 2);
    assert!(matches!(
        b.open(START, &datagram),
        Err(OpenError::InvalidToken { .. })
    ));
    assert_eq!(b.peer_count(), 0);
}

#[test]
fn sequence_numbers_out_of_order_are_accepted_once_each() {
    let (mut a, mut b) = pair_with_tokens();
    let datagrams: Vec<_> = (0..70)
        .map(|_| a.seal(START, PeerId::of_name("b"), b"x").unwrap())
        .collect();
    assert!(b.open(START, &datagrams[69]).is_ok());
    for (n, datagram) in datagrams.iter().enumerate().take(69).rev() {
        assert_eq!(
            b.open(START, datagram).is_ok(),
            n > 5,
            "{n}: 64 sequence numbers are tracked"
        );
        assert_eq!(b.open(START, datagram), Err(OpenError::Replayed));
    }
}

#[test]
fn a_higher_incarnation_replaces_a_lower() {
    let (mut a, mut b) = pair_with_tokens();
    let late = a.seal(START, PeerId::of_name("b"), b"late").unwrap();
    exchange_tokens(&mut sealer("a", 2), &mut b);
    assert_eq!(b.open(START, &late), Err(OpenError::Replayed));
    let other = sealer("a", 9)
        .seal(START, PeerId::of_name("a"), b"")
        .unwrap();
    assert_eq!(
        a.open(START, &other),
        Err(OpenError::NameConflict { incarnation: 9 })
    );
}

#[test]
fn a_datagram_of_another_fleet_with_the_same_key_is_rejected() {
    let mut other = Sealer::new(key("g"), "a", 1, [1; 32]);
    let datagram = other.seal(START, PeerId::of_name("b"), b"x").unwrap();
    assert_eq!(
        sealer("b", 1).open(START, &datagram),
        Err(OpenError::Decode(DecodeError::NotOfThisFleet))
    );
}

#[test]
fn content_and_peers_are_bounded() {
    let mut b = sealer("b", 1);
    for n in 0..MAX_PEERS {
        let name = format!("a{n}");
        exchange_tokens(&mut sealer(&name, 1), &mut b);
    }
    let mut one = sealer("z", 1);
    let Err(OpenError::InvalidToken { challenge }) =
        b.open(START, &one.seal(START, PeerId::of_name("b"), b"").unwrap())
    else {
        panic!()
    };
    one.open(START, &challenge).unwrap();
    assert_eq!(
        b.open(START, &one.seal(START, PeerId::of_name("b"), b"").unwrap()),
        Err(OpenError::TooManyPeers)
    );
    let longest = one
        .seal(START, PeerId::of_name("b"), &[0; MAX_CONTENT_BYTES])
        .unwrap();
    assert_eq!(longest.len(), MAX_DATAGRAM_BYTES);
    assert!(
        one.seal(START, PeerId::of_name("b"), &[0; MAX_CONTENT_BYTES + 1])
            .is_err()
    );
}

proptest! {
    /// Any bytes, and any sealed datagram with one byte changed or cut short, change nothing.
    #[test]
    fn bytes_that_are_not_sealed_are_rejected(noise in prop::collection::vec(any::<u8>(), 0..1500), at in 0..200usize, flip in 1..=255u8, cut in 0..200usize) {
        let (mut a, mut b) = pair_with_tokens();
        let before = b.peer_count();
        prop_assert!(b.open(START, &noise).is_err());
        let mut datagram = a.seal(START, PeerId::of_name("b"), &noise[..noise.len().min(100)]).unwrap();
        let whole = datagram.clone();
        prop_assert!(b.open(START, &datagram[..cut.min(datagram.len() - 1)]).is_err());
        let at = at % datagram.len();
        datagram[at] ^= flip;
        prop_assert!(matches!(b.open(START, &datagram), Err(OpenError::Decode(_))));
        prop_assert_eq!(b.peer_count(), before);
        prop_assert!(b.open(START, &whole).is_ok());
    }
}

/// Fleets of mixed versions must interoperate. These bytes were written by commit 7a79dca.
#[test]
fn datagram_bytes_match_the_recorded_version() {
    let (mut a, mut b) = (sealer("a", 1), sealer("b", 1));
    let first = a.seal(START, PeerId::of_name("b"), b"join").unwrap();
    let Err(OpenError::InvalidToken { challenge }) = b.open(START, &first) else {
        panic!("accepted without a token")
    };
    a.open(START, &challenge).unwrap();
    let next = a
        .seal(
            START + TOKEN_PERIOD + TimeDelta::from_micros(1),
            PeerId::of_name("b"),
            b"alive",
        )
        .unwrap();
    let hex = |bytes: &[u8]| -> String { bytes.iter().map(|b| format!("{b:02x}")).collect() };
    assert_eq!(
        hex(&first),
        "0117762fddd969a453000000000000000100000000000000010000000000000000976713bc6d42241a6a6f696ee57837a3bed19e0c19c320aaa1e1236c"
    );
    assert_eq!(
        hex(&challenge),
        "0110e5cf3d3c8a4f9f00000000000000010000000000000001976713bc6d42241a533ec60b4e3378040a49a391f0d5211085a897ad451e0b3d"
    );
    assert_eq!(
        hex(&next),
        "0117762fddd969a45300000000000000010000000000000002533ec60b4e3378049f9cf030844845dc616c697665de636b1767d55f905a59fb3b9b0e7d34"
    );
}
