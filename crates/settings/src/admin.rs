//! The settings file of `shalewall admin`: the administration API of a hosted service.

use crate::SettingsFile;
use crate::rule::Violation;
use garde::Validate;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The settings file of `shalewall admin`.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct AdminConfig {
    /// Settings of the API.
    #[garde(dive)]
    pub admin: Admin,
}

/// The administration API of a hosted service.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Admin {
    /// Address to listen on; port 0 selects a free port.
    #[garde(skip)]
    pub listen: SocketAddr,
    /// File of the store; created if it does not exist.
    #[garde(skip)]
    pub store: PathBuf,
    /// Time in seconds after which a director that has not contacted the API is considered gone. The id of a deleted
    /// tenant is not reused earlier, since such a director may still use it.
    #[garde(range(min = 10.0, max = 86_400.0))]
    #[serde(default = "default_forget_front_s")]
    pub forget_front_s: f64,
}

fn default_forget_front_s() -> f64 {
    600.0
}

impl SettingsFile for AdminConfig {
    fn violations(&self) -> Vec<Violation> {
        Vec::new()
    }
}
