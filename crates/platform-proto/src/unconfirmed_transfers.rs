//! Transferred sessions that their node has not confirmed.
//!
//! A viewer says where its session is active, and the node is not asked: whether there is such a session shows only in
//! a message of the node about it. Until then the session counts for the viewer's connection that transferred it, so
//! that one which transfers sessions that do not exist displaces its own before those of others.

use crate::ids::ViewerId;
use shalewall::SessionId;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
pub(crate) struct UnconfirmedTransfers {
    by_viewer: BTreeMap<ViewerId, BTreeSet<SessionId>>,
    /// The viewers' connections with their number of sessions, smallest first.
    by_count: BTreeSet<(usize, ViewerId)>,
    /// All sessions, oldest first, with their viewer's connection.
    sessions: BTreeMap<SessionId, ViewerId>,
}

impl UnconfirmedTransfers {
    pub(crate) fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Number of sessions that a viewer's connection has transferred.
    pub(crate) fn count_of(&self, viewer: ViewerId) -> usize {
        self.by_viewer.get(&viewer).map_or(0, BTreeSet::len)
    }

    /// The connection that transferred a session; `None` if its node has confirmed it.
    pub(crate) fn viewer_of(&self, session: SessionId) -> Option<ViewerId> {
        self.sessions.get(&session).copied()
    }

    pub(crate) fn insert(&mut self, viewer: ViewerId, session: SessionId) {
        self.sessions.insert(session, viewer);
        self.change(viewer, |sessions| sessions.insert(session));
    }

    /// Removes a session that has ended or is confirmed.
    pub(crate) fn remove(&mut self, session: SessionId) {
        if let Some(viewer) = self.sessions.remove(&session) {
            self.change(viewer, |sessions| sessions.remove(&session));
        }
    }

    /// The latest session of the connection with the most sessions, if that has more than `count`.
    pub(crate) fn find_displaceable(&self, count: usize) -> Option<SessionId> {
        let (largest, viewer) = self.by_count.last()?;
        if *largest <= count {
            return None;
        }
        self.by_viewer.get(viewer)?.last().copied()
    }

    /// The first `limit` sessions after `previous`, which are followed by the first ones.
    pub(crate) fn sessions_after(&self, previous: SessionId, limit: usize) -> Vec<SessionId> {
        let later = self.sessions.range(SessionId(previous.0 + 1)..);
        let earlier = self.sessions.range(..=previous);
        later
            .chain(earlier)
            .take(limit)
            .map(|(session, _)| *session)
            .collect()
    }

    fn change(&mut self, viewer: ViewerId, change: impl FnOnce(&mut BTreeSet<SessionId>) -> bool) {
        let sessions = self.by_viewer.entry(viewer).or_default();
        self.by_count.remove(&(sessions.len(), viewer));
        change(sessions);
        if sessions.is_empty() {
            self.by_viewer.remove(&viewer);
        } else {
            self.by_count.insert((sessions.len(), viewer));
        }
    }
}
