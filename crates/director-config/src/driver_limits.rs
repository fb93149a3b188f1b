//! Limits of the decision module's driver: its connections and its pending requests.

use crate::SettingError;
use crate::settings_object::SettingsObject;
use shalewall::TimeDelta;

/// Limits of a director's driver. A time that is absent from the settings, or not positive, is `None`; the driver then
/// uses its own default.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DriverLimits {
    /// Time limit for establishing a connection.
    pub connect_timeout: Option<TimeDelta>,
    /// Time without traffic after which the other side closes a connection.
    pub idle_timeout: Option<TimeDelta>,
    /// The maximum time that viewers of any class wait for an answer.
    pub max_viewer_wait: Option<TimeDelta>,
    /// Maximum number of concurrent requests.
    pub max_open_requests: usize,
}

impl Default for DriverLimits {
    fn default() -> DriverLimits {
        DriverLimits {
            connect_timeout: None,
            idle_timeout: None,
            max_viewer_wait: None,
            max_open_requests: usize::MAX,
        }
    }
}

impl DriverLimits {
    pub(crate) fn read(object: SettingsObject<'_>) -> Result<DriverLimits, SettingError> {
        let mut max_viewer_wait = TimeDelta::ZERO;
        for class in object.objects("Categories")? {
            max_viewer_wait = max_viewer_wait.max(class.time_delta("GiveUp")?);
        }
        let connect_timeout = object.time_delta("Limits.ConnectTimeout")?;
        let idle_timeout = object.time_delta("Limits.ConnIdle")?;
        let max_open_requests = object.number("Limits.MaxOpen")?;
        Ok(DriverLimits {
            connect_timeout: positive(connect_timeout),
            idle_timeout: positive(idle_timeout),
            max_viewer_wait: positive(max_viewer_wait),
            max_open_requests: max_open_requests.map_or(usize::MAX, |count| count as usize),
        })
    }
}

fn positive(time: TimeDelta) -> Option<TimeDelta> {
    Some(time).filter(|time| *time > TimeDelta::ZERO)
}
