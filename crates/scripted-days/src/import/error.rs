//! Why a day file of the bench can't be turned into a script.

use thiserror::Error;

/// Why a day file of the bench can't be turned into a script.
#[derive(Debug, Error)]
pub enum ImportError {
    /// The text is not JSON.
    #[error("is not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A value of it is wrong.
    #[error("{path}: {problem}")]
    Value {
        /// Where the value is, as `/classes/1/aim`.
        path: String,
        /// What would be right.
        problem: ValueProblem,
    },
}

/// What is wrong with a value of a day file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ValueProblem {
    /// Missing, or not a finite number.
    #[error("has to be a number")]
    NotANumber,
    /// Missing, or not a text.
    #[error("has to be a text")]
    NotAText,
    /// Missing, or not a list.
    #[error("has to be a list")]
    NotAList,
    /// A list that needs an entry has none.
    #[error("is empty")]
    Empty,
    /// There is nothing for a class of this position.
    #[error("is missing")]
    Missing,
    /// A day of another family.
    #[error("only days of streams have a counterpart")]
    NotOfStreams,
    /// More directors than one machine runs, or none.
    #[error("1 to 64 directors can be run as processes of one machine")]
    DirectorCount,
}
