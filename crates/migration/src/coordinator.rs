//! The director's side of the migrations of one session: one migration at a time, every message repeated until it is
//! answered, the source released last.
//!
//! [`events`] lists what goes in and out, `inputs` handles what goes in, and `recovery` rebuilds a coordinator from
//! what nodes hold after the director's process has restarted.

pub mod events;
mod inputs;
mod recovery;

pub use events::{Input, NodeReport, Output};

use crate::Epoch;
use shalewall::{ServerId, TimeDelta, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// A message without an answer is repeated after this.
pub const RETRY_INTERVAL: TimeDelta = TimeDelta::from_millis(100);
/// A session that no node serves any more is given up after this: its player's buffer has run dry by then. Until then
/// it can still be migrated, since the director has its booking.
pub const ORPHAN_TIMEOUT: TimeDelta = TimeDelta::from_secs(3);
/// A migration that was found under way, or replaces one whose target failed, has so long for its target to be ready.
const RESUMED_MIGRATION_TIMEOUT: TimeDelta = TimeDelta::from_secs(1);

/// How far a migration is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// The target has been asked to prepare.
    Preparing,
    /// The target is ready, and the player has been told.
    Offered,
    /// It took too long, or the target changed its answer: the target decides whether the migration happened.
    Cancelling,
}

/// The migration that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Migration {
    target: ServerId,
    epoch: Epoch,
    phase: Phase,
    /// Given up then, unless the player has fetched.
    deadline: Timestamp,
    /// The target says that the player has fetched there.
    fetched: bool,
}

impl Migration {
    fn matches(&self, node: ServerId, epoch: Epoch) -> bool {
        self.target == node && self.epoch == epoch
    }
}

/// The migrations of one session.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MigrationCoordinator {
    /// Where the session plays as far as is known, and under which epoch.
    current_node: ServerId,
    current_epoch: Epoch,
    /// The greatest epoch ever used.
    latest_epoch: Epoch,
    migration: Option<Migration>,
    /// Releases that nodes have not confirmed yet, up to which epoch each.
    pending_releases: BTreeMap<ServerId, Epoch>,
    ended: bool,
    /// The current node has failed: a migration that comes later than this comes too late.
    orphaned_until: Option<Timestamp>,
    retry_at: Option<Timestamp>,
    outputs: VecDeque<Output>,
}

impl MigrationCoordinator {
    /// A session that plays where it was set up.
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

    /// Where the session plays, as far as is known.
    pub fn current_node(&self) -> ServerId {
        self.current_node
    }

    /// The epoch that it plays under.
    pub fn current_epoch(&self) -> Epoch {
        self.current_epoch
    }

    /// Where it is being migrated to.
    pub fn target(&self) -> Option<ServerId> {
        self.migration.map(|migration| migration.target)
    }

    /// Whether a migration is under way.
    pub fn is_migrating(&self) -> bool {
        self.migration.is_some()
    }

    /// Whether nothing is under way and nothing has to be repeated.
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

    /// The greatest epoch that the session was ever migrated under.
    pub fn latest_epoch(&self) -> Epoch {
        self.latest_epoch
    }

    /// The next thing to do; call it until it returns nothing.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// When [`MigrationCoordinator::handle_timeout`] is due.
    pub fn poll_timeout(&self) -> Option<Timestamp> {
        self.retry_at
    }

    /// Starts a migration that is given up at `deadline`. False: one is under way, or this node can't be its target.
    pub fn start(&mut self, now: Timestamp, target: ServerId, deadline: Timestamp) -> bool {
        let release_pending = self.pending_releases.contains_key(&target);
        if self.ended || self.migration.is_some() || target == self.current_node || release_pending
        {
            return false;
        }
        self.prepare(now, target, deadline);
        true
    }

    /// The player says which epoch it plays. One that is not known here is of a node that an earlier process had
    /// migrated the session to and that has not reported yet: the session has to be migrated under a greater epoch,
    /// since a player never goes back to a lesser one.
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

    /// Gives up the migration if its player has not been told of it yet; one that the player knows of goes on.
    pub fn withdraw_target(&mut self, now: Timestamp) {
        let withdrawable = self
            .migration
            .is_some_and(|migration| migration.phase == Phase::Preparing && !migration.fetched);
        if withdrawable {
            self.abandon();
            self.retry_at = Some(now + RETRY_INTERVAL);
        }
    }

    /// Repeats what has no answer, and gives up what took too long.
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
            // The player has never heard of it.
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

    /// Asks a target to prepare, under a new epoch.
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

    /// Goes on with a migration whose player has fetched: it is offered until the player says that it plays.
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

    /// Ends a migration that the player will not take part in: it was never told of it, or has declined. The target
    /// is told until it answers; the next migration need not wait for that.
    fn abandon(&mut self) {
        let Some(migration) = self.migration else {
            return;
        };
        self.abort(migration.target);
        if migration.target != self.current_node {
            self.release(migration.target, migration.epoch);
        }
    }

    /// The migration did not happen.
    fn abort(&mut self, target: ServerId) {
        self.migration = None;
        self.outputs.push_back(Output::Aborted { target });
        if self.orphaned_until.is_some() {
            self.outputs.push_back(Output::Orphaned);
        }
    }

    /// Asks a node to release the session up to an epoch, until it confirms.
    fn release(&mut self, node: ServerId, epoch: Epoch) {
        let pending = self.pending_releases.entry(node).or_insert(epoch);
        *pending = (*pending).max(epoch);
        let epoch = *pending;
        self.outputs.push_back(Output::Release { node, epoch });
    }
}
