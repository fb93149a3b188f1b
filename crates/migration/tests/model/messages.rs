//! The messages between director, nodes and player.

use shalewall::ServerId;
use shalewall_migration::Epoch;
use shalewall_migration::coordinator::Output;
use shalewall_migration::node::CancelOutcome;
use shalewall_migration::player::PlayerAction;

/// A message in flight. It may arrive at any time, any number of times, or never.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Message {
    Prepare {
        source: ServerId,
        target: ServerId,
        epoch: Epoch,
        issued_at: u64,
    },
    Fetch {
        node: ServerId,
        epoch: Epoch,
    },
    Cancel {
        node: ServerId,
        epoch: Epoch,
    },
    Release {
        node: ServerId,
        epoch: Epoch,
    },
    Offer {
        node: ServerId,
        epoch: Epoch,
    },
    Picture {
        node: ServerId,
        epoch: Epoch,
    },
    FetchRejected {
        node: ServerId,
        epoch: Epoch,
    },
    Prepared {
        node: ServerId,
        epoch: Epoch,
    },
    PrepareRejected {
        node: ServerId,
        epoch: Epoch,
    },
    Serving {
        node: ServerId,
        epoch: Epoch,
    },
    PlayerSwitched {
        epoch: Epoch,
    },
    PlayerDeclined {
        epoch: Epoch,
    },
    CancelAnswered {
        node: ServerId,
        epoch: Epoch,
        already_serving: bool,
    },
    Released {
        node: ServerId,
        epoch: Epoch,
    },
}

impl Message {
    /// The message that the director sends for an output; `None` for outputs that send nothing.
    pub fn of_output(output: Output, clock: u64) -> Option<Message> {
        match output {
            Output::Prepare {
                source,
                target,
                epoch,
            } => Some(Message::Prepare {
                source,
                target,
                epoch,
                issued_at: clock,
            }),
            Output::Offer { node, epoch } => Some(Message::Offer { node, epoch }),
            Output::Cancel { node, epoch } => Some(Message::Cancel { node, epoch }),
            Output::Release { node, epoch } => Some(Message::Release { node, epoch }),
            Output::Migrated { .. } | Output::Aborted { .. } | Output::Orphaned | Output::Lost => {
                None
            }
        }
    }

    /// The message that the player sends for an action; `None` for closing a connection.
    pub fn of_player(action: PlayerAction) -> Option<Message> {
        match action {
            PlayerAction::Fetch { node, epoch } => Some(Message::Fetch { node, epoch }),
            PlayerAction::ConfirmSwitch { epoch } => Some(Message::PlayerSwitched { epoch }),
            PlayerAction::Decline { epoch } => Some(Message::PlayerDeclined { epoch }),
            PlayerAction::Close { .. } => None,
        }
    }

    pub fn cancel_answered(node: ServerId, epoch: Epoch, outcome: CancelOutcome) -> Message {
        Message::CancelAnswered {
            node,
            epoch,
            already_serving: outcome == CancelOutcome::AlreadyServing,
        }
    }

    /// Whether it is addressed to the director.
    pub fn is_for_director(&self) -> bool {
        let from_player = matches!(
            self,
            Message::PlayerSwitched { .. } | Message::PlayerDeclined { .. }
        );
        from_player || self.node_that_answers().is_some()
    }

    /// The node that sent it to the director, if any.
    pub fn node_that_answers(&self) -> Option<ServerId> {
        match self {
            Message::Prepared { node, .. }
            | Message::PrepareRejected { node, .. }
            | Message::Serving { node, .. }
            | Message::CancelAnswered { node, .. }
            | Message::Released { node, .. } => Some(*node),
            _ => None,
        }
    }
}
