//! Invalid and hostile input, and bounds on memory.

mod common;
use common::{
    Harness, MILLISECOND, SECOND, config_of, counts, finish_message, set_up_answer,
    set_up_rejection, start_message, teardown,
};
use proptest::prelude::*;
use shalewall_platform_proto::endpoint_watch::{Frame, FrameDecoder};
use shalewall_platform_proto::rtsp::RtspDecoder;
use shalewall_platform_proto::viewer_message::LineDecoder;
use shalewall_platform_proto::{ConnectError, MAX_MESSAGE_BYTES};

/// An invalid request is answered, and its connection stays open.
#[test]
fn an_invalid_request_is_answered_and_reaches_no_node() {
    let valid = start_message(7, "free", 1500, "");
    let invalid = [
        valid.replace("free", "gold"),
        valid.replace("\"1500\"", "\"-5\""),
        valid.replace("\"1500\"", "\"1e99\""),
        valid.replace("\"1500\"", "\"soon\""),
        valid.replace("\"8200.0\"", "\"NaN\""),
        valid.replace("home:0", "home:99"),
        valid.replace("copies:2", "copies:0"),
        valid.replace("copies:2", "copies:4294967296000"),
        valid.replace("top:1", "top:77"),
        valid.replace("7f3a9c21e0b4d655", "7f3a"),
        valid.replace(r#","blob":"here\r\n""#, ""),
    ];
    for line in invalid {
        let mut harness = Harness::new();
        let viewer = harness.connect_viewer();
        harness.receive(viewer, &line);
        let received = harness.take_written(viewer);
        assert!(
            received.contains(r#""verb":"FINISH","tag":"0000000000000007","opts":{},"rc":95"#),
            "{line}: {received}"
        );
        assert!(
            harness.node_connections.is_empty()
                && harness.protocol.session_counts() == counts(0, 0),
            "{line}"
        );
        harness.receive(viewer, valid.replace("0007", "0008"));
        assert_eq!(
            harness.protocol.session_counts(),
            counts(1, 0),
            "the connection still accepts requests"
        );
    }
}

/// Input that can't be decoded closes its own connection only.
#[test]
fn invalid_input_closes_only_its_own_connection() {
    let long = format!(
        "{{\"verb\":\"START\",\"blob\":\"{}",
        "x".repeat(MAX_MESSAGE_BYTES)
    );
    let invalid = [
        "\n",
        "{}\n",
        "\u{1}\u{2}\n",
        "{\"verb\":\"SING\",\"tag\":\"0000000000000001\"}\n",
        &long,
        "[[[[[[[[\n",
    ];
    let mut harness = Harness::new();
    let valid = harness.connect_viewer();
    harness.request(valid, 1, "free");
    let mut all_bad = Vec::new();
    for (tag, bytes) in (2..).zip(invalid) {
        let bad = harness.connect_viewer();
        harness.request(bad, tag, "free");
        harness.receive(bad, bytes);
        harness.write(bad);
        assert!(
            harness.half_closed.contains(&bad),
            "the write half is closed at once: {bytes:.40}"
        );
        all_bad.push(bad);
        assert_eq!(
            harness.protocol.session_counts(),
            counts(1, 0),
            "its requests are withdrawn"
        );
        let written = harness.take_written(bad);
        let answer = format!(r#""tag":"{tag:016x}","opts":{{}},"rc":34"#);
        assert_eq!(written.matches(&answer).count(), 1, "{written}");
    }
    for node in harness.node_connections.keys().copied().collect::<Vec<_>>() {
        harness.connect(node);
        harness.receive(node, set_up_answer(1, "there\r\n"));
    }
    assert_eq!(harness.take_written(valid).matches("STARTED").count(), 1);
    harness.advance(1300 * MILLISECOND);
    assert!(
        all_bad.iter().all(|bad| harness.closed.contains(bad)),
        "the read half is closed as well, even if the viewer does not close its own"
    );
}

#[test]
fn requests_around_an_invalid_line_get_one_answer_each() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_attempt(7, "paid");
    harness.take_written(node);
    let request = |tag| start_message(tag, "paid", 1500, "");
    harness.receive(
        viewer,
        request(8)
            + "no message
" + &request(9)
            + "again none
" + &request(10),
    );
    let written = harness.take_written(viewer);
    for (tag, cause) in [(7, 41), (8, 34), (9, 34), (10, 34)] {
        let answer = format!(r#""tag":"{tag:016x}","opts":{{}},"rc":{cause}"#);
        assert_eq!(written.matches(&answer).count(), 1, "{written}");
    }
    assert_eq!(written.lines().count(), 5, "{written}");
    assert!(harness.take_written(node).contains("TEARDOWN"));
    assert_eq!(harness.protocol.session_counts(), counts(0, 0));
}

/// Two requests with the same id on one connection are both cancelled; a request is not affected by a duplicate from
/// another connection.
#[test]
fn duplicate_request_ids_are_rejected() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_attempt(7, "paid");
    harness.request(viewer, 7, "paid");
    assert_eq!(harness.take_written(viewer).matches("FINISH").count(), 1);
    assert!(
        harness.take_written(node).contains("TEARDOWN"),
        "cancelled at its node"
    );
    harness.receive(node, set_up_answer(7, "there\r\n"));
    assert!(harness.take_written(viewer).is_empty(), "no second answer");
    harness.request(viewer, 7, "paid");
    assert!(
        harness.take_written(viewer).contains("\"rc\":95"),
        "the id is not accepted again"
    );

    let mut harness = Harness::new();
    let (viewer, other) = (harness.connect_viewer(), harness.connect_viewer());
    harness.request(viewer, 7, "paid");
    harness.receive(other, start_message(7, "free", 1500, ""));
    assert!(harness.take_written(other).contains("\"rc\":95"));
    let node = harness.connect_next();
    harness.receive(node, set_up_answer(7, "there\r\n"));
    assert!(harness.take_written(viewer).contains("STARTED"));
}

/// A withdrawn request is not answered, and its set-up is cancelled at the node.
#[test]
fn a_withdrawn_request_is_cancelled_at_its_node() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_attempt(7, "paid");
    harness.take_written(node);
    harness.receive(
        viewer,
        r#"{"verb":"FINISH","tag":"0000000000000007","opts":{},"rc":16}"#.to_string() + "\n",
    );
    assert!(
        harness.take_written(node).starts_with("TEARDOWN")
            && !harness.take_written(viewer).contains("\"FINISH\"")
    );
    assert_eq!(harness.protocol.session_counts(), counts(0, 0));
    harness.receive(node, set_up_answer(7, "there\r\n"));
    assert!(harness.take_written(viewer).is_empty());
}

/// Connections that send nothing, or half a message, are closed in time; one with a session stays open.
#[test]
fn silent_connections_are_closed_within_three_seconds() {
    let mut harness = Harness::new();
    let (silent, half) = (harness.connect_viewer(), harness.connect_viewer());
    harness.receive(half, "{\"verb\":");
    let (viewer, _) = harness.start_session(7, "free");
    harness.advance(3 * SECOND);
    assert!(
        harness.closed.contains(&silent)
            && harness.closed.contains(&half)
            && !harness.closed.contains(&viewer)
    );
}

/// Hundreds of silent connections do not keep other viewers out.
#[test]
fn silent_connections_are_evicted_for_new_ones() {
    let mut harness = Harness::new();
    for _ in 0..2000 {
        harness.connect_viewer();
    }
    let viewers = harness.protocol.connection_counts().viewers;
    assert!(viewers <= 256, "{viewers}");
    harness.start_session(7, "free");
    assert_eq!(harness.protocol.session_counts(), counts(0, 1));
}

/// With new nodes and viewers in each round, no table grows.
#[test]
fn tables_stay_bounded_over_a_thousand_nodes_and_viewers() {
    let mut harness = Harness::new();
    let mut number = 1u64;
    let mut sizes = Vec::new();
    for round in 0..1000u32 {
        // In each round a node is new, at the address of one that is gone.
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
            panic!("the frame is not decoded")
        };
        harness
            .protocol
            .handle_watch_frame(harness.now, &frame)
            .unwrap();
        harness.process_outputs();
        let viewer = harness.connect_viewer();
        harness.request(viewer, 1000 + u64::from(round), "free");
        for connection in harness.node_connections.keys().copied().collect::<Vec<_>>() {
            harness.connect(connection);
            harness.receive(
                connection,
                set_up_answer(1000 + u64::from(round), "there\r\n"),
            );
            harness.receive(connection, teardown(1000 + u64::from(round), 16, b""));
        }
        harness.advance(100 * MILLISECOND);
        harness.close(viewer, true);
        sizes.push(harness.protocol.connection_counts());
    }
    let last = sizes.last().unwrap();
    assert!(
        last.viewers <= 1 && last.known_nodes <= 12 && last.nodes <= 85,
        "{last:?}"
    );
    assert_eq!(harness.protocol.session_counts().pending_requests, 0);
}

/// A local shortage is not counted against the node: the request is forwarded to another.
#[test]
fn a_local_shortage_fails_no_paid_request() {
    let mut harness = Harness::new();
    let viewer = harness.connect_viewer();
    harness.request(viewer, 7, "paid");
    let first = *harness.node_connections.keys().next().unwrap();
    harness.fail_connect(first, ConnectError::LocalShortage);
    let second = harness.connect_next();
    harness.receive(second, set_up_answer(7, "there\r\n"));
    assert!(harness.take_written(viewer).contains("STARTED"));
}

fn split_at(bytes: &[u8], at: &[usize]) -> Vec<Vec<u8>> {
    let mut at: Vec<usize> = at.iter().map(|i| i % (bytes.len() + 1)).collect();
    at.sort_unstable();
    at.insert(0, 0);
    at.push(bytes.len());
    at.windows(2).map(|w| bytes[w[0]..w[1]].to_vec()).collect()
}

proptest! {
    /// The decoded messages do not depend on how the stream is fragmented.
    #[test]
    fn fragmentation_does_not_change_messages(at in prop::collection::vec(any::<usize>(), 0..12)) {
        let stream = [set_up_answer(1, "one\r\n").into_bytes(), teardown(2, 16, b"\xff\x00"), set_up_rejection(3, 453).into_bytes()].concat();
        let mut reader = RtspDecoder::default();
        let mut tags = Vec::new();
        for piece in split_at(&stream, &at) {
            reader.push(&piece);
            while let Some(message) = reader.message().unwrap() {
                tags.push(message.session.unwrap().value());
            }
        }
        prop_assert_eq!(tags, vec![1, 2, 3]);
        let stream = [start_message(1, "paid", 10, ""), start_message(2, "free", 10, "")].concat();
        let mut lines = LineDecoder::default();
        let mut tags = Vec::new();
        for piece in split_at(stream.as_bytes(), &at) {
            lines.push(&piece);
            while let Some(message) = lines.message().unwrap() {
                tags.push(message.session);
            }
        }
        prop_assert_eq!(tags, vec!["0000000000000001", "0000000000000002"]);
    }

    /// Random bytes on any connection are answered or close it, without a panic, and the director still serves
    /// requests.
    #[test]
    fn random_bytes_cause_no_panic(noise in prop::collection::vec(any::<u8>(), 0..400), to_node in any::<bool>()) {
        let mut harness = Harness::new();
        let (viewer, node) = harness.start_session(7, "free");
        let connection = if to_node { node } else { viewer };
        harness.receive(connection, &noise);
        harness.advance(SECOND);
        let mut frames = FrameDecoder::default();
        frames.push(&noise);
        let _ = frames.frame();
        let other = harness.connect_viewer();
        harness.request(other, 8, "free");
        prop_assert!(harness.protocol.session_counts().pending_requests <= 1);
    }

    /// A valid message with one corrupted byte: the viewer receives the node's description unchanged, or none.
    #[test]
    fn a_corrupted_byte_forges_no_answer(at in any::<usize>(), byte in any::<u8>()) {
        let mut harness = Harness::new();
        let (viewer, node) = harness.start_attempt(7, "paid");
        let mut bytes = set_up_answer(7, "there\r\n").into_bytes();
        let at = at % (bytes.len() - 7);
        bytes[at] = byte;
        harness.receive(node, &bytes);
        let received = harness.take_written(viewer);
        prop_assert!(!received.contains("STARTED") || received.contains(r#""blob":"there\r\n""#), "{}", received);
    }
}

/// Guards against memory that grows for as long as a client sends: the timers of requests that were taken back were kept
/// until the time that their viewer had stated, up to an hour.
#[test]
fn timers_of_withdrawn_requests_are_removed() {
    let mut harness = Harness::new();
    let viewer = harness.connect_viewer();
    for tag in 1..10_000 {
        harness.receive(viewer, start_message(tag, "free", 3_600_000, ""));
        harness.receive(viewer, finish_message(tag));
        if tag == 1 {
            harness.connect_next();
        }
        harness.written.clear();
    }
    harness.advance(SECOND);
    let timers = harness.protocol.status().pending_timers;
    assert!(timers < 1_100, "{timers} timers are pending");
    assert_eq!(harness.protocol.session_counts(), counts(0, 0));
}

/// Guards against memory that grows with the number of clients that stop within a long line: the bound for each was the
/// only one.
#[test]
fn unfinished_lines_take_only_part_of_the_memory_limit() {
    let memory_mb = 8.0;
    let mut harness = Harness::with_config(&config_of(30, memory_mb));
    let usual = harness.connect_viewer();
    harness.receive(usual, "{");
    let mut kept = 0;
    for _ in 0..140 {
        let viewer = harness.connect_viewer();
        harness.receive(viewer, "x".repeat(15_000));
        kept += usize::from(!harness.take_written(viewer).contains(r#""rc":95"#));
    }
    let limit = memory_mb * 1e6 / 8.0;
    assert!(
        kept > 50 && kept as f64 * 15_000.0 <= limit,
        "{kept} are kept"
    );
    harness.receive(usual, &start_message(7, "paid", 1500, "")[1..]);
    assert_eq!(harness.protocol.session_counts(), counts(1, 0));
}
