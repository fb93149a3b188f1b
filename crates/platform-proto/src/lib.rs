//! The platform's protocol, without I/O: what a director receives from viewers, media nodes and the endpoint list
//! service, and what it sends to them.
//!
//! In the manner of quinn-proto beside quinn, [`DirectorProtocol`] is a state machine. It takes what happened and the
//! time; it gives what is to be done ([`DirectorProtocol::poll_output`]), the bytes that a connection is to write
//! ([`DirectorProtocol::poll_transmit`]) and when it wants to be called again ([`DirectorProtocol::poll_timeout`]).
//!
//! - Codecs: [`viewer_message`] (JSON lines), [`rtsp`] (media nodes), [`endpoint_watch`] (frames of the endpoint list
//!   service), [`config`] and [`known_events`] (the configuration file).
//! - Owners, one for each state: `viewer_connections`, `node_connections`, `half_close`, `health_checks`,
//!   `node_registry` (the endpoint watch and its nodes) and `session_table`. None knows another: each answers with
//!   what changed, and `director_protocol` passes that on.
//! - The decision module ([`shalewall::Director`]) is told events and answers with actions; messages and both are
//!   translated one for one.
//!
//! What this crate may know: messages, limits, the module's events and actions. What it must not: sockets, files, a
//! clock. And it decides nothing that the module decides. Its own matters are that each viewer gets one answer, that
//! a set-up is checked again before its first byte, that what ends is ended on both sides, and that every buffer and
//! table has a bound.

#![deny(missing_docs)]

pub mod config;
mod connection_reasons;
mod connectivity;
mod director_protocol;
pub mod endpoint_watch;
pub mod error;
mod half_close;
mod health_checks;
mod hex_id;
mod ids;
pub mod known_events;
mod log_event;
mod node;
mod node_connection;
mod node_connections;
mod node_registry;
mod output;
pub mod rtsp;
mod session;
mod session_request;
mod session_table;
mod status;
mod timeouts;
mod verb;
mod viewer_connection;
mod viewer_connections;
pub mod viewer_message;

pub use connection_reasons::{CloseReason, ConnectError, ConnectReason};
pub use director_protocol::DirectorProtocol;
pub use hex_id::HexId;
pub use ids::ConnectionId;
pub use log_event::{LogEvent, NodeName};
pub use output::{Output, Transmit};
pub use session_table::SessionCounts;
pub use shalewall_director_config::SettingError;
pub use status::{ConnectionCounts, Status};

/// The longest message, in bytes, of viewers and media nodes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// The longest frame, in bytes, of the endpoint list service: some 38,000 nodes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// An empty buffer keeps so much capacity, in bytes.
const MAX_SPARE_CAPACITY: usize = 4096;

/// Frees the memory of an empty buffer that grew for one long message.
fn release_spare_capacity(buffer: &mut Vec<u8>) {
    if buffer.is_empty() && buffer.capacity() > MAX_SPARE_CAPACITY {
        *buffer = Vec::new();
    }
}
