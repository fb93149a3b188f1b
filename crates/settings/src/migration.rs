//! Settings for the migration of playing sessions to another node.

use crate::units::{from_millis, from_seconds};
use garde::Validate;
use serde::{Deserialize, Serialize};
use shalewall_migration::planner::MigrationPolicy;

/// Conditions and limits of migrations. Without them, a site's sessions never migrate.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct MigrationSettings {
    /// Typical duration of a migration, in milliseconds. A player that receives no data waits while its buffer lasts
    /// longer than this. A target has to be ready within half of it.
    #[garde(range(min = 50.0, max = 60_000.0))]
    #[serde(default = "default_duration_ms", rename = "takes_ms")]
    pub duration_ms: f64,
    /// Shortest time in seconds between two migrations of a session, unless its node drains or no longer serves it.
    #[garde(range(min = 0.0, max = 3600.0))]
    #[serde(default = "default_cooldown_s", rename = "again_s")]
    pub cooldown_s: f64,
    /// Duration of a shortage, in seconds, after which sessions may migrate because of it.
    #[garde(range(min = 1.0, max = 3600.0))]
    #[serde(default = "default_min_shortage_s", rename = "lasts_s")]
    pub min_shortage_s: f64,
    /// Maximum number of concurrent migrations from and to one node.
    #[garde(range(min = 1, max = 10_000))]
    #[serde(default = "default_max_per_node", rename = "at_node")]
    pub max_per_node: usize,
    /// Maximum number of concurrent migrations of one director.
    #[garde(range(min = 1, max = 100_000))]
    #[serde(default = "default_max_per_director", rename = "at_front")]
    pub max_per_director: usize,
    /// Cost of a migration, in seconds of the session's utility. A session does not migrate for a smaller gain.
    #[garde(range(min = 0.0, max = 3600.0))]
    #[serde(default = "default_cost_s", rename = "costs_s")]
    pub cost_s: f64,
}

fn default_duration_ms() -> f64 {
    700.0
}

fn default_cooldown_s() -> f64 {
    5.0
}

fn default_min_shortage_s() -> f64 {
    6.0
}

fn default_max_per_node() -> usize {
    16
}

fn default_max_per_director() -> usize {
    64
}

fn default_cost_s() -> f64 {
    1.0
}

impl MigrationSettings {
    /// Converts the settings to those of the engine.
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
