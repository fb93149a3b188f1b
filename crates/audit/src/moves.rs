//! Hand-overs and gaps, from recordings: what viewers saw, what moves were for, and whether it could have been
//! better.

use crate::record::{Record, Rules};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A gap that viewers are not to see where another node had room, microseconds.
const GAP: i64 = 200_000;
/// What befell a node so long before a gap is its cause: buffers last for less.
const BUFFERS: i64 = 8_000_000;
/// A source that is well again within this was left for nothing.
const REGRET: i64 = 2_000_000;
/// A node has room below these parts of its link, its uplink and its places.
const ROOM: (f64, f64, f64) = (0.85, 0.85, 0.95);

/// Why a picture stood still, as far as nodes and list show it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// Its node died or drained.
    Death,
    /// Its node stood still.
    Freeze,
    /// Links or uplinks gave less than was asked.
    Shortage,
    Other,
}

/// What the hand-overs of a day came to. Times in microseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Moves {
    /// Those that happened: their players fetched at the target.
    pub made: u64,
    /// Of these, from a node that was well, or was within 2 s.
    pub regretted: u64,
    /// Most of one session.
    pub most: u64,
    /// The longest gap around each of them, in order; none: 0.
    pub gaps: Vec<i64>,
    /// Gaps over 200 ms of all sessions, by cause: with room elsewhere, and without.
    pub with_room: BTreeMap<Cause, u64>,
    pub without: BTreeMap<Cause, u64>,
    /// The longest ones with room, in words.
    pub worst: Vec<String>,
    /// All gaps together.
    pub stood: i64,
    /// Epochs of a session that two nodes served.
    pub served_twice: u64,
}

/// What is known of a node at a time, from changes in order of time.
#[derive(Default)]
struct Node {
    cell: Option<u64>,
    up: Vec<(i64, bool)>,
    frozen: Vec<(i64, bool)>,
    loads: Vec<(i64, f64, f64, f64)>,
}

fn at<T: Copy>(changes: &[(i64, T)], t: i64) -> Option<T> {
    changes
        .iter()
        .rev()
        .find(|(from, _)| *from <= t)
        .map(|(_, x)| *x)
}

/// Whether something was so at any time of a span.
fn ever(changes: &[(i64, bool)], from: i64, to: i64) -> bool {
    at(changes, from) == Some(true) || changes.iter().any(|(t, x)| *x && *t > from && *t <= to)
}

impl Node {
    fn load(&self, t: i64) -> Option<(f64, f64, f64)> {
        let last = self
            .loads
            .iter()
            .rev()
            .find(|(from, ..)| *from <= t)
            .filter(|(from, ..)| t - from < 1_500_000);
        last.map(|(_, link, uplink, streams)| (*link, *uplink, *streams))
    }

    fn well(&self, t: i64) -> bool {
        at(&self.up, t) == Some(true) && at(&self.frozen, t) != Some(true)
    }

    fn has_room(&self, t: i64) -> bool {
        let below = |(l, u, s): (f64, f64, f64)| l < ROOM.0 && u < ROOM.1 && s < ROOM.2;
        self.well(t) && self.load(t).is_some_and(below)
    }

    fn short(&self, from: i64, to: i64) -> bool {
        self.loads
            .iter()
            .any(|(t, link, uplink, _)| *t > from && *t <= to && link.max(*uplink) > 1.0)
    }
}

struct Session {
    director: u32,
    title: String,
    /// Where it was, from when on.
    nodes: Vec<(i64, u64)>,
}

#[derive(Default)]
struct Seen {
    nodes: BTreeMap<u64, Node>,
    sessions: BTreeMap<u64, Session>,
    off: BTreeMap<(u32, u64), Vec<(i64, bool)>>,
    gaps: Vec<(i64, u64, i64)>,
    /// When a target was asked, and when its player fetched.
    asked: BTreeMap<(u64, u32), i64>,
    fetched: BTreeMap<(u64, u32), (i64, u64)>,
}

impl Seen {
    fn take(&mut self, record: &Record, moves: &mut Moves) {
        match record {
            Record::NodeUp { t, node, cell, .. } => {
                let node = self.nodes.entry(*node).or_default();
                node.cell = *cell;
                node.up.push((*t, true));
                node.frozen.push((*t, false));
            }
            Record::NodeDown { t, node, .. } => {
                self.nodes.entry(*node).or_default().up.push((*t, false))
            }
            Record::Froze { t, node } => {
                self.nodes.entry(*node).or_default().frozen.push((*t, true))
            }
            Record::Thawed { t, node } => self
                .nodes
                .entry(*node)
                .or_default()
                .frozen
                .push((*t, false)),
            Record::Load {
                t,
                node,
                link,
                uplink,
                streams,
            } => {
                self.nodes
                    .entry(*node)
                    .or_default()
                    .loads
                    .push((*t, *link, *uplink, *streams));
            }
            Record::Told {
                t,
                director,
                node,
                standing,
                ..
            } => {
                self.off
                    .entry((*director, *node))
                    .or_default()
                    .push((*t, standing != "ready"));
            }
            Record::SetUp {
                t,
                node,
                director,
                session,
                title,
                ..
            } => {
                let new = || Session {
                    director: *director,
                    title: title.clone(),
                    nodes: Vec::new(),
                };
                self.sessions
                    .entry(*session)
                    .or_insert_with(new)
                    .nodes
                    .push((*t, *node));
            }
            Record::HandIn {
                t, session, epoch, ..
            } => {
                self.asked.entry((*session, *epoch)).or_insert(*t);
            }
            Record::Fetched {
                t,
                node,
                session,
                epoch,
                ..
            } => match self.fetched.get(&(*session, *epoch)) {
                Some((_, at)) if at != node => moves.served_twice += 1,
                Some(_) => {}
                None => drop(self.fetched.insert((*session, *epoch), (*t, *node))),
            },
            Record::Gap {
                t, session, micros, ..
            } => self.gaps.push((*t, *session, *micros)),
            _ => {}
        }
    }

    fn off(&self, director: u32, node: u64, from: i64, to: i64) -> bool {
        self.off
            .get(&(director, node))
            .is_some_and(|changes| ever(changes, from, to))
    }

    /// Whether some other holder of the title had room.
    fn room(&self, rules: &Rules, session: &Session, not: u64, t: i64) -> bool {
        let Some((home, spread)) = rules.titles.get(&session.title) else {
            return false;
        };
        let holds = |cell: u64| (cell + rules.cells - home) % rules.cells.max(1) < *spread;
        let mut others = self
            .nodes
            .iter()
            .filter(|(id, n)| **id != not && n.cell.is_some_and(holds));
        others.any(|(id, n)| n.has_room(t) && !self.off(session.director, *id, t, t))
    }

    fn cause(&self, session: &Session, node: u64, t: i64) -> Cause {
        let (from, Some(n)) = (t - BUFFERS, self.nodes.get(&node)) else {
            return Cause::Other;
        };
        let died = n.up.iter().any(|(at, up)| !up && *at > from && *at <= t);
        match () {
            _ if died || self.off(session.director, node, from, t) => Cause::Death,
            _ if ever(&n.frozen, from, t) => Cause::Freeze,
            _ if n.short(from, t) => Cause::Shortage,
            _ => Cause::Other,
        }
    }
}

/// Looks at the hand-overs of a recording; `records` in order of time.
pub fn moves(records: &[Record], rules: &Rules) -> Moves {
    let (mut seen, mut moves) = (Seen::default(), Moves::default());
    records.iter().for_each(|r| seen.take(r, &mut moves));
    let mut counts: BTreeMap<u64, u64> = BTreeMap::new();
    let by_time: BTreeSet<(i64, u64, u32, u64)> = seen
        .fetched
        .iter()
        .map(|((session, epoch), (t, node))| (*t, *session, *epoch, *node))
        .collect();
    for (t, session, epoch, node) in by_time {
        let Some(s) = seen.sessions.get_mut(&session) else {
            continue;
        };
        let from = s.nodes.last().map_or(0, |(_, node)| *node);
        s.nodes.push((t, node));
        moves.made += 1;
        let count = counts.entry(session).or_default();
        *count += 1;
        moves.most = moves.most.max(*count);
        let (s, asked) = (
            &seen.sessions[&session],
            seen.asked.get(&(session, epoch)).copied().unwrap_or(t),
        );
        let source = &seen.nodes[&from];
        let soon = source.well(asked)
            || (at(&source.up, asked) == Some(true) && source.well(asked + REGRET));
        let leaves = seen.off(s.director, from, asked - BUFFERS, asked + REGRET);
        let short = source.short(asked - BUFFERS, asked + REGRET);
        moves.regretted += u64::from(soon && !leaves && !short);
        let near = seen.gaps.iter().filter(|(g, id, len)| {
            *id == session && g + len >= asked - 1_000_000 && *g <= t + 2_000_000
        });
        moves
            .gaps
            .push(near.map(|(.., len)| *len).max().unwrap_or(0));
    }
    let mut worst = Vec::new();
    for (t, session, length) in &seen.gaps {
        moves.stood += length;
        let Some(s) = seen.sessions.get(session).filter(|_| *length > GAP) else {
            continue;
        };
        let node = s
            .nodes
            .iter()
            .rev()
            .find(|(from, _)| from < t)
            .map_or(0, |(_, node)| *node);
        let cause = seen.cause(s, node, *t);
        let room = seen.room(rules, s, node, *t);
        let counts = if room {
            &mut moves.with_room
        } else {
            &mut moves.without
        };
        *counts.entry(cause).or_default() += 1;
        if room {
            let what = format!(
                "{cause:?}: session {session} at node {node}, {} ms at {:.3} s",
                length / 1000,
                *t as f64 / 1e6
            );
            worst.push((*length, what));
        }
    }
    moves.gaps.sort_unstable();
    worst.sort();
    moves.worst = worst
        .into_iter()
        .rev()
        .take(10)
        .map(|(_, what)| what)
        .collect();
    moves
}

impl Moves {
    /// The gap that so many parts of the moves stay within, microseconds.
    pub fn gap(&self, part: f64) -> i64 {
        let n = self.gaps.len();
        let at = ((n as f64 * part).ceil() as usize).clamp(1, n.max(1)) - 1;
        self.gaps.get(at).copied().unwrap_or(0)
    }
}

impl fmt::Display for Moves {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |part| self.gap(part) / 1000;
        writeln!(
            f,
            "moves {}, {} regretted, most of one session {}; gaps around them p50 {} ms, p99 {} ms, most {} ms",
            self.made,
            self.regretted,
            self.most,
            ms(0.5),
            ms(0.99),
            ms(1.0)
        )?;
        let named = |counts: &BTreeMap<Cause, u64>| {
            let words: Vec<_> = counts.iter().map(|(c, n)| format!("{n} {c:?}")).collect();
            if words.is_empty() {
                "none".to_string()
            } else {
                words.join(", ")
            }
        };
        writeln!(
            f,
            "gaps over 200 ms: with room elsewhere {}; without {}; all gaps together {:.1} s; epochs served twice {}",
            named(&self.with_room),
            named(&self.without),
            self.stood as f64 / 1e6,
            self.served_twice
        )?;
        self.worst
            .iter()
            .try_for_each(|what| writeln!(f, "  {what}"))
    }
}
