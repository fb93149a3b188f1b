//! An HTTP/1.1 client and server (RFC 9110, RFC 9112) for the director and its tools.
//!
//! [`head`], [`body`] and [`sse`] decode and encode messages without I/O or a clock, and check limits before they
//! buffer anything. [`client`], [`pool`] and [`server`] run them over futures-lite streams (async-io sockets, or any
//! stream in tests) and add timeouts.
//!
//! This crate handles bytes, limits and timeouts. It knows nothing of sessions, media nodes or decisions. Retry
//! decisions depend on whether any byte of a request was written to the connection, which only this layer can
//! observe: [`client::CallError`] reports it.

pub mod body;
pub mod client;
pub mod head;
pub mod pool;
pub mod server;
pub mod sse;

use std::time::Duration;

/// Limits on what a peer may send and how long it may take. Sizes are in bytes.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Length of a request target; longer ones get status 414.
    pub target: usize,
    /// Size of a head, from the start line to the empty line; larger ones get status 431.
    pub head: usize,
    /// Number of header fields; more get status 431.
    pub fields: usize,
    /// Size of a message's content; larger ones get status 413.
    pub body: usize,
    /// Bytes of pipelined requests that are read while a request is being answered.
    pub read_ahead: usize,
    /// Timeout from the first byte of a head to its end; then status 408.
    pub head_timeout: Duration,
    /// Timeout for the content after the head; then status 408.
    pub body_timeout: Duration,
    /// A connection without a request is closed after this time.
    pub idle_timeout: Duration,
    /// Timeout for one write.
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

/// Why a message is rejected, and the status to answer it with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpError {
    /// The HTTP status, 400 to 599.
    pub status: u16,
    /// The reason, for people.
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
