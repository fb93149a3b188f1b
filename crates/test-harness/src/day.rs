//! A scripted day: directors, nodes, journal service and viewers, with events at given times.

use crate::director::Director;
use crate::faulty_director::{DirectorFault, FaultyDirector};
use crate::journal::{HostEntry, HostList, Journal};
use crate::node::{Node, NodeBehavior};
use crate::now;
use crate::recorder::{Recorder, rules};
use crate::viewer::Viewers;
use shalewall_audit::Verdict;
use std::io::{self, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// Time after the last request for responses, session ends and releases to arrive.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);
/// Time within which a director exits after SIGTERM: the longest request timeout, plus the program's own delay.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(4);

/// An event of a day. Nodes and directors are given by their index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DayEvent {
    /// Lists a node as draining; its process keeps running.
    DrainNode(usize),
    /// Lists a node as gone; its process keeps running.
    RemoveNode(usize),
    /// Kills a node's process without a change of the list.
    KillNode(usize),
    /// Starts a node's process again, and publishes its start time in the list.
    RestartNode(usize),
    /// Changes the behavior of a node.
    SetNodeBehavior(usize, NodeBehavior),
    /// Sends SIGKILL to a director.
    KillDirector(usize),
    /// Sends SIGTERM to a director.
    StopDirector(usize),
    /// Starts a director that was killed or stopped.
    StartDirector(usize),
    /// Starts or ends an outage of the journal service, in which it closes all connections.
    SetJournalOutage(bool),
    /// Silences the open connections of the journal service without closing them.
    SilenceJournal,
    /// Sends malformed messages to every director.
    SendMalformedRequests,
    /// Sets the node to which a faulty director sends everything.
    SetPreferredNode(usize),
}

/// Plan of a day.
pub struct Plan {
    /// Number of directors.
    pub directors: u32,
    /// Number of nodes.
    pub nodes: u32,
    /// Time for which viewers send requests.
    pub seconds: u64,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Fault of all directors.
    pub fault: Option<DirectorFault>,
    /// Events in order of time, each with its time in milliseconds from the start of the day.
    pub events: Vec<(u64, DayEvent)>,
}

/// Result of a day.
pub struct Outcome {
    /// Verdict of the audit.
    pub verdict: Verdict,
    /// Violations of requirements beyond the rules of the verdict.
    pub violations: Vec<String>,
    /// Start of the day on the clock of the records, in microseconds.
    pub started_at: i64,
    /// Number of requests of all viewers.
    pub requests: u64,
    /// Directors that were not running at the end, or did not exit in time after SIGTERM.
    pub failed_directors: Vec<u32>,
    /// Logs of the directors.
    pub logs: String,
}

struct World {
    recorder: Recorder,
    journal: Journal,
    nodes: Vec<Arc<Node>>,
    hosts: Vec<HostEntry>,
    directors: Vec<Director>,
    viewers: Vec<Viewers>,
    faulty_director: Option<Arc<FaultyDirector>>,
    failed_directors: Vec<u32>,
}

impl World {
    fn start(binary: &Path, dir: &Path, plan: &Plan) -> io::Result<World> {
        let recorder = Recorder::default();
        let journal = Journal::start(recorder.clone(), plan.directors)?;
        let nodes = (1..=plan.nodes).map(|id| Node::start(id, plan.seed, recorder.clone()));
        let nodes = nodes.collect::<io::Result<Vec<_>>>()?;
        let ports: Vec<u16> = nodes.iter().map(|n| n.port).collect();
        let faulty_director = plan.fault.map(|fault| FaultyDirector::new(fault, ports));
        let node_relay = faulty_director
            .as_ref()
            .filter(|_| plan.fault.is_some_and(|l| !l.affects_viewers()));
        let mut hosts = Vec::new();
        for node in &nodes {
            let port = node_relay.map_or(Ok(node.port), |faulty_director| {
                faulty_director.start_relay(node.port)
            })?;
            hosts.push(HostEntry {
                node: node.id,
                port,
                state: 0,
                cell: node.id as u16 - 1,
                started: 0,
            });
        }
        let journal_port = match faulty_director
            .as_ref()
            .filter(|l| l.ignores_silent_journal())
        {
            Some(faulty_director) => faulty_director.start_list_relay(journal.port)?,
            None => journal.port,
        };
        let (mut directors, mut viewers) = (Vec::new(), Vec::new());
        for number in 0..plan.directors {
            let mut director = Director::new(binary, dir, number, recorder.clone())?;
            director.start(journal_port, &HostList::initial(&hosts), plan.directors)?;
            let viewer_relay = faulty_director.as_ref().filter(|_| node_relay.is_none());
            let port = viewer_relay.map_or(Ok(director.port), |faulty_director| {
                faulty_director.start_relay(director.port)
            })?;
            viewers.push(Viewers::start(number, port, plan.seed, recorder.clone()));
            directors.push(director);
        }
        Ok(World {
            recorder,
            journal,
            nodes,
            hosts,
            directors,
            viewers,
            faulty_director,
            failed_directors: Vec::new(),
        })
    }

    fn apply(&mut self, event: DayEvent) -> io::Result<()> {
        match event {
            DayEvent::DrainNode(n) => self.journal.publish(
                HostEntry {
                    state: 1,
                    ..self.hosts[n]
                },
                None,
            ),
            DayEvent::RemoveNode(n) => self.journal.publish(
                HostEntry {
                    state: 2,
                    ..self.hosts[n]
                },
                None,
            ),
            DayEvent::KillNode(n) => self.nodes[n].stop_process(),
            DayEvent::RestartNode(n) => {
                let started_at = self.nodes[n].start_process(false)?;
                self.journal.publish(
                    HostEntry {
                        started: started_at as u64 / 1000,
                        ..self.hosts[n]
                    },
                    Some(started_at),
                );
            }
            DayEvent::SetNodeBehavior(n, behavior) => self.nodes[n].set_behavior(behavior),
            DayEvent::KillDirector(d) => {
                self.viewers[d].paused.store(true, Ordering::Relaxed);
                self.directors[d].kill();
            }
            DayEvent::StopDirector(d)
                if self
                    .faulty_director
                    .as_ref()
                    .is_some_and(|l| l.exits_immediately()) =>
            {
                self.directors[d].crash()
            }
            DayEvent::StopDirector(d) => {
                // A director that shuts down is out of rotation, so its viewers send no more requests.
                self.viewers[d].paused.store(true, Ordering::Relaxed);
                thread::sleep(Duration::from_millis(200));
                if !self.directors[d].stop_gracefully(SHUTDOWN_TIMEOUT) {
                    self.failed_directors.push(d as u32);
                }
            }
            DayEvent::StartDirector(d) => {
                let directors = self.directors.len() as u32;
                let known = HostList::initial(&self.hosts);
                self.directors[d].start(self.journal.port, &known, directors)?;
                self.viewers[d].paused.store(false, Ordering::Relaxed);
            }
            DayEvent::SilenceJournal => self.journal.silence(),
            DayEvent::SetJournalOutage(is_down) => self.journal.set_outage(is_down),
            DayEvent::SendMalformedRequests => {
                for director in &self.directors {
                    for bytes in [
                        &b"{\"verb\":\"START\",\"tag\":\n"[..],
                        &[b'x'; 40_000],
                        b"{\"verb\":\"ST",
                    ] {
                        let Ok(mut stream) = TcpStream::connect(("127.0.0.1", director.port))
                        else {
                            continue;
                        };
                        let _ = stream.write_all(bytes);
                    }
                }
            }
            DayEvent::SetPreferredNode(n) => {
                self.faulty_director.iter().for_each(|faulty_director| {
                    faulty_director.preferred_node.store(n, Ordering::Relaxed)
                });
            }
        }
        Ok(())
    }
}

/// Runs a day with processes of the program `binary`. Their settings and logs are written to `dir`.
pub fn play(binary: &Path, dir: &Path, plan: &Plan) -> io::Result<Outcome> {
    let mut world = World::start(binary, dir, plan)?;
    let started_at = Instant::now();
    world.recorder.lock().started_at = now();
    for (at, event) in &plan.events {
        thread::sleep(Duration::from_millis(*at).saturating_sub(started_at.elapsed()));
        world.apply(*event)?;
    }
    thread::sleep(Duration::from_secs(plan.seconds).saturating_sub(started_at.elapsed()));
    world
        .viewers
        .iter()
        .for_each(|v| v.paused.store(true, Ordering::Relaxed));
    thread::sleep(SETTLE_TIME);
    let mut failed_directors = world.failed_directors.clone();
    for director in &mut world.directors {
        if !director.is_running() {
            failed_directors.push(director.number);
        }
    }
    // Audited before the directors are killed, because the shutdown of all at once is not part of the day.
    let (verdict, violations) = world.recorder.audit(&rules());
    let requests = world
        .viewers
        .iter()
        .map(|v| v.request_count.load(Ordering::Relaxed))
        .sum();
    world.directors.iter_mut().for_each(Director::kill);
    world.viewers.iter_mut().for_each(Viewers::stop);
    let logs = world
        .directors
        .iter()
        .map(|d| std::fs::read_to_string(d.log_path()).unwrap_or_default());
    let started_at = world.recorder.lock().started_at;
    Ok(Outcome {
        verdict,
        violations,
        started_at,
        requests,
        failed_directors,
        logs: logs.collect(),
    })
}
