//! Graceful shutdown of a director.

mod common;
use common::{Harness, MILLISECOND, counts, set_up_answer, start_message};

/// A request whose deadline is after the end of the shutdown is answered before the end: as rejected if it was sent to
/// no node, as failed if a node may have executed it.
#[test]
fn shutdown_answers_requests_in_time_whatever_their_deadline() {
    for sent in [false, true] {
        let mut harness = Harness::new();
        let viewer = harness.connect_viewer();
        harness.receive(viewer, start_message(7, "paid", 60_000, ""));
        if sent {
            harness.connect_next();
        }
        harness.protocol.begin_shutdown(harness.now);
        harness.process_outputs();
        let time_limit = harness.protocol.shutdown_time_limit();
        for _ in 0..time_limit.as_millis() / 50 - 1 {
            harness.advance(50 * MILLISECOND);
        }
        let received = harness.take_written(viewer);
        let rc = if sent { r#""rc":41"# } else { r#""rc":34"# };
        assert!(
            received.contains(rc) && received.lines().count() == 1,
            "{received}"
        );
        assert_eq!(harness.protocol.session_counts(), counts(0, 0));
        assert!(!harness.protocol.has_pending_writes());
    }
}

/// A shutdown waits for queued messages before it closes their connections.
#[test]
fn shutdown_waits_for_unwritten_answers() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_attempt(7, "paid");
    harness.refusing_writes.insert(viewer);
    harness.protocol.begin_shutdown(harness.now);
    harness.receive(node, set_up_answer(7, "there\r\n"));
    assert_eq!(harness.protocol.session_counts(), counts(0, 1));
    assert!(harness.protocol.has_pending_writes());
    harness.protocol.close_viewers();
    harness.process_outputs();
    assert!(harness.protocol.has_pending_writes() && !harness.closed.contains(&viewer));
    harness.refusing_writes.clear();
    harness.write(viewer);
    assert!(harness.take_written(viewer).contains("STARTED"));
    assert!(!harness.protocol.has_pending_writes() && harness.closed.contains(&viewer));
}

#[test]
fn a_request_that_is_unread_when_the_shutdown_closes_its_connection_is_answered() {
    let mut harness = Harness::new();
    let viewer = harness.connect_viewer();
    harness.protocol.begin_shutdown(harness.now);
    harness.with_unread_bytes.insert(viewer);
    harness.protocol.close_viewers();
    harness.process_outputs();
    assert!(!harness.closed.contains(&viewer) && !harness.half_closed.contains(&viewer));
    harness.with_unread_bytes.clear();
    harness.receive(viewer, start_message(7, "paid", 1500, ""));
    assert!(harness.take_written(viewer).contains(r#""rc":34"#));
    assert!(harness.closed.contains(&viewer));
}

#[test]
fn a_message_without_an_answer_does_not_keep_a_connection_open_during_a_shutdown() {
    let mut harness = Harness::new();
    let viewer = harness.connect_viewer();
    harness.protocol.begin_shutdown(harness.now);
    harness.with_unread_bytes.insert(viewer);
    harness.protocol.close_viewers();
    harness.process_outputs();
    harness.with_unread_bytes.clear();
    harness.receive(
        viewer,
        "{\"verb\":\"NOTICE\",\"tag\":\"0000000000000007\",\"opts\":{}}\n",
    );
    assert!(harness.closed.contains(&viewer));
}
