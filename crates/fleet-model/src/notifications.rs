//! Notifications that nodes send to directors unasked.
//!
//! While a node delivers short, each director with sessions there is told the fraction delivered once a second, and
//! once more when the shortage is over. Link and uplink utilization are told at a fixed interval. Both come late, and
//! on one of the director's sessions at that node.

use crate::fleet::{Fleet, Node, NodeLoad, ProcessState};
use shalewall::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// Deliveries below this fraction of the rate are reported as a shortage.
const SHORTAGE_BELOW: f64 = 0.98;
const SHORTAGE_INTERVAL: TimeDelta = TimeDelta::from_secs(1);
/// History is kept for this long beyond the delay, so that a late call still finds its sample.
const HISTORY_MARGIN: TimeDelta = TimeDelta::from_secs(1);

/// One notification from a node to a director.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Notification {
    /// The node that sends it.
    pub node: u64,
    /// The director that it goes to.
    pub director: u32,
    /// The session that it is sent on.
    pub session: u64,
    /// Fraction of the rate that the node delivers, if this is told now.
    pub delivered: Option<f64>,
    /// Utilization of the node's link, if this is told now.
    pub link: Option<f64>,
    /// Utilization of the rack's uplink, if this is told now.
    pub uplink: Option<f64>,
}

/// Decides which notifications are due. Remembers who was told of a shortage, so that its end is told once.
#[derive(Debug, Default)]
pub struct Notifier {
    utilization_interval: TimeDelta,
    delay: TimeDelta,
    told_short: BTreeMap<(u64, u32), bool>,
    last_shortage_step: i64,
    last_utilization_step: i64,
}

/// What is to be told in one call.
#[derive(Clone, Copy)]
struct Due {
    shortage: bool,
    utilization: bool,
}

/// How many whole intervals fit before a time.
fn step_of(now: Timestamp, interval: TimeDelta) -> i64 {
    now.as_micros() / interval.as_micros()
}

impl Notifier {
    /// Utilization is told every `utilization_interval` (zero: never); everything is told `delay` late.
    pub fn new(utilization_interval: TimeDelta, delay: TimeDelta) -> Notifier {
        Notifier {
            utilization_interval,
            delay,
            ..Notifier::default()
        }
    }

    /// Samples the fleet and returns what is to be sent now. To be called every 100 ms or so.
    pub fn poll(&mut self, fleet: &mut Fleet, now: Timestamp) -> Vec<Notification> {
        fleet.sample(now, self.delay + HISTORY_MARGIN);
        let due = self.take_due(now);
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

    fn take_due(&mut self, now: Timestamp) -> Due {
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
        let told_short = self.told_short.entry((node, director)).or_default();
        let is_short = load.delivered < SHORTAGE_BELOW;
        let tell_delivered = due.shortage && (is_short || *told_short);
        if due.shortage {
            *told_short = is_short;
        }
        (tell_delivered || due.utilization).then(|| Notification {
            node,
            director,
            session,
            delivered: tell_delivered.then_some(load.delivered),
            link: due.utilization.then_some(load.link),
            uplink: due.utilization.then_some(load.uplink),
        })
    }
}

/// The session on which each director with sessions at a node is notified: the first by number.
fn first_session_of_each_director(node: &Node) -> BTreeMap<u32, u64> {
    let mut sessions = BTreeMap::new();
    for (attempt, playing) in &node.playing {
        sessions.entry(playing.director).or_insert(attempt.session);
    }
    sessions
}
