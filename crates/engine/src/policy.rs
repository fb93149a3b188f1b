//! Decisions that the engine delegates: the placement of sessions ([`DecisionPolicy`]) and the admission of requests
//! ([`AdmissionControl`]).

use shalewall::{Action, Director, Event, TimeDelta, Timestamp};

/// Decides on the placement of an engine's sessions: the decision module, or a baseline for comparison.
pub trait DecisionPolicy {
    /// Handles one event and appends the resulting actions in order.
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>);
}

impl DecisionPolicy for Director {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        Director::handle(self, now, event, actions);
    }
}

/// The admission decision on a viewer's request, made before it reaches the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is passed to the decision module.
    Admitted,
    /// The tenant's quota is used up.
    Rejected {
        /// How long the viewer should wait before it retries.
        retry_after: TimeDelta,
    },
    /// There is no such tenant, or it accepts no new sessions.
    UnknownTenant,
}

/// Admission control of a director that many tenants share. Each admission is released exactly once.
pub trait AdmissionControl {
    /// Decides whether a request of this tenant is admitted.
    fn admit(&mut self, now: Timestamp, tenant: Option<&str>) -> Admission;
    /// Releases an admission: the request failed, or its session is over.
    fn release(&mut self, now: Timestamp, tenant: Option<&str>);
}

/// Admits all requests without a tenant, or with a tenant that the settings name.
pub(crate) struct AdmitKnownTenants(pub Vec<String>);

impl AdmissionControl for AdmitKnownTenants {
    fn admit(&mut self, _: Timestamp, tenant: Option<&str>) -> Admission {
        match tenant {
            Some(name) if !self.0.iter().any(|known| known == name) => Admission::UnknownTenant,
            _ => Admission::Admitted,
        }
    }

    fn release(&mut self, _: Timestamp, _: Option<&str>) {}
}
