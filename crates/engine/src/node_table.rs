//! The current endpoint list: addresses for calls, and the entries as last passed to the decision module.

use crate::config::Config;
use crate::input::EndpointEntry;
use shalewall::{Endpoint, EndpointState, EndpointUpdate, ServerId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The listed nodes.
#[derive(Default)]
pub(crate) struct NodeTable {
    addresses: BTreeMap<ServerId, SocketAddr>,
    /// The list as last passed to the decision module.
    endpoints: BTreeMap<ServerId, Endpoint>,
}

/// A node and the address on which it listens.
pub(crate) struct NodeAddress {
    pub server: ServerId,
    pub address: SocketAddr,
}

/// The changes made by an update of the list.
#[derive(Default)]
pub(crate) struct NodeChanges {
    /// Nodes that are new or have a new address.
    pub added: Vec<NodeAddress>,
    /// Nodes that are no longer listed.
    pub removed: Vec<ServerId>,
}

fn is_complete(update: EndpointUpdate) -> bool {
    matches!(update, EndpointUpdate::Full | EndpointUpdate::Cached)
}

impl NodeTable {
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.addresses.get(&server).copied()
    }

    /// Whether `servers` contains every listed node.
    pub fn is_covered_by(&self, servers: &BTreeSet<ServerId>) -> bool {
        self.addresses.keys().all(|server| servers.contains(server))
    }

    /// Applies the addresses of an update.
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

    /// Records the entries that are passed to the decision module.
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

    /// Sets the fleets of these nodes. Returns their updated entries.
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

/// Converts an entry for the decision module: names become numbers.
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
