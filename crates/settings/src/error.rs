//! What is wrong with a settings file, and where.

use crate::rule::Rule;
use std::fmt;
use thiserror::Error;

/// What is wrong with a settings file: shown as `file:line: path: problem`.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{location}: {problem}")]
pub struct Error {
    /// Where it is.
    pub location: Location,
    /// What it is, and what would be right.
    pub problem: Problem,
}

/// A place in a settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct Location {
    /// Name of the file.
    pub file: String,
    /// From 1; absent where the file can't be read at all.
    pub line: Option<usize>,
    /// Within the file, as `site.class.open.floor`; empty for the file itself.
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

/// What is wrong with a file or a value in it.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Problem {
    /// The file can't be read.
    #[error("{0}")]
    Unreadable(String),
    /// The text is not HCL.
    #[error("{0}")]
    Syntax(String),
    /// A field is missing, unknown, or of another type.
    #[error("{0}")]
    Form(String),
    /// A value is outside its range.
    #[error("{0}")]
    Range(String),
    /// The included file is named by a path.
    #[error("has to name a file of the same folder")]
    IncludeOutsideFolder,
    /// A rule between fields is broken.
    #[error(transparent)]
    Rule(#[from] Rule),
}
