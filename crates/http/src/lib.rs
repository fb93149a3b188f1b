//! HTTP/1.1 as the front speaks it, by RFC 9110 and RFC 9112.
//!
//! Two halves. [`head`], [`body`] and [`sse`] turn bytes into messages and back: no I/O, no clock, limits
//! checked before anything is kept. [`client`], [`pool`] and [`server`] drive them over futures-lite streams
//! (async-io's on sockets, anything in tests) and add what needs a clock: time-outs on every wait.
//!
//! What this crate may know: bytes, limits, time-outs. What it must not: sessions, servers, rules. Yet one
//! thing that the rules need can only be seen here: whether any byte of a request reached the other side's
//! stream. [`client::CallError`] says so, and nothing above has to guess.

pub mod body;
pub mod client;
pub mod head;
pub mod pool;
pub mod server;
pub mod sse;

use std::time::Duration;

/// Bounds on what a peer may send and how long it may take. Sizes in bytes.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Request target; longer ones get 414.
    pub target: usize,
    /// The whole head, start line to empty line; more gets 431.
    pub head: usize,
    /// Number of header fields; more gets 431.
    pub fields: usize,
    /// A message's content; more gets 413.
    pub body: usize,
    /// Bytes read ahead while a request is being answered.
    pub read_ahead: usize,
    /// From the first byte of a head to its end; then 408.
    pub head_timeout: Duration,
    /// For the content after the head; then 408.
    pub body_timeout: Duration,
    /// A kept connection without a request is closed after this.
    pub idle_timeout: Duration,
    /// For one write of a peer that takes nothing.
    pub write_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            target: 2048,
            head: 16 * 1024,
            fields: 64,
            body: 64 * 1024,
            read_ahead: 64 * 1024,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(30),
            write_timeout: Duration::from_secs(10),
        }
    }
}

/// Why a message can't be taken, and the status that tells its sender so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpError {
    /// Status of the answer, 400 to 599.
    pub status: u16,
    pub detail: &'static str,
}

impl HttpError {
    pub const fn new(status: u16, detail: &'static str) -> HttpError {
        HttpError { status, detail }
    }
}

impl std::fmt::Display for HttpError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} ({})", self.detail, self.status)
    }
}

impl std::error::Error for HttpError {}
