//! Updates of the endpoint list. Nodes are watched while they are listed; the sessions of a node that is removed from
//! the list are lost.

use super::Engine;
use crate::input::EndpointEntry;
use crate::node_table::{NodeAddress, endpoint_from};
use crate::output::Output;
use shalewall::{EndpointState, EndpointUpdate, Event, ServerId, Timestamp};

impl Engine {
    pub(super) fn endpoints_updated(&mut self, update: EndpointUpdate, entries: &[EndpointEntry]) {
        let changes = self.nodes.update_addresses(update, entries);
        self.update_migration_endpoints(entries);
        let endpoints = entries.iter().map(|entry| {
            let fleet = self.catalogue.fleet(entry.server);
            endpoint_from(entry, &self.config, fleet)
        });
        let endpoints: Vec<_> = endpoints.collect();
        self.nodes.record_endpoints(update, &endpoints);
        self.events
            .push_back(Event::EndpointsUpdated { update, endpoints });
        // The decision module handles the update first, so that nothing below makes it call a node that is gone.
        self.run_policy();
        for NodeAddress { server, address } in changes.added {
            self.outputs
                .push_back(Output::WatchNode { server, address });
        }
        for server in changes.removed {
            self.node_removed(server);
        }
    }

    /// Passes the draining nodes to the planner, and withdraws migration targets that no longer accept sessions.
    fn update_migration_endpoints(&mut self, entries: &[EndpointEntry]) {
        let Some(migrations) = &mut self.migrations else {
            return;
        };
        migrations.update_endpoints(self.now, entries);
        let not_ready = entries
            .iter()
            .filter(|entry| entry.state != EndpointState::Ready);
        let not_ready: Vec<_> = not_ready.map(|entry| entry.server).collect();
        self.withdraw_targets(&not_ready);
    }

    fn node_removed(&mut self, server: ServerId) {
        self.outputs.push_back(Output::UnwatchNode { server });
        self.handle_lost_sessions(server, Timestamp::MAX, &[]);
        for key in self.pending_ends.at_server(server) {
            self.confirm_end(key);
        }
    }
}
