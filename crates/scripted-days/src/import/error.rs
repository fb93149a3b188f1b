//! Errors of importing a day file of the benchmark.

use thiserror::Error;

/// Error of importing a day file of the benchmark.
#[derive(Debug, Error)]
pub enum ImportError {
    /// The text is not valid JSON.
    #[error("is not valid JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A value of the day file is invalid.
    #[error("{path}: {problem}")]
    Value {
        /// Path of the value, such as `/classes/1/aim`.
        path: String,
        /// What is wrong with the value.
        problem: ValueProblem,
    },
}

/// Problem with a value of a day file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ValueProblem {
    /// Missing, or not a finite number.
    #[error("has to be a number")]
    NotANumber,
    /// Missing, or not a string.
    #[error("has to be a string")]
    NotAText,
    /// Missing, or not a list.
    #[error("has to be a list")]
    NotAList,
    /// A list that must not be empty is empty.
    #[error("is empty")]
    Empty,
    /// The list has no entry for a class at this position.
    #[error("is missing")]
    Missing,
    /// The day file belongs to another family.
    #[error("has to be \"streams\": days of other families cannot be imported")]
    NotOfStreams,
    /// No directors, or more than one machine can run.
    #[error("has to list 1 to 64 directors, which run as processes on one machine")]
    DirectorCount,
}
