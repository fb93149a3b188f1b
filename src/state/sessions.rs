//! A director's sessions, in set-up or playing, and running counts of them for decisions.
//!
//! Scanning all sessions for each decision would not scale. So every change goes through [`SessionIndex`],
//! which keeps the counts equal to what such a scan would find.

use crate::interface::{Request, ServerId, SessionId, TitleId};
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

/// Marks placeholder ids. Session ids are below this bit.
const PLACEHOLDER_BIT: u64 = 1 << 52;

/// A request with the attempts sent for it so far. Admission consumes it: the request either moves into the
/// [`ActiveSession`] of its next attempt, or is rejected and dropped, so that neither can happen twice.
#[derive(Clone)]
pub(crate) struct PendingRequest {
    pub request: Request,
    /// Number of attempts sent. Attempts are numbered from 0.
    pub attempts: u32,
    /// Servers to which an attempt was sent.
    pub tried: Vec<ServerId>,
    /// Whether the session has been set up already, so that a migration to another server does not set it up
    /// again.
    pub is_set_up: bool,
    /// Number of servers that answered it with an error.
    pub error_responses: u32,
}

impl PendingRequest {
    /// A request without any attempts yet.
    pub fn new(request: Request) -> PendingRequest {
        PendingRequest { request, attempts: 0, tried: Vec::new(), is_set_up: false, error_responses: 0 }
    }

    /// A request whose session already plays at a server.
    pub fn already_at(server: ServerId, request: Request) -> PendingRequest {
        PendingRequest { tried: vec![server], is_set_up: true, ..PendingRequest::new(request) }
    }
}

/// The state of a session's latest attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SessionState {
    /// In flight, without an answer yet.
    AwaitingAnswer,
    /// The session plays.
    Playing,
    /// The request is answered or withdrawn while the attempt is in flight. It still counts towards session
    /// limits and rates, and is not retried. Also the state of a migration's placeholder.
    Closed,
}

/// A request with an attempt in flight, or the session that resulted from it.
pub(crate) struct ActiveSession {
    pub pending: PendingRequest,
    pub state: SessionState,
    pub server: ServerId,
    pub rung: usize,
    pub rate_kb_s: f64,
    pub sent_at: Timestamp,
    /// Earliest time at which its rung may be reconsidered.
    pub reconsider_at: Timestamp,
}

impl ActiveSession {
    /// Whether the attempt is still unanswered.
    pub fn awaits_answer(&self) -> bool {
        self.state == SessionState::AwaitingAnswer
    }

    /// Whether it plays.
    pub fn is_playing(&self) -> bool {
        self.state == SessionState::Playing
    }
}

/// The id under which a migrating session is counted at its target.
pub(crate) fn placeholder_id(id: SessionId) -> SessionId {
    SessionId(id.0 | PLACEHOLDER_BIT)
}

/// Sessions ordered by the time of their latest attempt, or by when they may be reconsidered.
pub(crate) type SessionsByTime = BTreeSet<(Timestamp, SessionId)>;

/// Number of sessions with a later time.
pub(crate) fn count_after(sessions: &SessionsByTime, time: Timestamp) -> usize {
    sessions.range((Excluded((time, SessionId(u64::MAX))), Unbounded)).count()
}

/// Playing sessions that are equivalent for decisions on their rung.
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

/// Totals of a tenant's sessions at this director.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct TenantUsage {
    pub sessions: usize,
    pub rate_kb_s: f64,
}

/// The active sessions with their counts and indexes.
#[derive(Default)]
pub(crate) struct SessionIndex {
    sessions: BTreeMap<SessionId, ActiveSession>,
    pub by_class: BTreeMap<usize, usize>,
    pub by_title: BTreeMap<TitleId, usize>,
    pub by_tenant: BTreeMap<usize, TenantUsage>,
    /// Sum of the rates of all sessions that have a tenant, kB/s.
    pub tenants_rate_kb_s: f64,
    pub by_send_time: SessionsByTime,
    pub by_server: BTreeMap<ServerId, SessionsByTime>,
    /// Number of sessions per server whose attempt is in flight.
    pub not_playing: BTreeMap<ServerId, usize>,
    /// Playing sessions by group, ordered by when they may be reconsidered.
    pub playing: BTreeMap<SessionGroup, SessionsByTime>,
}

impl SessionIndex {
    /// Number of sessions.
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// The session with this id.
    pub fn get(&self, id: SessionId) -> Option<&ActiveSession> {
        self.sessions.get(&id)
    }

    /// Whether there is a session with this id.
    pub fn contains(&self, id: SessionId) -> bool {
        self.sessions.contains_key(&id)
    }

    /// All sessions, by id.
    pub fn iter(&self) -> impl Iterator<Item = &ActiveSession> {
        self.sessions.values()
    }

    /// Adds a session.
    pub fn insert(&mut self, session: ActiveSession) {
        self.update_counts(&session, true);
        self.sessions.insert(session.pending.request.session, session);
    }

    /// Removes a session.
    pub fn remove(&mut self, id: SessionId) -> Option<ActiveSession> {
        let session = self.sessions.remove(&id)?;
        self.update_counts(&session, false);
        Some(session)
    }

    /// Changes a session, if it exists.
    pub fn update(&mut self, id: SessionId, change: impl FnOnce(&mut ActiveSession)) {
        let Some(mut session) = self.remove(id) else { return };
        change(&mut session);
        self.insert(session);
    }

    /// The groups of sessions that play at a server.
    pub fn groups_at(&self, server: ServerId) -> impl Iterator<Item = (&SessionGroup, &SessionsByTime)> {
        let first = SessionGroup { server, class: 0, rung: 0, highest_rung: 0, tenant: None };
        self.playing.range(first..).take_while(move |(group, _)| group.server == server)
    }

    /// Adds a session to every count and index, or removes it.
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
        // Adding and subtracting rates accumulates rounding errors, so the sum is reset when no sessions are
        // left.
        if self.by_tenant.is_empty() {
            self.tenants_rate_kb_s = 0.0;
        }
    }
}

/// Increments or decrements a key's count; a key with count 0 is removed.
fn update_count<K: Ord + Copy>(counts: &mut BTreeMap<K, usize>, key: K, is_entering: bool) {
    let count = counts.entry(key).or_default();
    *count = if is_entering { *count + 1 } else { count.saturating_sub(1) };
    if *count == 0 {
        counts.remove(&key);
    }
}

/// Adds a session to a key's set or removes it; an empty set is removed.
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
