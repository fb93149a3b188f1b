//! Viewers' connections: what they have said, what they are owed, and when one may be closed.

use crate::MAX_MESSAGE_BYTES;
use crate::viewer_message::LineDecoder;
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
/// One that is told why it is closed may read that word: its connection is read, and what comes is passed over, until
/// it has closed, too. So long and so many bytes at most: closed with bytes unread, a connection is reset, and the
/// reset may destroy what was said last.
const PARTING: Micros = 1_000_000;
const IGNORED: usize = 256 * 1024;
/// Connections beyond the most there may be, while those closed for them turn out to have something to say.
const BEYOND: usize = 16;
/// Bytes held back for one who does not read.
const QUEUE: usize = 16 * MAX_MESSAGE_BYTES;
/// Releases kept for viewers without a connection, and how long: later they help nobody.
const KEPT: usize = 4096;
const KEPT_FOR: Micros = 8_000_000;

/// What a line to a viewer is: what is to be done if its connection ends before it is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Word {
    /// This session stands: one whose viewer never heard of it is nobody's, and ends.
    Answer(SessionId),
    /// A session that stood is over: owed on any other connection of the viewer, or on its next one.
    Release,
    /// Of use on this connection only.
    Other,
}

/// What a connection that ends leaves unsaid.
#[derive(Default)]
pub(crate) struct Unsaid {
    pub answers: Vec<SessionId>,
    pub releases: Vec<Vec<u8>>,
}

pub(crate) struct Viewer {
    ip: IpAddr,
    pub lines: LineDecoder,
    /// LineDecoder to write.
    queue: VecDeque<(Word, Vec<u8>)>,
    queued: usize,
    /// The line that is being written: whoever is closed in the middle of it has not heard it.
    writing: Option<(Word, Vec<u8>)>,
    /// Set-ups without an answer, and sessions that stand.
    pub open: BTreeSet<SessionId>,
    pub standing: BTreeSet<SessionId>,
    opened: Micros,
    pub last: Micros,
    /// It has said something that could be read.
    pub said: bool,
    /// Since when part of a message has come and the rest has not.
    pub part: Option<Micros>,
    /// Closed as soon as its queue is written: since when, and what came since.
    closing: Option<Micros>,
    ignored: usize,
    /// Closed as soon as nothing of it waits unread.
    parting: bool,
}

impl Viewer {
    fn may_close(&self, now: Micros) -> bool {
        let word = |since: Micros| now - since >= WORD;
        let quiet = self.open.is_empty() && !self.unsaid() && !self.parting;
        let silent = (!self.said && word(self.opened)) || self.part.is_some_and(word);
        quiet && (silent || (self.standing.is_empty() && now - self.last >= IDLE))
    }

    fn unsaid(&self) -> bool {
        !self.queue.is_empty() || self.writing.is_some()
    }

    /// Closed once all is written; no more of it is looked at.
    pub fn close(&mut self, now: Micros) {
        self.closing = Some(now);
        self.lines = LineDecoder::default();
    }

    pub fn closes(&self) -> bool {
        self.closing.is_some()
    }

    /// It said something again, while it was to be closed for saying nothing.
    pub fn speaks(&mut self, now: Micros) {
        (self.last, self.parting) = (now, false);
    }
}

#[derive(Default)]
pub(crate) struct Viewers {
    pub all: BTreeMap<ViewerId, Viewer>,
    next: u64,
    /// So many at most.
    most: usize,
    /// Releases that found no connection: until when, whose, what. Those of one address are said in this order.
    kept: VecDeque<(Micros, IpAddr, Vec<u8>)>,
}

impl Viewers {
    pub fn new(most: usize) -> Viewers {
        Viewers {
            most,
            ..Viewers::default()
        }
    }

    /// A connection has come. Where there are too many, also the one to close for it: one that said nothing yet
    /// before one that is merely idle, the oldest first. None: there is no room.
    pub fn open(&mut self, ip: IpAddr, now: Micros) -> Option<(ViewerId, Option<ViewerId>)> {
        let mut spare = None;
        if self.all.len() >= self.most {
            let useless = |v: &Viewer| {
                v.open.is_empty() && v.standing.is_empty() && !v.unsaid() && !v.parting
            };
            let found = self
                .all
                .iter()
                .filter(|(_, v)| useless(v))
                .min_by_key(|(_, v)| (v.said, v.last));
            let found = found
                .map(|(id, _)| *id)
                .filter(|_| self.all.len() < self.most + BEYOND);
            spare = Some(found?);
        }
        let id = ViewerId(self.next);
        self.next += 1;
        let mut viewer = Viewer {
            ip,
            lines: LineDecoder::default(),
            queue: VecDeque::new(),
            queued: 0,
            writing: None,
            open: BTreeSet::new(),
            standing: BTreeSet::new(),
            opened: now,
            last: now,
            said: false,
            part: None,
            closing: None,
            ignored: 0,
            parting: false,
        };
        self.kept.retain_mut(|(_, whose, bytes)| {
            let other = *whose != ip;
            if !other {
                viewer.queued += bytes.len();
                viewer
                    .queue
                    .push_back((Word::Release, std::mem::take(bytes)));
            }
            other
        });
        self.all.insert(id, viewer);
        Some((id, spare))
    }

    /// Queues a line. False where the connection is gone, or its peer reads nothing and it is to be closed.
    pub fn say(&mut self, id: ViewerId, word: Word, bytes: Vec<u8>) -> bool {
        let Some(viewer) = self.all.get_mut(&id) else {
            return false;
        };
        if viewer.queued + bytes.len() > QUEUE {
            return false;
        }
        viewer.queued += bytes.len();
        viewer.queue.push_back((word, bytes));
        true
    }

    /// What it comes to if the connection ends now.
    pub fn unsaid(&mut self, id: ViewerId) -> Unsaid {
        let mut unsaid = Unsaid::default();
        let Some(viewer) = self.all.get_mut(&id) else {
            return unsaid;
        };
        for (word, bytes) in viewer
            .writing
            .take()
            .into_iter()
            .chain(viewer.queue.drain(..))
        {
            match word {
                Word::Answer(session) => unsaid.answers.push(session),
                Word::Release => unsaid.releases.push(bytes),
                Word::Other => {}
            }
        }
        unsaid
    }

    /// Whether anything is still to be written to anybody.
    pub fn any_unsaid(&self) -> bool {
        self.all.values().any(Viewer::unsaid)
    }

    /// Bytes of one that is being closed: passed over. False: they are too many.
    pub fn ignore(&mut self, id: ViewerId, bytes: usize) -> bool {
        self.all.get_mut(&id).is_none_or(|v| {
            v.ignored += bytes;
            v.ignored <= IGNORED
        })
    }

    /// To be closed if nothing of it waits unread: what comes with that close is lost, and whoever sent it earlier than
    /// the close could not know.
    pub fn part(&mut self, id: ViewerId) {
        self.all.entry(id).and_modify(|v| v.parting = true);
    }

    pub fn parts(&self, id: ViewerId) -> bool {
        self.all.get(&id).is_some_and(|v| v.parting)
    }

    /// Takes back an answer that has not begun to be written. False: it is on its way, or has been read.
    pub fn take_back(&mut self, id: ViewerId, session: SessionId) -> bool {
        let Some(viewer) = self.all.get_mut(&id) else {
            return false;
        };
        let Some(at) = viewer
            .queue
            .iter()
            .position(|(word, _)| *word == Word::Answer(session))
        else {
            return false;
        };
        let taken = viewer.queue.remove(at).map_or(0, |(_, bytes)| bytes.len());
        viewer.queued -= taken.min(viewer.queued);
        true
    }

    /// The next bytes to write; those before have been written.
    pub fn pop(&mut self, id: ViewerId) -> Option<Vec<u8>> {
        let viewer = self.all.get_mut(&id)?;
        viewer.writing = None;
        let (word, bytes) = viewer.queue.pop_front()?;
        viewer.queued -= bytes.len().min(viewer.queued);
        // Only a release is said again.
        let again = if word == Word::Release {
            bytes.clone()
        } else {
            Vec::new()
        };
        viewer.writing = Some((word, again));
        Some(bytes)
    }

    /// The bytes given last are still to be written, all of them.
    pub fn untaken(&mut self, id: ViewerId, bytes: Vec<u8>) {
        let Some(viewer) = self.all.get_mut(&id) else {
            return;
        };
        if let Some((word, _)) = viewer.writing.take() {
            viewer.queued += bytes.len();
            viewer.queue.push_front((word, bytes));
        }
    }

    /// A connection of the same address, the last one heard.
    pub fn near(&self, ip: IpAddr) -> Option<ViewerId> {
        let same = self.all.iter().filter(|(_, v)| v.ip == ip && !v.closes());
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

    /// Those to close at once: told to go, and still there.
    pub fn overdue(&self, now: Micros) -> Vec<ViewerId> {
        let overdue = |v: &Viewer| v.closing.is_some_and(|since| now - since >= PARTING);
        self.all
            .iter()
            .filter(|(_, v)| overdue(v))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Those to close now.
    pub fn stale(&mut self, now: Micros) -> Vec<ViewerId> {
        while self.kept.front().is_some_and(|(until, _, _)| *until <= now) {
            self.kept.pop_front();
        }
        self.all
            .iter()
            .filter(|(_, v)| !v.closes() && v.may_close(now))
            .map(|(id, _)| *id)
            .collect()
    }
}
