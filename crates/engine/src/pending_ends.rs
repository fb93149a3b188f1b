//! Attempts that nodes have to end and have not confirmed yet. An end is sent again until its node confirms it, since
//! until then the node may hold the session, or begin it.

use crate::ids::CallId;
use shalewall::{ServerId, SessionId, TimeDelta};
use shalewall_migration::Epoch;
use std::collections::BTreeMap;

/// A call that a node must confirm is tried again after this, doubling up to [`MAX_RETRY_DELAY`].
pub(crate) const RETRY_DELAY: TimeDelta = TimeDelta::from_millis(250);
const MAX_RETRY_DELAY: TimeDelta = TimeDelta::from_secs(4);
/// The delay doubles so often at most.
const MAX_DOUBLINGS: u32 = 4;
/// How long to wait for a node's confirmation before the backoff begins.
const CONFIRMATION_TIMEOUT: TimeDelta = TimeDelta::from_secs(2);

/// The attempt of a session that a node has to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EndKey {
    pub server: ServerId,
    pub session: SessionId,
    pub attempt: u32,
}

/// An end that its node has not confirmed.
pub(crate) struct PendingEnd {
    /// The call that is in flight for it.
    pub call: Option<CallId>,
    /// What the node holds under later epochs goes on; none: all ends, and nothing begins any more.
    pub up_to_epoch: Option<Epoch>,
    tries: u32,
}

/// What became of an end that is required.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndRequirement {
    /// It has not been required before.
    New,
    /// More epochs than before have to end.
    Extended,
    /// As much was required before.
    Unchanged,
}

/// One try of an end.
pub(crate) struct EndTry {
    /// An earlier call for the same end, which is not waited for any more.
    pub superseded: Option<CallId>,
    pub up_to_epoch: Option<Epoch>,
}

/// All ends that nodes have not confirmed.
#[derive(Default)]
pub(crate) struct PendingEnds(BTreeMap<EndKey, PendingEnd>);

impl PendingEnds {
    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn contains(&self, key: EndKey) -> bool {
        self.0.contains_key(&key)
    }

    /// A node has to end this, up to an epoch.
    pub fn require(&mut self, key: EndKey, up_to_epoch: Option<Epoch>) -> EndRequirement {
        let Some(pending) = self.0.get_mut(&key) else {
            let pending = PendingEnd {
                call: None,
                up_to_epoch,
                tries: 0,
            };
            self.0.insert(key, pending);
            return EndRequirement::New;
        };
        let ends_all = pending.up_to_epoch.is_none();
        if ends_all || (up_to_epoch.is_some() && pending.up_to_epoch >= up_to_epoch) {
            return EndRequirement::Unchanged;
        }
        pending.up_to_epoch = up_to_epoch;
        EndRequirement::Extended
    }

    /// Begins a try; nothing if the end is not pending any more.
    pub fn begin_try(&mut self, key: EndKey) -> Option<EndTry> {
        let pending = self.0.get_mut(&key)?;
        Some(EndTry {
            superseded: pending.call.take(),
            up_to_epoch: pending.up_to_epoch,
        })
    }

    /// A try was sent. Returns how long to wait for its answer.
    pub fn record_call(&mut self, key: EndKey, call: CallId) -> Option<TimeDelta> {
        let pending = self.0.get_mut(&key)?;
        let timeout = CONFIRMATION_TIMEOUT + backoff(pending.tries);
        pending.call = Some(call);
        pending.tries += 1;
        Some(timeout)
    }

    /// A try failed. Returns after what time to try again.
    pub fn record_failure(&mut self, key: EndKey) -> Option<TimeDelta> {
        let pending = self.0.get_mut(&key)?;
        pending.call = None;
        Some(backoff(pending.tries))
    }

    /// The node has confirmed.
    pub fn remove(&mut self, key: EndKey) -> Option<PendingEnd> {
        self.0.remove(&key)
    }

    /// What one node has to end.
    pub fn at_server(&self, server: ServerId) -> Vec<EndKey> {
        let keys = self.0.keys();
        keys.filter(|key| key.server == server).copied().collect()
    }
}

fn backoff(tries: u32) -> TimeDelta {
    let factor = 1 << tries.min(MAX_DOUBLINGS);
    (RETRY_DELAY * factor).min(MAX_RETRY_DELAY)
}
