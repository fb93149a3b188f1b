//! Owner of the health checks that wait for their answer. A node is asked for its load report, which checks its health
//! as well.

use crate::ids::{HealthCheckId, NodeConnectionId};
use shalewall::ServerId;
use std::collections::BTreeMap;

/// A health check that waits for its answer.
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

    /// An answer came on this connection. None: it is not that of a pending check.
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

    /// It will have no answer. None: it is not pending.
    pub(crate) fn finish_without_answer(
        &mut self,
        id: HealthCheckId,
    ) -> Option<PendingHealthCheck> {
        self.0.remove(&id)
    }
}
