//! Connections to media nodes: how they are closed, what is read until then, and what their end proves.

mod common;
use common::{
    Harness, MILLISECOND, NODE, SECOND, counts, endpoint_entry, finish_message, set_up_answer,
    teardown,
};
use shalewall::EndpointState::Gone;
use shalewall_platform_proto::viewer_message::ViewerMessage;
use shalewall_platform_proto::{ConnectError, ConnectionId, HexId};

/// A node repeats its releases on the next connection that is opened, so a broken connection has to be replaced.
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

/// Starts sessions at both nodes, and cancels a set-up on one of their connections. Returns the viewer's connection,
/// the connection of the set-up, and the tag of the session at that node.
fn cancel_attempt_beside_a_session(harness: &mut Harness) -> (ConnectionId, ConnectionId, u64) {
    let (viewer, first) = harness.start_session(7, "free");
    harness.request(viewer, 8, "free");
    let second = harness.connect_next();
    harness.receive(second, set_up_answer(8, "there\r\n"));
    harness.written.clear();
    harness.request(viewer, 9, "free");
    let chosen = if harness.take_written(first).contains("SETUP") {
        (first, 7)
    } else {
        (second, 8)
    };
    harness.receive(
        viewer,
        ViewerMessage::finish(HexId::from_value(9), 16).encode(),
    );
    assert!(harness.take_written(chosen.0).contains("TEARDOWN"));
    harness.written.clear();
    (viewer, chosen.0, chosen.1)
}

/// Guards against closing a connection at once after a cancelled set-up, which lost nineteen releases that the node had
/// written to it in the same millisecond.
#[test]
fn a_half_closed_connection_is_read_until_closed() {
    let mut harness = Harness::new();
    let (viewer, node, tag) = cancel_attempt_beside_a_session(&mut harness);
    harness.advance(SECOND);
    harness.connect_next();
    assert!(
        harness.half_closed.contains(&node) && !harness.closed.contains(&node),
        "only the write half is closed"
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

/// Guards against closing the last connection to a draining node that accepts no new ones: its sessions were counted as
/// ended while they were active.
#[test]
fn the_last_connection_to_a_node_is_kept_until_replaced() {
    let mut harness = Harness::new();
    let (viewer, node, tag) = cancel_attempt_beside_a_session(&mut harness);
    for _ in 0..25 {
        harness.advance(100 * MILLISECOND);
        let additional: Vec<_> = harness.node_connections.keys().copied().skip(2).collect();
        additional
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

/// A stalled node does not close its half of a connection, which is closed after a time limit.
#[test]
fn a_half_close_without_answer_times_out() {
    let mut harness = Harness::new();
    let (_, node, _) = cancel_attempt_beside_a_session(&mut harness);
    harness.advance(SECOND);
    harness.connect_next();
    harness.advance(6 * SECOND);
    assert!(harness.closed.contains(&node));
}

/// A stream that can't be decoded is closed at once. What the node sends until it notices the close is lost and
/// repeated only on the next connection, which is therefore opened later.
#[test]
fn after_an_unreadable_stream_the_next_connection_is_delayed() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_session(7, "free");
    harness.take_written(viewer);
    harness.receive(node, "no such thing\r\n\r\n");
    assert!(harness.closed.contains(&node) && harness.node_connections.keys().all(|c| *c == node));
    harness.advance(300 * MILLISECOND);
    let next = harness.connect_next();
    harness.receive(next, teardown(7, 41, b""));
    assert!(
        harness
            .take_written(viewer)
            .contains(r#""tag":"0000000000000007","opts":{},"rc":41"#)
    );
}

/// A refused connection proves that the process is gone, which ends its sessions.
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

/// A connection may look open after its process died. If new connections are refused and nothing is received, the
/// node's sessions have to be released.
#[test]
fn an_open_connection_does_not_prove_that_a_node_runs() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_session(7, "free");
    harness.take_written(viewer);
    for _ in 0..60 {
        harness.advance(100 * MILLISECOND);
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
    // A node that refuses additional connections but sends on an existing one is alive.
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_session(7, "free");
    harness.take_written(viewer);
    for _ in 0..60 {
        harness.advance(100 * MILLISECOND);
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

/// Connections to a lost machine stay open, and new ones are never established: its sessions are released within the 8
/// s that the protocol allows. A stalled machine accepts connections and keeps its sessions.
#[test]
fn a_lost_machine_is_distinguished_from_a_stalled_one() {
    for vanished in [true, false] {
        let mut harness = Harness::new();
        let (viewer, node) = harness.start_session(7, "free");
        harness.take_written(viewer);
        for _ in 0..75 {
            harness.advance(100 * MILLISECOND);
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

/// The rest of a partial message would consume whatever follows on its connection, which is therefore closed.
#[test]
fn a_partial_message_closes_its_connection_within_a_second() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_attempt(7, "paid");
    harness.receive(node, &set_up_answer(7, "there, and more")[..70]);
    harness.advance(SECOND);
    assert!(harness.closed.contains(&node));
    assert!(
        harness.take_written(viewer).contains(r#""rc":41"#),
        "the node may have executed it, so a paid set-up fails"
    );
}

/// Polling for bytes to write does not count as traffic: the node closes a connection that carries none.
#[test]
fn polling_does_not_count_as_use_of_a_connection() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_session(7, "free");
    harness.receive(node, teardown(7, 16, b""));
    let other = 3 - harness.node_of(node);
    harness.apply_endpoint_event(
        2,
        &[endpoint_entry(other, NODE[other as usize - 1], Gone, None)],
    );
    harness.advance(8 * SECOND);
    harness.write(node);
    harness.advance(SECOND + 100 * MILLISECOND);
    harness.written.clear();
    harness.request(viewer, 8, "free");
    assert!(
        !harness.written.contains_key(&node),
        "the node may be closing it"
    );
}

/// A connection on which a node accepts only part of a message is closed after 0.5 s.
#[test]
fn a_connection_with_blocked_writes_is_closed() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_session(7, "free");
    harness.take_written(node);
    harness.writing_partially.insert(node);
    harness.receive(viewer, finish_message(7));
    assert!(
        harness
            .written
            .get(&node)
            .is_some_and(|text| text.starts_with("TEAR"))
    );
    harness.advance(800 * MILLISECOND);
    assert!(harness.closed.contains(&node));
}

#[test]
fn a_session_whose_answer_is_cut_off_by_a_close_is_released() {
    for clean in [true, false] {
        let mut harness = Harness::new();
        let (_, node) = harness.start_attempt(7, "paid");
        let answer = set_up_answer(7, "there\r\n");
        harness.receive(node, &answer[..answer.len() - 3]);
        harness.close(node, clean);
        harness.advance(300 * MILLISECOND);
        let next = harness.connect_next();
        harness.advance(MILLISECOND);
        let written = harness.take_written(next);
        assert!(written.contains("TEARDOWN"), "{clean}: {written}");
    }
}
