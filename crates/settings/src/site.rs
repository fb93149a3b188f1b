//! A site: what all its directors are told, by concern, and what has to hold between the parts.
//!
//! [`traffic`] has classes, tenants and the ladder, [`capacity`] machines, links and titles, [`policy`] rules, limits
//! and costs. `module_settings` turns a site into what the module and the engine are told.

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

/// What all directors of a site share.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Names of the zones; directors and nodes are in one each.
    #[garde(skip)]
    #[serde(default)]
    pub zones: Vec<String>,
    /// Kinds of machine by name.
    #[garde(dive)]
    #[serde(default, rename = "kind")]
    pub kinds: BTreeMap<String, MachineKind>,
    /// Classes of request by name.
    #[garde(dive, length(min = 1))]
    #[serde(rename = "class")]
    pub classes: BTreeMap<String, Class>,
    /// Tenants by name.
    #[garde(dive)]
    #[serde(default, rename = "tenant")]
    pub tenants: BTreeMap<String, Tenant>,
    /// Lowest rung first.
    #[garde(dive, length(min = 1, max = 64))]
    pub ladder: Vec<LadderRung>,
    /// Where titles are and which nodes share an uplink.
    #[garde(dive)]
    pub layout: Layout,
    /// Bandwidth of nodes and racks.
    #[garde(dive)]
    pub link: Link,
    /// Notifications of nodes.
    #[garde(dive)]
    #[serde(default, rename = "notes")]
    pub notifications: Notifications,
    /// What the decisions weigh against each other.
    #[garde(dive)]
    #[serde(default)]
    pub costs: Costs,
    /// Figures of the rules that the service is judged by.
    #[garde(dive)]
    pub rules: Rules,
    /// What directors are permitted.
    #[garde(dive)]
    pub limits: Limits,
    /// Absent: sessions stay where they play.
    #[garde(dive)]
    pub moves: Option<MigrationSettings>,
    /// Titles by name.
    #[garde(dive, length(min = 1))]
    #[serde(rename = "title")]
    pub titles: BTreeMap<String, Title>,
}
