//! The complete settings object and its three parts.

use crate::module_settings::read_module_settings;
use crate::settings_object::SettingsObject;
use crate::{DriverLimits, Names, SettingError};
use serde_json::Value;
use shalewall::Settings;

/// The settings of one director.
#[derive(Clone, Debug, PartialEq)]
pub struct DirectorConfig {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names that messages use where the decision module uses indices.
    pub names: Names,
    /// Limits for the driver of the decision module.
    pub driver_limits: DriverLimits,
}

impl DirectorConfig {
    /// Reads the settings from JSON. Unknown keys are ignored; an optional key that is absent or `null` has its
    /// default.
    pub fn from_json(value: &Value) -> Result<DirectorConfig, SettingError> {
        if !value.is_object() {
            return Err(SettingError::root_is_not_an_object());
        }
        let object = SettingsObject::new(value);
        let mut names = Names {
            zones: object.texts("FailureDomains")?,
            machine_kinds: object.texts("Shapes")?,
            ..Names::default()
        };
        let settings = read_module_settings(object, &mut names)?;
        let driver_limits = DriverLimits::read(object)?;
        Ok(DirectorConfig {
            settings,
            names,
            driver_limits,
        })
    }
}
