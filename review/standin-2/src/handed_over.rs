//! Bad clients announce sessions that play nowhere, under ids no media node knows, at full speed.

use crate::Case;
use crate::platform::*;
use std::thread;
use std::time::{Duration, Instant};

/// What a bad client sends.
const BYTES: usize = 60_000_000;
const BAD_CLIENTS: usize = 2;

/// Sends set-ups with `at` on one connection, and reads what it receives.
fn bad_client(client: &Viewer, nodes: &[String]) -> usize {
    let mut sent = 0;
    let mut count = 0;
    while sent < BYTES {
        let mut lines = String::new();
        for _ in 0..200 {
            let at = nodes[count % nodes.len()].clone();
            let title = "00000000000000ab";
            let ask = Ask {
                class: "live",
                left_ms: 1500,
                title,
                home: 0,
                copies: 3,
                top: 2,
                at: Some(at),
            };
            lines.push_str(&start_line(&new_tag(), &ask));
            lines.push('\n');
            count += 1;
        }
        sent += lines.len();
        if !client.send(lines.trim_end()) {
            break;
        }
    }
    count
}

pub fn run(case: &Case) -> Result<Vec<String>, String> {
    let site = Site::small();
    let manner = Manner {
        answer_after_ms: 20,
        session_ms: 9_000,
        frozen: false,
        others_ask: 0.0,
        streams: 40,
        spoils_one_in: 0,
    };
    let nodes: Vec<_> = (0..12)
        .map(|n| Node::start(&case.rec, 0x1000 + n, n as u16, manner))
        .collect();
    let journal = Journal::start(&case.rec, nodes.iter().map(|n| n.member(0, 0)).collect());
    let mut director = Director::new(&case.rec, &case.folder, "n1", &site);
    if !director.start(&case.root, &journal) {
        return Err("the director does not start".into());
    }
    let viewer =
        Viewer::connect(&case.rec, director.address, true).map_err(|error| error.to_string())?;
    let limit_kb = MEMORY_MB * 1024;
    let begin = Instant::now();
    let mut bad = Vec::new();
    let mut most_kb = 0;
    let mut broken = Vec::new();
    let mut next_report = Duration::ZERO;
    let mut n = 0;
    while begin.elapsed() < Duration::from_secs(25) {
        if case.trouble && bad.is_empty() && begin.elapsed() > Duration::from_secs(4) {
            for _ in 0..BAD_CLIENTS {
                let client = Viewer::connect(&case.rec, director.address, false)
                    .map_err(|error| error.to_string())?;
                let names: Vec<String> = nodes[..3].iter().map(|node| node.name()).collect();
                let rec = case.rec.clone();
                rec.say("a bad client begins");
                bad.push(thread::spawn(move || {
                    let count = bad_client(&client, &names);
                    rec.say(format!("a bad client has sent {count} set-ups with `at`"));
                    sleep_ms(2_000);
                    client.close();
                    rec.say("a bad client has closed its connection");
                }));
            }
        }
        let title = format!("{:016x}", 0xabc0 + n % 12);
        let class = if n % 3 == 0 { "paid" } else { "live" };
        let ask = Ask {
            class,
            left_ms: 1500,
            title: &title,
            home: (n % 12) as u16,
            copies: 4,
            top: 2,
            at: None,
        };
        viewer.send(&start_line(&new_tag(), &ask));
        n += 1;
        sleep_ms(250);
        let Some(used_kb) = director.memory_kb() else {
            return Err("the director's memory can't be read".into());
        };
        most_kb = most_kb.max(used_kb);
        if begin.elapsed() >= next_report {
            next_report = begin.elapsed() + Duration::from_secs(1);
            case.rec.say(format!(
                "director {}: {used_kb} kB in memory",
                director.name
            ));
        }
        if used_kb > limit_kb && broken.is_empty() {
            let line = format!(
                "the director uses {used_kb} kB; over {limit_kb} kB it is killed for memory"
            );
            case.rec.say(&line);
            broken.push(line);
        }
    }
    for client in bad {
        let _ = client.join();
    }
    if director.has_ended() {
        broken.push("the director has ended".into());
    }
    println!("at most {most_kb} kB of {limit_kb} kB");
    Ok(broken)
}
