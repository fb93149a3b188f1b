//! The director's side of the migrations of one session. One migration is in progress at a time, every message is
//! repeated until it is answered, and the source is released last.
//!
//! [`events`] defines the inputs and outputs, `inputs` handles the inputs, and `recovery` rebuilds a coordinator from
//! the reports of nodes after the director has restarted.

pub mod events;
mod inputs;
mod recovery;

pub use events::{Input, NodeReport, Output};

use crate::Epoch;
use shalewall::{ServerId, TimeDelta, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// Interval at which a message is repeated until it is answered.
pub const RETRY_INTERVAL: TimeDelta = TimeDelta::from_millis(100);
/// Time after which a session that no node serves is given up, because its player's buffer has run empty by then. Until
/// then it can still be migrated, since the director has not released its admission.
pub const ORPHAN_TIMEOUT: TimeDelta = TimeDelta::from_secs(3);
/// Time limit for the target of a migration that was found in progress or replaces one whose target failed.
const RESUMED_MIGRATION_TIMEOUT: TimeDelta = TimeDelta::from_secs(1);

/// The phase of a migration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// The target has been requested to prepare.
    Preparing,
    /// The target is ready and has been offered to the player.
    Offered,
    /// The deadline has passed, or the target has rejected an epoch that it had prepared. The target's answer to the
    /// cancellation decides whether the migration happens.
    Cancelling,
}

/// The migration in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Migration {
    target: ServerId,
    epoch: Epoch,
    phase: Phase,
    /// When the migration is cancelled, unless the player has fetched by then.
    deadline: Timestamp,
    /// Whether the target has reported that the player has fetched from it.
    fetched: bool,
}

impl Migration {
    fn matches(&self, node: ServerId, epoch: Epoch) -> bool {
        self.target == node && self.epoch == epoch
    }
}

/// Coordinates the migrations of one session.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MigrationCoordinator {
    /// The last known node and epoch of the player.
    current_node: ServerId,
    current_epoch: Epoch,
    /// The greatest epoch ever used.
    latest_epoch: Epoch,
    migration: Option<Migration>,
    /// Releases that nodes have not confirmed yet, and the epoch up to which each of them releases.
    pending_releases: BTreeMap<ServerId, Epoch>,
    ended: bool,
    /// Set when the current node has failed: the time at which the session is lost if it has not been migrated.
    orphaned_until: Option<Timestamp>,
    retry_at: Option<Timestamp>,
    outputs: VecDeque<Output>,
}

impl MigrationCoordinator {
    /// Creates the coordinator of a session that plays at the node where it was set up.
    pub fn new(node: ServerId) -> MigrationCoordinator {
        MigrationCoordinator {
            current_node: node,
            current_epoch: Epoch(0),
            latest_epoch: Epoch(0),
            migration: None,
            pending_releases: BTreeMap::new(),
            ended: false,
            orphaned_until: None,
            retry_at: None,
            outputs: VecDeque::new(),
        }
    }

    /// The node at which the session plays, as far as is known.
    pub fn current_node(&self) -> ServerId {
        self.current_node
    }

    /// The epoch that it plays.
    pub fn current_epoch(&self) -> Epoch {
        self.current_epoch
    }

    /// The target of the migration in progress.
    pub fn target(&self) -> Option<ServerId> {
        self.migration.map(|migration| migration.target)
    }

    /// Whether a migration is in progress.
    pub fn is_migrating(&self) -> bool {
        self.migration.is_some()
    }

    /// Whether no migration is in progress, no release is pending and the session is not orphaned.
    pub fn is_idle(&self) -> bool {
        let waits_for_target = self.orphaned_until.is_some() && !self.ended;
        self.migration.is_none() && self.pending_releases.is_empty() && !waits_for_target
    }

    /// Whether the session has ended.
    pub fn is_ended(&self) -> bool {
        self.ended
    }

    /// Whether no node serves the session, as far as is known.
    pub fn is_orphaned(&self) -> bool {
        self.orphaned_until.is_some() && !self.ended
    }

    /// The greatest epoch that has been used for the session.
    pub fn latest_epoch(&self) -> Epoch {
        self.latest_epoch
    }

    /// Returns the next output. Call it until it returns `None`.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// The time at which [`MigrationCoordinator::handle_timeout`] is due.
    pub fn poll_timeout(&self) -> Option<Timestamp> {
        self.retry_at
    }

    /// Starts a migration that is cancelled at `deadline`. Returns `false` if the session has ended, a migration is in
    /// progress, or the target is the current node or has not confirmed a release yet.
    pub fn start(&mut self, now: Timestamp, target: ServerId, deadline: Timestamp) -> bool {
        let release_pending = self.pending_releases.contains_key(&target);
        if self.ended || self.migration.is_some() || target == self.current_node || release_pending
        {
            return false;
        }
        self.prepare(now, target, deadline);
        true
    }

    /// Handles the epoch that the player reports to play. An unknown epoch was migrated by an earlier process to a node
    /// that has not reported yet: the session has to be migrated again under a greater epoch, since a player never
    /// returns to a lower one.
    pub fn observe_player_epoch(&mut self, epoch: Epoch) {
        let of_migration = self
            .migration
            .is_some_and(|migration| migration.epoch == epoch);
        let known = epoch <= self.current_epoch || of_migration;
        self.latest_epoch = self.latest_epoch.max(epoch);
        if !known && !self.ended {
            self.outputs.push_back(Output::Orphaned);
        }
    }

    /// Abandons the migration if its target has not been offered to the player yet. Otherwise it continues.
    pub fn withdraw_target(&mut self, now: Timestamp) {
        let withdrawable = self
            .migration
            .is_some_and(|migration| migration.phase == Phase::Preparing && !migration.fetched);
        if withdrawable {
            self.abandon();
            self.retry_at = Some(now + RETRY_INTERVAL);
        }
    }

    /// Repeats unanswered messages, and expires the migration and the orphaned session.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        self.expire_migration(now);
        self.expire_orphan(now);
        self.repeat_migration_step();
        let releases = self.pending_releases.iter();
        let releases = releases.map(|(&node, &epoch)| Output::Release { node, epoch });
        self.outputs.extend(releases);
        self.retry_at = (!self.is_idle()).then_some(now + RETRY_INTERVAL);
    }

    fn expire_migration(&mut self, now: Timestamp) {
        let late = self
            .migration
            .as_mut()
            .filter(|migration| now >= migration.deadline && !migration.fetched);
        match late {
            // The target was never offered to the player.
            Some(migration) if migration.phase == Phase::Preparing => self.abandon(),
            Some(migration) => migration.phase = Phase::Cancelling,
            None => {}
        }
    }

    fn expire_orphan(&mut self, now: Timestamp) {
        let expired = self.orphaned_until.is_some_and(|until| now >= until);
        if expired && self.migration.is_none() && !self.ended {
            self.ended = true;
            self.outputs.push_back(Output::Lost);
        }
    }

    fn repeat_migration_step(&mut self) {
        let Some(migration) = self.migration else {
            return;
        };
        let Migration { target, epoch, .. } = migration;
        self.outputs.push_back(match migration.phase {
            Phase::Preparing => Output::Prepare {
                source: self.current_node,
                target,
                epoch,
            },
            Phase::Offered => Output::Offer {
                node: target,
                epoch,
            },
            Phase::Cancelling => Output::Cancel {
                node: target,
                epoch,
            },
        });
    }

    /// Starts a migration under a new epoch by requesting the target to prepare.
    fn prepare(&mut self, now: Timestamp, target: ServerId, deadline: Timestamp) {
        self.latest_epoch = self.latest_epoch.next();
        let epoch = self.latest_epoch;
        self.migration = Some(Migration {
            target,
            epoch,
            phase: Phase::Preparing,
            deadline,
            fetched: false,
        });
        self.outputs.push_back(Output::Prepare {
            source: self.current_node,
            target,
            epoch,
        });
        self.retry_at = Some(now + RETRY_INTERVAL);
    }

    /// Resumes a migration whose player has fetched: the target is offered until the player confirms the switch.
    fn adopt(&mut self, now: Timestamp, target: ServerId, epoch: Epoch) {
        self.latest_epoch = self.latest_epoch.max(epoch);
        self.migration = Some(Migration {
            target,
            epoch,
            phase: Phase::Offered,
            deadline: now + RESUMED_MIGRATION_TIMEOUT,
            fetched: true,
        });
        self.outputs.push_back(Output::Offer {
            node: target,
            epoch,
        });
    }

    /// Ends a migration to which the player will not switch, because the target was never offered or the player has
    /// declined. The release is repeated until the target confirms it; the next migration does not wait for that.
    fn abandon(&mut self) {
        let Some(migration) = self.migration else {
            return;
        };
        self.abort(migration.target);
        if migration.target != self.current_node {
            self.release(migration.target, migration.epoch);
        }
    }

    /// Ends a migration that did not happen.
    fn abort(&mut self, target: ServerId) {
        self.migration = None;
        self.outputs.push_back(Output::Aborted { target });
        if self.orphaned_until.is_some() {
            self.outputs.push_back(Output::Orphaned);
        }
    }

    /// Requests a node to release the session up to an epoch. Repeated until the node confirms.
    fn release(&mut self, node: ServerId, epoch: Epoch) {
        let pending = self.pending_releases.entry(node).or_insert(epoch);
        *pending = (*pending).max(epoch);
        let epoch = *pending;
        self.outputs.push_back(Output::Release { node, epoch });
    }
}
