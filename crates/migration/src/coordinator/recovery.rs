//! Rebuilds a [`MigrationCoordinator`] after the director's process has restarted, from what nodes hold.

use super::{Migration, MigrationCoordinator, NodeReport, Output, Phase, RETRY_INTERVAL};
use crate::Epoch;
use shalewall::{ServerId, Timestamp};

/// One epoch of a session at one node. The order is that of the epochs.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EpochAtNode {
    epoch: Epoch,
    node: ServerId,
}

/// The greatest of the epochs that nodes serve.
fn greatest_serving<'a>(reports: impl IntoIterator<Item = &'a NodeReport>) -> Option<EpochAtNode> {
    let serving = reports.into_iter().filter_map(|report| {
        Some(EpochAtNode {
            epoch: report.epochs.serving?,
            node: report.node,
        })
    });
    serving.max()
}

/// The greatest of the epochs that nodes have prepared.
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
    /// Goes on with a session that nodes hold; nothing where no node serves it.
    ///
    /// What was prepared and not fetched is cancelled. What is served under an earlier epoch stays until the player
    /// has said that it plays the later one. `latest_epoch` is an epoch that no migration of the session has passed;
    /// where that is not known, one far above those that nodes hold.
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
            // The player may be at any node that serves it: it is told of the latest, and says where it is.
            coordinator.current_node = earlier.node;
            coordinator.current_epoch = earlier.epoch;
            coordinator.adopt(now, latest.node, latest.epoch);
        } else if let Some(prepared) = greatest_prepared(reports) {
            coordinator.cancel_prepared(now, prepared);
        }
        coordinator.retry_at = coordinator.migration.map(|_| now + RETRY_INTERVAL);
        Some(coordinator)
    }

    /// Cancels a migration that an earlier process had begun; its target decides whether it happened.
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
