//! The endpoint list as this director holds it: addresses for calls, and the entries as the decision module last
//! heard them.

use crate::config::Config;
use crate::input::EndpointEntry;
use shalewall::{Endpoint, EndpointState, EndpointUpdate, ServerId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Nodes that are listed.
#[derive(Default)]
pub(crate) struct NodeTable {
    addresses: BTreeMap<ServerId, SocketAddr>,
    /// The list as the decision module last heard it.
    endpoints: BTreeMap<ServerId, Endpoint>,
}

/// A node and where it listens.
pub(crate) struct NodeAddress {
    pub server: ServerId,
    pub address: SocketAddr,
}

/// What an update of the list changed.
#[derive(Default)]
pub(crate) struct NodeChanges {
    /// Nodes that are new, or listen elsewhere now.
    pub added: Vec<NodeAddress>,
    /// Nodes that are listed no more.
    pub removed: Vec<ServerId>,
}

fn is_complete(update: EndpointUpdate) -> bool {
    matches!(update, EndpointUpdate::Full | EndpointUpdate::Cached)
}

impl NodeTable {
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.addresses.get(&server).copied()
    }

    /// Whether every listed node is one of these.
    pub fn is_covered_by(&self, servers: &BTreeSet<ServerId>) -> bool {
        self.addresses.keys().all(|server| servers.contains(server))
    }

    /// Takes the addresses out of an update.
    pub fn update_addresses(
        &mut self,
        update: EndpointUpdate,
        entries: &[EndpointEntry],
    ) -> NodeChanges {
        let mut changes = NodeChanges::default();
        if update == EndpointUpdate::Failed {
            return changes;
        }
        if is_complete(update) {
            let listed: Vec<_> = entries.iter().map(|entry| entry.server).collect();
            let absent = self.addresses.keys().filter(|node| !listed.contains(node));
            changes.removed.extend(absent.copied());
        }
        for entry in entries {
            match entry.address {
                Some(address) if entry.state != EndpointState::Gone => {
                    let server = entry.server;
                    if self.addresses.insert(server, address) != Some(address) {
                        changes.added.push(NodeAddress { server, address });
                    }
                }
                _ => changes.removed.push(entry.server),
            }
        }
        let addresses = &mut self.addresses;
        changes
            .removed
            .retain(|server| addresses.remove(server).is_some());
        changes
    }

    /// Keeps the list as the decision module hears it.
    pub fn record_endpoints(&mut self, update: EndpointUpdate, endpoints: &[Endpoint]) {
        if is_complete(update) {
            self.endpoints.clear();
        }
        for endpoint in endpoints {
            match endpoint.state {
                EndpointState::Gone => drop(self.endpoints.remove(&endpoint.server)),
                _ => drop(self.endpoints.insert(endpoint.server, *endpoint)),
            }
        }
    }

    /// Assigns nodes to other fleets. Returns their entries as they are now.
    pub fn assign_fleets(
        &mut self,
        servers: &[ServerId],
        fleet_of: impl Fn(ServerId) -> u32,
    ) -> Vec<Endpoint> {
        let mut changed = Vec::new();
        for server in servers {
            if let Some(endpoint) = self.endpoints.get_mut(server) {
                endpoint.fleet = fleet_of(*server);
                changed.push(*endpoint);
            }
        }
        changed
    }
}

/// An entry as the decision module wants it: names become numbers.
pub(crate) fn endpoint_from(entry: &EndpointEntry, config: &Config, fleet: u32) -> Endpoint {
    let kinds = &config.machine_kinds;
    Endpoint {
        server: entry.server,
        zone: config.zones.iter().position(|zone| *zone == entry.zone),
        machine_kind: kinds.iter().position(|kind| *kind == entry.machine_kind),
        cell: entry.cell,
        state: entry.state,
        weight: entry.weight,
        started_at: entry.started_at,
        fleet,
    }
}
