//! Errors in lines of the protocol.

use shalewall_director_config::{SettingError, SettingProblem};
use std::io;

/// A malformed line, or a failure to read the input or to write the output.
#[derive(Debug, thiserror::Error)]
#[error("line {line}, field {field}: {problem}")]
pub struct WireError {
    /// Number of the line, from 1.
    pub line: u64,
    /// Name of the field in the protocol.
    pub field: String,
    /// What is wrong with the field.
    pub problem: WireProblem,
}

/// What is wrong with a field.
#[derive(Debug, thiserror::Error)]
pub enum WireProblem {
    /// The line ends before the field.
    #[error("field is missing")]
    Missing,
    /// The field has no value, but requires one.
    #[error("a value is required, found '-'")]
    Absent,
    /// The value must be an unsigned integer.
    #[error("'{0}' is not an unsigned integer")]
    NotAnInteger(String),
    /// A seed must be an integer of 64 bits, signed or unsigned.
    #[error("not a signed or unsigned 64-bit integer")]
    NotASeed,
    /// The value must be a number.
    #[error("'{0}' is not a number")]
    NotANumber(String),
    /// A key must be a hexadecimal number of 64 bits.
    #[error("'{0}' is not a hexadecimal 64-bit number")]
    NotAKey(String),
    /// A time must be a finite number of milliseconds.
    #[error("not a finite number of milliseconds")]
    NotATime,
    /// An entry of a load report must consist of a name and a value.
    #[error("'{0}' is not of the form name:value")]
    NotNameAndValue(String),
    /// A message to a peer must consist of pairs of hexadecimal digits.
    #[error("not pairs of hexadecimal digits")]
    NotHexDigits,
    /// The settings are not valid JSON.
    #[error("invalid JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A setting is invalid.
    #[error("{0}")]
    Setting(SettingProblem),
    /// The line is not valid UTF-8.
    #[error("not valid UTF-8")]
    NotUtf8,
    /// The message is not part of the protocol.
    #[error("unknown message '{0}'")]
    UnknownMessage(String),
    /// The message is only allowed within a batch.
    #[error("message '{0}' outside of a batch")]
    OutsideBatch(String),
    /// A batch must be committed before the next one starts.
    #[error("a batch starts before the previous one is committed")]
    BatchInsideBatch,
    /// The last batch was not committed.
    #[error("the input ends before the batch is committed")]
    UnfinishedBatch,
    /// A list has fewer lines than announced.
    #[error("expected a NODE line of the incomplete list")]
    IncompleteList,
    /// The kind of endpoint list update is unknown.
    #[error("unknown kind of endpoint list update '{0}'")]
    UnknownUpdate(u64),
    /// The state of a server is unknown.
    #[error("unknown server state '{0}'")]
    UnknownState(u64),
    /// The line refers to a list that was not received.
    #[error("list {0} has not been received")]
    UnknownList(u64),
    /// Input or output failed.
    #[error("{0}")]
    Io(#[from] io::Error),
}

impl WireError {
    /// An error in a field of a line.
    pub(crate) fn new(line: u64, field: &str, problem: impl Into<WireProblem>) -> WireError {
        WireError {
            line,
            field: field.to_string(),
            problem: problem.into(),
        }
    }

    /// An invalid setting, with its path as the field.
    pub(crate) fn from_setting(line: u64, error: SettingError) -> WireError {
        WireError {
            line,
            field: error.path,
            problem: WireProblem::Setting(error.problem),
        }
    }
}
