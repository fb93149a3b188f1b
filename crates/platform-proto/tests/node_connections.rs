//! Connections to media nodes: how they end, what is read until then, and what their end proves.

mod common;
use common::{
    Harness, MS, NODE, S, counts, endpoint_entry, finish_message, set_up_answer, teardown,
};
use shalewall::EndpointState::Gone;
use shalewall_platform_proto::viewer_message::ViewerMessage;
use shalewall_platform_proto::{ConnectError, ConnectionId, HexId};

/// A node sends its releases again on the next connection that is opened: so one has to be.
#[test]
fn a_broken_connection_is_replaced_at_once() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_session(7, "free");
    harness.take_written(viewer);
    harness.close(node, false);
    let next = harness.connect_next();
    harness.receive(next, teardown(7, 41, b""));
    assert!(
        harness
            .take_written(viewer)
            .contains(r#""tag":"0000000000000007","opts":{},"rc":41"#)
    );
}

/// Sessions are active at both nodes, and a set-up on one of their connections is cancelled at once: the viewer's
/// connection, that one, and the session there.
fn cancel_attempt_beside_a_session(harness: &mut Harness) -> (ConnectionId, ConnectionId, u64) {
    let (viewer, first) = harness.start_session(7, "free");
    harness.request(viewer, 8, "free");
    let second = harness.connect_next();
    harness.receive(second, set_up_answer(8, "there"));
    harness.written.clear();
    harness.request(viewer, 9, "free");
    let met = if harness.take_written(first).contains("SETUP") {
        (first, 7)
    } else {
        (second, 8)
    };
    harness.receive(
        viewer,
        ViewerMessage::finish(HexId::from_value(9), 16).encode(),
    );
    assert!(harness.take_written(met.0).contains("TEARDOWN"));
    harness.written.clear();
    (viewer, met.0, met.1)
}

/// Seen: a set-up was cancelled, its connection closed for that, and nineteen releases that the node had written there
/// in the same millisecond were never read.
#[test]
fn a_half_closed_connection_is_read_until_closed() {
    let mut harness = Harness::new();
    let (viewer, node, tag) = cancel_attempt_beside_a_session(&mut harness);
    harness.advance(S);
    harness.connect_next();
    assert!(
        harness.half_closed.contains(&node) && !harness.closed.contains(&node),
        "it says no more and listens"
    );
    harness.receive(node, teardown(tag, 16, b""));
    assert!(
        harness
            .take_written(viewer)
            .contains(&format!(r#""tag":"{tag:016x}","opts":{{}},"rc":16"#))
    );
    harness.close(node, true);
    assert!(harness.closed.contains(&node));
    assert_eq!(harness.protocol.session_counts(), counts(0, 1));
}

/// Seen: a draining node accepted no further connection, this side closed the last one to it after a cancelled set-up,
/// and counted the sessions there as over while they were active.
#[test]
fn the_last_connection_to_a_node_is_kept_until_replaced() {
    let mut harness = Harness::new();
    let (viewer, node, tag) = cancel_attempt_beside_a_session(&mut harness);
    for _ in 0..25 {
        harness.advance(100 * MS);
        let further: Vec<_> = harness.node_connections.keys().copied().skip(2).collect();
        further
            .into_iter()
            .for_each(|connection| harness.fail_connect(connection, ConnectError::Refused));
    }
    assert!(harness.take_written(viewer).is_empty() && !harness.half_closed.contains(&node));
    harness.receive(node, teardown(tag, 16, b""));
    assert!(
        harness
            .take_written(viewer)
            .contains(&format!(r#""tag":"{tag:016x}","opts":{{}},"rc":16"#))
    );
}

/// A stalled node does not close its half: it is waited for up to a limit.
#[test]
fn a_half_close_without_answer_times_out() {
    let mut harness = Harness::new();
    let (_, node, _) = cancel_attempt_beside_a_session(&mut harness);
    harness.advance(S);
    harness.connect_next();
    harness.advance(6 * S);
    assert!(harness.closed.contains(&node));
}

/// What can't be read is closed at once; the next one is opened when the node has learned of that, since what it
/// sends in between is lost, and sent again on the next one only.
#[test]
fn after_an_unreadable_stream_the_next_connection_is_delayed() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_session(7, "free");
    harness.take_written(viewer);
    harness.receive(node, "no such thing\r\n\r\n");
    assert!(harness.closed.contains(&node) && harness.node_connections.keys().all(|c| *c == node));
    harness.advance(300 * MS);
    let next = harness.connect_next();
    harness.receive(next, teardown(7, 41, b""));
    assert!(
        harness
            .take_written(viewer)
            .contains(r#""tag":"0000000000000007","opts":{},"rc":41"#)
    );
}

/// A refused connection proves that the process is gone, and its sessions with it.
#[test]
fn a_refused_connection_ends_the_nodes_sessions() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_session(7, "free");
    harness.take_written(viewer);
    harness.close(node, false);
    let next = *harness.node_connections.keys().last().unwrap();
    harness.fail_connect(next, ConnectError::Refused);
    assert!(harness.take_written(viewer).contains(r#""rc":41"#));
    assert_eq!(harness.protocol.session_counts(), counts(0, 0));
}

/// Seen: an unreadable connection stayed open while its process died, and the sessions there were never released.
#[test]
fn an_open_connection_proves_no_process() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_session(7, "free");
    harness.take_written(viewer);
    for _ in 0..60 {
        harness.advance(100 * MS);
        for connection in harness
            .node_connections
            .keys()
            .copied()
            .filter(|c| *c != node)
            .collect::<Vec<_>>()
        {
            harness.fail_connect(connection, ConnectError::Refused);
        }
    }
    assert!(harness.take_written(viewer).contains(r#""rc":41"#));
    // A node that refuses further connections and sends on others is alive.
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_session(7, "free");
    harness.take_written(viewer);
    for _ in 0..60 {
        harness.advance(100 * MS);
        harness.receive(
            node,
            "ANNOUNCE rtsp://media/x RTSP/1.0\r\nSession: 0000000000000007\r\nContent-Length: 0\r\n\r\n",
        );
        for connection in harness
            .node_connections
            .keys()
            .copied()
            .filter(|c| *c != node)
            .collect::<Vec<_>>()
        {
            harness.fail_connect(connection, ConnectError::Refused);
        }
    }
    assert!(harness.take_written(viewer).is_empty());
}

/// A machine that vanished gives no sign: its connections stay open and new ones are never established. Its sessions are
/// released within the 8 s that the protocol gives. One that is stalled accepts connections: it keeps its sessions.
#[test]
fn a_vanished_machine_is_distinguished_from_a_stalled_one() {
    for vanished in [true, false] {
        let mut harness = Harness::new();
        let (viewer, node) = harness.start_session(7, "free");
        harness.take_written(viewer);
        for _ in 0..75 {
            harness.advance(100 * MS);
            for connection in harness
                .node_connections
                .keys()
                .copied()
                .filter(|c| *c != node)
                .collect::<Vec<_>>()
            {
                if vanished {
                    harness.fail_connect(connection, ConnectError::Unreachable);
                } else {
                    harness.connect(connection);
                }
            }
        }
        assert_eq!(
            harness.take_written(viewer).contains(r#""rc":41"#),
            vanished
        );
    }
}

/// A message that stops short would swallow whatever comes after it on that connection.
#[test]
fn a_partial_message_closes_its_connection_within_a_second() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_attempt(7, "paid");
    harness.receive(node, &set_up_answer(7, "there, and more")[..70]);
    harness.advance(S);
    assert!(harness.closed.contains(&node));
    assert!(
        harness.take_written(viewer).contains(r#""rc":41"#),
        "it may have run: a paid set-up fails"
    );
}

/// Polling a connection for bytes to write is no use of it: a node closes what has carried nothing.
#[test]
fn polling_does_not_keep_a_connection_fresh() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_session(7, "free");
    harness.receive(node, teardown(7, 16, b""));
    let other = 3 - harness.node_of(node);
    harness.apply_endpoint_event(
        2,
        &[endpoint_entry(other, NODE[other as usize - 1], Gone, None)],
    );
    harness.advance(8 * S);
    harness.write(node);
    harness.advance(S + 100 * MS);
    harness.written.clear();
    harness.request(viewer, 8, "free");
    assert!(
        !harness.written.contains_key(&node),
        "the node may be closing it"
    );
}

/// A connection on which a node takes only half a message is closed after half a second.
#[test]
fn a_connection_with_blocked_writes_is_closed() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_session(7, "free");
    harness.take_written(node);
    harness.taking_half.insert(node);
    harness.receive(viewer, finish_message(7));
    assert!(
        harness
            .written
            .get(&node)
            .is_some_and(|said| said.starts_with("TEAR"))
    );
    harness.advance(800 * MS);
    assert!(harness.closed.contains(&node));
}
