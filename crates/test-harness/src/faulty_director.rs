//! Fault injection for directors: relays between a director and its viewers or nodes that alter the messages, so that
//! the other side sees the behavior of a faulty director.

use crate::rtsp::{self, Message};
use serde_json::Value;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Fault of a director.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectorFault {
    /// Drops every fifth response.
    DropsAnswers,
    /// Sends every fifth response twice.
    DuplicatesAnswers,
    /// Responds with a session description that no node created.
    FabricatesAnswers,
    /// Drops the notifications that a session has ended.
    DropsReleases,
    /// Sets up paid sessions at two nodes.
    DuplicatesPaidSetUps,
    /// Plays paid sessions below the floor of their class.
    IgnoresRungFloor,
    /// Keeps sending to a node that is draining.
    IgnoresDraining,
    /// Sends everything to a node that has just started.
    OverloadsColdNode,
    /// Abandons and repeats every idempotent set-up once.
    WastesAttempts,
    /// Delays requests, and forwards those that were cancelled meanwhile.
    ForwardsCancelledRequests,
    /// Exits on SIGTERM without completing its requests.
    ExitsImmediately,
    /// Treats a silent journal service as one without changes.
    IgnoresSilentJournal,
}

impl DirectorFault {
    /// Whether the fault alters messages to viewers; otherwise it alters messages to nodes.
    pub fn affects_viewers(self) -> bool {
        matches!(
            self,
            DirectorFault::DropsAnswers
                | DirectorFault::DuplicatesAnswers
                | DirectorFault::FabricatesAnswers
                | DirectorFault::DropsReleases
                | DirectorFault::ForwardsCancelledRequests
                | DirectorFault::ExitsImmediately
                | DirectorFault::IgnoresSilentJournal
        )
    }
}

/// Delay of requests, above the limit for forwarding a request after its cancellation.
const REQUEST_DELAY: Duration = Duration::from_millis(550);

/// Value of [`FaultyDirector::preferred_node`] for no preference.
pub const NO_PREFERRED_NODE: usize = usize::MAX;

/// State that the relays of a day share.
pub struct FaultyDirector {
    fault: DirectorFault,
    /// Ports of the nodes.
    nodes: Vec<u16>,
    /// Index of the node to which all set-ups are sent.
    pub preferred_node: AtomicUsize,
    count: AtomicU64,
}

type Stream = Arc<Mutex<TcpStream>>;

fn shared(stream: &TcpStream) -> io::Result<Stream> {
    Ok(Arc::new(Mutex::new(stream.try_clone()?)))
}

fn write(to: &Stream, bytes: &[u8]) -> io::Result<()> {
    to.lock()
        .unwrap_or_else(PoisonError::into_inner)
        .write_all(bytes)
}

/// Relays bytes in one direction until either side closes. `transform` takes the bytes to send from its buffer.
fn relay_bytes(
    mut from: TcpStream,
    to: &Stream,
    mut transform: impl FnMut(&mut Vec<u8>) -> Vec<u8>,
) {
    let (mut buffer, mut chunk) = (Vec::new(), [0; 4096]);
    while let Ok(n) = from.read(&mut chunk) {
        if n == 0 {
            break;
        }
        buffer.extend(&chunk[..n]);
        if write(to, &transform(&mut buffer)).is_err() {
            break;
        }
    }
    let _ = to
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

/// Relays complete frames of the journal, and sends a heartbeat with the last position when none arrives for a second.
fn relay_list_with_heartbeats(client: TcpStream, port: u16) -> io::Result<()> {
    let mut server = TcpStream::connect(("127.0.0.1", port))?;
    let mut position = [0; 8];
    let to = shared(&client)?;
    { &client }.read_exact(&mut position)?;
    server.write_all(&position)?;
    server.set_read_timeout(Some(Duration::from_secs(1)))?;
    let (mut buffer, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        match server.read(&mut chunk) {
            Ok(0) => return client.shutdown(Shutdown::Both),
            Ok(n) => buffer.extend(&chunk[..n]),
            Err(_) => write(&to, &[&[0, 0, 0, 9][..], &position, &[0]].concat())?,
        }
        while let Some(length) = buffer
            .get(..4)
            .map(|l| 4 + l.iter().fold(0, |n, b| n << 8 | usize::from(*b)))
        {
            if buffer.len() < length {
                break;
            }
            position.copy_from_slice(&buffer[4..12]);
            write(&to, &buffer.drain(..length).collect::<Vec<_>>())?;
        }
    }
}

/// Delays requests, and drops cancellations.
fn delay_requests(buffer: &mut Vec<u8>) -> Vec<u8> {
    thread::sleep(REQUEST_DELAY);
    let lines = std::mem::take(buffer);
    let is_forwarded = |line: &&[u8]| {
        !(line.windows(8).any(|w| w == b"\"FINISH\"") && line.windows(7).any(|w| w == b"\"rc\":16"))
    };
    lines
        .split_inclusive(|b| *b == b'\n')
        .filter(is_forwarded)
        .flatten()
        .copied()
        .collect()
}

impl FaultyDirector {
    /// Creates the state of a fault's relays. `nodes` are the ports of the nodes.
    pub fn new(fault: DirectorFault, nodes: Vec<u16>) -> Arc<FaultyDirector> {
        Arc::new(FaultyDirector {
            fault,
            nodes,
            preferred_node: AtomicUsize::new(NO_PREFERRED_NODE),
            count: AtomicU64::new(0),
        })
    }

    /// Whether the relay to the journal service hides its silence.
    pub fn ignores_silent_journal(&self) -> bool {
        self.fault == DirectorFault::IgnoresSilentJournal
    }

    /// Starts a relay to the journal service that sends a heartbeat each second, even if the service is silent. Returns
    /// the relay's port.
    pub fn start_list_relay(self: &Arc<FaultyDirector>, port: u16) -> io::Result<u16> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let relay_port = listener.local_addr()?.port();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                thread::spawn(move || relay_list_with_heartbeats(client, port));
            }
        });
        Ok(relay_port)
    }

    /// Whether the director exits on SIGTERM without completing its requests.
    pub fn exits_immediately(&self) -> bool {
        self.fault == DirectorFault::ExitsImmediately
    }

    /// Starts a relay to a port. Returns the relay's port.
    pub fn start_relay(self: &Arc<FaultyDirector>, port: u16) -> io::Result<u16> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let relay_port = listener.local_addr()?.port();
        let faulty_director = self.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let faulty_director = faulty_director.clone();
                thread::spawn(move || faulty_director.relay(client, port));
            }
        });
        Ok(relay_port)
    }

    fn relay(self: Arc<FaultyDirector>, client: TcpStream, port: u16) -> io::Result<()> {
        let Ok(server) = TcpStream::connect(("127.0.0.1", port)) else {
            return client.shutdown(Shutdown::Both);
        };
        let (to_client, to_server) = (shared(&client)?, shared(&server)?);
        let relay = self.clone();
        let response_stream = to_client.clone();
        if self.fault.affects_viewers() {
            thread::spawn(move || {
                relay_bytes(server, &response_stream, |buffer| {
                    relay.viewer_lines(buffer)
                })
            });
            let delays_requests = self.fault == DirectorFault::ForwardsCancelledRequests;
            relay_bytes(client, &to_server, |buffer| {
                if delays_requests {
                    delay_requests(buffer)
                } else {
                    std::mem::take(buffer)
                }
            });
            return Ok(());
        }
        thread::spawn(move || relay_bytes(server, &response_stream, std::mem::take));
        let mut other_connections: Vec<(u16, Stream)> = Vec::new();
        relay_bytes(client, &to_server, |buffer| {
            let mut out = Vec::new();
            while let Some(message) = rtsp::parse_message(buffer) {
                out.extend(self.node_messages(message, &to_client, &mut other_connections));
            }
            out
        });
        for (_, other) in other_connections {
            let _ = other
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .shutdown(Shutdown::Both);
        }
        Ok(())
    }

    /// Alters lines that are sent to a viewer.
    fn viewer_lines(&self, buffer: &mut Vec<u8>) -> Vec<u8> {
        let mut out = Vec::new();
        while let Some(end) = buffer.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            let Ok(mut message) = serde_json::from_slice::<Value>(&line) else {
                continue;
            };
            let is_response = message["verb"] == "STARTED";
            let is_fifth = is_response && self.count.fetch_add(1, Ordering::Relaxed) % 5 == 4;
            match self.fault {
                DirectorFault::DropsAnswers if is_fifth => {}
                DirectorFault::DuplicatesAnswers if is_fifth => {
                    out.extend([&line[..], &line[..]].concat())
                }
                DirectorFault::FabricatesAnswers if is_response => {
                    message["blob"] = "s-00000009-made up\r\n".into();
                    out.extend(format!("{message}\n").into_bytes());
                }
                DirectorFault::DropsReleases
                    if message["verb"] == "FINISH" && message["rc"] == 16 => {}
                _ => out.extend(line),
            }
        }
        out
    }

    /// Alters a message that is sent to a node. Returns the bytes to send instead.
    fn node_messages(
        &self,
        mut message: Message,
        client: &Stream,
        other_connections: &mut Vec<(u16, Stream)>,
    ) -> Vec<u8> {
        if message.method() != "SETUP" {
            return message.encode();
        }
        let paid = message.header("p-kind") == Some("paid");
        match self.fault {
            DirectorFault::DuplicatesPaidSetUps if paid => {
                let other = self.nodes
                    [self.count.fetch_add(1, Ordering::Relaxed) as usize % self.nodes.len()];
                // The response of the second node is discarded.
                if let Some(to) = self.node_connection(other, None, other_connections) {
                    let _ = write(&to, &message.encode());
                }
                message.encode()
            }
            DirectorFault::IgnoresRungFloor if paid => {
                message
                    .headers
                    .iter_mut()
                    .filter(|(n, _)| n == "x-rung")
                    .for_each(|(_, v)| *v = "0".into());
                message.encode()
            }
            DirectorFault::IgnoresDraining | DirectorFault::OverloadsColdNode => {
                let preferred_node = self
                    .nodes
                    .get(self.preferred_node.load(Ordering::Relaxed))
                    .copied();
                let to = preferred_node
                    .and_then(|port| self.node_connection(port, Some(client), other_connections));
                match to {
                    Some(to) => {
                        let _ = write(&to, &message.encode());
                        Vec::new()
                    }
                    None => message.encode(),
                }
            }
            DirectorFault::WastesAttempts if !paid => {
                let tag = message.header("session").unwrap_or("").to_string();
                let teardown = format!(
                    "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {tag}\r\nContent-Length: 0\r\n\r\n"
                );
                [message.encode(), teardown.into_bytes(), message.encode()].concat()
            }
            _ => message.encode(),
        }
    }

    /// Connection to another node, whose responses are relayed to `client` if there is one.
    fn node_connection(
        &self,
        port: u16,
        client: Option<&Stream>,
        other_connections: &mut Vec<(u16, Stream)>,
    ) -> Option<Stream> {
        if let Some((_, open)) = other_connections.iter().find(|(p, _)| *p == port) {
            return Some(open.clone());
        }
        let stream = TcpStream::connect(("127.0.0.1", port)).ok()?;
        let to = shared(&stream).ok()?;
        if let Some(client) = client.cloned() {
            thread::spawn(move || relay_bytes(stream, &client, std::mem::take));
        }
        other_connections.push((port, to.clone()));
        Some(to)
    }
}
