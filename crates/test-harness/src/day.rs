//! A day: directors, nodes, journal service and viewers, and what happens to them when.

use crate::director::Director;
use crate::journal::{Journal, Line};
use crate::lies::{Liar, Lie};
use crate::node::{Mood, Node};
use crate::now;
use crate::tape::{Tape, rules};
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
pub enum Trouble {
    /// A node drains, or is gone from the list; its process goes on.
    Drain(usize),
    Gone(usize),
    /// A node's process dies, and starts again: the list tells of it.
    Die(usize),
    Back(usize),
    Turn(usize, Mood),
    /// A director is killed, told to end, started.
    Kill(usize),
    Leave(usize),
    Start(usize),
    /// The journal service breaks off, and is back.
    JournalAway(bool),
    /// Its open connections fall silent and stay open.
    JournalHush,
    /// Clients that send what is no message, to every director.
    Noise,
    /// A wrong director's node from now on.
    Favour(usize),
}

/// A day's plan. Troubles in order of time, in milliseconds.
pub struct Plan {
    pub directors: u32,
    pub nodes: u32,
    pub seconds: u64,
    pub seed: u64,
    pub lie: Option<Lie>,
    pub troubles: Vec<(u64, Trouble)>,
}

/// What came of it.
pub struct Outcome {
    pub verdict: Verdict,
    pub odd: Vec<String>,
    /// When it began, on the clock of the records.
    pub begun: i64,
    pub asked: u64,
    /// Directors that were not there at the end, or did not go when told.
    pub fallen: Vec<u32>,
    /// What the directors logged.
    pub logs: String,
}

struct World {
    tape: Tape,
    journal: Journal,
    nodes: Vec<Arc<Node>>,
    list: Vec<Line>,
    directors: Vec<Director>,
    viewers: Vec<Viewers>,
    liar: Option<Arc<Liar>>,
    fallen: Vec<u32>,
}

impl World {
    fn begin(binary: &Path, dir: &Path, plan: &Plan) -> io::Result<World> {
        let tape = Tape::default();
        let journal = Journal::start(tape.clone(), plan.directors)?;
        let nodes = (1..=plan.nodes).map(|id| Node::start(id, plan.seed, tape.clone()));
        let nodes = nodes.collect::<io::Result<Vec<_>>>()?;
        let ports: Vec<u16> = nodes.iter().map(|n| n.port).collect();
        let liar = plan.lie.map(|lie| Liar::new(lie, ports));
        let to_nodes = liar
            .as_ref()
            .filter(|_| plan.lie.is_some_and(|l| !l.to_viewers()));
        let mut list = Vec::new();
        for node in &nodes {
            let port = to_nodes.map_or(Ok(node.port), |liar| liar.before(node.port))?;
            list.push(Line {
                node: node.id,
                port,
                state: 0,
                cell: node.id as u16 - 1,
                started: 0,
            });
        }
        let listens = match liar.as_ref().filter(|l| l.ignores_silence()) {
            Some(liar) => liar.before_list(journal.port)?,
            None => journal.port,
        };
        let (mut directors, mut viewers) = (Vec::new(), Vec::new());
        for number in 0..plan.directors {
            let mut director = Director::new(binary, dir, number, tape.clone())?;
            director.start(listens, &list, plan.directors)?;
            let to_viewers = liar.as_ref().filter(|_| to_nodes.is_none());
            let port = to_viewers.map_or(Ok(director.port), |liar| liar.before(director.port))?;
            viewers.push(Viewers::start(number, port, plan.seed, tape.clone()));
            directors.push(director);
        }
        Ok(World {
            tape,
            journal,
            nodes,
            list,
            directors,
            viewers,
            liar,
            fallen: Vec::new(),
        })
    }

    fn happen(&mut self, trouble: Trouble) -> io::Result<()> {
        match trouble {
            Trouble::Drain(n) => self.journal.tell(
                Line {
                    state: 1,
                    ..self.list[n]
                },
                None,
            ),
            Trouble::Gone(n) => self.journal.tell(
                Line {
                    state: 2,
                    ..self.list[n]
                },
                None,
            ),
            Trouble::Die(n) => self.nodes[n].die(),
            Trouble::Back(n) => {
                let up = self.nodes[n].live(false)?;
                self.journal.tell(
                    Line {
                        started: up as u64 / 1000,
                        ..self.list[n]
                    },
                    Some(up),
                );
            }
            Trouble::Turn(n, mood) => self.nodes[n].mood(mood),
            Trouble::Kill(d) => {
                self.viewers[d].paused.store(true, Ordering::Relaxed);
                self.directors[d].kill();
            }
            Trouble::Leave(d) if self.liar.as_ref().is_some_and(|l| l.ends_at_once()) => {
                self.directors[d].crash()
            }
            Trouble::Leave(d) => {
                // The front has taken it out: its viewers ask it no more.
                self.viewers[d].paused.store(true, Ordering::Relaxed);
                thread::sleep(Duration::from_millis(200));
                if !self.directors[d].leave(LEAVES) {
                    self.fallen.push(d as u32);
                }
            }
            Trouble::Start(d) => {
                let directors = self.directors.len() as u32;
                self.directors[d].start(self.journal.port, &self.list, directors)?;
                self.viewers[d].paused.store(false, Ordering::Relaxed);
            }
            Trouble::JournalHush => self.journal.hush(),
            Trouble::JournalAway(away) => self.journal.away(away),
            Trouble::Noise => {
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
            Trouble::Favour(n) => {
                self.liar
                    .iter()
                    .for_each(|liar| liar.favoured.store(n, Ordering::Relaxed));
            }
        }
        Ok(())
    }
}

/// Plays a day with processes of the program in `binary`; their files and logs go to `dir`.
pub fn play(binary: &Path, dir: &Path, plan: &Plan) -> io::Result<Outcome> {
    let mut world = World::begin(binary, dir, plan)?;
    let begun = Instant::now();
    world.tape.open().begun = now();
    for (at, trouble) in &plan.troubles {
        thread::sleep(Duration::from_millis(*at).saturating_sub(begun.elapsed()));
        world.happen(*trouble)?;
    }
    thread::sleep(Duration::from_secs(plan.seconds).saturating_sub(begun.elapsed()));
    world
        .viewers
        .iter()
        .for_each(|v| v.paused.store(true, Ordering::Relaxed));
    thread::sleep(SETTLE);
    let mut fallen = world.fallen.clone();
    for director in &mut world.directors {
        if !director.runs() {
            fallen.push(director.number);
        }
    }
    // Judged before they end: who is told to end at the same time is no part of the day.
    let (verdict, odd) = world.tape.judged(&rules());
    let asked = world
        .viewers
        .iter()
        .map(|v| v.asked.load(Ordering::Relaxed))
        .sum();
    world.directors.iter_mut().for_each(Director::kill);
    world.viewers.iter_mut().for_each(Viewers::end);
    let logs = world
        .directors
        .iter()
        .map(|d| std::fs::read_to_string(d.log()).unwrap_or_default());
    let begun = world.tape.open().begun;
    Ok(Outcome {
        verdict,
        odd,
        begun,
        asked,
        fallen,
        logs: logs.collect(),
    })
}
