//! Directors that are wrong on purpose: relays that lie in a director's name, between it and its viewers or its
//! nodes. What the stand-ins see on their sockets is what a director with that fault would do.

use crate::rtsp::{self, Message};
use serde_json::Value;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// What is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DirectorFault {
    /// Every fifth answer is never said.
    DropsAnswers,
    /// Every fifth answer is said twice.
    DuplicatesAnswers,
    /// Serves with a description that no node made.
    FabricatesAnswers,
    /// Never says that a session has come to its end.
    DropsReleases,
    /// Sets paid sessions up at two nodes.
    DuplicatesPaidSetUps,
    /// Plays paid sessions below their floor.
    IgnoresRungFloor,
    /// Goes on sending to a node that drains.
    IgnoresDraining,
    /// Sends everything to a node that has just started.
    OverloadsColdNode,
    /// Gives every harmless set-up up once and sends it again.
    WastesAttempts,
    /// Holds requests back, and sends them on whoever has left meanwhile.
    ForwardsCancelledRequests,
    /// Ends as soon as it is told to.
    ExitsImmediately,
    /// Takes a list service that says nothing for one that has nothing to say.
    IgnoresSilentJournal,
}

impl DirectorFault {
    /// Told to viewers; the others are told to nodes.
    pub fn to_viewers(self) -> bool {
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

/// Longer than a request may be sent on after its viewer has left.
const HELD: Duration = Duration::from_millis(550);

/// No node is favoured.
pub const NOBODY: usize = usize::MAX;

/// What the relays of one day have in common.
pub struct FaultyDirector {
    fault: DirectorFault,
    /// The nodes' own ports.
    nodes: Vec<u16>,
    /// The node that everything is to go to.
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

/// Carries bytes one way, as `said` words them, until either side ends.
fn carry(mut from: TcpStream, to: &Stream, mut said: impl FnMut(&mut Vec<u8>) -> Vec<u8>) {
    let (mut buf, mut chunk) = (Vec::new(), [0; 4096]);
    while let Ok(n) = from.read(&mut chunk) {
        if n == 0 {
            break;
        }
        buf.extend(&chunk[..n]);
        if write(to, &said(&mut buf)).is_err() {
            break;
        }
    }
    let _ = to
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

/// Carries the list's frames whole, and a word of nothing new under the last number where none comes.
fn calm(near: TcpStream, port: u16) -> io::Result<()> {
    let mut far = TcpStream::connect(("127.0.0.1", port))?;
    let mut asked = [0; 8];
    let to = shared(&near)?;
    { &near }.read_exact(&mut asked)?;
    far.write_all(&asked)?;
    far.set_read_timeout(Some(Duration::from_secs(1)))?;
    let (mut buf, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        match far.read(&mut chunk) {
            Ok(0) => return near.shutdown(Shutdown::Both),
            Ok(n) => buf.extend(&chunk[..n]),
            Err(_) => write(&to, &[&[0, 0, 0, 9][..], &asked, &[0]].concat())?,
        }
        while let Some(length) = buf
            .get(..4)
            .map(|l| 4 + l.iter().fold(0, |n, b| n << 8 | usize::from(*b)))
        {
            if buf.len() < length {
                break;
            }
            asked.copy_from_slice(&buf[4..12]);
            write(&to, &buf.drain(..length).collect::<Vec<_>>())?;
        }
    }
}

/// Requests later, and no word of those that are given up.
fn held_back(buf: &mut Vec<u8>) -> Vec<u8> {
    thread::sleep(HELD);
    let lines = std::mem::take(buf);
    let given_up = |line: &&[u8]| {
        !(line.windows(8).any(|w| w == b"\"FINISH\"") && line.windows(7).any(|w| w == b"\"rc\":16"))
    };
    lines
        .split_inclusive(|b| *b == b'\n')
        .filter(given_up)
        .flatten()
        .copied()
        .collect()
}

impl FaultyDirector {
    pub fn new(fault: DirectorFault, nodes: Vec<u16>) -> Arc<FaultyDirector> {
        Arc::new(FaultyDirector {
            fault,
            nodes,
            preferred_node: AtomicUsize::new(NOBODY),
            count: AtomicU64::new(0),
        })
    }

    pub fn ignores_silence(&self) -> bool {
        self.fault == DirectorFault::IgnoresSilentJournal
    }

    /// A relay to the list service that says each second that there is nothing new, whether the service does or not.
    pub fn before_list(self: &Arc<FaultyDirector>, port: u16) -> io::Result<u16> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let own = listener.local_addr()?.port();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                thread::spawn(move || calm(near, port));
            }
        });
        Ok(own)
    }

    pub fn ends_at_once(&self) -> bool {
        self.fault == DirectorFault::ExitsImmediately
    }

    /// A relay to a port; its own port.
    pub fn before(self: &Arc<FaultyDirector>, port: u16) -> io::Result<u16> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let own = listener.local_addr()?.port();
        let faulty_director = self.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let faulty_director = faulty_director.clone();
                thread::spawn(move || faulty_director.relay(near, port));
            }
        });
        Ok(own)
    }

    fn relay(self: Arc<FaultyDirector>, near: TcpStream, port: u16) -> io::Result<()> {
        let Ok(far) = TcpStream::connect(("127.0.0.1", port)) else {
            return near.shutdown(Shutdown::Both);
        };
        let (to_near, to_far) = (shared(&near)?, shared(&far)?);
        let back = self.clone();
        let answers = to_near.clone();
        if self.fault.to_viewers() {
            thread::spawn(move || carry(far, &answers, |buf| back.lines(buf)));
            let holds = self.fault == DirectorFault::ForwardsCancelledRequests;
            carry(near, &to_far, |buf| {
                if holds {
                    held_back(buf)
                } else {
                    std::mem::take(buf)
                }
            });
            return Ok(());
        }
        thread::spawn(move || carry(far, &answers, std::mem::take));
        let mut others: Vec<(u16, Stream)> = Vec::new();
        carry(near, &to_far, |buf| {
            let mut out = Vec::new();
            while let Some(message) = rtsp::take(buf) {
                out.extend(self.message(message, &to_near, &mut others));
            }
            out
        });
        for (_, other) in others {
            let _ = other
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .shutdown(Shutdown::Both);
        }
        Ok(())
    }

    /// Lines on their way to a viewer.
    fn lines(&self, buf: &mut Vec<u8>) -> Vec<u8> {
        let mut out = Vec::new();
        while let Some(end) = buf.iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = buf.drain(..=end).collect();
            let Ok(mut said) = serde_json::from_slice::<Value>(&line) else {
                continue;
            };
            let answers = said["verb"] == "STARTED";
            let fifth = answers && self.count.fetch_add(1, Ordering::Relaxed) % 5 == 4;
            match self.fault {
                DirectorFault::DropsAnswers if fifth => {}
                DirectorFault::DuplicatesAnswers if fifth => {
                    out.extend([&line[..], &line[..]].concat())
                }
                DirectorFault::FabricatesAnswers if answers => {
                    said["blob"] = "s-00000009-made up\r\n".into();
                    out.extend(format!("{said}\n").into_bytes());
                }
                DirectorFault::DropsReleases if said["verb"] == "FINISH" && said["rc"] == 16 => {}
                _ => out.extend(line),
            }
        }
        out
    }

    /// A message on its way to a node: what goes there instead.
    fn message(
        &self,
        mut message: Message,
        near: &Stream,
        others: &mut Vec<(u16, Stream)>,
    ) -> Vec<u8> {
        if message.method() != "SETUP" {
            return message.write();
        }
        let paid = message.field("p-kind") == Some("paid");
        match self.fault {
            DirectorFault::DuplicatesPaidSetUps if paid => {
                let other = self.nodes
                    [self.count.fetch_add(1, Ordering::Relaxed) as usize % self.nodes.len()];
                // What that one answers is heard by nobody.
                if let Some(to) = self.way(other, None, others) {
                    let _ = write(&to, &message.write());
                }
                message.write()
            }
            DirectorFault::IgnoresRungFloor if paid => {
                message
                    .fields
                    .iter_mut()
                    .filter(|(n, _)| n == "x-rung")
                    .for_each(|(_, v)| *v = "0".into());
                message.write()
            }
            DirectorFault::IgnoresDraining | DirectorFault::OverloadsColdNode => {
                let preferred_node = self
                    .nodes
                    .get(self.preferred_node.load(Ordering::Relaxed))
                    .copied();
                let to = preferred_node.and_then(|port| self.way(port, Some(near), others));
                match to {
                    Some(to) => {
                        let _ = write(&to, &message.write());
                        Vec::new()
                    }
                    None => message.write(),
                }
            }
            DirectorFault::WastesAttempts if !paid => {
                let tag = message.field("session").unwrap_or("").to_string();
                let given_up = format!(
                    "TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\nSession: {tag}\r\nContent-Length: 0\r\n\r\n"
                );
                [message.write(), given_up.into_bytes(), message.write()].concat()
            }
            _ => message.write(),
        }
    }

    /// A connection to another node; `near`: where its answers go.
    fn way(
        &self,
        port: u16,
        near: Option<&Stream>,
        others: &mut Vec<(u16, Stream)>,
    ) -> Option<Stream> {
        if let Some((_, open)) = others.iter().find(|(p, _)| *p == port) {
            return Some(open.clone());
        }
        let stream = TcpStream::connect(("127.0.0.1", port)).ok()?;
        let to = shared(&stream).ok()?;
        if let Some(near) = near.cloned() {
            thread::spawn(move || carry(stream, &near, std::mem::take));
        }
        others.push((port, to.clone()));
        Some(to)
    }
}
