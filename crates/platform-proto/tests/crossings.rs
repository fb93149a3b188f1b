//! Two things at once: a request, an answer, a close or a signal comes between two steps of this side. Each test forces one
//! order of them; docs/platform.md has the table.

mod common;
use common::*;
use shalewall::EndpointState::{Gone, Ready};
use shalewall::ServerId;
use shalewall_platform_proto::endpoint_watch::Frame;
use shalewall_platform_proto::viewer_message::ViewerMessage;
use shalewall_platform_proto::{ConnectError, ConnectionId, DirectorProtocol, HexId, LogEvent};

fn gives_up(tag: u64) -> Vec<u8> {
    ViewerMessage::finish(HexId::from_value(tag), 16).encode()
}

// ---- viewers ----------------------------------------------------------------------------------

/// A set-up's answer comes, and the viewer's socket takes nothing (or half of it) before its connection ends: the session
/// is nobody's. Its node is told.
#[test]
fn a_session_whose_answer_was_never_read_is_released_at_its_node() {
    for half in [false, true] {
        let mut rig = Rig::new();
        let (viewer, node) = rig.out(7, "paid");
        rig.heard(node);
        if half { &mut rig.half } else { &mut rig.full }.insert(viewer);
        rig.hear(node, answer(7, "there"));
        assert_eq!(rig.protocol.session_counts(), counts(0, 1));
        rig.broken(viewer, true);
        let told = rig.heard(node);
        assert!(
            told.contains("TEARDOWN") && told.contains("0000000000000007"),
            "half {half}: {told}"
        );
        assert_eq!(rig.protocol.session_counts(), counts(0, 0));
    }
    // One that was written whole stands without its connection.
    let mut rig = Rig::new();
    let (viewer, node) = rig.standing(7, "paid");
    rig.heard(node);
    rig.broken(viewer, true);
    assert!(rig.heard(node).is_empty());
    assert_eq!(rig.protocol.session_counts(), counts(0, 1));
}

/// A release that was queued, or half written, when its connection ended is said on another one, or on the next.
#[test]
fn a_release_that_was_not_written_is_said_elsewhere() {
    for (half, other) in [(false, false), (true, false), (false, true), (true, true)] {
        let mut rig = Rig::new();
        let (viewer, node) = rig.standing(7, "free");
        rig.heard(viewer);
        let near = if other { Some(rig.viewer()) } else { None };
        if half { &mut rig.half } else { &mut rig.full }.insert(viewer);
        rig.hear(node, release(7, 16, b""));
        rig.broken(viewer, false);
        let near = near.unwrap_or_else(|| rig.viewer());
        rig.write(near);
        let told = rig.heard(near);
        assert!(
            told.contains(r#""tag":"0000000000000007","opts":{},"rc":16"#),
            "{half} {other}: {told}"
        );
    }
}

/// The last word to a client that can't be read is not destroyed by what else it has sent: this side's half is closed, and
/// what comes is passed over until it has closed too, for a bounded time and a bounded number of bytes.
#[test]
fn a_bad_clients_last_word_is_not_destroyed_by_a_reset() {
    let mut rig = Rig::new();
    let viewer = rig.viewer();
    rig.hear(viewer, "no message\n");
    assert!(rig.heard(viewer).contains(r#""rc":95"#));
    assert!(rig.finished.contains(&viewer) && !rig.closed.contains(&viewer));
    rig.hear(viewer, start(9, "paid", 1500, ""));
    assert_eq!(
        rig.protocol.session_counts(),
        counts(0, 0),
        "what comes later is passed over"
    );
    rig.broken(viewer, true);
    assert!(rig.closed.contains(&viewer));
    // It does not close.
    let mut rig = Rig::new();
    let viewer = rig.viewer();
    rig.hear(viewer, "no message\n");
    rig.pass(1300 * MS);
    assert!(rig.closed.contains(&viewer));
    // It sends without an end.
    let mut rig = Rig::new();
    let viewer = rig.viewer();
    rig.hear(viewer, "no message\n");
    for _ in 0..65 {
        rig.hear(viewer, [b'x'; 4096]);
    }
    assert!(rig.closed.contains(&viewer));
}

/// A director that stood still rings its timers first: a request that waits in the socket of a connection it is about to
/// close as idle, or as one of too many, is served.
#[test]
fn a_connection_is_not_closed_over_a_request_that_waits_in_it() {
    let mut rig = Rig::new();
    let viewer = rig.viewer();
    rig.hear(
        viewer,
        ViewerMessage::new(
            shalewall_platform_proto::viewer_message::Verb::Echo,
            HexId::from_value(1),
        )
        .encode(),
    );
    rig.unread.insert(viewer);
    rig.pass(12 * S);
    assert!(!rig.closed.contains(&viewer));
    rig.unread.clear();
    rig.ask(viewer, 7, "free");
    assert_eq!(rig.protocol.session_counts(), counts(1, 0));
    let node = rig.up();
    rig.hear(node, answer(7, "there"));
    assert!(rig.heard(viewer).contains("STARTED"));
    // A crowd: the 150th needs the room of an idle one, in which something waits.
    let mut rig = Rig::new();
    let first = rig.viewer();
    rig.unread.insert(first);
    let mut others: Vec<ConnectionId> = Vec::new();
    for _ in 0..400 {
        let Some(conn) = rig
            .protocol
            .accept_viewer(rig.now, "10.9.0.2".parse().unwrap())
        else {
            break;
        };
        rig.pump();
        rig.unread.insert(conn);
        others.push(conn);
    }
    assert!(
        rig.closed.is_empty() && others.len() < 170,
        "{} beyond the limit",
        others.len()
    );
    rig.ask(first, 7, "free");
    assert_eq!(rig.protocol.session_counts(), counts(1, 0));
    // Nothing waits in them: they go, and the next ones have their room.
    rig.unread.clear();
    others.iter().for_each(|conn| rig.write(*conn));
    assert!(rig.closed.len() > 10);
    assert!(
        rig.protocol
            .accept_viewer(rig.now, "10.9.0.2".parse().unwrap())
            .is_some()
    );
}

/// The ways in which a viewer leaves: it closes, it is cut, it gives the set-up up, on its own connection or on another.
const WAYS: [fn(&mut Rig, ConnectionId); 4] = [
    |rig, viewer| rig.broken(viewer, true),
    |rig, viewer| rig.broken(viewer, false),
    |rig, viewer| rig.hear(viewer, gives_up(7)),
    |rig, _| {
        let other = rig.viewer();
        rig.hear(other, gives_up(7));
    },
];

/// Wherever a request can wait when its viewer leaves, not a byte of its set-up goes out later.
#[test]
fn nothing_is_sent_on_for_a_viewer_that_has_left() {
    let set_ups = |rig: &Rig| {
        rig.said
            .values()
            .map(|said| said.matches("SETUP").count())
            .sum::<usize>()
    };
    for leave in WAYS {
        // Its connection is coming up.
        let mut rig = Rig::new();
        let viewer = rig.viewer();
        rig.ask(viewer, 7, "free");
        leave(&mut rig, viewer);
        rig.up();
        rig.pass(3 * S);
        assert_eq!(set_ups(&rig), 0);
        // The socket takes nothing.
        let mut rig = Rig::new();
        let viewer = rig.viewer();
        rig.ask(viewer, 7, "free");
        let node = *rig.links.keys().next().unwrap();
        rig.full.insert(node);
        rig.come_up(node);
        leave(&mut rig, viewer);
        assert!(
            !rig.closed.contains(&node),
            "none of it was taken, and the connection is as it was"
        );
        rig.full.clear();
        rig.write(node);
        rig.pass(3 * S);
        assert_eq!(set_ups(&rig), 0);
        // It has taken half, and then no more: the other half never follows.
        let mut rig = Rig::new();
        let viewer = rig.viewer();
        rig.ask(viewer, 7, "free");
        let node = *rig.links.keys().next().unwrap();
        rig.half.insert(node);
        rig.come_up(node);
        assert!(rig.said[&node].starts_with("SETUP"));
        leave(&mut rig, viewer);
        assert!(rig.closed.contains(&node), "half a set-up is with its node");
        // After a failed attempt, before the next one: its connection is coming up, or the module waits.
        let mut rig = Rig::new();
        let (viewer, node) = rig.out(7, "free");
        rig.hear(node, refusal(7, 500));
        leave(&mut rig, viewer);
        for conn in rig
            .links
            .keys()
            .copied()
            .filter(|c| *c != node)
            .collect::<Vec<_>>()
        {
            rig.come_up(conn);
        }
        rig.pass(3 * S);
        assert_eq!(set_ups(&rig), 1);
        // The next one waits until the first is given up.
        let mut rig = Rig::new();
        let (viewer, slow) = rig.out(7, "free");
        rig.stuck.insert(slow);
        rig.pass(600 * MS);
        rig.up();
        leave(&mut rig, viewer);
        rig.stuck.clear();
        rig.write(slow);
        rig.pump();
        rig.pass(3 * S);
        assert_eq!(set_ups(&rig), 1);
        assert_eq!(rig.protocol.session_counts(), counts(0, 0));
    }
}

/// The word that a set-up is given up comes on one connection and is read before the set-up on another.
#[test]
fn a_set_up_given_up_before_it_came_is_not_sent() {
    let mut rig = Rig::new();
    let (viewer, other) = (rig.viewer(), rig.viewer());
    rig.hear(other, gives_up(7));
    rig.ask(viewer, 7, "paid");
    assert!(rig.links.is_empty() && rig.protocol.session_counts() == counts(0, 0));
    assert!(rig.heard(viewer).contains(r#""rc":34"#));
    rig.ask(viewer, 8, "paid");
    assert_eq!(rig.protocol.session_counts(), counts(1, 0));
}

// ---- shutdown ---------------------------------------------------------------------------------

/// Told to end with a request that may wait longer than the director may stay: it is answered before that, as refused where
/// no node had it, as failed where one may have.
#[test]
fn told_to_end_it_answers_in_time_whatever_the_deadline() {
    for sent in [false, true] {
        let mut rig = Rig::new();
        let viewer = rig.viewer();
        rig.hear(viewer, start(7, "paid", 60_000, ""));
        if sent {
            rig.up();
        }
        rig.protocol.begin_shutdown(rig.now);
        rig.pump();
        let most = rig.protocol.shutdown_time_limit();
        for _ in 0..most.as_millis() / 50 - 1 {
            rig.pass(50 * MS);
        }
        let told = rig.heard(viewer);
        let rc = if sent { r#""rc":41"# } else { r#""rc":34"# };
        assert!(told.contains(rc) && told.lines().count() == 1, "{told}");
        assert_eq!(rig.protocol.session_counts(), counts(0, 0));
        assert!(!rig.protocol.has_pending_writes());
    }
}

/// It does not end over words that are queued, and closes what it said them on in two steps.
#[test]
fn it_owes_what_is_not_written_yet() {
    let mut rig = Rig::new();
    let (viewer, node) = rig.out(7, "paid");
    rig.full.insert(viewer);
    rig.protocol.begin_shutdown(rig.now);
    rig.hear(node, answer(7, "there"));
    assert_eq!(rig.protocol.session_counts(), counts(0, 1));
    assert!(rig.protocol.has_pending_writes());
    rig.protocol.close_viewers(rig.now);
    rig.pump();
    assert!(rig.protocol.has_pending_writes() && !rig.finished.contains(&viewer));
    rig.full.clear();
    rig.write(viewer);
    assert!(rig.heard(viewer).contains("STARTED"));
    assert!(!rig.protocol.has_pending_writes() && rig.finished.contains(&viewer));
}

// ---- the list ---------------------------------------------------------------------------------

/// Word that there is nothing new, under a number above the last one heard: events are missing.
#[test]
fn word_of_nothing_new_tells_that_events_are_missing() {
    let mut rig = Rig::new();
    assert_eq!(
        rig.protocol.handle_watch_frame(START, &Frame::Heartbeat(1)),
        Ok(())
    );
    assert_eq!(
        rig.protocol.handle_watch_frame(START, &Frame::Heartbeat(0)),
        Ok(()),
        "behind: nothing is missing here"
    );
    assert!(
        rig.protocol
            .handle_watch_frame(START, &Frame::Heartbeat(2))
            .is_err()
    );
    rig.list(2, &[entry(3, "10.1.0.3:5060", Ready, None)]);
    assert_eq!(
        rig.protocol.handle_watch_frame(START, &Frame::Heartbeat(2)),
        Ok(())
    );
}

/// The file of a new configuration names an event that can't be read: the position stays before it, and the journal service
/// is asked for it and all that follow.
#[test]
fn an_event_left_out_of_a_file_is_asked_for() {
    let event = |pos: u64, id: &str| {
        format!(
            r#"{{"pos":{pos},"hosts":{{"complete":{},"members":[{{"id":"{id}","host_port":"10.1.0.{pos}:5060",
            "phase":"ready"}}]}}}}"#,
            pos == 1
        )
    };
    let text = |ids: [&str; 3]| {
        let events: Vec<_> = ids
            .iter()
            .enumerate()
            .map(|(i, id)| event(i as u64 + 1, id))
            .collect();
        format!(
            r#"{{"name":"n1","listen":"10.0.0.4:5060","seed":"8c1f30d27a5be964","limits":{{"sockets":256}},
            "journal":"10.2.0.1:8500","known":{{"pos":5,"entries":[{}]}},"settings":{{"Balancers":1,"MyNumber":0,
            "Categories":[]}}}}"#,
            events.join(",")
        )
    };
    let read = |ids| shalewall_platform_proto::config::Config::parse(text(ids).as_bytes()).unwrap();
    let protocol =
        DirectorProtocol::new(&read(["s-00000001", "s-00000002", "s-00000003"]), START).unwrap();
    assert_eq!(protocol.watch_position(), 5);
    let protocol =
        DirectorProtocol::new(&read(["s-00000001", "no id", "s-00000003"]), START).unwrap();
    assert_eq!(protocol.watch_position(), 1);
}

/// A new node is told under the address of one that the list has not said gone yet, or says gone in the same event: nothing
/// is sent to the new process under the old name, also where a connection is coming up or a set-up waits.
#[test]
fn an_address_that_changes_hands_reaches_nobody_else() {
    let mut rig = Rig::new();
    let viewer = rig.viewer();
    rig.ask(viewer, 7, "paid");
    let conn = *rig.links.keys().next().unwrap();
    let (old, other) = if rig.node_of(conn) == 1 {
        (1, 2)
    } else {
        (2, 1)
    };
    rig.list(2, &[entry(9, NODE[old as usize - 1], Ready, Some(START))]);
    assert!(
        rig.closed.contains(&conn),
        "the connection under way went to the old one"
    );
    rig.logs.clear();
    // Whatever it asks now, the old name gets nothing before its `gone` comes, and after.
    for number in [3, 4] {
        for tag in 0..20 {
            rig.ask(viewer, number * 100 + tag, "paid");
            rig.pass(10 * MS);
            for conn in rig.links.keys().copied().collect::<Vec<_>>() {
                rig.come_up(conn);
                let mine: Vec<u64> = (7..=7).chain(number * 100..number * 100 + 20).collect();
                mine.into_iter()
                    .for_each(|tag| rig.hear(conn, refusal(tag, 453)));
            }
        }
        if number == 3 {
            rig.list(number, &[entry(old, NODE[old as usize - 1], Gone, None)]);
        }
    }
    let was_opened = |id: u64| {
        rig.logs.iter().any(|event| {
            matches!(event, LogEvent::NodeConnectionOpened { node, .. } if node.0 == ServerId(id))
        })
    };
    assert!(!was_opened(old) && was_opened(9), "{:?}", rig.logs);
    rig.pass(S);
    assert_eq!(
        rig.protocol.status().connections.known_nodes,
        2,
        "the old one is forgotten, {other} and 9 stay"
    );
    assert!(rig.said.iter().any(|(_, said)| said.contains("SETUP")));
}

/// The same with a set-up in flight there: it is over with its process, and no release of it is owed at that address.
#[test]
fn nothing_is_owed_to_a_process_that_has_gone() {
    let mut rig = Rig::new();
    let (viewer, node) = rig.out(7, "paid");
    let old = rig.node_of(node);
    rig.list(2, &[entry(9, NODE[old as usize - 1], Ready, Some(START))]);
    assert!(rig.heard(viewer).contains(r#""rc":41"#));
    rig.pass(9 * S);
    assert!(
        rig.links.is_empty() && rig.protocol.status().connections.known_nodes == 2,
        "{:?}",
        rig.logs
    );
}

// ---- nodes ------------------------------------------------------------------------------------

/// Lets all connections come up; how many set-ups went out on others than that one.
fn set_up_elsewhere(rig: &mut Rig, than: ConnectionId) -> usize {
    for conn in rig
        .links
        .keys()
        .copied()
        .filter(|c| rig.coming(*c))
        .collect::<Vec<_>>()
    {
        rig.come_up(conn);
    }
    rig.said
        .iter()
        .filter(|(c, said)| **c != than && said.contains("SETUP"))
        .count()
}

/// A connection on which the word that an attempt is given up is half written: the next attempt is not left waiting for it.
#[test]
fn a_connection_with_half_a_word_on_it_holds_nothing_up() {
    // The socket takes nothing: closing says the same.
    let mut rig = Rig::new();
    let (_, slow) = rig.out(7, "free");
    rig.full.insert(slow);
    rig.pass(600 * MS);
    assert!(rig.closed.contains(&slow));
    assert_eq!(set_up_elsewhere(&mut rig, slow), 1);
    // It takes half, and no more.
    let mut rig = Rig::new();
    let (_, slow) = rig.out(7, "free");
    rig.heard(slow);
    rig.half.insert(slow);
    rig.pass(600 * MS);
    assert!(rig.closed.contains(&slow));
    assert_eq!(set_up_elsewhere(&mut rig, slow), 1);
}

/// The same where sessions stand at the node, so that its connections are closed in two steps: one on which the word is under
/// way is no idle one.
#[test]
fn a_word_under_way_is_no_idle_connection() {
    let mut rig = Rig::new();
    let (viewer, first) = rig.standing(7, "free");
    rig.ask(viewer, 8, "free");
    let Some(second) = rig.links.keys().copied().find(|c| *c != first) else {
        return;
    };
    rig.come_up(second);
    rig.hear(second, answer(8, "there"));
    rig.ask(viewer, 9, "free");
    let (node, server) = if rig.heard(first).contains("0000000000000009") {
        (first, 7)
    } else {
        (second, 8)
    };
    rig.said.clear();
    rig.half.insert(node);
    rig.pass(600 * MS);
    assert!(
        rig.said
            .get(&node)
            .is_some_and(|said| said.starts_with("TEARDOWN")),
        "{server}"
    );
    for conn in rig
        .links
        .keys()
        .copied()
        .filter(|c| ![first, second].contains(c))
        .collect::<Vec<_>>()
    {
        rig.come_up(conn);
    }
    rig.pass(900 * MS);
    let next = rig
        .said
        .values()
        .filter(|said| said.contains("SETUP") && said.contains("0000000000000009"));
    assert_eq!(next.count(), 1, "{:?}", rig.said);
}

/// Asking a connection whether there is something to write is no use of it: a node closes what has carried nothing.
#[test]
fn only_what_is_said_or_heard_keeps_a_connection_fresh() {
    let mut rig = Rig::new();
    let (viewer, node) = rig.standing(7, "free");
    rig.hear(node, release(7, 16, b""));
    let other = 3 - rig.node_of(node);
    rig.list(2, &[entry(other, NODE[other as usize - 1], Gone, None)]);
    rig.pass(8 * S);
    rig.write(node);
    rig.pass(S + 100 * MS);
    rig.said.clear();
    rig.ask(viewer, 8, "free");
    assert!(!rig.said.contains_key(&node), "the node may be closing it");
}

/// A node refuses a set-up and lets it stand some milliseconds later: nobody waits for it there any more, and the next attempt
/// is out elsewhere. It is released; a second copy of an answer is passed over.
#[test]
fn a_set_up_refused_and_answered_is_released() {
    let mut rig = Rig::new();
    let (viewer, node) = rig.out(7, "free");
    rig.heard(node);
    rig.hear(node, refusal(7, 500));
    rig.pass(3 * MS);
    rig.hear(node, answer(7, "there"));
    let told = rig.heard(node);
    assert!(
        told.contains("TEARDOWN") && told.contains("0000000000000007"),
        "{told}"
    );
    let next = rig.up();
    assert!(rig.heard(next).starts_with("SETUP"));
    rig.hear(next, answer(7, "here"));
    assert!(rig.heard(viewer).contains(r#""blob":"here""#));
    rig.hear(next, answer(7, "here"));
    assert!(rig.heard(viewer).is_empty() && rig.heard(next).is_empty());
    // The same when its viewer has had its answer.
    let mut rig = Rig::new();
    let (viewer, node) = rig.out(7, "paid");
    rig.hear(node, refusal(7, 504));
    assert!(rig.heard(viewer).contains(r#""rc":41"#));
    rig.heard(node);
    rig.hear(node, answer(7, "there"));
    assert!(rig.heard(node).contains("TEARDOWN"));
    assert!(rig.heard(viewer).is_empty());
}

/// A connection breaks under a set-up whose answer may be on its way: what then stands at the node is nobody's, and is released
/// over the next connection.
#[test]
fn what_stands_behind_a_broken_connection_is_released() {
    let mut rig = Rig::new();
    let (viewer, node) = rig.out(7, "paid");
    let server = rig.node_of(node);
    rig.broken(node, false);
    assert!(rig.heard(viewer).contains(r#""rc":41"#));
    rig.pass(300 * MS);
    let next = rig.up();
    assert_eq!(rig.node_of(next), server);
    let told = rig.heard(next);
    assert!(
        told.contains("TEARDOWN") && told.contains("0000000000000007"),
        "{told}"
    );
    // Closed by the node behind its last message: it has given up what was open there.
    let mut rig = Rig::new();
    let (_, node) = rig.out(7, "paid");
    rig.broken(node, true);
    rig.pass(S);
    assert!(rig.links.is_empty());
}

/// Found by drawn crossings: the word that a session is released waits for a socket that takes nothing, or half of it, and the
/// connection ends: it is said on the next one.
#[test]
fn a_release_that_a_node_did_not_take_is_said_on_the_next_connection() {
    for half in [false, true] {
        let mut rig = Rig::new();
        let (viewer, node) = rig.standing(7, "free");
        rig.heard(node);
        if half { &mut rig.half } else { &mut rig.full }.insert(node);
        rig.hear(viewer, gives_up(7));
        rig.broken(node, false);
        rig.pass(600 * MS);
        let next = rig.up();
        let told = rig.heard(next);
        assert!(
            told.contains("TEARDOWN") && told.contains("0000000000000007"),
            "half {half}: {told}"
        );
        assert_eq!(rig.protocol.session_counts(), counts(0, 0));
    }
}

/// A second copy of a refusal, and an answer to it while the same node has the session's next attempt, or holds it: the word
/// would be taken for that one.
#[test]
fn a_late_answer_ends_nothing_that_the_same_node_holds() {
    let mut rig = Rig::new();
    let (_, node) = rig.out(7, "free");
    let server = rig.node_of(node);
    let other = 3 - server;
    rig.list(2, &[entry(other, NODE[other as usize - 1], Gone, None)]);
    rig.heard(node);
    rig.hear(node, refusal(7, 454));
    rig.pass(50 * MS);
    let again = rig.said.values().any(|said| said.contains("SETUP"));
    rig.hear(node, answer(7, "there"));
    let ended = rig.said.values().any(|said| said.contains("TEARDOWN"));
    assert!(
        again != ended,
        "set up there again: {again}, released: {ended}"
    );
}

/// Bytes that a node takes only half of, on a connection that others share: it is given up after half a second.
#[test]
fn a_connection_whose_bytes_are_not_taken_is_given_up() {
    let mut rig = Rig::new();
    let (viewer, node) = rig.standing(7, "free");
    rig.heard(node);
    rig.half.insert(node);
    rig.hear(viewer, gives_up(7));
    assert!(
        rig.said
            .get(&node)
            .is_some_and(|said| said.starts_with("TEAR"))
    );
    rig.pass(800 * MS);
    assert!(rig.closed.contains(&node));
}

/// The other orders at a node. Before its set-up is whole nothing ran, and a paid one goes elsewhere; after that it may have.
#[test]
fn a_paid_set_up_is_repeated_only_where_its_node_can_not_have_it() {
    type Break = fn(&mut Rig, ConnectionId);
    let breaks: [(Break, bool); 6] = [
        (|rig, conn| rig.fail(conn, ConnectError::Refused), true),
        (|rig, conn| rig.fail(conn, ConnectError::Unreachable), true),
        // Up, and closed before the first byte; between the first and the last.
        (
            |rig, conn| {
                rig.full.insert(conn);
                rig.come_up(conn);
                rig.broken(conn, true);
            },
            true,
        ),
        (
            |rig, conn| {
                rig.half.insert(conn);
                rig.come_up(conn);
                rig.broken(conn, false);
            },
            true,
        ),
        // Whole: closed, or cut, before the answer.
        (
            |rig, conn| {
                rig.come_up(conn);
                rig.broken(conn, true);
            },
            false,
        ),
        (
            |rig, conn| {
                rig.come_up(conn);
                rig.broken(conn, false);
            },
            false,
        ),
    ];
    for (n, (breaks, again)) in breaks.into_iter().enumerate() {
        let mut rig = Rig::new();
        let viewer = rig.viewer();
        rig.ask(viewer, 7, "paid");
        let conn = *rig.links.keys().next().unwrap();
        breaks(&mut rig, conn);
        for next in rig
            .links
            .keys()
            .copied()
            .filter(|c| *c != conn)
            .collect::<Vec<_>>()
        {
            rig.come_up(next);
        }
        rig.pass(100 * MS);
        let set_ups = rig
            .said
            .iter()
            .filter(|(c, said)| **c != conn && said.contains("SETUP"))
            .count();
        assert_eq!(set_ups, usize::from(again), "{n}");
        let told = rig.heard(viewer);
        assert_eq!(told.contains(r#""rc":41"#), !again, "{n}: {told}");
    }
}

/// What a node tells of its link with a set-up comes ahead of the answer, and is heard; not from one that does not have the
/// set-up, nor of one that is given up.
#[test]
fn a_note_that_comes_ahead_of_the_answer_is_heard() {
    let note = |tag: u64| {
        format!(
            "ANNOUNCE rtsp://media/x RTSP/1.0\r\nCSeq: 4\r\nSession: {tag:016x}\r\nP-Reason: port\r\nX-Value: 0.940\r\nContent-Length: 0\r\n\r\n"
        )
    };
    let mut rig = Rig::new();
    let (_, node) = rig.out(7, "paid");
    rig.hear(node, note(8));
    assert!(!rig.protocol.status().fullest_servers.contains("0.94"));
    rig.hear(node, note(7));
    let worst = rig.protocol.status().fullest_servers;
    assert!(worst.contains("0.94"), "{worst}");
    rig.hear(node, answer(7, "there"));
    assert_eq!(rig.protocol.session_counts(), counts(0, 1));
}
