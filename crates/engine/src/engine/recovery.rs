//! After a restart, the director resumes the sessions of its earlier process from what nodes hold.

use super::Engine;
use crate::input::TransferredSession;
use crate::pending_ends::EndKey;
use crate::recovery::HeldCopy;
use crate::session::{Session, Stage};
use crate::session_migration::{MigrationTarget, SessionMigration};
use shalewall::{Event, Notification, Request, ServerId, SessionId, Timestamp};
use shalewall_migration::Epoch;
use shalewall_migration::coordinator::{self, MigrationCoordinator, NodeReport};
use shalewall_migration::planner::MigrationReason;

/// The latest epoch that an earlier process used is not known, so this process starts this far above the greatest one
/// that nodes report.
const EPOCH_MARGIN: u32 = 1_000;

fn end_key_of(copy: &HeldCopy) -> EndKey {
    EndKey {
        server: copy.server,
        session: copy.session.session,
        attempt: copy.session.attempt,
    }
}

/// A migration target that was selected by an earlier process and is ready.
fn ready_target(server: ServerId, held: &TransferredSession, now: Timestamp) -> MigrationTarget {
    MigrationTarget {
        media: Some(held.media.clone()),
        ready_since: Some(now),
        ..MigrationTarget::new(server, held.rung, MigrationReason::Orphaned, now)
    }
}

impl Engine {
    /// A node reports the sessions that it holds, on a new event stream.
    pub(super) fn node_sessions_reported(
        &mut self,
        server: ServerId,
        sessions: Vec<TransferredSession>,
    ) {
        if self.recovery.is_none() {
            return;
        }
        for held in sessions {
            if self.sessions.is_of_earlier_process(held.session) {
                self.held_session_reported(HeldCopy {
                    server,
                    session: held,
                });
            }
        }
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        recovery.node_reported(server);
        // Either all nodes have reported, or one that was unreachable during recovery has done so now.
        if !recovery.is_collecting() || self.nodes.is_covered_by(recovery.reported()) {
            self.recover_sessions();
        }
    }

    fn held_session_reported(&mut self, copy: HeldCopy) {
        let session = copy.session.session;
        if self.sessions.get(session).is_some() {
            return self.late_copy_reported(&copy);
        }
        let is_ending = self.pending_ends.contains(end_key_of(&copy));
        if let Some(recovery) = &mut self.recovery
            && !is_ending
        {
            recovery.add_copy(copy);
        }
    }

    /// A node reports a session that has already been resumed: its player may have switched to that node before this
    /// process started.
    fn late_copy_reported(&mut self, copy: &HeldCopy) {
        let HeldCopy {
            server,
            session: held,
        } = copy;
        let state = self.sessions.get_attempt(held.session, held.attempt);
        let Some(migration) = state.and_then(|state| state.migration.as_ref()) else {
            return;
        };
        let current = migration.coordinator.current_epoch();
        let serving = held.epochs.serving.filter(|epoch| *epoch > Epoch(0));
        if let Some(epoch) = serving.filter(|epoch| *epoch > current) {
            self.resume_target(*server, held);
            let node = *server;
            let input = coordinator::Input::Serving { node, epoch };
            self.handle_migration(held.session, input);
        }
    }

    /// Resumes a migration that an earlier process had started.
    fn resume_target(&mut self, server: ServerId, held: &TransferredSession) {
        let now = self.now;
        if let Some(migration) = self.sessions.migration_mut(held.session) {
            let target = &mut migration.target;
            target.get_or_insert_with(|| ready_target(server, held, now));
        }
    }

    pub(super) fn recover_if_due(&mut self) {
        let recovery = self.recovery.as_ref();
        if recovery.is_some_and(|recovery| recovery.is_due(self.now)) {
            self.recover_sessions();
        }
    }

    /// Resumes the reported sessions at the nodes that serve them under the greatest epoch. Migrations that were in
    /// progress are completed or aborted, depending on the target's state. Sessions that no node serves are ended.
    fn recover_sessions(&mut self) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        let recovered = recovery.complete();
        for (session, copies) in recovered.sessions {
            if !self.resume_session(session, &copies) {
                for copy in &copies {
                    self.require_end(end_key_of(copy), None);
                }
            }
        }
        for (session, epoch) in recovered.players {
            self.player_subscribed(session, epoch);
        }
        let failed = self
            .recovery
            .as_mut()
            .map(|recovery| recovery.take_failed());
        for server in failed.unwrap_or_default() {
            self.handle_lost_sessions(server, Timestamp::MAX, &[]);
        }
    }

    /// Resumes one session. Returns `false` if no node serves it, or if its tenant, class or title is no longer known.
    fn resume_session(&mut self, session: SessionId, copies: &[HeldCopy]) -> bool {
        let reports = copies.iter().map(|copy| NodeReport {
            node: copy.server,
            epochs: copy.session.epochs,
        });
        let reports: Vec<_> = reports.collect();
        let epochs = reports.iter().map(|report| report.epochs);
        let greatest = epochs.filter_map(|held| held.serving.max(held.prepared));
        let greatest = greatest.max().unwrap_or_default();
        let first_free = Epoch(greatest.0 + EPOCH_MARGIN);
        let recovered = MigrationCoordinator::recover(&reports, first_free, self.now);
        let Some(coordinator) = recovered else {
            return false;
        };
        let node = coordinator.current_node();
        let target = coordinator.target();
        let Some(serving) = copies.iter().find(|copy| copy.server == node) else {
            return false;
        };
        if !self.insert_recovered(serving, coordinator) {
            return false;
        }
        // One of the other copies may be the target of a migration in progress; the rest are outdated.
        for copy in copies.iter().filter(|copy| copy.server != node) {
            if Some(copy.server) == target {
                self.resume_target(copy.server, &copy.session);
            } else {
                self.require_end(end_key_of(copy), Some(greatest));
            }
        }
        self.drive_migration(session);
        true
    }

    /// Adds a session as its node holds it. Returns `false` if its tenant, class or title is no longer known.
    fn insert_recovered(&mut self, copy: &HeldCopy, coordinator: MigrationCoordinator) -> bool {
        let held = &copy.session;
        let resolved = self
            .catalogue
            .resolve(held.tenant.as_deref(), &held.class, &held.title);
        let Ok(names) = resolved else {
            return false;
        };
        self.catalogue.acquire(names.class, names.tenant);
        let request = Request {
            session: held.session,
            class: names.class,
            tenant: names.tenant,
            viewer: held.viewer,
            title: names.title,
            deadline: self.now,
            duration_hint: None,
            first_cell: names.placement.first_cell,
            replica_cells: names.placement.replica_cells,
            highest_rung: usize::MAX,
            is_retry: false,
            fleet: names.fleet,
        };
        self.sessions
            .insert(recovered_session(copy, request, coordinator, self.now));
        let server = copy.server;
        self.events
            .push_back(Event::SessionTransferred(request, server));
        self.events.push_back(Event::Notified {
            session: held.session,
            attempt: 0,
            server,
            notification: Notification::CurrentRung(held.rung),
        });
        true
    }
}

fn recovered_session(
    copy: &HeldCopy,
    request: Request,
    coordinator: MigrationCoordinator,
    now: Timestamp,
) -> Session {
    let held = &copy.session;
    Session {
        viewer: held.viewer,
        request,
        title: held.title.clone(),
        tenant: held.tenant.clone(),
        class: held.class.clone(),
        stage: Stage::Playing {
            server: copy.server,
            since: now,
            media: held.media.clone(),
        },
        attempts_sent: held.attempt + 1,
        earlier_attempts: held.attempt,
        awaits_player: true,
        rung: held.rung,
        confirmed_rung: held.rung,
        rung_call: None,
        waiting: Vec::new(),
        unconfirmed_ends: 0,
        migration: Some(Box::new(SessionMigration::new(coordinator, false))),
    }
}
