//! The faults of a soak: each director, the nodes and the endpoint list service have a sequence of their own.

use super::World;
use super::clients::Clients;
use crate::director::Director;
use crate::journal::HostEntry;
use crate::node::NodeBehavior;
use crate::now;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use std::sync::atomic::Ordering;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The platform kills a director this long after SIGTERM, in addition to the longest time that viewers wait.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Time after SIGTERM during which new connections come, in milliseconds.
const LATE_CONNECTIONS_MS: std::ops::Range<u64> = 200..400;
/// A change counts as notified at the latest this long after the service could be reached again, microseconds.
const NOTIFIED_AFTER_FAILURE_US: i64 = 6_000_000;
/// Number of nodes that drain and have no other faults.
const DRAINED_NODES: usize = 2;
/// Time for which a node drains after all directors know of it, microseconds.
const DRAIN_TIME_US: i64 = 800_000;
/// Time in which the service delivers a change, microseconds.
const DELIVERY_TIME_US: i64 = 50_000;
/// Interval for checking a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The viewers' share of the descriptors, less their lasting connections.
const CROWD_SIZES: std::ops::Range<usize> = 20..75;

fn pause(rng: &mut ChaCha8Rng, range_ms: std::ops::Range<u64>) {
    thread::sleep(Duration::from_millis(rng.random_range(range_ms)));
}

// ---- directors -----------------------------------------------------------------------------------

/// Signals, kills and restarts of one director.
pub(super) struct DirectorFaults {
    world: Arc<World>,
    director: Director,
    clients: Arc<Clients>,
    rng: ChaCha8Rng,
}

impl DirectorFaults {
    pub(super) fn new(
        world: Arc<World>,
        director: Director,
        clients: Arc<Clients>,
        seed: u64,
    ) -> DirectorFaults {
        DirectorFaults {
            world,
            director,
            clients,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Injects faults until the soak is over; returns the running director.
    pub(super) fn run(mut self) -> Director {
        pause(&mut self.rng, 500..3_000);
        while !self.world.is_over() {
            match self.rng.random_range(0..10) {
                0..4 => self.shut_down(),
                4 => self.kill(),
                5..7 => self.suspend(),
                7..9 => self.reload(),
                _ => self.crowd(),
            }
            pause(&mut self.rng, 300..2_500);
        }
        self.director
    }

    fn record(&self, what: &str) {
        let number = self.director.number;
        self.world
            .timeline
            .record(format!("director {number}: {what}"));
    }

    /// SIGTERM, possibly several times and beside SIGHUP, and SIGKILL at the earliest time that the platform allows.
    fn shut_down(&mut self) {
        let signalled_at = Instant::now();
        self.record("SIGTERM");
        self.director.signal(Signal::TERM);
        pause(&mut self.rng, LATE_CONNECTIONS_MS);
        self.clients.may_connect.store(false, Ordering::Relaxed);
        if self.rng.random_range(0..3) == 0 {
            self.director.signal(Signal::HUP);
            self.director.signal(Signal::TERM);
        }
        let longest_wait = Duration::from_millis(self.world.longest_wait_ms);
        let ended = self
            .director
            .kill_after(signalled_at, longest_wait + KILL_DELAY);
        self.record(if ended {
            "ended"
        } else {
            "killed while it shut down"
        });
        self.world.ledger.stop(self.director.number);
        self.restart();
    }

    fn kill(&mut self) {
        self.record("SIGKILL");
        self.world.ledger.kill(self.director.number);
        self.director.kill();
        self.clients.may_connect.store(false, Ordering::Relaxed);
        pause(&mut self.rng, 50..400);
        self.restart();
    }

    fn restart(&mut self) {
        let known = self.world.known();
        let directors = self.world.plan.directors;
        if let Err(error) = self
            .director
            .start(self.world.journal.port, &known, directors)
            && let Ok(mut crashes) = self.world.crashes.lock()
        {
            crashes.push(error.to_string());
        }
        self.record("started");
        self.clients.incarnation.fetch_add(1, Ordering::Relaxed);
        self.clients.may_connect.store(true, Ordering::Relaxed);
    }

    /// The process does not run for a while.
    fn suspend(&mut self) {
        self.record("SIGSTOP");
        let from = now();
        self.director.signal(Signal::STOP);
        pause(&mut self.rng, 50..400);
        self.director.signal(Signal::CONT);
        self.world.ledger.pause(self.director.number, from);
    }

    /// New configurations in quick succession, which move the director to another address of the service.
    fn reload(&mut self) {
        self.record("SIGHUP");
        let directors = self.world.plan.directors;
        for _ in 0..self.rng.random_range(1..4) {
            let journal = &self.world.journal;
            let port = [journal.port, journal.other_port][self.rng.random_range(0..2)];
            let known = self.world.known();
            let _ = self.director.write_config(port, &known, directors);
            self.director.signal(Signal::HUP);
            pause(&mut self.rng, 10..200);
        }
    }

    fn crowd(&mut self) {
        let size = self.rng.random_range(CROWD_SIZES);
        self.record(&format!("crowd of {size}"));
        let clients = self.clients.clone();
        let crowd = thread::spawn(move || clients.crowd(size));
        if self.rng.random_range(0..2) == 0 {
            pause(&mut self.rng, 0..100);
            self.shut_down();
        }
        let _ = crowd.join();
    }
}

// ---- nodes ---------------------------------------------------------------------------------------

/// Faults of the media nodes, of which most stay healthy.
pub(super) struct NodeFaults {
    world: Arc<World>,
    rng: ChaCha8Rng,
}

/// Behaviors that a node shows for a while.
const BEHAVIORS: [NodeBehavior; 9] = [
    NodeBehavior::FailsSetUps,
    NodeBehavior::RejectsAll,
    NodeBehavior::Unresponsive,
    NodeBehavior::SendsMalformed,
    NodeBehavior::ResetsConnections,
    NodeBehavior::SendsPieces,
    NodeBehavior::SpoilsResponses,
    NodeBehavior::SpoilsResponses,
    NodeBehavior::ClosesEarly,
];

impl NodeFaults {
    pub(super) fn new(world: Arc<World>, seed: u64) -> NodeFaults {
        NodeFaults {
            world,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub(super) fn run(mut self) {
        pause(&mut self.rng, 300..800);
        while !self.world.is_over() {
            let index = self.rng.random_range(0..self.faulty_nodes());
            match self.rng.random_range(0..10) {
                0..7 => self.misbehave(index),
                7..9 => self.replace(index, NodeBehavior::Healthy),
                _ => self.replace(index, NodeBehavior::Vanished),
            }
            pause(&mut self.rng, 50..400);
        }
        for node in &self.world.nodes {
            node.set_behavior(NodeBehavior::Healthy);
        }
    }

    fn faulty_nodes(&self) -> usize {
        self.world.nodes.len() - DRAINED_NODES
    }

    fn record(&self, index: usize, what: &str) {
        self.world
            .timeline
            .record(format!("node {}: {what}", index + 1));
    }

    /// Two nodes misbehave at the same time.
    fn misbehave(&mut self, index: usize) {
        let other = (index + 1) % self.faulty_nodes();
        for index in [index, other] {
            let behavior = BEHAVIORS[self.rng.random_range(0..BEHAVIORS.len())];
            self.record(index, &format!("{behavior:?}"));
            self.world.nodes[index].set_behavior(behavior);
        }
        pause(&mut self.rng, 300..1_500);
        for index in [index, other] {
            self.world.nodes[index].set_behavior(NodeBehavior::Healthy);
        }
    }

    /// The node's process ends, possibly after its machine was silent for a while, and another one starts in its place.
    fn replace(&mut self, index: usize, before: NodeBehavior) {
        let node = self.world.nodes[index].clone();
        if before != NodeBehavior::Healthy {
            self.record(index, &format!("{before:?}"));
            node.set_behavior(before);
            pause(&mut self.rng, 500..1_500);
        }
        self.record(index, "killed");
        node.stop_process();
        pause(&mut self.rng, 100..800);
        node.set_behavior(NodeBehavior::Healthy);
        if let Ok(started_at) = node.start_process(false) {
            self.record(index, "started");
            let started = started_at as u64 / 1000;
            self.world
                .publish(index, Some(started_at), |entry| HostEntry {
                    started,
                    ..entry
                });
        }
    }
}

// ---- drains --------------------------------------------------------------------------------------

/// Drains of the nodes that have no other faults.
pub(super) struct Drains {
    world: Arc<World>,
    rng: ChaCha8Rng,
}

impl Drains {
    pub(super) fn new(world: Arc<World>, seed: u64) -> Drains {
        Drains {
            world,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub(super) fn run(mut self) {
        let first = self.world.nodes.len() - DRAINED_NODES;
        for index in (first..self.world.nodes.len()).cycle() {
            pause(&mut self.rng, 200..1_500);
            if self.world.is_over() {
                return;
            }
            self.world
                .timeline
                .record(format!("node {}: draining", index + 1));
            let notified_at = self
                .world
                .publish(index, None, |entry| HostEntry { state: 1, ..entry });
            // The return may be known earlier than the drain counts as notified.
            while now() < notified_at + DRAIN_TIME_US {
                thread::sleep(POLL_INTERVAL);
            }
            self.world
                .timeline
                .record(format!("node {}: ready", index + 1));
            self.world
                .publish(index, None, |entry| HostEntry { state: 0, ..entry });
        }
    }
}

impl World {
    /// Publishes a change of a node's entry; returns the time at which it counts as notified.
    fn publish(
        &self,
        index: usize,
        started_at: Option<i64>,
        change: impl Fn(HostEntry) -> HostEntry,
    ) -> i64 {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        hosts[index] = change(hosts[index]);
        let from = self.notified_from.lock();
        let from = *from.unwrap_or_else(PoisonError::into_inner);
        let notified_at = self
            .journal
            .publish_reachable(hosts[index], started_at, from);
        let until = self.drain_notified_at.lock();
        *until.unwrap_or_else(PoisonError::into_inner) = notified_at;
        notified_at
    }
}

// ---- the endpoint list service -------------------------------------------------------------------

/// Outages and silences of the endpoint list service.
pub(super) struct ServiceFaults {
    world: Arc<World>,
    rng: ChaCha8Rng,
}

impl ServiceFaults {
    pub(super) fn new(world: Arc<World>, seed: u64) -> ServiceFaults {
        ServiceFaults {
            world,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub(super) fn run(mut self) {
        pause(&mut self.rng, 500..2_000);
        while !self.world.is_over() {
            if self.rng.random_range(0..2) == 0 {
                self.silence();
            } else {
                self.outage();
            }
            pause(&mut self.rng, 500..3_000);
        }
    }

    /// Waits until every published change is notified. No change is published while the guard is held.
    fn wait_until_notified(&self) -> MutexGuard<'_, Vec<HostEntry>> {
        loop {
            let hosts = self
                .world
                .hosts
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let until = self.world.drain_notified_at.lock();
            if now() > *until.unwrap_or_else(PoisonError::into_inner) + DELIVERY_TIME_US {
                return hosts;
            }
            drop(hosts);
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn silence(&self) {
        let _hosts = self.wait_until_notified();
        self.world.timeline.record("service: silent");
        self.world.journal.silence();
    }

    fn outage(&mut self) {
        let length = Duration::from_millis(self.rng.random_range(200..3_000));
        let hosts = self.wait_until_notified();
        self.world
            .timeline
            .record(format!("service: down for {length:?}"));
        let reachable_at = now() + length.as_micros() as i64;
        if let Ok(mut from) = self.world.notified_from.lock() {
            *from = reachable_at + NOTIFIED_AFTER_FAILURE_US;
        }
        self.world.journal.set_outage(true);
        drop(hosts);
        thread::sleep(length);
        self.world.journal.set_outage(false);
    }
}
