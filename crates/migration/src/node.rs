//! A node's part. It is the place where a move is decided: what is prepared under an epoch is either fetched by the
//! player or cancelled by the front, whichever comes first.

use crate::Epoch;
use crate::ticket::{Key, Millis, Ticket};
use serde::{Deserialize, Serialize};
use shalewall::{ServerId, SessionId};
use std::collections::BTreeMap;

/// What a node holds of one session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Held {
    /// The epoch that its player has fetched here.
    pub serving: Option<Epoch>,
    /// The epoch that is ready to be fetched.
    pub prepared: Option<Epoch>,
}

/// Why a node does not do it. Nothing has changed there then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The ticket is not of this service, not for this node, or out of date.
    NotGood,
    /// Under this epoch or a later one it has ended here, or another epoch has come since.
    Over,
    /// Nothing of that epoch is here.
    Unknown,
}

/// What became of a wish to cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cancelled {
    /// Nothing of that epoch can be fetched here any more.
    Never,
    /// Its player had fetched it before: it serves, and the move has happened.
    Serves,
}

/// A node's sessions as far as hand-overs go. Places, rates and streams are the node's own matter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holds {
    born: Millis,
    held: BTreeMap<u64, Held>,
    /// Up to which epoch each session has ended here: what comes late must not begin again.
    ended: BTreeMap<u64, Epoch>,
}

impl Holds {
    /// A process that begins and holds nothing. Fronts' clocks may be off by less than a start takes.
    pub fn new(born: Millis) -> Holds {
        Holds {
            born,
            held: BTreeMap::new(),
            ended: BTreeMap::new(),
        }
    }

    /// A session has been set up here: the one time that it is booked.
    pub fn set_up(&mut self, session: SessionId) {
        self.held.insert(
            session.0,
            Held {
                serving: Some(Epoch(0)),
                prepared: None,
            },
        );
    }

    pub fn held(&self, session: SessionId) -> Held {
        self.held.get(&session.0).copied().unwrap_or_default()
    }

    fn over(&self, session: u64, epoch: Epoch) -> bool {
        self.ended.get(&session).is_some_and(|to| epoch <= *to)
    }

    /// Makes ready to serve. The same ticket again has the same answer, also when it has been fetched meanwhile.
    pub fn prepare(
        &mut self,
        me: ServerId,
        key: &Key,
        now: Millis,
        ticket: &Ticket,
    ) -> Result<(), Refusal> {
        if ticket.to != me.0 || !key.knows(ticket) {
            return Err(Refusal::NotGood);
        }
        let before = self.held.get(&ticket.session).copied().unwrap_or_default();
        let known = before.serving.max(before.prepared);
        if known == Some(ticket.epoch) {
            return Ok(());
        }
        // Time bounds the first use alone: what has been prepared is bounded by its lease.
        // What was issued before this process began may have been used up by the one before it.
        if now >= ticket.until || ticket.issued < self.born {
            return Err(Refusal::NotGood);
        }
        if self.over(ticket.session, ticket.epoch) || known > Some(ticket.epoch) {
            return Err(Refusal::Over);
        }
        let held = Held {
            prepared: Some(ticket.epoch),
            ..before
        };
        self.held.insert(ticket.session, held);
        Ok(())
    }

    /// The player fetches. From then on this epoch serves, and can't be cancelled.
    pub fn fetch(&mut self, session: SessionId, epoch: Epoch) -> Result<(), Refusal> {
        // What serves goes on, also where a later epoch has been cancelled here.
        if self.held(session).serving == Some(epoch) {
            return Ok(());
        }
        if self.over(session.0, epoch) {
            return Err(Refusal::Over);
        }
        let Some(held) = self.held.get_mut(&session.0) else {
            return Err(Refusal::Unknown);
        };
        if held.prepared != Some(epoch) {
            return Err(Refusal::Unknown);
        }
        *held = Held {
            serving: Some(epoch),
            prepared: None,
        };
        Ok(())
    }

    /// What was prepared, or may yet come to be, is not to be fetched. Can be asked again and again.
    pub fn cancel(&mut self, session: SessionId, epoch: Epoch) -> Cancelled {
        let held = self.held(session);
        if held.serving.is_some_and(|serving| serving >= epoch) {
            return Cancelled::Serves;
        }
        // A session that is served here under an earlier epoch goes on: only what is prepared goes.
        let kept = Held {
            prepared: held.prepared.filter(|p| *p > epoch),
            ..held
        };
        self.keep(session.0, kept);
        self.end(session.0, epoch);
        Cancelled::Never
    }

    /// The player has gone over to a later epoch: what is here up to this one ends.
    pub fn release(&mut self, session: SessionId, epoch: Epoch) {
        let held = self.held(session);
        let later = |e: &Epoch| *e > epoch;
        self.keep(
            session.0,
            Held {
                serving: held.serving.filter(later),
                prepared: held.prepared.filter(later),
            },
        );
        self.end(session.0, epoch);
    }

    fn end(&mut self, session: u64, epoch: Epoch) {
        let to = self.ended.entry(session).or_default();
        *to = (*to).max(epoch);
    }

    fn keep(&mut self, session: u64, held: Held) {
        if held == Held::default() {
            self.held.remove(&session);
        } else {
            self.held.insert(session, held);
        }
    }

    /// Forgets that a session has ended here: a lease longer than any message of it can be late by is over.
    pub fn forget(&mut self, session: SessionId) {
        if !self.held.contains_key(&session.0) {
            self.ended.remove(&session.0);
        }
    }
}
