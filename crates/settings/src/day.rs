//! The settings file of `shalewall day run`: a scripted day with its site, fleet, viewers and faults.

mod fault;
mod fleet;
mod load;
mod violations;

use crate::site::Site;
pub use fault::{Fault, FaultKind};
pub use fleet::{Fleet, Machine};
use garde::Validate;
pub use load::Load;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The settings file of `shalewall day run`.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct DayPlan {
    /// Length, seed and directors.
    #[garde(dive)]
    pub day: Day,
    /// The site that its directors share.
    #[garde(dive)]
    pub site: Site,
    /// The actual media nodes.
    #[garde(dive)]
    pub fleet: Fleet,
    /// The viewers.
    #[garde(dive)]
    pub load: Load,
    /// Present if the site's tenants are hosted: directors receive them from the administration API only, with copies
    /// of the site's classes, and each tenant gets its share of every director's capacity.
    #[garde(dive)]
    pub hosted: Option<HostedDay>,
    /// Faults by an arbitrary name.
    #[garde(dive)]
    #[serde(default, rename = "trouble")]
    pub faults: BTreeMap<String, Fault>,
}

/// Length and participants of a day.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// Time in seconds during which viewers arrive. Sessions that play at its end may finish within a grace period.
    #[garde(range(min = 1.0, max = 3600.0))]
    pub seconds: f64,
    /// Seed of all random draws.
    #[garde(skip)]
    pub seed: u64,
    /// Number of directors. On sockets each is a process of its own, and the maximum is 64.
    #[garde(range(min = 1, max = 1024))]
    pub directors: u32,
    /// Fraction of the actual rates that viewers' sockets transfer.
    #[garde(range(min = 0.0001, max = 1.0))]
    #[serde(default = "default_media_fraction")]
    pub media_fraction: f64,
}

fn default_media_fraction() -> f64 {
    0.01
}

/// Settings of the day's hosted service.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct HostedDay {
    /// Capacity of each director in set-ups per second, of which tenants get their shares.
    #[garde(range(min = 1.0, max = 1_000_000.0))]
    pub set_ups_per_s: f64,
    /// Maximum number of sessions of each director.
    #[garde(range(min = 1, max = 1_000_000))]
    #[serde(rename = "most_sessions")]
    pub max_sessions: usize,
}
