//! The file that a director starts from, and is told anew by a signal.

use crate::HexId;
use crate::endpoint_watch::KnownEvents;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// The file, checked.
#[derive(Debug, Deserialize)]
pub struct Config {
    pub name: String,
    /// Viewers connect here.
    pub listen: SocketAddr,
    /// For draws; new with each start. Hexadecimal digits.
    seed: String,
    pub limits: Limits,
    /// Address of the journal service.
    pub journal: SocketAddr,
    /// Its events up to now.
    #[serde(default)]
    pub known: KnownEvents,
    /// What the module and its driver are told; read by `shalewall-director-config`.
    pub settings: Value,
}

/// What the platform grants.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// Descriptors.
    pub sockets: usize,
}

impl Config {
    /// Reads the text of the file. An error names the path in it and what is wrong.
    pub fn read(text: &[u8]) -> Result<Config, String> {
        let mut json = serde_json::Deserializer::from_slice(text);
        let config: Config = serde_path_to_error::deserialize(&mut json)
            .map_err(|e| format!("{}: {}", e.path(), e.inner()))?;
        if HexId::parse(&config.seed).is_none() {
            return Err("seed: is not 16 hexadecimal digits".into());
        }
        Ok(config)
    }

    /// What a configuration read anew differs in that only the start heeds: one customer's terms never become another's
    /// while requests are under way.
    pub fn other(&self, new: &Config) -> impl Iterator<Item = &'static str> + use<> {
        let parts = [
            ("listen", self.listen != new.listen),
            ("limits", self.limits.sockets != new.limits.sockets),
            ("settings", self.settings != new.settings),
        ];
        parts
            .into_iter()
            .filter(|(_, differs)| *differs)
            .map(|(part, _)| part)
    }

    pub fn seed(&self) -> u64 {
        HexId::parse(&self.seed).map_or(0, HexId::value)
    }
}
