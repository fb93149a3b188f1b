//! Datagrams that must change nothing, and those that must pass.

use proptest::prelude::*;
use shalewall_membership::seal::{CONTENT, Key, MOST, PEERS, Peer, Refused, SPAN, Seals};

fn key(fleet: &str) -> Key {
    Key::new(&[7; 32], fleet)
}

fn seals(name: &str, start: u64) -> Seals {
    Seals::new(
        key("f"),
        name,
        start,
        [start as u8 ^ name.as_bytes()[0]; 32],
    )
}

/// Two that have greeted each other.
fn met() -> (Seals, Seals) {
    let (mut a, mut b) = (seals("a", 1), seals("b", 1));
    greet(&mut a, &mut b);
    (a, b)
}

/// From nothing known: the first word is refused, the greeting tells the token, the next is taken.
fn greet(a: &mut Seals, b: &mut Seals) {
    let first = a.seal(0, Peer::named("b"), b"join").unwrap();
    let Err(Refused::Unknown { greeting }) = b.open(0, &first) else {
        panic!("taken without a token")
    };
    assert!(greeting.len() <= first.len(), "a greeting is no lever");
    assert!(a.open(0, &greeting).unwrap().content.is_empty());
    let next = a.seal(0, Peer::named("b"), b"join").unwrap();
    assert_eq!(b.open(0, &next).unwrap().content, b"join");
}

#[test]
fn what_is_caught_and_sent_again_changes_nothing() {
    let (mut a, mut b) = met();
    let word = a.seal(0, Peer::named("b"), b"alive").unwrap();
    assert!(b.open(0, &word).is_ok());
    assert_eq!(b.open(0, &word), Err(Refused::Old));
    // Later, when b knows nothing of a any more: the token is over.
    assert!(matches!(
        b.open(3 * SPAN, &word),
        Err(Refused::Unknown { .. })
    ));
    // And by a b that has begun anew.
    let mut b = seals("b", 2);
    assert!(matches!(b.open(0, &word), Err(Refused::Unknown { .. })));
    assert_eq!(b.peers(), 0);
}

#[test]
fn numbers_out_of_order_are_taken_once_each() {
    let (mut a, mut b) = met();
    let words: Vec<_> = (0..70)
        .map(|_| a.seal(0, Peer::named("b"), b"x").unwrap())
        .collect();
    assert!(b.open(0, &words[69]).is_ok());
    for (n, word) in words.iter().enumerate().take(69).rev() {
        assert_eq!(b.open(0, word).is_ok(), n > 5, "{n}: 64 are told apart");
        assert_eq!(b.open(0, word), Err(Refused::Old));
    }
}

#[test]
fn a_later_process_of_a_name_replaces_the_earlier() {
    let (mut a, mut b) = met();
    let late = a.seal(0, Peer::named("b"), b"late").unwrap();
    greet(&mut seals("a", 2), &mut b);
    assert_eq!(b.open(0, &late), Err(Refused::Old));
    let other = seals("a", 9).seal(0, Peer::named("a"), b"").unwrap();
    assert_eq!(a.open(0, &other), Err(Refused::SameName { start: 9 }));
}

#[test]
fn another_fleet_of_the_same_key_is_a_stranger() {
    let mut other = Seals::new(key("g"), "a", 1, [1; 32]);
    let word = other.seal(0, Peer::named("b"), b"x").unwrap();
    assert_eq!(seals("b", 1).open(0, &word), Err(Refused::Stranger));
}

#[test]
fn content_and_peers_have_a_bound() {
    let mut b = seals("b", 1);
    for n in 0..PEERS {
        let name = format!("a{n}");
        greet(&mut seals(&name, 1), &mut b);
    }
    let mut one = seals("z", 1);
    let Err(Refused::Unknown { greeting }) =
        b.open(0, &one.seal(0, Peer::named("b"), b"").unwrap())
    else {
        panic!()
    };
    one.open(0, &greeting).unwrap();
    assert_eq!(
        b.open(0, &one.seal(0, Peer::named("b"), b"").unwrap()),
        Err(Refused::Full)
    );
    let longest = one.seal(0, Peer::named("b"), &[0; CONTENT]).unwrap();
    assert_eq!(longest.len(), MOST);
    assert!(one.seal(0, Peer::named("b"), &[0; CONTENT + 1]).is_none());
}

proptest! {
    /// Any bytes, and any sealed datagram with one byte changed or cut short, change nothing.
    #[test]
    fn what_is_not_sealed_is_refused(noise in prop::collection::vec(any::<u8>(), 0..1500), at in 0..200usize, flip in 1..=255u8, cut in 0..200usize) {
        let (mut a, mut b) = met();
        let before = b.peers();
        prop_assert!(b.open(0, &noise).is_err());
        let mut word = a.seal(0, Peer::named("b"), &noise[..noise.len().min(100)]).unwrap();
        let whole = word.clone();
        prop_assert!(b.open(0, &word[..cut.min(word.len() - 1)]).is_err());
        let at = at % word.len();
        word[at] ^= flip;
        prop_assert!(matches!(b.open(0, &word), Err(Refused::Shape | Refused::Stranger)));
        prop_assert_eq!(b.peers(), before);
        prop_assert!(b.open(0, &whole).is_ok());
    }
}

/// Fleets of mixed versions have to understand each other: these bytes were written by the code of commit 7a79dca.
#[test]
fn datagrams_are_byte_for_byte_as_they_were() {
    let (mut a, mut b) = (seals("a", 1), seals("b", 1));
    let first = a.seal(0, Peer::named("b"), b"join").unwrap();
    let Err(Refused::Unknown { greeting }) = b.open(0, &first) else {
        panic!("taken without a token")
    };
    a.open(0, &greeting).unwrap();
    let next = a.seal(SPAN + 1, Peer::named("b"), b"alive").unwrap();
    let hex = |bytes: &[u8]| -> String { bytes.iter().map(|b| format!("{b:02x}")).collect() };
    assert_eq!(
        hex(&first),
        "0117762fddd969a453000000000000000100000000000000010000000000000000976713bc6d42241a6a6f696ee57837a3bed19e0c19c320aaa1e1236c"
    );
    assert_eq!(
        hex(&greeting),
        "0110e5cf3d3c8a4f9f00000000000000010000000000000001976713bc6d42241a533ec60b4e3378040a49a391f0d5211085a897ad451e0b3d"
    );
    assert_eq!(
        hex(&next),
        "0117762fddd969a45300000000000000010000000000000002533ec60b4e3378049f9cf030844845dc616c697665de636b1767d55f905a59fb3b9b0e7d34"
    );
}
