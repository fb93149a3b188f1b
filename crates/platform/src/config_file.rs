//! The configuration file, read from the disk.

use crate::error::{ConfigFileError, ConfigFileProblem};
use shalewall_platform_proto::config::Config;
use std::path::{Path, PathBuf};

/// Where the configuration of this director is found, now and whenever it is reloaded.
#[derive(Clone, Debug)]
pub(crate) struct ConfigFile {
    path: PathBuf,
}

impl ConfigFile {
    pub fn new(path: &Path) -> ConfigFile {
        ConfigFile {
            path: path.to_path_buf(),
        }
    }

    pub fn read(&self) -> Result<Config, ConfigFileError> {
        let text = std::fs::read(&self.path)
            .map_err(|error| self.error(ConfigFileProblem::Unreadable(error)))?;
        Config::parse(&text).map_err(|error| self.error(ConfigFileProblem::Malformed(error)))
    }

    pub fn error(&self, problem: ConfigFileProblem) -> ConfigFileError {
        ConfigFileError {
            file: self.path.clone(),
            problem,
        }
    }
}
