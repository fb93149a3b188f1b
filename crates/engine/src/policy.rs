//! What the engine asks others to decide: where sessions go ([`DecisionPolicy`]) and who is admitted
//! ([`AdmissionControl`]).

use shalewall::{Action, Director, Event, TimeDelta, Timestamp};

/// What decides for an engine: the decision module, or a baseline to compare it with.
pub trait DecisionPolicy {
    /// Takes one event and appends what is to be done, in order.
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>);
}

impl DecisionPolicy for Director {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        Director::handle(self, now, event, actions);
    }
}

/// What is said of a viewer's request before the decision module sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may be decided.
    Admitted,
    /// Its tenant's quota is used up for now.
    Rejected {
        /// How long the viewer waits before it comes back.
        retry_after: TimeDelta,
    },
    /// There is no such tenant, or it takes nothing new.
    UnknownTenant,
}

/// Who is admitted, where many tenants share a director. Each admission is released once, whatever becomes of it.
pub trait AdmissionControl {
    /// Admits a request of this tenant, or not.
    fn admit(&mut self, now: Timestamp, tenant: Option<&str>) -> Admission;
    /// A request that was admitted, or its session, is over.
    fn release(&mut self, now: Timestamp, tenant: Option<&str>);
}

/// Everyone is admitted whose tenant the settings name.
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
