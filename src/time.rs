//! Timestamps and durations in whole microseconds.
//!
//! The state machines of this workspace read no clock: each call takes the current time as an argument. The
//! two types prevent adding two timestamps and comparing a timestamp with a duration. Both are signed, since
//! a difference may be negative, and arithmetic is that of `i64`. Text, wire and stored formats convert with
//! `from_micros` and `as_micros`.

use std::iter::Sum;
use std::ops::{Add, AddAssign, Div, Mul, Neg, Rem, Sub, SubAssign};

const MICROS_PER_MILLI: i64 = 1_000;
const MICROS_PER_SECOND: i64 = 1_000_000;

/// A point in time of the caller's clock, which may start at any value but must not go backwards.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(i64);

/// A duration, or the signed difference of two timestamps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeDelta(i64);

impl Timestamp {
    /// The clock's zero.
    pub const ZERO: Timestamp = Timestamp(0);
    /// The latest timestamp.
    pub const MAX: Timestamp = Timestamp(i64::MAX);

    /// The timestamp this number of microseconds after the clock's zero.
    pub const fn from_micros(micros: i64) -> Timestamp {
        Timestamp(micros)
    }

    /// Microseconds since the clock's zero.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// The latest multiple of `step` that is not later than this timestamp, which must not be negative.
    pub const fn round_down(self, step: TimeDelta) -> Timestamp {
        Timestamp(self.0 - self.0 % step.0)
    }

    /// Adds a duration, saturating at the numeric bounds.
    pub const fn saturating_add(self, delta: TimeDelta) -> Timestamp {
        Timestamp(self.0.saturating_add(delta.0))
    }
}

impl TimeDelta {
    /// The zero duration.
    pub const ZERO: TimeDelta = TimeDelta(0);
    /// The longest duration.
    pub const MAX: TimeDelta = TimeDelta(i64::MAX);

    /// A duration in microseconds.
    pub const fn from_micros(micros: i64) -> TimeDelta {
        TimeDelta(micros)
    }

    /// A duration in milliseconds.
    pub const fn from_millis(millis: i64) -> TimeDelta {
        TimeDelta(millis * MICROS_PER_MILLI)
    }

    /// A duration in seconds.
    pub const fn from_secs(seconds: i64) -> TimeDelta {
        TimeDelta(seconds * MICROS_PER_SECOND)
    }

    /// This duration in microseconds.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// This duration in whole milliseconds, rounded towards zero.
    pub const fn as_millis(self) -> i64 {
        self.0 / MICROS_PER_MILLI
    }

    /// This duration in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }

    /// Adds two durations, saturating at the numeric bounds.
    pub const fn saturating_add(self, other: TimeDelta) -> TimeDelta {
        TimeDelta(self.0.saturating_add(other.0))
    }

    /// Multiplies by a factor, saturating at the numeric bounds.
    pub const fn saturating_mul(self, factor: i64) -> TimeDelta {
        TimeDelta(self.0.saturating_mul(factor))
    }
}

impl Add<TimeDelta> for Timestamp {
    type Output = Timestamp;

    fn add(self, delta: TimeDelta) -> Timestamp {
        Timestamp(self.0 + delta.0)
    }
}

impl Sub<TimeDelta> for Timestamp {
    type Output = Timestamp;

    fn sub(self, delta: TimeDelta) -> Timestamp {
        Timestamp(self.0 - delta.0)
    }
}

impl Sub for Timestamp {
    type Output = TimeDelta;

    fn sub(self, earlier: Timestamp) -> TimeDelta {
        TimeDelta(self.0 - earlier.0)
    }
}

impl AddAssign<TimeDelta> for Timestamp {
    fn add_assign(&mut self, delta: TimeDelta) {
        self.0 += delta.0;
    }
}

impl Add for TimeDelta {
    type Output = TimeDelta;

    fn add(self, other: TimeDelta) -> TimeDelta {
        TimeDelta(self.0 + other.0)
    }
}

impl Sub for TimeDelta {
    type Output = TimeDelta;

    fn sub(self, other: TimeDelta) -> TimeDelta {
        TimeDelta(self.0 - other.0)
    }
}

impl AddAssign for TimeDelta {
    fn add_assign(&mut self, other: TimeDelta) {
        self.0 += other.0;
    }
}

impl SubAssign for TimeDelta {
    fn sub_assign(&mut self, other: TimeDelta) {
        self.0 -= other.0;
    }
}

impl Neg for TimeDelta {
    type Output = TimeDelta;

    fn neg(self) -> TimeDelta {
        TimeDelta(-self.0)
    }
}

impl Mul<i64> for TimeDelta {
    type Output = TimeDelta;

    fn mul(self, factor: i64) -> TimeDelta {
        TimeDelta(self.0 * factor)
    }
}

impl Mul<TimeDelta> for i64 {
    type Output = TimeDelta;

    fn mul(self, delta: TimeDelta) -> TimeDelta {
        delta * self
    }
}

impl Div<i64> for TimeDelta {
    type Output = TimeDelta;

    fn div(self, divisor: i64) -> TimeDelta {
        TimeDelta(self.0 / divisor)
    }
}

impl Rem for TimeDelta {
    type Output = TimeDelta;

    fn rem(self, step: TimeDelta) -> TimeDelta {
        TimeDelta(self.0 % step.0)
    }
}

impl Sum for TimeDelta {
    fn sum<I: Iterator<Item = TimeDelta>>(deltas: I) -> TimeDelta {
        TimeDelta(deltas.map(|delta| delta.0).sum())
    }
}
