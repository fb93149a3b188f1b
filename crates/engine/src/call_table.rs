//! The calls to nodes that are in flight, and their purposes.

use crate::ids::CallId;
use crate::pending_ends::EndKey;
use shalewall::{ServerId, SessionId};
use shalewall_migration::Epoch;
use std::collections::HashMap;

/// The purpose of a call.
pub(crate) enum CallPurpose {
    /// A session's set-up attempt.
    SetUp(SessionId),
    /// A change of a session's rung.
    SetRung {
        /// The session.
        session: SessionId,
        /// Its new rung.
        rung: usize,
    },
    /// A session attempt's end.
    End(EndKey),
    /// A health check.
    CheckHealth(ServerId),
    /// A step of a session's migration.
    Migrate(MigrationStep),
}

/// A migration step that requires a call to the target.
#[derive(Clone, Copy)]
pub(crate) struct MigrationStep {
    pub kind: MigrationStepKind,
    pub session: SessionId,
    pub target: ServerId,
    pub epoch: Epoch,
}

/// The kind of a migration step.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum MigrationStepKind {
    Prepare,
    Cancel,
}

/// Calls in flight.
#[derive(Default)]
pub(crate) struct CallTable {
    in_flight: HashMap<CallId, CallPurpose>,
    next_id: u64,
}

impl CallTable {
    /// Adds a call and returns its id.
    pub fn add(&mut self, purpose: CallPurpose) -> CallId {
        let call = CallId(self.next_id);
        self.next_id += 1;
        self.in_flight.insert(call, purpose);
        call
    }

    /// Removes a call that has finished or is cancelled. Returns `None` if it is no longer in flight.
    pub fn remove(&mut self, call: CallId) -> Option<CallPurpose> {
        self.in_flight.remove(&call)
    }

    pub fn is_in_flight(&self, call: CallId) -> bool {
        self.in_flight.contains_key(&call)
    }
}
