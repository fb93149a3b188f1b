//! The actual media nodes of a day, which may differ from what the endpoint list says.

use garde::Validate;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The actual media nodes, which may differ from what the endpoint list says.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Number of nodes.
    #[garde(range(min = 1, max = 400))]
    #[serde(rename = "nodes")]
    pub node_count: u64,
    /// Link capacity of a node with weight 1, kB/s.
    #[garde(range(min = 1.0, max = 1e12))]
    #[serde(rename = "link_kb")]
    pub link_kb_s: f64,
    /// Largest deviation of actual link and uplink capacities from the nominal ones, as a fraction.
    #[garde(range(min = 0.0, max = 0.9))]
    #[serde(default, rename = "link_stray")]
    pub link_deviation: f64,
    /// Largest deviation of actual rates from those of the ladder, as a fraction.
    #[garde(range(min = 0.0, max = 0.9))]
    #[serde(default, rename = "rate_stray")]
    pub rate_deviation: f64,
    /// Uplink capacity of a rack, kB/s; 0: no uplinks.
    #[garde(range(min = 0.0, max = 1e12))]
    #[serde(default, rename = "uplink_kb")]
    pub uplink_kb_s: f64,
    /// Typical duration of a set-up, in milliseconds.
    #[garde(range(min = 0.0, max = 10_000.0))]
    pub set_up_ms: f64,
    /// Interval at which nodes refresh their load reports, in milliseconds.
    #[garde(range(min = 1.0, max = 60_000.0))]
    #[serde(default = "default_load_refresh_ms", rename = "refresh_ms")]
    pub load_refresh_ms: f64,
    /// Largest error of load reports, as a fraction.
    #[garde(range(min = 0.0, max = 0.9))]
    #[serde(default, rename = "noise")]
    pub load_noise: f64,
    /// Link utilization above which a node rejects set-ups; 0: it never rejects.
    #[garde(range(min = 0.0, max = 100.0))]
    #[serde(default, rename = "full_from")]
    pub reject_above: f64,
    /// Machines by number. If present, `nodes` and `link_kb` are not used.
    #[garde(dive)]
    #[serde(default, rename = "machine")]
    pub machines: BTreeMap<String, Machine>,
    /// Uplink capacity of each rack, kB/s. If empty, `uplink_kb` applies to all.
    #[garde(skip)]
    #[serde(default, rename = "uplinks_kb")]
    pub uplinks_kb_s: Vec<f64>,
    /// Delay of endpoint list updates, in milliseconds.
    #[garde(range(min = 0.0, max = 60_000.0))]
    #[serde(default, rename = "list_late_ms")]
    pub list_delay_ms: f64,
}

/// One machine of the fleet.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    /// Its zone.
    #[garde(skip)]
    #[serde(default)]
    pub zone: String,
    /// Kind of machine, one of the site's.
    #[garde(skip)]
    pub kind: String,
    /// Cell whose titles it hosts.
    #[garde(skip)]
    pub cell: u64,
    /// Weight in the endpoint list.
    #[garde(range(min = 0.0, max = 1e9))]
    pub weight: f64,
    /// Its link capacity, kB/s.
    #[garde(range(min = 1.0, max = 1e12))]
    #[serde(rename = "link_kb")]
    pub link_kb_s: f64,
}

fn default_load_refresh_ms() -> f64 {
    300.0
}
