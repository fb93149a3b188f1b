//! The state of a director for its log: current counts, and events since the previous status.

use crate::connection_reasons::{CloseReason, ConnectReason};
use crate::node_connections::ConnectionTally;
use crate::permission::RuleViolations;
use crate::session_table::SessionCounts;
use shalewall::{Outcome, ServerEstimate, TimeDelta};
use std::fmt::Debug;

/// Number of servers that the status names.
const MAX_NAMED_SERVERS: usize = 3;

/// Number of connections and of nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Connections of viewers.
    pub viewers: usize,
    /// Connections to media nodes, including half-closed ones.
    pub nodes: usize,
    /// Known media nodes.
    pub known_nodes: usize,
}

/// Current counts, and events since the previous status.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// Current requests and sessions.
    pub sessions: SessionCounts,
    /// Current connections and nodes.
    pub connections: ConnectionCounts,
    /// The servers with the highest estimated utilization: id, link and uplink utilization, as `s-0000002a 0.71/0.44`,
    /// followed by `cold` if it is warming up, `short` if it delivers less than its sessions' rates, and `failed` with
    /// the number of failures if there are any.
    pub fullest_servers: String,
    /// Attempts and sessions that ended, by outcome, as `Success 12, Rejected 1`.
    pub ended: String,
    /// Connections to nodes that were opened, by [`ConnectReason`], as `First 3, NodeSilent 1`.
    pub connections_opened: String,
    /// Connections to nodes that ended, by [`CloseReason`].
    pub connections_closed: String,
    /// Requests that were withdrawn before a set-up was written to any node.
    pub withdrawn_before_sent: u32,
    /// Number of times that a rule was broken.
    pub violations: RuleViolations,
    /// Requests that were rejected because their time was over when they were read.
    pub expired_before_read: u32,
    /// Requests that were rejected because there was no capacity for their connection.
    pub shed_requests: u32,
    /// The longest delay between a timer's due time and its execution in this process.
    pub timer_delay: TimeDelta,
    /// Number of pending timers.
    pub pending_timers: usize,
}

/// Counts since the previous status.
#[derive(Default)]
pub(crate) struct StatusCounters {
    /// In the order of first occurrence.
    pub(crate) ended: Vec<(Outcome, u32)>,
    pub(crate) withdrawn_before_sent: u32,
    pub(crate) violations: RuleViolations,
    pub(crate) expired_before_read: u32,
    pub(crate) shed_requests: u32,
    pub(crate) timer_delay: TimeDelta,
}

impl StatusCounters {
    pub(crate) fn count_ended(&mut self, outcome: Outcome) {
        let counted = self
            .ended
            .iter_mut()
            .find(|(counted, _)| *counted == outcome);
        match counted {
            Some((_, count)) => *count += 1,
            None => self.ended.push((outcome, 1)),
        }
    }

    pub(crate) fn record_timer_delay(&mut self, delay: TimeDelta) {
        self.timer_delay = self.timer_delay.max(delay);
    }
}

impl Status {
    pub(crate) fn new(
        sessions: SessionCounts,
        connections: ConnectionCounts,
        estimates: impl Iterator<Item = ServerEstimate>,
        counters: StatusCounters,
        tally: ConnectionTally,
        pending_timers: usize,
    ) -> Status {
        Status {
            sessions,
            connections,
            fullest_servers: describe_fullest_servers(estimates),
            ended: describe_counts(counters.ended),
            connections_opened: describe_counts::<ConnectReason>(tally.opened),
            connections_closed: describe_counts::<CloseReason>(tally.closed),
            withdrawn_before_sent: counters.withdrawn_before_sent,
            violations: counters.violations,
            expired_before_read: counters.expired_before_read,
            shed_requests: counters.shed_requests,
            timer_delay: counters.timer_delay,
            pending_timers,
        }
    }
}

fn describe_fullest_servers(estimates: impl Iterator<Item = ServerEstimate>) -> String {
    let mut servers: Vec<ServerEstimate> = estimates.collect();
    let highest_utilization =
        |estimate: &ServerEstimate| estimate.link_utilization.max(estimate.uplink_utilization);
    servers.sort_by(|a, b| highest_utilization(b).total_cmp(&highest_utilization(a)));
    let described: Vec<String> = servers
        .iter()
        .take(MAX_NAMED_SERVERS)
        .map(describe_estimate)
        .collect();
    described.join(", ")
}

fn describe_estimate(estimate: &ServerEstimate) -> String {
    let mut text = format!(
        "s-{:08x} {:.2}/{:.2}",
        estimate.server.0, estimate.link_utilization, estimate.uplink_utilization
    );
    if estimate.is_warming_up {
        text.push_str(" cold");
    }
    if estimate.is_short {
        text.push_str(" short");
    }
    if estimate.failures > 0 {
        text.push_str(&format!(" failed {}", estimate.failures));
    }
    text
}

fn describe_counts<T: Debug>(counts: impl IntoIterator<Item = (T, u32)>) -> String {
    counts
        .into_iter()
        .map(|(kind, count)| format!("{kind:?} {count}"))
        .collect::<Vec<_>>()
        .join(", ")
}
