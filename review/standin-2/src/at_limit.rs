//! A media node is at its connection limit for a moment: it has closed the idle connections of this director, and
//! refuses new ones. Its sessions stand.

use crate::Case;
use crate::platform::*;
use std::time::{Duration, Instant};

pub fn run(case: &Case) -> Result<Vec<String>, String> {
    let site = Site::small();
    let manner = Manner {
        answer_after_ms: 20,
        session_ms: 60_000,
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
    let mut paid = Vec::new();
    for n in 0..24 {
        let title = format!("{:016x}", 0xabc0 + n % 12);
        let class = if n % 3 == 0 { "paid" } else { "live" };
        let ask = Ask {
            class,
            left_ms: 1500,
            title: &title,
            home: (n % 12) as u16,
            copies: 3,
            top: 2,
            at: None,
        };
        let tag = new_tag();
        viewer.send(&start_line(&tag, &ask));
        if class == "paid" {
            paid.push(tag);
        }
        sleep_ms(330);
    }
    sleep_ms(2_000);
    // The media node with the most paid sessions.
    let paid_at = |node: &Node| {
        node.standing()
            .iter()
            .filter(|session| paid.contains(session))
            .count()
    };
    let node = nodes.iter().max_by_key(|node| paid_at(node)).unwrap();
    let standing = node.standing();
    case.rec
        .say(format!("standing at {}: {standing:?}", node.name()));
    if standing.is_empty() {
        return Err("no session stands".into());
    }
    if case.trouble {
        node.be_full();
        sleep_ms(2_000);
        node.have_room();
    } else {
        sleep_ms(2_000);
    }
    let end = Instant::now() + Duration::from_secs(10);
    while Instant::now() < end {
        sleep_ms(50);
    }
    let mut broken = Vec::new();
    for session in standing.iter().filter(|session| node.stands(session)) {
        if let Some(end) = viewer
            .of(session)
            .iter()
            .find(|heard| heard.verb == "FINISH")
        {
            broken.push(format!(
                "{session} ({}) stands at {}, but its viewer was told that it is over (cause {:?})",
                if paid.contains(session) {
                    "paid"
                } else {
                    "live"
                },
                node.name(),
                end.cause
            ));
        }
    }
    println!(
        "{} sessions stood at the media node, {} wrongly released",
        standing.len(),
        broken.len()
    );
    Ok(broken)
}
