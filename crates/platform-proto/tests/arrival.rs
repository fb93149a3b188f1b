//! Deadlines of requests that are read later than they arrived.

mod common;
use common::{
    Harness, MILLISECOND, NODE, counts, endpoint_entry, finish_message, start_message, teardown,
};
use shalewall::{EndpointState, TimeDelta, Timestamp};
use shalewall_platform_proto::{Arrival, ConnectionId, HexId, LogEvent, RejectReason};

/// Time for which set-ups are held after a late read.
const CATCH_UP_TIME: TimeDelta = TimeDelta::from_millis(5);

impl Harness {
    fn receive_arrived(&mut self, viewer: ConnectionId, arrival: Arrival, text: &str) {
        self.protocol
            .handle_arrived_bytes(self.now, viewer, arrival, text.as_bytes());
        self.process_outputs();
    }

    fn ago(&self, millis: i64) -> Timestamp {
        self.now - millis * MILLISECOND
    }
}

#[test]
fn a_request_whose_time_is_over_when_it_is_read_is_rejected() {
    let mut harness = Harness::new();
    let viewer = harness.connect_viewer();
    let arrival = Arrival::at(harness.ago(300));
    harness.receive_arrived(viewer, arrival, &start_message(7, "paid", 300, ""));
    harness.advance(CATCH_UP_TIME);
    assert!(harness.take_written(viewer).contains(r#""rc":34"#));
    assert!(harness.node_connections.is_empty());
    assert_eq!(harness.protocol.session_counts(), counts(0, 0));
    assert_eq!(harness.protocol.status().expired_before_read, 1);
    assert!(harness.log_events.contains(&LogEvent::RequestRejected {
        session: HexId::from_value(7),
        reason: RejectReason::Expired,
    }));
}

#[test]
fn the_time_left_counts_from_the_arrival() {
    let mut harness = Harness::new();
    let viewer = harness.connect_viewer();
    let arrival = Arrival::at(harness.ago(200));
    harness.receive_arrived(viewer, arrival, &start_message(7, "paid", 300, ""));
    let node = harness.connect_next();
    harness.advance(CATCH_UP_TIME);
    assert!(harness.take_written(node).contains("P-Time-Left: 95\r\n"));
}

#[test]
fn only_the_last_message_of_a_read_arrived_with_its_last_byte() {
    let mut harness = Harness::new();
    let viewer = harness.connect_viewer();
    let arrival = Arrival {
        earliest: harness.ago(800),
        last_byte: harness.ago(10),
    };
    let both = start_message(7, "paid", 300, "") + &start_message(8, "paid", 300, "");
    harness.receive_arrived(viewer, arrival, &both);
    let node = harness.connect_next();
    harness.advance(CATCH_UP_TIME);
    let written = harness.take_written(viewer);
    assert!(written.contains("0000000000000007") && !written.contains("0000000000000008"));
    assert!(harness.take_written(node).contains("P-Time-Left: 285\r\n"));
}

#[test]
fn a_message_in_pieces_arrives_with_its_last_piece() {
    let mut harness = Harness::new();
    let viewer = harness.connect_viewer();
    let text = start_message(7, "paid", 300, "");
    let (first, second) = text.split_at(40);
    let earlier = Arrival::at(harness.ago(800));
    harness.receive_arrived(viewer, earlier, first);
    harness.receive_arrived(viewer, Arrival::at(harness.now), second);
    let node = harness.connect_next();
    harness.advance(CATCH_UP_TIME);
    assert!(harness.take_written(node).contains("P-Time-Left: 295\r\n"));
}

#[test]
fn a_request_is_not_forwarded_before_its_older_withdrawal_on_another_connection_is_read() {
    let mut harness = Harness::new();
    let (viewer, other) = (harness.connect_viewer(), harness.connect_viewer());
    let arrival = Arrival::at(harness.ago(400));
    harness.receive_arrived(viewer, arrival, &start_message(7, "paid", 1500, ""));
    let node = harness.connect_next();
    harness.receive(other, finish_message(7));
    harness.advance(10 * MILLISECOND);
    assert!(!harness.take_written(node).contains("SETUP"));
    assert_eq!(harness.protocol.session_counts(), counts(0, 0));
}

#[test]
fn a_request_is_not_forwarded_before_older_changes_of_the_list_are_read() {
    let mut harness = Harness::new();
    let viewer = harness.connect_viewer();
    harness.protocol.begin_catch_up(harness.now);
    harness.request(viewer, 7, "paid");
    let node = harness.connect_next();
    let drained = [1, 2].map(|id| {
        let address = NODE[id as usize - 1];
        endpoint_entry(id, address, EndpointState::Draining, None)
    });
    harness.apply_endpoint_event(2, &drained);
    harness.advance(10 * MILLISECOND);
    assert!(!harness.take_written(node).contains("SETUP"));
}

#[test]
fn a_release_is_not_written_before_the_older_end_of_its_viewers_connection_is_read() {
    let mut harness = Harness::new();
    let (viewer, node) = harness.start_session(7, "paid");
    let other = harness.connect_viewer();
    harness.take_written(viewer);
    harness.protocol.begin_catch_up(harness.now);
    harness.receive(node, teardown(7, 16, b""));
    harness.end_stream(viewer);
    harness.advance(10 * MILLISECOND);
    assert!(!harness.take_written(viewer).contains(r#""rc":16"#));
    assert!(harness.take_written(other).contains(r#""rc":16"#));
}

// ---- bounds of the hold ------------------------------------------------------------------------

/// Time for which a message may be held, however late the reads are.
const MAX_HOLD_TIME: TimeDelta = TimeDelta::from_millis(25);

/// Advances the time in steps in which a viewer's connection is read late each time.
fn read_late_for(harness: &mut Harness, viewer: ConnectionId, steps: u64) {
    for step in 0..steps {
        let arrival = Arrival::at(harness.ago(12));
        let text = String::from_utf8(finish_message(1_000 + step)).unwrap();
        harness.receive_arrived(viewer, arrival, &text);
        harness.advance(MILLISECOND);
    }
}

/// Guards against requests without an answer: a viewer that sends at full speed made every read late, and set-ups and
/// answers were held for as long as it sent (up to 8 s).
#[test]
fn a_viewer_that_is_always_read_late_does_not_hold_set_ups_and_answers() {
    let longest_hold = MAX_HOLD_TIME.as_millis() as u64 + 1;
    for earlier_reads in 0..100 {
        let mut harness = Harness::new();
        let bad = harness.connect_viewer();
        read_late_for(&mut harness, bad, earlier_reads);
        let (viewer, node) = harness.start_attempt(7, "paid");
        read_late_for(&mut harness, bad, longest_hold);
        assert!(harness.take_written(node).contains("SETUP"));
        harness.receive(node, teardown(7, 41, b""));
        read_late_for(&mut harness, bad, longest_hold);
        assert!(harness.take_written(viewer).contains("FINISH"));
    }
}

/// Every line that is due is written between two holds.
#[test]
fn pauses_in_quick_succession_do_not_hold_an_answer_for_long() {
    let mut harness = Harness::new();
    let viewer = harness.connect_viewer();
    harness.protocol.begin_catch_up(harness.now);
    harness.receive(viewer, finish_message(7));
    for _ in 0..10 {
        harness.advance(4 * MILLISECOND);
        harness.protocol.begin_catch_up(harness.now);
        harness.process_outputs();
    }
    assert!(harness.take_written(viewer).contains("FINISHED"));
}

/// A pause during a hold leaves older events unread once more.
#[test]
fn a_second_pause_holds_a_set_up_again() {
    let mut harness = Harness::new();
    let viewer = harness.connect_viewer();
    harness.protocol.begin_catch_up(harness.now);
    harness.request(viewer, 7, "paid");
    let node = harness.connect_next();
    harness.now += 2_000 * MILLISECOND;
    harness.protocol.begin_catch_up(harness.now);
    harness.protocol.handle_timeout(harness.now);
    harness.process_outputs();
    harness.receive(viewer, finish_message(7));
    harness.advance(10 * MILLISECOND);
    assert!(!harness.take_written(node).contains("SETUP"));
}

/// What arrived during a pause takes more than one read of each socket.
#[test]
fn late_reads_prolong_a_hold() {
    let mut harness = Harness::new();
    let (viewer, other) = (harness.connect_viewer(), harness.connect_viewer());
    let arrival = Arrival::at(harness.ago(400));
    harness.receive_arrived(viewer, arrival, &start_message(7, "paid", 1500, ""));
    let node = harness.connect_next();
    read_late_for(&mut harness, other, 12);
    harness.receive(other, finish_message(7));
    harness.advance(10 * MILLISECOND);
    assert!(!harness.take_written(node).contains("SETUP"));
}
