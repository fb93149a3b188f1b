//! Viewers' connections: what they have said, what they are owed, and when one may be closed.

use crate::lines::Lines;
use crate::{Hex16, MESSAGE};
use shalewall::{Micros, SessionId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::IpAddr;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ViewerId(pub u64);

/// Who connects and says nothing, or begins a message and stops, is closed after this: the platform wants it within
/// 3 s of connecting.
const WORD: Micros = 2_000_000;
/// A connection without set-up and session is closed after this; viewers close theirs after 4 s.
const IDLE: Micros = 10_000_000;
/// Bytes held back for one who does not read.
const QUEUE: usize = 16 * MESSAGE;
/// Releases kept for viewers without a connection, and how long: later they help nobody.
const KEPT: usize = 4096;
const KEPT_FOR: Micros = 8_000_000;

pub(crate) struct Viewer {
    ip: IpAddr,
    pub lines: Lines,
    /// Lines to write; of an answer also whose it is, as long as it can be taken back.
    queue: VecDeque<(Option<Hex16>, Vec<u8>)>,
    queued: usize,
    /// Set-ups without an answer, and sessions that stand.
    pub open: BTreeSet<SessionId>,
    pub standing: BTreeSet<SessionId>,
    opened: Micros,
    pub last: Micros,
    /// It has said something that could be read.
    pub said: bool,
    /// Since when part of a message has come and the rest has not.
    pub part: Option<Micros>,
    /// Closed as soon as its queue is written.
    pub closing: bool,
}

impl Viewer {
    fn may_close(&self, now: Micros) -> bool {
        let word = |since: Micros| now - since >= WORD;
        let quiet = self.open.is_empty() && self.queue.is_empty();
        let silent = (!self.said && word(self.opened)) || self.part.is_some_and(word);
        quiet && (silent || (self.standing.is_empty() && now - self.last >= IDLE))
    }
}

#[derive(Default)]
pub(crate) struct Viewers {
    pub all: BTreeMap<ViewerId, Viewer>,
    next: u64,
    /// So many at most.
    most: usize,
    /// Releases that found no connection: until when, whose, what.
    kept: VecDeque<(Micros, IpAddr, Vec<u8>)>,
}

impl Viewers {
    pub fn new(most: usize) -> Viewers {
        Viewers { most, ..Viewers::default() }
    }

    /// A connection has come. Where there are too many, also the one to close for it: one that said nothing yet
    /// before one that is merely idle, the oldest first. None: there is no room.
    pub fn open(&mut self, ip: IpAddr, now: Micros) -> Option<(ViewerId, Option<ViewerId>)> {
        let mut spare = None;
        if self.all.len() >= self.most {
            let useless = |v: &&Viewer| v.open.is_empty() && v.standing.is_empty() && v.queue.is_empty();
            let found = self.all.iter().filter(|(_, v)| useless(v)).min_by_key(|(_, v)| (v.said, v.last));
            spare = Some(found.map(|(id, _)| *id)?);
        }
        let id = ViewerId(self.next);
        self.next += 1;
        let mut viewer = Viewer {
            ip,
            lines: Lines::default(),
            queue: VecDeque::new(),
            queued: 0,
            open: BTreeSet::new(),
            standing: BTreeSet::new(),
            opened: now,
            last: now,
            said: false,
            part: None,
            closing: false,
        };
        self.kept.retain_mut(|(_, whose, bytes)| {
            let other = *whose != ip;
            if !other {
                viewer.queue.push_back((None, std::mem::take(bytes)));
            }
            other
        });
        self.all.insert(id, viewer);
        Some((id, spare))
    }

    /// Queues a line; `answer`: the session that it answers. False where the connection is gone, or its peer reads
    /// nothing and it is to be closed.
    pub fn say(&mut self, id: ViewerId, answer: Option<Hex16>, bytes: Vec<u8>) -> bool {
        let Some(viewer) = self.all.get_mut(&id) else { return false };
        if viewer.queued + bytes.len() > QUEUE {
            return false;
        }
        viewer.queued += bytes.len();
        viewer.queue.push_back((answer, bytes));
        true
    }

    /// Takes back an answer that has not begun to be written. False: it is on its way, or has been read.
    pub fn take_back(&mut self, id: ViewerId, tag: Hex16) -> bool {
        let Some(viewer) = self.all.get_mut(&id) else { return false };
        let Some(at) = viewer.queue.iter().position(|(answer, _)| *answer == Some(tag)) else { return false };
        let taken = viewer.queue.remove(at).map_or(0, |(_, bytes)| bytes.len());
        viewer.queued -= taken.min(viewer.queued);
        true
    }

    /// The next bytes to write.
    pub fn pop(&mut self, id: ViewerId) -> Option<Vec<u8>> {
        let viewer = self.all.get_mut(&id)?;
        let (_, bytes) = viewer.queue.pop_front()?;
        viewer.queued -= bytes.len().min(viewer.queued);
        Some(bytes)
    }

    /// A connection of the same address, the last one heard.
    pub fn near(&self, ip: IpAddr) -> Option<ViewerId> {
        let same = self.all.iter().filter(|(_, v)| v.ip == ip && !v.closing);
        same.max_by_key(|(id, v)| (v.last, **id)).map(|(id, _)| *id)
    }

    /// A release that finds no connection waits for the next one of its viewer.
    pub fn keep(&mut self, ip: IpAddr, bytes: Vec<u8>, now: Micros) {
        if self.kept.len() >= KEPT {
            self.kept.pop_front();
        }
        self.kept.push_back((now + KEPT_FOR, ip, bytes));
    }

    pub fn ip(&self, id: ViewerId) -> Option<IpAddr> {
        self.all.get(&id).map(|v| v.ip)
    }

    /// Those to close now.
    pub fn stale(&mut self, now: Micros) -> Vec<ViewerId> {
        while self.kept.front().is_some_and(|(until, _, _)| *until <= now) {
            self.kept.pop_front();
        }
        self.all.iter().filter(|(_, v)| v.may_close(now)).map(|(id, _)| *id).collect()
    }
}
