//! The platform around one director: media nodes, journal service, clients, and the director's process itself.

use crate::json;
use crate::record::{Record, now_us};
use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;
pub const SIGKILL: i32 = 9;

unsafe extern "C" {
    /// kill(2), from the C library that the standard library links.
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Sends a signal to a process that this test started.
pub fn signal(pid: u32, signal: i32) {
    // SAFETY: kill(2) takes two integers and touches no memory of this process.
    unsafe { kill(pid as i32, signal) };
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn free_port() -> Option<u16> {
    let listener = TcpListener::bind("127.0.0.1:0").ok()?;
    listener.local_addr().ok().map(|address| address.port())
}

/// What a media node told: a time, a word, the session, and the rest of the line.
#[derive(Clone, Debug)]
pub struct NodeEvent {
    pub time_us: i64,
    pub node: u32,
    pub word: String,
    pub session: String,
    pub rest: String,
}

/// A line that a client received.
#[derive(Clone, Debug)]
pub struct Answer {
    pub time_us: i64,
    pub verb: String,
    pub cause: String,
    pub description: String,
}

#[derive(Default)]
pub struct Seen {
    pub node_events: Vec<NodeEvent>,
    /// By session, in the order of arrival.
    pub answers: BTreeMap<String, Vec<Answer>>,
}

pub type SharedSeen = Arc<Mutex<Seen>>;

// ---- media nodes ---------------------------------------------------------------------------------

pub struct MediaNode {
    pub id: u32,
    pub cell: u16,
    pub port: u16,
    child: Child,
    stdin: ChildStdin,
}

impl MediaNode {
    /// Starts the process; with port 0 on a free port. Its start is awaited.
    pub fn start(
        id: u32,
        cell: u16,
        port: u16,
        load: f64,
        more: &[&str],
        test: &Test,
    ) -> Option<MediaNode> {
        let mut child = Command::new(std::env::current_exe().ok()?)
            .args([
                "node",
                &format!("127.0.0.1:{port}"),
                &format!("{id:08x}"),
                &load.to_string(),
            ])
            .args(more)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .ok()?;
        test.started(child.id());
        let stdin = child.stdin.take()?;
        let mut lines = BufReader::new(child.stdout.take()?)
            .lines()
            .map_while(Result::ok);
        let first = lines.next()?;
        let port = first.rsplit(' ').next()?.parse().ok()?;
        test.record
            .line(&format!("node {id:08x} listens on port {port}"));
        let (seen, record) = (test.seen.clone(), test.record.clone());
        thread::spawn(move || {
            for line in lines {
                let mut words = line.splitn(4, ' ');
                let mut word = || words.next().unwrap_or("").to_string();
                let event = NodeEvent {
                    time_us: word().parse().unwrap_or(0),
                    node: id,
                    word: word(),
                    session: word(),
                    rest: word(),
                };
                let (what, session, rest) = (&event.word, &event.session, &event.rest);
                record.line_at(
                    event.time_us,
                    &format!("node {id:08x}: {what} {session} {rest}"),
                );
                lock(&seen).node_events.push(event);
            }
        });
        Some(MediaNode {
            id,
            cell,
            port,
            child,
            stdin,
        })
    }

    /// The day begins: so many sessions play at the media node.
    pub fn begin(&mut self, count: u64) -> Option<()> {
        writeln!(self.stdin, "begin {count}").ok()
    }

    /// The process dies: its connections are reset and its sessions cut.
    pub fn kill(&mut self, test: &Test) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        test.record
            .line(&format!("node {:08x}: process killed", self.id));
        let (time_us, node, word) = (now_us(), self.id, "DIED".to_string());
        let event = NodeEvent {
            time_us,
            node,
            word,
            session: String::new(),
            rest: String::new(),
        };
        lock(&test.seen).node_events.push(event);
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn entry(&self, state: u8, started_ms: u64) -> Entry {
        Entry {
            id: self.id,
            port: self.port,
            cell: self.cell,
            state,
            started_ms,
        }
    }
}

impl Drop for MediaNode {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// ---- journal service -----------------------------------------------------------------------------

/// An entry of the list: state 0 ready, 1 draining, 2 gone.
#[derive(Clone, Copy)]
pub struct Entry {
    pub id: u32,
    pub port: u16,
    pub cell: u16,
    pub state: u8,
    pub started_ms: u64,
}

impl Entry {
    fn record(&self) -> Vec<u8> {
        let mut bytes = self.id.to_be_bytes().to_vec();
        bytes.extend([127, 0, 0, 1]);
        bytes.extend(self.port.to_be_bytes());
        bytes.extend([self.state, 0, 0]);
        bytes.extend(self.cell.to_be_bytes());
        bytes.extend(1000u32.to_be_bytes());
        bytes.extend(self.started_ms.to_be_bytes());
        bytes
    }

    fn json(&self) -> String {
        let phase = ["ready", "draining", "gone"][usize::from(self.state.min(2))];
        format!(
            "{{\"id\":\"s-{:08x}\",\"host_port\":\"127.0.0.1:{}\",\"locality\":\"north\",\"flavor\":\"small\",\
             \"cell\":{},\"phase\":\"{phase}\",\"size\":1,\"up_since_ms\":{}}}",
            self.id, self.port, self.cell, self.started_ms
        )
    }
}

/// The journal service. Event 1 is in the configuration, later ones are pushed.
pub struct Journal {
    pub port: u16,
    events: Arc<Mutex<Vec<Vec<Entry>>>>,
    /// While the service is slow: time from a director's question to the first frame, ms.
    pub answer_after_ms: Arc<AtomicU64>,
}

impl Journal {
    pub fn start(record: &Record) -> Option<Journal> {
        let listener = TcpListener::bind("127.0.0.1:0").ok()?;
        let port = listener.local_addr().ok()?.port();
        let events: Arc<Mutex<Vec<Vec<Entry>>>> = Arc::default();
        let answer_after_ms: Arc<AtomicU64> = Arc::default();
        let (shared, slowness) = (events.clone(), answer_after_ms.clone());
        let record = record.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (events, slowness, record) = (shared.clone(), slowness.clone(), record.clone());
                thread::spawn(move || {
                    record.line("journal: a director connects");
                    follow(stream, &events, &slowness);
                    record.line("journal: a connection has ended");
                });
            }
        });
        Some(Journal {
            port,
            events,
            answer_after_ms,
        })
    }

    /// Publishes an event with changes; from now on it counts as told. Returns the time.
    pub fn publish(&self, entries: Vec<Entry>, record: &Record) -> i64 {
        for entry in &entries {
            let state = ["ready", "draining", "gone"][usize::from(entry.state.min(2))];
            record.line(&format!(
                "journal: {:08x} {state}, started {}",
                entry.id, entry.started_ms
            ));
        }
        lock(&self.events).push(entries);
        now_us()
    }
}

fn follow(
    mut stream: TcpStream,
    events: &Mutex<Vec<Vec<Entry>>>,
    slowness: &AtomicU64,
) -> Option<()> {
    let mut position = [0; 8];
    stream.read_exact(&mut position).ok()?;
    thread::sleep(Duration::from_millis(slowness.load(Ordering::Relaxed)));
    let _ = stream.set_nodelay(true);
    let mut at = u64::from_be_bytes(position).max(1);
    let mut sent = Instant::now();
    loop {
        let next = lock(events).get(at as usize - 1).cloned();
        if let Some(entries) = next {
            at += 1;
            let payload: Vec<u8> = entries.iter().flat_map(Entry::record).collect();
            write_frame(&mut stream, at, 2, &payload)?;
            sent = Instant::now();
        } else if sent.elapsed() >= Duration::from_secs(1) {
            write_frame(&mut stream, at, 0, &[])?;
            sent = Instant::now();
        }
        thread::sleep(Duration::from_millis(2));
    }
}

fn write_frame(stream: &mut TcpStream, number: u64, kind: u8, payload: &[u8]) -> Option<()> {
    let mut bytes = (9 + payload.len() as u32).to_be_bytes().to_vec();
    bytes.extend(number.to_be_bytes());
    bytes.push(kind);
    bytes.extend(payload);
    stream.write_all(&bytes).ok()
}

// ---- clients -------------------------------------------------------------------------------------

/// One client connection, which carries many sessions.
pub struct Client {
    stream: TcpStream,
    record: Record,
}

pub struct Request<'a> {
    pub session: &'a str,
    pub class: &'a str,
    pub title: u64,
    pub home: u64,
    pub copies: u64,
    pub top: u64,
    pub left_ms: u64,
}

fn start_line(request: &Request, more: &str) -> String {
    let Request {
        session,
        class,
        title,
        home,
        copies,
        top,
        left_ms,
    } = request;
    let description =
        format!("{session}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n");
    format!(
        "{{\"verb\":\"START\",\"tag\":\"{session}\",\"opts\":{{\"class\":\"{class}\",\"left\":\"{left_ms}\",\
         \"key\":\"{title:016x}\",\"hint\":\"50000.0\",\
         \"extras\":\"home:{home};copies:{copies};top:{top};viewer:{session}{more}\"}},\"blob\":{}}}\n",
        json::literal(&description)
    )
}

impl Client {
    pub fn connect(port: u16, test: &Test) -> Option<Client> {
        let stream = TcpStream::connect(("127.0.0.1", port)).ok()?;
        let _ = stream.set_nodelay(true);
        let reader = stream.try_clone().ok()?;
        let (seen, record) = (test.seen.clone(), test.record.clone());
        let own_record = record.clone();
        thread::spawn(move || {
            for line in BufReader::new(reader).lines().map_while(Result::ok) {
                let time_us = now_us();
                record.line_at(time_us, &format!("client received {line}"));
                let Some(found) = json::members(&line) else {
                    continue;
                };
                let get = |name: &str| found.get(name).cloned().unwrap_or_default();
                let answer = Answer {
                    time_us,
                    verb: get("verb"),
                    cause: get("rc"),
                    description: get("blob"),
                };
                lock(&seen)
                    .answers
                    .entry(get("tag"))
                    .or_default()
                    .push(answer);
            }
        });
        Some(Client {
            stream,
            record: own_record,
        })
    }

    fn write(&mut self, line: &str) -> Option<()> {
        self.record
            .line(&format!("client sends {}", line.trim_end()));
        self.stream.write_all(line.as_bytes()).ok()
    }

    pub fn request(&mut self, request: &Request) -> Option<()> {
        self.write(&start_line(request, ""))
    }

    /// Hands a session over that plays already at a media node.
    pub fn hand_over(&mut self, request: &Request, node: u32) -> Option<()> {
        let line = start_line(request, &format!(";at:s-{node:08x}"));
        self.write(&line)
    }

    pub fn finish(&mut self, session: &str) -> Option<()> {
        self.write(&format!(
            "{{\"verb\":\"FINISH\",\"tag\":\"{session}\",\"opts\":{{}},\"rc\":16}}\n"
        ))
    }

    pub fn test(&mut self) -> Option<()> {
        self.write("{\"verb\":\"ECHO\",\"tag\":\"00000000000000ec\",\"opts\":{},\"rc\":0}\n")
    }
}

// ---- the director --------------------------------------------------------------------------------

pub struct Director {
    pub port: u16,
    child: Child,
}

/// What a start of a director needs.
pub struct Start<'a> {
    /// 0: a free port.
    pub port: u16,
    pub journal: &'a Journal,
    pub entries: &'a [Entry],
    pub settings: &'a str,
}

impl Director {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Starts a director with the `run` command of the deploy file, and waits until it passes a test.
    pub fn start(
        test: &Test,
        journal: &Journal,
        entries: &[Entry],
        settings: &str,
    ) -> Option<Director> {
        Director::start_at(
            test,
            &Start {
                port: 0,
                journal,
                entries,
                settings,
            },
        )
    }

    /// Starts a director at a port, and waits until it passes a test.
    pub fn start_at(test: &Test, start: &Start) -> Option<Director> {
        let director = Director::spawn(test, start)?;
        director.passes_test(test)?;
        Some(director)
    }

    /// Starts a director's process.
    pub fn spawn(test: &Test, start: &Start) -> Option<Director> {
        let Start {
            port,
            journal,
            entries,
            settings,
        } = *start;
        let port = if port == 0 { free_port()? } else { port };
        lock(&test.seen).answers.remove("00000000000000ec");
        let members: Vec<String> = entries.iter().map(Entry::json).collect();
        let config = format!(
            "{{\"name\":\"n0\",\"listen\":\"127.0.0.1:{port}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"journal\":\"127.0.0.1:{}\",\
             \"known\":{{\"pos\":1,\"entries\":[{{\"pos\":1,\"hosts\":{{\"revision\":1,\"complete\":true,\
             \"members\":[{}]}}}}]}},\"settings\":{settings}}}",
            journal.port,
            members.join(",")
        );
        let file = test.folder.join("config.json");
        fs::write(&file, config).ok()?;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(test.folder.join("director.log"))
            .ok()?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command()?])
            .env("ROUTER_NAME", "n0")
            .env("ROUTER_LISTEN", format!("127.0.0.1:{port}"))
            .env("ROUTER_CONFIG", &file)
            .env("TMPDIR", &test.folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .ok()?;
        test.started(child.id());
        Some(Director { port, child })
    }

    /// Waits until the director passes a test.
    pub fn passes_test(&self, test: &Test) -> Option<()> {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            let Some(mut client) = Client::connect(self.port, test) else {
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            client.test()?;
            for _ in 0..100 {
                thread::sleep(Duration::from_millis(2));
                let seen = lock(&test.seen);
                let echoes = seen.answers.get("00000000000000ec");
                if echoes.is_some_and(|all| all.iter().any(|answer| answer.cause == "1")) {
                    return Some(());
                }
            }
        }
        None
    }

    /// Kills the process outright.
    pub fn kill(mut self, test: &Test) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        test.record.line("the director is killed");
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Director {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The command after `run = ` in the deploy file.
fn run_command() -> Option<String> {
    let deploy = fs::read_to_string("deploy/balancer.toml").ok()?;
    let line = deploy.lines().find(|line| line.starts_with("run = \""))?;
    line.split('"').nth(1).map(str::to_string)
}

// ---- one run -------------------------------------------------------------------------------------

/// One run of a case.
pub struct Test {
    pub record: Record,
    pub seen: SharedSeen,
    pub folder: PathBuf,
    pub has_trouble: bool,
    started: Arc<Mutex<Vec<u32>>>,
}

static SESSIONS: AtomicU64 = AtomicU64::new(1);

impl Test {
    pub fn new(record: &str) -> Option<Test> {
        let record = Record::create(&PathBuf::from(record)).ok()?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        record.say(if has_trouble {
            "with the disruption"
        } else {
            "without the disruption"
        });
        let started: Arc<Mutex<Vec<u32>>> = Arc::default();
        let test = Test {
            record,
            seen: Arc::default(),
            folder,
            has_trouble,
            started,
        };
        test.watch();
        Some(test)
    }

    /// Ends the run, and every process that it started, if it lasts too long.
    fn watch(&self) {
        let (started, record) = (self.started.clone(), self.record.clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(110));
            record.say("the run lasted too long");
            for pid in lock(&started).iter() {
                signal(*pid, SIGKILL);
            }
            std::process::exit(2);
        });
    }

    fn started(&self, pid: u32) {
        lock(&self.started).push(pid);
    }

    /// A session id that was not used before.
    pub fn new_session() -> String {
        let number = SESSIONS.fetch_add(1, Ordering::Relaxed);
        format!(
            "{:016x}",
            (number.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 8) | 0x5a00_0000_0000_0000
        )
    }

    pub fn answers(&self, session: &str) -> Vec<Answer> {
        lock(&self.seen)
            .answers
            .get(session)
            .cloned()
            .unwrap_or_default()
    }

    pub fn node_events(&self) -> Vec<NodeEvent> {
        let mut events = lock(&self.seen).node_events.clone();
        events.sort_by_key(|event| event.time_us);
        events
    }
}

impl Drop for Test {
    fn drop(&mut self) {
        if let Ok(log) = fs::read_to_string(self.folder.join("director.log")) {
            self.record
                .line("---- the director's log, without its state lines");
            for line in log
                .lines()
                .filter(|line| !line.contains("\"message\":\"state\""))
            {
                self.record.line(line);
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

pub fn pause(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}
