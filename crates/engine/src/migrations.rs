//! Planning of migrations: wraps the director's planner and tracks the migration for which a target is requested.

use crate::input::EndpointEntry;
use shalewall::{EndpointState, ServerId, SessionId, TimeDelta, Timestamp};
use shalewall_migration::planner::{
    DueMigration, MigrationPlanner, MigrationPolicy, MigrationReason,
};
use std::collections::BTreeMap;

/// Interval at which the decision module is notified again of a node that stays silent.
const SILENCE_REPORT_INTERVAL: TimeDelta = TimeDelta::from_secs(1);

/// The planned and running migrations of all sessions.
pub(crate) struct Migrations {
    policy: MigrationPolicy,
    planner: MigrationPlanner,
    /// Whether something has changed since the last planning that may require a migration.
    needs_planning: bool,
    /// When the decision module was last notified that a node is silent.
    silence_reported_at: BTreeMap<ServerId, Timestamp>,
    /// The migration for which the decision module is selecting a target.
    requested: Option<DueMigration>,
}

impl Migrations {
    pub fn new(policy: MigrationPolicy, seed: u64) -> Migrations {
        Migrations {
            policy,
            planner: MigrationPlanner::new(policy, seed),
            needs_planning: false,
            silence_reported_at: BTreeMap::new(),
            requested: None,
        }
    }

    pub fn poll_timeout(&self) -> Option<Timestamp> {
        self.planner.poll_timeout()
    }

    pub fn handle_timeout(&mut self, now: Timestamp) {
        let due = self.planner.poll_timeout();
        if due.is_some_and(|due| due <= now) {
            self.planner.handle_timeout(now);
            self.needs_planning = true;
        }
    }

    /// Whether the planner knows this session.
    pub fn contains(&self, session: SessionId) -> bool {
        self.planner.contains(session)
    }

    /// Adds a session whose player can be offered a migration.
    pub fn add_session(
        &mut self,
        now: Timestamp,
        session: SessionId,
        server: ServerId,
        ends_at: Option<Timestamp>,
    ) {
        self.planner.add_session(now, session, server, ends_at);
        self.needs_planning = true;
    }

    pub fn remove_session(&mut self, session: SessionId) {
        self.planner.remove_session(session);
    }

    /// Marks a session that no node serves any more.
    pub fn mark_orphaned(&mut self, now: Timestamp, session: SessionId) {
        self.planner.mark_orphaned(now, session);
        self.needs_planning = true;
    }

    /// Records that a player receives no data. Returns the silent nodes of which the decision module has not been
    /// notified within [`SILENCE_REPORT_INTERVAL`].
    pub fn report_silence(
        &mut self,
        now: Timestamp,
        session: SessionId,
        buffered: TimeDelta,
    ) -> Vec<ServerId> {
        self.planner.report_silence(now, session, buffered);
        self.needs_planning = true;
        let reported_at = &mut self.silence_reported_at;
        reported_at.retain(|_, at| now - *at < SILENCE_REPORT_INTERVAL);
        let mut unreported = self.planner.silent_nodes();
        unreported.retain(|server| reported_at.insert(*server, now).is_none());
        unreported
    }

    pub fn report_delivery(&mut self, now: Timestamp, server: ServerId, delivered_fraction: f64) {
        self.planner
            .report_delivery(now, server, delivered_fraction);
    }

    /// Passes the draining state of nodes to the planner.
    pub fn update_endpoints(&mut self, now: Timestamp, entries: &[EndpointEntry]) {
        for entry in entries {
            let draining = entry.state == EndpointState::Draining;
            self.planner.set_draining(now, entry.server, draining);
        }
        self.needs_planning = true;
    }

    /// Returns the migrations that are due, if planning is needed.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<DueMigration> {
        if !std::mem::take(&mut self.needs_planning) {
            return Vec::new();
        }
        self.planner.due_migrations(now)
    }

    /// Records the migration for which a target is requested from the decision module.
    pub fn set_requested(&mut self, migration: DueMigration) {
        self.requested = Some(migration);
    }

    /// Takes the requested migration when the decision module has found a target. Returns its reason if the target can
    /// accept one more migration now.
    pub fn take_requested(
        &mut self,
        session: SessionId,
        target: ServerId,
    ) -> Option<MigrationReason> {
        let requested = self.requested.take();
        let requested = requested.filter(|migration| migration.session == session)?;
        self.planner.can_accept(target).then_some(requested.reason)
    }

    /// The time by which a target has to be ready: half the duration of a migration, so that the player's buffer lasts
    /// for a second migration.
    pub fn target_deadline(&self, now: Timestamp) -> Timestamp {
        now + self.policy.duration / 2
    }

    pub fn started(&mut self, session: SessionId, target: ServerId) {
        self.planner.migration_started(session, target);
    }

    /// Defers a migration for which the decision module found no target.
    pub fn defer(&mut self, now: Timestamp, session: SessionId) {
        self.planner.defer_migration(now, session);
    }

    pub fn finished(&mut self, now: Timestamp, session: SessionId, migrated: bool) {
        self.planner.migration_finished(now, session, migrated);
        self.needs_planning = true;
    }
}
