//! A media node dies and comes back cold, and the list tells of the new start late. Sessions that were set up on the
//! new process in between stand. The director may not hold more sessions of a title and class than its seats.

use super::seats::{self, ask, most_held};
use crate::platform::{Client, Director, Journal, MediaNode, Request, Test, pause};
use crate::record::now_us;
use crate::settings::settings;

/// The process is down for so long: 2.1 to 7.8 s by the pages.
const DOWN_MS: u64 = 2200;
/// The list tells of a new start so late: 0.96 to 2.4 s by the site file.
const TOLD_LATE_MS: u64 = 2300;
pub fn run(record: &str) -> Option<bool> {
    let test = Test::new(record)?;
    let journal = Journal::start(&test.record)?;
    let mut nodes: Vec<MediaNode> = (0..10u16)
        .map(|cell| MediaNode::start(0xb0 + u32::from(cell), cell, 0, load_of(cell), &[], &test))
        .collect::<Option<_>>()?;
    let entries: Vec<_> = nodes.iter().map(|node| node.entry(0, 0)).collect();
    let mut director = Director::start(&test, &journal, &entries, &settings(&seats::SITE))?;
    // Any node may be warming up until this director has run for the warm-up time.
    pause(5500);
    let mut client = Client::connect(director.port, &test)?;
    // Each node answers one short session, so that the director knows its load.
    for cell in 0..10 {
        let session = Test::new_session();
        let title = 0x100 + cell;
        let (home, copies) = (cell, 1);
        client.request(&Request {
            session: &session,
            class: seats::SITE.free,
            title,
            home,
            copies,
            top: 4,
            left_ms: 3000,
        })?;
        pause(300);
        client.finish(&session)?;
        pause(100);
    }
    if test.has_trouble {
        nodes[0].kill(&test);
    }
    pause(DOWN_MS);
    let started_us = now_us();
    if test.has_trouble {
        let (port, load) = (nodes[0].port, load_of(0));
        nodes[0] = MediaNode::start(0xb0, 0, port, load, &[], &test)?;
    }
    pause(150);
    // Clients ask for as many sessions of the title as there are seats.
    let mut sessions = Vec::new();
    for _ in 0..seats::SEATS {
        sessions.push(ask(&mut client)?);
        pause(600);
    }
    let at_restarted = test
        .node_events()
        .iter()
        .filter(|event| event.word == "STANDS" && event.node == 0xb0 && event.time_us >= started_us)
        .count();
    test.record.say(&format!(
        "{at_restarted} of {} sessions stand on node 000000b0",
        seats::SEATS
    ));
    let told_after_ms = (now_us() - started_us) / 1000;
    pause(TOLD_LATE_MS.saturating_sub(told_after_ms as u64));
    if test.has_trouble {
        let started_ms = (started_us / 1000) as u64;
        journal.publish(vec![nodes[0].entry(0, started_ms)], &test.record);
    }
    pause(1200);
    // Viewers of sessions that were released come again; others ask for the title as well.
    for _ in 0..2 * seats::SEATS {
        sessions.push(ask(&mut client)?);
        pause(500);
    }
    pause(3500);
    if !director.is_running() {
        test.record.say("the director has ended");
        return None;
    }
    seats::report_released(&test, &sessions);
    let most = most_held(&test.node_events());
    test.record.say(&format!(
        "the director held {most} sessions of the title in its paid class; seats: {}",
        seats::SEATS
    ));
    if most == 0 {
        return None;
    }
    Some(most > seats::SEATS as usize)
}

/// The node of the first cell has the least load, so that the title's sessions are set up there.
fn load_of(cell: u16) -> f64 {
    if cell == 0 { 0.1 } else { 0.5 }
}
