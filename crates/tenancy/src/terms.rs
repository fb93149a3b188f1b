//! The terms that are agreed with a tenant.
//!
//! The doc comments of these types are part of the published JSON Schema and must not change, unless the item has a
//! `description` of its own. In the published schema, a director is called "front".

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The terms that are agreed with a tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(description = "What is agreed with a tenant.")]
#[serde(deny_unknown_fields)]
pub struct Terms {
    /// The tenant's name, for people.
    #[schemars(description = "", length(min = 1, max = 128))]
    pub display_name: String,
    /// The tenant's weight for the capacity of a director and of the shared nodes, relative to the sum of all tenants'
    /// shares.
    #[schemars(
        description = "Part of what a front and the pool can do, over the sum of all tenants' shares.",
        range(min = 0.001, max = 1000000.0)
    )]
    pub share: f64,
    /// The nodes on which the tenant's sessions may be set up.
    #[schemars(description = "")]
    #[serde(default)]
    pub fleet: Fleet,
    /// Classes of request by name.
    #[schemars(extend("minProperties" = 1, "maxProperties" = 32))]
    pub classes: BTreeMap<String, Class>,
    /// The tenant's titles by name, in a namespace of its own.
    #[schemars(
    description = "Titles by name: the tenant's own, whatever others call theirs.",
    extend("maxProperties" = 100000)
    )]
    #[serde(default)]
    pub titles: BTreeMap<String, Title>,
    /// Limits of the tenant's usage.
    #[schemars(description = "")]
    #[serde(default)]
    pub limits: Limits,
    /// How long playing sessions may continue after the tenant is deleted, seconds.
    #[schemars(
        description = "When the tenant is deleted, what plays may go on for so long, seconds.",
        range(min = 0, max = 86400)
    )]
    #[serde(rename = "ends_within_s", default = "one_hour_s")]
    pub deletion_grace_s: u32,
}

fn one_hour_s() -> u32 {
    3600
}

/// Nodes that a tenant's sessions may be set up on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fleet {
    /// Those that all tenants share.
    #[default]
    Pool,
    /// These alone, by number.
    Own(#[schemars(length(min = 1, max = 10000))] Vec<u64>),
}

/// A class of request. Rungs are of the site's ladder: a tenant's ladder is a part of it, from `floor` to `top`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Whether sessions are paid for at set-up, so that a set-up must be executed at most once.
    #[schemars(description = "Paid for at set-up: set up once.")]
    pub paid: bool,
    /// Latency objective of a set-up.
    #[schemars(description = "", range(min = 1, max = 3600000))]
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: u32,
    /// Time after which a request that has not been answered fails.
    #[schemars(description = "", range(min = 1, max = 3600000))]
    #[serde(rename = "give_up_ms")]
    pub deadline_ms: u32,
    /// Weight of a session of this class relative to sessions of other classes.
    #[schemars(description = "", range(min = 0.0, max = 1000000.0))]
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// The lowest rung that a session may be given.
    #[schemars(description = "", range(max = 63))]
    #[serde(rename = "floor", default)]
    pub lowest_rung: u32,
    /// The highest rung that a session may be given; by default the site's highest.
    #[schemars(description = "", range(max = 63))]
    #[serde(rename = "top")]
    pub highest_rung: Option<u32>,
    /// Maximum number of sessions of one title that a director may hold; 0 means no limit.
    #[schemars(description = "Sessions of one title that a front may hold; 0: no limit.")]
    #[serde(rename = "seats", default)]
    pub session_limit_per_title: u32,
}

/// The cells that hold a title: `replica_cells` consecutive ones, starting with `first_cell`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(description = "Cells that hold a title: `spread` in a row from `home` on.")]
#[serde(deny_unknown_fields)]
pub struct Title {
    /// The first cell that holds it.
    #[schemars(description = "")]
    #[serde(rename = "home")]
    pub first_cell: u64,
    /// How many cells hold it.
    #[schemars(description = "", range(min = 1))]
    #[serde(rename = "spread")]
    pub replica_cells: u64,
}

/// Limits of a tenant's usage at each director, which apply even if there is free capacity. A limit that is absent
/// leaves only the director's own.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(
    description = "What a tenant may use at most, whatever is free, at each front. Absent: no limit but the front's own."
)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Set-ups a second.
    #[schemars(range(min = 0.0, max = 1000000.0))]
    pub set_ups_per_s: Option<f64>,
    /// Sessions held.
    pub sessions: Option<u32>,
    /// Viewers' connections.
    pub connections: Option<u32>,
    /// Bytes of a request's content.
    #[schemars(
        description = "Bytes of a request's content, and of its head.",
        range(min = 1, max = 65536)
    )]
    pub body_bytes: Option<u32>,
    /// Bytes of a request's head.
    #[schemars(description = "", range(min = 256, max = 65536))]
    pub head_bytes: Option<u32>,
    /// Calls of the administration API a minute.
    #[schemars(range(min = 1, max = 100000))]
    pub admin_calls_per_min: Option<u32>,
}
