//! The migration of one session: the protocol's state, and the target that its steps are for.

use crate::ids::CallId;
use shalewall::{ServerId, TimeDelta, Timestamp};
use shalewall_migration::coordinator::MigrationCoordinator;
use shalewall_migration::planner::MigrationReason;

/// What is known of a session's migrations.
pub(crate) struct SessionMigration {
    /// The protocol with nodes and player.
    pub coordinator: MigrationCoordinator,
    /// Its player can be offered another node.
    pub player_follows: bool,
    /// Where it is migrating to.
    pub target: Option<MigrationTarget>,
    /// When its timer is due.
    timer_due: Option<Timestamp>,
}

/// The node that a session is migrating to.
pub(crate) struct MigrationTarget {
    pub server: ServerId,
    /// The rung to go on at.
    pub rung: usize,
    /// Where the viewer finds the stream there.
    pub media: Option<String>,
    /// Since when the node is ready.
    pub ready_since: Option<Timestamp>,
    /// The last call to it.
    pub call: Option<CallId>,
    pub started_at: Timestamp,
    pub reason: MigrationReason,
}

impl MigrationTarget {
    /// A target that has not been called yet.
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

    /// How long the migration has taken.
    pub fn elapsed(&self, now: Timestamp) -> TimeDelta {
        now - self.started_at
    }
}

impl SessionMigration {
    /// A session that is not migrating.
    pub fn new(coordinator: MigrationCoordinator, player_follows: bool) -> SessionMigration {
        SessionMigration {
            coordinator,
            player_follows,
            target: None,
            timer_due: None,
        }
    }

    pub fn is_under_way(&self) -> bool {
        self.target.is_some()
    }

    /// Starts a migration that is given up at `deadline` if its target is not ready. False: it can't start now.
    pub fn start(&mut self, now: Timestamp, target: MigrationTarget, deadline: Timestamp) -> bool {
        let can_start = self.player_follows && self.target.is_none();
        if !can_start || !self.coordinator.start(now, target.server, deadline) {
            return false;
        }
        self.target = Some(target);
        true
    }

    /// Whether a timer has to be set, and for when: there is none yet, or only later ones.
    pub fn arm_timer(&mut self) -> Option<Timestamp> {
        let due = self.coordinator.poll_timeout()?;
        if self.timer_due.is_some_and(|armed| armed <= due) {
            return None;
        }
        self.timer_due = Some(due);
        Some(due)
    }

    /// A timer fired. False: it was superseded by an earlier one.
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
