//! The steps of one session's migration: carries out the outputs of the protocol's coordinator
//! (`shalewall-migration`), and passes it the answers of nodes and players.

use super::Engine;
use super::calls::confirms_absence;
use super::nodes::NodeLoad;
use super::timer::Timer;
use crate::call_table::{CallPurpose, MigrationStep, MigrationStepKind};
use crate::input::CallResult;
use crate::output::{CallKind, Output};
use crate::pending_ends::EndKey;
use crate::session_migration::MigrationTarget;
use shalewall::{Outcome, ServerId, SessionId};
use shalewall_migration::Epoch;
use shalewall_migration::coordinator;
use shalewall_migration::node::CancelOutcome;
use shalewall_migration::planner::MigrationReason;

/// Stands for all epochs in a release.
const LAST_EPOCH: Epoch = Epoch(u32::MAX);

impl Engine {
    /// Passes an input to a session's coordinator, and carries out its outputs.
    pub(super) fn handle_migration(&mut self, session: SessionId, input: coordinator::Input) {
        if let Some(migration) = self.sessions.migration_mut(session) {
            migration.coordinator.handle(self.now, input);
            self.drive_migration(session);
        }
    }

    pub(super) fn migration_timer_fired(&mut self, session: SessionId) {
        let now = self.now;
        let migration = self.sessions.migration_mut(session);
        if migration.is_some_and(|migration| migration.handle_timer(now)) {
            self.drive_migration(session);
        }
    }

    /// Carries out the outputs of a session's coordinator, and sets its timer.
    pub(super) fn drive_migration(&mut self, session: SessionId) {
        // Outputs are polled one at a time, since carrying one out may cause further ones or end the session.
        while let Some(output) = self.poll_migration(session) {
            self.carry_out_step(session, output);
        }
        let migration = self.sessions.migration_mut(session);
        if let Some(due) = migration.and_then(|migration| migration.arm_timer()) {
            self.timers.set(due, Timer::Migration(session));
        }
    }

    fn poll_migration(&mut self, session: SessionId) -> Option<coordinator::Output> {
        let migration = self.sessions.migration_mut(session)?;
        migration.coordinator.poll_output()
    }

    fn carry_out_step(&mut self, session: SessionId, output: coordinator::Output) {
        match output {
            coordinator::Output::Prepare {
                source,
                target,
                epoch,
            } => self.prepare_target(session, source, target, epoch),
            coordinator::Output::Offer { node, epoch } => self.offer_target(session, node, epoch),
            coordinator::Output::Cancel { node, epoch } => {
                self.cancel_target(session, node, epoch);
            }
            coordinator::Output::Release { node, epoch } => {
                self.release_node(session, node, epoch);
            }
            coordinator::Output::Migrated { target, .. } => {
                self.migration_succeeded(session, target);
            }
            coordinator::Output::Aborted { target } => {
                self.finish_migration(session, target, false);
            }
            coordinator::Output::Orphaned => {
                if let Some(migrations) = &mut self.migrations {
                    migrations.mark_orphaned(self.now, session);
                }
            }
            coordinator::Output::Lost => self.session_lost(session),
        }
    }

    fn prepare_target(
        &mut self,
        session: SessionId,
        source: ServerId,
        target: ServerId,
        epoch: Epoch,
    ) {
        let Some(state) = self.sessions.get_mut(session) else {
            return;
        };
        let Some(migration) = state.migration.as_deref_mut() else {
            return;
        };
        // There is no target if the session returns to its source, because the target that its player may have
        // switched to has failed.
        let rung = migration
            .target
            .get_or_insert_with(|| {
                MigrationTarget::new(target, state.rung, MigrationReason::Orphaned, self.now)
            })
            .rung;
        let kind = CallKind::PrepareMigration {
            session,
            attempt: state.last_attempt(),
            epoch,
            from: source,
            viewer: state.viewer,
            tenant: state.tenant.clone(),
            class: state.class.clone(),
            title: state.title.clone(),
            rung,
            rate_kb_s: self.config.settings.rate(state.request.class, rung),
        };
        let step = MigrationStep {
            kind: MigrationStepKind::Prepare,
            session,
            target,
            epoch,
        };
        if !self.call_target(step, kind) {
            let node = target;
            let input = coordinator::Input::PrepareRejected { node, epoch };
            self.handle_migration(session, input);
        }
    }

    fn offer_target(&mut self, session: SessionId, node: ServerId, epoch: Epoch) {
        let migration = self.sessions.migration_mut(session);
        let target = migration.and_then(|migration| migration.target.as_ref());
        let target = target.filter(|target| target.server == node);
        if let Some(media) = target.and_then(|target| target.media.clone()) {
            self.outputs.push_back(Output::OfferMigration {
                session,
                epoch,
                media,
            });
        }
    }

    fn cancel_target(&mut self, session: SessionId, node: ServerId, epoch: Epoch) {
        let Some(state) = self.sessions.get(session) else {
            return;
        };
        let kind = CallKind::CancelMigration {
            session,
            attempt: state.last_attempt(),
            epoch,
        };
        let step = MigrationStep {
            kind: MigrationStepKind::Cancel,
            session,
            target: node,
            epoch,
        };
        if !self.call_target(step, kind) {
            self.handle_migration(session, coordinator::Input::NodeFailed { node });
        }
    }

    /// Calls a target, unless a call to it is already in flight. Returns `false` if the target has no known address.
    fn call_target(&mut self, step: MigrationStep, kind: CallKind) -> bool {
        let Some(migration) = self.sessions.migration_mut(step.session) else {
            return false;
        };
        let last_call = migration.target.as_ref().and_then(|target| target.call);
        if last_call.is_some_and(|call| self.calls.is_in_flight(call)) {
            return true;
        }
        let Some(call) = self.send_call(step.target, CallPurpose::Migrate(step), kind) else {
            return false;
        };
        let migration = self.sessions.migration_mut(step.session);
        if let Some(target) = migration.and_then(|migration| migration.target.as_mut()) {
            target.call = Some(call);
        }
        true
    }

    fn release_node(&mut self, session: SessionId, node: ServerId, epoch: Epoch) {
        let Some(state) = self.sessions.get(session) else {
            return;
        };
        let key = EndKey {
            server: node,
            session,
            attempt: state.last_attempt(),
        };
        self.require_end(key, Some(epoch));
    }

    fn session_lost(&mut self, session: SessionId) {
        let Some(state) = self.sessions.get(session) else {
            return;
        };
        if let Some(server) = state.playing_at() {
            let attempt = state.last_attempt();
            self.finish_session(session, server, attempt, Outcome::ConnectionReset);
        }
    }

    // ---- answers and events from nodes ------------------------------------------------------

    pub(super) fn prepare_finished(&mut self, step: MigrationStep, result: CallResult) {
        let node = step.target;
        let epoch = step.epoch;
        let input = match result {
            CallResult::Answered {
                status: 201,
                media: Some(media),
                load_report,
                ..
            } => {
                self.record_load(step.session, node, NodeLoad::from(load_report));
                self.record_target_ready(step.session, media);
                coordinator::Input::Prepared { node, epoch }
            }
            CallResult::Answered { .. } | CallResult::NotStarted(_) => {
                coordinator::Input::PrepareRejected { node, epoch }
            }
            // The target may be ready. Preparation is idempotent, so the next retry will tell.
            CallResult::MaybeExecuted(_) | CallResult::NotSent(_) => return,
        };
        self.handle_migration(step.session, input);
    }

    fn record_target_ready(&mut self, session: SessionId, media: String) {
        let migration = self.sessions.migration_mut(session);
        if let Some(target) = migration.and_then(|migration| migration.target.as_mut()) {
            target.media = Some(media);
            target.ready_since = Some(self.now);
        }
    }

    pub(super) fn cancel_finished(&mut self, step: MigrationStep, result: &CallResult) {
        let outcome = match result {
            result if confirms_absence(result) => CancelOutcome::Cancelled,
            CallResult::Answered { status: 409, .. } => CancelOutcome::AlreadyServing,
            _ => return, // the coordinator retries
        };
        let input = coordinator::Input::Cancelled {
            node: step.target,
            epoch: step.epoch,
            outcome,
        };
        self.handle_migration(step.session, input);
    }

    /// The player of a session has fetched its stream from a node.
    pub(super) fn stream_fetched(
        &mut self,
        node: ServerId,
        session: SessionId,
        attempt: u32,
        epoch: Epoch,
    ) {
        if self.sessions.get_attempt(session, attempt).is_some() {
            self.handle_migration(session, coordinator::Input::Serving { node, epoch });
        }
    }

    /// A node has confirmed that it has released a session up to an epoch, or completely.
    pub(super) fn node_released(
        &mut self,
        session: SessionId,
        node: ServerId,
        up_to_epoch: Option<Epoch>,
    ) {
        let epoch = up_to_epoch.unwrap_or(LAST_EPOCH);
        self.handle_migration(session, coordinator::Input::Released { node, epoch });
    }

    /// A node's process, or this session's stream there, is gone. Returns `false` if the session does not survive that.
    pub(super) fn node_failed_for(&mut self, session: SessionId, node: ServerId) -> bool {
        let state = self.sessions.get(session);
        if !state.is_some_and(|state| state.survives_node_failure()) {
            return false;
        }
        self.handle_migration(session, coordinator::Input::NodeFailed { node });
        true
    }
}
