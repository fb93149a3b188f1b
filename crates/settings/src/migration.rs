//! When sessions that play are moved to another node.

use crate::units::{from_millis, from_seconds};
use garde::Validate;
use serde::{Deserialize, Serialize};
use shalewall_migration::planner::MigrationPolicy;

/// When sessions may be handed over to another node while they play. Absent in a site: never.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct MigrationSettings {
    /// A move takes about so long: a player that hears nothing waits while its buffer lasts longer. Half of it is what
    /// a target has to be ready within.
    #[garde(range(min = 50.0, max = 60_000.0))]
    #[serde(default = "takes_ms", rename = "takes_ms")]
    pub duration_ms: f64,
    /// No session is moved again within this, unless its node drains or nobody serves it any more.
    #[garde(range(min = 0.0, max = 3600.0))]
    #[serde(default = "again_s", rename = "again_s")]
    pub cooldown_s: f64,
    /// A shortage that has lasted so long is a cause to move.
    #[garde(range(min = 1.0, max = 3600.0))]
    #[serde(default = "lasts_s", rename = "lasts_s")]
    pub min_shortage_s: f64,
    /// Moves under way at most, from and to one node.
    #[garde(range(min = 1, max = 10_000))]
    #[serde(default = "at_node", rename = "at_node")]
    pub max_per_node: usize,
    /// Moves under way at most, of one director.
    #[garde(range(min = 1, max = 100_000))]
    #[serde(default = "at_front", rename = "at_front")]
    pub max_per_director: usize,
    /// A move costs as much as so many seconds of the session: for less it is not made.
    #[garde(range(min = 0.0, max = 3600.0))]
    #[serde(default = "costs_s", rename = "costs_s")]
    pub cost_s: f64,
}

fn takes_ms() -> f64 {
    700.0
}

fn again_s() -> f64 {
    5.0
}

fn lasts_s() -> f64 {
    6.0
}

fn at_node() -> usize {
    16
}

fn at_front() -> usize {
    64
}

fn costs_s() -> f64 {
    1.0
}

impl MigrationSettings {
    /// As the engine is told.
    pub(crate) fn policy(&self) -> MigrationPolicy {
        MigrationPolicy {
            duration: from_millis(self.duration_ms),
            cooldown: from_seconds(self.cooldown_s),
            min_shortage: from_seconds(self.min_shortage_s),
            max_per_node: self.max_per_node,
            max_per_director: self.max_per_director,
            cost_s: self.cost_s,
        }
    }
}
