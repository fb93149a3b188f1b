//! Sessions of an earlier process of this director that nodes still hold. Reports are collected until all nodes have
//! reported or the timeout has expired; then the sessions are resumed.

use crate::input::TransferredSession;
use shalewall::{ServerId, SessionId, TimeDelta, Timestamp};
use shalewall_migration::Epoch;
use std::collections::{BTreeMap, BTreeSet};
use std::mem::take;

/// How long to wait for the reports of nodes before sessions are resumed.
const REPORT_TIMEOUT: TimeDelta = TimeDelta::from_millis(500);

/// A session as held by one node.
pub(crate) struct HeldCopy {
    pub server: ServerId,
    pub session: TransferredSession,
}

/// The sessions and players to resume.
pub(crate) struct RecoveredSessions {
    /// The copies of each session, in the order in which nodes reported them.
    pub sessions: BTreeMap<SessionId, Vec<HeldCopy>>,
    /// Players that have already subscribed, and the epochs that they play.
    pub players: BTreeMap<SessionId, Epoch>,
}

/// The collected reports of nodes.
pub(crate) struct Recovery {
    /// Copies of sessions that have not been resumed yet.
    copies: BTreeMap<SessionId, Vec<HeldCopy>>,
    /// When to stop waiting for nodes that have not reported; `None` once collecting has ended.
    deadline: Option<Timestamp>,
    waiting_players: BTreeMap<SessionId, Epoch>,
    reported: BTreeSet<ServerId>,
    /// Nodes that failed while reports were collected, before their sessions were resumed.
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

    /// Whether reports are still being collected.
    pub fn is_collecting(&self) -> bool {
        self.deadline.is_some()
    }

    /// Nodes from which no further report is expected.
    pub fn reported(&self) -> &BTreeSet<ServerId> {
        &self.reported
    }

    /// Whether a session has been reported and not resumed yet.
    pub fn contains(&self, session: SessionId) -> bool {
        self.copies.contains_key(&session)
    }

    pub fn add_copy(&mut self, copy: HeldCopy) {
        let copies = self.copies.entry(copy.session.session).or_default();
        copies.push(copy);
    }

    /// Records that a node has reported all its sessions.
    pub fn node_reported(&mut self, server: ServerId) {
        self.reported.insert(server);
        self.failed.remove(&server);
    }

    /// Records that a node has failed, so that no report is expected from it.
    pub fn node_failed(&mut self, server: ServerId) {
        if self.is_collecting() {
            self.failed.insert(server);
            self.reported.insert(server);
        }
    }

    /// Records a player that has subscribed to a session which is not known yet.
    pub fn add_player(&mut self, session: SessionId, epoch: Epoch) {
        self.waiting_players.insert(session, epoch);
    }

    pub fn remove_player(&mut self, session: SessionId) {
        self.waiting_players.remove(&session);
    }

    /// Stops collecting, and returns what was collected.
    pub fn complete(&mut self) -> RecoveredSessions {
        self.deadline = None;
        RecoveredSessions {
            sessions: take(&mut self.copies),
            players: take(&mut self.waiting_players),
        }
    }

    /// Removes and returns the nodes that failed while reports were collected.
    pub fn take_failed(&mut self) -> BTreeSet<ServerId> {
        take(&mut self.failed)
    }
}
