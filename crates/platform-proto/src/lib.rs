//! The platform's protocol, without I/O: what a director hears from viewers, media nodes and the journal service,
//! and what it says to them.
//!
//! In the manner of quinn-proto beside quinn: [`DirectorProtocol`] takes what happened and the time, gives what is to be done
//! ([`DirectorProtocol::poll_output`]), the bytes that a connection is to send ([`DirectorProtocol::poll_transmit`]) and when it wants to be called
//! again ([`DirectorProtocol::poll_timeout`]). [`viewer_message`], [`rtsp`] and [`endpoint_watch`] are the codecs, [`config`] is the file that a
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
mod director_protocol;
pub mod endpoint_watch;
mod hex_id;
mod linger;
mod links;
mod nodes;
mod probes;
mod requests;
pub mod rtsp;
mod status;
mod table;
mod transmit;
pub mod viewer_message;
mod viewers;

pub use director_protocol::{ConnectError, ConnectionId, DirectorProtocol, Output};
pub use hex_id::HexId;
pub use status::Status;
pub use transmit::Transmit;

/// A message is so long at most, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// Why a stream can't be read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodeError(pub &'static str);

impl std::fmt::Display for DecodeError {
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
