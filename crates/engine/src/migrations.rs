//! Which sessions are to migrate, and why: the planner of this director, and what it waits for.

use crate::input::EndpointEntry;
use shalewall::{EndpointState, ServerId, SessionId, TimeDelta, Timestamp};
use shalewall_migration::planner::{
    DueMigration, MigrationPlanner, MigrationPolicy, MigrationReason,
};
use std::collections::BTreeMap;

/// The decision module hears of a silent node again after this, while it lasts.
const SILENCE_REPORT_INTERVAL: TimeDelta = TimeDelta::from_secs(1);

/// Migrations of all sessions.
pub(crate) struct Migrations {
    policy: MigrationPolicy,
    planner: MigrationPlanner,
    /// Something has happened that the planner may want a migration for.
    needs_planning: bool,
    /// When the decision module last heard that a node is silent.
    silence_reported_at: BTreeMap<ServerId, Timestamp>,
    /// The migration that the decision module is being asked about.
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

    /// Whether the planner has this session.
    pub fn contains(&self, session: SessionId) -> bool {
        self.planner.contains(session)
    }

    /// A session's player can be offered another node from now on.
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

    /// No node serves a session any more.
    pub fn mark_orphaned(&mut self, now: Timestamp, session: SessionId) {
        self.planner.mark_orphaned(now, session);
        self.needs_planning = true;
    }

    /// A player receives nothing. Returns the silent nodes that the decision module has not heard of lately.
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

    /// What the endpoint list says of nodes, as far as it is a reason to migrate.
    pub fn update_endpoints(&mut self, now: Timestamp, entries: &[EndpointEntry]) {
        for entry in entries {
            let draining = entry.state == EndpointState::Draining;
            self.planner.set_draining(now, entry.server, draining);
        }
        self.needs_planning = true;
    }

    /// The migrations that are to start now.
    pub fn take_due(&mut self, now: Timestamp) -> Vec<DueMigration> {
        if !std::mem::take(&mut self.needs_planning) {
            return Vec::new();
        }
        self.planner.due_migrations(now)
    }

    /// The decision module is asked for this migration's target.
    pub fn set_requested(&mut self, migration: DueMigration) {
        self.requested = Some(migration);
    }

    /// The decision module found a target. Returns why the session is to migrate, if it may do so now.
    pub fn take_requested(
        &mut self,
        session: SessionId,
        target: ServerId,
    ) -> Option<MigrationReason> {
        let requested = self.requested.take();
        let requested = requested.filter(|migration| migration.session == session)?;
        self.planner.can_accept(target).then_some(requested.reason)
    }

    /// By when a target has to be ready: half of what a migration takes, so that a player's buffer lasts for another
    /// one.
    pub fn target_deadline(&self, now: Timestamp) -> Timestamp {
        now + self.policy.duration / 2
    }

    pub fn started(&mut self, session: SessionId, target: ServerId) {
        self.planner.migration_started(session, target);
    }

    /// The decision module found no target.
    pub fn defer(&mut self, now: Timestamp, session: SessionId) {
        self.planner.defer_migration(now, session);
    }

    pub fn finished(&mut self, now: Timestamp, session: SessionId, migrated: bool) {
        self.planner.migration_finished(now, session, migrated);
        self.needs_planning = true;
    }
}
