//! When a migration is allowed, and why one is wanted.

use shalewall::{SessionId, TimeDelta};

/// The limits of migrations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MigrationPolicy {
    /// A migration takes about so long: a player whose buffer lasts longer waits.
    pub duration: TimeDelta,
    /// No session is migrated again within this on suspicion. A draining node and a lost session are facts, and
    /// don't wait.
    pub cooldown: TimeDelta,
    /// A shortage that has lasted so long is not mended by changes of rungs.
    pub min_shortage: TimeDelta,
    /// Migrations under way from and to one node at most.
    pub max_per_node: usize,
    /// Migrations under way of this director at most.
    pub max_per_director: usize,
    /// A migration costs as much as so many seconds of the session.
    pub cost_s: f64,
}

/// Why a session is to be migrated. The most urgent reason is the least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MigrationReason {
    /// No node serves it any more.
    Orphaned,
    /// Most players of its node receive nothing.
    NodeSilent,
    /// Its node is draining.
    NodeDraining,
    /// Its node delivers less than the rates of its sessions.
    NodeShort,
}

/// A session that is to be migrated now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DueMigration {
    /// The session.
    pub session: SessionId,
    /// Why.
    pub reason: MigrationReason,
}
