//! Deadlines of requests that are read later than they arrived.

mod common;
use common::{Harness, MILLISECOND, counts, start_message};
use shalewall::Timestamp;
use shalewall_platform_proto::{Arrival, ConnectionId};

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
    assert!(harness.take_written(viewer).contains(r#""rc":34"#));
    assert!(harness.node_connections.is_empty());
    assert_eq!(harness.protocol.session_counts(), counts(0, 0));
    assert_eq!(harness.protocol.status().expired_before_read, 1);
}

#[test]
fn the_time_left_counts_from_the_arrival() {
    let mut harness = Harness::new();
    let viewer = harness.connect_viewer();
    let arrival = Arrival::at(harness.ago(200));
    harness.receive_arrived(viewer, arrival, &start_message(7, "paid", 300, ""));
    let node = harness.connect_next();
    assert!(harness.take_written(node).contains("P-Time-Left: 100\r\n"));
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
    let written = harness.take_written(viewer);
    assert!(written.contains("0000000000000007") && !written.contains("0000000000000008"));
    let node = harness.connect_next();
    assert!(harness.take_written(node).contains("P-Time-Left: 290\r\n"));
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
    assert!(harness.take_written(node).contains("P-Time-Left: 300\r\n"));
}
