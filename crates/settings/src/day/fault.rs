//! The faults of a day: their kind, time, duration and targets.

use garde::Validate;
use serde::{Deserialize, Serialize};

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Nodes crash, with connection resets, and restart after the fault and have to warm up.
    Crash,
    /// Nodes stop responding, without connection resets, and restart after the fault and have to warm up.
    Vanish,
    /// Nodes hang and continue after the fault.
    Hang,
    /// Another program uses the fraction `size` of the link, intermittently.
    Neighbour,
    /// The capacity of all links is divided by `size`.
    SharedSlow,
    /// Set-ups and links of nodes slow down gradually, up to a factor of `size`, and then the nodes crash.
    Ageing,
    /// Nodes are listed as draining in `waves` waves and crash `notice_ms` later; new nodes that have to warm up
    /// replace them.
    Preempt,
    /// A zone's nodes crash, and its directors if `directors` is set. They restart and have to warm up.
    ZoneLoss,
    /// The endpoint list is unreachable.
    ListOut,
    /// Viewers arrive at `size` times the usual rate.
    Burst,
    /// Viewers of one tenant arrive at `size` times the usual rate; all viewers, if they name no tenant.
    TenantBurst,
    /// Additional viewers request one title, at `size` times the usual rate.
    HotTitle,
    /// Additional viewers request one class, at `size` times the usual rate.
    ClassFlood,
    /// Directors are killed without shutdown and restarted after the fault.
    DirectorKill,
    /// Directors are paused for `stall_ms`, repeatedly.
    DirectorStall,
}

impl FaultKind {
    /// Whether faults of this kind require a size.
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

/// A fault.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Its kind.
    #[garde(skip)]
    pub kind: FaultKind,
    /// Time of its start, in seconds from the start of the day.
    #[garde(range(min = 0.0, max = 3600.0))]
    #[serde(rename = "at_s")]
    pub start_s: f64,
    /// Its duration in seconds.
    #[garde(range(min = 0.0, max = 3600.0))]
    #[serde(rename = "len_s")]
    pub duration_s: f64,
    /// Fraction of the nodes or directors that it affects; at least one is affected.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default, rename = "part")]
    pub fraction: f64,
    /// Its severity, for kinds that have one; see [`FaultKind`].
    #[garde(range(min = 0.0, max = 1000.0))]
    #[serde(default)]
    pub size: f64,
    /// Number of waves of a preemption.
    #[garde(range(min = 1, max = 16))]
    #[serde(default = "default_waves")]
    pub waves: u32,
    /// Time from the notice of a preemption to the crash, in milliseconds.
    #[garde(range(min = 0.0, max = 60_000.0))]
    #[serde(default)]
    pub notice_ms: f64,
    /// Duration of each pause of a director, in milliseconds.
    #[garde(range(min = 0.0, max = 60_000.0))]
    #[serde(default)]
    pub stall_ms: f64,
    /// Whether the loss of a zone includes its directors.
    #[garde(skip)]
    #[serde(default)]
    pub directors: bool,
    /// Numbers of the affected nodes or directors. If present, `part` is not used.
    #[garde(skip)]
    #[serde(rename = "on")]
    pub targets: Option<Vec<u64>>,
    /// Name of the affected zone, tenant, title or class, for kinds that affect one.
    #[garde(skip)]
    #[serde(rename = "name")]
    pub target_name: Option<String>,
}

impl Fault {
    /// A fault without targets and size.
    pub fn new(kind: FaultKind, start_s: f64, duration_s: f64) -> Fault {
        Fault {
            kind,
            start_s,
            duration_s,
            fraction: 0.0,
            size: 0.0,
            waves: default_waves(),
            notice_ms: 0.0,
            stall_ms: 0.0,
            directors: false,
            targets: None,
            target_name: None,
        }
    }
}

fn default_waves() -> u32 {
    1
}
