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
