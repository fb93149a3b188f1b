//! Lengths of time: files give milliseconds, module and engine take microseconds.

use shalewall::{Micros, TimeDelta};

/// A length of time from the milliseconds of a settings file.
pub fn from_millis(millis: f64) -> TimeDelta {
    TimeDelta::from_micros(micros_from_millis(millis))
}

/// A length of time from the seconds of a settings file.
pub fn from_seconds(seconds: f64) -> TimeDelta {
    from_millis(seconds * 1000.0)
}

/// Milliseconds as microseconds, for those who still count in bare integers.
pub fn micros_from_millis(millis: f64) -> Micros {
    (millis * 1000.0).round() as Micros
}
