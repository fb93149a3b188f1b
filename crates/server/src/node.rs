//! The protocol between a director and its media nodes: [`calls`] to a node, and a stream of [`events`] from each node.
//! `docs/protocol.md` specifies it.

pub mod calls;
pub mod events;

use shalewall::ServerId;
use shalewall_http::Limits;
use shalewall_http::pool::Pool;
use std::net::SocketAddr;
use std::time::Duration;

/// How long an idle connection to a node is kept. Shorter than the nodes' own timeout, so that a call rarely reuses a
/// connection that the node is just closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of idle connections to one node.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// The connections to one node.
pub struct NodeConnections {
    server: ServerId,
    pool: Pool,
    /// The node's address, as the `Host` field of requests.
    host: String,
}

impl NodeConnections {
    /// Creates the connections of a node; each is opened when a call needs it.
    pub fn new(server: ServerId, address: SocketAddr, limits: &Limits) -> NodeConnections {
        NodeConnections {
            server,
            pool: Pool::new(address, limits.clone(), IDLE_TIMEOUT, MAX_IDLE_CONNECTIONS),
            host: address.to_string(),
        }
    }

    /// Closes the connections that are not in use.
    pub fn close_idle(&self) {
        self.pool.clear();
    }
}
