//! The sessions that a director holds, and what is counted of them. Nothing is decided here.

use crate::interface::*;
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

/// A request without an attempt. Sending and answering consume it, so neither can happen twice.
#[derive(Clone)]
pub(super) struct Ask {
    pub req: Request,
    pub attempts: u32, // attempts sent; the last one's number is one less
    pub tried: Vec<ServerId>,
    /// It has been set up, so that asking again sets nothing up.
    pub booked: bool,
    pub errors: u32, // servers that answered it with an error
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    Pending, // sent, no answer yet
    Plays,
    /// Answered or withdrawn while its attempt is still out: holds its seat and rate, is never sent again.
    Closed,
}

/// A request with its one attempt that is out, or the session that it became.
pub(super) struct Live {
    pub ask: Ask,
    pub state: State,
    pub server: ServerId,
    pub rung: usize,
    pub kb: f64,
    pub sent: Timestamp,
    pub due: Timestamp, // from then on its rung may be decided anew
}

/// What stands for a session at the server that it is handed over to. Ids of sessions are below 2^52.
pub(super) fn twin(id: SessionId) -> SessionId {
    SessionId(id.0 | 1 << 52)
}

/// Sessions by the time of their last send, or by when they are due.
pub(super) type ByTime = BTreeSet<(Timestamp, SessionId)>;

/// Sessions for which the same is decided anew.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Group {
    pub server: ServerId,
    pub class: usize,
    pub rung: usize,
    /// The viewer's highest.
    pub top: usize,
    pub tenant: Option<usize>,
}

/// New viewers of one step of time: how many, and the seconds that they want, by class.
#[derive(Default)]
pub(super) struct Arrivals {
    pub from: Timestamp,
    pub count: f64,
    pub seconds: BTreeMap<usize, f64>,
}

/// The sessions held, and what is counted of them: a decision that walked them all would cost the more the
/// more of them play. Every change goes through here, so that the counts can't stray.
#[derive(Default)]
pub(super) struct Held {
    pub live: BTreeMap<SessionId, Live>,
    pub by_class: BTreeMap<usize, usize>,
    pub by_title: BTreeMap<TitleId, usize>,
    /// Sessions and rates held, kB a second; and the sum of these.
    pub by_tenant: BTreeMap<usize, (usize, f64)>,
    pub tenants_kb: f64,
    pub sent: ByTime,
    pub at: BTreeMap<ServerId, ByTime>,
    pub out: BTreeMap<ServerId, usize>, // those that do not play: sent and not over
    pub due: BTreeMap<Group, ByTime>,   // those that play, by when they are due to be decided anew
}

impl Held {
    pub fn insert(&mut self, live: Live) {
        self.count(&live, true);
        self.live.insert(live.ask.req.session, live);
    }

    pub fn remove(&mut self, id: SessionId) -> Option<Live> {
        let live = self.live.remove(&id)?;
        self.count(&live, false);
        Some(live)
    }

    pub fn change(&mut self, id: SessionId, work: impl FnOnce(&mut Live)) {
        let Some(mut live) = self.remove(id) else { return };
        work(&mut live);
        self.insert(live);
    }

    /// The groups that play at a server.
    pub fn groups(&self, server: ServerId) -> impl Iterator<Item = (&Group, &ByTime)> {
        let first = Group { server, class: 0, rung: 0, top: 0, tenant: None };
        self.due.range(first..).take_while(move |(g, _)| g.server == server)
    }

    /// Enters a session into every count, or takes it out; what is empty goes.
    fn count(&mut self, live: &Live, enter: bool) {
        fn tally<K: Ord + Copy>(counts: &mut BTreeMap<K, usize>, key: K, enter: bool) {
            let n = counts.entry(key).or_default();
            *n = if enter { *n + 1 } else { n.saturating_sub(1) };
            if *n == 0 {
                counts.remove(&key);
            }
        }
        type Sets<K> = BTreeMap<K, ByTime>;
        fn file<K: Ord + Copy>(sets: &mut Sets<K>, key: K, entry: (Timestamp, SessionId), enter: bool) {
            let set = sets.entry(key).or_default();
            let _ = if enter { set.insert(entry) } else { set.remove(&entry) };
            if set.is_empty() {
                sets.remove(&key);
            }
        }
        let (req, server) = (&live.ask.req, live.server);
        tally(&mut self.by_class, req.class, enter);
        tally(&mut self.by_title, req.title, enter);
        if let Some(tenant) = req.tenant {
            let change = if enter { live.kb } else { -live.kb };
            let (sessions, kb) = self.by_tenant.entry(tenant).or_default();
            *sessions = if enter { *sessions + 1 } else { sessions.saturating_sub(1) };
            *kb += change;
            self.tenants_kb += change;
            if *sessions == 0 {
                self.by_tenant.remove(&tenant);
            }
            if self.by_tenant.is_empty() {
                self.tenants_kb = 0.0;
            }
        }
        let sent = (live.sent, req.session);
        let _ = if enter { self.sent.insert(sent) } else { self.sent.remove(&sent) };
        file(&mut self.at, server, sent, enter);
        if live.state != State::Plays {
            tally(&mut self.out, server, enter);
        } else {
            let group = Group {
                server,
                class: req.class,
                rung: live.rung,
                top: req.highest_rung,
                tenant: req.tenant,
            };
            file(&mut self.due, group, (live.due, req.session), enter);
        }
    }
}

/// How many there are later than a time.
pub(super) fn later(set: &ByTime, than: Timestamp) -> usize {
    set.range((Excluded((than, SessionId(u64::MAX))), Unbounded)).count()
}
