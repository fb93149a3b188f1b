//! Requests that are withdrawn, or whose viewer disconnects, at every step of an attempt.

mod common;
use common::{Harness, MILLISECOND, SECOND, counts, finish_message, set_up_rejection};
use shalewall_platform_proto::ConnectionId;

/// The ways in which a request ends: its viewer closes the connection, the connection breaks, or the request is
/// withdrawn, on its own connection or on another.
const WITHDRAWALS: [fn(&mut Harness, ConnectionId); 4] = [
    |harness, viewer| harness.close(viewer, true),
    |harness, viewer| harness.close(viewer, false),
    |harness, viewer| harness.receive(viewer, finish_message(7)),
    |harness, _| {
        let other = harness.connect_viewer();
        harness.receive(other, finish_message(7));
    },
];

/// Wherever a withdrawn request is waiting, no byte of its set-up is sent afterwards.
#[test]
fn no_set_up_is_sent_for_a_withdrawn_request() {
    let set_ups = |harness: &Harness| {
        harness
            .written
            .values()
            .map(|text| text.matches("SETUP").count())
            .sum::<usize>()
    };
    for withdraw in WITHDRAWALS {
        // The node's connection is being established.
        let mut harness = Harness::new();
        let viewer = harness.connect_viewer();
        harness.request(viewer, 7, "free");
        withdraw(&mut harness, viewer);
        harness.connect_next();
        harness.advance(3 * SECOND);
        assert_eq!(set_ups(&harness), 0);
        // The socket accepts nothing.
        let mut harness = Harness::new();
        let viewer = harness.connect_viewer();
        harness.request(viewer, 7, "free");
        let node = *harness.node_connections.keys().next().unwrap();
        harness.refusing_writes.insert(node);
        harness.connect(node);
        withdraw(&mut harness, viewer);
        assert!(
            !harness.closed.contains(&node),
            "no byte was written, so the connection stays open"
        );
        harness.refusing_writes.clear();
        harness.write(node);
        harness.advance(3 * SECOND);
        assert_eq!(set_ups(&harness), 0);
        // The socket has accepted half of the set-up, and accepts no more: the rest is never sent.
        let mut harness = Harness::new();
        let viewer = harness.connect_viewer();
        harness.request(viewer, 7, "free");
        let node = *harness.node_connections.keys().next().unwrap();
        harness.writing_partially.insert(node);
        harness.connect(node);
        assert!(harness.written[&node].starts_with("SETUP"));
        withdraw(&mut harness, viewer);
        assert!(
            harness.closed.contains(&node),
            "the node has received half a set-up"
        );
        // After a failed attempt, before the next one: its connection is being established, or the decision module
        // waits.
        let mut harness = Harness::new();
        let (viewer, node) = harness.start_attempt(7, "free");
        harness.receive(node, set_up_rejection(7, 500));
        withdraw(&mut harness, viewer);
        for connection in harness
            .node_connections
            .keys()
            .copied()
            .filter(|c| *c != node)
            .collect::<Vec<_>>()
        {
            harness.connect(connection);
        }
        harness.advance(3 * SECOND);
        assert_eq!(set_ups(&harness), 1);
        // The next attempt waits until the first is cancelled.
        let mut harness = Harness::new();
        let (viewer, slow) = harness.start_attempt(7, "free");
        harness.blocked.insert(slow);
        harness.advance(600 * MILLISECOND);
        harness.connect_next();
        withdraw(&mut harness, viewer);
        harness.blocked.clear();
        harness.write(slow);
        harness.process_outputs();
        harness.advance(3 * SECOND);
        assert_eq!(set_ups(&harness), 1);
        assert_eq!(harness.protocol.session_counts(), counts(0, 0));
    }
}

/// A withdrawal is received on one connection before the request on another.
#[test]
fn a_request_withdrawn_before_it_arrives_is_rejected() {
    let mut harness = Harness::new();
    let (viewer, other) = (harness.connect_viewer(), harness.connect_viewer());
    harness.receive(other, finish_message(7));
    harness.request(viewer, 7, "paid");
    assert!(
        harness.node_connections.is_empty() && harness.protocol.session_counts() == counts(0, 0)
    );
    assert!(harness.take_written(viewer).contains(r#""rc":34"#));
    harness.request(viewer, 8, "paid");
    assert_eq!(harness.protocol.session_counts(), counts(1, 0));
}

/// Guards against sessions that run twice: the id of a client that had left was forgotten when others ended thousands of
/// requests (4,096 ids were kept, whether a node had executed them or not).
#[test]
fn an_id_that_ran_is_not_accepted_again_after_thousands_of_requests_that_did_not() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_attempt(7, "paid");
    assert!(harness.take_written(node).contains("SETUP"));
    harness.close(viewer, false);
    let bad = harness.connect_viewer();
    harness.blocked.insert(node);
    for tag in 100..10_000 {
        harness.request(bad, tag, "free");
        harness.receive(bad, finish_message(tag));
    }
    harness.take_written(bad);
    harness.blocked.clear();
    harness.write(node);
    harness.take_written(node);
    let again = harness.connect_viewer();
    harness.request(again, 7, "paid");
    assert!(harness.take_written(again).contains(r#""rc":95"#));
    assert!(!harness.take_written(node).contains("SETUP"));
}

/// A viewer that has closed its side may have messages unread: requests among them are rejected, ends of sessions are
/// not forgotten.
#[test]
fn after_a_viewer_has_closed_its_side_only_the_ends_of_sessions_are_handled() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_session(7, "paid");
    harness.request(viewer, 8, "paid");
    harness.take_written(viewer);
    harness.protocol.handle_peer_closed(harness.now, viewer);
    harness.process_outputs();
    assert!(
        harness
            .take_written(viewer)
            .contains(r#""tag":"0000000000000008","opts":{},"rc":34"#)
    );
    harness.take_written(node);
    harness.request(viewer, 9, "paid");
    harness.receive(viewer, finish_message(7));
    assert!(
        harness
            .take_written(viewer)
            .contains(r#""tag":"0000000000000009","opts":{},"rc":34"#)
    );
    let sent = harness.take_written(node);
    assert!(!sent.contains("SETUP") && sent.contains("TEARDOWN rtsp://media/0000000000000007"));
    assert_eq!(harness.protocol.session_counts(), counts(0, 0));
}
