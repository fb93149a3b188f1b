//! A door with two nodes, a viewer, and what passes on their connections, without sockets.
#![allow(dead_code)] // each test file uses a part of it

use shalewall::{Endpoint, EndpointState, ServerId, TimeDelta, Timestamp};
use shalewall_platform_proto::config::Config;
use shalewall_platform_proto::endpoint_watch::{EndpointEntry, EndpointEvent, Frame};
use shalewall_platform_proto::{
    ConnectionId, DirectorProtocol, LogEvent, Output, SessionCounts, Transmit,
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

/// The door, its connections and all that it wrote on them.
pub struct Rig {
    pub protocol: DirectorProtocol,
    pub now: Timestamp,
    /// Connections to nodes that are open or under way, by what they were opened to.
    pub links: BTreeMap<ConnectionId, SocketAddr>,
    under_way: BTreeSet<ConnectionId>,
    /// Sockets that take no bytes at present.
    pub stuck: BTreeSet<ConnectionId>,
    /// Sockets that take nothing when they are given something, and that take half of it and no more.
    pub full: BTreeSet<ConnectionId>,
    pub half: BTreeSet<ConnectionId>,
    /// Sockets in which something waits to be read.
    pub unread: BTreeSet<ConnectionId>,
    pub closed: Vec<ConnectionId>,
    /// Of which this side's half is closed.
    pub finished: Vec<ConnectionId>,
    pub said: BTreeMap<ConnectionId, String>,
    pub logs: Vec<LogEvent>,
}

impl Rig {
    pub fn new() -> Rig {
        let protocol = DirectorProtocol::new(&config(), START).unwrap();
        let mut rig = Rig {
            protocol,
            now: START,
            links: BTreeMap::new(),
            under_way: BTreeSet::new(),
            stuck: BTreeSet::new(),
            full: BTreeSet::new(),
            half: BTreeSet::new(),
            unread: BTreeSet::new(),
            closed: Vec::new(),
            finished: Vec::new(),
            said: BTreeMap::new(),
            logs: Vec::new(),
        };
        rig.pump();
        rig
    }

    pub fn pump(&mut self) {
        while let Some(output) = self.protocol.poll_output() {
            match output {
                Output::Connect {
                    connection: conn,
                    address,
                    ..
                } => {
                    self.links.insert(conn, address);
                    self.under_way.insert(conn);
                }
                Output::Write(conn)
                    if self.under_way.contains(&conn) || self.stuck.contains(&conn) => {}
                // It is in the middle of a write.
                Output::Write(conn)
                    if self.half.contains(&conn) && self.said.contains_key(&conn) => {}
                Output::Write(conn) => self.write(conn),
                Output::Close(conn) => {
                    self.links.remove(&conn);
                    self.closed.push(conn);
                }
                Output::Log(event) => self.logs.push(event),
            }
        }
    }

    pub fn write(&mut self, conn: ConnectionId) {
        loop {
            match self.protocol.poll_transmit(self.now, conn) {
                Transmit::Bytes(bytes) if self.full.contains(&conn) => {
                    return self.protocol.return_unwritten(self.now, conn, bytes);
                }
                Transmit::Bytes(bytes) if self.half.contains(&conn) => {
                    let taken = String::from_utf8_lossy(&bytes[..bytes.len() / 2]).into_owned();
                    self.said.entry(conn).or_default().push_str(&taken);
                    return self.protocol.partially_written(self.now, conn);
                }
                Transmit::Bytes(bytes) => {
                    self.said
                        .entry(conn)
                        .or_default()
                        .push_str(&String::from_utf8_lossy(&bytes));
                }
                Transmit::Wait => return,
                Transmit::CloseWriteHalf => return self.finished.push(conn),
                Transmit::CloseIfQuiet if self.unread.contains(&conn) => return,
                Transmit::CloseIfQuiet => return self.broken(conn, true),
                Transmit::Close => return self.closed.push(conn),
            }
        }
    }

    /// Time passes, and timers ring.
    pub fn pass(&mut self, span: TimeDelta) {
        let until = self.now + span;
        while let Some(due) = self.protocol.poll_timeout().filter(|due| *due <= until) {
            self.now = due.max(self.now);
            self.protocol.handle_timeout(self.now);
            self.pump();
        }
        self.now = until;
    }

    pub fn viewer(&mut self) -> ConnectionId {
        let conn = self
            .protocol
            .accept_viewer(self.now, "10.9.0.1".parse().unwrap())
            .unwrap();
        self.pump();
        // Whoever drives a connection asks at once what there is to write on it.
        self.write(conn);
        conn
    }

    pub fn hear(&mut self, conn: ConnectionId, bytes: impl AsRef<[u8]>) {
        self.protocol.handle_bytes(self.now, conn, bytes.as_ref());
        self.pump();
    }

    pub fn ask(&mut self, viewer: ConnectionId, tag: u64, class: &str) {
        self.hear(viewer, start(tag, class, 1500, ""));
    }

    /// The one connection under way comes up.
    pub fn up(&mut self) -> ConnectionId {
        let conn = self
            .under_way
            .pop_last()
            .expect("a connection was asked for");
        self.protocol.node_connected(self.now, conn);
        self.pump();
        conn
    }

    pub fn come_up(&mut self, conn: ConnectionId) {
        self.under_way.remove(&conn);
        self.protocol.node_connected(self.now, conn);
        self.pump();
    }

    pub fn fail(&mut self, conn: ConnectionId, why: shalewall_platform_proto::ConnectError) {
        self.links.remove(&conn);
        self.under_way.remove(&conn);
        self.protocol.node_connect_failed(self.now, conn, why);
        self.pump();
    }

    pub fn broken(&mut self, conn: ConnectionId, clean: bool) {
        self.links.remove(&conn);
        self.protocol.connection_closed(self.now, conn, clean);
        self.pump();
    }

    /// A set-up that is out: its viewer's connection and its node's.
    pub fn out(&mut self, tag: u64, class: &str) -> (ConnectionId, ConnectionId) {
        let viewer = self.viewer();
        self.ask(viewer, tag, class);
        (viewer, self.up())
    }

    /// A session that stands: the same.
    pub fn standing(&mut self, tag: u64, class: &str) -> (ConnectionId, ConnectionId) {
        let (viewer, node) = self.out(tag, class);
        self.hear(node, answer(tag, "there"));
        (viewer, node)
    }

    /// An event of the journal service.
    pub fn list(&mut self, number: u64, entries: &[EndpointEntry]) {
        let news = EndpointEvent {
            sequence: number,
            is_snapshot: false,
            entries: entries.to_vec(),
        };
        self.protocol
            .handle_watch_frame(self.now, &Frame::Event(news))
            .unwrap();
        self.pump();
    }

    /// Whether a connection is still coming up.
    pub fn coming(&self, conn: ConnectionId) -> bool {
        self.under_way.contains(&conn)
    }

    /// The node that a connection goes to, as a number.
    pub fn node_of(&self, conn: ConnectionId) -> u64 {
        if self.links[&conn].to_string() == NODE[0] {
            1
        } else {
            2
        }
    }

    /// What was said on a connection since the last look.
    pub fn heard(&mut self, conn: ConnectionId) -> String {
        self.said.remove(&conn).unwrap_or_default()
    }
}

/// Requests without an answer, and sessions that are active.
pub fn counts(pending_requests: usize, active_sessions: usize) -> SessionCounts {
    SessionCounts {
        pending_requests,
        active_sessions,
    }
}

/// A line of the list.
pub fn entry(
    id: u64,
    address: &str,
    state: EndpointState,
    started: Option<Timestamp>,
) -> EndpointEntry {
    let listed = Endpoint {
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
        endpoint: listed,
        address: address.parse().unwrap(),
    }
}

pub fn start(tag: u64, class: &str, left: i64, more: &str) -> String {
    format!(
        r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"{class}","left":"{left}","key":"7f3a9c21e0b4d655","hint":"8200.0","extras":"home:0;copies:2;top:1;viewer:{tag:016x}{more}"}},"blob":"here\r\n"}}"#
    ) + "\n"
}

pub fn answer(tag: u64, description: &str) -> String {
    let length = description.len();
    format!(
        "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: {tag:016x}\r\nContent-Length: {length}\r\n\r\n{description}"
    )
}

pub fn refusal(tag: u64, status: u16) -> String {
    format!("RTSP/1.0 {status} No\r\nCSeq: 1\r\nSession: {tag:016x}\r\nContent-Length: 0\r\n\r\n")
}

pub fn release(tag: u64, cause: i64, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {tag:016x}\r\nReason: cause={cause}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}
