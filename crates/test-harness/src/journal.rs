//! The journal service: numbered changes to the list of media nodes, in frames.

use crate::recorder::Recorder;
use crate::{name, now};
use serde_json::{Value, json};
use shalewall_audit::{Record, Timestamp};
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Looks for news so often, and says that there is none each second.
const LOOK: Duration = Duration::from_millis(5);
const QUIET: Duration = Duration::from_secs(1);
/// What a service that fell silent would have told counts as told so long after that, in microseconds.
const NOTICED: i64 = 4_000_000;

/// One line of the list.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    pub node: u32,
    pub port: u16,
    /// 0 ready, 1 draining, 2 gone.
    pub state: u8,
    pub cell: u16,
    /// Unix milliseconds of a late start, or 0.
    pub started: u64,
}

impl Line {
    fn bytes(&self) -> Vec<u8> {
        let mut b = self.node.to_be_bytes().to_vec();
        b.extend([127, 0, 0, 1]);
        b.extend(self.port.to_be_bytes());
        b.extend([self.state, 0, 0]);
        b.extend(self.cell.to_be_bytes());
        b.extend(1000u32.to_be_bytes());
        b.extend(self.started.to_be_bytes());
        b
    }

    pub fn json(&self) -> Value {
        let phase = ["ready", "draining", "gone"][usize::from(self.state.min(2))];
        json!({ "id": name(self.node), "host_port": format!("127.0.0.1:{}", self.port), "locality": "north",
            "flavor": "small", "cell": self.cell, "phase": phase, "size": 1, "up_since_ms": self.started })
    }
}

#[derive(Default)]
struct Inner {
    /// Changes after the first event, which is in every configuration.
    changes: Mutex<Vec<Line>>,
    away: AtomicBool,
    /// Connections before this one are open and silent, for good; since when.
    hushed: AtomicU64,
    since: AtomicI64,
    connections: AtomicU64,
    over: AtomicBool,
}

/// The service, and its address.
pub struct Journal {
    inner: Arc<Inner>,
    pub port: u16,
    recorder: Recorder,
    directors: u32,
}

impl Journal {
    pub fn start(recorder: Recorder, directors: u32) -> io::Result<Journal> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let port = listener.local_addr()?.port();
        let inner = Arc::new(Inner::default());
        let own = inner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if own.over.load(Ordering::Relaxed) {
                    return;
                }
                let own = own.clone();
                thread::spawn(move || serve(&own, stream));
            }
        });
        Ok(Journal {
            inner,
            port,
            recorder,
            directors,
        })
    }

    /// A change: told to every director from now on, connected or not.
    ///
    /// `came_up`: the start that it tells of, in microseconds.
    pub fn tell(&self, line: Line, came_up: Option<i64>) {
        // What silent connections do not tell counts as told in the time in which a director has to notice.
        let noticed = self.inner.since.load(Ordering::Relaxed) + NOTICED;
        let t = now().max(noticed);
        let standing = ["ready", "draining", "gone"][usize::from(line.state.min(2))].to_string();
        for director in 0..self.directors {
            let (node, standing) = (line.node.into(), standing.clone());
            self.recorder.note(Record::EndpointNotified {
                time: Timestamp::from_micros(t),
                director,
                node,
                standing,
                node_started: came_up.map(Timestamp::from_micros),
            });
        }
        self.inner
            .changes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(line);
    }

    /// Connections that are open fall silent and stay open; new ones are told all.
    pub fn hush(&self) {
        self.inner.since.store(now(), Ordering::Relaxed);
        self.inner.hushed.store(
            self.inner.connections.load(Ordering::Relaxed),
            Ordering::Relaxed,
        );
    }

    /// Breaks every connection and takes no new one, until it is back.
    pub fn away(&self, away: bool) {
        self.inner.away.store(away, Ordering::Relaxed);
    }
}

impl Drop for Journal {
    fn drop(&mut self) {
        self.inner.over.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(("127.0.0.1", self.port));
    }
}

fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut b = (9 + payload.len() as u32).to_be_bytes().to_vec();
    b.extend(number.to_be_bytes());
    b.push(kind);
    b.extend(payload);
    b
}

fn serve(inner: &Inner, mut stream: TcpStream) {
    let mut position = [0; 8];
    if inner.away.load(Ordering::Relaxed) || stream.read_exact(&mut position).is_err() {
        return;
    }
    let number = inner.connections.fetch_add(1, Ordering::Relaxed);
    let mut at = u64::from_be_bytes(position).max(1);
    let mut said = Instant::now();
    while !inner.over.load(Ordering::Relaxed) && !inner.away.load(Ordering::Relaxed) {
        if number < inner.hushed.load(Ordering::Relaxed) {
            thread::sleep(LOOK);
            continue;
        }
        let news: Vec<Line> = {
            let changes = inner.changes.lock().unwrap_or_else(PoisonError::into_inner);
            changes.iter().skip(at as usize - 1).copied().collect()
        };
        for line in &news {
            at += 1;
            said = Instant::now();
            if stream.write_all(&frame(at, 2, &line.bytes())).is_err() {
                return;
            }
        }
        if said.elapsed() >= QUIET {
            said = Instant::now();
            if stream.write_all(&frame(at, 0, &[])).is_err() {
                return;
            }
        }
        thread::sleep(LOOK);
    }
}
