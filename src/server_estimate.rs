//! A director's estimates of the servers' state, for monitoring.

use crate::director::Director;
use crate::interface::ServerId;

/// The estimated state of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerEstimate {
    /// The server.
    pub server: ServerId,
    /// Requested rates on its link, as a fraction of the link's capacity.
    pub link_utilization: f64,
    /// Requested rates on its rack's uplink, as a fraction of that capacity; 0 where racks have no uplinks.
    pub uplink_utilization: f64,
    /// Failures since the last evidence that it works.
    pub failures: u32,
    /// Its rate of set-ups is limited because it has started recently, or may have.
    pub is_warming_up: bool,
    /// It is reported to deliver less than the rates of its sessions.
    pub is_short: bool,
}

impl Director {
    /// The estimates of all servers on record, in order of their ids.
    pub fn server_estimates(&self) -> impl Iterator<Item = ServerEstimate> + '_ {
        self.servers.values().map(|server| ServerEstimate {
            server: server.endpoint.server,
            link_utilization: self.link_utilization(server),
            uplink_utilization: self.uplink_utilization(server),
            failures: server.health.failures,
            is_warming_up: self.now < server.warm_at,
            is_short: server.shortage.is_short,
        })
    }
}
