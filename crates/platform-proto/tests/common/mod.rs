//! A protocol with two nodes, its connections and what is written on them, without sockets.
#![allow(dead_code)] // each test file uses a part of it

use shalewall::{Endpoint, EndpointState, ServerId, TimeDelta, Timestamp};
use shalewall_platform_proto::config::Config;
use shalewall_platform_proto::endpoint_watch::{EndpointEntry, EndpointEvent, Frame};
use shalewall_platform_proto::viewer_message::ViewerMessage;
use shalewall_platform_proto::{
    ConnectionId, DirectorProtocol, HexId, LogEvent, Output, SessionCounts, Transmit,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

pub const MS: TimeDelta = TimeDelta::from_millis(1);
pub const S: TimeDelta = TimeDelta::from_secs(1);
/// Any time of the clock.
pub const START: Timestamp = Timestamp::from_micros(1_700_000_000_000_000);

pub const NODE: [&str; 2] = ["10.1.0.1:5060", "10.1.0.2:5060"];

pub fn config() -> Config {
    let member = |id: u32, address: &str| {
        format!(
            r#"{{"id":"s-{id:08x}","host_port":"{address}","locality":"north","flavor":"small","cell":{},
            "phase":"ready","size":1,"up_since_ms":0}}"#,
            id - 1
        )
    };
    let text = format!(
        r#"{{"name":"n1","listen":"10.0.0.4:5060","seed":"8c1f30d27a5be964","limits":{{"sockets":256}},
        "journal":"10.2.0.1:8500","known":{{"pos":1,"entries":[{{"pos":1,"hosts":{{"revision":1,"complete":true,
        "members":[{},{}]}}}}]}},"settings":{{"Balancers":1,"MyNumber":0,"Categories":[
        {{"Name":"paid","Effect":"at_most_once","Target":1500.0,"Value":2.0}},
        {{"Name":"free","Effect":"idempotent","Target":1000.0,"Value":1.0}}],
        "FailureDomains":["north"],"Shapes":["small"],"Zone":"north","WeightSource":"nominal","Step":10.0,
        "Contract":{{"WarmAfter":0,"StartCapacity":0.4,"OverloadFactor":2.0,"Fall":2000.0,
        "StopSendingWithin":250.0}},"Limits":{{"MaxAttempts":4,"MayCancel":true,"RetryAfter":true,
        "MaxRetryAfter":1000.0,"ConnectTimeout":250.0,"ConnIdle":15000.0}},
        "Specifics":{{"Places":2,"Cabinets":1,"PlacesByKind":[30],"RungKb":[200,600],"RungWorth":[0.4,1.0],
        "HighestRung":[1,1],"LowestRung":[0,0],"ClassScale":[1.0,1.0],"KbPerWeight":90000.0,
        "RackLinkKb":200000.0,"ToldEvery":3000.0}}}}}}"#,
        member(1, NODE[0]),
        member(2, NODE[1]),
    );
    Config::parse(text.as_bytes()).unwrap()
}

/// The protocol, its connections and all that it wrote on them.
pub struct Harness {
    pub protocol: DirectorProtocol,
    pub now: Timestamp,
    /// Connections to nodes that are open or being established, with the address of the node.
    pub node_connections: BTreeMap<ConnectionId, SocketAddr>,
    connecting: BTreeSet<ConnectionId>,
    /// Sockets that are not asked to write at present.
    pub blocked: BTreeSet<ConnectionId>,
    /// Sockets that take nothing of what they are given.
    pub refusing_writes: BTreeSet<ConnectionId>,
    /// Sockets that take half of what they are given, and no more.
    pub taking_half: BTreeSet<ConnectionId>,
    /// Sockets in which something waits to be read.
    pub with_unread_bytes: BTreeSet<ConnectionId>,
    pub closed: Vec<ConnectionId>,
    /// Connections of which this side's half is closed.
    pub half_closed: Vec<ConnectionId>,
    /// What was written since the last look.
    pub written: BTreeMap<ConnectionId, String>,
    pub log_events: Vec<LogEvent>,
}

impl Harness {
    pub fn new() -> Harness {
        let protocol = DirectorProtocol::new(&config(), START).unwrap();
        let mut harness = Harness {
            protocol,
            now: START,
            node_connections: BTreeMap::new(),
            connecting: BTreeSet::new(),
            blocked: BTreeSet::new(),
            refusing_writes: BTreeSet::new(),
            taking_half: BTreeSet::new(),
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
                // It is in the middle of a write.
                Output::Write(connection)
                    if self.taking_half.contains(&connection)
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
                Transmit::Bytes(bytes) if self.taking_half.contains(&connection) => {
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
                Transmit::Close => return self.closed.push(connection),
            }
        }
    }

    /// Time passes, and timers fire.
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
            .accept_viewer(self.now, "10.9.0.1".parse().unwrap())
            .unwrap();
        self.process_outputs();
        // The driver of a connection polls at once for what there is to write on it.
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

    /// The connection that was opened last is established.
    pub fn connect_next(&mut self) -> ConnectionId {
        let connection = self
            .connecting
            .pop_last()
            .expect("a connection was asked for");
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
        why: shalewall_platform_proto::ConnectError,
    ) {
        self.node_connections.remove(&connection);
        self.connecting.remove(&connection);
        self.protocol.node_connect_failed(self.now, connection, why);
        self.process_outputs();
    }

    pub fn close(&mut self, connection: ConnectionId, clean: bool) {
        self.node_connections.remove(&connection);
        self.protocol.connection_closed(self.now, connection, clean);
        self.process_outputs();
    }

    /// An attempt whose set-up is written: its viewer's connection and its node's.
    pub fn start_attempt(&mut self, tag: u64, class: &str) -> (ConnectionId, ConnectionId) {
        let viewer = self.connect_viewer();
        self.request(viewer, tag, class);
        (viewer, self.connect_next())
    }

    /// An active session: the same.
    pub fn start_session(&mut self, tag: u64, class: &str) -> (ConnectionId, ConnectionId) {
        let (viewer, node) = self.start_attempt(tag, class);
        self.receive(node, set_up_answer(tag, "there"));
        (viewer, node)
    }

    /// An event of the endpoint watch.
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

    /// The node that a connection goes to, as a number.
    pub fn node_of(&self, connection: ConnectionId) -> u64 {
        if self.node_connections[&connection].to_string() == NODE[0] {
            1
        } else {
            2
        }
    }

    /// Takes what was written on a connection since the last look.
    pub fn take_written(&mut self, connection: ConnectionId) -> String {
        self.written.remove(&connection).unwrap_or_default()
    }
}

/// Requests without an answer, and sessions that are active.
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

/// A viewer's request; `more` is added to its extras.
pub fn start_message(tag: u64, class: &str, left: i64, more: &str) -> String {
    format!(
        r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"{class}","left":"{left}","key":"7f3a9c21e0b4d655","hint":"8200.0","extras":"home:0;copies:2;top:1;viewer:{tag:016x}{more}"}},"blob":"here\r\n"}}"#
    ) + "\n"
}

/// A viewer withdraws its request, or ends its session.
pub fn finish_message(tag: u64) -> Vec<u8> {
    ViewerMessage::finish(HexId::from_value(tag), 16).encode()
}

/// A node's answer: the session is active.
pub fn set_up_answer(tag: u64, description: &str) -> String {
    let length = description.len();
    format!(
        "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: {tag:016x}\r\nContent-Length: {length}\r\n\r\n{description}"
    )
}

/// A node's answer: no session.
pub fn set_up_refusal(tag: u64, status: u16) -> String {
    format!("RTSP/1.0 {status} No\r\nCSeq: 1\r\nSession: {tag:016x}\r\nContent-Length: 0\r\n\r\n")
}

/// A node ends a session.
pub fn teardown(tag: u64, cause: i64, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {tag:016x}\r\nReason: cause={cause}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}
