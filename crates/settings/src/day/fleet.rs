//! The media nodes of a day as they are, which is not quite what the endpoint list says of them.

use garde::Validate;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The media nodes as they are, which is not quite what the list says.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// How many nodes there are.
    #[garde(range(min = 1, max = 400))]
    #[serde(rename = "nodes")]
    pub node_count: u64,
    /// A node's link, kB a second, for a node of weight 1.
    #[garde(range(min = 1.0, max = 1e12))]
    #[serde(rename = "link_kb")]
    pub link_kb_s: f64,
    /// Links and uplinks stray from that by up to this part.
    #[garde(range(min = 0.0, max = 0.9))]
    #[serde(default, rename = "link_stray")]
    pub link_deviation: f64,
    /// True rates lie above or below the ladder by up to this part.
    #[garde(range(min = 0.0, max = 0.9))]
    #[serde(default, rename = "rate_stray")]
    pub rate_deviation: f64,
    /// A rack's uplink, kB a second; 0: none.
    #[garde(range(min = 0.0, max = 1e12))]
    #[serde(default, rename = "uplink_kb")]
    pub uplink_kb_s: f64,
    /// Usual time of a set-up.
    #[garde(range(min = 0.0, max = 10_000.0))]
    pub set_up_ms: f64,
    /// Load figures are refreshed so often.
    #[garde(range(min = 1.0, max = 60_000.0))]
    #[serde(default = "refresh", rename = "refresh_ms")]
    pub load_refresh_ms: f64,
    /// And wrong by up to this part.
    #[garde(range(min = 0.0, max = 0.9))]
    #[serde(default, rename = "noise")]
    pub load_noise: f64,
    /// A node turns set-ups away while so much of its link is asked; 0: never.
    #[garde(range(min = 0.0, max = 100.0))]
    #[serde(default, rename = "full_from")]
    pub reject_above: f64,
    /// Machines by number, where each is told; then `nodes` and `link_kb` are not used.
    #[garde(dive)]
    #[serde(default, rename = "machine")]
    pub machines: BTreeMap<String, Machine>,
    /// Uplink of each rack, where each is told.
    #[garde(skip)]
    #[serde(default, rename = "uplinks_kb")]
    pub uplinks_kb_s: Vec<f64>,
    /// News of the list come so late.
    #[garde(range(min = 0.0, max = 60_000.0))]
    #[serde(default, rename = "list_late_ms")]
    pub list_delay_ms: f64,
}

/// One machine of the fleet.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Zone that it is in.
    #[garde(skip)]
    #[serde(default)]
    pub zone: String,
    /// Kind of machine, one of the site's.
    #[garde(skip)]
    pub kind: String,
    /// Cell that it holds the titles of.
    #[garde(skip)]
    pub cell: u64,
    /// Weight in the endpoint list.
    #[garde(range(min = 0.0, max = 1e9))]
    pub weight: f64,
    /// Its link, kB a second.
    #[garde(range(min = 1.0, max = 1e12))]
    #[serde(rename = "link_kb")]
    pub link_kb_s: f64,
}

fn refresh() -> f64 {
    300.0
}
