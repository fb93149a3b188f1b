//! A player's part: it plays one epoch, goes over to a later one at its first picture, and never back.

use crate::Epoch;
use shalewall::ServerId;

/// What a player has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Do {
    /// Fetch this epoch from this node, beside what plays.
    Fetch { node: u64, epoch: Epoch },
    /// Close the connection to this node.
    Close { node: u64 },
    /// Tell the front that this epoch plays. Said again whenever it is offered again.
    Say { epoch: Epoch },
    /// Tell the front that this epoch will not be taken any more.
    Decline { epoch: Epoch },
}

/// Where a session plays, for its player.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Seat {
    pub node: u64,
    pub epoch: Epoch,
    /// Fetched, and no picture of it has come.
    pub trying: Option<(u64, Epoch)>,
    /// Nothing up to this one is taken any more, beside what plays.
    barred: Epoch,
}

impl Seat {
    pub fn new(node: ServerId) -> Seat {
        Seat {
            node: node.0,
            epoch: Epoch(0),
            trying: None,
            barred: Epoch(0),
        }
    }

    /// The front offers an epoch.
    pub fn on_offer(&mut self, node: ServerId, epoch: Epoch) -> Vec<Do> {
        if epoch == self.epoch {
            return vec![Do::Say { epoch }]; // it has not heard so yet
        }
        if epoch > self.epoch && epoch <= self.barred {
            return vec![Do::Decline { epoch }]; // nor this
        }
        let best = self.trying.map_or(self.epoch, |(_, e)| e.max(self.epoch));
        if epoch < best {
            return Vec::new();
        }
        // The same again is fetched again: the first may have been lost.
        let before = self
            .trying
            .filter(|(n, _)| *n != node.0)
            .map(|(node, _)| Do::Close { node });
        self.trying = Some((node.0, epoch));
        before
            .into_iter()
            .chain([Do::Fetch {
                node: node.0,
                epoch,
            }])
            .collect()
    }

    /// A picture of an epoch has come, whole from a boundary on.
    pub fn on_picture(&mut self, node: ServerId, epoch: Epoch) -> Vec<Do> {
        if epoch <= self.epoch.max(self.barred) {
            return Vec::new();
        }
        let old = std::mem::replace(&mut self.node, node.0);
        self.epoch = epoch;
        self.trying = self.trying.filter(|(_, e)| *e > epoch);
        let close = (old != node.0).then_some(Do::Close { node: old });
        close.into_iter().chain([Do::Say { epoch }]).collect()
    }

    /// No picture came in time: what was fetched is not taken any more, so that the front can try another.
    pub fn give_up(&mut self) -> Vec<Do> {
        let Some((node, epoch)) = self.trying.take() else {
            return Vec::new();
        };
        self.barred = self.barred.max(epoch);
        let close = (node != self.node).then_some(Do::Close { node });
        close.into_iter().chain([Do::Decline { epoch }]).collect()
    }

    /// What was fetched is not to be had, or its connection broke before a picture came.
    pub fn on_refused(&mut self, node: ServerId, epoch: Epoch) {
        self.trying = self.trying.filter(|t| *t != (node.0, epoch));
    }
}
