//! What an engine is told at its start. Names stop at the engine: the decision module knows numbers.

use shalewall::{Settings, TimeDelta};
use shalewall_migration::planner::MigrationPolicy;
use std::collections::BTreeMap;

/// The cells that hold a title: `replica_cells` in a row from `first_cell` on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TitlePlacement {
    /// The first cell that holds the title.
    pub first_cell: u64,
    /// How many cells hold it.
    pub replica_cells: u64,
}

/// A class of the settings, in their order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedClass {
    /// The name that viewers ask for.
    pub name: String,
    /// The longest time that its viewers wait for an answer.
    pub max_wait: TimeDelta,
}

/// What an engine is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Seed of all that chance decides.
    pub seed: u64,
    /// Settings of the decision module.
    pub settings: Settings,
    /// The settings' classes, by their numbers.
    pub classes: Vec<NamedClass>,
    /// Names of the settings' tenants, by their numbers.
    pub tenants: Vec<String>,
    /// Names of the zones, by their numbers.
    pub zones: Vec<String>,
    /// Names of the machine kinds, by their numbers.
    pub machine_kinds: Vec<String>,
    /// The titles that every viewer may ask for.
    pub titles: BTreeMap<String, TitlePlacement>,
    /// Requests beyond so many sessions are rejected before the decision module sees them.
    pub max_sessions: usize,
    /// Distinguishes the sessions of one start of this director from those of another; 14 bits count.
    pub incarnation: u16,
    /// Terms on which sessions migrate while they play; without them none does.
    pub migration: Option<MigrationPolicy>,
}
