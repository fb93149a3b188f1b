//! The endpoint list: which servers exist, and the capacity of their links.

use super::Director;
use crate::interface::{Action, Endpoint, EndpointState, EndpointUpdate, ServerId};
use crate::policy::capacity_estimate::link_capacity_kb_s;
use crate::state::servers::Server;
use crate::time::Timestamp;

/// The subscription to changes of the endpoint list.
#[derive(Default)]
pub(super) struct EndpointWatch {
    is_subscribed: bool,
    requested_at: Option<Timestamp>,
}

impl Director {
    /// Applies a full endpoint list or its changes.
    pub(super) fn update_endpoints(&mut self, update: EndpointUpdate, endpoints: Vec<Endpoint>) {
        match update {
            EndpointUpdate::Failed => {
                self.endpoint_watch.is_subscribed = false;
                return;
            }
            EndpointUpdate::Delta => self.endpoint_watch.is_subscribed = true,
            EndpointUpdate::Full => {
                self.endpoint_watch.is_subscribed = self.endpoint_watch.requested_at.is_some();
                self.mark_absent_gone(&endpoints);
            }
            EndpointUpdate::Cached => self.mark_absent_gone(&endpoints),
        }
        for endpoint in endpoints {
            self.update_endpoint(endpoint);
        }
        // Servers that are gone are removed once they hold no sessions.
        let by_server = &self.sessions.by_server;
        self.servers.retain(|id, s| s.endpoint.state != EndpointState::Gone || by_server.contains_key(id));
        self.update_link_capacities();
    }

    /// Applies one entry of the list. A later start time than recorded is a restart: it clears failures and
    /// shortage, and the server warms up again.
    fn update_endpoint(&mut self, endpoint: Endpoint) {
        let warm_up = self.settings.rules.warm_up;
        let warm_at = endpoint.started_at.unwrap_or(self.now - warm_up) + warm_up;
        let new = || Server { endpoint, warm_at, ..Server::default() };
        let server = self.servers.entry(endpoint.server).or_insert_with(new);
        if endpoint.started_at > server.endpoint.started_at {
            server.record_restart(warm_at);
        }
        server.endpoint = endpoint;
    }

    fn mark_absent_gone(&mut self, endpoints: &[Endpoint]) {
        let mut listed: Vec<ServerId> = endpoints.iter().map(|endpoint| endpoint.server).collect();
        listed.sort_unstable();
        for server in self.servers.values_mut() {
            if listed.binary_search(&server.endpoint.server).is_err() {
                server.endpoint.state = EndpointState::Gone;
            }
        }
    }

    fn update_link_capacities(&mut self) {
        let streams = |server: &Server| self.settings.stream_capacity(server.endpoint.machine_kind);
        let mean_streams = self.servers.values().map(streams).sum::<f64>() / self.servers.len().max(1) as f64;
        for server in self.servers.values_mut() {
            server.link.capacity_kb_s = link_capacity_kb_s(&self.settings, &server.endpoint, mean_streams);
        }
    }

    /// Subscribes to the list if the settings require it, and retries after a failure.
    pub(super) fn watch_endpoints(&mut self) {
        if !self.endpoint_watch.is_subscribed && self.is_subscription_due(self.endpoint_watch.requested_at) {
            self.endpoint_watch.requested_at = Some(self.now);
            self.actions.push(Action::WatchEndpoints(true));
        }
    }
}
