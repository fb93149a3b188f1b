//! The sessions that a director has out or playing, and the counts of them that decisions read.
//!
//! A decision that walked all sessions would cost the more the more of them play. So every change goes through
//! [`SessionIndex`], which keeps the counts equal to what such a walk would find.

use crate::interface::{Request, ServerId, SessionId, TitleId};
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

/// Ids of sessions are below this bit.
const PLACEHOLDER_BIT: u64 = 1 << 52;

/// A request without an attempt. Sending and answering consume it, so neither can happen twice.
#[derive(Clone)]
pub(crate) struct PendingRequest {
    pub request: Request,
    /// Attempts sent; the last one's number is one less.
    pub attempts: u32,
    /// Servers that an attempt was sent to.
    pub tried: Vec<ServerId>,
    /// It has been set up once, so that asking another server sets nothing up.
    pub is_set_up: bool,
    /// Servers that answered it with an error.
    pub error_responses: u32,
}

impl PendingRequest {
    /// A request that no attempt was sent for.
    pub fn new(request: Request) -> PendingRequest {
        PendingRequest { request, attempts: 0, tried: Vec::new(), is_set_up: false, error_responses: 0 }
    }

    /// A request whose session plays at a server already.
    pub fn already_at(server: ServerId, request: Request) -> PendingRequest {
        PendingRequest { tried: vec![server], is_set_up: true, ..PendingRequest::new(request) }
    }
}

/// How far the attempt of a session is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SessionState {
    /// Sent, no answer yet.
    AwaitingAnswer,
    /// It plays.
    Playing,
    /// Answered or withdrawn while its attempt is still out: holds its seat and rate, is never sent again.
    Closed,
}

/// A request with its one attempt that is out, or the session that it became.
pub(crate) struct ActiveSession {
    pub pending: PendingRequest,
    pub state: SessionState,
    pub server: ServerId,
    pub rung: usize,
    pub rate_kb_s: f64,
    pub sent_at: Timestamp,
    /// From then on its rung may be decided anew.
    pub reconsider_at: Timestamp,
}

impl ActiveSession {
    /// Whether an answer to this attempt is still awaited.
    pub fn awaits_answer(&self) -> bool {
        self.state == SessionState::AwaitingAnswer
    }

    /// Whether it plays.
    pub fn is_playing(&self) -> bool {
        self.state == SessionState::Playing
    }
}

/// The id under which a session holds its seat and rate at the server that it migrates to.
pub(crate) fn placeholder_id(id: SessionId) -> SessionId {
    SessionId(id.0 | PLACEHOLDER_BIT)
}

/// Sessions by the time of their last send, or by when they may be reconsidered.
pub(crate) type SessionsByTime = BTreeSet<(Timestamp, SessionId)>;

/// How many of the sessions have a later time.
pub(crate) fn count_after(sessions: &SessionsByTime, time: Timestamp) -> usize {
    sessions.range((Excluded((time, SessionId(u64::MAX))), Unbounded)).count()
}

/// Playing sessions for which the same is decided anew.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SessionGroup {
    pub server: ServerId,
    pub class: usize,
    pub rung: usize,
    /// Highest rung that the viewers can use.
    pub highest_rung: usize,
    pub tenant: Option<usize>,
}

impl SessionGroup {
    /// The group that a session belongs to while it plays.
    pub fn of(session: &ActiveSession) -> SessionGroup {
        let request = &session.pending.request;
        SessionGroup {
            server: session.server,
            class: request.class,
            rung: session.rung,
            highest_rung: request.highest_rung,
            tenant: request.tenant,
        }
    }
}

/// What a tenant's sessions here hold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct TenantUsage {
    pub sessions: usize,
    pub rate_kb_s: f64,
}

/// The sessions held, and what is counted of them.
#[derive(Default)]
pub(crate) struct SessionIndex {
    sessions: BTreeMap<SessionId, ActiveSession>,
    pub by_class: BTreeMap<usize, usize>,
    pub by_title: BTreeMap<TitleId, usize>,
    pub by_tenant: BTreeMap<usize, TenantUsage>,
    /// Rate of all sessions that have a tenant, kB a second.
    pub tenants_rate_kb_s: f64,
    pub by_send_time: SessionsByTime,
    pub by_server: BTreeMap<ServerId, SessionsByTime>,
    /// Sessions at a server that do not play: sent and not over.
    pub not_playing: BTreeMap<ServerId, usize>,
    /// Sessions that play, by when they may be reconsidered.
    pub playing: BTreeMap<SessionGroup, SessionsByTime>,
}

impl SessionIndex {
    /// Number of sessions held.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// The session of this id.
    pub fn get(&self, id: SessionId) -> Option<&ActiveSession> {
        self.sessions.get(&id)
    }

    /// Whether a session of this id is held.
    pub fn contains(&self, id: SessionId) -> bool {
        self.sessions.contains_key(&id)
    }

    /// All sessions, by id.
    pub fn iter(&self) -> impl Iterator<Item = &ActiveSession> {
        self.sessions.values()
    }

    /// Enters a session.
    pub fn insert(&mut self, session: ActiveSession) {
        self.update_counts(&session, true);
        self.sessions.insert(session.pending.request.session, session);
    }

    /// Takes a session out.
    pub fn remove(&mut self, id: SessionId) -> Option<ActiveSession> {
        let session = self.sessions.remove(&id)?;
        self.update_counts(&session, false);
        Some(session)
    }

    /// Changes a session, if it is held.
    pub fn update(&mut self, id: SessionId, change: impl FnOnce(&mut ActiveSession)) {
        let Some(mut session) = self.remove(id) else { return };
        change(&mut session);
        self.insert(session);
    }

    /// The groups that play at a server.
    pub fn groups_at(&self, server: ServerId) -> impl Iterator<Item = (&SessionGroup, &SessionsByTime)> {
        let first = SessionGroup { server, class: 0, rung: 0, highest_rung: 0, tenant: None };
        self.playing.range(first..).take_while(move |(group, _)| group.server == server)
    }

    /// Enters a session into every count, or takes it out.
    fn update_counts(&mut self, session: &ActiveSession, is_entering: bool) {
        let request = &session.pending.request;
        let server = session.server;
        update_count(&mut self.by_class, request.class, is_entering);
        update_count(&mut self.by_title, request.title, is_entering);
        if let Some(tenant) = request.tenant {
            self.update_tenant(tenant, session.rate_kb_s, is_entering);
        }
        let sent = (session.sent_at, request.session);
        if is_entering {
            self.by_send_time.insert(sent);
        } else {
            self.by_send_time.remove(&sent);
        }
        update_set(&mut self.by_server, server, sent, is_entering);
        if session.is_playing() {
            let entry = (session.reconsider_at, request.session);
            update_set(&mut self.playing, SessionGroup::of(session), entry, is_entering);
        } else {
            update_count(&mut self.not_playing, server, is_entering);
        }
    }

    fn update_tenant(&mut self, tenant: usize, rate_kb_s: f64, is_entering: bool) {
        let change = if is_entering { rate_kb_s } else { -rate_kb_s };
        let usage = self.by_tenant.entry(tenant).or_default();
        usage.sessions = if is_entering { usage.sessions + 1 } else { usage.sessions.saturating_sub(1) };
        usage.rate_kb_s += change;
        self.tenants_rate_kb_s += change;
        if usage.sessions == 0 {
            self.by_tenant.remove(&tenant);
        }
        // Sums of rates that came and went stray by rounding; nothing held is exactly nothing.
        if self.by_tenant.is_empty() {
            self.tenants_rate_kb_s = 0.0;
        }
    }
}

/// Counts one more or one less of a key; a key without any goes.
fn update_count<K: Ord + Copy>(counts: &mut BTreeMap<K, usize>, key: K, is_entering: bool) {
    let count = counts.entry(key).or_default();
    *count = if is_entering { *count + 1 } else { count.saturating_sub(1) };
    if *count == 0 {
        counts.remove(&key);
    }
}

/// Enters a session into a key's set or takes it out; an empty set goes.
fn update_set<K: Ord + Copy>(
    sets: &mut BTreeMap<K, SessionsByTime>,
    key: K,
    entry: (Timestamp, SessionId),
    is_entering: bool,
) {
    let set = sets.entry(key).or_default();
    if is_entering {
        set.insert(entry);
    } else {
        set.remove(&entry);
    }
    if set.is_empty() {
        sets.remove(&key);
    }
}
