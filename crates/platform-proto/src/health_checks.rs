//! Owner of the pending health checks. A health check requests the load report of a node.

use crate::ids::{HealthCheckId, NodeConnectionId};
use shalewall::ServerId;
use std::collections::BTreeMap;

/// A health check without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PendingHealthCheck {
    pub(crate) server: ServerId,
    pub(crate) connection: NodeConnectionId,
}

#[derive(Default)]
pub(crate) struct HealthChecks(BTreeMap<HealthCheckId, PendingHealthCheck>);

impl HealthChecks {
    pub(crate) fn start(&mut self, id: HealthCheckId, check: PendingHealthCheck) {
        self.0.insert(id, check);
    }

    /// Completes the check that an answer on this connection belongs to; returns `None` if there is no such check.
    pub(crate) fn finish_by_answer(
        &mut self,
        id: HealthCheckId,
        received_on: NodeConnectionId,
    ) -> Option<PendingHealthCheck> {
        if self.0.get(&id)?.connection != received_on {
            return None;
        }
        self.0.remove(&id)
    }

    /// Ends a check without an answer; returns `None` if it is not pending.
    pub(crate) fn finish_without_answer(
        &mut self,
        id: HealthCheckId,
    ) -> Option<PendingHealthCheck> {
        self.0.remove(&id)
    }
}
