//! The journal service, which sends numbered changes of the list of media nodes as frames.

use crate::recorder::Recorder;
use crate::{node_name, now};
use serde_json::{Value, json};
use shalewall_audit::{Record, Timestamp};
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which a connection checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time without changes after which a heartbeat is sent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time within which a director has to detect a silent service, in microseconds. Changes that a silent connection
/// withholds count as notified after this time.
const SILENCE_DETECTION_US: i64 = 4_000_000;

/// The whole list after the change with a sequence number.
#[derive(Clone, Debug)]
pub struct HostList {
    /// Sequence number of the last change.
    pub position: u64,
    /// All entries.
    pub hosts: Vec<HostEntry>,
}

impl HostList {
    /// The list before any change.
    pub fn initial(hosts: &[HostEntry]) -> HostList {
        HostList {
            position: 1,
            hosts: hosts.to_vec(),
        }
    }
}

/// An entry of the list.
#[derive(Clone, Copy, Debug)]
pub struct HostEntry {
    /// Id of the node.
    pub node: u32,
    /// Port of the node.
    pub port: u16,
    /// 0: ready, 1: draining, 2: gone.
    pub state: u8,
    /// Cell of the node.
    pub cell: u16,
    /// Unix time in milliseconds of a start during the day, or 0.
    pub started: u64,
}

impl HostEntry {
    /// The entry in the binary form of a frame.
    fn encode(&self) -> Vec<u8> {
        let mut bytes = self.node.to_be_bytes().to_vec();
        bytes.extend([127, 0, 0, 1]);
        bytes.extend(self.port.to_be_bytes());
        bytes.extend([self.state, 0, 0]);
        bytes.extend(self.cell.to_be_bytes());
        bytes.extend(1000u32.to_be_bytes());
        bytes.extend(self.started.to_be_bytes());
        bytes
    }

    /// The entry in the JSON form of a director's configuration.
    pub fn json(&self) -> Value {
        let phase = ["ready", "draining", "gone"][usize::from(self.state.min(2))];
        json!({ "id": node_name(self.node), "host_port": format!("127.0.0.1:{}", self.port), "locality": "north",
            "flavor": "small", "cell": self.cell, "phase": phase, "size": 1, "up_since_ms": self.started })
    }
}

#[derive(Default)]
struct Inner {
    /// Changes after the first one, which is part of every director's configuration.
    changes: Mutex<Vec<HostEntry>>,
    is_down: AtomicBool,
    /// Connections with a lower number stay open and silent.
    first_unsilenced_connection: AtomicU64,
    /// When connections were last silenced, microseconds.
    silenced_at: AtomicI64,
    connections: AtomicU64,
    stopped: AtomicBool,
}

/// The service.
pub struct Journal {
    inner: Arc<Inner>,
    /// Port on which the service listens.
    pub port: u16,
    /// Another port of the same service, to which a new configuration may move a director.
    pub other_port: u16,
    recorder: Recorder,
    directors: u32,
}

impl Journal {
    /// Starts the service on a free port.
    pub fn start(recorder: Recorder, directors: u32) -> io::Result<Journal> {
        let inner = Arc::new(Inner::default());
        let port = listen(&inner)?;
        let other_port = listen(&inner)?;
        Ok(Journal {
            inner,
            port,
            other_port,
            recorder,
            directors,
        })
    }

    /// Publishes a change, and records it as notified to every director, connected or not. `node_started_us` is the
    /// start time of the node's process, if the change reports one.
    pub fn publish(&self, entry: HostEntry, node_started_us: Option<i64>) {
        self.publish_reachable(entry, node_started_us, 0);
    }

    /// Publishes a change that counts as notified at `notified_at` (microseconds) if the service can't be reached before.
    /// Returns the time at which it counts as notified.
    pub fn publish_reachable(
        &self,
        entry: HostEntry,
        node_started_us: Option<i64>,
        notified_at: i64,
    ) -> i64 {
        // A change on a silent connection counts as notified once the director has to have detected the silence.
        let detected_at = self.inner.silenced_at.load(Ordering::Relaxed) + SILENCE_DETECTION_US;
        let t = now().max(detected_at).max(notified_at);
        let standing = ["ready", "draining", "gone"][usize::from(entry.state.min(2))].to_string();
        for director in 0..self.directors {
            let (node, standing) = (entry.node.into(), standing.clone());
            self.recorder.record(Record::EndpointNotified {
                time: Timestamp::from_micros(t),
                director,
                node,
                standing,
                node_started: node_started_us.map(Timestamp::from_micros),
            });
        }
        self.inner
            .changes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(entry);
        t
    }

    /// Sequence number of the last change.
    pub fn position(&self) -> u64 {
        let changes = self.inner.changes.lock();
        changes.unwrap_or_else(PoisonError::into_inner).len() as u64 + 1
    }

    /// Silences the open connections without closing them. New connections work.
    pub fn silence(&self) {
        self.inner.silenced_at.store(now(), Ordering::Relaxed);
        self.inner.first_unsilenced_connection.store(
            self.inner.connections.load(Ordering::Relaxed),
            Ordering::Relaxed,
        );
    }

    /// Starts or ends an outage, in which the service closes all connections and accepts none.
    pub fn set_outage(&self, is_down: bool) {
        self.inner.is_down.store(is_down, Ordering::Relaxed);
    }
}

impl Drop for Journal {
    fn drop(&mut self) {
        self.inner.stopped.store(true, Ordering::Relaxed);
        for port in [self.port, self.other_port] {
            let _ = TcpStream::connect(("127.0.0.1", port));
        }
    }
}

/// Serves on a free port; returns the port.
fn listen(inner: &Arc<Inner>) -> io::Result<u16> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let port = listener.local_addr()?.port();
    let shared = inner.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if shared.stopped.load(Ordering::Relaxed) {
                return;
            }
            let shared = shared.clone();
            thread::spawn(move || serve(&shared, stream));
        }
    });
    Ok(port)
}

fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (9 + payload.len() as u32).to_be_bytes().to_vec();
    bytes.extend(number.to_be_bytes());
    bytes.push(kind);
    bytes.extend(payload);
    bytes
}

fn serve(inner: &Inner, mut stream: TcpStream) {
    let mut position = [0; 8];
    if inner.is_down.load(Ordering::Relaxed) || stream.read_exact(&mut position).is_err() {
        return;
    }
    let number = inner.connections.fetch_add(1, Ordering::Relaxed);
    let mut at = u64::from_be_bytes(position).max(1);
    let mut last_sent = Instant::now();
    while !inner.stopped.load(Ordering::Relaxed) && !inner.is_down.load(Ordering::Relaxed) {
        if number < inner.first_unsilenced_connection.load(Ordering::Relaxed) {
            thread::sleep(POLL_INTERVAL);
            continue;
        }
        let updates: Vec<HostEntry> = {
            let changes = inner.changes.lock().unwrap_or_else(PoisonError::into_inner);
            changes.iter().skip(at as usize - 1).copied().collect()
        };
        for entry in &updates {
            at += 1;
            last_sent = Instant::now();
            if stream.write_all(&frame(at, 2, &entry.encode())).is_err() {
                return;
            }
        }
        if last_sent.elapsed() >= HEARTBEAT_INTERVAL {
            last_sent = Instant::now();
            if stream.write_all(&frame(at, 0, &[])).is_err() {
                return;
            }
        }
        thread::sleep(POLL_INTERVAL);
    }
}
