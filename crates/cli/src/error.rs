//! Why a command failed, as its user is told.

use shalewall_http::client::CallError;
use shalewall_platform::RunError;
use shalewall_scripted_days::{DayError, ImportError};
use shalewall_server::StartError;
use shalewall_store::StoreError;
use shalewall_tenancy::access::RoleError;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CliError {
    /// A settings file is wrong: one line for each error.
    #[error("{}", joined(.0))]
    Settings(Vec<shalewall_settings::Error>),
    /// A file can't be read.
    #[error("{}: {error}", file.display())]
    File { file: PathBuf, error: io::Error },
    /// A store that has to be there is not.
    #[error("{}: there is no such file", .0.display())]
    NoSuchStore(PathBuf),
    /// A store that is there can't be opened.
    #[error("{}: {error}", file.display())]
    StoreNotOpened { file: PathBuf, error: StoreError },
    /// A day file of the bench can't be turned into a script.
    #[error("{}: {error}", file.display())]
    Import { file: PathBuf, error: ImportError },
    /// The machine lacked something that the day needed.
    #[error("the day is not valid: {}", .0.join("; "))]
    InvalidDay(Vec<String>),
    /// The administration API did not answer.
    #[error("no answer in time")]
    NoAnswer,
    /// A call to the administration API failed.
    #[error("{0}")]
    Call(CallError),
    /// The administration API did not do it.
    #[error("status {status}: {body}")]
    Status { status: u16, body: String },
    /// A director can't start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A director on the platform failed.
    #[error(transparent)]
    Platform(#[from] RunError),
    /// A day could not be run.
    #[error(transparent)]
    Day(#[from] DayError),
    /// The store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// There is no such role.
    #[error(transparent)]
    Role(#[from] RoleError),
    /// A script can't be written.
    #[error(transparent)]
    Script(#[from] hcl::Error),
    /// Terms are not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Files, sockets or processes failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

fn joined(errors: &[shalewall_settings::Error]) -> String {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

impl CliError {
    /// What the user is told, line by line.
    pub fn lines(&self) -> Vec<String> {
        match self {
            CliError::Settings(errors) => errors.iter().map(ToString::to_string).collect(),
            other => vec![other.to_string()],
        }
    }

    /// For reading a file.
    pub fn of_file(file: &Path) -> impl FnOnce(io::Error) -> CliError {
        let file = file.to_path_buf();
        move |error| CliError::File { file, error }
    }
}
