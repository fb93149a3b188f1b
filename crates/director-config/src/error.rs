//! Why a settings object can't be used: the path of the value, and what is wrong with it.

/// The path that the object goes by in messages.
const ROOT: &str = "Setup";

/// A setting that can't be used. Nothing is taken of an object that has one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {problem}")]
pub struct SettingError {
    /// Keys and places from the object on, as `Setup.Limits.MaxOpen`. Settings of one class or tenant are named from
    /// that on, as `Setup.Target`.
    pub path: String,
    /// What is wrong there.
    pub problem: SettingProblem,
}

/// What is wrong with a setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingProblem {
    /// The settings are given as something else than an object.
    #[error("is not an object")]
    NotAnObject,
    /// A setting without a default is absent.
    #[error("is missing")]
    Missing,
    /// A number was expected.
    #[error("is not a number")]
    NotANumber,
    /// A list was expected.
    #[error("is not a list")]
    NotAList,
    /// A list of numbers was expected.
    #[error("contains an element that is not a number")]
    ElementNotANumber,
    /// A list of names was expected.
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
