//! Digest of the platform's protocol: every output of `shalewall_platform_proto::DirectorProtocol` and every byte that
//! it writes to each connection, for random steps of viewers, nodes, the journal service and the operator.

use crate::encoder::{Encoder, PartDigest};
use crate::random::Random;
use shalewall::{Endpoint, EndpointState, ServerId, Timestamp};
use shalewall_platform_proto::config::Config;
use shalewall_platform_proto::endpoint_watch::{EndpointEntry, EndpointEvent, Frame};
use shalewall_platform_proto::{
    ConnectError, ConnectionCounts, ConnectionId, DirectorProtocol, Output, SessionCounts, Transmit,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

const MILLISECOND: i64 = 1_000;
const SECOND: i64 = 1_000_000;
/// Arbitrary wall-clock time at the start.
const START: i64 = 1_700_000_000 * SECOND;
const SEEDS: u64 = 500;
const STEPS: u64 = 400;
const NODES: u64 = 3;
/// The tenants in settings of variants that have some.
const TENANTS: &str = r#"[{"Name":"a","AllowancePerS":2.0},{"Name":"b"}]"#;
const MAX_VIEWERS: usize = 12;
/// A partial write accepts the length of the message divided by this.
const PARTIAL_WRITE_DIVISOR: usize = 2;

/// Runs all cases.
pub fn digest() -> PartDigest {
    let mut encoder = Encoder::new();
    for (number, variant) in Variant::all().into_iter().enumerate() {
        for seed in 1..=SEEDS {
            encoder.begin_case(number, seed);
            Script::new(seed, variant, &mut encoder).run();
        }
    }
    encoder.finish()
}

/// The differences between the configurations.
#[derive(Clone, Copy)]
struct Variant {
    directors: u32,
    can_check_health: bool,
    can_cancel: bool,
    retry_after: bool,
    stream_capacity: u32,
    link_kb_s: u32,
    /// Requests name one of two tenants, or one that does not exist.
    tenants: bool,
}

impl Variant {
    fn all() -> [Variant; 3] {
        let base = Variant {
            directors: 1,
            can_check_health: false,
            can_cancel: true,
            retry_after: true,
            stream_capacity: 30,
            link_kb_s: 90_000,
            tenants: false,
        };
        [
            base,
            Variant {
                directors: 3,
                can_check_health: true,
                link_kb_s: 3_000,
                ..base
            },
            Variant {
                can_cancel: false,
                retry_after: false,
                stream_capacity: 4,
                link_kb_s: 9_000,
                tenants: true,
                ..base
            },
        ]
    }

    /// A configuration whose last known watch event is at `position`, with the last node in `phase`.
    fn config(self, position: u64, phase: &str) -> Config {
        let member = |id: u64| {
            let phase = if id == NODES { phase } else { "ready" };
            format!(
                r#"{{"id":"s-{id:08x}","host_port":"{}","locality":"north","flavor":"small","cell":{},
                "phase":"{phase}","size":1,"up_since_ms":0}}"#,
                address(id),
                (id - 1) % 2
            )
        };
        let members: Vec<String> = (1..=NODES).map(member).collect();
        let Variant {
            directors,
            can_check_health,
            can_cancel,
            retry_after,
            stream_capacity,
            link_kb_s,
            tenants,
        } = self;
        let tenants = if tenants { TENANTS } else { "[]" };
        let rack_kb_s = 2 * link_kb_s;
        let text = format!(
            r#"{{"name":"n1","listen":"10.0.0.4:5060","seed":"8c1f30d27a5be964","limits":{{"sockets":256}},
            "journal":"10.2.0.1:8500","known":{{"pos":{position},"entries":[{{"pos":{position},"hosts":{{"revision":1,
            "complete":true,"members":[{}]}}}}]}},"settings":{{"Balancers":{directors},"Tenants":{tenants},"MyNumber":0,"Categories":[
            {{"Name":"paid","Effect":"at_most_once","Target":1500.0,"Value":2.0}},
            {{"Name":"free","Effect":"idempotent","Target":1000.0,"Value":1.0}}],
            "FailureDomains":["north"],"Shapes":["small"],"Zone":"north","WeightSource":"nominal","Step":10.0,
            "Contract":{{"WarmAfter":0,"StartCapacity":0.4,"OverloadFactor":2.0,"Fall":2000.0,
            "StopSendingWithin":250.0}},"Limits":{{"MaxAttempts":4,"MayCancel":{can_cancel},"Probes":{can_check_health},
            "RetryAfter":{retry_after},"MaxRetryAfter":1000.0,"ConnectTimeout":250.0,"ConnIdle":15000.0}},
            "Specifics":{{"Places":2,"Cabinets":1,"PlacesByKind":[{stream_capacity}],"RungKb":[200,600],"RungWorth":[0.4,1.0],
            "HighestRung":[1,1],"LowestRung":[0,0],"ClassScale":[1.0,1.0],"KbPerWeight":{link_kb_s},
            "RackLinkKb":{rack_kb_s},"ToldEvery":3000.0}}}}}}"#,
            members.join(",")
        );
        Config::parse(text.as_bytes()).expect("the configuration is valid")
    }
}

fn address(node: u64) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, node as u8], 5060))
}

/// How a connection's socket behaves.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Socket {
    /// Accepts all bytes.
    Free,
    /// Accepts nothing until it is freed.
    Full,
    /// Accepts a part of the next message, then nothing until the connection is closed.
    Partial { accepted: bool },
}

/// A connection as the peer sees it.
struct Connection {
    /// Sequence number in order of first use, as a [`ConnectionId`] is opaque.
    number: u64,
    /// The node of the connection; absent for a viewer's connection.
    node: Option<u64>,
    is_connected: bool,
    socket: Socket,
    /// Set-ups that the node has not answered yet.
    pending_setups: Vec<u64>,
    /// Health checks that the node has not answered yet.
    pending_health_checks: Vec<u64>,
    /// Written bytes that are not parsed yet.
    written: Vec<u8>,
}

/// One run of the director's protocol with its viewers and nodes.
struct Script<'e> {
    protocol: DirectorProtocol,
    variant: Variant,
    encoder: &'e mut Encoder,
    random: Random,
    now: i64,
    connections: BTreeMap<ConnectionId, Connection>,
    next_number: u64,
    /// Requests by tag, with the viewer's connection of each.
    requests: BTreeMap<u64, ConnectionId>,
    next_tag: u64,
    /// Sessions that nodes hold, as pairs of node and tag.
    node_sessions: BTreeSet<(u64, u64)>,
}

impl<'e> Script<'e> {
    fn new(seed: u64, variant: Variant, encoder: &'e mut Encoder) -> Script<'e> {
        let protocol =
            DirectorProtocol::new(&variant.config(1, "ready"), Timestamp::from_micros(START))
                .expect("the settings are valid");
        Script {
            protocol,
            variant,
            encoder,
            random: Random::new(seed),
            now: START,
            connections: BTreeMap::new(),
            next_number: 0,
            requests: BTreeMap::new(),
            next_tag: 100,
            node_sessions: BTreeSet::new(),
        }
    }

    fn run(mut self) {
        self.pump();
        (0..3).for_each(|_| self.connect_viewer());
        for _ in 0..STEPS {
            self.step();
            self.encode_state();
        }
        // Half of the cases end with a graceful shutdown.
        if self.random.percent(50) {
            self.protocol.begin_shutdown(self.timestamp());
            self.settle();
            self.protocol.close_viewers();
            self.pump();
        }
        self.settle();
        self.encode_state();
    }

    fn step(&mut self) {
        match self.random.below(100) {
            0..=19 => self.send_request(),
            20..=24 => self.cancel_request(),
            25..=27 => self.close_viewer(),
            28..=30 => self.connect_viewer(),
            31..=46 | 48..=49 => self.connect_node(),
            47 => self.fail_connect(),
            50..=65 => self.answer_setup(),
            66 => self.lose_setup_answer(),
            67..=69 => self.answer_health_check(),
            70..=72 => self.end_node_session(),
            73..=76 => self.notify_load(),
            77..=78 => self.close_node_connection(),
            79..=81 => self.restrict_socket(),
            82..=84 => self.free_sockets(),
            85..=88 => self.deliver_watch_frame(),
            89 => self.reconfigure(),
            90..=91 => self.send_malformed_bytes(),
            _ => {
                let span = self.random.pick(&[1, 20, 100, 300, 700, 2_000, 16_000]) * MILLISECOND;
                self.advance_by(span);
            }
        }
    }

    // ---- outputs of the protocol -------------------------------------------------------------

    fn pump(&mut self) {
        while let Some(output) = self.protocol.poll_output() {
            self.encoder.i64(self.now);
            match output {
                Output::Connect {
                    connection: conn,
                    address,
                    timeout,
                } => {
                    self.encoder.begin_output(1);
                    self.register(conn, Some(node_at(address)), false);
                    self.encode_connection(conn);
                    self.encoder.text(&address.to_string());
                    self.encoder.i64(timeout.as_micros());
                }
                Output::Write(conn) => {
                    self.encoder.begin_output(2);
                    self.encode_connection(conn);
                    self.write(conn);
                }
                Output::Close(conn) => {
                    self.encoder.begin_output(3);
                    self.encode_connection(conn);
                    self.forget(conn);
                }
                // Log texts are not behaviour, so only the fact is hashed.
                Output::Log(_) => self.encoder.begin_output(4),
            }
        }
    }

    fn register(&mut self, conn: ConnectionId, node: Option<u64>, is_connected: bool) {
        self.next_number += 1;
        let connection = Connection {
            number: self.next_number,
            node,
            is_connected,
            socket: Socket::Free,
            pending_setups: Vec::new(),
            pending_health_checks: Vec::new(),
            written: Vec::new(),
        };
        self.connections.insert(conn, connection);
    }

    fn encode_connection(&mut self, conn: ConnectionId) {
        let number = self.connections.get(&conn).map(|c| c.number);
        self.encoder.option(number, Encoder::u64);
    }

    fn forget(&mut self, conn: ConnectionId) {
        self.connections.remove(&conn);
        self.requests.retain(|_, viewer| *viewer != conn);
    }

    /// Writes to a connection until its socket accepts no more or nothing is left to write.
    fn write(&mut self, conn: ConnectionId) {
        loop {
            let Some(connection) = self.connections.get_mut(&conn).filter(|c| c.is_connected)
            else {
                return;
            };
            if connection.socket == (Socket::Partial { accepted: true }) {
                return;
            }
            let next = self.protocol.poll_transmit(self.timestamp(), conn);
            self.encode_transmit(conn, &next);
            match next {
                Transmit::Bytes(bytes) => {
                    if !self.take_bytes(conn, bytes) {
                        return;
                    }
                }
                Transmit::Wait | Transmit::CloseWriteHalf => return,
                Transmit::CloseIfNoUnreadBytes => return self.close_connection(conn, true),
                Transmit::Close => return self.forget(conn),
            }
        }
    }

    fn encode_transmit(&mut self, conn: ConnectionId, next: &Transmit) {
        self.encode_connection(conn);
        match next {
            Transmit::Bytes(bytes) => {
                self.encoder.begin_output(10);
                self.encoder.bytes(bytes);
            }
            Transmit::Wait => self.encoder.begin_output(11),
            Transmit::CloseWriteHalf => self.encoder.begin_output(12),
            Transmit::CloseIfNoUnreadBytes => self.encoder.begin_output(13),
            Transmit::Close => self.encoder.begin_output(14),
        }
    }

    /// Offers bytes to the socket, which accepts all, a part or none of them. Returns whether it accepts more.
    fn take_bytes(&mut self, conn: ConnectionId, bytes: Vec<u8>) -> bool {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return false;
        };
        match &mut connection.socket {
            Socket::Free => {
                connection.written.extend_from_slice(&bytes);
                self.read_as_node(conn);
                true
            }
            Socket::Full => {
                self.protocol
                    .return_unwritten(self.timestamp(), conn, bytes);
                false
            }
            Socket::Partial { accepted } => {
                *accepted = true;
                connection
                    .written
                    .extend_from_slice(&bytes[..bytes.len() / PARTIAL_WRITE_DIVISOR]);
                self.protocol.partially_written(self.timestamp(), conn);
                false
            }
        }
    }

    /// Parses the messages that a node has received and updates its set-ups, health checks and sessions.
    fn read_as_node(&mut self, conn: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        let Some(node) = connection.node else {
            return connection.written.clear();
        };
        while let Some(message) = next_message(&mut connection.written) {
            let Some(tag) = session_of(&message) else {
                continue;
            };
            if message.starts_with("SETUP") {
                connection.pending_setups.push(tag);
            } else if message.starts_with("OPTIONS") {
                connection.pending_health_checks.push(tag);
            } else if message.starts_with("TEARDOWN") {
                connection.pending_setups.retain(|t| *t != tag);
                self.node_sessions.remove(&(node, tag));
            }
        }
    }

    fn encode_state(&mut self) {
        self.encode_counts(
            self.protocol.session_counts(),
            self.protocol.connection_counts(),
        );
        self.encoder.u64(self.protocol.watch_position());
        self.encoder.bool(self.protocol.has_pending_writes());
        let timeout = self.protocol.poll_timeout();
        let timeout = timeout.map(Timestamp::as_micros);
        self.encoder.option(timeout, Encoder::i64);
    }

    fn encode_counts(&mut self, sessions: SessionCounts, connections: ConnectionCounts) {
        for count in [
            sessions.pending_requests,
            sessions.active_sessions,
            connections.viewers,
            connections.nodes,
            connections.known_nodes,
        ] {
            self.encoder.usize(count);
        }
    }

    fn timestamp(&self) -> Timestamp {
        Timestamp::from_micros(self.now)
    }

    // ---- time --------------------------------------------------------------------------------

    /// The time of the protocol's next timeout if it is due by `until`.
    fn next_due(&self, until: i64) -> Option<i64> {
        let due = self.protocol.poll_timeout()?.as_micros();
        (due <= until).then_some(due)
    }

    fn advance_by(&mut self, span: i64) {
        let until = self.now + span;
        while let Some(due) = self.next_due(until) {
            self.now = due.max(self.now);
            self.protocol.handle_timeout(self.timestamp());
            self.pump();
        }
        self.now = until;
    }

    /// Frees all sockets, connects nodes, answers set-ups and advances the time until the protocol has settled.
    fn settle(&mut self) {
        for _ in 0..20 {
            self.free_sockets();
            (0..4).for_each(|_| self.connect_node());
            (0..4).for_each(|_| self.answer_setup());
            self.advance_by(250 * MILLISECOND);
        }
        let status = self.protocol.status();
        self.encode_counts(status.sessions, status.connections);
        self.encoder.u64(u64::from(status.withdrawn_before_sent));
        self.encoder
            .u64(u64::from(status.violations.forwarded_after_end));
        self.encoder.i64(status.timer_delay.as_micros());
    }

    // ---- viewers -----------------------------------------------------------------------------

    /// A random one of the connections that match the predicate.
    fn draw_connection(&mut self, predicate: impl Fn(&Connection) -> bool) -> Option<ConnectionId> {
        let matching = self.find_connections(predicate);
        if matching.is_empty() {
            None
        } else {
            Some(matching[self.random.index(matching.len())])
        }
    }

    /// All matching connections in order of their numbers, so that the result does not depend on the order of
    /// [`ConnectionId`].
    fn find_connections(&self, predicate: impl Fn(&Connection) -> bool) -> Vec<ConnectionId> {
        let matching = self.connections.iter().filter(|(_, c)| predicate(c));
        let mut matching: Vec<(u64, ConnectionId)> =
            matching.map(|(conn, c)| (c.number, *conn)).collect();
        matching.sort_unstable();
        matching.into_iter().map(|(_, conn)| conn).collect()
    }

    fn draw_viewer(&mut self) -> Option<ConnectionId> {
        self.draw_connection(|c| c.node.is_none())
    }

    fn connect_viewer(&mut self) {
        let viewers = self
            .connections
            .values()
            .filter(|c| c.node.is_none())
            .count();
        if viewers >= MAX_VIEWERS {
            return;
        }
        let ip = IpAddr::V4(Ipv4Addr::new(10, 9, 0, self.random.below(3) as u8));
        let can_accept = self.protocol.can_accept_viewer(self.timestamp());
        self.encoder.bool(can_accept);
        if can_accept {
            let conn = self.protocol.accept_viewer(self.timestamp(), ip);
            self.register(conn, None, true);
            self.pump();
            self.write(conn);
        }
    }

    fn close_viewer(&mut self) {
        let Some(conn) = self.draw_viewer() else {
            return;
        };
        let clean = self.random.percent(50);
        self.close_connection(conn, clean);
        self.connect_viewer();
    }

    fn close_connection(&mut self, conn: ConnectionId, clean: bool) {
        self.forget(conn);
        self.protocol
            .connection_closed(self.timestamp(), conn, clean);
        self.pump();
    }

    /// Delivers bytes to the protocol, sometimes in two pieces.
    fn receive_bytes(&mut self, conn: ConnectionId, bytes: &[u8]) {
        let cut = if self.random.percent(10) {
            self.random.index(bytes.len())
        } else {
            bytes.len()
        };
        for piece in [&bytes[..cut], &bytes[cut..]] {
            if !piece.is_empty() && self.connections.contains_key(&conn) {
                self.protocol.handle_bytes(self.timestamp(), conn, piece);
                self.pump();
            }
        }
    }

    fn send_request(&mut self) {
        let Some(conn) = self.draw_viewer() else {
            return;
        };
        self.next_tag += 1;
        // A few use the tag of an earlier request.
        let tag = if self.random.percent(3) {
            self.next_tag - 1
        } else {
            self.next_tag
        };
        self.requests.insert(tag, conn);
        let line = self.draw_request(tag);
        self.receive_bytes(conn, line.as_bytes());
    }

    fn draw_request(&mut self, tag: u64) -> String {
        let random = &mut self.random;
        let class = random.pick(&[
            "paid", "free", "paid", "free", "paid", "free", "paid", "free", "gold",
        ]);
        let remaining_ms = random.pick(&["1500", "300", "4000", "0", "-5", "soon"][..]);
        let remaining_ms = if random.percent(85) {
            "1500"
        } else {
            remaining_ms
        };
        let key = 0x7f3a_9c21_e0b4_d655u64 + random.below(4);
        let hint = random.pick(&["8200.0", "600.0", "60000.0"]);
        let (first_cell, replica_cells, highest_rung) =
            (random.below(2), random.below(2) + 1, random.below(2));
        let viewer = random.below(50);
        let tenant = random.pick(&["a", "a", "b", "b", "b", "c"]);
        let option = match random.below(20) {
            0 | 1 => ";again:1".to_string(),
            // The session was playing at this node when another process of the director ended.
            2 => format!(";at:s-{:08x}", random.below(NODES) + 1),
            _ => String::new(),
        };
        format!(
            r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"{class}","left":"{remaining_ms}","tenant":"{tenant}","key":"{key:016x}","hint":"{hint}","extras":"home:{first_cell};copies:{replica_cells};top:{highest_rung};viewer:{viewer:016x}{option}"}},"blob":"here\r\n"}}"#
        ) + "\n"
    }

    fn cancel_request(&mut self) {
        let requests: Vec<(u64, ConnectionId)> = self
            .requests
            .iter()
            .map(|(tag, conn)| (*tag, *conn))
            .collect();
        if requests.is_empty() {
            return;
        }
        let (tag, conn) = requests[self.random.index(requests.len())];
        self.requests.remove(&tag);
        let cause = self.random.pick(&[16, 16, 31]);
        let line =
            format!(r#"{{"verb":"FINISH","tag":"{tag:016x}","opts":{{}},"rc":{cause}}}"#) + "\n";
        self.receive_bytes(conn, line.as_bytes());
    }

    // ---- nodes -------------------------------------------------------------------------------

    fn connect_node(&mut self) {
        let Some(conn) = self.draw_connection(|c| !c.is_connected) else {
            return;
        };
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.is_connected = true;
        }
        self.protocol.node_connected(self.timestamp(), conn);
        self.pump();
        self.write(conn);
    }

    fn fail_connect(&mut self) {
        let Some(conn) = self.draw_connection(|c| !c.is_connected) else {
            return;
        };
        let error = self.random.pick(&[
            ConnectError::Refused,
            ConnectError::Unreachable,
            ConnectError::LocalShortage,
        ]);
        self.forget(conn);
        self.protocol
            .node_connect_failed(self.timestamp(), conn, error);
        self.pump();
    }

    fn draw_node(&mut self) -> Option<(ConnectionId, u64)> {
        let conn = self.draw_connection(|c| c.is_connected && c.node.is_some())?;
        let node = self.connections.get(&conn).and_then(|c| c.node)?;
        Some((conn, node))
    }

    fn draw_pending_setup(&mut self) -> Option<(ConnectionId, u64, u64)> {
        let conn = self.draw_connection(|c| c.is_connected && !c.pending_setups.is_empty())?;
        let connection = self.connections.get_mut(&conn)?;
        let tag = connection.pending_setups.remove(0);
        Some((conn, connection.node?, tag))
    }

    fn answer_setup(&mut self) {
        let Some((conn, node, tag)) = self.draw_pending_setup() else {
            return;
        };
        let status = if self.random.percent(85) {
            200
        } else {
            self.random.pick(&[453, 454, 500, 503, 504])
        };
        let report = self.draw_report();
        let body = if status == 200 { "there" } else { "" };
        if status == 200 {
            self.node_sessions.insert((node, tag));
        }
        let length = body.len();
        let text = format!(
            "RTSP/1.0 {status} X\r\nCSeq: 1\r\nSession: {tag:016x}\r\n{report}Content-Length: {length}\r\n\r\n{body}"
        );
        self.receive_bytes(conn, text.as_bytes());
    }

    /// A load report header for 70% of the answers.
    fn draw_report(&mut self) -> String {
        if self.random.percent(30) {
            return String::new();
        }
        let (streams, link, uplink) = (
            self.random.below(30),
            self.random.utilization(),
            self.random.utilization(),
        );
        format!("P-Report: rif:{streams};x0:{link:.3};x1:{uplink:.3}\r\n")
    }

    fn answer_health_check(&mut self) {
        let Some(conn) =
            self.draw_connection(|c| c.is_connected && !c.pending_health_checks.is_empty())
        else {
            return;
        };
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        let tag = connection.pending_health_checks.remove(0);
        let report = self.draw_report();
        let text = format!(
            "RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: {tag:016x}\r\n{report}Content-Length: 0\r\n\r\n"
        );
        self.receive_bytes(conn, text.as_bytes());
    }

    /// A node sets a session up, but its answer is lost because the connection breaks.
    fn lose_setup_answer(&mut self) {
        let Some((conn, node, tag)) = self.draw_pending_setup() else {
            return;
        };
        self.node_sessions.insert((node, tag));
        self.close_connection(conn, false);
    }

    fn draw_node_session(&mut self, node: u64) -> Option<u64> {
        let matching: Vec<u64> = self
            .node_sessions
            .iter()
            .filter(|(n, _)| *n == node)
            .map(|(_, tag)| *tag)
            .collect();
        if matching.is_empty() {
            None
        } else {
            Some(matching[self.random.index(matching.len())])
        }
    }

    fn end_node_session(&mut self) {
        let Some((conn, node)) = self.draw_node() else {
            return;
        };
        let Some(tag) = self.draw_node_session(node) else {
            return;
        };
        self.node_sessions.remove(&(node, tag));
        let cause = self.random.pick(&[16, 31, 41]);
        let body = self.random.pick(&["", "summary"]);
        let text = format!(
            "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {tag:016x}\r\nReason: cause={cause}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.receive_bytes(conn, text.as_bytes());
    }

    fn notify_load(&mut self) {
        let Some((conn, node)) = self.draw_node() else {
            return;
        };
        let Some(tag) = self.draw_node_session(node) else {
            return;
        };
        let reason = self
            .random
            .pick(&["port", "spine", "got", "level", "other"]);
        let value = self.random.utilization();
        let text = format!(
            "ANNOUNCE rtsp://media/x RTSP/1.0\r\nCSeq: 4\r\nSession: {tag:016x}\r\nP-Reason: {reason}\r\nX-Value: {value:.3}\r\nContent-Length: 0\r\n\r\n"
        );
        self.receive_bytes(conn, text.as_bytes());
    }

    fn close_node_connection(&mut self) {
        let Some((conn, _)) = self.draw_node() else {
            return;
        };
        let clean = self.random.percent(50);
        self.close_connection(conn, clean);
    }

    // ---- sockets, journal, operator ----------------------------------------------------------

    fn restrict_socket(&mut self) {
        let Some(conn) = self.draw_connection(|c| c.is_connected && c.socket == Socket::Free)
        else {
            return;
        };
        let socket = self.random.pick(&[
            Socket::Full,
            Socket::Full,
            Socket::Partial { accepted: false },
        ]);
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.socket = socket;
        }
    }

    fn free_sockets(&mut self) {
        let matching = self.find_connections(|c| c.socket == Socket::Full);
        for conn in matching {
            if let Some(connection) = self.connections.get_mut(&conn) {
                connection.socket = Socket::Free;
                self.write(conn);
                self.pump();
            }
        }
    }

    fn deliver_watch_frame(&mut self) {
        let next = self.protocol.watch_position() + 1;
        let frame = match self.random.below(10) {
            0 => Frame::Heartbeat(next - 1),
            1 => Frame::Heartbeat(next),
            2 => Frame::Event(EndpointEvent {
                sequence: next + 1,
                is_snapshot: false,
                entries: vec![self.draw_entry()],
            }),
            3 => {
                let entries = (1..=NODES)
                    .map(|id| entry(id, EndpointState::Ready, None))
                    .collect();
                Frame::Event(EndpointEvent {
                    sequence: next,
                    is_snapshot: true,
                    entries,
                })
            }
            _ => Frame::Event(EndpointEvent {
                sequence: next,
                is_snapshot: false,
                entries: vec![self.draw_entry()],
            }),
        };
        let accepted = self.protocol.handle_watch_frame(self.timestamp(), &frame);
        self.encoder.bool(accepted.is_ok());
        self.pump();
    }

    fn draw_entry(&mut self) -> EndpointEntry {
        let id = self.random.below(NODES) + 1;
        let is_ready = self.random.percent(75);
        let state = if is_ready {
            EndpointState::Ready
        } else {
            self.random
                .pick(&[EndpointState::Draining, EndpointState::Gone])
        };
        let started_at = self.random.percent(30).then_some(self.now);
        entry(id, state, started_at)
    }

    /// Reloads the configuration, which knows of one more watch event or of none.
    fn reconfigure(&mut self) {
        let position = self.protocol.watch_position() + self.random.below(2);
        let phase = self
            .random
            .pick(&["ready", "ready", "ready", "draining", "gone"]);
        let config = self.variant.config(position, phase);
        self.protocol.apply_known_events(&config, self.timestamp());
        self.pump();
    }

    fn send_malformed_bytes(&mut self) {
        let Some(conn) = self.draw_connection(|c| c.is_connected) else {
            return;
        };
        let texts: [&[u8]; 8] = [
            b"\n",
            b"{}\n",
            b"\x01\x02\xff\n",
            b"{\"verb\":\"SING\",\"tag\":\"0000000000000001\"}\n",
            b"[[[[[[[[\n",
            b"RTSP/1.0 999\r\n\r\n",
            b"GET / HTTP/1.1\r\n\r\n",
            b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 00000000000000ff\r\nContent-Length: 0\r\n\r\n",
        ];
        let text = self.random.pick(&texts);
        self.receive_bytes(conn, text);
    }
}

fn node_at(address: SocketAddr) -> u64 {
    (1..=NODES)
        .find(|id| self::address(*id) == address)
        .unwrap_or(0)
}

fn entry(id: u64, state: EndpointState, started_at: Option<i64>) -> EndpointEntry {
    let endpoint = Endpoint {
        server: ServerId(id),
        zone: Some(0),
        machine_kind: Some(0),
        cell: (id - 1) % 2,
        state,
        weight: 1.0,
        started_at: started_at.map(shalewall::Timestamp::from_micros),
        fleet: 0,
    };
    EndpointEntry {
        endpoint,
        address: address(id),
    }
}

/// Removes the first complete RTSP message from the written bytes.
fn next_message(written: &mut Vec<u8>) -> Option<String> {
    let text = String::from_utf8_lossy(written).into_owned();
    let head = text.find("\r\n\r\n")?;
    let length = text[..head]
        .rsplit("Content-Length: ")
        .next()
        .and_then(|l| l.parse::<usize>().ok());
    let end = head + 4 + length.unwrap_or(0);
    if written.len() < end {
        return None;
    }
    let message: Vec<u8> = written.drain(..end).collect();
    Some(String::from_utf8_lossy(&message).into_owned())
}

fn session_of(message: &str) -> Option<u64> {
    let at = message.find("Session: ")? + "Session: ".len();
    u64::from_str_radix(message.get(at..at + 16)?, 16).ok()
}
