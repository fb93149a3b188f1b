//! The endpoint list's events in the configuration file: the same events as [`crate::endpoint_watch`] decodes, as JSON.

use crate::endpoint_watch::{EndpointEntry, EndpointEvent, parse_server_id, start_time};
use serde::Deserialize;
use shalewall::{Endpoint, EndpointState};
use shalewall_director_config::Names;
use std::net::SocketAddr;

/// Events that the configuration file knows.
#[derive(Debug, Default, Deserialize)]
pub struct KnownEvents {
    /// Number of the last one.
    #[serde(rename = "pos")]
    pub last_sequence: u64,
    #[serde(default)]
    entries: Vec<KnownEvent>,
}

#[derive(Debug, Deserialize)]
struct KnownEvent {
    #[serde(rename = "pos")]
    sequence: u64,
    hosts: Hosts,
}

#[derive(Debug, Deserialize)]
struct Hosts {
    #[serde(default, rename = "complete")]
    is_snapshot: bool,
    #[serde(default)]
    members: Vec<Member>,
}

#[derive(Debug, Deserialize)]
struct Member {
    id: String,
    host_port: SocketAddr,
    #[serde(default, rename = "locality")]
    zone: String,
    #[serde(default, rename = "flavor")]
    machine_kind: String,
    #[serde(default)]
    cell: u64,
    phase: Phase,
    #[serde(default = "default_weight", rename = "size")]
    weight: f64,
    #[serde(default)]
    up_since_ms: f64,
}

fn default_weight() -> f64 {
    1.0
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Phase {
    Ready,
    Draining,
    Gone,
}

/// The events of a configuration, in their order.
#[derive(Debug)]
pub struct DecodedEvents {
    /// Those that can be read.
    pub events: Vec<EndpointEvent>,
    /// Number up to which they leave nothing out.
    pub last_sequence: u64,
}

impl KnownEvents {
    /// Decodes the events. One that names a node that can't exist ends the sequence: it and those after it are left
    /// out, and the endpoint list service is asked for them.
    pub fn decode(&self, names: &Names) -> DecodedEvents {
        let events: Vec<EndpointEvent> = self
            .entries
            .iter()
            .map_while(|event| event.decode(names))
            .collect();
        let last_sequence = if events.len() == self.entries.len() {
            self.last_sequence
        } else {
            events.last().map_or(0, |event| event.sequence)
        };
        DecodedEvents {
            events,
            last_sequence,
        }
    }
}

impl KnownEvent {
    fn decode(&self, names: &Names) -> Option<EndpointEvent> {
        let entries = self
            .hosts
            .members
            .iter()
            .map(|member| member.decode(names))
            .collect::<Option<_>>()?;
        Some(EndpointEvent {
            sequence: self.sequence,
            is_snapshot: self.hosts.is_snapshot,
            entries,
        })
    }
}

impl Member {
    fn decode(&self, names: &Names) -> Option<EndpointEntry> {
        let state = match self.phase {
            Phase::Ready => EndpointState::Ready,
            Phase::Draining => EndpointState::Draining,
            Phase::Gone => EndpointState::Gone,
        };
        let endpoint = Endpoint {
            server: parse_server_id(&self.id)?,
            zone: names.zone_index(&self.zone),
            machine_kind: names.machine_kind_index(&self.machine_kind),
            cell: self.cell,
            state,
            weight: self.weight,
            started_at: start_time(self.up_since_ms as u64),
            fleet: 0,
        };
        Some(EndpointEntry {
            endpoint,
            address: self.host_port,
        })
    }
}
