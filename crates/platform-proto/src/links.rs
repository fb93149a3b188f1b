//! Connections to media nodes. One set-up at a time is open on a connection where that can be had: a node closes on
//! what it can't read whatever else the connection holds, and a spoilt answer spoils the whole stream.

use crate::HexId;
use crate::rtsp::RtspDecoder;
use shalewall::{Micros, ServerId, SessionId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LinkId(pub u64);

/// A probe's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ProbeId(pub u64);

/// ConnectReason a connection to a node is opened. Each costs a handshake, which a fleet of directors pays hundreds of times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ConnectReason {
    /// There was none to that node yet.
    First,
    /// There was one that has ended since.
    Reconnect,
    /// Those there are in use.
    AllBusy,
    /// Those there have not been used for so long that the node may be closing them.
    AllStale,
    /// Something was given up on those there, or part of a message stands on them.
    AllSuspect,
    /// Sessions stand there, and what the node says of them comes over a connection.
    ActiveSessions,
    /// A node says nothing: it is tried.
    NodeSilent,
}

/// What waits to be written.
pub(crate) enum Item {
    /// The session's attempt of this number, worded when its turn has come.
    SetUp(SessionId, u32),
    /// The word that a set-up is given up: the session's next one waits for it.
    GiveUp(SessionId, HexId),
    /// The word that a session is released: owed on another connection where it is not written on this one.
    Release(HexId),
    Bytes(Vec<u8>),
}

pub(crate) struct Link {
    pub server: ServerId,
    pub up: bool,
    pub reader: RtspDecoder,
    queue: VecDeque<Item>,
    /// The set-up that is being written: not whole yet.
    pub writing: Option<(SessionId, u32)>,
    /// The set-up whose giving up is being written.
    pub giving: Option<(SessionId, HexId)>,
    /// The session whose release is being written.
    pub releasing: Option<HexId>,
    /// Set-ups and probes without an answer.
    pub open: BTreeSet<SessionId>,
    pub probes: BTreeSet<ProbeId>,
    /// A set-up was given up on it and nothing has been heard since: it may be as silent for the next one.
    pub doubt: bool,
    /// Since when part of a message has come and the rest has not.
    pub part: Option<Micros>,
    pub opened: Micros,
    /// Last time that anything was sent or heard.
    pub used: Micros,
    /// Since when bytes wait that its socket does not take.
    pub stuck: Option<Micros>,
    /// The last set-ups that were refused on it. A node that lets one stand all the same says so a little later, and
    /// nobody here would know of that session.
    refused: VecDeque<HexId>,
}

/// One connection holds back so many messages at most; they are small and are written at once unless a node
/// stands still.
const QUEUE: usize = 256;
/// Refused set-ups that are known of a connection. One set-up at a time is open on most.
const REFUSED: usize = 16;
/// Connections to one node: more set-ups at once share them.
const OF_ONE: usize = 16;

impl Link {
    pub fn busy(&self) -> bool {
        let waits = !self.open.is_empty() || !self.probes.is_empty();
        waits || self.unsaid()
    }

    /// Something is still to be written, or being written. Whoever gives the connection up in the middle of a word that
    /// an attempt is given up leaves the next attempt waiting for that word.
    pub fn unsaid(&self) -> bool {
        !self.queue.is_empty()
            || self.writing.is_some()
            || self.giving.is_some()
            || self.releasing.is_some()
    }

    pub fn refuse(&mut self, tag: HexId) {
        if self.refused.len() >= REFUSED {
            self.refused.pop_front();
        }
        self.refused.push_back(tag);
    }

    /// Whether a set-up was refused on it; asked once.
    pub fn take_refused(&mut self, tag: HexId) -> bool {
        let at = self.refused.iter().position(|t| *t == tag);
        at.and_then(|at| self.refused.remove(at)).is_some()
    }

    /// False where nothing more is taken.
    pub fn queue(&mut self, item: Item) -> bool {
        let room = self.queue.len() < QUEUE;
        if room {
            self.queue.push_back(item);
        }
        room
    }

    pub fn pop(&mut self) -> Option<Item> {
        self.queue.pop_front()
    }

    /// What was popped too early goes back.
    pub fn put_back(&mut self, item: Item) {
        self.queue.push_front(item);
    }

    /// Sessions that are given up on it and whose node has not had the word yet.
    pub fn given_up(&self) -> impl Iterator<Item = (SessionId, HexId)> {
        let queued = self.queue.iter().filter_map(|item| match item {
            Item::GiveUp(session, tag) => Some((*session, *tag)),
            Item::SetUp(..) | Item::Release(_) | Item::Bytes(_) => None,
        });
        self.giving.into_iter().chain(queued)
    }

    /// Sessions whose release is not written.
    pub fn unreleased(&self) -> impl Iterator<Item = HexId> {
        let queued = self.queue.iter().filter_map(|item| match item {
            Item::Release(tag) => Some(*tag),
            Item::SetUp(..) | Item::GiveUp(..) | Item::Bytes(_) => None,
        });
        self.releasing.into_iter().chain(queued)
    }

    /// A set-up that has not begun to be written is taken back. True: what stood behind it can go on.
    pub fn unqueue(&mut self, id: SessionId) -> bool {
        let before = self.queue.len();
        self.queue
            .retain(|item| !matches!(item, Item::SetUp(s, _) if *s == id));
        self.queue.len() < before && !self.queue.is_empty()
    }
}

#[derive(Default)]
pub(crate) struct Links {
    all: BTreeMap<LinkId, Link>,
    of: BTreeMap<ServerId, BTreeSet<LinkId>>,
    next: u64,
    /// So many at most.
    pub most: usize,
}

impl Links {
    pub fn new(most: usize) -> Links {
        Links {
            most,
            ..Links::default()
        }
    }

    pub fn get(&mut self, id: LinkId) -> Option<&mut Link> {
        self.all.get_mut(&id)
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = (LinkId, &Link)> {
        self.all.iter().map(|(id, link)| (*id, link))
    }

    pub fn of(&self, server: ServerId) -> impl Iterator<Item = (LinkId, &Link)> {
        self.of
            .get(&server)
            .into_iter()
            .flatten()
            .filter_map(|id| Some((*id, self.all.get(id)?)))
    }

    /// A connection that is up and has nothing open: the one last used, so that the others grow old. One not used
    /// since `since` may be closing at the node's side.
    pub fn idle(&self, server: ServerId, since: Micros) -> Option<LinkId> {
        let sound = |l: &Link| l.up && !l.doubt && l.part.is_none() && l.used >= since;
        let free = self.of(server).filter(|(_, l)| sound(l) && !l.busy());
        free.max_by_key(|(id, l)| (l.used, *id)).map(|(id, _)| id)
    }

    /// Any connection that is up, for what wants no answer: one that answers before one in doubt.
    pub fn any(&self, server: ServerId) -> Option<LinkId> {
        let up = self.of(server).filter(|(_, l)| l.up);
        up.max_by_key(|(id, l)| (!l.doubt, l.used, *id))
            .map(|(id, _)| id)
    }

    /// ConnectReason a set-up that goes there needs a connection of its own. `met`: there was one to that node.
    pub fn why(&self, server: ServerId, since: Micros, met: bool) -> ConnectReason {
        let any = |what: &dyn Fn(&Link) -> bool| self.of(server).any(|(_, l)| what(l));
        match () {
            () if !any(&|_| true) => {
                if met {
                    ConnectReason::Reconnect
                } else {
                    ConnectReason::First
                }
            }
            () if any(&|l| l.up && !l.busy() && !l.doubt && l.used < since) => {
                ConnectReason::AllStale
            }
            () if any(&|l| l.doubt || l.part.is_some()) => ConnectReason::AllSuspect,
            () => ConnectReason::AllBusy,
        }
    }

    /// Whether an earlier attempt of a session is still to be given up.
    pub fn gives_up(&self, session: SessionId) -> bool {
        self.all
            .values()
            .any(|l| l.given_up().any(|(s, _)| s == session))
    }

    /// The connection to share where no further one may be opened.
    pub fn shared(&self, server: ServerId) -> Option<LinkId> {
        let rank = |(id, l): &(LinkId, &Link)| (l.doubt, l.open.len(), *id);
        self.of(server).min_by_key(rank).map(|(id, _)| id)
    }

    /// Whether the node may have another connection, and the fleet.
    pub fn room(&self, server: ServerId) -> bool {
        self.of.get(&server).is_none_or(|of| of.len() < OF_ONE) && self.all.len() < self.most
    }

    pub fn open(&mut self, server: ServerId, now: Micros) -> LinkId {
        let id = LinkId(self.next);
        self.next += 1;
        let link = Link {
            server,
            up: false,
            reader: RtspDecoder::default(),
            queue: VecDeque::new(),
            writing: None,
            giving: None,
            releasing: None,
            open: BTreeSet::new(),
            probes: BTreeSet::new(),
            doubt: false,
            part: None,
            opened: now,
            used: now,
            stuck: None,
            refused: VecDeque::new(),
        };
        self.all.insert(id, link);
        self.of.entry(server).or_default().insert(id);
        id
    }

    pub fn remove(&mut self, id: LinkId) -> Option<Link> {
        let link = self.all.remove(&id)?;
        if let Some(of) = self.of.get_mut(&link.server) {
            of.remove(&id);
            if of.is_empty() {
                self.of.remove(&link.server);
            }
        }
        Some(link)
    }
}
