//! The platform's protocol, without I/O: what a director hears from viewers, media nodes and the journal service,
//! and what it says to them.
//!
//! In the manner of quinn-proto beside quinn: [`Door`] takes what happened and the time, gives what is to be done
//! ([`Door::poll_output`]), the bytes that a connection is to send ([`Door::transmit`]) and when it wants to be called
//! again ([`Door::poll_timeout`]). [`lines`], [`rtsp`] and [`journal`] are the codecs, [`config`] is the file that a
//! director starts from; behind the door are the nodes and the connections to them, the viewers' connections, and the
//! table of sessions, which turns messages into the module's events and its actions into messages, one for one.
//!
//! What this crate may know: messages, limits, the module's events and actions. What it must not: sockets, files, a
//! clock. And it decides nothing that the module decides. Its own matters are that each viewer gets one answer, that
//! a set-up is judged again before its first byte, that what ends is ended on both sides, and that every buffer and
//! table has a bound.

mod ask;
mod care;
pub mod config;
mod door;
mod hex;
pub mod journal;
pub mod lines;
mod linger;
mod links;
mod nodes;
mod probes;
mod requests;
pub mod rtsp;
mod status;
mod table;
mod transmit;
mod viewers;

pub use door::{Conn, Door, NotUp, Output};
pub use hex::Hex16;
pub use status::Status;
pub use transmit::Transmit;

/// A message is so long at most, in bytes.
pub const MESSAGE: usize = 16 * 1024;

/// Why a stream can't be read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreadable(pub &'static str);

impl std::fmt::Display for Unreadable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

/// A buffer that grew for one long message gives its room back.
fn trim(buf: &mut Vec<u8>) {
    if buf.is_empty() && buf.capacity() > 4096 {
        *buf = Vec::new();
    }
}
