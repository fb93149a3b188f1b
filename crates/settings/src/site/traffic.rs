//! The traffic of a site: request classes, tenants, and the ladder of rates.

use garde::Validate;
use serde::{Deserialize, Serialize};

/// A rung of the ladder.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct LadderRung {
    /// Rate of a session at this rung, kB/s.
    #[garde(range(min = 0.001, max = 1e9))]
    #[serde(rename = "kb")]
    pub rate_kb_s: f64,
    /// Utility of a session at this rung, 1 at the top.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(rename = "worth")]
    pub utility: f64,
}

/// A request class.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Whether sessions are charged at set-up, and so must not be set up twice.
    #[garde(skip)]
    pub paid: bool,
    /// Objective for the time from the request until it plays, in milliseconds.
    #[garde(range(min = 1.0, max = 3_600_000.0))]
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: f64,
    /// Longest time that its viewers wait for an answer, in milliseconds.
    #[garde(range(min = 1.0, max = 3_600_000.0))]
    #[serde(rename = "give_up_ms")]
    pub deadline_ms: f64,
    /// Weight of the class's sessions relative to those of other classes.
    #[garde(range(min = 0.0, max = 1e6))]
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Factor from the ladder's rates to those of the class.
    #[garde(range(min = 0.001, max = 1000.0))]
    #[serde(default = "default_rate_scale", rename = "scale")]
    pub rate_scale: f64,
    /// Lowest rung that its sessions may have, from 0.
    #[garde(skip)]
    #[serde(default, rename = "floor")]
    pub lowest_rung: usize,
    /// Highest rung that its sessions may have; `None`: the top of the ladder.
    #[garde(skip)]
    #[serde(rename = "top")]
    pub highest_rung: Option<usize>,
    /// Maximum number of sessions of one title at one director; 0: no limit.
    #[garde(skip)]
    #[serde(default, rename = "seats")]
    pub session_limit_per_title: u32,
    /// Whether its titles are live: viewers of one title at one node share a stream.
    #[garde(skip)]
    #[serde(default, rename = "live")]
    pub is_live: bool,
}

/// A tenant that is defined in the site's settings rather than in the administration API.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Requests per second within its quota, over all directors.
    #[garde(range(min = 0.0, max = 1e9))]
    #[serde(default, rename = "allowance_per_s")]
    pub request_quota_per_s: f64,
    /// Its quota of the fleet, relative to the sum of all tenants' shares; 0: it has none, and gets only capacity that
    /// other tenants leave unused.
    #[garde(range(min = 0.0, max = 1e6))]
    #[serde(default)]
    pub share: f64,
}

fn default_rate_scale() -> f64 {
    1.0
}
