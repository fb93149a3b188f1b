//! Timers in the order in which they are due; equal times ring in the order in which they were set.
//!
//! What this crate may know: times that it is given. What it must not: a clock, or what a timer is for.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A point on the caller's clock, in microseconds.
type Micros = i64;

/// What is due when.
#[derive(Debug)]
pub struct Timers<T> {
    heap: BinaryHeap<Reverse<(Micros, u64, T)>>,
    set: u64,
}

impl<T: Ord> Default for Timers<T> {
    fn default() -> Timers<T> {
        Timers {
            heap: BinaryHeap::new(),
            set: 0,
        }
    }
}

impl<T: Ord> Timers<T> {
    /// Rings once at `due`, or at the next look after it.
    pub fn set(&mut self, due: Micros, what: T) {
        self.set += 1;
        self.heap.push(Reverse((due, self.set, what)));
    }

    /// When the next one is due.
    pub fn next(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse((due, _, _))| *due)
    }

    /// The next one that is due.
    pub fn pop(&mut self, now: Micros) -> Option<T> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, _, what))| what)
    }
}
