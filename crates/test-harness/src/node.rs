//! A media node: takes set-ups, lets sessions stand and end, says its releases, and can be made to fail.

use crate::recorder::{End, Recorder};
use crate::rtsp::{self, Message};
use crate::{name, now};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalewall_audit::{Record, SetUpOutcome, Timestamp};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Due work is looked at so often.
const TICK: Duration = Duration::from_millis(2);
/// An answer takes up to so long, a session lasts so long, in microseconds.
const ANSWER: std::ops::Range<i64> = 2_000..30_000;
const LASTS: std::ops::Range<i64> = 300_000..3_000_000;
/// Notes on each session come so often.
const NOTES: i64 = 1_000_000;
pub const PLACES: f64 = 60.0;

/// How a node behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NodeBehavior {
    #[default]
    Healthy,
    /// Answers every second set-up with an error.
    FailsSetUps,
    /// Turns everything away.
    RejectsAll,
    /// Hears and says nothing, its connections open.
    Unresponsive,
    /// Every third answer can't be read.
    SendsMalformed,
    /// Resets every second connection on which a set-up comes.
    ResetsConnections,
}

struct EndpointState {
    conn: u64,
    attempt: u32,
    until: i64,
    noted: i64,
}

#[derive(Default)]
struct Inner {
    behavior: NodeBehavior,
    /// Set-ups so far, for what happens to every second or third.
    count: u64,
    next: u64,
    conns: BTreeMap<u64, TcpStream>,
    /// Set-ups that are out: their connection, attempt, and when they are answered.
    out: BTreeMap<u64, (u64, u32, i64)>,
    standing: BTreeMap<u64, EndpointState>,
    /// Releases of the last seconds, said again on the next connection.
    said: Vec<(i64, u64, i64)>,
    /// The process lives; another start is another number.
    life: u64,
}

/// The node; its process can die and start again at the same address.
pub struct Node {
    pub id: u32,
    pub port: u16,
    recorder: Recorder,
    rng: Mutex<ChaCha8Rng>,
    inner: Mutex<Inner>,
}

impl Node {
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
        node.live(true)?;
        Ok(node)
    }

    fn open(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn set_behavior(&self, behavior: NodeBehavior) {
        self.open().behavior = behavior;
    }

    fn draw(&self, range: std::ops::Range<i64>) -> i64 {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        let rng: &mut dyn Rng = &mut *rng;
        rng.random_range(range)
    }

    /// Its process starts; when.
    pub fn live(self: &Arc<Node>, warm: bool) -> io::Result<i64> {
        let listener = TcpListener::bind(("127.0.0.1", self.port))?;
        listener.set_nonblocking(true)?;
        let (t, node) = (now(), self.id.into());
        self.recorder.note(Record::NodeStarted {
            time: Timestamp::from_micros(t),
            node,
            places: PLACES,
            warm,
            cell: None,
        });
        let life = {
            let mut inner = self.open();
            inner.life += 1;
            inner.life
        };
        let own = self.clone();
        thread::spawn(move || own.run(&listener, life));
        Ok(t)
    }

    /// Its process dies: what stood there is over, its connections are cut.
    pub fn die(&self) {
        let mut inner = self.open();
        inner.life += 1;
        let t = now();
        for conn in std::mem::take(&mut inner.conns).into_values() {
            let _ = conn.shutdown(Shutdown::Both);
        }
        for (session, (_, attempt, _)) in std::mem::take(&mut inner.out) {
            self.done(session, attempt, SetUpOutcome::Abandoned);
        }
        for (session, s) in std::mem::take(&mut inner.standing) {
            self.recorder.note(Record::SessionEnded {
                time: Timestamp::from_micros(t),
                node: self.id.into(),
                session,
                attempt: s.attempt,
            });
            self.recorder.ended(session, End::Untold);
        }
        inner.said.clear();
        self.recorder.note(Record::NodeStopped {
            time: Timestamp::from_micros(t),
            node: self.id.into(),
            overloaded: false,
        });
    }

    fn done(&self, session: u64, attempt: u32, ran: SetUpOutcome) {
        self.recorder.note(Record::SetUpFinished {
            time: Timestamp::from_micros(now()),
            node: self.id.into(),
            session,
            attempt,
            outcome: ran,
        });
    }

    fn run(self: Arc<Node>, listener: &TcpListener, life: u64) {
        while self.open().life == life {
            while let Ok((stream, _)) = listener.accept() {
                let own = self.clone();
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let Ok(writer) = stream.try_clone() else {
                    continue;
                };
                let id = {
                    let mut inner = self.open();
                    inner.next += 1;
                    let id = inner.next;
                    inner.conns.insert(id, writer);
                    // What was released of late is said again: its first connection may be gone.
                    let t = now();
                    inner.said.retain(|(at, ..)| t - at < 5_000_000);
                    let again: Vec<_> = inner
                        .said
                        .iter()
                        .map(|(_, tag, cause)| (*tag, *cause))
                        .collect();
                    let mute = inner.behavior == NodeBehavior::Unresponsive;
                    again
                        .into_iter()
                        .filter(|_| !mute)
                        .for_each(|(tag, cause)| {
                            say(&mut inner, id, &rtsp::release(tag, cause));
                        });
                    id
                };
                thread::spawn(move || own.hear(stream, id, life));
            }
            self.tick();
            thread::sleep(TICK);
        }
    }

    /// Answers and releases that are due.
    fn tick(&self) {
        let t = now();
        let mut inner = self.open();
        if inner.behavior == NodeBehavior::Unresponsive {
            return;
        }
        let due: Vec<_> = inner
            .out
            .iter()
            .filter(|(_, (.., at))| *at <= t)
            .map(|(tag, _)| *tag)
            .collect();
        for tag in due {
            let Some((conn, attempt, _)) = inner.out.remove(&tag) else {
                continue;
            };
            self.answer(&mut inner, tag, conn, attempt);
        }
        let over: Vec<_> = inner
            .standing
            .iter()
            .filter(|(_, s)| s.until <= t)
            .map(|(tag, _)| *tag)
            .collect();
        for tag in over {
            let Some(s) = inner.standing.remove(&tag) else {
                continue;
            };
            self.recorder.note(Record::SessionEnded {
                time: Timestamp::from_micros(t),
                node: self.id.into(),
                session: tag,
                attempt: s.attempt,
            });
            self.recorder.ended(tag, End::Told);
            inner.said.push((t, tag, 16));
            // Whose a connection is shows by what is set up on it only: where that one is gone all hear it.
            let own = inner.conns.contains_key(&s.conn);
            let hear: Vec<_> = inner
                .conns
                .keys()
                .copied()
                .filter(|c| !own || *c == s.conn)
                .collect();
            hear.into_iter()
                .for_each(|conn| say(&mut inner, conn, &rtsp::release(tag, 16)));
        }
        let full = inner.standing.len() as f64 / PLACES;
        let mut notes = Vec::new();
        for (tag, s) in inner
            .standing
            .iter_mut()
            .filter(|(_, s)| t - s.noted >= NOTES)
        {
            s.noted = t;
            notes.push((s.conn, *tag));
        }
        for (conn, tag) in notes {
            say(&mut inner, conn, &rtsp::note(tag, full));
        }
    }

    fn answer(&self, inner: &mut Inner, tag: u64, conn: u64, attempt: u32) {
        inner.count += 1;
        let odd = inner.count;
        match inner.behavior {
            NodeBehavior::RejectsAll => {
                self.done(tag, attempt, SetUpOutcome::Rejected);
                return say(inner, conn, &rtsp::answer(tag, 453, ""));
            }
            NodeBehavior::FailsSetUps if odd.is_multiple_of(2) => {
                self.done(tag, attempt, SetUpOutcome::Cancelled);
                return say(inner, conn, &rtsp::answer(tag, 500, ""));
            }
            NodeBehavior::SendsMalformed if odd.is_multiple_of(3) => {
                self.done(tag, attempt, SetUpOutcome::Cancelled);
                return say(
                    inner,
                    conn,
                    b"RTSP/1.0 200 OK\r\nContent-Length: -7\r\n\r\n\xff\xfe\r\n\r\n",
                );
            }
            _ => {}
        }
        let made = format!("{}-{tag:016x}-{odd}\r\n", name(self.id));
        self.recorder
            .open()
            .made
            .entry(tag)
            .or_default()
            .push(made.clone());
        self.done(tag, attempt, SetUpOutcome::Playing);
        let until = now() + self.draw(LASTS);
        inner.standing.insert(
            tag,
            EndpointState {
                conn,
                attempt,
                until,
                noted: now(),
            },
        );
        say(inner, conn, &rtsp::answer(tag, 200, &made));
    }

    fn hear(&self, mut stream: TcpStream, conn: u64, life: u64) {
        let (mut buf, mut chunk) = (Vec::new(), [0; 4096]);
        while let Ok(n) = stream.read(&mut chunk) {
            if n == 0 || self.open().life != life {
                break;
            }
            buf.extend(&chunk[..n]);
            while let Some(message) = rtsp::take(&mut buf) {
                self.heard(conn, &message);
            }
        }
        let mut inner = self.open();
        inner.conns.remove(&conn);
        // Set-ups on a connection that ends are given up.
        let open: Vec<_> = inner
            .out
            .iter()
            .filter(|(_, o)| o.0 == conn)
            .map(|(t, o)| (*t, o.1))
            .collect();
        for (tag, attempt) in open {
            inner.out.remove(&tag);
            self.done(tag, attempt, SetUpOutcome::Abandoned);
        }
    }

    fn heard(&self, conn: u64, message: &Message) {
        let Some(tag) = message.tag() else { return };
        match message.method() {
            "SETUP" => self.set_up(conn, tag, message),
            "TEARDOWN" => {
                let mut inner = self.open();
                if let Some((_, attempt, _)) = inner.out.remove(&tag) {
                    self.done(tag, attempt, SetUpOutcome::Abandoned);
                }
                if let Some(s) = inner.standing.remove(&tag) {
                    let t = now();
                    self.recorder.note(Record::SessionEnded {
                        time: Timestamp::from_micros(t),
                        node: self.id.into(),
                        session: tag,
                        attempt: s.attempt,
                    });
                    self.recorder.ended(tag, End::Own);
                }
            }
            "SET_PARAMETER" => {
                let rung = message
                    .field("x-rung")
                    .and_then(|r| r.parse().ok())
                    .unwrap_or(0);
                self.recorder.note(Record::RungChanged {
                    time: Timestamp::from_micros(now()),
                    node: self.id.into(),
                    session: tag,
                    rung,
                });
            }
            "OPTIONS" => say(&mut self.open(), conn, &rtsp::answer(tag, 200, "")),
            _ => {}
        }
    }

    fn set_up(&self, conn: u64, tag: u64, message: &Message) {
        let mut inner = self.open();
        let attempt = {
            let mut recorder = self.recorder.open();
            let count = recorder.attempts.entry(tag).or_default();
            *count += 1;
            *count - 1
        };
        let class = message.field("p-kind").unwrap_or("").to_string();
        let title = message
            .first
            .split(['/', ' '])
            .nth(4)
            .unwrap_or("")
            .to_string();
        // In a set-up without a rung the lowest of the class is meant.
        let lowest = usize::from(class == "paid");
        let rung = message
            .field("x-rung")
            .and_then(|r| r.parse().ok())
            .unwrap_or(lowest);
        let director = crate::director_of(tag);
        let (t, node) = (now(), self.id.into());
        let session = tag;
        self.recorder.note(Record::SetUpReceived {
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
        self.recorder.came(tag, t);
        if message.body != format!("v-{tag:016x}\r\n").into_bytes() {
            self.recorder.report_violation(format!(
                "set-up of {tag:016x} with another description than its viewer's"
            ));
        }
        if inner.behavior == NodeBehavior::ResetsConnections && tag.is_multiple_of(2) {
            self.done(tag, attempt, SetUpOutcome::Abandoned);
            if let Some(stream) = inner.conns.remove(&conn) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            return;
        }
        inner
            .out
            .insert(tag, (conn, attempt, t + self.draw(ANSWER)));
    }
}

fn say(inner: &mut Inner, conn: u64, bytes: &[u8]) {
    let broken = inner
        .conns
        .get_mut(&conn)
        .is_some_and(|stream| stream.write_all(bytes).is_err());
    if broken {
        inner.conns.remove(&conn);
    }
}
