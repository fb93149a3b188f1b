//! Session attempts that nodes have to end and have not confirmed yet. The call is repeated until the node confirms
//! the end, since until then it may hold the session or still start it.

use crate::ids::CallId;
use shalewall::{ServerId, SessionId, TimeDelta};
use shalewall_migration::Epoch;
use std::collections::BTreeMap;

/// Initial delay between retries of a call that a node must confirm. It doubles up to [`MAX_RETRY_DELAY`].
pub(crate) const RETRY_DELAY: TimeDelta = TimeDelta::from_millis(250);
const MAX_RETRY_DELAY: TimeDelta = TimeDelta::from_secs(4);
/// Keeps the shift in [`backoff`] from overflowing; [`MAX_RETRY_DELAY`] is reached at this exponent.
const MAX_DOUBLINGS: u32 = 4;
/// Time to wait for a node's confirmation, in addition to the backoff.
const CONFIRMATION_TIMEOUT: TimeDelta = TimeDelta::from_secs(2);

/// A session attempt that a node has to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct EndKey {
    pub server: ServerId,
    pub session: SessionId,
    pub attempt: u32,
}

/// A session end that its node has not confirmed.
pub(crate) struct PendingEnd {
    /// The call in flight for it.
    pub call: Option<CallId>,
    /// The greatest epoch that has to end: later ones continue. `None` ends all of them for good.
    pub up_to_epoch: Option<Epoch>,
    calls_sent: u32,
}

/// How a required end relates to the ones that are already pending.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndRequirement {
    /// It was not pending.
    New,
    /// It was pending, and more epochs have to end now.
    Extended,
    /// It was already pending, for at least these epochs.
    Unchanged,
}

/// What is needed to send an end to its node.
pub(crate) struct EndCall {
    /// An earlier call for the same end that has to be cancelled.
    pub superseded: Option<CallId>,
    pub up_to_epoch: Option<Epoch>,
}

/// All session ends that nodes have not confirmed.
#[derive(Default)]
pub(crate) struct PendingEnds(BTreeMap<EndKey, PendingEnd>);

impl PendingEnds {
    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn contains(&self, key: EndKey) -> bool {
        self.0.contains_key(&key)
    }

    /// Requires a node to end an attempt, up to an epoch or completely.
    pub fn require(&mut self, key: EndKey, up_to_epoch: Option<Epoch>) -> EndRequirement {
        let Some(pending) = self.0.get_mut(&key) else {
            let pending = PendingEnd {
                call: None,
                up_to_epoch,
                calls_sent: 0,
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

    /// Prepares the next call for an end. Returns `None` if the end is no longer pending.
    pub fn prepare_call(&mut self, key: EndKey) -> Option<EndCall> {
        let pending = self.0.get_mut(&key)?;
        Some(EndCall {
            superseded: pending.call.take(),
            up_to_epoch: pending.up_to_epoch,
        })
    }

    /// Records a call that was sent for an end. Returns how long to wait for its answer.
    pub fn record_call(&mut self, key: EndKey, call: CallId) -> Option<TimeDelta> {
        let pending = self.0.get_mut(&key)?;
        let timeout = CONFIRMATION_TIMEOUT + backoff(pending.calls_sent);
        pending.call = Some(call);
        pending.calls_sent += 1;
        Some(timeout)
    }

    /// Records that the call for an end failed. Returns the delay before the next one.
    pub fn record_failure(&mut self, key: EndKey) -> Option<TimeDelta> {
        let pending = self.0.get_mut(&key)?;
        pending.call = None;
        Some(backoff(pending.calls_sent))
    }

    /// Removes an end that its node has confirmed.
    pub fn remove(&mut self, key: EndKey) -> Option<PendingEnd> {
        self.0.remove(&key)
    }

    /// The ends that are pending at one node.
    pub fn at_server(&self, server: ServerId) -> Vec<EndKey> {
        let keys = self.0.keys();
        keys.filter(|key| key.server == server).copied().collect()
    }
}

fn backoff(calls_sent: u32) -> TimeDelta {
    let factor = 1 << calls_sent.min(MAX_DOUBLINGS);
    (RETRY_DELAY * factor).min(MAX_RETRY_DELAY)
}
