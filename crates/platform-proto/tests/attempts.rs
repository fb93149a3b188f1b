//! Attempts at media nodes: which one may follow which, and what an answer counts for.

mod common;
use common::{Harness, MS, NODE, START, endpoint_entry, set_up_answer, set_up_refusal};
use shalewall::EndpointState::Gone;
use shalewall_platform_proto::endpoint_watch::{Frame, FrameDecoder};
use shalewall_platform_proto::{ConnectError, ConnectionId};

/// Two sockets are written in any order: an attempt's cancellation must be written before the next attempt, or both are
/// open.
#[test]
fn the_next_attempt_waits_for_the_cancellation() {
    let mut harness = Harness::new();
    let (_, slow) = harness.start_attempt(7, "free");
    assert!(harness.take_written(slow).starts_with("SETUP"));
    harness.blocked.insert(slow);
    harness.advance(600 * MS);
    let next = harness.connect_next();
    assert!(
        harness.take_written(next).is_empty(),
        "set up while the first is out"
    );
    harness.blocked.clear();
    harness.write(slow);
    assert!(harness.take_written(slow).starts_with("TEARDOWN"));
    harness.process_outputs();
    assert!(
        harness.take_written(next).starts_with("SETUP"),
        "the way is free"
    );
    // Where the connection ends, that cancels its set-ups.
    let mut harness = Harness::new();
    let (_, slow) = harness.start_attempt(7, "free");
    harness.blocked.insert(slow);
    harness.advance(600 * MS);
    let next = harness.connect_next();
    harness.close(slow, false);
    assert!(harness.take_written(next).starts_with("SETUP"));
}

/// Establishes all connections; how many set-ups were written on others than that one.
fn count_set_ups_elsewhere(harness: &mut Harness, than: ConnectionId) -> usize {
    for connection in harness
        .node_connections
        .keys()
        .copied()
        .filter(|c| harness.is_connecting(*c))
        .collect::<Vec<_>>()
    {
        harness.connect(connection);
    }
    harness
        .written
        .iter()
        .filter(|(c, said)| **c != than && said.contains("SETUP"))
        .count()
}

/// A cancellation that is half written: the next attempt does not wait for it.
#[test]
fn a_half_written_cancellation_blocks_no_attempt() {
    // The socket takes nothing: closing cancels as well.
    let mut harness = Harness::new();
    let (_, slow) = harness.start_attempt(7, "free");
    harness.refusing_writes.insert(slow);
    harness.advance(600 * MS);
    assert!(harness.closed.contains(&slow));
    assert_eq!(count_set_ups_elsewhere(&mut harness, slow), 1);
    // It takes half, and no more.
    let mut harness = Harness::new();
    let (_, slow) = harness.start_attempt(7, "free");
    harness.take_written(slow);
    harness.taking_half.insert(slow);
    harness.advance(600 * MS);
    assert!(harness.closed.contains(&slow));
    assert_eq!(count_set_ups_elsewhere(&mut harness, slow), 1);
}

/// The same where sessions are active at the node, so that its connections are half-closed: one on which a cancellation is
/// being written is not idle.
#[test]
fn a_connection_writing_a_cancellation_is_not_idle() {
    let mut harness = Harness::new();
    let (viewer, first) = harness.start_session(7, "free");
    harness.request(viewer, 8, "free");
    let Some(second) = harness
        .node_connections
        .keys()
        .copied()
        .find(|c| *c != first)
    else {
        return;
    };
    harness.connect(second);
    harness.receive(second, set_up_answer(8, "there"));
    harness.request(viewer, 9, "free");
    let (node, server) = if harness.take_written(first).contains("0000000000000009") {
        (first, 7)
    } else {
        (second, 8)
    };
    harness.written.clear();
    harness.taking_half.insert(node);
    harness.advance(600 * MS);
    assert!(
        harness
            .written
            .get(&node)
            .is_some_and(|said| said.starts_with("TEARDOWN")),
        "{server}"
    );
    for connection in harness
        .node_connections
        .keys()
        .copied()
        .filter(|c| ![first, second].contains(c))
        .collect::<Vec<_>>()
    {
        harness.connect(connection);
    }
    harness.advance(900 * MS);
    let next = harness
        .written
        .values()
        .filter(|said| said.contains("SETUP") && said.contains("0000000000000009"));
    assert_eq!(next.count(), 1, "{:?}", harness.written);
}

/// A node rejects a set-up and accepts it some milliseconds later, while the next attempt is open elsewhere: that session is
/// released. A duplicate of an answer is ignored.
#[test]
fn a_session_answered_after_its_rejection_is_released() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_attempt(7, "free");
    harness.take_written(node);
    harness.receive(node, set_up_refusal(7, 500));
    harness.advance(3 * MS);
    harness.receive(node, set_up_answer(7, "there"));
    let received = harness.take_written(node);
    assert!(
        received.contains("TEARDOWN") && received.contains("0000000000000007"),
        "{received}"
    );
    let next = harness.connect_next();
    assert!(harness.take_written(next).starts_with("SETUP"));
    harness.receive(next, set_up_answer(7, "here"));
    assert!(harness.take_written(viewer).contains(r#""blob":"here""#));
    harness.receive(next, set_up_answer(7, "here"));
    assert!(harness.take_written(viewer).is_empty() && harness.take_written(next).is_empty());
    // The same when its viewer has had its answer.
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_attempt(7, "paid");
    harness.receive(node, set_up_refusal(7, 504));
    assert!(harness.take_written(viewer).contains(r#""rc":41"#));
    harness.take_written(node);
    harness.receive(node, set_up_answer(7, "there"));
    assert!(harness.take_written(node).contains("TEARDOWN"));
    assert!(harness.take_written(viewer).is_empty());
}

/// An answer behind a rejection, while the same node has the session's next attempt or the session: a release would end that.
#[test]
fn a_late_answer_releases_no_session_of_the_same_node() {
    let mut harness = Harness::new();
    let (_, node) = harness.start_attempt(7, "free");
    let server = harness.node_of(node);
    let other = 3 - server;
    harness.apply_endpoint_event(
        2,
        &[endpoint_entry(other, NODE[other as usize - 1], Gone, None)],
    );
    harness.take_written(node);
    harness.receive(node, set_up_refusal(7, 454));
    harness.advance(50 * MS);
    let again = harness.written.values().any(|said| said.contains("SETUP"));
    harness.receive(node, set_up_answer(7, "there"));
    let ended = harness
        .written
        .values()
        .any(|said| said.contains("TEARDOWN"));
    assert!(
        again != ended,
        "set up there again: {again}, released: {ended}"
    );
}

/// Before a set-up is written whole it was not executed, and a paid one is retried elsewhere; after that it may have been.
#[test]
fn a_paid_set_up_is_retried_only_if_not_executed() {
    type Break = fn(&mut Harness, ConnectionId);
    let breaks: [(Break, bool); 6] = [
        (
            |harness, connection| harness.fail_connect(connection, ConnectError::Refused),
            true,
        ),
        (
            |harness, connection| harness.fail_connect(connection, ConnectError::Unreachable),
            true,
        ),
        // Established, and closed before the first byte; between the first and the last.
        (
            |harness, connection| {
                harness.refusing_writes.insert(connection);
                harness.connect(connection);
                harness.close(connection, true);
            },
            true,
        ),
        (
            |harness, connection| {
                harness.taking_half.insert(connection);
                harness.connect(connection);
                harness.close(connection, false);
            },
            true,
        ),
        // Written whole: closed, or broken, before the answer.
        (
            |harness, connection| {
                harness.connect(connection);
                harness.close(connection, true);
            },
            false,
        ),
        (
            |harness, connection| {
                harness.connect(connection);
                harness.close(connection, false);
            },
            false,
        ),
    ];
    for (n, (breaks, again)) in breaks.into_iter().enumerate() {
        let mut harness = Harness::new();
        let viewer = harness.connect_viewer();
        harness.request(viewer, 7, "paid");
        let connection = *harness.node_connections.keys().next().unwrap();
        breaks(&mut harness, connection);
        for next in harness
            .node_connections
            .keys()
            .copied()
            .filter(|c| *c != connection)
            .collect::<Vec<_>>()
        {
            harness.connect(next);
        }
        harness.advance(100 * MS);
        let set_ups = harness
            .written
            .iter()
            .filter(|(c, said)| **c != connection && said.contains("SETUP"))
            .count();
        assert_eq!(set_ups, usize::from(again), "{n}");
        let received = harness.take_written(viewer);
        assert_eq!(received.contains(r#""rc":41"#), !again, "{n}: {received}");
    }
}

/// An answer whose length does not fit is not passed on.
#[test]
fn a_malformed_answer_is_not_passed_on() {
    let odd: [&[u8]; 5] = [
        // Seen once in some thousand drawn cases: what a length one too small leaves is an empty line.
        b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000007\r\nContent-Length: 6\r\n\r\nthere\r\n",
        b"RTSP/1.0 200 OK\r\nContent-Length: -4\r\nCSeq: 1\r\nSession: 0000000000000007\r\nContent-Length: 5\r\n\r\nthere",
        b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000007\r\nContent-Length: 3\r\n\r\nthere\r\n",
        b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000007\r\nContent-Length: 3221225472\r\n\r\nthere",
        b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000007\r\nContent-Length: 5\r\n\r\nth\xff\xffe",
    ];
    for bytes in odd {
        let mut harness = Harness::new();
        let (viewer, node) = harness.start_attempt(7, "paid");
        harness.receive(node, bytes);
        let received = harness.take_written(viewer);
        assert!(
            received.contains(r#""rc":41"#) && !received.contains("STARTED"),
            "{received}"
        );
        assert!(harness.closed.contains(&node));
    }
}

/// The node was listed as draining while the connection was being established.
#[test]
fn a_set_up_is_checked_again_before_its_first_byte() {
    let mut harness = Harness::new();
    let viewer = harness.connect_viewer();
    harness.request(viewer, 7, "free");
    let first = *harness.node_connections.iter().next().unwrap().0;
    let id = if harness.node_connections[&first].to_string() == NODE[0] {
        1
    } else {
        2
    };
    let mut record = vec![
        0,
        0,
        0,
        id,
        10,
        1,
        0,
        id,
        0x13,
        0xc4,
        1,
        0,
        0,
        0,
        id - 1,
        0,
        0,
        3,
        0xe8,
    ];
    record.extend([0; 8]);
    let mut bytes = vec![0, 0, 0, 9 + 27, 0, 0, 0, 0, 0, 0, 0, 2, 2];
    bytes.extend(record);
    let mut frames = FrameDecoder::default();
    frames.push(&bytes);
    let Ok(Some(frame @ Frame::Event(_))) = frames.frame() else {
        panic!("not read")
    };
    harness.protocol.handle_watch_frame(START, &frame).unwrap();
    harness.connect(first);
    assert!(!harness.take_written(first).contains("SETUP"));
    let other = harness.connect_next();
    assert!(
        harness.take_written(other).contains("SETUP"),
        "it goes to the other node"
    );
}

/// What the module rejects is answered at once, with the time to wait before a retry.
#[test]
fn a_rejection_is_immediate_with_retry_after() {
    let mut harness = Harness::new();
    let viewer = harness.connect_viewer();
    harness.request(viewer, 7, "free");
    for _ in 0..2 {
        let connection = *harness.node_connections.keys().last().unwrap();
        harness.fail_connect(connection, ConnectError::Refused);
    }
    let received = harness.take_written(viewer);
    assert!(
        received.contains(r#""rc":34"#) && received.contains(r#""wait":""#),
        "{received}"
    );
}

/// The answer comes in time though its node is stalled, and the set-up is cancelled there.
#[test]
fn a_stalled_node_delays_no_answer() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_attempt(7, "paid");
    harness.take_written(node);
    harness.advance(1400 * MS);
    assert!(harness.take_written(viewer).is_empty());
    harness.advance(100 * MS);
    assert!(harness.take_written(viewer).contains(r#""rc":41"#));
    assert!(harness.take_written(node).contains("TEARDOWN"));
    harness.receive(node, set_up_answer(7, "there"));
    assert!(harness.take_written(viewer).is_empty());
}
