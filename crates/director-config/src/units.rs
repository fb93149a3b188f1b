//! Times in messages and settings: milliseconds with fractions.

use shalewall::TimeDelta;

/// Maximum magnitude of a time, in microseconds: about 3,000 years. No clock reaches it, and several such times can be
/// added without overflow.
pub const MAX_TIME_MICROS: i64 = 100_000_000_000_000_000;

const MICROS_PER_MILLI: f64 = 1000.0;

/// Converts milliseconds to a duration, rounded to microseconds and clamped to [`MAX_TIME_MICROS`] in both directions.
/// NaN becomes zero.
pub fn time_delta_from_millis(millis: f64) -> TimeDelta {
    let micros = (millis * MICROS_PER_MILLI).round() as i64;
    TimeDelta::from_micros(micros.clamp(-MAX_TIME_MICROS, MAX_TIME_MICROS))
}
