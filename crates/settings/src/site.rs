//! Settings that all directors of a site share.
//!
//! [`traffic`] contains classes, tenants and the ladder, [`capacity`] machines, links and titles, [`policy`] rules,
//! limits and costs. `module_settings` converts a site to the settings of the decision module and the engine, and
//! `violations` checks the rules between fields.

pub mod capacity;
mod module_settings;
pub mod policy;
pub mod traffic;
mod violations;

use crate::migration::MigrationSettings;
use capacity::{Layout, Link, MachineKind, Notifications, Title};
use garde::Validate;
use policy::{Costs, Limits, Rules};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use traffic::{Class, LadderRung, Tenant};

/// Settings that all directors of a site share.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Names of the zones. Each director and node is in one of them.
    #[garde(skip)]
    #[serde(default)]
    pub zones: Vec<String>,
    /// Machine kinds by name.
    #[garde(dive)]
    #[serde(default, rename = "kind")]
    pub kinds: BTreeMap<String, MachineKind>,
    /// Request classes by name.
    #[garde(dive, length(min = 1))]
    #[serde(rename = "class")]
    pub classes: BTreeMap<String, Class>,
    /// Tenants by name.
    #[garde(dive)]
    #[serde(default, rename = "tenant")]
    pub tenants: BTreeMap<String, Tenant>,
    /// The ladder of rates, lowest rung first.
    #[garde(dive, length(min = 1, max = 64))]
    pub ladder: Vec<LadderRung>,
    /// Cells and racks: which nodes host a title, and which share an uplink.
    #[garde(dive)]
    pub layout: Layout,
    /// Link capacities of nodes and racks.
    #[garde(dive)]
    pub link: Link,
    /// Timing of the nodes' notifications.
    #[garde(dive)]
    #[serde(default, rename = "notes")]
    pub notifications: Notifications,
    /// Costs that decisions weigh against each other.
    #[garde(dive)]
    #[serde(default)]
    pub costs: Costs,
    /// Parameters of the rules that the service has to follow.
    #[garde(dive)]
    pub rules: Rules,
    /// Limits for directors.
    #[garde(dive)]
    pub limits: Limits,
    /// Settings of migrations; `None`: sessions do not migrate.
    #[garde(dive)]
    pub moves: Option<MigrationSettings>,
    /// Titles by name.
    #[garde(dive, length(min = 1))]
    #[serde(rename = "title")]
    pub titles: BTreeMap<String, Title>,
}
