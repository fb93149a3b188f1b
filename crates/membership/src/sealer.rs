//! Seals the datagrams of one process and opens those of its peers, so that strangers, other fleets and replays
//! change nothing.
//!
//! Every datagram ends with a keyed hash over all of it; the key is derived from the settings' key and the fleet's
//! name. That keeps strangers out, but not a datagram that was caught and is sent again, and time stamps can't tell,
//! since clocks may jump. So each process gives each peer a token that only it and the present period can have made,
//! and takes nothing without it. Within the life of a token a replay is known by its sequence number. A datagram
//! without a valid token is answered with a greeting, which tells the token, is no longer than any datagram, and
//! changes nothing.

use crate::datagram::{self, DecodeError, Header, MAX_CONTENT_BYTES};
use crate::keys::{self, FleetKey, PeerId};
use crate::replay_window::ReplayWindow;
use shalewall::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// How long a token is given out; it is taken for as long again.
pub const TOKEN_PERIOD: TimeDelta = TimeDelta::from_secs(60);
/// Peers that are known at once: more than a fleet has. Only who has the key can fill it.
pub const MAX_PEERS: usize = 2048;

/// A datagram that was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenedDatagram<'a> {
    /// Who sent it.
    pub sender: PeerId,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// Empty in a greeting.
    pub content: &'a [u8],
}

/// A content that is longer than [`MAX_CONTENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a content of {bytes} bytes does not fit into a datagram: {MAX_CONTENT_BYTES} at most")]
pub struct ContentTooLong {
    /// Its length.
    pub bytes: usize,
}

/// Why a datagram was not opened, and has changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OpenError {
    /// It is not one of this fleet's.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// Opened before, or of a process that a later one of the same name has replaced.
    #[error("a replay, or of a process that was replaced")]
    Replayed,
    /// Another process has this one's name.
    #[error("another process, of incarnation {incarnation}, has this one's name")]
    NameConflict {
        /// The other's incarnation.
        incarnation: u64,
    },
    /// Its sender does not know the present token.
    #[error("without a valid token")]
    InvalidToken {
        /// The datagram that tells the token, to be sent back.
        greeting: Vec<u8>,
    },
    /// There are [`MAX_PEERS`] others.
    #[error("too many peers")]
    TooManyPeers,
}

/// What is known of a peer.
struct Peer {
    incarnation: u64,
    replays: ReplayWindow,
    last_opened: Timestamp,
    /// The token that it wants to read on datagrams to it.
    token: u64,
}

/// Seals and opens the datagrams of one process.
pub struct Sealer {
    key: FleetKey,
    own: PeerId,
    incarnation: u64,
    /// What its tokens are made with.
    secret: [u8; 32],
    last_sequence: u64,
    peers: BTreeMap<PeerId, Peer>,
}

impl Sealer {
    /// `incarnation` grows with each start of this name; `secret` is drawn anew at each.
    pub fn new(key: FleetKey, name: &str, incarnation: u64, secret: [u8; 32]) -> Sealer {
        Sealer {
            key,
            own: PeerId::of_name(name),
            incarnation,
            secret,
            last_sequence: 0,
            peers: BTreeMap::new(),
        }
    }

    /// A datagram to a peer.
    pub fn seal(
        &mut self,
        now: Timestamp,
        to: PeerId,
        content: &[u8],
    ) -> Result<Vec<u8>, ContentTooLong> {
        if content.len() > MAX_CONTENT_BYTES {
            let bytes = content.len();
            return Err(ContentTooLong { bytes });
        }
        let receiver_token = self.peers.get(&to).map_or(0, |peer| peer.token);
        Ok(self.encode(now, to, receiver_token, content))
    }

    fn encode(
        &mut self,
        now: Timestamp,
        to: PeerId,
        receiver_token: u64,
        content: &[u8],
    ) -> Vec<u8> {
        self.last_sequence += 1;
        let header = Header {
            sender: self.own,
            incarnation: self.incarnation,
            sequence: self.last_sequence,
            receiver_token,
            sender_token: self.token(to, token_period(now)),
        };
        datagram::encode(&self.key, &header, content)
    }

    /// The token for a peer in a period; never 0.
    fn token(&self, peer: PeerId, period: i64) -> u64 {
        let bytes = [peer.as_u64().to_be_bytes(), period.to_be_bytes()].concat();
        let hash = blake3::keyed_hash(&self.secret, &bytes);
        keys::leading_number(hash.as_bytes()).max(1)
    }

    /// Opens a datagram. Only one that is opened changes anything.
    pub fn open<'a>(
        &mut self,
        now: Timestamp,
        datagram: &'a [u8],
    ) -> Result<OpenedDatagram<'a>, OpenError> {
        let (header, content) = datagram::decode(&self.key, datagram)?;
        if header.sender == self.own {
            return Err(self.own_name_error(header.incarnation));
        }
        if !self.is_token_valid(&header, now) {
            let greeting = self.encode(now, header.sender, header.sender_token, &[]);
            return Err(OpenError::InvalidToken { greeting });
        }
        self.accept_from_peer(&header, now)?;
        Ok(OpenedDatagram {
            sender: header.sender,
            incarnation: header.incarnation,
            content,
        })
    }

    /// A datagram under this process's own name is its own, sent back, or of another process.
    fn own_name_error(&self, incarnation: u64) -> OpenError {
        if incarnation == self.incarnation {
            OpenError::Replayed
        } else {
            OpenError::NameConflict { incarnation }
        }
    }

    fn is_token_valid(&self, header: &Header, now: Timestamp) -> bool {
        let period = token_period(now);
        [period, period - 1]
            .into_iter()
            .any(|period| header.receiver_token == self.token(header.sender, period))
    }

    /// Records a datagram of a peer, unless it is a replay.
    fn accept_from_peer(&mut self, header: &Header, now: Timestamp) -> Result<(), OpenError> {
        // A datagram under an expired token is refused for that, so its sequence number need not be known any longer.
        self.peers
            .retain(|_, peer| now - peer.last_opened < TOKEN_PERIOD * 2);
        if !self.peers.contains_key(&header.sender) && self.peers.len() >= MAX_PEERS {
            return Err(OpenError::TooManyPeers);
        }
        let new_peer = || Peer {
            incarnation: header.incarnation,
            replays: ReplayWindow::default(),
            last_opened: now,
            token: header.sender_token,
        };
        let peer = self.peers.entry(header.sender).or_insert_with(new_peer);
        if header.incarnation < peer.incarnation {
            return Err(OpenError::Replayed);
        }
        if header.incarnation > peer.incarnation {
            *peer = new_peer();
        }
        if !peer.replays.accept(header.sequence) {
            return Err(OpenError::Replayed);
        }
        peer.last_opened = now;
        peer.token = header.sender_token;
        Ok(())
    }

    /// How many peers' datagrams were opened lately.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }
}

/// The number of the period that a time is in.
fn token_period(now: Timestamp) -> i64 {
    now.as_micros() / TOKEN_PERIOD.as_micros()
}
