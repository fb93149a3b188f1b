//! When sessions are to be moved, and how many at once. Where to is decided elsewhere.
//!
//! A move is dear: it takes a second place for a while, and a change that the viewer may see. So each has a cause that
//! is seen here, and is worth more than it costs:
//! - the node drains: it will be gone, at once or soon;
//! - nobody serves the session any more, and its player's buffer lasts yet;
//! - players of a node say that nothing comes, most of those that are there, and a player's buffer lasts no longer
//!   than a move takes: the node stands still, or its link is cut;
//! - the node tells a shortage that lasts, longer than steps of rungs take to mend it.
//!
//! None of it is believed just after this process itself stood still: what is heard then is old.

use shalewall::{Micros, ServerId, SessionId};
use std::collections::{BTreeMap, BTreeSet};

/// What moves are allowed. Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// A move takes about so long: a player whose buffer lasts longer waits.
    pub takes: Micros,
    /// No session is moved again within this, unless its node drains or nobody serves it: these are told, not guessed.
    pub again: Micros,
    /// A shortage that has lasted so long is not mended by steps.
    pub lasts: Micros,
    /// Moves under way from and to one node, and of this front.
    pub at_node: usize,
    pub at_front: usize,
    /// A move costs as much as so many seconds of the session.
    pub costs_s: f64,
}

/// A player's word that nothing comes is good for so long; it is said again while it is true.
const WORD: Micros = 500_000;
/// A look is due so often while there is something to look for, and one so late was held up here.
const LOOK: Micros = 100_000;
const STALL: Micros = 300_000;
/// What is heard so soon after a stall may have been said before it.
const OLD_NEWS: Micros = 500_000;
/// Delivered below this is a shortage.
const SHORT: f64 = 0.95;
/// Sessions that leave a short node go by such steps: what they free has to show first.
const STEP: Micros = 3_000_000;
/// Where no room was found it is looked for again after this.
const LOOK_AGAIN: Micros = 200_000;
/// A session without a hint is taken to last so long yet, seconds.
const LASTS_S: f64 = 60.0;

/// Why a session is to be moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Why {
    /// Nobody serves it any more.
    Orphaned,
    Silent,
    Drains,
    Short,
}

/// A player's word: when it came, and when its buffer runs dry.
#[derive(Clone, Copy, Debug)]
struct Word {
    at: Micros,
    dry: Micros,
}

#[derive(Debug)]
struct Session {
    node: u64,
    /// It is to end then, as far as is known.
    ends: Option<Micros>,
    /// Not before then; and not on a guess before `guess`.
    due: Micros,
    guess: Micros,
    /// Where it is on its way to.
    to: Option<u64>,
}

#[derive(Debug, Default)]
struct Node {
    sessions: BTreeSet<u64>,
    /// Of these, whose players say that nothing comes, and which nobody serves any more.
    words: BTreeMap<u64, Word>,
    orphans: BTreeSet<u64>,
    drains: bool,
    /// Told short since then, last by so much, and the last time that sessions went for it.
    short: Option<Micros>,
    delivered: f64,
    stepped: Option<Micros>,
    under_way: usize,
}

/// The sessions whose players can be moved, and what is known of their nodes.
#[derive(Debug)]
pub struct Mover {
    terms: Terms,
    sessions: BTreeMap<u64, Session>,
    nodes: BTreeMap<u64, Node>,
    /// Nodes where there may be a cause: only these are looked at, however many others there are.
    marked: BTreeSet<u64>,
    under_way: usize,
    look: Option<Micros>,
    stalled: Option<Micros>,
    seed: u64,
}

impl Mover {
    pub fn new(terms: Terms, seed: u64) -> Mover {
        Mover {
            terms,
            sessions: BTreeMap::new(),
            nodes: BTreeMap::new(),
            marked: BTreeSet::new(),
            under_way: 0,
            look: None,
            stalled: None,
            seed,
        }
    }

    /// A session plays there, and its player can be moved. `ends`: when it is to end, as far as is known.
    pub fn plays(&mut self, now: Micros, session: SessionId, node: ServerId, ends: Option<Micros>) {
        self.over(session);
        let (to, due, guess) = (None, now, now);
        self.sessions.insert(
            session.0,
            Session {
                node: node.0,
                ends,
                due,
                guess,
                to,
            },
        );
        self.nodes
            .entry(node.0)
            .or_default()
            .sessions
            .insert(session.0);
        self.marked.insert(node.0);
        self.ring(now);
    }

    pub fn knows(&self, session: SessionId) -> bool {
        self.sessions.contains_key(&session.0)
    }

    /// It has ended, or can't be moved any more.
    pub fn over(&mut self, session: SessionId) {
        let Some(gone) = self.sessions.remove(&session.0) else {
            return;
        };
        if let Some(to) = gone.to {
            self.landed(gone.node, to);
        }
        self.leave(gone.node, session.0);
    }

    fn leave(&mut self, node: u64, session: u64) {
        if let Some(at) = self.nodes.get_mut(&node) {
            at.sessions.remove(&session);
            at.words.remove(&session);
            at.orphans.remove(&session);
        }
        self.tidy(node);
    }

    /// Forgets a node of which nothing is to be known.
    fn tidy(&mut self, node: u64) {
        let idle = |n: &Node| n.sessions.is_empty() && !n.drains && n.under_way == 0;
        if self.nodes.get(&node).is_some_and(idle) {
            self.nodes.remove(&node);
            self.marked.remove(&node);
        }
    }

    /// What the list says of a node.
    pub fn drains(&mut self, now: Micros, node: ServerId, drains: bool) {
        if drains || self.nodes.contains_key(&node.0) {
            self.nodes.entry(node.0).or_default().drains = drains;
            self.marked.insert(node.0);
        }
        self.tidy(node.0);
        self.ring(now);
    }

    /// A player says that nothing comes, and how long its buffer lasts.
    pub fn silent(&mut self, now: Micros, session: SessionId, buffer: Micros) {
        self.notice(now);
        if self.stalled.is_some_and(|t| now - t < OLD_NEWS) {
            return;
        }
        if let Some(s) = self.sessions.get(&session.0) {
            let word = Word {
                at: now,
                dry: now + buffer.clamp(0, 60_000_000),
            };
            self.nodes
                .entry(s.node)
                .or_default()
                .words
                .insert(session.0, word);
            self.marked.insert(s.node);
        }
        self.ring(now);
    }

    /// Nobody serves it any more.
    pub fn orphaned(&mut self, now: Micros, session: SessionId) {
        if let Some(s) = self.sessions.get_mut(&session.0) {
            s.due = now;
            self.nodes
                .entry(s.node)
                .or_default()
                .orphans
                .insert(session.0);
            self.marked.insert(s.node);
        }
        self.ring(now);
    }

    /// A node tells what part of the rates it delivers.
    pub fn delivers(&mut self, now: Micros, node: ServerId, part: f64) {
        let Some(n) = self.nodes.get_mut(&node.0) else {
            return;
        };
        n.delivered = part;
        n.short = (part < SHORT).then(|| n.short.unwrap_or(now));
        self.marked.insert(node.0);
        self.ring(now);
    }

    fn ring(&mut self, now: Micros) {
        if self.look.is_none() && !self.sessions.is_empty() {
            self.look = Some(now + LOOK);
        }
    }

    pub fn poll_timeout(&self) -> Option<Micros> {
        self.look
    }

    /// This process stood still, if its look is long overdue: what it hears next was said before, and is no cause.
    fn notice(&mut self, now: Micros) {
        if self.look.is_some_and(|due| now - due > STALL) {
            (self.stalled, self.look) = (Some(now), Some(now + LOOK));
            self.nodes.values_mut().for_each(|n| n.words.clear());
        }
    }

    /// Lets old words go, and nodes where there is nothing to look for any more.
    pub fn handle_timeout(&mut self, now: Micros) {
        self.notice(now);
        if self.look.is_none_or(|due| due > now) {
            return;
        }
        self.look = None;
        let nodes = &mut self.nodes;
        self.marked.retain(|id| {
            let Some(node) = nodes.get_mut(id) else {
                return false;
            };
            node.words.retain(|_, w| now - w.at < WORD);
            node.drains
                || node.short.is_some()
                || !node.words.is_empty()
                || !node.orphans.is_empty()
        });
        self.ring(now);
    }

    /// Whether most players there say that nothing comes: at least two, where there are so many.
    fn silent_at(node: &Node) -> bool {
        let (silent, all) = (node.words.len(), node.sessions.len());
        all > 0 && silent >= 2.min(all) && 2 * silent >= all
    }

    /// Nodes whose players hear nothing, for who places new sessions.
    pub fn silent_nodes(&self) -> Vec<ServerId> {
        let silent = self
            .marked
            .iter()
            .filter(|id| self.nodes.get(id).is_some_and(Mover::silent_at));
        silent.map(|id| ServerId(*id)).collect()
    }

    /// Whether a session is worth a move by what is left of it; `part`: of each second that a move wins.
    fn worth(&self, now: Micros, s: &Session, part: f64) -> bool {
        let left = s.ends.map_or(LASTS_S, |t| (t - now) as f64 / 1e6);
        left * part > self.terms.costs_s
    }

    /// Those to be moved now, the most pressing first, as many as may be under way at once. Each of them is to be
    /// told by [`Mover::began`] or [`Mover::no_room`].
    pub fn wishes(&mut self, now: Micros) -> Vec<(SessionId, Why)> {
        if self.under_way >= self.terms.at_front {
            return Vec::new();
        }
        let mut wishes: Vec<(Why, Micros, u64)> = Vec::new();
        let mut stepped = Vec::new();
        for (id, node) in self
            .marked
            .iter()
            .filter_map(|id| Some((id, self.nodes.get(id)?)))
        {
            let silent = Mover::silent_at(node);
            let short = node.short.filter(|t| now - t >= self.terms.lasts);
            let short = short.filter(|_| node.stepped.is_none_or(|t| now - t >= STEP));
            // Those with a cause of their own, or all.
            let own: BTreeSet<u64> = match node.drains || short.is_some() {
                true => BTreeSet::new(),
                false => node.words.keys().chain(&node.orphans).copied().collect(),
            };
            let looked = if node.drains || short.is_some() {
                &node.sessions
            } else {
                &own
            };
            for (key, s) in looked
                .iter()
                .filter_map(|key| Some((*key, self.sessions.get(key)?)))
            {
                if s.to.is_some() || now < s.due {
                    continue;
                }
                let dry = node.words.get(&key).map(|w| w.dry);
                let leaves = || draw(self.seed ^ key ^ now as u64) > node.delivered;
                let wish = if node.orphans.contains(&key) {
                    (Why::Orphaned, dry.unwrap_or(now))
                } else if silent
                    && now >= s.guess
                    && dry.is_some_and(|dry| dry - now <= self.terms.takes)
                {
                    (Why::Silent, dry.unwrap_or(now))
                } else if node.drains && self.worth(now, s, 1.0) {
                    (Why::Drains, s.ends.map_or(0, |t| -t))
                } else if short.is_some()
                    && now >= s.guess
                    && leaves()
                    && self.worth(now, s, 1.0 - node.delivered)
                {
                    (Why::Short, 0)
                } else {
                    continue;
                };
                wishes.push((wish.0, wish.1, key));
            }
            if short.is_some() {
                stepped.push(*id);
            }
        }
        for id in stepped {
            self.nodes.entry(id).or_default().stepped = Some(now);
        }
        wishes.sort_unstable();
        let mut room: BTreeMap<u64, usize> = BTreeMap::new();
        let free = self.terms.at_front - self.under_way;
        let of_node = |key: &u64| self.sessions[key].node;
        let taken = wishes.into_iter().filter(|(_, _, key)| {
            let node = of_node(key);
            let left = room.entry(node).or_insert_with(|| {
                self.terms
                    .at_node
                    .saturating_sub(self.nodes.get(&node).map_or(0, |n| n.under_way))
            });
            let fits = *left > 0;
            *left = left.saturating_sub(1);
            fits
        });
        taken
            .take(free)
            .map(|(why, _, key)| (SessionId(key), why))
            .collect()
    }

    /// Whether a node may take one more session over now.
    pub fn may_take(&self, node: ServerId) -> bool {
        self.nodes
            .get(&node.0)
            .is_none_or(|n| n.under_way < self.terms.at_node)
    }

    /// A move is under way.
    pub fn began(&mut self, session: SessionId, to: ServerId) {
        let Some(s) = self.sessions.get_mut(&session.0).filter(|s| s.to.is_none()) else {
            return;
        };
        s.to = Some(to.0);
        let from = s.node;
        self.under_way += 1;
        for node in [from, to.0] {
            self.nodes.entry(node).or_default().under_way += 1;
        }
    }

    /// No other node had room for it.
    pub fn no_room(&mut self, now: Micros, session: SessionId) {
        if let Some(s) = self.sessions.get_mut(&session.0) {
            s.due = now + LOOK_AGAIN;
        }
        self.ring(now);
    }

    fn landed(&mut self, from: u64, to: u64) {
        self.under_way = self.under_way.saturating_sub(1);
        for node in [from, to] {
            if let Some(n) = self.nodes.get_mut(&node) {
                n.under_way = n.under_way.saturating_sub(1);
            }
            self.tidy(node);
        }
    }

    /// A move is over. One that did not happen may be tried again at once: what it was for is not done.
    pub fn ended(&mut self, now: Micros, session: SessionId, moved: bool) {
        let Some(s) = self.sessions.get_mut(&session.0) else {
            return;
        };
        let Some(to) = s.to.take() else { return };
        let from = s.node;
        s.due = now + if moved { 0 } else { LOOK };
        if moved {
            s.guess = now + self.terms.again;
            s.node = to;
            self.nodes.entry(to).or_default().sessions.insert(session.0);
            self.marked.insert(to);
            self.leave(from, session.0);
        }
        self.landed(from, to);
        self.ring(now);
    }
}

/// A number from 0 to 1 of its own for each input.
fn draw(x: u64) -> f64 {
    let mut x = x.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x ^= x >> 32;
    x = x.wrapping_mul(0xd6e8_feb8_6659_fd93);
    (x >> 11) as f64 / (1u64 << 53) as f64
}
