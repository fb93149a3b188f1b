//! The director's process stands still again and again, and finds all that came meanwhile. Media nodes are drained in
//! steps. No set-up may reach a media node later than the drain time after the journal service had the event.

use crate::platform::{
    Client, Director, Journal, MediaNode, Request, SIGCONT, SIGSTOP, Test, pause, signal,
};
use crate::record::now_us;
use crate::settings::{Site, settings};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

const NODES: u16 = 16;
/// Stand-stills: 1,500 to 2,000 ms every 2.3 to 3.6 s, for 16 to 35 s, by the pages.
const STALL_MS: u64 = 1800;
const STALL_EVERY_MS: u64 = 3250;
const STALLS: usize = 8;
/// The drain time, and the 50 ms that every time limit is longer on sockets.
const DRAIN_US: i64 = 250_000 + 50_000;

const SITE: Site = Site {
    directors: 3,
    cells: 16,
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
    has_probes: true,
};

pub fn run(record: &str) -> Option<bool> {
    let test = Test::new(record)?;
    let journal = Journal::start(&test.record)?;
    let nodes: Vec<MediaNode> = (0..NODES)
        .map(|cell| MediaNode::start(0xc0 + u32::from(cell), cell, 0, 0.2, &[], &test))
        .collect::<Option<_>>()?;
    let entries: Vec<_> = nodes.iter().map(|node| node.entry(0, 0)).collect();
    let mut director = Director::start(&test, &journal, &entries, &settings(&SITE))?;
    pause(5500);
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = {
        let (is_over, port) = (is_over.clone(), director.port);
        let mut connections = [Client::connect(port, &test)?, Client::connect(port, &test)?];
        thread::spawn(move || {
            let mut number = 0u64;
            while !is_over.load(Ordering::Relaxed) {
                number += 1;
                let session = Test::new_session();
                let class = if number.is_multiple_of(3) {
                    SITE.paid
                } else {
                    SITE.free
                };
                let home = number.wrapping_mul(7) % u64::from(NODES);
                let request = Request {
                    session: &session,
                    class,
                    title: 200 + home,
                    home,
                    copies: 3,
                    top: 4,
                    left_ms: 4000,
                };
                let _ = connections[(number % 2) as usize].request(&request);
                pause(60);
            }
        })
    };
    pause(5000);
    let mut told = Vec::new();
    for node in nodes.iter().take(STALLS) {
        if test.has_trouble {
            test.record.line("the director stands still");
            signal(director.pid(), SIGSTOP);
        }
        pause(1200);
        // Half of the media nodes are replaced in steps.
        told.push((
            node.id,
            journal.publish(vec![node.entry(1, 0)], &test.record),
        ));
        pause(STALL_MS - 1200);
        if test.has_trouble {
            test.record.line("the director goes on");
            signal(director.pid(), SIGCONT);
        }
        pause(STALL_EVERY_MS - STALL_MS);
    }
    pause(500);
    is_over.store(true, Ordering::Relaxed);
    let _ = clients.join();
    let checked_at = now_us();
    if !director.is_running() {
        test.record.say("the director has ended");
        return None;
    }
    let mut late = 0;
    let events = test.node_events();
    for (node, told_at) in &told {
        for event in events
            .iter()
            .filter(|event| event.node == *node && event.word == "SETUP")
        {
            if event.time_us > told_at + DRAIN_US {
                late += 1;
                let after_ms = (event.time_us - told_at) / 1000;
                test.record.say(&format!(
                    "{} was set up at {node:08x} {after_ms} ms after its drain was told",
                    event.session
                ));
            }
        }
    }
    let set_ups = events
        .iter()
        .filter(|event| event.word == "SETUP" && event.time_us < checked_at)
        .count();
    test.record.say(&format!(
        "{set_ups} set-ups, {} drains, {late} set-ups later than allowed",
        told.len()
    ));
    if set_ups < 100 {
        return None;
    }
    Some(late > 0)
}
