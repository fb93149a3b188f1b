//! The journal service: numbered events that change the list of media nodes, as frames and as JSON.

use crate::{DecodeError, trim};
use serde::Deserialize;
use shalewall::{Endpoint, EndpointState, ServerId};
use shalewall_director_config::Names;
use std::net::{Ipv4Addr, SocketAddr};

/// A frame is so long at most: some 38,000 nodes.
const FRAME: usize = 1 << 20;
const RECORD: usize = 27;
/// Number and kind.
const HEAD: usize = 9;
/// The service says something each second; after so long without a byte it is asked again elsewhere.
pub const SILENCE_TIMEOUT: i64 = 2_200_000;

/// A node as the service lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    pub endpoint: Endpoint,
    pub address: SocketAddr,
}

/// One event.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEvent {
    pub sequence: u64,
    /// The whole list, or what has changed.
    pub is_snapshot: bool,
    pub entries: Vec<EndpointEntry>,
}

/// One frame: an event, or word that there is nothing new.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    Heartbeat(u64),
    Event(EndpointEvent),
}

/// Reads frames from bytes as they come.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buf: Vec<u8>,
}

fn uint(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |n, b| n << 8 | u64::from(*b))
}

impl FrameDecoder {
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// The next whole frame. A length that can't be is told at once, before its bytes are kept.
    pub fn frame(&mut self) -> Result<Option<Frame>, DecodeError> {
        if self.buf.len() < 4 {
            return Ok(None);
        }
        let length = uint(&self.buf[..4]) as usize;
        if !(HEAD..=FRAME).contains(&length) {
            return Err(DecodeError("a frame's length can't be"));
        }
        if self.buf.len() < 4 + length {
            return Ok(None);
        }
        let frame = read_frame(&self.buf[4..4 + length]);
        self.buf.drain(..4 + length);
        trim(&mut self.buf);
        frame.map(Some)
    }
}

fn read_frame(bytes: &[u8]) -> Result<Frame, DecodeError> {
    let (number, kind, payload) = (uint(&bytes[..8]), bytes[8], &bytes[HEAD..]);
    let whole = match kind {
        0 => return Ok(Frame::Heartbeat(number)),
        1 => true,
        2 => false,
        _ => return Err(DecodeError("a frame's kind is not known")),
    };
    if payload.len() % RECORD != 0 {
        return Err(DecodeError("a frame holds part of a record"));
    }
    let entries = payload
        .chunks(RECORD)
        .map(record)
        .collect::<Result<_, _>>()?;
    Ok(Frame::Event(EndpointEvent {
        sequence: number,
        is_snapshot: whole,
        entries,
    }))
}

fn record(r: &[u8]) -> Result<EndpointEntry, DecodeError> {
    let state = match r[10] {
        0 => EndpointState::Ready,
        1 => EndpointState::Draining,
        2 => EndpointState::Gone,
        _ => return Err(DecodeError("a node's state is not known")),
    };
    let address = Ipv4Addr::new(r[4], r[5], r[6], r[7]);
    let listed = Endpoint {
        server: ServerId(uint(&r[..4])),
        zone: Some(usize::from(r[11])),
        machine_kind: Some(usize::from(r[12])),
        cell: uint(&r[13..15]),
        state,
        weight: uint(&r[15..19]) as f64 / 1000.0,
        started_at: (came_up(uint(&r[19..27]))).map(shalewall::Timestamp::from_micros),
        fleet: 0,
    };
    Ok(EndpointEntry {
        endpoint: listed,
        address: SocketAddr::from((address, uint(&r[8..10]) as u16)),
    })
}

/// Unix milliseconds of a start; 0: long past.
fn came_up(ms: u64) -> Option<i64> {
    i64::try_from(ms)
        .ok()
        .filter(|ms| (1..1 << 50).contains(ms))
        .map(|ms| ms * 1000)
}

/// The events of a configuration.
#[derive(Debug, Default, Deserialize)]
pub struct KnownEvents {
    pub pos: u64,
    #[serde(default)]
    entries: Vec<KnownEvent>,
}

#[derive(Debug, Deserialize)]
struct KnownEvent {
    pos: u64,
    hosts: Hosts,
}

#[derive(Debug, Deserialize)]
struct Hosts {
    #[serde(default)]
    complete: bool,
    #[serde(default)]
    members: Vec<Member>,
}

#[derive(Debug, Deserialize)]
struct Member {
    id: String,
    host_port: SocketAddr,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    flavor: String,
    #[serde(default)]
    cell: u64,
    phase: Phase,
    #[serde(default = "one")]
    size: f64,
    #[serde(default)]
    up_since_ms: f64,
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Phase {
    Ready,
    Draining,
    Gone,
}

/// A node's id in text.
pub fn server(text: &str) -> Option<ServerId> {
    let digits = text.strip_prefix("s-").filter(|d| d.len() == 8)?;
    u32::from_str_radix(digits, 16)
        .ok()
        .map(|id| ServerId(u64::from(id)))
}

impl KnownEvents {
    /// The events, in order, and the number that they reach. One that names a node that can't be is left out as a whole,
    /// with all that come after it: the journal service is asked for those.
    pub fn news(&self, names: &Names) -> (Vec<EndpointEvent>, u64) {
        let entry = |m: &Member| {
            let state = match m.phase {
                Phase::Ready => EndpointState::Ready,
                Phase::Draining => EndpointState::Draining,
                Phase::Gone => EndpointState::Gone,
            };
            let listed = Endpoint {
                server: server(&m.id)?,
                zone: names.zone_index(&m.locality),
                machine_kind: names.machine_kind_index(&m.flavor),
                cell: m.cell,
                state,
                weight: m.size,
                started_at: came_up(m.up_since_ms as u64).map(shalewall::Timestamp::from_micros),
                fleet: 0,
            };
            Some(EndpointEntry {
                endpoint: listed,
                address: m.host_port,
            })
        };
        let news = |k: &KnownEvent| {
            let entries = k.hosts.members.iter().map(entry).collect::<Option<_>>()?;
            Some(EndpointEvent {
                sequence: k.pos,
                is_snapshot: k.hosts.complete,
                entries,
            })
        };
        let readable: Vec<_> = self.entries.iter().map_while(news).collect();
        let all = readable.len() == self.entries.len();
        let reaches = if all {
            self.pos
        } else {
            readable.last().map_or(0, |n| n.sequence)
        };
        (readable, reaches)
    }
}
