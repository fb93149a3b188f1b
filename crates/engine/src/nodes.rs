//! The list of servers as this front holds it: addresses for calls, lines for the director.

use crate::engine::Config;
use crate::io::Line;
use shalewall::{ListNews, Listed, ServerId, Standing};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

#[derive(Default)]
pub(crate) struct Nodes {
    addresses: BTreeMap<ServerId, SocketAddr>,
    /// The list as the director last heard it.
    lines: BTreeMap<ServerId, Listed>,
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
    pub fn told(&mut self, news: ListNews, lines: &[Listed]) {
        if matches!(news, ListNews::Full | ListNews::Cached) {
            self.lines.clear();
        }
        for line in lines {
            match line.state {
                Standing::Gone => drop(self.lines.remove(&line.server)),
                _ => drop(self.lines.insert(line.server, *line)),
            }
        }
    }

    /// Servers are of other fleets now: the lines that say so.
    pub fn move_to(
        &mut self,
        servers: &[ServerId],
        fleet: impl Fn(ServerId) -> u32,
    ) -> Vec<Listed> {
        let mut changed = Vec::new();
        for server in servers {
            if let Some(line) = self.lines.get_mut(server) {
                line.fleet = fleet(*server);
                changed.push(*line);
            }
        }
        changed
    }

    pub fn list(&mut self, news: ListNews, lines: &[Line]) -> Change {
        let mut change = Change::default();
        let whole = matches!(news, ListNews::Full | ListNews::Cached);
        if news == ListNews::Failed {
            return change;
        }
        if whole {
            let named: Vec<_> = lines.iter().map(|l| l.server).collect();
            let absent = self.addresses.keys().filter(|s| !named.contains(s));
            change.gone.extend(absent.copied());
        }
        for line in lines {
            match line.address {
                Some(address) if line.standing != Standing::Gone => {
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
pub(crate) fn listed(line: &Line, config: &Config, fleet: u32) -> Listed {
    Listed {
        server: line.server,
        zone: config.zones.iter().position(|z| *z == line.zone),
        kind: config.kinds.iter().position(|k| *k == line.kind),
        cell: line.cell,
        state: line.standing,
        weight: line.weight,
        came_up: line.came_up,
        fleet,
    }
}
