//! The order in which timers fire.

use shalewall_timers::Timers;

#[test]
fn timers_fire_in_order_of_due_time_then_of_insertion() {
    let mut timers = Timers::default();
    timers.set(20, "late");
    timers.set(10, "z set first");
    timers.set(10, "a set second");
    assert_eq!(timers.next_due(), Some(10));
    assert_eq!(timers.pop_due(9), None);
    assert_eq!(timers.pop_due(10), Some("z set first"));
    assert_eq!(timers.pop_due(25), Some("a set second"));
    assert_eq!(timers.pop_due(25), Some("late"));
    assert_eq!(timers.pop_due(25), None);
    assert_eq!(timers.next_due(), None);
}
