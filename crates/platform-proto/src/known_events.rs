//! Events of the endpoint list in the configuration file: the same events that [`crate::endpoint_watch`] decodes, as
//! JSON.

use crate::endpoint_watch::{EndpointEntry, EndpointEvent, parse_server_id, start_time};
use serde::Deserialize;
use shalewall::{Endpoint, EndpointState};
use shalewall_director_config::Names;
use std::net::SocketAddr;

/// Events that the configuration file contains.
#[derive(Debug, Default, Deserialize)]
pub struct KnownEvents {
    /// Sequence number of the last event.
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

/// The events of a configuration file, in order.
#[derive(Debug)]
pub struct DecodedEvents {
    /// The events that could be decoded.
    pub events: Vec<EndpointEvent>,
    /// Sequence number up to which the events are complete.
    pub last_sequence: u64,
}

impl KnownEvents {
    /// Decodes the events. An event with an invalid node id ends the sequence: that event and all later ones are left
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
