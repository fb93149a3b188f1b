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

#[test]
fn removed_timers_do_not_fire_and_the_others_keep_their_order() {
    let mut timers = Timers::default();
    for (due, timer) in [(30, 3), (10, 1), (20, 2), (20, 4), (10, 5)] {
        timers.set(due, timer);
    }
    timers.retain(|timer| *timer != 1 && *timer != 2);
    assert_eq!((timers.len(), timers.is_empty()), (3, false));
    let fired: Vec<_> = std::iter::from_fn(|| timers.pop_due(30)).collect();
    assert_eq!(fired, [5, 4, 3]);
    assert!(timers.is_empty());
}
