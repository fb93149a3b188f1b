//! The configuration file that a director starts from, and reads again on a signal.

use crate::HexId;
use crate::error::ConfigError;
use crate::known_events::KnownEvents;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// The file's content.
#[derive(Debug, Deserialize)]
pub struct Config {
    /// Name of this director.
    pub name: String,
    /// Address on which viewers connect.
    pub listen: SocketAddr,
    /// Seed of random draws, new with each start: 16 hexadecimal digits.
    seed: String,
    /// What the platform grants the process.
    pub limits: Limits,
    /// Address of the endpoint list service, the platform's "journal service".
    #[serde(rename = "journal")]
    pub endpoint_service: SocketAddr,
    /// That service's events up to the time of writing.
    #[serde(default)]
    pub known: KnownEvents,
    /// Settings of the decision module and of this protocol; `shalewall-director-config` reads them.
    pub settings: Value,
}

/// What the platform grants the process.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// File descriptors that may be open at once.
    pub sockets: usize,
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

    /// Fields that only a start applies and that differ in `new`: terms never change while requests are under way.
    pub fn changed_startup_fields(
        &self,
        new: &Config,
    ) -> impl Iterator<Item = &'static str> + use<> {
        let fields = [
            ("listen", self.listen != new.listen),
            ("limits", self.limits.sockets != new.limits.sockets),
            ("settings", self.settings != new.settings),
        ];
        fields
            .into_iter()
            .filter(|(_, differs)| *differs)
            .map(|(field, _)| field)
    }

    /// The seed of random draws.
    pub fn seed(&self) -> u64 {
        HexId::parse(&self.seed).map_or(0, HexId::value)
    }
}
