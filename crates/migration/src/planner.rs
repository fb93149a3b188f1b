//! When sessions are to be migrated, and how many at once. The target is chosen elsewhere.
//!
//! A migration is expensive: it takes capacity twice for a while, and the viewer may notice. So each needs a reason
//! that is seen here, and has to be worth more than it costs:
//! - the node is draining: it will be gone, at once or soon;
//! - no node serves the session any more, and its player's buffer is not empty yet;
//! - most players of a node report that they receive nothing, and a player's buffer lasts no longer than a migration
//!   takes: the node stands still, or its link is cut;
//! - the node reports a shortage that lasts longer than changes of rungs take to mend it.
//!
//! Reports that arrive just after this process itself stood still are not used: they are old.

mod node_state;
mod policy;
mod selection;

pub use policy::{DueMigration, MigrationPolicy, MigrationReason};

use node_state::NodeState;
use shalewall::{ServerId, SessionId, TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// How often nodes are checked while there is something to check.
const CHECK_INTERVAL: TimeDelta = TimeDelta::from_millis(100);
/// A check that is so late shows that this process stood still.
const STALL_THRESHOLD: TimeDelta = TimeDelta::from_millis(300);
/// What arrives so soon after a stall may have been sent before it.
const STALL_RECOVERY: TimeDelta = TimeDelta::from_millis(500);
/// Where no node had capacity it is looked for again after this.
const CAPACITY_RETRY_INTERVAL: TimeDelta = TimeDelta::from_millis(200);
/// A player's buffer is taken to last so long at most.
const MAX_BUFFER: TimeDelta = TimeDelta::from_secs(60);

/// A session whose player can be migrated.
#[derive(Debug)]
struct SessionState {
    node: ServerId,
    /// When it is to end, as far as is known.
    ends_at: Option<Timestamp>,
    /// No migration before then.
    not_before: Timestamp,
    /// No migration on suspicion before then.
    cooldown_until: Timestamp,
    /// Where it is being migrated to.
    target: Option<ServerId>,
}

/// The sessions whose players can be migrated, and what is known of their nodes.
#[derive(Debug)]
pub struct MigrationPlanner {
    policy: MigrationPolicy,
    sessions: BTreeMap<SessionId, SessionState>,
    nodes: BTreeMap<ServerId, NodeState>,
    /// Nodes that sessions may have a reason to leave: only these are checked, however many others there are.
    nodes_to_check: BTreeSet<ServerId>,
    in_flight: usize,
    next_check: Option<Timestamp>,
    stalled_at: Option<Timestamp>,
    seed: u64,
}

impl MigrationPlanner {
    /// A planner without sessions. `seed` determines which sessions leave a short node.
    pub fn new(policy: MigrationPolicy, seed: u64) -> MigrationPlanner {
        MigrationPlanner {
            policy,
            sessions: BTreeMap::new(),
            nodes: BTreeMap::new(),
            nodes_to_check: BTreeSet::new(),
            in_flight: 0,
            next_check: None,
            stalled_at: None,
            seed,
        }
    }

    /// A session plays at a node, and its player can be migrated. `ends_at`: when it is to end, as far as is known.
    pub fn add_session(
        &mut self,
        now: Timestamp,
        session: SessionId,
        node: ServerId,
        ends_at: Option<Timestamp>,
    ) {
        self.remove_session(session);
        let state = SessionState {
            node,
            ends_at,
            not_before: now,
            cooldown_until: now,
            target: None,
        };
        self.sessions.insert(session, state);
        self.nodes.entry(node).or_default().sessions.insert(session);
        self.nodes_to_check.insert(node);
        self.schedule_check(now);
    }

    /// Whether a session's player can be migrated.
    pub fn contains(&self, session: SessionId) -> bool {
        self.sessions.contains_key(&session)
    }

    /// A session has ended, or its player can't be migrated any more.
    pub fn remove_session(&mut self, session: SessionId) {
        let Some(state) = self.sessions.remove(&session) else {
            return;
        };
        if let Some(target) = state.target {
            self.end_in_flight(state.node, target);
        }
        self.detach_session(state.node, session);
    }

    /// Whether a node is draining, as the endpoint list says.
    pub fn set_draining(&mut self, now: Timestamp, node: ServerId, draining: bool) {
        if draining || self.nodes.contains_key(&node) {
            self.nodes.entry(node).or_default().draining = draining;
            self.nodes_to_check.insert(node);
        }
        self.remove_if_unused(node);
        self.schedule_check(now);
    }

    /// A player reports that it receives nothing, and how long its buffer lasts.
    pub fn report_silence(&mut self, now: Timestamp, session: SessionId, buffer: TimeDelta) {
        self.detect_stall(now);
        let recovering = self
            .stalled_at
            .is_some_and(|stalled_at| now - stalled_at < STALL_RECOVERY);
        if recovering {
            return;
        }
        if let Some(state) = self.sessions.get(&session) {
            let buffer = buffer.clamp(TimeDelta::ZERO, MAX_BUFFER);
            let node = self.nodes.entry(state.node).or_default();
            node.record_silence(now, session, buffer);
            self.nodes_to_check.insert(state.node);
        }
        self.schedule_check(now);
    }

    /// No node serves a session any more.
    pub fn mark_orphaned(&mut self, now: Timestamp, session: SessionId) {
        if let Some(state) = self.sessions.get_mut(&session) {
            state.not_before = now;
            let node = self.nodes.entry(state.node).or_default();
            node.orphans.insert(session);
            self.nodes_to_check.insert(state.node);
        }
        self.schedule_check(now);
    }

    /// A node reports what part of its sessions' rates it delivers.
    pub fn report_delivery(&mut self, now: Timestamp, node: ServerId, delivered_fraction: f64) {
        let Some(state) = self.nodes.get_mut(&node) else {
            return;
        };
        state.record_delivery(now, delivered_fraction);
        self.nodes_to_check.insert(node);
        self.schedule_check(now);
    }

    /// When [`MigrationPlanner::handle_timeout`] is due.
    pub fn poll_timeout(&self) -> Option<Timestamp> {
        self.next_check
    }

    /// Forgets old reports, and nodes that there is no reason to check any more.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        self.detect_stall(now);
        if self.next_check.is_none_or(|due| due > now) {
            return;
        }
        self.next_check = None;
        let nodes = &mut self.nodes;
        self.nodes_to_check.retain(|node| {
            let Some(node) = nodes.get_mut(node) else {
                return false;
            };
            node.expire_silence_reports(now);
            node.needs_checks()
        });
        self.schedule_check(now);
    }

    /// Nodes whose players receive nothing: no new session should be placed there.
    pub fn silent_nodes(&self) -> Vec<ServerId> {
        let checked = self.nodes_to_check.iter().copied();
        checked
            .filter(|node| self.nodes.get(node).is_some_and(NodeState::is_silent))
            .collect()
    }

    /// Whether one more migration to a node may start now.
    pub fn can_accept(&self, node: ServerId) -> bool {
        self.node_capacity(node) > 0
    }

    /// A migration has started.
    pub fn migration_started(&mut self, session: SessionId, target: ServerId) {
        let Some(state) = self.sessions.get_mut(&session) else {
            return;
        };
        if state.target.is_some() {
            return;
        }
        state.target = Some(target);
        self.in_flight += 1;
        for node in [state.node, target] {
            self.nodes.entry(node).or_default().in_flight += 1;
        }
    }

    /// No other node had capacity for a session.
    pub fn defer_migration(&mut self, now: Timestamp, session: SessionId) {
        if let Some(state) = self.sessions.get_mut(&session) {
            state.not_before = now + CAPACITY_RETRY_INTERVAL;
        }
        self.schedule_check(now);
    }

    /// A migration is over. One that did not happen is tried again soon: its reason is still there.
    pub fn migration_finished(&mut self, now: Timestamp, session: SessionId, migrated: bool) {
        let Some(state) = self.sessions.get_mut(&session) else {
            return;
        };
        let Some(target) = state.target.take() else {
            return;
        };
        let source = state.node;
        if migrated {
            state.not_before = now;
            state.cooldown_until = now + self.policy.cooldown;
            state.node = target;
            let target_node = self.nodes.entry(target).or_default();
            target_node.sessions.insert(session);
            self.nodes_to_check.insert(target);
            self.detach_session(source, session);
        } else {
            state.not_before = now + CHECK_INTERVAL;
        }
        self.end_in_flight(source, target);
        self.schedule_check(now);
    }

    fn schedule_check(&mut self, now: Timestamp) {
        if self.next_check.is_none() && !self.sessions.is_empty() {
            self.next_check = Some(now + CHECK_INTERVAL);
        }
    }

    /// Drops all reports if a check is long overdue: this process stood still, and they are old.
    fn detect_stall(&mut self, now: Timestamp) {
        if self
            .next_check
            .is_some_and(|due| now - due > STALL_THRESHOLD)
        {
            self.stalled_at = Some(now);
            self.next_check = Some(now + CHECK_INTERVAL);
            for node in self.nodes.values_mut() {
                node.clear_silence_reports();
            }
        }
    }

    fn detach_session(&mut self, node: ServerId, session: SessionId) {
        if let Some(state) = self.nodes.get_mut(&node) {
            state.remove_session(session);
        }
        self.remove_if_unused(node);
    }

    fn end_in_flight(&mut self, source: ServerId, target: ServerId) {
        self.in_flight = self.in_flight.saturating_sub(1);
        for node in [source, target] {
            if let Some(state) = self.nodes.get_mut(&node) {
                state.in_flight = state.in_flight.saturating_sub(1);
            }
            self.remove_if_unused(node);
        }
    }

    fn remove_if_unused(&mut self, node: ServerId) {
        if self.nodes.get(&node).is_some_and(NodeState::is_unused) {
            self.nodes.remove(&node);
            self.nodes_to_check.remove(&node);
        }
    }
}
