//! The envelope of a datagram: a stranger, another fleet, or an old datagram changes nothing.
//!
//! Every datagram ends with a keyed hash over all of it; the key is made of the settings' key and the fleet's name. That keeps
//! strangers out, but not what was true once: a datagram that is caught and sent again. Clocks can't tell, since they may
//! jump. So each side gives each peer a token that only its own process and the present time span can have made, and takes
//! nothing without it. What comes twice within the life of a token is known by its number. A datagram without a valid token
//! is answered with a greeting, which is no longer than any datagram, and changes nothing.
//!
//! All numbers are big-endian:
//!
//! | bytes | |
//! | --- | --- |
//! | 1 | version, 1 |
//! | 8 | sender: hash of its name |
//! | 8 | its start number |
//! | 8 | its number of this datagram, from 1 |
//! | 8 | the receiver's token as the sender knows it; 0: none yet |
//! | 8 | the sender's token for the receiver |
//! | | content |
//! | 16 | keyed hash |

use crate::Micros;
use std::collections::BTreeMap;

/// A datagram is so long at most: it passes any link in one piece.
pub const MOST: usize = 1400;
const VERSION: u8 = 1;
const HEAD: usize = 41;
const HASH: usize = 16;
/// Content is so long at most.
pub const CONTENT: usize = MOST - HEAD - HASH;
/// A token is given out for so long, and taken for as long again.
pub const SPAN: Micros = 60_000_000;
/// Peers that are known at once: more than a fleet has. Only who has the key can fill it.
pub const PEERS: usize = 2048;

/// A director by its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Peer(u64);

impl Peer {
    pub fn named(name: &str) -> Peer {
        Peer(first(blake3::hash(name.as_bytes()).as_bytes()))
    }
}

/// What the fleet shares.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Two fleets that share a key by mistake are strangers all the same.
    pub fn new(key: &[u8; 32], fleet: &str) -> Key {
        Key(*blake3::keyed_hash(key, fleet.as_bytes()).as_bytes())
    }
}

/// A datagram that may be believed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opened<'a> {
    pub from: Peer,
    pub start: u64,
    /// Empty in a greeting.
    pub content: &'a [u8],
}

/// Why a datagram changes nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Too short, too long, or of another version.
    Shape,
    /// Not sealed with the fleet's key.
    Stranger,
    /// Said before, or by a process that a later one of the same name has replaced.
    Old,
    /// Another process has this one's name.
    SameName { start: u64 },
    /// Its sender does not know the present token: this greeting tells it.
    Unknown { greeting: Vec<u8> },
    /// There are too many peers.
    Full,
}

struct Known {
    start: u64,
    /// Highest number taken, and which of the 64 up to it were.
    highest: u64,
    seen: u64,
    heard: Micros,
    /// What it wants to read on datagrams to it.
    token: u64,
}

/// Seals and opens the datagrams of one process.
pub struct Seals {
    key: Key,
    own: Peer,
    start: u64,
    secret: [u8; 32],
    number: u64,
    peers: BTreeMap<Peer, Known>,
}

fn first(bytes: &[u8]) -> u64 {
    bytes.iter().take(8).fold(0, |n, b| n << 8 | u64::from(*b))
}

impl Seals {
    /// `start` grows with each start of this name; `secret` is drawn anew at each.
    pub fn new(key: Key, name: &str, start: u64, secret: [u8; 32]) -> Seals {
        Seals {
            key,
            own: Peer::named(name),
            start,
            secret,
            number: 0,
            peers: BTreeMap::new(),
        }
    }

    /// A datagram to a peer. None: the content is too long.
    pub fn seal(&mut self, now: Micros, to: Peer, content: &[u8]) -> Option<Vec<u8>> {
        let token = self.peers.get(&to).map_or(0, |p| p.token);
        (content.len() <= CONTENT).then(|| self.write(now, to, token, content))
    }

    fn write(&mut self, now: Micros, to: Peer, token: u64, content: &[u8]) -> Vec<u8> {
        self.number += 1;
        let own = self.token(to, now / SPAN);
        let mut out = Vec::with_capacity(HEAD + content.len() + HASH);
        out.push(VERSION);
        for number in [self.own.0, self.start, self.number, token, own] {
            out.extend_from_slice(&number.to_be_bytes());
        }
        out.extend_from_slice(content);
        let hash = blake3::keyed_hash(&self.key.0, &out);
        out.extend_from_slice(&hash.as_bytes()[..HASH]);
        out
    }

    /// The token for a peer in a span of time; never 0.
    fn token(&self, peer: Peer, span: i64) -> u64 {
        let bytes = [peer.0.to_be_bytes(), span.to_be_bytes()].concat();
        first(blake3::keyed_hash(&self.secret, &bytes).as_bytes()).max(1)
    }

    /// Opens a datagram. Only one that is opened changes anything.
    pub fn open<'a>(&mut self, now: Micros, bytes: &'a [u8]) -> Result<Opened<'a>, Refused> {
        if !(HEAD + HASH..=MOST).contains(&bytes.len()) || bytes[0] != VERSION {
            return Err(Refused::Shape);
        }
        let (sealed, hash) = bytes.split_at(bytes.len() - HASH);
        // blake3's hashes are compared in constant time.
        let mut whole = *blake3::keyed_hash(&self.key.0, sealed).as_bytes();
        let wanted = blake3::Hash::from(whole);
        whole[..HASH].copy_from_slice(hash);
        if wanted != blake3::Hash::from(whole) {
            return Err(Refused::Stranger);
        }
        let number = |at: usize| first(&sealed[1 + 8 * at..]);
        let (from, start, count, token, theirs) =
            (Peer(number(0)), number(1), number(2), number(3), number(4));
        if from == self.own {
            return Err(if start == self.start {
                Refused::Old
            } else {
                Refused::SameName { start }
            });
        }
        let span = now / SPAN;
        if token != self.token(from, span) && token != self.token(from, span - 1) {
            let greeting = self.write(now, from, theirs, &[]);
            return Err(Refused::Unknown { greeting });
        }
        // What was taken under a token that is over can't come again: it need not be known any longer.
        self.peers.retain(|_, p| now - p.heard < 2 * SPAN);
        if !self.peers.contains_key(&from) && self.peers.len() >= PEERS {
            return Err(Refused::Full);
        }
        let fresh = Known {
            start,
            highest: 0,
            seen: 0,
            heard: now,
            token: theirs,
        };
        let known = self.peers.entry(from).or_insert(fresh);
        if start < known.start {
            return Err(Refused::Old);
        }
        if start > known.start {
            *known = Known {
                start,
                highest: 0,
                seen: 0,
                heard: now,
                token: theirs,
            };
        }
        if !known.take(count) {
            return Err(Refused::Old);
        }
        (known.heard, known.token) = (now, theirs);
        Ok(Opened {
            from,
            start,
            content: &sealed[HEAD..],
        })
    }

    /// Peers whose datagrams were opened lately.
    pub fn peers(&self) -> usize {
        self.peers.len()
    }
}

impl Known {
    /// Whether a number comes for the first time; one that is far behind the highest can't be told, and is not taken.
    fn take(&mut self, number: u64) -> bool {
        if number > self.highest {
            let ahead = number - self.highest;
            self.seen = if ahead < 64 {
                self.seen << ahead | 1
            } else {
                1
            };
            self.highest = number;
            return true;
        }
        let behind = self.highest - number;
        let bit = 1u64.checked_shl(behind.min(64) as u32).unwrap_or(0);
        let new = bit != 0 && number > 0 && self.seen & bit == 0;
        self.seen |= if new { bit } else { 0 };
        new
    }
}
