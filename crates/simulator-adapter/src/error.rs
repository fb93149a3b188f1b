//! What is wrong with a line of the wire.

use shalewall_director_config::{SettingError, SettingProblem};
use std::io;

/// The input breaks the form of the wire, or cannot be read or answered.
#[derive(Debug, thiserror::Error)]
#[error("line {line}, field {field}: {problem}")]
pub struct WireError {
    /// Number of the line, from 1.
    pub line: u64,
    /// Name of the field, as the wire's description has it.
    pub field: String,
    /// What is wrong with it.
    pub problem: WireProblem,
}

/// What is wrong with a field.
#[derive(Debug, thiserror::Error)]
pub enum WireProblem {
    /// The line ends before the field.
    #[error("is missing")]
    Missing,
    /// It has no value, and needs one.
    #[error("is absent")]
    Absent,
    /// A whole number is wanted.
    #[error("'{0}' is not a whole number")]
    NotAWholeNumber(String),
    /// A seed is a whole number of either sign.
    #[error("is not a whole number")]
    NotASeed,
    /// A number is wanted.
    #[error("'{0}' is not a number")]
    NotANumber(String),
    /// A key is written in hex digits.
    #[error("'{0}' is not a key of hex digits")]
    NotAKey(String),
    /// A finite number of milliseconds is wanted.
    #[error("is not a time")]
    NotATime,
    /// A load report consists of names and values.
    #[error("'{0}' is not a name and a value")]
    NotANameAndValue(String),
    /// A message to a peer is written in pairs of hex digits.
    #[error("is not hex digits")]
    NotHexDigits,
    /// The settings are not JSON.
    #[error("is not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A setting is wrong.
    #[error("{0}")]
    Setting(SettingProblem),
    /// The line is not text.
    #[error("is not UTF-8 text")]
    NotUtf8,
    /// There is no such message.
    #[error("'{0}' is not known")]
    UnknownMessage(String),
    /// The message must stand in a batch.
    #[error("'{0}' comes outside a batch")]
    OutsideBatch(String),
    /// A batch must be committed before the next.
    #[error("a batch begins inside a batch")]
    BatchInsideBatch,
    /// The last batch was not committed.
    #[error("the input ends inside a batch")]
    UnfinishedBatch,
    /// A list has fewer lines than was said.
    #[error("a NODE line is missing from the list")]
    IncompleteList,
    /// There is no such kind of news of the list.
    #[error("'{0}' is not a kind of news")]
    UnknownUpdate(u64),
    /// There is no such state of a server.
    #[error("'{0}' is not a state")]
    UnknownState(u64),
    /// A list is named that has not come.
    #[error("no list {0} has come")]
    UnknownList(u64),
    /// Input or output failed.
    #[error("{0}")]
    Io(#[from] io::Error),
}

impl WireError {
    /// The problem of a field in a line.
    pub(crate) fn new(line: u64, field: &str, problem: impl Into<WireProblem>) -> WireError {
        WireError {
            line,
            field: field.to_string(),
            problem: problem.into(),
        }
    }

    /// A wrong setting; its path stands for the field.
    pub(crate) fn from_setting(line: u64, error: SettingError) -> WireError {
        WireError {
            line,
            field: error.path,
            problem: WireProblem::Setting(error.problem),
        }
    }
}
