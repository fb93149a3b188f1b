//! A director is killed while it starts, and starts again. Sessions that play when the day begins are handed to it as
//! soon as it has passed its first test. What came to its end at its media node has to be released towards its client.

use crate::node::playing_session;
use crate::platform::{
    Client, Director, Entry, Journal, MediaNode, Request, Start, Test, free_port, pause,
};
use crate::record::now_us;
use crate::settings::{Site, settings};

const NODES: u16 = 12;
/// Sessions that play at each media node when the day begins.
const PLAYING: u64 = 48;
const CLIENTS: usize = 12;
/// Mean length of a session: 29 to 67 s by the pages.
const LIFE_MS: u64 = 40_000;
/// From the kill to the restart.
const DOWN_MS: u64 = 3000;
/// A release is due 8 s after the end, or after the handing over, which counts 0.2 s later; 50 ms longer on sockets.
const RELEASE_US: i64 = 8_000_000 + 200_000 + 50_000;

const SITE: Site = Site {
    directors: 3,
    cells: 12,
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

/// A session that plays when the day begins, and the client connection that holds it.
struct Playing {
    session: String,
    node: u32,
    cell: u64,
    class: &'static str,
    client: usize,
}

impl Playing {
    fn request(&self) -> Request<'_> {
        let Playing {
            session,
            cell,
            class,
            ..
        } = self;
        let (title, home) = (300 + cell, *cell);
        Request {
            session,
            class,
            title,
            home,
            copies: 3,
            top: 4,
            left_ms: 0,
        }
    }
}

pub fn run(record: &str) -> Option<bool> {
    let test = Test::new(record)?;
    let journal = Journal::start(&test.record)?;
    let life = LIFE_MS.to_string();
    let mut nodes: Vec<MediaNode> = (0..NODES)
        .map(|cell| {
            MediaNode::start(
                0xf0 + u32::from(cell),
                cell,
                0,
                0.2,
                &["life", &life],
                &test,
            )
        })
        .collect::<Option<_>>()?;
    let entries: Vec<Entry> = nodes.iter().map(|node| node.entry(0, 0)).collect();
    let settings = settings(&SITE);
    let port = free_port()?;
    let start = Start {
        port,
        journal: &journal,
        entries: &entries,
        settings: &settings,
    };
    let mut director = Director::spawn(&test, &start)?;
    // Without the disruption the director is ready when the day begins.
    if !test.has_trouble {
        director.passes_test(&test)?;
    }
    for node in &mut nodes {
        node.begin(PLAYING)?;
    }
    pause(10);
    if test.has_trouble {
        director.kill(&test);
        pause(DOWN_MS);
        director = Director::start_at(&test, &start)?;
    }
    let mut playing = Vec::new();
    for number in 0..PLAYING {
        for (index, node) in nodes.iter().enumerate() {
            playing.push(Playing {
                session: playing_session(node.id, number),
                node: node.id,
                cell: index as u64,
                class: if number.is_multiple_of(3) {
                    SITE.paid
                } else {
                    SITE.free
                },
                client: playing.len() % CLIENTS,
            });
        }
    }
    let mut clients: Vec<Client> = (0..CLIENTS)
        .map(|_| Client::connect(port, &test))
        .collect::<Option<_>>()?;
    let handed_us = now_us();
    for one in &playing {
        clients[one.client].hand_over(&one.request(), one.node)?;
    }
    test.record.say(&format!(
        "{} sessions handed over within {} ms",
        playing.len(),
        (now_us() - handed_us) / 1000
    ));
    // Clients ask for new sessions meanwhile.
    for number in 0..100u64 {
        let session = Test::new_session();
        let home = number % u64::from(NODES);
        let (class, title) = (SITE.free, 300 + home);
        let request = Request {
            session: &session,
            class,
            title,
            home,
            copies: 3,
            top: 4,
            left_ms: 4000,
        };
        clients[number as usize % CLIENTS].request(&request)?;
        pause(100);
    }
    pause(9000);
    let checked_us = now_us();
    if !director.is_running() {
        test.record.say("the director has ended");
        return None;
    }
    let events = test.node_events();
    let (mut over, mut left_standing) = (0, 0);
    for one in &playing {
        let ended = events
            .iter()
            .find(|event| event.word == "ENDS" && event.session == one.session);
        let Some(ended) = ended else { continue };
        let due_us = ended.time_us.max(handed_us) + RELEASE_US;
        if due_us > checked_us {
            continue;
        }
        over += 1;
        let answers = test.answers(&one.session);
        let is_released = answers
            .iter()
            .any(|answer| answer.verb == "FINISH" && answer.time_us <= due_us);
        if !is_released {
            left_standing += 1;
            let before_ms = (handed_us - ended.time_us) / 1000;
            test.record.say(&format!(
                "{} ended at node {:08x} {before_ms} ms before the handing over; its client got no release",
                one.session, one.node
            ));
        }
    }
    test.record.say(&format!(
        "{over} sessions were over, {left_standing} of them left standing"
    ));
    if over == 0 {
        return None;
    }
    Some(left_standing > 0)
}
