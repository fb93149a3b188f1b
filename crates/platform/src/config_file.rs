//! Reads the configuration file.

use crate::error::{ConfigFileError, ConfigFileProblem};
use shalewall_platform_proto::config::Config;
use std::path::{Path, PathBuf};

/// The configuration file of this director, read at the start and at each reload.
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
