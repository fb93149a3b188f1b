//! The age of the events that an event loop handles.

use shalewall::{TimeDelta, Timestamp};
use shalewall_clock::LoopClock;

const MILLISECOND: TimeDelta = TimeDelta::from_millis(1);
const START: Timestamp = Timestamp::from_micros(1_700_000_000_000_000);

fn after(millis: i64) -> Timestamp {
    START + millis * MILLISECOND
}

/// A clock whose first turn took 2 ms.
fn waiting_clock() -> LoopClock {
    let clock = LoopClock::new(START);
    clock.end_turn(after(2));
    clock
}

#[test]
fn events_that_end_a_wait_have_just_happened() {
    let clock = waiting_clock();
    assert!(!clock.begin_turn(after(200), Some(after(250))));
    assert_eq!(clock.unseen_since(), after(200));
}

#[test]
fn events_after_a_late_timer_may_have_happened_during_the_whole_wait() {
    let clock = waiting_clock();
    assert!(clock.begin_turn(after(900), Some(after(250))));
    assert_eq!(clock.unseen_since(), after(2));
    assert_eq!(clock.take_longest_pause(), 650 * MILLISECOND);
    assert_eq!(clock.take_longest_pause(), TimeDelta::ZERO);
}

#[test]
fn events_of_a_busy_loop_may_have_happened_in_the_turn_before() {
    let clock = waiting_clock();
    clock.begin_turn(after(100), None);
    clock.end_turn(after(180));
    clock.begin_turn(after(180), None);
    assert_eq!(clock.unseen_since(), after(100));
}

#[test]
fn a_timer_that_became_due_in_a_long_turn_is_no_pause() {
    let clock = waiting_clock();
    clock.begin_turn(after(100), None);
    clock.end_turn(after(180));
    clock.begin_turn(after(180), Some(after(120)));
    assert_eq!(clock.take_longest_pause(), TimeDelta::ZERO);
}
