//! Media nodes return some good answers spoilt: the length is too small by the last line, which comes a little later.

use crate::Case;
use crate::platform::*;

pub fn run(case: &Case) -> Result<Vec<String>, String> {
    let site = Site::small();
    let manner = Manner {
        answer_after_ms: 20,
        session_ms: 15_000,
        frozen: false,
        others_ask: 0.0,
        streams: 40,
        spoils_one_in: if case.trouble { 4 } else { 0 },
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
    let mut asked = Vec::new();
    for n in 0..80 {
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
        let tag = new_tag();
        viewer.send(&start_line(&tag, &ask));
        asked.push((tag, class));
        sleep_ms(250);
    }
    sleep_ms(2_000);
    let mut broken = Vec::new();
    let mut served = 0;
    for (tag, class) in &asked {
        let heard = viewer.of(tag);
        let Some(answer) = heard.iter().find(|heard| heard.verb == "STARTED") else {
            continue;
        };
        served += 1;
        let told = answer
            .description
            .clone()
            .unwrap_or_default()
            .replace("\\r\\n", "\r\n");
        let made: Vec<String> = nodes
            .iter()
            .filter_map(|node| node.description(tag))
            .collect();
        if !made.contains(&told) {
            broken.push(format!(
                "{tag} ({class}) was served with {told:?}; a media node made {made:?}"
            ));
        }
    }
    println!(
        "{} set-ups, {served} served, {} with what no media node made",
        asked.len(),
        broken.len()
    );
    Ok(broken)
}
