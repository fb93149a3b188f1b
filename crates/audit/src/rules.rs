//! The figures by which a recording is judged, as `rules.json` holds them.

use crate::micros;
use serde::{Deserialize, Serialize};
use shalewall::TimeDelta;
use std::collections::BTreeMap;

/// The figures by which a recording is judged. Lengths of time are microseconds in the file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Classes of session by name.
    pub classes: BTreeMap<String, ClassRule>,
    /// Classes of tenants that have their own.
    #[serde(default)]
    pub tenants: BTreeMap<String, BTreeMap<String, ClassRule>>,
    /// A director that was notified of a drain sends nothing new to the node after this.
    #[serde(with = "micros")]
    pub drain_within: TimeDelta,
    /// An answer may come so much later than the viewer's own limit.
    #[serde(with = "micros")]
    pub answer_slack: TimeDelta,
    /// A node is warm so long after its process started.
    #[serde(with = "micros")]
    pub warm_after: TimeDelta,
    /// Fraction of its capacity that a node has when its process starts.
    pub start_capacity: f64,
    /// A node that warms up fails when it is sent more than so many times its present pace.
    pub overload_factor: f64,
    /// The window over which that pace is measured; zero: nodes don't fail of it.
    #[serde(rename = "fall", with = "micros")]
    pub overload_window: TimeDelta,
    /// The limit of retries; none: no limit.
    #[serde(rename = "further")]
    pub retry_budget: Option<RetryBudget>,
    /// Number of cells.
    #[serde(default)]
    pub cells: u64,
    /// Where the nodes of each title are.
    #[serde(default)]
    pub titles: BTreeMap<String, Placement>,
    /// What passes on one machine may be seen so much later, or in another order.
    #[serde(with = "micros")]
    pub transit: TimeDelta,
}

impl Rules {
    /// What holds for a class as a tenant's viewers name it.
    pub fn class(&self, tenant: Option<&str>, class: &str) -> Option<&ClassRule> {
        let own_classes = tenant.and_then(|name| self.tenants.get(name));
        own_classes.unwrap_or(&self.classes).get(class)
    }

    /// Whether a session of this class may be executed only once. A class without a rule counts as paid.
    pub fn is_paid(&self, tenant: Option<&str>, class: &str) -> bool {
        self.class(tenant, class).is_none_or(|rule| rule.paid)
    }

    /// The tenant, where it has its own classes: its sessions share no seats with those of others.
    pub fn seat_owner(&self, tenant: Option<&str>) -> Option<String> {
        let owner = tenant.filter(|name| self.tenants.contains_key(*name));
        owner.map(str::to_string)
    }
}

/// What holds for a class of sessions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassRule {
    /// A set-up that may have been executed must not be sent again.
    pub paid: bool,
    /// The lowest rung that a session may have; 0: any.
    pub floor: usize,
    /// Sessions that one director may hold of one title; 0: any number.
    pub seats: u32,
}

/// The limit of retries that one director sends within a window: `free + per_request * requests`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetryBudget {
    /// Retries that are always allowed.
    pub free: f64,
    /// Retries for each request that arrived within the window.
    pub per_request: f64,
    /// Length of the window.
    #[serde(rename = "span", with = "micros")]
    pub window: TimeDelta,
}

/// The cells that hold a title: `spread` consecutive ones from `home` on. A pair in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Placement {
    /// The first cell.
    pub home: u64,
    /// The number of cells.
    pub spread: u64,
}

impl Placement {
    /// Whether a cell is among them, of `cells` in a ring.
    pub fn contains(&self, cell: u64, cells: u64) -> bool {
        (cell + cells - self.home) % cells.max(1) < self.spread
    }
}

impl From<(u64, u64)> for Placement {
    fn from((home, spread): (u64, u64)) -> Placement {
        Placement { home, spread }
    }
}

impl From<Placement> for (u64, u64) {
    fn from(placement: Placement) -> (u64, u64) {
        (placement.home, placement.spread)
    }
}
