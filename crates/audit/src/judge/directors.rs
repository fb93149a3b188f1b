//! What each director could know about the nodes, and when it was suspended or killed.

use super::Route;
use crate::record::{READY, Record};
use shalewall::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Notifications and node failures that each director has seen since its last start.
#[derive(Default)]
pub(super) struct Directors {
    /// The first notification that a node is draining or gone.
    drain_notified: BTreeMap<Route, Timestamp>,
    /// Starts of nodes that a director was notified of.
    known_starts: BTreeSet<(Route, Timestamp)>,
    /// The last failure of a node that a director observed itself.
    failures: BTreeMap<Route, Timestamp>,
    started: BTreeMap<u32, Timestamp>,
}

impl Directors {
    /// Handles a notification of a node's state, and of the start of its process if it contains one.
    pub fn notify(
        &mut self,
        route: Route,
        time: Timestamp,
        standing: &str,
        node_started: Option<Timestamp>,
    ) {
        if standing == READY {
            self.drain_notified.remove(&route);
        } else {
            self.drain_notified.entry(route).or_insert(time);
        }
        if let Some(node_started) = node_started {
            self.known_starts.insert((route, node_started));
        }
    }

    pub fn record_failure(&mut self, route: Route, time: Timestamp) {
        self.failures.insert(route, time);
    }

    /// Handles a restart of a director, which loses its earlier notifications.
    pub fn restart(&mut self, director: u32, time: Timestamp) {
        self.started.insert(director, time);
        self.drain_notified
            .retain(|route, _| route.director != director);
    }

    /// When a director was first notified that a node is draining or gone.
    pub fn drain_notified(&self, route: Route) -> Option<Timestamp> {
        self.drain_notified.get(&route).copied()
    }

    /// Whether a director could know at `time` that a node started at `node_started`: it was notified, observed a
    /// failure of the node, or started later itself.
    pub fn knew_start(&self, route: Route, node_started: Timestamp, time: Timestamp) -> bool {
        let failed_at = self.failures.get(&route);
        let started_at = self.started.get(&route.director);
        self.known_starts.contains(&(route, node_started))
            || failed_at.is_some_and(|failed_at| *failed_at < time)
            || started_at.is_some_and(|started_at| *started_at > node_started)
    }
}

/// Interval in which a director's process was suspended.
struct Stall {
    from: Timestamp,
    until: Timestamp,
}

/// Kills and suspensions of all directors in a recording, collected before the records are checked.
#[derive(Default)]
pub(super) struct Outages {
    stalls: BTreeMap<u32, Vec<Stall>>,
    kills: BTreeMap<u32, Vec<Timestamp>>,
}

impl Outages {
    pub fn from_records(records: &[Record]) -> Outages {
        let mut outages = Outages::default();
        for record in records {
            let time = record.time();
            match record {
                Record::DirectorStalled {
                    director, until, ..
                } => {
                    let stalls = outages.stalls.entry(*director).or_default();
                    stalls.push(Stall {
                        from: time,
                        until: *until,
                    });
                }
                Record::DirectorKilled { director, .. } => {
                    outages.kills.entry(*director).or_default().push(time);
                }
                _ => {}
            }
        }
        outages
    }

    /// Total time for which a director was suspended between two times.
    pub fn stalled(&self, director: u32, from: Timestamp, to: Timestamp) -> TimeDelta {
        let stalls = self.stalls.get(&director).into_iter().flatten();
        stalls
            .map(|stall| (to.min(stall.until) - from.max(stall.from)).max(TimeDelta::ZERO))
            .sum()
    }

    /// Whether a director was killed between two times, inclusive.
    pub fn killed(&self, director: u32, from: Timestamp, to: Timestamp) -> bool {
        let mut kills = self.kills.get(&director).into_iter().flatten();
        kills.any(|killed_at| *killed_at >= from && *killed_at <= to)
    }
}
