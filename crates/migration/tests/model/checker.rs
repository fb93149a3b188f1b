//! The event orders that are explored, and the properties that must hold in each state.

use crate::state::{Action, Fault, State, node_ids};
use shalewall_migration::Epoch;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

pub const PLAYER_IS_SERVED: &str = "the node of the player serves its epoch";
const MIGRATION_HAPPENS: &str = "a migration happens";
/// Number of rounds of deliveries and timeouts within which every migration has to end.
const MAX_ROUNDS: usize = 12;
/// Number of rounds that start with retries only, before timeouts expire migrations.
const RETRY_ROUNDS: usize = 2;
/// Upper limit of the length of a chain of messages that one message causes.
const MAX_DELIVERIES: usize = 40;

/// The maximum numbers of events of each kind.
pub struct Bounds {
    pub nodes: usize,
    pub migrations: u8,
    pub crashes: u8,
    pub restarts: u8,
    pub declines: u8,
    pub viewer_may_leave: bool,
    pub fault: Fault,
}

/// One migration between two nodes, without failures.
pub const ONE_MIGRATION: Bounds = Bounds {
    nodes: 2,
    migrations: 1,
    crashes: 0,
    restarts: 0,
    declines: 0,
    viewer_may_leave: false,
    fault: Fault::None,
};

/// The result of a search.
pub struct SearchResult {
    pub unique_states: usize,
    pub depth: usize,
    /// Names of the violated properties.
    pub violations: Vec<&'static str>,
}

/// Explores all event orders within the bounds.
pub fn search(bounds: Bounds) -> SearchResult {
    let checker = bounds.checker().threads(4).spawn_bfs().join();
    let discoveries = checker.discoveries();
    let mut violations: Vec<_> = discoveries
        .keys()
        .copied()
        .filter(|name| *name != MIGRATION_HAPPENS)
        .collect();
    for name in &violations {
        println!("{name}: {:?}", discoveries[name].clone().into_actions());
    }
    violations.sort_unstable();
    SearchResult {
        unique_states: checker.unique_state_count(),
        depth: checker.max_depth(),
        violations,
    }
}

impl Bounds {
    /// Whether the migration ends if all messages arrive, crashes are detected and deadlines expire.
    fn ends(&self, state: &State) -> bool {
        let mut state = state.clone();
        for round in 0..MAX_ROUNDS {
            for node in node_ids(self.nodes) {
                if state.has_unnoticed_crash(node) {
                    state.apply(self.fault, Action::NoticeCrash(node));
                }
            }
            // Delivers all messages once, then those that they cause, until none is left.
            for _ in 0..MAX_DELIVERIES {
                for message in std::mem::take(&mut state.network) {
                    state.deliver(self.fault, message);
                }
            }
            if state.coordinator.is_idle() || state.coordinator.is_ended() {
                return true;
            }
            let timeout = if round < RETRY_ROUNDS {
                Action::Retry
            } else {
                Action::GiveUp
            };
            state.apply(self.fault, timeout);
        }
        false
    }

    fn node_actions(&self, state: &State, actions: &mut Vec<Action>) {
        for node in node_ids(self.nodes) {
            let unnoticed = state.has_unnoticed_crash(node);
            if state.is_running(node) {
                if state.crashes < self.crashes {
                    actions.push(Action::CrashNode(node));
                }
            } else if !unnoticed {
                // A node restarts only after its crash was detected, since a director recognizes a new process.
                actions.push(Action::RestartNode(node));
            }
            if unnoticed {
                actions.push(Action::NoticeCrash(node));
            }
        }
    }
}

impl Model for Bounds {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State::new(self.nodes)]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.extend(state.network.iter().cloned().map(Action::Deliver));
        let coordinator = &state.coordinator;
        let ended = coordinator.is_ended();
        if state.migrations < self.migrations && !coordinator.is_migrating() && !ended {
            let targets = node_ids(self.nodes).filter(|node| *node != coordinator.current_node());
            actions.extend(targets.map(Action::StartMigration));
        }
        if !coordinator.is_idle() {
            actions.extend([Action::Retry, Action::GiveUp]);
        }
        self.node_actions(state, actions);
        if state.declines < self.declines && state.player.pending().is_some() {
            actions.push(Action::PlayerGivesUp);
        }
        if !state.viewer_left && self.viewer_may_leave && !ended {
            actions.push(Action::ViewerLeaves);
        }
        if state.restarts < self.restarts && !ended {
            actions.push(Action::RestartDirector);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut next = last.clone();
        next.apply(self.fault, action);
        (next != *last).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "one node serves an epoch",
                |bounds: &Bounds, state: &State| {
                    let serving: Vec<Epoch> = node_ids(bounds.nodes)
                        .filter_map(|node| state.serving(node))
                        .collect();
                    serving.iter().collect::<BTreeSet<_>>().len() == serving.len()
                },
            ),
            // Holds unless that node has crashed.
            Property::always(PLAYER_IS_SERVED, |_: &Bounds, state: &State| {
                let node = state.player.node();
                let served = state.serving(node) >= Some(state.player.epoch());
                state.has_crashed(node) || state.viewer_left || served
            }),
            // A session is not ended while the node of its player serves it.
            Property::always("no playing session is lost", |_: &Bounds, state: &State| {
                let served = state.serving(state.player.node()) == Some(state.player.epoch());
                !state.coordinator.is_ended() || state.viewer_left || !served
            }),
            Property::always("every migration ends", |bounds: &Bounds, state: &State| {
                bounds.ends(state)
            }),
            Property::sometimes(MIGRATION_HAPPENS, |_: &Bounds, state: &State| {
                state.player.epoch() > Epoch(0) && state.coordinator.is_idle()
            }),
        ]
    }
}
