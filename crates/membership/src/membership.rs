//! The membership state machine of one director: SWIM, implemented by `foca`, over sealed datagrams.
//!
//! It does no I/O: inputs are passed with the current time; outputs and the next timeout are polled. A director that
//! is declared down while it runs rejoins by itself under a higher incarnation, so a long pause of its process costs
//! one round of the protocol. Of two processes with the same name, the one with the higher incarnation is the member;
//! the other receives [`Output::NameConflict`] and has to exit.

use crate::datagram::MAX_CONTENT_BYTES;
use crate::keys::{FleetKey, PeerId};
use crate::member::Member;
use crate::sealer::{ContentTooLong, OpenError, OpenedDatagram, Sealer};
use foca::{
    AccumulatingRuntime, Config, Foca, NoCustomBroadcast, OwnedNotification, PostcardCodec, Timer,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use shalewall::{TimeDelta, Timestamp};
use shalewall_timers::Timers;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

/// A datagram rejected for a missing or expired token is resent if the peer's challenge arrives within this time.
const RESEND_WINDOW: TimeDelta = TimeDelta::from_secs(1);
/// Interval at which the seeds are contacted while no member is known.
const SEED_RETRY_INTERVAL: TimeDelta = TimeDelta::from_secs(2);
/// Interval at which members that are considered down are contacted, two at a time. This reunites the halves of a
/// fleet after a network partition, at the cost of less than one datagram per second while any member is down.
const DOWN_MEMBER_ANNOUNCE_INTERVAL: Duration = Duration::from_secs(5);

/// A request or a notification for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// The receiver.
        to: SocketAddr,
        /// The sealed datagram.
        bytes: Vec<u8>,
    },
    /// A member has joined the fleet.
    MemberUp(Member),
    /// A member has left, or is considered down.
    MemberDown(Member),
    /// Another process uses this one's name. The one with the lower incarnation has to exit.
    NameConflict {
        /// The incarnation of the other process.
        incarnation: u64,
    },
}

/// A director that is contacted to join the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// Its name in the fleet.
    pub name: String,
    /// Address at which it receives datagrams.
    pub address: SocketAddr,
}

/// Initial configuration of a membership.
pub struct MembershipConfig {
    /// This director.
    pub own: Member,
    /// The fleet's key.
    pub key: FleetKey,
    /// Random bytes, different at each start.
    pub secret: [u8; 32],
    /// Number of directors in the settings, from which the intervals of failure detection and gossip are derived.
    pub expected_members: NonZeroU32,
    /// Directors to contact; may contain this director itself.
    pub seeds: Vec<Seed>,
}

/// A sent datagram before it was sealed, to be resent after a challenge.
struct SentDatagram {
    at: Timestamp,
    to: SocketAddr,
    content: Vec<u8>,
}

/// One director's view of the fleet.
pub struct Membership {
    foca: Foca<Member, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Member>,
    sealer: Sealer,
    timers: Timers<Timer<Member>, Timestamp>,
    seeds: Vec<Seed>,
    next_seed_retry: Timestamp,
    /// The last datagram to each peer, kept for [`RESEND_WINDOW`].
    last_sent: BTreeMap<PeerId, SentDatagram>,
    outputs: VecDeque<Output>,
}

impl Membership {
    /// Creates the membership and contacts the seeds.
    pub fn new(config: MembershipConfig, now: Timestamp) -> Membership {
        let own = config.own;
        let sealer = Sealer::new(config.key, &own.name, own.incarnation, config.secret);
        let foca_config = foca_config(config.expected_members);
        let rng = ChaCha8Rng::from_seed(config.secret);
        let mut membership = Membership {
            foca: Foca::new(own, foca_config, rng, PostcardCodec),
            runtime: AccumulatingRuntime::new(),
            sealer,
            timers: Timers::default(),
            seeds: config.seeds,
            next_seed_retry: now,
            last_sent: BTreeMap::new(),
            outputs: VecDeque::new(),
        };
        membership.handle_timeout(now);
        membership
    }

    /// Members that are considered alive, without this one.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.foca.iter_members().map(|member| member.id())
    }

    /// This director's incarnation; higher than at the start if it was declared down in the meantime.
    pub fn incarnation(&self) -> u64 {
        self.foca.identity().incarnation
    }

    /// The next output; `None` if there are no more.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Time of the next call to [`Membership::handle_timeout`].
    pub fn poll_timeout(&self) -> Option<Timestamp> {
        let timer = self.timers.next_due();
        let seed_retry = self.needs_seeds().then_some(self.next_seed_retry);
        timer.into_iter().chain(seed_retry).min()
    }

    /// Handles a received datagram.
    pub fn handle_datagram(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]) {
        match self.sealer.open(now, bytes) {
            Ok(opened) => self.handle_opened(now, &opened),
            Err(OpenError::InvalidToken { challenge }) => self.outputs.push_back(Output::Send {
                to: from,
                bytes: challenge,
            }),
            Err(OpenError::NameConflict { incarnation }) => {
                self.outputs.push_back(Output::NameConflict { incarnation });
            }
            Err(OpenError::Decode(_) | OpenError::Replayed | OpenError::TooManyPeers) => {}
        }
    }

    fn handle_opened(&mut self, now: Timestamp, opened: &OpenedDatagram<'_>) {
        if opened.content.is_empty() {
            self.resend_after_challenge(now, opened.sender);
            return;
        }
        // Content that foca cannot decode is ignored.
        let _ = self.foca.handle_data(opened.content, &mut self.runtime);
        self.drain_runtime(now);
    }

    /// Resends the last datagram to a peer that rejected it and has sent a token in its challenge.
    fn resend_after_challenge(&mut self, now: Timestamp, peer: PeerId) {
        let Some(sent) = self.last_sent.remove(&peer) else {
            return;
        };
        if now - sent.at <= RESEND_WINDOW {
            // Cannot fail: the content fitted into a datagram before.
            let _ = self.send(now, peer, sent.to, &sent.content);
        }
    }

    /// Handles all timers that are due.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        while let Some(timer) = self.timers.pop_due(now) {
            // An error means that the timer is obsolete.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
            self.drain_runtime(now);
        }
        if self.needs_seeds() && now >= self.next_seed_retry {
            self.next_seed_retry = now + SEED_RETRY_INTERVAL;
            self.announce_to_seeds();
            self.drain_runtime(now);
        }
    }

    /// Whether the seeds have to be contacted, since no member is known.
    fn needs_seeds(&self) -> bool {
        !self.seeds.is_empty() && self.foca.num_members() == 0
    }

    fn announce_to_seeds(&mut self) {
        for seed in &self.seeds {
            if seed.name == self.foca.identity().name {
                continue;
            }
            let member = Member {
                name: seed.name.clone(),
                incarnation: 0,
                address: seed.address,
                zone: String::new(),
                region: String::new(),
            };
            // An error means that the message is too long; the seed is contacted again later.
            let _ = self.foca.announce(member, &mut self.runtime);
        }
    }

    /// Leaves the fleet and notifies the other members.
    pub fn leave(&mut self, now: Timestamp) {
        // An error means that the member has already left.
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.drain_runtime(now);
    }

    /// Processes foca's timers, messages and notifications.
    fn drain_runtime(&mut self, now: Timestamp) {
        while let Some((delay, timer)) = self.runtime.to_schedule() {
            let due = now + time_delta(delay);
            self.timers.set(due, timer);
        }
        while let Some((member, content)) = self.runtime.to_send() {
            let peer = PeerId::of_name(&member.name);
            // foca is configured not to produce longer content than a datagram can carry.
            if self.send(now, peer, member.address, &content).is_ok() {
                self.remember_sent(now, peer, member.address, content.to_vec());
            }
        }
        while let Some(notification) = self.runtime.to_notify() {
            match notification {
                OwnedNotification::MemberUp(member) => {
                    self.outputs.push_back(Output::MemberUp(member));
                }
                OwnedNotification::MemberDown(member) => {
                    self.outputs.push_back(Output::MemberDown(member));
                }
                _ => {}
            }
        }
    }

    fn send(
        &mut self,
        now: Timestamp,
        peer: PeerId,
        to: SocketAddr,
        content: &[u8],
    ) -> Result<(), ContentTooLong> {
        let bytes = self.sealer.seal(now, peer, content)?;
        self.outputs.push_back(Output::Send { to, bytes });
        Ok(())
    }

    fn remember_sent(&mut self, now: Timestamp, peer: PeerId, to: SocketAddr, content: Vec<u8>) {
        self.last_sent
            .retain(|_, sent| now - sent.at <= RESEND_WINDOW);
        let sent = SentDatagram {
            at: now,
            to,
            content,
        };
        self.last_sent.insert(peer, sent);
    }
}

fn foca_config(expected_members: NonZeroU32) -> Config {
    let mut config = Config::new_lan(expected_members);
    config.max_packet_size = NonZeroUsize::new(MAX_CONTENT_BYTES).unwrap_or(NonZeroUsize::MIN);
    if let Some(down) = &mut config.periodic_announce_to_down_members {
        down.frequency = DOWN_MEMBER_ANNOUNCE_INTERVAL;
    }
    config
}

/// Converts a duration. One that is out of range becomes half of the longest, so that it can be added to a timestamp.
fn time_delta(duration: Duration) -> TimeDelta {
    let micros = i64::try_from(duration.as_micros()).unwrap_or(i64::MAX / 2);
    TimeDelta::from_micros(micros)
}
