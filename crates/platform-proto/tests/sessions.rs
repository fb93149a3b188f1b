//! Sessions from the first word to the last, and what must not be lost when connections are.

mod common;
use common::*;
use shalewall_platform_proto::endpoint_watch::{Frame, FrameDecoder};
use shalewall_platform_proto::viewer_message::ViewerMessage;
use shalewall_platform_proto::{ConnectError, ConnectionId, HexId};

#[test]
fn a_session_is_set_up_told_and_over() {
    let mut rig = Rig::new();
    let viewer = rig.viewer();
    rig.ask(viewer, 7, "paid");
    assert!(rig.heard(viewer).is_empty(), "no answer before a node's");
    let node = rig.up();
    let sent = rig.heard(node);
    assert!(sent.starts_with(
        "SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: 0000000000000007\r\n"
    ));
    assert!(
        sent.contains("P-Kind: paid\r\n")
            && sent.contains("X-Rung: 1\r\n")
            && sent.ends_with("\r\n\r\nhere\r\n")
    );
    rig.hear(node, answer(7, "there\r\n"));
    let told = rig.heard(viewer);
    assert!(
        told.contains(r#""verb":"STARTED","tag":"0000000000000007""#)
            && told.contains(r#""blob":"there\r\n""#)
    );
    rig.hear(node, release(7, 16, b""));
    assert!(
        rig.heard(viewer)
            .contains(r#""verb":"FINISH","tag":"0000000000000007","opts":{},"rc":16"#)
    );
    assert_eq!(rig.protocol.session_counts(), counts(0, 0));
}

/// Seen on a garbled day: a release under an unknown id with noise for content closed the connection, and the
/// releases behind it were lost (36 sessions).
#[test]
fn content_that_is_no_text_spoils_no_release() {
    let mut rig = Rig::new();
    let (viewer, node) = rig.standing(7, "free");
    rig.heard(viewer);
    rig.hear(
        node,
        [
            release(99, 16, b"\xff\xfe noise\r\n\r\n"),
            release(7, 16, b""),
        ]
        .concat(),
    );
    assert!(rig.heard(viewer).contains(r#""rc":16"#));
    assert!(rig.closed.is_empty());
}

/// Seen: a returning viewer's time was over as soon as the session stood, and its answer came with the release.
/// Taken for a break it was set up three times more.
#[test]
fn a_release_with_a_description_before_the_answer_is_both() {
    let mut rig = Rig::new();
    let (viewer, node) = rig.out(7, "paid");
    rig.hear(node, release(7, 16, b"there\r\n"));
    let told = rig.heard(viewer);
    assert!(
        told.contains("STARTED") && told.ends_with("\"rc\":16}\n"),
        "{told}"
    );
    assert_eq!(rig.protocol.session_counts(), counts(0, 0));
}

/// Seen on a day of replaced nodes (two requests of 18,000, and the day was lost by them): a node let a session stand
/// and ended it as given up by its viewer within the same millisecond. The viewer, who could not know of it, was told
/// that it stands and nothing more.
#[test]
fn a_session_over_before_its_answer_has_left_is_one_failed_answer() {
    let mut rig = Rig::new();
    let (viewer, node) = rig.out(7, "paid");
    rig.hear(
        node,
        [answer(7, "there\r\n").into(), release(7, 31, b"")].concat(),
    );
    let told = rig.heard(viewer);
    assert!(
        !told.contains("STARTED") && told.contains(r#""verb":"FINISH","tag":"0000000000000007""#),
        "{told}"
    );
    assert!(
        told.contains(r#""rc":41"#) && told.lines().count() == 1,
        "{told}"
    );
    assert_eq!(rig.protocol.session_counts(), counts(0, 0));
}

/// Who has heard that it stands and ended it is owed no release.
#[test]
fn a_session_that_its_viewer_ended_is_released_to_nobody() {
    let mut rig = Rig::new();
    let (viewer, node) = rig.standing(7, "paid");
    assert!(rig.heard(viewer).contains("STARTED"));
    rig.hear(node, release(7, 31, b""));
    assert!(rig.heard(viewer).is_empty());
    assert_eq!(rig.protocol.session_counts(), counts(0, 0));
}

/// Two sockets are written in any order: the word that an attempt is given up must be on its way before the next
/// attempt is, or both are out.
#[test]
fn the_next_attempt_waits_until_the_last_one_is_given_up() {
    let mut rig = Rig::new();
    let (_, slow) = rig.out(7, "free");
    assert!(rig.heard(slow).starts_with("SETUP"));
    rig.stuck.insert(slow);
    rig.pass(600 * MS);
    let next = rig.up();
    assert!(rig.heard(next).is_empty(), "set up while the first is out");
    rig.stuck.clear();
    rig.write(slow);
    assert!(rig.heard(slow).starts_with("TEARDOWN"));
    rig.pump();
    assert!(rig.heard(next).starts_with("SETUP"), "the way is free");
    // And where the connection ends, its set-ups are given up by that.
    let mut rig = Rig::new();
    let (_, slow) = rig.out(7, "free");
    rig.stuck.insert(slow);
    rig.pass(600 * MS);
    let next = rig.up();
    rig.broken(slow, false);
    assert!(rig.heard(next).starts_with("SETUP"));
}

/// A node says its releases again on the next connection that is opened: so one has to be.
#[test]
fn after_a_broken_connection_the_next_one_is_opened_at_once() {
    let mut rig = Rig::new();
    let (viewer, node) = rig.standing(7, "free");
    rig.heard(viewer);
    rig.broken(node, false);
    let next = rig.up();
    rig.hear(next, release(7, 41, b""));
    assert!(
        rig.heard(viewer)
            .contains(r#""tag":"0000000000000007","opts":{},"rc":41"#)
    );
}

/// Sessions stand at both nodes, and a set-up by one of their connections is given up at once: that connection, and
/// the session there.
fn given_up(rig: &mut Rig) -> (ConnectionId, ConnectionId, u64) {
    let (viewer, first) = rig.standing(7, "free");
    rig.ask(viewer, 8, "free");
    let second = rig.up();
    rig.hear(second, answer(8, "there"));
    rig.said.clear();
    rig.ask(viewer, 9, "free");
    let met = if rig.heard(first).contains("SETUP") {
        (first, 7)
    } else {
        (second, 8)
    };
    rig.hear(
        viewer,
        ViewerMessage::finish(HexId::from_value(9), 16).encode(),
    );
    assert!(rig.heard(met.0).contains("TEARDOWN"));
    rig.said.clear();
    (viewer, met.0, met.1)
}

/// Seen: a set-up was given up, its connection closed for that, and nineteen releases that the node had written there
/// in the same millisecond were never read.
#[test]
fn what_a_node_wrote_before_it_learned_of_a_close_is_heard() {
    let mut rig = Rig::new();
    let (viewer, node, tag) = given_up(&mut rig);
    rig.pass(S);
    rig.up();
    assert!(
        rig.finished.contains(&node) && !rig.closed.contains(&node),
        "it says no more and listens"
    );
    rig.hear(node, release(tag, 16, b""));
    assert!(
        rig.heard(viewer)
            .contains(&format!(r#""tag":"{tag:016x}","opts":{{}},"rc":16"#))
    );
    rig.broken(node, true);
    assert!(rig.closed.contains(&node));
    assert_eq!(rig.protocol.session_counts(), counts(0, 1));
}

/// Seen: a node that drains took no further connection, this side closed the last one to it after a set-up that was
/// given up, and released what stood there, and went on standing.
#[test]
fn the_last_connection_to_a_node_is_kept_until_there_is_another() {
    let mut rig = Rig::new();
    let (viewer, node, tag) = given_up(&mut rig);
    for _ in 0..25 {
        rig.pass(100 * MS);
        let further: Vec<_> = rig.links.keys().copied().skip(2).collect();
        further
            .into_iter()
            .for_each(|conn| rig.fail(conn, ConnectError::Refused));
    }
    assert!(rig.heard(viewer).is_empty() && !rig.finished.contains(&node));
    rig.hear(node, release(tag, 16, b""));
    assert!(
        rig.heard(viewer)
            .contains(&format!(r#""tag":"{tag:016x}","opts":{{}},"rc":16"#))
    );
}

/// A node that stands still does not close: its connection is not waited for without an end.
#[test]
fn a_close_that_is_not_answered_ends() {
    let mut rig = Rig::new();
    let (_, node, _) = given_up(&mut rig);
    rig.pass(S);
    rig.up();
    rig.pass(6 * S);
    assert!(rig.closed.contains(&node));
}

/// What can't be read is closed at once; the next one is opened when the node has learned of that, since what it
/// says in between is lost, and said again on the next one only.
#[test]
fn after_a_spoilt_connection_the_next_one_waits_for_the_node_to_know() {
    let mut rig = Rig::new();
    let (viewer, node) = rig.standing(7, "free");
    rig.heard(viewer);
    rig.hear(node, "no such thing\r\n\r\n");
    assert!(rig.closed.contains(&node) && rig.links.keys().all(|c| *c == node));
    rig.pass(300 * MS);
    let next = rig.up();
    rig.hear(next, release(7, 41, b""));
    assert!(
        rig.heard(viewer)
            .contains(r#""tag":"0000000000000007","opts":{},"rc":41"#)
    );
}

/// A refused connection proves that the process is gone, and with it what stood there.
#[test]
fn a_refused_connection_ends_what_stood_there() {
    let mut rig = Rig::new();
    let (viewer, node) = rig.standing(7, "free");
    rig.heard(viewer);
    rig.broken(node, false);
    let next = *rig.links.keys().last().unwrap();
    rig.fail(next, ConnectError::Refused);
    assert!(rig.heard(viewer).contains(r#""rc":41"#));
    assert_eq!(rig.protocol.session_counts(), counts(0, 0));
}

/// Seen: a spoilt connection stayed open while its process died, and the sessions there were never released.
#[test]
fn a_connection_that_only_looks_open_proves_nothing() {
    let mut rig = Rig::new();
    let (viewer, node) = rig.standing(7, "free");
    rig.heard(viewer);
    for _ in 0..60 {
        rig.pass(100 * MS);
        for conn in rig
            .links
            .keys()
            .copied()
            .filter(|c| *c != node)
            .collect::<Vec<_>>()
        {
            rig.fail(conn, ConnectError::Refused);
        }
    }
    assert!(rig.heard(viewer).contains(r#""rc":41"#));
    // One that refuses further connections and is heard over others is alive.
    let mut rig = Rig::new();
    let (viewer, node) = rig.standing(7, "free");
    rig.heard(viewer);
    for _ in 0..60 {
        rig.pass(100 * MS);
        rig.hear(
            node,
            "ANNOUNCE rtsp://media/x RTSP/1.0\r\nSession: 0000000000000007\r\nContent-Length: 0\r\n\r\n",
        );
        for conn in rig
            .links
            .keys()
            .copied()
            .filter(|c| *c != node)
            .collect::<Vec<_>>()
        {
            rig.fail(conn, ConnectError::Refused);
        }
    }
    assert!(rig.heard(viewer).is_empty());
}

/// A machine that vanished gives no sign: its connections stay open and new ones never come up. What stood there
/// is released within the 8 s that the protocol gives. One that stands still lets connections come up: it keeps
/// what it has.
#[test]
fn a_vanished_machine_is_told_from_one_that_stands_still() {
    for vanished in [true, false] {
        let mut rig = Rig::new();
        let (viewer, node) = rig.standing(7, "free");
        rig.heard(viewer);
        for _ in 0..75 {
            rig.pass(100 * MS);
            for conn in rig
                .links
                .keys()
                .copied()
                .filter(|c| *c != node)
                .collect::<Vec<_>>()
            {
                if vanished {
                    rig.fail(conn, ConnectError::Unreachable);
                } else {
                    rig.come_up(conn);
                }
            }
        }
        assert_eq!(rig.heard(viewer).contains(r#""rc":41"#), vanished);
    }
}

/// A message that stops short would swallow whatever comes after it on that connection.
#[test]
fn half_a_message_spoils_its_connection_within_a_second() {
    let mut rig = Rig::new();
    let (viewer, node) = rig.out(7, "paid");
    rig.hear(node, &answer(7, "there, and more")[..70]);
    rig.pass(S);
    assert!(rig.closed.contains(&node));
    assert!(
        rig.heard(viewer).contains(r#""rc":41"#),
        "it may have run: a paid set-up fails"
    );
}

/// An answer whose length does not fit is not passed on.
#[test]
fn an_answer_that_is_not_sound_serves_nobody() {
    let odd: [&[u8]; 5] = [
        // Seen once in some thousand drawn cases: what a length one too small leaves is an empty line.
        b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000007\r\nContent-Length: 6\r\n\r\nthere\r\n",
        b"RTSP/1.0 200 OK\r\nContent-Length: -4\r\nCSeq: 1\r\nSession: 0000000000000007\r\nContent-Length: 5\r\n\r\nthere",
        b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000007\r\nContent-Length: 3\r\n\r\nthere\r\n",
        b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000007\r\nContent-Length: 3221225472\r\n\r\nthere",
        b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000007\r\nContent-Length: 5\r\n\r\nth\xff\xffe",
    ];
    for bytes in odd {
        let mut rig = Rig::new();
        let (viewer, node) = rig.out(7, "paid");
        rig.hear(node, bytes);
        let told = rig.heard(viewer);
        assert!(
            told.contains(r#""rc":41"#) && !told.contains("STARTED"),
            "{told}"
        );
        assert!(rig.closed.contains(&node));
    }
}

/// Judged again before its first byte: the node was told to drain while the connection came up.
#[test]
fn a_set_up_that_waited_is_judged_again() {
    let mut rig = Rig::new();
    let viewer = rig.viewer();
    rig.ask(viewer, 7, "free");
    let first = *rig.links.iter().next().unwrap().0;
    let id = if rig.links[&first].to_string() == NODE[0] {
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
    rig.protocol.handle_watch_frame(START, &frame).unwrap();
    rig.come_up(first);
    assert!(!rig.heard(first).contains("SETUP"));
    let other = rig.up();
    assert!(
        rig.heard(other).contains("SETUP"),
        "it goes to the other node"
    );
}

/// Sessions from before the start: no answer, once only, released like any other; at a node nobody knows, at once.
#[test]
fn sessions_handed_over_stand_once_and_are_released() {
    let mut rig = Rig::new();
    let viewer = rig.viewer();
    for _ in 0..2 {
        rig.hear(viewer, start(7, "paid", 4294967, ";at:s-00000001"));
    }
    assert!(rig.heard(viewer).is_empty());
    assert_eq!(rig.protocol.session_counts(), counts(0, 1));
    let node = rig.up();
    rig.hear(node, release(7, 41, b""));
    assert!(rig.heard(viewer).contains(r#""rc":41"#));
    rig.hear(viewer, start(8, "paid", 4294967, ";at:s-000000ff"));
    assert!(
        rig.heard(viewer)
            .contains(r#""tag":"0000000000000008","opts":{},"rc":41"#)
    );
    assert_eq!(rig.protocol.session_counts(), counts(0, 0));
}

/// What the module has given up on is answered at once, with the time to keep away.
#[test]
fn a_refusal_goes_at_once_and_says_when_to_come_back() {
    let mut rig = Rig::new();
    let viewer = rig.viewer();
    rig.ask(viewer, 7, "free");
    for _ in 0..2 {
        let conn = *rig.links.keys().last().unwrap();
        rig.fail(conn, ConnectError::Refused);
    }
    let told = rig.heard(viewer);
    assert!(
        told.contains(r#""rc":34"#) && told.contains(r#""wait":""#),
        "{told}"
    );
}

/// The answer comes in time though its node stands still, and the node is told to forget it.
#[test]
fn a_node_that_stands_still_makes_no_answer_late() {
    let mut rig = Rig::new();
    let (viewer, node) = rig.out(7, "paid");
    rig.heard(node);
    rig.pass(1400 * MS);
    assert!(rig.heard(viewer).is_empty());
    rig.pass(100 * MS);
    assert!(rig.heard(viewer).contains(r#""rc":41"#));
    assert!(rig.heard(node).contains("TEARDOWN"));
    rig.hear(node, answer(7, "there"));
    assert!(rig.heard(viewer).is_empty());
}

/// A release finds its viewer though the connection of its set-up is gone.
#[test]
fn a_release_waits_for_its_viewers_next_connection() {
    let mut rig = Rig::new();
    let (viewer, node) = rig.standing(7, "free");
    rig.broken(viewer, true);
    assert_eq!(rig.protocol.session_counts(), counts(0, 1));
    rig.hear(node, release(7, 16, b""));
    let next = rig.viewer();
    rig.write(next);
    assert!(rig.heard(next).contains(r#""rc":16"#));
}
