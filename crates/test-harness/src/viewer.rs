//! The viewers of one director: they ask, hear answers and releases, and hand over what they have after a restart.

use crate::recorder::{End, Recorder};
use crate::{name, now};
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

/// How long a viewer waits, in milliseconds.
pub const LEFT: i64 = 1_200;
/// Pauses between requests, in milliseconds.
const GAP: std::ops::Range<u64> = 40..160;
pub const TITLES: u64 = 40;

#[derive(Default)]
struct Inner {
    /// Requests without an answer.
    open: BTreeMap<u64, i64>,
    /// Sessions that stand, and their nodes.
    standing: BTreeMap<u64, String>,
}

/// All viewers of a director, on one connection at a time.
pub struct Viewers {
    stop: Arc<AtomicBool>,
    /// No new requests meanwhile: the front has taken the director out.
    pub paused: Arc<AtomicBool>,
    pub request_count: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

fn open(inner: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    inner.lock().unwrap_or_else(PoisonError::into_inner)
}

fn line(verb: &str, tag: u64, opts: Value, blob: Option<String>) -> String {
    let mut line = json!({ "verb": verb, "tag": format!("{tag:016x}"), "opts": opts });
    if let Some(blob) = blob {
        line["blob"] = blob.into();
    }
    format!("{line}\n")
}

fn start(tag: u64, class: &str, left: i64, title: u64, more: &str) -> String {
    let extras = format!("home:{};copies:3;top:2;viewer:{tag:016x}{more}", title % 6);
    let opts = json!({ "class": class, "left": left.to_string(), "key": format!("{title:016x}"),
        "hint": "1500.0", "extras": extras });
    line("START", tag, opts, Some(format!("v-{tag:016x}\r\n")))
}

/// Class and title of a request follow from its tag, so that it can be told anew.
fn asks_for(tag: u64) -> (&'static str, u64) {
    (
        if tag.is_multiple_of(3) {
            "paid"
        } else {
            "free"
        },
        (tag >> 3) % TITLES,
    )
}

impl Viewers {
    pub fn start(director: u32, port: u16, seed: u64, recorder: Recorder) -> Viewers {
        let inner = Arc::new(Mutex::new(Inner::default()));
        let (stop, paused) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicBool::new(false)),
        );
        let request_count = Arc::new(AtomicU64::new(0));
        let own = (inner, stop.clone(), paused.clone(), request_count.clone());
        let thread = thread::spawn(move || {
            let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (u64::from(director) << 32));
            let (inner, stop, paused, request_count) = own;
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
                let (heard, up, seen) = (inner.clone(), alive.clone(), recorder.clone());
                let listens = thread::spawn(move || listen(reader, &heard, &seen, &up));
                converse(
                    director,
                    stream,
                    &inner,
                    &recorder,
                    &mut rng,
                    (&stop, &paused, &alive, &request_count),
                );
                let _ = listens.join();
                for (ask, _) in std::mem::take(&mut open(&inner).open) {
                    recorder.note(Record::RequestUnanswered {
                        time: Timestamp::from_micros(now()),
                        request: ask,
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

    pub fn end(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.take().into_iter().for_each(|t| drop(t.join()));
    }
}

/// Says what stands, then asks until the connection ends or is to end.
fn converse(
    director: u32,
    mut stream: TcpStream,
    inner: &Mutex<Inner>,
    recorder: &Recorder,
    rng: &mut ChaCha8Rng,
    (stop, paused, alive, request_count): (&AtomicBool, &AtomicBool, &AtomicBool, &AtomicU64),
) {
    let stood = open(inner).standing.clone();
    for (tag, node) in stood {
        let (class, title) = asks_for(tag);
        let _ = stream.write_all(start(tag, class, 0, title, &format!(";at:{node}")).as_bytes());
    }
    while alive.load(Ordering::Relaxed) && !stop.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(rng.random_range(GAP)));
        if paused.load(Ordering::Relaxed) || !alive.load(Ordering::Relaxed) {
            continue;
        }
        let tag = (u64::from(director) << 48) | (request_count.fetch_add(1, Ordering::Relaxed) + 1);
        let (class, title) = asks_for(tag);
        let (t, wait) = (now(), LEFT * 1000);
        open(inner).open.insert(tag, t);
        if stream
            .write_all(start(tag, class, LEFT, title, "").as_bytes())
            .is_err()
        {
            open(inner).open.remove(&tag); // it never came whole
            break;
        }
        let (class, title, key) = (class.to_string(), title.to_string(), format!("{tag:016x}"));
        recorder.note(Record::RequestSent {
            time: Timestamp::from_micros(t),
            director,
            request: tag,
            key,
            tenant: None,
            class,
            title,
            timeout: TimeDelta::from_micros(wait),
        });
        // Now and then one waits no longer, at once or after a while.
        if rng.random_range(0..10) == 0 {
            thread::sleep(Duration::from_millis(rng.random_range(0..30)));
            if open(inner).open.remove(&tag).is_some() {
                let given_up =
                    json!({ "verb": "FINISH", "tag": format!("{tag:016x}"), "opts": {}, "rc": 16 });
                let said = stream.write_all(format!("{given_up}\n").as_bytes());
                recorder.note(Record::RequestCancelled {
                    time: Timestamp::from_micros(now()),
                    request: tag,
                });
                recorder.open().left.insert(tag, now());
                if said.is_err() {
                    break;
                }
            }
        }
        // Now and then a viewer has seen enough.
        let leaves = rng.random_range(0..20) == 0;
        let left = if leaves {
            open(inner).standing.pop_first()
        } else {
            None
        };
        if let Some((tag, _)) = left {
            recorder.ended(tag, End::Own);
            let _ = stream.write_all(line("FINISH", tag, json!({}), None).as_bytes());
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Write);
}

fn listen(stream: TcpStream, inner: &Mutex<Inner>, recorder: &Recorder, alive: &AtomicBool) {
    for said in BufReader::new(stream).lines() {
        let Ok(said) = said else { break };
        let Ok(message) = serde_json::from_str::<Value>(&said) else {
            recorder.report_violation(format!("a viewer was told what can't be read: {said}"));
            break;
        };
        let tag = message["tag"]
            .as_str()
            .and_then(|t| u64::from_str_radix(t, 16).ok())
            .unwrap_or(0);
        heard(tag, &message, inner, recorder);
    }
    alive.store(false, Ordering::Relaxed);
}

fn heard(tag: u64, message: &Value, inner: &Mutex<Inner>, recorder: &Recorder) {
    let t = now();
    let mut inner = open(inner);
    let waits = inner.open.remove(&tag).is_some();
    match message["verb"].as_str().unwrap_or("") {
        // It crossed the word that its viewer waits no more: the session ends by that.
        "STARTED" if !waits && recorder.open().left.contains_key(&tag) => {
            recorder.ended(tag, End::Own)
        }
        "STARTED" => {
            recorder.note(Record::RequestAnswered {
                time: Timestamp::from_micros(t),
                request: tag,
                status: 200,
                session: Some(tag),
            });
            let blob = message["blob"].as_str().unwrap_or("");
            let made = recorder
                .open()
                .made
                .get(&tag)
                .is_some_and(|made| made.iter().any(|m| m == blob));
            if !made {
                recorder.report_violation(format!(
                    "{tag:016x} was served with what no node made for it: {blob:?}"
                ));
            }
            recorder.open().stood.entry(tag).or_insert(t);
            // The node's name begins the description.
            inner
                .standing
                .insert(tag, blob.get(..10).unwrap_or(&name(0)).to_string());
        }
        "FINISH" if waits => {
            let status = if matches!(message["rc"].as_i64(), Some(34 | 42 | 102)) {
                503
            } else {
                502
            };
            recorder.note(Record::RequestAnswered {
                time: Timestamp::from_micros(t),
                request: tag,
                status,
                session: Some(tag),
            });
        }
        "FINISH" => {
            inner.standing.remove(&tag);
            recorder.open().released.entry(tag).or_insert(t);
        }
        _ => {}
    }
}
