//! Media nodes as a director meets them: [`calls`] to them, and one stream of [`events`] from each. The protocol is
//! in `docs/protocol.md`.

pub mod calls;
pub mod events;

use shalewall::ServerId;
use shalewall_http::Limits;
use shalewall_http::pool::Pool;
use std::net::SocketAddr;
use std::time::Duration;

/// Idle connections to a node are kept for less than nodes keep theirs, so that few calls meet a closing one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle connections to one node at most.
const MAX_IDLE: usize = 64;

/// The connections to one node.
pub struct NodeConnections {
    server: ServerId,
    pool: Pool,
    /// The node's address as requests name it.
    host: String,
}

impl NodeConnections {
    /// None is opened before it is needed.
    pub fn new(server: ServerId, address: SocketAddr, limits: &Limits) -> NodeConnections {
        NodeConnections {
            server,
            pool: Pool::new(address, limits.clone(), IDLE_TIMEOUT, MAX_IDLE),
            host: address.to_string(),
        }
    }

    /// Closes the connections that are not in use.
    pub fn close_idle(&self) {
        self.pool.clear();
    }
}
