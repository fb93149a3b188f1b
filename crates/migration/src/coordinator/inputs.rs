//! Input handling of the [`MigrationCoordinator`]. Messages may be delayed, duplicated or lost, so each one is matched
//! against the migration in progress.

use super::{
    Input, MigrationCoordinator, ORPHAN_TIMEOUT, Output, Phase, RESUMED_MIGRATION_TIMEOUT,
    RETRY_INTERVAL,
};
use crate::Epoch;
use crate::node::CancelOutcome;
use shalewall::{ServerId, Timestamp};

impl MigrationCoordinator {
    /// Handles one input. The resulting outputs are returned by [`MigrationCoordinator::poll_output`].
    pub fn handle(&mut self, now: Timestamp, input: Input) {
        match input {
            Input::Prepared { node, epoch } => self.on_prepared(node, epoch),
            Input::PrepareRejected { node, epoch } => self.on_prepare_rejected(node, epoch),
            Input::Serving { node, epoch } => self.on_serving(now, node, epoch),
            Input::PlayerSwitched { epoch } => self.on_player_switched(epoch),
            Input::PlayerDeclined { epoch } => self.on_player_declined(epoch),
            Input::Cancelled {
                node,
                epoch,
                outcome,
            } => self.on_cancelled(now, node, epoch, outcome),
            Input::Released { node, epoch } => self.on_released(node, epoch),
            Input::NodeFailed { node } => self.on_node_failed(now, node),
            Input::ViewerLeft => self.on_viewer_left(),
        }
        if self.is_idle() {
            self.retry_at = None;
        } else if self.retry_at.is_none() {
            self.retry_at = Some(now + RETRY_INTERVAL);
        }
    }

    fn on_prepared(&mut self, node: ServerId, epoch: Epoch) {
        let migration = self.migration.as_mut();
        let Some(migration) = migration.filter(|migration| migration.matches(node, epoch)) else {
            return;
        };
        if migration.phase == Phase::Preparing {
            migration.phase = Phase::Offered;
            self.outputs.push_back(Output::Offer { node, epoch });
        }
    }

    fn on_prepare_rejected(&mut self, node: ServerId, epoch: Epoch) {
        let migration = self
            .migration
            .as_mut()
            .filter(|migration| migration.matches(node, epoch) && !migration.fetched);
        match migration {
            Some(migration) if migration.phase == Phase::Preparing => self.abandon(),
            // Another ticket for the epoch may have been accepted in the meantime: only the answer to a cancellation
            // is final.
            Some(migration) => {
                migration.phase = Phase::Cancelling;
                self.outputs.push_back(Output::Cancel { node, epoch });
            }
            None => {}
        }
    }

    fn on_serving(&mut self, now: Timestamp, node: ServerId, epoch: Epoch) {
        let migration = self.migration.as_mut();
        if let Some(migration) = migration.filter(|migration| migration.matches(node, epoch)) {
            migration.fetched = true;
            migration.phase = Phase::Offered;
        } else if epoch < self.current_epoch {
            self.release(node, epoch);
        } else if epoch > self.current_epoch && self.migration.is_none() && !self.ended {
            // A migration that was started by an earlier process has happened.
            self.adopt(now, node, epoch);
        }
    }

    fn on_player_switched(&mut self, epoch: Epoch) {
        let Some(migration) = self.migration.filter(|migration| migration.epoch == epoch) else {
            return;
        };
        let source = std::mem::replace(&mut self.current_node, migration.target);
        let source_epoch = std::mem::replace(&mut self.current_epoch, epoch);
        self.migration = None;
        if source != migration.target && self.orphaned_until.is_none() {
            self.release(source, source_epoch);
        }
        self.orphaned_until = None;
        self.outputs.push_back(Output::Migrated {
            source,
            target: migration.target,
        });
    }

    /// The player's decision is final: the epoch will not be played, whatever its state at the target.
    fn on_player_declined(&mut self, epoch: Epoch) {
        if self
            .migration
            .is_some_and(|migration| migration.epoch == epoch)
        {
            self.abandon();
        }
    }

    fn on_cancelled(
        &mut self,
        now: Timestamp,
        node: ServerId,
        epoch: Epoch,
        outcome: CancelOutcome,
    ) {
        let asked = self.migration.is_some_and(|migration| {
            migration.matches(node, epoch) && migration.phase == Phase::Cancelling
        });
        match outcome {
            CancelOutcome::AlreadyServing => self.on_serving(now, node, epoch),
            CancelOutcome::Cancelled if asked => self.abort(node),
            CancelOutcome::Cancelled => {}
        }
    }

    fn on_released(&mut self, node: ServerId, epoch: Epoch) {
        let pending = self.pending_releases.get(&node);
        if pending.is_some_and(|pending| *pending <= epoch) {
            self.pending_releases.remove(&node);
        }
    }

    fn on_node_failed(&mut self, now: Timestamp, node: ServerId) {
        self.pending_releases.remove(&node);
        if self.ended {
            return;
        }
        if self.current_node == node && self.orphaned_until.is_none() {
            self.orphaned_until = Some(now + ORPHAN_TIMEOUT);
            // During a migration the target may serve the session, so its outcome is awaited first.
            if self.migration.is_none() {
                self.outputs.push_back(Output::Orphaned);
            }
        }
        let Some(migration) = self.migration.filter(|migration| migration.target == node) else {
            return;
        };
        if migration.fetched && self.orphaned_until.is_none() {
            // The player may have switched to the failed target: it is offered the source again under a new epoch.
            self.outputs.push_back(Output::Aborted { target: node });
            let deadline = migration.deadline.max(now + RESUMED_MIGRATION_TIMEOUT);
            self.prepare(now, self.current_node, deadline);
        } else {
            self.abort(node);
        }
    }

    fn on_viewer_left(&mut self) {
        self.ended = true;
        let latest = self.latest_epoch;
        if let Some(migration) = self.migration.take() {
            self.release(migration.target, latest);
        }
        self.release(self.current_node, latest);
    }
}
