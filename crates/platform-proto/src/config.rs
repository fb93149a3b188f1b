//! The configuration file of a director, read at its start and again on SIGHUP.

use crate::HexId;
use crate::error::ConfigError;
use crate::known_events::KnownEvents;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// The content of the file.
#[derive(Debug, Deserialize)]
pub struct Config {
    /// Name of the director.
    pub name: String,
    /// Address on which viewers connect.
    pub listen: SocketAddr,
    /// Seed of the random number generator, new with each start: 16 hexadecimal digits.
    seed: String,
    /// Resource limits of the process.
    pub limits: Limits,
    /// Address of the endpoint list service, the platform's "journal service".
    #[serde(rename = "journal")]
    pub endpoint_service: SocketAddr,
    /// Events of that service up to the time at which the file was written.
    #[serde(default)]
    pub known: KnownEvents,
    /// Settings of the decision module and of this protocol; `shalewall-director-config` reads them.
    pub settings: Value,
}

/// Resource limits that the platform sets for the process.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Limits {
    /// Maximum number of open file descriptors.
    pub sockets: usize,
    /// Maximum memory of the process, in MB; without it, that of the platform's largest directors is assumed.
    pub memory_mb: Option<f64>,
}

impl Config {
    /// Parses the file's text.
    pub fn parse(text: &[u8]) -> Result<Config, ConfigError> {
        let mut json = serde_json::Deserializer::from_slice(text);
        let config: Config = serde_path_to_error::deserialize(&mut json).map_err(|error| {
            ConfigError::InvalidField {
                path: error.path().to_string(),
                reason: error.inner().to_string(),
            }
        })?;
        if HexId::parse(&config.seed).is_none() {
            return Err(ConfigError::InvalidSeed);
        }
        Ok(config)
    }

    /// Names of the fields that differ in `new` and are only applied at a start: settings do not change while requests
    /// are in progress.
    pub fn changed_startup_fields(
        &self,
        new: &Config,
    ) -> impl Iterator<Item = &'static str> + use<> {
        let fields = [
            ("listen", self.listen != new.listen),
            ("limits", self.limits != new.limits),
            ("settings", self.settings != new.settings),
        ];
        fields
            .into_iter()
            .filter(|(_, differs)| *differs)
            .map(|(field, _)| field)
    }

    /// Seed of the random number generator.
    pub fn seed(&self) -> u64 {
        HexId::parse(&self.seed).map_or(0, HexId::value)
    }
}
