//! A director, its nodes and their players in simulated time. Nodes and players use the state machines of the
//! migration protocol; calls and messages are delayed, lost or answered twice.

mod nodes;
mod players;

use crate::common::RandomNumbers;
use shalewall::{
    ClassSettings, EndpointState, EndpointUpdate, Idempotency, Limits, RuleSettings, Rung,
    ServerId, SessionId, Settings, TimeDelta, Timestamp,
};
use shalewall_engine::{
    Answer, CallId, CallKind, Config, EndpointEntry, Engine, Input, NamedClass, Output,
    TitlePlacement,
};
use shalewall_migration::Epoch;
use shalewall_migration::node::NodeSessions;
use shalewall_migration::planner::MigrationPolicy;
use shalewall_migration::player::PlayerMigration;
use shalewall_migration::ticket::TicketKey;
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub const MILLISECOND: TimeDelta = TimeDelta::from_millis(1);
pub const SECOND: TimeDelta = TimeDelta::from_secs(1);
pub const NODES: u64 = 4;
/// A player reports silence when it has received nothing for this time.
pub const SILENCE_REPORT_AFTER: TimeDelta = TimeDelta::from_millis(300);
/// Playing time of a full player buffer.
pub const BUFFER: TimeDelta = SECOND;

pub fn config() -> Config {
    let class = ClassSettings {
        latency_objective: SECOND,
        priority_weight: 1.0,
        rate_scale: 1.0,
        ..Default::default()
    };
    Config {
        seed: 3,
        settings: Settings {
            director_count: 1,
            classes: vec![ClassSettings {
                idempotency: Idempotency::AtMostOnce,
                ..class
            }],
            ladder: vec![Rung {
                rate_kb_s: 300.0,
                utility: 1.0,
            }],
            cell_count: NODES,
            stream_capacity_by_kind: vec![400.0],
            weight_is_capacity: true,
            link_kb_s_per_weight: 30_000.0,
            join_rate_fraction: 1.0,
            notification_interval: 3 * SECOND,
            notification_delay: SECOND,
            rules: RuleSettings {
                warm_up: SECOND,
                initial_capacity: 0.4,
                overload_window: SECOND,
                ..Default::default()
            },
            limits: Limits {
                max_attempts: 4,
                can_cancel: true,
                min_batch_interval: 10 * MILLISECOND,
                ..Default::default()
            },
            ..Default::default()
        },
        classes: vec![NamedClass {
            name: "paid".into(),
            max_wait: 4 * SECOND,
        }],
        machine_kinds: vec!["box".into()],
        titles: [(
            "t".to_string(),
            TitlePlacement {
                first_cell: 0,
                replica_cells: NODES,
            },
        )]
        .into(),
        max_sessions: 1000,
        migration: Some(MigrationPolicy {
            duration: 600 * MILLISECOND,
            cooldown: 10 * SECOND,
            min_shortage: 6 * SECOND,
            max_per_node: 16,
            max_per_director: 64,
            cost_s: 1.0,
        }),
        ..Default::default()
    }
}

pub fn ticket_key() -> TicketKey {
    TicketKey::new([5; 32])
}

/// A player that supports migration.
pub struct Player {
    pub protocol: PlayerMigration,
    pub last_received: Timestamp,
    pub last_report: Timestamp,
    /// When it declines the epoch that it is fetching, unless a picture of it has arrived.
    pub switch_deadline: Option<Timestamp>,
    /// The times for which its buffer was empty.
    pub gaps: Vec<TimeDelta>,
    /// When its buffer became empty.
    pub empty_since: Option<Timestamp>,
    pub ended: bool,
}

/// One director, its nodes and its players.
pub struct Simulation {
    pub engine: Engine,
    pub now: Timestamp,
    pub nodes: Vec<Option<NodeSessions>>,
    pub frozen: Vec<bool>,
    pub draining: Vec<bool>,
    pub players: BTreeMap<SessionId, Player>,
    /// Calls in flight, with the time at which they reach their nodes.
    pub calls: Vec<(Timestamp, CallId, ServerId, CallKind)>,
    /// Number of set-ups of each session.
    pub set_ups: BTreeMap<SessionId, u32>,
    /// Messages in flight from players and nodes to the director.
    pub messages: Vec<(Timestamp, Input)>,
    pub random: RandomNumbers,
    pub loss_percent: u64,
    pub migrated: u32,
    pub aborted: u32,
    pub incarnation: u16,
    /// Nodes that have not reported to the restarted director yet.
    pub unreported: Vec<u64>,
}

impl Simulation {
    pub fn new(seed: u64, loss_percent: u64) -> Simulation {
        let mut simulation = Simulation {
            engine: Engine::new(config(), Timestamp::ZERO),
            now: Timestamp::ZERO,
            nodes: (0..NODES).map(|_| Some(NodeSessions::new(0))).collect(),
            frozen: vec![false; NODES as usize],
            draining: vec![false; NODES as usize],
            players: BTreeMap::new(),
            calls: Vec::new(),
            set_ups: BTreeMap::new(),
            messages: Vec::new(),
            random: RandomNumbers(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            loss_percent,
            migrated: 0,
            aborted: 0,
            incarnation: 0,
            unreported: Vec::new(),
        };
        (0..NODES).for_each(|n| simulation.set_endpoint_state(n, EndpointState::Ready));
        simulation.run_until(Timestamp::ZERO + 2 * SECOND);
        simulation
    }

    pub fn set_endpoint_state(&mut self, id: u64, state: EndpointState) {
        let address = SocketAddr::from(([127, 0, 0, 1], 1000 + id as u16));
        let entry = EndpointEntry {
            server: ServerId(id),
            address: Some(address),
            zone: String::new(),
            machine_kind: "box".to_string(),
            cell: id,
            state,
            weight: 1.0,
            started_at: None,
        };
        self.handle(Input::EndpointsUpdated {
            update: EndpointUpdate::Delta,
            endpoints: vec![entry],
        });
    }

    pub fn handle(&mut self, input: Input) {
        self.engine.handle(self.now, input);
        self.carry_out_outputs();
    }

    pub fn now_ms(&self) -> u64 {
        (self.now - Timestamp::ZERO).as_millis() as u64
    }

    pub fn is_lost(&mut self) -> bool {
        self.random.below(100) < self.loss_percent
    }

    pub fn carry_out_outputs(&mut self) {
        while let Some(output) = self.engine.poll_output() {
            match output {
                Output::Answer {
                    answer: Answer::Playing { session, .. },
                    ..
                } => {
                    let node = self
                        .serving_node(session)
                        .expect("a node serves a session that plays");
                    let player = Player {
                        protocol: PlayerMigration::new(ServerId(node)),
                        last_received: self.now,
                        last_report: self.now,
                        switch_deadline: None,
                        gaps: vec![],
                        empty_since: None,
                        ended: false,
                    };
                    self.players.insert(session, player);
                    self.messages.push((
                        self.now + 5 * MILLISECOND,
                        Input::PlayerSubscription {
                            session,
                            playing_epoch: Some(Epoch(0)),
                        },
                    ));
                }
                Output::Call {
                    call, server, kind, ..
                } => {
                    let wait = 2 + self.random.below(30) as i64;
                    self.calls
                        .push((self.now + wait * MILLISECOND, call, server, kind));
                }
                Output::CancelCall { call } => self.calls.retain(|(_, c, ..)| *c != call),
                Output::OfferMigration {
                    session,
                    epoch,
                    media,
                } => {
                    let node = ServerId(media.parse().unwrap());
                    if !self.is_lost() {
                        self.with_player(session, |protocol| protocol.on_offer(node, epoch));
                    }
                }
                Output::MigrationFinished { migrated, .. } => {
                    self.migrated += u32::from(migrated);
                    self.aborted += u32::from(!migrated);
                }
                Output::SessionEnded { session } => {
                    if let Some(player) = self.players.get_mut(&session) {
                        player.ended = true;
                    }
                }
                _ => {}
            }
        }
    }

    pub fn run_until(&mut self, until: Timestamp) {
        while self.now < until {
            self.now += 5 * MILLISECOND;
            while let Some(n) = self.calls.iter().position(|(due, ..)| *due <= self.now) {
                self.deliver_call(n);
            }
            while let Some(n) = self.messages.iter().position(|(due, _)| *due <= self.now) {
                let (_, message) = self.messages.remove(n);
                self.handle(message);
            }
            while self
                .engine
                .poll_timeout()
                .is_some_and(|due| due <= self.now)
            {
                self.engine.handle_timeout(self.now);
                self.carry_out_outputs();
            }
            if (self.now - Timestamp::ZERO) % (50 * MILLISECOND) == TimeDelta::ZERO {
                self.deliver_pictures();
                for n in std::mem::take(&mut self.unreported) {
                    self.connect_node(n);
                }
            }
        }
    }

    pub fn run_for(&mut self, span: TimeDelta) {
        self.run_until(self.now + span);
    }

    /// Restarts the director: calls and messages to it are lost, nodes report what they hold, players subscribe again.
    pub fn restart_director(&mut self, downtime: TimeDelta) {
        self.calls.clear();
        self.messages.clear();
        let until = self.now + downtime;
        while self.now < until {
            self.now += 50 * MILLISECOND;
            self.deliver_pictures();
            self.messages.clear();
        }
        self.incarnation += 1;
        self.engine = Engine::new(
            Config {
                incarnation: self.incarnation,
                ..config()
            },
            self.now,
        );
        for n in 0..NODES {
            self.set_endpoint_state(
                n,
                if self.draining[n as usize] {
                    EndpointState::Draining
                } else {
                    EndpointState::Ready
                },
            );
        }
        for n in 0..NODES {
            self.connect_node(n);
        }
        let playing = self.players.iter().filter(|(_, p)| !p.ended);
        let subscription = |(session, p): (&SessionId, &Player)| Input::PlayerSubscription {
            session: *session,
            playing_epoch: Some(p.protocol.epoch()),
        };
        let subscriptions: Vec<_> = playing.map(subscription).collect();
        let now = self.now;
        self.messages.extend(
            subscriptions
                .into_iter()
                .map(|message| (now + 5 * MILLISECOND, message)),
        );
    }

    /// Ends all faults, and checks that each session ends up set up once, served by exactly one node if it plays, and
    /// with nothing left of its migrations.
    pub fn assert_settled(&mut self) {
        self.loss_percent = 0;
        for node in 0..NODES {
            self.frozen[node as usize] = false;
            if self.nodes[node as usize].is_none() {
                self.restart_node(node);
            }
        }
        self.run_for(20 * SECOND);
        let held = self.engine.session_counts();
        assert_eq!(
            (
                held.waiting,
                held.ending,
                held.unconfirmed_ends,
                held.migrating
            ),
            (0, 0, 0, 0)
        );
        for (session, set_up_count) in &self.set_ups {
            assert_eq!(*set_up_count, 1, "{session:?} is set up exactly once");
            let serving = self
                .nodes
                .iter()
                .flatten()
                .filter(|n| n.epochs(*session).serving.is_some())
                .count();
            let prepared = self
                .nodes
                .iter()
                .flatten()
                .filter(|n| n.epochs(*session).prepared.is_some())
                .count();
            let playing = self.players.get(session).is_some_and(|p| !p.ended);
            assert_eq!(
                (serving, prepared),
                (usize::from(playing), 0),
                "{session:?}"
            );
            if playing {
                let p = &self.players[session].protocol;
                let at = self.nodes[p.node().0 as usize].as_ref().unwrap();
                assert_eq!(
                    at.epochs(*session).serving,
                    Some(p.epoch()),
                    "the node of its player serves the player's epoch"
                );
            }
        }
        let playing = self.players.values().filter(|p| !p.ended).count();
        assert_eq!(held.playing, playing);
    }
}
