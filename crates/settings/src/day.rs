//! The file of `shalewall day run`: a scripted day with its site, its fleet, its viewers and its faults.

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

/// The file of `shalewall day run`.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct DayPlan {
    /// Length, seed and directors.
    #[garde(dive)]
    pub day: Day,
    /// The site that its directors share.
    #[garde(dive)]
    pub site: Site,
    /// The media nodes as they are.
    #[garde(dive)]
    pub fleet: Fleet,
    /// Its viewers.
    #[garde(dive)]
    pub load: Load,
    /// Whether the site's tenants are hosted: known to fronts by roll-out alone, with the site's classes as their own
    /// and their shares of the director.
    #[garde(dive)]
    pub hosted: Option<HostedDay>,
    /// Faults by a name of one's own.
    #[garde(dive)]
    #[serde(default, rename = "trouble")]
    pub faults: BTreeMap<String, Fault>,
}

/// How long a day is, and who plays it.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// Viewers come for so long; what plays then may end within a grace.
    #[garde(range(min = 1.0, max = 3600.0))]
    pub seconds: f64,
    /// Seeds all that is drawn.
    #[garde(skip)]
    pub seed: u64,
    /// Directors; on sockets each is a process of its own, and 64 the most.
    #[garde(range(min = 1, max = 1024))]
    pub directors: u32,
    /// Part of the true rates that viewers' sockets carry.
    #[garde(range(min = 0.0001, max = 1.0))]
    #[serde(default = "fraction")]
    pub media_fraction: f64,
}

fn fraction() -> f64 {
    0.01
}

/// What a hosted service of the day is told.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct HostedDay {
    /// Set-ups a second that each director can make: what shares are parts of.
    #[garde(range(min = 1.0, max = 1_000_000.0))]
    pub set_ups_per_s: f64,
    /// Sessions that each director holds at most.
    #[garde(range(min = 1, max = 1_000_000))]
    #[serde(rename = "most_sessions")]
    pub max_sessions: usize,
}
