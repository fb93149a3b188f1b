//! A director under test, with a scripted endpoint list and nodes on plain sockets. The nodes can fail at a given byte.
#![allow(dead_code)] // no test file uses all of it

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

/// How a scripted node handles a set-up.
#[derive(Clone, Copy, Debug)]
pub enum SetUpBehavior {
    /// Answers 201 after a delay.
    AcceptAfter(Duration),
    /// Resets the connection after reading this number of bytes of the request.
    ResetAt(usize),
    /// Sends only this number of bytes of a 201 answer, then closes the connection.
    TruncateAt(usize),
    /// Answers 201 and sends the answer twice.
    AnswerTwice,
    /// Reads the request and never answers.
    NeverAnswer,
    /// Answers 503. `never_ran` adds the field `Shalewall-Never-Ran`, which states that the request was not executed.
    Reject { never_ran: bool },
}

/// A request that a node has received, possibly incomplete.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub at: Instant,
    pub line: String,
    /// Number of the connection that it arrived on.
    pub connection: usize,
}

pub struct Node {
    pub address: SocketAddr,
    pub received: Arc<Mutex<Vec<ReceivedRequest>>>,
    behaviors: Arc<Mutex<Vec<SetUpBehavior>>>,
}

fn answer_201(session: &str) -> Vec<u8> {
    let body = format!("{{\"media\":\"http://127.0.0.1:9/{session}\"}}");
    let head = "HTTP/1.1 201 Created\r\nContent-Type: application/json\r\nShalewall-Load: link=0.1";
    format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

impl Node {
    /// Starts a node that handles its set-ups by `behaviors` in order, and accepts all further ones.
    pub fn start(behaviors: &[SetUpBehavior]) -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let received = Arc::new(Mutex::new(Vec::new()));
        let behaviors = Arc::new(Mutex::new(
            behaviors.iter().rev().copied().collect::<Vec<_>>(),
        ));
        let (received_by_all, script) = (received.clone(), behaviors.clone());
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let (received, behaviors) = (received_by_all.clone(), script.clone());
                thread::spawn(move || {
                    serve_connection(stream.unwrap(), number, &received, &behaviors)
                });
            }
        });
        Node {
            address,
            received,
            behaviors,
        }
    }

    pub fn requests(&self, method: &str) -> Vec<ReceivedRequest> {
        self.received
            .lock()
            .unwrap()
            .iter()
            .filter(|request| request.line.starts_with(method))
            .cloned()
            .collect()
    }

    /// Waits until `count` requests with a method have arrived, up to 8 s. Returns them.
    pub fn wait_for(&self, method: &str, count: usize) -> Vec<ReceivedRequest> {
        let deadline = Instant::now() + Duration::from_secs(8);
        while Instant::now() < deadline && self.requests(method).len() < count {
            thread::sleep(Duration::from_millis(10));
        }
        self.requests(method)
    }
}

fn reset_on_close(stream: &TcpStream) {
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
}

fn serve_connection(
    mut stream: TcpStream,
    number: usize,
    received: &Mutex<Vec<ReceivedRequest>>,
    behaviors: &Mutex<Vec<SetUpBehavior>>,
) {
    let _ = stream.set_nodelay(true);
    let mut buf = Vec::new();
    loop {
        // The first byte decides whether the request is a set-up (PUT) and takes the next behavior.
        let mut byte = [0; 1];
        if stream.read_exact(&mut byte).is_err() {
            return;
        }
        buf.clear();
        buf.push(byte[0]);
        let behavior = (byte[0] == b'P').then(|| {
            behaviors
                .lock()
                .unwrap()
                .pop()
                .unwrap_or(SetUpBehavior::AcceptAfter(Duration::ZERO))
        });
        let is_complete = loop {
            if let Some(SetUpBehavior::ResetAt(at)) = behavior
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
        received.lock().unwrap().push(ReceivedRequest {
            at: Instant::now(),
            line: line.clone(),
            connection: number,
        });
        if !is_complete {
            return reset_on_close(&stream);
        }
        let answer = answer_201(line.split('/').nth(2).unwrap_or("0"));
        let response = match behavior {
            Some(SetUpBehavior::AcceptAfter(delay)) => {
                thread::sleep(delay);
                answer
            }
            Some(SetUpBehavior::TruncateAt(at)) => {
                let _ = stream.write_all(&answer[..at.min(answer.len() - 1)]);
                return;
            }
            Some(SetUpBehavior::AnswerTwice) => [answer.clone(), answer].concat(),
            Some(SetUpBehavior::NeverAnswer) => {
                thread::sleep(Duration::from_secs(20));
                return;
            }
            Some(SetUpBehavior::Reject { never_ran }) => {
                let field = if never_ran {
                    "Shalewall-Never-Ran: yes\r\n"
                } else {
                    ""
                };
                format!("HTTP/1.1 503 x\r\n{field}Content-Length: 0\r\n\r\n").into_bytes()
            }
            Some(SetUpBehavior::ResetAt(_)) => return reset_on_close(&stream),
            None if line.starts_with("GET /events") => return serve_events(stream),
            None => b"HTTP/1.1 204 No Content\r\n\r\n".to_vec(),
        };
        if stream.write_all(&response).is_err() {
            return;
        }
    }
}

const SSE_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

fn serve_events(mut stream: TcpStream) {
    let _ = stream.write_all(format!("{SSE_HEAD}event: held\ndata: []\n\n").as_bytes());
    while stream.write_all(b": beat\n\n").is_ok() {
        thread::sleep(Duration::from_millis(300));
    }
}

/// Starts an endpoint list that serves these nodes. Each is in the cell of its index.
fn start_endpoint_list(nodes: &[SocketAddr]) -> SocketAddr {
    let entry = |(i, a): (usize, &SocketAddr)| {
        format!(
            "{{\"server\":{i},\"address\":\"{a}\",\"kind\":\"small\",\"cell\":{i},\"standing\":\"ready\"}}"
        )
    };
    let entries: Vec<_> = nodes.iter().enumerate().map(entry).collect();
    let response = format!("{SSE_HEAD}event: full\ndata: [{}]\n\n", entries.join(","));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, response) = (stream.unwrap(), response.clone());
            thread::spawn(move || {
                let _ = stream.read(&mut [0; 1024]);
                let _ = stream.write_all(response.as_bytes());
                while stream.write_all(b": beat\n\n").is_ok() {
                    thread::sleep(Duration::from_millis(300));
                }
            });
        }
    });
    address
}

/// The settings of a director with these nodes.
pub fn server_config(nodes: &[&Node]) -> ServerConfig {
    let file = Path::new(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../days/short-bad-day.hcl"
    ));
    let day: DayPlan = read(file).unwrap();
    let mut site = day.site;
    // Short slow start, no health checks, and every title on all nodes, so that nothing else affects node selection.
    site.rules.warm_up_ms = 100.0;
    site.limits.can_check_health = false;
    site.layout.cell_count = nodes.len() as u64;
    for title in site.titles.values_mut() {
        (title.first_cell, title.replica_cells) = (0, nodes.len() as u64);
    }
    let addresses: Vec<_> = nodes.iter().map(|n| n.address).collect();
    let front = DirectorSettings {
        listen: "127.0.0.1:0".parse().unwrap(),
        endpoint_list: start_endpoint_list(&addresses),
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

/// Starts a director with these nodes in its own thread and waits until it has connected to them.
pub fn start_director(nodes: &[&Node]) -> SocketAddr {
    let config = server_config(nodes);
    let (sender, address) = mpsc::channel();
    thread::spawn(move || {
        let executor = Rc::new(LocalExecutor::new());
        let server = shalewall_server::Server::start(&executor, &config).unwrap();
        sender.send(server.address).unwrap();
        async_io::block_on(executor.run(futures_lite::future::pending::<()>()));
    });
    let address = address.recv().unwrap();
    nodes
        .iter()
        .for_each(|n| drop(n.wait_for("GET /events", 1)));
    thread::sleep(Duration::from_millis(200));
    address
}

/// Sends a viewer's request and returns its connection.
pub fn request_session(director: SocketAddr, viewer: &str, class: &str) -> TcpStream {
    request_session_with_wait(director, viewer, class, 60_000)
}

/// Like [`request_session`], with the viewer's deadline in milliseconds.
pub fn request_session_with_wait(
    director: SocketAddr,
    viewer: &str,
    class: &str,
    wait_ms: u32,
) -> TcpStream {
    let members = format!("\"viewer\":\"{viewer}\",\"class\":\"{class}\",\"title\":\"monday\"");
    let body = format!("{{{members},\"wait_ms\":{wait_ms}}}");
    let mut stream = TcpStream::connect(director).unwrap();
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

/// Reads the statuses of all answers until 150 ms pass without a byte after the first one.
pub fn read_statuses(mut stream: TcpStream) -> Vec<u16> {
    let mut received = Vec::new();
    let mut buf = [0; 4096];
    while let Ok(n) = stream.read(&mut buf) {
        if n == 0 {
            break;
        }
        received.extend_from_slice(&buf[..n]);
        stream
            .set_read_timeout(Some(Duration::from_millis(150)))
            .unwrap();
    }
    let text = String::from_utf8_lossy(&received).into_owned();
    text.match_indices("HTTP/1.1 ")
        .map(|(i, _)| text[i + 9..i + 12].parse().unwrap())
        .collect()
}
