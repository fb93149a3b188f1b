//! The viewers of a day: how many come, what they ask for, and how their players behave.

use garde::Validate;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Viewers.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// New sessions a second.
    #[garde(range(min = 0.01, max = 100_000.0))]
    pub per_s: f64,
    /// Tenants of the site, and how many times that rate each one's viewers come; they are the same ones whoever
    /// else comes. Without any, viewers name none.
    #[garde(skip)]
    #[serde(default, rename = "tenants")]
    pub tenant_rates: BTreeMap<String, f64>,
    /// Part of them by class.
    #[garde(skip)]
    #[serde(rename = "mix")]
    pub class_mix: BTreeMap<String, f64>,
    /// Sessions last so long.
    #[garde(range(min = 0.1, max = 100_000.0))]
    #[serde(rename = "shortest_s")]
    pub min_length_s: f64,
    /// And so long at most.
    #[garde(range(min = 0.1, max = 100_000.0))]
    #[serde(rename = "longest_s")]
    pub max_length_s: f64,
    /// Those of a class, where they differ: shortest and longest.
    #[garde(skip)]
    #[serde(default, rename = "lasts_s")]
    pub length_s_by_class: BTreeMap<String, (f64, f64)>,
    /// Viewers' hints are the true length so many times; 0: they give none.
    #[garde(range(min = 0.0, max = 1000.0))]
    #[serde(default = "true_hints", rename = "hint_times")]
    pub hint_factor: f64,
    /// Part of the viewers that can't use the two highest rungs.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default, rename = "weak")]
    pub constrained_fraction: f64,
    /// How much more the first titles are wanted than the last: 0 all alike.
    #[garde(range(min = 0.0, max = 4.0))]
    #[serde(default)]
    pub skew: f64,
    /// Part of the viewers that come again after a refusal, a failure or a break.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default, rename = "come_again")]
    pub retry_fraction: f64,
    /// After a pause of this.
    #[garde(range(min = 0.0, max = 600_000.0))]
    #[serde(default, rename = "pause_ms")]
    pub retry_pause_ms: f64,
    /// Part of the viewers whose players have a buffer and can be offered another node.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default, rename = "follow")]
    pub migratable_fraction: f64,
    /// What such a player keeps in its buffer of a live title.
    #[garde(range(min = 100.0, max = 60_000.0))]
    #[serde(default = "live_buffer")]
    pub live_buffer_ms: f64,
    /// The same of a recorded title.
    #[garde(range(min = 100.0, max = 60_000.0))]
    #[serde(default = "buffer", rename = "buffer_ms")]
    pub recorded_buffer_ms: f64,
}

impl Load {
    /// From how long to how long sessions of a class last.
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

fn live_buffer() -> f64 {
    1_000.0
}

fn buffer() -> f64 {
    4_000.0
}

fn true_hints() -> f64 {
    1.0
}
