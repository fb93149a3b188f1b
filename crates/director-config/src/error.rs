//! Errors of settings objects: the path of an invalid value, and the problem.

/// The path of the settings object itself in messages.
const ROOT: &str = "Setup";

/// An invalid setting. No part of a settings object with an invalid setting is used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {problem}")]
pub struct SettingError {
    /// Keys and list indices from the root on, as in `Setup.Limits.MaxOpen`. For a setting of one class or tenant the
    /// path starts there, as in `Setup.Target`.
    pub path: String,
    /// The problem with the value.
    pub problem: SettingProblem,
}

/// The problem with a setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingProblem {
    /// The settings are not an object.
    #[error("is not an object")]
    NotAnObject,
    /// A mandatory setting is absent.
    #[error("is missing")]
    Missing,
    /// The value is not a number.
    #[error("is not a number")]
    NotANumber,
    /// The value is not a list.
    #[error("is not a list")]
    NotAList,
    /// A list of numbers has an element of another type.
    #[error("contains an element that is not a number")]
    ElementNotANumber,
    /// A list of names has an element that is not a string.
    #[error("contains an element that is not a string")]
    ElementNotAString,
}

impl SettingError {
    pub(crate) fn new(path: &str, problem: SettingProblem) -> SettingError {
        SettingError {
            path: format!("{ROOT}.{path}"),
            problem,
        }
    }

    pub(crate) fn root_is_not_an_object() -> SettingError {
        SettingError {
            path: ROOT.to_string(),
            problem: SettingProblem::NotAnObject,
        }
    }
}
