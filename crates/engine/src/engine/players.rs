//! What players tell that can be offered another node: which epoch they play, and when they receive nothing.

use super::Engine;
use crate::output::Output;
use crate::session::{Session, Stage};
use crate::session_migration::SessionMigration;
use shalewall::{Event, ServerId, SessionId, TimeDelta, Timestamp};
use shalewall_migration::Epoch;
use shalewall_migration::coordinator::{self, MigrationCoordinator};

/// A session's migrations, begun where its player has never followed before.
fn migration_of(session: &mut Session, server: ServerId) -> &mut SessionMigration {
    let migration = &mut session.migration;
    migration.get_or_insert_with(|| {
        let coordinator = MigrationCoordinator::new(server);
        Box::new(SessionMigration::new(coordinator, true))
    })
}

/// When a session that began then is to end, as far as is known.
fn expected_end(session: &Session, since: Timestamp) -> Option<Timestamp> {
    let hint = session.request.duration_hint;
    hint.map(|duration| since + duration)
}

impl Engine {
    /// A player can be offered another node from now on, and plays this epoch.
    pub(super) fn player_follows(&mut self, session: SessionId, epoch: Epoch) {
        let Some(migrations) = &mut self.migrations else {
            return;
        };
        let Some(state) = self.sessions.get_mut(session) else {
            return self.unknown_player_follows(session, epoch);
        };
        let Stage::Playing { server, since, .. } = state.stage else {
            return;
        };
        let ends_at = expected_end(state, since);
        state.awaits_player = false;
        let migration = migration_of(state, server);
        migration.player_follows = true;
        if !migrations.contains(session) {
            migrations.add_session(self.now, session, server, ends_at);
            if migration.coordinator.is_orphaned() {
                migrations.mark_orphaned(self.now, session);
            }
        }
        migration.coordinator.observe_player_epoch(epoch);
        self.drive_migration(session);
    }

    fn unknown_player_follows(&mut self, session: SessionId, epoch: Epoch) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        if recovery.is_collecting() || !self.nodes.is_covered_by(recovery.reported()) {
            // A node that has not reported yet may hold it.
            recovery.add_player(session, epoch);
        } else {
            // Over already: its player has not heard so.
            self.outputs.push_back(Output::SessionEnded { session });
        }
    }

    /// A player can't be offered another node any more.
    pub(super) fn player_stopped_following(&mut self, session: SessionId) {
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
            migration.player_follows = false;
        }
        migrations.remove_session(session);
    }

    /// A player receives nothing.
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
