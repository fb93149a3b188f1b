//! Typed access to values of the settings object by path, with errors that contain the path.

use crate::{SettingError, SettingProblem, time_delta_from_millis};
use serde_json::Value;
use shalewall::TimeDelta;

/// The settings object, or the object of one class or tenant in it. Paths are keys separated by dots; `null` counts as
/// absent.
#[derive(Clone, Copy)]
pub(crate) struct SettingsObject<'a> {
    value: &'a Value,
}

impl<'a> SettingsObject<'a> {
    pub fn new(value: &'a Value) -> SettingsObject<'a> {
        SettingsObject { value }
    }

    fn find(self, path: &str) -> Option<&'a Value> {
        let pointer = format!("/{}", path.replace('.', "/"));
        self.value.pointer(&pointer)
    }

    fn find_not_null(self, path: &str) -> Option<&'a Value> {
        self.find(path).filter(|value| !value.is_null())
    }

    /// Whether a path exists, even with the value `null`.
    pub fn contains(self, path: &str) -> bool {
        self.find(path).is_some()
    }

    /// An optional number.
    pub fn number(self, path: &str) -> Result<Option<f64>, SettingError> {
        let Some(value) = self.find_not_null(path) else {
            return Ok(None);
        };
        let number = value
            .as_f64()
            .ok_or_else(|| SettingError::new(path, SettingProblem::NotANumber))?;
        Ok(Some(number))
    }

    /// A number, or the default if it is absent.
    pub fn number_or(self, path: &str, default: f64) -> Result<f64, SettingError> {
        let number = self.number(path)?;
        Ok(number.unwrap_or(default))
    }

    /// A mandatory number.
    pub fn required_number(self, path: &str) -> Result<f64, SettingError> {
        self.number(path)?
            .ok_or_else(|| SettingError::new(path, SettingProblem::Missing))
    }

    /// A time in milliseconds; zero if it is absent.
    pub fn time_delta(self, path: &str) -> Result<TimeDelta, SettingError> {
        let millis = self.number_or(path, 0.0)?;
        Ok(time_delta_from_millis(millis))
    }

    /// A list; empty if it is absent.
    pub fn list(self, path: &str) -> Result<&'a [Value], SettingError> {
        let Some(value) = self.find_not_null(path) else {
            return Ok(&[]);
        };
        value
            .as_array()
            .map(Vec::as_slice)
            .ok_or_else(|| SettingError::new(path, SettingProblem::NotAList))
    }

    /// A list of objects; empty if it is absent.
    pub fn objects(
        self,
        path: &str,
    ) -> Result<impl Iterator<Item = SettingsObject<'a>> + use<'a>, SettingError> {
        let list = self.list(path)?;
        Ok(list.iter().map(SettingsObject::new))
    }

    /// A list of numbers; empty if it is absent.
    pub fn numbers(self, path: &str) -> Result<Vec<f64>, SettingError> {
        let not_a_number = || SettingError::new(path, SettingProblem::ElementNotANumber);
        let list = self.list(path)?.iter();
        list.map(|value| value.as_f64().ok_or_else(not_a_number))
            .collect()
    }

    /// A list of strings; empty if it is absent.
    pub fn texts(self, path: &str) -> Result<Vec<String>, SettingError> {
        let not_a_string = || SettingError::new(path, SettingProblem::ElementNotAString);
        let list = self.list(path)?.iter();
        list.map(|value| value.as_str().map(str::to_string).ok_or_else(not_a_string))
            .collect()
    }

    /// A string; `None` if it is absent or of another type.
    pub fn text(self, path: &str) -> Option<&'a str> {
        self.find(path)?.as_str()
    }

    /// Whether the value is `true`.
    pub fn flag(self, path: &str) -> bool {
        self.find(path).and_then(Value::as_bool).unwrap_or(false)
    }
}
