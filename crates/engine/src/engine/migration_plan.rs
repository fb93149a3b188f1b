//! Start and end of migrations: the planner selects the sessions, the decision module their targets.

use super::Engine;
use crate::output::Output;
use crate::pending_ends::EndKey;
use crate::session_migration::MigrationTarget;
use shalewall::{Event, ServerId, SessionId};
use shalewall_migration::planner::DueMigration;

impl Engine {
    /// Requests a target from the decision module for each session that is due for migration.
    pub(super) fn plan_migrations(&mut self) {
        let now = self.now;
        let Some(migrations) = &mut self.migrations else {
            return;
        };
        for due in migrations.take_due(now) {
            self.request_migration(due);
        }
    }

    fn request_migration(&mut self, due: DueMigration) {
        let session = due.session;
        if let Some(migrations) = &mut self.migrations {
            migrations.set_requested(due);
        }
        self.events.push_back(Event::MigrationRequested(session));
        self.run_policy();
        let state = self.sessions.get(session);
        let is_under_way = state.is_some_and(|state| state.is_migrating());
        if let Some(migrations) = &mut self.migrations
            && !is_under_way
        {
            migrations.defer(self.now, session);
        }
    }

    /// Starts a migration to the target that the decision module has found.
    pub(super) fn start_migration(&mut self, session: SessionId, server: ServerId, rung: usize) {
        if !self.try_start_migration(session, server, rung) {
            let migrated = false;
            let event = Event::MigrationFinished { session, migrated };
            return self.events.push_back(event);
        }
        if let Some(migrations) = &mut self.migrations {
            migrations.started(session, server);
        }
        self.drive_migration(session);
    }

    fn try_start_migration(&mut self, session: SessionId, server: ServerId, rung: usize) -> bool {
        let Some(migrations) = &mut self.migrations else {
            return false;
        };
        let Some(reason) = migrations.take_requested(session, server) else {
            return false;
        };
        let Some(state) = self.sessions.get_mut(session) else {
            return false;
        };
        if !state.is_playing() {
            return false;
        }
        let Some(migration) = &mut state.migration else {
            return false;
        };
        let target = MigrationTarget::new(server, rung, reason, self.now);
        migration.start(self.now, target, migrations.target_deadline(self.now))
    }

    /// Withdraws migration targets that no longer accept sessions, unless the player has been offered the target.
    pub(super) fn withdraw_targets(&mut self, servers: &[ServerId]) {
        if servers.is_empty() {
            return;
        }
        let affected = self
            .sessions
            .ids_where(|session| servers.iter().any(|server| session.migrates_to(*server)));
        for session in affected {
            if let Some(migration) = self.sessions.migration_mut(session) {
                migration.coordinator.withdraw_target(self.now);
            }
            self.drive_migration(session);
        }
    }

    /// A session now plays at its target.
    pub(super) fn migration_succeeded(&mut self, session: SessionId, target: ServerId) {
        let state = self.sessions.get_mut(session);
        let rung_call = state.and_then(|state| state.switch_to_target(target, self.now));
        if let Some(call) = rung_call {
            self.cancel_call(call);
        }
        self.finish_migration(session, target, true);
    }

    /// Finishes a migration. `migrated` says whether the session now plays at the target.
    pub(super) fn finish_migration(&mut self, session: SessionId, to: ServerId, migrated: bool) {
        let migration = self.sessions.migration_mut(session);
        let Some(target) = migration.and_then(|migration| migration.target.take()) else {
            return;
        };
        let cancelled = target.call.and_then(|call| self.cancel_call(call));
        if cancelled.is_some() && target.ready_since.is_none() {
            // The target did not answer in time, so it may be silent.
            self.events.push_back(Event::ServerSilent(target.server));
        }
        self.events
            .push_back(Event::MigrationFinished { session, migrated });
        if let Some(migrations) = &mut self.migrations {
            migrations.finished(self.now, session, migrated);
        }
        self.outputs.push_back(Output::MigrationFinished {
            session,
            to,
            reason: target.reason,
            duration: target.elapsed(self.now),
            migrated,
        });
    }

    /// The session is ending or over: ends what its migration has started at the target.
    pub(super) fn stop_migration(&mut self, session: SessionId) {
        let Some(state) = self.sessions.get_mut(session) else {
            return;
        };
        let attempt = state.last_attempt();
        let Some(migration) = state.migration.take() else {
            return;
        };
        if let Some(migrations) = &mut self.migrations {
            migrations.remove_session(session);
        }
        if migration.player_subscribed {
            self.outputs.push_back(Output::SessionEnded { session });
        }
        let Some(target) = migration.target else {
            return;
        };
        if let Some(call) = target.call {
            self.cancel_call(call);
        }
        let migrated = false;
        self.events
            .push_back(Event::MigrationFinished { session, migrated });
        let key = EndKey {
            server: target.server,
            session,
            attempt,
        };
        self.require_end(key, None);
    }
}
