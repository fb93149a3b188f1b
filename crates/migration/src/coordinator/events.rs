//! The inputs and outputs of a [`MigrationCoordinator`](super::MigrationCoordinator).

use crate::Epoch;
use crate::node::{CancelOutcome, SessionEpochs};
use shalewall::ServerId;

/// A node's report on one session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeReport {
    /// The reporting node.
    pub node: ServerId,
    /// The epochs that it serves or has prepared.
    pub epochs: SessionEpochs,
}

/// A message from a node or the player, or an event in the director.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// The target has prepared the epoch.
    Prepared {
        /// The target.
        node: ServerId,
        /// The prepared epoch.
        epoch: Epoch,
    },
    /// The target rejects the request to prepare.
    PrepareRejected {
        /// The target.
        node: ServerId,
        /// The epoch that it was requested to prepare.
        epoch: Epoch,
    },
    /// The player has fetched an epoch from a node.
    Serving {
        /// The node that serves it.
        node: ServerId,
        /// The epoch that it serves.
        epoch: Epoch,
    },
    /// The player has decoded a picture of an epoch, and plays it.
    PlayerSwitched {
        /// The epoch that it plays.
        epoch: Epoch,
    },
    /// The player received no picture of an epoch in time. It will not play this epoch any more.
    PlayerDeclined {
        /// The epoch that it declines.
        epoch: Epoch,
    },
    /// The target has answered a request to cancel.
    Cancelled {
        /// The target.
        node: ServerId,
        /// The epoch to cancel.
        epoch: Epoch,
        /// Whether the player had fetched the epoch before the cancellation.
        outcome: CancelOutcome,
    },
    /// A node has confirmed a release.
    Released {
        /// The node.
        node: ServerId,
        /// Everything up to this epoch is released there.
        epoch: Epoch,
    },
    /// The node's process has failed, and all its state is lost.
    NodeFailed {
        /// The node.
        node: ServerId,
    },
    /// The viewer has left: the session ends.
    ViewerLeft,
}

/// An operation that the director has to carry out. Messages may be lost, so they are repeated until answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Request the target to prepare, with a ticket.
    Prepare {
        /// The node at which the session plays.
        source: ServerId,
        /// The target.
        target: ServerId,
        /// The epoch of the migration.
        epoch: Epoch,
    },
    /// Offer the player an epoch to fetch.
    Offer {
        /// The node to fetch it from.
        node: ServerId,
        /// The epoch.
        epoch: Epoch,
    },
    /// Request the target to cancel an epoch.
    Cancel {
        /// The target.
        node: ServerId,
        /// The epoch.
        epoch: Epoch,
    },
    /// Request a node to release the session.
    Release {
        /// The node.
        node: ServerId,
        /// The greatest epoch to release.
        epoch: Epoch,
    },
    /// The migration has succeeded: the session plays at its target.
    Migrated {
        /// The node at which it played before.
        source: ServerId,
        /// The node at which it plays now.
        target: ServerId,
    },
    /// The migration has been aborted: the session stays at its source.
    Aborted {
        /// The target.
        target: ServerId,
    },
    /// The node that served the session has failed: the session will be lost unless it is migrated at once.
    Orphaned,
    /// No node serves the session, and it was not migrated in time.
    Lost,
}
