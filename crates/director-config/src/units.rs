//! Times as messages and settings write them: milliseconds, with fractions.

use shalewall::TimeDelta;

/// Longest time that is told apart, in microseconds: some 3,000 years. No clock reaches it, and
/// several of them can still be added up.
pub const MAX_TIME_MICROS: i64 = 100_000_000_000_000_000;

const MICROS_PER_MILLI: f64 = 1000.0;

/// A length of time from milliseconds, rounded to microseconds and kept within [`MAX_TIME_MICROS`] on either side.
/// Not a number stands for no time.
pub fn time_delta_from_millis(millis: f64) -> TimeDelta {
    let micros = (millis * MICROS_PER_MILLI).round() as i64;
    TimeDelta::from_micros(micros.clamp(-MAX_TIME_MICROS, MAX_TIME_MICROS))
}
