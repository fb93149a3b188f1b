//! Updates of tenants' terms: passed to the decision module before the next request.

use super::Engine;
use crate::input::TenantUpdate;
use shalewall::{EndpointUpdate, Event};

impl Engine {
    pub(super) fn tenants_updated(&mut self, updates: Vec<TenantUpdate>) {
        for update in updates {
            self.catalogue.set_terms(&update.tenant, update.terms);
        }
        let classes = self.catalogue.classes();
        let tenants = self.catalogue.tenants();
        self.config.settings.classes.clone_from(&classes);
        self.events
            .push_back(Event::SettingsUpdated { classes, tenants });
        let reassigned = self.catalogue.assign_fleets();
        let catalogue = &self.catalogue;
        let endpoints = self
            .nodes
            .assign_fleets(&reassigned, |server| catalogue.fleet(server));
        if !endpoints.is_empty() {
            self.events.push_back(Event::EndpointsUpdated {
                update: EndpointUpdate::Delta,
                endpoints,
            });
        }
    }
}
