//! Digest of the engine: every output of `shalewall_engine::Engine` for random inputs in simulated time. The inputs
//! come from viewers, players, nodes, the endpoint list and the terms of tenants, with migration and without.

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
/// Maximum number of sessions of an earlier process that each node holds at the start.
const MAX_TRANSFERRED_SESSIONS: u64 = 3;

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

/// The differences between the configurations.
#[derive(Clone, Copy, Default)]
struct Variant {
    migration: bool,
    tenants: bool,
    health_checks: bool,
    one_rung: bool,
}

fn all_variants() -> [Variant; 4] {
    [
        Variant::default(),
        Variant {
            migration: true,
            ..Variant::default()
        },
        Variant {
            tenants: true,
            health_checks: true,
            ..Variant::default()
        },
        Variant {
            migration: true,
            tenants: true,
            health_checks: true,
            one_rung: true,
        },
    ]
}

fn class_terms(idempotency: Idempotency, top: usize) -> ClassSettings {
    ClassSettings {
        idempotency,
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
            can_check_health: variant.health_checks,
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
        migration: variant.migration.then_some(terms),
        ..Default::default()
    }
}

/// Rejects every twentieth request, and all of one unknown tenant.
#[derive(Default)]
struct RejectEveryTwentieth {
    requests: u64,
}

impl AdmissionControl for RejectEveryTwentieth {
    fn admit(&mut self, _: Timestamp, tenant: Option<&str>) -> Admission {
        self.requests += 1;
        match tenant {
            Some("nobody") => Admission::UnknownTenant,
            _ if self.requests.is_multiple_of(20) => Admission::Rejected {
                retry_after: SECOND,
            },
            _ => Admission::Admitted,
        }
    }

    fn release(&mut self, _: Timestamp, _: Option<&str>) {}
}

/// An event that is queued for a time.
enum ScheduledEvent {
    FinishCall(CallId),
    DeliverInput(Input),
}

/// A call without a result yet.
struct PendingCall {
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
    queue: BTreeMap<(Timestamp, u64), ScheduledEvent>,
    event_count: u64,
    calls: BTreeMap<CallId, PendingCall>,
    next_request_id: u64,
    waiting: BTreeSet<RequestId>,
    /// Playing sessions and the epoch of each session's player.
    playing: BTreeMap<SessionId, Epoch>,
    /// The session attempts that each node holds.
    held: BTreeMap<ServerId, BTreeSet<(SessionId, u32)>>,
    down: BTreeSet<ServerId>,
}

impl<'e> Script<'e> {
    fn new(seed: u64, variant: Variant, encoder: &'e mut Encoder) -> Script<'e> {
        let mut engine = Engine::new(config(seed, variant), Timestamp::ZERO);
        engine.set_admission_control(Box::new(RejectEveryTwentieth::default()));
        Script {
            engine,
            variant,
            encoder,
            random: Random::new(seed),
            now: Timestamp::ZERO,
            queue: BTreeMap::new(),
            event_count: 0,
            calls: BTreeMap::new(),
            next_request_id: 0,
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
            self.advance_to(until);
        }
        for server in std::mem::take(&mut self.down) {
            self.node_up(server);
        }
        self.advance_to(self.now + 60 * SECOND);
        self.encode_sessions();
    }

    /// Delivers the endpoint list and sometimes sessions that the nodes hold for an earlier process of the director.
    fn start(&mut self) {
        let entries = (0..NODES)
            .map(|n| endpoint_entry(n, EndpointState::Ready, None))
            .collect();
        self.deliver_input(Input::EndpointsUpdated {
            update: EndpointUpdate::Full,
            endpoints: entries,
        });
        let restarted = self.variant.migration && self.random.percent(50);
        for node in 0..NODES {
            let server = ServerId(node);
            if restarted {
                let sessions = self.draw_transferred_sessions(node);
                self.deliver_input(Input::NodeSessionsReported { server, sessions });
            }
            self.node_up(server);
        }
        self.advance_to(Timestamp::ZERO + 2 * SECOND);
    }

    fn draw_transferred_sessions(&mut self, node: u64) -> Vec<TransferredSession> {
        let count = self.random.below(MAX_TRANSFERRED_SESSIONS + 1);
        let server = ServerId(node);
        let mut sessions = Vec::new();
        for number in 0..count {
            let session = SessionId((1 << 30) + node * 100 + number);
            self.held.entry(server).or_default().insert((session, 0));
            self.playing.insert(session, Epoch(0));
            let is_serving = self.random.percent(80);
            let epochs = SessionEpochs {
                serving: is_serving.then_some(Epoch(0)),
                prepared: (!is_serving).then_some(Epoch(1)),
            };
            sessions.push(TransferredSession {
                session,
                attempt: 0,
                viewer: session.0,
                tenant: None,
                class: self.random.pick(&["open", "paid"]).into(),
                title: format!("t{}", self.random.below(TITLES)),
                rung: 0,
                epochs,
                media: format!("m{node}"),
            });
        }
        sessions
    }

    // ---- inputs and time ---------------------------------------------------------------------

    fn deliver_input(&mut self, input: Input) {
        self.engine.handle(self.now, input);
        self.collect();
    }

    fn schedule(&mut self, after: TimeDelta, event: ScheduledEvent) {
        self.event_count += 1;
        self.queue
            .insert((self.now + after, self.event_count), event);
    }

    /// Dispatches the events and timeouts that are due by `until`, in order of time.
    fn advance_to(&mut self, until: Timestamp) {
        loop {
            let next_event = self.queue.keys().next().map(|(due, _)| *due);
            let timer = self.engine.poll_timeout();
            let next = next_event.into_iter().chain(timer).min().unwrap_or(until);
            if next > until {
                break;
            }
            self.now = self.now.max(next);
            if next_event.is_some_and(|due| timer.is_none_or(|timer| due <= timer)) {
                let Some((_, due_event)) = self.queue.pop_first() else {
                    break;
                };
                self.dispatch(due_event);
            } else {
                self.engine.handle_timeout(self.now);
                self.collect();
            }
        }
        self.now = until;
    }

    fn dispatch(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::DeliverInput(input) => self.deliver_input(input),
            ScheduledEvent::FinishCall(call) => {
                let Some(pending_call) = self.calls.remove(&call) else {
                    return;
                };
                let result = self.draw_result(&pending_call);
                self.deliver_input(Input::CallFinished { call, result });
            }
        }
    }

    fn step(&mut self) {
        match self.random.below(100) {
            0..=54 => self.send_request(),
            55..=59 => self.viewer_leaves(),
            60..=69 => self.session_ends(),
            70..=74 => self.node_ends_session(),
            75..=80 => self.notify_load(),
            81..=84 => self.report_silent_stream(),
            85..=87 => self.node_down(),
            88..=91 => self.node_comes_back(),
            92..=96 => self.change_endpoint_list(),
            97 => self.unsubscribe_player(),
            _ => self.update_tenants(),
        }
        self.encode_sessions();
    }

    fn send_request(&mut self) {
        self.next_request_id += 1;
        let random = &mut self.random;
        let tenant = match random.below(20) {
            0 => Some("nobody"),
            1..=9 if self.variant.tenants => Some(random.pick(&["a", "b", "c"])),
            _ => None,
        };
        let class = random.pick(&[
            "open", "paid", "open", "paid", "open", "paid", "open", "none",
        ]);
        let request = SessionRequest {
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
        let request_id = RequestId(self.next_request_id);
        self.waiting.insert(request_id);
        self.deliver_input(Input::RequestReceived {
            request_id,
            request,
        });
    }

    fn viewer_leaves(&mut self) {
        if let Some(request_id) = self.waiting.pop_first() {
            self.deliver_input(Input::RequestWithdrawn { request_id });
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
        self.deliver_input(Input::EndSession { session });
    }

    fn node_ends_session(&mut self) {
        let server = self.draw_server();
        let Some((session, attempt)) = self.held.get_mut(&server).and_then(BTreeSet::pop_first)
        else {
            return;
        };
        self.deliver_input(Input::NodeNotified {
            server,
            event: NodeEvent::SessionEnded { session, attempt },
        });
    }

    fn notify_load(&mut self) {
        let server = self.draw_server();
        let Some((session, _)) = self.held[&server].first().copied() else {
            return;
        };
        let random = &mut self.random;
        let event = NodeEvent::LoadReported {
            session,
            delivered_fraction: random.percent(50).then(|| random.pick(&[1.0, 1.0, 0.8])),
            link_utilization: random.percent(70).then(|| random.utilization()),
            uplink_utilization: random.percent(30).then(|| random.utilization()),
        };
        self.deliver_input(Input::NodeNotified { server, event });
    }

    fn report_silent_stream(&mut self) {
        let Some(session) = self.draw_playing() else {
            return;
        };
        let buffered = self.random.between(0, 20) * 100 * MILLISECOND;
        self.deliver_input(Input::StreamSilent { session, buffered });
    }

    fn node_down(&mut self) {
        let server = self.draw_server();
        if self.down.len() < 2 && self.down.insert(server) {
            self.held.insert(server, BTreeSet::new());
            self.deliver_input(Input::NodeDown { server });
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
        self.deliver_input(Input::NodeConnected {
            server,
            requested_at: self.now,
            held,
        });
    }

    fn change_endpoint_list(&mut self) {
        let node = self.random.below(NODES);
        let states = [
            EndpointState::Ready,
            EndpointState::Ready,
            EndpointState::Ready,
            EndpointState::Draining,
            EndpointState::Gone,
        ];
        let state = self.random.pick(&states);
        let started_at = self.random.percent(20).then_some(self.now);
        let entries = vec![endpoint_entry(node, state, started_at)];
        self.deliver_input(Input::EndpointsUpdated {
            update: EndpointUpdate::Delta,
            endpoints: entries,
        });
    }

    fn unsubscribe_player(&mut self) {
        let Some(session) = self.draw_playing() else {
            return;
        };
        self.deliver_input(Input::PlayerSubscription {
            session,
            playing_epoch: None,
        });
    }

    /// Adds, changes or removes the terms of tenant `c`, with dedicated nodes or without, or ends its sessions.
    fn update_tenants(&mut self) {
        if !self.variant.tenants {
            return;
        }
        let random = &mut self.random;
        if random.percent(25) {
            return self.deliver_input(Input::EndTenantSessions { tenant: "c".into() });
        }
        let classes = [(
            "open".to_string(),
            ClassTerms {
                settings: class_terms(Idempotency::Idempotent, 0),
                max_wait: 3 * SECOND,
            },
        )];
        let terms = TenantTerms {
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
        let terms = random.percent(80).then_some(terms);
        self.deliver_input(Input::TenantsUpdated(vec![TenantUpdate {
            tenant: "c".into(),
            terms,
        }]));
    }

    // ---- nodes -------------------------------------------------------------------------------

    /// Draws a call's result and applies the call if the node runs it.
    fn draw_result(&mut self, call: &PendingCall) -> CallResult {
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
                self.apply_call(call);
                return CallResult::MaybeExecuted("cut".into());
            }
            88..=93 if set_up => return self.draw_answer(503, true, call.server),
            84..=87 if set_up => return self.draw_answer(500, false, call.server),
            90..=93 if matches!(call.kind, CallKind::CancelMigration { .. }) => {
                return self.draw_answer(409, false, call.server);
            }
            _ => {}
        }
        self.apply_call(call);
        self.draw_answer(if set_up { 201 } else { 204 }, false, call.server)
    }

    fn draw_answer(&mut self, status: u16, not_started: bool, server: ServerId) -> CallResult {
        let random = &mut self.random;
        let load_report = LoadReport {
            streams: random.percent(20).then(|| random.below(40) as f64),
            link_utilization: random.percent(70).then(|| random.utilization()),
            uplink_utilization: None,
        };
        let media = random.percent(98).then(|| format!("m{}", server.0));
        CallResult::Answered {
            status,
            not_started,
            load_report,
            media,
        }
    }

    /// Applies a call to the node's sessions.
    fn apply_call(&mut self, call: &PendingCall) {
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
            self.apply_output(output);
        }
        let timeout = self.engine.poll_timeout();
        self.encoder
            .option(timeout, |e, due| e.i64(due.as_micros()));
    }

    fn apply_output(&mut self, output: Output) {
        match output {
            Output::Answer { request_id, answer } => {
                self.waiting.remove(&request_id);
                if let Answer::Playing { session, .. } = answer {
                    self.start_playing(session);
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
                self.calls.insert(call, PendingCall { server, kind });
                self.schedule(wait * MILLISECOND, ScheduledEvent::FinishCall(call));
            }
            Output::CancelCall { call } => {
                if let Some(pending_call) = self.calls.remove(&call)
                    && self.random.percent(50)
                    && !self.down.contains(&pending_call.server)
                {
                    self.apply_call(&pending_call);
                }
            }
            Output::OfferMigration {
                session,
                epoch,
                media,
            } => self.answer_migration_offer(session, epoch, &media),
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

    fn start_playing(&mut self, session: SessionId) {
        self.playing.insert(session, Epoch(0));
        if self.variant.migration && self.random.percent(85) {
            let input = Input::PlayerSubscription {
                session,
                playing_epoch: Some(Epoch(0)),
            };
            self.schedule(5 * MILLISECOND, ScheduledEvent::DeliverInput(input));
        }
    }

    /// A player fetches the offered stream and migrates, or declines the offer, or does not answer.
    fn answer_migration_offer(&mut self, session: SessionId, epoch: Epoch, media: &str) {
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
            return self.schedule(400 * MILLISECOND, ScheduledEvent::DeliverInput(input));
        }
        self.playing
            .entry(session)
            .and_modify(|playing_epoch| *playing_epoch = epoch);
        let event = NodeEvent::StreamFetched {
            session,
            attempt: 0,
            epoch,
        };
        self.schedule(
            5 * MILLISECOND,
            ScheduledEvent::DeliverInput(Input::NodeNotified { server, event }),
        );
        self.schedule(
            60 * MILLISECOND,
            ScheduledEvent::DeliverInput(Input::EpochPlaying { session, epoch }),
        );
    }

    fn encode_sessions(&mut self) {
        let counts = self.engine.session_counts();
        for count in [
            counts.waiting,
            counts.playing,
            counts.ending,
            counts.unconfirmed_ends,
            counts.migrating,
        ] {
            self.encoder.usize(count);
        }
        for tenant in ["a", "c"] {
            let sessions = self.engine.tenant_sessions(tenant, 5);
            self.encoder.usize(sessions.len());
            sessions
                .iter()
                .for_each(|summary| encode_session_summary(self.encoder, summary));
        }
    }
}

fn endpoint_entry(node: u64, state: EndpointState, started_at: Option<Timestamp>) -> EndpointEntry {
    EndpointEntry {
        server: ServerId(node),
        address: Some(SocketAddr::from(([127, 0, 0, 1], 1000 + node as u16))),
        zone: String::new(),
        machine_kind: "box".into(),
        cell: node,
        state,
        weight: 1.0,
        started_at,
    }
}

fn encode_session_summary(encoder: &mut Encoder, summary: &SessionSummary) {
    encoder.u64(summary.session.0);
    encoder.text(&summary.class);
    encoder.text(&summary.title);
    encoder.option(summary.server, |e, server| e.u64(server.0));
    encoder.usize(summary.rung);
    encoder.bool(summary.is_playing);
}

fn encode_output(encoder: &mut Encoder, output: &Output) {
    match output {
        Output::Answer { request_id, answer } => {
            encoder.begin_output(1);
            encoder.u64(request_id.0);
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
            reason,
            duration,
            migrated,
        } => {
            encoder.begin_output(9);
            encoder.u64(session.0);
            encoder.u64(to.0);
            encoder.tag(tag_of_reason(*reason));
            encoder.i64(duration.as_micros());
            encoder.bool(*migrated);
        }
        Output::AttemptFinished {
            session,
            attempt,
            server,
            outcome,
            duration,
        } => {
            encoder.begin_output(10);
            encode_attempt(encoder, *session, *attempt);
            encoder.u64(server.0);
            encoder.tag(tag_of_outcome(*outcome));
            encoder.i64(duration.as_micros());
        }
        // Log texts are not behaviour, so only the fact is hashed.
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
            retry_after,
        } => {
            encoder.tag(2);
            encoder.option(*session, |e, session| e.u64(session.0));
            encoder.option(*retry_after, |e, after| e.i64(after.as_micros()));
        }
        Answer::Failed {
            session,
            is_deadline_exceeded,
        } => {
            encoder.tag(3);
            encoder.u64(session.0);
            encoder.bool(*is_deadline_exceeded);
        }
        // These texts are part of the viewer's answer.
        Answer::Unknown(message) => {
            encoder.tag(4);
            encoder.text(message);
        }
        Answer::Conflict(message) => {
            encoder.tag(5);
            encoder.text(message);
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
            rate_kb_s,
        } => {
            encoder.tag(1);
            encode_attempt(encoder, *session, *attempt);
            encoder.u64(*viewer);
            encode_terms(encoder, tenant.as_deref(), class, title);
            encoder.usize(*rung);
            encoder.f64(*rate_kb_s);
        }
        CallKind::SetRung {
            session,
            attempt,
            rung,
            rate_kb_s,
        } => {
            encoder.tag(2);
            encode_attempt(encoder, *session, *attempt);
            encoder.usize(*rung);
            encoder.f64(*rate_kb_s);
        }
        CallKind::EndSession {
            session,
            attempt,
            up_to_epoch,
        } => {
            encoder.tag(3);
            encode_attempt(encoder, *session, *attempt);
            encoder.option(*up_to_epoch, encode_epoch);
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
            rate_kb_s,
        } => {
            encoder.tag(4);
            encode_attempt(encoder, *session, *attempt);
            encode_epoch(encoder, *epoch);
            encoder.u64(from.0);
            encoder.u64(*viewer);
            encode_terms(encoder, tenant.as_deref(), class, title);
            encoder.usize(*rung);
            encoder.f64(*rate_kb_s);
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

fn tag_of_reason(reason: MigrationReason) -> u8 {
    match reason {
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
