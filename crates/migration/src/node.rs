//! The node's side of migrations. This is where a migration is decided: what is prepared under an epoch is either
//! fetched by the player or cancelled by the director, whichever comes first.

use crate::Epoch;
use crate::ticket::{Ticket, TicketKey, UnixMillis};
use serde::{Deserialize, Serialize};
use shalewall::{ServerId, SessionId};
use std::collections::BTreeMap;

/// The epochs that a node holds of one session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SessionEpochs {
    /// The epoch that the player has fetched here.
    pub serving: Option<Epoch>,
    /// The epoch that is ready to be fetched.
    pub prepared: Option<Epoch>,
}

/// Why a node does not prepare a session. Nothing has changed there then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum PrepareError {
    /// The ticket is not of this service or not for this node, was changed, has expired, or is older than this process.
    #[error("the ticket is not valid here, or has expired")]
    InvalidTicket,
    /// The session has ended here under this epoch or a later one, or a later epoch has come since.
    #[error("the epoch has ended here, or a later one has come")]
    EpochEnded,
}

/// Why a node does not let a player fetch. Nothing has changed there then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum FetchError {
    /// The session has ended here under this epoch or a later one.
    #[error("the epoch has ended here")]
    EpochEnded,
    /// Nothing of that epoch is prepared here.
    #[error("the epoch is not prepared here")]
    NotPrepared,
}

/// What became of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CancelOutcome {
    /// Nothing of that epoch can be fetched here any more.
    Cancelled,
    /// The player had fetched it before: the node serves it, and the migration has happened.
    AlreadyServing,
}

/// What one node's process holds of its sessions, as far as migrations go. Capacity, rates and streams are kept
/// elsewhere.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NodeSessions {
    started_at: UnixMillis,
    sessions: BTreeMap<SessionId, SessionEpochs>,
    /// Up to which epoch each session has ended here: a message that comes late must not begin it again.
    ended_through: BTreeMap<SessionId, Epoch>,
}

impl NodeSessions {
    /// A process that starts and holds nothing. Directors' clocks may differ from the node's by less than a start
    /// takes.
    pub fn new(started_at: UnixMillis) -> NodeSessions {
        NodeSessions {
            started_at,
            sessions: BTreeMap::new(),
            ended_through: BTreeMap::new(),
        }
    }

    /// A session has been set up here: the only time that it is booked.
    pub fn set_up(&mut self, session: SessionId) {
        let epochs = SessionEpochs {
            serving: Some(Epoch(0)),
            prepared: None,
        };
        self.sessions.insert(session, epochs);
    }

    /// What is held of a session; the default where there is nothing.
    pub fn epochs(&self, session: SessionId) -> SessionEpochs {
        self.sessions.get(&session).copied().unwrap_or_default()
    }

    /// Prepares to serve a session. The same ticket again has the same answer, also when it has been fetched meanwhile.
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
        // Time limits the first use only: what has been prepared is limited by its lease. A ticket that was issued
        // before this process started may have been used up by the process before it.
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

    /// The player fetches. From then on this epoch is served, and can't be cancelled.
    pub fn fetch(&mut self, session: SessionId, epoch: Epoch) -> Result<(), FetchError> {
        // What is served goes on, also where a later epoch has been cancelled here.
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

    /// Cancels what is prepared under an epoch, or may yet come to be. Can be asked again.
    pub fn cancel(&mut self, session: SessionId, epoch: Epoch) -> CancelOutcome {
        let before = self.epochs(session);
        if before.serving.is_some_and(|serving| serving >= epoch) {
            return CancelOutcome::AlreadyServing;
        }
        // A session that is served here under an earlier epoch goes on: only what is prepared goes.
        let remaining = SessionEpochs {
            prepared: before.prepared.filter(|prepared| *prepared > epoch),
            ..before
        };
        self.store(session, remaining);
        self.mark_ended(session, epoch);
        CancelOutcome::Cancelled
    }

    /// The player has switched to a later epoch, or the session ends: what is here up to this epoch ends.
    pub fn release(&mut self, session: SessionId, epoch: Epoch) {
        let before = self.epochs(session);
        let remaining = SessionEpochs {
            serving: before.serving.filter(|serving| *serving > epoch),
            prepared: before.prepared.filter(|prepared| *prepared > epoch),
        };
        self.store(session, remaining);
        self.mark_ended(session, epoch);
    }

    /// Forgets that a session has ended here; call it when no message of the session can come any more.
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
