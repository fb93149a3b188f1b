//! The settings file of `shalewall serve`: one director of the service, the source of its tenants, and its site.

use crate::SettingsFile;
use crate::rule::{Rule, Violation};
use crate::site::Site;
use garde::Validate;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The settings file of `shalewall serve`.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct ServerConfig {
    /// Settings of this director.
    #[garde(dive)]
    pub front: DirectorSettings,
    /// Source of hosted tenants; `None`: tenants are not hosted.
    #[garde(dive)]
    pub hosting: Option<Hosting>,
    /// Settings that all directors of the site share.
    #[garde(dive)]
    pub site: Site,
}

/// Settings of one director of the service.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct DirectorSettings {
    /// Address for viewers' connections; port 0 selects a free port.
    #[garde(skip)]
    pub listen: SocketAddr,
    /// Address of the endpoint list service.
    #[garde(skip)]
    #[serde(rename = "list")]
    pub endpoint_list: SocketAddr,
    /// Its number among the site's directors, from 0.
    #[garde(range(max = 1023))]
    pub number: u32,
    /// Number of directors of the site.
    #[garde(range(min = 1, max = 1024))]
    #[serde(rename = "directors")]
    pub director_count: u32,
    /// The zone in which it runs, if any.
    #[garde(skip)]
    pub zone: Option<String>,
    /// Seed of the decision module's pseudo-random choices.
    #[garde(skip)]
    #[serde(default)]
    pub seed: u64,
    /// Maximum number of sessions; further requests are rejected.
    #[garde(range(min = 1, max = 10_000_000))]
    #[serde(default = "default_max_sessions", rename = "most_sessions")]
    pub max_sessions: usize,
    /// Maximum number of viewers' connections.
    #[garde(range(min = 1, max = 1_000_000))]
    #[serde(default = "default_max_connections", rename = "most_connections")]
    pub max_connections: usize,
    /// Time without data, in milliseconds, after which a node's event stream is considered broken.
    #[garde(range(min = 100, max = 600_000))]
    #[serde(default = "default_stream_timeout_ms", rename = "silence_ms")]
    pub stream_timeout_ms: u64,
    /// Longest time that a graceful shutdown waits for playing sessions, in seconds. Pending requests are answered in
    /// any case.
    #[garde(range(min = 0.0, max = 86_400.0))]
    #[serde(default, rename = "leave_s")]
    pub shutdown_grace_s: f64,
    /// File with a key of 32 bytes in hexadecimal, shared by directors and nodes, that seals migration tickets.
    /// Required if the site has `moves`.
    #[garde(skip)]
    #[serde(rename = "move_key_file")]
    pub ticket_key_file: Option<PathBuf>,
}

fn default_max_sessions() -> usize {
    100_000
}

fn default_max_connections() -> usize {
    20_000
}

fn default_stream_timeout_ms() -> u64 {
    3_000
}

/// The source of a director's hosted tenants.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Hosting {
    /// Address of the administration API.
    #[garde(skip)]
    pub admin: SocketAddr,
    /// File that contains only the director's token.
    #[garde(skip)]
    pub token_file: PathBuf,
    /// Capacity of this director in set-ups per second, of which tenants get their shares.
    #[garde(range(min = 1.0, max = 1_000_000.0))]
    pub set_ups_per_s: f64,
}

impl SettingsFile for ServerConfig {
    fn violations(&self) -> Vec<Violation> {
        let mut violations = self.site.violations();
        if self.front.number >= self.front.director_count {
            let directors = self.front.director_count;
            violations.push(Violation::new(
                "front.number",
                Rule::NumberNotBelowDirectors { directors },
            ));
        }
        if self.site.moves.is_some() && self.front.ticket_key_file.is_none() {
            violations.push(Violation::new(
                "front.move_key_file",
                Rule::TicketKeyMissing,
            ));
        }
        if let Some(zone) = &self.front.zone
            && !self.site.zones.contains(zone)
        {
            let known = self.site.zones.join(", ");
            violations.push(Violation::new("front.zone", Rule::UnknownZone { known }));
        }
        violations
    }
}
