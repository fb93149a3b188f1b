//! A fleet in simulated time: datagrams take a millisecond, and a seeded random fraction of them is lost.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalewall::{TimeDelta, Timestamp};
use shalewall_membership::keys::FleetKey;
use shalewall_membership::member::Member;
use shalewall_membership::membership::{Membership, MembershipConfig, Output, Seed};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::num::NonZeroU32;

pub const MILLISECOND: TimeDelta = TimeDelta::from_millis(1);
pub const SECOND: TimeDelta = TimeDelta::from_secs(1);

const DATAGRAM_DELAY: TimeDelta = MILLISECOND;
/// Interval at which convergence is checked.
const CONVERGENCE_STEP: TimeDelta = TimeDelta::from_millis(100);
const FIRST_PORT: u16 = 7000;

pub struct InFlight {
    pub from: usize,
    pub to: SocketAddr,
    pub bytes: Vec<u8>,
}

/// Directors by number.
pub struct Fleet {
    pub now: Timestamp,
    pub directors: BTreeMap<usize, Membership>,
    /// Paused directors; datagrams to them are lost.
    pub paused: BTreeSet<usize>,
    /// Network partition: datagrams between directors below this number and the others are lost.
    pub partition: Option<usize>,
    /// Datagrams by time of arrival, then in the order in which they were sent.
    pub in_flight: BTreeMap<(Timestamp, u64), InFlight>,
    pub sent: u64,
    /// Fraction of datagrams that are lost.
    loss: f64,
    rng: ChaCha8Rng,
    /// Reports of members that are down: the reporting director, and the member's name.
    pub down_reports: Vec<(usize, String)>,
}

fn address(director: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + director as u16))
}

fn director_at(address: SocketAddr) -> usize {
    usize::from(address.port() - FIRST_PORT)
}

/// A starting director with three seeds, one of which never runs.
pub fn start_director(
    director: usize,
    incarnation: u64,
    now: Timestamp,
    expected_members: u32,
) -> Membership {
    let own = Member {
        name: format!("n{director}"),
        incarnation,
        address: address(director),
        zone: "z".into(),
        region: "r".into(),
    };
    let mut secret = [director as u8; 32];
    secret[0] = incarnation as u8;
    let seed = |director| Seed {
        name: format!("n{director}"),
        address: address(director),
    };
    let config = MembershipConfig {
        own,
        key: FleetKey::new(&[1; 32], "f"),
        secret,
        expected_members: NonZeroU32::new(expected_members).unwrap(),
        seeds: [0, 1, 99].map(seed).to_vec(),
    };
    Membership::new(config, now)
}

impl Fleet {
    /// A fleet whose directors start at the same time.
    pub fn new(size: usize, loss: f64) -> Fleet {
        let start = |director| {
            (
                director,
                start_director(director, 1, Timestamp::ZERO, size as u32),
            )
        };
        let mut fleet = Fleet {
            now: Timestamp::ZERO,
            directors: (0..size).map(start).collect(),
            paused: BTreeSet::new(),
            partition: None,
            in_flight: BTreeMap::new(),
            sent: 0,
            loss,
            rng: ChaCha8Rng::seed_from_u64(32),
            down_reports: Vec::new(),
        };
        (0..size).for_each(|director| fleet.collect_outputs(director));
        fleet
    }

    pub fn collect_outputs(&mut self, director: usize) {
        while let Some(output) = self
            .directors
            .get_mut(&director)
            .and_then(Membership::poll_output)
        {
            match output {
                Output::Send { to, bytes } => self.transmit(director, to, bytes),
                Output::MemberDown(member) => self.down_reports.push((director, member.name)),
                Output::MemberUp(_) | Output::NameConflict { .. } => {}
            }
        }
    }

    fn transmit(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        self.sent += 1;
        let is_partitioned = self
            .partition
            .is_some_and(|partition| (from < partition) != (director_at(to) < partition));
        if !is_partitioned && self.rng.random::<f64>() >= self.loss {
            let arrival = (self.now + DATAGRAM_DELAY, self.sent);
            self.in_flight.insert(arrival, InFlight { from, to, bytes });
        }
    }

    /// Advances the simulated time.
    pub fn advance(&mut self, span: TimeDelta) {
        let until = self.now + span;
        loop {
            let timer = self.next_timer();
            let arrival = self.in_flight.keys().next().copied();
            let timer_time = timer.map(|(time, _)| time);
            let arrival_time = arrival.map(|(time, _)| time);
            let next = timer_time.into_iter().chain(arrival_time).min();
            let Some(time) = next.filter(|time| *time <= until) else {
                break;
            };
            self.now = self.now.max(time);
            // Datagrams are handled before timers that are due at the same time.
            if let Some(key) = arrival.filter(|(arrival, _)| *arrival <= time) {
                self.deliver(key);
            } else if let Some((_, director)) = timer {
                let membership = self.directors.get_mut(&director).unwrap();
                membership.handle_timeout(self.now);
                self.collect_outputs(director);
            }
        }
        self.now = until;
    }

    fn next_timer(&self) -> Option<(Timestamp, usize)> {
        let running = self
            .directors
            .iter()
            .filter(|(director, _)| !self.paused.contains(director));
        running
            .filter_map(|(director, membership)| Some((membership.poll_timeout()?, *director)))
            .min()
    }

    fn deliver(&mut self, key: (Timestamp, u64)) {
        let InFlight { from, to, bytes } = self.in_flight.remove(&key).unwrap();
        let to = director_at(to);
        if self.paused.contains(&to) {
            return; // Its socket buffer is full.
        }
        if let Some(membership) = self.directors.get_mut(&to) {
            membership.handle_datagram(self.now, address(from), &bytes);
            self.collect_outputs(to);
        }
    }

    pub fn known_by(&self, director: usize) -> BTreeSet<String> {
        let members = self.directors[&director].members();
        members.map(|member| member.name.clone()).collect()
    }

    /// Number of members that each of these directors knows.
    pub fn known_counts(&self, directors: &[usize]) -> Vec<usize> {
        directors.iter().map(|n| self.known_by(*n).len()).collect()
    }

    /// Whether each of these directors knows exactly the others.
    pub fn all_know_each_other(&self, directors: &[usize]) -> bool {
        directors.iter().all(|director| {
            let others = directors.iter().filter(|other| *other != director);
            self.known_by(*director) == others.map(|other| format!("n{other}")).collect()
        })
    }

    /// Advances the time until these directors know each other, and returns how long that took; `None` if it took
    /// longer than the limit.
    pub fn converge(&mut self, directors: &[usize], limit: TimeDelta) -> Option<TimeDelta> {
        let begun = self.now;
        while !self.all_know_each_other(directors) {
            if self.now - begun >= limit {
                return None;
            }
            self.advance(CONVERGENCE_STEP);
        }
        Some(self.now - begun)
    }
}
