//! What a director holds and believes, for its log.

use crate::DirectorProtocol;
use shalewall::{Micros, ServerBelief};

/// So many of the fullest servers are named.
const WORST: usize = 3;

/// A second of a director, or what has passed since the last look.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// Requests without an answer, and sessions that stand.
    pub waiting: usize,
    pub standing: usize,
    /// Connections to viewers and to nodes, and nodes known.
    pub viewers: usize,
    pub links: usize,
    pub nodes: usize,
    /// The servers believed fullest: id, link, uplink, as `s-0000002a 0.71/0.44`, with `cold`, `short` or failures.
    pub worst: String,
    /// Attempts and sessions that ended, by outcome, as `Good 12, Full 1`.
    pub ended: String,
    /// Connections to nodes opened and ended, by cause, as `First 3, Silence 1`.
    pub opened: String,
    pub lost: String,
    /// Requests whose viewer left before any node had them, and set-ups that were sent for such a one.
    pub left: u32,
    pub sent_for_left: u32,
    /// How late the latest timer rang, in microseconds: this director's own delay.
    pub late: Micros,
}

impl DirectorProtocol {
    /// What there is now, and what has ended since the last look.
    pub fn status(&mut self) -> Status {
        let (waiting, standing) = self.session_counts();
        let (viewers, links, nodes) = self.connection_counts();
        let mut worst: Vec<_> = self.director.beliefs().collect();
        worst.sort_by(|a, b| {
            let fullest = |s: &ServerBelief| s.link_utilization.max(s.uplink_utilization);
            fullest(b).total_cmp(&fullest(a))
        });
        let named = worst.iter().take(WORST).map(|b| {
            let cold = if b.is_warming_up { " cold" } else { "" };
            let short = if b.is_short { " short" } else { "" };
            let fails = if b.failures > 0 {
                format!(" failed {}", b.failures)
            } else {
                String::new()
            };
            format!(
                "s-{:08x} {:.2}/{:.2}{cold}{short}{fails}",
                b.server.0, b.link_utilization, b.uplink_utilization
            )
        });
        let worst = named.collect::<Vec<_>>().join(", ");
        let ended = counted(std::mem::take(&mut self.ends));
        let opened = counted(std::mem::take(&mut self.opened));
        let lost = counted(std::mem::take(&mut self.lost));
        Status {
            waiting,
            standing,
            viewers,
            links,
            nodes,
            worst,
            ended,
            opened,
            lost,
            left: std::mem::take(&mut self.left),
            sent_for_left: std::mem::take(&mut self.sent_for_left),
            late: std::mem::take(&mut self.late),
        }
    }
}

fn counted<T: std::fmt::Debug>(counts: impl IntoIterator<Item = (T, u32)>) -> String {
    counts
        .into_iter()
        .map(|(what, n)| format!("{what:?} {n}"))
        .collect::<Vec<_>>()
        .join(", ")
}
