//! The calls to nodes that are in flight, and what each of them is for.

use crate::ids::CallId;
use crate::pending_ends::EndKey;
use shalewall::{ServerId, SessionId};
use shalewall_migration::Epoch;
use std::collections::HashMap;

/// What a call is for.
pub(crate) enum CallPurpose {
    /// The set-up attempt of a session.
    SetUp(SessionId),
    /// A change of a session's rung.
    SetRung {
        /// The session.
        session: SessionId,
        /// Its new rung.
        rung: usize,
    },
    /// The end of an attempt.
    End(EndKey),
    /// A health check.
    CheckHealth(ServerId),
    /// A step of a session's migration.
    Migrate(MigrationStep),
}

/// A step of a migration that its target is called for.
#[derive(Clone, Copy)]
pub(crate) struct MigrationStep {
    pub kind: MigrationStepKind,
    pub session: SessionId,
    pub target: ServerId,
    pub epoch: Epoch,
}

/// What a target is called for.
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
    /// Numbers a call that is to be sent.
    pub fn add(&mut self, purpose: CallPurpose) -> CallId {
        let call = CallId(self.next_id);
        self.next_id += 1;
        self.in_flight.insert(call, purpose);
        call
    }

    /// A call is over, or given up; nothing if it was so before.
    pub fn remove(&mut self, call: CallId) -> Option<CallPurpose> {
        self.in_flight.remove(&call)
    }

    pub fn is_in_flight(&self, call: CallId) -> bool {
        self.in_flight.contains_key(&call)
    }
}
