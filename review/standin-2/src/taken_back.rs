//! A media node starts cold, and bad clients send hundreds of requests and take each back at once.

use crate::Case;
use crate::platform::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Instant;

const BAD_REQUESTS: usize = 400;

pub fn run(case: &Case) -> Result<Vec<String>, String> {
    let site = Site::small();
    let manner = Manner {
        answer_after_ms: 20,
        session_ms: 20_000,
        frozen: false,
        others_ask: 0.0,
        streams: 40,
        spoils_one_in: 0,
    };
    let nodes: Vec<_> = (0..12)
        .map(|n| Node::start(&case.rec, 0x1000 + n, n as u16, manner))
        .collect();
    // Cell 0 is empty at first: its media node starts later, cold.
    let journal = Journal::start(
        &case.rec,
        nodes[1..].iter().map(|n| n.member(0, 0)).collect(),
    );
    let mut directors: Vec<Director> = (1..4)
        .map(|n| Director::new(&case.rec, &case.folder, &format!("n{n}"), &site))
        .collect();
    for director in &mut directors {
        if !director.start(&case.root, &journal) {
            return Err("a director does not start".into());
        }
    }
    let addresses: Vec<_> = directors.iter().map(|director| director.address).collect();

    // The usual viewers: 3 new sessions a second over the three directors.
    let stop = Arc::new(AtomicBool::new(false));
    let usual = {
        let (rec, stop, addresses) = (case.rec.clone(), stop.clone(), addresses.clone());
        thread::spawn(move || {
            let viewers: Vec<_> = addresses
                .iter()
                .map(|address| Viewer::connect(&rec, *address, false).unwrap())
                .collect();
            let mut n = 0;
            while !stop.load(Ordering::SeqCst) {
                let title = format!("{:016x}", 0xabc0 + n % 12);
                let class = if n % 3 == 0 { "paid" } else { "live" };
                let home = (n % 12) as u16;
                let ask = Ask {
                    class,
                    left_ms: 1500,
                    title: &title,
                    home,
                    copies: 3,
                    top: 2,
                    at: None,
                };
                let tag = new_tag();
                viewers[n % viewers.len()].send(&start_line(&tag, &ask));
                n += 1;
                sleep_ms(330);
            }
        })
    };
    // Longer than the warm-up, so that the directors' own start is long past.
    sleep_ms(14_000);
    let started = Instant::now();
    let started_ms = unix_ms();
    case.rec.say(format!("{} starts, cold", nodes[0].name()));
    journal.publish(vec![nodes[0].member(0, started_ms)]);
    sleep_ms(1_000);
    if case.trouble {
        case.rec.say(format!("at each director a bad client sends {BAD_REQUESTS} requests and takes each back at once"));
        let clients: Vec<_> = addresses
            .iter()
            .map(|address| {
                let (rec, address) = (case.rec.clone(), *address);
                thread::spawn(move || {
                    let client = Viewer::connect(&rec, address, false).unwrap();
                    let ask = Ask {
                        class: "live",
                        left_ms: 1500,
                        title: "00000000000000ab",
                        home: 0,
                        copies: 3,
                        top: 2,
                        at: None,
                    };
                    for _ in 0..BAD_REQUESTS {
                        let tag = new_tag();
                        client.send(&start_line(&tag, &ask));
                        sleep_ms(1);
                        client.send(&finish_line(&tag, 16));
                        sleep_ms(1);
                    }
                    sleep_ms(500);
                    client.close();
                })
            })
            .collect();
        for client in clients {
            let _ = client.join();
        }
    }
    sleep_ms(9_000);
    stop.store(true, Ordering::SeqCst);
    let _ = usual.join();

    // N is what the settings allow in the time that they name; the present share is taken at the end of that time.
    let times: Vec<f64> = nodes[0]
        .set_ups()
        .iter()
        .map(|set_up| set_up.at.duration_since(started).as_secs_f64() * 1000.0)
        .collect();
    let mut broken = Vec::new();
    let mut most = (0, 0.0);
    let fall = site.fall_ms as f64;
    for (index, end) in times.iter().enumerate() {
        if *end > site.warm_ms as f64 {
            break;
        }
        let got = times[..=index]
            .iter()
            .filter(|time| **time > end - fall)
            .count();
        let share = site.start_capacity + (1.0 - site.start_capacity) * end / site.warm_ms as f64;
        let allowed =
            site.overload_factor * share * site.streams as f64 / site.warm_ms as f64 * fall;
        let limit = allowed + 3.0 * allowed.sqrt() + 3.0;
        if got > most.0 {
            most = (got, limit);
        }
        if got as f64 > limit && broken.is_empty() {
            broken.push(format!(
                "{end:.0} ms after its start {} had got {got} set-ups within {fall} ms; it falls at more than {limit:.1}",
                nodes[0].name()
            ));
        }
    }
    let line = format!(
        "{} set-ups at the cold media node, at most {} within {} ms (limit then {:.1})",
        times.len(),
        most.0,
        site.fall_ms,
        most.1
    );
    case.rec.say(&line);
    println!("{line}");
    Ok(broken)
}
