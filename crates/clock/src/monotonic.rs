//! Unix time, counted by the monotonic clock of the system.

use shalewall::{TimeDelta, Timestamp};
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The first reading: one moment on both clocks.
#[derive(Clone, Copy)]
struct Origin {
    instant: Instant,
    unix_time: Timestamp,
}

static ORIGIN: OnceLock<Origin> = OnceLock::new();

fn origin() -> Origin {
    *ORIGIN.get_or_init(|| {
        // A wall clock before 1970 counts as 1970.
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Origin {
            instant: Instant::now(),
            unix_time: Timestamp::from_micros(since_epoch.as_micros() as i64),
        }
    })
}

/// The present time, from 1970 on.
pub fn now() -> Timestamp {
    let origin = origin();
    let elapsed = origin.instant.elapsed().as_micros() as i64;
    origin.unix_time + TimeDelta::from_micros(elapsed)
}

/// The instant of a time of this clock, for timers of the system. A time before the first reading gives that of the
/// first reading; one beyond the range of [`Instant`] gives the present.
pub fn to_instant(time: Timestamp) -> Instant {
    let origin = origin();
    let since_origin = to_duration(time - origin.unix_time);
    origin
        .instant
        .checked_add(since_origin)
        .unwrap_or_else(Instant::now)
}

/// A length of time for timers of the system. A negative one gives zero.
pub fn to_duration(time: TimeDelta) -> Duration {
    let micros = u64::try_from(time.as_micros()).unwrap_or(0);
    Duration::from_micros(micros)
}
