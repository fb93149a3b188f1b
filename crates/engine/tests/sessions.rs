//! The engine in a small world of simulated time: nodes that answer late, badly or not at all, viewers that
//! leave and ask again, nodes that die and come back. What must hold whatever happens is checked throughout.

#[path = "../../../tests/common/mod.rs"]
mod common;
use common::RandomNumbers;
use shalewall::*;

const MS: TimeDelta = TimeDelta::from_millis(1);
const S: TimeDelta = TimeDelta::from_secs(1);
use shalewall_engine::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const NODES: u64 = 4;

fn config() -> Config {
    let class = ClassSettings {
        latency_objective: S,
        priority_weight: 1.0,
        rate_scale: 1.0,
        highest_rung: 1,
        ..Default::default()
    };
    let harmless = ClassSettings {
        idempotency: Idempotency::Idempotent,
        ..class
    };
    let titles = (0..6)
        .map(|i| {
            (
                format!("t{i}"),
                TitlePlacement {
                    first_cell: i,
                    replica_cells: 3,
                },
            )
        })
        .collect();
    Config {
        seed: 3,
        settings: Settings {
            director_count: 1,
            classes: vec![
                harmless,
                ClassSettings {
                    idempotency: Idempotency::AtMostOnce,
                    session_limit_per_title: 5,
                    ..class
                },
            ],
            ladder: vec![
                Rung {
                    rate_kb_s: 300.0,
                    utility: 0.4,
                },
                Rung {
                    rate_kb_s: 900.0,
                    utility: 1.0,
                },
            ],
            cell_count: NODES,
            rack_count: 0,
            stream_capacity_by_kind: vec![40.0],
            weight_is_capacity: true,
            link_kb_s_per_weight: 10_000.0,
            join_rate_fraction: 1.0,
            notification_interval: 3 * S,
            notification_delay: S,
            stall_penalty: 7.0,
            rung_change_cost_s: 0.5,
            rules: RuleSettings {
                warm_up: S,
                initial_capacity: 0.4,
                overload_factor: 3.0,
                overload_window: S,
                ..Default::default()
            },
            limits: Limits {
                max_attempts: 4,
                can_cancel: true,
                min_batch_interval: 10 * MS,
                max_retry_after: S,
                ..Default::default()
            },
            ..Default::default()
        },
        classes: ["open", "paid"]
            .map(|name| NamedClass {
                name: name.into(),
                max_wait: 4 * S,
            })
            .to_vec(),
        machine_kinds: vec!["box".into()],
        titles,
        max_sessions: 1000,
        ..Default::default()
    }
}

fn line(id: u64, standing: EndpointState) -> EndpointEntry {
    let address: SocketAddr = format!("127.0.0.1:{}", 1000 + id).parse().unwrap();
    EndpointEntry {
        server: ServerId(id),
        address: Some(address),
        zone: String::new(),
        machine_kind: "box".into(),
        cell: id,
        state: standing,
        weight: 1.0,
        started_at: None,
    }
}

#[derive(Default)]
struct AskSeen {
    due: Timestamp,
    answers: u32,
    left: bool,
}

struct World {
    engine: Engine,
    now: Timestamp,
    asks: BTreeMap<RequestId, AskSeen>,
    /// Calls that are out, and when the world answers them.
    out: BTreeMap<CallId, (Timestamp, ServerId, CallKind, u64)>,
    /// What each node holds, and what it was told to end.
    runs: BTreeMap<ServerId, BTreeSet<SessionAttempt>>,
    ended: BTreeSet<(ServerId, SessionId, u32)>,
    /// Set-ups of paid sessions that may have run.
    paid: BTreeMap<SessionId, u32>,
    down: BTreeSet<ServerId>,
    plays: BTreeSet<SessionId>,
    dice: RandomNumbers,
    set_ups: u32,
}

impl World {
    fn new(seed: u64) -> World {
        let mut world = World {
            engine: Engine::new(config(), Timestamp::ZERO),
            now: Timestamp::ZERO,
            asks: BTreeMap::new(),
            out: BTreeMap::new(),
            runs: (0..NODES).map(|n| (ServerId(n), BTreeSet::new())).collect(),
            ended: BTreeSet::new(),
            paid: BTreeMap::new(),
            down: BTreeSet::new(),
            plays: BTreeSet::new(),
            dice: RandomNumbers(seed),
            set_ups: 0,
        };
        let lines = (0..NODES).map(|n| line(n, EndpointState::Ready)).collect();
        world.tell(Input::EndpointsUpdated {
            update: EndpointUpdate::Full,
            endpoints: lines,
        });
        world
    }

    fn tell(&mut self, input: Input) {
        self.engine.handle(self.now, input);
        self.collect();
    }

    fn collect(&mut self) {
        while let Some(output) = self.engine.poll_output() {
            match output {
                Output::Answer {
                    request_id: ask,
                    answer,
                } => {
                    let seen = self.asks.get_mut(&ask).expect("an answer to nobody");
                    seen.answers += 1;
                    assert_eq!(seen.answers, 1, "one answer for {ask:?}");
                    assert!(!seen.left, "an answer to one who left");
                    assert!(
                        self.now <= seen.due + 20 * MS,
                        "an answer {:?} late",
                        self.now - seen.due
                    );
                    if let Answer::Playing { session, .. } = answer {
                        self.plays.insert(session);
                    }
                }
                Output::Call {
                    call, server, kind, ..
                } => {
                    if let CallKind::SetUpSession {
                        session,
                        attempt,
                        class,
                        ..
                    } = &kind
                    {
                        self.set_ups += 1;
                        let again = self.out.values().any(
                            |(_, _, k, _)| matches!(k, CallKind::SetUpSession { session: s, .. } if s == session),
                        );
                        assert!(!again, "two attempts out");
                        if class == "paid" {
                            assert_eq!(
                                self.paid.get(session),
                                None,
                                "paid twice, attempt {attempt}"
                            );
                        }
                    }
                    let how = self.dice.below(100);
                    let wait = if how < 70 {
                        self.dice.below(200)
                    } else {
                        self.dice.below(6000)
                    } as i64
                        * MS;
                    self.out.insert(call, (self.now + wait, server, kind, how));
                }
                Output::CancelCall { call } => {
                    // Given up: it may still run, now or later.
                    let (_, server, kind, how) =
                        self.out.remove(&call).expect("a call that is out");
                    if how % 2 == 0 {
                        self.run(server, &kind);
                    }
                }
                _ => {}
            }
        }
    }

    /// The call reaches the node and takes effect.
    fn run(&mut self, server: ServerId, kind: &CallKind) {
        if self.down.contains(&server) {
            return;
        }
        let runs = self.runs.get_mut(&server).unwrap();
        match kind {
            CallKind::SetUpSession {
                session,
                attempt,
                class,
                ..
            } => {
                if class == "paid" {
                    *self.paid.entry(*session).or_default() += 1;
                }
                if !self.ended.contains(&(server, *session, *attempt)) {
                    runs.insert(SessionAttempt {
                        session: *session,
                        attempt: *attempt,
                    });
                }
            }
            CallKind::EndSession {
                session, attempt, ..
            } => {
                runs.remove(&SessionAttempt {
                    session: *session,
                    attempt: *attempt,
                });
                self.ended.insert((server, *session, *attempt));
            }
            _ => {}
        }
    }

    fn answer_call(&mut self, call: CallId) {
        let (_, server, kind, how) = self.out.remove(&call).unwrap();
        let load = LoadReport {
            link_utilization: Some(how as f64 / 100.0),
            ..LoadReport::default()
        };
        let answered = |status, never_ran| CallResult::Answered {
            status,
            not_started: never_ran,
            load_report: load,
            media: Some("m".into()),
        };
        let set_up = matches!(kind, CallKind::SetUpSession { .. });
        let done = if self.down.contains(&server) {
            if how < 50 {
                CallResult::NotStarted("refused".into())
            } else {
                CallResult::MaybeExecuted("reset".into())
            }
        } else if set_up && how >= 92 {
            self.run(server, &kind);
            CallResult::MaybeExecuted("cut".into())
        } else if set_up && how >= 86 {
            answered(503, true)
        } else if set_up && how >= 80 {
            answered(500, false)
        } else {
            self.run(server, &kind);
            answered(201, false)
        };
        if let (CallKind::SetUpSession { session, class, .. }, CallResult::MaybeExecuted(_)) =
            (&kind, &done)
            && class == "paid"
        {
            self.paid.entry(*session).or_default();
        }
        self.tell(Input::CallFinished { call, result: done });
    }

    /// Lets time pass up to `until`; calls are answered and timers ring when they are due.
    fn pass(&mut self, until: Timestamp) {
        loop {
            let call = self.out.iter().map(|(id, (due, ..))| (*due, *id)).min();
            let timer = self.engine.poll_timeout();
            let next = call
                .map(|(due, _)| due)
                .into_iter()
                .chain(timer)
                .min()
                .unwrap_or(until);
            if next > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next);
            match call {
                Some((due, id)) if due <= self.now && timer.is_none_or(|t| due <= t) => {
                    self.answer_call(id)
                }
                _ => {
                    self.engine.handle_timeout(self.now);
                    self.collect();
                }
            }
        }
    }

    fn ask(&mut self, ask: u64) {
        let class = if self.dice.below(2) == 0 {
            "open"
        } else {
            "paid"
        };
        let new = SessionRequest {
            viewer_key: format!("v{}", self.dice.below(60)),
            class: class.into(),
            title: format!("t{}", self.dice.below(6)),
            is_retry: self.dice.below(3) > 0,
            ..SessionRequest::default()
        };
        self.asks.insert(
            RequestId(ask),
            AskSeen {
                due: self.now + 4 * S,
                ..AskSeen::default()
            },
        );
        self.tell(Input::RequestReceived {
            request_id: RequestId(ask),
            request: new,
        });
    }

    fn trouble(&mut self) {
        let server = ServerId(self.dice.below(NODES));
        match self.dice.below(5) {
            0 if self.down.insert(server) => {
                self.runs.get_mut(&server).unwrap().clear();
                self.tell(Input::NodeDown { server });
            }
            1 if self.down.remove(&server) => self.snapshot(server),
            2 => {
                // A viewer ends at its node.
                let one = self.runs[&server].iter().next().copied();
                if let Some(SessionAttempt { session, attempt }) = one {
                    self.runs
                        .get_mut(&server)
                        .unwrap()
                        .remove(&SessionAttempt { session, attempt });
                    self.tell(Input::NodeNotified {
                        server,
                        event: NodeEvent::SessionEnded { session, attempt },
                    });
                }
            }
            3 => {
                let open = |(_, s): &(&RequestId, &AskSeen)| s.answers == 0 && !s.left;
                if let Some(ask) = self.asks.iter().find(open).map(|(id, _)| *id) {
                    self.asks.get_mut(&ask).unwrap().left = true;
                    self.tell(Input::RequestWithdrawn { request_id: ask });
                }
            }
            _ => {
                if let Some(session) = self.plays.pop_first() {
                    self.tell(Input::EndSession { session });
                }
            }
        }
    }

    fn snapshot(&mut self, server: ServerId) {
        let held = self.runs[&server].iter().copied().collect();
        self.tell(Input::NodeConnected {
            server,
            requested_at: self.now,
            held,
        });
    }
}

#[test]
fn whatever_happens_each_ask_has_one_answer_and_nothing_is_leaked() {
    let mut set_ups = 0;
    for seed in 1..=30u64 {
        let mut world = World::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        world.pass(Timestamp::ZERO + 2 * S);
        for ask in 0..300 {
            world.ask(ask);
            if world.dice.below(3) == 0 {
                world.trouble();
            }
            let wait = world.dice.below(120) as i64 * MS;
            world.pass(world.now + wait);
        }
        // All is well again: what was out is answered, what is owed is confirmed.
        for server in std::mem::take(&mut world.down) {
            world.snapshot(server);
        }
        world.pass(world.now + 60 * S);
        for (ask, seen) in &world.asks {
            assert!(
                seen.left || seen.answers == 1,
                "seed {seed}: {ask:?} has {} answers",
                seen.answers
            );
        }
        let held = world.engine.session_counts();
        assert_eq!(
            (held.waiting, held.leaving, held.unconfirmed_ends),
            (0, 0, 0),
            "seed {seed}"
        );
        let runs: usize = world.runs.values().map(BTreeSet::len).sum();
        assert_eq!(
            runs, held.playing,
            "seed {seed}: what nodes hold is what is known here"
        );
        set_ups += world.set_ups;
    }
    assert!(
        set_ups > 3000,
        "the runs have to exercise the engine: {set_ups} set-ups"
    );
}

#[test]
fn the_same_key_gets_the_same_session() {
    let mut world = World::new(1);
    world.pass(Timestamp::ZERO + 2 * S);
    let new = SessionRequest {
        viewer_key: "a".into(),
        class: "open".into(),
        title: "t1".into(),
        ..Default::default()
    };
    for ask in 0..3 {
        world.asks.insert(
            RequestId(ask),
            AskSeen {
                due: world.now + 4 * S,
                ..Default::default()
            },
        );
        world.tell(Input::RequestReceived {
            request_id: RequestId(ask),
            request: new.clone(),
        });
    }
    assert_eq!(world.set_ups, 1);
    let other = SessionRequest {
        title: "t2".into(),
        ..new
    };
    world.asks.insert(
        RequestId(9),
        AskSeen {
            due: world.now,
            ..Default::default()
        },
    );
    world.tell(Input::RequestReceived {
        request_id: RequestId(9),
        request: other,
    });
    assert_eq!(
        world.asks[&RequestId(9)].answers,
        1,
        "another title under a key in use clashes at once"
    );
    world.pass(world.now + 10 * S);
    assert!((0..3).all(|a| world.asks[&RequestId(a)].answers == 1));
    assert_eq!(world.plays.len(), 1);
}

#[test]
fn equal_inputs_give_equal_outputs() {
    let run = || {
        let mut engine = Engine::new(config(), Timestamp::ZERO);
        let lines = (0..NODES).map(|n| line(n, EndpointState::Ready)).collect();
        engine.handle(
            Timestamp::ZERO,
            Input::EndpointsUpdated {
                update: EndpointUpdate::Full,
                endpoints: lines,
            },
        );
        for ask in 0..50 {
            let new = SessionRequest {
                viewer_key: format!("v{ask}"),
                class: "open".into(),
                title: "t0".into(),
                ..Default::default()
            };
            engine.handle(
                Timestamp::ZERO + ask as i64 * 10 * MS,
                Input::RequestReceived {
                    request_id: RequestId(ask),
                    request: new,
                },
            );
        }
        engine.handle_timeout(Timestamp::ZERO + 10 * S);
        std::iter::from_fn(|| engine.poll_output())
            .map(|o| format!("{o:?}"))
            .collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

#[test]
fn an_answer_and_the_deadline_in_one_turn_give_one_answer() {
    for answer_first in [true, false] {
        let mut world = World::new(1);
        world.pass(Timestamp::ZERO + 2 * S);
        let new = SessionRequest {
            viewer_key: "a".into(),
            class: "paid".into(),
            title: "t1".into(),
            ..Default::default()
        };
        world.asks.insert(
            RequestId(0),
            AskSeen {
                due: world.now + 4 * S,
                ..Default::default()
            },
        );
        world.tell(Input::RequestReceived {
            request_id: RequestId(0),
            request: new,
        });
        let (call, (_, server, kind, _)) = world.out.pop_first().unwrap();
        assert!(matches!(kind, CallKind::SetUpSession { .. }));
        world.run(server, &kind);
        let done = CallResult::Answered {
            status: 201,
            not_started: false,
            load_report: LoadReport::default(),
            media: Some("m".into()),
        };
        world.now += 4 * S - 10 * MS;
        if answer_first {
            world.tell(Input::CallFinished {
                call,
                result: done.clone(),
            });
        }
        // The call was taken off the list: hand it back so that giving it up finds it.
        world.out.insert(call, (Timestamp::MAX, server, kind, 1));
        world.engine.handle_timeout(world.now);
        world.collect();
        if !answer_first {
            world.tell(Input::CallFinished { call, result: done });
        }
        world.out.remove(&call);
        world.pass(world.now + 20 * S);
        assert_eq!(world.asks[&RequestId(0)].answers, 1);
        let held = world.engine.session_counts();
        let runs: usize = world.runs.values().map(BTreeSet::len).sum();
        assert_eq!(
            (held.playing, runs),
            if answer_first { (1, 1) } else { (0, 0) }
        );
    }
}

#[test]
fn an_end_that_is_confirmed_by_other_news_leaves_no_call_waiting() {
    let mut world = World::new(1);
    world.pass(Timestamp::ZERO + 2 * S);
    let new = SessionRequest {
        viewer_key: "a".into(),
        class: "open".into(),
        title: "t1".into(),
        ..Default::default()
    };
    world.asks.insert(
        RequestId(0),
        AskSeen {
            due: world.now + 4 * S,
            ..Default::default()
        },
    );
    world.tell(Input::RequestReceived {
        request_id: RequestId(0),
        request: new,
    });
    world.pass(world.now + 10 * S);
    let session = world.plays.pop_first().unwrap();
    world.tell(Input::EndSession { session });
    let (_, server, ..) = world
        .out
        .values()
        .next()
        .cloned()
        .expect("the node is told to end it");
    // The node never answers; the list says that it is gone.
    world.tell(Input::EndpointsUpdated {
        update: EndpointUpdate::Delta,
        endpoints: vec![line(server.0, EndpointState::Gone)],
    });
    assert!(world.out.is_empty(), "{:?}", world.out);
    assert_eq!(world.engine.session_counts(), SessionCounts::default());
}

/// An incident of a day of moves: the node of a set-up that was out vanished, the list said so, and at the viewer's
/// deadline the end that was owed counted as confirmed at once. The session was forgotten before its answer.
#[test]
fn a_set_up_that_is_out_at_a_node_that_is_gone_has_its_answer_at_the_deadline() {
    for class in ["open", "paid"] {
        let mut world = World::new(1);
        world.pass(Timestamp::ZERO + 2 * S);
        let (viewer, class, title) = ("a".into(), class.into(), "t1".into());
        world.asks.insert(
            RequestId(0),
            AskSeen {
                due: world.now + 4 * S,
                ..Default::default()
            },
        );
        world.tell(Input::RequestReceived {
            request_id: RequestId(0),
            request: SessionRequest {
                viewer_key: viewer,
                class,
                title,
                ..Default::default()
            },
        });
        let (_, server, ..) = world.out.values().next().cloned().expect("a set-up");
        // None of them ever answers, and all are gone.
        world
            .out
            .values_mut()
            .for_each(|(due, ..)| *due = Timestamp::MAX);
        let gone = (0..NODES).map(|n| {
            line(
                n,
                if n == server.0 {
                    EndpointState::Gone
                } else {
                    EndpointState::Draining
                },
            )
        });
        let lines = gone.collect();
        world.tell(Input::EndpointsUpdated {
            update: EndpointUpdate::Delta,
            endpoints: lines,
        });
        world.pass(world.now + 6 * S);
        assert_eq!(world.asks[&RequestId(0)].answers, 1);
        assert_eq!(world.engine.session_counts(), SessionCounts::default());
    }
}

/// A front that is out of descriptors: nothing is charged to nodes, and whoever asks is turned away at once.
#[test]
fn what_never_left_this_machine_is_charged_to_no_node() {
    let mut world = World::new(1);
    world.pass(Timestamp::ZERO + 2 * S);
    for ask in 0..40 {
        let class = if ask % 2 == 0 { "open" } else { "paid" };
        let (viewer, title) = (format!("v{ask}"), format!("t{}", ask % 6));
        world.asks.insert(
            RequestId(ask),
            AskSeen {
                due: world.now + 4 * S,
                ..Default::default()
            },
        );
        world.tell(Input::RequestReceived {
            request_id: RequestId(ask),
            request: SessionRequest {
                viewer_key: viewer,
                class: class.into(),
                title,
                ..Default::default()
            },
        });
        while let Some((call, _)) = world.out.pop_first() {
            world.tell(Input::CallFinished {
                call,
                result: CallResult::NotSent("too many open files".into()),
            });
        }
        assert_eq!(
            world.asks[&RequestId(ask)].answers,
            1,
            "turned away at once"
        );
    }
    assert_eq!(
        world.engine.session_counts(),
        SessionCounts::default(),
        "no end is owed for what was never sent"
    );
    // It is over: every node takes sessions of both classes at once, as none of them has failed.
    let before = world.set_ups;
    for ask in 100..124 {
        world.now += 100 * MS;
        world.asks.insert(
            RequestId(ask),
            AskSeen {
                due: world.now + 4 * S,
                ..Default::default()
            },
        );
        let (viewer, title) = (format!("w{ask}"), format!("t{}", ask % 6));
        let class = "paid".to_string();
        world.tell(Input::RequestReceived {
            request_id: RequestId(ask),
            request: SessionRequest {
                viewer_key: viewer,
                class,
                title,
                ..Default::default()
            },
        });
    }
    assert_eq!(world.set_ups - before, 24);
    let at: BTreeSet<ServerId> = world.out.values().map(|(_, server, ..)| *server).collect();
    assert_eq!(at.len(), NODES as usize, "{at:?}");
}
