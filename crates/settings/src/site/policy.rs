//! Rules and limits that the service has to follow, the retry budget, and costs.

use garde::Validate;
use serde::{Deserialize, Serialize};

/// Parameters of the rules.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Time after a node is listed as draining by which it must not get new sessions any more, in milliseconds.
    #[garde(range(min = 0.0, max = 600_000.0))]
    #[serde(rename = "drain_within_ms")]
    pub drain_grace_ms: f64,
    /// Tolerated delay of an answer after the viewer's deadline, in milliseconds.
    #[garde(range(min = 0.0, max = 60_000.0))]
    pub answer_slack_ms: f64,
    /// Time that a node needs to warm up after its start, in milliseconds.
    #[garde(range(min = 0.0, max = 3_600_000.0))]
    #[serde(rename = "warm_after_ms")]
    pub warm_up_ms: f64,
    /// Capacity of a node that has just started, as a fraction of its full capacity.
    #[garde(range(min = 0.01, max = 1.0))]
    #[serde(rename = "start_capacity")]
    pub initial_capacity: f64,
    /// Ratio of demand to capacity above which a node is overloaded.
    #[garde(range(min = 1.0, max = 1000.0))]
    pub overload_factor: f64,
    /// Length of the window over which overload is measured, in milliseconds.
    #[garde(range(min = 1.0, max = 600_000.0))]
    #[serde(rename = "fall_ms")]
    pub overload_window_ms: f64,
    /// Budget of retries; `None`: no limit.
    #[garde(dive)]
    #[serde(rename = "further")]
    pub retry_budget: Option<RetryBudget>,
}

/// The budget of retries.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct RetryBudget {
    /// Retries allowed in a window regardless of traffic.
    #[garde(range(min = 0.0, max = 1e6))]
    #[serde(rename = "free")]
    pub base: f64,
    /// Additional retries for each first attempt in the window.
    #[garde(range(min = 0.0, max = 100.0))]
    pub per_request: f64,
    /// Length of the window, in milliseconds.
    #[garde(range(min = 1.0, max = 3_600_000.0))]
    #[serde(rename = "span_ms")]
    pub window_ms: f64,
}

/// Limits for directors.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of attempts for one request.
    #[garde(range(min = 1, max = 100))]
    pub max_attempts: u32,
    /// Whether directors may cancel attempts.
    #[garde(skip)]
    #[serde(default, rename = "may_cancel")]
    pub can_cancel: bool,
    /// Whether directors may send health checks.
    #[garde(skip)]
    #[serde(default, rename = "may_probe")]
    pub can_check_health: bool,
    /// Longest Retry-After of rejections, in milliseconds; 0: rejections carry none.
    #[garde(range(min = 0.0, max = 3_600_000.0))]
    #[serde(default, rename = "max_come_back_ms")]
    pub max_retry_after_ms: f64,
    /// Margin before the viewer's deadline at which answers are given, in milliseconds. Covers one turn of the event
    /// loop.
    #[garde(range(min = 0.0, max = 10_000.0))]
    #[serde(default = "default_min_batch_interval_ms", rename = "step_ms")]
    pub min_batch_interval_ms: f64,
}

fn default_min_batch_interval_ms() -> f64 {
    10.0
}

/// Costs, as fractions of utility.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Costs {
    /// Fraction of utility lost per fraction of the rate that is not delivered.
    #[garde(range(min = 0.0, max = 1000.0))]
    #[serde(rename = "stall")]
    pub stall_penalty: f64,
    /// Cost of a change of rung, in seconds of the session's utility.
    #[garde(range(min = 0.0, max = 1000.0))]
    #[serde(rename = "switch_s")]
    pub rung_change_s: f64,
    /// Cost of a session that is served from another zone.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(rename = "cross")]
    pub zone_crossing: f64,
    /// Cost of a health check.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(rename = "probe")]
    pub health_check: f64,
    /// Weight of requests above their tenant's quota.
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
