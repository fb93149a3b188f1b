//! Bad clients that send ids no media node knows, at full speed, and read what they receive.

use crate::Case;
use crate::platform::*;
use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The longest that a bad client sends on one connection.
const MAX_BYTES: usize = 60_000_000;
/// How long a viewer waits, and by how much later an answer is lost: 0.5 s, and 50 ms on sockets.
const LEFT_MS: u64 = 1_500;
const SLACK_MS: u64 = 550;

fn bad_client(director: SocketAddrV4, stop: Arc<AtomicBool>, turned_away: Arc<AtomicU64>) {
    // Releases of sessions under ids that no media node knows.
    let mut noise = Vec::new();
    while noise.len() < 64_000 {
        noise.extend(finish_line(&new_tag(), 16).into_bytes());
        noise.push(b'\n');
    }
    while !stop.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect(director) else {
            sleep_ms(10);
            continue;
        };
        // Reads what it receives.
        let mut reading = stream.try_clone().unwrap();
        let reader = thread::spawn(move || {
            let mut buffer = [0; 4096];
            while reading.read(&mut buffer).is_ok_and(|count| count > 0) {}
        });
        let mut sent = 0;
        while sent < MAX_BYTES && !stop.load(Ordering::SeqCst) {
            match stream.write_all(&noise) {
                Ok(()) => sent += noise.len(),
                Err(_) => break,
            }
        }
        turned_away.fetch_add(1, Ordering::SeqCst);
        let _ = stream.shutdown(std::net::Shutdown::Both);
        let _ = reader.join();
    }
}

pub fn run(case: &Case) -> Result<Vec<String>, String> {
    let count = 16;
    let site = Site::small();
    let manner = Manner {
        answer_after_ms: 20,
        session_ms: 8_000,
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
    let stop = Arc::new(AtomicBool::new(false));
    let turned_away = Arc::new(AtomicU64::new(0));
    let mut bad = Vec::new();
    let begin = Instant::now();
    let mut asked: Vec<(Instant, String, Arc<Viewer>)> = Vec::new();
    let viewers: Vec<Arc<Viewer>> = (0..4)
        .map(|_| Arc::new(Viewer::connect(&case.rec, director.address, true).unwrap()))
        .collect();
    let mut n = 0usize;
    while begin.elapsed() < Duration::from_secs(18) {
        if case.trouble && bad.is_empty() && begin.elapsed() > Duration::from_secs(5) {
            case.rec.say(format!("{count} bad clients begin"));
            for _ in 0..count {
                let (s, t, a) = (stop.clone(), turned_away.clone(), director.address);
                bad.push(thread::spawn(move || bad_client(a, s, t)));
            }
        }
        if begin.elapsed() > Duration::from_secs(13) && !stop.load(Ordering::SeqCst) {
            stop.store(true, Ordering::SeqCst);
            case.rec.say(format!(
                "bad clients stop, turned away {} times",
                turned_away.load(Ordering::SeqCst)
            ));
        }
        let tag = new_tag();
        let class = if n % 3 == 0 { "paid" } else { "live" };
        let title = format!("{:016x}", 0xabc0 + n % 9);
        let ask = Ask {
            class,
            left_ms: LEFT_MS,
            title: &title,
            home: (n % 9) as u16,
            copies: 4,
            top: 2,
            at: None,
        };
        let viewer = viewers[n % 4].clone();
        case.rec.say(format!("viewer asks {tag} {class}"));
        let at = Instant::now();
        if !viewer.send(&start_line(&tag, &ask)) {
            return Err("a viewer's connection was lost".into());
        }
        asked.push((at, tag, viewer));
        n += 1;
        sleep_ms(250);
    }
    sleep_ms(3000);
    let mut broken = Vec::new();
    let mut worst = Duration::ZERO;
    for (at, tag, viewer) in &asked {
        let heard = viewer.of(tag);
        match heard
            .iter()
            .find(|h| h.verb == "STARTED" || h.verb == "FINISH")
        {
            None => broken.push(format!("{tag}: no answer")),
            Some(h) => {
                let delay = h.at.duration_since(*at);
                worst = worst.max(delay);
                if delay > Duration::from_millis(LEFT_MS + SLACK_MS) {
                    broken.push(format!(
                        "{tag}: answered {} {:?} after {} ms",
                        h.verb,
                        h.cause,
                        delay.as_millis()
                    ));
                }
            }
        }
    }
    case.rec.say(format!(
        "{} set-ups, worst answer after {} ms",
        asked.len(),
        worst.as_millis()
    ));
    println!(
        "{} set-ups, worst answer after {} ms, turned away {}",
        asked.len(),
        worst.as_millis(),
        turned_away.load(Ordering::SeqCst)
    );
    if director.has_ended() {
        broken.push("the director has ended".into());
    }
    Ok(broken)
}
