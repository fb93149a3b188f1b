//! Limits that bind the driver of the decision module: its connections and its table of requests.

use crate::SettingError;
use crate::settings_object::SettingsObject;
use shalewall::TimeDelta;

/// Limits on how a director goes about its work. A time that the settings lack, or that is not above zero, is none;
/// the driver then uses a default of its own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DriverLimits {
    /// A connection that is not established within this has failed.
    pub connect_timeout: Option<TimeDelta>,
    /// Connections without traffic are closed by the other side after this.
    pub idle_timeout: Option<TimeDelta>,
    /// The longest that a viewer of any class waits for its answer.
    pub max_viewer_wait: Option<TimeDelta>,
    /// Requests that may be open at once.
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
            connect_timeout: above_zero(connect_timeout),
            idle_timeout: above_zero(idle_timeout),
            max_viewer_wait: above_zero(max_viewer_wait),
            max_open_requests: max_open_requests.map_or(usize::MAX, |count| count as usize),
        })
    }
}

fn above_zero(time: TimeDelta) -> Option<TimeDelta> {
    Some(time).filter(|time| *time > TimeDelta::ZERO)
}
