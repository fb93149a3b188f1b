//! Small stand-ins for the platform: the journal service, media nodes, viewers, and the start of a director by the
//! deploy file. Every address is on loopback.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, BufWriter, Read, Write};
use std::net::{Shutdown, SocketAddrV4, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
}

const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Makes the close of a socket a reset, as that of a process that dies with unread bytes.
pub fn reset_on_close(stream: &TcpStream) {
    let linger = Linger { on: 1, seconds: 0 };
    // SOL_SOCKET is 1 and SO_LINGER 13 on Linux, on x86-64 and on arm64.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, &linger, 8) };
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

// ---- the record --------------------------------------------------------------------------------

pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Record> {
        let file = File::create(path).expect("record.txt");
        Arc::new(Record {
            start: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        })
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn say(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {}", self.ms(), text.as_ref());
        let _ = file.flush();
    }
}

// ---- the journal service -----------------------------------------------------------------------

#[derive(Clone, Debug)]
pub struct Member {
    pub id: u32,
    pub address: SocketAddrV4,
    /// 0 ready, 1 draining, 2 gone.
    pub state: u8,
    pub cell: u16,
    /// Unix milliseconds of a late start, or 0.
    pub started: u64,
}

impl Member {
    fn json(&self) -> String {
        let phase = ["ready", "draining", "gone"][self.state as usize];
        format!(
            r#"{{"id":"s-{:08x}","host_port":"{}","locality":"wing-a","flavor":"box","cell":{},"phase":"{phase}","size":1,"up_since_ms":{}}}"#,
            self.id, self.address, self.cell, self.started
        )
    }

    fn bytes(&self) -> Vec<u8> {
        let mut bytes = self.id.to_be_bytes().to_vec();
        bytes.extend(self.address.ip().octets());
        bytes.extend(self.address.port().to_be_bytes());
        bytes.extend([self.state, 0, 0]);
        bytes.extend(self.cell.to_be_bytes());
        bytes.extend(1000u32.to_be_bytes());
        bytes.extend(self.started.to_be_bytes());
        bytes
    }
}

pub struct Journal {
    pub address: SocketAddrV4,
    /// Event 1 is the whole list, the others are changes.
    events: Mutex<Vec<Vec<Member>>>,
    up: AtomicBool,
    rec: Arc<Record>,
}

impl Journal {
    pub fn start(rec: &Arc<Record>, members: Vec<Member>) -> Arc<Journal> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = v4(&listener);
        let journal = Arc::new(Journal {
            address,
            events: Mutex::new(vec![members]),
            up: AtomicBool::new(true),
            rec: rec.clone(),
        });
        let serving = journal.clone();
        thread::spawn(move || serving.serve(listener));
        journal
    }

    fn serve(self: Arc<Journal>, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            if !self.up.load(Ordering::SeqCst) {
                listener = None; // Further connections are refused.
                sleep_ms(5);
                continue;
            }
            let listening = listener
                .get_or_insert_with(|| TcpListener::bind(self.address).expect("journal address"));
            listening.set_nonblocking(true).unwrap();
            match listening.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    let journal = self.clone();
                    thread::spawn(move || journal.tell(stream));
                }
                Err(_) => sleep_ms(5),
            }
        }
    }

    fn tell(&self, mut stream: TcpStream) -> Option<()> {
        let mut position = [0; 8];
        stream.read_exact(&mut position).ok()?;
        let mut position = u64::from_be_bytes(position);
        self.rec.say(format!(
            "journal: director asks for the events after {position}"
        ));
        let mut last_empty = Instant::now();
        while self.up.load(Ordering::SeqCst) {
            let events = self.events.lock().unwrap().clone();
            while position < events.len() as u64 {
                position += 1;
                let payload: Vec<u8> = events[position as usize - 1]
                    .iter()
                    .flat_map(Member::bytes)
                    .collect();
                let kind = if position == 1 { 1 } else { 2 };
                stream.write_all(&frame(position, kind, &payload)).ok()?;
                self.rec.say(format!("journal: event {position} sent"));
            }
            if last_empty.elapsed() >= Duration::from_secs(1) {
                last_empty = Instant::now();
                stream.write_all(&frame(position, 0, &[])).ok()?;
            }
            sleep_ms(5);
        }
        Some(())
    }

    pub fn publish(&self, changes: Vec<Member>) {
        let mut events = self.events.lock().unwrap();
        events.push(changes.clone());
        let number = events.len();
        drop(events);
        self.rec.say(format!(
            "journal: event {number} is in the service: {changes:?}"
        ));
    }

    /// The service breaks off: connections close, and new ones are refused until it is up again.
    pub fn set_up(&self, up: bool) {
        self.up.store(up, Ordering::SeqCst);
        self.rec.say(if up {
            "journal: up"
        } else {
            "journal: breaks off"
        });
    }

    fn known(&self) -> String {
        let events = self.events.lock().unwrap();
        let entries: Vec<String> = events
            .iter()
            .enumerate()
            .map(|(index, members)| {
                let members: Vec<String> = members.iter().map(Member::json).collect();
                let number = index + 1;
                let complete = index == 0;
                format!(
                    r#"{{"pos":{number},"hosts":{{"revision":{number},"complete":{complete},"members":[{}]}}}}"#,
                    members.join(",")
                )
            })
            .collect();
        format!(
            r#"{{"pos":{},"entries":[{}]}}"#,
            events.len(),
            entries.join(",")
        )
    }
}

fn frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (9 + payload.len() as u32).to_be_bytes().to_vec();
    bytes.extend(number.to_be_bytes());
    bytes.push(kind);
    bytes.extend(payload);
    bytes
}

pub fn v4(listener: &TcpListener) -> SocketAddrV4 {
    match listener.local_addr().unwrap() {
        std::net::SocketAddr::V4(address) => address,
        _ => unreachable!(),
    }
}

pub fn free_address() -> SocketAddrV4 {
    v4(&TcpListener::bind("127.0.0.1:0").unwrap())
}

// ---- media nodes -------------------------------------------------------------------------------

/// How a media node answers; the default is a sound one.
#[derive(Clone, Copy)]
pub struct Manner {
    pub answer_after_ms: u64,
    pub session_ms: u64,
    /// It takes connections and bytes, and does nothing.
    pub frozen: bool,
    /// What others ask of its link, as a part of it.
    pub others_ask: f64,
    /// Streams that it runs at most; further set-ups are refused as full.
    pub streams: usize,
    /// One in so many good answers is spoilt: its length is too small by its last line, and that line comes 5 ms after
    /// the others. 0: none.
    pub spoils_one_in: usize,
}

/// A session that stands at a media node.
struct Standing {
    stream: Arc<Mutex<TcpStream>>,
}

#[derive(Default)]
struct NodeState {
    /// Grows with each process of this media node.
    life: u64,
    connections: Vec<Arc<Mutex<TcpStream>>>,
    standing: HashMap<String, Standing>,
    /// Set-ups without an answer.
    open: HashMap<String, ()>,
    /// Its connections are all in use by others: it has closed its idle ones and refuses further ones.
    is_full: bool,
    set_ups: Vec<SetUp>,
    /// The descriptions that it made, by session.
    descriptions: HashMap<String, String>,
}

/// A set-up that reached a media node whole.
#[derive(Clone)]
pub struct SetUp {
    pub at: Instant,
    pub session: String,
}

pub struct Node {
    pub id: u32,
    pub cell: u16,
    pub address: SocketAddrV4,
    pub manner: Mutex<Manner>,
    state: Mutex<NodeState>,
    rec: Arc<Record>,
}

impl Node {
    pub fn start(rec: &Arc<Record>, id: u32, cell: u16, manner: Manner) -> Arc<Node> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let node = Arc::new(Node {
            id,
            cell,
            address: v4(&listener),
            manner: Mutex::new(manner),
            state: Mutex::default(),
            rec: rec.clone(),
        });
        node.clone().serve(listener);
        node
    }

    pub fn name(&self) -> String {
        format!("s-{:08x}", self.id)
    }

    pub fn member(&self, state: u8, started: u64) -> Member {
        Member {
            id: self.id,
            address: self.address,
            state,
            cell: self.cell,
            started,
        }
    }

    /// The process dies: its listener closes, its connections are reset, its sessions are cut.
    pub fn die(&self) {
        let mut state = self.state.lock().unwrap();
        state.life += 1;
        for connection in state.connections.drain(..) {
            let stream = connection.lock().unwrap();
            reset_on_close(&stream);
            let _ = stream.shutdown(Shutdown::Both);
        }
        let cut: Vec<String> = state.standing.drain().map(|(session, _)| session).collect();
        state.open.clear();
        drop(state);
        self.rec
            .say(format!("{}: dies, cut sessions {cut:?}", self.name()));
    }

    /// A new process at the same address.
    pub fn restart(self: &Arc<Node>) -> u64 {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => sleep_ms(5),
            }
        };
        let started = unix_ms();
        self.rec.say(format!("{}: starts again, cold", self.name()));
        self.clone().serve(listener);
        started
    }

    /// It closes its connections, which are idle, and refuses further ones: others have all that it may hold.
    pub fn be_full(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_full = true;
        let closed = state.connections.len();
        for connection in state.connections.drain(..) {
            let _ = connection.lock().unwrap().shutdown(Shutdown::Both);
        }
        drop(state);
        self.rec.say(format!(
            "{}: closes its {closed} idle connections and takes no further one",
            self.name()
        ));
    }

    /// Connections have become free again.
    pub fn have_room(&self) {
        self.state.lock().unwrap().is_full = false;
        self.rec
            .say(format!("{}: takes connections again", self.name()));
    }

    pub fn set_ups(&self) -> Vec<SetUp> {
        self.state.lock().unwrap().set_ups.clone()
    }

    /// The description that it made for a session.
    pub fn description(&self, session: &str) -> Option<String> {
        self.state
            .lock()
            .unwrap()
            .descriptions
            .get(session)
            .cloned()
    }

    pub fn stands(&self, session: &str) -> bool {
        self.state.lock().unwrap().standing.contains_key(session)
    }

    pub fn standing(&self) -> Vec<String> {
        self.state
            .lock()
            .unwrap()
            .standing
            .keys()
            .cloned()
            .collect()
    }

    fn serve(self: Arc<Node>, listener: TcpListener) {
        let life = self.state.lock().unwrap().life;
        let mut listener = Some(listener);
        thread::spawn(move || {
            while self.state.lock().unwrap().life == life {
                if self.state.lock().unwrap().is_full {
                    listener = None; // Further connections are refused.
                    sleep_ms(1);
                    continue;
                }
                let listening = listener.get_or_insert_with(|| {
                    loop {
                        match TcpListener::bind(self.address) {
                            Ok(listener) => break listener,
                            Err(_) => sleep_ms(5),
                        }
                    }
                });
                listening.set_nonblocking(true).unwrap();
                match listening.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).unwrap();
                        let _ = stream.set_nodelay(true);
                        let writer = Arc::new(Mutex::new(stream.try_clone().unwrap()));
                        self.state.lock().unwrap().connections.push(writer.clone());
                        let node = self.clone();
                        thread::spawn(move || node.read(stream, writer, life));
                    }
                    Err(_) => sleep_ms(1),
                }
            }
        });
    }

    fn is_alive(&self, life: u64) -> bool {
        self.state.lock().unwrap().life == life
    }

    fn read(
        self: Arc<Node>,
        stream: TcpStream,
        writer: Arc<Mutex<TcpStream>>,
        life: u64,
    ) -> Option<()> {
        let mut open: Vec<String> = Vec::new();
        let mut reader = BufReader::new(stream);
        while let Some(message) = read_message(&mut reader) {
            while self.manner.lock().unwrap().frozen && self.is_alive(life) {
                sleep_ms(5);
            }
            if !self.is_alive(life) {
                return None;
            }
            self.handle(message, &writer, life, &mut open);
        }
        // The set-ups that are open on a connection are given up when it closes.
        if self.is_alive(life) {
            let mut state = self.state.lock().unwrap();
            for session in open {
                state.open.remove(&session);
            }
            state
                .connections
                .retain(|other| !Arc::ptr_eq(other, &writer));
        }
        Some(())
    }

    fn handle(
        self: &Arc<Node>,
        message: Message,
        writer: &Arc<Mutex<TcpStream>>,
        life: u64,
        open: &mut Vec<String>,
    ) {
        let session = message.field("Session");
        let method = message
            .start
            .split(' ')
            .next()
            .unwrap_or_default()
            .to_string();
        match method.as_str() {
            "SETUP" => {
                let title = message
                    .start
                    .split(['/', ' '])
                    .find(|part| part.len() == 16)
                    .unwrap_or("")
                    .to_string();
                let class = message.field("P-Kind");
                self.rec.say(format!(
                    "{}: SETUP {session} class {class} title {title}",
                    self.name()
                ));
                let mut state = self.state.lock().unwrap();
                state.set_ups.push(SetUp {
                    at: Instant::now(),
                    session: session.clone(),
                });
                if state.open.len() + state.standing.len() >= self.manner.lock().unwrap().streams {
                    drop(state);
                    self.rec
                        .say(format!("{}: {session} refused, full", self.name()));
                    return send(
                        writer,
                        &format!(
                            "RTSP/1.0 453 Full\r\nCSeq: 1\r\nSession: {session}\r\nContent-Length: 0\r\n\r\n"
                        ),
                    );
                }
                state.open.insert(session.clone(), ());
                drop(state);
                open.push(session.clone());
                let node = self.clone();
                let writer = writer.clone();
                thread::spawn(move || node.answer(session, message.body, writer, life));
            }
            "TEARDOWN" => {
                let mut state = self.state.lock().unwrap();
                let was_open = state.open.remove(&session).is_some();
                let stood = state.standing.remove(&session).is_some();
                drop(state);
                self.rec.say(format!(
                    "{}: TEARDOWN {session} (open {was_open}, stood {stood})",
                    self.name()
                ));
                send(
                    writer,
                    &format!(
                        "RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: {session}\r\nContent-Length: 0\r\n\r\n"
                    ),
                );
            }
            "OPTIONS" => {
                let report = self.report();
                send(
                    writer,
                    &format!(
                        "RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: {session}\r\nP-Report: {report}\r\nContent-Length: 0\r\n\r\n"
                    ),
                );
            }
            _ => {}
        }
    }

    fn report(&self) -> String {
        let standing = self.state.lock().unwrap().standing.len();
        let others = self.manner.lock().unwrap().others_ask;
        format!(
            "x0:{:.3};x1:{:.3}",
            others + standing as f64 * 0.005,
            standing as f64 * 0.004
        )
    }

    fn answer(
        self: Arc<Node>,
        session: String,
        body: String,
        writer: Arc<Mutex<TcpStream>>,
        life: u64,
    ) {
        let manner = *self.manner.lock().unwrap();
        sleep_ms(manner.answer_after_ms);
        while self.manner.lock().unwrap().frozen {
            sleep_ms(5);
        }
        let mut state = self.state.lock().unwrap();
        if state.life != life || state.open.remove(&session).is_none() {
            return;
        }
        let standing = Standing {
            stream: writer.clone(),
        };
        state.standing.insert(session.clone(), standing);
        drop(state);
        let report = self.report();
        let last_line = format!("a=node:{}\r\n", self.name());
        let count = {
            let mut state = self.state.lock().unwrap();
            state
                .descriptions
                .insert(session.clone(), format!("{body}{last_line}"));
            state.descriptions.len()
        };
        let is_spoilt = manner.spoils_one_in > 0 && count % manner.spoils_one_in == 0;
        let length = body.len() + if is_spoilt { 0 } else { last_line.len() };
        let head = format!(
            "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: {session}\r\nP-Report: {report}\r\nContent-Length: {length}\r\n\r\n"
        );
        if is_spoilt {
            self.rec.say(format!(
                "{}: the answer to {session} is spoilt: Content-Length {length}, {} bytes follow",
                self.name(),
                body.len() + last_line.len()
            ));
            let mut stream = writer.lock().unwrap();
            let _ = stream.write_all(format!("{head}{body}").as_bytes());
            sleep_ms(5);
            let _ = stream.write_all(last_line.as_bytes());
        } else {
            send(&writer, &format!("{head}{body}{last_line}"));
        }
        sleep_ms(manner.session_ms);
        let mut state = self.state.lock().unwrap();
        if state.life != life {
            return;
        }
        if let Some(standing) = state.standing.remove(&session) {
            drop(state);
            self.rec.say(format!(
                "{}: session {session} has come to its end",
                self.name()
            ));
            send(
                &standing.stream,
                &format!(
                    "TEARDOWN rtsp://media/{session} RTSP/1.0\r\nCSeq: 9\r\nSession: {session}\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n"
                ),
            );
        }
    }
}

fn send(writer: &Arc<Mutex<TcpStream>>, text: &str) {
    let _ = writer.lock().unwrap().write_all(text.as_bytes());
}

struct Message {
    start: String,
    fields: Vec<(String, String)>,
    body: String,
}

impl Message {
    fn field(&self, name: &str) -> String {
        let found = self
            .fields
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.clone()).unwrap_or_default()
    }
}

fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut start = String::new();
    if reader.read_line(&mut start).ok()? == 0 {
        return None;
    }
    let mut fields = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        fields.push((name.to_string(), value.trim().to_string()));
    }
    let mut message = Message {
        start: start.trim_end().to_string(),
        fields,
        body: String::new(),
    };
    let length: usize = message.field("Content-Length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    message.body = String::from_utf8_lossy(&body).into_owned();
    Some(message)
}

// ---- viewers -----------------------------------------------------------------------------------

/// A line that a director sent to a viewer.
#[derive(Clone, Debug)]
pub struct Heard {
    pub description: Option<String>,
    pub at: Instant,
    pub verb: String,
    pub tag: String,
    pub cause: Option<i64>,
}

/// A viewer's connection; what it hears is kept.
pub struct Viewer {
    stream: Mutex<TcpStream>,
    heard: Arc<Mutex<Vec<Heard>>>,
}

impl Viewer {
    pub fn connect(
        rec: &Arc<Record>,
        director: SocketAddrV4,
        loud: bool,
    ) -> std::io::Result<Viewer> {
        let stream = TcpStream::connect(director)?;
        let _ = stream.set_nodelay(true);
        let heard: Arc<Mutex<Vec<Heard>>> = Arc::default();
        let reader = BufReader::new(stream.try_clone()?);
        let (list, rec) = (heard.clone(), rec.clone());
        thread::spawn(move || {
            for line in reader.lines() {
                let Ok(line) = line else { break };
                let description = line.contains("\"blob\"").then(|| text(&line, "blob"));
                let said = Heard {
                    description,
                    at: Instant::now(),
                    verb: text(&line, "verb"),
                    tag: text(&line, "tag"),
                    cause: number(&line, "rc"),
                };
                if loud {
                    rec.say(format!(
                        "viewer hears {} {} {:?}",
                        said.verb, said.tag, said.cause
                    ));
                }
                list.lock().unwrap().push(said);
            }
        });
        Ok(Viewer {
            stream: Mutex::new(stream),
            heard,
        })
    }

    pub fn send(&self, line: &str) -> bool {
        let mut stream = self.stream.lock().unwrap();
        stream
            .write_all(line.as_bytes())
            .and_then(|()| stream.write_all(b"\n"))
            .is_ok()
    }

    pub fn of(&self, tag: &str) -> Vec<Heard> {
        self.heard
            .lock()
            .unwrap()
            .iter()
            .filter(|heard| heard.tag == tag)
            .cloned()
            .collect()
    }

    pub fn close(&self) {
        let _ = self.stream.lock().unwrap().shutdown(Shutdown::Both);
    }
}

fn text(line: &str, name: &str) -> String {
    let start = format!("\"{name}\":\"");
    let Some(at) = line.find(&start) else {
        return String::new();
    };
    line[at + start.len()..]
        .split('"')
        .next()
        .unwrap_or_default()
        .to_string()
}

fn number(line: &str, name: &str) -> Option<i64> {
    let start = format!("\"{name}\":");
    let at = line.find(&start)?;
    line[at + start.len()..]
        .split([',', '}'])
        .next()?
        .trim()
        .parse()
        .ok()
}

static LAST_ID: AtomicU64 = AtomicU64::new(0);

/// A new id of 16 hex digits.
pub fn new_tag() -> String {
    let number = LAST_ID.fetch_add(1, Ordering::SeqCst) + 1;
    let salt = 0x9e37_79b9_7f4a_7c15u64.wrapping_mul(u64::from(std::process::id()) << 20 | number);
    format!("{:016x}", salt ^ (salt >> 31))
}

pub struct Ask<'a> {
    pub class: &'a str,
    pub left_ms: u64,
    pub title: &'a str,
    pub home: u16,
    pub copies: u16,
    pub top: usize,
    /// The media node at which the session plays already.
    pub at: Option<String>,
}

/// The line of a set-up.
pub fn start_line(tag: &str, ask: &Ask) -> String {
    let at = ask
        .at
        .as_ref()
        .map(|node| format!(";at:{node}"))
        .unwrap_or_default();
    format!(
        r#"{{"verb":"START","tag":"{tag}","opts":{{"class":"{}","left":"{}","key":"{}","hint":"30000.0","extras":"home:{};copies:{};top:{};viewer:{tag}{at}"}},"blob":"{tag}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"}}"#,
        ask.class, ask.left_ms, ask.title, ask.home, ask.copies, ask.top
    )
}

pub fn finish_line(tag: &str, cause: i64) -> String {
    format!(r#"{{"verb":"FINISH","tag":"{tag}","opts":{{}},"rc":{cause}}}"#)
}

// ---- directors ---------------------------------------------------------------------------------

/// The memory limit of a director.
pub const MEMORY_MB: u64 = 192;

/// What differs between the settings of two cases.
#[derive(Clone)]
pub struct Site {
    pub directors: usize,
    pub cells: usize,
    pub paid_floor: usize,
    pub paid_seats: usize,
    pub probes: bool,
    pub start_capacity: f64,
    pub overload_factor: f64,
    pub warm_ms: u64,
    pub fall_ms: u64,
    pub stop_ms: u64,
    pub ration: bool,
    pub give_up_ms: u64,
    pub streams: usize,
}

impl Site {
    pub fn small() -> Site {
        Site {
            directors: 3,
            cells: 12,
            paid_floor: 0,
            paid_seats: 0,
            probes: true,
            start_capacity: 0.4,
            overload_factor: 2.0,
            warm_ms: 12_000,
            fall_ms: 2_000,
            stop_ms: 250,
            ration: true,
            give_up_ms: 4_000,
            streams: 40,
        }
    }

    fn settings(&self) -> String {
        let ration = if self.ration {
            r#""ExtraPerRequest":0.3,"MinExtra":3.0,"ResendSpan":10000.0,"#
        } else {
            ""
        };
        format!(
            r#"{{"Balancers":{directors},
"Categories":[{{"DedupScope":"all","Effect":"at_most_once","GiveUp":{give_up},"LateValue":0.0,"Name":"paid","Stream":true,"Target":1500.0,"Value":2.0,"Window":5000.0}},
{{"DedupScope":"all","Effect":"idempotent","GiveUp":{give_up},"LateValue":0.0,"Name":"live","Stream":true,"Target":1000.0,"Value":1.0,"Window":5000.0}}],
"Clients":{{"MarksRetry":false}},
"Contract":{{"AnswerSlack":40.0,{ration}"Fall":{fall},"MustAskIn":10000.0,"OverloadFactor":{factor},"StartCapacity":{start},"StopSendingWithin":{stop},"WarmAfter":{warm}}},
"Deductions":{{"Connection":0.0,"CrossZone":0.01,"Handshake":0.0,"LateFail":0.05,"MembershipMode":0.0,"Moves":0.2,"Origin":0.0,"Peer":0.0,"Probe":0.01,"Waste":0.0}},
"FailureDomains":["wing-a"],"Family":"streams",
"Goal":{{"Whole":0.5,"WorstClass":0.2,"WorstTenant":0.0,"WorstWindow":0.3}},
"Limits":{{"ConnIdle":15000.0,"ConnectTimeout":250.0,"CpuUsPerRequest":0.0,"CpuUsPerS":500000,"MaxAttempts":4,"MaxOpen":1000000,"MaxRetryAfter":1000.0,"MayCancel":true,"Peers":false,"Probes":{probes},"RetryAfter":true,"SecondCopies":false,"StreamsPerConn":1048576}},
"MembershipMode":"pushed","MyNumber":0,"OverShareWorth":0.1,"Shapes":["box"],
"Specifics":{{"Cabinets":2,"ClassScale":[1.0,1.0],"FleetKb":{fleet}.0,"HighestRung":[4,4],"JoinAdds":1.0,"KbPerWeight":10000.0,"LicenceCap":[{seats},0],"Live":[false,true],"LowestRung":[{floor},0],"Places":{cells},"PlacesByKind":[{streams}],"RackLinkKb":100000.0,"RefusesFrom":0.0,"RungKb":[190.0,350.0,640.0,1150.0,2100.0],"RungWorth":[0.24,0.46,0.65,0.83,1.0],"StallCost":7.0,"SwitchS":0.7,"ToldEvery":3000.0,"ToldLate":1400.0}},
"Stages":["boxes"],"Stats":{{"How":"piggyback","Names":["x0","x1"]}},"Step":10.0,"Tenants":[],"Tier":0,"ValueBy":"work","WeightSource":"silent","Zone":"wing-a"}}"#,
            directors = self.directors,
            give_up = self.give_up_ms,
            fall = self.fall_ms,
            factor = self.overload_factor,
            start = self.start_capacity,
            stop = self.stop_ms,
            warm = self.warm_ms,
            probes = self.probes,
            fleet = self.cells * 10_000,
            seats = self.paid_seats,
            floor = self.paid_floor,
            cells = self.cells,
            streams = self.streams,
        )
    }
}

pub struct Director {
    pub name: String,
    pub address: SocketAddrV4,
    folder: PathBuf,
    site: Site,
    child: Option<Child>,
    rec: Arc<Record>,
}

/// The processes that were started and have not been waited for.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_processes() {
    for process in PROCESSES
        .lock()
        .unwrap_or_else(|error| error.into_inner())
        .drain(..)
    {
        unsafe { kill(process as i32, SIGKILL) };
    }
}

static STARTS: AtomicU64 = AtomicU64::new(0);

impl Director {
    pub fn new(rec: &Arc<Record>, folder: &Path, name: &str, site: &Site) -> Director {
        let folder = folder.join(name);
        fs::create_dir_all(&folder).unwrap();
        Director {
            name: name.to_string(),
            address: free_address(),
            folder,
            site: site.clone(),
            child: None,
            rec: rec.clone(),
        }
    }

    pub fn write_config(&self, journal: &Journal) -> PathBuf {
        let path = self.folder.join("config.json");
        let seed = format!(
            "{:016x}",
            0x51ed_2705_8af1_c0deu64.wrapping_mul(STARTS.fetch_add(1, Ordering::SeqCst) * 2 + 1)
        );
        let text = format!(
            r#"{{"name":"{}","listen":"{}","seed":"{seed}","limits":{{"cores":1.0,"memory_mb":{MEMORY_MB},"sockets":1024}},"journal":"{}","known":{},"settings":{}}}"#,
            self.name,
            self.address,
            journal.address,
            journal.known(),
            self.site.settings()
        );
        let new = self.folder.join("config.new");
        fs::write(&new, text).unwrap();
        fs::rename(&new, &path).unwrap();
        path
    }

    /// Starts the director by the deploy file's command, and waits until it passes a test.
    pub fn start(&mut self, root: &Path, journal: &Journal) -> bool {
        let config = self.write_config(journal);
        let deploy = fs::read_to_string(root.join("deploy/balancer.toml")).expect("deploy file");
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \""))
            .expect("run");
        let run = run.split('"').next().unwrap();
        let scratch = self.folder.join("tmp");
        fs::create_dir_all(&scratch).unwrap();
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("log.json"))
            .unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", run])
            .current_dir(root)
            .env("ROUTER_NAME", &self.name)
            .env("ROUTER_LISTEN", self.address.to_string())
            .env("ROUTER_CONFIG", config)
            .env("TMPDIR", scratch)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("director");
        self.rec.say(format!(
            "director {}: started, process {}, `{run}`",
            self.name,
            child.id()
        ));
        PROCESSES.lock().unwrap().push(child.id());
        self.child = Some(child);
        let limit = Instant::now() + Duration::from_secs(15);
        while Instant::now() < limit {
            if self.is_ready() {
                self.rec
                    .say(format!("director {}: has passed a test", self.name));
                return true;
            }
            sleep_ms(20);
        }
        false
    }

    fn is_ready(&self) -> bool {
        let Ok(viewer) = Viewer::connect(&self.rec, self.address, false) else {
            return false;
        };
        let tag = new_tag();
        viewer.send(&format!(
            r#"{{"verb":"ECHO","tag":"{tag}","opts":{{}},"rc":0}}"#
        ));
        for _ in 0..50 {
            if let Some(heard) = viewer.of(&tag).first() {
                viewer.close();
                return heard.cause == Some(1);
            }
            sleep_ms(5);
        }
        viewer.close();
        false
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            self.rec
                .say(format!("director {}: signal {signal}", self.name));
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// The memory that its process has.
    pub fn memory_kb(&self) -> Option<u64> {
        let child = self.child.as_ref()?;
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(Some(_))),
            None => true,
        }
    }
}

impl Drop for Director {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
            PROCESSES
                .lock()
                .unwrap_or_else(|error| error.into_inner())
                .retain(|process| *process != child.id());
        }
    }
}
