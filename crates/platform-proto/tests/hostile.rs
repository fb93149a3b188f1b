//! What nobody should send, and what must stay bounded.

mod common;
use common::*;
use proptest::prelude::*;
use shalewall_platform_proto::endpoint_watch::{Frame, FrameDecoder};
use shalewall_platform_proto::rtsp::RtspDecoder;
use shalewall_platform_proto::viewer_message::LineDecoder;
use shalewall_platform_proto::{ConnectError, MAX_MESSAGE_BYTES};

/// What is refused in words, with the connection kept.
#[test]
fn a_set_up_that_makes_no_sense_is_told_so_and_reaches_no_node() {
    let good = start(7, "free", 1500, "");
    let odd = [
        good.replace("free", "gold"),
        good.replace("\"1500\"", "\"-5\""),
        good.replace("\"1500\"", "\"1e99\""),
        good.replace("\"1500\"", "\"soon\""),
        good.replace("\"8200.0\"", "\"NaN\""),
        good.replace("home:0", "home:99"),
        good.replace("copies:2", "copies:0"),
        good.replace("copies:2", "copies:4294967296000"),
        good.replace("top:1", "top:77"),
        good.replace("7f3a9c21e0b4d655", "7f3a"),
        good.replace(r#","blob":"here\r\n""#, ""),
    ];
    for line in odd {
        let mut rig = Rig::new();
        let viewer = rig.viewer();
        rig.hear(viewer, &line);
        let told = rig.heard(viewer);
        assert!(
            told.contains(r#""verb":"FINISH","tag":"0000000000000007","opts":{},"rc":95"#),
            "{line}: {told}"
        );
        assert!(
            rig.links.is_empty() && rig.protocol.session_counts() == counts(0, 0),
            "{line}"
        );
        rig.hear(viewer, good.replace("0007", "0008"));
        assert_eq!(
            rig.protocol.session_counts(),
            counts(1, 0),
            "the connection serves on"
        );
    }
}

/// What can't be read closes the connection, and what is open on others goes on.
#[test]
fn a_viewer_that_can_not_be_read_is_closed_and_hurts_nobody() {
    let long = format!(
        "{{\"verb\":\"START\",\"blob\":\"{}",
        "x".repeat(MAX_MESSAGE_BYTES)
    );
    let odd = [
        "\n",
        "{}\n",
        "\u{1}\u{2}\n",
        "{\"verb\":\"SING\",\"tag\":\"0000000000000001\"}\n",
        &long,
        "[[[[[[[[\n",
    ];
    let mut rig = Rig::new();
    let good = rig.viewer();
    rig.ask(good, 1, "free");
    let mut all_bad = Vec::new();
    for (tag, bytes) in (2..).zip(odd) {
        let bad = rig.viewer();
        rig.ask(bad, tag, "free");
        rig.hear(bad, bytes);
        rig.write(bad);
        assert!(
            rig.finished.contains(&bad),
            "this side's half is closed at once: {bytes:.40}"
        );
        all_bad.push(bad);
        assert_eq!(
            rig.protocol.session_counts(),
            counts(1, 0),
            "what it had open is given up"
        );
    }
    for node in rig.links.keys().copied().collect::<Vec<_>>() {
        rig.come_up(node);
        rig.hear(node, answer(1, "there"));
    }
    assert_eq!(rig.heard(good).matches("STARTED").count(), 1);
    rig.pass(1300 * MS);
    assert!(
        all_bad.iter().all(|bad| rig.closed.contains(bad)),
        "and the other, whether they close theirs or not"
    );
}

/// One answer: two requests under one id from one side are both given up, and nobody else's is hurt by its id.
#[test]
fn two_requests_under_one_id() {
    let mut rig = Rig::new();
    let (viewer, node) = rig.out(7, "paid");
    rig.ask(viewer, 7, "paid");
    assert_eq!(rig.heard(viewer).matches("FINISH").count(), 1);
    assert!(rig.heard(node).contains("TEARDOWN"), "given up at its node");
    rig.hear(node, answer(7, "there"));
    assert!(rig.heard(viewer).is_empty(), "no second answer");
    rig.ask(viewer, 7, "paid");
    assert!(
        rig.heard(viewer).contains("\"rc\":95"),
        "an id is used once"
    );

    let mut rig = Rig::new();
    let (viewer, thief) = (rig.viewer(), rig.viewer());
    rig.ask(viewer, 7, "paid");
    rig.hear(thief, start(7, "free", 1500, ""));
    assert!(rig.heard(thief).contains("\"rc\":95"));
    let node = rig.up();
    rig.hear(node, answer(7, "there"));
    assert!(rig.heard(viewer).contains("STARTED"));
}

/// A viewer that takes its request back is owed nothing, and its node is told.
#[test]
fn a_request_that_is_taken_back_ends_at_its_node() {
    let mut rig = Rig::new();
    let (viewer, node) = rig.out(7, "paid");
    rig.heard(node);
    rig.hear(
        viewer,
        r#"{"verb":"FINISH","tag":"0000000000000007","opts":{},"rc":16}"#.to_string() + "\n",
    );
    assert!(rig.heard(node).starts_with("TEARDOWN") && !rig.heard(viewer).contains("\"FINISH\""));
    assert_eq!(rig.protocol.session_counts(), counts(0, 0));
    rig.hear(node, answer(7, "there"));
    assert!(rig.heard(viewer).is_empty());
}

/// Connections that say nothing, or half a message, are closed in time; one with a session is not.
#[test]
fn who_says_nothing_whole_is_closed_within_three_seconds() {
    let mut rig = Rig::new();
    let (silent, half) = (rig.viewer(), rig.viewer());
    rig.hear(half, "{\"verb\":");
    let (viewer, _) = rig.standing(7, "free");
    rig.pass(3 * S);
    assert!(
        rig.closed.contains(&silent) && rig.closed.contains(&half) && !rig.closed.contains(&viewer)
    );
}

/// Hundreds of silent connections take no usual viewer's place.
#[test]
fn a_crowd_of_silent_connections_makes_room_for_who_comes() {
    let mut rig = Rig::new();
    for _ in 0..2000 {
        rig.viewer();
    }
    let viewers = rig.protocol.connection_counts().viewers;
    assert!(viewers <= 256, "{viewers}");
    rig.standing(7, "free");
    assert_eq!(rig.protocol.session_counts(), counts(0, 1));
}

/// A fleet and viewers that are always new: nothing grows.
#[test]
fn tables_are_as_small_after_a_thousand_nodes_and_viewers_as_after_ten() {
    let mut rig = Rig::new();
    let mut number = 1u64;
    let mut sizes = Vec::new();
    for round in 0..1000u32 {
        // Each round a node is new, at the address of one that has gone.
        let record = |id: u32, state: u8| {
            let mut r = id.to_be_bytes().to_vec();
            r.extend([
                10,
                3,
                0,
                (id % 4) as u8,
                0x13,
                0xc4,
                state,
                0,
                0,
                0,
                (id % 2) as u8,
                0,
                0,
                3,
                0xe8,
            ]);
            r.extend([0; 8]);
            r
        };
        number += 1;
        let payload = [record(100 + round, 0), record(96 + round, 2)].concat();
        let mut frame = (9 + payload.len() as u32).to_be_bytes().to_vec();
        frame.extend(number.to_be_bytes());
        frame.push(2);
        frame.extend(payload);
        let mut frames = FrameDecoder::default();
        frames.push(&frame);
        let Ok(Some(frame @ Frame::Event(_))) = frames.frame() else {
            panic!("not read")
        };
        rig.protocol.handle_watch_frame(rig.now, &frame).unwrap();
        rig.pump();
        let viewer = rig.viewer();
        rig.ask(viewer, 1000 + u64::from(round), "free");
        for conn in rig.links.keys().copied().collect::<Vec<_>>() {
            rig.come_up(conn);
            rig.hear(conn, answer(1000 + u64::from(round), "there"));
            rig.hear(conn, release(1000 + u64::from(round), 16, b""));
        }
        rig.pass(100 * MS);
        rig.broken(viewer, true);
        sizes.push(rig.protocol.connection_counts());
    }
    let last = sizes.last().unwrap();
    assert!(
        last.viewers <= 1 && last.known_nodes <= 12 && last.nodes <= 85,
        "{last:?}"
    );
    assert_eq!(rig.protocol.session_counts().pending_requests, 0);
}

/// An own shortage is charged to no node: the request goes on to another.
#[test]
fn an_own_shortage_fails_no_paid_request() {
    let mut rig = Rig::new();
    let viewer = rig.viewer();
    rig.ask(viewer, 7, "paid");
    let first = *rig.links.keys().next().unwrap();
    rig.fail(first, ConnectError::LocalShortage);
    let second = rig.up();
    rig.hear(second, answer(7, "there"));
    assert!(rig.heard(viewer).contains("STARTED"));
}

fn cut(bytes: &[u8], at: &[usize]) -> Vec<Vec<u8>> {
    let mut at: Vec<usize> = at.iter().map(|i| i % (bytes.len() + 1)).collect();
    at.sort_unstable();
    at.insert(0, 0);
    at.push(bytes.len());
    at.windows(2).map(|w| bytes[w[0]..w[1]].to_vec()).collect()
}

proptest! {
    /// However a stream is cut, the same messages come of it.
    #[test]
    fn cuts_change_nothing(at in prop::collection::vec(any::<usize>(), 0..12)) {
        let stream = [answer(1, "one\r\n").into_bytes(), release(2, 16, b"\xff\x00"), refusal(3, 453).into_bytes()].concat();
        let mut reader = RtspDecoder::default();
        let mut tags = Vec::new();
        for piece in cut(&stream, &at) {
            reader.push(&piece);
            while let Some(message) = reader.message().unwrap() {
                tags.push(message.session.unwrap().value());
            }
        }
        prop_assert_eq!(tags, vec![1, 2, 3]);
        let stream = [start(1, "paid", 10, ""), start(2, "free", 10, "")].concat();
        let mut lines = LineDecoder::default();
        let mut tags = Vec::new();
        for piece in cut(stream.as_bytes(), &at) {
            lines.push(&piece);
            while let Some(message) = lines.message().unwrap() {
                tags.push(message.session);
            }
        }
        prop_assert_eq!(tags, vec!["0000000000000001", "0000000000000002"]);
    }

    /// Any bytes on any connection: an end or a word, never a panic, and the door serves on.
    #[test]
    fn noise_is_survived(noise in prop::collection::vec(any::<u8>(), 0..400), to_node in any::<bool>()) {
        let mut rig = Rig::new();
        let (viewer, node) = rig.standing(7, "free");
        let conn = if to_node { node } else { viewer };
        rig.hear(conn, &noise);
        rig.pass(S);
        let mut frames = FrameDecoder::default();
        frames.push(&noise);
        let _ = frames.frame();
        let other = rig.viewer();
        rig.ask(other, 8, "free");
        prop_assert!(rig.protocol.session_counts().pending_requests <= 1);
    }

    /// A good message with one byte changed serves nobody wrongly: what a viewer is told is the node's word or none.
    #[test]
    fn a_changed_byte_never_makes_an_answer_of_its_own(at in any::<usize>(), byte in any::<u8>()) {
        let mut rig = Rig::new();
        let (viewer, node) = rig.out(7, "paid");
        let mut bytes = answer(7, "there\r\n").into_bytes();
        let at = at % (bytes.len() - 7);
        bytes[at] = byte;
        rig.hear(node, &bytes);
        let told = rig.heard(viewer);
        prop_assert!(!told.contains("STARTED") || told.contains(r#""blob":"there\r\n""#), "{}", told);
    }
}
