//! Tests for playback gaps.

use shalewall::{TimeDelta, Timestamp};
use shalewall_fleet_model::playhead::{Gap, Playhead};

const MS: TimeDelta = TimeDelta::from_millis(1);
const START: Timestamp = Timestamp::ZERO;

/// Receives a range of 100 ms frames, all at the time `now`.
fn receive_frames(head: &mut Playhead, now: TimeDelta, frames: std::ops::Range<i64>) {
    frames.for_each(|n| head.receive(START + now, n * 100 * MS, 100 * MS));
}

#[test]
fn playback_stalls_from_an_empty_buffer_until_the_next_frame() {
    let mut head = Playhead::new(TimeDelta::ZERO, 300 * MS);
    receive_frames(&mut head, TimeDelta::ZERO, 0..2);
    assert!(!head.has_started());
    receive_frames(&mut head, 50 * MS, 2..4);
    assert_eq!(
        (head.has_started(), head.buffered(START + 150 * MS)),
        (true, 300 * MS)
    );
    assert_eq!(head.underrun_at(), Some(START + 450 * MS));
    // The next frames arrive 137 ms after the buffer became empty; later ones arrive in time.
    receive_frames(&mut head, 587 * MS, 4..6);
    assert_eq!(
        head.take_gaps(),
        [Gap {
            at: START + 450 * MS,
            length: 137 * MS
        }]
    );
    assert_eq!(head.buffered(START + 600 * MS), 187 * MS);
    receive_frames(&mut head, 700 * MS, 6..20);
    head.advance(START + 2 * 1000 * MS);
    assert_eq!((head.take_gaps(), head.stalled_since()), (vec![], None));
    head.advance(START + 3 * 1000 * MS);
    assert_eq!(head.stalled_since(), Some(START + 2187 * MS));
}

#[test]
fn duplicate_frames_are_ignored_and_missing_frames_are_a_gap() {
    let mut head = Playhead::new(TimeDelta::ZERO, 100 * MS);
    receive_frames(&mut head, TimeDelta::ZERO, 0..5);
    receive_frames(&mut head, 100 * MS, 2..6);
    assert_eq!(head.buffered(START + 100 * MS), 500 * MS);
    receive_frames(&mut head, 100 * MS, 8..9);
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
        "missing frames must not count as buffered"
    );
}
