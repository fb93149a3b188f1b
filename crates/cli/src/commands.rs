//! The commands, with a module for each group.

pub mod admin;
pub mod days;
pub mod service;
pub mod store;
pub mod tenant;

use crate::error::CliError;
use shalewall_settings::SettingsFile;
use std::path::Path;
use tracing_subscriber::EnvFilter;

/// Reads and checks a settings file.
fn read_settings<T: SettingsFile>(file: &Path) -> Result<T, CliError> {
    shalewall_settings::read(file).map_err(CliError::Settings)
}

/// Starts structured logging to standard error, with one JSON object per line. `RUST_LOG` sets the level.
fn start_logs() {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| "info".into());
    tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
}
