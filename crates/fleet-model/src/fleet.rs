//! The fleet as it is: what links give, what nodes take, when they fall over.

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::Micros;

/// What all nodes share.
#[derive(Clone, Debug)]
pub struct Physics {
    /// True rates lie above or below the told ones by up to this part.
    pub rate_stray: f64,
    /// Usual time of a set-up.
    pub set_up: Micros,
    pub refresh: Micros,
    /// Load figures are wrong by up to this part.
    pub noise: f64,
    /// Set-ups are turned away while so much of the link is asked; 0: never.
    pub full_from: f64,
    pub warm_after: Micros,
    pub start_capacity: f64,
    pub overload_factor: f64,
    pub fall: Micros,
    /// Uplink of each rack, kB a second; empty: none.
    pub uplinks: Vec<f64>,
}

/// A node's machine.
#[derive(Clone, Debug)]
pub struct Machine {
    pub id: u64,
    pub zone: String,
    pub kind: String,
    pub cell: u64,
    pub weight: f64,
    pub places: f64,
    /// What its link gives, kB a second; not what the list says.
    pub link_kb: f64,
}

/// A session number and its attempt.
pub type Run = (u64, u32);

#[derive(Clone, Debug)]
pub struct Playing {
    pub director: u32,
    /// The viewer's key as its front has it, and its tenant.
    pub viewer: u64,
    pub tenant: Option<String>,
    pub class: String,
    pub title: String,
    pub rung: usize,
    /// Told rate, and the true one, kB a second.
    pub kb: f64,
    pub true_kb: f64,
}

/// How a node's process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    Runs,
    /// Stands still; what it holds it holds.
    Frozen,
    Down,
}

#[derive(Debug)]
pub struct Node {
    pub machine: Machine,
    pub process: Process,
    pub up: Micros,
    pub warm: bool,
    /// Pushed over: stays down.
    pub fell: bool,
    pub playing: BTreeMap<Run, Playing>,
    pub setting_up: usize,
    /// Told to end: a set-up that comes later does not begin.
    pub ended: BTreeSet<Run>,
    arrivals: VecDeque<Micros>,
    /// Part of the link that another program takes.
    pub neighbour: f64,
    /// Set-ups take so many times longer, and the link gives so many times less.
    pub slow: f64,
    figures: Figures,
    history: VecDeque<(Micros, Figures)>,
}

/// Asked over given of link and uplink, the share delivered, and streams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    pub link: f64,
    pub uplink: f64,
    pub delivered: f64,
    pub streams: usize,
}

/// What a node makes of a set-up that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It takes so long.
    Takes(Micros),
    /// No place, or the link is full: turned away, nothing ran.
    Full,
    /// Told to end before it came.
    Ended,
    /// Pushed over by it.
    Falls,
}

/// All nodes.
#[derive(Debug)]
pub struct Fleet {
    pub physics: Physics,
    pub nodes: BTreeMap<u64, Node>,
    /// All links give so many times less.
    pub slow_links: f64,
    dice: ChaCha8Rng,
}

impl Fleet {
    pub fn new(physics: Physics, seed: u64) -> Fleet {
        Fleet {
            physics,
            nodes: BTreeMap::new(),
            slow_links: 1.0,
            dice: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Brings a machine up: warm, or cold from now on.
    pub fn start(&mut self, machine: Machine, now: Micros, warm: bool) {
        let node = Node {
            process: Process::Runs,
            up: now,
            warm,
            fell: false,
            playing: BTreeMap::new(),
            setting_up: 0,
            ended: BTreeSet::new(),
            arrivals: VecDeque::new(),
            neighbour: 0.0,
            slow: 1.0,
            figures: Figures {
                delivered: 1.0,
                ..Figures::default()
            },
            history: VecDeque::new(),
            machine,
        };
        self.nodes.insert(node.machine.id, node);
    }

    /// The part of its capacity that a node has warmed to.
    pub fn warmed(&self, node: &Node, now: Micros) -> f64 {
        let p = &self.physics;
        if node.warm || p.warm_after <= 0 {
            return 1.0;
        }
        let age = ((now - node.up) as f64 / p.warm_after as f64).clamp(0.0, 1.0);
        p.start_capacity + (1.0 - p.start_capacity) * age
    }

    /// A set-up arrives.
    pub fn arrive(&mut self, id: u64, run: Run, now: Micros) -> Arrival {
        let Some(node) = self.nodes.get(&id) else {
            return Arrival::Full;
        };
        let warmed = self.warmed(node, now);
        let p = &self.physics;
        let cold = !node.warm && now - node.up < p.warm_after;
        let pace = node.machine.places / p.warm_after.max(1) as f64 * warmed;
        let most = p.overload_factor * pace * p.fall as f64 + 2.0;
        let figures = self.figures(id);
        let turned = p.full_from > 0.0 && figures.link >= p.full_from;
        let (set_up, fall) = (p.set_up as f64, p.fall);
        let time = set_up / warmed * (0.7 + 0.6 * self.dice.random::<f64>());
        let Some(node) = self.nodes.get_mut(&id) else {
            return Arrival::Full;
        };
        node.arrivals.push_back(now);
        while node.arrivals.front().is_some_and(|t| *t <= now - fall) {
            node.arrivals.pop_front();
        }
        if cold && node.arrivals.len() as f64 > most {
            (node.fell, node.process) = (true, Process::Down);
            return Arrival::Falls;
        }
        if node.ended.contains(&run) {
            return Arrival::Ended;
        }
        if turned || (node.playing.len() + node.setting_up) as f64 >= node.machine.places {
            return Arrival::Full;
        }
        node.setting_up += 1;
        Arrival::Takes((time * node.slow) as Micros)
    }

    /// A session arrives from another node. It may have been here before: whether it may come again is not told by
    /// its number.
    pub fn hand_in(&mut self, id: u64, run: Run, now: Micros) -> Arrival {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.ended.remove(&run);
        }
        self.arrive(id, run, now)
    }

    /// A set-up is over: it plays, unless it was told to end meanwhile. False: it does not.
    pub fn begin(&mut self, id: u64, run: Run, mut playing: Playing) -> bool {
        let stray = self.physics.rate_stray;
        playing.true_kb = playing.kb * (1.0 + stray * (2.0 * self.dice.random::<f64>() - 1.0));
        let Some(node) = self.nodes.get_mut(&id) else {
            return false;
        };
        node.setting_up = node.setting_up.saturating_sub(1);
        if node.process == Process::Down || node.ended.contains(&run) {
            return false;
        }
        node.playing.insert(run, playing);
        true
    }

    /// A set-up was given up before it was over.
    pub fn give_up(&mut self, id: u64) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.setting_up = node.setting_up.saturating_sub(1);
        }
    }

    /// Ends a session, now or when its set-up comes. True: it played.
    pub fn end(&mut self, id: u64, run: Run) -> bool {
        let Some(node) = self.nodes.get_mut(&id) else {
            return false;
        };
        node.ended.insert(run);
        node.playing.remove(&run).is_some()
    }

    pub fn set_rung(&mut self, id: u64, run: Run, rung: usize, kb: f64) -> bool {
        let Some(p) = self
            .nodes
            .get_mut(&id)
            .and_then(|n| n.playing.get_mut(&run))
        else {
            return false;
        };
        (p.true_kb, p.kb, p.rung) = (p.true_kb / p.kb.max(1e-9) * kb, kb, rung);
        true
    }

    fn given(&self, node: &Node) -> f64 {
        node.machine.link_kb * (1.0 - node.neighbour).max(0.01)
            / (self.slow_links * node.slow).max(0.01)
    }

    /// The figures of a node as they are now.
    pub fn figures(&self, id: u64) -> Figures {
        let Some(node) = self.nodes.get(&id) else {
            return Figures::default();
        };
        let asked = |n: &Node| n.playing.values().map(|p| p.true_kb).sum::<f64>();
        let link = asked(node) / self.given(node);
        let racks = self.physics.uplinks.len() as u64;
        let uplink = match node.machine.cell.checked_rem(racks) {
            None => 0.0,
            Some(rack) => {
                let same = self.nodes.values().filter(|n| n.process != Process::Down);
                let same = same.filter(|n| n.machine.cell % racks == rack);
                let passed: f64 = same.map(|n| asked(n).min(self.given(n))).sum();
                passed / self.physics.uplinks[rack as usize].max(1e-9)
            }
        };
        let cut = |x: f64| if x > 1.0 { 1.0 / x } else { 1.0 };
        let frozen = node.process != Process::Runs;
        let delivered = if frozen { 0.0 } else { cut(link) * cut(uplink) };
        Figures {
            link,
            uplink,
            delivered,
            streams: node.playing.len() + node.setting_up,
        }
    }

    /// Looks at all nodes, so that reports can be of their age. Call every 100 ms or so.
    pub fn sample(&mut self, now: Micros, keep: Micros) {
        let ids: Vec<u64> = self.nodes.keys().copied().collect();
        let noise = self.physics.noise;
        for id in ids {
            let seen = self.figures(id);
            let mut stray = || 1.0 + noise * (2.0 * self.dice.random::<f64>() - 1.0);
            let told = Figures {
                link: seen.link * stray(),
                uplink: seen.uplink * stray(),
                ..seen
            };
            let refresh = self.physics.refresh;
            let Some(node) = self.nodes.get_mut(&id) else {
                continue;
            };
            let due = node
                .history
                .back()
                .is_none_or(|(t, _)| now / refresh != t / refresh);
            if due {
                node.figures = told;
            }
            node.history.push_back((now, seen));
            while node.history.front().is_some_and(|(t, _)| *t < now - keep) {
                node.history.pop_front();
            }
        }
    }

    /// What a node reports of itself in answers: refreshed now and then, and noisy.
    pub fn told(&self, id: u64) -> Figures {
        self.nodes.get(&id).map(|n| n.figures).unwrap_or_default()
    }

    /// What was so long ago, for notes that come late.
    pub fn past(&self, id: u64, at: Micros) -> Option<Figures> {
        let history = &self.nodes.get(&id)?.history;
        history
            .iter()
            .rev()
            .find(|(t, _)| *t <= at)
            .map(|(_, f)| *f)
    }

    /// A number of this run's own, for what happens by chance.
    pub fn dice(&mut self) -> &mut impl Rng {
        &mut self.dice
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fleet() -> Fleet {
        let physics = Physics {
            rate_stray: 0.0,
            set_up: 50_000,
            refresh: 300_000,
            noise: 0.0,
            full_from: 0.0,
            warm_after: 10_000_000,
            start_capacity: 0.4,
            overload_factor: 2.0,
            fall: 2_000_000,
            uplinks: vec![1500.0],
        };
        let mut fleet = Fleet::new(physics, 1);
        for id in 0..2 {
            let machine = Machine {
                id,
                zone: String::new(),
                kind: String::new(),
                cell: id,
                weight: 1.0,
                places: 20.0,
                link_kb: 1000.0,
            };
            fleet.start(machine, 0, true);
        }
        fleet
    }

    fn play(fleet: &mut Fleet, id: u64, session: u64, kb: f64) {
        assert!(matches!(
            fleet.arrive(id, (session, 0), 0),
            Arrival::Takes(_)
        ));
        let (class, title) = (String::new(), String::new());
        assert!(fleet.begin(
            id,
            (session, 0),
            Playing {
                director: 0,
                viewer: 0,
                tenant: None,
                class,
                title,
                rung: 0,
                kb,
                true_kb: kb
            }
        ));
    }

    #[test]
    fn everyone_on_a_link_and_its_uplink_is_cut_alike() {
        let mut fleet = fleet();
        play(&mut fleet, 0, 1, 800.0);
        play(&mut fleet, 0, 2, 800.0);
        assert!((fleet.figures(0).delivered - 1.0 / 1.6).abs() < 1e-9);
        // The other node's 800 and this one's 1000 that pass are more than the uplink's 1500.
        play(&mut fleet, 1, 3, 800.0);
        assert!((fleet.figures(1).uplink - 1.2).abs() < 1e-9);
        assert!((fleet.figures(1).delivered - 1.0 / 1.2).abs() < 1e-9);
        assert!((fleet.figures(0).delivered - 1.0 / 1.6 / 1.2).abs() < 1e-9);
    }

    #[test]
    fn a_cold_node_falls_over_when_pushed_and_a_warm_one_does_not() {
        for warm in [true, false] {
            let mut fleet = fleet();
            let machine = fleet.nodes[&0].machine.clone();
            fleet.start(machine, 0, warm);
            // 20 places over 10 s at 0.4, twice that over 2 s: 3.2, and 2 for chance.
            let falls = (0..12).any(|s| fleet.arrive(0, (s, 0), 1000) == Arrival::Falls);
            assert_eq!(falls, !warm);
            assert_eq!(fleet.nodes[&0].process == Process::Down, !warm);
        }
    }

    #[test]
    fn an_end_that_comes_first_keeps_the_set_up_from_beginning() {
        let mut fleet = fleet();
        assert!(!fleet.end(0, (7, 0)));
        assert_eq!(fleet.arrive(0, (7, 0), 0), Arrival::Ended);
        assert!(matches!(fleet.arrive(0, (7, 1), 0), Arrival::Takes(_)));
    }
}
