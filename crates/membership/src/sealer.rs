//! Seals the datagrams of one process and opens those of its peers. Datagrams of unknown senders or other fleets, and
//! replays, are rejected without effect.
//!
//! Every datagram ends with a keyed hash of all preceding bytes; the key is derived from the configured key and the
//! fleet's name. This authenticates the sender, but does not detect a replay of a recorded datagram. Timestamps cannot
//! detect it either, since clocks may jump. So each process issues a token to each peer, derived from its own secret
//! and the current period, and rejects datagrams without a valid token. While a token is valid, replays are detected by
//! sequence number. A datagram without a valid token is answered with a challenge that carries the token. The challenge
//! has no content, so it is never longer than the datagram that it answers, and it changes no state.

use crate::datagram::{self, DecodeError, Header, MAX_CONTENT_BYTES};
use crate::keys::{self, FleetKey, PeerId};
use crate::replay_window::ReplayWindow;
use shalewall::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// Length of the period in which a token is issued. It is accepted in the following period as well.
pub const TOKEN_PERIOD: TimeDelta = TimeDelta::from_secs(60);
/// Maximum number of peers on record, more than a fleet has. Only senders with the key can reach it.
pub const MAX_PEERS: usize = 2048;

/// An opened datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenedDatagram<'a> {
    /// Its sender.
    pub sender: PeerId,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// Its content; empty in a challenge.
    pub content: &'a [u8],
}

/// The content of a datagram is longer than [`MAX_CONTENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("datagram content has {bytes} bytes, but the maximum is {MAX_CONTENT_BYTES}")]
pub struct ContentTooLong {
    /// Length of the content.
    pub bytes: usize,
}

/// Why a datagram was rejected, without effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OpenError {
    /// It is not a valid datagram of this fleet.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// It was opened before, or its sender was replaced by a later process with the same name.
    #[error("datagram is a replay or its sender's incarnation is outdated")]
    Replayed,
    /// Another process uses this one's name.
    #[error("another process with incarnation {incarnation} uses this process's name")]
    NameConflict {
        /// The incarnation of the other process.
        incarnation: u64,
    },
    /// It does not carry a current token.
    #[error("datagram carries no valid token")]
    InvalidToken {
        /// The datagram with the token, to be sent back.
        challenge: Vec<u8>,
    },
    /// There are already [`MAX_PEERS`] peers on record.
    #[error("the maximum of {MAX_PEERS} peers is reached")]
    TooManyPeers,
}

/// The state of a peer.
struct Peer {
    incarnation: u64,
    replays: ReplayWindow,
    last_opened: Timestamp,
    /// The token that it has issued; datagrams to it must carry it.
    token: u64,
}

/// Seals and opens the datagrams of one process.
pub struct Sealer {
    key: FleetKey,
    own: PeerId,
    incarnation: u64,
    /// Secret from which the tokens are derived.
    secret: [u8; 32],
    last_sequence: u64,
    peers: BTreeMap<PeerId, Peer>,
}

impl Sealer {
    /// `incarnation` must increase with each start under this name, and `secret` must differ at each start.
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

    /// Seals a datagram to a peer.
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

    /// Opens a datagram. A rejected one does not change any peer's state.
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
            let challenge = self.encode(now, header.sender, header.sender_token, &[]);
            return Err(OpenError::InvalidToken { challenge });
        }
        self.accept_from_peer(&header, now)?;
        Ok(OpenedDatagram {
            sender: header.sender,
            incarnation: header.incarnation,
            content,
        })
    }

    /// The error for a datagram under this process's own name: its own, sent back, or that of another process.
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

    /// Records a peer's datagram, unless it is a replay.
    fn accept_from_peer(&mut self, header: &Header, now: Timestamp) -> Result<(), OpenError> {
        // Datagrams with an expired token are rejected anyway, so older sequence numbers need not be tracked.
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

    /// Number of peers with a recently opened datagram.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }
}

/// Index of the token period that contains a time.
fn token_period(now: Timestamp) -> i64 {
    now.as_micros() / TOKEN_PERIOD.as_micros()
}
