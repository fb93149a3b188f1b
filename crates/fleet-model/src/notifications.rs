//! Load notifications that nodes push to directors.
//!
//! While a node delivers less than the rates of its sessions, it reports the delivered fraction once a second to each
//! director with sessions there, and once more when the shortage is over. Link and uplink utilization are reported at
//! a fixed interval. Both are delayed, and are sent on one of the director's sessions at that node.

use crate::fleet::{Fleet, Node, NodeLoad, ProcessState};
use shalewall::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// Delivered fraction of the rate below which a shortage is reported.
const SHORTAGE_THRESHOLD: f64 = 0.98;
const SHORTAGE_INTERVAL: TimeDelta = TimeDelta::from_secs(1);
/// Samples are kept for this time beyond the notification delay, so that a late poll still finds its sample.
const HISTORY_MARGIN: TimeDelta = TimeDelta::from_secs(1);

/// One notification from a node to a director.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Notification {
    /// The node that sends it.
    pub node: u64,
    /// The director that receives it.
    pub director: u32,
    /// The session that it is sent on.
    pub session: u64,
    /// Delivered fraction of the rate, if it is due.
    pub delivered: Option<f64>,
    /// Utilization of the node's link, if it is due.
    pub link: Option<f64>,
    /// Utilization of the rack's uplink, if it is due.
    pub uplink: Option<f64>,
}

/// Decides which notifications are due. Keeps track of the directors that were notified of a shortage, so that each
/// of them is notified once of its end.
#[derive(Debug, Default)]
pub struct Notifier {
    utilization_interval: TimeDelta,
    delay: TimeDelta,
    shortage_notified: BTreeMap<(u64, u32), bool>,
    last_shortage_step: i64,
    last_utilization_step: i64,
}

/// Kinds of notification that are due in one poll.
#[derive(Clone, Copy)]
struct Due {
    shortage: bool,
    utilization: bool,
}

/// Number of whole intervals before a time.
fn step_of(now: Timestamp, interval: TimeDelta) -> i64 {
    now.as_micros() / interval.as_micros()
}

impl Notifier {
    /// Creates a notifier that reports utilization every `utilization_interval` (zero disables it), and that delays
    /// every notification by `delay`.
    pub fn new(utilization_interval: TimeDelta, delay: TimeDelta) -> Notifier {
        Notifier {
            utilization_interval,
            delay,
            ..Notifier::default()
        }
    }

    /// Samples the fleet and returns the notifications that are due. To be called about every 100 ms.
    pub fn poll(&mut self, fleet: &mut Fleet, now: Timestamp) -> Vec<Notification> {
        fleet.sample(now, self.delay + HISTORY_MARGIN);
        let due = self.next_due(now);
        let mut notifications = Vec::new();
        if !due.shortage && !due.utilization {
            return notifications;
        }
        let running = |(_, node): &(&u64, &Node)| node.process == ProcessState::Running;
        for (id, node) in fleet.nodes.iter().filter(running) {
            let Some(load) = fleet.load_at(*id, now - self.delay) else {
                continue;
            };
            for (director, session) in first_session_of_each_director(node) {
                let notification = self.notification(*id, director, session, load, due);
                notifications.extend(notification);
            }
        }
        notifications
    }

    fn next_due(&mut self, now: Timestamp) -> Due {
        let has_interval = self.utilization_interval > TimeDelta::ZERO;
        let shortage_step = step_of(now, SHORTAGE_INTERVAL);
        let utilization_step = if has_interval {
            step_of(now, self.utilization_interval)
        } else {
            0
        };
        let due = Due {
            shortage: shortage_step != self.last_shortage_step,
            utilization: has_interval && utilization_step != self.last_utilization_step,
        };
        if due.shortage || due.utilization {
            self.last_shortage_step = shortage_step;
            self.last_utilization_step = utilization_step;
        }
        due
    }

    fn notification(
        &mut self,
        node: u64,
        director: u32,
        session: u64,
        load: NodeLoad,
        due: Due,
    ) -> Option<Notification> {
        let shortage_notified = self.shortage_notified.entry((node, director)).or_default();
        let has_shortage = load.delivered < SHORTAGE_THRESHOLD;
        let notify_delivered = due.shortage && (has_shortage || *shortage_notified);
        if due.shortage {
            *shortage_notified = has_shortage;
        }
        (notify_delivered || due.utilization).then(|| Notification {
            node,
            director,
            session,
            delivered: notify_delivered.then_some(load.delivered),
            link: due.utilization.then_some(load.link),
            uplink: due.utilization.then_some(load.uplink),
        })
    }
}

/// The session on which each director with sessions at a node is notified: its session with the lowest number.
fn first_session_of_each_director(node: &Node) -> BTreeMap<u32, u64> {
    let mut sessions = BTreeMap::new();
    for (attempt, playing) in &node.playing {
        sessions.entry(playing.director).or_insert(attempt.session);
    }
    sessions
}
