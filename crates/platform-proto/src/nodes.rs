//! The media nodes as the journal tells of them, which sessions stand there, and whether they can be reached.

use crate::HexId;
use crate::endpoint_watch::{EndpointEntry, EndpointEvent};
use shalewall::{Endpoint, EndpointState, Micros, ServerId, SessionId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A node of which nothing was heard for so long is tried with a new connection: a machine that is gone gives no
/// sign, one that stands still lets connections come up.
pub(crate) const SILENCE: Micros = 3_000_000;
/// A node to which no connection has come up for so long is gone, and what stood there is over. With the silence
/// before it and one try it stays under the 8 s that the protocol gives for releases.
pub(crate) const UNREACHABLE: Micros = 2_500_000;
/// Nobody listens and nothing was heard for so long: the process is gone, though some connection of it may look open.
/// As long as any silence: one that drains has nobody listen either, and sends no notes where nothing changes. With
/// the silence before it this, too, stays under the 8 s.
pub(crate) const REFUSED: Micros = SILENCE;
/// Pause between tries.
pub(crate) const RETRY: Micros = 300_000;

pub(crate) struct Node {
    pub listed: Endpoint,
    pub address: SocketAddr,
    pub standing: BTreeSet<SessionId>,
    pub heard: Micros,
    /// Since when no connection has come up.
    pub unreachable: Option<Micros>,
    /// Since when connections are refused and nothing has been heard over others.
    pub refused: Option<Micros>,
    /// No new connection only for what stands there before this.
    pub retry: Micros,
    /// There has been a connection to it.
    pub met: bool,
    /// Releases of what may stand there and is nobody's, and until when they are worth saying.
    pub owed: Vec<(Micros, HexId)>,
}

#[derive(Default)]
pub(crate) struct Nodes {
    pub all: BTreeMap<ServerId, Node>,
    /// Number of the last event taken.
    pub position: u64,
}

/// What an event comes to beside the lines for the module.
#[derive(Default)]
pub(crate) struct Changed {
    /// Another process than the one that was known: what stood there is over, and its connections are of no use.
    pub replaced: Vec<ServerId>,
    /// Of which the list has not said so: their address is another's now.
    pub displaced: Vec<Endpoint>,
    /// Nothing new may go there; connections without use can close.
    pub leaving: Vec<ServerId>,
}

impl Nodes {
    /// Whether sessions stand there: what ends them comes over a connection.
    pub fn stands(&self, server: ServerId) -> bool {
        self.all
            .get(&server)
            .is_some_and(|n| !n.standing.is_empty())
    }

    /// Whether a connection may be opened now for what stands there.
    pub fn due(&self, server: ServerId, now: Micros) -> bool {
        self.stands(server) && self.all.get(&server).is_some_and(|n| n.retry <= now)
    }

    /// Takes an event, in its order: none where it was taken before. Its zones and kinds are places in the
    /// settings' lists.
    pub fn take(&mut self, news: &EndpointEvent, now: Micros) -> Option<Changed> {
        if news.sequence <= self.position {
            return None;
        }
        self.position = news.sequence;
        let mut changed = Changed::default();
        let named: BTreeSet<ServerId> = news.entries.iter().map(|e| e.endpoint.server).collect();
        if news.is_snapshot {
            for (id, node) in self.all.iter_mut().filter(|(id, _)| !named.contains(id)) {
                node.listed.state = EndpointState::Gone;
                changed.leaving.push(*id);
            }
        }
        for EndpointEntry {
            endpoint: listed,
            address,
        } in &news.entries
        {
            let id = listed.server;
            if listed.state != EndpointState::Gone {
                // Whoever had this address before has gone, whatever the list says of it.
                let other = |(o, n): &(&ServerId, &Node)| **o != id && n.address == *address;
                let others: Vec<_> = self.all.iter().filter(other).map(|(o, _)| *o).collect();
                // Nothing goes there under the old name before the list says so: it would reach the new process.
                for other in &others {
                    let Some(node) = self.all.get_mut(other) else {
                        continue;
                    };
                    if node.listed.state != EndpointState::Gone
                        && !named.contains(&node.listed.server)
                    {
                        changed.displaced.push(Endpoint {
                            state: EndpointState::Gone,
                            ..node.listed
                        });
                    }
                    node.listed.state = EndpointState::Gone;
                }
                changed.replaced.extend(others);
            }
            let node = self.all.entry(id).or_insert_with(|| Node {
                listed: *listed,
                address: *address,
                standing: BTreeSet::new(),
                heard: now,
                unreachable: None,
                refused: None,
                retry: now,
                met: false,
                owed: Vec::new(),
            });
            let started = listed.started_at > node.listed.started_at;
            if node.address != *address || (started && listed.state != EndpointState::Gone) {
                changed.replaced.push(id);
            }
            if listed.state != EndpointState::Ready {
                changed.leaving.push(id);
            }
            (node.listed, node.address) = (*listed, *address);
        }
        Some(changed)
    }
}
