//! A queue of timers, ordered by due time. Timers that are due at the same time fire in the order in which they were
//! set.
//!
//! The queue reads no clock: the caller passes the current time to [`Timers::pop_due`]. It is generic over the type of
//! time and over the type that identifies a timer, and requires only that both are ordered.

#![deny(missing_docs)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Pending timers. `T` identifies a timer, `Time` is the type of the caller's timestamps.
#[derive(Debug)]
pub struct Timers<T, Time> {
    /// Due time, sequence number and timer, with the earliest first.
    heap: BinaryHeap<Reverse<(Time, u64, T)>>,
    last_sequence: u64,
}

impl<T: Ord, Time: Ord> Default for Timers<T, Time> {
    fn default() -> Timers<T, Time> {
        Timers {
            heap: BinaryHeap::new(),
            last_sequence: 0,
        }
    }
}

impl<T: Ord, Time: Copy + Ord> Timers<T, Time> {
    /// Adds a timer that fires once, at `due` or at the first call of [`Timers::pop_due`] after it.
    pub fn set(&mut self, due: Time, timer: T) {
        self.last_sequence += 1;
        self.heap.push(Reverse((due, self.last_sequence, timer)));
    }

    /// Number of pending timers.
    pub fn len(&self) -> usize {
        self.heap.len()
    }

    /// Whether no timer is pending.
    pub fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    /// Removes the timers that are not needed any more. It visits all of them.
    pub fn retain(&mut self, mut is_needed: impl FnMut(&T) -> bool) {
        self.heap.retain(|Reverse((_, _, timer))| is_needed(timer));
    }

    /// Returns the due time of the earliest pending timer.
    pub fn next_due(&self) -> Option<Time> {
        self.heap.peek().map(|Reverse((due, _, _))| *due)
    }

    /// Removes and returns the earliest timer if it is due at `now`.
    pub fn pop_due(&mut self, now: Time) -> Option<T> {
        if self.next_due()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, _, timer))| timer)
    }
}
