//! State of a node over time, from changes recorded in order of time.

use shalewall::{TimeDelta, Timestamp};

/// Time after which a load record is stale.
const LOAD_VALIDITY: TimeDelta = TimeDelta::from_millis(1500);
/// A node has capacity below these fractions of its link, its uplink and its streams.
const CAPACITY_LIMIT: Load = Load {
    link: 0.85,
    uplink: 0.85,
    streams: 0.95,
};

/// Demand on a node, as fractions of its capacity.
#[derive(Clone, Copy)]
pub(super) struct Load {
    pub link: f64,
    pub uplink: f64,
    pub streams: f64,
}

impl Load {
    fn below(self, limit: Load) -> bool {
        self.link < limit.link && self.uplink < limit.uplink && self.streams < limit.streams
    }
}

/// A value that changes, with the times of its changes.
pub(super) struct Changes<T>(Vec<Change<T>>);

struct Change<T> {
    time: Timestamp,
    value: T,
}

impl<T> Default for Changes<T> {
    fn default() -> Changes<T> {
        Changes(Vec::new())
    }
}

impl<T: Copy> Changes<T> {
    pub fn push(&mut self, time: Timestamp, value: T) {
        self.0.push(Change { time, value });
    }

    fn last(&self, time: Timestamp) -> Option<&Change<T>> {
        self.0.iter().rev().find(|change| change.time <= time)
    }

    fn at(&self, time: Timestamp) -> Option<T> {
        self.last(time).map(|change| change.value)
    }

    /// Values set after `from` and not after `until`.
    fn within(&self, from: Timestamp, until: Timestamp) -> impl Iterator<Item = T> {
        let changes = self.0.iter();
        changes
            .filter(move |change| change.time > from && change.time <= until)
            .map(|change| change.value)
    }
}

impl Changes<bool> {
    /// Whether the value was true at any time between `from` and `until`.
    pub fn ever(&self, from: Timestamp, until: Timestamp) -> bool {
        self.at(from) == Some(true) || self.within(from, until).any(|value| value)
    }
}

/// Recorded history of a node.
#[derive(Default)]
pub(super) struct NodeHistory {
    pub cell: Option<u64>,
    up: Changes<bool>,
    frozen: Changes<bool>,
    loads: Changes<Load>,
}

impl NodeHistory {
    pub fn start(&mut self, time: Timestamp, cell: Option<u64>) {
        self.cell = cell;
        self.up.push(time, true);
        self.frozen.push(time, false);
    }

    pub fn stop(&mut self, time: Timestamp) {
        self.up.push(time, false);
    }

    pub fn set_frozen(&mut self, time: Timestamp, frozen: bool) {
        self.frozen.push(time, frozen);
    }

    pub fn set_load(&mut self, time: Timestamp, load: Load) {
        self.loads.push(time, load);
    }

    pub fn is_up(&self, time: Timestamp) -> bool {
        self.up.at(time) == Some(true)
    }

    /// Whether its process was running and not frozen.
    pub fn is_healthy(&self, time: Timestamp) -> bool {
        self.is_up(time) && self.frozen.at(time) != Some(true)
    }

    pub fn has_capacity(&self, time: Timestamp) -> bool {
        let load = self.load(time);
        self.is_healthy(time) && load.is_some_and(|load| load.below(CAPACITY_LIMIT))
    }

    /// Whether the demand on its link or uplink exceeded the bandwidth after `from` and not after `until`.
    pub fn was_short(&self, from: Timestamp, until: Timestamp) -> bool {
        let mut loads = self.loads.within(from, until);
        loads.any(|load| load.link.max(load.uplink) > 1.0)
    }

    pub fn was_frozen(&self, from: Timestamp, until: Timestamp) -> bool {
        self.frozen.ever(from, until)
    }

    /// Whether its process died after `from` and not after `until`.
    pub fn died(&self, from: Timestamp, until: Timestamp) -> bool {
        self.up.within(from, until).any(|up| !up)
    }

    fn load(&self, time: Timestamp) -> Option<Load> {
        let last = self.loads.last(time)?;
        (time - last.time < LOAD_VALIDITY).then_some(last.value)
    }
}
