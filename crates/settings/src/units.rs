//! Conversion of durations: files use milliseconds and seconds, the decision module and the engine microseconds.

use shalewall::{Micros, TimeDelta};

/// Converts milliseconds of a settings file to a duration.
pub fn from_millis(millis: f64) -> TimeDelta {
    TimeDelta::from_micros(micros_from_millis(millis))
}

/// Converts seconds of a settings file to a duration.
pub fn from_seconds(seconds: f64) -> TimeDelta {
    from_millis(seconds * 1000.0)
}

/// Converts milliseconds to microseconds, for code that uses integers in place of [`TimeDelta`].
pub fn micros_from_millis(millis: f64) -> Micros {
    (millis * 1000.0).round() as Micros
}
