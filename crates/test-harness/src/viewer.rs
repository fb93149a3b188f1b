//! Emulated viewers of one director: they send requests, receive responses and releases, and report their sessions to a
//! restarted director.

use crate::recorder::{Recorder, SessionEnd};
use crate::{node_name, now};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use shalewall_audit::{Record, TimeDelta, Timestamp};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Time that a viewer waits for a response.
pub const REQUEST_TIMEOUT_MS: i64 = 1_200;
/// Interval between requests.
const REQUEST_INTERVAL_MS: std::ops::Range<u64> = 40..160;
/// Number of titles that viewers request.
pub const TITLE_COUNT: u64 = 40;

#[derive(Default)]
struct Inner {
    /// Requests without a response, with their time in microseconds.
    pending: BTreeMap<u64, i64>,
    /// Active sessions, with the names of their nodes.
    sessions: BTreeMap<u64, String>,
}

/// All viewers of a director, on one connection at a time.
pub struct Viewers {
    stop: Arc<AtomicBool>,
    /// Whether no new requests are sent, because the director is out of rotation.
    pub paused: Arc<AtomicBool>,
    /// Number of requests so far.
    pub request_count: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

fn lock(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

fn message_line(verb: &str, tag: u64, opts: Value, blob: Option<String>) -> String {
    let mut line = json!({ "verb": verb, "tag": format!("{tag:016x}"), "opts": opts });
    if let Some(blob) = blob {
        line["blob"] = blob.into();
    }
    format!("{line}\n")
}

fn start_message(tag: u64, class: &str, timeout_ms: i64, title: u64, more_extras: &str) -> String {
    let extras = format!(
        "home:{};copies:3;top:2;viewer:{tag:016x}{more_extras}",
        title % 6
    );
    let opts = json!({ "class": class, "left": timeout_ms.to_string(), "key": format!("{title:016x}"),
        "hint": "1500.0", "extras": extras });
    message_line("START", tag, opts, Some(format!("v-{tag:016x}\r\n")))
}

/// Class and title of a request, derived from its tag so that the session can be reported again after a restart.
fn class_and_title(tag: u64) -> (&'static str, u64) {
    (
        if tag.is_multiple_of(3) {
            "paid"
        } else {
            "free"
        },
        (tag >> 3) % TITLE_COUNT,
    )
}

impl Viewers {
    /// Starts the viewers of a director, which connect to `port`.
    pub fn start(director: u32, port: u16, seed: u64, recorder: Recorder) -> Viewers {
        let inner = Arc::new(Mutex::new(Inner::default()));
        let (stop, paused) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicBool::new(false)),
        );
        let request_count = Arc::new(AtomicU64::new(0));
        let shared = (inner, stop.clone(), paused.clone(), request_count.clone());
        let thread = thread::spawn(move || {
            let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (u64::from(director) << 32));
            let (inner, stop, paused, request_count) = shared;
            while !stop.load(Ordering::Relaxed) {
                let Ok(stream) = TcpStream::connect(("127.0.0.1", port)) else {
                    thread::sleep(Duration::from_millis(50));
                    continue;
                };
                let _ = stream.set_nodelay(true);
                let Ok(reader) = stream.try_clone() else {
                    return;
                };
                let alive = Arc::new(AtomicBool::new(true));
                let (reader_inner, reader_alive, reader_recorder) =
                    (inner.clone(), alive.clone(), recorder.clone());
                let reader_thread = thread::spawn(move || {
                    read_responses(reader, &reader_inner, &reader_recorder, &reader_alive)
                });
                send_requests(
                    director,
                    stream,
                    &inner,
                    &recorder,
                    &mut rng,
                    (&stop, &paused, &alive, &request_count),
                );
                let _ = reader_thread.join();
                for (request, _) in std::mem::take(&mut lock(&inner).pending) {
                    recorder.record(Record::RequestUnanswered {
                        time: Timestamp::from_micros(now()),
                        request,
                    });
                }
            }
        });
        Viewers {
            stop,
            paused,
            request_count,
            thread: Some(thread),
        }
    }

    /// Stops the viewers and waits for their thread.
    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.take().into_iter().for_each(|t| drop(t.join()));
    }
}

/// Reports the active sessions, then sends requests until the connection closes or the viewers are stopped.
fn send_requests(
    director: u32,
    mut stream: TcpStream,
    inner: &Mutex<Inner>,
    recorder: &Recorder,
    rng: &mut ChaCha8Rng,
    (stop, paused, alive, request_count): (&AtomicBool, &AtomicBool, &AtomicBool, &AtomicU64),
) {
    let sessions = lock(inner).sessions.clone();
    for (tag, node) in sessions {
        let (class, title) = class_and_title(tag);
        let _ = stream
            .write_all(start_message(tag, class, 0, title, &format!(";at:{node}")).as_bytes());
    }
    while alive.load(Ordering::Relaxed) && !stop.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(rng.random_range(REQUEST_INTERVAL_MS)));
        if paused.load(Ordering::Relaxed) || !alive.load(Ordering::Relaxed) {
            continue;
        }
        let tag = (u64::from(director) << 48) | (request_count.fetch_add(1, Ordering::Relaxed) + 1);
        let (class, title) = class_and_title(tag);
        let (t, timeout_us) = (now(), REQUEST_TIMEOUT_MS * 1000);
        lock(inner).pending.insert(tag, t);
        if stream
            .write_all(start_message(tag, class, REQUEST_TIMEOUT_MS, title, "").as_bytes())
            .is_err()
        {
            lock(inner).pending.remove(&tag); // the request was not sent completely
            break;
        }
        let (class, title, key) = (class.to_string(), title.to_string(), format!("{tag:016x}"));
        recorder.record(Record::RequestSent {
            time: Timestamp::from_micros(t),
            director,
            request: tag,
            key,
            tenant: None,
            class,
            title,
            timeout: TimeDelta::from_micros(timeout_us),
        });
        // One in ten viewers cancels its request, at once or after a while.
        if rng.random_range(0..10) == 0 {
            thread::sleep(Duration::from_millis(rng.random_range(0..30)));
            if lock(inner).pending.remove(&tag).is_some() {
                let cancellation =
                    json!({ "verb": "FINISH", "tag": format!("{tag:016x}"), "opts": {}, "rc": 16 });
                let sent = stream.write_all(format!("{cancellation}\n").as_bytes());
                recorder.record(Record::RequestCancelled {
                    time: Timestamp::from_micros(now()),
                    request: tag,
                });
                recorder.lock().cancelled.insert(tag, now());
                if sent.is_err() {
                    break;
                }
            }
        }
        // With a probability of 1 in 20 a viewer ends a session.
        let ends_session = rng.random_range(0..20) == 0;
        let ended_session = if ends_session {
            lock(inner).sessions.pop_first()
        } else {
            None
        };
        if let Some((tag, _)) = ended_session {
            recorder.session_ended(tag, SessionEnd::Requested);
            let _ = stream.write_all(message_line("FINISH", tag, json!({}), None).as_bytes());
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Write);
}

fn read_responses(
    stream: TcpStream,
    inner: &Mutex<Inner>,
    recorder: &Recorder,
    alive: &AtomicBool,
) {
    for line in BufReader::new(stream).lines() {
        let Ok(line) = line else { break };
        let Ok(message) = serde_json::from_str::<Value>(&line) else {
            recorder.report_violation(format!("a viewer received a malformed message: {line}"));
            break;
        };
        let tag = message["tag"]
            .as_str()
            .and_then(|t| u64::from_str_radix(t, 16).ok())
            .unwrap_or(0);
        handle_message(tag, &message, inner, recorder);
    }
    alive.store(false, Ordering::Relaxed);
}

fn handle_message(tag: u64, message: &Value, inner: &Mutex<Inner>, recorder: &Recorder) {
    let t = now();
    let mut inner = lock(inner);
    let is_pending = inner.pending.remove(&tag).is_some();
    match message["verb"].as_str().unwrap_or("") {
        // The response crossed the viewer's cancellation, which ends the session.
        "STARTED" if !is_pending && recorder.lock().cancelled.contains_key(&tag) => {
            recorder.session_ended(tag, SessionEnd::Requested)
        }
        "STARTED" => {
            recorder.record(Record::RequestAnswered {
                time: Timestamp::from_micros(t),
                request: tag,
                status: 200,
                session: Some(tag),
            });
            let blob = message["blob"].as_str().unwrap_or("");
            let is_known = recorder
                .lock()
                .descriptions
                .get(&tag)
                .is_some_and(|descriptions| descriptions.iter().any(|m| m == blob));
            if !is_known {
                recorder.report_violation(format!(
                    "{tag:016x} was served with a description that no node created for it: {blob:?}"
                ));
            }
            recorder.lock().playing_since.entry(tag).or_insert(t);
            // The description starts with the node's name.
            inner
                .sessions
                .insert(tag, blob.get(..10).unwrap_or(&node_name(0)).to_string());
        }
        "FINISH" if is_pending => {
            let status = if matches!(message["rc"].as_i64(), Some(34 | 42 | 102)) {
                503
            } else {
                502
            };
            recorder.record(Record::RequestAnswered {
                time: Timestamp::from_micros(t),
                request: tag,
                status,
                session: Some(tag),
            });
        }
        "FINISH" => {
            inner.sessions.remove(&tag);
            recorder.lock().released.entry(tag).or_insert(t);
        }
        _ => {}
    }
}
