//! Media nodes spoil some good answers: the length does not fit. No client may be served with a description that no
//! media node made for its session.

use crate::platform::{Client, Director, Journal, MediaNode, Request, Test, pause};
use crate::settings::{Site, settings};

const REQUESTS: u64 = 200;

const SITE: Site = Site {
    directors: 3,
    cells: 6,
    target_ms: 1000,
    give_up_ms: 4000,
    paid: "daily-report",
    free: "playroom-live",
    paid_floor: 0,
    paid_seats: 0,
    drain_ms: 250,
    warm_up_ms: 2000,
    fall_factor: 2.0,
    fall_ms: 2000,
    has_budget: true,
    has_probes: false,
};

pub fn run(record: &str) -> Option<bool> {
    let test = Test::new(record)?;
    let journal = Journal::start(&test.record)?;
    let more: &[&str] = if test.has_trouble { &["spoil"] } else { &[] };
    let nodes: Vec<MediaNode> = (0..6)
        .map(|cell| MediaNode::start(0xa0 + u32::from(cell), cell, 0, 0.2, more, &test))
        .collect::<Option<_>>()?;
    let entries: Vec<_> = nodes.iter().map(|node| node.entry(0, 0)).collect();
    let mut director = Director::start(&test, &journal, &entries, &settings(&SITE))?;
    pause(2500);
    let mut client = Client::connect(director.port, &test)?;
    let mut sessions = Vec::new();
    for number in 0..REQUESTS {
        let session = Test::new_session();
        let class = if number.is_multiple_of(3) {
            SITE.paid
        } else {
            SITE.free
        };
        let home = number % 6;
        client.request(&Request {
            session: &session,
            class,
            title: 100 + home,
            home,
            copies: 3,
            top: 4,
            left_ms: 4000,
        })?;
        sessions.push(session);
        pause(100);
    }
    pause(4500);
    if !director.is_running() {
        test.record.say("the director has ended");
        return None;
    }
    let made = test.node_events();
    let (mut served, mut foreign, mut unanswered) = (0, 0, 0);
    for session in &sessions {
        let answers = test.answers(session);
        unanswered += u32::from(answers.is_empty());
        for answer in answers.iter().filter(|answer| answer.verb == "STARTED") {
            served += 1;
            let escaped = answer.description.replace('\r', "\\r").replace('\n', "\\n");
            let is_made = made.iter().any(|event| {
                event.word == "STANDS"
                    && event.session == *session
                    && event.rest.ends_with(&format!(" {escaped}"))
            });
            if !is_made {
                foreign += 1;
                test.record.say(&format!(
                    "{session} was served with what no node made for it: {escaped:?}"
                ));
            }
        }
    }
    let spoilt = made
        .iter()
        .filter(|event| event.word == "STANDS" && is_spoilt(&event.rest))
        .count();
    test.record.say(&format!(
        "{REQUESTS} requests, {served} served, {unanswered} without an answer; {spoilt} answers had a wrong length; \
         {foreign} clients got a description that no node made"
    ));
    if served == 0 || (test.has_trouble && spoilt == 0) {
        return None;
    }
    Some(foreign > 0)
}

/// `length 60 of 71 ...`
fn is_spoilt(rest: &str) -> bool {
    let mut words = rest.split(' ');
    words.nth(1) != words.nth(1)
}
