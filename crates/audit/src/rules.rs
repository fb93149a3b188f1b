//! Parameters of the rules by which a recording is judged, in the format of `rules.json`.

use crate::micros;
use serde::{Deserialize, Serialize};
use shalewall::TimeDelta;
use std::collections::BTreeMap;

/// Parameters of the rules by which a recording is judged. Durations are microseconds in the file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Classes of session by name.
    pub classes: BTreeMap<String, ClassRule>,
    /// Classes of those tenants that have their own.
    #[serde(default)]
    pub tenants: BTreeMap<String, BTreeMap<String, ClassRule>>,
    /// Time after the notification of a drain from which a director sends no new sessions to the node.
    #[serde(with = "micros")]
    pub drain_within: TimeDelta,
    /// Time by which a response may exceed the viewer's timeout.
    #[serde(with = "micros")]
    pub answer_slack: TimeDelta,
    /// Time from the start of a node's process until it has its full capacity.
    #[serde(with = "micros")]
    pub warm_after: TimeDelta,
    /// Fraction of its capacity that a node has when its process starts.
    pub start_capacity: f64,
    /// A node that is warming up fails above this multiple of the set-up rate that its current capacity allows.
    pub overload_factor: f64,
    /// Window over which that rate is measured; zero disables the slow start rule.
    #[serde(rename = "fall", with = "micros")]
    pub overload_window: TimeDelta,
    /// Limit of retries; `None` for no limit.
    #[serde(rename = "further")]
    pub retry_budget: Option<RetryBudget>,
    /// Number of cells.
    #[serde(default)]
    pub cells: u64,
    /// Placement of each title.
    #[serde(default)]
    pub titles: BTreeMap<String, Placement>,
    /// Tolerance for events that are seen late or reordered, because all processes share one machine.
    #[serde(with = "micros")]
    pub transit: TimeDelta,
}

impl Rules {
    /// Rule of a class, as the tenant's viewers name it.
    pub fn class(&self, tenant: Option<&str>, class: &str) -> Option<&ClassRule> {
        let own_classes = tenant.and_then(|name| self.tenants.get(name));
        own_classes.unwrap_or(&self.classes).get(class)
    }

    /// Whether a session of this class may be executed only once. A class without a rule counts as paid.
    pub fn is_paid(&self, tenant: Option<&str>, class: &str) -> bool {
        self.class(tenant, class).is_none_or(|rule| rule.paid)
    }

    /// The tenant under which seats are counted: the tenant itself if it has its own classes, otherwise none, because all
    /// other tenants share the seats of a class.
    pub fn seat_owner(&self, tenant: Option<&str>) -> Option<String> {
        let owner = tenant.filter(|name| self.tenants.contains_key(*name));
        owner.map(str::to_string)
    }
}

/// Rule for a class of sessions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassRule {
    /// Whether a set-up that may have been executed must not be retried.
    pub paid: bool,
    /// Lowest rung of a session; 0 allows any rung.
    pub floor: usize,
    /// Maximum number of sessions of one title per director; 0 for no limit.
    pub seats: u32,
}

/// The limit of retries that one director sends within a window: `free + per_request * requests`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetryBudget {
    /// Retries that are always allowed.
    pub free: f64,
    /// Additional retries for each request within the window.
    pub per_request: f64,
    /// Length of the window.
    #[serde(rename = "span", with = "micros")]
    pub window: TimeDelta,
}

/// Cells that hold a title: `spread` consecutive ones from `home` on, in a ring. Stored as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Placement {
    /// The first cell.
    pub home: u64,
    /// The number of cells.
    pub spread: u64,
}

impl Placement {
    /// Whether a cell holds the title, in a ring of `cells` cells.
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
