//! Digest of the engine: every output of `shalewall_engine::Engine` over random inputs in simulated time, from viewers,
//! players, nodes, the list of servers and the agreements with tenants, with hand-overs and without.

use crate::encoder::{Encoder, PartDigest};
use crate::random::Random;
use shalewall::*;
use shalewall_engine::*;
use shalewall_migration::Epoch;
use shalewall_migration::node::SessionEpochs;
use shalewall_migration::planner::{MigrationPolicy, MigrationReason};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const MILLISECOND: TimeDelta = TimeDelta::from_millis(1);
const SECOND: TimeDelta = TimeDelta::from_secs(1);
const SEEDS: u64 = 200;
const STEPS: u64 = 500;
const NODES: u64 = 5;
const TITLES: u64 = 6;
/// So many sessions of an earlier process at most are held by each node at the start.
const MOST_CARRIED: u64 = 3;

/// Runs all cases.
pub fn digest() -> PartDigest {
    let mut encoder = Encoder::new();
    for (number, variant) in all_variants().into_iter().enumerate() {
        for seed in 1..=SEEDS {
            encoder.begin_case(number, seed);
            Script::new(seed, variant, &mut encoder).run();
        }
    }
    encoder.finish()
}

/// What differs between the configurations.
#[derive(Clone, Copy, Default)]
struct Variant {
    moves: bool,
    tenants: bool,
    probes: bool,
    one_rung: bool,
}

fn all_variants() -> [Variant; 4] {
    [
        Variant::default(),
        Variant {
            moves: true,
            ..Variant::default()
        },
        Variant {
            tenants: true,
            probes: true,
            ..Variant::default()
        },
        Variant {
            moves: true,
            tenants: true,
            probes: true,
            one_rung: true,
        },
    ]
}

fn class_terms(effect: Idempotency, top: usize) -> ClassSettings {
    ClassSettings {
        idempotency: effect,
        latency_objective: SECOND,
        priority_weight: 1.0,
        rate_scale: 1.0,
        highest_rung: top,
        ..Default::default()
    }
}

fn settings(variant: Variant) -> Settings {
    let ladder = if variant.one_rung {
        vec![Rung {
            rate_kb_s: 500.0,
            utility: 1.0,
        }]
    } else {
        vec![
            Rung {
                rate_kb_s: 300.0,
                utility: 0.4,
            },
            Rung {
                rate_kb_s: 900.0,
                utility: 1.0,
            },
        ]
    };
    let top = ladder.len() - 1;
    let paid = ClassSettings {
        session_limit_per_title: 5,
        ..class_terms(Idempotency::AtMostOnce, top)
    };
    let tenant = TenantSettings {
        request_quota_per_s: 0.0,
        fleet_quota: 0.4,
    };
    Settings {
        director_count: 1,
        classes: vec![class_terms(Idempotency::Idempotent, top), paid],
        tenants: if variant.tenants {
            vec![tenant, tenant]
        } else {
            Vec::new()
        },
        ladder,
        cell_count: NODES,
        stream_capacity_by_kind: vec![40.0],
        weight_is_capacity: true,
        link_kb_s_per_weight: 9_000.0,
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
            can_check_health: variant.probes,
            min_batch_interval: 10 * MILLISECOND,
            max_retry_after: SECOND,
            ..Default::default()
        },
        ..Default::default()
    }
}

fn config(seed: u64, variant: Variant) -> Config {
    let titles = (0..TITLES)
        .map(|i| {
            (
                format!("t{i}"),
                TitlePlacement {
                    first_cell: i % NODES,
                    replica_cells: 3,
                },
            )
        })
        .collect();
    let terms = MigrationPolicy {
        duration: TimeDelta::from_millis(600),
        cooldown: TimeDelta::from_secs(10),
        min_shortage: TimeDelta::from_secs(6),
        max_per_node: 16,
        max_per_director: 64,
        cost_s: 1.0,
    };
    Config {
        seed,
        settings: settings(variant),
        classes: ["open", "paid"]
            .map(|name| NamedClass {
                name: name.into(),
                max_wait: 4 * SECOND,
            })
            .to_vec(),
        tenants: if variant.tenants {
            vec!["a".into(), "b".into()]
        } else {
            Vec::new()
        },
        machine_kinds: vec!["box".into()],
        titles,
        max_sessions: 150,
        migration: variant.moves.then_some(terms),
        ..Default::default()
    }
}

/// Lets in all but a few wishes, by their order alone.
#[derive(Default)]
struct EveryTwentiethWaits {
    wishes: u64,
}

impl AdmissionControl for EveryTwentiethWaits {
    fn admit(&mut self, _: Timestamp, tenant: Option<&str>) -> Admission {
        self.wishes += 1;
        match tenant {
            Some("nobody") => Admission::UnknownTenant,
            _ if self.wishes.is_multiple_of(20) => Admission::Rejected {
                retry_after: SECOND,
            },
            _ => Admission::Admitted,
        }
    }

    fn release(&mut self, _: Timestamp, _: Option<&str>) {}
}

/// What happens at a later time.
enum Later {
    CallAnswered(CallId),
    Tell(Input),
}

/// A call that is out.
struct Call {
    server: ServerId,
    kind: CallKind,
}

/// One run of an engine with its viewers and nodes.
struct Script<'e> {
    engine: Engine,
    variant: Variant,
    encoder: &'e mut Encoder,
    random: Random,
    now: Timestamp,
    later: BTreeMap<(Timestamp, u64), Later>,
    queued: u64,
    calls: BTreeMap<CallId, Call>,
    next_ask: u64,
    waiting: BTreeSet<RequestId>,
    /// Sessions that play, with the epoch that each player plays.
    playing: BTreeMap<SessionId, Epoch>,
    /// What each node holds.
    held: BTreeMap<ServerId, BTreeSet<(SessionId, u32)>>,
    down: BTreeSet<ServerId>,
}

impl<'e> Script<'e> {
    fn new(seed: u64, variant: Variant, encoder: &'e mut Encoder) -> Script<'e> {
        let mut engine = Engine::new(config(seed, variant), Timestamp::ZERO);
        engine.set_admission_control(Box::new(EveryTwentiethWaits::default()));
        Script {
            engine,
            variant,
            encoder,
            random: Random::new(seed),
            now: Timestamp::ZERO,
            later: BTreeMap::new(),
            queued: 0,
            calls: BTreeMap::new(),
            next_ask: 0,
            waiting: BTreeSet::new(),
            playing: BTreeMap::new(),
            held: (0..NODES).map(|n| (ServerId(n), BTreeSet::new())).collect(),
            down: BTreeSet::new(),
        }
    }

    fn run(mut self) {
        self.start();
        for _ in 0..STEPS {
            self.step();
            let until = self.now + self.random.between(0, 120) * MILLISECOND;
            self.pass(until);
        }
        for server in std::mem::take(&mut self.down) {
            self.node_up(server);
        }
        self.pass(self.now + 60 * SECOND);
        self.encode_held();
    }

    /// The list, and sometimes what the nodes hold of an earlier process of the front.
    fn start(&mut self) {
        let lines = (0..NODES)
            .map(|n| line(n, EndpointState::Ready, None))
            .collect();
        self.tell(Input::EndpointsUpdated {
            update: EndpointUpdate::Full,
            endpoints: lines,
        });
        let restarted = self.variant.moves && self.random.percent(50);
        for node in 0..NODES {
            let server = ServerId(node);
            if restarted {
                let sessions = self.draw_carried(node);
                self.tell(Input::NodeSessionsReported { server, sessions });
            }
            self.node_up(server);
        }
        self.pass(Timestamp::ZERO + 2 * SECOND);
    }

    fn draw_carried(&mut self, node: u64) -> Vec<TransferredSession> {
        let count = self.random.below(MOST_CARRIED + 1);
        let server = ServerId(node);
        let mut sessions = Vec::new();
        for number in 0..count {
            let session = SessionId((1 << 30) + node * 100 + number);
            self.held.entry(server).or_default().insert((session, 0));
            self.playing.insert(session, Epoch(0));
            let fetched = self.random.percent(80);
            let held = SessionEpochs {
                serving: fetched.then_some(Epoch(0)),
                prepared: (!fetched).then_some(Epoch(1)),
            };
            sessions.push(TransferredSession {
                session,
                attempt: 0,
                viewer: session.0,
                tenant: None,
                class: self.random.pick(&["open", "paid"]).into(),
                title: format!("t{}", self.random.below(TITLES)),
                rung: 0,
                epochs: held,
                media: format!("m{node}"),
            });
        }
        sessions
    }

    // ---- inputs and time ---------------------------------------------------------------------

    fn tell(&mut self, input: Input) {
        self.engine.handle(self.now, input);
        self.collect();
    }

    fn schedule(&mut self, after: TimeDelta, later: Later) {
        self.queued += 1;
        self.later.insert((self.now + after, self.queued), later);
    }

    /// What is due by `until` happens, and timers ring, in order of time.
    fn pass(&mut self, until: Timestamp) {
        loop {
            let event = self.later.keys().next().map(|(due, _)| *due);
            let timer = self.engine.poll_timeout();
            let next = event.into_iter().chain(timer).min().unwrap_or(until);
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            if event.is_some_and(|due| timer.is_none_or(|timer| due <= timer)) {
                let Some((_, later)) = self.later.pop_first() else {
                    break;
                };
                self.happen(later);
            } else {
                self.engine.handle_timeout(self.now);
                self.collect();
            }
        }
        self.now = until;
    }

    fn happen(&mut self, later: Later) {
        match later {
            Later::Tell(input) => self.tell(input),
            Later::CallAnswered(call) => {
                let Some(out) = self.calls.remove(&call) else {
                    return;
                };
                let done = self.answer(&out);
                self.tell(Input::CallFinished { call, result: done });
            }
        }
    }

    fn step(&mut self) {
        match self.random.below(100) {
            0..=54 => self.ask(),
            55..=59 => self.viewer_leaves(),
            60..=69 => self.session_ends(),
            70..=74 => self.node_ends_session(),
            75..=80 => self.figures(),
            81..=84 => self.player_is_silent(),
            85..=87 => self.node_down(),
            88..=91 => self.node_comes_back(),
            92..=96 => self.list_changes(),
            97 => self.follows_no_more(),
            _ => self.tenants_change(),
        }
        self.encode_held();
    }

    fn ask(&mut self) {
        self.next_ask += 1;
        let random = &mut self.random;
        let tenant = match random.below(20) {
            0 => Some("nobody"),
            1..=9 if self.variant.tenants => Some(random.pick(&["a", "b", "c"])),
            _ => None,
        };
        let class = random.pick(&[
            "open", "paid", "open", "paid", "open", "paid", "open", "none",
        ]);
        let new = SessionRequest {
            viewer_key: format!("v{}", random.below(70)),
            tenant: tenant.map(String::from),
            class: class.into(),
            title: format!("t{}", random.below(TITLES)),
            max_wait: random
                .percent(30)
                .then(|| random.between(1, 50) * 100 * MILLISECOND),
            duration_hint: random.percent(70).then(|| random.between(5, 90) * SECOND),
            highest_rung: random.percent(30).then(|| random.index(2)),
            is_retry: random.percent(60),
        };
        let ask = RequestId(self.next_ask);
        self.waiting.insert(ask);
        self.tell(Input::RequestReceived {
            request_id: ask,
            request: new,
        });
    }

    fn viewer_leaves(&mut self) {
        if let Some(ask) = self.waiting.pop_first() {
            self.tell(Input::RequestWithdrawn { request_id: ask });
        }
    }

    fn draw_playing(&mut self) -> Option<SessionId> {
        let sessions: Vec<SessionId> = self.playing.keys().copied().collect();
        if sessions.is_empty() {
            None
        } else {
            Some(sessions[self.random.index(sessions.len())])
        }
    }

    fn draw_server(&mut self) -> ServerId {
        ServerId(self.random.below(NODES))
    }

    fn session_ends(&mut self) {
        let Some(session) = self.draw_playing() else {
            return;
        };
        self.playing.remove(&session);
        self.tell(Input::EndSession { session });
    }

    fn node_ends_session(&mut self) {
        let server = self.draw_server();
        let Some((session, attempt)) = self.held.get_mut(&server).and_then(BTreeSet::pop_first)
        else {
            return;
        };
        self.tell(Input::NodeNotified {
            server,
            event: NodeEvent::SessionEnded { session, attempt },
        });
    }

    fn figures(&mut self) {
        let server = self.draw_server();
        let Some((session, _)) = self.held[&server].first().copied() else {
            return;
        };
        let random = &mut self.random;
        let told = NodeEvent::LoadReported {
            session,
            delivered_fraction: random.percent(50).then(|| random.pick(&[1.0, 1.0, 0.8])),
            link_utilization: random.percent(70).then(|| random.share()),
            uplink_utilization: random.percent(30).then(|| random.share()),
        };
        self.tell(Input::NodeNotified {
            server,
            event: told,
        });
    }

    fn player_is_silent(&mut self) {
        let Some(session) = self.draw_playing() else {
            return;
        };
        let buffer = self.random.between(0, 20) * 100 * MILLISECOND;
        self.tell(Input::StreamSilent {
            session,
            buffered: buffer,
        });
    }

    fn node_down(&mut self) {
        let server = self.draw_server();
        if self.down.len() < 2 && self.down.insert(server) {
            self.held.insert(server, BTreeSet::new());
            self.tell(Input::NodeDown { server });
        }
    }

    fn node_comes_back(&mut self) {
        if let Some(server) = self.down.pop_first() {
            self.node_up(server);
        }
    }

    fn node_up(&mut self, server: ServerId) {
        let held = self.held[&server]
            .iter()
            .map(|(session, attempt)| SessionAttempt {
                session: *session,
                attempt: *attempt,
            })
            .collect();
        self.tell(Input::NodeConnected {
            server,
            requested_at: self.now,
            held,
        });
    }

    fn list_changes(&mut self) {
        let node = self.random.below(NODES);
        let states = [
            EndpointState::Ready,
            EndpointState::Ready,
            EndpointState::Ready,
            EndpointState::Draining,
            EndpointState::Gone,
        ];
        let standing = self.random.pick(&states);
        let came_up = self.random.percent(20).then_some(self.now);
        let lines = vec![line(node, standing, came_up)];
        self.tell(Input::EndpointsUpdated {
            update: EndpointUpdate::Delta,
            endpoints: lines,
        });
    }

    fn follows_no_more(&mut self) {
        let Some(session) = self.draw_playing() else {
            return;
        };
        self.tell(Input::PlayerSubscription {
            session,
            playing_epoch: None,
        });
    }

    /// Agreements with tenant `c` come and go, with nodes of its own or without, and its time ends.
    fn tenants_change(&mut self) {
        if !self.variant.tenants {
            return;
        }
        let random = &mut self.random;
        if random.percent(25) {
            return self.tell(Input::EndTenantSessions { tenant: "c".into() });
        }
        let classes = [(
            "open".to_string(),
            ClassTerms {
                settings: class_terms(Idempotency::Idempotent, 0),
                max_wait: 3 * SECOND,
            },
        )];
        let agreed = TenantTerms {
            quota: random.percent(80).then_some(0.3),
            classes: if random.percent(50) {
                classes.into()
            } else {
                BTreeMap::new()
            },
            titles: BTreeMap::new(),
            nodes: if random.percent(20) {
                vec![ServerId(NODES - 1)]
            } else {
                Vec::new()
            },
        };
        let agreed = random.percent(80).then_some(agreed);
        self.tell(Input::TenantsUpdated(vec![TenantUpdate {
            tenant: "c".into(),
            terms: agreed,
        }]));
    }

    // ---- nodes -------------------------------------------------------------------------------

    /// What comes of a call at its node.
    fn answer(&mut self, call: &Call) -> CallResult {
        let chance = self.random.below(100);
        if self.down.contains(&call.server) {
            return if chance < 50 {
                CallResult::NotStarted("refused".into())
            } else {
                CallResult::MaybeExecuted("reset".into())
            };
        }
        let set_up = matches!(
            call.kind,
            CallKind::SetUpSession { .. } | CallKind::PrepareMigration { .. }
        );
        match chance {
            99 => return CallResult::NotSent("out of descriptors".into()),
            94..=98 => {
                self.run_call(call);
                return CallResult::MaybeExecuted("cut".into());
            }
            88..=93 if set_up => return self.answered(503, true, call.server),
            84..=87 if set_up => return self.answered(500, false, call.server),
            90..=93 if matches!(call.kind, CallKind::CancelMigration { .. }) => {
                return self.answered(409, false, call.server);
            }
            _ => {}
        }
        self.run_call(call);
        self.answered(if set_up { 201 } else { 204 }, false, call.server)
    }

    fn answered(&mut self, status: u16, never_ran: bool, server: ServerId) -> CallResult {
        let random = &mut self.random;
        let load = LoadReport {
            streams: random.percent(20).then(|| random.below(40) as f64),
            link_utilization: random.percent(70).then(|| random.share()),
            uplink_utilization: None,
        };
        let media = random.percent(98).then(|| format!("m{}", server.0));
        CallResult::Answered {
            status,
            not_started: never_ran,
            load_report: load,
            media,
        }
    }

    /// The call takes effect.
    fn run_call(&mut self, call: &Call) {
        let held = self.held.entry(call.server).or_default();
        match call.kind {
            CallKind::SetUpSession {
                session, attempt, ..
            }
            | CallKind::PrepareMigration {
                session, attempt, ..
            } => {
                held.insert((session, attempt));
            }
            CallKind::EndSession {
                session,
                attempt,
                up_to_epoch: None,
            } => {
                held.remove(&(session, attempt));
            }
            _ => {}
        }
    }

    // ---- outputs -----------------------------------------------------------------------------

    fn collect(&mut self) {
        while let Some(output) = self.engine.poll_output() {
            self.encoder.i64(self.now.as_micros());
            encode_output(self.encoder, &output);
            self.carry_out(output);
        }
        let timeout = self.engine.poll_timeout();
        self.encoder
            .option(timeout, |e, due| e.i64(due.as_micros()));
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Answer {
                request_id: ask,
                answer,
            } => {
                self.waiting.remove(&ask);
                if let Answer::Playing { session, .. } = answer {
                    self.plays(session);
                }
            }
            Output::Call {
                call, server, kind, ..
            } => {
                let slow = self.random.percent(10);
                let wait = if slow {
                    self.random.between(1, 6000)
                } else {
                    self.random.between(1, 200)
                };
                self.calls.insert(call, Call { server, kind });
                self.schedule(wait * MILLISECOND, Later::CallAnswered(call));
            }
            Output::CancelCall { call } => {
                if let Some(out) = self.calls.remove(&call)
                    && self.random.percent(50)
                    && !self.down.contains(&out.server)
                {
                    self.run_call(&out);
                }
            }
            Output::OfferMigration {
                session,
                epoch,
                media,
            } => self.offered(session, epoch, &media),
            Output::SessionEnded { session } => {
                self.playing.remove(&session);
            }
            Output::WatchNode { .. }
            | Output::UnwatchNode { .. }
            | Output::CloseIdleConnections { .. }
            | Output::MigrationFinished { .. }
            | Output::AttemptFinished { .. }
            | Output::Log(_) => {}
        }
    }

    fn plays(&mut self, session: SessionId) {
        self.playing.insert(session, Epoch(0));
        if self.variant.moves && self.random.percent(85) {
            let input = Input::PlayerSubscription {
                session,
                playing_epoch: Some(Epoch(0)),
            };
            self.schedule(5 * MILLISECOND, Later::Tell(input));
        }
    }

    /// A player fetches what it is offered and goes over, or gets nothing there and says so, or says nothing.
    fn offered(&mut self, session: SessionId, epoch: Epoch, media: &str) {
        let Some(node) = media.strip_prefix('m').and_then(|n| n.parse().ok()) else {
            return;
        };
        let server = ServerId(node);
        let chance = self.random.below(100);
        if chance >= 90 {
            return;
        }
        if chance >= 75 {
            let input = Input::EpochDeclined { session, epoch };
            return self.schedule(400 * MILLISECOND, Later::Tell(input));
        }
        self.playing
            .entry(session)
            .and_modify(|plays| *plays = epoch);
        let told = NodeEvent::StreamFetched {
            session,
            attempt: 0,
            epoch,
        };
        self.schedule(
            5 * MILLISECOND,
            Later::Tell(Input::NodeNotified {
                server,
                event: told,
            }),
        );
        self.schedule(
            60 * MILLISECOND,
            Later::Tell(Input::EpochPlaying { session, epoch }),
        );
    }

    fn encode_held(&mut self) {
        let held = self.engine.session_counts();
        for count in [
            held.waiting,
            held.playing,
            held.ending,
            held.unconfirmed_ends,
            held.migrating,
        ] {
            self.encoder.usize(count);
        }
        for tenant in ["a", "c"] {
            let sessions = self.engine.tenant_sessions(tenant, 5);
            self.encoder.usize(sessions.len());
            sessions
                .iter()
                .for_each(|shown| encode_shown(self.encoder, shown));
        }
    }
}

fn line(node: u64, standing: EndpointState, came_up: Option<Timestamp>) -> EndpointEntry {
    EndpointEntry {
        server: ServerId(node),
        address: Some(SocketAddr::from(([127, 0, 0, 1], 1000 + node as u16))),
        zone: String::new(),
        machine_kind: "box".into(),
        cell: node,
        state: standing,
        weight: 1.0,
        started_at: came_up,
    }
}

fn encode_shown(encoder: &mut Encoder, shown: &SessionSummary) {
    encoder.u64(shown.session.0);
    encoder.text(&shown.class);
    encoder.text(&shown.title);
    encoder.option(shown.server, |e, server| e.u64(server.0));
    encoder.usize(shown.rung);
    encoder.bool(shown.is_playing);
}

fn encode_output(encoder: &mut Encoder, output: &Output) {
    match output {
        Output::Answer {
            request_id: ask,
            answer,
        } => {
            encoder.begin_output(1);
            encoder.u64(ask.0);
            encode_answer(encoder, answer);
        }
        Output::Call {
            call,
            server,
            address,
            kind,
        } => {
            encoder.begin_output(2);
            encoder.u64(call.0);
            encoder.u64(server.0);
            encoder.text(&address.to_string());
            encode_call(encoder, kind);
        }
        Output::CancelCall { call } => {
            encoder.begin_output(3);
            encoder.u64(call.0);
        }
        Output::WatchNode { server, address } => {
            encoder.begin_output(4);
            encoder.u64(server.0);
            encoder.text(&address.to_string());
        }
        Output::UnwatchNode { server } => {
            encoder.begin_output(5);
            encoder.u64(server.0);
        }
        Output::CloseIdleConnections { server } => {
            encoder.begin_output(6);
            encoder.u64(server.0);
        }
        Output::OfferMigration {
            session,
            epoch,
            media,
        } => {
            encoder.begin_output(7);
            encoder.u64(session.0);
            encode_epoch(encoder, *epoch);
            encoder.text(media);
        }
        Output::SessionEnded { session } => {
            encoder.begin_output(8);
            encoder.u64(session.0);
        }
        Output::MigrationFinished {
            session,
            to,
            reason: why,
            duration: took,
            migrated: moved,
        } => {
            encoder.begin_output(9);
            encoder.u64(session.0);
            encoder.u64(to.0);
            encoder.tag(tag_of_reason(*why));
            encoder.i64(took.as_micros());
            encoder.bool(*moved);
        }
        Output::AttemptFinished {
            session,
            attempt,
            server,
            outcome,
            duration: took,
        } => {
            encoder.begin_output(10);
            encode_attempt(encoder, *session, *attempt);
            encoder.u64(server.0);
            encoder.tag(tag_of_outcome(*outcome));
            encoder.i64(took.as_micros());
        }
        // The text of a log line is no behaviour.
        Output::Log(_) => encoder.begin_output(11),
    }
}

fn encode_answer(encoder: &mut Encoder, answer: &Answer) {
    match answer {
        Answer::Playing {
            session,
            rung,
            media,
        } => {
            encoder.tag(1);
            encoder.u64(session.0);
            encoder.usize(*rung);
            encoder.text(media);
        }
        Answer::Rejected {
            session,
            retry_after: come_back,
        } => {
            encoder.tag(2);
            encoder.option(*session, |e, session| e.u64(session.0));
            encoder.option(*come_back, |e, after| e.i64(after.as_micros()));
        }
        Answer::Failed {
            session,
            is_deadline_exceeded: late,
        } => {
            encoder.tag(3);
            encoder.u64(session.0);
            encoder.bool(*late);
        }
        // These words go to the viewer with the answer.
        Answer::Unknown(what) => {
            encoder.tag(4);
            encoder.text(what);
        }
        Answer::Conflict(what) => {
            encoder.tag(5);
            encoder.text(what);
        }
    }
}

fn encode_call(encoder: &mut Encoder, kind: &CallKind) {
    match kind {
        CallKind::SetUpSession {
            session,
            attempt,
            viewer,
            tenant,
            class,
            title,
            rung,
            rate_kb_s: kb,
        } => {
            encoder.tag(1);
            encode_attempt(encoder, *session, *attempt);
            encoder.u64(*viewer);
            encode_terms(encoder, tenant.as_deref(), class, title);
            encoder.usize(*rung);
            encoder.f64(*kb);
        }
        CallKind::SetRung {
            session,
            attempt,
            rung,
            rate_kb_s: kb,
        } => {
            encoder.tag(2);
            encode_attempt(encoder, *session, *attempt);
            encoder.usize(*rung);
            encoder.f64(*kb);
        }
        CallKind::EndSession {
            session,
            attempt,
            up_to_epoch: upto,
        } => {
            encoder.tag(3);
            encode_attempt(encoder, *session, *attempt);
            encoder.option(*upto, encode_epoch);
        }
        CallKind::PrepareMigration {
            session,
            attempt,
            epoch,
            from,
            viewer,
            tenant,
            class,
            title,
            rung,
            rate_kb_s: kb,
        } => {
            encoder.tag(4);
            encode_attempt(encoder, *session, *attempt);
            encode_epoch(encoder, *epoch);
            encoder.u64(from.0);
            encoder.u64(*viewer);
            encode_terms(encoder, tenant.as_deref(), class, title);
            encoder.usize(*rung);
            encoder.f64(*kb);
        }
        CallKind::CancelMigration {
            session,
            attempt,
            epoch,
        } => {
            encoder.tag(5);
            encode_attempt(encoder, *session, *attempt);
            encode_epoch(encoder, *epoch);
        }
        CallKind::CheckHealth => encoder.tag(6),
    }
}

fn encode_attempt(encoder: &mut Encoder, session: SessionId, attempt: u32) {
    encoder.u64(session.0);
    encoder.u64(u64::from(attempt));
}

fn encode_epoch(encoder: &mut Encoder, epoch: Epoch) {
    encoder.u64(u64::from(epoch.0));
}

fn encode_terms(encoder: &mut Encoder, tenant: Option<&str>, class: &str, title: &str) {
    encoder.option(tenant, Encoder::text);
    encoder.text(class);
    encoder.text(title);
}

fn tag_of_reason(why: MigrationReason) -> u8 {
    match why {
        MigrationReason::Orphaned => 1,
        MigrationReason::NodeSilent => 2,
        MigrationReason::NodeDraining => 3,
        MigrationReason::NodeShort => 4,
    }
}

fn tag_of_outcome(outcome: Outcome) -> u8 {
    match outcome {
        Outcome::Success => 1,
        Outcome::Error => 2,
        Outcome::Rejected => 3,
        Outcome::TimedOut => 4,
        Outcome::ConnectionFailed => 5,
        Outcome::ConnectionReset => 6,
        Outcome::Cancelled => 7,
        Outcome::NotSent => 8,
    }
}
