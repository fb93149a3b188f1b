//! Counts of what a director holds, and what has happened since the last look, for its log.

use crate::connection_reasons::{CloseReason, ConnectReason};
use crate::node_connections::ConnectionTally;
use crate::session_table::SessionCounts;
use shalewall::{Outcome, ServerEstimate, TimeDelta};
use std::fmt::Debug;

/// So many of the fullest servers are named.
const MAX_NAMED_SERVERS: usize = 3;

/// How many connections there are, and how many nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Connections of viewers.
    pub viewers: usize,
    /// Connections to media nodes, half-closed ones included.
    pub nodes: usize,
    /// Media nodes that are known.
    pub known_nodes: usize,
}

/// What a director holds, and what has happened since the last look.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// Requests and sessions now.
    pub sessions: SessionCounts,
    /// Connections and nodes now.
    pub connections: ConnectionCounts,
    /// The servers believed fullest: id, link, uplink, as `s-0000002a 0.71/0.44`, with `cold`, `short` or failures.
    pub fullest_servers: String,
    /// Attempts and sessions that ended, by outcome, as `Success 12, Rejected 1`.
    pub ended: String,
    /// Connections to nodes that were opened, by [`ConnectReason`], as `First 3, NodeSilent 1`.
    pub connections_opened: String,
    /// Connections to nodes that ended, by [`CloseReason`].
    pub connections_closed: String,
    /// Requests that were withdrawn before any node had them.
    pub withdrawn_before_sent: u32,
    /// Set-ups that were sent although their viewer had left.
    pub sent_after_withdrawal: u32,
    /// How late the latest timer fired: this director's own delay.
    pub timer_delay: TimeDelta,
}

/// Counts since the last look.
#[derive(Default)]
pub(crate) struct StatusCounters {
    /// In the order of first occurrence.
    pub(crate) ended: Vec<(Outcome, u32)>,
    pub(crate) withdrawn_before_sent: u32,
    pub(crate) sent_after_withdrawal: u32,
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
        beliefs: impl Iterator<Item = ServerEstimate>,
        counters: StatusCounters,
        tally: ConnectionTally,
    ) -> Status {
        Status {
            sessions,
            connections,
            fullest_servers: describe_fullest(beliefs),
            ended: describe_counts(counters.ended),
            connections_opened: describe_counts::<ConnectReason>(tally.opened),
            connections_closed: describe_counts::<CloseReason>(tally.closed),
            withdrawn_before_sent: counters.withdrawn_before_sent,
            sent_after_withdrawal: counters.sent_after_withdrawal,
            timer_delay: counters.timer_delay,
        }
    }
}

fn describe_fullest(beliefs: impl Iterator<Item = ServerEstimate>) -> String {
    let mut servers: Vec<ServerEstimate> = beliefs.collect();
    let fullest = |belief: &ServerEstimate| belief.link_utilization.max(belief.uplink_utilization);
    servers.sort_by(|a, b| fullest(b).total_cmp(&fullest(a)));
    let described: Vec<String> = servers
        .iter()
        .take(MAX_NAMED_SERVERS)
        .map(describe_belief)
        .collect();
    described.join(", ")
}

fn describe_belief(belief: &ServerEstimate) -> String {
    let mut text = format!(
        "s-{:08x} {:.2}/{:.2}",
        belief.server.0, belief.link_utilization, belief.uplink_utilization
    );
    if belief.is_warming_up {
        text.push_str(" cold");
    }
    if belief.is_short {
        text.push_str(" short");
    }
    if belief.failures > 0 {
        text.push_str(&format!(" failed {}", belief.failures));
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
