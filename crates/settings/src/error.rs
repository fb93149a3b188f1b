//! Errors in settings files, with their location.

use crate::rule::Rule;
use std::fmt;
use thiserror::Error;

/// An error in a settings file, displayed as `file:line: path: problem`.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{location}: {problem}")]
pub struct Error {
    /// Location of the error.
    pub location: Location,
    /// The error, and what is allowed instead.
    pub problem: Problem,
}

/// A place in a settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct Location {
    /// Name of the file.
    pub file: String,
    /// Line number, from 1; `None` if the file cannot be read.
    pub line: Option<usize>,
    /// Path within the file, such as `site.class.open.floor`; empty for the file itself.
    pub path: String,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if !self.path.is_empty() {
            write!(f, ": {}", self.path)?;
        }
        Ok(())
    }
}

/// Kind of an error in a file or in one of its values.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Problem {
    /// The file cannot be read.
    #[error("{0}")]
    Unreadable(String),
    /// The text is not valid HCL.
    #[error("{0}")]
    Syntax(String),
    /// A field is missing, unknown or of the wrong type.
    #[error("{0}")]
    Schema(String),
    /// A value is outside its range.
    #[error("{0}")]
    Range(String),
    /// The included file is given as a path instead of a file name.
    #[error("has to name a file of the same folder")]
    IncludeOutsideFolder,
    /// The values of several fields are inconsistent.
    #[error(transparent)]
    Rule(#[from] Rule),
}
