//! The membership of one director: SWIM, by `foca`, over sealed datagrams.
//!
//! A state machine without I/O: inputs come with the time; outputs and the next timeout are polled. A director that
//! is declared down while it runs comes back under a higher incarnation by itself, so a long pause costs one round.
//! Of two processes under one name the one with the higher incarnation is the member; the other is told by
//! [`Output::NameConflict`] and has to end.

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

/// A datagram that a peer refused for want of a token is sent again with its greeting, if that comes within this.
const RESEND_WINDOW: TimeDelta = TimeDelta::from_secs(1);
/// How often seeds are asked while no member is known.
const SEED_RETRY_INTERVAL: TimeDelta = TimeDelta::from_secs(2);
/// How often members that are believed down are greeted, two at a time: the halves of a fleet that was cut find each
/// other by it, and it costs less than a datagram a second while any is down.
const DOWN_MEMBER_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// What the caller is to do, or has to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// A datagram is to be sent.
    Send {
        /// The receiver.
        to: SocketAddr,
        /// The sealed datagram.
        bytes: Vec<u8>,
    },
    /// A member is in the fleet.
    MemberUp(Member),
    /// A member has left, or is believed down.
    MemberDown(Member),
    /// Another process runs under this one's name. The one with the lower incarnation has to end.
    NameConflict {
        /// The other's incarnation.
        incarnation: u64,
    },
}

/// A director that is asked for the fleet at the start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// Its name in the fleet.
    pub name: String,
    /// Where it takes datagrams.
    pub address: SocketAddr,
}

/// What a director begins with.
pub struct MembershipConfig {
    /// This director.
    pub own: Member,
    /// The fleet's key.
    pub key: FleetKey,
    /// Random bytes, drawn anew at each start.
    pub secret: [u8; 32],
    /// Directors that the settings name: the pace of suspicion and gossip follows from their number.
    pub expected_members: NonZeroU32,
    /// May hold this director itself.
    pub seeds: Vec<Seed>,
}

/// A datagram as it was before it was sealed.
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
    /// The last datagram to each peer, for as long as it may have to be sent again.
    last_sent: BTreeMap<PeerId, SentDatagram>,
    outputs: VecDeque<Output>,
}

impl Membership {
    /// Begins, and asks the seeds.
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

    /// Members that are believed alive, without this one.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.foca.iter_members().map(|member| member.id())
    }

    /// This director's incarnation, higher than at the start if it was declared down meanwhile.
    pub fn incarnation(&self) -> u64 {
        self.foca.identity().incarnation
    }

    /// What is to be done next, until there is nothing more.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// When to call [`Membership::handle_timeout`].
    pub fn poll_timeout(&self) -> Option<Timestamp> {
        let timer = self.timers.next_due();
        let seed_retry = self.needs_seeds().then_some(self.next_seed_retry);
        timer.into_iter().chain(seed_retry).min()
    }

    /// A datagram has come.
    pub fn handle_datagram(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]) {
        match self.sealer.open(now, bytes) {
            Ok(opened) => self.handle_opened(now, &opened),
            Err(OpenError::InvalidToken { greeting }) => self.outputs.push_back(Output::Send {
                to: from,
                bytes: greeting,
            }),
            Err(OpenError::NameConflict { incarnation }) => {
                self.outputs.push_back(Output::NameConflict { incarnation });
            }
            Err(OpenError::Decode(_) | OpenError::Replayed | OpenError::TooManyPeers) => {}
        }
    }

    fn handle_opened(&mut self, now: Timestamp, opened: &OpenedDatagram<'_>) {
        if opened.content.is_empty() {
            self.resend_after_greeting(now, opened.sender);
            return;
        }
        // A content that foca can't read changes nothing.
        let _ = self.foca.handle_data(opened.content, &mut self.runtime);
        self.drain_runtime(now);
    }

    /// A peer that refused a datagram has sent its token: what it refused is sent again.
    fn resend_after_greeting(&mut self, now: Timestamp, peer: PeerId) {
        let Some(sent) = self.last_sent.remove(&peer) else {
            return;
        };
        if now - sent.at <= RESEND_WINDOW {
            // It fitted into a datagram before.
            let _ = self.send(now, peer, sent.to, &sent.content);
        }
    }

    /// Does what is due.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        while let Some(timer) = self.timers.pop_due(now) {
            // An error is a timer that is of no use any more.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
            self.drain_runtime(now);
        }
        if self.needs_seeds() && now >= self.next_seed_retry {
            self.next_seed_retry = now + SEED_RETRY_INTERVAL;
            self.announce_to_seeds();
            self.drain_runtime(now);
        }
    }

    /// Whether no member is known, and seeds are to be asked.
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
            // An error is a message that does not fit; the seed is asked again later.
            let _ = self.foca.announce(member, &mut self.runtime);
        }
    }

    /// Leaves the fleet, and tells the others.
    pub fn leave(&mut self, now: Timestamp) {
        // An error is a member that has left before.
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.drain_runtime(now);
    }

    /// Carries out what foca has asked for.
    fn drain_runtime(&mut self, now: Timestamp) {
        while let Some((delay, timer)) = self.runtime.to_schedule() {
            let due = now + time_delta(delay);
            self.timers.set(due, timer);
        }
        while let Some((member, content)) = self.runtime.to_send() {
            let peer = PeerId::of_name(&member.name);
            // foca is configured to make no content that is too long.
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
        down.frequency = DOWN_MEMBER_RETRY_INTERVAL;
    }
    config
}

/// A length of time that is too long to be counted counts as half of the longest, so that it can be added to a time.
fn time_delta(duration: Duration) -> TimeDelta {
    let micros = i64::try_from(duration.as_micros()).unwrap_or(i64::MAX / 2);
    TimeDelta::from_micros(micros)
}
