//! Unix time that advances with the system's monotonic clock.

use shalewall::{TimeDelta, Timestamp};
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The first reading: the same moment on both clocks.
#[derive(Clone, Copy)]
struct Origin {
    instant: Instant,
    unix_time: Timestamp,
}

static ORIGIN: OnceLock<Origin> = OnceLock::new();

fn origin() -> Origin {
    *ORIGIN.get_or_init(|| {
        // A wall clock before 1970 is treated as 1970.
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Origin {
            instant: Instant::now(),
            unix_time: Timestamp::from_micros(since_epoch.as_micros() as i64),
        }
    })
}

/// Returns the current time.
pub fn now() -> Timestamp {
    let origin = origin();
    let elapsed = origin.instant.elapsed().as_micros() as i64;
    origin.unix_time + TimeDelta::from_micros(elapsed)
}

/// Converts a time of this clock to an instant for system timers. A time before the first reading becomes the first
/// reading; one beyond the range of [`Instant`] becomes the current instant.
pub fn to_instant(time: Timestamp) -> Instant {
    let origin = origin();
    let since_origin = to_duration(time - origin.unix_time);
    origin
        .instant
        .checked_add(since_origin)
        .unwrap_or_else(Instant::now)
}

/// Converts a duration for system timers. A negative one becomes zero.
pub fn to_duration(time: TimeDelta) -> Duration {
    let micros = u64::try_from(time.as_micros()).unwrap_or(0);
    Duration::from_micros(micros)
}
