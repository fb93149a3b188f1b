//! The list of servers as this front holds it: addresses for calls, lines for the director.

use crate::config::Config;
use crate::input::EndpointEntry;
use shalewall::{Endpoint, EndpointState, EndpointUpdate, ServerId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

#[derive(Default)]
pub(crate) struct Nodes {
    addresses: BTreeMap<ServerId, SocketAddr>,
    /// The list as the director last heard it.
    lines: BTreeMap<ServerId, Endpoint>,
}

/// What a piece of news changed.
#[derive(Default)]
pub(crate) struct Change {
    pub new: Vec<(ServerId, SocketAddr)>,
    pub gone: Vec<ServerId>,
}

impl Nodes {
    pub fn address(&self, server: ServerId) -> Option<SocketAddr> {
        self.addresses.get(&server).copied()
    }

    /// Whether these are all that there are.
    pub fn all_in(&self, told: &BTreeSet<ServerId>) -> bool {
        self.addresses.keys().all(|server| told.contains(server))
    }

    /// Keeps what the director is told of the list.
    pub fn told(&mut self, news: EndpointUpdate, lines: &[Endpoint]) {
        if matches!(news, EndpointUpdate::Full | EndpointUpdate::Cached) {
            self.lines.clear();
        }
        for line in lines {
            match line.state {
                EndpointState::Gone => drop(self.lines.remove(&line.server)),
                _ => drop(self.lines.insert(line.server, *line)),
            }
        }
    }

    /// Servers are of other fleets now: the lines that say so.
    pub fn move_to(
        &mut self,
        servers: &[ServerId],
        fleet: impl Fn(ServerId) -> u32,
    ) -> Vec<Endpoint> {
        let mut changed = Vec::new();
        for server in servers {
            if let Some(line) = self.lines.get_mut(server) {
                line.fleet = fleet(*server);
                changed.push(*line);
            }
        }
        changed
    }

    pub fn list(&mut self, news: EndpointUpdate, lines: &[EndpointEntry]) -> Change {
        let mut change = Change::default();
        let whole = matches!(news, EndpointUpdate::Full | EndpointUpdate::Cached);
        if news == EndpointUpdate::Failed {
            return change;
        }
        if whole {
            let named: Vec<_> = lines.iter().map(|l| l.server).collect();
            let absent = self.addresses.keys().filter(|s| !named.contains(s));
            change.gone.extend(absent.copied());
        }
        for line in lines {
            match line.address {
                Some(address) if line.state != EndpointState::Gone => {
                    let before = self.addresses.insert(line.server, address);
                    if before != Some(address) {
                        change.new.push((line.server, address));
                    }
                }
                _ => change.gone.push(line.server),
            }
        }
        change.gone.retain(|s| self.addresses.remove(s).is_some());
        change
    }
}

/// A line in the director's words: names become indices.
pub(crate) fn listed(line: &EndpointEntry, config: &Config, fleet: u32) -> Endpoint {
    Endpoint {
        server: line.server,
        zone: config.zones.iter().position(|z| *z == line.zone),
        machine_kind: config
            .machine_kinds
            .iter()
            .position(|k| *k == line.machine_kind),
        cell: line.cell,
        state: line.state,
        weight: line.weight,
        started_at: line.started_at.map(shalewall::Timestamp::from_micros),
        fleet,
    }
}
