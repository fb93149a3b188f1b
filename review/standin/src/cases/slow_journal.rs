//! The journal service is slow: a director that connects gets its first frame after 2.5 s. A media node is drained.

use crate::platform::{Client, Director, Journal, MediaNode, Request, Test, pause};
use crate::settings::{Site, settings};
use std::sync::atomic::Ordering;

const SLOW_MS: u64 = 2500;
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
    warm_up_ms: 5000,
    fall_factor: 2.0,
    fall_ms: 2000,
    has_budget: true,
    has_probes: false,
};

pub fn run(record: &str) -> Option<bool> {
    let test = Test::new(record)?;
    let journal = Journal::start(&test.record)?;
    let nodes: Vec<MediaNode> = (0..6)
        .map(|cell| MediaNode::start(0xe0 + u32::from(cell), cell, 0, 0.2, &[], &test))
        .collect::<Option<_>>()?;
    let entries: Vec<_> = nodes.iter().map(|node| node.entry(0, 0)).collect();
    if test.has_trouble {
        journal.answer_after_ms.store(SLOW_MS, Ordering::Relaxed);
    }
    let director = Director::start(&test, &journal, &entries, &settings(&SITE))?;
    pause(5500);
    let mut client = Client::connect(director.port, &test)?;
    let told_at = journal.publish(vec![nodes[0].entry(1, 0)], &test.record);
    for number in 0..150u64 {
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
        pause(150);
    }
    let mut late = 0;
    for event in test
        .node_events()
        .iter()
        .filter(|event| event.node == 0xe0 && event.word == "SETUP")
    {
        let after_ms = (event.time_us - told_at) / 1000;
        if after_ms > 4300 {
            late += 1;
            test.record.say(&format!(
                "{} was set up at the drained node {after_ms} ms after it was told",
                event.session
            ));
        }
    }
    Some(late > 0)
}
