//! The faults of a day: what goes wrong, when, for how long and to whom.

use garde::Validate;
use serde::{Deserialize, Serialize};

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Nodes die with a reset and come back cold after the trouble.
    Crash,
    /// Nodes go silent, no reset and no answer, and come back cold.
    Vanish,
    /// Nodes stand still and go on afterwards.
    Hang,
    /// Another program takes `size` of the link, on and off.
    Neighbour,
    /// All links give `size` times less.
    SharedSlow,
    /// Set-ups and links of nodes get slower up to `size` times, then they die.
    Ageing,
    /// Nodes are listed as draining in `waves` waves and die `notice_ms` later; cold ones replace them.
    Preempt,
    /// A zone's nodes die, with its directors where `directors` is set, and come back cold.
    ZoneLoss,
    /// The list is out of reach.
    ListOut,
    /// Viewers come at `size` times the usual rate.
    Burst,
    /// One tenant's do; all, where viewers name no tenant.
    TenantBurst,
    /// Viewers come for one title, `size` of the usual rate.
    HotTitle,
    /// More viewers of one class come, `size` of the usual rate.
    ClassFlood,
    /// Directors are killed outright and started again after the trouble.
    DirectorKill,
    /// Directors stand still for `stall_ms`, again and again.
    DirectorStall,
}

impl FaultKind {
    /// Whether a fault of this kind needs a size.
    pub fn has_size(self) -> bool {
        matches!(
            self,
            FaultKind::Neighbour
                | FaultKind::SharedSlow
                | FaultKind::Ageing
                | FaultKind::Burst
                | FaultKind::TenantBurst
                | FaultKind::HotTitle
                | FaultKind::ClassFlood
        )
    }
}

/// One fault.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    #[garde(skip)]
    pub kind: FaultKind,
    /// When it begins.
    #[garde(range(min = 0.0, max = 3600.0))]
    #[serde(rename = "at_s")]
    pub start_s: f64,
    /// How long it lasts.
    #[garde(range(min = 0.0, max = 3600.0))]
    #[serde(rename = "len_s")]
    pub duration_s: f64,
    /// Part of the nodes or directors that it meets; at least one.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default, rename = "part")]
    pub fraction: f64,
    /// How severe it is, where the kind has a size: see [`FaultKind`].
    #[garde(range(min = 0.0, max = 1000.0))]
    #[serde(default)]
    pub size: f64,
    /// Waves of a preemption.
    #[garde(range(min = 1, max = 16))]
    #[serde(default = "one_wave")]
    pub waves: u32,
    /// Between the notice of a preemption and its end.
    #[garde(range(min = 0.0, max = 60_000.0))]
    #[serde(default)]
    pub notice_ms: f64,
    /// How long a director stands still each time.
    #[garde(range(min = 0.0, max = 60_000.0))]
    #[serde(default)]
    pub stall_ms: f64,
    /// A zone's directors are lost with its nodes.
    #[garde(skip)]
    #[serde(default)]
    pub directors: bool,
    /// The nodes or directors that it meets, by number, where they are told; then `part` is not used.
    #[garde(skip)]
    #[serde(rename = "on")]
    pub targets: Option<Vec<u64>>,
    /// Zone, tenant or title by name, where the kind has one.
    #[garde(skip)]
    #[serde(rename = "name")]
    pub target_name: Option<String>,
}

impl Fault {
    /// One of a kind that meets nobody yet and has no size.
    pub fn new(kind: FaultKind, at_s: f64, len_s: f64) -> Fault {
        Fault {
            kind,
            start_s: at_s,
            duration_s: len_s,
            fraction: 0.0,
            size: 0.0,
            waves: one_wave(),
            notice_ms: 0.0,
            stall_ms: 0.0,
            directors: false,
            targets: None,
            target_name: None,
        }
    }
}

fn one_wave() -> u32 {
    1
}
