//! A test harness without sockets: a director with two nodes, its connections and the bytes written on them.
#![allow(dead_code)] // Each test file uses only part of it.

use shalewall::{Endpoint, EndpointState, ServerId, TimeDelta, Timestamp};
use shalewall_platform_proto::config::Config;
use shalewall_platform_proto::endpoint_watch::{EndpointEntry, EndpointEvent, Frame};
use shalewall_platform_proto::viewer_message::ViewerMessage;
use shalewall_platform_proto::{
    ConnectionId, DirectorProtocol, HexId, LogEvent, Output, SessionCounts, Transmit,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

pub const MILLISECOND: TimeDelta = TimeDelta::from_millis(1);
pub const SECOND: TimeDelta = TimeDelta::from_secs(1);
/// An arbitrary start time.
pub const START: Timestamp = Timestamp::from_micros(1_700_000_000_000_000);

/// Addresses of the two nodes; node `n` has index `n - 1`.
pub const NODE: [&str; 2] = ["10.1.0.1:5060", "10.1.0.2:5060"];

pub fn config() -> Config {
    config_of(30, 192.0)
}

/// A configuration with the number of streams that a node runs at most (0: not stated), and the memory limit.
pub fn config_of(streams: usize, memory_mb: f64) -> Config {
    let member = |id: u32, address: &str| {
        format!(
            r#"{{"id":"s-{id:08x}","host_port":"{address}","locality":"north","flavor":"small","cell":{},
            "phase":"ready","size":1,"up_since_ms":0}}"#,
            id - 1
        )
    };
    let text = format!(
        r#"{{"name":"n1","listen":"10.0.0.4:5060","seed":"8c1f30d27a5be964","limits":{{"sockets":256,"memory_mb":{memory_mb}}},
        "journal":"10.2.0.1:8500","known":{{"pos":1,"entries":[{{"pos":1,"hosts":{{"revision":1,"complete":true,
        "members":[{},{}]}}}}]}},"settings":{{"Balancers":1,"MyNumber":0,"Categories":[
        {{"Name":"paid","Effect":"at_most_once","Target":1500.0,"Value":2.0}},
        {{"Name":"free","Effect":"idempotent","Target":1000.0,"Value":1.0}}],
        "FailureDomains":["north"],"Shapes":["small"],"Zone":"north","WeightSource":"nominal","Step":10.0,
        "Contract":{{"WarmAfter":0,"StartCapacity":0.4,"OverloadFactor":2.0,"Fall":2000.0,
        "StopSendingWithin":250.0}},"Limits":{{"MaxAttempts":4,"MayCancel":true,"RetryAfter":true,
        "MaxRetryAfter":1000.0,"ConnectTimeout":250.0,"ConnIdle":15000.0}},
        "Specifics":{{"Places":2,"Cabinets":1,"PlacesByKind":[{streams}],"RungKb":[200,600],"RungWorth":[0.4,1.0],
        "HighestRung":[1,1],"LowestRung":[0,0],"ClassScale":[1.0,1.0],"KbPerWeight":90000.0,
        "RackLinkKb":200000.0,"ToldEvery":3000.0}}}}}}"#,
        member(1, NODE[0]),
        member(2, NODE[1]),
    );
    Config::parse(text.as_bytes()).unwrap()
}

/// The protocol, its connections and what it wrote on them.
pub struct Harness {
    pub protocol: DirectorProtocol,
    pub now: Timestamp,
    /// Connections to nodes that are open or being established, with the node's address.
    pub node_connections: BTreeMap<ConnectionId, SocketAddr>,
    connecting: BTreeSet<ConnectionId>,
    /// Connections that currently ignore write requests.
    pub blocked: BTreeSet<ConnectionId>,
    /// Sockets that accept no bytes.
    pub refusing_writes: BTreeSet<ConnectionId>,
    /// Sockets that accept half of the next message, and no more.
    pub writing_partially: BTreeSet<ConnectionId>,
    /// Sockets with unread bytes.
    pub with_unread_bytes: BTreeSet<ConnectionId>,
    pub closed: Vec<ConnectionId>,
    /// Connections whose write half is closed.
    pub half_closed: Vec<ConnectionId>,
    /// What was written since it was last taken.
    pub written: BTreeMap<ConnectionId, String>,
    pub log_events: Vec<LogEvent>,
}

impl Harness {
    pub fn new() -> Harness {
        Harness::with_config(&config())
    }

    pub fn with_config(config: &Config) -> Harness {
        let protocol = DirectorProtocol::new(config, START).unwrap();
        let mut harness = Harness {
            protocol,
            now: START,
            node_connections: BTreeMap::new(),
            connecting: BTreeSet::new(),
            blocked: BTreeSet::new(),
            refusing_writes: BTreeSet::new(),
            writing_partially: BTreeSet::new(),
            with_unread_bytes: BTreeSet::new(),
            closed: Vec::new(),
            half_closed: Vec::new(),
            written: BTreeMap::new(),
            log_events: Vec::new(),
        };
        harness.process_outputs();
        harness
    }

    pub fn process_outputs(&mut self) {
        while let Some(output) = self.protocol.poll_output() {
            match output {
                Output::Connect {
                    connection,
                    address,
                    ..
                } => {
                    self.node_connections.insert(connection, address);
                    self.connecting.insert(connection);
                }
                Output::Write(connection)
                    if self.connecting.contains(&connection)
                        || self.blocked.contains(&connection) => {}
                // A partial write on the socket is not complete.
                Output::Write(connection)
                    if self.writing_partially.contains(&connection)
                        && self.written.contains_key(&connection) => {}
                Output::Write(connection) => self.write(connection),
                Output::Close(connection) => {
                    self.node_connections.remove(&connection);
                    self.closed.push(connection);
                }
                Output::Log(event) => self.log_events.push(event),
            }
        }
    }

    pub fn write(&mut self, connection: ConnectionId) {
        loop {
            match self.protocol.poll_transmit(self.now, connection) {
                Transmit::Bytes(bytes) if self.refusing_writes.contains(&connection) => {
                    return self.protocol.return_unwritten(self.now, connection, bytes);
                }
                Transmit::Bytes(bytes) if self.writing_partially.contains(&connection) => {
                    let taken = String::from_utf8_lossy(&bytes[..bytes.len() / 2]).into_owned();
                    self.written.entry(connection).or_default().push_str(&taken);
                    return self.protocol.partially_written(self.now, connection);
                }
                Transmit::Bytes(bytes) => {
                    self.written
                        .entry(connection)
                        .or_default()
                        .push_str(&String::from_utf8_lossy(&bytes));
                }
                Transmit::Wait => return,
                Transmit::CloseWriteHalf => return self.half_closed.push(connection),
                Transmit::CloseIfNoUnreadBytes if self.with_unread_bytes.contains(&connection) => {
                    return;
                }
                Transmit::CloseIfNoUnreadBytes => return self.close(connection, true),
                Transmit::Close => {
                    self.closed.push(connection);
                    return self.protocol.connection_closed(self.now, connection, true);
                }
            }
        }
    }

    /// Advances the time, and handles the timers that are due.
    pub fn advance(&mut self, span: TimeDelta) {
        let until = self.now + span;
        while let Some(due) = self.protocol.poll_timeout().filter(|due| *due <= until) {
            self.now = due.max(self.now);
            self.protocol.handle_timeout(self.now);
            self.process_outputs();
        }
        self.now = until;
    }

    pub fn connect_viewer(&mut self) -> ConnectionId {
        let connection = self
            .protocol
            .accept_viewer(self.now, "10.9.0.1".parse().unwrap());
        self.process_outputs();
        // A connection's driver polls at once for bytes to write.
        self.write(connection);
        connection
    }

    pub fn receive(&mut self, connection: ConnectionId, bytes: impl AsRef<[u8]>) {
        self.protocol
            .handle_bytes(self.now, connection, bytes.as_ref());
        self.process_outputs();
    }

    pub fn request(&mut self, viewer: ConnectionId, tag: u64, class: &str) {
        self.receive(viewer, start_message(tag, class, 1500, ""));
    }

    /// Establishes the connection that was opened last.
    pub fn connect_next(&mut self) -> ConnectionId {
        let connection = self
            .connecting
            .pop_last()
            .expect("a connection was requested");
        self.protocol.node_connected(self.now, connection);
        self.process_outputs();
        connection
    }

    pub fn connect(&mut self, connection: ConnectionId) {
        self.connecting.remove(&connection);
        self.protocol.node_connected(self.now, connection);
        self.process_outputs();
    }

    pub fn fail_connect(
        &mut self,
        connection: ConnectionId,
        error: shalewall_platform_proto::ConnectError,
    ) {
        self.node_connections.remove(&connection);
        self.connecting.remove(&connection);
        self.protocol
            .node_connect_failed(self.now, connection, error);
        self.process_outputs();
    }

    pub fn close(&mut self, connection: ConnectionId, clean: bool) {
        self.node_connections.remove(&connection);
        self.protocol.connection_closed(self.now, connection, clean);
        self.process_outputs();
    }

    /// Ends a connection's incoming stream.
    pub fn end_stream(&mut self, connection: ConnectionId) {
        let stays_open = self.protocol.handle_end_of_stream(self.now, connection);
        self.process_outputs();
        if !stays_open {
            self.close(connection, true);
        }
    }

    /// Starts an attempt whose set-up is written; returns the viewer's connection and the node's.
    pub fn start_attempt(&mut self, tag: u64, class: &str) -> (ConnectionId, ConnectionId) {
        let viewer = self.connect_viewer();
        self.request(viewer, tag, class);
        (viewer, self.connect_next())
    }

    /// Starts an active session; returns the viewer's connection and the node's.
    pub fn start_session(&mut self, tag: u64, class: &str) -> (ConnectionId, ConnectionId) {
        let (viewer, node) = self.start_attempt(tag, class);
        self.receive(node, set_up_answer(tag, "there\r\n"));
        (viewer, node)
    }

    /// Applies an event of the endpoint watch.
    pub fn apply_endpoint_event(&mut self, number: u64, entries: &[EndpointEntry]) {
        let event = EndpointEvent {
            sequence: number,
            is_snapshot: false,
            entries: entries.to_vec(),
        };
        self.protocol
            .handle_watch_frame(self.now, &Frame::Event(event))
            .unwrap();
        self.process_outputs();
    }

    /// Whether a connection is still being established.
    pub fn is_connecting(&self, connection: ConnectionId) -> bool {
        self.connecting.contains(&connection)
    }

    /// Number of the node that a connection goes to.
    pub fn node_of(&self, connection: ConnectionId) -> u64 {
        if self.node_connections[&connection].to_string() == NODE[0] {
            1
        } else {
            2
        }
    }

    /// Takes what was written on a connection since the previous call.
    pub fn take_written(&mut self, connection: ConnectionId) -> String {
        self.written.remove(&connection).unwrap_or_default()
    }
}

/// Counts of requests without an answer and of active sessions.
pub fn counts(pending_requests: usize, active_sessions: usize) -> SessionCounts {
    SessionCounts {
        pending_requests,
        active_sessions,
    }
}

/// An entry of the endpoint list.
pub fn endpoint_entry(
    id: u64,
    address: &str,
    state: EndpointState,
    started: Option<Timestamp>,
) -> EndpointEntry {
    let endpoint = Endpoint {
        server: ServerId(id),
        zone: Some(0),
        machine_kind: Some(0),
        cell: (id - 1) % 2,
        state,
        weight: 1.0,
        started_at: started,
        fleet: 0,
    };
    EndpointEntry {
        endpoint,
        address: address.parse().unwrap(),
    }
}

/// Encodes a viewer's request; `more` is appended to its extras.
pub fn start_message(tag: u64, class: &str, left: i64, more: &str) -> String {
    format!(
        r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"{class}","left":"{left}","key":"7f3a9c21e0b4d655","hint":"8200.0","extras":"home:0;copies:2;top:1;viewer:{tag:016x}{more}"}},"blob":"here\r\n"}}"#
    ) + "\n"
}

/// Encodes the message that withdraws a request or ends a session.
pub fn finish_message(tag: u64) -> Vec<u8> {
    ViewerMessage::finish(HexId::from_value(tag), 16).encode()
}

/// Encodes a node's answer that a session is active.
pub fn set_up_answer(tag: u64, description: &str) -> String {
    let length = description.len();
    format!(
        "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: {tag:016x}\r\nContent-Length: {length}\r\n\r\n{description}"
    )
}

/// Encodes a node's negative answer to a set-up.
pub fn set_up_rejection(tag: u64, status: u16) -> String {
    format!("RTSP/1.0 {status} No\r\nCSeq: 1\r\nSession: {tag:016x}\r\nContent-Length: 0\r\n\r\n")
}

/// Encodes a node's release of a session.
pub fn teardown(tag: u64, cause: i64, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {tag:016x}\r\nReason: cause={cause}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}
