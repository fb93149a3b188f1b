//! Gaps in a player's picture.

use shalewall::{TimeDelta, Timestamp};
use shalewall_fleet_model::playhead::{Gap, Playhead};

const MS: TimeDelta = TimeDelta::from_millis(1);
const START: Timestamp = Timestamp::ZERO;

/// Frames of 100 ms, from the first to before the last, at once.
fn feed(head: &mut Playhead, now: TimeDelta, frames: std::ops::Range<i64>) {
    frames.for_each(|n| head.receive(START + now, n * 100 * MS, 100 * MS));
}

#[test]
fn it_stands_still_for_as_long_as_nothing_comes_behind_its_buffer() {
    let mut head = Playhead::new(TimeDelta::ZERO, 300 * MS);
    feed(&mut head, TimeDelta::ZERO, 0..2);
    assert!(!head.has_started());
    feed(&mut head, 50 * MS, 2..4);
    assert_eq!(
        (head.has_started(), head.buffered(START + 150 * MS)),
        (true, 300 * MS)
    );
    assert_eq!(head.dry_at(), Some(START + 450 * MS));
    // 137 ms too late, and then in time again.
    feed(&mut head, 587 * MS, 4..6);
    assert_eq!(
        head.take_gaps(),
        [Gap {
            at: START + 450 * MS,
            length: 137 * MS
        }]
    );
    assert_eq!(head.buffered(START + 600 * MS), 187 * MS);
    feed(&mut head, 700 * MS, 6..20);
    head.advance(START + 2 * 1000 * MS);
    assert_eq!((head.take_gaps(), head.stalled_since()), (vec![], None));
    head.advance(START + 3 * 1000 * MS);
    assert_eq!(head.stalled_since(), Some(START + 2187 * MS));
}

#[test]
fn what_comes_twice_is_shown_once_and_what_is_left_out_is_a_gap() {
    let mut head = Playhead::new(TimeDelta::ZERO, 100 * MS);
    feed(&mut head, TimeDelta::ZERO, 0..5);
    feed(&mut head, 100 * MS, 2..6);
    assert_eq!(head.buffered(START + 100 * MS), 500 * MS);
    feed(&mut head, 100 * MS, 8..9);
    assert_eq!(
        head.take_gaps(),
        [Gap {
            at: START + 100 * MS,
            length: 200 * MS
        }]
    );
    assert_eq!(
        head.buffered(START + 100 * MS),
        600 * MS,
        "what is missing is not there to be shown"
    );
}
