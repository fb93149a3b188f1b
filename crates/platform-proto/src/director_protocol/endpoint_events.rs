//! The endpoint list: events of the configuration file and of the endpoint watch, and nodes whose process is gone.

use super::DirectorProtocol;
use crate::config::Config;
use crate::connection_reasons::CloseReason;
use crate::endpoint_watch::{EndpointEvent, Frame};
use crate::error::EndpointWatchError;
use crate::log_event::{LogEvent, NodeName};
use crate::viewer_message::cause;
use shalewall::{Endpoint, EndpointUpdate, Event, Outcome, ServerId, Timestamp};

impl DirectorProtocol {
    /// Takes the events of a configuration, at the start or when it is read again. Those taken before are passed over.
    pub fn apply_known_events(&mut self, config: &Config, now: Timestamp) {
        let known = config.known.decode(&self.names);
        for event in known.events {
            self.apply_endpoint_event(now, &event, EndpointUpdate::Cached);
        }
        self.nodes.advance_sequence(known.last_sequence);
    }

    /// Number of the last event that was taken: what the endpoint watch is to begin after.
    pub fn watch_position(&self) -> u64 {
        self.nodes.last_sequence()
    }

    /// Takes a frame of the endpoint watch. After an error the service is to be asked again from the position: it left
    /// events out. A heartbeat names the last event, too: one that was never sent is missed by that alone.
    pub fn handle_watch_frame(
        &mut self,
        now: Timestamp,
        frame: &Frame,
    ) -> Result<(), EndpointWatchError> {
        let position = self.nodes.last_sequence();
        let (received, expected) = match frame {
            Frame::Heartbeat(sequence) => (*sequence, position),
            Frame::Event(event) => (event.sequence, position + 1),
        };
        if received > expected {
            return Err(EndpointWatchError::MissedEvents { expected, received });
        }
        if let Frame::Event(event) = frame {
            self.apply_endpoint_event(now, event, EndpointUpdate::Full);
        }
        Ok(())
    }

    /// `snapshot`: what the module is told where the event brings the whole list.
    fn apply_endpoint_event(
        &mut self,
        now: Timestamp,
        event: &EndpointEvent,
        snapshot: EndpointUpdate,
    ) {
        self.now = now;
        let Some(changes) = self.nodes.apply(event, now) else {
            return;
        };
        let update = if event.is_snapshot {
            snapshot
        } else {
            EndpointUpdate::Delta
        };
        let listed = event.entries.iter().map(|entry| entry.endpoint);
        let endpoints = listed
            .chain(changes.displaced)
            .map(|endpoint| self.with_known_places(endpoint))
            .collect();
        self.events
            .push_back(Event::EndpointsUpdated { update, endpoints });
        self.run_module();
        for server in changes.replaced {
            self.node_process_gone(server);
        }
        for server in changes.leaving {
            self.close_spare_connections(server);
        }
        self.run_module();
    }

    /// Leaves out a zone or machine kind that the settings lack.
    fn with_known_places(&self, endpoint: Endpoint) -> Endpoint {
        let zones = self.names.zones.len();
        let machine_kinds = self.names.machine_kinds.len();
        Endpoint {
            zone: endpoint.zone.filter(|zone| *zone < zones),
            machine_kind: endpoint.machine_kind.filter(|kind| *kind < machine_kinds),
            ..endpoint
        }
    }

    /// Closes the idle connections to a node that takes no new sessions, but one where sessions are active: that brings
    /// what the node sends of them.
    fn close_spare_connections(&mut self, server: ServerId) {
        let idle: Vec<_> = self
            .node_connections
            .to_server(server)
            .filter(|(_, connection)| !connection.is_busy())
            .map(|(id, _)| id)
            .collect();
        let needed = usize::from(self.nodes.has_active_sessions(server));
        for id in idle.into_iter().skip(needed) {
            self.close_gracefully(id, CloseReason::NotNeeded);
        }
    }

    /// The process that was known there is gone: its sessions are over, and its connections are of no use.
    pub(super) fn node_process_gone(&mut self, server: ServerId) {
        self.end_sessions_at(server);
        let connections: Vec<_> = self
            .node_connections
            .to_server(server)
            .map(|(id, _)| id)
            .collect();
        for id in connections {
            self.close_node_connection(id, CloseReason::NotNeeded);
        }
        // Nothing is active there that could be released, and the address may be another node's by now.
        if let Some(node) = self.nodes.get_mut(server) {
            node.take_pending_releases();
        }
    }

    fn end_sessions_at(&mut self, server: ServerId) {
        let Some(node) = self.nodes.get_mut(server) else {
            return;
        };
        let sessions = node.reset_process();
        self.outputs.log(LogEvent::NodeGone {
            node: NodeName(server),
            sessions: sessions.len(),
        });
        for session in sessions {
            let outcome = Outcome::ConnectionReset;
            self.end_session(session, outcome.into(), Some(cause::FAILED));
        }
    }
}
