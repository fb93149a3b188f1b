//! Serde modules that store [`TimeDelta`] and [`Timestamp`](shalewall::Timestamp) as integers of microseconds.

use serde::{Deserialize, Deserializer, Serializer};
use shalewall::TimeDelta;

pub fn serialize<S: Serializer>(delta: &TimeDelta, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_i64(delta.as_micros())
}

pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<TimeDelta, D::Error> {
    i64::deserialize(deserializer).map(TimeDelta::from_micros)
}

/// Serializes a list of durations as integers of microseconds.
pub fn serialize_list<S: Serializer>(
    deltas: &[TimeDelta],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(deltas.iter().map(|delta| delta.as_micros()))
}

/// Serde module for a timestamp.
pub mod timestamp {
    use serde::{Deserialize, Deserializer, Serializer};
    use shalewall::Timestamp;

    pub fn serialize<S: Serializer>(time: &Timestamp, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_i64(time.as_micros())
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Timestamp, D::Error> {
        i64::deserialize(deserializer).map(Timestamp::from_micros)
    }
}

/// Serde module for an optional timestamp.
pub mod optional_timestamp {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use shalewall::Timestamp;

    pub fn serialize<S: Serializer>(
        time: &Option<Timestamp>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        time.map(Timestamp::as_micros).serialize(serializer)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Timestamp>, D::Error> {
        let micros = Option::<i64>::deserialize(deserializer)?;
        Ok(micros.map(Timestamp::from_micros))
    }
}
