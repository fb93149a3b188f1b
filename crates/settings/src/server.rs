//! The file of `shalewall serve`: one director of the service, where its tenants come from, and its site.

use crate::SettingsFile;
use crate::rule::{Rule, Violation};
use crate::site::Site;
use garde::Validate;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The file of `shalewall serve`.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct ServerConfig {
    /// The director itself.
    #[garde(dive)]
    pub front: DirectorSettings,
    /// Absent: the director is not shared by tenants.
    #[garde(dive)]
    pub hosting: Option<Hosting>,
    /// What it shares with the site's other directors.
    #[garde(dive)]
    pub site: Site,
}

/// One director of the service.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct DirectorSettings {
    /// Where viewers reach it; port 0 takes a free one.
    #[garde(skip)]
    pub listen: SocketAddr,
    /// Where the list of servers is watched.
    #[garde(skip)]
    #[serde(rename = "list")]
    pub endpoint_list: SocketAddr,
    /// Its number among the directors, from 0.
    #[garde(range(max = 1023))]
    pub number: u32,
    /// How many directors the site has.
    #[garde(range(min = 1, max = 1024))]
    #[serde(rename = "directors")]
    pub director_count: u32,
    /// The zone of the site that it runs in, where it has one.
    #[garde(skip)]
    pub zone: Option<String>,
    /// Seeds the module's random choices.
    #[garde(skip)]
    #[serde(default)]
    pub seed: u64,
    /// Sessions held at most; further requests are turned away.
    #[garde(range(min = 1, max = 10_000_000))]
    #[serde(default = "most_sessions", rename = "most_sessions")]
    pub max_sessions: usize,
    /// Viewers' connections at most.
    #[garde(range(min = 1, max = 1_000_000))]
    #[serde(default = "most_connections", rename = "most_connections")]
    pub max_connections: usize,
    /// A node's event stream without any byte for so long counts as broken.
    #[garde(range(min = 100, max = 600_000))]
    #[serde(default = "silence_ms", rename = "silence_ms")]
    pub stream_timeout_ms: u64,
    /// Told to end, it waits so long for sessions that play; requests that wait are answered in any case.
    #[garde(range(min = 0.0, max = 86_400.0))]
    #[serde(default, rename = "leave_s")]
    pub shutdown_grace_s: f64,
    /// File of 32 bytes in hexadecimal that fronts and nodes share: seals the tickets of hand-overs. Needed where the
    /// site has `moves`.
    #[garde(skip)]
    #[serde(rename = "move_key_file")]
    pub ticket_key_file: Option<PathBuf>,
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

/// Where a director of a hosted service has its tenants from.
#[derive(Clone, Debug, Serialize, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Hosting {
    /// The administration API.
    #[garde(skip)]
    pub admin: SocketAddr,
    /// File that holds a director's token, and nothing else.
    #[garde(skip)]
    pub token_file: PathBuf,
    /// Set-ups a second that this director can make: what shares are parts of.
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
