//! The viewers of a day: their arrival rate, their requests, and the behaviour of their players.

use garde::Validate;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The viewers of a day.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// New sessions per second.
    #[garde(range(min = 0.01, max = 100_000.0))]
    pub per_s: f64,
    /// Arrival rate of each tenant's viewers, as a multiple of `per_s`. One tenant's viewers do not depend on the other
    /// tenants. If empty, viewers name no tenant.
    #[garde(skip)]
    #[serde(default, rename = "tenants")]
    pub tenant_rates: BTreeMap<String, f64>,
    /// Relative frequency of each class among viewers.
    #[garde(skip)]
    #[serde(rename = "mix")]
    pub class_mix: BTreeMap<String, f64>,
    /// Shortest session, in seconds.
    #[garde(range(min = 0.1, max = 100_000.0))]
    #[serde(rename = "shortest_s")]
    pub min_length_s: f64,
    /// Longest session, in seconds.
    #[garde(range(min = 0.1, max = 100_000.0))]
    #[serde(rename = "longest_s")]
    pub max_length_s: f64,
    /// Shortest and longest session of a class in seconds, for classes that differ.
    #[garde(skip)]
    #[serde(default, rename = "lasts_s")]
    pub length_s_by_class: BTreeMap<String, (f64, f64)>,
    /// Ratio of viewers' duration hints to the actual durations; 0: they give no hints.
    #[garde(range(min = 0.0, max = 1000.0))]
    #[serde(default = "default_hint_factor", rename = "hint_times")]
    pub hint_factor: f64,
    /// Fraction of viewers that cannot use the two highest rungs.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default, rename = "weak")]
    pub constrained_fraction: f64,
    /// Skew of the titles' popularity, which decreases from the first to the last; 0: all are equally popular.
    #[garde(range(min = 0.0, max = 4.0))]
    #[serde(default)]
    pub skew: f64,
    /// Fraction of viewers that retry after a rejection, a failure or an interruption.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default, rename = "come_again")]
    pub retry_fraction: f64,
    /// Pause before the retry, in milliseconds.
    #[garde(range(min = 0.0, max = 600_000.0))]
    #[serde(default, rename = "pause_ms")]
    pub retry_pause_ms: f64,
    /// Fraction of viewers whose players have a buffer and can migrate to another node.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default, rename = "follow")]
    pub migratable_fraction: f64,
    /// Buffer of such a player for a live title, in milliseconds.
    #[garde(range(min = 100.0, max = 60_000.0))]
    #[serde(default = "default_live_buffer_ms")]
    pub live_buffer_ms: f64,
    /// Buffer of such a player for a recorded title, in milliseconds.
    #[garde(range(min = 100.0, max = 60_000.0))]
    #[serde(default = "default_recorded_buffer_ms", rename = "buffer_ms")]
    pub recorded_buffer_ms: f64,
}

impl Load {
    /// Shortest and longest session of a class.
    pub fn session_length_range(&self, class: &str) -> (Duration, Duration) {
        let (shortest, longest) = self
            .length_s_by_class
            .get(class)
            .copied()
            .unwrap_or((self.min_length_s, self.max_length_s));
        (
            Duration::from_secs_f64(shortest),
            Duration::from_secs_f64(longest),
        )
    }
}

fn default_live_buffer_ms() -> f64 {
    1_000.0
}

fn default_recorded_buffer_ms() -> f64 {
    4_000.0
}

fn default_hint_factor() -> f64 {
    1.0
}
