//! Attempts at media nodes: their order, and how answers are handled.

mod common;
use common::{Harness, MILLISECOND, NODE, START, endpoint_entry, set_up_answer, set_up_rejection};
use shalewall::EndpointState::Gone;
use shalewall_platform_proto::endpoint_watch::{Frame, FrameDecoder};
use shalewall_platform_proto::{ConnectError, ConnectionId};

/// Two sockets may be written in any order: unless an attempt's cancellation is written before the next attempt, both
/// are open at once.
#[test]
fn the_next_attempt_waits_for_the_cancellation() {
    let mut harness = Harness::new();
    let (_, slow) = harness.start_attempt(7, "free");
    assert!(harness.take_written(slow).starts_with("SETUP"));
    harness.blocked.insert(slow);
    harness.advance(600 * MILLISECOND);
    let next = harness.connect_next();
    assert!(
        harness.take_written(next).is_empty(),
        "the first attempt is not cancelled yet"
    );
    harness.blocked.clear();
    harness.write(slow);
    assert!(harness.take_written(slow).starts_with("TEARDOWN"));
    harness.process_outputs();
    assert!(
        harness.take_written(next).starts_with("SETUP"),
        "the first attempt is cancelled"
    );
    // Closing the connection cancels its set-ups.
    let mut harness = Harness::new();
    let (_, slow) = harness.start_attempt(7, "free");
    harness.blocked.insert(slow);
    harness.advance(600 * MILLISECOND);
    let next = harness.connect_next();
    harness.close(slow, false);
    assert!(harness.take_written(next).starts_with("SETUP"));
}

/// Establishes all connections; returns the number of set-ups that were written on connections other than `excluded`.
fn count_set_ups_elsewhere(harness: &mut Harness, excluded: ConnectionId) -> usize {
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
        .filter(|(c, text)| **c != excluded && text.contains("SETUP"))
        .count()
}

/// The next attempt does not wait for a cancellation that can't be written completely.
#[test]
fn a_half_written_cancellation_blocks_no_attempt() {
    // The socket accepts nothing: closing the connection cancels as well.
    let mut harness = Harness::new();
    let (_, slow) = harness.start_attempt(7, "free");
    harness.refusing_writes.insert(slow);
    harness.advance(600 * MILLISECOND);
    assert!(harness.closed.contains(&slow));
    assert_eq!(count_set_ups_elsewhere(&mut harness, slow), 1);
    // The socket accepts half of the message, and no more.
    let mut harness = Harness::new();
    let (_, slow) = harness.start_attempt(7, "free");
    harness.take_written(slow);
    harness.writing_partially.insert(slow);
    harness.advance(600 * MILLISECOND);
    assert!(harness.closed.contains(&slow));
    assert_eq!(count_set_ups_elsewhere(&mut harness, slow), 1);
}

/// If sessions are active at the node, its idle connections are half-closed. One on which a cancellation is being
/// written is not idle.
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
    harness.receive(second, set_up_answer(8, "there\r\n"));
    harness.request(viewer, 9, "free");
    let (node, tag) = if harness.take_written(first).contains("0000000000000009") {
        (first, 7)
    } else {
        (second, 8)
    };
    harness.written.clear();
    harness.writing_partially.insert(node);
    harness.advance(600 * MILLISECOND);
    assert!(
        harness
            .written
            .get(&node)
            .is_some_and(|text| text.starts_with("TEARDOWN")),
        "the connection of session {tag}"
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
    harness.advance(900 * MILLISECOND);
    let next = harness
        .written
        .values()
        .filter(|text| text.contains("SETUP") && text.contains("0000000000000009"));
    assert_eq!(next.count(), 1, "{:?}", harness.written);
}

/// A node rejects a set-up and accepts it some milliseconds later, while the next attempt is open at another node: that
/// session is released. A duplicate answer is ignored.
#[test]
fn a_session_answered_after_its_rejection_is_released() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_attempt(7, "free");
    harness.take_written(node);
    harness.receive(node, set_up_rejection(7, 500));
    harness.advance(3 * MILLISECOND);
    harness.receive(node, set_up_answer(7, "there\r\n"));
    let received = harness.take_written(node);
    assert!(
        received.contains("TEARDOWN") && received.contains("0000000000000007"),
        "{received}"
    );
    let next = harness.connect_next();
    assert!(harness.take_written(next).starts_with("SETUP"));
    harness.receive(next, set_up_answer(7, "here\r\n"));
    assert!(
        harness
            .take_written(viewer)
            .contains(r#""blob":"here\r\n""#)
    );
    harness.receive(next, set_up_answer(7, "here\r\n"));
    assert!(harness.take_written(viewer).is_empty() && harness.take_written(next).is_empty());
    // The same after its viewer was answered.
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_attempt(7, "paid");
    harness.receive(node, set_up_rejection(7, 504));
    assert!(harness.take_written(viewer).contains(r#""rc":41"#));
    harness.take_written(node);
    harness.receive(node, set_up_answer(7, "there\r\n"));
    assert!(harness.take_written(node).contains("TEARDOWN"));
    assert!(harness.take_written(viewer).is_empty());
}

/// A late answer after a rejection must not release the session if the same node has its next attempt, or the session
/// itself.
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
    harness.receive(node, set_up_rejection(7, 454));
    harness.advance(50 * MILLISECOND);
    let is_retried = harness.written.values().any(|text| text.contains("SETUP"));
    harness.receive(node, set_up_answer(7, "there\r\n"));
    let is_released = harness
        .written
        .values()
        .any(|text| text.contains("TEARDOWN"));
    assert!(
        is_retried != is_released,
        "retried at the same node: {is_retried}, released: {is_released}"
    );
}

/// A set-up that is not completely written was not executed, so a paid one is retried at another node. After that it
/// may have been executed.
#[test]
fn a_paid_set_up_is_retried_only_if_not_executed() {
    type Failure = fn(&mut Harness, ConnectionId);
    let failures: [(Failure, bool); 6] = [
        (
            |harness, connection| harness.fail_connect(connection, ConnectError::Refused),
            true,
        ),
        (
            |harness, connection| harness.fail_connect(connection, ConnectError::Unreachable),
            true,
        ),
        // Established, and closed before the first byte; or between the first and the last.
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
                harness.writing_partially.insert(connection);
                harness.connect(connection);
                harness.close(connection, false);
            },
            true,
        ),
        // Completely written: closed, or broken, before the answer.
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
    for (index, (fail, is_retried)) in failures.into_iter().enumerate() {
        let mut harness = Harness::new();
        let viewer = harness.connect_viewer();
        harness.request(viewer, 7, "paid");
        let connection = *harness.node_connections.keys().next().unwrap();
        fail(&mut harness, connection);
        for next in harness
            .node_connections
            .keys()
            .copied()
            .filter(|c| *c != connection)
            .collect::<Vec<_>>()
        {
            harness.connect(next);
        }
        harness.advance(100 * MILLISECOND);
        let set_ups = harness
            .written
            .iter()
            .filter(|(c, text)| **c != connection && text.contains("SETUP"))
            .count();
        assert_eq!(set_ups, usize::from(is_retried), "case {index}");
        let received = harness.take_written(viewer);
        assert_eq!(
            received.contains(r#""rc":41"#),
            !is_retried,
            "case {index}: {received}"
        );
    }
}

/// An answer with a wrong content length, or with a description that is not UTF-8, is not forwarded.
#[test]
fn a_malformed_answer_is_not_forwarded() {
    let malformed: [&[u8]; 5] = [
        // A content length that is one too small leaves a line feed, which is an empty first line. About one in a
        // thousand random cases.
        b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000007\r\nContent-Length: 6\r\n\r\nthere\r\n",
        b"RTSP/1.0 200 OK\r\nContent-Length: -4\r\nCSeq: 1\r\nSession: 0000000000000007\r\nContent-Length: 5\r\n\r\nthere",
        b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000007\r\nContent-Length: 3\r\n\r\nthere\r\n",
        b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000007\r\nContent-Length: 3221225472\r\n\r\nthere",
        b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000007\r\nContent-Length: 5\r\n\r\nth\xff\xffe",
    ];
    for bytes in malformed {
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

/// A node is listed as draining while a connection to it is being established: the set-up goes to the other node.
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
        panic!("the frame is not decoded")
    };
    harness.protocol.handle_watch_frame(START, &frame).unwrap();
    harness.connect(first);
    assert!(!harness.take_written(first).contains("SETUP"));
    let other = harness.connect_next();
    assert!(
        harness.take_written(other).contains("SETUP"),
        "the set-up is sent to the other node"
    );
}

/// A request that the decision module rejects is answered at once, with the time to wait before a retry.
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

/// The viewer is answered by its deadline although the node is stalled, and the set-up is cancelled at the node.
#[test]
fn a_stalled_node_delays_no_answer() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_attempt(7, "paid");
    harness.take_written(node);
    harness.advance(1400 * MILLISECOND);
    assert!(harness.take_written(viewer).is_empty());
    harness.advance(100 * MILLISECOND);
    assert!(harness.take_written(viewer).contains(r#""rc":41"#));
    assert!(harness.take_written(node).contains("TEARDOWN"));
    harness.receive(node, set_up_answer(7, "there\r\n"));
    assert!(harness.take_written(viewer).is_empty());
}
