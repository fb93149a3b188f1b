//! A scripted day: a site, a fleet of stand-ins, viewers and troubles.

use crate::Settings as Checked;
use crate::site::Site;
use garde::Validate;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The file of `shalewall day run`.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct DayPlan {
    #[garde(dive)]
    pub day: Day,
    #[garde(dive)]
    pub site: Site,
    #[garde(dive)]
    pub fleet: Fleet,
    #[garde(dive)]
    pub load: Load,
    /// Whether the site's tenants are hosted: known to fronts by roll-out alone, with the site's classes as their own
    /// and their shares of the front.
    #[garde(dive)]
    pub hosted: Option<HostedDay>,
    /// Troubles by a name of one's own.
    #[garde(dive)]
    #[serde(default)]
    pub trouble: BTreeMap<String, Trouble>,
}

#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// Viewers come for so long; what plays then may end within a grace.
    #[garde(range(min = 1.0, max = 3600.0))]
    pub seconds: f64,
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
    /// Set-ups a second that each front can make: what shares are parts of.
    #[garde(range(min = 1.0, max = 1_000_000.0))]
    pub set_ups_per_s: f64,
    /// Sessions that each front holds at most.
    #[garde(range(min = 1, max = 1_000_000))]
    pub most_sessions: usize,
}

/// The media nodes as they are, which is not quite what the list says.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    #[garde(range(min = 1, max = 400))]
    pub nodes: u64,
    /// A node's link, kB a second, for a node of weight 1.
    #[garde(range(min = 1.0, max = 1e12))]
    pub link_kb: f64,
    /// Links and uplinks stray from that by up to this part.
    #[garde(range(min = 0.0, max = 0.9))]
    #[serde(default)]
    pub link_stray: f64,
    /// True rates lie above or below the ladder by up to this part.
    #[garde(range(min = 0.0, max = 0.9))]
    #[serde(default)]
    pub rate_stray: f64,
    /// A rack's uplink, kB a second; 0: none.
    #[garde(range(min = 0.0, max = 1e12))]
    #[serde(default)]
    pub uplink_kb: f64,
    /// Usual time of a set-up.
    #[garde(range(min = 0.0, max = 10_000.0))]
    pub set_up_ms: f64,
    /// Load figures are refreshed so often.
    #[garde(range(min = 1.0, max = 60_000.0))]
    #[serde(default = "refresh")]
    pub refresh_ms: f64,
    /// And wrong by up to this part.
    #[garde(range(min = 0.0, max = 0.9))]
    #[serde(default)]
    pub noise: f64,
    /// A node turns set-ups away while so much of its link is asked; 0: never.
    #[garde(range(min = 0.0, max = 100.0))]
    #[serde(default)]
    pub full_from: f64,
    /// Machines by number, where each is told; then `nodes` and `link_kb` are not used.
    #[garde(dive)]
    #[serde(default)]
    pub machine: BTreeMap<String, Machine>,
    /// Uplink of each rack, where each is told.
    #[garde(skip)]
    #[serde(default)]
    pub uplinks_kb: Vec<f64>,
    /// News of the list come so late.
    #[garde(range(min = 0.0, max = 60_000.0))]
    #[serde(default)]
    pub list_late_ms: f64,
}

/// One machine of the fleet.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    #[garde(skip)]
    #[serde(default)]
    pub zone: String,
    #[garde(skip)]
    pub kind: String,
    #[garde(skip)]
    pub cell: u64,
    #[garde(range(min = 0.0, max = 1e9))]
    pub weight: f64,
    #[garde(range(min = 1.0, max = 1e12))]
    pub link_kb: f64,
}

fn refresh() -> f64 {
    300.0
}

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
    #[serde(default)]
    pub tenants: BTreeMap<String, f64>,
    /// Part of them by class.
    #[garde(skip)]
    pub mix: BTreeMap<String, f64>,
    /// Sessions last so long.
    #[garde(range(min = 0.1, max = 100_000.0))]
    pub shortest_s: f64,
    #[garde(range(min = 0.1, max = 100_000.0))]
    pub longest_s: f64,
    /// Those of a class, where they differ: shortest and longest.
    #[garde(skip)]
    #[serde(default)]
    pub lasts_s: BTreeMap<String, (f64, f64)>,
    /// Viewers' hints are the true length so many times; 0: they give none.
    #[garde(range(min = 0.0, max = 1000.0))]
    #[serde(default = "true_hints")]
    pub hint_times: f64,
    /// Part of the viewers that can't use the two highest rungs.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default)]
    pub weak: f64,
    /// How much more the first titles are wanted than the last: 0 all alike.
    #[garde(range(min = 0.0, max = 4.0))]
    #[serde(default)]
    pub skew: f64,
    /// Part of the viewers that come again after a refusal, a failure or a break.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default)]
    pub come_again: f64,
    #[garde(range(min = 0.0, max = 600_000.0))]
    #[serde(default)]
    pub pause_ms: f64,
    /// Part of the viewers whose players have a buffer and can be offered another node.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default)]
    pub follow: f64,
    /// What such a player keeps in its buffer, of a live title and of a recorded one.
    #[garde(range(min = 100.0, max = 60_000.0))]
    #[serde(default = "live_buffer")]
    pub live_buffer_ms: f64,
    #[garde(range(min = 100.0, max = 60_000.0))]
    #[serde(default = "buffer")]
    pub buffer_ms: f64,
}

impl Load {
    /// From how long to how long sessions of a class last.
    pub fn lasts(&self, class: &str) -> (Duration, Duration) {
        let (shortest, longest) = self
            .lasts_s
            .get(class)
            .copied()
            .unwrap_or((self.shortest_s, self.longest_s));
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

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TroubleKind {
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

/// One trouble.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    #[garde(skip)]
    pub kind: TroubleKind,
    #[garde(range(min = 0.0, max = 3600.0))]
    pub at_s: f64,
    #[garde(range(min = 0.0, max = 3600.0))]
    pub len_s: f64,
    /// Part of the nodes or directors that it meets; at least one.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default)]
    pub part: f64,
    #[garde(range(min = 0.0, max = 1000.0))]
    #[serde(default)]
    pub size: f64,
    #[garde(range(min = 1, max = 16))]
    #[serde(default = "one_wave")]
    pub waves: u32,
    #[garde(range(min = 0.0, max = 60_000.0))]
    #[serde(default)]
    pub notice_ms: f64,
    #[garde(range(min = 0.0, max = 60_000.0))]
    #[serde(default)]
    pub stall_ms: f64,
    #[garde(skip)]
    #[serde(default)]
    pub directors: bool,
    /// The nodes or directors that it meets, by number, where they are told; then `part` is not used.
    #[garde(skip)]
    pub on: Option<Vec<u64>>,
    /// Zone, tenant or title by name, where the kind has one.
    #[garde(skip)]
    pub name: Option<String>,
}

impl Trouble {
    /// One of a kind that meets nobody yet and has no size.
    pub fn new(kind: TroubleKind, at_s: f64, len_s: f64) -> Trouble {
        Trouble {
            kind,
            at_s,
            len_s,
            part: 0.0,
            size: 0.0,
            waves: one_wave(),
            notice_ms: 0.0,
            stall_ms: 0.0,
            directors: false,
            on: None,
            name: None,
        }
    }
}

fn one_wave() -> u32 {
    1
}

impl Checked for DayPlan {
    fn together(&self) -> Vec<(String, String)> {
        let mut wrong = self.site.together();
        if self.load.longest_s < self.load.shortest_s {
            wrong.push((
                "load.longest_s".into(),
                "has to be at least shortest_s".into(),
            ));
        }
        if self.load.mix.values().any(|p| !p.is_finite() || *p < 0.0)
            || self.load.mix.values().sum::<f64>() <= 0.0
        {
            wrong.push((
                "load.mix".into(),
                "parts have to be 0 or more, and some above".into(),
            ));
        }
        if self.hosted.is_some() && self.site.class.values().any(|c| c.live || c.scale != 1.0) {
            let what = "tenants' classes have neither scale nor live: leave them out of the site's"
                .to_string();
            wrong.push(("hosted".into(), what));
        }
        if self.hosted.is_some() && self.site.tenant.values().any(|t| t.share <= 0.0) {
            wrong.push((
                "hosted".into(),
                "each tenant of the site needs a share above 0".into(),
            ));
        }
        for (name, times) in &self.load.tenants {
            if !self.site.tenant.contains_key(name) || !times.is_finite() || *times <= 0.0 {
                let what = "has to be a tenant of the site, and its rate above 0".to_string();
                wrong.push((format!("load.tenants.{name}"), what));
            }
        }
        for name in self
            .load
            .mix
            .keys()
            .filter(|n| !self.site.class.contains_key(*n))
        {
            let known: Vec<_> = self.site.class.keys().cloned().collect();
            wrong.push((
                "load.mix".into(),
                format!("'{name}' is no class of the site: {}", known.join(", ")),
            ));
        }
        for (name, (shortest, longest)) in &self.load.lasts_s {
            let fits = *shortest >= 0.1 && longest >= shortest;
            if !fits || !self.site.class.contains_key(name) {
                let what =
                    "is for a class of the site, from 0.1 s on, the shortest first".to_string();
                wrong.push((format!("load.lasts_s.{name}"), what));
            }
        }
        for (name, m) in &self.fleet.machine {
            let path = |field: &str| format!("fleet.machine.{name}.{field}");
            if name.parse::<u32>().is_err() {
                wrong.push((
                    format!("fleet.machine.{name}"),
                    "machines are named by their numbers".into(),
                ));
            }
            if m.cell >= self.site.layout.cells {
                wrong.push((
                    path("cell"),
                    format!("cells are 0 to {}", self.site.layout.cells - 1),
                ));
            }
            if !self.site.kind.contains_key(&m.kind) {
                wrong.push((path("kind"), "is no kind of the site".into()));
            }
        }
        let uplinks = &self.fleet.uplinks_kb;
        if !uplinks.is_empty() && uplinks.len() as u64 != self.site.layout.racks {
            wrong.push((
                "fleet.uplinks_kb".into(),
                format!("there are {} racks", self.site.layout.racks),
            ));
        }
        if uplinks.iter().any(|kb| !kb.is_finite() || *kb <= 0.0) {
            wrong.push(("fleet.uplinks_kb".into(), "each has to be above 0".into()));
        }
        for (name, t) in &self.trouble {
            let path = |field: &str| format!("trouble.{name}.{field}");
            if t.at_s + t.len_s > self.day.seconds {
                wrong.push((
                    path("len_s"),
                    format!("runs past the day's {} s", self.day.seconds),
                ));
            }
            use TroubleKind::*;
            if matches!(
                t.kind,
                Neighbour | SharedSlow | Ageing | Burst | TenantBurst | HotTitle | ClassFlood
            ) && t.size <= 0.0
            {
                wrong.push((path("size"), "has to be given, above 0".into()));
            }
            if t.kind == Neighbour && t.size > 1.0 {
                wrong.push((path("size"), "is a part of the link, 1 at most".into()));
            }
            if t.kind == DirectorStall && t.stall_ms <= 0.0 {
                wrong.push((path("stall_ms"), "has to be given, above 0".into()));
            }
            let known: Vec<String> = match t.kind {
                ZoneLoss => self.site.zones.clone(),
                TenantBurst if self.load.tenants.is_empty() => continue,
                TenantBurst => self.load.tenants.keys().cloned().collect(),
                HotTitle => self.site.title.keys().cloned().collect(),
                ClassFlood => self.load.mix.keys().cloned().collect(),
                _ => continue,
            };
            if t.name.as_ref().is_none_or(|n| !known.contains(n)) {
                wrong.push((
                    path("name"),
                    format!("has to be one of: {}", known.join(", ")),
                ));
            }
        }
        wrong
    }
}
