//! The migration state of one session: the protocol's coordinator and the current target.

use crate::ids::CallId;
use shalewall::{ServerId, TimeDelta, Timestamp};
use shalewall_migration::coordinator::MigrationCoordinator;
use shalewall_migration::planner::MigrationReason;

/// The migration state of a session.
pub(crate) struct SessionMigration {
    /// The director's side of the migration protocol.
    pub coordinator: MigrationCoordinator,
    /// Whether the player is subscribed, so that it can be offered a target.
    pub player_subscribed: bool,
    /// The target of the migration in progress.
    pub target: Option<MigrationTarget>,
    /// When the armed timer is due.
    timer_due: Option<Timestamp>,
}

/// The target of a migration.
pub(crate) struct MigrationTarget {
    pub server: ServerId,
    /// The rung at which the target continues.
    pub rung: usize,
    /// The URL of the stream at the target; known once the target is ready.
    pub media: Option<String>,
    /// When the target became ready.
    pub ready_since: Option<Timestamp>,
    /// The last call to the target.
    pub call: Option<CallId>,
    pub started_at: Timestamp,
    pub reason: MigrationReason,
}

impl MigrationTarget {
    /// Creates a target that has not been called yet.
    pub fn new(
        server: ServerId,
        rung: usize,
        reason: MigrationReason,
        now: Timestamp,
    ) -> MigrationTarget {
        MigrationTarget {
            server,
            rung,
            media: None,
            ready_since: None,
            call: None,
            started_at: now,
            reason,
        }
    }

    /// Time since the migration started.
    pub fn elapsed(&self, now: Timestamp) -> TimeDelta {
        now - self.started_at
    }
}

impl SessionMigration {
    /// Creates the state of a session that is not migrating.
    pub fn new(coordinator: MigrationCoordinator, player_subscribed: bool) -> SessionMigration {
        SessionMigration {
            coordinator,
            player_subscribed,
            target: None,
            timer_due: None,
        }
    }

    pub fn is_under_way(&self) -> bool {
        self.target.is_some()
    }

    /// Starts a migration that is aborted if its target is not ready by `deadline`. Returns `false` if it can't start.
    pub fn start(&mut self, now: Timestamp, target: MigrationTarget, deadline: Timestamp) -> bool {
        let can_start = self.player_subscribed && self.target.is_none();
        if !can_start || !self.coordinator.start(now, target.server, deadline) {
            return false;
        }
        self.target = Some(target);
        true
    }

    /// Returns when a timer has to be set for, unless one that is due by then is already armed.
    pub fn arm_timer(&mut self) -> Option<Timestamp> {
        let due = self.coordinator.poll_timeout()?;
        if self.timer_due.is_some_and(|armed| armed <= due) {
            return None;
        }
        self.timer_due = Some(due);
        Some(due)
    }

    /// Handles a timer that fired. Returns `false` if an earlier timer has superseded it.
    pub fn handle_timer(&mut self, now: Timestamp) -> bool {
        if self.timer_due.is_none_or(|due| due > now) {
            return false;
        }
        self.timer_due = None;
        let due = self.coordinator.poll_timeout();
        if due.is_some_and(|due| due <= now) {
            self.coordinator.handle_timeout(now);
        }
        true
    }
}
