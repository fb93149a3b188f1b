//! The file of `shalewall admin`: the administration API of a hosted service.

use crate::SettingsFile;
use crate::rule::Violation;
use garde::Validate;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The file of `shalewall admin`.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct AdminConfig {
    /// The API itself.
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
    pub store: PathBuf,
    /// A front that is not heard of for so long is taken for gone: the id of a deleted tenant is not free before.
    #[garde(range(min = 10.0, max = 86_400.0))]
    #[serde(default = "forget_front_s")]
    pub forget_front_s: f64,
}

fn forget_front_s() -> f64 {
    600.0
}

impl SettingsFile for AdminConfig {
    fn violations(&self) -> Vec<Violation> {
        Vec::new()
    }
}
