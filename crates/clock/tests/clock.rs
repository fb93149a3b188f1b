//! The clock compared with the system's clocks, and the timeout driver.

use futures_lite::future;
use shalewall::{TimeDelta, Timestamp};
use shalewall_clock::{TimeoutDriver, now, to_duration, to_instant};
use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[test]
fn the_clock_returns_unix_time_and_is_monotonic() {
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let difference = now().as_micros() - unix_time.as_micros() as i64;
    assert!(difference.abs() < 5_000_000, "{difference} us");
    let readings: Vec<_> = (0..1000).map(|_| now()).collect();
    assert!(readings.is_sorted());
}

#[test]
fn times_are_converted_to_instants() {
    let time = now();
    let later = to_instant(time + TimeDelta::from_secs(3));
    assert_eq!(later - to_instant(time), Duration::from_secs(3));
    assert!(to_instant(Timestamp::ZERO) <= Instant::now());
    assert!(to_instant(time) <= Instant::now());
    // About 290,000 years from now, which may exceed the range of an instant, must not cause a panic.
    let _ = to_instant(Timestamp::MAX);
}

#[test]
fn time_deltas_are_converted_to_durations() {
    assert_eq!(
        to_duration(TimeDelta::from_micros(1_500_001)),
        Duration::from_micros(1_500_001)
    );
    assert_eq!(to_duration(TimeDelta::ZERO), Duration::ZERO);
    assert_eq!(to_duration(TimeDelta::from_micros(-1)), Duration::ZERO);
}

#[test]
fn timeouts_are_handled_in_order_and_not_early() {
    let start = now();
    let at = |millis| start + TimeDelta::from_millis(millis);
    // A third timer, which is due first, is set while the driver waits for another.
    let timers = RefCell::new(vec![at(40), at(60)]);
    let next_timeout = || timers.borrow().iter().min().copied();
    let handled = RefCell::new(Vec::new());
    let done = Cell::new(false);
    let driver = TimeoutDriver::default();
    let handle_timeout = || {
        let due = next_timeout().unwrap();
        assert!(now() >= due);
        timers.borrow_mut().retain(|timer| *timer != due);
        handled.borrow_mut().push(due);
        done.set(timers.borrow().is_empty());
    };
    let input = async {
        future::yield_now().await;
        timers.borrow_mut().push(at(20));
        driver.update(next_timeout());
        while !done.get() {
            async_io::Timer::after(Duration::from_millis(1)).await;
        }
    };
    let run = async {
        driver.run(next_timeout, handle_timeout).await;
    };
    async_io::block_on(future::or(run, input));
    assert_eq!(*handled.borrow(), [at(20), at(40), at(60)]);
}
