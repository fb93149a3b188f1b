//! The capacity of a site: machine kinds, links, cells and their titles, and the timing of nodes' notifications.

use garde::Validate;
use serde::{Deserialize, Serialize};

/// A machine kind.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct MachineKind {
    /// Maximum number of streams.
    #[garde(range(min = 1.0, max = 1e6))]
    #[serde(rename = "places")]
    pub stream_capacity: f64,
}

/// Cells, over which titles are distributed, and racks, whose nodes share an uplink. A cell's rack is its number modulo
/// the number of racks.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Layout {
    /// Number of cells.
    #[garde(range(min = 1, max = 1_000_000))]
    #[serde(rename = "cells")]
    pub cell_count: u64,
    /// Number of racks; 0: there are no shared uplinks.
    #[garde(range(max = 1_000_000))]
    #[serde(default, rename = "racks")]
    pub rack_count: u64,
}

/// The cells that host a title: `spread` consecutive ones from `home` on.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Title {
    /// First cell that hosts it.
    #[garde(skip)]
    #[serde(rename = "home")]
    pub first_cell: u64,
    /// Number of consecutive cells that host it.
    #[garde(range(min = 1))]
    #[serde(rename = "spread")]
    pub replica_cells: u64,
}

/// Nominal link capacities.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Link capacity of a node with weight 1, kB/s.
    #[garde(range(min = 0.0, max = 1e12))]
    #[serde(rename = "kb_per_weight")]
    pub kb_s_per_weight: f64,
    /// Whether a node's link capacity is proportional to its weight in the endpoint list.
    #[garde(skip)]
    #[serde(default, rename = "weights_tell_size")]
    pub weight_is_capacity: bool,
    /// Sum of the link capacities of the fleet, kB/s; 0: unknown.
    #[garde(range(min = 0.0, max = 1e12))]
    #[serde(default, rename = "fleet_kb")]
    pub fleet_kb_s: f64,
    /// Uplink capacity of a rack, kB/s; 0: no uplinks.
    #[garde(range(min = 0.0, max = 1e12))]
    #[serde(default, rename = "uplink_kb")]
    pub rack_uplink_kb_s: f64,
    /// Additional rate for each further viewer of a live title on the same stream, as a fraction of the stream's rate.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default = "default_join_rate_fraction", rename = "join_adds")]
    pub join_rate_fraction: f64,
}

/// Timing of the notifications that nodes send.
#[derive(Clone, Debug, Default, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Notifications {
    /// Interval between two notifications about a session, in milliseconds.
    #[garde(range(min = 0.0, max = 600_000.0))]
    #[serde(rename = "every_ms")]
    pub interval_ms: f64,
    /// Longest delay of a notification, in milliseconds.
    #[garde(range(min = 0.0, max = 600_000.0))]
    #[serde(rename = "late_ms")]
    pub delay_ms: f64,
}

fn default_join_rate_fraction() -> f64 {
    1.0
}
