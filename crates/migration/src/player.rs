//! The player's side of migrations: it plays one epoch, switches to a later one at its first picture, and never back.

use crate::Epoch;
use shalewall::ServerId;

/// What a player has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PlayerAction {
    /// Fetch this epoch from this node, beside what plays.
    Fetch {
        /// The node to fetch from.
        node: ServerId,
        /// The epoch to fetch.
        epoch: Epoch,
    },
    /// Close the connection to a node.
    Close {
        /// The node.
        node: ServerId,
    },
    /// Tell the director that this epoch plays. Repeated whenever the epoch is offered again.
    ConfirmSwitch {
        /// The epoch that plays.
        epoch: Epoch,
    },
    /// Tell the director that this epoch will not be played.
    Decline {
        /// The declined epoch.
        epoch: Epoch,
    },
}

/// An epoch that is being fetched and of which no picture has come yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PendingFetch {
    /// The node it is fetched from.
    pub node: ServerId,
    /// The epoch.
    pub epoch: Epoch,
}

/// Which node and epoch a player plays, and which it is trying to switch to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PlayerMigration {
    node: ServerId,
    epoch: Epoch,
    pending: Option<PendingFetch>,
    /// No epoch up to this one is switched to any more.
    declined_through: Epoch,
}

impl PlayerMigration {
    /// A player that plays where its session was set up.
    pub fn new(node: ServerId) -> PlayerMigration {
        PlayerMigration {
            node,
            epoch: Epoch(0),
            pending: None,
            declined_through: Epoch(0),
        }
    }

    /// The node that it plays from.
    pub fn node(&self) -> ServerId {
        self.node
    }

    /// The epoch that it plays.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// What it fetches beside what it plays.
    pub fn pending(&self) -> Option<PendingFetch> {
        self.pending
    }

    /// The director offers an epoch.
    pub fn on_offer(&mut self, node: ServerId, epoch: Epoch) -> Vec<PlayerAction> {
        if epoch == self.epoch {
            // The director has not received the confirmation yet.
            return vec![PlayerAction::ConfirmSwitch { epoch }];
        }
        if epoch > self.epoch && epoch <= self.declined_through {
            // Nor this answer.
            return vec![PlayerAction::Decline { epoch }];
        }
        let latest = self
            .pending
            .map_or(self.epoch, |pending| pending.epoch.max(self.epoch));
        if epoch < latest {
            return Vec::new();
        }
        let superseded = self.pending.filter(|pending| pending.node != node);
        let close = superseded.map(|pending| PlayerAction::Close { node: pending.node });
        self.pending = Some(PendingFetch { node, epoch });
        // The same epoch again is fetched again: the first fetch may have been lost.
        let fetch = PlayerAction::Fetch { node, epoch };
        close.into_iter().chain([fetch]).collect()
    }

    /// The first picture of an epoch has come, complete from a segment's boundary on.
    pub fn on_picture(&mut self, node: ServerId, epoch: Epoch) -> Vec<PlayerAction> {
        if epoch <= self.epoch.max(self.declined_through) {
            return Vec::new();
        }
        let previous = std::mem::replace(&mut self.node, node);
        self.epoch = epoch;
        self.pending = self.pending.filter(|pending| pending.epoch > epoch);
        let close = (previous != node).then_some(PlayerAction::Close { node: previous });
        let confirm = PlayerAction::ConfirmSwitch { epoch };
        close.into_iter().chain([confirm]).collect()
    }

    /// No picture came in time: the epoch is declined, so that the director can try another node.
    pub fn give_up(&mut self) -> Vec<PlayerAction> {
        let Some(PendingFetch { node, epoch }) = self.pending.take() else {
            return Vec::new();
        };
        self.declined_through = self.declined_through.max(epoch);
        let close = (node != self.node).then_some(PlayerAction::Close { node });
        let decline = PlayerAction::Decline { epoch };
        close.into_iter().chain([decline]).collect()
    }

    /// The node rejected the fetch, or its connection broke before a picture came.
    pub fn on_fetch_failed(&mut self, node: ServerId, epoch: Epoch) {
        let failed = PendingFetch { node, epoch };
        self.pending = self.pending.filter(|pending| *pending != failed);
    }
}
