//! The node's side of migrations. The target node decides the outcome of a migration: an epoch that it has prepared is
//! either fetched by the player or cancelled by the director, whichever comes first.

use crate::Epoch;
use crate::ticket::{Ticket, TicketKey, UnixMillis};
use serde::{Deserialize, Serialize};
use shalewall::{ServerId, SessionId};
use std::collections::BTreeMap;

/// The epochs of one session at a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SessionEpochs {
    /// The epoch that the player has fetched.
    pub serving: Option<Epoch>,
    /// The epoch that is ready to be fetched.
    pub prepared: Option<Epoch>,
}

/// Why a node does not prepare a session. The node's state is unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum PrepareError {
    /// The ticket was not issued by this service or not for this node, was modified, has expired, or is older than
    /// this process.
    #[error("the ticket is not valid at this node, or has expired")]
    InvalidTicket,
    /// The session has ended at this node under this epoch or a later one, or a later epoch is prepared or served.
    #[error("the epoch has ended at this node, or a later one is prepared or served")]
    EpochEnded,
}

/// Why a node rejects a player's fetch. The node's state is unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum FetchError {
    /// The session has ended at this node under this epoch or a later one.
    #[error("the epoch has ended at this node")]
    EpochEnded,
    /// The epoch is not prepared at this node.
    #[error("the epoch is not prepared at this node")]
    NotPrepared,
}

/// The outcome of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CancelOutcome {
    /// The epoch can't be fetched from this node any more.
    Cancelled,
    /// The player had already fetched the epoch: the node serves it, and the migration has happened.
    AlreadyServing,
}

/// The migration state of the sessions of one node process. Capacity, rates and streams are managed elsewhere.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NodeSessions {
    started_at: UnixMillis,
    sessions: BTreeMap<SessionId, SessionEpochs>,
    /// The epoch up to which each session has ended here, so that delayed messages do not start it again.
    ended_through: BTreeMap<SessionId, Epoch>,
}

impl NodeSessions {
    /// The state of a process that has just started. The clocks of directors must not differ from the node's by more
    /// than the time that a start takes.
    pub fn new(started_at: UnixMillis) -> NodeSessions {
        NodeSessions {
            started_at,
            sessions: BTreeMap::new(),
            ended_through: BTreeMap::new(),
        }
    }

    /// Records a session that has been set up at this node.
    pub fn set_up(&mut self, session: SessionId) {
        let epochs = SessionEpochs {
            serving: Some(Epoch(0)),
            prepared: None,
        };
        self.sessions.insert(session, epochs);
    }

    /// The epochs of a session; the default if the node does not hold it.
    pub fn epochs(&self, session: SessionId) -> SessionEpochs {
        self.sessions.get(&session).copied().unwrap_or_default()
    }

    /// Prepares to serve a session. Idempotent: the same ticket gets the same result, even after the epoch has been
    /// fetched.
    pub fn prepare(
        &mut self,
        own_id: ServerId,
        key: &TicketKey,
        now: UnixMillis,
        ticket: &Ticket,
    ) -> Result<(), PrepareError> {
        if ticket.target != own_id.0 || !key.verify(ticket) {
            return Err(PrepareError::InvalidTicket);
        }
        let session = SessionId(ticket.session);
        let before = self.epochs(session);
        let latest = before.serving.max(before.prepared);
        if latest == Some(ticket.epoch) {
            return Ok(());
        }
        // The ticket's time limit applies to its first use only: a prepared epoch is limited by its lease. A ticket
        // that was issued before this process started may have been used with the previous process.
        if now >= ticket.expires_at || ticket.issued_at < self.started_at {
            return Err(PrepareError::InvalidTicket);
        }
        if self.has_ended(session, ticket.epoch) || latest > Some(ticket.epoch) {
            return Err(PrepareError::EpochEnded);
        }
        let epochs = SessionEpochs {
            prepared: Some(ticket.epoch),
            ..before
        };
        self.sessions.insert(session, epochs);
        Ok(())
    }

    /// Handles a player's fetch. From then on the epoch is served, and can't be cancelled.
    pub fn fetch(&mut self, session: SessionId, epoch: Epoch) -> Result<(), FetchError> {
        // An epoch that is being served continues, even if a later one has been cancelled at this node.
        if self.epochs(session).serving == Some(epoch) {
            return Ok(());
        }
        if self.has_ended(session, epoch) {
            return Err(FetchError::EpochEnded);
        }
        let Some(epochs) = self.sessions.get_mut(&session) else {
            return Err(FetchError::NotPrepared);
        };
        if epochs.prepared != Some(epoch) {
            return Err(FetchError::NotPrepared);
        }
        *epochs = SessionEpochs {
            serving: Some(epoch),
            prepared: None,
        };
        Ok(())
    }

    /// Cancels an epoch that is prepared, or that may be prepared by a delayed message. Idempotent.
    pub fn cancel(&mut self, session: SessionId, epoch: Epoch) -> CancelOutcome {
        let before = self.epochs(session);
        if before.serving.is_some_and(|serving| serving >= epoch) {
            return CancelOutcome::AlreadyServing;
        }
        // An earlier epoch that is being served continues: only the prepared one is dropped.
        let remaining = SessionEpochs {
            prepared: before.prepared.filter(|prepared| *prepared > epoch),
            ..before
        };
        self.store(session, remaining);
        self.mark_ended(session, epoch);
        CancelOutcome::Cancelled
    }

    /// Releases a session up to an epoch, because the player has switched to a later one or the session ends.
    pub fn release(&mut self, session: SessionId, epoch: Epoch) {
        let before = self.epochs(session);
        let remaining = SessionEpochs {
            serving: before.serving.filter(|serving| *serving > epoch),
            prepared: before.prepared.filter(|prepared| *prepared > epoch),
        };
        self.store(session, remaining);
        self.mark_ended(session, epoch);
    }

    /// Forgets that a session has ended at this node. Call it when no message of the session can arrive any more.
    pub fn forget(&mut self, session: SessionId) {
        if !self.sessions.contains_key(&session) {
            self.ended_through.remove(&session);
        }
    }

    fn has_ended(&self, session: SessionId, epoch: Epoch) -> bool {
        let ended_through = self.ended_through.get(&session);
        ended_through.is_some_and(|ended_through| epoch <= *ended_through)
    }

    fn mark_ended(&mut self, session: SessionId, epoch: Epoch) {
        let ended_through = self.ended_through.entry(session).or_default();
        *ended_through = (*ended_through).max(epoch);
    }

    fn store(&mut self, session: SessionId, epochs: SessionEpochs) {
        if epochs == SessionEpochs::default() {
            self.sessions.remove(&session);
        } else {
            self.sessions.insert(session, epochs);
        }
    }
}
