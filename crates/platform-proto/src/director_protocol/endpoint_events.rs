//! Events of the endpoint list, from the configuration file and the endpoint watch, and nodes whose process no longer
//! runs.

use super::DirectorProtocol;
use crate::config::Config;
use crate::connection_reasons::CloseReason;
use crate::endpoint_watch::{EndpointEvent, Frame};
use crate::error::EndpointWatchError;
use crate::log_event::{LogEvent, NodeName};
use crate::viewer_message::cause;
use shalewall::{Endpoint, EndpointUpdate, Event, Outcome, ServerId, Timestamp};

impl DirectorProtocol {
    /// Applies the events of a configuration file, at the start or after a reload. Events that were already applied are
    /// skipped.
    pub fn apply_known_events(&mut self, config: &Config, now: Timestamp) {
        let known = config.known.decode(&self.names);
        for event in known.events {
            self.apply_endpoint_event(now, &event, EndpointUpdate::Cached);
        }
        self.nodes.advance_sequence(known.last_sequence);
    }

    /// Sequence number of the last applied event, after which the endpoint watch has to continue.
    pub fn watch_position(&self) -> u64 {
        self.nodes.last_sequence()
    }

    /// Handles a frame of the endpoint watch. After an error the watch has to reconnect and request the events after
    /// [`DirectorProtocol::watch_position`], since some are missing. A heartbeat carries the sequence number of the
    /// last event, so that a missed last event is detected as well.
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

    /// Applies an event. `snapshot` is the kind of update that the decision module receives if the event contains the
    /// whole list.
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
            .map(|endpoint| self.clear_unknown_indices(endpoint))
            .collect();
        self.events
            .push_back(Event::EndpointsUpdated { update, endpoints });
        self.process_module_events();
        for server in changes.replaced {
            self.node_process_gone(server);
        }
        for server in changes.not_ready {
            self.close_spare_connections(server);
        }
        self.process_module_events();
    }

    /// Clears a zone or machine kind that is not in the settings.
    fn clear_unknown_indices(&self, endpoint: Endpoint) -> Endpoint {
        let zones = self.names.zones.len();
        let machine_kinds = self.names.machine_kinds.len();
        Endpoint {
            zone: endpoint.zone.filter(|zone| *zone < zones),
            machine_kind: endpoint.machine_kind.filter(|kind| *kind < machine_kinds),
            ..endpoint
        }
    }

    /// Closes the idle connections to a node that accepts no new sessions. One is kept if sessions are active there,
    /// since the node sends messages about them over it.
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

    /// Ends the sessions of a node whose process no longer runs, and closes its connections.
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
        // No session is left to release there, and the address may already belong to another node.
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
