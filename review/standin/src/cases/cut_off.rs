//! A media node is cut off for 6 s: its connections stay open and silent, new ones do not come up, and its sessions go
//! on. The director may not hold more sessions of a title and class than its seats.

use super::seats::{self, ask, most_held};
use crate::platform::{
    Client, Director, Journal, MediaNode, Request, SIGCONT, SIGSTOP, Test, pause, signal,
};
use crate::record::now_us;
use crate::settings::settings;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// "for 6 s a zone is partitioned (or a fifth of the media nodes fall silent)"
const CUT_MS: u64 = 6000;

pub fn run(record: &str) -> Option<bool> {
    let test = Test::new(record)?;
    let journal = Journal::start(&test.record)?;
    let nodes: Vec<MediaNode> = (0..10u16)
        .map(|cell| MediaNode::start(0xd0 + u32::from(cell), cell, 0, load_of(cell), &[], &test))
        .collect::<Option<_>>()?;
    let entries: Vec<_> = nodes.iter().map(|node| node.entry(0, 0)).collect();
    let mut director = Director::start(&test, &journal, &entries, &settings(&seats::SITE))?;
    // Any node may be warming up until this director has run for the warm-up time.
    pause(5500);
    let mut client = Client::connect(director.port, &test)?;
    // Each node answers one short session, so that the director knows its load.
    for cell in 0..10 {
        let session = Test::new_session();
        let (class, title, home, copies) = (seats::SITE.free, 0x100 + cell, cell, 1);
        client.request(&Request {
            session: &session,
            class,
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
    let mut sessions = Vec::new();
    for _ in 0..seats::SEATS {
        sessions.push(ask(&mut client)?);
        pause(600);
    }
    let cut_at = now_us();
    let mut fillers = Vec::new();
    if test.has_trouble {
        test.record.line("node 000000d0 is cut off");
        signal(nodes[0].pid(), SIGSTOP);
        // The kernel accepts connections for a stopped process until its queue is full; a machine that is cut off
        // accepts none.
        let address = SocketAddr::from(([127, 0, 0, 1], nodes[0].port));
        while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(30)) {
            fillers.push(stream);
        }
    }
    let passed_ms = (now_us() - cut_at) / 1000;
    pause(CUT_MS - passed_ms as u64);
    if test.has_trouble {
        signal(nodes[0].pid(), SIGCONT);
        test.record.line(&format!(
            "node 000000d0 is reached again after {} ms",
            (now_us() - cut_at) / 1000
        ));
    }
    drop(fillers);
    pause(1000);
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
