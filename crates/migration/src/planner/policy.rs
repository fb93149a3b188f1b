//! The limits of migrations, and the reasons for them.

use shalewall::{SessionId, TimeDelta};

/// Limits and costs of migrations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MigrationPolicy {
    /// Typical duration of a migration. A silent player whose buffer lasts longer is not migrated yet.
    pub duration: TimeDelta,
    /// Minimum time between migrations of a session because of a silent or short node. Orphaned sessions and those
    /// of draining nodes do not wait, since these reasons are certain.
    pub cooldown: TimeDelta,
    /// Minimum duration of a shortage that causes migrations: rung changes have not resolved it by then.
    pub min_shortage: TimeDelta,
    /// Maximum number of concurrent migrations from and to one node.
    pub max_per_node: usize,
    /// Maximum number of concurrent migrations of this director.
    pub max_per_director: usize,
    /// The cost of a migration, in seconds of playing time of the session.
    pub cost_s: f64,
}

/// Why a session is to be migrated, in descending order of urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MigrationReason {
    /// No node serves the session any more.
    Orphaned,
    /// Most players of its node receive no data.
    NodeSilent,
    /// Its node is draining.
    NodeDraining,
    /// Its node has a shortage: it delivers less than the rates of its sessions.
    NodeShort,
}

/// A session that is due for migration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DueMigration {
    /// The session.
    pub session: SessionId,
    /// The reason.
    pub reason: MigrationReason,
}
