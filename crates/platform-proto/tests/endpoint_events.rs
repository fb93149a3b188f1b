//! The endpoint list: missed events, and changed addresses and processes.

mod common;
use common::{Harness, MILLISECOND, NODE, SECOND, START, endpoint_entry, set_up_rejection};
use shalewall::EndpointState::{Draining, Gone, Ready};
use shalewall::ServerId;
use shalewall_platform_proto::endpoint_watch::{EndpointEntry, EndpointEvent, Frame};
use shalewall_platform_proto::{DirectorProtocol, LogEvent};

/// A heartbeat with a sequence number above that of the last event shows that events are missing.
#[test]
fn a_heartbeat_above_the_position_reveals_missed_events() {
    let mut harness = Harness::new();
    assert_eq!(
        harness
            .protocol
            .handle_watch_frame(START, &Frame::Heartbeat(1)),
        Ok(())
    );
    assert_eq!(
        harness
            .protocol
            .handle_watch_frame(START, &Frame::Heartbeat(0)),
        Ok(()),
        "a lower sequence number shows no missed event"
    );
    assert!(
        harness
            .protocol
            .handle_watch_frame(START, &Frame::Heartbeat(2))
            .is_err()
    );
    harness.apply_endpoint_event(2, &[endpoint_entry(3, "10.1.0.3:5060", Ready, None)]);
    assert_eq!(
        harness
            .protocol
            .handle_watch_frame(START, &Frame::Heartbeat(2)),
        Ok(())
    );
}

/// If an event of the configuration file can't be decoded, the position stays before it, and the service is asked for
/// it and the following events.
#[test]
fn an_unreadable_event_of_the_file_keeps_the_position_before_it() {
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
            .map(|(index, id)| event(index as u64 + 1, id))
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

/// A new node is listed at the address of a node that is not listed as gone yet, or is so in the same event: nothing is
/// sent to the new process for the old node, even while a connection is being established or a set-up is queued.
#[test]
fn nothing_is_sent_to_a_reassigned_address_for_the_old_node() {
    let mut harness = Harness::new();
    let viewer = harness.connect_viewer();
    harness.request(viewer, 7, "paid");
    let connection = *harness.node_connections.keys().next().unwrap();
    let (old, other) = if harness.node_of(connection) == 1 {
        (1, 2)
    } else {
        (2, 1)
    };
    harness.apply_endpoint_event(
        2,
        &[endpoint_entry(
            9,
            NODE[old as usize - 1],
            Ready,
            Some(START),
        )],
    );
    assert!(
        harness.closed.contains(&connection),
        "the connection that was being established was to the old node"
    );
    harness.log_events.clear();
    // No request reaches the old node, before and after the list marks it as gone.
    for number in [3, 4] {
        for tag in 0..20 {
            harness.request(viewer, number * 100 + tag, "paid");
            harness.advance(10 * MILLISECOND);
            for connection in harness.node_connections.keys().copied().collect::<Vec<_>>() {
                harness.connect(connection);
                let tags: Vec<u64> = (7..=7).chain(number * 100..number * 100 + 20).collect();
                tags.into_iter()
                    .for_each(|tag| harness.receive(connection, set_up_rejection(tag, 453)));
            }
        }
        if number == 3 {
            harness.apply_endpoint_event(
                number,
                &[endpoint_entry(old, NODE[old as usize - 1], Gone, None)],
            );
        }
    }
    let was_opened = |id: u64| {
        harness.log_events.iter().any(|event| {
            matches!(event, LogEvent::NodeConnectionOpened { node, .. } if node.0 == ServerId(id))
        })
    };
    assert!(
        !was_opened(old) && was_opened(9),
        "{:?}",
        harness.log_events
    );
    harness.advance(SECOND);
    assert_eq!(
        harness.protocol.status().connections.known_nodes,
        2,
        "the old node is removed, {other} and 9 remain"
    );
    assert!(
        harness
            .written
            .iter()
            .any(|(_, text)| text.contains("SETUP"))
    );
}

/// A set-up in flight to a process that is replaced ends with that process, and no release of it stays pending for the
/// address.
#[test]
fn no_release_is_pending_for_a_process_that_is_gone() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_attempt(7, "paid");
    let old = harness.node_of(node);
    harness.apply_endpoint_event(
        2,
        &[endpoint_entry(
            9,
            NODE[old as usize - 1],
            Ready,
            Some(START),
        )],
    );
    assert!(harness.take_written(viewer).contains(r#""rc":41"#));
    harness.advance(9 * SECOND);
    assert!(
        harness.node_connections.is_empty()
            && harness.protocol.status().connections.known_nodes == 2,
        "{:?}",
        harness.log_events
    );
}

/// Guards against a new process that is taken for the old one at its address: an entry of the old node that is told
/// late, or behind that of the new one, made the new node gone, and the old one the owner of the address.
#[test]
fn a_late_entry_of_the_old_node_does_not_take_the_address_back() {
    for is_snapshot in [false, true] {
        for old_state in [Ready, Draining] {
            let mut harness = Harness::new();
            let new = endpoint_entry(9, NODE[0], Ready, Some(START));
            let old = endpoint_entry(1, NODE[0], old_state, None);
            let event = |sequence, entries: &[EndpointEntry]| {
                Frame::Event(EndpointEvent {
                    sequence,
                    is_snapshot,
                    entries: entries.to_vec(),
                })
            };
            let events = if is_snapshot {
                vec![event(2, &[new, old])]
            } else {
                vec![event(2, &[new]), event(3, &[old])]
            };
            for event in events {
                let now = harness.now;
                harness.protocol.handle_watch_frame(now, &event).unwrap();
                harness.process_outputs();
            }
            if !is_snapshot {
                let second = endpoint_entry(2, NODE[1], Gone, None);
                harness.apply_endpoint_event(4, &[second]);
            }
            let viewer = harness.connect_viewer();
            harness.request(viewer, 7, "paid");
            let opened: Vec<_> = harness
                .log_events
                .iter()
                .filter_map(|event| match event {
                    LogEvent::NodeConnectionOpened { node, .. } => Some(node.0),
                    _ => None,
                })
                .collect();
            assert_eq!(opened, [ServerId(9)], "{is_snapshot} {old_state:?}");
            let node = harness.connect_next();
            assert!(
                harness.take_written(node).contains("SETUP"),
                "{is_snapshot} {old_state:?}"
            );
        }
    }
}
