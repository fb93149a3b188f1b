//! The one clock of the program: unix time at the first reading, and steady steps from there.
//!
//! Times of processes on one machine can be compared, as recordings need, and a wall clock that is set back
//! moves nothing. What this crate may know: the machine's clocks. Only what drives a state machine asks it;
//! the state machines themselves take the time as an argument. [`Alarm`] rings their timers for whoever drives them.

mod alarm;

pub use alarm::Alarm;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static START: OnceLock<(Instant, i64)> = OnceLock::new();

fn start() -> (Instant, i64) {
    *START.get_or_init(|| {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        (Instant::now(), unix.as_micros() as i64)
    })
}

/// Microseconds since 1970.
pub fn now() -> i64 {
    let (at, unix) = start();
    unix + at.elapsed().as_micros() as i64
}

/// The instant of a time of this clock, for timers. A time of the past gives now.
pub fn instant(t: i64) -> Instant {
    let (at, unix) = start();
    let after = u64::try_from(t - unix).unwrap_or(0);
    at.checked_add(Duration::from_micros(after))
        .unwrap_or_else(Instant::now)
        .max(at)
}
