//! All sessions of one director, indexed by id, by the viewer's key and by the requests that wait for an answer.

use crate::ids::RequestId;
use crate::output::{SessionCounts, SessionSummary};
use crate::session::{Session, Stage};
use crate::session_migration::SessionMigration;
use shalewall::SessionId;
use std::collections::{BTreeMap, HashMap};

// A session id has 52 bits: 10 for the director's number, 14 for its incarnation and 28 for a counter.
const DIRECTOR_BITS: u32 = 10;
const INCARNATION_BITS: u32 = 14;
const COUNTER_BITS: u32 = 28;

/// The sessions of one director process.
pub(crate) struct SessionTable {
    sessions: BTreeMap<SessionId, Session>,
    by_viewer: HashMap<u64, SessionId>,
    by_request: HashMap<RequestId, SessionId>,
    next_id: u64,
}

impl SessionTable {
    pub fn new(director: u32, incarnation: u16) -> SessionTable {
        let director = u64::from(director) & ((1 << DIRECTOR_BITS) - 1);
        let incarnation = u64::from(incarnation) & ((1 << INCARNATION_BITS) - 1);
        SessionTable {
            sessions: BTreeMap::new(),
            by_viewer: HashMap::new(),
            by_request: HashMap::new(),
            next_id: director << (INCARNATION_BITS + COUNTER_BITS) | incarnation << COUNTER_BITS,
        }
    }

    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Returns the next unused session id.
    pub fn allocate_id(&mut self) -> SessionId {
        let id = SessionId(self.next_id);
        self.next_id += 1;
        id
    }

    /// Whether a session was created by an earlier process of this director.
    pub fn is_of_earlier_process(&self, session: SessionId) -> bool {
        let process = |id: u64| id >> COUNTER_BITS;
        let director = |id: u64| id >> (INCARNATION_BITS + COUNTER_BITS);
        process(session.0) != process(self.next_id) && director(session.0) == director(self.next_id)
    }

    pub fn get(&self, session: SessionId) -> Option<&Session> {
        self.sessions.get(&session)
    }

    pub fn get_mut(&mut self, session: SessionId) -> Option<&mut Session> {
        self.sessions.get_mut(&session)
    }

    /// Returns the session if `attempt` is its last attempt.
    pub fn get_attempt(&self, session: SessionId, attempt: u32) -> Option<&Session> {
        let session = self.sessions.get(&session);
        session.filter(|session| session.is_last_attempt(attempt))
    }

    /// Returns the session if `attempt` is its last attempt.
    pub fn get_attempt_mut(&mut self, session: SessionId, attempt: u32) -> Option<&mut Session> {
        let session = self.sessions.get_mut(&session);
        session.filter(|session| session.is_last_attempt(attempt))
    }

    /// The migration state of a session whose player has subscribed to its events at some time.
    pub fn migration_mut(&mut self, session: SessionId) -> Option<&mut SessionMigration> {
        let session = self.sessions.get_mut(&session)?;
        session.migration.as_deref_mut()
    }

    /// Ids of the sessions that satisfy the condition, in ascending order.
    pub fn ids_where(&self, condition: impl Fn(&Session) -> bool) -> Vec<SessionId> {
        let matching = self.sessions.iter();
        let matching = matching.filter(|(_, session)| condition(session));
        matching.map(|(id, _)| *id).collect()
    }

    /// All sessions in ascending order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (SessionId, &Session)> {
        self.sessions.iter().map(|(id, session)| (*id, session))
    }

    /// Adds a session and indexes it by its viewer's key and its waiting requests.
    pub fn insert(&mut self, session: Session) {
        let id = session.request.session;
        self.by_viewer.insert(session.viewer, id);
        for request in &session.waiting {
            self.by_request.insert(*request, id);
        }
        self.sessions.insert(id, session);
    }

    /// Removes a session and the index entry of its viewer's key.
    pub fn remove(&mut self, session: SessionId) -> Option<Session> {
        let removed = self.sessions.remove(&session)?;
        self.release_viewer(removed.viewer, session);
        Some(removed)
    }

    /// The current session of a viewer's key.
    pub fn find_by_viewer(&self, viewer: u64) -> Option<SessionId> {
        self.by_viewer.get(&viewer).copied()
    }

    /// Removes the viewer's key from the index if it refers to this session.
    pub fn release_viewer(&mut self, viewer: u64, session: SessionId) {
        if self.by_viewer.get(&viewer) == Some(&session) {
            self.by_viewer.remove(&viewer);
        }
    }

    /// Adds another request that waits for a session's answer.
    pub fn add_waiting(&mut self, session: SessionId, request: RequestId) {
        if let Some(state) = self.sessions.get_mut(&session) {
            state.waiting.push(request);
            self.by_request.insert(request, session);
        }
    }

    /// Removes a waiting request. Returns its session.
    pub fn remove_waiting(&mut self, request: RequestId) -> Option<SessionId> {
        let session = self.by_request.remove(&request)?;
        let state = self.sessions.get_mut(&session)?;
        state.waiting.retain(|waiting| *waiting != request);
        Some(session)
    }

    /// Removes and returns all requests that wait for a session's answer.
    pub fn take_waiting(&mut self, session: SessionId) -> Vec<RequestId> {
        let Some(state) = self.sessions.get_mut(&session) else {
            return Vec::new();
        };
        let waiting = std::mem::take(&mut state.waiting);
        for request in &waiting {
            self.by_request.remove(request);
        }
        waiting
    }

    /// Session counts by stage.
    pub fn counts(&self) -> SessionCounts {
        let mut counts = SessionCounts::default();
        for session in self.sessions.values() {
            counts.migrating += usize::from(session.is_migrating());
            match session.stage {
                Stage::Deciding | Stage::SettingUp(_) => counts.waiting += 1,
                Stage::Playing { .. } => counts.playing += 1,
                Stage::Ending { .. } => counts.ending += 1,
            }
        }
        counts
    }

    /// At most `limit` sessions of a tenant.
    pub fn of_tenant(&self, tenant: &str, limit: usize) -> Vec<SessionSummary> {
        let sessions = self.sessions.values();
        let of_tenant = sessions.filter(|session| session.tenant.as_deref() == Some(tenant));
        of_tenant.take(limit).map(Session::summary).collect()
    }
}
