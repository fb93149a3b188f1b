//! Rule: no node that warms up is sent more than its pace.
//!
//! What is sent within the overload window stays under a multiple of the node's present capacity, with a little
//! slack for chance. It is a breach when most of it came from directors that could know of the node's start.

use super::{Judge, Route};
use crate::rules::Rules;
use crate::verdict::Rule;
use shalewall::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// Set-ups above the pace that may fall into one window by chance.
const CHANCE_SLACK: f64 = 2.0;

/// The last start of a node's process.
#[derive(Clone, Copy)]
struct NodeStart {
    time: Timestamp,
    capacity_places: f64,
    warm: bool,
}

/// Something new that a node got while it warmed up.
#[derive(Clone, Copy)]
struct Send {
    time: Timestamp,
    /// Whether its director could know of the node's start.
    director_knew: bool,
}

/// What was sent within a window.
#[derive(Clone, Copy, Default)]
struct SendCount {
    all: usize,
    /// By directors that could know of the node's start.
    knowing: usize,
}

impl SendCount {
    fn mostly_knowing(self) -> bool {
        2 * self.knowing >= self.all
    }
}

/// Starts of nodes, and what each got while it warmed up.
#[derive(Default)]
pub(super) struct StartingNodes {
    starts: BTreeMap<u64, NodeStart>,
    sends: BTreeMap<u64, Vec<Send>>,
}

impl StartingNodes {
    pub fn start(&mut self, node: u64, time: Timestamp, capacity_places: f64, warm: bool) {
        let start = NodeStart {
            time,
            capacity_places,
            warm,
        };
        self.starts.insert(node, start);
        self.sends.remove(&node);
    }

    /// The start of a node that is not warm yet.
    fn cold_start(&self, node: u64, time: Timestamp, rules: &Rules) -> Option<NodeStart> {
        let start = self.starts.get(&node).copied()?;
        let cold = !start.warm && time - start.time < rules.warm_after;
        cold.then_some(start)
    }

    fn add_send(&mut self, node: u64, send: Send) {
        self.sends.entry(node).or_default().push(send);
    }

    fn count_after(&self, node: u64, from: Timestamp) -> SendCount {
        let mut count = SendCount::default();
        for send in self.sends.get(&node).into_iter().flatten() {
            if send.time > from {
                count.all += 1;
                count.knowing += usize::from(send.director_knew);
            }
        }
        count
    }
}

/// The most that a node may get within the overload window at `time`.
fn send_limit(rules: &Rules, start: NodeStart, time: Timestamp) -> f64 {
    let age = (time - start.time).as_micros() as f64;
    let warm_after = rules.warm_after.as_micros() as f64;
    let capacity = rules.start_capacity + (1.0 - rules.start_capacity) * age / warm_after;
    let pace = start.capacity_places / warm_after * capacity;
    rules.overload_factor * pace * rules.overload_window.as_micros() as f64 + CHANCE_SLACK
}

impl Judge<'_> {
    /// Checks something new that is sent to a node.
    pub(super) fn check_slow_start(&mut self, time: Timestamp, route: Route, tenant: Option<&str>) {
        if self.rules.overload_window <= TimeDelta::ZERO {
            return;
        }
        let node = route.node;
        let Some(start) = self.starting_nodes.cold_start(node, time, self.rules) else {
            return;
        };
        let director_knew = self.directors.knew_start(route, start.time, time);
        let send = Send {
            time,
            director_knew,
        };
        self.starting_nodes.add_send(node, send);
        let window_start = time - self.rules.overload_window;
        let count = self.starting_nodes.count_after(node, window_start);
        let limit = send_limit(self.rules, start, time);
        let sent = count.all as f64;
        self.verdict
            .record_test(Rule::SlowStart, tenant, sent / limit);
        if sent > limit && count.mostly_knowing() {
            let evidence = format!(
                "node {node}: {} set-ups within the span, {limit:.1} at most",
                count.all
            );
            self.verdict
                .record_breach(Rule::SlowStart, tenant, time, evidence);
        }
    }

    /// A node says itself that it failed of overload. A breach if most of its load came from directors that could
    /// know that it was warming up.
    pub(super) fn check_overload(&mut self, time: Timestamp, node: u64) {
        let window_start = time - self.rules.overload_window;
        let count = self.starting_nodes.count_after(node, window_start);
        if count.mostly_knowing() {
            let SendCount { all, knowing } = count;
            let evidence =
                format!("node {node} fell over: {all} set-ups, {knowing} by directors that knew");
            self.verdict
                .record_breach(Rule::SlowStart, None, time, evidence);
        }
    }
}
