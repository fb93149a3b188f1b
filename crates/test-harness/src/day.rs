//! A day: directors, nodes, journal service and viewers, and what happens to them when.

use crate::director::Director;
use crate::faulty_director::{DirectorFault, FaultyDirector};
use crate::journal::{Journal, Line};
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

/// After the last request answers, ends and releases come for so long.
const SETTLE: Duration = Duration::from_millis(2_500);
/// A director told to end goes by itself within this: the longest wait, and what the program adds.
const LEAVES: Duration = Duration::from_secs(4);

/// Something that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DayEvent {
    /// A node drains, or is gone from the list; its process goes on.
    DrainNode(usize),
    RemoveNode(usize),
    /// A node's process dies, and starts again: the list tells of it.
    KillNode(usize),
    RestartNode(usize),
    SetNodeBehavior(usize, NodeBehavior),
    /// A director is killed, told to end, started.
    KillDirector(usize),
    StopDirector(usize),
    StartDirector(usize),
    /// The journal service breaks off, and is back.
    SetJournalOutage(bool),
    /// Its open connections fall silent and stay open.
    SilenceJournal,
    /// Clients that send what is no message, to every director.
    SendMalformedRequests,
    /// A wrong director's node from now on.
    SetPreferredNode(usize),
}

/// A day's plan. Troubles in order of time, in milliseconds.
pub struct Plan {
    pub directors: u32,
    pub nodes: u32,
    pub seconds: u64,
    pub seed: u64,
    pub fault: Option<DirectorFault>,
    pub events: Vec<(u64, DayEvent)>,
}

/// What came of it.
pub struct Outcome {
    pub verdict: Verdict,
    pub violations: Vec<String>,
    /// When it began, on the clock of the records.
    pub started_at: i64,
    pub requests: u64,
    /// Directors that were not there at the end, or did not go when told.
    pub failed_directors: Vec<u32>,
    /// What the directors logged.
    pub logs: String,
}

struct World {
    recorder: Recorder,
    journal: Journal,
    nodes: Vec<Arc<Node>>,
    list: Vec<Line>,
    directors: Vec<Director>,
    viewers: Vec<Viewers>,
    faulty_director: Option<Arc<FaultyDirector>>,
    failed_directors: Vec<u32>,
}

impl World {
    fn begin(binary: &Path, dir: &Path, plan: &Plan) -> io::Result<World> {
        let recorder = Recorder::default();
        let journal = Journal::start(recorder.clone(), plan.directors)?;
        let nodes = (1..=plan.nodes).map(|id| Node::start(id, plan.seed, recorder.clone()));
        let nodes = nodes.collect::<io::Result<Vec<_>>>()?;
        let ports: Vec<u16> = nodes.iter().map(|n| n.port).collect();
        let faulty_director = plan.fault.map(|fault| FaultyDirector::new(fault, ports));
        let to_nodes = faulty_director
            .as_ref()
            .filter(|_| plan.fault.is_some_and(|l| !l.to_viewers()));
        let mut list = Vec::new();
        for node in &nodes {
            let port = to_nodes.map_or(Ok(node.port), |faulty_director| {
                faulty_director.before(node.port)
            })?;
            list.push(Line {
                node: node.id,
                port,
                state: 0,
                cell: node.id as u16 - 1,
                started: 0,
            });
        }
        let listens = match faulty_director.as_ref().filter(|l| l.ignores_silence()) {
            Some(faulty_director) => faulty_director.before_list(journal.port)?,
            None => journal.port,
        };
        let (mut directors, mut viewers) = (Vec::new(), Vec::new());
        for number in 0..plan.directors {
            let mut director = Director::new(binary, dir, number, recorder.clone())?;
            director.start(listens, &list, plan.directors)?;
            let to_viewers = faulty_director.as_ref().filter(|_| to_nodes.is_none());
            let port = to_viewers.map_or(Ok(director.port), |faulty_director| {
                faulty_director.before(director.port)
            })?;
            viewers.push(Viewers::start(number, port, plan.seed, recorder.clone()));
            directors.push(director);
        }
        Ok(World {
            recorder,
            journal,
            nodes,
            list,
            directors,
            viewers,
            faulty_director,
            failed_directors: Vec::new(),
        })
    }

    fn apply(&mut self, event: DayEvent) -> io::Result<()> {
        match event {
            DayEvent::DrainNode(n) => self.journal.tell(
                Line {
                    state: 1,
                    ..self.list[n]
                },
                None,
            ),
            DayEvent::RemoveNode(n) => self.journal.tell(
                Line {
                    state: 2,
                    ..self.list[n]
                },
                None,
            ),
            DayEvent::KillNode(n) => self.nodes[n].die(),
            DayEvent::RestartNode(n) => {
                let up = self.nodes[n].live(false)?;
                self.journal.tell(
                    Line {
                        started: up as u64 / 1000,
                        ..self.list[n]
                    },
                    Some(up),
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
                    .is_some_and(|l| l.ends_at_once()) =>
            {
                self.directors[d].crash()
            }
            DayEvent::StopDirector(d) => {
                // The front has taken it out: its viewers ask it no more.
                self.viewers[d].paused.store(true, Ordering::Relaxed);
                thread::sleep(Duration::from_millis(200));
                if !self.directors[d].leave(LEAVES) {
                    self.failed_directors.push(d as u32);
                }
            }
            DayEvent::StartDirector(d) => {
                let directors = self.directors.len() as u32;
                self.directors[d].start(self.journal.port, &self.list, directors)?;
                self.viewers[d].paused.store(false, Ordering::Relaxed);
            }
            DayEvent::SilenceJournal => self.journal.hush(),
            DayEvent::SetJournalOutage(away) => self.journal.away(away),
            DayEvent::SendMalformedRequests => {
                for director in &self.directors {
                    for noise in [
                        &b"{\"verb\":\"START\",\"tag\":\n"[..],
                        &[b'x'; 40_000],
                        b"{\"verb\":\"ST",
                    ] {
                        let Ok(mut stream) = TcpStream::connect(("127.0.0.1", director.port))
                        else {
                            continue;
                        };
                        let _ = stream.write_all(noise);
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

/// Plays a day with processes of the program in `binary`; their files and logs go to `dir`.
pub fn play(binary: &Path, dir: &Path, plan: &Plan) -> io::Result<Outcome> {
    let mut world = World::begin(binary, dir, plan)?;
    let started_at = Instant::now();
    world.recorder.open().started_at = now();
    for (at, event) in &plan.events {
        thread::sleep(Duration::from_millis(*at).saturating_sub(started_at.elapsed()));
        world.apply(*event)?;
    }
    thread::sleep(Duration::from_secs(plan.seconds).saturating_sub(started_at.elapsed()));
    world
        .viewers
        .iter()
        .for_each(|v| v.paused.store(true, Ordering::Relaxed));
    thread::sleep(SETTLE);
    let mut failed_directors = world.failed_directors.clone();
    for director in &mut world.directors {
        if !director.runs() {
            failed_directors.push(director.number);
        }
    }
    // Judged before they end: who is told to end at the same time is no part of the day.
    let (verdict, violations) = world.recorder.judged(&rules());
    let requests = world
        .viewers
        .iter()
        .map(|v| v.request_count.load(Ordering::Relaxed))
        .sum();
    world.directors.iter_mut().for_each(Director::kill);
    world.viewers.iter_mut().for_each(Viewers::end);
    let logs = world
        .directors
        .iter()
        .map(|d| std::fs::read_to_string(d.log()).unwrap_or_default());
    let started_at = world.recorder.open().started_at;
    Ok(Outcome {
        verdict,
        violations,
        started_at,
        requests,
        failed_directors,
        logs: logs.collect(),
    })
}
