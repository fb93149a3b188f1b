//! An emulated media node: accepts set-ups, ends sessions after a random time, sends releases, and can inject faults.

use crate::recorder::{Recorder, SessionEnd};
use crate::rtsp::{self, Message};
use crate::{node_name, now};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalewall_audit::{Record, SetUpOutcome, Timestamp};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Interval at which due work is performed.
const TICK_INTERVAL: Duration = Duration::from_millis(2);
/// Delay of the response to a set-up.
const RESPONSE_DELAY_US: std::ops::Range<i64> = 2_000..30_000;
/// Duration of a session, unless it is ended earlier.
const SESSION_DURATION_US: std::ops::Range<i64> = 300_000..3_000_000;
/// Interval of load reports on each session.
/// Duration of a session whose director has to end it, in microseconds: longer than any test.
const ENDLESS_US: i64 = 600_000_000;
/// Pause between the pieces of a response.
const PIECE_DELAY: Duration = Duration::from_millis(3);
/// Number of bytes by which a wrong content length differs.
const LENGTH_ERRORS: std::ops::Range<i64> = 1..40;
/// A session that no viewer has requested.
const UNKNOWN_SESSION: u64 = 0xffff_ffff_ffff_fff0;
const LOAD_REPORT_INTERVAL_US: i64 = 1_000_000;
/// Number of streams at which a node reports full utilization.
pub const STREAM_CAPACITY: f64 = 60.0;

/// Behavior of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NodeBehavior {
    /// Works without faults.
    #[default]
    Healthy,
    /// Responds to every second set-up with an error.
    FailsSetUps,
    /// Rejects every set-up.
    RejectsAll,
    /// Sends nothing, but keeps its connections open.
    Unresponsive,
    /// Sends a malformed response to every third set-up.
    SendsMalformed,
    /// Closes the connection of every set-up with an even tag.
    ResetsConnections,
    /// Accepts no connections, and neither reads nor sends anything on open ones.
    Vanished,
    /// Sends responses in pieces.
    SendsPieces,
    /// Sends some responses with a wrong length, twice, behind a response for another session, or cut off.
    SpoilsResponses,
    /// Closes each connection after a response.
    ClosesEarly,
}

/// How a response to a set-up is spoilt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Spoiling {
    TooShort,
    TooLong,
    Twice,
    AfterUnknownSession,
    CutOff,
}

impl Spoiling {
    const ALL: [Spoiling; 5] = [
        Spoiling::TooShort,
        Spoiling::TooLong,
        Spoiling::Twice,
        Spoiling::AfterUnknownSession,
        Spoiling::CutOff,
    ];

    /// Whether the director can't know the session's description from the response.
    fn hides_description(self) -> bool {
        !matches!(self, Spoiling::Twice | Spoiling::AfterUnknownSession)
    }
}

struct ActiveSession {
    connection: u64,
    attempt: u32,
    ends_at: i64,
    last_report: i64,
}

#[derive(Default)]
struct Inner {
    behavior: NodeBehavior,
    /// Number of responses to set-ups, for the faults of every second or third one.
    count: u64,
    last_connection: u64,
    connections: BTreeMap<u64, TcpStream>,
    /// Set-ups without a response: connection, attempt, and time of the response in microseconds.
    pending_set_ups: BTreeMap<u64, (u64, u32, i64)>,
    sessions: BTreeMap<u64, ActiveSession>,
    /// Releases of the last seconds, which are repeated on new connections: time, tag and cause.
    recent_releases: Vec<(i64, u64, i64)>,
    /// Incremented at each start and stop of the process, so that threads of an earlier one end.
    incarnation: u64,
}

/// A node, whose process can be stopped and started again at the same address.
pub struct Node {
    /// Id of the node.
    pub id: u32,
    /// Port on which it listens.
    pub port: u16,
    recorder: Recorder,
    rng: Mutex<ChaCha8Rng>,
    inner: Mutex<Inner>,
}

impl Node {
    /// Creates a node on a free port and starts its process warm.
    pub fn start(id: u32, seed: u64, recorder: Recorder) -> io::Result<Arc<Node>> {
        let port = crate::free_port()?;
        let rng = Mutex::new(ChaCha8Rng::seed_from_u64(seed ^ u64::from(id)));
        let node = Arc::new(Node {
            id,
            port,
            recorder,
            rng,
            inner: Mutex::default(),
        });
        node.start_process(true)?;
        Ok(node)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tags of the active sessions.
    pub fn active_sessions(&self) -> Vec<u64> {
        self.lock().sessions.keys().copied().collect()
    }

    /// Changes the behavior from now on.
    pub fn set_behavior(&self, behavior: NodeBehavior) {
        self.lock().behavior = behavior;
    }

    fn random_in(&self, range: std::ops::Range<i64>) -> i64 {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        let rng: &mut dyn Rng = &mut *rng;
        rng.random_range(range)
    }

    /// Starts the process. Returns the start time in microseconds.
    pub fn start_process(self: &Arc<Node>, warm: bool) -> io::Result<i64> {
        let listener = TcpListener::bind(("127.0.0.1", self.port))?;
        listener.set_nonblocking(true)?;
        let (t, node) = (now(), self.id.into());
        self.recorder.record(Record::NodeStarted {
            time: Timestamp::from_micros(t),
            node,
            places: STREAM_CAPACITY,
            warm,
            cell: None,
        });
        let incarnation = {
            let mut inner = self.lock();
            inner.incarnation += 1;
            inner.incarnation
        };
        let node_handle = self.clone();
        thread::spawn(move || node_handle.run_process(&listener, incarnation));
        Ok(t)
    }

    /// Stops the process without notice: its sessions end and its connections are closed.
    pub fn stop_process(&self) {
        let mut inner = self.lock();
        inner.incarnation += 1;
        let t = now();
        for connection in std::mem::take(&mut inner.connections).into_values() {
            let _ = connection.shutdown(Shutdown::Both);
        }
        for (session, (_, attempt, _)) in std::mem::take(&mut inner.pending_set_ups) {
            self.record_set_up_finished(session, attempt, SetUpOutcome::Abandoned);
        }
        for (session, s) in std::mem::take(&mut inner.sessions) {
            self.recorder.record(Record::SessionEnded {
                time: Timestamp::from_micros(t),
                node: self.id.into(),
                session,
                attempt: s.attempt,
            });
            self.recorder.session_ended(session, SessionEnd::Unnotified);
        }
        inner.recent_releases.clear();
        self.recorder.record(Record::NodeStopped {
            time: Timestamp::from_micros(t),
            node: self.id.into(),
            overloaded: false,
        });
    }

    fn record_set_up_finished(&self, session: u64, attempt: u32, outcome: SetUpOutcome) {
        self.recorder.record(Record::SetUpFinished {
            time: Timestamp::from_micros(now()),
            node: self.id.into(),
            session,
            attempt,
            outcome,
        });
    }

    fn run_process(self: Arc<Node>, listener: &TcpListener, incarnation: u64) {
        while self.lock().incarnation == incarnation {
            while self.lock().behavior != NodeBehavior::Vanished
                && let Ok((stream, _)) = listener.accept()
            {
                let node_handle = self.clone();
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let Ok(writer) = stream.try_clone() else {
                    continue;
                };
                let id = {
                    let mut inner = self.lock();
                    inner.last_connection += 1;
                    let id = inner.last_connection;
                    inner.connections.insert(id, writer);
                    // Recent releases are repeated, because the connection on which they were sent may be closed.
                    let t = now();
                    inner.recent_releases.retain(|(at, ..)| t - at < 5_000_000);
                    let repeated: Vec<_> = inner
                        .recent_releases
                        .iter()
                        .map(|(_, tag, cause)| (*tag, *cause))
                        .collect();
                    let is_unresponsive = inner.behavior == NodeBehavior::Unresponsive;
                    repeated
                        .into_iter()
                        .filter(|_| !is_unresponsive)
                        .for_each(|(tag, cause)| {
                            send(&mut inner, id, &rtsp::release(tag, cause));
                        });
                    id
                };
                thread::spawn(move || node_handle.read_messages(stream, id, incarnation));
            }
            self.tick();
            thread::sleep(TICK_INTERVAL);
        }
    }

    /// Sends the responses, releases and load reports that are due.
    fn tick(&self) {
        let t = now();
        let mut inner = self.lock();
        if matches!(
            inner.behavior,
            NodeBehavior::Unresponsive | NodeBehavior::Vanished
        ) {
            return;
        }
        let due: Vec<_> = inner
            .pending_set_ups
            .iter()
            .filter(|(_, (.., at))| *at <= t)
            .map(|(tag, _)| *tag)
            .collect();
        for tag in due {
            let Some((connection, attempt, _)) = inner.pending_set_ups.remove(&tag) else {
                continue;
            };
            self.respond_to_set_up(&mut inner, tag, connection, attempt);
        }
        let ended: Vec<_> = inner
            .sessions
            .iter()
            .filter(|(_, s)| s.ends_at <= t)
            .map(|(tag, _)| *tag)
            .collect();
        for tag in ended {
            let Some(s) = inner.sessions.remove(&tag) else {
                continue;
            };
            self.recorder.record(Record::SessionEnded {
                time: Timestamp::from_micros(t),
                node: self.id.into(),
                session: tag,
                attempt: s.attempt,
            });
            self.recorder.session_ended(tag, SessionEnd::Notified);
            inner.recent_releases.push((t, tag, 16));
            // The node knows a director's connection only by the set-ups on it. If that connection is closed, the
            // release is sent on all others.
            let is_open = inner.connections.contains_key(&s.connection);
            let receivers: Vec<_> = inner
                .connections
                .keys()
                .copied()
                .filter(|c| !is_open || *c == s.connection)
                .collect();
            receivers
                .into_iter()
                .for_each(|connection| send(&mut inner, connection, &rtsp::release(tag, 16)));
        }
        let utilization = inner.sessions.len() as f64 / STREAM_CAPACITY;
        let mut reports = Vec::new();
        for (tag, s) in inner
            .sessions
            .iter_mut()
            .filter(|(_, s)| t - s.last_report >= LOAD_REPORT_INTERVAL_US)
        {
            s.last_report = t;
            reports.push((s.connection, *tag));
        }
        for (connection, tag) in reports {
            send(&mut inner, connection, &rtsp::load_report(tag, utilization));
        }
    }

    fn respond_to_set_up(&self, inner: &mut Inner, tag: u64, connection: u64, attempt: u32) {
        inner.count += 1;
        let count = inner.count;
        match inner.behavior {
            NodeBehavior::RejectsAll => {
                self.record_set_up_finished(tag, attempt, SetUpOutcome::Rejected);
                return send(inner, connection, &rtsp::response(tag, 453, ""));
            }
            NodeBehavior::FailsSetUps if count.is_multiple_of(2) => {
                self.record_set_up_finished(tag, attempt, SetUpOutcome::Cancelled);
                return send(inner, connection, &rtsp::response(tag, 500, ""));
            }
            NodeBehavior::SendsMalformed if count.is_multiple_of(3) => {
                self.record_set_up_finished(tag, attempt, SetUpOutcome::Cancelled);
                return send(
                    inner,
                    connection,
                    b"RTSP/1.0 200 OK\r\nContent-Length: -7\r\n\r\n\xff\xfe\r\n\r\n",
                );
            }
            _ => {}
        }
        let description = format!("{}-{tag:016x}-{count}\r\n", node_name(self.id));
        self.recorder
            .lock()
            .descriptions
            .entry(tag)
            .or_default()
            .push(description.clone());
        self.record_set_up_finished(tag, attempt, SetUpOutcome::Playing);
        let spoiling = (inner.behavior == NodeBehavior::SpoilsResponses && count.is_multiple_of(2))
            .then(|| Spoiling::ALL[(count / 2) as usize % Spoiling::ALL.len()]);
        let duration_us = if spoiling.is_some_and(Spoiling::hides_description) {
            ENDLESS_US
        } else {
            self.random_in(SESSION_DURATION_US)
        };
        let ends_at = now() + duration_us;
        inner.sessions.insert(
            tag,
            ActiveSession {
                connection,
                attempt,
                ends_at,
                last_report: now(),
            },
        );
        let response = rtsp::response(tag, 200, &description);
        match (inner.behavior, spoiling) {
            (_, Some(spoiling)) => {
                self.send_spoilt(inner, connection, tag, &description, spoiling);
            }
            (NodeBehavior::SendsPieces, _) => {
                for piece in response.chunks(response.len() / 3 + 1) {
                    send(inner, connection, piece);
                    thread::sleep(PIECE_DELAY);
                }
            }
            (NodeBehavior::ClosesEarly, _) => {
                send(inner, connection, &response);
                close(inner, connection);
            }
            _ => send(inner, connection, &response),
        }
    }

    fn send_spoilt(
        &self,
        inner: &mut Inner,
        connection: u64,
        tag: u64,
        description: &str,
        spoiling: Spoiling,
    ) {
        let response = rtsp::response(tag, 200, description);
        let length = description.len() as i64;
        let error = self.random_in(LENGTH_ERRORS).min(length - 1);
        match spoiling {
            Spoiling::TooShort => {
                let bytes = rtsp::response_of_length(tag, description, length - error);
                send(inner, connection, &bytes);
            }
            Spoiling::TooLong => {
                let bytes = rtsp::response_of_length(tag, description, length + error);
                send(inner, connection, &bytes);
            }
            Spoiling::Twice => {
                send(inner, connection, &response);
                thread::sleep(PIECE_DELAY);
                send(inner, connection, &response);
            }
            Spoiling::AfterUnknownSession => {
                let unknown = rtsp::response(UNKNOWN_SESSION, 200, description);
                send(inner, connection, &unknown);
                send(inner, connection, &response);
            }
            Spoiling::CutOff => {
                send(inner, connection, &response[..response.len() - 4]);
                close(inner, connection);
            }
        }
    }

    fn read_messages(&self, mut stream: TcpStream, connection: u64, incarnation: u64) {
        let (mut buffer, mut chunk) = (Vec::new(), [0; 4096]);
        while let Ok(n) = stream.read(&mut chunk) {
            if n == 0 || self.lock().incarnation != incarnation {
                break;
            }
            buffer.extend(&chunk[..n]);
            while let Some(message) = rtsp::parse_message(&mut buffer) {
                // What arrives at a machine that has vanished has no effect, but the director has given up what it ends.
                let has_vanished = self.lock().behavior == NodeBehavior::Vanished;
                if !has_vanished || message.method() == "TEARDOWN" {
                    self.handle_message(connection, &message);
                }
            }
        }
        let mut inner = self.lock();
        inner.connections.remove(&connection);
        // Set-ups on a closed connection are abandoned.
        let open: Vec<_> = inner
            .pending_set_ups
            .iter()
            .filter(|(_, o)| o.0 == connection)
            .map(|(t, o)| (*t, o.1))
            .collect();
        for (tag, attempt) in open {
            inner.pending_set_ups.remove(&tag);
            self.record_set_up_finished(tag, attempt, SetUpOutcome::Abandoned);
        }
    }

    fn handle_message(&self, connection: u64, message: &Message) {
        let Some(tag) = message.tag() else { return };
        match message.method() {
            "SETUP" => self.set_up(connection, tag, message),
            "TEARDOWN" => {
                let mut inner = self.lock();
                if let Some((_, attempt, _)) = inner.pending_set_ups.remove(&tag) {
                    self.record_set_up_finished(tag, attempt, SetUpOutcome::Abandoned);
                }
                if let Some(s) = inner.sessions.remove(&tag) {
                    let t = now();
                    self.recorder.record(Record::SessionEnded {
                        time: Timestamp::from_micros(t),
                        node: self.id.into(),
                        session: tag,
                        attempt: s.attempt,
                    });
                    self.recorder.session_ended(tag, SessionEnd::Requested);
                }
            }
            "SET_PARAMETER" => {
                let rung = message
                    .header("x-rung")
                    .and_then(|r| r.parse().ok())
                    .unwrap_or(0);
                self.recorder.record(Record::RungChanged {
                    time: Timestamp::from_micros(now()),
                    node: self.id.into(),
                    session: tag,
                    rung,
                });
            }
            "OPTIONS" => send(&mut self.lock(), connection, &rtsp::response(tag, 200, "")),
            _ => {}
        }
    }

    fn set_up(&self, connection: u64, tag: u64, message: &Message) {
        let mut inner = self.lock();
        if !inner.connections.contains_key(&connection) {
            return; // The node has closed it, and reads nothing more.
        }
        let attempt = {
            let mut recorder = self.recorder.lock();
            let count = recorder.attempts.entry(tag).or_default();
            *count += 1;
            *count - 1
        };
        let class = message.header("p-kind").unwrap_or("").to_string();
        let title = message
            .start_line
            .split(['/', ' '])
            .nth(4)
            .unwrap_or("")
            .to_string();
        // A set-up without a rung means the lowest one of its class.
        let lowest = usize::from(class == "paid");
        let rung = message
            .header("x-rung")
            .and_then(|r| r.parse().ok())
            .unwrap_or(lowest);
        let director = crate::director_of(tag);
        let (t, node) = (now(), self.id.into());
        let session = tag;
        self.recorder.record(Record::SetUpReceived {
            time: Timestamp::from_micros(t),
            node,
            director,
            session,
            attempt,
            tenant: None,
            class,
            title,
            rung,
        });
        self.recorder.set_up_received(tag, t);
        if message.body != format!("v-{tag:016x}\r\n").into_bytes() {
            self.recorder.report_violation(format!(
                "set-up of {tag:016x} does not have its viewer's description"
            ));
        }
        if inner.behavior == NodeBehavior::ResetsConnections && tag.is_multiple_of(2) {
            self.record_set_up_finished(tag, attempt, SetUpOutcome::Abandoned);
            close(&mut inner, connection);
            return;
        }
        inner.pending_set_ups.insert(
            tag,
            (connection, attempt, t + self.random_in(RESPONSE_DELAY_US)),
        );
    }
}

fn close(inner: &mut Inner, connection: u64) {
    if let Some(stream) = inner.connections.remove(&connection) {
        let _ = stream.shutdown(Shutdown::Both);
    }
}

fn send(inner: &mut Inner, connection: u64, bytes: &[u8]) {
    let is_broken = inner
        .connections
        .get_mut(&connection)
        .is_some_and(|stream| stream.write_all(bytes).is_err());
    if is_broken {
        inner.connections.remove(&connection);
    }
}
