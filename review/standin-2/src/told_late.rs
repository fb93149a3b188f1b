//! A media node dies and returns cold while discovery is out of reach; the list tells of its start later.

use crate::Case;
use crate::platform::*;
use std::time::{Duration, Instant};

pub fn run(case: &Case) -> Result<Vec<String>, String> {
    let site = Site::small();
    let manner = Manner {
        answer_after_ms: 20,
        session_ms: 40_000,
        frozen: false,
        others_ask: 0.0,
        streams: 40,
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
    let begin = Instant::now();
    let mut stage = 0;
    let mut started_ms = 0;
    let mut n = 0;
    let mut before: Vec<String> = Vec::new();
    let at = |seconds: f64| begin.elapsed() >= Duration::from_secs_f64(seconds);
    while !at(26.0) {
        match stage {
            0 if at(3.0) => {
                for node in &nodes[1..] {
                    node.manner.lock().unwrap().others_ask = 0.95;
                }
                if case.trouble {
                    journal.set_up(false);
                }
                stage = 1;
            }
            1 if at(3.2) => {
                if case.trouble {
                    nodes[0].die();
                }
                stage = 2;
            }
            2 if at(13.0) => {
                if case.trouble {
                    started_ms = nodes[0].restart();
                }
                stage = 3;
            }
            3 if at(20.0) => {
                before = nodes[0].standing();
                case.rec
                    .say(format!("standing at {}: {before:?}", nodes[0].name()));
                if case.trouble {
                    journal.publish(vec![nodes[0].member(0, started_ms)]);
                    journal.set_up(true);
                }
                stage = 4;
            }
            _ => {}
        }
        if stage < 4 {
            let title = format!("{:016x}", 0xabc0 + n % 4);
            let class = if n % 3 == 0 { "paid" } else { "live" };
            let ask = Ask {
                class,
                left_ms: 1500,
                title: &title,
                home: 0,
                copies: 3,
                top: 2,
                at: None,
            };
            let tag = new_tag();
            viewer.send(&start_line(&tag, &ask));
            n += 1;
        }
        sleep_ms(250);
    }
    let mut broken = Vec::new();
    for session in before.iter().filter(|session| nodes[0].stands(session)) {
        if let Some(end) = viewer
            .of(session)
            .iter()
            .find(|heard| heard.verb == "FINISH")
        {
            broken.push(format!(
                "{session} stands at {}, but its viewer was told that it is over (cause {:?})",
                nodes[0].name(),
                end.cause
            ));
        }
    }
    println!(
        "{} sessions stood at the media node when its start was told, {} wrongly released",
        before.len(),
        broken.len()
    );
    Ok(broken)
}
