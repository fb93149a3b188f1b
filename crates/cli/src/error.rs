//! Errors of the commands, as shown to the user.

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
    /// A settings file is invalid; each error is shown on its own line.
    #[error("{}", joined(.0))]
    Settings(Vec<shalewall_settings::Error>),
    /// A file can't be read.
    #[error("{}: {error}", file.display())]
    File { file: PathBuf, error: io::Error },
    /// The file of the store does not exist.
    #[error("{}: there is no such file", .0.display())]
    NoSuchStore(PathBuf),
    /// An existing store can't be opened.
    #[error("{}: {error}", file.display())]
    StoreNotOpened { file: PathBuf, error: StoreError },
    /// A day file of the bench can't be converted to a script.
    #[error("{}: {error}", file.display())]
    Import { file: PathBuf, error: ImportError },
    /// The machine lacked resources that the day needs, so its results are not valid.
    #[error("the day is not valid: {}", .0.join("; "))]
    InvalidDay(Vec<String>),
    /// The administration API did not answer within the timeout.
    #[error("no answer in time")]
    NoAnswer,
    /// A call to the administration API failed.
    #[error("{0}")]
    Call(CallError),
    /// The administration API answered with a status other than success.
    #[error("status {status}: {body}")]
    Status { status: u16, body: String },
    /// A director can't start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A director on the platform failed.
    #[error(transparent)]
    Platform(#[from] RunError),
    /// A scripted day could not be run.
    #[error(transparent)]
    Day(#[from] DayError),
    /// The store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A role is invalid.
    #[error(transparent)]
    Role(#[from] RoleError),
    /// A script can't be serialized.
    #[error(transparent)]
    Script(#[from] hcl::Error),
    /// The terms on standard input are not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// An operation on a file, socket or process failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

fn joined(errors: &[shalewall_settings::Error]) -> String {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

impl CliError {
    /// The lines to print to the user.
    pub fn lines(&self) -> Vec<String> {
        match self {
            CliError::Settings(errors) => errors.iter().map(ToString::to_string).collect(),
            other => vec![other.to_string()],
        }
    }

    /// Returns a function that converts an I/O error of a file.
    pub fn file_error(file: &Path) -> impl FnOnce(io::Error) -> CliError {
        let file = file.to_path_buf();
        move |error| CliError::File { file, error }
    }
}
