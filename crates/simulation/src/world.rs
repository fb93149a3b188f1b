//! Runs engines, nodes and viewers in one discrete-event loop.

mod faults;
mod viewers;

use crate::baseline::BaselinePolicy;
use crate::bounds::{Bounds, Demand};
use crate::plan;
use crate::totals::RunTotals;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shalewall::{
    EndpointState, EndpointUpdate, LoadReport, Micros, ServerId, SessionId, Settings, TimeDelta,
    Timestamp,
};
use shalewall_engine::*;
use shalewall_fleet_model::fleet::{
    ActiveSession, AttemptId, Fleet, Machine, ProcessState, SetupDecision,
};
use shalewall_fleet_model::notifications::{Notification, Notifier};
use shalewall_fleet_model::population::{Class, DrawnViewer, Interest, ViewerPopulation};
use shalewall_fleet_model::totals::ViewerTotals;
use shalewall_settings::{DayPlan, DirectorSettings, Fault, FaultKind, micros_from_millis};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// One-way delay between a director and a node.
const NETWORK_DELAY: Micros = 500;
/// Time between two samples of the fleet.
const OBSERVATION_INTERVAL: Micros = 100_000;
/// Time after which the nodes end a killed director's sessions, unless it has restarted by then.
const DIRECTOR_LEASE: Micros = 6_000_000;
/// Below this fraction of delivered media, viewers may abandon their sessions.
const LOW_DELIVERY_FRACTION: f64 = 0.75;
/// Probability that such a viewer abandons its session, for each observation.
const ABANDONMENT_PROBABILITY: f64 = 0.02;
/// Age of a session before which its viewer does not abandon it.
const ABANDONMENT_DELAY: Micros = 3_000_000;

/// The policy that places sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The decision module.
    Module,
    /// The simple policy of [`crate::baseline`].
    Baseline,
}

/// Totals of a run and the upper bounds on its worth.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    pub totals: RunTotals,
    pub bounds: Bounds,
}

/// An event that is queued for a time.
///
/// Directors, viewers, arrival streams and faults are given by their index.
enum ScheduledEvent {
    /// The next viewer of an arrival stream.
    ViewerArrives(usize),
    /// A viewer sends a request for a session.
    SendRequest(usize),
    /// A viewer's watch time ends, whether it plays or not.
    ViewerDeparts(usize),
    /// A viewer ends its session; true if it abandons the session early.
    StopWatching(u64, bool),
    /// A call arrives at its node.
    DeliverCall(usize, CallId),
    /// A node finishes a set-up.
    FinishSetup(usize, CallId),
    /// A call's result arrives at its director.
    DeliverReply(usize, CallId, CallResult),
    DeliverInput(usize, Input),
    /// Nodes and sessions are sampled.
    Observe,
    FaultBegins(usize),
    /// A fault ends for the nodes or directors that it affected.
    FaultEnds(usize, Vec<u64>),
    /// The nodes end a killed director's sessions.
    DirectorLeaseExpires(u32),
}

/// A call without a result yet.
struct PendingCall {
    server: u64,
    kind: CallKind,
    /// The node has accepted the set-up and not finished it.
    setting_up: bool,
}

/// A viewer from its arrival on.
struct Viewer {
    profile: DrawnViewer,
    tenant: Option<String>,
    /// End of its watch time.
    departs_at: Micros,
    /// Index of the director that gets its next request.
    director: usize,
    requests_sent: u64,
    was_rejected: bool,
    has_played: bool,
}

/// A session that its viewer is watching.
struct PlayingSession {
    viewer: usize,
    node: u64,
    attempt_id: AttemptId,
    started_at: Micros,
}

/// The state of a run.
pub struct World<'p> {
    plan: &'p DayPlan,
    policy: Policy,
    population: ViewerPopulation,
    /// For each class of the population its index in the settings.
    classes: Vec<usize>,
    settings: Settings,
    fleet: Fleet,
    notifier: Notifier,
    /// Generators of arrivals, one for each stream. They are used for nothing else, so that arrivals do not depend on
    /// the policy.
    arrival_rngs: Vec<ChaCha8Rng>,
    /// Generator of all other random choices.
    rng: ChaCha8Rng,
    now: Micros,
    /// By time and order of insertion.
    queue: BTreeMap<(Micros, u64), ScheduledEvent>,
    /// Number of events queued so far.
    event_count: u64,
    /// By director, absent while it is killed.
    engines: Vec<Option<Engine>>,
    next_incarnation: u16,
    /// Each engine's next timeout, which is also in `timers`.
    timer_deadlines: Vec<Option<Micros>>,
    timers: BTreeSet<(Micros, usize)>,
    calls: BTreeMap<(usize, CallId), PendingCall>,
    viewers: Vec<Viewer>,
    /// Viewers of unanswered requests, by request.
    pending_requests: BTreeMap<u64, usize>,
    next_request_id: u64,
    /// Node and attempt of sessions whose set-up succeeded and whose viewer has no answer yet.
    completed_setups: BTreeMap<u64, (u64, AttemptId)>,
    playing_sessions: BTreeMap<u64, PlayingSession>,
    demand: Demand,
    /// Factors on the usual arrival rate, of all viewers and of single tenants.
    arrival_factor: f64,
    tenant_arrival_factors: BTreeMap<String, f64>,
    /// Additional arrivals with one interest, as a multiple of the usual rate.
    extra_arrivals: Option<(Interest, f64)>,
    faults: Vec<Fault>,
    endpoint_list: BTreeMap<u64, EndpointEntry>,
    result: Report,
}

/// Kinds of fault that can be simulated.
const SUPPORTED_FAULTS: [FaultKind; 7] = [
    FaultKind::Crash,
    FaultKind::Burst,
    FaultKind::TenantBurst,
    FaultKind::HotTitle,
    FaultKind::ClassFlood,
    FaultKind::SharedSlow,
    FaultKind::DirectorKill,
];

/// Simulates a day's plan. A fault whose kind cannot be simulated is an error.
pub fn run(plan: &DayPlan, policy: Policy) -> Result<Report, String> {
    for (name, fault) in &plan.faults {
        if !SUPPORTED_FAULTS.contains(&fault.kind) {
            return Err(format!(
                "trouble '{name}': {:?} can't be played in simulated time yet",
                fault.kind
            ));
        }
    }
    let mut world = World::new(plan, policy);
    let end = micros_from_millis(plan.day.seconds * 1000.0);
    while let Some(((at, _), _)) = world.queue.first_key_value().map(|(k, _)| (*k, ())) {
        let timer = world.timers.first().copied();
        if at.min(timer.map_or(at, |(t, _)| t)) >= end {
            break;
        }
        match timer {
            Some((t, director)) if t <= at => {
                world.now = t;
                world.run_engine(director, |e, now| {
                    e.handle_timeout(Timestamp::from_micros(now))
                });
            }
            _ => {
                world.now = at;
                let event = world
                    .queue
                    .remove(&(at, world.queue.first_key_value().map_or(0, |(k, _)| k.1)));
                event.into_iter().for_each(|event| world.dispatch(event));
            }
        }
    }
    world.result.totals.overloaded_nodes =
        world.fleet.nodes.values().filter(|n| n.overloaded).count() as u64;
    Ok(world.result)
}

impl<'p> World<'p> {
    fn new(plan: &'p DayPlan, policy: Policy) -> World<'p> {
        let (parameters, machines) = plan::fleet(plan);
        let seed = plan.day.seed;
        let directors = plan.day.directors as usize;
        let notifications = &plan.site.notifications;
        let population = plan::crowd(plan);
        let class_number = |c: &Class| {
            plan.site
                .classes
                .keys()
                .position(|n| *n == c.name)
                .unwrap_or(0)
        };
        let mut world = World {
            plan,
            policy,
            classes: population.classes.iter().map(class_number).collect(),
            settings: plan.site.settings(&director_settings(plan, 0)),
            population,
            fleet: Fleet::new(parameters, seed ^ 1),
            notifier: Notifier::new(
                TimeDelta::from_micros(micros_from_millis(notifications.interval_ms)),
                TimeDelta::from_micros(micros_from_millis(notifications.delay_ms)),
            ),
            arrival_rngs: plan::arrivals(plan),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 3),
            now: 0,
            queue: BTreeMap::new(),
            event_count: 0,
            engines: (0..directors).map(|_| None).collect(),
            next_incarnation: 0,
            timer_deadlines: vec![None; directors],
            timers: BTreeSet::new(),
            calls: BTreeMap::new(),
            viewers: Vec::new(),
            pending_requests: BTreeMap::new(),
            next_request_id: 0,
            completed_setups: BTreeMap::new(),
            playing_sessions: BTreeMap::new(),
            demand: Demand::new(),
            arrival_factor: 1.0,
            tenant_arrival_factors: BTreeMap::new(),
            extra_arrivals: None,
            faults: plan.faults.values().cloned().collect(),
            endpoint_list: BTreeMap::new(),
            result: Report {
                totals: RunTotals::default(),
                bounds: Bounds::default(),
            },
        };
        for machine in machines {
            world.endpoint_list.insert(
                machine.id,
                endpoint_entry(&machine, EndpointState::Ready, None),
            );
            world.fleet.start(machine, Timestamp::from_micros(0), true);
        }
        (0..directors).for_each(|director| world.start_director(director));
        world.schedule_after(0, ScheduledEvent::Observe);
        (0..world.arrival_rngs.len())
            .for_each(|stream| world.schedule_after(0, ScheduledEvent::ViewerArrives(stream)));
        for i in 0..world.faults.len() {
            world.schedule_after(
                micros_from_millis(world.faults[i].start_s * 1000.0),
                ScheduledEvent::FaultBegins(i),
            );
        }
        world
    }

    fn schedule_after(&mut self, after: Micros, event: ScheduledEvent) {
        self.event_count += 1;
        self.queue
            .insert((self.now + after.max(0), self.event_count), event);
    }

    fn seconds(&self) -> f64 {
        self.now as f64 / 1e6
    }

    // ---- engines ----------------------------------------------------------------------------

    fn start_director(&mut self, director: usize) {
        let settings = director_settings(self.plan, director as u32);
        let config = self.plan.site.config(&settings, self.next_incarnation);
        self.next_incarnation += 1;
        let engine = match self.policy {
            Policy::Module => Engine::new(config, Timestamp::from_micros(self.now)),
            Policy::Baseline => {
                let policy = Box::new(BaselinePolicy::new(config.settings.clone()));
                Engine::with_policy(config, policy, Timestamp::from_micros(self.now))
            }
        };
        self.engines[director] = Some(engine);
        let entries = self.endpoint_list.values().cloned().collect();
        self.deliver_input(
            director,
            Input::EndpointsUpdated {
                update: EndpointUpdate::Full,
                endpoints: entries,
            },
        );
        for (node, n) in &self.fleet.nodes {
            let held: Vec<_> = n
                .playing
                .iter()
                .filter(|(_, p)| p.director == director as u32)
                .collect();
            if !held.is_empty() {
                let held = held
                    .into_iter()
                    .map(|(id, _)| SessionAttempt {
                        session: SessionId(id.session),
                        attempt: id.attempt,
                    })
                    .collect();
                let input = Input::NodeConnected {
                    server: ServerId(*node),
                    requested_at: Timestamp::from_micros(self.now),
                    held,
                };
                self.event_count += 1;
                self.queue.insert(
                    (self.now + NETWORK_DELAY, self.event_count),
                    ScheduledEvent::DeliverInput(director, input),
                );
            }
        }
    }

    fn kill_director(&mut self, director: usize) {
        self.engines[director] = None;
        self.update_timer(director);
        let calls: Vec<_> = self
            .calls
            .keys()
            .filter(|(owner, _)| *owner == director)
            .copied()
            .collect();
        calls
            .into_iter()
            .for_each(|(owner, call)| self.drop_call(owner, call));
        let pending_requests: Vec<u64> = self.pending_requests.keys().copied().collect();
        for request_id in pending_requests {
            if self.viewers[self.pending_requests[&request_id]].director == director {
                let Some(viewer) = self.pending_requests.remove(&request_id) else {
                    continue;
                };
                self.update_viewer_totals(viewer, |t| t.unanswered += 1);
                self.schedule_retry(viewer, None);
            }
        }
        self.schedule_after(
            DIRECTOR_LEASE,
            ScheduledEvent::DirectorLeaseExpires(director as u32),
        );
    }

    fn deliver_input(&mut self, director: usize, input: Input) {
        self.run_engine(director, |e, now| {
            e.handle(Timestamp::from_micros(now), input)
        });
    }

    fn run_engine(&mut self, director: usize, work: impl FnOnce(&mut Engine, Micros)) {
        let now = self.now;
        if let Some(engine) = &mut self.engines[director] {
            work(engine, now);
        }
        while let Some(output) = self.engines[director]
            .as_mut()
            .and_then(Engine::poll_output)
        {
            self.on_output(director, output);
        }
        self.update_timer(director);
    }

    fn update_timer(&mut self, director: usize) {
        let next = self.engines[director]
            .as_ref()
            .and_then(Engine::poll_timeout)
            .map(|t| t.max(Timestamp::from_micros(self.now)));
        if self.timer_deadlines[director] != next.map(Timestamp::as_micros) {
            self.timer_deadlines[director].into_iter().for_each(|t| {
                self.timers.remove(&(t, director));
            });
            next.into_iter().for_each(|t| {
                self.timers.insert((t.as_micros(), director));
            });
            self.timer_deadlines[director] = next.map(Timestamp::as_micros);
        }
    }

    fn on_output(&mut self, director: usize, output: Output) {
        match output {
            Output::Answer { request_id, answer } => self.on_answer(request_id.0, answer),
            Output::Call {
                call, server, kind, ..
            } => {
                self.calls.insert(
                    (director, call),
                    PendingCall {
                        server: server.0,
                        kind,
                        setting_up: false,
                    },
                );
                self.schedule_after(NETWORK_DELAY, ScheduledEvent::DeliverCall(director, call));
            }
            Output::CancelCall { call } => self.drop_call(director, call),
            Output::WatchNode { .. }
            | Output::UnwatchNode { .. }
            | Output::CloseIdleConnections { .. } => {}
            Output::OfferMigration { .. }
            | Output::SessionEnded { .. }
            | Output::MigrationFinished { .. } => {}
            Output::AttemptFinished { .. } | Output::Log(_) => {}
        }
    }

    // ---- calls ------------------------------------------------------------------------------

    fn drop_call(&mut self, director: usize, call: CallId) {
        if let Some(pending) = self.calls.remove(&(director, call))
            && pending.setting_up
        {
            self.fleet.abandon_setup(pending.server);
        }
    }

    fn load_report(&self, node: u64) -> LoadReport {
        let f = self.fleet.reported_load(node);
        LoadReport {
            streams: Some(f.streams as f64),
            link_utilization: Some(f.link),
            uplink_utilization: Some(f.uplink),
        }
    }

    fn reply(&mut self, director: usize, call: CallId, node: u64, status: u16, not_started: bool) {
        let media = (status == 201).then(String::new);
        let result = CallResult::Answered {
            status,
            not_started,
            load_report: self.load_report(node),
            media,
        };
        self.schedule_after(
            NETWORK_DELAY,
            ScheduledEvent::DeliverReply(director, call, result),
        );
    }

    fn deliver_call(&mut self, director: usize, call: CallId) {
        let Some(PendingCall { server, kind, .. }) = self.calls.get(&(director, call)) else {
            return;
        };
        let (node, kind) = (*server, kind.clone());
        if self
            .fleet
            .nodes
            .get(&node)
            .is_none_or(|n| n.process == ProcessState::Down)
        {
            return self.schedule_after(
                NETWORK_DELAY,
                ScheduledEvent::DeliverReply(
                    director,
                    call,
                    CallResult::NotStarted("refused".into()),
                ),
            );
        }
        match kind {
            CallKind::SetUpSession {
                session, attempt, ..
            } => match self.fleet.begin_setup(
                node,
                AttemptId {
                    session: session.0,
                    attempt,
                },
                Timestamp::from_micros(self.now),
            ) {
                SetupDecision::Accepted(time) => {
                    self.calls
                        .get_mut(&(director, call))
                        .into_iter()
                        .for_each(|c| c.setting_up = true);
                    self.schedule_after(
                        time.as_micros(),
                        ScheduledEvent::FinishSetup(director, call),
                    );
                }
                SetupDecision::Rejected => self.reply(director, call, node, 503, true),
                SetupDecision::Cancelled => self.reply(director, call, node, 410, true),
                SetupDecision::Overloaded => self.crash_node(node),
            },
            CallKind::SetRung {
                session,
                attempt,
                rung,
                rate_kb_s: kb,
            } => {
                let attempt_id = AttemptId {
                    session: session.0,
                    attempt,
                };
                let before = self.fleet.nodes[&node]
                    .playing
                    .get(&attempt_id)
                    .map(|p| p.rung);
                let found = self.fleet.set_rung(node, attempt_id, rung, kb);
                if let Some(playing_session) = self
                    .playing_sessions
                    .get(&session.0)
                    .filter(|_| before.is_some_and(|r| r != rung))
                {
                    let viewer = playing_session.viewer;
                    let class = self.viewers[viewer].profile.class;
                    let cost = self.population.rung_change_cost_s
                        * self.population.classes[class].priority_weight;
                    self.result.totals.rung_change_cost += cost;
                    self.update_viewer_totals(viewer, |t| {
                        (t.rung_changes, t.worth_earned) =
                            (t.rung_changes + 1, t.worth_earned - cost)
                    });
                    let at = self.seconds();
                    self.result.totals.interval(at).worth_earned -= cost;
                }
                self.reply(director, call, node, if found { 204 } else { 404 }, false);
            }
            CallKind::EndSession {
                session, attempt, ..
            } => {
                let ended = self.fleet.end_session(
                    node,
                    AttemptId {
                        session: session.0,
                        attempt,
                    },
                );
                self.finish_session(session.0, true);
                self.reply(director, call, node, if ended { 204 } else { 404 }, false);
            }
            CallKind::CheckHealth => self.reply(director, call, node, 204, false),
            // Viewers here cannot migrate, so no migration is ever prepared.
            CallKind::PrepareMigration { .. } | CallKind::CancelMigration { .. } => {
                self.reply(director, call, node, 404, false)
            }
        }
    }

    fn finish_setup(&mut self, director: usize, call: CallId) {
        let Some(pending) = self.calls.get_mut(&(director, call)) else {
            return;
        };
        pending.setting_up = false;
        let node = pending.server;
        let CallKind::SetUpSession {
            session,
            attempt,
            class,
            title,
            rung,
            rate_kb_s: kb,
            ..
        } = pending.kind.clone()
        else {
            return;
        };
        let attempt_id = AttemptId {
            session: session.0,
            attempt,
        };
        let playing = ActiveSession {
            director: director as u32,
            viewer: 0,
            tenant: None,
            class,
            title,
            rung,
            rate_kb_s: kb,
            true_rate_kb_s: kb,
        };
        if self.fleet.complete_setup(node, attempt_id, playing) {
            self.completed_setups.insert(session.0, (node, attempt_id));
            self.reply(director, call, node, 201, false);
        } else {
            self.reply(director, call, node, 410, true);
        }
    }

    // ---- nodes ------------------------------------------------------------------------------

    /// A node's process dies: its sessions end, calls to it fail with an unknown outcome, and the directors see the
    /// lost connection after the network delay.
    fn crash_node(&mut self, node: u64) {
        let Some(n) = self.fleet.nodes.get_mut(&node) else {
            return;
        };
        n.process = ProcessState::Down;
        let playing: Vec<AttemptId> = std::mem::take(&mut n.playing).into_keys().collect();
        n.setups_in_flight = 0;
        playing
            .into_iter()
            .for_each(|id| self.finish_session(id.session, true));
        let broken: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, c)| c.server == node)
            .map(|(k, _)| *k)
            .collect();
        for (director, call) in broken {
            self.calls
                .get_mut(&(director, call))
                .into_iter()
                .for_each(|c| c.setting_up = false);
            self.schedule_after(
                NETWORK_DELAY,
                ScheduledEvent::DeliverReply(
                    director,
                    call,
                    CallResult::MaybeExecuted("reset".into()),
                ),
            );
        }
        for director in 0..self.engines.len() {
            self.schedule_after(
                NETWORK_DELAY,
                ScheduledEvent::DeliverInput(
                    director,
                    Input::NodeDown {
                        server: ServerId(node),
                    },
                ),
            );
        }
        self.update_endpoint_list(node, EndpointState::Gone, None);
    }

    fn restart_node(&mut self, node: u64) {
        let Some(n) = self.fleet.nodes.get(&node) else {
            return;
        };
        if n.overloaded {
            return; // A node that failed by overload is not restarted.
        }
        let machine = n.machine.clone();
        self.fleet
            .start(machine, Timestamp::from_micros(self.now), false);
        self.update_endpoint_list(node, EndpointState::Ready, Some(self.now));
    }

    /// Changes a node's entry in the endpoint list; directors get the update after the list's delay.
    fn update_endpoint_list(
        &mut self,
        node: u64,
        state: EndpointState,
        started_at: Option<Micros>,
    ) {
        let machine = self.fleet.nodes[&node].machine.clone();
        let entry = endpoint_entry(&machine, state, started_at);
        self.endpoint_list.insert(node, entry.clone());
        let delay = micros_from_millis(self.plan.fleet.list_delay_ms);
        for director in 0..self.engines.len() {
            let entries = vec![entry.clone()];
            self.schedule_after(
                delay,
                ScheduledEvent::DeliverInput(
                    director,
                    Input::EndpointsUpdated {
                        update: EndpointUpdate::Delta,
                        endpoints: entries,
                    },
                ),
            );
        }
    }

    /// Samples the fleet: sends the load notifications that are due, adds the worth earned since the last sample, and
    /// draws which viewers abandon their sessions for poor delivery.
    fn observe(&mut self) {
        self.schedule_after(OBSERVATION_INTERVAL, ScheduledEvent::Observe);
        let notifications = self
            .notifier
            .poll(&mut self.fleet, Timestamp::from_micros(self.now));
        for Notification {
            node,
            director,
            session,
            delivered,
            link,
            uplink,
        } in notifications
        {
            let node_event = NodeEvent::LoadReported {
                session: SessionId(session),
                delivered_fraction: delivered,
                link_utilization: link,
                uplink_utilization: uplink,
            };
            let input = Input::NodeNotified {
                server: ServerId(node),
                event: node_event,
            };
            self.schedule_after(
                NETWORK_DELAY,
                ScheduledEvent::DeliverInput(director as usize, input),
            );
        }
        let (elapsed_s, at) = (OBSERVATION_INTERVAL as f64 / 1e6, self.seconds());
        let delivered_fractions: BTreeMap<u64, f64> = self
            .fleet
            .nodes
            .keys()
            .map(|id| (*id, self.fleet.load(*id).delivered))
            .collect();
        let (mut worth_earned, mut abandoning) = (0.0, Vec::new());
        let mut seconds_by_rung: BTreeMap<usize, f64> = BTreeMap::new();
        let viewer_totals = &mut self.result.totals.viewer_totals;
        for (session, playing_session) in &self.playing_sessions {
            let Some(playing) = self.fleet.nodes[&playing_session.node]
                .playing
                .get(&playing_session.attempt_id)
            else {
                continue;
            };
            let viewer = &self.viewers[playing_session.viewer];
            let class = &self.population.classes[viewer.profile.class];
            let delivered_fraction = delivered_fractions[&playing_session.node];
            let full_worth =
                elapsed_s * class.priority_weight * self.population.utility[playing.rung];
            worth_earned += full_worth * self.population.worth_kept(delivered_fraction);
            viewer_totals.update(viewer.tenant.as_deref(), |t| {
                t.worth_earned += full_worth * self.population.worth_kept(delivered_fraction);
                *t.seconds_by_rung.entry(playing.rung).or_default() += elapsed_s;
            });
            self.result.totals.stall_cost +=
                full_worth * (1.0 - self.population.worth_kept(delivered_fraction));
            *seconds_by_rung.entry(playing.rung).or_default() += elapsed_s;
            if delivered_fraction < LOW_DELIVERY_FRACTION
                && self.now - playing_session.started_at > ABANDONMENT_DELAY
                && self.rng.random::<f64>() < ABANDONMENT_PROBABILITY
            {
                abandoning.push(*session);
            }
        }
        let racks = &self.fleet.parameters.uplinks_kb_s;
        let mut capacity_kb_s: BTreeMap<u64, f64> = BTreeMap::new();
        for n in self
            .fleet
            .nodes
            .values()
            .filter(|n| n.process == ProcessState::Running)
        {
            let rack = n
                .machine
                .cell
                .checked_rem(racks.len() as u64)
                .unwrap_or(n.machine.id);
            *capacity_kb_s.entry(rack).or_default() +=
                n.machine.link_kb_s / self.fleet.link_slowdown;
        }
        let uplink = |rack: &u64| racks.get(*rack as usize).copied().unwrap_or(f64::INFINITY);
        let capacity_kb_s: f64 = capacity_kb_s
            .iter()
            .map(|(rack, kb)| kb.min(uplink(rack)))
            .sum();
        let worth_bound =
            self.result
                .bounds
                .add_interval(&self.settings, &self.demand, capacity_kb_s, elapsed_s);
        let (terms, ladder) = (&self.settings.classes, &self.settings.ladder);
        let worth_offered_per_s = |((class, top), n): (&(usize, usize), &usize)| {
            *n as f64 * terms[*class].priority_weight * ladder[*top].utility
        };
        let worth_offered: f64 = self.demand.iter().map(worth_offered_per_s).sum();
        let totals = &mut self.result.totals;
        totals.viewer_totals.all.worth_offered += worth_offered * elapsed_s;
        let interval = totals.interval(at);
        (
            interval.worth_earned,
            interval.worth_offered,
            interval.worth_bound,
        ) = (
            interval.worth_earned + worth_earned,
            interval.worth_offered + worth_offered * elapsed_s,
            interval.worth_bound + worth_bound,
        );
        seconds_by_rung
            .into_iter()
            .for_each(|(r, t)| *interval.seconds_by_rung.entry(r).or_default() += t);
        abandoning
            .into_iter()
            .for_each(|s| self.stop_watching(s, true));
    }

    fn dispatch(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::ViewerArrives(stream) => self.viewer_arrives(stream),
            ScheduledEvent::SendRequest(viewer) => self.send_request(viewer),
            ScheduledEvent::ViewerDeparts(viewer) => {
                let p = &self.viewers[viewer].profile;
                self.demand
                    .entry((self.classes[p.class], p.highest_rung))
                    .and_modify(|n| *n -= 1);
            }
            ScheduledEvent::StopWatching(session, abandoned) => {
                self.stop_watching(session, abandoned)
            }
            ScheduledEvent::DeliverCall(director, call) => self.deliver_call(director, call),
            ScheduledEvent::FinishSetup(director, call) => self.finish_setup(director, call),
            ScheduledEvent::DeliverReply(director, call, result) => {
                if self.calls.remove(&(director, call)).is_some() {
                    self.deliver_input(director, Input::CallFinished { call, result });
                }
            }
            ScheduledEvent::DeliverInput(director, input) => self.deliver_input(director, input),
            ScheduledEvent::Observe => self.observe(),
            ScheduledEvent::FaultBegins(i) => self.begin_fault(i),
            ScheduledEvent::FaultEnds(i, affected) => self.end_fault(i, affected),
            ScheduledEvent::DirectorLeaseExpires(director) => self.expire_director_lease(director),
        }
    }
}

fn director_settings(plan: &DayPlan, number: u32) -> DirectorSettings {
    let zones = &plan.site.zones;
    DirectorSettings {
        listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        endpoint_list: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        number,
        director_count: plan.day.directors,
        zone: zones.get(number as usize % zones.len().max(1)).cloned(),
        seed: plan.day.seed ^ u64::from(number),
        max_sessions: 1_000_000,
        max_connections: 1,
        stream_timeout_ms: 3000,
        shutdown_grace_s: 0.0,
        ticket_key_file: None,
    }
}

fn endpoint_entry(
    machine: &Machine,
    state: EndpointState,
    started_at: Option<Micros>,
) -> EndpointEntry {
    EndpointEntry {
        server: ServerId(machine.id),
        address: Some(SocketAddr::from((Ipv4Addr::LOCALHOST, 1))),
        zone: machine.zone.clone(),
        machine_kind: machine.kind.clone(),
        cell: machine.cell,
        state,
        weight: machine.weight,
        started_at: started_at.map(Timestamp::from_micros),
    }
}
