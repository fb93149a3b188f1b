//! Requests whose viewer leaves or withdraws them, at every step of an attempt.

mod common;
use common::{Harness, MS, S, counts, finish_message, set_up_refusal};
use shalewall_platform_proto::ConnectionId;

/// The ways in which a viewer leaves: it closes, its connection breaks, it withdraws the request, on its own connection or on
/// another.
const WAYS_TO_LEAVE: [fn(&mut Harness, ConnectionId); 4] = [
    |harness, viewer| harness.close(viewer, true),
    |harness, viewer| harness.close(viewer, false),
    |harness, viewer| harness.receive(viewer, finish_message(7)),
    |harness, _| {
        let other = harness.connect_viewer();
        harness.receive(other, finish_message(7));
    },
];

/// Wherever a request can wait when its viewer leaves, not a byte of its set-up goes out later.
#[test]
fn no_set_up_is_sent_for_a_viewer_that_has_left() {
    let set_ups = |harness: &Harness| {
        harness
            .written
            .values()
            .map(|said| said.matches("SETUP").count())
            .sum::<usize>()
    };
    for leave in WAYS_TO_LEAVE {
        // The node's connection is being established.
        let mut harness = Harness::new();
        let viewer = harness.connect_viewer();
        harness.request(viewer, 7, "free");
        leave(&mut harness, viewer);
        harness.connect_next();
        harness.advance(3 * S);
        assert_eq!(set_ups(&harness), 0);
        // The socket takes nothing.
        let mut harness = Harness::new();
        let viewer = harness.connect_viewer();
        harness.request(viewer, 7, "free");
        let node = *harness.node_connections.keys().next().unwrap();
        harness.refusing_writes.insert(node);
        harness.connect(node);
        leave(&mut harness, viewer);
        assert!(
            !harness.closed.contains(&node),
            "none of it was taken, and the connection is as it was"
        );
        harness.refusing_writes.clear();
        harness.write(node);
        harness.advance(3 * S);
        assert_eq!(set_ups(&harness), 0);
        // It has taken half, and then no more: the other half never follows.
        let mut harness = Harness::new();
        let viewer = harness.connect_viewer();
        harness.request(viewer, 7, "free");
        let node = *harness.node_connections.keys().next().unwrap();
        harness.taking_half.insert(node);
        harness.connect(node);
        assert!(harness.written[&node].starts_with("SETUP"));
        leave(&mut harness, viewer);
        assert!(
            harness.closed.contains(&node),
            "half a set-up is with its node"
        );
        // After a failed attempt, before the next one: its connection is being established, or the module waits.
        let mut harness = Harness::new();
        let (viewer, node) = harness.start_attempt(7, "free");
        harness.receive(node, set_up_refusal(7, 500));
        leave(&mut harness, viewer);
        for connection in harness
            .node_connections
            .keys()
            .copied()
            .filter(|c| *c != node)
            .collect::<Vec<_>>()
        {
            harness.connect(connection);
        }
        harness.advance(3 * S);
        assert_eq!(set_ups(&harness), 1);
        // The next one waits until the first is cancelled.
        let mut harness = Harness::new();
        let (viewer, slow) = harness.start_attempt(7, "free");
        harness.blocked.insert(slow);
        harness.advance(600 * MS);
        harness.connect_next();
        leave(&mut harness, viewer);
        harness.blocked.clear();
        harness.write(slow);
        harness.process_outputs();
        harness.advance(3 * S);
        assert_eq!(set_ups(&harness), 1);
        assert_eq!(harness.protocol.session_counts(), counts(0, 0));
    }
}

/// A withdrawal comes on one connection and is read before the request on another.
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
