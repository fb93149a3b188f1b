//! Digest of the platform's protocol: every output of `shalewall_platform_proto::DirectorProtocol`, and every byte that it writes
//! to each connection, over random steps of viewers, nodes, the journal service and the director's operator.

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
/// Any time of the clock.
const START: i64 = 1_700_000_000 * SECOND;
const SEEDS: u64 = 500;
const STEPS: u64 = 400;
const NODES: u64 = 3;
/// Tenants of the settings, where there are any.
const TENANTS: &str = r#"[{"Name":"a","AllowancePerS":2.0},{"Name":"b"}]"#;
const MOST_VIEWERS: usize = 12;
/// A socket that takes a message in part takes its length over this.
const PART_TAKEN: usize = 2;

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

/// What differs between the configurations.
#[derive(Clone, Copy)]
struct Variant {
    directors: u32,
    probes: bool,
    recalls: bool,
    retry_after: bool,
    places: u32,
    link_kb: u32,
    /// Requests name one of two tenants, or one that does not exist.
    tenants: bool,
}

impl Variant {
    fn all() -> [Variant; 3] {
        let usual = Variant {
            directors: 1,
            probes: false,
            recalls: true,
            retry_after: true,
            places: 30,
            link_kb: 90_000,
            tenants: false,
        };
        [
            usual,
            Variant {
                directors: 3,
                probes: true,
                link_kb: 3_000,
                ..usual
            },
            Variant {
                recalls: false,
                retry_after: false,
                places: 4,
                link_kb: 9_000,
                tenants: true,
                ..usual
            },
        ]
    }

    /// A configuration whose last known event has this number, with the last node in this phase.
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
            probes,
            recalls,
            retry_after,
            places,
            link_kb,
            tenants,
        } = self;
        let tenants = if tenants { TENANTS } else { "[]" };
        let rack_kb = 2 * link_kb;
        let text = format!(
            r#"{{"name":"n1","listen":"10.0.0.4:5060","seed":"8c1f30d27a5be964","limits":{{"sockets":256}},
            "journal":"10.2.0.1:8500","known":{{"pos":{position},"entries":[{{"pos":{position},"hosts":{{"revision":1,
            "complete":true,"members":[{}]}}}}]}},"settings":{{"Balancers":{directors},"Tenants":{tenants},"MyNumber":0,"Categories":[
            {{"Name":"paid","Effect":"at_most_once","Target":1500.0,"Value":2.0}},
            {{"Name":"free","Effect":"idempotent","Target":1000.0,"Value":1.0}}],
            "FailureDomains":["north"],"Shapes":["small"],"Zone":"north","WeightSource":"nominal","Step":10.0,
            "Contract":{{"WarmAfter":0,"StartCapacity":0.4,"OverloadFactor":2.0,"Fall":2000.0,
            "StopSendingWithin":250.0}},"Limits":{{"MaxAttempts":4,"MayCancel":{recalls},"Probes":{probes},
            "RetryAfter":{retry_after},"MaxRetryAfter":1000.0,"ConnectTimeout":250.0,"ConnIdle":15000.0}},
            "Specifics":{{"Places":2,"Cabinets":1,"PlacesByKind":[{places}],"RungKb":[200,600],"RungWorth":[0.4,1.0],
            "HighestRung":[1,1],"LowestRung":[0,0],"ClassScale":[1.0,1.0],"KbPerWeight":{link_kb},
            "RackLinkKb":{rack_kb},"ToldEvery":3000.0}}}}}}"#,
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
    /// Takes whatever it is given.
    Free,
    /// Takes nothing for now.
    Full,
    /// Takes a part of the next message and nothing more until the connection ends.
    Half { taken: bool },
}

/// A connection as its other side sees it.
struct Connection {
    /// In order of first use, as the connection's own identity is opaque.
    number: u64,
    /// The node that it goes to; none for a viewer's connection.
    node: Option<u64>,
    up: bool,
    socket: Socket,
    /// Set-ups that a node has and has not answered.
    set_ups: Vec<u64>,
    /// Probes that a node has and has not answered.
    probes: Vec<u64>,
    /// What was written on it and not parsed yet.
    written: Vec<u8>,
}

/// One run of a door with its viewers and nodes.
struct Script<'e> {
    protocol: DirectorProtocol,
    variant: Variant,
    encoder: &'e mut Encoder,
    random: Random,
    now: i64,
    connections: BTreeMap<ConnectionId, Connection>,
    next_number: u64,
    /// Requests that were made, and the viewer's connection of each.
    requests: BTreeMap<u64, ConnectionId>,
    next_tag: u64,
    /// Sessions that nodes hold.
    standing: BTreeSet<(u64, u64)>,
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
            standing: BTreeSet::new(),
        }
    }

    fn run(mut self) {
        self.pump();
        (0..3).for_each(|_| self.viewer_connects());
        for _ in 0..STEPS {
            self.step();
            self.encode_state();
        }
        // Half of the cases end as a director does that is told to end.
        if self.random.percent(50) {
            self.protocol.begin_shutdown(self.timestamp());
            self.settle();
            self.protocol.close_viewers(self.timestamp());
            self.pump();
        }
        self.settle();
        self.encode_state();
    }

    fn step(&mut self) {
        match self.random.below(100) {
            0..=19 => self.asks(),
            20..=24 => self.gives_up(),
            25..=27 => self.viewer_hangs_up(),
            28..=30 => self.viewer_connects(),
            31..=46 | 48..=49 => self.comes_up(),
            47 => self.fails_to_come_up(),
            50..=65 => self.node_answers(),
            66 => self.answer_is_lost(),
            67..=69 => self.probe_is_answered(),
            70..=72 => self.node_releases(),
            73..=76 => self.node_notes(),
            77..=78 => self.node_breaks(),
            79..=81 => self.socket_changes(),
            82..=84 => self.sockets_are_free(),
            85..=88 => self.journal_tells(),
            89 => self.reconfigure(),
            90..=91 => self.garbage(),
            _ => {
                let span = self.random.pick(&[1, 20, 100, 300, 700, 2_000, 16_000]) * MILLISECOND;
                self.pass(span);
            }
        }
    }

    // ---- the door's outputs ------------------------------------------------------------------

    fn pump(&mut self) {
        while let Some(output) = self.protocol.poll_output() {
            self.encoder.i64(self.now);
            match output {
                Output::Connect {
                    connection: conn,
                    address,
                    timeout: within,
                } => {
                    self.encoder.begin_output(1);
                    self.register(conn, Some(node_at(address)), false);
                    self.encode_connection(conn);
                    self.encoder.text(&address.to_string());
                    self.encoder.i64(within.as_micros());
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
                // The text of a log line is no behaviour.
                Output::Log(_) => self.encoder.begin_output(4),
            }
        }
    }

    fn register(&mut self, conn: ConnectionId, node: Option<u64>, up: bool) {
        self.next_number += 1;
        let connection = Connection {
            number: self.next_number,
            node,
            up,
            socket: Socket::Free,
            set_ups: Vec::new(),
            probes: Vec::new(),
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

    /// Writes on a connection until its socket takes no more or nothing is left.
    fn write(&mut self, conn: ConnectionId) {
        loop {
            let Some(connection) = self.connections.get_mut(&conn).filter(|c| c.up) else {
                return;
            };
            if connection.socket == (Socket::Half { taken: true }) {
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
                Transmit::CloseIfNoUnreadBytes => return self.ends(conn, true),
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

    /// The socket takes the bytes, a part of them or none. Whether it takes more.
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
            Socket::Half { taken } => {
                *taken = true;
                connection
                    .written
                    .extend_from_slice(&bytes[..bytes.len() / PART_TAKEN]);
                self.protocol.partially_written(self.timestamp(), conn);
                false
            }
        }
    }

    /// A node takes note of what it is told to set up and to end.
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
                connection.set_ups.push(tag);
            } else if message.starts_with("OPTIONS") {
                connection.probes.push(tag);
            } else if message.starts_with("TEARDOWN") {
                connection.set_ups.retain(|t| *t != tag);
                self.standing.remove(&(node, tag));
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

    /// When the protocol's next timer is due, if that is not after `until`.
    fn next_due(&self, until: i64) -> Option<i64> {
        let due = self.protocol.poll_timeout()?.as_micros();
        (due <= until).then_some(due)
    }

    fn pass(&mut self, span: i64) {
        let until = self.now + span;
        while let Some(due) = self.next_due(until) {
            self.now = due.max(self.now);
            self.protocol.handle_timeout(self.timestamp());
            self.pump();
        }
        self.now = until;
    }

    /// All sockets are free, connections come up, nodes answer, and time passes.
    fn settle(&mut self) {
        for _ in 0..20 {
            self.sockets_are_free();
            (0..4).for_each(|_| self.comes_up());
            (0..4).for_each(|_| self.node_answers());
            self.pass(250 * MILLISECOND);
        }
        let status = self.protocol.status();
        self.encode_counts(status.sessions, status.connections);
        self.encoder.u64(u64::from(status.withdrawn_before_sent));
        self.encoder.u64(u64::from(status.sent_after_withdrawal));
        self.encoder.i64(status.timer_delay.as_micros());
    }

    // ---- viewers -----------------------------------------------------------------------------

    /// One of the connections for which `which` holds.
    fn draw_connection(&mut self, which: impl Fn(&Connection) -> bool) -> Option<ConnectionId> {
        let found = self.find_connections(which);
        if found.is_empty() {
            None
        } else {
            Some(found[self.random.index(found.len())])
        }
    }

    /// In the order of their numbers, so that nothing depends on how connections compare.
    fn find_connections(&self, which: impl Fn(&Connection) -> bool) -> Vec<ConnectionId> {
        let matching = self.connections.iter().filter(|(_, c)| which(c));
        let mut found: Vec<(u64, ConnectionId)> =
            matching.map(|(conn, c)| (c.number, *conn)).collect();
        found.sort_unstable();
        found.into_iter().map(|(_, conn)| conn).collect()
    }

    fn draw_viewer(&mut self) -> Option<ConnectionId> {
        self.draw_connection(|c| c.node.is_none())
    }

    fn viewer_connects(&mut self) {
        let viewers = self
            .connections
            .values()
            .filter(|c| c.node.is_none())
            .count();
        if viewers >= MOST_VIEWERS {
            return;
        }
        let ip = IpAddr::V4(Ipv4Addr::new(10, 9, 0, self.random.below(3) as u8));
        let opened = self.protocol.accept_viewer(self.timestamp(), ip);
        self.encoder.bool(opened.is_some());
        if let Some(conn) = opened {
            self.register(conn, None, true);
            self.pump();
            self.write(conn);
        }
    }

    fn viewer_hangs_up(&mut self) {
        let Some(conn) = self.draw_viewer() else {
            return;
        };
        let clean = self.random.percent(50);
        self.ends(conn, clean);
        self.viewer_connects();
    }

    fn ends(&mut self, conn: ConnectionId, clean: bool) {
        self.forget(conn);
        self.protocol
            .connection_closed(self.timestamp(), conn, clean);
        self.pump();
    }

    /// Bytes come on a connection, sometimes in two pieces.
    fn hear(&mut self, conn: ConnectionId, bytes: &[u8]) {
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

    fn asks(&mut self) {
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
        self.hear(conn, line.as_bytes());
    }

    fn draw_request(&mut self, tag: u64) -> String {
        let random = &mut self.random;
        let class = random.pick(&[
            "paid", "free", "paid", "free", "paid", "free", "paid", "free", "gold",
        ]);
        let left = random.pick(&["1500", "300", "4000", "0", "-5", "soon"][..]);
        let left = if random.percent(85) { "1500" } else { left };
        let key = 0x7f3a_9c21_e0b4_d655u64 + random.below(4);
        let hint = random.pick(&["8200.0", "600.0", "60000.0"]);
        let (home, copies, top) = (random.below(2), random.below(2) + 1, random.below(2));
        let viewer = random.below(50);
        let tenant = random.pick(&["a", "a", "b", "b", "b", "c"]);
        let more = match random.below(20) {
            0 | 1 => ";again:1".to_string(),
            // It played when another process of the director ended.
            2 => format!(";at:s-{:08x}", random.below(NODES) + 1),
            _ => String::new(),
        };
        format!(
            r#"{{"verb":"START","tag":"{tag:016x}","opts":{{"class":"{class}","left":"{left}","tenant":"{tenant}","key":"{key:016x}","hint":"{hint}","extras":"home:{home};copies:{copies};top:{top};viewer:{viewer:016x}{more}"}},"blob":"here\r\n"}}"#
        ) + "\n"
    }

    fn gives_up(&mut self) {
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
        self.hear(conn, line.as_bytes());
    }

    // ---- nodes -------------------------------------------------------------------------------

    fn comes_up(&mut self) {
        let Some(conn) = self.draw_connection(|c| !c.up) else {
            return;
        };
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.up = true;
        }
        self.protocol.node_connected(self.timestamp(), conn);
        self.pump();
        self.write(conn);
    }

    fn fails_to_come_up(&mut self) {
        let Some(conn) = self.draw_connection(|c| !c.up) else {
            return;
        };
        let why = self.random.pick(&[
            ConnectError::Refused,
            ConnectError::Unreachable,
            ConnectError::LocalShortage,
        ]);
        self.forget(conn);
        self.protocol
            .node_connect_failed(self.timestamp(), conn, why);
        self.pump();
    }

    fn draw_node(&mut self) -> Option<(ConnectionId, u64)> {
        let conn = self.draw_connection(|c| c.up && c.node.is_some())?;
        let node = self.connections.get(&conn).and_then(|c| c.node)?;
        Some((conn, node))
    }

    fn draw_busy(&mut self) -> Option<(ConnectionId, u64, u64)> {
        let conn = self.draw_connection(|c| c.up && !c.set_ups.is_empty())?;
        let connection = self.connections.get_mut(&conn)?;
        let tag = connection.set_ups.remove(0);
        Some((conn, connection.node?, tag))
    }

    fn node_answers(&mut self) {
        let Some((conn, node, tag)) = self.draw_busy() else {
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
            self.standing.insert((node, tag));
        }
        let length = body.len();
        let text = format!(
            "RTSP/1.0 {status} X\r\nCSeq: 1\r\nSession: {tag:016x}\r\n{report}Content-Length: {length}\r\n\r\n{body}"
        );
        self.hear(conn, text.as_bytes());
    }

    /// Load figures that come with an answer, in most of them.
    fn draw_report(&mut self) -> String {
        if self.random.percent(30) {
            return String::new();
        }
        let (streams, link, uplink) = (
            self.random.below(30),
            self.random.share(),
            self.random.share(),
        );
        format!("P-Report: rif:{streams};x0:{link:.3};x1:{uplink:.3}\r\n")
    }

    fn probe_is_answered(&mut self) {
        let Some(conn) = self.draw_connection(|c| c.up && !c.probes.is_empty()) else {
            return;
        };
        let Some(connection) = self.connections.get_mut(&conn) else {
            return;
        };
        let tag = connection.probes.remove(0);
        let report = self.draw_report();
        let text = format!(
            "RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: {tag:016x}\r\n{report}Content-Length: 0\r\n\r\n"
        );
        self.hear(conn, text.as_bytes());
    }

    /// A node lets a session stand, and the answer is lost with the connection.
    fn answer_is_lost(&mut self) {
        let Some((conn, node, tag)) = self.draw_busy() else {
            return;
        };
        self.standing.insert((node, tag));
        self.ends(conn, false);
    }

    fn draw_standing(&mut self, node: u64) -> Option<u64> {
        let found: Vec<u64> = self
            .standing
            .iter()
            .filter(|(n, _)| *n == node)
            .map(|(_, tag)| *tag)
            .collect();
        if found.is_empty() {
            None
        } else {
            Some(found[self.random.index(found.len())])
        }
    }

    fn node_releases(&mut self) {
        let Some((conn, node)) = self.draw_node() else {
            return;
        };
        let Some(tag) = self.draw_standing(node) else {
            return;
        };
        self.standing.remove(&(node, tag));
        let cause = self.random.pick(&[16, 31, 41]);
        let body = self.random.pick(&["", "summary"]);
        let text = format!(
            "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {tag:016x}\r\nReason: cause={cause}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.hear(conn, text.as_bytes());
    }

    fn node_notes(&mut self) {
        let Some((conn, node)) = self.draw_node() else {
            return;
        };
        let Some(tag) = self.draw_standing(node) else {
            return;
        };
        let reason = self
            .random
            .pick(&["port", "spine", "got", "level", "other"]);
        let value = self.random.share();
        let text = format!(
            "ANNOUNCE rtsp://media/x RTSP/1.0\r\nCSeq: 4\r\nSession: {tag:016x}\r\nP-Reason: {reason}\r\nX-Value: {value:.3}\r\nContent-Length: 0\r\n\r\n"
        );
        self.hear(conn, text.as_bytes());
    }

    fn node_breaks(&mut self) {
        let Some((conn, _)) = self.draw_node() else {
            return;
        };
        let clean = self.random.percent(50);
        self.ends(conn, clean);
    }

    // ---- sockets, journal, operator ----------------------------------------------------------

    fn socket_changes(&mut self) {
        let Some(conn) = self.draw_connection(|c| c.up && c.socket == Socket::Free) else {
            return;
        };
        let socket = self
            .random
            .pick(&[Socket::Full, Socket::Full, Socket::Half { taken: false }]);
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.socket = socket;
        }
    }

    fn sockets_are_free(&mut self) {
        let found = self.find_connections(|c| c.socket == Socket::Full);
        for conn in found {
            if let Some(connection) = self.connections.get_mut(&conn) {
                connection.socket = Socket::Free;
                self.write(conn);
                self.pump();
            }
        }
    }

    fn journal_tells(&mut self) {
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
        let taken = self.protocol.handle_watch_frame(self.timestamp(), &frame);
        self.encoder.bool(taken.is_ok());
        self.pump();
    }

    fn draw_entry(&mut self) -> EndpointEntry {
        let id = self.random.below(NODES) + 1;
        let up = self.random.percent(75);
        let state = if up {
            EndpointState::Ready
        } else {
            self.random
                .pick(&[EndpointState::Draining, EndpointState::Gone])
        };
        let started = self.random.percent(30).then_some(self.now);
        entry(id, state, started)
    }

    /// The configuration is read anew: it knows of a later event, or of nothing new.
    fn reconfigure(&mut self) {
        let position = self.protocol.watch_position() + self.random.below(2);
        let phase = self
            .random
            .pick(&["ready", "ready", "ready", "draining", "gone"]);
        let config = self.variant.config(position, phase);
        self.protocol.apply_known_events(&config, self.timestamp());
        self.pump();
    }

    fn garbage(&mut self) {
        let Some(conn) = self.draw_connection(|c| c.up) else {
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
        self.hear(conn, text);
    }
}

fn node_at(address: SocketAddr) -> u64 {
    (1..=NODES)
        .find(|id| self::address(*id) == address)
        .unwrap_or(0)
}

fn entry(id: u64, state: EndpointState, came_up: Option<i64>) -> EndpointEntry {
    let listed = Endpoint {
        server: ServerId(id),
        zone: Some(0),
        machine_kind: Some(0),
        cell: (id - 1) % 2,
        state,
        weight: 1.0,
        started_at: came_up.map(shalewall::Timestamp::from_micros),
        fleet: 0,
    };
    EndpointEntry {
        endpoint: listed,
        address: address(id),
    }
}

/// Takes the first whole RTSP message off the front.
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
