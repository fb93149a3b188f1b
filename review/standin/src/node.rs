//! A media node, as a process of its own. It sets sessions up after a while, reports the load on its link, and reports
//! what it received and did on its standard output.
//!
//! Standard input takes commands. The process ends with the test that started it.

use crate::record::now_us;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Time that a set-up takes: 40 to 120 ms of work by the site files.
const SET_UP_TIME: Duration = Duration::from_millis(60);
/// Interval of the notes on the link: 2.2 to 4.7 s by the pages.
const NOTE_INTERVAL: Duration = Duration::from_millis(3000);
/// Where answers are spoilt, one in this many is.
const SPOILT_ONE_IN: u64 = 5;

struct Session {
    connection: u64,
    is_standing: bool,
    /// When it comes to its end.
    ends_us: i64,
}

struct Node {
    id: u32,
    load: f64,
    is_spoiling: bool,
    answers: u64,
    spoilt: u64,
    next_connection: u64,
    connections: BTreeMap<u64, TcpStream>,
    sessions: BTreeMap<String, Session>,
    /// Mean length of a session, ms; 0: no session ends by itself.
    life_ms: u64,
    /// Releases that are also sent on the next connection.
    repeated: Vec<String>,
}

type Shared = Arc<Mutex<Node>>;

fn lock(node: &Shared) -> MutexGuard<'_, Node> {
    node.lock().unwrap_or_else(PoisonError::into_inner)
}

fn tell(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{} {text}", now_us());
    let _ = out.flush();
}

/// `node ADDRESS ID LOAD [spoil | life MEAN_MS]`
pub fn run(args: &[String]) -> Option<()> {
    let listener = TcpListener::bind(args.first()?.as_str()).ok()?;
    let node = Arc::new(Mutex::new(Node {
        id: u32::from_str_radix(args.get(1)?, 16).ok()?,
        load: args.get(2)?.parse().ok()?,
        is_spoiling: args.get(3).is_some_and(|word| word == "spoil"),
        life_ms: args
            .get(3)
            .filter(|word| *word == "life")
            .and_then(|_| args.get(4)?.parse().ok())
            .unwrap_or(0),
        repeated: Vec::new(),
        answers: 0,
        spoilt: 0,
        next_connection: 0,
        connections: BTreeMap::new(),
        sessions: BTreeMap::new(),
    }));
    tell(&format!("LISTENS {}", listener.local_addr().ok()?.port()));
    let commands = node.clone();
    thread::spawn(move || read_commands(&commands));
    let notes = node.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(NOTE_INTERVAL);
            send_notes(&mut lock(&notes));
        }
    });
    let ends = node.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(10));
            end_sessions(&mut lock(&ends));
        }
    });
    for stream in listener.incoming().flatten() {
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else {
            continue;
        };
        let number = {
            let mut node = lock(&node);
            node.next_connection += 1;
            let number = node.next_connection;
            node.connections.insert(number, writer);
            for session in std::mem::take(&mut node.repeated) {
                tell(&format!("RELEASES {session} on a new connection"));
                send(&mut node, number, release(&session).as_bytes());
            }
            number
        };
        let node = node.clone();
        thread::spawn(move || serve(&node, number, stream));
    }
    Some(())
}

/// Reads commands. `begin COUNT`: from now on so many sessions play here that were set up before the day. Without
/// a test to read from, this process ends.
fn read_commands(node: &Shared) {
    for line in std::io::stdin().lines().map_while(Result::ok) {
        let Some(count) = line
            .strip_prefix("begin ")
            .and_then(|text| text.parse().ok())
        else {
            continue;
        };
        let mut node = lock(node);
        for number in 0..count {
            let id = playing_session(node.id, number);
            let seed = (u64::from(node.id) << 32) | 0x8000_0000 | number;
            let ends_us = now_us() + drawn_life_us(node.life_ms, seed);
            tell(&format!("PLAYS {id}"));
            let session = Session {
                connection: 0,
                is_standing: true,
                ends_us,
            };
            node.sessions.insert(id, session);
        }
    }
    std::process::exit(0);
}

/// The id of a session that plays at a media node when the day begins.
pub fn playing_session(node: u32, number: u64) -> String {
    let mixed = ((u64::from(node) << 16) | number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("{:016x}", mixed >> 4 | 0xb000_0000_0000_0000)
}

fn note(session: &str, reason: &str, value: f64) -> String {
    format!(
        "ANNOUNCE rtsp://media/{session} RTSP/1.0\r\nCSeq: 5\r\nSession: {session}\r\nP-Reason: {reason}\r\n\
         X-Value: {value:.3}\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Tells how full link and uplink are, on one of the sessions.
fn send_notes(node: &mut Node) {
    let standing = node
        .sessions
        .iter()
        .find(|(_, session)| session.is_standing);
    let Some((id, session)) = standing else {
        return;
    };
    let own = session.connection;
    let text = note(id, "port", node.load) + &note(id, "spine", node.load / 2.0);
    let connection = if node.connections.contains_key(&own) {
        own
    } else {
        let Some(any) = node.connections.keys().next() else {
            return;
        };
        *any
    };
    send(node, connection, text.as_bytes());
}

fn release(session: &str) -> String {
    format!(
        "TEARDOWN rtsp://media/{session} RTSP/1.0\r\nCSeq: 2\r\nSession: {session}\r\nReason: cause=16\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

/// Ends the sessions that are over: their releases go out on their set-up's connection, failing that on any open one,
/// and also on the next one opened.
fn end_sessions(node: &mut Node) {
    let now = now_us();
    let is_over = |session: &Session| session.is_standing && session.ends_us <= now;
    let over: Vec<String> = node
        .sessions
        .iter()
        .filter(|(_, session)| is_over(session))
        .map(|(id, _)| id.clone())
        .collect();
    for id in over {
        let Some(session) = node.sessions.remove(&id) else {
            continue;
        };
        let any = node.connections.keys().next().copied();
        let connection = Some(session.connection)
            .filter(|own| node.connections.contains_key(own))
            .or(any);
        tell(&format!(
            "ENDS {id} {}",
            if connection.is_some() {
                "released"
            } else {
                "no connection"
            }
        ));
        if let Some(connection) = connection {
            send(node, connection, release(&id).as_bytes());
        }
        node.repeated.push(id);
    }
}

fn send(node: &mut Node, connection: u64, bytes: &[u8]) {
    if let Some(stream) = node.connections.get_mut(&connection) {
        let _ = stream.write_all(bytes);
    }
}

fn serve(node: &Shared, number: u64, mut stream: TcpStream) {
    let mut buffer = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => buffer.extend_from_slice(&chunk[..count]),
            _ => break,
        }
        while let Some(message) = take_message(&mut buffer) {
            handle(node, number, &message);
        }
    }
    let mut node = lock(node);
    node.connections.remove(&number);
    // The set-ups that are open on a connection are given up when it closes; a standing session is tied to none.
    let given_up: Vec<String> = node
        .sessions
        .iter()
        .filter(|(_, session)| session.connection == number && !session.is_standing)
        .map(|(id, _)| id.clone())
        .collect();
    for id in given_up {
        node.sessions.remove(&id);
        tell(&format!("GIVEN_UP {id} closed"));
    }
}

struct Message {
    start: String,
    head: String,
}

impl Message {
    fn field(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }
}

fn take_message(buffer: &mut Vec<u8>) -> Option<Message> {
    let end = buffer.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buffer[..end]).to_string();
    let mut message = Message {
        start: head.lines().next()?.to_string(),
        head,
    };
    let length: usize = message
        .field("Content-Length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    if buffer.len() < end + length {
        return None;
    }
    buffer.drain(..end + length);
    message.head = message.head.trim_end().to_string();
    Some(message)
}

fn handle(node: &Shared, number: u64, message: &Message) {
    let Some(id) = message.field("Session").map(str::to_string) else {
        return;
    };
    let method = message.start.split(' ').next().unwrap_or("");
    match method {
        "SETUP" => {
            let title = message
                .start
                .split(['/', ' '])
                .nth(4)
                .unwrap_or("")
                .to_string();
            let class = message.field("P-Kind").unwrap_or("").to_string();
            tell(&format!(
                "SETUP {id} {title} {class} rung={}",
                message.field("X-Rung").unwrap_or("-")
            ));
            lock(node).sessions.insert(
                id.clone(),
                Session {
                    connection: number,
                    is_standing: false,
                    ends_us: i64::MAX,
                },
            );
            let node = node.clone();
            thread::spawn(move || {
                thread::sleep(SET_UP_TIME);
                answer(&mut lock(&node), number, &id);
            });
        }
        "TEARDOWN" => {
            let mut node = lock(node);
            let ended = node.sessions.remove(&id);
            let what = if ended.as_ref().is_some_and(|session| session.is_standing) {
                "RELEASED"
            } else {
                "GIVEN_UP"
            };
            tell(&format!("{what} {id} by the director"));
            let heard =
                format!("RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: {id}\r\nContent-Length: 0\r\n\r\n");
            send(&mut node, number, heard.as_bytes());
        }
        "OPTIONS" => {
            let mut node = lock(node);
            let report = report(&node);
            let passed = format!(
                "RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: {id}\r\nP-Report: {report}\r\nContent-Length: 0\r\n\r\n"
            );
            send(&mut node, number, passed.as_bytes());
        }
        "SET_PARAMETER" => tell(&format!(
            "RATE {id} rung={}",
            message.field("X-Rung").unwrap_or("-")
        )),
        _ => {}
    }
}

fn report(node: &Node) -> String {
    format!(
        "inflight:{};x0:{:.3};x1:{:.3}",
        node.sessions.len(),
        node.load,
        node.load / 2.0
    )
}

/// Answers a set-up: the session stands. The notes on link and uplink follow at once.
fn answer(node: &mut Node, number: u64, id: &str) {
    let Some(session) = node.sessions.get_mut(id) else {
        return;
    };
    session.is_standing = true;
    node.answers += 1;
    if node.life_ms > 0 {
        session.ends_us =
            now_us() + drawn_life_us(node.life_ms, (u64::from(node.id) << 32) | node.answers);
    }
    let description = format!(
        "{:08x}{:08x}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n",
        node.id, node.answers
    );
    let is_spoilt = node.is_spoiling && node.answers.is_multiple_of(SPOILT_ONE_IN);
    let length = if is_spoilt {
        wrong_length(node, description.len())
    } else {
        description.len()
    };
    let report = report(node);
    let text = format!(
        "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: {id}\r\nP-Report: {report}\r\nContent-Length: {length}\r\n\r\n{description}"
    );
    let escaped = description.replace('\r', "\\r").replace('\n', "\\n");
    tell(&format!(
        "STANDS {id} length {length} of {} {escaped}",
        description.len()
    ));
    let bytes = text + &note(id, "port", node.load) + &note(id, "spine", node.load / 2.0);
    send(node, number, bytes.as_bytes());
}

/// A length that does not fit, drawn from 1 to 40 too small and 1 to 40 too large; the same in each run.
fn wrong_length(node: &mut Node, right: usize) -> usize {
    node.spoilt += 1;
    let mut drawn = (u64::from(node.id) << 32 | node.spoilt).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    drawn = (drawn ^ drawn >> 32).wrapping_mul(0xd6e8_feb8_6659_fd93);
    let offset = 1 + ((drawn >> 33) % 40) as usize;
    if drawn >> 63 == 0 {
        right - offset
    } else {
        right + offset
    }
}

/// An exponential length with this mean, the same in each run.
fn drawn_life_us(mean_ms: u64, seed: u64) -> i64 {
    let mut drawn = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    drawn = (drawn ^ drawn >> 32).wrapping_mul(0xd6e8_feb8_6659_fd93);
    let uniform = ((drawn >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
    (-uniform.min(1.0).ln() * mean_ms as f64 * 1000.0) as i64 + 500_000
}
