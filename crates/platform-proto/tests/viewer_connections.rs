//! Viewers' connections: what they were sent and have not received, and when one may be closed.

mod common;
use common::{Harness, MS, S, counts, set_up_answer, start_message, teardown};
use shalewall_platform_proto::viewer_message::ViewerMessage;
use shalewall_platform_proto::{ConnectionId, HexId};

/// A set-up's answer comes, and the viewer's socket takes nothing (or half of it) before its connection ends: the session
/// is released at its node.
#[test]
fn a_session_whose_answer_was_not_delivered_is_released() {
    for half in [false, true] {
        let mut harness = Harness::new();
        let (viewer, node) = harness.start_attempt(7, "paid");
        harness.take_written(node);
        if half {
            &mut harness.taking_half
        } else {
            &mut harness.refusing_writes
        }
        .insert(viewer);
        harness.receive(node, set_up_answer(7, "there"));
        assert_eq!(harness.protocol.session_counts(), counts(0, 1));
        harness.close(viewer, true);
        let received = harness.take_written(node);
        assert!(
            received.contains("TEARDOWN") && received.contains("0000000000000007"),
            "half {half}: {received}"
        );
        assert_eq!(harness.protocol.session_counts(), counts(0, 0));
    }
    // One that was written whole goes on without its connection.
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_session(7, "paid");
    harness.take_written(node);
    harness.close(viewer, true);
    assert!(harness.take_written(node).is_empty());
    assert_eq!(harness.protocol.session_counts(), counts(0, 1));
}

/// A release that was queued, or half written, when its connection ended is sent on another one, or on the next.
#[test]
fn an_unwritten_release_is_sent_on_another_connection() {
    for (half, other) in [(false, false), (true, false), (false, true), (true, true)] {
        let mut harness = Harness::new();
        let (viewer, node) = harness.start_session(7, "free");
        harness.take_written(viewer);
        let near = if other {
            Some(harness.connect_viewer())
        } else {
            None
        };
        if half {
            &mut harness.taking_half
        } else {
            &mut harness.refusing_writes
        }
        .insert(viewer);
        harness.receive(node, teardown(7, 16, b""));
        harness.close(viewer, false);
        let near = near.unwrap_or_else(|| harness.connect_viewer());
        harness.write(near);
        let received = harness.take_written(near);
        assert!(
            received.contains(r#""tag":"0000000000000007","opts":{},"rc":16"#),
            "{half} {other}: {received}"
        );
    }
}

/// A release reaches its viewer though the connection of its request is gone.
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

/// The last message to a viewer that broke the protocol is not destroyed by what else it has sent: this side's half is closed,
/// and what comes is ignored until the viewer has closed too, for a bounded time and number of bytes.
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
        "what comes later is passed over"
    );
    harness.close(viewer, true);
    assert!(harness.closed.contains(&viewer));
    // It does not close.
    let mut harness = Harness::new();
    let viewer = harness.connect_viewer();
    harness.receive(viewer, "no message\n");
    harness.advance(1300 * MS);
    assert!(harness.closed.contains(&viewer));
    // It sends without an end.
    let mut harness = Harness::new();
    let viewer = harness.connect_viewer();
    harness.receive(viewer, "no message\n");
    for _ in 0..65 {
        harness.receive(viewer, [b'x'; 4096]);
    }
    assert!(harness.closed.contains(&viewer));
}

/// A director that was stalled fires its timers first: a request that waits in the socket of a connection it is about to
/// close as idle, or as one of too many, is served.
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
    harness.advance(12 * S);
    assert!(!harness.closed.contains(&viewer));
    harness.with_unread_bytes.clear();
    harness.request(viewer, 7, "free");
    assert_eq!(harness.protocol.session_counts(), counts(1, 0));
    let node = harness.connect_next();
    harness.receive(node, set_up_answer(7, "there"));
    assert!(harness.take_written(viewer).contains("STARTED"));
    // A crowd: the 150th needs the room of an idle one, in which something waits.
    let mut harness = Harness::new();
    let first = harness.connect_viewer();
    harness.with_unread_bytes.insert(first);
    let mut others: Vec<ConnectionId> = Vec::new();
    for _ in 0..400 {
        let Some(connection) = harness
            .protocol
            .accept_viewer(harness.now, "10.9.0.2".parse().unwrap())
        else {
            break;
        };
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
    // Nothing waits in them: they go, and the next ones have their room.
    harness.with_unread_bytes.clear();
    others
        .iter()
        .for_each(|connection| harness.write(*connection));
    assert!(harness.closed.len() > 10);
    assert!(
        harness
            .protocol
            .accept_viewer(harness.now, "10.9.0.2".parse().unwrap())
            .is_some()
    );
}
