//! The platform's protocol, without I/O: what a director receives from viewers, media nodes and the endpoint list
//! service, and what it sends to them.
//!
//! Like quinn-proto beside quinn, [`DirectorProtocol`] is a state machine. The driver passes in events and the time;
//! the state machine returns the actions to perform ([`DirectorProtocol::poll_output`]), the bytes to write on a
//! connection ([`DirectorProtocol::poll_transmit`]) and the time at which to call it again
//! ([`DirectorProtocol::poll_timeout`]).
//!
//! - Codecs: [`viewer_message`] (JSON lines), [`rtsp`] (media nodes), [`endpoint_watch`] (frames of the endpoint list
//!   service), [`config`] and [`known_events`] (the configuration file).
//! - State owners: `viewer_connections`, `node_connections`, `half_close`, `health_checks`, `node_registry` (the
//!   endpoint watch and its nodes) and `session_table`. They do not depend on each other: each method returns what
//!   changed, and `director_protocol` passes that on to the other owners.
//! - `permission` decides whether a request may be admitted, forwarded or answered at the moment of the act.
//! - The decision module ([`shalewall::Director`]) receives events and returns actions; each message translates to one
//!   event, and each action to one message.
//!
//! The crate handles messages, limits, and the decision module's events and actions. It opens no sockets or files,
//! reads no clock, and leaves every routing decision to the module. It guarantees that each viewer gets exactly one
//! answer, that a set-up is validated again before its first byte is written, that a session that ends is ended on both
//! sides, and that every buffer and table is bounded.

#![deny(missing_docs)]

mod arrival;
mod catch_up;
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
mod memory_limits;
mod node;
mod node_connection;
mod node_connections;
mod node_registry;
mod output;
mod permission;
mod recent;
mod recent_ids;
pub mod rtsp;
mod session;
mod session_request;
mod session_table;
mod status;
mod timeouts;
mod unconfirmed_transfers;
mod undelivered_releases;
mod verb;
mod viewer_connection;
mod viewer_connections;
pub mod viewer_message;

pub use arrival::Arrival;
pub use connection_reasons::{CloseReason, ConnectError, ConnectReason};
pub use director_protocol::DirectorProtocol;
pub use hex_id::HexId;
pub use ids::ConnectionId;
pub use log_event::{LogEvent, NodeName};
pub use output::{Output, Transmit};
pub use permission::{Answer, DropReason, RejectReason, RuleViolations, ViewerCloseReason};
pub use session_table::SessionCounts;
pub use shalewall_director_config::SettingError;
pub use status::{ConnectionCounts, Status};

/// Maximum length, in bytes, of a message from a viewer or a media node.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// Maximum length, in bytes, of a frame from the endpoint list service: enough for about 38,000 nodes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;
/// Maximum capacity, in bytes, that an empty buffer keeps allocated.
const MAX_SPARE_CAPACITY_BYTES: usize = 4096;

/// Frees the memory of an empty buffer that grew to hold a long message.
fn release_spare_capacity(buffer: &mut Vec<u8>) {
    if buffer.is_empty() && buffer.capacity() > MAX_SPARE_CAPACITY_BYTES {
        *buffer = Vec::new();
    }
}
