//! A randomized soak: processes of `shalewall direct` under faults that overlap in time, all drawn from one seed. The
//! oracle is the platform's rules, judged from what passed on the sockets.
//!
//! Each director and each node has a sequence of faults of its own, and so has the endpoint list service, so that any of
//! them meet at any time.

mod clients;
mod faults;
mod ledger;

use crate::director::Director;
use crate::journal::{HostEntry, HostList, Journal};
use crate::node::Node;
use crate::now;
use crate::recorder::{Recorder, rules};
use clients::Clients;
use faults::{DirectorFaults, Drains, NodeFaults, ServiceFaults};
use ledger::Ledger;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

pub use ledger::Findings;

/// Number of media nodes.
const NODES: u32 = 8;
/// The longest times that viewers wait: with a short one the platform kills a director soon after SIGTERM.
const LONGEST_WAITS_MS: [u64; 4] = [150, 400, 1_200, 3_000];
/// Pause between the requests of one connection.
const REQUEST_INTERVAL_MS: std::ops::Range<u64> = 60..400;
/// Time after the last request for answers, releases and ends of sessions.
const SETTLE_TIME: Duration = Duration::from_millis(4_500);

/// Size of a soak.
#[derive(Clone, Copy, Debug)]
pub struct SoakPlan {
    /// Seed of all draws.
    pub seed: u64,
    /// Number of director processes.
    pub directors: u32,
    /// Connections of viewers to each director.
    pub connections: u64,
    /// Time for which viewers send requests and faults begin.
    pub duration: Duration,
}

/// Result of a soak.
#[derive(Debug)]
pub struct SoakOutcome {
    /// Requests, and which of them were lost.
    pub findings: Findings,
    /// Violations of the six rules, and of further requirements.
    pub violations: Vec<String>,
    /// Directors that exited without a signal, or with a panic or a violation of a rule in their log.
    pub crashes: Vec<String>,
    /// The faults that were injected, in order, each with its time.
    pub timeline: Vec<String>,
}

impl SoakOutcome {
    /// Whether no rule was broken.
    pub fn holds(&self) -> bool {
        self.findings.lost.is_empty() && self.violations.is_empty() && self.crashes.is_empty()
    }
}

/// Faults that were injected, each with its time.
#[derive(Clone)]
struct Timeline {
    started_at: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Timeline {
    fn record(&self, what: impl Into<String>) {
        let at = self.started_at.elapsed().as_millis();
        if let Ok(mut lines) = self.lines.lock() {
            lines.push(format!("{at} ms {}", what.into()));
        }
    }
}

/// What all faults of a soak share.
struct World {
    plan: SoakPlan,
    longest_wait_ms: u64,
    ends_at: Instant,
    recorder: Recorder,
    ledger: Ledger,
    timeline: Timeline,
    journal: Journal,
    nodes: Vec<Arc<Node>>,
    /// The current entries of the endpoint list.
    hosts: Mutex<Vec<HostEntry>>,
    /// Time at which changes that the service has now count as notified if it was down before, microseconds.
    notified_from: Mutex<i64>,
    /// Time until which directors may not know of a drain, so that no further fault of the service begins.
    drain_notified_at: Mutex<i64>,
    crashes: Mutex<Vec<String>>,
}

impl World {
    fn start(plan: SoakPlan, rng: &mut ChaCha8Rng) -> io::Result<World> {
        let recorder = Recorder::default();
        let journal = Journal::start(recorder.clone(), plan.directors)?;
        let nodes = (1..=NODES).map(|id| Node::start(id, plan.seed, recorder.clone()));
        let nodes = nodes.collect::<io::Result<Vec<_>>>()?;
        let hosts = nodes.iter().map(|node| HostEntry {
            node: node.id,
            port: node.port,
            state: 0,
            cell: node.id as u16 - 1,
            started: 0,
        });
        let hosts = Mutex::new(hosts.collect());
        Ok(World {
            plan,
            longest_wait_ms: LONGEST_WAITS_MS[rng.random_range(0..LONGEST_WAITS_MS.len())],
            ends_at: Instant::now() + plan.duration,
            recorder,
            ledger: Ledger::default(),
            timeline: Timeline {
                started_at: Instant::now(),
                lines: Arc::default(),
            },
            journal,
            nodes,
            hosts,
            notified_from: Mutex::new(0),
            drain_notified_at: Mutex::new(0),
            crashes: Mutex::default(),
        })
    }

    /// The endpoint list with the number of its last change.
    fn known(&self) -> HostList {
        let hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        HostList {
            position: self.journal.position(),
            hosts: hosts.clone(),
        }
    }

    fn is_over(&self) -> bool {
        Instant::now() >= self.ends_at
    }
}

/// Runs a soak with processes of the program `binary`. Their settings and logs are written to `dir`.
pub fn run(binary: &Path, dir: &Path, plan: SoakPlan) -> io::Result<SoakOutcome> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let world = Arc::new(World::start(plan, &mut rng)?);
    world.recorder.lock().started_at = now();
    let longest_wait_ms = world.longest_wait_ms;
    world
        .timeline
        .record(format!("longest wait {longest_wait_ms} ms"));
    let (mut clients, mut faults, mut connections) = (Vec::new(), Vec::new(), Vec::new());
    let mut directors = Vec::new();
    for number in 0..plan.directors {
        let mut director = Director::new(binary, dir, number, world.recorder.clone())?;
        director.longest_wait_ms = longest_wait_ms;
        director.start(world.journal.port, &world.known(), plan.directors)?;
        directors.push(director);
    }
    for director in directors {
        let own = Clients::new(
            director.number,
            director.port,
            longest_wait_ms as i64,
            REQUEST_INTERVAL_MS,
            world.ledger.clone(),
            world.recorder.clone(),
        );
        connections.extend((0..plan.connections).map(|_| own.start(rng.random())));
        let own_faults = DirectorFaults::new(world.clone(), director, own.clone(), rng.random());
        faults.push(thread::spawn(move || own_faults.run()));
        clients.push(own);
    }
    let node_faults = NodeFaults::new(world.clone(), rng.random());
    let service_faults = ServiceFaults::new(world.clone(), rng.random());
    let drains = Drains::new(world.clone(), rng.random());
    let others = [
        thread::spawn(move || node_faults.run()),
        thread::spawn(move || service_faults.run()),
        thread::spawn(move || drains.run()),
    ];
    others.into_iter().for_each(|thread| drop(thread.join()));
    let directors: Vec<_> = faults.into_iter().filter_map(|f| f.join().ok()).collect();
    clients
        .iter()
        .for_each(|clients| clients.stop.store(true, Ordering::Relaxed));
    thread::sleep(SETTLE_TIME);
    let outcome = judge(&world, directors);
    clients
        .iter()
        .for_each(|clients| clients.close.store(true, Ordering::Relaxed));
    connections
        .into_iter()
        .for_each(|connection| drop(connection.join()));
    Ok(outcome)
}

fn judge(world: &World, mut directors: Vec<Director>) -> SoakOutcome {
    let standing: Vec<u64> = world
        .nodes
        .iter()
        .flat_map(|node| node.active_sessions())
        .collect();
    let findings = world.ledger.check(&world.recorder, &standing);
    let (verdict, mut violations) = world.recorder.audit(&rules());
    violations.extend(verdict.findings.iter().map(|finding| {
        format!(
            "{} at {} ms: {}",
            finding.rule.name(),
            (finding.time.as_micros() - world.recorder.lock().started_at) / 1000,
            finding.evidence
        )
    }));
    let mut crashes = world
        .crashes
        .lock()
        .map_or(Vec::new(), |lines| lines.clone());
    for director in &mut directors {
        let log = std::fs::read_to_string(director.log_path()).unwrap_or_default();
        if !director.is_running() {
            crashes.push(format!("director {} is not running", director.number));
        }
        if log.contains("rules violated") {
            crashes.push(format!("director {} counted violations", director.number));
        }
        if log.contains("panicked") {
            crashes.push(format!("director {} panicked", director.number));
        }
        director.kill();
    }
    SoakOutcome {
        findings,
        violations,
        crashes,
        timeline: world
            .timeline
            .lines
            .lock()
            .map_or(Vec::new(), |lines| lines.clone()),
    }
}
