//! Injection of a day's faults into emulated nodes, endpoint list and viewers, and into the directors' processes.

use crate::director_processes::DirectorProcesses;
use crate::emulation::Emulation;
use async_io::Timer;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalewall_fleet_model::population::Interest;
use shalewall_settings::{Fault, FaultKind};
use std::rc::Rc;
use std::time::Duration;

/// Time after which the sockets of a crashed node are closed and its address can be bound again.
const SOCKET_CLOSE_TIME: Duration = Duration::from_millis(100);
/// Number of steps in which an ageing node gets slower.
const AGEING_STEPS: i32 = 10;
/// Fraction of the intervals in which a noisy neighbour uses its share of the link.
const NEIGHBOUR_ACTIVE_FRACTION: f64 = 0.7;
/// Difference between the number of a replacement machine and the number of the machine that it replaces.
const REPLACEMENT_OFFSET: u64 = 1000;

/// Seed of a fault's random numbers, derived from the day's seed and the fault's name.
pub fn seed(day_seed: u64, name: &str) -> u64 {
    name.bytes().fold(day_seed, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(u64::from(byte))
    })
}

/// Waits for the start of a fault, injects it, and returns after its end.
pub async fn inject(
    emulation: Rc<Emulation>,
    directors: Rc<DirectorProcesses>,
    fault: Fault,
    seed: u64,
) {
    Timer::after(seconds(fault.start_s)).await;
    let injection = Injection {
        emulation,
        directors,
        fault,
        rng: ChaCha8Rng::seed_from_u64(seed),
    };
    injection.run().await;
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0))
}

/// A fault in progress.
struct Injection {
    emulation: Rc<Emulation>,
    directors: Rc<DirectorProcesses>,
    fault: Fault,
    rng: ChaCha8Rng,
}

impl Injection {
    async fn run(mut self) {
        match self.fault.kind {
            FaultKind::Crash => {
                let nodes = self.choose_nodes();
                self.crash_and_restart(&nodes, self.fault.duration_s).await;
            }
            FaultKind::Vanish => self.isolate_nodes().await,
            FaultKind::Hang => self.freeze_nodes().await,
            FaultKind::Neighbour => self.load_links().await,
            FaultKind::SharedSlow => self.slow_all_links().await,
            FaultKind::Ageing => self.degrade_nodes().await,
            FaultKind::Preempt => self.preempt_nodes().await,
            FaultKind::ZoneLoss => self.lose_zone().await,
            FaultKind::ListOut => self.interrupt_list().await,
            FaultKind::Burst => self.increase_arrivals().await,
            FaultKind::TenantBurst => self.increase_tenant_arrivals().await,
            FaultKind::HotTitle | FaultKind::ClassFlood => self.add_viewers().await,
            FaultKind::DirectorKill => self.kill_directors().await,
            FaultKind::DirectorStall => self.stall_directors().await,
        }
    }

    async fn wait_for_end(&self) {
        Timer::after(seconds(self.fault.duration_s)).await;
    }

    /// Chooses the nodes that the fault affects.
    fn choose_nodes(&mut self) -> Vec<u64> {
        let running = self.emulation.nodes.running();
        self.choose(running)
    }

    /// Chooses the directors that the fault affects.
    fn choose_directors(&mut self) -> Vec<u32> {
        let numbers = self.directors.numbers(None);
        self.choose(numbers)
    }

    /// Chooses the fault's explicit targets, or else a random fraction of all candidates, at least one.
    fn choose<T: Copy + Into<u64>>(&mut self, mut all: Vec<T>) -> Vec<T> {
        if let Some(targets) = &self.fault.targets {
            all.retain(|one| targets.contains(&(*one).into()));
            return all;
        }
        let wanted = (self.fault.fraction * all.len() as f64).round() as usize;
        all.shuffle(&mut self.rng);
        all.truncate(wanted.max(1));
        all
    }

    async fn isolate_nodes(&mut self) {
        let nodes = self.choose_nodes();
        let emulation = &self.emulation;
        nodes.iter().for_each(|id| emulation.nodes.freeze(*id));
        // The nodes become unreachable without closing their connections; the list reports it with its delay, and they
        // come back as new processes.
        nodes.iter().for_each(|id| emulation.announce(*id, "gone"));
        self.wait_for_end().await;
        nodes.iter().for_each(|id| emulation.nodes.crash(*id));
        Timer::after(SOCKET_CLOSE_TIME).await;
        nodes.iter().for_each(|id| restart(emulation, *id));
    }

    async fn freeze_nodes(&mut self) {
        let nodes = self.choose_nodes();
        let emulation = &self.emulation;
        nodes.iter().for_each(|id| emulation.nodes.freeze(*id));
        self.wait_for_end().await;
        nodes.iter().for_each(|id| emulation.nodes.resume(*id));
    }

    /// Puts an intermittent competing load on the nodes' links.
    async fn load_links(&mut self) {
        let nodes = self.choose_nodes();
        let mut left_s = self.fault.duration_s;
        while left_s > 0.0 {
            let interval_s = (0.5 + 1.5 * self.rng.random::<f64>()).min(left_s);
            let is_active = self.rng.random::<f64>() < NEIGHBOUR_ACTIVE_FRACTION;
            let competing_load = if is_active { self.fault.size } else { 0.0 };
            self.emulation.nodes.modify_fleet(|fleet| {
                for id in &nodes {
                    if let Some(node) = fleet.nodes.get_mut(id) {
                        node.competing_load = competing_load;
                    }
                }
            });
            Timer::after(seconds(interval_s)).await;
            left_s -= interval_s;
        }
        self.emulation.nodes.modify_fleet(|fleet| {
            for node in fleet.nodes.values_mut() {
                node.competing_load = 0.0;
            }
        });
    }

    async fn slow_all_links(&self) {
        let nodes = &self.emulation.nodes;
        nodes.modify_fleet(|fleet| fleet.link_slowdown = self.fault.size);
        self.wait_for_end().await;
        nodes.modify_fleet(|fleet| fleet.link_slowdown = 1.0);
    }

    /// Slows nodes down for the first half of the fault, and keeps them down after a crash for the second half.
    async fn degrade_nodes(&mut self) {
        let nodes = self.choose_nodes();
        let half_s = self.fault.duration_s / 2.0;
        for step in 1..=AGEING_STEPS {
            let excess = (self.fault.size - 1.0).max(0.0);
            let slow = 1.0 + excess * f64::from(step) / f64::from(AGEING_STEPS);
            self.emulation.nodes.modify_fleet(|fleet| {
                for id in &nodes {
                    if let Some(node) = fleet.nodes.get_mut(id) {
                        node.slowdown = slow;
                    }
                }
            });
            Timer::after(seconds(half_s / f64::from(AGEING_STEPS))).await;
        }
        self.crash_and_restart(&nodes, half_s).await;
    }

    async fn lose_zone(&self) {
        let zone = self.fault.target_name.as_deref();
        let nodes = &self.emulation.nodes;
        let is_in_zone = |id: &u64| {
            let machine = nodes.machine(*id);
            machine.is_some_and(|machine| machine.zone == zone.unwrap_or_default())
        };
        let ids: Vec<u64> = nodes.running().into_iter().filter(is_in_zone).collect();
        let lost_directors = if self.fault.directors {
            self.directors.numbers(zone)
        } else {
            Vec::new()
        };
        kill_all(&self.directors, &lost_directors);
        self.crash_and_restart(&ids, self.fault.duration_s).await;
        start_all(&self.directors, &lost_directors).await;
    }

    async fn interrupt_list(&self) {
        self.emulation.list.set_outage(true);
        self.wait_for_end().await;
        self.emulation.list.set_outage(false);
    }

    async fn increase_arrivals(&self) {
        let viewers = &self.emulation.viewers;
        viewers.set_rate_factor(self.fault.size);
        self.wait_for_end().await;
        viewers.set_rate_factor(1.0);
    }

    async fn increase_tenant_arrivals(&self) {
        let viewers = &self.emulation.viewers;
        if viewers.population().tenants.is_empty() {
            // Without tenants the burst applies to all viewers.
            return self.increase_arrivals().await;
        }
        let tenant = self.fault.target_name.as_deref().unwrap_or_default();
        viewers.set_tenant_rate_factor(tenant, self.fault.size);
        self.wait_for_end().await;
        viewers.set_tenant_rate_factor(tenant, 1.0);
    }

    /// Adds viewers that request one title or one class.
    async fn add_viewers(&self) {
        let viewers = &self.emulation.viewers;
        let name = self.fault.target_name.as_deref();
        let interest = match self.fault.kind {
            FaultKind::HotTitle => name.map(|name| Interest::Title(name.to_string())),
            _ => {
                let population = viewers.population();
                let mut classes = population.classes.iter();
                let class = classes.position(|class| name == Some(class.name.as_str()));
                class.map(Interest::Class)
            }
        };
        viewers.set_surge(interest.map(|interest| (interest, self.fault.size)));
        self.wait_for_end().await;
        viewers.set_surge(None);
    }

    async fn kill_directors(&mut self) {
        let numbers = self.choose_directors();
        kill_all(&self.directors, &numbers);
        self.wait_for_end().await;
        start_all(&self.directors, &numbers).await;
    }

    /// Suspends directors repeatedly, all at the same time.
    async fn stall_directors(&mut self) {
        let numbers = self.choose_directors();
        let stall = seconds(self.fault.stall_ms / 1000.0);
        let mut left_s = self.fault.duration_s;
        while left_s > 0.0 {
            let stalls = numbers.iter().map(|number| {
                let directors = self.directors.clone();
                let number = *number;
                let stalled = async move { directors.stall(number, stall).await };
                self.emulation.executor.spawn(stalled)
            });
            for stalled in stalls.collect::<Vec<_>>() {
                stalled.await;
            }
            let pause = stall.mul_f64(1.0 + self.rng.random::<f64>());
            Timer::after(pause).await;
            left_s -= (stall + pause).as_secs_f64();
        }
    }

    async fn crash_and_restart(&self, nodes: &[u64], after_s: f64) {
        let emulation = &self.emulation;
        crash_all(emulation, nodes);
        Timer::after(seconds(after_s)).await;
        nodes.iter().for_each(|id| restart(emulation, *id));
    }

    /// Preempts nodes in waves: each is listed as draining, crashes after the notice, and is replaced by a cold
    /// machine.
    async fn preempt_nodes(&mut self) {
        let nodes = self.choose_nodes();
        let waves = self.fault.waves;
        let half_s = self.fault.duration_s / 2.0;
        let wave_interval = seconds(half_s / f64::from(waves));
        for wave in nodes.chunks(nodes.len().div_ceil(waves as usize).max(1)) {
            for id in wave {
                // The preemption notice reaches the endpoint list without its usual delay.
                self.emulation.announce_now(*id, "draining");
            }
            let notice = seconds(self.fault.notice_ms / 1000.0);
            let replaced = replace_nodes(
                self.emulation.clone(),
                wave.to_vec(),
                notice,
                seconds(half_s),
            );
            self.emulation.executor.spawn(replaced).detach();
            Timer::after(wave_interval).await;
        }
    }
}

/// Crashes nodes after a notice period, and later starts replacement machines in the same cells.
async fn replace_nodes(
    emulation: Rc<Emulation>,
    nodes: Vec<u64>,
    notice: Duration,
    replacement_delay: Duration,
) {
    Timer::after(notice).await;
    crash_all(&emulation, &nodes);
    Timer::after(replacement_delay).await;
    for id in nodes {
        let Some(mut machine) = emulation.nodes.machine(id) else {
            continue;
        };
        let replacement = id + REPLACEMENT_OFFSET;
        machine.id = replacement;
        match emulation.nodes.start(machine, false) {
            Ok(_) => emulation.announce(replacement, "ready"),
            Err(error) => {
                tracing::warn!(node = replacement, %error, "replacement node not started")
            }
        }
    }
}

fn crash_all(emulation: &Emulation, nodes: &[u64]) {
    nodes.iter().for_each(|id| emulation.nodes.crash(*id));
    nodes.iter().for_each(|id| emulation.announce(*id, "gone"));
}

fn restart(emulation: &Emulation, id: u64) {
    let Some(machine) = emulation.nodes.machine(id) else {
        return;
    };
    match emulation.nodes.start(machine, false) {
        Ok(_) => emulation.announce(id, "ready"),
        Err(error) => tracing::warn!(node = id, %error, "node not restarted"),
    }
}

fn kill_all(directors: &DirectorProcesses, numbers: &[u32]) {
    for number in numbers {
        if let Err(error) = directors.kill(*number) {
            tracing::warn!(number, %error, "director not killed");
        }
    }
}

async fn start_all(directors: &DirectorProcesses, numbers: &[u32]) {
    for number in numbers {
        if let Err(error) = directors.start(*number).await {
            tracing::warn!(number, %error, "director not restarted");
        }
    }
}
