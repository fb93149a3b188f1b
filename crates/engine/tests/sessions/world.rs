//! A director, its viewers and its nodes in simulated time. Invariants are checked on every output.

use crate::common::RandomNumbers;
use shalewall::{
    ClassSettings, EndpointState, EndpointUpdate, Idempotency, Limits, LoadReport, RuleSettings,
    Rung, ServerId, SessionId, Settings, TimeDelta, Timestamp,
};
use shalewall_engine::{
    Answer, CallId, CallKind, CallResult, Config, EndpointEntry, Engine, Input, NamedClass,
    NodeEvent, Output, RequestId, SessionAttempt, SessionRequest, TitlePlacement,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

pub const MILLISECOND: TimeDelta = TimeDelta::from_millis(1);
pub const SECOND: TimeDelta = TimeDelta::from_secs(1);
pub const NODES: u64 = 4;

pub fn config() -> Config {
    let class = ClassSettings {
        latency_objective: SECOND,
        priority_weight: 1.0,
        rate_scale: 1.0,
        highest_rung: 1,
        ..Default::default()
    };
    let idempotent = ClassSettings {
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
                idempotent,
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
            notification_interval: 3 * SECOND,
            notification_delay: SECOND,
            stall_penalty: 7.0,
            rung_change_cost_s: 0.5,
            rules: RuleSettings {
                warm_up: SECOND,
                initial_capacity: 0.4,
                overload_factor: 3.0,
                overload_window: SECOND,
                ..Default::default()
            },
            limits: Limits {
                max_attempts: 4,
                can_cancel: true,
                min_batch_interval: 10 * MILLISECOND,
                max_retry_after: SECOND,
                ..Default::default()
            },
            ..Default::default()
        },
        classes: ["open", "paid"]
            .map(|name| NamedClass {
                name: name.into(),
                max_wait: 4 * SECOND,
            })
            .to_vec(),
        machine_kinds: vec!["box".into()],
        titles,
        max_sessions: 1000,
        ..Default::default()
    }
}

pub fn endpoint(id: u64, state: EndpointState) -> EndpointEntry {
    let address: SocketAddr = format!("127.0.0.1:{}", 1000 + id).parse().unwrap();
    EndpointEntry {
        server: ServerId(id),
        address: Some(address),
        zone: String::new(),
        machine_kind: "box".into(),
        cell: id,
        state,
        weight: 1.0,
        started_at: None,
    }
}

/// The state of a viewer's request.
#[derive(Default)]
pub struct RequestState {
    pub due: Timestamp,
    pub answers: u32,
    pub withdrawn: bool,
}

/// One director, its viewers and its nodes.
pub struct Simulation {
    pub engine: Engine,
    pub now: Timestamp,
    pub requests: BTreeMap<RequestId, RequestState>,
    /// Calls in flight: when and by which node they are answered, and a random percentage that selects the result.
    pub calls: BTreeMap<CallId, (Timestamp, ServerId, CallKind, u64)>,
    /// The attempts that each node holds.
    pub held: BTreeMap<ServerId, BTreeSet<SessionAttempt>>,
    /// The attempts that each node was called to end.
    pub ended: BTreeSet<(ServerId, SessionId, u32)>,
    /// Set-ups of at-most-once sessions ("paid") that may have been executed, by session.
    pub paid: BTreeMap<SessionId, u32>,
    /// Nodes whose processes have failed.
    pub down: BTreeSet<ServerId>,
    /// Sessions whose viewers have been answered that they play.
    pub playing: BTreeSet<SessionId>,
    pub random: RandomNumbers,
    /// Set-up attempts sent.
    pub attempts: u32,
}

impl Simulation {
    pub fn new(seed: u64) -> Simulation {
        let mut simulation = Simulation {
            engine: Engine::new(config(), Timestamp::ZERO),
            now: Timestamp::ZERO,
            requests: BTreeMap::new(),
            calls: BTreeMap::new(),
            held: (0..NODES).map(|n| (ServerId(n), BTreeSet::new())).collect(),
            ended: BTreeSet::new(),
            paid: BTreeMap::new(),
            down: BTreeSet::new(),
            playing: BTreeSet::new(),
            random: RandomNumbers(seed),
            attempts: 0,
        };
        let endpoints = (0..NODES)
            .map(|n| endpoint(n, EndpointState::Ready))
            .collect();
        simulation.handle(Input::EndpointsUpdated {
            update: EndpointUpdate::Full,
            endpoints,
        });
        simulation
    }

    pub fn handle(&mut self, input: Input) {
        self.engine.handle(self.now, input);
        self.carry_out_outputs();
    }

    pub fn carry_out_outputs(&mut self) {
        while let Some(output) = self.engine.poll_output() {
            match output {
                Output::Answer { request_id, answer } => {
                    let request_state = self
                        .requests
                        .get_mut(&request_id)
                        .expect("only known requests are answered");
                    request_state.answers += 1;
                    assert_eq!(
                        request_state.answers, 1,
                        "{request_id:?} is answered more than once"
                    );
                    assert!(!request_state.withdrawn, "a withdrawn request is answered");
                    assert!(
                        self.now <= request_state.due + 20 * MILLISECOND,
                        "the answer is {:?} late",
                        self.now - request_state.due
                    );
                    if let Answer::Playing { session, .. } = answer {
                        self.playing.insert(session);
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
                        self.attempts += 1;
                        let already_in_flight = self.calls.values().any(
                            |(_, _, k, _)| matches!(k, CallKind::SetUpSession { session: s, .. } if s == session),
                        );
                        assert!(!already_in_flight, "two attempts of {session:?} in flight");
                        if class == "paid" {
                            assert_eq!(
                                self.paid.get(session),
                                None,
                                "an at-most-once session is set up again by attempt {attempt}"
                            );
                        }
                    }
                    let percentage = self.random.below(100);
                    let wait = if percentage < 70 {
                        self.random.below(200)
                    } else {
                        self.random.below(6000)
                    } as i64
                        * MILLISECOND;
                    self.calls
                        .insert(call, (self.now + wait, server, kind, percentage));
                }
                Output::CancelCall { call } => {
                    // A cancelled call may still be executed.
                    let (_, server, kind, percentage) =
                        self.calls.remove(&call).expect("the call is in flight");
                    if percentage % 2 == 0 {
                        self.execute(server, &kind);
                    }
                }
                _ => {}
            }
        }
    }

    /// Executes a call at its node.
    pub fn execute(&mut self, server: ServerId, kind: &CallKind) {
        if self.down.contains(&server) {
            return;
        }
        let held = self.held.get_mut(&server).unwrap();
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
                    held.insert(SessionAttempt {
                        session: *session,
                        attempt: *attempt,
                    });
                }
            }
            CallKind::EndSession {
                session, attempt, ..
            } => {
                held.remove(&SessionAttempt {
                    session: *session,
                    attempt: *attempt,
                });
                self.ended.insert((server, *session, *attempt));
            }
            _ => {}
        }
    }

    pub fn answer_call(&mut self, call: CallId) {
        let (_, server, kind, percentage) = self.calls.remove(&call).unwrap();
        let load = LoadReport {
            link_utilization: Some(percentage as f64 / 100.0),
            ..LoadReport::default()
        };
        let answered = |status, not_started| CallResult::Answered {
            status,
            not_started,
            load_report: load,
            media: Some("m".into()),
        };
        let set_up = matches!(kind, CallKind::SetUpSession { .. });
        let result = if self.down.contains(&server) {
            if percentage < 50 {
                CallResult::NotStarted("refused".into())
            } else {
                CallResult::MaybeExecuted("reset".into())
            }
        } else if set_up && percentage >= 92 {
            self.execute(server, &kind);
            CallResult::MaybeExecuted("cut".into())
        } else if set_up && percentage >= 86 {
            answered(503, true)
        } else if set_up && percentage >= 80 {
            answered(500, false)
        } else {
            self.execute(server, &kind);
            answered(201, false)
        };
        if let (CallKind::SetUpSession { session, class, .. }, CallResult::MaybeExecuted(_)) =
            (&kind, &result)
            && class == "paid"
        {
            self.paid.entry(*session).or_default();
        }
        self.handle(Input::CallFinished { call, result });
    }

    /// Advances time to `until`; answers calls and fires timers when they are due.
    pub fn run_until(&mut self, until: Timestamp) {
        loop {
            let call = self.calls.iter().map(|(id, (due, ..))| (*due, *id)).min();
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
                    self.carry_out_outputs();
                }
            }
        }
    }

    /// Sends a request of one of 60 viewers for one of 6 titles, with a random class.
    pub fn request_session(&mut self, number: u64) {
        let class = if self.random.below(2) == 0 {
            "open"
        } else {
            "paid"
        };
        let request = SessionRequest {
            viewer_key: format!("v{}", self.random.below(60)),
            class: class.into(),
            title: format!("t{}", self.random.below(6)),
            is_retry: self.random.below(3) > 0,
            ..SessionRequest::default()
        };
        self.send_request(RequestId(number), self.now + 4 * SECOND, request);
    }

    /// Sends a request that has to be answered by `due`.
    pub fn send_request(&mut self, request_id: RequestId, due: Timestamp, request: SessionRequest) {
        let state = RequestState {
            due,
            ..RequestState::default()
        };
        self.requests.insert(request_id, state);
        self.handle(Input::RequestReceived {
            request_id,
            request,
        });
    }

    pub fn inject_fault(&mut self) {
        let server = ServerId(self.random.below(NODES));
        match self.random.below(5) {
            0 if self.down.insert(server) => {
                self.held.get_mut(&server).unwrap().clear();
                self.handle(Input::NodeDown { server });
            }
            1 if self.down.remove(&server) => self.connect_node(server),
            2 => {
                // A session ends at its node.
                let first_held = self.held[&server].iter().next().copied();
                if let Some(SessionAttempt { session, attempt }) = first_held {
                    self.held
                        .get_mut(&server)
                        .unwrap()
                        .remove(&SessionAttempt { session, attempt });
                    self.handle(Input::NodeNotified {
                        server,
                        event: NodeEvent::SessionEnded { session, attempt },
                    });
                }
            }
            3 => {
                let open = |(_, s): &(&RequestId, &RequestState)| s.answers == 0 && !s.withdrawn;
                if let Some(request_id) = self.requests.iter().find(open).map(|(id, _)| *id) {
                    self.requests.get_mut(&request_id).unwrap().withdrawn = true;
                    self.handle(Input::RequestWithdrawn { request_id });
                }
            }
            _ => {
                if let Some(session) = self.playing.pop_first() {
                    self.handle(Input::EndSession { session });
                }
            }
        }
    }

    pub fn connect_node(&mut self, server: ServerId) {
        let held = self.held[&server].iter().copied().collect();
        self.handle(Input::NodeConnected {
            server,
            requested_at: self.now,
            held,
        });
    }
}
