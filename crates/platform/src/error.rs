//! Errors that prevent a director from running. Each names the file, address or setting concerned.

use shalewall_platform_proto::SettingError;
use shalewall_platform_proto::error::ConfigError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why a director did not start, or ended without a signal.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// Signal handlers could not be installed or read.
    #[error("can't receive signals: {0}")]
    Signals(#[source] io::Error),
    /// The configuration file can't be used.
    #[error(transparent)]
    ConfigFile(#[from] ConfigFileError),
    /// The configured address can't be bound: it is in use, or does not belong to this machine.
    #[error("{address}: can't listen: {error}")]
    Listen {
        /// `listen` of the configuration.
        address: SocketAddr,
        /// The system's error.
        #[source]
        error: io::Error,
    },
}

/// An invalid configuration file.
#[derive(Debug, thiserror::Error)]
#[error("{}: {problem}", file.display())]
pub struct ConfigFileError {
    /// Path of the file.
    pub file: PathBuf,
    /// The problem with the file.
    #[source]
    pub problem: ConfigFileProblem,
}

/// The problem with a configuration file.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFileProblem {
    /// The file can't be read.
    #[error("{0}")]
    Unreadable(#[source] io::Error),
    /// The file is not a valid configuration; the message contains the path of the field.
    #[error("{0}")]
    Malformed(#[source] ConfigError),
    /// The settings are invalid; the message contains the path of the setting.
    #[error("settings: {0}")]
    Settings(#[source] SettingError),
}
