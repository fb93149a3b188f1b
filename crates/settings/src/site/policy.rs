//! What the service is judged by and permitted: rules, the retry budget, limits and costs.

use garde::Validate;
use serde::{Deserialize, Serialize};

/// The figures of the rules.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Nothing new to a node so long after its drain was told.
    #[garde(range(min = 0.0, max = 600_000.0))]
    #[serde(rename = "drain_within_ms")]
    pub drain_grace_ms: f64,
    /// An answer may come so long after the viewer's time.
    #[garde(range(min = 0.0, max = 60_000.0))]
    pub answer_slack_ms: f64,
    /// A node that came up is warm after this.
    #[garde(range(min = 0.0, max = 3_600_000.0))]
    #[serde(rename = "warm_after_ms")]
    pub warm_up_ms: f64,
    /// Capacity of a node that has just come up, as a part of its own.
    #[garde(range(min = 0.01, max = 1.0))]
    #[serde(rename = "start_capacity")]
    pub initial_capacity: f64,
    /// Demand above so many times the capacity is overload.
    #[garde(range(min = 1.0, max = 1000.0))]
    pub overload_factor: f64,
    /// Overload is judged over windows of this length.
    #[garde(range(min = 1.0, max = 600_000.0))]
    #[serde(rename = "fall_ms")]
    pub overload_window_ms: f64,
    /// Budget for retries; absent: no limit.
    #[garde(dive)]
    #[serde(rename = "further")]
    pub retry_budget: Option<RetryBudget>,
}

/// The budget of retries.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct RetryBudget {
    /// Retries in a window whatever the traffic.
    #[garde(range(min = 0.0, max = 1e6))]
    #[serde(rename = "free")]
    pub base: f64,
    /// Retries for each first attempt.
    #[garde(range(min = 0.0, max = 100.0))]
    pub per_request: f64,
    /// Length of the window.
    #[garde(range(min = 1.0, max = 3_600_000.0))]
    #[serde(rename = "span_ms")]
    pub window_ms: f64,
}

/// What the site permits.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Attempts for one request at most.
    #[garde(range(min = 1, max = 100))]
    pub max_attempts: u32,
    /// Directors may cancel attempts.
    #[garde(skip)]
    #[serde(default, rename = "may_cancel")]
    pub can_cancel: bool,
    /// Directors may make health checks.
    #[garde(skip)]
    #[serde(default, rename = "may_probe")]
    pub can_check_health: bool,
    /// Longest come-back advice; 0: none is given.
    #[garde(range(min = 0.0, max = 3_600_000.0))]
    #[serde(default, rename = "max_come_back_ms")]
    pub max_retry_after_ms: f64,
    /// Answers are given so long before the viewer's time is up: what a turn of the program may take.
    #[garde(range(min = 0.0, max = 10_000.0))]
    #[serde(default = "step_ms", rename = "step_ms")]
    pub min_batch_interval_ms: f64,
}

fn step_ms() -> f64 {
    10.0
}

/// What things cost, as parts of worth.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Costs {
    /// Points of worth for each point of the rate that is missing.
    #[garde(range(min = 0.0, max = 1000.0))]
    #[serde(rename = "stall")]
    pub stall_penalty: f64,
    /// Seconds of worth for a change of rung.
    #[garde(range(min = 0.0, max = 1000.0))]
    #[serde(rename = "switch_s")]
    pub rung_change_s: f64,
    /// For a session that is served from another zone.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(rename = "cross")]
    pub zone_crossing: f64,
    /// For a health check.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(rename = "probe")]
    pub health_check: f64,
    /// Weight of requests beyond their tenant's quota.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(rename = "over_share_worth")]
    pub over_quota_weight: f64,
}

impl Default for Costs {
    fn default() -> Costs {
        Costs {
            stall_penalty: 0.0,
            rung_change_s: 0.0,
            zone_crossing: 0.0,
            health_check: 0.0,
            over_quota_weight: 1.0,
        }
    }
}
