//! What nodes hold of an earlier process of this director, collected until all nodes have reported or the time for it
//! is over; then the sessions go on.

use crate::input::TransferredSession;
use shalewall::{ServerId, SessionId, TimeDelta, Timestamp};
use shalewall_migration::Epoch;
use std::collections::{BTreeMap, BTreeSet};
use std::mem::take;

/// Nodes may report for so long before their sessions go on.
const REPORT_TIMEOUT: TimeDelta = TimeDelta::from_millis(500);

/// What one node holds of a session.
pub(crate) struct HeldCopy {
    pub server: ServerId,
    pub session: TransferredSession,
}

/// What goes on once nodes have reported.
pub(crate) struct RecoveredSessions {
    /// All copies of each session, in the order in which nodes reported.
    pub sessions: BTreeMap<SessionId, Vec<HeldCopy>>,
    /// Players that follow already, and the epochs that they play.
    pub players: BTreeMap<SessionId, Epoch>,
}

/// Reports of nodes.
pub(crate) struct Recovery {
    /// Copies that do not go on yet.
    copies: BTreeMap<SessionId, Vec<HeldCopy>>,
    /// Until when to wait for nodes that have not reported; none once that is over.
    deadline: Option<Timestamp>,
    waiting_players: BTreeMap<SessionId, Epoch>,
    reported: BTreeSet<ServerId>,
    /// Nodes that have failed since the start, before what they reported went on.
    failed: BTreeSet<ServerId>,
}

impl Recovery {
    pub fn new(now: Timestamp) -> Recovery {
        Recovery {
            copies: BTreeMap::new(),
            deadline: Some(now + REPORT_TIMEOUT),
            waiting_players: BTreeMap::new(),
            reported: BTreeSet::new(),
            failed: BTreeSet::new(),
        }
    }

    pub fn poll_timeout(&self) -> Option<Timestamp> {
        self.deadline
    }

    pub fn is_due(&self, now: Timestamp) -> bool {
        self.deadline.is_some_and(|deadline| deadline <= now)
    }

    /// Whether reports are still collected.
    pub fn is_collecting(&self) -> bool {
        self.deadline.is_some()
    }

    /// Nodes that have nothing more to report.
    pub fn reported(&self) -> &BTreeSet<ServerId> {
        &self.reported
    }

    /// Whether nodes have reported a session that does not go on yet.
    pub fn contains(&self, session: SessionId) -> bool {
        self.copies.contains_key(&session)
    }

    pub fn add_copy(&mut self, copy: HeldCopy) {
        let copies = self.copies.entry(copy.session.session).or_default();
        copies.push(copy);
    }

    /// A node has reported all that it holds.
    pub fn node_reported(&mut self, server: ServerId) {
        self.reported.insert(server);
        self.failed.remove(&server);
    }

    /// A node has failed: it has nothing more to report.
    pub fn node_failed(&mut self, server: ServerId) {
        if self.is_collecting() {
            self.failed.insert(server);
            self.reported.insert(server);
        }
    }

    /// A player follows a session that is not known yet.
    pub fn add_player(&mut self, session: SessionId, epoch: Epoch) {
        self.waiting_players.insert(session, epoch);
    }

    pub fn remove_player(&mut self, session: SessionId) {
        self.waiting_players.remove(&session);
    }

    /// Ends the collecting, and takes what was collected.
    pub fn complete(&mut self) -> RecoveredSessions {
        self.deadline = None;
        RecoveredSessions {
            sessions: take(&mut self.copies),
            players: take(&mut self.waiting_players),
        }
    }

    /// Takes the nodes that have failed meanwhile.
    pub fn take_failed(&mut self) -> BTreeSet<ServerId> {
        take(&mut self.failed)
    }
}
