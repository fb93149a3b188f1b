//! Why a director can't run. Each error names the file, address or setting that it is about.

use shalewall_platform_proto::SettingError;
use shalewall_platform_proto::error::ConfigError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a director did not start, or ended before it was told to.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The system gave no notice of signals.
    #[error("signals can't be received: {0}")]
    Signals(#[source] io::Error),
    /// The configuration file can't be used.
    #[error(transparent)]
    ConfigFile(#[from] ConfigFileError),
    /// The address of the configuration can't be listened on: it is in use, or is none of this machine's.
    #[error("{address}: can't be listened on: {error}")]
    Listen {
        /// `listen` of the configuration.
        address: SocketAddr,
        /// What the system says.
        #[source]
        error: io::Error,
    },
}

/// A configuration file that can't be used.
#[derive(Debug, thiserror::Error)]
#[error("{}: {problem}", file.display())]
pub struct ConfigFileError {
    /// Where it was looked for.
    pub file: PathBuf,
    /// What is wrong with it.
    #[source]
    pub problem: ConfigFileProblem,
}

/// What is wrong with a configuration file.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFileProblem {
    /// It can't be read from the disk.
    #[error("{0}")]
    Unreadable(#[source] io::Error),
    /// It is no configuration: the text names the path of the field in it.
    #[error("{0}")]
    Malformed(#[source] ConfigError),
    /// Its settings can't be used: the text names the setting.
    #[error("settings: {0}")]
    Settings(#[source] SettingError),
}
