//! Updates of the endpoint list: nodes are watched while they are listed, and what a node held is lost when it is
//! listed no more.

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
        // The decision module first: nothing that follows may send to a node that is listed as gone now.
        self.run_policy();
        for NodeAddress { server, address } in changes.added {
            self.outputs
                .push_back(Output::WatchNode { server, address });
        }
        for server in changes.removed {
            self.node_removed(server);
        }
    }

    /// Migrations hear which nodes drain, and leave targets that take no sessions any more.
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
        self.lose_sessions(server, Timestamp::MAX, &[]);
        for key in self.pending_ends.at_server(server) {
            self.confirm_end(key);
        }
    }
}
