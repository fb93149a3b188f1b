//! How long ago the events may have happened that an event loop handles now.
//!
//! An event loop polls its sockets between two turns. It can't see when an event happened that it handles late, because
//! the process was suspended, waited for a processor, or was busy with other events. A late timer shows the first two.

use shalewall::{TimeDelta, Timestamp};
use std::cell::Cell;

/// A timer that fires later than this after its due time shows that the process did not run meanwhile.
const LATENESS_TOLERANCE: TimeDelta = TimeDelta::from_millis(10);
/// A loop that waits for less than this is busy: the events that it handles next may have happened in the turn before.
const BUSY_WAIT: TimeDelta = TimeDelta::from_millis(1);

/// Records the turns of one event loop.
#[derive(Debug)]
pub struct LoopClock {
    turn_started_at: Cell<Timestamp>,
    turn_ended_at: Cell<Timestamp>,
    unseen_since: Cell<Timestamp>,
    longest_pause: Cell<TimeDelta>,
}

impl LoopClock {
    /// Starts with the loop's first turn.
    pub fn new(now: Timestamp) -> LoopClock {
        LoopClock {
            turn_started_at: Cell::new(now),
            turn_ended_at: Cell::new(now),
            unseen_since: Cell::new(now),
            longest_pause: Cell::new(TimeDelta::ZERO),
        }
    }

    /// Records that the loop has waited for events and begins to handle them. `next_timeout` is the due time of the
    /// timer for which it waited. Returns whether the process did not run meanwhile.
    pub fn begin_turn(&self, now: Timestamp, next_timeout: Option<Timestamp>) -> bool {
        let waiting_since = self.turn_ended_at.get();
        let lateness = next_timeout.map_or(TimeDelta::ZERO, |due| now - due.max(waiting_since));
        let was_paused = lateness > LATENESS_TOLERANCE;
        let unseen_since = if was_paused {
            self.longest_pause
                .set(self.longest_pause.get().max(lateness));
            waiting_since
        } else if now - waiting_since < BUSY_WAIT {
            self.turn_started_at.get()
        } else {
            now
        };
        self.unseen_since.set(unseen_since);
        self.turn_started_at.set(now);
        was_paused
    }

    /// Records that the loop is about to wait for events.
    pub fn end_turn(&self, now: Timestamp) {
        self.turn_ended_at.set(now);
    }

    /// Time since which the events of the current turn may have happened.
    pub fn unseen_since(&self) -> Timestamp {
        self.unseen_since.get()
    }

    /// The longest known time for which the process did not run, since the previous call.
    pub fn take_longest_pause(&self) -> TimeDelta {
        self.longest_pause.replace(TimeDelta::ZERO)
    }
}
