//! Serde form of [`TimeDelta`] in files: a bare integer of microseconds.

use serde::{Deserialize, Deserializer, Serializer};
use shalewall::TimeDelta;

pub fn serialize<S: Serializer>(delta: &TimeDelta, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_i64(delta.as_micros())
}

pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<TimeDelta, D::Error> {
    i64::deserialize(deserializer).map(TimeDelta::from_micros)
}

/// The same for a list.
pub fn serialize_list<S: Serializer>(
    deltas: &[TimeDelta],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(deltas.iter().map(|delta| delta.as_micros()))
}
