//! Clients of one director in a soak: several connections at once, each with good requests and with bad manners.

use super::ledger::{Answer, ClosedBy, Ledger};
use crate::recorder::{Recorder, SessionEnd};
use crate::viewer::TITLE_COUNT;
use crate::{node_name, now};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use shalewall_audit::{Record, TimeDelta, Timestamp};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Time after which a client stops waiting for the end of a connection on which it sends no more.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause before a client connects again.
const RECONNECT_DELAY: Duration = Duration::from_millis(15);
/// Shortest time that a client waits for an answer.
const MIN_LEFT_MS: i64 = 5;

/// What a client does next on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Manner {
    Request,
    Burst,
    Pieces,
    WithdrawSoon,
    WithdrawElsewhere,
    EndSession,
    Rest,
    HalfClose,
    Close,
    Reset,
    BadLine,
}

/// Manners with their weights.
const MANNERS: [(Manner, u32); 11] = [
    (Manner::Request, 50),
    (Manner::Burst, 6),
    (Manner::Pieces, 10),
    (Manner::WithdrawSoon, 6),
    (Manner::WithdrawElsewhere, 4),
    (Manner::EndSession, 5),
    (Manner::Rest, 4),
    (Manner::HalfClose, 3),
    (Manner::Close, 3),
    (Manner::Reset, 3),
    (Manner::BadLine, 3),
];

const BAD_LINES: [&str; 4] = [
    "no message\n",
    "{\"verb\":\"START\",\"tag\":\"xyz\",\"opts\":{}}\n",
    "{\"verb\":\"STARTED\",\"tag\":\"0000000000000009\",\"opts\":{}}\n",
    "\n",
];

/// What all clients of one director share.
pub struct Clients {
    /// Number of the director.
    pub director: u32,
    /// Port of the director.
    pub port: u16,
    /// The longest time that a client waits for an answer, in milliseconds.
    pub longest_wait_ms: i64,
    /// Pause between two requests of a connection, in milliseconds.
    pub request_interval_ms: std::ops::Range<u64>,
    /// Whether new connections may be opened, as the platform's front does for directors that pass its tests.
    pub may_connect: AtomicBool,
    /// Whether no more requests are sent.
    pub stop: AtomicBool,
    /// Whether the connections are closed.
    pub close: AtomicBool,
    /// Incremented at each start of the director, to which its sessions are then handed over.
    pub incarnation: AtomicU64,
    handed_over: AtomicU64,
    last_tag: AtomicU64,
    /// Active sessions with their nodes' names.
    sessions: Mutex<BTreeMap<u64, String>>,
    ledger: Ledger,
    recorder: Recorder,
}

/// Class and title of a request, derived from its tag so that its session can be handed over.
fn class_and_title(tag: u64) -> (&'static str, u64) {
    let is_paid = tag.is_multiple_of(3);
    (
        if is_paid { "paid" } else { "free" },
        (tag >> 3) % TITLE_COUNT,
    )
}

fn start_line(tag: u64, left_ms: i64, more_extras: &str) -> String {
    let (class, title) = class_and_title(tag);
    let extras = format!(
        "home:{};copies:3;top:2;viewer:{tag:016x}{more_extras}",
        title % 6
    );
    let message = json!({ "verb": "START", "tag": format!("{tag:016x}"),
        "opts": { "class": class, "left": left_ms.to_string(), "key": format!("{title:016x}"),
            "hint": "1500.0", "extras": extras },
        "blob": format!("v-{tag:016x}\r\n") });
    format!("{message}\n")
}

fn finish_line(tag: u64) -> String {
    let message = json!({ "verb": "FINISH", "tag": format!("{tag:016x}"), "opts": {}, "rc": 16 });
    format!("{message}\n")
}

impl Clients {
    /// Creates the clients of a director that is running.
    pub fn new(
        director: u32,
        port: u16,
        longest_wait_ms: i64,
        request_interval_ms: std::ops::Range<u64>,
        ledger: Ledger,
        recorder: Recorder,
    ) -> Arc<Clients> {
        Arc::new(Clients {
            director,
            port,
            longest_wait_ms,
            request_interval_ms,
            may_connect: AtomicBool::new(true),
            stop: AtomicBool::new(false),
            close: AtomicBool::new(false),
            incarnation: AtomicU64::new(1),
            handed_over: AtomicU64::new(1),
            last_tag: AtomicU64::new(0),
            sessions: Mutex::default(),
            ledger,
            recorder,
        })
    }

    /// Starts one client, which keeps one connection open.
    pub fn start(self: &Arc<Clients>, seed: u64) -> JoinHandle<()> {
        let clients = self.clone();
        thread::spawn(move || {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            while !clients.is_closed() {
                if clients.may_connect.load(Ordering::Relaxed)
                    && let Some(connection) = Connection::open(&clients)
                {
                    connection.use_until_end(&mut rng);
                }
                thread::sleep(RECONNECT_DELAY);
            }
        })
    }

    /// Opens many connections at once, with a request on each, and waits for their answers.
    pub fn crowd(self: &Arc<Clients>, size: usize) {
        let connections: Vec<Connection> =
            (0..size).filter_map(|_| Connection::open(self)).collect();
        for connection in &connections {
            connection.request(self.longest_wait_ms);
        }
        let wait = Duration::from_millis(self.longest_wait_ms as u64) + CLOSE_TIMEOUT / 4;
        thread::sleep(wait);
        connections.into_iter().for_each(Connection::close);
    }

    fn is_closed(&self) -> bool {
        self.close.load(Ordering::Relaxed)
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    fn sessions(&self) -> MutexGuard<'_, BTreeMap<u64, String>> {
        self.sessions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_tag(&self) -> u64 {
        let count = self.last_tag.fetch_add(1, Ordering::Relaxed) + 1;
        (u64::from(self.director) << 48) | count
    }

    fn handle_line(&self, line: &str) {
        let Ok(message) = serde_json::from_str::<Value>(line) else {
            let violation = format!("a client received a malformed message: {line}");
            return self.recorder.report_violation(violation);
        };
        let tag = message["tag"].as_str();
        let tag = tag.and_then(|tag| u64::from_str_radix(tag, 16).ok());
        match (message["verb"].as_str(), tag) {
            (Some("STARTED"), Some(tag)) => self.handle_started(tag, &message),
            (Some("FINISH" | "MOVE"), Some(tag)) => self.handle_finish(tag, &message),
            _ => {}
        }
    }

    fn handle_started(&self, tag: u64, message: &Value) {
        let description = message["blob"].as_str().unwrap_or("");
        let is_first = self.ledger.receive(tag, Answer::Served);
        let mut recording = self.recorder.lock();
        let is_known = recording
            .descriptions
            .get(&tag)
            .is_some_and(|known| known.iter().any(|text| text == description));
        if !is_known {
            recording.violations.push(format!(
                "{tag:016x} was served with a description that no node made: {description:?}"
            ));
        }
        if is_first {
            recording.playing_since.entry(tag).or_insert_with(now);
            let node = description.get(..10).unwrap_or(&node_name(0)).to_string();
            self.sessions().insert(tag, node);
        }
        drop(recording);
        if is_first {
            self.record_answer(tag, 200);
        }
    }

    fn handle_finish(&self, tag: u64, message: &Value) {
        let is_answer = self.ledger.receive(tag, Answer::Ended);
        let was_active = self.sessions().remove(&tag).is_some();
        if is_answer {
            let is_rejected = matches!(message["rc"].as_i64(), Some(34 | 42 | 102));
            self.record_answer(tag, if is_rejected { 503 } else { 502 });
        } else if was_active {
            self.record_release(tag);
        }
    }

    /// Records that a session is over for its viewer.
    fn record_release(&self, tag: u64) {
        let mut recording = self.recorder.lock();
        recording.released.entry(tag).or_insert_with(now);
    }

    fn record_answer(&self, tag: u64, status: u16) {
        self.recorder.record(Record::RequestAnswered {
            time: Timestamp::from_micros(now()),
            request: tag,
            status,
            session: Some(tag),
        });
    }
}

/// One connection, with a thread that reads it.
struct Connection {
    clients: Arc<Clients>,
    id: u64,
    stream: TcpStream,
    is_open: Arc<AtomicBool>,
    reader: JoinHandle<()>,
}

impl Connection {
    fn open(clients: &Arc<Clients>) -> Option<Connection> {
        let stream = TcpStream::connect(("127.0.0.1", clients.port)).ok()?;
        let _ = stream.set_nodelay(true);
        let reading = stream.try_clone().ok()?;
        let id = clients.ledger.open_connection();
        let is_open = Arc::new(AtomicBool::new(true));
        let (shared, open_flag) = (clients.clone(), is_open.clone());
        let reader = thread::spawn(move || {
            for line in BufReader::new(reading).lines().map_while(Result::ok) {
                shared.handle_line(&line);
            }
            shared.ledger.close_connection(id, ClosedBy::Director);
            open_flag.store(false, Ordering::Relaxed);
        });
        let connection = Connection {
            clients: clients.clone(),
            id,
            stream,
            is_open,
            reader,
        };
        connection.hand_over_sessions();
        Some(connection)
    }

    /// Hands the active sessions over to a director that was restarted.
    fn hand_over_sessions(&self) {
        let incarnation = self.clients.incarnation.load(Ordering::Relaxed);
        if self
            .clients
            .handed_over
            .swap(incarnation, Ordering::Relaxed)
            == incarnation
        {
            return;
        }
        let sessions = self.clients.sessions().clone();
        for (tag, node) in sessions {
            self.write(&start_line(tag, 0, &format!(";at:{node}")));
        }
    }

    fn use_until_end(self, rng: &mut ChaCha8Rng) {
        while self.is_open.load(Ordering::Relaxed) && !self.clients.is_stopped() {
            let pause = rng.random_range(self.clients.request_interval_ms.clone());
            thread::sleep(Duration::from_millis(pause));
            let left_ms = self.draw_left(rng);
            match draw_manner(rng) {
                Manner::Request => drop(self.request(left_ms)),
                Manner::Burst => self.burst(rng, left_ms),
                Manner::Pieces => self.request_in_pieces(rng, left_ms),
                Manner::WithdrawSoon => self.withdraw_soon(rng, left_ms, false),
                Manner::WithdrawElsewhere => self.withdraw_soon(rng, left_ms, true),
                Manner::EndSession => self.end_session(),
                Manner::Rest => {
                    thread::sleep(Duration::from_millis(rng.random_range(300..1_500)));
                }
                Manner::HalfClose => {
                    self.request(left_ms);
                    thread::sleep(Duration::from_millis(rng.random_range(0..5)));
                    return self.half_close();
                }
                Manner::Close => {
                    self.request(left_ms);
                    thread::sleep(Duration::from_millis(rng.random_range(0..20)));
                    return self.close();
                }
                Manner::Reset => {
                    self.request(left_ms);
                    let linger = Some(Duration::ZERO);
                    let _ = rustix::net::sockopt::set_socket_linger(&self.stream, linger);
                    return self.close();
                }
                Manner::BadLine => {
                    self.request(left_ms);
                    self.write(BAD_LINES[rng.random_range(0..BAD_LINES.len())]);
                    return self.wait_for_close();
                }
            }
        }
        while self.is_open.load(Ordering::Relaxed) && !self.clients.is_closed() {
            thread::sleep(RECONNECT_DELAY);
        }
        self.close();
    }

    /// The time that a client waits: usually the longest, sometimes very little.
    fn draw_left(&self, rng: &mut ChaCha8Rng) -> i64 {
        let longest = self.clients.longest_wait_ms;
        if rng.random_range(0..5) == 0 {
            rng.random_range(MIN_LEFT_MS..longest)
        } else {
            longest
        }
    }

    // ---- requests ----------------------------------------------------------------------------

    /// Sends a request; returns its tag, or `None` if it was not written completely.
    fn request(&self, left_ms: i64) -> Option<u64> {
        self.request_with(left_ms, |line| self.write(line))
    }

    fn request_with(&self, left_ms: i64, write: impl FnOnce(&str) -> bool) -> Option<u64> {
        let tag = self.clients.next_tag();
        let line = start_line(tag, left_ms, "");
        let sent_at = self
            .clients
            .ledger
            .send(tag, self.clients.director, self.id, left_ms);
        if !write(&line) {
            self.clients.ledger.forget(tag);
            return None;
        }
        self.record_request(tag, sent_at, left_ms);
        Some(tag)
    }

    fn record_request(&self, tag: u64, sent_at: i64, left_ms: i64) {
        let (class, title) = class_and_title(tag);
        self.clients.recorder.record(Record::RequestSent {
            time: Timestamp::from_micros(sent_at),
            director: self.clients.director,
            request: tag,
            key: format!("{tag:016x}"),
            tenant: None,
            class: class.to_string(),
            title: title.to_string(),
            timeout: TimeDelta::from_millis(left_ms),
        });
    }

    fn burst(&self, rng: &mut ChaCha8Rng, left_ms: i64) {
        for _ in 0..rng.random_range(3..12) {
            self.request(left_ms);
        }
    }

    /// Writes a request in pieces. Its time counts from the last one.
    fn request_in_pieces(&self, rng: &mut ChaCha8Rng, left_ms: i64) {
        let tag = self.clients.next_tag();
        let line = start_line(tag, left_ms, "");
        let (start, end) = line.split_at(rng.random_range(1..line.len()));
        if !self.write(start) {
            return;
        }
        thread::sleep(Duration::from_millis(rng.random_range(1..60)));
        let sent_at = self
            .clients
            .ledger
            .send(tag, self.clients.director, self.id, left_ms);
        if self.write(end) {
            self.record_request(tag, sent_at, left_ms);
        } else {
            self.clients.ledger.forget(tag);
        }
    }

    fn withdraw_soon(&self, rng: &mut ChaCha8Rng, left_ms: i64, elsewhere: bool) {
        let Some(tag) = self.request(left_ms) else {
            return;
        };
        thread::sleep(Duration::from_millis(rng.random_range(0..30)));
        let is_written = if elsewhere {
            let other = TcpStream::connect(("127.0.0.1", self.clients.port));
            other.is_ok_and(|mut other| other.write_all(finish_line(tag).as_bytes()).is_ok())
        } else {
            self.write(&finish_line(tag))
        };
        if !is_written {
            return;
        }
        if self.clients.ledger.withdraw(tag) {
            self.clients.recorder.record(Record::RequestCancelled {
                time: Timestamp::from_micros(now()),
                request: tag,
            });
        }
        self.clients.end_withdrawn_session(tag);
    }

    fn end_session(&self) {
        let ended = self.clients.sessions().pop_first();
        if let Some((tag, _)) = ended {
            self.clients.ledger.end_session(tag);
            self.clients.record_release(tag);
            self.clients
                .recorder
                .session_ended(tag, SessionEnd::Requested);
            self.write(&finish_line(tag));
        }
    }

    fn write(&self, text: &str) -> bool {
        (&self.stream).write_all(text.as_bytes()).is_ok()
    }

    // ---- the end -----------------------------------------------------------------------------

    /// Closes the write half and reads on until the director closes.
    fn half_close(self) {
        let _ = self.stream.shutdown(Shutdown::Write);
        self.wait_for_close();
    }

    fn wait_for_close(self) {
        let _ = self.stream.set_read_timeout(Some(CLOSE_TIMEOUT));
        let _ = self.reader.join();
    }

    /// Closes the connection, which withdraws its requests.
    fn close(self) {
        self.clients
            .ledger
            .close_connection(self.id, ClosedBy::Client);
        drop(self.stream.shutdown(Shutdown::Both));
        let _ = self.reader.join();
    }
}

impl Clients {
    /// A session that was answered before its withdrawal arrived is ended by the withdrawal.
    fn end_withdrawn_session(&self, tag: u64) {
        if self.sessions().remove(&tag).is_some() {
            self.ledger.end_session(tag);
            self.recorder.session_ended(tag, SessionEnd::Requested);
        }
    }
}

fn draw_manner(rng: &mut ChaCha8Rng) -> Manner {
    let total = MANNERS.iter().map(|(_, weight)| weight).sum();
    let mut draw = rng.random_range(0..total);
    for (manner, weight) in MANNERS {
        if draw < weight {
            return manner;
        }
        draw -= weight;
    }
    Manner::Request
}
