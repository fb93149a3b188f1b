//! Media nodes and the links that they share: link bandwidth, admission of set-ups, and failure by overload.
//!
//! A node's link and its rack's uplink are shared by all sessions on them: when the demand exceeds the bandwidth, every
//! session gets the same fraction of its rate. A node that has just started accepts set-ups at a rate that grows while
//! it warms up; above a multiple of that rate it fails of overload and stays down.

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalewall::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Set-ups that a cold node tolerates above its overload limit, because random arrivals come in clusters.
const OVERLOAD_SLACK_SETUPS: f64 = 2.0;
/// Lower bound of a set-up's duration, as a factor of the usual set-up time.
const MIN_SETUP_TIME_FACTOR: f64 = 0.7;
/// Width of the uniform distribution of that factor above [`MIN_SETUP_TIME_FACTOR`].
const SETUP_TIME_FACTOR_RANGE: f64 = 0.6;
/// Smallest fraction of a link that a competing load leaves, and smallest slowdown that divides a link's bandwidth.
const MIN_LINK_FRACTION: f64 = 0.01;
/// Keeps a ratio finite when the divisor is 0.
const MIN_DIVISOR: f64 = 1e-9;

/// Parameters that all nodes share.
#[derive(Clone, Debug)]
pub struct FleetParameters {
    /// Largest relative deviation of a session's true rate from the rate in the ladder.
    pub rate_deviation: f64,
    /// Usual duration of a set-up.
    pub setup_time: TimeDelta,
    /// Interval at which load reports are refreshed.
    pub report_interval: TimeDelta,
    /// Largest relative error of load reports.
    pub report_noise: f64,
    /// Link utilization from which set-ups are rejected; 0 disables the check.
    pub rejection_threshold: f64,
    /// Time from a node's start until it has its full capacity.
    pub warm_up: TimeDelta,
    /// Fraction of its capacity that a node has when it starts.
    pub initial_capacity: f64,
    /// A cold node fails when set-ups arrive at more than this multiple of the rate that it can accept.
    pub overload_factor: f64,
    /// Window over which arriving set-ups are counted for `overload_factor`.
    pub overload_window: TimeDelta,
    /// Uplink bandwidth of each rack in kilobytes per second; empty if racks have no uplink limit.
    pub uplinks_kb_s: Vec<f64>,
}

/// The machine that a node runs on.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Number of the node.
    pub id: u64,
    /// Name of the zone.
    pub zone: String,
    /// Name of the machine kind.
    pub kind: String,
    /// Cell of the machine; its rack is the cell modulo the number of racks.
    pub cell: u64,
    /// Weight in the endpoint list.
    pub weight: f64,
    /// Maximum number of concurrent streams.
    pub stream_capacity: f64,
    /// Link bandwidth in kilobytes per second; the weight in the endpoint list may not match it.
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
    /// Director that set up the session.
    pub director: u32,
    /// Key of the viewer, as the director passed it.
    pub viewer: u64,
    /// Tenant of the viewer.
    pub tenant: Option<String>,
    /// Name of the class.
    pub class: String,
    /// Name of the title.
    pub title: String,
    /// Current rung.
    pub rung: usize,
    /// Rate of that rung in the ladder, kilobytes per second.
    pub rate_kb_s: f64,
    /// Actual rate of the stream, kilobytes per second.
    pub true_rate_kb_s: f64,
}

/// State of a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// Serves requests.
    Running,
    /// Suspended: answers nothing, but keeps its connections and sessions.
    Frozen,
    /// Not running.
    Down,
}

/// A node with its sessions and set-ups.
#[derive(Debug)]
pub struct Node {
    /// The machine that it runs on.
    pub machine: Machine,
    /// State of its process.
    pub process: ProcessState,
    /// When its process started.
    pub started_at: Timestamp,
    /// Whether it had its full capacity from its start.
    pub started_warm: bool,
    /// Whether its process failed because of overload; reset by the next start.
    pub overloaded: bool,
    /// Sessions that are playing.
    pub playing: BTreeMap<AttemptId, ActiveSession>,
    /// Number of set-ups in progress.
    pub setups_in_flight: usize,
    /// Attempts that were ended; a set-up of one of them that arrives later is cancelled.
    pub ended: BTreeSet<AttemptId>,
    /// Fraction of the link that other programs use.
    pub competing_load: f64,
    /// Factor by which set-ups take longer, and by which the link's bandwidth is reduced.
    pub slowdown: f64,
    arrivals: VecDeque<Timestamp>,
    reported: NodeLoad,
    history: VecDeque<(Timestamp, NodeLoad)>,
}

/// Load of a node at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeLoad {
    /// Utilization of its link: demand divided by bandwidth.
    pub link: f64,
    /// Utilization of its rack's uplink.
    pub uplink: f64,
    /// Fraction of their rates that its sessions receive.
    pub delivered: f64,
    /// Number of streams that are playing or being set up.
    pub streams: usize,
}

/// Decision of a node about a set-up that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetupDecision {
    /// Accepted; the set-up takes this time.
    Accepted(TimeDelta),
    /// Rejected without side effects: no stream is free, or the link is full.
    Rejected,
    /// The attempt was ended before its set-up arrived.
    Cancelled,
    /// The node fails of overload.
    Overloaded,
}

/// All nodes, their links, and the random number generator.
#[derive(Debug)]
pub struct Fleet {
    /// Parameters that all nodes share.
    pub parameters: FleetParameters,
    /// Nodes by number.
    pub nodes: BTreeMap<u64, Node>,
    /// Factor by which the bandwidth of all links is reduced.
    pub link_slowdown: f64,
    rng: ChaCha8Rng,
}

fn demand_kb_s(node: &Node) -> f64 {
    node.playing.values().map(|p| p.true_rate_kb_s).sum()
}

/// Fraction of the demand that a link of this utilization delivers.
fn delivered_fraction(utilization: f64) -> f64 {
    if utilization > 1.0 {
        1.0 / utilization
    } else {
        1.0
    }
}

impl Fleet {
    /// Creates a fleet without nodes. The same seed and calls produce the same results.
    pub fn new(parameters: FleetParameters, seed: u64) -> Fleet {
        Fleet {
            parameters,
            nodes: BTreeMap::new(),
            link_slowdown: 1.0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Starts a node's process. With `warm` it has its full capacity at once; otherwise it warms up from `now` on.
    pub fn start(&mut self, machine: Machine, now: Timestamp, warm: bool) {
        let node = Node {
            process: ProcessState::Running,
            started_at: now,
            started_warm: warm,
            overloaded: false,
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

    /// Fraction of its capacity that a node has at this point of its warm-up.
    pub fn capacity_fraction(&self, node: &Node, now: Timestamp) -> f64 {
        let parameters = &self.parameters;
        if node.started_warm || parameters.warm_up <= TimeDelta::ZERO {
            return 1.0;
        }
        let age = (now - node.started_at).as_micros() as f64;
        let progress = (age / parameters.warm_up.as_micros() as f64).clamp(0.0, 1.0);
        parameters.initial_capacity + (1.0 - parameters.initial_capacity) * progress
    }

    /// Number of set-ups within the overload window above which a cold node fails.
    fn overload_limit(&self, node: &Node, capacity_fraction: f64) -> f64 {
        let parameters = &self.parameters;
        let warm_up = parameters.warm_up.as_micros().max(1) as f64;
        let pace = node.machine.stream_capacity / warm_up * capacity_fraction;
        let window = parameters.overload_window.as_micros() as f64;
        parameters.overload_factor * pace * window + OVERLOAD_SLACK_SETUPS
    }

    /// Handles a set-up that arrives at a node.
    pub fn begin_setup(&mut self, id: u64, attempt: AttemptId, now: Timestamp) -> SetupDecision {
        let Some(node) = self.nodes.get(&id) else {
            return SetupDecision::Rejected;
        };
        let capacity_fraction = self.capacity_fraction(node, now);
        let parameters = &self.parameters;
        let is_cold = !node.started_warm && now - node.started_at < parameters.warm_up;
        let overload_limit = self.overload_limit(node, capacity_fraction);
        let threshold = parameters.rejection_threshold;
        let link_is_full = threshold > 0.0 && self.load(id).link >= threshold;
        let usual_time = parameters.setup_time.as_micros() as f64;
        let window = parameters.overload_window;
        let variation = MIN_SETUP_TIME_FACTOR + SETUP_TIME_FACTOR_RANGE * self.rng.random::<f64>();
        let setup_micros = usual_time / capacity_fraction * variation;
        let Some(node) = self.nodes.get_mut(&id) else {
            return SetupDecision::Rejected;
        };
        node.count_arrival(now, window);
        if is_cold && node.arrivals.len() as f64 > overload_limit {
            node.overloaded = true;
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

    /// Handles a session that migrates to a node. It may have played there before, so an earlier end of the attempt is
    /// ignored.
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

    /// Completes a set-up. Returns false if the attempt was ended meanwhile or the node is down; the session then does
    /// not play.
    pub fn complete_setup(
        &mut self,
        id: u64,
        attempt: AttemptId,
        mut session: ActiveSession,
    ) -> bool {
        let deviation = self.parameters.rate_deviation;
        let drawn = 2.0 * self.rng.random::<f64>() - 1.0;
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

    /// Removes a set-up that was abandoned before it completed.
    pub fn abandon_setup(&mut self, id: u64) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.setups_in_flight = node.setups_in_flight.saturating_sub(1);
        }
    }

    /// Ends a session, and cancels a set-up of the same attempt that arrives later. Returns whether the session was
    /// playing.
    pub fn end_session(&mut self, id: u64, attempt: AttemptId) -> bool {
        let Some(node) = self.nodes.get_mut(&id) else {
            return false;
        };
        node.ended.insert(attempt);
        node.playing.remove(&attempt).is_some()
    }

    /// Changes the rung of a session. Returns false if the session does not play at the node.
    pub fn set_rung(&mut self, id: u64, attempt: AttemptId, rung: usize, rate_kb_s: f64) -> bool {
        let node = self.nodes.get_mut(&id);
        let Some(session) = node.and_then(|node| node.playing.get_mut(&attempt)) else {
            return false;
        };
        let true_rate_ratio = session.true_rate_kb_s / session.rate_kb_s.max(MIN_DIVISOR);
        session.true_rate_kb_s = true_rate_ratio * rate_kb_s;
        session.rate_kb_s = rate_kb_s;
        session.rung = rung;
        true
    }

    /// Current bandwidth of a node's link, kilobytes per second.
    fn link_kb_s(&self, node: &Node) -> f64 {
        let left = (1.0 - node.competing_load).max(MIN_LINK_FRACTION);
        let slowdown = (self.link_slowdown * node.slowdown).max(MIN_LINK_FRACTION);
        node.machine.link_kb_s * left / slowdown
    }

    /// Utilization of the uplink of a node's rack; 0 if racks have no uplink limit.
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
            .map(|other| demand_kb_s(other).min(self.link_kb_s(other)))
            .sum();
        passed_kb_s / self.parameters.uplinks_kb_s[rack as usize].max(MIN_DIVISOR)
    }

    /// Current load of a node, without the noise of load reports.
    pub fn load(&self, id: u64) -> NodeLoad {
        let Some(node) = self.nodes.get(&id) else {
            return NodeLoad::default();
        };
        let link = demand_kb_s(node) / self.link_kb_s(node);
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

    /// Samples the load of all nodes for load reports and delayed notifications, and drops samples older than `keep`.
    /// To be called about every 100 ms.
    pub fn sample(&mut self, now: Timestamp, keep: TimeDelta) {
        let ids: Vec<u64> = self.nodes.keys().copied().collect();
        let noise = self.parameters.report_noise;
        let interval = self.parameters.report_interval;
        for id in ids {
            let load = self.load(id);
            let mut deviation = || 1.0 + noise * (2.0 * self.rng.random::<f64>() - 1.0);
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

    /// Load that a node reports in its responses: refreshed at the report interval, with noise.
    pub fn reported_load(&self, id: u64) -> NodeLoad {
        let node = self.nodes.get(&id);
        node.map(|node| node.reported).unwrap_or_default()
    }

    /// Latest load that was sampled at or before a time, for delayed notifications.
    pub fn load_at(&self, id: u64, at: Timestamp) -> Option<NodeLoad> {
        let history = &self.nodes.get(&id)?.history;
        let sample = history.iter().rev().find(|(time, _)| *time <= at);
        sample.map(|(_, load)| *load)
    }

    /// Random number generator of the fleet, for faults with random targets.
    pub fn rng(&mut self) -> &mut impl Rng {
        &mut self.rng
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
