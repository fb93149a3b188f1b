//! What a [`MigrationCoordinator`](super::MigrationCoordinator) is told, and what it asks its caller to do.

use crate::Epoch;
use crate::node::{CancelOutcome, SessionEpochs};
use shalewall::ServerId;

/// What one node says that it holds of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeReport {
    /// The node that says so.
    pub node: ServerId,
    /// The epochs that it serves and has prepared.
    pub epochs: SessionEpochs,
}

/// Something that a node, a player or the viewer has said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// The target is ready to be fetched from.
    Prepared {
        /// The target.
        node: ServerId,
        /// The epoch that it prepared.
        epoch: Epoch,
    },
    /// The target will not prepare.
    PrepareRejected {
        /// The target.
        node: ServerId,
        /// The epoch that it was asked to prepare.
        epoch: Epoch,
    },
    /// The player has fetched this epoch from a node.
    Serving {
        /// The node that serves it.
        node: ServerId,
        /// The epoch that it serves.
        epoch: Epoch,
    },
    /// The player has decoded a picture of this epoch, and plays it.
    PlayerSwitched {
        /// The epoch that it plays.
        epoch: Epoch,
    },
    /// The player got no picture of this epoch in time. It will not play this epoch any more.
    PlayerDeclined {
        /// The epoch that it declines.
        epoch: Epoch,
    },
    /// The target has answered a cancellation.
    Cancelled {
        /// The target.
        node: ServerId,
        /// The epoch that was to be cancelled.
        epoch: Epoch,
        /// Whether the migration had happened before the cancellation came.
        outcome: CancelOutcome,
    },
    /// A node has confirmed a release.
    Released {
        /// The node.
        node: ServerId,
        /// Everything up to this epoch is released there.
        epoch: Epoch,
    },
    /// The node's process is gone, and what it held with it.
    NodeFailed {
        /// The node.
        node: ServerId,
    },
    /// The viewer has left: the session ends.
    ViewerLeft,
}

/// What the director has to do. Messages may be lost: they are repeated until they are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send the target a ticket.
    Prepare {
        /// Where the session plays now.
        source: ServerId,
        /// Where it is to play.
        target: ServerId,
        /// The epoch of the migration.
        epoch: Epoch,
    },
    /// Tell the player where it may fetch an epoch.
    Offer {
        /// The node that has it.
        node: ServerId,
        /// The epoch.
        epoch: Epoch,
    },
    /// Ask the target to cancel an epoch.
    Cancel {
        /// The target.
        node: ServerId,
        /// The epoch.
        epoch: Epoch,
    },
    /// Ask a node to release the session.
    Release {
        /// The node.
        node: ServerId,
        /// Everything up to this epoch.
        epoch: Epoch,
    },
    /// The migration is over: the session plays at its target.
    Migrated {
        /// Where it played.
        source: ServerId,
        /// Where it plays.
        target: ServerId,
    },
    /// The migration is over: the session is where it was.
    Aborted {
        /// Where it was to go.
        target: ServerId,
    },
    /// The node that served the session is gone: the session has to be migrated at once, or it will be lost.
    Orphaned,
    /// No node holds the session any more, and no migration came in time.
    Lost,
}
