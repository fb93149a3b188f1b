//! A front under test with scripted peers on plain sockets: nodes that misbehave at a stated byte.
#![allow(dead_code)] // each test file uses a part of it

use async_executor::LocalExecutor;
use rustix::net::sockopt::set_socket_linger;
use shalewall_settings::{DayPlan, DirectorSettings, ServerConfig, read};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::rc::Rc;
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

/// What a scripted node does with a set-up.
#[derive(Clone, Copy, Debug)]
pub enum Act {
    /// Plays, after so long.
    Play(Duration),
    /// Resets the connection when so many bytes of the request have come.
    ResetAt(usize),
    /// Answers 201 whole, but sends only so many bytes of it and closes.
    CutAt(usize),
    /// Plays, and sends its answer twice.
    Twice,
    /// Says nothing.
    Hold,
    /// Turned away, with the proof, or without.
    Refuse { proof: bool },
}

/// A request line that a node has read whole, or as far as it read.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at: Instant,
    pub line: String,
    /// Number of its connection.
    pub connection: usize,
}

pub struct Node {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    acts: Arc<Mutex<Vec<Act>>>,
}

fn answer_201(session: &str) -> Vec<u8> {
    let body = format!("{{\"media\":\"http://127.0.0.1:9/{session}\"}}");
    let head = "HTTP/1.1 201 Created\r\nContent-Type: application/json\r\nShalewall-Load: link=0.1";
    format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

impl Node {
    /// `acts`: what it does with its set-ups, in order; then it plays.
    pub fn start(acts: &[Act]) -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let acts = Arc::new(Mutex::new(acts.iter().rev().copied().collect::<Vec<_>>()));
        let (all, script) = (seen.clone(), acts.clone());
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let (seen, acts) = (all.clone(), script.clone());
                thread::spawn(move || connection(stream.unwrap(), number, &seen, &acts));
            }
        });
        Node {
            address,
            seen,
            acts,
        }
    }

    pub fn lines(&self, method: &str) -> Vec<Seen> {
        self.seen
            .lock()
            .unwrap()
            .iter()
            .filter(|s| s.line.starts_with(method))
            .cloned()
            .collect()
    }

    /// Waits until so many requests of a method have come.
    pub fn wait_for(&self, method: &str, count: usize) -> Vec<Seen> {
        let until = Instant::now() + Duration::from_secs(8);
        while Instant::now() < until && self.lines(method).len() < count {
            thread::sleep(Duration::from_millis(10));
        }
        self.lines(method)
    }
}

fn reset(stream: &TcpStream) {
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
}

fn connection(
    mut stream: TcpStream,
    number: usize,
    seen: &Mutex<Vec<Seen>>,
    acts: &Mutex<Vec<Act>>,
) {
    let _ = stream.set_nodelay(true);
    let mut buf = Vec::new();
    loop {
        // The first byte of a request decides what becomes of it.
        let mut byte = [0; 1];
        if stream.read_exact(&mut byte).is_err() {
            return;
        }
        buf.clear();
        buf.push(byte[0]);
        let act = (byte[0] == b'P').then(|| {
            acts.lock()
                .unwrap()
                .pop()
                .unwrap_or(Act::Play(Duration::ZERO))
        });
        let whole = loop {
            if let Some(Act::ResetAt(at)) = act
                && buf.len() >= at
            {
                break false;
            }
            let text = String::from_utf8_lossy(&buf);
            if let Some(end) = text.find("\r\n\r\n") {
                let length = text.find("Content-Length: ").map_or(0, |i| {
                    text[i + 16..]
                        .split('\r')
                        .next()
                        .unwrap()
                        .parse::<usize>()
                        .unwrap()
                });
                if buf.len() >= end + 4 + length {
                    break true;
                }
            }
            if stream.read_exact(&mut byte).is_err() {
                break false;
            }
            buf.push(byte[0]);
        };
        let line = String::from_utf8_lossy(&buf)
            .lines()
            .next()
            .unwrap_or_default()
            .to_string();
        seen.lock().unwrap().push(Seen {
            at: Instant::now(),
            line: line.clone(),
            connection: number,
        });
        if !whole {
            return reset(&stream);
        }
        let answer = answer_201(line.split('/').nth(2).unwrap_or("0"));
        let said = match act {
            Some(Act::Play(after)) => {
                thread::sleep(after);
                answer
            }
            Some(Act::CutAt(at)) => {
                let _ = stream.write_all(&answer[..at.min(answer.len() - 1)]);
                return;
            }
            Some(Act::Twice) => [answer.clone(), answer].concat(),
            Some(Act::Hold) => {
                thread::sleep(Duration::from_secs(20));
                return;
            }
            Some(Act::Refuse { proof }) => {
                let proof = if proof {
                    "Shalewall-Never-Ran: yes\r\n"
                } else {
                    ""
                };
                format!("HTTP/1.1 503 x\r\n{proof}Content-Length: 0\r\n\r\n").into_bytes()
            }
            Some(Act::ResetAt(_)) => return reset(&stream),
            None if line.starts_with("GET /events") => return events(stream),
            None => b"HTTP/1.1 204 No Content\r\n\r\n".to_vec(),
        };
        if stream.write_all(&said).is_err() {
            return;
        }
    }
}

const SSE: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

fn events(mut stream: TcpStream) {
    let _ = stream.write_all(format!("{SSE}event: held\ndata: []\n\n").as_bytes());
    while stream.write_all(b": beat\n\n").is_ok() {
        thread::sleep(Duration::from_millis(300));
    }
}

/// A list that names these nodes, the first in cell 0.
fn list(nodes: &[SocketAddr]) -> SocketAddr {
    let line = |(i, a): (usize, &SocketAddr)| {
        format!(
            "{{\"server\":{i},\"address\":\"{a}\",\"kind\":\"small\",\"cell\":{i},\"standing\":\"ready\"}}"
        )
    };
    let lines: Vec<_> = nodes.iter().enumerate().map(line).collect();
    let said = format!("{SSE}event: full\ndata: [{}]\n\n", lines.join(","));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, said) = (stream.unwrap(), said.clone());
            thread::spawn(move || {
                let _ = stream.read(&mut [0; 1024]);
                let _ = stream.write_all(said.as_bytes());
                while stream.write_all(b": beat\n\n").is_ok() {
                    thread::sleep(Duration::from_millis(300));
                }
            });
        }
    });
    address
}

/// What a front over these nodes is told.
pub fn plan(nodes: &[&Node]) -> ServerConfig {
    let file = Path::new(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../days/short-bad-day.hcl"
    ));
    let day: DayPlan = read(file).unwrap();
    let mut site = day.site;
    // The nodes are warm for the front soon, and nothing else decides which of them is taken.
    site.rules.warm_up_ms = 100.0;
    site.limits.can_check_health = false;
    site.layout.cell_count = nodes.len() as u64;
    for title in site.titles.values_mut() {
        (title.first_cell, title.replica_cells) = (0, nodes.len() as u64);
    }
    let addresses: Vec<_> = nodes.iter().map(|n| n.address).collect();
    let front = DirectorSettings {
        listen: "127.0.0.1:0".parse().unwrap(),
        endpoint_list: list(&addresses),
        number: 0,
        director_count: 1,
        zone: None,
        seed: 1,
        max_sessions: 1000,
        max_connections: 1000,
        stream_timeout_ms: 3000,
        shutdown_grace_s: 0.0,
        ticket_key_file: None,
    };
    ServerConfig {
        front,
        hosting: None,
        site,
    }
}

/// Starts a front over these nodes, on a thread of its own, and waits until it knows them.
pub fn front(nodes: &[&Node]) -> SocketAddr {
    let plan = plan(nodes);
    let (sender, address) = mpsc::channel();
    thread::spawn(move || {
        let ex = Rc::new(LocalExecutor::new());
        let serving = shalewall_server::Server::start(&ex, &plan).unwrap();
        sender.send(serving.address).unwrap();
        async_io::block_on(ex.run(futures_lite::future::pending::<()>()));
    });
    let address = address.recv().unwrap();
    nodes
        .iter()
        .for_each(|n| drop(n.wait_for("GET /events", 1)));
    thread::sleep(Duration::from_millis(200));
    address
}

/// Sends a viewer's request; the connection is the caller's.
pub fn ask(front: SocketAddr, viewer: &str, class: &str) -> TcpStream {
    ask_for(front, viewer, class, 60_000)
}

/// The same of a viewer that waits so long, in milliseconds.
pub fn ask_for(front: SocketAddr, viewer: &str, class: &str, wait: u32) -> TcpStream {
    let wanted = format!("\"viewer\":\"{viewer}\",\"class\":\"{class}\",\"title\":\"monday\"");
    let body = format!("{{{wanted},\"wait_ms\":{wait}}}");
    let mut stream = TcpStream::connect(front).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    let request = format!(
        "POST /sessions HTTP/1.1\r\nHost: f\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).unwrap();
    stream
}

/// Reads all answers that come until the front is silent for a while after the first.
pub fn statuses(mut stream: TcpStream) -> Vec<u16> {
    let mut said = Vec::new();
    let mut buf = [0; 4096];
    while let Ok(n) = stream.read(&mut buf) {
        if n == 0 {
            break;
        }
        said.extend_from_slice(&buf[..n]);
        stream
            .set_read_timeout(Some(Duration::from_millis(150)))
            .unwrap();
    }
    let text = String::from_utf8_lossy(&said).into_owned();
    text.match_indices("HTTP/1.1 ")
        .map(|(i, _)| text[i + 9..i + 12].parse().unwrap())
        .collect()
}
