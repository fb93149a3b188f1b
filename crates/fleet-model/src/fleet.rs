//! Media nodes and the links that they share: what links give, which set-ups a node takes, when it falls over.
//!
//! A node's link and its rack's uplink are shared by all sessions on them: where more is asked than they give, every
//! session gets the same fraction of its rate. A node that has just started takes set-ups at a pace that grows with
//! its warm-up; pushed beyond a multiple of that pace it falls over and stays down.

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalewall::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Set-ups that a cold node bears beyond its limit, since arrivals are bunched by chance.
const OVERLOAD_SLACK: f64 = 2.0;
/// A set-up takes between this fraction of its usual time ...
const SHORTEST_SETUP: f64 = 0.7;
/// ... and this much more, drawn evenly.
const SETUP_SPREAD: f64 = 0.6;
/// Least fraction of a link that a competing load leaves.
const LEAST_LINK_LEFT: f64 = 0.01;
/// Keeps a ratio finite where nothing is given.
const SMALLEST_DIVISOR: f64 = 1e-9;

/// Parameters that all nodes share.
#[derive(Clone, Debug)]
pub struct FleetParameters {
    /// True rates lie above or below the ladder's by up to this fraction.
    pub rate_deviation: f64,
    /// Usual time of a set-up.
    pub setup_time: TimeDelta,
    /// Load reports are refreshed at this interval.
    pub report_interval: TimeDelta,
    /// Load reports are wrong by up to this fraction.
    pub report_noise: f64,
    /// Set-ups are rejected from this utilization of the link on; 0: never.
    pub rejection_threshold: f64,
    /// A node is warm this long after its start.
    pub warm_up: TimeDelta,
    /// Fraction of its capacity at which a node starts.
    pub initial_capacity: f64,
    /// A cold node falls over at this multiple of its pace ...
    pub overload_factor: f64,
    /// ... counted over this window.
    pub overload_window: TimeDelta,
    /// Uplink of each rack, kilobytes a second; empty: racks have none.
    pub uplinks_kb_s: Vec<f64>,
}

/// The machine that a node runs on.
#[derive(Clone, Debug)]
pub struct Machine {
    /// The node's number.
    pub id: u64,
    /// Its zone's name.
    pub zone: String,
    /// Its machine kind's name.
    pub kind: String,
    /// The cell that it stands in; its rack is this modulo the number of racks.
    pub cell: u64,
    /// Weight in the endpoint list.
    pub weight: f64,
    /// Streams that it runs at most.
    pub stream_capacity: f64,
    /// What its link gives, kilobytes a second; the endpoint list may say otherwise.
    pub link_kb_s: f64,
}

/// One attempt to set a session up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The session's number.
    pub session: u64,
    /// The attempt's number, from 0.
    pub attempt: u32,
}

/// A session that plays at a node.
#[derive(Clone, Debug)]
pub struct ActiveSession {
    /// The director that set it up.
    pub director: u32,
    /// The viewer's key as its director has it.
    pub viewer: u64,
    /// The viewer's tenant.
    pub tenant: Option<String>,
    /// Name of its class.
    pub class: String,
    /// Name of its title.
    pub title: String,
    /// The rung in force.
    pub rung: usize,
    /// Rate of that rung by the ladder, kilobytes a second.
    pub rate_kb_s: f64,
    /// Rate that it really asks, kilobytes a second.
    pub true_rate_kb_s: f64,
}

/// State of a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// It serves.
    Running,
    /// It stands still and keeps what it holds.
    Frozen,
    /// It is gone.
    Down,
}

/// A node and what it holds.
#[derive(Debug)]
pub struct Node {
    /// The machine that it runs on.
    pub machine: Machine,
    /// State of its process.
    pub process: ProcessState,
    /// When its process started.
    pub started_at: Timestamp,
    /// It was warm from its start on.
    pub started_warm: bool,
    /// It was pushed over, and stays down.
    pub fell_over: bool,
    /// Sessions that play.
    pub playing: BTreeMap<AttemptId, ActiveSession>,
    /// Set-ups under way.
    pub setups_in_flight: usize,
    /// Attempts that were told to end: a set-up that comes later does not begin.
    pub ended: BTreeSet<AttemptId>,
    /// Fraction of the link that another program takes.
    pub competing_load: f64,
    /// Set-ups take this many times longer, and the link gives this many times less.
    pub slowdown: f64,
    arrivals: VecDeque<Timestamp>,
    reported: NodeLoad,
    history: VecDeque<(Timestamp, NodeLoad)>,
}

/// Load of a node at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeLoad {
    /// Utilization of its link: asked over given.
    pub link: f64,
    /// Utilization of its rack's uplink.
    pub uplink: f64,
    /// Fraction of their rates that its sessions get.
    pub delivered: f64,
    /// Streams that play or are being set up.
    pub streams: usize,
}

/// What a node makes of a set-up that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetupDecision {
    /// It takes this long.
    Accepted(TimeDelta),
    /// No stream is free, or the link is full: nothing ran.
    Rejected,
    /// It was told to end before it came.
    Cancelled,
    /// The node falls over by it.
    Overloaded,
}

/// All nodes, their links, and the source of chance.
#[derive(Debug)]
pub struct Fleet {
    /// Parameters that all nodes share.
    pub parameters: FleetParameters,
    /// Nodes by number.
    pub nodes: BTreeMap<u64, Node>,
    /// All links give this many times less.
    pub link_slowdown: f64,
    random: ChaCha8Rng,
}

fn asked_kb_s(node: &Node) -> f64 {
    node.playing.values().map(|p| p.true_rate_kb_s).sum()
}

/// Fraction of what is asked that a link of this utilization delivers.
fn delivered_fraction(utilization: f64) -> f64 {
    if utilization > 1.0 {
        1.0 / utilization
    } else {
        1.0
    }
}

impl Fleet {
    /// A fleet without nodes. Equal seeds and calls give equal results.
    pub fn new(parameters: FleetParameters, seed: u64) -> Fleet {
        Fleet {
            parameters,
            nodes: BTreeMap::new(),
            link_slowdown: 1.0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Starts a node's process: warm, or cold from now on.
    pub fn start(&mut self, machine: Machine, now: Timestamp, warm: bool) {
        let node = Node {
            process: ProcessState::Running,
            started_at: now,
            started_warm: warm,
            fell_over: false,
            playing: BTreeMap::new(),
            setups_in_flight: 0,
            ended: BTreeSet::new(),
            competing_load: 0.0,
            slowdown: 1.0,
            arrivals: VecDeque::new(),
            reported: NodeLoad {
                delivered: 1.0,
                ..NodeLoad::default()
            },
            history: VecDeque::new(),
            machine,
        };
        self.nodes.insert(node.machine.id, node);
    }

    /// Fraction of its capacity that a node has warmed up to.
    pub fn warmed_fraction(&self, node: &Node, now: Timestamp) -> f64 {
        let parameters = &self.parameters;
        if node.started_warm || parameters.warm_up <= TimeDelta::ZERO {
            return 1.0;
        }
        let age = (now - node.started_at).as_micros() as f64;
        let progress = (age / parameters.warm_up.as_micros() as f64).clamp(0.0, 1.0);
        parameters.initial_capacity + (1.0 - parameters.initial_capacity) * progress
    }

    /// Set-ups within the overload window that a cold node bears.
    fn overload_limit(&self, node: &Node, warmed: f64) -> f64 {
        let parameters = &self.parameters;
        let warm_up = parameters.warm_up.as_micros().max(1) as f64;
        let pace = node.machine.stream_capacity / warm_up * warmed;
        let window = parameters.overload_window.as_micros() as f64;
        parameters.overload_factor * pace * window + OVERLOAD_SLACK
    }

    /// A set-up arrives at a node.
    pub fn begin_setup(&mut self, id: u64, attempt: AttemptId, now: Timestamp) -> SetupDecision {
        let Some(node) = self.nodes.get(&id) else {
            return SetupDecision::Rejected;
        };
        let warmed = self.warmed_fraction(node, now);
        let parameters = &self.parameters;
        let is_cold = !node.started_warm && now - node.started_at < parameters.warm_up;
        let overload_limit = self.overload_limit(node, warmed);
        let threshold = parameters.rejection_threshold;
        let link_is_full = threshold > 0.0 && self.load(id).link >= threshold;
        let usual_time = parameters.setup_time.as_micros() as f64;
        let window = parameters.overload_window;
        let variation = SHORTEST_SETUP + SETUP_SPREAD * self.random.random::<f64>();
        let setup_micros = usual_time / warmed * variation;
        let Some(node) = self.nodes.get_mut(&id) else {
            return SetupDecision::Rejected;
        };
        node.count_arrival(now, window);
        if is_cold && node.arrivals.len() as f64 > overload_limit {
            node.fell_over = true;
            node.process = ProcessState::Down;
            return SetupDecision::Overloaded;
        }
        if node.ended.contains(&attempt) {
            return SetupDecision::Cancelled;
        }
        if link_is_full || node.streams() as f64 >= node.machine.stream_capacity {
            return SetupDecision::Rejected;
        }
        node.setups_in_flight += 1;
        SetupDecision::Accepted(TimeDelta::from_micros(
            (setup_micros * node.slowdown) as i64,
        ))
    }

    /// A session arrives from another node. It may have played here before, so that an earlier end does not count.
    pub fn begin_migration(
        &mut self,
        id: u64,
        attempt: AttemptId,
        now: Timestamp,
    ) -> SetupDecision {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.ended.remove(&attempt);
        }
        self.begin_setup(id, attempt, now)
    }

    /// A set-up is over. False where it was told to end meanwhile, or the node is gone: it does not play.
    pub fn complete_setup(
        &mut self,
        id: u64,
        attempt: AttemptId,
        mut session: ActiveSession,
    ) -> bool {
        let deviation = self.parameters.rate_deviation;
        let drawn = 2.0 * self.random.random::<f64>() - 1.0;
        session.true_rate_kb_s = session.rate_kb_s * (1.0 + deviation * drawn);
        let Some(node) = self.nodes.get_mut(&id) else {
            return false;
        };
        node.setups_in_flight = node.setups_in_flight.saturating_sub(1);
        if node.process == ProcessState::Down || node.ended.contains(&attempt) {
            return false;
        }
        node.playing.insert(attempt, session);
        true
    }

    /// A set-up was given up before it was over.
    pub fn abandon_setup(&mut self, id: u64) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.setups_in_flight = node.setups_in_flight.saturating_sub(1);
        }
    }

    /// Ends a session, now or when its set-up comes. True if it played.
    pub fn end_session(&mut self, id: u64, attempt: AttemptId) -> bool {
        let Some(node) = self.nodes.get_mut(&id) else {
            return false;
        };
        node.ended.insert(attempt);
        node.playing.remove(&attempt).is_some()
    }

    /// Changes the rung of a session. False if it does not play there.
    pub fn set_rung(&mut self, id: u64, attempt: AttemptId, rung: usize, rate_kb_s: f64) -> bool {
        let node = self.nodes.get_mut(&id);
        let Some(session) = node.and_then(|node| node.playing.get_mut(&attempt)) else {
            return false;
        };
        let true_per_told = session.true_rate_kb_s / session.rate_kb_s.max(SMALLEST_DIVISOR);
        session.true_rate_kb_s = true_per_told * rate_kb_s;
        session.rate_kb_s = rate_kb_s;
        session.rung = rung;
        true
    }

    /// What a node's link gives now, kilobytes a second.
    fn link_kb_s(&self, node: &Node) -> f64 {
        let left = (1.0 - node.competing_load).max(LEAST_LINK_LEFT);
        let slowdown = (self.link_slowdown * node.slowdown).max(LEAST_LINK_LEFT);
        node.machine.link_kb_s * left / slowdown
    }

    /// Utilization of the uplink of a node's rack; 0 where racks have none.
    fn uplink_utilization(&self, node: &Node) -> f64 {
        let racks = self.parameters.uplinks_kb_s.len() as u64;
        let Some(rack) = node.machine.cell.checked_rem(racks) else {
            return 0.0;
        };
        let same_rack = |other: &&Node| other.machine.cell % racks == rack;
        let up = |other: &&Node| other.process != ProcessState::Down;
        let passed_kb_s: f64 = self
            .nodes
            .values()
            .filter(up)
            .filter(same_rack)
            .map(|other| asked_kb_s(other).min(self.link_kb_s(other)))
            .sum();
        passed_kb_s / self.parameters.uplinks_kb_s[rack as usize].max(SMALLEST_DIVISOR)
    }

    /// The true load of a node now.
    pub fn load(&self, id: u64) -> NodeLoad {
        let Some(node) = self.nodes.get(&id) else {
            return NodeLoad::default();
        };
        let link = asked_kb_s(node) / self.link_kb_s(node);
        let uplink = self.uplink_utilization(node);
        let delivered = match node.process {
            ProcessState::Running => delivered_fraction(link) * delivered_fraction(uplink),
            ProcessState::Frozen | ProcessState::Down => 0.0,
        };
        NodeLoad {
            link,
            uplink,
            delivered,
            streams: node.streams(),
        }
    }

    /// Samples all nodes, so that reports can be of their age; samples older than `keep` are dropped. To be called
    /// every 100 ms or so.
    pub fn sample(&mut self, now: Timestamp, keep: TimeDelta) {
        let ids: Vec<u64> = self.nodes.keys().copied().collect();
        let noise = self.parameters.report_noise;
        let interval = self.parameters.report_interval;
        for id in ids {
            let load = self.load(id);
            let mut deviation = || 1.0 + noise * (2.0 * self.random.random::<f64>() - 1.0);
            let reported = NodeLoad {
                link: load.link * deviation(),
                uplink: load.uplink * deviation(),
                ..load
            };
            if let Some(node) = self.nodes.get_mut(&id) {
                node.record(now, load, reported, interval);
                node.forget_before(now - keep);
            }
        }
    }

    /// What a node reports of itself in answers: refreshed now and then, and noisy.
    pub fn reported_load(&self, id: u64) -> NodeLoad {
        let node = self.nodes.get(&id);
        node.map(|node| node.reported).unwrap_or_default()
    }

    /// The last load sampled up to a time, for notifications that come late.
    pub fn load_at(&self, id: u64, at: Timestamp) -> Option<NodeLoad> {
        let history = &self.nodes.get(&id)?.history;
        let sample = history.iter().rev().find(|(time, _)| *time <= at);
        sample.map(|(_, load)| *load)
    }

    /// This fleet's source of chance, for faults that are drawn.
    pub fn random(&mut self) -> &mut impl Rng {
        &mut self.random
    }
}

impl Node {
    fn streams(&self) -> usize {
        self.playing.len() + self.setups_in_flight
    }

    fn count_arrival(&mut self, now: Timestamp, window: TimeDelta) {
        self.arrivals.push_back(now);
        while self.arrivals.front().is_some_and(|t| *t <= now - window) {
            self.arrivals.pop_front();
        }
    }

    fn record(&mut self, now: Timestamp, load: NodeLoad, reported: NodeLoad, interval: TimeDelta) {
        let step = |time: Timestamp| time.as_micros() / interval.as_micros();
        let last = self.history.back().map(|(time, _)| *time);
        if last.is_none_or(|last| step(now) != step(last)) {
            self.reported = reported;
        }
        self.history.push_back((now, load));
    }

    fn forget_before(&mut self, time: Timestamp) {
        while self.history.front().is_some_and(|(at, _)| *at < time) {
            self.history.pop_front();
        }
    }
}
