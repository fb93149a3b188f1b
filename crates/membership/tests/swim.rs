//! Fleets in simulated time: datagrams take a millisecond, and a draw loses some.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalewall_membership::Micros;
use shalewall_membership::members::{Member, Members, Output, Start};
use shalewall_membership::seal::Key;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::num::NonZeroU32;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;

type Said = (usize, SocketAddr, Vec<u8>);

struct Fleet {
    now: Micros,
    all: BTreeMap<usize, Members>,
    /// Those that stand still: what comes for them waits.
    paused: BTreeSet<usize>,
    /// Datagrams between those below and those from here on are lost.
    cut: Option<usize>,
    /// Datagrams on their way.
    under_way: BTreeMap<(Micros, u64), Said>,
    said: u64,
    loss: f64,
    draws: ChaCha8Rng,
    /// Who was told to be down, by whom.
    downs: Vec<(usize, String)>,
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + n as u16))
}

fn begin(n: usize, number: u64, now: Micros, told: u32) -> Members {
    let own = Member {
        name: format!("n{n}"),
        start: number,
        address: address(n),
        zone: "z".into(),
        region: "r".into(),
    };
    let mut secret = [n as u8; 32];
    secret[0] = number as u8;
    // One of the three is dead.
    let seeds = [0, 1, 99].map(|n| (format!("n{n}"), address(n))).to_vec();
    let told = NonZeroU32::new(told).unwrap();
    Members::new(
        Start {
            own,
            key: Key::new(&[1; 32], "f"),
            secret,
            told,
            seeds,
        },
        now,
    )
}

impl Fleet {
    fn new(size: usize, loss: f64) -> Fleet {
        let all = (0..size)
            .map(|n| (n, begin(n, 1, 0, size as u32)))
            .collect();
        let (paused, under_way, draws) = (
            BTreeSet::new(),
            BTreeMap::new(),
            ChaCha8Rng::seed_from_u64(32),
        );
        let (cut, downs) = (None, Vec::new());
        let mut fleet = Fleet {
            now: 0,
            all,
            paused,
            cut,
            under_way,
            said: 0,
            loss,
            draws,
            downs,
        };
        (0..size).for_each(|n| fleet.collect(n));
        fleet
    }

    fn collect(&mut self, n: usize) {
        while let Some(output) = self.all.get_mut(&n).and_then(Members::poll_output) {
            match output {
                Output::Send { to, bytes } => {
                    self.said += 1;
                    let other = usize::from(to.port() - 7000);
                    let cut = self.cut.is_some_and(|at| (n < at) != (other < at));
                    if !cut && self.draws.random::<f64>() >= self.loss {
                        self.under_way
                            .insert((self.now + MS, self.said), (n, to, bytes));
                    }
                }
                Output::Down(member) => self.downs.push((n, member.name)),
                Output::Up(_) | Output::SameName { .. } => {}
            }
        }
    }

    fn pass(&mut self, span: Micros) {
        let until = self.now + span;
        loop {
            let timers = self.all.iter().filter(|(n, _)| !self.paused.contains(n));
            let timer = timers
                .filter_map(|(n, m)| Some((m.poll_timeout()?, *n)))
                .min();
            let word = self.under_way.keys().next().copied();
            let next = timer
                .map(|(at, _)| at)
                .into_iter()
                .chain(word.map(|(at, _)| at))
                .min();
            let Some(at) = next.filter(|at| *at <= until) else {
                break;
            };
            self.now = self.now.max(at);
            if let Some(key) = word.filter(|(w, _)| *w <= at) {
                let (from, to, bytes) = self.under_way.remove(&key).unwrap();
                let to = usize::from(to.port() - 7000);
                if self.paused.contains(&to) {
                    continue; // its socket's buffer is full of older ones
                }
                let Some(member) = self.all.get_mut(&to) else {
                    continue;
                };
                member.datagram(self.now, address(from), &bytes);
                self.collect(to);
            } else if let Some((_, n)) = timer {
                self.all.get_mut(&n).unwrap().timeout(self.now);
                self.collect(n);
            }
        }
        self.now = until;
    }

    fn knows(&self, n: usize) -> BTreeSet<String> {
        self.all[&n].alive().map(|m| m.name.clone()).collect()
    }

    fn all_know(&self, names: &[usize]) -> bool {
        names.iter().all(|n| {
            let others = names.iter().filter(|o| *o != n).map(|o| format!("n{o}"));
            self.knows(*n) == others.collect()
        })
    }

    fn until_all_know(&mut self, names: &[usize], most: Micros) -> Option<Micros> {
        let begun = self.now;
        while !self.all_know(names) {
            if self.now - begun >= most {
                return None;
            }
            self.pass(100 * MS);
        }
        Some(self.now - begun)
    }
}

#[test]
fn those_that_begin_at_once_find_each_other_by_three_seeds_one_of_them_dead() {
    for size in [3, 12, 40] {
        let mut fleet = Fleet::new(size, 0.0);
        let all: Vec<_> = (0..size).collect();
        let took = fleet.until_all_know(&all, 20 * S);
        assert!(
            took.is_some(),
            "{size}: {:?}",
            all.iter()
                .map(|n| fleet.knows(*n).len())
                .collect::<Vec<_>>()
        );
        assert!(fleet.downs.is_empty(), "{:?}", fleet.downs);
        // What it costs once all is quiet does not grow with the fleet.
        fleet.pass(30 * S);
        let (before, span) = (fleet.said, 20);
        fleet.pass(span * S);
        let each = (fleet.said - before) as f64 / span as f64 / size as f64;
        println!("{size} directors: {each:.1} datagrams a second each");
        assert!(each < 5.0, "{size}: {each}");
    }
}

#[test]
fn a_death_is_known_to_all_and_nobody_else_is_accused() {
    let mut fleet = Fleet::new(12, 0.05);
    let all: Vec<_> = (0..12).collect();
    assert!(fleet.until_all_know(&all, 30 * S).is_some());
    fleet.pass(30 * S);
    fleet.all.remove(&7);
    let rest: Vec<_> = (0..12).filter(|n| *n != 7).collect();
    assert!(fleet.until_all_know(&rest, 60 * S).is_some());
    assert!(
        fleet.downs.iter().all(|(_, name)| name == "n7"),
        "{:?}",
        fleet.downs
    );
}

#[test]
fn one_that_stood_still_comes_back_under_a_higher_start() {
    let mut fleet = Fleet::new(8, 0.0);
    let all: Vec<_> = (0..8).collect();
    assert!(fleet.until_all_know(&all, 20 * S).is_some());
    fleet.paused.insert(5);
    let rest: Vec<_> = (0..8).filter(|n| *n != 5).collect();
    assert!(fleet.until_all_know(&rest, 60 * S).is_some());
    fleet.paused.clear();
    assert!(
        fleet.until_all_know(&all, 90 * S).is_some(),
        "{:?}",
        all.iter().map(|n| fleet.knows(*n)).collect::<Vec<_>>()
    );
    assert!(fleet.all[&5].start() > 1);
}

#[test]
fn one_that_is_killed_and_back_under_its_name_is_the_member() {
    let mut fleet = Fleet::new(8, 0.0);
    let all: Vec<_> = (0..8).collect();
    assert!(fleet.until_all_know(&all, 20 * S).is_some());
    fleet.all.remove(&3);
    fleet.pass(100 * MS);
    fleet.all.insert(3, begin(3, 2, fleet.now, 8));
    fleet.collect(3);
    assert!(fleet.until_all_know(&all, 20 * S).is_some());
    for n in all.iter().filter(|n| **n != 3) {
        assert!(
            fleet.all[n].alive().any(|m| m.name == "n3" && m.start >= 2),
            "n{n}"
        );
    }
}

/// Half of the fleet cannot reach the other for 30 s. Each side goes on by itself; after it they find each other without a seed
/// being asked, and without a storm.
#[test]
fn two_halves_find_each_other_again_without_a_storm() {
    let mut fleet = Fleet::new(12, 0.0);
    let all: Vec<_> = (0..12).collect();
    assert!(fleet.until_all_know(&all, 20 * S).is_some());
    fleet.cut = Some(6);
    fleet.pass(30 * S);
    assert!(
        fleet.all_know(&all[..6]) && fleet.all_know(&all[6..]),
        "each side knows itself"
    );
    fleet.cut = None;
    let (begun, mut most) = (fleet.now, 0);
    while !fleet.all_know(&all) {
        let before = fleet.said;
        fleet.pass(S);
        most = most.max(fleet.said - before);
        assert!(
            fleet.now - begun < 240 * S,
            "{:?}",
            all.iter()
                .map(|n| fleet.knows(*n).len())
                .collect::<Vec<_>>()
        );
    }
    println!(
        "healed after {} s, {} datagrams a second and director at most",
        (fleet.now - begun) / S,
        most / 12
    );
    assert!(most / 12 <= 40, "{most} datagrams in a second");
}

/// Fleets of mixed versions have to understand each other: the first datagrams of a member, as the code of commit
/// 7a79dca wrote them, and what became of two seeds that answered.
#[test]
fn datagrams_are_byte_for_byte_as_they_were() {
    let mut member = begin(3, 2, 5 * S, 8);
    let mut digest = blake3::Hasher::new();
    let mut lengths = Vec::new();
    while let Some(output) = member.poll_output() {
        let Output::Send { to, bytes } = output else {
            panic!("{output:?}")
        };
        digest.update(&to.port().to_be_bytes());
        digest.update(&bytes);
        lengths.push(bytes.len());
    }
    assert_eq!(lengths, [87, 87, 88]);
    assert_eq!(
        digest.finalize().to_hex().as_str(),
        "497c797158fb7b04826b9c2317336b635a76eb5b90d1874f4a0eeba92d461e5f"
    );
    let mut fleet = Fleet::new(5, 0.1);
    let mut digest = blake3::Hasher::new();
    for _ in 0..400 {
        for (at, (from, to, bytes)) in &fleet.under_way {
            digest.update(format!("{} {} {from} {to}", at.0, at.1).as_bytes());
            digest.update(bytes);
        }
        fleet.pass(50 * MS);
    }
    assert_eq!(
        digest.finalize().to_hex().as_str(),
        "61adb517864a8e9896836d30710f4a930f0cb1d89141e90e0dc5ae8a59ad51bc"
    );
}
