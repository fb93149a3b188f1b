//! What there is to serve with: kinds of machine, links, cells and the titles in them, and how nodes tell of sessions.

use garde::Validate;
use serde::{Deserialize, Serialize};

/// A kind of machine.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct MachineKind {
    /// Streams that it runs at most.
    #[garde(range(min = 1.0, max = 1e6))]
    #[serde(rename = "places")]
    pub stream_capacity: f64,
}

/// Cells that titles are laid out over, and racks, which share uplinks: a cell's rack is its number modulo
/// the racks.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Layout {
    /// How many cells there are.
    #[garde(range(min = 1, max = 1_000_000))]
    #[serde(rename = "cells")]
    pub cell_count: u64,
    /// How many racks there are; 0: no uplink is shared.
    #[garde(range(max = 1_000_000))]
    #[serde(default, rename = "racks")]
    pub rack_count: u64,
}

/// Cells that hold a title: `spread` in a row from `home` on.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Title {
    /// First of its cells.
    #[garde(skip)]
    #[serde(rename = "home")]
    pub first_cell: u64,
    /// How many cells hold it.
    #[garde(range(min = 1))]
    #[serde(rename = "spread")]
    pub replica_cells: u64,
}

/// What is told of links, kB a second.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Link of a node of weight 1.
    #[garde(range(min = 0.0, max = 1e12))]
    #[serde(rename = "kb_per_weight")]
    pub kb_s_per_weight: f64,
    /// A node's link goes by its weight in the endpoint list.
    #[garde(skip)]
    #[serde(default, rename = "weights_tell_size")]
    pub weight_is_capacity: bool,
    /// Links of the whole fleet together; 0: not known.
    #[garde(range(min = 0.0, max = 1e12))]
    #[serde(default, rename = "fleet_kb")]
    pub fleet_kb_s: f64,
    /// Uplink of a rack; 0: none.
    #[garde(range(min = 0.0, max = 1e12))]
    #[serde(default, rename = "uplink_kb")]
    pub rack_uplink_kb_s: f64,
    /// What a further viewer of a live title adds to a stream, as a part of its rate.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default = "one", rename = "join_adds")]
    pub join_rate_fraction: f64,
}

/// Notifications that nodes tell: how often, and how late.
#[derive(Clone, Debug, Default, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Notifications {
    /// Interval between two notifications of a session.
    #[garde(range(min = 0.0, max = 600_000.0))]
    #[serde(rename = "every_ms")]
    pub interval_ms: f64,
    /// How old a notification may be.
    #[garde(range(min = 0.0, max = 600_000.0))]
    #[serde(rename = "late_ms")]
    pub delay_ms: f64,
}

fn one() -> f64 {
    1.0
}
