//! Owner of the state from the endpoint watch: the sequence number of the last event, and the media nodes.

use crate::endpoint_watch::{EndpointEntry, EndpointEvent};
use crate::node::Node;
use shalewall::{Endpoint, EndpointState, ServerId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Changes by an event, in addition to the entries that are passed to the decision module.
#[derive(Default)]
pub(crate) struct EndpointChanges {
    /// Nodes with a new process: the sessions of the old one have ended, and its connections are unusable.
    pub(crate) replaced: Vec<ServerId>,
    /// Entries of nodes whose address belongs to another node, although the list has not marked them as gone.
    pub(crate) displaced: Vec<Endpoint>,
    /// Nodes that are draining or gone; idle connections to them can be closed.
    pub(crate) not_ready: Vec<ServerId>,
}

#[derive(Default)]
pub(crate) struct NodeRegistry {
    nodes: BTreeMap<ServerId, Node>,
    last_sequence: u64,
}

impl NodeRegistry {
    pub(crate) fn len(&self) -> usize {
        self.nodes.len()
    }

    pub(crate) fn contains(&self, server: ServerId) -> bool {
        self.nodes.contains_key(&server)
    }

    pub(crate) fn get(&self, server: ServerId) -> Option<&Node> {
        self.nodes.get(&server)
    }

    pub(crate) fn get_mut(&mut self, server: ServerId) -> Option<&mut Node> {
        self.nodes.get_mut(&server)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (ServerId, &Node)> {
        self.nodes.iter().map(|(server, node)| (*server, node))
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (ServerId, &mut Node)> {
        self.nodes.iter_mut().map(|(server, node)| (*server, node))
    }

    pub(crate) fn has_ready_node(&self) -> bool {
        self.nodes.values().any(Node::is_ready)
    }

    pub(crate) fn is_ready(&self, server: ServerId) -> bool {
        self.nodes.get(&server).is_some_and(Node::is_ready)
    }

    /// Whether sessions are active at the node, which reports their end over a connection.
    pub(crate) fn has_active_sessions(&self, server: ServerId) -> bool {
        self.nodes
            .get(&server)
            .is_some_and(Node::has_active_sessions)
    }

    /// Whether a connection for the node's active sessions may be opened now.
    pub(crate) fn may_reconnect(&self, server: ServerId, now: Timestamp) -> bool {
        self.nodes
            .get(&server)
            .is_some_and(|node| node.has_active_sessions() && node.may_reconnect(now))
    }

    /// Removes nodes that are gone and have no sessions, pending releases or connections.
    pub(crate) fn remove_gone(&mut self, has_connection: impl Fn(ServerId) -> bool) {
        self.nodes.retain(|server, node| {
            !node.is_gone()
                || node.has_active_sessions()
                || node.has_pending_releases()
                || has_connection(*server)
        });
    }

    // ---- events ------------------------------------------------------------------------------

    /// Sequence number of the last event.
    pub(crate) fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Marks the events up to this sequence number as known.
    pub(crate) fn advance_sequence(&mut self, sequence: u64) {
        self.last_sequence = self.last_sequence.max(sequence);
    }

    /// Applies an event; returns `None` if it was already applied.
    pub(crate) fn apply(
        &mut self,
        event: &EndpointEvent,
        now: Timestamp,
    ) -> Option<EndpointChanges> {
        if event.sequence <= self.last_sequence {
            return None;
        }
        self.last_sequence = event.sequence;
        let mut changes = EndpointChanges::default();
        let named: BTreeSet<ServerId> = event
            .entries
            .iter()
            .map(|entry| entry.endpoint.server)
            .collect();
        if event.is_snapshot {
            self.mark_missing_gone(&named, &mut changes);
        }
        let mut displaced = BTreeSet::new();
        for entry in &event.entries {
            self.apply_entry(entry, now, &mut displaced, &mut changes);
        }
        changes.displaced = displaced
            .into_iter()
            .filter_map(|server| self.nodes.get(&server))
            .filter(|node| node.is_gone())
            .map(Node::endpoint)
            .collect();
        Some(changes)
    }

    /// Marks nodes that a snapshot does not list as gone.
    fn mark_missing_gone(&mut self, named: &BTreeSet<ServerId>, changes: &mut EndpointChanges) {
        for (server, node) in &mut self.nodes {
            if !named.contains(server) {
                node.mark_gone();
                changes.not_ready.push(*server);
            }
        }
    }

    /// Applies an entry; adds nodes whose address belongs to another one to `displaced`.
    fn apply_entry(
        &mut self,
        entry: &EndpointEntry,
        now: Timestamp,
        displaced: &mut BTreeSet<ServerId>,
        changes: &mut EndpointChanges,
    ) {
        let EndpointEntry {
            mut endpoint,
            address,
        } = *entry;
        let server = endpoint.server;
        let is_running = endpoint.state != EndpointState::Gone;
        if is_running && self.has_later_process(&endpoint, address) {
            endpoint.state = EndpointState::Gone;
            displaced.insert(server);
        } else if is_running {
            self.displace_others(server, address, displaced, changes);
        }
        let node = self
            .nodes
            .entry(server)
            .or_insert_with(|| Node::new(endpoint, address, now));
        if node.is_replaced_by(&endpoint, address) {
            changes.replaced.push(server);
        }
        if endpoint.state != EndpointState::Ready {
            changes.not_ready.push(server);
        }
        node.update(endpoint, address);
    }

    /// Whether a process that started later than an entry's is known at its address, so that the entry's process has
    /// ended: the list may tell of the old node after the new one.
    fn has_later_process(&self, endpoint: &Endpoint, address: SocketAddr) -> bool {
        self.nodes.iter().any(|(other, node)| {
            *other != endpoint.server
                && node.address() == address
                && !node.is_gone()
                && node.endpoint().started_at > endpoint.started_at
        })
    }

    /// Marks other nodes with this address as gone, whatever the list says about them. Nothing may be sent to the
    /// address for the old node, since it would reach the new process.
    fn displace_others(
        &mut self,
        server: ServerId,
        address: SocketAddr,
        displaced: &mut BTreeSet<ServerId>,
        changes: &mut EndpointChanges,
    ) {
        for (other, node) in &mut self.nodes {
            if *other == server || node.address() != address {
                continue;
            }
            if !node.is_gone() {
                displaced.insert(*other);
            }
            node.mark_gone();
            changes.replaced.push(*other);
        }
    }
}
