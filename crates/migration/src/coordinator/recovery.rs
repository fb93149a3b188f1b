//! Rebuilds a [`MigrationCoordinator`] from the reports of nodes after the director has restarted.

use super::{Migration, MigrationCoordinator, NodeReport, Output, Phase, RETRY_INTERVAL};
use crate::Epoch;
use shalewall::{ServerId, Timestamp};

/// An epoch of a session at one node, ordered by epoch.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EpochAtNode {
    epoch: Epoch,
    node: ServerId,
}

/// The greatest epoch that a node serves.
fn greatest_serving<'a>(reports: impl IntoIterator<Item = &'a NodeReport>) -> Option<EpochAtNode> {
    let serving = reports.into_iter().filter_map(|report| {
        Some(EpochAtNode {
            epoch: report.epochs.serving?,
            node: report.node,
        })
    });
    serving.max()
}

/// The greatest epoch that a node has prepared.
fn greatest_prepared(reports: &[NodeReport]) -> Option<EpochAtNode> {
    let prepared = reports.iter().filter_map(|report| {
        Some(EpochAtNode {
            epoch: report.epochs.prepared?,
            node: report.node,
        })
    });
    prepared.max()
}

impl MigrationCoordinator {
    /// Rebuilds the coordinator of a session. Returns `None` if no node serves it.
    ///
    /// An epoch that is prepared and has not been fetched is cancelled. An earlier epoch that is still served is kept
    /// until the player has confirmed that it plays the later one. `latest_epoch` is an upper bound of the epochs
    /// that have been used for the session; if they are not known, one far above those that nodes hold.
    pub fn recover(
        reports: &[NodeReport],
        latest_epoch: Epoch,
        now: Timestamp,
    ) -> Option<MigrationCoordinator> {
        let latest = greatest_serving(reports)?;
        let others = reports.iter().filter(|report| report.node != latest.node);
        let mut coordinator = MigrationCoordinator::new(latest.node);
        coordinator.current_epoch = latest.epoch;
        coordinator.latest_epoch = latest_epoch.max(latest.epoch);
        if let Some(earlier) = greatest_serving(others) {
            // The player may play from either node: it is offered the latest epoch, and confirms what it plays.
            coordinator.current_node = earlier.node;
            coordinator.current_epoch = earlier.epoch;
            coordinator.adopt(now, latest.node, latest.epoch);
        } else if let Some(prepared) = greatest_prepared(reports) {
            coordinator.cancel_prepared(now, prepared);
        }
        coordinator.retry_at = coordinator.migration.map(|_| now + RETRY_INTERVAL);
        Some(coordinator)
    }

    /// Cancels a migration that was started by an earlier process. Its target decides whether it has happened.
    fn cancel_prepared(&mut self, now: Timestamp, prepared: EpochAtNode) {
        let EpochAtNode { epoch, node } = prepared;
        self.latest_epoch = self.latest_epoch.max(epoch);
        self.migration = Some(Migration {
            target: node,
            epoch,
            phase: Phase::Cancelling,
            deadline: now,
            fetched: false,
        });
        self.outputs.push_back(Output::Cancel { node, epoch });
    }
}
