//! Viewers' connections: lines that were not delivered, and when a connection may be closed.

mod common;
use common::{
    Harness, MILLISECOND, SECOND, counts, finish_message, set_up_answer, start_message, teardown,
};
use shalewall_platform_proto::viewer_message::ViewerMessage;
use shalewall_platform_proto::{ConnectionId, HexId};

/// A viewer's socket accepts nothing, or half, of an answer before the connection closes: the session is released at
/// its node.
#[test]
fn a_session_whose_answer_was_not_delivered_is_released() {
    for half in [false, true] {
        let mut harness = Harness::new();
        let (viewer, node) = harness.start_attempt(7, "paid");
        harness.take_written(node);
        if half {
            &mut harness.writing_partially
        } else {
            &mut harness.refusing_writes
        }
        .insert(viewer);
        harness.receive(node, set_up_answer(7, "there\r\n"));
        assert_eq!(harness.protocol.session_counts(), counts(0, 1));
        harness.close(viewer, true);
        let received = harness.take_written(node);
        assert!(
            received.contains("TEARDOWN") && received.contains("0000000000000007"),
            "half {half}: {received}"
        );
        assert_eq!(harness.protocol.session_counts(), counts(0, 0));
    }
    // After a completely written answer the session continues without its connection.
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_session(7, "paid");
    harness.take_written(node);
    harness.close(viewer, true);
    assert!(harness.take_written(node).is_empty());
    assert_eq!(harness.protocol.session_counts(), counts(0, 1));
}

/// A release that was queued or half written when its connection closed is sent on another connection, or on the next
/// one.
#[test]
fn an_unwritten_release_is_sent_on_another_connection() {
    for (half, other) in [(false, false), (true, false), (false, true), (true, true)] {
        let mut harness = Harness::new();
        let (viewer, node) = harness.start_session(7, "free");
        harness.take_written(viewer);
        let receiver = if other {
            Some(harness.connect_viewer())
        } else {
            None
        };
        if half {
            &mut harness.writing_partially
        } else {
            &mut harness.refusing_writes
        }
        .insert(viewer);
        harness.receive(node, teardown(7, 16, b""));
        harness.close(viewer, false);
        let receiver = receiver.unwrap_or_else(|| harness.connect_viewer());
        harness.write(receiver);
        let received = harness.take_written(receiver);
        assert!(
            received.contains(r#""tag":"0000000000000007","opts":{},"rc":16"#),
            "{half} {other}: {received}"
        );
    }
}

/// A release reaches its viewer although the connection of its request is closed.
#[test]
fn a_release_waits_for_the_viewers_next_connection() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_session(7, "free");
    harness.close(viewer, true);
    assert_eq!(harness.protocol.session_counts(), counts(0, 1));
    harness.receive(node, teardown(7, 16, b""));
    let next = harness.connect_viewer();
    harness.write(next);
    assert!(harness.take_written(next).contains(r#""rc":16"#));
}

/// Closing a connection with unread bytes may discard the last message to a viewer that violated the protocol. The
/// write half is closed instead, and received bytes are ignored until the viewer has closed as well, for a bounded time
/// and number of bytes.
#[test]
fn the_last_message_to_a_rejected_viewer_survives_the_close() {
    let mut harness = Harness::new();
    let viewer = harness.connect_viewer();
    harness.receive(viewer, "no message\n");
    assert!(harness.take_written(viewer).contains(r#""rc":95"#));
    assert!(harness.half_closed.contains(&viewer) && !harness.closed.contains(&viewer));
    harness.receive(viewer, start_message(9, "paid", 1500, ""));
    assert_eq!(
        harness.protocol.session_counts(),
        counts(0, 0),
        "later messages are ignored"
    );
    harness.close(viewer, true);
    assert!(harness.closed.contains(&viewer));
    // The viewer does not close its half.
    let mut harness = Harness::new();
    let viewer = harness.connect_viewer();
    harness.receive(viewer, "no message\n");
    harness.advance(1300 * MILLISECOND);
    assert!(harness.closed.contains(&viewer));
    // The viewer keeps sending.
    let mut harness = Harness::new();
    let viewer = harness.connect_viewer();
    harness.receive(viewer, "no message\n");
    for _ in 0..65 {
        harness.receive(viewer, [b'x'; 4096]);
    }
    assert!(harness.closed.contains(&viewer));
}

/// After a stall a director handles its timers first. A request that is unread in the socket of a connection that it is
/// about to close, as idle or as evicted, still has to be served.
#[test]
fn a_connection_with_an_unread_request_is_not_closed() {
    let mut harness = Harness::new();
    let viewer = harness.connect_viewer();
    harness.receive(
        viewer,
        ViewerMessage::new(
            shalewall_platform_proto::viewer_message::Verb::Echo,
            HexId::from_value(1),
        )
        .encode(),
    );
    harness.with_unread_bytes.insert(viewer);
    harness.advance(12 * SECOND);
    assert!(!harness.closed.contains(&viewer));
    harness.with_unread_bytes.clear();
    harness.request(viewer, 7, "free");
    assert_eq!(harness.protocol.session_counts(), counts(1, 0));
    let node = harness.connect_next();
    harness.receive(node, set_up_answer(7, "there\r\n"));
    assert!(harness.take_written(viewer).contains("STARTED"));
    // The connection limit: the 150th connection needs the capacity of an idle one, which has unread bytes.
    let mut harness = Harness::new();
    let first = harness.connect_viewer();
    harness.with_unread_bytes.insert(first);
    let mut others: Vec<ConnectionId> = Vec::new();
    for _ in 0..400 {
        if !harness.protocol.can_accept_viewer(harness.now) {
            break;
        }
        let connection = harness
            .protocol
            .accept_viewer(harness.now, "10.9.0.2".parse().unwrap());
        harness.process_outputs();
        harness.with_unread_bytes.insert(connection);
        others.push(connection);
    }
    assert!(
        harness.closed.is_empty() && others.len() < 170,
        "{} beyond the limit",
        others.len()
    );
    harness.request(first, 7, "free");
    assert_eq!(harness.protocol.session_counts(), counts(1, 0));
    // Without unread bytes they are closed, and new connections are accepted.
    harness.with_unread_bytes.clear();
    others
        .iter()
        .for_each(|connection| harness.write(*connection));
    assert!(harness.closed.len() > 10);
    assert!(harness.protocol.can_accept_viewer(harness.now));
}

#[test]
fn requests_past_the_limit_of_connections_are_rejected_and_their_connections_closed() {
    let mut harness = Harness::new();
    let mut answered = 0;
    for tag in 100..400 {
        assert!(harness.protocol.can_accept_viewer(harness.now));
        let viewer = harness.connect_viewer();
        harness.request(viewer, tag, "free");
        let is_answered = harness.take_written(viewer).contains("FINISH");
        assert_eq!(is_answered, harness.closed.contains(&viewer));
        answered += usize::from(is_answered);
    }
    let pending = harness.protocol.session_counts().pending_requests;
    assert_eq!(pending + answered, 300);
    assert!(pending > 85, "a third of the descriptors is the viewers'");
}

// ---- the end of the incoming stream ----------------------------------------------------------

#[test]
fn requests_of_a_viewer_that_sends_no_more_get_an_answer_and_are_not_forwarded() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_attempt(7, "paid");
    harness.request(viewer, 8, "paid");
    harness.take_written(node);
    harness.end_stream(viewer);
    let written = harness.take_written(viewer);
    for (tag, cause) in [(7, 41), (8, 34)] {
        let answer = format!(r#""tag":"{tag:016x}","opts":{{}},"rc":{cause}"#);
        assert_eq!(written.matches(&answer).count(), 1, "{written}");
    }
    assert!(harness.closed.contains(&viewer));
    assert!(harness.take_written(node).contains("TEARDOWN"));
    let connecting: Vec<_> = harness.node_connections.keys().copied().collect();
    for connection in connecting.into_iter().filter(|other| *other != node) {
        harness.connect(connection);
        assert!(!harness.take_written(connection).contains("SETUP"));
    }
    assert_eq!(harness.protocol.session_counts(), counts(0, 0));
}

#[test]
fn an_unwritten_answer_becomes_a_failure_when_the_viewer_sends_no_more() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_attempt(7, "paid");
    harness.refusing_writes.insert(viewer);
    harness.receive(node, set_up_answer(7, "there\r\n"));
    harness.take_written(node);
    harness.end_stream(viewer);
    harness.refusing_writes.clear();
    harness.write(viewer);
    let written = harness.take_written(viewer);
    assert!(written.contains(r#""rc":41"#) && !written.contains("STARTED"));
    assert!(harness.take_written(node).contains("TEARDOWN"));
    assert_eq!(harness.protocol.session_counts(), counts(0, 0));
}

#[test]
fn releases_go_to_another_connection_when_the_viewer_sends_no_more() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_session(7, "paid");
    let other = harness.connect_viewer();
    harness.take_written(viewer);
    harness.refusing_writes.insert(viewer);
    harness.receive(node, teardown(7, 16, b""));
    harness.end_stream(viewer);
    assert!(harness.take_written(other).contains(r#""rc":16"#));
}

#[test]
fn a_viewer_that_sends_no_more_and_does_not_read_is_closed() {
    let mut harness = Harness::new();
    let (viewer, _) = harness.start_attempt(7, "paid");
    harness.refusing_writes.insert(viewer);
    harness.end_stream(viewer);
    assert!(!harness.closed.contains(&viewer));
    harness.advance(1300 * MILLISECOND);
    assert!(harness.closed.contains(&viewer));
}

/// Guards against a release that is lost with its connection: it was sent on the one on which bytes were received last,
/// which the viewer closed right after the end of its last session.
#[test]
fn a_release_is_sent_on_a_connection_that_its_viewer_keeps() {
    for is_peer_closed in [false, true] {
        let mut harness = Harness::new();
        let (first, node) = harness.start_session(7, "free");
        let kept = harness.connect_viewer();
        let ended = harness.connect_viewer();
        for (viewer, tag) in [(kept, 8), (ended, 9)] {
            harness.receive(viewer, start_message(tag, "free", 0, ";at:s-00000001"));
        }
        harness.close(first, false);
        harness.advance(MILLISECOND);
        if is_peer_closed {
            harness.protocol.handle_peer_closed(harness.now, ended);
        }
        harness.receive(ended, finish_message(9));
        harness.written.clear();
        harness.receive(node, teardown(7, 16, b""));
        assert!(
            harness
                .take_written(kept)
                .contains(r#""tag":"0000000000000007""#)
        );
        assert!(harness.take_written(ended).is_empty());
    }
}
