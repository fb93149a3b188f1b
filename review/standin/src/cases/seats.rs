//! What the cases on seats share: the site, requests for one title of the paid class, and the count of its sessions.

use crate::platform::{Client, NodeEvent, Request, Test};
use crate::settings::Site;
use std::collections::BTreeSet;

pub const SEATS: u32 = 2;
/// Time that is allowed for messages between the processes.
const SLACK_US: i64 = 200_000;
const TITLE: u64 = 0x7e57;

/// Three directors and ten player boxes, the small twin of lamina-lima-later, with that site's times and rules.
pub const SITE: Site = Site {
    directors: 3,
    cells: 10,
    target_ms: 800,
    give_up_ms: 3000,
    paid: "loan-view",
    free: "open-view",
    paid_floor: 1,
    paid_seats: SEATS,
    drain_ms: 2000,
    warm_up_ms: 5000,
    fall_factor: 3.0,
    fall_ms: 1000,
    has_budget: false,
    has_probes: false,
};

/// Requests a session of the title in the paid class.
pub fn ask(client: &mut Client) -> Option<String> {
    let session = Test::new_session();
    let (class, title) = (SITE.paid, TITLE);
    client.request(&Request {
        session: &session,
        class,
        title,
        home: 0,
        copies: 3,
        top: 4,
        left_ms: 3000,
    })?;
    Some(session)
}

/// Tells which sessions were released towards their client although their node goes on with them.
pub fn report_released(test: &Test, sessions: &[String]) {
    let events = test.node_events();
    for session in sessions {
        let answers = test.answers(session);
        let is_served = answers.iter().any(|answer| answer.verb == "STARTED");
        let released = answers
            .iter()
            .find(|answer| is_served && answer.verb == "FINISH");
        let is_ended = events.iter().any(|event| {
            event.session == *session && matches!(event.word.as_str(), "RELEASED" | "GIVEN_UP")
        });
        if let Some(released) = released.filter(|_| !is_ended) {
            let cause = &released.cause;
            test.record.say(&format!(
                "{session} was released towards its client (cause {cause}), and stands at its node"
            ));
        }
    }
}

/// The most sessions of the title and the paid class that were at media nodes at one time, each counted from its
/// set-up until the node was told to release it or its process died, and longer than the slack.
pub fn most_held(events: &[NodeEvent]) -> usize {
    let wanted = format!("{TITLE:016x} {}", SITE.paid);
    let mut held: BTreeSet<(u32, String)> = BTreeSet::new();
    let mut most = 0;
    for (index, event) in events.iter().enumerate() {
        let at = (event.node, event.session.clone());
        match event.word.as_str() {
            "SETUP" if event.rest.starts_with(&wanted) => {
                held.insert(at);
            }
            "RELEASED" | "GIVEN_UP" => {
                held.remove(&at);
            }
            "DIED" => held.retain(|(node, _)| *node != event.node),
            _ => {}
        }
        let until = events.get(index + 1).map_or(i64::MAX, |next| next.time_us);
        if until - event.time_us > SLACK_US {
            most = most.max(held.len());
        }
    }
    most
}
