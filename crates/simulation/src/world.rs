//! One run: engines, nodes and viewers in one loop of simulated time.

mod troubles;
mod viewers;

use crate::bounds::{Bounds, Wanting};
use crate::count::Count;
use crate::plain::Plain;
use crate::plan;
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

/// One way between a front and a node, and between a viewer and a front.
const NET: Micros = 500;
/// Nodes are looked at so often.
const LOOK: Micros = 100_000;
/// A node ends what a front holds there when the front has been away for so long.
const LEASE: Micros = 6_000_000;
/// Under this share for a while, viewers begin to leave: so many of them for each look.
const POOR: f64 = 0.75;
const LEAVES: f64 = 0.02;
const POOR_AFTER: Micros = 3_000_000;

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The decision module.
    Module,
    /// D(C0) as in the paper, with one lower rung.
    Plain,
}

/// What came of a run, and what could have come of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    pub count: Count,
    pub bounds: Bounds,
}

/// What is due at some time.
enum Due {
    /// The next viewer of a stream of arrivals.
    Arrive(usize),
    /// A viewer asks; how often it asked before.
    Ask(usize),
    /// A viewer's time is over.
    Gone(usize),
    /// A session's viewer is through, or gives up.
    Leave(u64, bool),
    Reach(usize, CallId),
    /// A set-up is over at its node.
    Begin(usize, CallId),
    Reply(usize, CallId, CallResult),
    Tell(usize, Input),
    Look,
    Begins(usize),
    Ends(usize, Vec<u64>),
    /// What a killed front held is ended where it plays.
    Lapse(u32),
}

/// A call that is out.
struct Call {
    server: u64,
    kind: CallKind,
    /// Being set up at its node.
    setting_up: bool,
}

struct Viewer {
    person: DrawnViewer,
    tenant: Option<String>,
    until: Micros,
    front: usize,
    asks: u64,
    refused: bool,
    played: bool,
}

/// A session that plays, and its viewer's part of it.
struct Shown {
    viewer: usize,
    node: u64,
    run: AttemptId,
    since: Micros,
}

pub struct World<'p> {
    plan: &'p DayPlan,
    policy: Policy,
    crowd: ViewerPopulation,
    /// The crowd's classes by their numbers in the settings.
    classes: Vec<usize>,
    settings: Settings,
    fleet: Fleet,
    teller: Notifier,
    /// Who comes when, the same whoever decides; and all else that chance decides.
    arrivals: Vec<ChaCha8Rng>,
    dice: ChaCha8Rng,
    now: Micros,
    queue: BTreeMap<(Micros, u64), Due>,
    queued: u64,
    engines: Vec<Option<Engine>>,
    starts: u16,
    rings: Vec<Option<Micros>>,
    timers: BTreeSet<(Micros, usize)>,
    calls: BTreeMap<(usize, CallId), Call>,
    viewers: Vec<Viewer>,
    asks: BTreeMap<u64, usize>,
    next_ask: u64,
    /// Where a session's set-up began to play.
    began: BTreeMap<u64, (u64, AttemptId)>,
    shown: BTreeMap<u64, Shown>,
    wanting: Wanting,
    /// How many times the usual rate viewers come, all and each tenant's.
    burst: f64,
    bursts: BTreeMap<String, f64>,
    extra: Option<(Interest, f64)>,
    troubles: Vec<Fault>,
    listed: BTreeMap<u64, EndpointEntry>,
    result: Report,
}

/// Kinds of trouble that can be played here.
const PLAYED: [FaultKind; 7] = [
    FaultKind::Crash,
    FaultKind::Burst,
    FaultKind::TenantBurst,
    FaultKind::HotTitle,
    FaultKind::ClassFlood,
    FaultKind::SharedSlow,
    FaultKind::DirectorKill,
];

/// Runs a day's plan. A trouble that can't be played here is an error, not left out.
pub fn run(plan: &DayPlan, policy: Policy) -> Result<Report, String> {
    for (name, t) in &plan.faults {
        if !PLAYED.contains(&t.kind) {
            return Err(format!(
                "trouble '{name}': {:?} can't be played in simulated time yet",
                t.kind
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
            Some((t, d)) if t <= at => {
                world.now = t;
                world.turn(d, |e, now| e.handle_timeout(Timestamp::from_micros(now)));
            }
            _ => {
                world.now = at;
                let due = world
                    .queue
                    .remove(&(at, world.queue.first_key_value().map_or(0, |(k, _)| k.1)));
                due.into_iter().for_each(|due| world.carry_out(due));
            }
        }
    }
    world.result.count.fell = world.fleet.nodes.values().filter(|n| n.overloaded).count() as u64;
    Ok(world.result)
}

impl<'p> World<'p> {
    fn new(plan: &'p DayPlan, policy: Policy) -> World<'p> {
        let (physics, machines) = plan::fleet(plan);
        let seed = plan.day.seed;
        let directors = plan.day.directors as usize;
        let notes = &plan.site.notifications;
        let crowd = plan::crowd(plan);
        let known = |c: &Class| {
            plan.site
                .classes
                .keys()
                .position(|n| *n == c.name)
                .unwrap_or(0)
        };
        let mut world = World {
            plan,
            policy,
            classes: crowd.classes.iter().map(known).collect(),
            settings: plan.site.settings(&front(plan, 0)),
            crowd,
            fleet: Fleet::new(physics, seed ^ 1),
            teller: Notifier::new(
                TimeDelta::from_micros(micros_from_millis(notes.interval_ms)),
                TimeDelta::from_micros(micros_from_millis(notes.delay_ms)),
            ),
            arrivals: plan::arrivals(plan),
            dice: ChaCha8Rng::seed_from_u64(seed ^ 3),
            now: 0,
            queue: BTreeMap::new(),
            queued: 0,
            engines: (0..directors).map(|_| None).collect(),
            starts: 0,
            rings: vec![None; directors],
            timers: BTreeSet::new(),
            calls: BTreeMap::new(),
            viewers: Vec::new(),
            asks: BTreeMap::new(),
            next_ask: 0,
            began: BTreeMap::new(),
            shown: BTreeMap::new(),
            wanting: Wanting::new(),
            burst: 1.0,
            bursts: BTreeMap::new(),
            extra: None,
            troubles: plan.faults.values().cloned().collect(),
            listed: BTreeMap::new(),
            result: Report {
                count: Count::default(),
                bounds: Bounds::default(),
            },
        };
        for machine in machines {
            world
                .listed
                .insert(machine.id, line(&machine, EndpointState::Ready, None));
            world.fleet.start(machine, Timestamp::from_micros(0), true);
        }
        (0..directors).for_each(|d| world.start(d));
        world.later(0, Due::Look);
        (0..world.arrivals.len()).for_each(|stream| world.later(0, Due::Arrive(stream)));
        for i in 0..world.troubles.len() {
            world.later(
                micros_from_millis(world.troubles[i].start_s * 1000.0),
                Due::Begins(i),
            );
        }
        world
    }

    fn later(&mut self, after: Micros, due: Due) {
        self.queued += 1;
        self.queue
            .insert((self.now + after.max(0), self.queued), due);
    }

    fn seconds(&self) -> f64 {
        self.now as f64 / 1e6
    }

    // ---- engines ----------------------------------------------------------------------------

    fn start(&mut self, d: usize) {
        let front = front(self.plan, d as u32);
        let config = self.plan.site.config(&front, self.starts);
        self.starts += 1;
        let engine = match self.policy {
            Policy::Module => Engine::new(config, Timestamp::from_micros(self.now)),
            Policy::Plain => {
                let plain = Box::new(Plain::new(config.settings.clone()));
                Engine::with_policy(config, plain, Timestamp::from_micros(self.now))
            }
        };
        self.engines[d] = Some(engine);
        let lines = self.listed.values().cloned().collect();
        self.tell(
            d,
            Input::EndpointsUpdated {
                update: EndpointUpdate::Full,
                endpoints: lines,
            },
        );
        for (node, n) in &self.fleet.nodes {
            let held: Vec<_> = n
                .playing
                .iter()
                .filter(|(_, p)| p.director == d as u32)
                .collect();
            if !held.is_empty() {
                let held = held
                    .into_iter()
                    .map(|(id, _)| SessionAttempt {
                        session: SessionId(id.session),
                        attempt: id.attempt,
                    })
                    .collect();
                let up = Input::NodeConnected {
                    server: ServerId(*node),
                    requested_at: Timestamp::from_micros(self.now),
                    held,
                };
                self.queued += 1;
                self.queue
                    .insert((self.now + NET, self.queued), Due::Tell(d, up));
            }
        }
    }

    fn kill(&mut self, d: usize) {
        self.engines[d] = None;
        self.ring(d);
        let calls: Vec<_> = self
            .calls
            .keys()
            .filter(|(of, _)| *of == d)
            .copied()
            .collect();
        calls
            .into_iter()
            .for_each(|(of, call)| self.drop_call(of, call));
        let asks: Vec<u64> = self.asks.keys().copied().collect();
        for ask in asks {
            if self.viewers[self.asks[&ask]].front == d {
                let Some(viewer) = self.asks.remove(&ask) else {
                    continue;
                };
                self.tally(viewer, |t| t.unanswered += 1);
                self.again(viewer, None);
            }
        }
        self.later(LEASE, Due::Lapse(d as u32));
    }

    fn tell(&mut self, d: usize, input: Input) {
        self.turn(d, |e, now| e.handle(Timestamp::from_micros(now), input));
    }

    fn turn(&mut self, d: usize, work: impl FnOnce(&mut Engine, Micros)) {
        let now = self.now;
        if let Some(engine) = &mut self.engines[d] {
            work(engine, now);
        }
        while let Some(output) = self.engines[d].as_mut().and_then(Engine::poll_output) {
            self.on_output(d, output);
        }
        self.ring(d);
    }

    fn ring(&mut self, d: usize) {
        let next = self.engines[d]
            .as_ref()
            .and_then(Engine::poll_timeout)
            .map(|t| t.max(Timestamp::from_micros(self.now)));
        if self.rings[d] != next.map(Timestamp::as_micros) {
            self.rings[d].into_iter().for_each(|t| {
                self.timers.remove(&(t, d));
            });
            next.into_iter().for_each(|t| {
                self.timers.insert((t.as_micros(), d));
            });
            self.rings[d] = next.map(Timestamp::as_micros);
        }
    }

    fn on_output(&mut self, d: usize, output: Output) {
        match output {
            Output::Answer {
                request_id: ask,
                answer,
            } => self.on_answer(ask.0, answer),
            Output::Call {
                call, server, kind, ..
            } => {
                self.calls.insert(
                    (d, call),
                    Call {
                        server: server.0,
                        kind,
                        setting_up: false,
                    },
                );
                self.later(NET, Due::Reach(d, call));
            }
            Output::CancelCall { call } => self.drop_call(d, call),
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

    fn drop_call(&mut self, d: usize, call: CallId) {
        if let Some(out) = self.calls.remove(&(d, call))
            && out.setting_up
        {
            self.fleet.abandon_setup(out.server);
        }
    }

    fn load(&self, node: u64) -> LoadReport {
        let f = self.fleet.reported_load(node);
        LoadReport {
            streams: Some(f.streams as f64),
            link_utilization: Some(f.link),
            uplink_utilization: Some(f.uplink),
        }
    }

    fn reply(&mut self, d: usize, call: CallId, node: u64, status: u16, never_ran: bool) {
        let media = (status == 201).then(String::new);
        let done = CallResult::Answered {
            status,
            not_started: never_ran,
            load_report: self.load(node),
            media,
        };
        self.later(NET, Due::Reply(d, call, done));
    }

    /// A call reaches its node.
    fn reach(&mut self, d: usize, call: CallId) {
        let Some(Call { server, kind, .. }) = self.calls.get(&(d, call)) else {
            return;
        };
        let (node, kind) = (*server, kind.clone());
        if self
            .fleet
            .nodes
            .get(&node)
            .is_none_or(|n| n.process == ProcessState::Down)
        {
            return self.later(
                NET,
                Due::Reply(d, call, CallResult::NotStarted("refused".into())),
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
                        .get_mut(&(d, call))
                        .into_iter()
                        .for_each(|c| c.setting_up = true);
                    self.later(time.as_micros(), Due::Begin(d, call));
                }
                SetupDecision::Rejected => self.reply(d, call, node, 503, true),
                SetupDecision::Cancelled => self.reply(d, call, node, 410, true),
                SetupDecision::Overloaded => self.down(node),
            },
            CallKind::SetRung {
                session,
                attempt,
                rung,
                rate_kb_s: kb,
            } => {
                let run = AttemptId {
                    session: session.0,
                    attempt,
                };
                let before = self.fleet.nodes[&node].playing.get(&run).map(|p| p.rung);
                let known = self.fleet.set_rung(node, run, rung, kb);
                if let Some(shown) = self
                    .shown
                    .get(&session.0)
                    .filter(|_| before.is_some_and(|r| r != rung))
                {
                    let viewer = shown.viewer;
                    let class = self.viewers[viewer].person.class;
                    let cost =
                        self.crowd.rung_change_cost_s * self.crowd.classes[class].priority_weight;
                    self.result.count.stepped += cost;
                    self.tally(viewer, |t| {
                        (t.rung_changes, t.worth_earned) =
                            (t.rung_changes + 1, t.worth_earned - cost)
                    });
                    let at = self.seconds();
                    self.result.count.span(at).got -= cost;
                }
                self.reply(d, call, node, if known { 204 } else { 404 }, false);
            }
            CallKind::EndSession {
                session, attempt, ..
            } => {
                let played = self.fleet.end_session(
                    node,
                    AttemptId {
                        session: session.0,
                        attempt,
                    },
                );
                self.hide(session.0, true);
                self.reply(d, call, node, if played { 204 } else { 404 }, false);
            }
            CallKind::CheckHealth => self.reply(d, call, node, 204, false),
            // Nobody follows here, so nothing is handed over.
            CallKind::PrepareMigration { .. } | CallKind::CancelMigration { .. } => {
                self.reply(d, call, node, 404, false)
            }
        }
    }

    fn begin(&mut self, d: usize, call: CallId) {
        let Some(out) = self.calls.get_mut(&(d, call)) else {
            return;
        };
        out.setting_up = false;
        let node = out.server;
        let CallKind::SetUpSession {
            session,
            attempt,
            class,
            title,
            rung,
            rate_kb_s: kb,
            ..
        } = out.kind.clone()
        else {
            return;
        };
        let run = AttemptId {
            session: session.0,
            attempt,
        };
        let playing = ActiveSession {
            director: d as u32,
            viewer: 0,
            tenant: None,
            class,
            title,
            rung,
            rate_kb_s: kb,
            true_rate_kb_s: kb,
        };
        if self.fleet.complete_setup(node, run, playing) {
            self.began.insert(session.0, (node, run));
            self.reply(d, call, node, 201, false);
        } else {
            self.reply(d, call, node, 410, true);
        }
    }

    // ---- nodes ------------------------------------------------------------------------------

    /// A node's process is gone: calls to it break, what played there ends, fronts see it at once.
    fn down(&mut self, node: u64) {
        let Some(n) = self.fleet.nodes.get_mut(&node) else {
            return;
        };
        n.process = ProcessState::Down;
        let playing: Vec<AttemptId> = std::mem::take(&mut n.playing).into_keys().collect();
        n.setups_in_flight = 0;
        playing
            .into_iter()
            .for_each(|id| self.hide(id.session, true));
        let broken: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, c)| c.server == node)
            .map(|(k, _)| *k)
            .collect();
        for (d, call) in broken {
            self.calls
                .get_mut(&(d, call))
                .into_iter()
                .for_each(|c| c.setting_up = false);
            self.later(
                NET,
                Due::Reply(d, call, CallResult::MaybeExecuted("reset".into())),
            );
        }
        for d in 0..self.engines.len() {
            self.later(
                NET,
                Due::Tell(
                    d,
                    Input::NodeDown {
                        server: ServerId(node),
                    },
                ),
            );
        }
        self.list(node, EndpointState::Gone, None);
    }

    fn up(&mut self, node: u64) {
        let Some(n) = self.fleet.nodes.get(&node) else {
            return;
        };
        if n.overloaded {
            return; // pushed over: it stays down
        }
        let machine = n.machine.clone();
        self.fleet
            .start(machine, Timestamp::from_micros(self.now), false);
        self.list(node, EndpointState::Ready, Some(self.now));
    }

    /// The list hears of it late.
    fn list(&mut self, node: u64, standing: EndpointState, came_up: Option<Micros>) {
        let machine = self.fleet.nodes[&node].machine.clone();
        let line = line(&machine, standing, came_up);
        self.listed.insert(node, line.clone());
        let late = micros_from_millis(self.plan.fleet.list_delay_ms);
        for d in 0..self.engines.len() {
            let lines = vec![line.clone()];
            self.later(
                late,
                Due::Tell(
                    d,
                    Input::EndpointsUpdated {
                        update: EndpointUpdate::Delta,
                        endpoints: lines,
                    },
                ),
            );
        }
    }

    /// Nodes are looked at: what they tell, what their sessions earn, who leaves for want of picture.
    fn look(&mut self) {
        self.later(LOOK, Due::Look);
        let news = self
            .teller
            .poll(&mut self.fleet, Timestamp::from_micros(self.now));
        for Notification {
            node,
            director,
            session,
            delivered,
            link,
            uplink,
        } in news
        {
            let told = NodeEvent::LoadReported {
                session: SessionId(session),
                delivered_fraction: delivered,
                link_utilization: link,
                uplink_utilization: uplink,
            };
            let input = Input::NodeNotified {
                server: ServerId(node),
                event: told,
            };
            self.later(NET, Due::Tell(director as usize, input));
        }
        let (dt, at) = (LOOK as f64 / 1e6, self.seconds());
        let shares: BTreeMap<u64, f64> = self
            .fleet
            .nodes
            .keys()
            .map(|id| (*id, self.fleet.load(*id).delivered))
            .collect();
        let (mut got, mut leaving) = (0.0, Vec::new());
        let mut rungs: BTreeMap<usize, f64> = BTreeMap::new();
        let tallies = &mut self.result.count.tallies;
        for (session, shown) in &self.shown {
            let Some(playing) = self.fleet.nodes[&shown.node].playing.get(&shown.run) else {
                continue;
            };
            let viewer = &self.viewers[shown.viewer];
            let class = &self.crowd.classes[viewer.person.class];
            let share = shares[&shown.node];
            let full = dt * class.priority_weight * self.crowd.utility[playing.rung];
            got += full * self.crowd.worth_kept(share);
            tallies.update(viewer.tenant.as_deref(), |t| {
                t.worth_earned += full * self.crowd.worth_kept(share);
                *t.seconds_by_rung.entry(playing.rung).or_default() += dt;
            });
            self.result.count.stalled += full * (1.0 - self.crowd.worth_kept(share));
            *rungs.entry(playing.rung).or_default() += dt;
            if share < POOR
                && self.now - shown.since > POOR_AFTER
                && self.dice.random::<f64>() < LEAVES
            {
                leaving.push(*session);
            }
        }
        let racks = &self.fleet.parameters.uplinks_kb_s;
        let mut room: BTreeMap<u64, f64> = BTreeMap::new();
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
            *room.entry(rack).or_default() += n.machine.link_kb_s / self.fleet.link_slowdown;
        }
        let uplink = |rack: &u64| racks.get(*rack as usize).copied().unwrap_or(f64::INFINITY);
        let room: f64 = room.iter().map(|(rack, kb)| kb.min(uplink(rack))).sum();
        let bound = self
            .result
            .bounds
            .pass(&self.settings, &self.wanting, room, dt);
        let (terms, ladder) = (&self.settings.classes, &self.settings.ladder);
        let wanted = |((class, top), n): (&(usize, usize), &usize)| {
            *n as f64 * terms[*class].priority_weight * ladder[*top].utility
        };
        let wanted: f64 = self.wanting.iter().map(wanted).sum();
        let count = &mut self.result.count;
        count.tallies.all.worth_offered += wanted * dt;
        let span = count.span(at);
        (span.got, span.wanted, span.bound) = (
            span.got + got,
            span.wanted + wanted * dt,
            span.bound + bound,
        );
        rungs
            .into_iter()
            .for_each(|(r, t)| *span.rungs.entry(r).or_default() += t);
        leaving.into_iter().for_each(|s| self.leave(s, true));
    }

    fn carry_out(&mut self, due: Due) {
        match due {
            Due::Arrive(stream) => self.arrive(stream),
            Due::Ask(viewer) => self.ask(viewer),
            Due::Gone(viewer) => {
                let p = &self.viewers[viewer].person;
                self.wanting
                    .entry((self.classes[p.class], p.highest_rung))
                    .and_modify(|n| *n -= 1);
            }
            Due::Leave(session, poor) => self.leave(session, poor),
            Due::Reach(d, call) => self.reach(d, call),
            Due::Begin(d, call) => self.begin(d, call),
            Due::Reply(d, call, done) => {
                if self.calls.remove(&(d, call)).is_some() {
                    self.tell(d, Input::CallFinished { call, result: done });
                }
            }
            Due::Tell(d, input) => self.tell(d, input),
            Due::Look => self.look(),
            Due::Begins(i) => self.trouble_begins(i),
            Due::Ends(i, met) => self.trouble_ends(i, met),
            Due::Lapse(director) => self.lapse(director),
        }
    }
}

fn front(plan: &DayPlan, number: u32) -> DirectorSettings {
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

fn line(machine: &Machine, standing: EndpointState, came_up: Option<Micros>) -> EndpointEntry {
    EndpointEntry {
        server: ServerId(machine.id),
        address: Some(SocketAddr::from((Ipv4Addr::LOCALHOST, 1))),
        zone: machine.zone.clone(),
        machine_kind: machine.kind.clone(),
        cell: machine.cell,
        state: standing,
        weight: machine.weight,
        started_at: came_up.map(Timestamp::from_micros),
    }
}
