//! A bounded list of the most recent items: adding one to a full list drops the oldest.

use std::collections::VecDeque;

/// The most recent `CAPACITY` items.
#[derive(Debug)]
pub(crate) struct Recent<T, const CAPACITY: usize>(VecDeque<T>);

impl<T, const CAPACITY: usize> Default for Recent<T, CAPACITY> {
    fn default() -> Recent<T, CAPACITY> {
        Recent(VecDeque::new())
    }
}

impl<T: PartialEq, const CAPACITY: usize> Recent<T, CAPACITY> {
    pub(crate) fn push(&mut self, item: T) {
        if self.0.len() >= CAPACITY {
            self.0.pop_front();
        }
        self.0.push_back(item);
    }

    pub(crate) fn contains(&self, item: &T) -> bool {
        self.0.contains(item)
    }

    /// Removes and returns the oldest item that matches.
    pub(crate) fn take(&mut self, is_match: impl Fn(&T) -> bool) -> Option<T> {
        let position = self.0.iter().position(is_match)?;
        self.0.remove(position)
    }
}
