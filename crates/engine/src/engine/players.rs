//! Events from players that support migration: which epoch they play, and when they receive no data.

use super::Engine;
use crate::output::Output;
use crate::session::{Session, Stage};
use crate::session_migration::SessionMigration;
use shalewall::{Event, ServerId, SessionId, TimeDelta, Timestamp};
use shalewall_migration::Epoch;
use shalewall_migration::coordinator::{self, MigrationCoordinator};

/// The migration state of a session. It is created when the player subscribes for the first time.
fn migration_of(session: &mut Session, server: ServerId) -> &mut SessionMigration {
    let migration = &mut session.migration;
    migration.get_or_insert_with(|| {
        let coordinator = MigrationCoordinator::new(server);
        Box::new(SessionMigration::new(coordinator, true))
    })
}

/// The expected end of a session that started at `since`, if it has a duration hint.
fn expected_end(session: &Session, since: Timestamp) -> Option<Timestamp> {
    let hint = session.request.duration_hint;
    hint.map(|duration| since + duration)
}

impl Engine {
    /// A player has subscribed to its session's events and plays this epoch: it can be offered a migration from now on.
    pub(super) fn player_subscribed(&mut self, session: SessionId, epoch: Epoch) {
        let Some(migrations) = &mut self.migrations else {
            return;
        };
        let Some(state) = self.sessions.get_mut(session) else {
            return self.unknown_player_subscribed(session, epoch);
        };
        let Stage::Playing { server, since, .. } = state.stage else {
            return;
        };
        let ends_at = expected_end(state, since);
        state.awaits_player = false;
        let migration = migration_of(state, server);
        migration.player_subscribed = true;
        if !migrations.contains(session) {
            migrations.add_session(self.now, session, server, ends_at);
            if migration.coordinator.is_orphaned() {
                migrations.mark_orphaned(self.now, session);
            }
        }
        migration.coordinator.observe_player_epoch(epoch);
        self.drive_migration(session);
    }

    fn unknown_player_subscribed(&mut self, session: SessionId, epoch: Epoch) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        if recovery.is_collecting() || !self.nodes.is_covered_by(recovery.reported()) {
            // A node that has not reported yet may hold the session.
            recovery.add_player(session, epoch);
        } else {
            // The session is over, but its player has not been notified.
            self.outputs.push_back(Output::SessionEnded { session });
        }
    }

    /// A player has closed its event stream: it can't be offered a migration any more.
    pub(super) fn player_unsubscribed(&mut self, session: SessionId) {
        let Some(state) = self.sessions.get_mut(session) else {
            if let Some(recovery) = &mut self.recovery {
                recovery.remove_player(session);
            }
            return;
        };
        let Some(migrations) = &mut self.migrations else {
            return;
        };
        if !state.is_playing() {
            return;
        }
        if let Some(migration) = &mut state.migration {
            migration.player_subscribed = false;
        }
        migrations.remove_session(session);
    }

    /// A player reports that it receives no data.
    pub(super) fn stream_silent(&mut self, session: SessionId, buffered: TimeDelta) {
        let Some(migrations) = &mut self.migrations else {
            return;
        };
        let silent = migrations.report_silence(self.now, session, buffered);
        self.events
            .extend(silent.into_iter().map(Event::ServerSilent));
    }

    pub(super) fn epoch_playing(&mut self, session: SessionId, epoch: Epoch) {
        self.handle_migration(session, coordinator::Input::PlayerSwitched { epoch });
    }

    pub(super) fn epoch_declined(&mut self, session: SessionId, epoch: Epoch) {
        self.handle_migration(session, coordinator::Input::PlayerDeclined { epoch });
    }
}
