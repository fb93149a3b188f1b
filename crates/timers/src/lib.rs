//! A queue of timers, ordered by due time. Timers that are due at the same time fire in the order in which they were
//! set.
//!
//! The queue holds no clock: the caller passes the current time to [`Timers::pop_due`]. It is generic over the type of
//! time as well as over the type that identifies a timer, and knows nothing of either beyond their order.

#![deny(missing_docs)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Pending timers. `T` says what a timer is for, `Time` is the type of the caller's timestamps.
#[derive(Debug)]
pub struct Timers<T, Time> {
    /// Due time, number in the order of setting, and timer; the earliest first.
    heap: BinaryHeap<Reverse<(Time, u64, T)>>,
    timers_set: u64,
}

impl<T: Ord, Time: Ord> Default for Timers<T, Time> {
    fn default() -> Timers<T, Time> {
        Timers {
            heap: BinaryHeap::new(),
            timers_set: 0,
        }
    }
}

impl<T: Ord, Time: Copy + Ord> Timers<T, Time> {
    /// Adds a timer that fires once, at `due` or at the first call of [`Timers::pop_due`] after it.
    pub fn set(&mut self, due: Time, timer: T) {
        self.timers_set += 1;
        self.heap.push(Reverse((due, self.timers_set, timer)));
    }

    /// When the earliest pending timer is due.
    pub fn next_due(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse((due, _, _))| *due)
    }

    /// Removes the earliest timer, if it is due at `now`.
    pub fn pop_due(&mut self, now: Time) -> Option<T> {
        if self.next_due()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, _, timer))| timer)
    }
}
