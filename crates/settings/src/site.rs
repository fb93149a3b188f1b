//! A site: classes, ladder, rules and limits, and one front on it.

use crate::Settings as Checked;
use garde::Validate;
use serde::{Deserialize, Serialize};
use shalewall::{
    ClassSettings, Idempotency, Micros, RetryBudget, RuleSettings, Rung, Settings, TenantSettings,
};
use shalewall_engine::{Config, Place};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The file of `shalewall serve`.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct FrontPlan {
    #[garde(dive)]
    pub front: Front,
    /// Absent: the front is not shared by tenants.
    #[garde(dive)]
    pub hosting: Option<Hosting>,
    #[garde(dive)]
    pub site: Site,
}

/// One front.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Front {
    /// Where viewers reach it; port 0 takes a free one.
    #[garde(skip)]
    pub listen: SocketAddr,
    /// Where the list of servers is watched.
    #[garde(skip)]
    pub list: SocketAddr,
    /// Its number among the directors, from 0.
    #[garde(range(max = 1023))]
    pub number: u32,
    #[garde(range(min = 1, max = 1024))]
    pub directors: u32,
    #[garde(skip)]
    pub zone: Option<String>,
    #[garde(skip)]
    #[serde(default)]
    pub seed: u64,
    /// Sessions held at most; further requests are turned away.
    #[garde(range(min = 1, max = 10_000_000))]
    #[serde(default = "most_sessions")]
    pub most_sessions: usize,
    /// Viewers' connections at most.
    #[garde(range(min = 1, max = 1_000_000))]
    #[serde(default = "most_connections")]
    pub most_connections: usize,
    /// A node's event stream without any byte for so long counts as broken.
    #[garde(range(min = 100, max = 600_000))]
    #[serde(default = "silence_ms")]
    pub silence_ms: u64,
    /// Told to end, it waits so long for sessions that play; requests that wait are answered in any case.
    #[garde(range(min = 0.0, max = 86_400.0))]
    #[serde(default)]
    pub leave_s: f64,
    /// File of 32 bytes in hexadecimal that fronts and nodes share: seals the tickets of hand-overs. Needed where the
    /// site has `moves`.
    #[garde(skip)]
    pub move_key_file: Option<std::path::PathBuf>,
}

fn most_sessions() -> usize {
    100_000
}

fn most_connections() -> usize {
    20_000
}

fn silence_ms() -> u64 {
    3_000
}

/// Where a front of a hosted service has its tenants from.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Hosting {
    /// The administration API.
    #[garde(skip)]
    pub admin: SocketAddr,
    /// File that holds a front's token, and nothing else.
    #[garde(skip)]
    pub token_file: std::path::PathBuf,
    /// Set-ups a second that this front can make: what shares are parts of.
    #[garde(range(min = 1.0, max = 1_000_000.0))]
    pub set_ups_per_s: f64,
}

/// The file of `shalewall admin`.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct AdminPlan {
    #[garde(dive)]
    pub admin: Admin,
}

/// The administration API of a hosted service.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Admin {
    /// Where it listens; port 0 takes a free one.
    #[garde(skip)]
    pub listen: SocketAddr,
    /// The store's file; made where there is none.
    #[garde(skip)]
    pub store: std::path::PathBuf,
    /// A front that is not heard of for so long is taken for gone: the id of a deleted tenant is not free before.
    #[garde(range(min = 10.0, max = 86_400.0))]
    #[serde(default = "forget_front_s")]
    pub forget_front_s: f64,
}

fn forget_front_s() -> f64 {
    600.0
}

impl Checked for AdminPlan {
    fn together(&self) -> Vec<(String, String)> {
        Vec::new()
    }
}

/// What all fronts of a site share.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Site {
    #[garde(skip)]
    #[serde(default)]
    pub zones: Vec<String>,
    #[garde(dive)]
    #[serde(default)]
    pub kind: BTreeMap<String, Kind>,
    #[garde(dive, length(min = 1))]
    pub class: BTreeMap<String, Class>,
    #[garde(dive)]
    #[serde(default)]
    pub tenant: BTreeMap<String, Tenant>,
    /// Lowest rung first.
    #[garde(dive, length(min = 1, max = 64))]
    pub ladder: Vec<Step>,
    #[garde(dive)]
    pub layout: Layout,
    #[garde(dive)]
    pub link: Link,
    #[garde(dive)]
    #[serde(default)]
    pub notes: Notes,
    #[garde(dive)]
    #[serde(default)]
    pub costs: Costs,
    #[garde(dive)]
    pub rules: Rules,
    #[garde(dive)]
    pub limits: Limits,
    /// Absent: sessions stay where they play.
    #[garde(dive)]
    pub moves: Option<crate::Moves>,
    #[garde(dive, length(min = 1))]
    pub title: BTreeMap<String, Title>,
}

/// One rung: rate in kB a second, and what it earns, 1 at the top.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Step {
    #[garde(range(min = 0.001, max = 1e9))]
    pub kb: f64,
    #[garde(range(min = 0.0, max = 1.0))]
    pub worth: f64,
}

/// A kind of machine.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Streams that it runs at most.
    #[garde(range(min = 1.0, max = 1e6))]
    pub places: f64,
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
    pub aim_ms: f64,
    /// Its viewers wait so long at most.
    #[garde(range(min = 1.0, max = 3_600_000.0))]
    pub give_up_ms: f64,
    #[garde(range(min = 0.0, max = 1e6))]
    pub worth: f64,
    /// Its rates over those of the ladder.
    #[garde(range(min = 0.001, max = 1000.0))]
    #[serde(default = "one")]
    pub scale: f64,
    #[garde(skip)]
    #[serde(default)]
    pub floor: usize,
    #[garde(skip)]
    pub top: Option<usize>,
    /// Sessions of one title that a front may hold; 0: no limit.
    #[garde(skip)]
    #[serde(default)]
    pub seats: u32,
    #[garde(skip)]
    #[serde(default)]
    pub live: bool,
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Requests a second, over all directors, within its share.
    #[garde(range(min = 0.0, max = 1e9))]
    #[serde(default)]
    pub allowance_per_s: f64,
    /// Its share of the fleet, over the sum of all tenants' shares; 0: it has none, and finds what others leave.
    #[garde(range(min = 0.0, max = 1e6))]
    #[serde(default)]
    pub share: f64,
}

/// Cells that titles are laid out over, and racks, which share uplinks: a cell's rack is its number modulo
/// the racks.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Layout {
    #[garde(range(min = 1, max = 1_000_000))]
    pub cells: u64,
    #[garde(range(max = 1_000_000))]
    #[serde(default)]
    pub racks: u64,
}

/// What is told of links, kB a second.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Link {
    #[garde(range(min = 0.0, max = 1e12))]
    pub kb_per_weight: f64,
    #[garde(skip)]
    #[serde(default)]
    pub weights_tell_size: bool,
    #[garde(range(min = 0.0, max = 1e12))]
    #[serde(default)]
    pub fleet_kb: f64,
    #[garde(range(min = 0.0, max = 1e12))]
    #[serde(default)]
    pub uplink_kb: f64,
    /// What a further viewer of a live title adds to a stream, as a part of its rate.
    #[garde(range(min = 0.0, max = 1.0))]
    #[serde(default = "one")]
    pub join_adds: f64,
}

/// Notes that nodes tell: how often, and how late.
#[derive(Clone, Debug, Default, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Notes {
    #[garde(range(min = 0.0, max = 600_000.0))]
    pub every_ms: f64,
    #[garde(range(min = 0.0, max = 600_000.0))]
    pub late_ms: f64,
}

/// What things cost, as parts of worth.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields, default)]
pub struct Costs {
    /// Points of worth for each point of the rate that is missing.
    #[garde(range(min = 0.0, max = 1000.0))]
    pub stall: f64,
    /// Seconds of worth for a change of rung.
    #[garde(range(min = 0.0, max = 1000.0))]
    pub switch_s: f64,
    #[garde(range(min = 0.0, max = 1.0))]
    pub cross: f64,
    #[garde(range(min = 0.0, max = 1.0))]
    pub probe: f64,
    #[garde(range(min = 0.0, max = 1.0))]
    pub over_share_worth: f64,
}

impl Default for Costs {
    fn default() -> Costs {
        Costs {
            stall: 0.0,
            switch_s: 0.0,
            cross: 0.0,
            probe: 0.0,
            over_share_worth: 1.0,
        }
    }
}

/// The figures of the rules.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Rules {
    /// Nothing new to a node so long after its drain was told.
    #[garde(range(min = 0.0, max = 600_000.0))]
    pub drain_within_ms: f64,
    /// An answer may come so long after the viewer's time.
    #[garde(range(min = 0.0, max = 60_000.0))]
    pub answer_slack_ms: f64,
    #[garde(range(min = 0.0, max = 3_600_000.0))]
    pub warm_after_ms: f64,
    #[garde(range(min = 0.01, max = 1.0))]
    pub start_capacity: f64,
    #[garde(range(min = 1.0, max = 1000.0))]
    pub overload_factor: f64,
    #[garde(range(min = 1.0, max = 600_000.0))]
    pub fall_ms: f64,
    #[garde(dive)]
    pub further: Option<Further>,
}

/// The ration of further attempts.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Further {
    #[garde(range(min = 0.0, max = 1e6))]
    pub free: f64,
    #[garde(range(min = 0.0, max = 100.0))]
    pub per_request: f64,
    #[garde(range(min = 1.0, max = 3_600_000.0))]
    pub span_ms: f64,
}

/// What the site permits.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    #[garde(range(min = 1, max = 100))]
    pub max_attempts: u32,
    #[garde(skip)]
    #[serde(default)]
    pub may_cancel: bool,
    #[garde(skip)]
    #[serde(default)]
    pub may_probe: bool,
    /// Longest come-back advice; 0: none is given.
    #[garde(range(min = 0.0, max = 3_600_000.0))]
    #[serde(default)]
    pub max_come_back_ms: f64,
    /// Answers are given so long before the viewer's time is up: what a turn of the program may take.
    #[garde(range(min = 0.0, max = 10_000.0))]
    #[serde(default = "step_ms")]
    pub step_ms: f64,
}

fn step_ms() -> f64 {
    10.0
}

/// Cells that hold a title: `spread` in a row from `home` on.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Title {
    #[garde(skip)]
    pub home: u64,
    #[garde(range(min = 1))]
    pub spread: u64,
}

/// Milliseconds, as settings give them, to the program's microseconds.
pub fn us(ms: f64) -> Micros {
    (ms * 1000.0).round() as Micros
}

impl Site {
    /// Classes in the order of the module's indices, with how long their viewers wait.
    pub fn classes(&self) -> Vec<(String, Micros)> {
        self.class
            .iter()
            .map(|(name, c)| (name.clone(), us(c.give_up_ms)))
            .collect()
    }

    /// What the engine of one front is told. `incarnation` tells this start of the front from others.
    pub fn config(&self, front: &Front, incarnation: u16) -> Config {
        let place = |t: &Title| Place {
            home: t.home,
            spread: t.spread,
        };
        Config {
            seed: front.seed,
            settings: self.settings(front),
            classes: self.classes(),
            tenants: self.tenant.keys().cloned().collect(),
            zones: self.zones.clone(),
            kinds: self.kind.keys().cloned().collect(),
            titles: self
                .title
                .iter()
                .map(|(name, t)| (name.clone(), place(t)))
                .collect(),
            most_sessions: front.most_sessions,
            incarnation,
            moves: self.moves.as_ref().map(crate::Moves::terms),
        }
    }

    /// What the module of one front is told.
    pub fn settings(&self, front: &Front) -> Settings {
        let top = self.ladder.len().saturating_sub(1);
        let class = |c: &Class| ClassSettings {
            idempotency: if c.paid {
                Idempotency::AtMostOnce
            } else {
                Idempotency::Idempotent
            },
            latency_objective: shalewall::TimeDelta::from_micros(us(c.aim_ms)),
            priority_weight: c.worth,
            rate_scale: c.scale,
            lowest_rung: c.floor,
            highest_rung: c.top.unwrap_or(top),
            session_limit_per_title: c.seats,
            is_live: c.live,
        };
        let shares: f64 = self.tenant.values().map(|t| t.share).sum();
        let tenant = |t: &Tenant| TenantSettings {
            request_quota_per_s: t.allowance_per_s,
            fleet_quota: if shares > 0.0 { t.share / shares } else { 0.0 },
        };
        let further = |f: &Further| RetryBudget {
            base: f.free,
            per_request: f.per_request,
            window: shalewall::TimeDelta::from_micros(us(f.span_ms)),
        };
        Settings {
            director_index: front.number,
            director_count: front.directors,
            zone: front
                .zone
                .as_ref()
                .and_then(|z| self.zones.iter().position(|n| n == z)),
            classes: self.class.values().map(class).collect(),
            tenants: self.tenant.values().map(tenant).collect(),
            ladder: self
                .ladder
                .iter()
                .map(|r| Rung {
                    rate_kb_s: r.kb,
                    utility: r.worth,
                })
                .collect(),
            cell_count: self.layout.cells,
            rack_count: self.layout.racks,
            stream_capacity_by_kind: self.kind.values().map(|k| k.places).collect(),
            weight_is_capacity: self.link.weights_tell_size,
            link_kb_s_per_weight: self.link.kb_per_weight,
            fleet_kb_s: self.link.fleet_kb,
            rack_uplink_kb_s: self.link.uplink_kb,
            join_rate_fraction: self.link.join_adds,
            notification_delay: shalewall::TimeDelta::from_micros(us(self.notes.late_ms)),
            notification_interval: shalewall::TimeDelta::from_micros(us(self.notes.every_ms)),
            stall_penalty: self.costs.stall,
            rung_change_cost_s: self.costs.switch_s,
            zone_crossing_price: self.costs.cross,
            over_quota_weight: self.costs.over_share_worth,
            rules: RuleSettings {
                warm_up: shalewall::TimeDelta::from_micros(us(self.rules.warm_after_ms)),
                initial_capacity: self.rules.start_capacity,
                overload_factor: self.rules.overload_factor,
                overload_window: shalewall::TimeDelta::from_micros(us(self.rules.fall_ms)),
                poll_deadline: shalewall::TimeDelta::from_micros(0),
                retry_budget: self.rules.further.as_ref().map(further),
            },
            limits: shalewall::Limits {
                max_attempts: self.limits.max_attempts,
                can_cancel: self.limits.may_cancel,
                can_check_health: self.limits.may_probe,
                health_check_price: self.costs.probe,
                max_retry_after: shalewall::TimeDelta::from_micros(us(self
                    .limits
                    .max_come_back_ms)),
                min_batch_interval: shalewall::TimeDelta::from_micros(us(self.limits.step_ms)),
            },
            must_poll_endpoints: false,
        }
    }

    /// What holds between the fields of a site.
    pub(crate) fn together(&self) -> Vec<(String, String)> {
        let mut wrong = Vec::new();
        let rungs = self.ladder.len();
        for (name, c) in &self.class {
            if c.floor >= rungs {
                wrong.push((
                    format!("site.class.{name}.floor"),
                    format!("the ladder has rungs 0 to {}", rungs - 1),
                ));
            }
            if c.top.is_some_and(|t| t < c.floor || t >= rungs) {
                let what = format!("has to lie from the floor {} to {}", c.floor, rungs - 1);
                wrong.push((format!("site.class.{name}.top"), what));
            }
            if c.aim_ms > c.give_up_ms {
                wrong.push((
                    format!("site.class.{name}.aim_ms"),
                    "has to be within give_up_ms".into(),
                ));
            }
        }
        if !self.ladder.is_sorted_by(|a, b| a.kb < b.kb) {
            wrong.push((
                "site.ladder".into(),
                "rates have to rise from rung to rung".into(),
            ));
        }
        for (name, t) in &self.title {
            if t.home >= self.layout.cells {
                let what = format!("cells are 0 to {}", self.layout.cells - 1);
                wrong.push((format!("site.title.{name}.home"), what));
            }
            if t.spread > self.layout.cells {
                wrong.push((
                    format!("site.title.{name}.spread"),
                    format!("there are {} cells", self.layout.cells),
                ));
            }
        }
        wrong
    }
}

impl Checked for FrontPlan {
    fn together(&self) -> Vec<(String, String)> {
        let mut wrong = self.site.together();
        if self.front.number >= self.front.directors {
            wrong.push((
                "front.number".into(),
                format!("has to be under directors, {}", self.front.directors),
            ));
        }
        if self.site.moves.is_some() && self.front.move_key_file.is_none() {
            wrong.push((
                "front.move_key_file".into(),
                "is needed where the site has moves".into(),
            ));
        }
        if self
            .front
            .zone
            .as_ref()
            .is_some_and(|z| !self.site.zones.contains(z))
        {
            let known = self.site.zones.join(", ");
            wrong.push((
                "front.zone".into(),
                format!("is none of the site's zones: {known}"),
            ));
        }
        wrong
    }
}
