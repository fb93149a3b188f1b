//! The membership of one director: SWIM, by `foca`, behind sealed datagrams. Inputs with `now`; outputs and the next time-out are
//! polled.
//!
//! A director that is declared down while it runs comes back under a higher start number by itself, so a long pause costs
//! one round. Of two processes under one name the one with the higher start number is the member; the other is told
//! ([`Output::SameName`]) and is to end.

use crate::Micros;
use crate::seal::{CONTENT, Key, Peer, Refused, Seals};
use foca::{
    AccumulatingRuntime, Config, Foca, Identity, NoCustomBroadcast, OwnedNotification,
    PostcardCodec, Timer,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use shalewall_timers::Timers;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

/// A datagram that a peer could not take is said again after its greeting, if that comes within this.
const AGAIN: Micros = 1_000_000;
/// Seeds are asked again after so long while nobody is known.
const SEEDS_AGAIN: Micros = 2_000_000;
/// Those who are believed down are greeted so often, two at a time: it is how the halves of a fleet that was cut find each
/// other, and costs less than a datagram a second while anyone is down.
const DOWN_AGAIN: Duration = Duration::from_secs(5);
/// Names, zones and regions are so long at most, in bytes: a member fits into a datagram several times.
pub const TEXT: usize = 64;

/// A director, as the others know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub name: String,
    /// Grows with each start.
    pub start: u64,
    pub address: SocketAddr,
    pub zone: String,
    pub region: String,
}

impl Identity for Member {
    type Addr = String;

    fn renew(&self) -> Option<Member> {
        Some(Member {
            start: self.start + 1,
            ..self.clone()
        })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Member) -> bool {
        (self.start, self.address) > (other.start, other.address)
    }
}

/// What is to be done, or has become known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    Up(Member),
    Down(Member),
    /// Another process runs under this one's name, with this start number; that it is higher says who is to end.
    SameName {
        start: u64,
    },
}

/// What a member is told at its start.
pub struct Start {
    pub own: Member,
    pub key: Key,
    /// Drawn anew at each start.
    pub secret: [u8; 32],
    /// How many directors the settings tell of: the pace of suspicion and gossip follows from it.
    pub told: NonZeroU32,
    /// By name and address.
    pub seeds: Vec<(String, SocketAddr)>,
}

pub struct Members {
    foca: Foca<Member, PostcardCodec, ChaCha8Rng, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Member>,
    seals: Seals,
    timers: Timers<Timer<Member>>,
    seeds: Vec<(String, SocketAddr)>,
    ask_seeds: Micros,
    /// The last datagram to each peer, until its greeting may not come any more.
    last: BTreeMap<Peer, (Micros, SocketAddr, Vec<u8>)>,
    outputs: VecDeque<Output>,
}

impl Members {
    pub fn new(start: Start, now: Micros) -> Members {
        let Start {
            own,
            key,
            secret,
            told,
            seeds,
        } = start;
        let fits = NonZeroUsize::new(CONTENT).unwrap_or(NonZeroUsize::MIN);
        let mut config = Config {
            max_packet_size: fits,
            ..Config::new_lan(told)
        };
        if let Some(down) = &mut config.periodic_announce_to_down_members {
            down.frequency = DOWN_AGAIN;
        }
        let seals = Seals::new(key, &own.name, own.start, secret);
        let rng = ChaCha8Rng::from_seed(secret);
        let foca = Foca::new(own, config, rng, PostcardCodec);
        let mut members = Members {
            foca,
            runtime: AccumulatingRuntime::new(),
            seals,
            timers: Timers::default(),
            seeds,
            ask_seeds: now,
            last: BTreeMap::new(),
            outputs: VecDeque::new(),
        };
        members.timeout(now);
        members
    }

    /// Those who are believed alive, without this one.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.foca.iter_members().map(|m| m.id())
    }

    /// A datagram has come. Whatever it holds, it can't do more than a member may.
    pub fn datagram(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) {
        match self.seals.open(now, bytes) {
            Ok(opened) if opened.content.is_empty() => {
                // It had to learn this one's token first: what it could not take then is said again.
                let (peer, said) = (opened.from, self.last.remove(&opened.from));
                if let Some((_, to, content)) = said.filter(|(at, _, _)| now - at <= AGAIN) {
                    self.say(now, peer, to, content, false);
                }
            }
            Ok(opened) => {
                // What can't be read changes nothing.
                let _ = self.foca.handle_data(opened.content, &mut self.runtime);
                self.carry_out(now);
            }
            Err(Refused::Unknown { greeting }) => self.outputs.push_back(Output::Send {
                to: from,
                bytes: greeting,
            }),
            Err(Refused::SameName { start }) => self.outputs.push_back(Output::SameName { start }),
            Err(Refused::Shape | Refused::Stranger | Refused::Old | Refused::Full) => {}
        }
    }

    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// When to call [`Members::timeout`].
    pub fn poll_timeout(&self) -> Option<Micros> {
        let seeds = self.alone().then_some(self.ask_seeds);
        self.timers.next().into_iter().chain(seeds).min()
    }

    fn alone(&self) -> bool {
        !self.seeds.is_empty() && self.foca.num_members() == 0
    }

    /// Rings what is due.
    pub fn timeout(&mut self, now: Micros) {
        while let Some(timer) = self.timers.pop(now) {
            // One that is of no use any more is an error there, and nothing here.
            let _ = self.foca.handle_timer(timer, &mut self.runtime);
            self.carry_out(now);
        }
        if self.alone() && now >= self.ask_seeds {
            self.ask_seeds = now + SEEDS_AGAIN;
            for (name, address) in self.seeds.clone() {
                if name != self.foca.identity().name {
                    let seed = Member {
                        name,
                        start: 0,
                        address,
                        zone: String::new(),
                        region: String::new(),
                    };
                    let _ = self.foca.announce(seed, &mut self.runtime);
                }
            }
            self.carry_out(now);
        }
    }

    /// Goes in an orderly way: the others are told.
    pub fn leave(&mut self, now: Micros) {
        let _ = self.foca.leave_cluster(&mut self.runtime);
        self.carry_out(now);
    }

    fn carry_out(&mut self, now: Micros) {
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.timers.set(now + micros(after), timer);
        }
        while let Some((to, content)) = self.runtime.to_send() {
            self.say(
                now,
                Peer::named(&to.name),
                to.address,
                content.to_vec(),
                true,
            );
        }
        while let Some(notification) = self.runtime.to_notify() {
            match notification {
                OwnedNotification::MemberUp(member) => self.outputs.push_back(Output::Up(member)),
                OwnedNotification::MemberDown(member) => {
                    self.outputs.push_back(Output::Down(member))
                }
                _ => {}
            }
        }
    }

    fn say(&mut self, now: Micros, peer: Peer, to: SocketAddr, content: Vec<u8>, keep: bool) {
        let Some(bytes) = self.seals.seal(now, peer, &content) else {
            return;
        };
        self.outputs.push_back(Output::Send { to, bytes });
        if keep {
            self.last.retain(|_, (at, _, _)| now - *at <= AGAIN);
            self.last.insert(peer, (now, to, content));
        }
    }

    /// This one's start number, higher than at the start if it was declared down meanwhile.
    pub fn start(&self) -> u64 {
        self.foca.identity().start
    }
}

fn micros(span: Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX / 2)
}
