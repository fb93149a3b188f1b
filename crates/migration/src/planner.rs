//! Decides when sessions are to be migrated, and how many at once. Targets are selected elsewhere.
//!
//! A migration is expensive: it uses capacity at two nodes for a while, and the viewer may notice it. So each one needs
//! one of these reasons, and must be worth more than it costs:
//! - the node is draining, so it will stop at once or soon;
//! - no node serves the session, and its player's buffer is not empty yet;
//! - most players of the node report that they receive no data, and a player's buffer lasts no longer than a migration
//!   takes: the node is frozen, or its link is down;
//! - the node reports a shortage that has lasted longer than rung changes take to resolve it.
//!
//! Reports that arrive just after this process itself was stalled are ignored, since they are outdated.

mod node_state;
mod policy;
mod selection;

pub use policy::{DueMigration, MigrationPolicy, MigrationReason};

use node_state::NodeState;
use shalewall::{ServerId, SessionId, TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Interval between checks of the nodes, while there are sessions.
const CHECK_INTERVAL: TimeDelta = TimeDelta::from_millis(100);
/// A check that is overdue by more than this shows that this process was stalled.
const STALL_THRESHOLD: TimeDelta = TimeDelta::from_millis(300);
/// Silence reports that arrive within this time after a stall may have been sent before it, and are ignored.
const STALL_RECOVERY: TimeDelta = TimeDelta::from_millis(500);
/// Delay before a migration for which no node had capacity is retried.
const CAPACITY_RETRY_INTERVAL: TimeDelta = TimeDelta::from_millis(200);
/// Upper limit for the buffer that a player reports.
const MAX_BUFFER: TimeDelta = TimeDelta::from_secs(60);

/// The state of a session whose player supports migration.
#[derive(Debug)]
struct SessionState {
    node: ServerId,
    /// Its expected end, if known.
    ends_at: Option<Timestamp>,
    /// The earliest time of the next migration.
    not_before: Timestamp,
    /// The earliest time of the next migration for a reason that is only suspected: a silent or short node.
    cooldown_until: Timestamp,
    /// The target of the migration in progress.
    target: Option<ServerId>,
}

/// The sessions whose players support migration, and the state of their nodes.
#[derive(Debug)]
pub struct MigrationPlanner {
    policy: MigrationPolicy,
    sessions: BTreeMap<SessionId, SessionState>,
    nodes: BTreeMap<ServerId, NodeState>,
    /// Nodes whose sessions may have a reason to migrate. Only these are checked, whatever the total number of nodes.
    nodes_to_check: BTreeSet<ServerId>,
    in_flight: usize,
    next_check: Option<Timestamp>,
    stalled_at: Option<Timestamp>,
    seed: u64,
}

impl MigrationPlanner {
    /// Creates a planner without sessions. `seed` determines which sessions are migrated from a node with a shortage.
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

    /// Adds a session that plays at a node and whose player supports migration. `ends_at` is its expected end.
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

    /// Whether the planner has this session.
    pub fn contains(&self, session: SessionId) -> bool {
        self.sessions.contains_key(&session)
    }

    /// Removes a session that has ended or whose player can't be offered a migration any more.
    pub fn remove_session(&mut self, session: SessionId) {
        let Some(state) = self.sessions.remove(&session) else {
            return;
        };
        if let Some(target) = state.target {
            self.end_in_flight(state.node, target);
        }
        self.detach_session(state.node, session);
    }

    /// Sets whether a node is draining, according to the endpoint list.
    pub fn set_draining(&mut self, now: Timestamp, node: ServerId, draining: bool) {
        if draining || self.nodes.contains_key(&node) {
            self.nodes.entry(node).or_default().draining = draining;
            self.nodes_to_check.insert(node);
        }
        self.remove_if_unused(node);
        self.schedule_check(now);
    }

    /// Records a player's report that it receives no data. `buffer` is the playing time left in its buffer.
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

    /// Marks a session that no node serves any more.
    pub fn mark_orphaned(&mut self, now: Timestamp, session: SessionId) {
        if let Some(state) = self.sessions.get_mut(&session) {
            state.not_before = now;
            let node = self.nodes.entry(state.node).or_default();
            node.orphans.insert(session);
            self.nodes_to_check.insert(state.node);
        }
        self.schedule_check(now);
    }

    /// Records a node's report on the fraction of its sessions' rates that it delivers.
    pub fn report_delivery(&mut self, now: Timestamp, node: ServerId, delivered_fraction: f64) {
        let Some(state) = self.nodes.get_mut(&node) else {
            return;
        };
        state.record_delivery(now, delivered_fraction);
        self.nodes_to_check.insert(node);
        self.schedule_check(now);
    }

    /// The time at which [`MigrationPlanner::handle_timeout`] is due.
    pub fn poll_timeout(&self) -> Option<Timestamp> {
        self.next_check
    }

    /// Drops outdated silence reports, and stops checking nodes without a reason for migrations.
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

    /// Nodes whose players receive no data: no new sessions should be placed there.
    pub fn silent_nodes(&self) -> Vec<ServerId> {
        let checked = self.nodes_to_check.iter().copied();
        checked
            .filter(|node| self.nodes.get(node).is_some_and(NodeState::is_silent))
            .collect()
    }

    /// Whether the limits allow one more migration to a node.
    pub fn can_accept(&self, node: ServerId) -> bool {
        self.node_capacity(node) > 0
    }

    /// Records that a migration has started.
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

    /// Defers the migration of a session for which no other node had capacity.
    pub fn defer_migration(&mut self, now: Timestamp, session: SessionId) {
        if let Some(state) = self.sessions.get_mut(&session) {
            state.not_before = now + CAPACITY_RETRY_INTERVAL;
        }
        self.schedule_check(now);
    }

    /// Records that a migration is over. One that was aborted is retried soon, since its reason remains.
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

    /// Drops all silence reports if a check is overdue by more than [`STALL_THRESHOLD`]: this process was stalled, and
    /// the reports are outdated.
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
