//! Rule: no node that is warming up gets more set-ups than its slow start allows.
//!
//! The set-ups within the overload window must stay below a multiple of the rate that the node's current capacity
//! allows, with slack for random clusters. It is a violation if at least half of them came from directors that could
//! know of the node's start.

use super::{Judge, Route};
use crate::rules::Rules;
use crate::verdict::Rule;
use shalewall::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// Set-ups above the limit that may fall into one window by chance.
const SLACK_SET_UPS: f64 = 2.0;

/// The last start of a node's process.
#[derive(Clone, Copy)]
struct NodeStart {
    time: Timestamp,
    stream_capacity: f64,
    warm: bool,
}

/// A set-up or migration that a node received while it was warming up.
#[derive(Clone, Copy)]
struct SentSetUp {
    time: Timestamp,
    /// Whether its director could know of the node's start.
    director_was_informed: bool,
}

/// Number of sends within a window.
#[derive(Clone, Copy, Default)]
struct SendCount {
    all: usize,
    /// Those by directors that could know of the node's start.
    from_informed_directors: usize,
}

impl SendCount {
    fn mostly_from_informed_directors(self) -> bool {
        2 * self.from_informed_directors >= self.all
    }
}

/// Starts of nodes, and the sends to each node while it was warming up.
#[derive(Default)]
pub(super) struct StartingNodes {
    starts: BTreeMap<u64, NodeStart>,
    sends: BTreeMap<u64, Vec<SentSetUp>>,
}

impl StartingNodes {
    pub fn start(&mut self, node: u64, time: Timestamp, stream_capacity: f64, warm: bool) {
        let start = NodeStart {
            time,
            stream_capacity,
            warm,
        };
        self.starts.insert(node, start);
        self.sends.remove(&node);
    }

    /// The last start of a node, if it is still warming up at `time`.
    fn cold_start(&self, node: u64, time: Timestamp, rules: &Rules) -> Option<NodeStart> {
        let start = self.starts.get(&node).copied()?;
        let cold = !start.warm && time - start.time < rules.warm_after;
        cold.then_some(start)
    }

    fn add_send(&mut self, node: u64, send: SentSetUp) {
        self.sends.entry(node).or_default().push(send);
    }

    fn count_after(&self, node: u64, from: Timestamp) -> SendCount {
        let mut count = SendCount::default();
        for send in self.sends.get(&node).into_iter().flatten() {
            if send.time > from {
                count.all += 1;
                count.from_informed_directors += usize::from(send.director_was_informed);
            }
        }
        count
    }
}

/// Maximum number of sends to a node within the overload window that ends at `time`.
fn send_limit(rules: &Rules, start: NodeStart, time: Timestamp) -> f64 {
    let age = (time - start.time).as_micros() as f64;
    let warm_after = rules.warm_after.as_micros() as f64;
    let capacity = rules.start_capacity + (1.0 - rules.start_capacity) * age / warm_after;
    let pace = start.stream_capacity / warm_after * capacity;
    rules.overload_factor * pace * rules.overload_window.as_micros() as f64 + SLACK_SET_UPS
}

impl Judge<'_> {
    /// Checks a set-up or migration that is sent to a node.
    pub(super) fn check_slow_start(&mut self, time: Timestamp, route: Route, tenant: Option<&str>) {
        if self.rules.overload_window <= TimeDelta::ZERO {
            return;
        }
        let node = route.node;
        let Some(start) = self.starting_nodes.cold_start(node, time, self.rules) else {
            return;
        };
        let director_was_informed = self.directors.knew_start(route, start.time, time);
        let send = SentSetUp {
            time,
            director_was_informed,
        };
        self.starting_nodes.add_send(node, send);
        let window_start = time - self.rules.overload_window;
        let count = self.starting_nodes.count_after(node, window_start);
        let limit = send_limit(self.rules, start, time);
        let sent = count.all as f64;
        self.verdict
            .record_check(Rule::SlowStart, tenant, sent / limit);
        if sent > limit && count.mostly_from_informed_directors() {
            let evidence = format!(
                "node {node}: {} set-ups within the span, {limit:.1} at most",
                count.all
            );
            self.verdict
                .record_violation(Rule::SlowStart, tenant, time, evidence);
        }
    }

    /// Checks a node that failed of overload. It is a violation if at least half of the sends came from directors that
    /// could know that it was warming up.
    pub(super) fn check_overload(&mut self, time: Timestamp, node: u64) {
        let window_start = time - self.rules.overload_window;
        let count = self.starting_nodes.count_after(node, window_start);
        if count.mostly_from_informed_directors() {
            let SendCount {
                all,
                from_informed_directors,
            } = count;
            let evidence = format!(
                "node {node} fell over: {all} set-ups, {from_informed_directors} by directors that knew"
            );
            self.verdict
                .record_violation(Rule::SlowStart, None, time, evidence);
        }
    }
}
