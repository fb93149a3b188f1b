//! The state of director, nodes, player and network, and its transitions. The model uses the state machines of the
//! library itself.

use crate::messages::Message;
use shalewall::{ServerId, SessionId, Timestamp};
use shalewall_migration::Epoch;
use shalewall_migration::coordinator::{Input, MigrationCoordinator, NodeReport};
use shalewall_migration::node::{CancelOutcome, NodeSessions};
use shalewall_migration::player::{PlayerAction, PlayerMigration};
use shalewall_migration::ticket::{TicketKey, Validity};
use std::collections::BTreeSet;

pub const SESSION: SessionId = SessionId(1);
/// The model uses two times only: one before all deadlines, and one after them.
const BEFORE_DEADLINES: Timestamp = Timestamp::ZERO;
const AFTER_DEADLINES: Timestamp = Timestamp::from_micros(10_000_000);
/// Later than the model's clock ever gets, so that tickets do not expire.
const TICKET_EXPIRES_AT: u64 = 100;
/// Greater than the epoch of any migration in the model.
const LATEST_EPOCH: Epoch = Epoch(5);

/// A fault that is injected into the protocol.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The source is released as soon as the target serves.
    ReleasesEarly,
    /// Each answer to a cancellation is treated as a cancelled migration.
    IgnoresCancelOutcome,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    Deliver(Message),
    StartMigration(ServerId),
    Retry,
    GiveUp,
    CrashNode(ServerId),
    RestartNode(ServerId),
    NoticeCrash(ServerId),
    RestartDirector,
    PlayerGivesUp,
    ViewerLeaves,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub coordinator: MigrationCoordinator,
    pub nodes: Vec<Option<NodeSessions>>,
    /// Whether each node has ever crashed.
    pub crashed: Vec<bool>,
    /// Whether each node has crashed without the director having detected it.
    pub unnoticed_crash: Vec<bool>,
    pub player: PlayerMigration,
    pub network: BTreeSet<Message>,
    pub migrations: u8,
    pub crashes: u8,
    pub restarts: u8,
    pub declines: u8,
    pub viewer_left: bool,
    /// Wall-clock time: the number of node restarts, as the protocol only compares it with the start of a node.
    clock: u64,
}

pub fn node_ids(count: usize) -> impl Iterator<Item = ServerId> {
    (0..count as u64).map(ServerId)
}

fn index(node: ServerId) -> usize {
    node.0 as usize
}

fn key() -> TicketKey {
    TicketKey::new([1; 32])
}

impl State {
    /// Creates the state of a session that plays at the first of `node_count` nodes.
    pub fn new(node_count: usize) -> State {
        let mut nodes = vec![Some(NodeSessions::new(0)); node_count];
        // The only set-up of the session.
        nodes[0].iter_mut().for_each(|node| node.set_up(SESSION));
        State {
            coordinator: MigrationCoordinator::new(ServerId(0)),
            nodes,
            crashed: vec![false; node_count],
            unnoticed_crash: vec![false; node_count],
            player: PlayerMigration::new(ServerId(0)),
            network: BTreeSet::new(),
            migrations: 0,
            crashes: 0,
            restarts: 0,
            declines: 0,
            viewer_left: false,
            clock: 0,
        }
    }

    /// The epoch that a node serves, if any.
    pub fn serving(&self, node: ServerId) -> Option<Epoch> {
        let node = self.nodes[index(node)].as_ref();
        node.and_then(|node| node.epochs(SESSION).serving)
    }

    pub fn has_crashed(&self, node: ServerId) -> bool {
        self.crashed[index(node)]
    }

    pub fn is_running(&self, node: ServerId) -> bool {
        self.nodes[index(node)].is_some()
    }

    pub fn has_unnoticed_crash(&self, node: ServerId) -> bool {
        self.unnoticed_crash[index(node)]
    }

    pub fn apply(&mut self, fault: Fault, action: Action) {
        match action {
            Action::Deliver(message) => self.deliver(fault, message),
            Action::StartMigration(target) => {
                self.migrations += 1;
                self.coordinator
                    .start(BEFORE_DEADLINES, target, AFTER_DEADLINES);
                self.send_outputs();
            }
            Action::Retry => {
                self.coordinator.handle_timeout(BEFORE_DEADLINES);
                self.send_outputs();
            }
            Action::GiveUp => {
                self.coordinator.handle_timeout(AFTER_DEADLINES);
                self.send_outputs();
            }
            Action::CrashNode(node) => {
                self.crashes += 1;
                self.nodes[index(node)] = None;
                self.crashed[index(node)] = true;
                self.unnoticed_crash[index(node)] = true;
            }
            Action::RestartNode(node) => {
                self.clock += 1;
                self.nodes[index(node)] = Some(NodeSessions::new(self.clock));
            }
            Action::NoticeCrash(node) => self.notice_crash(node),
            Action::RestartDirector => self.restart_director(),
            Action::PlayerGivesUp => {
                self.declines += 1;
                let actions = self.player.give_up();
                self.send_player_actions(actions);
            }
            Action::ViewerLeaves => {
                self.viewer_left = true;
                self.input(Input::ViewerLeft);
            }
        }
    }

    pub fn deliver(&mut self, fault: Fault, message: Message) {
        match message {
            Message::Prepare {
                source,
                target,
                epoch,
                issued_at,
            } => self.node_prepares(source, target, epoch, issued_at),
            Message::Fetch { node, epoch } => self.node_is_fetched_from(node, epoch),
            Message::Cancel { node, epoch } => self.node_cancels(fault, node, epoch),
            Message::Release { node, epoch } => self.node_releases(node, epoch),
            Message::Offer { node, epoch } => {
                let actions = self.player.on_offer(node, epoch);
                self.send_player_actions(actions);
            }
            Message::Picture { node, epoch } => {
                let actions = self.player.on_picture(node, epoch);
                self.send_player_actions(actions);
            }
            Message::FetchRejected { node, epoch } => self.player.on_fetch_failed(node, epoch),
            Message::Serving { node, epoch } => {
                self.input(Input::Serving { node, epoch });
                if fault == Fault::ReleasesEarly {
                    self.input(Input::PlayerSwitched { epoch });
                }
            }
            answer => self.director_receives(answer),
        }
    }

    fn director_receives(&mut self, answer: Message) {
        let input = match answer {
            Message::Prepared { node, epoch } => Input::Prepared { node, epoch },
            Message::PrepareRejected { node, epoch } => Input::PrepareRejected { node, epoch },
            Message::PlayerSwitched { epoch } => Input::PlayerSwitched { epoch },
            Message::PlayerDeclined { epoch } => Input::PlayerDeclined { epoch },
            Message::Released { node, epoch } => Input::Released { node, epoch },
            Message::CancelAnswered {
                node,
                epoch,
                already_serving,
            } => Input::Cancelled {
                node,
                epoch,
                outcome: if already_serving {
                    CancelOutcome::AlreadyServing
                } else {
                    CancelOutcome::Cancelled
                },
            },
            other => unreachable!("not addressed to the director: {other:?}"),
        };
        self.input(input);
    }

    fn node_prepares(&mut self, source: ServerId, target: ServerId, epoch: Epoch, now: u64) {
        let Some(node) = &mut self.nodes[index(target)] else {
            return self.notice_crash(target);
        };
        let validity = Validity {
            issued_at: now,
            expires_at: TICKET_EXPIRES_AT,
        };
        let ticket = key().issue(SESSION, epoch, source, target, validity);
        let prepared = node.prepare(target, &key(), now, &ticket);
        let node = target;
        self.network.insert(match prepared {
            Ok(()) => Message::Prepared { node, epoch },
            Err(_) => Message::PrepareRejected { node, epoch },
        });
    }

    fn node_is_fetched_from(&mut self, node: ServerId, epoch: Epoch) {
        let Some(sessions) = &mut self.nodes[index(node)] else {
            return;
        };
        if sessions.fetch(SESSION, epoch).is_ok() {
            self.network.insert(Message::Serving { node, epoch });
            self.network.insert(Message::Picture { node, epoch });
        } else {
            self.network.insert(Message::FetchRejected { node, epoch });
        }
    }

    fn node_cancels(&mut self, fault: Fault, node: ServerId, epoch: Epoch) {
        let Some(sessions) = &mut self.nodes[index(node)] else {
            return self.notice_crash(node);
        };
        let mut outcome = sessions.cancel(SESSION, epoch);
        if fault == Fault::IgnoresCancelOutcome {
            outcome = CancelOutcome::Cancelled;
        }
        self.network
            .insert(Message::cancel_answered(node, epoch, outcome));
    }

    fn node_releases(&mut self, node: ServerId, epoch: Epoch) {
        let Some(sessions) = &mut self.nodes[index(node)] else {
            return self.notice_crash(node);
        };
        sessions.release(SESSION, epoch);
        self.network.insert(Message::Released { node, epoch });
    }

    /// The director detects a crash when it calls the node. Earlier messages of the node are dropped, since its
    /// connections have closed.
    fn notice_crash(&mut self, crashed: ServerId) {
        self.unnoticed_crash[index(crashed)] = false;
        self.network
            .retain(|message| message.node_that_answers() != Some(crashed));
        self.input(Input::NodeFailed { node: crashed });
    }

    fn restart_director(&mut self) {
        self.restarts += 1;
        // Messages to the previous process are lost.
        self.network.retain(|message| !message.is_for_director());
        let reports: Vec<NodeReport> = node_ids(self.nodes.len())
            .filter_map(|node| {
                let sessions = self.nodes[index(node)].as_ref()?;
                let epochs = sessions.epochs(SESSION);
                Some(NodeReport { node, epochs })
            })
            .collect();
        // The new process detects which nodes are running.
        self.unnoticed_crash.fill(false);
        if let Some(found) = MigrationCoordinator::recover(&reports, LATEST_EPOCH, BEFORE_DEADLINES)
        {
            self.coordinator = found;
            self.send_outputs();
        }
    }

    fn input(&mut self, input: Input) {
        self.coordinator.handle(BEFORE_DEADLINES, input);
        self.send_outputs();
    }

    fn send_outputs(&mut self) {
        while let Some(output) = self.coordinator.poll_output() {
            self.network.extend(Message::of_output(output, self.clock));
        }
    }

    fn send_player_actions(&mut self, actions: Vec<PlayerAction>) {
        self.network
            .extend(actions.into_iter().filter_map(Message::of_player));
    }
}
