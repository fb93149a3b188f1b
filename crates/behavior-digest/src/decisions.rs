//! Digest of the decision module: every action of `shalewall::Director`, and what it believes of the servers, over
//! random legal events under several settings.

use crate::encoder::{Encoder, PartDigest};
use crate::random::Random;
use shalewall::*;
use std::collections::{BTreeMap, BTreeSet};

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const SEEDS: u64 = 200;
const EVENTS: u64 = 500;
const SERVERS: u64 = 5;
const TITLES: u64 = 6;
/// The servers' beliefs are hashed after so many events.
const BELIEFS_EVERY: u64 = 20;

/// Runs all cases.
pub fn digest() -> PartDigest {
    let mut encoder = Encoder::new();
    for (number, settings) in all_settings().into_iter().enumerate() {
        for seed in 1..=SEEDS {
            encoder.begin_case(number, seed);
            Script::new(seed, settings.clone(), &mut encoder).run();
        }
    }
    encoder.finish()
}

fn base_settings() -> Settings {
    let ladder = [
        (200.0, 0.25),
        (400.0, 0.5),
        (700.0, 0.7),
        (1200.0, 0.85),
        (2000.0, 1.0),
    ];
    let harmless = ClassSettings {
        idempotency: Idempotency::Idempotent,
        latency_objective: shalewall::TimeDelta::from_micros(SECOND),
        priority_weight: 1.0,
        rate_scale: 1.0,
        highest_rung: 4,
        ..Default::default()
    };
    let paid = ClassSettings {
        idempotency: Idempotency::AtMostOnce,
        priority_weight: 2.0,
        lowest_rung: 1,
        session_limit_per_title: 3,
        ..harmless
    };
    let live = ClassSettings {
        is_live: true,
        rate_scale: 0.8,
        session_limit_per_title: 0,
        ..harmless
    };
    Settings {
        director_count: 1,
        classes: vec![harmless, paid, live],
        ladder: ladder
            .iter()
            .map(|(kb, worth)| Rung {
                rate_kb_s: *kb,
                utility: *worth,
            })
            .collect(),
        cell_count: 4,
        rack_count: 2,
        stream_capacity_by_kind: vec![30.0, 12.0],
        weight_is_capacity: true,
        link_kb_s_per_weight: 10_000.0,
        rack_uplink_kb_s: 20_000.0,
        notification_delay: shalewall::TimeDelta::from_micros(SECOND),
        notification_interval: shalewall::TimeDelta::from_micros(3 * SECOND),
        join_rate_fraction: 1.0,
        stall_penalty: 7.0,
        rung_change_cost_s: 0.5,
        rules: RuleSettings {
            warm_up: shalewall::TimeDelta::from_micros(12 * SECOND),
            initial_capacity: 0.4,
            overload_factor: 2.0,
            overload_window: shalewall::TimeDelta::from_micros(2 * SECOND),
            poll_deadline: shalewall::TimeDelta::from_micros(10 * SECOND),
            retry_budget: None,
        },
        limits: Limits {
            max_attempts: 4,
            can_cancel: true,
            max_retry_after: shalewall::TimeDelta::from_micros(SECOND),
            min_batch_interval: shalewall::TimeDelta::from_micros(10 * MILLISECOND),
            ..Default::default()
        },
        ..Default::default()
    }
}

/// The base and what differs from it in one respect or a few.
fn all_settings() -> Vec<Settings> {
    let base = base_settings();
    let ration = RetryBudget {
        base: 1.0,
        per_request: 0.05,
        window: shalewall::TimeDelta::from_micros(10 * SECOND),
    };
    let tenants = vec![
        TenantSettings {
            request_quota_per_s: 3.0,
            fleet_quota: 0.5,
        },
        TenantSettings {
            request_quota_per_s: 0.0,
            fleet_quota: 0.3,
        },
        TenantSettings::default(),
    ];
    let mut variants = vec![base.clone()];
    let mut variant = |change: &dyn Fn(&mut Settings)| {
        let mut settings = base.clone();
        change(&mut settings);
        variants.push(settings);
    };
    variant(&|s| (s.director_count, s.director_index, s.rules.retry_budget) = (2, 1, Some(ration)));
    variant(&|s| (s.tenants, s.over_quota_weight) = (tenants.clone(), 0.4));
    variant(&|s| {
        (
            s.rack_count,
            s.rack_uplink_kb_s,
            s.zone_crossing_price,
            s.zone,
        ) = (0, 0.0, 0.02, Some(0))
    });
    variant(&|s| (s.limits.can_check_health, s.limits.health_check_price) = (true, 0.001));
    variant(&|s| (s.must_poll_endpoints, s.director_count) = (true, 3));
    variant(&|s| {
        (
            s.limits.can_cancel,
            s.limits.max_retry_after,
            s.notification_interval,
        ) = (false, TimeDelta::ZERO, TimeDelta::ZERO)
    });
    variant(&|s| (s.link_kb_s_per_weight, s.fleet_kb_s, s.rack_uplink_kb_s) = (0.0, 40_000.0, 0.0));
    variant(&|s| (s.weight_is_capacity, s.stall_penalty, s.join_rate_fraction) = (false, 0.0, 0.2));
    variant(&|s| {
        (s.director_count, s.tenants, s.rules.retry_budget) = (50, tenants.clone(), Some(ration));
        (s.limits.can_check_health, s.must_poll_endpoints, s.zone) = (true, true, Some(1));
    });
    variants
}

/// What the script knows of a session.
struct SessionState {
    class: usize,
    /// Attempts sent so far.
    sends: u32,
    /// Server of the attempt that is out or plays.
    server: Option<ServerId>,
    plays: bool,
    answered: bool,
    /// A hand-over that has not ended.
    handing_over: Option<ServerId>,
}

/// What is due at some time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer(u64),
    AttemptExpires(u64, u32),
    Recalled(u64, u32),
    ProbeAnswer(ServerId),
    ListAnswer,
}

/// One run of a director.
struct Script<'e> {
    director: Director,
    settings: Settings,
    encoder: &'e mut Encoder,
    random: Random,
    now: Micros,
    sessions: BTreeMap<u64, SessionState>,
    due: BTreeSet<(Micros, u64, Due)>,
    queued: u64,
    next_session: u64,
    lines: BTreeMap<u64, Endpoint>,
}

impl<'e> Script<'e> {
    fn new(seed: u64, settings: Settings, encoder: &'e mut Encoder) -> Script<'e> {
        let lines = (1..=SERVERS).map(|id| (id, line(id))).collect();
        Script {
            director: Director::new(seed, settings.clone(), shalewall::Timestamp::from_micros(0)),
            settings,
            encoder,
            random: Random::new(seed),
            now: 0,
            sessions: BTreeMap::new(),
            due: BTreeSet::new(),
            queued: 0,
            next_session: 1,
            lines,
        }
    }

    fn run(mut self) {
        self.start();
        for number in 0..EVENTS {
            let until = self.now + self.random.between(1, 200) * MILLISECOND;
            self.pass(until);
            self.draw_event();
            if number % BELIEFS_EVERY == 0 {
                self.encode_beliefs();
            }
        }
        self.pass(self.now + 30 * SECOND);
        self.encode_beliefs();
    }

    /// The list as the director last held it, or all of it, and sometimes sessions of an earlier process.
    fn start(&mut self) {
        let news = if self.random.percent(50) {
            EndpointUpdate::Cached
        } else {
            EndpointUpdate::Full
        };
        let lines = self.lines.values().copied().collect();
        self.tell(Event::EndpointsUpdated {
            update: news,
            endpoints: lines,
        });
        for _ in 0..self.random.below(4) {
            let request = self.draw_request();
            let server = ServerId(self.random.below(SERVERS) + 1);
            let state = SessionState {
                class: request.class,
                sends: 1,
                server: Some(server),
                plays: true,
                answered: false,
                handing_over: None,
            };
            self.sessions.insert(request.session.0, state);
            self.tell(Event::SessionTransferred(request, server));
        }
        if self.random.percent(50) {
            self.now = 60 * SECOND;
        }
    }

    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.director.handle(
            shalewall::Timestamp::from_micros(self.now),
            event,
            &mut actions,
        );
        self.encoder.i64(self.now);
        self.encoder.usize(actions.len());
        for action in &actions {
            encode_action(self.encoder, action);
        }
        for action in actions {
            self.carry_out(action);
        }
    }

    fn schedule(&mut self, after: Micros, due: Due) {
        self.queued += 1;
        self.due.insert((self.now + after.max(1), self.queued, due));
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::StartAttempt {
                session,
                server,
                attempt_timeout: patience,
            } => {
                let Some(state) = self.sessions.get_mut(&session.0) else {
                    return;
                };
                state.server = Some(server);
                state.sends += 1;
                let attempt = state.sends - 1;
                if let Some(patience) = patience {
                    self.schedule(
                        patience.as_micros(),
                        Due::AttemptExpires(session.0, attempt),
                    );
                }
            }
            Action::Reject { session, .. } | Action::Fail { session } => self.answered(session.0),
            Action::CancelAttempt { session, attempt } => {
                self.schedule(1, Due::Recalled(session.0, attempt))
            }
            Action::Redirect { session } => self.schedule(1, Due::Recalled(session.0, u32::MAX)),
            Action::Migrate {
                session, server, ..
            } => {
                if let Some(state) = self.sessions.get_mut(&session.0) {
                    state.handing_over = Some(server);
                }
            }
            Action::SetTimer { after, token } => {
                self.schedule(after.as_micros(), Due::Timer(token))
            }
            Action::CheckHealth { server } => {
                let after = self.random.between(1, 80) * MILLISECOND;
                self.schedule(after, Due::ProbeAnswer(server));
            }
            Action::PollEndpoints => {
                let after = self.random.between(1, 60) * MILLISECOND;
                self.schedule(after, Due::ListAnswer);
            }
            Action::SetRung { .. }
            | Action::WatchEndpoints(_)
            | Action::CloseIdleConnections { .. }
            | Action::SendToPeer { .. }
            | Action::Log(_) => {}
        }
    }

    fn answered(&mut self, session: u64) {
        let Some(state) = self.sessions.get_mut(&session) else {
            return;
        };
        state.answered = true;
        if state.server.is_none() {
            self.sessions.remove(&session);
        }
    }

    /// Time passes up to `until`, and what is due by then happens in order.
    fn pass(&mut self, until: Micros) {
        while let Some((at, _, due)) = self.due.first().copied().filter(|(at, ..)| *at <= until) {
            self.due.pop_first();
            self.now = at;
            self.happen(due);
        }
        self.now = until;
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Timer(token) => self.tell(Event::TimerFired(token)),
            Due::AttemptExpires(session, attempt) => {
                let out =
                    |s: &SessionState| s.sends == attempt + 1 && !s.plays && s.server.is_some();
                if self.sessions.get(&session).is_some_and(out) {
                    self.finish(session, Outcome::TimedOut);
                }
            }
            Due::Recalled(session, attempt) => {
                let same = |s: &SessionState| attempt == u32::MAX || s.sends == attempt + 1;
                if self
                    .sessions
                    .get(&session)
                    .is_some_and(|s| s.server.is_some() && same(s))
                {
                    self.finish(session, Outcome::Cancelled);
                }
            }
            Due::ProbeAnswer(server) => {
                let outcome = self.random.pick(&[
                    Outcome::Success,
                    Outcome::Success,
                    Outcome::TimedOut,
                    Outcome::Rejected,
                ]);
                let load = self.draw_load();
                self.tell(Event::HealthCheckFinished {
                    server,
                    outcome,
                    load_report: load,
                });
            }
            Due::ListAnswer if self.random.percent(20) => {
                self.tell(Event::EndpointsUpdated {
                    update: EndpointUpdate::Failed,
                    endpoints: Vec::new(),
                });
            }
            Due::ListAnswer => {
                let lines = self.lines.values().copied().collect();
                self.tell(Event::EndpointsUpdated {
                    update: EndpointUpdate::Full,
                    endpoints: lines,
                });
            }
        }
    }

    fn draw_event(&mut self) {
        match self.random.below(100) {
            0..=34 => self.ask(),
            35..=62 => self.attempt_ends(),
            63..=72 => self.session_ends(),
            73..=77 => self.list_changes(),
            78..=86 => self.note(),
            87..=91 => self.hand_over(),
            92..=95 => self.hand_over_ends(),
            96 => self.withdraw(),
            97 => {
                let server = ServerId(self.random.below(SERVERS) + 1);
                self.tell(Event::ServerSilent(server));
            }
            98 => self.change_terms(),
            _ => {
                let body = vec![self.random.below(256) as u8; 3];
                let from = self.random.below(3) as u32;
                self.tell(Event::PeerMessage { from, body });
            }
        }
    }

    fn draw_request(&mut self) -> Request {
        let session = SessionId(self.next_session);
        self.next_session += 1;
        let random = &mut self.random;
        let classes = self.settings.classes.len();
        let tenants = self.settings.tenants.len();
        // One in two hundred names a class that does not exist.
        let class = if random.below(200) == 0 {
            classes
        } else {
            random.index(classes)
        };
        let tenant = if tenants > 0 && random.percent(90) {
            Some(random.index(tenants))
        } else {
            None
        };
        Request {
            session,
            class,
            tenant,
            viewer: random.below(80),
            title: TitleId(random.below(TITLES)),
            deadline: shalewall::Timestamp::from_micros(
                self.now + random.between(1, 40) * 100 * MILLISECOND,
            ),
            duration_hint: (random.percent(80).then(|| random.between(1, 90) * SECOND))
                .map(shalewall::TimeDelta::from_micros),
            first_cell: random.below(4),
            replica_cells: random.below(4) + 1,
            highest_rung: random.index(5),
            is_retry: random.percent(15),
            fleet: u32::from(random.percent(5)),
        }
    }

    fn ask(&mut self) {
        let request = self.draw_request();
        let state = SessionState {
            class: request.class,
            sends: 0,
            server: None,
            plays: false,
            answered: false,
            handing_over: None,
        };
        self.sessions.insert(request.session.0, state);
        self.tell(Event::RequestReceived(request));
    }

    /// One of the sessions for which `which` holds.
    fn draw_session(&mut self, which: impl Fn(&SessionState) -> bool) -> Option<u64> {
        let found: Vec<u64> = self
            .sessions
            .iter()
            .filter(|(_, s)| which(s))
            .map(|(id, _)| *id)
            .collect();
        if found.is_empty() {
            None
        } else {
            Some(found[self.random.index(found.len())])
        }
    }

    fn attempt_ends(&mut self) {
        let Some(id) = self.draw_session(|s| s.server.is_some() && !s.plays) else {
            return;
        };
        let state = &self.sessions[&id];
        if !state.answered && self.random.percent(65) {
            return self.started(id);
        }
        let outcome = self.random.pick(&[
            Outcome::Rejected,
            Outcome::ConnectionFailed,
            Outcome::TimedOut,
            Outcome::ConnectionReset,
            Outcome::Error,
            Outcome::NotSent,
        ]);
        self.finish(id, outcome);
    }

    fn started(&mut self, id: u64) {
        let waited = self.random.between(20, 300) * MILLISECOND;
        let Some(state) = self.sessions.get_mut(&id) else {
            return;
        };
        let Some(server) = state.server else { return };
        state.plays = true;
        let attempt = state.sends - 1;
        self.tell(Event::SessionStarted {
            session: SessionId(id),
            attempt,
            server,
            setup_time: shalewall::TimeDelta::from_micros(waited),
        });
    }

    fn session_ends(&mut self) {
        let Some(id) = self.draw_session(|s| s.plays) else {
            return;
        };
        let outcome = self.random.pick(&[
            Outcome::Success,
            Outcome::Success,
            Outcome::Success,
            Outcome::ConnectionReset,
        ]);
        self.finish(id, outcome);
    }

    fn finish(&mut self, id: u64, outcome: Outcome) {
        let load = self.draw_load();
        let Some(state) = self.sessions.get_mut(&id) else {
            return;
        };
        let Some(server) = state.server.take() else {
            return;
        };
        let closed = state.plays || state.answered;
        let handing_over = state.handing_over.is_some();
        let attempt = state.sends - 1;
        if closed {
            self.sessions.remove(&id);
        }
        let session = SessionId(id);
        self.tell(Event::AttemptFinished {
            session,
            attempt,
            server,
            outcome,
            is_answered: closed,
            load_report: load,
        });
        if handing_over {
            self.tell(Event::MigrationFinished {
                session,
                migrated: false,
            });
        }
    }

    fn draw_load(&mut self) -> LoadReport {
        let random = &mut self.random;
        LoadReport {
            streams: random.percent(30).then(|| random.below(30) as f64),
            link_utilization: random.percent(70).then(|| random.share()),
            uplink_utilization: random.percent(50).then(|| random.share()),
        }
    }

    fn list_changes(&mut self) {
        let id = self.random.below(SERVERS) + 1;
        let random = &mut self.random;
        let state = random.pick(&[
            EndpointState::Ready,
            EndpointState::Ready,
            EndpointState::Draining,
            EndpointState::Gone,
        ]);
        let restarted = state == EndpointState::Ready && random.percent(40);
        let weight = random.pick(&[0.5, 1.0, 1.0, 2.0]);
        let old = self.lines[&id];
        let came_up = if restarted {
            Some(self.now)
        } else {
            old.started_at.map(shalewall::Timestamp::as_micros)
        };
        let changed = Endpoint {
            state,
            started_at: came_up.map(shalewall::Timestamp::from_micros),
            weight,
            ..old
        };
        self.lines.insert(id, changed);
        self.tell(Event::EndpointsUpdated {
            update: EndpointUpdate::Delta,
            endpoints: vec![changed],
        });
    }

    fn note(&mut self) {
        let Some(id) = self.draw_session(|s| s.plays) else {
            return;
        };
        let random = &mut self.random;
        let note = match random.below(4) {
            0 => Notification::DeliveredFraction(if random.percent(25) { 0.8 } else { 1.0 }),
            1 => Notification::LinkUtilization(random.share()),
            2 => Notification::UplinkUtilization(random.share()),
            _ => Notification::CurrentRung(random.index(5)),
        };
        let state = &self.sessions[&id];
        let Some(server) = state.server else { return };
        let attempt = state.sends - 1;
        self.tell(Event::Notified {
            session: SessionId(id),
            attempt,
            server,
            notification: note,
        });
    }

    fn hand_over(&mut self) {
        let Some(id) = self.draw_session(|s| s.plays && s.handing_over.is_none()) else {
            return;
        };
        self.tell(Event::MigrationRequested(SessionId(id)));
    }

    fn hand_over_ends(&mut self) {
        let Some(id) = self.draw_session(|s| s.handing_over.is_some()) else {
            return;
        };
        let moved = self.random.percent(70);
        let Some(state) = self.sessions.get_mut(&id) else {
            return;
        };
        let target = state.handing_over.take();
        if moved {
            state.server = target;
        }
        self.tell(Event::MigrationFinished {
            session: SessionId(id),
            migrated: moved,
        });
    }

    fn withdraw(&mut self) {
        let Some(id) = self.draw_session(|s| !s.plays && !s.answered) else {
            return;
        };
        self.answered(id);
        self.tell(Event::RequestWithdrawn(SessionId(id)));
    }

    /// Classes keep their numbers; their worth and seats change, and so do the tenants' parts.
    fn change_terms(&mut self) {
        let mut classes = self.settings.classes.clone();
        let mut tenants = self.settings.tenants.clone();
        for class in &mut classes {
            class.priority_weight = self.random.pick(&[0.5, 1.0, 2.0]);
            class.session_limit_per_title = self.random.pick(&[0, 3, 6]);
        }
        for tenant in &mut tenants {
            tenant.fleet_quota = self.random.pick(&[0.0, 0.2, 0.4]);
        }
        self.tell(Event::SettingsUpdated { classes, tenants });
    }

    fn encode_beliefs(&mut self) {
        for belief in self.director.server_estimates() {
            self.encoder.u64(belief.server.0);
            self.encoder.f64(belief.link_utilization);
            self.encoder.f64(belief.uplink_utilization);
            self.encoder.u64(u64::from(belief.failures));
            self.encoder.bool(belief.is_warming_up);
            self.encoder.bool(belief.is_short);
        }
        let playing = self.sessions.values().filter(|s| s.plays);
        let classes: usize = playing.map(|s| s.class + 1).sum();
        self.encoder.usize(classes);
    }
}

/// Server 5 takes requests of a fleet of its own; server 4 is of another kind; zones alternate.
fn line(id: u64) -> Endpoint {
    Endpoint {
        server: ServerId(id),
        zone: Some(id as usize % 2),
        machine_kind: Some(usize::from(id == 4)),
        cell: id - 1,
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: None,
        fleet: u32::from(id == SERVERS),
    }
}

fn encode_action(encoder: &mut Encoder, action: &Action) {
    match action {
        Action::StartAttempt {
            session,
            server,
            attempt_timeout: patience,
        } => {
            encoder.begin_output(1);
            encoder.u64(session.0);
            encoder.u64(server.0);
            encoder.option(patience.map(TimeDelta::as_micros), Encoder::i64);
        }
        Action::SetRung { session, rung } => {
            encoder.begin_output(2);
            encoder.u64(session.0);
            encoder.usize(*rung);
        }
        Action::Reject {
            session,
            retry_after: come_back,
        } => {
            encoder.begin_output(3);
            encoder.u64(session.0);
            encoder.option(come_back.map(TimeDelta::as_micros), Encoder::i64);
        }
        Action::Fail { session } => {
            encoder.begin_output(4);
            encoder.u64(session.0);
        }
        Action::CancelAttempt { session, attempt } => {
            encoder.begin_output(5);
            encoder.u64(session.0);
            encoder.u64(u64::from(*attempt));
        }
        Action::Redirect { session } => {
            encoder.begin_output(6);
            encoder.u64(session.0);
        }
        Action::Migrate {
            session,
            server,
            rung,
        } => {
            encoder.begin_output(7);
            encoder.u64(session.0);
            encoder.u64(server.0);
            encoder.usize(*rung);
        }
        Action::SetTimer { after, token } => {
            encoder.begin_output(8);
            encoder.i64((*after).as_micros());
            encoder.u64(*token);
        }
        Action::CheckHealth { server } => {
            encoder.begin_output(9);
            encoder.u64(server.0);
        }
        Action::PollEndpoints => encoder.begin_output(10),
        Action::WatchEndpoints(on) => {
            encoder.begin_output(11);
            encoder.bool(*on);
        }
        Action::CloseIdleConnections { server } => {
            encoder.begin_output(12);
            encoder.u64(server.0);
        }
        Action::SendToPeer { to, body } => {
            encoder.begin_output(13);
            encoder.option(*to, |e, to| e.u64(u64::from(to)));
            encoder.bytes(body);
        }
        // The text of a log line is no behaviour.
        Action::Log(_) => encoder.begin_output(14),
    }
}
