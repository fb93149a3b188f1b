//! Settings that all parts of a director share.

use shalewall_http::Limits;
use shalewall_migration::ticket::TicketKey;
use std::time::Duration;

/// Identity and settings of one director, fixed at its start.
pub struct Director {
    /// The number that identifies it to nodes, the endpoint list and the administration API.
    pub number: u32,
    /// Limits on the HTTP messages that it reads.
    pub limits: Limits,
    /// An event stream that delivers no byte for this long is treated as broken.
    pub stream_timeout: Duration,
    /// The key that seals migration tickets. `None` if sessions are not migrated.
    pub ticket_key: Option<TicketKey>,
}
