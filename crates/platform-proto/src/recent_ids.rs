//! A bounded set of the most recent ids: adding one to a full set drops the oldest.

use crate::HexId;
use std::collections::{BTreeSet, VecDeque};

/// The most recent `CAPACITY` ids.
#[derive(Debug)]
pub(crate) struct RecentIds<const CAPACITY: usize> {
    /// Oldest first.
    order: VecDeque<HexId>,
    ids: BTreeSet<HexId>,
}

impl<const CAPACITY: usize> Default for RecentIds<CAPACITY> {
    fn default() -> RecentIds<CAPACITY> {
        RecentIds {
            order: VecDeque::new(),
            ids: BTreeSet::new(),
        }
    }
}

impl<const CAPACITY: usize> RecentIds<CAPACITY> {
    /// Adds an id; one that is contained keeps its place.
    pub(crate) fn insert(&mut self, id: HexId) {
        if !self.ids.insert(id) {
            return;
        }
        if self.order.len() >= CAPACITY
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
        }
        self.order.push_back(id);
    }

    pub(crate) fn contains(&self, id: HexId) -> bool {
        self.ids.contains(&id)
    }
}
