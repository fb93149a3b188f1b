//! Configuration of an engine. The engine maps names to numbers; the decision module uses numbers only.

use shalewall::{Settings, TimeDelta};
use shalewall_migration::planner::MigrationPolicy;
use std::collections::BTreeMap;

/// The cells that hold a title: `replica_cells` consecutive ones, starting with `first_cell`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TitlePlacement {
    /// The first cell that holds the title.
    pub first_cell: u64,
    /// How many cells hold it.
    pub replica_cells: u64,
}

/// A class of the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedClass {
    /// The name that viewers use in requests.
    pub name: String,
    /// The maximum time that its viewers wait for an answer.
    pub max_wait: TimeDelta,
}

/// Configuration of an engine.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Seed of all random decisions.
    pub seed: u64,
    /// Settings of the decision module.
    pub settings: Settings,
    /// The settings' classes in the order of their numbers.
    pub classes: Vec<NamedClass>,
    /// Names of the settings' tenants in the order of their numbers.
    pub tenants: Vec<String>,
    /// Names of the zones in the order of their numbers.
    pub zones: Vec<String>,
    /// Names of the machine kinds in the order of their numbers.
    pub machine_kinds: Vec<String>,
    /// The site's titles, which are available to viewers of all tenants without titles of their own.
    pub titles: BTreeMap<String, TitlePlacement>,
    /// Maximum number of sessions. Further requests are rejected before they reach the decision module.
    pub max_sessions: usize,
    /// Distinguishes the session ids of this director process from those of earlier ones; 14 bits are used.
    pub incarnation: u16,
    /// Policy for the migration of playing sessions. `None` disables migration.
    pub migration: Option<MigrationPolicy>,
}
