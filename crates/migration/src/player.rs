//! The player's side of migrations: it plays one epoch and switches to a later one at its first picture, never back.

use crate::Epoch;
use shalewall::ServerId;

/// An operation that the player has to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PlayerAction {
    /// Fetch an epoch from a node, in parallel to the epoch that plays.
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
    /// Confirm to the director that an epoch plays. Repeated whenever the epoch is offered again.
    ConfirmSwitch {
        /// The epoch that plays.
        epoch: Epoch,
    },
    /// Notify the director that an epoch will not be played.
    Decline {
        /// The declined epoch.
        epoch: Epoch,
    },
}

/// An epoch that is being fetched and of which no picture has arrived yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PendingFetch {
    /// The node from which it is fetched.
    pub node: ServerId,
    /// The epoch.
    pub epoch: Epoch,
}

/// The node and epoch that a player plays, and those to which it is about to switch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PlayerMigration {
    node: ServerId,
    epoch: Epoch,
    pending: Option<PendingFetch>,
    /// The greatest declined epoch: the player does not switch to this one or any before it.
    declined_through: Epoch,
}

impl PlayerMigration {
    /// Creates the state of a player that plays from the node where its session was set up.
    pub fn new(node: ServerId) -> PlayerMigration {
        PlayerMigration {
            node,
            epoch: Epoch(0),
            pending: None,
            declined_through: Epoch(0),
        }
    }

    /// The node from which it plays.
    pub fn node(&self) -> ServerId {
        self.node
    }

    /// The epoch that it plays.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The epoch that is being fetched in parallel.
    pub fn pending(&self) -> Option<PendingFetch> {
        self.pending
    }

    /// Handles an epoch that the director offers.
    pub fn on_offer(&mut self, node: ServerId, epoch: Epoch) -> Vec<PlayerAction> {
        if epoch == self.epoch {
            // The director has not received the confirmation yet.
            return vec![PlayerAction::ConfirmSwitch { epoch }];
        }
        if epoch > self.epoch && epoch <= self.declined_through {
            // The director has not received the decline yet.
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
        // An epoch that is offered again is fetched again, since the first fetch may have been lost.
        let fetch = PlayerAction::Fetch { node, epoch };
        close.into_iter().chain([fetch]).collect()
    }

    /// Handles the first picture of an epoch, which starts at a segment boundary.
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

    /// Declines the pending epoch because no picture arrived in time, so that the director can try another node.
    pub fn give_up(&mut self) -> Vec<PlayerAction> {
        let Some(PendingFetch { node, epoch }) = self.pending.take() else {
            return Vec::new();
        };
        self.declined_through = self.declined_through.max(epoch);
        let close = (node != self.node).then_some(PlayerAction::Close { node });
        let decline = PlayerAction::Decline { epoch };
        close.into_iter().chain([decline]).collect()
    }

    /// The node rejected the fetch, or its connection broke before a picture arrived.
    pub fn on_fetch_failed(&mut self, node: ServerId, epoch: Epoch) {
        let failed = PendingFetch { node, epoch };
        self.pending = self.pending.filter(|pending| *pending != failed);
    }
}
