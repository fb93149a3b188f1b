//! The protocol checked over all orders of events. The network is as bad as it can be: whatever was ever sent may
//! arrive at any time, any number of times, or never. Nodes crash and come back empty, the front begins anew. What is
//! driven are the state machines of the program themselves.

use shalewall::{ServerId, SessionId};
use shalewall_migration::Epoch;
use shalewall_migration::front::{Handover, Input, Output};
use shalewall_migration::node::{Cancelled, Held, Holds};
use shalewall_migration::player::{Do, Seat};
use shalewall_migration::ticket::Key;
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const SESSION: SessionId = SessionId(1);
/// In the model nothing is late but by being given up.
const EARLY: i64 = 0;
const LATE: i64 = 10_000_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Msg {
    Prepare {
        to: u64,
        from: u64,
        epoch: Epoch,
        issued: u64,
    },
    Fetch {
        to: u64,
        epoch: Epoch,
    },
    Cancel {
        to: u64,
        epoch: Epoch,
    },
    Release {
        to: u64,
        epoch: Epoch,
    },
    Offer {
        node: u64,
        epoch: Epoch,
    },
    Picture {
        node: u64,
        epoch: Epoch,
    },
    NotThere {
        node: u64,
        epoch: Epoch,
    },
    Prepared {
        node: u64,
        epoch: Epoch,
    },
    Refused {
        node: u64,
        epoch: Epoch,
    },
    Serving {
        node: u64,
        epoch: Epoch,
    },
    Playing {
        epoch: Epoch,
    },
    Declined {
        epoch: Epoch,
    },
    CancelSaid {
        node: u64,
        epoch: Epoch,
        never: bool,
    },
    Released {
        node: u64,
        epoch: Epoch,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    front: Handover,
    nodes: Vec<Option<Holds>>,
    /// Who has crashed ever, and whose death the front has not heard of.
    crashed: Vec<bool>,
    unheard: Vec<bool>,
    player: Seat,
    net: BTreeSet<Msg>,
    moves: u8,
    crashes: u8,
    restarts: u8,
    declines: u8,
    left: bool,
    /// Counts starts of nodes: wall-clock time, as far as the protocol looks at it.
    clock: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Arrives(Msg),
    Begin(u64),
    Repeat,
    GiveUp,
    Crash(u64),
    Back(u64),
    HearsOfDeath(u64),
    FrontAnew,
    Decline,
    Leave,
}

impl Msg {
    /// Whether it is for the front, and which node's it is.
    fn to_front(&self) -> Option<Option<u64>> {
        match self {
            Msg::Prepared { node, .. }
            | Msg::Refused { node, .. }
            | Msg::Serving { node, .. }
            | Msg::CancelSaid { node, .. }
            | Msg::Released { node, .. } => Some(Some(*node)),
            Msg::Playing { .. } | Msg::Declined { .. } => Some(None),
            _ => None,
        }
    }
}

/// What a wrong protocol does.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Flaw {
    None,
    /// The source is released as soon as the target serves.
    ReleasesEarly,
    /// Cancelled is taken for never, whatever the target says.
    CancelsBlindly,
}

struct Bounds {
    nodes: usize,
    moves: u8,
    crashes: u8,
    restarts: u8,
    declines: u8,
    leaves: bool,
    flaw: Flaw,
}

fn key() -> Key {
    Key::new([1; 32])
}

impl Bounds {
    fn put_out(&self, s: &mut State) {
        while let Some(out) = s.front.poll_output() {
            let msg = match out {
                Output::Prepare { from, to, epoch } => Msg::Prepare {
                    to,
                    from,
                    epoch,
                    issued: s.clock,
                },
                Output::Offer { node, epoch } => Msg::Offer { node, epoch },
                Output::Cancel { node, epoch } => Msg::Cancel { to: node, epoch },
                Output::Release { node, epoch } => Msg::Release { to: node, epoch },
                Output::Moved { .. } | Output::Stayed { .. } | Output::Orphaned | Output::Lost => {
                    continue;
                }
            };
            s.net.insert(msg);
        }
    }

    fn tell(&self, s: &mut State, input: Input) {
        s.front.handle(EARLY, input);
        self.put_out(s);
    }

    fn does(&self, s: &mut State, done: Vec<Do>) {
        for what in done {
            match what {
                Do::Fetch { node, epoch } => drop(s.net.insert(Msg::Fetch { to: node, epoch })),
                Do::Say { epoch } => drop(s.net.insert(Msg::Playing { epoch })),
                Do::Decline { epoch } => drop(s.net.insert(Msg::Declined { epoch })),
                Do::Close { .. } => {}
            }
        }
    }

    /// No connection: a front that calls a dead node hears of it. What the node said before came on connections
    /// that have ended by then.
    fn refused(&self, s: &mut State, dead: u64) {
        s.unheard[dead as usize] = false;
        s.net.retain(|msg| msg.to_front() != Some(Some(dead)));
        self.tell(s, Input::Dead { node: dead });
    }

    fn arrives(&self, s: &mut State, msg: Msg) {
        match msg {
            Msg::Prepare {
                to,
                from,
                epoch,
                issued,
            } => {
                let Some(node) = &mut s.nodes[to as usize] else {
                    return self.refused(s, to);
                };
                let ticket = key().issue(SESSION, epoch, ServerId(from), ServerId(to), issued..100);
                let done = node.prepare(ServerId(to), &key(), issued, &ticket);
                s.net.insert(match done {
                    Ok(()) => Msg::Prepared { node: to, epoch },
                    Err(_) => Msg::Refused { node: to, epoch },
                });
            }
            Msg::Fetch { to, epoch } => {
                let Some(node) = &mut s.nodes[to as usize] else {
                    return;
                };
                if node.fetch(SESSION, epoch).is_ok() {
                    s.net.insert(Msg::Serving { node: to, epoch });
                    s.net.insert(Msg::Picture { node: to, epoch });
                } else {
                    s.net.insert(Msg::NotThere { node: to, epoch });
                }
            }
            Msg::Cancel { to, epoch } => {
                let Some(node) = &mut s.nodes[to as usize] else {
                    return self.refused(s, to);
                };
                let never = node.cancel(SESSION, epoch) == Cancelled::Never;
                let never = never || self.flaw == Flaw::CancelsBlindly;
                s.net.insert(Msg::CancelSaid {
                    node: to,
                    epoch,
                    never,
                });
            }
            Msg::Release { to, epoch } => {
                let Some(node) = &mut s.nodes[to as usize] else {
                    return self.refused(s, to);
                };
                node.release(SESSION, epoch);
                s.net.insert(Msg::Released { node: to, epoch });
            }
            Msg::Offer { node, epoch } => {
                let done = s.player.on_offer(ServerId(node), epoch);
                self.does(s, done);
            }
            Msg::Picture { node, epoch } => {
                let done = s.player.on_picture(ServerId(node), epoch);
                self.does(s, done);
            }
            Msg::NotThere { node, epoch } => s.player.on_refused(ServerId(node), epoch),
            Msg::Prepared { node, epoch } => self.tell(s, Input::Prepared { node, epoch }),
            Msg::Refused { node, epoch } => self.tell(s, Input::Refused { node, epoch }),
            Msg::Serving { node, epoch } => {
                self.tell(s, Input::Serving { node, epoch });
                if self.flaw == Flaw::ReleasesEarly {
                    self.tell(s, Input::Playing { epoch });
                }
            }
            Msg::Playing { epoch } => self.tell(s, Input::Playing { epoch }),
            Msg::Declined { epoch } => self.tell(s, Input::Declined { epoch }),
            Msg::CancelSaid { node, epoch, never } => {
                let how = if never {
                    Cancelled::Never
                } else {
                    Cancelled::Serves
                };
                self.tell(s, Input::Cancelled { node, epoch, how });
            }
            Msg::Released { node, epoch } => self.tell(s, Input::Released { node, epoch }),
        }
    }

    fn act(&self, s: &mut State, action: Action) {
        match action {
            Action::Arrives(msg) => self.arrives(s, msg),
            Action::Begin(to) => {
                s.moves += 1;
                s.front.begin(EARLY, ServerId(to), LATE);
                self.put_out(s);
            }
            Action::Repeat => {
                s.front.handle_timeout(EARLY);
                self.put_out(s);
            }
            Action::GiveUp => {
                s.front.handle_timeout(LATE);
                self.put_out(s);
            }
            Action::Crash(node) => {
                s.crashes += 1;
                let i = node as usize;
                (s.nodes[i], s.crashed[i], s.unheard[i]) = (None, true, true);
            }
            Action::Back(node) => {
                s.clock += 1;
                s.nodes[node as usize] = Some(Holds::new(s.clock));
            }
            Action::HearsOfDeath(node) => self.refused(s, node),
            Action::FrontAnew => {
                s.restarts += 1;
                // What was on its way to the process before it is on its way to nobody.
                s.net.retain(|msg| msg.to_front().is_none());
                let held: Vec<(ServerId, Held)> = (0..s.nodes.len())
                    .filter_map(|i| Some((ServerId(i as u64), s.nodes[i].as_ref()?.held(SESSION))))
                    .collect();
                s.unheard.iter_mut().for_each(|u| *u = false); // it sees who is there
                if let Some(found) = Handover::found(&held, Epoch(5), EARLY) {
                    s.front = found;
                    self.put_out(s);
                }
            }
            Action::Decline => {
                s.declines += 1;
                let done = s.player.give_up();
                self.does(s, done);
            }
            Action::Leave => {
                s.left = true;
                self.tell(s, Input::Left);
            }
        }
    }

    /// Everything that is under way arrives, deaths are heard of, and what takes too long is given up.
    fn ends(&self, state: &State) -> bool {
        let mut s = state.clone();
        for round in 0..12 {
            for node in 0..s.nodes.len() as u64 {
                if s.unheard[node as usize] {
                    self.act(&mut s, Action::HearsOfDeath(node));
                }
            }
            // All that is under way arrives once, then what is said to it, until nothing is said any more.
            for _ in 0..40 {
                for msg in std::mem::take(&mut s.net) {
                    self.arrives(&mut s, msg);
                }
            }
            if s.front.settled() || s.front.over() {
                return true;
            }
            self.act(
                &mut s,
                if round < 2 {
                    Action::Repeat
                } else {
                    Action::GiveUp
                },
            );
        }
        false
    }
}

impl Model for Bounds {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut nodes = vec![Some(Holds::new(0)); self.nodes];
        // The one booking.
        nodes[0].iter_mut().for_each(|n| n.set_up(SESSION));
        vec![State {
            front: Handover::new(ServerId(0)),
            nodes,
            crashed: vec![false; self.nodes],
            unheard: vec![false; self.nodes],
            player: Seat::new(ServerId(0)),
            net: BTreeSet::new(),
            moves: 0,
            crashes: 0,
            restarts: 0,
            declines: 0,
            left: false,
            clock: 0,
        }]
    }

    fn actions(&self, s: &State, actions: &mut Vec<Action>) {
        actions.extend(s.net.iter().cloned().map(Action::Arrives));
        let nodes = 0..s.nodes.len() as u64;
        if s.moves < self.moves && !s.front.moving() && !s.front.over() {
            actions.extend(
                nodes
                    .clone()
                    .filter(|n| *n != s.front.at().0)
                    .map(Action::Begin),
            );
        }
        if !s.front.settled() {
            actions.extend([Action::Repeat, Action::GiveUp]);
        }
        for node in nodes {
            match &s.nodes[node as usize] {
                Some(_) if s.crashes < self.crashes => actions.push(Action::Crash(node)),
                // Back only once its death is known: a front sees a new process as such.
                None if !s.unheard[node as usize] => actions.push(Action::Back(node)),
                _ => {}
            }
            if s.unheard[node as usize] {
                actions.push(Action::HearsOfDeath(node));
            }
        }
        if s.declines < self.declines && s.player.trying.is_some() {
            actions.push(Action::Decline);
        }
        if !s.left && self.leaves && !s.front.over() {
            actions.push(Action::Leave);
        }
        if s.restarts < self.restarts && !s.front.over() {
            actions.push(Action::FrontAnew);
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut next = last.clone();
        self.act(&mut next, action);
        (next != *last).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            // Of one epoch there is one who serves.
            Property::always("one serves an epoch", |_: &Bounds, s: &State| {
                let serving = s
                    .nodes
                    .iter()
                    .flatten()
                    .filter_map(|n| n.held(SESSION).serving);
                let all: Vec<_> = serving.collect();
                all.iter().collect::<BTreeSet<_>>().len() == all.len()
            }),
            // Where the player is, it is served, unless that node has crashed.
            Property::always(
                "the player is served where it is",
                |_: &Bounds, s: &State| {
                    let i = s.player.node as usize;
                    let serving = s.nodes[i].as_ref().and_then(|n| n.held(SESSION).serving);
                    s.crashed[i] || s.left || serving >= Some(s.player.epoch)
                },
            ),
            // A session is not given up while the one that its player is at serves it.
            Property::always("none is lost that plays", |_: &Bounds, s: &State| {
                let i = s.player.node as usize;
                let serving = s.nodes[i].as_ref().and_then(|n| n.held(SESSION).serving);
                !s.front.over() || s.left || serving != Some(s.player.epoch)
            }),
            Property::always("every move ends", |m: &Bounds, s: &State| m.ends(s)),
            Property::sometimes("a move happens", |_: &Bounds, s: &State| {
                s.player.epoch > Epoch(0) && s.front.settled()
            }),
        ]
    }
}

fn check(bounds: Bounds) -> (usize, usize, Vec<&'static str>) {
    let checker = bounds.checker().threads(4).spawn_bfs().join();
    let broken = checker.discoveries();
    let mut names: Vec<_> = broken
        .keys()
        .copied()
        .filter(|n| *n != "a move happens")
        .collect();
    for name in &names {
        println!("{name}: {:?}", broken[name].clone().into_actions());
    }
    names.sort_unstable();
    (checker.unique_state_count(), checker.max_depth(), names)
}

const USUAL: Bounds = Bounds {
    nodes: 2,
    moves: 1,
    crashes: 0,
    restarts: 0,
    declines: 0,
    leaves: false,
    flaw: Flaw::None,
};

#[test]
fn a_move_with_every_loss_double_and_order() {
    let (states, depth, broken) = check(USUAL);
    println!("one move: {states} states, depth {depth}");
    assert_eq!(broken, Vec::<&str>::new());
}

#[test]
fn a_crash_of_either_node_at_any_point() {
    let (states, depth, broken) = check(Bounds {
        crashes: 1,
        ..USUAL
    });
    println!("one move, one crash: {states} states, depth {depth}");
    assert_eq!(broken, Vec::<&str>::new());
}

#[test]
fn a_viewer_that_leaves_at_any_point() {
    let (states, depth, broken) = check(Bounds {
        leaves: true,
        crashes: 1,
        ..USUAL
    });
    println!("one move, one crash, the viewer leaves: {states} states, depth {depth}");
    assert_eq!(broken, Vec::<&str>::new());
}

#[test]
fn a_front_that_begins_anew_at_any_point() {
    let (states, depth, broken) = check(Bounds {
        restarts: 1,
        ..USUAL
    });
    println!("one move, the front anew: {states} states, depth {depth}");
    assert_eq!(broken, Vec::<&str>::new());
}

#[test]
fn two_moves_in_a_row() {
    let (states, depth, broken) = check(Bounds { moves: 2, ..USUAL });
    println!("two moves: {states} states, depth {depth}");
    assert_eq!(broken, Vec::<&str>::new());
}

#[test]
fn mistakes_in_the_protocol_are_found() {
    let (.., broken) = check(Bounds {
        flaw: Flaw::ReleasesEarly,
        ..USUAL
    });
    assert!(
        broken.contains(&"the player is served where it is"),
        "{broken:?}"
    );
    let (.., broken) = check(Bounds {
        flaw: Flaw::CancelsBlindly,
        crashes: 1,
        ..USUAL
    });
    assert!(!broken.is_empty());
}

#[test]
fn a_crash_and_the_front_anew() {
    let (states, depth, broken) = check(Bounds {
        crashes: 1,
        restarts: 1,
        ..USUAL
    });
    println!("one move, one crash, the front anew: {states} states, depth {depth}");
    assert_eq!(broken, Vec::<&str>::new());
}

#[test]
#[ignore = "a minute, and longer without optimization"]
fn three_nodes_two_moves_a_crash() {
    let (states, depth, broken) = check(Bounds {
        nodes: 3,
        moves: 2,
        crashes: 1,
        ..USUAL
    });
    println!("three nodes, two moves, one crash: {states} states, depth {depth}");
    assert_eq!(broken, Vec::<&str>::new());
}

#[test]
#[ignore = "a minute, and longer without optimization"]
fn two_moves_a_crash_and_the_front_anew() {
    let (states, depth, broken) = check(Bounds {
        moves: 2,
        crashes: 1,
        restarts: 1,
        ..USUAL
    });
    println!("two moves, one crash, the front anew: {states} states, depth {depth}");
    assert_eq!(broken, Vec::<&str>::new());
}

#[test]
fn a_player_that_takes_nothing_of_an_epoch_any_more() {
    let (states, depth, broken) = check(Bounds {
        declines: 1,
        moves: 2,
        ..USUAL
    });
    println!("two moves, the player declines one: {states} states, depth {depth}");
    assert_eq!(broken, Vec::<&str>::new());
}

#[test]
fn a_player_that_declines_and_a_crash() {
    let (states, depth, broken) = check(Bounds {
        declines: 1,
        crashes: 1,
        ..USUAL
    });
    println!("one move, the player declines it, one crash: {states} states, depth {depth}");
    assert_eq!(broken, Vec::<&str>::new());
}
