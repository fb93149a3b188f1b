//! Selects the sessions that are due for migration: those with a reason, the most urgent first, within the limits of
//! the policy.

use super::node_state::NodeState;
use super::{DueMigration, MigrationPlanner, MigrationReason, SessionState};
use shalewall::{ServerId, SessionId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Assumed remaining duration of a session without a known end, seconds.
const ASSUMED_REMAINING_S: f64 = 60.0;

/// A session with a reason to be migrated. The most urgent sorts first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    reason: MigrationReason,
    /// Order among sessions with the same reason, in microseconds: when the player's buffer will be empty, or the
    /// negated end of the session, so that the longest comes first.
    rank_micros: i64,
    session: SessionId,
}

/// A node, with the conditions that are the same for all its sessions in one selection.
struct NodeView<'a> {
    node: &'a NodeState,
    is_silent: bool,
    is_shortage_due: bool,
}

impl MigrationPlanner {
    /// Returns the sessions that are due for migration, the most urgent first, within the limits on concurrent
    /// migrations. For each of them, the caller has to call [`MigrationPlanner::migration_started`] or
    /// [`MigrationPlanner::defer_migration`].
    pub fn due_migrations(&mut self, now: Timestamp) -> Vec<DueMigration> {
        if self.in_flight >= self.policy.max_per_director {
            return Vec::new();
        }
        let mut candidates = self.candidates(now);
        self.record_shortage_steps(now);
        candidates.sort_unstable();
        self.within_limits(candidates)
    }

    fn candidates(&self, now: Timestamp) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        let nodes = self.nodes_to_check.iter();
        for node in nodes.filter_map(|node| self.nodes.get(node)) {
            let view = NodeView {
                node,
                is_silent: node.is_silent(),
                is_shortage_due: node.is_shortage_due(&self.policy, now),
            };
            let silent_or_orphaned: BTreeSet<SessionId>;
            let sessions = if node.draining || view.is_shortage_due {
                &node.sessions
            } else {
                silent_or_orphaned = node.silent_or_orphaned_sessions();
                &silent_or_orphaned
            };
            candidates.extend(
                sessions
                    .iter()
                    .filter_map(|session| self.candidate(now, &view, *session)),
            );
        }
        candidates
    }

    /// Returns a session as a candidate if it has a reason to be migrated.
    fn candidate(
        &self,
        now: Timestamp,
        view: &NodeView<'_>,
        session: SessionId,
    ) -> Option<Candidate> {
        let state = self.sessions.get(&session)?;
        if state.target.is_some() || now < state.not_before {
            return None;
        }
        let cooldown_over = now >= state.cooldown_until;
        let silent = || cooldown_over && self.should_leave_silent_node(now, view, session);
        let draining = || view.node.draining && self.is_worthwhile(now, state, 1.0);
        let short = || cooldown_over && self.should_leave_short_node(now, view, session, state);
        let reason = if view.node.orphans.contains(&session) {
            MigrationReason::Orphaned
        } else if silent() {
            MigrationReason::NodeSilent
        } else if draining() {
            MigrationReason::NodeDraining
        } else if short() {
            MigrationReason::NodeShort
        } else {
            return None;
        };
        Some(Candidate {
            reason,
            rank_micros: rank_micros(reason, now, view.node, session, state),
            session,
        })
    }

    fn should_leave_silent_node(
        &self,
        now: Timestamp,
        view: &NodeView<'_>,
        session: SessionId,
    ) -> bool {
        let buffer_empty_at = view.node.buffer_empty_at(session);
        view.is_silent
            && buffer_empty_at.is_some_and(|empty_at| empty_at - now <= self.policy.duration)
    }

    /// Selects sessions of a short node at random, with the undelivered fraction of the rates as the probability.
    fn should_leave_short_node(
        &self,
        now: Timestamp,
        view: &NodeView<'_>,
        session: SessionId,
        state: &SessionState,
    ) -> bool {
        let delivered_fraction = view.node.delivered_fraction;
        view.is_shortage_due
            && self.draw(now, session) > delivered_fraction
            && self.is_worthwhile(now, state, 1.0 - delivered_fraction)
    }

    /// Whether a migration is worth its cost, if it gains the fraction `gain` of the session's remaining time.
    fn is_worthwhile(&self, now: Timestamp, session: &SessionState, gain: f64) -> bool {
        let remaining_s = session
            .ends_at
            .map_or(ASSUMED_REMAINING_S, |ends_at| (ends_at - now).as_secs_f64());
        remaining_s * gain > self.policy.cost_s
    }

    /// A pseudo-random number from 0 to 1 that depends on the session and the time.
    fn draw(&self, now: Timestamp, session: SessionId) -> f64 {
        unit_hash(self.seed ^ session.0 ^ now.as_micros() as u64)
    }

    fn record_shortage_steps(&mut self, now: Timestamp) {
        for node in &self.nodes_to_check {
            let node = self.nodes.get_mut(node);
            if let Some(node) = node.filter(|node| node.is_shortage_due(&self.policy, now)) {
                node.record_shortage_step(now);
            }
        }
    }

    /// The first candidates that fit the limits on concurrent migrations of this director and of each node.
    fn within_limits(&self, candidates: Vec<Candidate>) -> Vec<DueMigration> {
        let mut capacity_of_nodes: BTreeMap<ServerId, usize> = BTreeMap::new();
        let director_capacity = self.policy.max_per_director - self.in_flight;
        let selected = candidates.into_iter().filter(|candidate| {
            let node = self.sessions[&candidate.session].node;
            let capacity = capacity_of_nodes
                .entry(node)
                .or_insert_with(|| self.node_capacity(node));
            let fits = *capacity > 0;
            *capacity = capacity.saturating_sub(1);
            fits
        });
        selected
            .take(director_capacity)
            .map(|candidate| DueMigration {
                session: candidate.session,
                reason: candidate.reason,
            })
            .collect()
    }

    /// Number of further migrations from or to a node that the limits allow.
    pub(super) fn node_capacity(&self, node: ServerId) -> usize {
        let in_flight = self.nodes.get(&node).map_or(0, |node| node.in_flight);
        self.policy.max_per_node.saturating_sub(in_flight)
    }
}

/// The value of [`Candidate::rank_micros`].
fn rank_micros(
    reason: MigrationReason,
    now: Timestamp,
    node: &NodeState,
    session: SessionId,
    state: &SessionState,
) -> i64 {
    match reason {
        MigrationReason::Orphaned | MigrationReason::NodeSilent => {
            node.buffer_empty_at(session).unwrap_or(now).as_micros()
        }
        MigrationReason::NodeDraining => state.ends_at.map_or(0, |ends_at| -ends_at.as_micros()),
        MigrationReason::NodeShort => 0,
    }
}

/// Hashes an input to a number from 0 to 1 with a uniform distribution.
fn unit_hash(input: u64) -> f64 {
    let mut hash = input.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash ^= hash >> 32;
    hash = hash.wrapping_mul(0xd6e8_feb8_6659_fd93);
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
