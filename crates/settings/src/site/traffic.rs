//! What is asked for: classes of request, tenants, and the ladder of rates.

use garde::Validate;
use serde::{Deserialize, Serialize};

/// One rung: rate in kB a second, and what it earns, 1 at the top.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct LadderRung {
    /// Rate of a session at this rung, kB a second.
    #[garde(range(min = 0.001, max = 1e9))]
    #[serde(rename = "kb")]
    pub rate_kb_s: f64,
    /// Utility of a session at this rung.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(rename = "worth")]
    pub utility: f64,
}

/// A class of request.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Paid for at set-up: set up once.
    #[garde(skip)]
    pub paid: bool,
    /// Wanted playing within this.
    #[garde(range(min = 1.0, max = 3_600_000.0))]
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: f64,
    /// Its viewers wait so long at most.
    #[garde(range(min = 1.0, max = 3_600_000.0))]
    #[serde(rename = "give_up_ms")]
    pub deadline_ms: f64,
    /// How much a session of the class counts against those of others.
    #[garde(range(min = 0.0, max = 1e6))]
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Its rates over those of the ladder.
    #[garde(range(min = 0.001, max = 1000.0))]
    #[serde(default = "one", rename = "scale")]
    pub rate_scale: f64,
    /// Lowest rung that its sessions may be given, from 0.
    #[garde(skip)]
    #[serde(default, rename = "floor")]
    pub lowest_rung: usize,
    /// Highest rung; absent: that of the ladder.
    #[garde(skip)]
    #[serde(rename = "top")]
    pub highest_rung: Option<usize>,
    /// Sessions of one title that a front may hold; 0: no limit.
    #[garde(skip)]
    #[serde(default, rename = "seats")]
    pub session_limit_per_title: u32,
    /// Viewers of one title at one node share its stream.
    #[garde(skip)]
    #[serde(default, rename = "live")]
    pub is_live: bool,
}

/// A tenant of a site whose tenants are not rolled out to it.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Requests a second, over all directors, within its share.
    #[garde(range(min = 0.0, max = 1e9))]
    #[serde(default, rename = "allowance_per_s")]
    pub request_quota_per_s: f64,
    /// Its share of the fleet, over the sum of all tenants' shares; 0: it has none, and finds what others leave.
    #[garde(range(min = 0.0, max = 1e6))]
    #[serde(default)]
    pub share: f64,
}

fn one() -> f64 {
    1.0
}
