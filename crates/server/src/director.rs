//! What every part of a director is told of it at its start.

use shalewall_http::Limits;
use shalewall_migration::ticket::TicketKey;
use std::time::Duration;

/// A director as its parts know it.
pub struct Director {
    /// Its number, by which nodes, endpoint list and administration API know it.
    pub number: u32,
    /// Bounds of the messages that it reads.
    pub limits: Limits,
    /// An event stream without any byte for so long counts as broken.
    pub stream_timeout: Duration,
    /// Seals the tickets of migrations; none: sessions are not migrated.
    pub ticket_key: Option<TicketKey>,
}
