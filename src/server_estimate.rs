//! What a director believes of the servers, for whoever watches it.

use crate::director::Director;
use crate::interface::ServerId;

/// What is believed of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerEstimate {
    /// The server.
    pub server: ServerId,
    /// Rates asked of its link, as a fraction of the link's capacity.
    pub link_utilization: f64,
    /// The same of its rack's uplink; 0 where racks have none.
    pub uplink_utilization: f64,
    /// Failures since its last sign of life.
    pub failures: u32,
    /// It is paced as a server that has just started.
    pub is_warming_up: bool,
    /// It is reported to deliver less than its sessions' rates.
    pub is_short: bool,
}

impl Director {
    /// What is believed of each listed server, by id.
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
