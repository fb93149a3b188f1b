//! Digest of the decision module: every action of `shalewall::Director` and its estimates of the servers, for random
//! valid events under several settings.

use crate::encoder::{Encoder, PartDigest};
use crate::random::Random;
use shalewall::*;
use std::collections::{BTreeMap, BTreeSet};

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const SEEDS: u64 = 200;
const EVENT_COUNT: u64 = 500;
const SERVERS: u64 = 5;
const TITLES: u64 = 6;
/// Number of events after which the estimates of the servers are hashed.
const ESTIMATES_INTERVAL_EVENTS: u64 = 20;

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
    let idempotent_class = ClassSettings {
        idempotency: Idempotency::Idempotent,
        latency_objective: shalewall::TimeDelta::from_micros(SECOND),
        priority_weight: 1.0,
        rate_scale: 1.0,
        highest_rung: 4,
        ..Default::default()
    };
    let paid_class = ClassSettings {
        idempotency: Idempotency::AtMostOnce,
        priority_weight: 2.0,
        lowest_rung: 1,
        session_limit_per_title: 3,
        ..idempotent_class
    };
    let live_class = ClassSettings {
        is_live: true,
        rate_scale: 0.8,
        session_limit_per_title: 0,
        ..idempotent_class
    };
    Settings {
        director_count: 1,
        classes: vec![idempotent_class, paid_class, live_class],
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

/// The base settings and variants that differ from them in a few fields each.
fn all_settings() -> Vec<Settings> {
    let base = base_settings();
    let retry_budget = RetryBudget {
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
    variant(&|s| {
        (s.director_count, s.director_index, s.rules.retry_budget) = (2, 1, Some(retry_budget))
    });
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
        (s.director_count, s.tenants, s.rules.retry_budget) =
            (50, tenants.clone(), Some(retry_budget));
        (s.limits.can_check_health, s.must_poll_endpoints, s.zone) = (true, true, Some(1));
    });
    variants
}

/// The state of a session as the script sees it.
struct SessionState {
    class: usize,
    /// Attempts sent so far.
    attempts_sent: u32,
    /// Server of the attempt that is in flight or playing.
    server: Option<ServerId>,
    is_playing: bool,
    is_answered: bool,
    /// Target of a migration that has not finished.
    migration_target: Option<ServerId>,
}

/// An event that is queued for a time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Timer(u64),
    AttemptExpires(u64, u32),
    FinishCancellation(u64, u32),
    FinishHealthCheck(ServerId),
    AnswerPoll,
}

/// One run of a director.
struct Script<'e> {
    director: Director,
    settings: Settings,
    encoder: &'e mut Encoder,
    random: Random,
    now: Micros,
    sessions: BTreeMap<u64, SessionState>,
    queue: BTreeSet<(Micros, u64, ScheduledEvent)>,
    event_count: u64,
    next_session: u64,
    endpoints: BTreeMap<u64, Endpoint>,
}

impl<'e> Script<'e> {
    fn new(seed: u64, settings: Settings, encoder: &'e mut Encoder) -> Script<'e> {
        let endpoints = (1..=SERVERS).map(|id| (id, endpoint(id))).collect();
        Script {
            director: Director::new(seed, settings.clone(), shalewall::Timestamp::from_micros(0)),
            settings,
            encoder,
            random: Random::new(seed),
            now: 0,
            sessions: BTreeMap::new(),
            queue: BTreeSet::new(),
            event_count: 0,
            next_session: 1,
            endpoints,
        }
    }

    fn run(mut self) {
        self.start();
        for number in 0..EVENT_COUNT {
            let until = self.now + self.random.between(1, 200) * MILLISECOND;
            self.advance_to(until);
            self.draw_event();
            if number % ESTIMATES_INTERVAL_EVENTS == 0 {
                self.encode_estimates();
            }
        }
        self.advance_to(self.now + 30 * SECOND);
        self.encode_estimates();
    }

    /// Delivers the endpoint list, cached or current, and sometimes sessions of an earlier process.
    fn start(&mut self) {
        let update = if self.random.percent(50) {
            EndpointUpdate::Cached
        } else {
            EndpointUpdate::Full
        };
        let endpoints = self.endpoints.values().copied().collect();
        self.deliver_event(Event::EndpointsUpdated { update, endpoints });
        for _ in 0..self.random.below(4) {
            let request = self.draw_request();
            let server = ServerId(self.random.below(SERVERS) + 1);
            let state = SessionState {
                class: request.class,
                attempts_sent: 1,
                server: Some(server),
                is_playing: true,
                is_answered: false,
                migration_target: None,
            };
            self.sessions.insert(request.session.0, state);
            self.deliver_event(Event::SessionTransferred(request, server));
        }
        if self.random.percent(50) {
            self.now = 60 * SECOND;
        }
    }

    fn deliver_event(&mut self, event: Event) {
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
            self.apply_action(action);
        }
    }

    fn schedule(&mut self, after: Micros, event: ScheduledEvent) {
        self.event_count += 1;
        self.queue
            .insert((self.now + after.max(1), self.event_count, event));
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::StartAttempt {
                session,
                server,
                attempt_timeout,
            } => {
                let Some(state) = self.sessions.get_mut(&session.0) else {
                    return;
                };
                state.server = Some(server);
                state.attempts_sent += 1;
                let attempt = state.attempts_sent - 1;
                if let Some(attempt_timeout) = attempt_timeout {
                    self.schedule(
                        attempt_timeout.as_micros(),
                        ScheduledEvent::AttemptExpires(session.0, attempt),
                    );
                }
            }
            Action::Reject { session, .. } | Action::Fail { session } => {
                self.mark_answered(session.0)
            }
            Action::CancelAttempt { session, attempt } => {
                self.schedule(1, ScheduledEvent::FinishCancellation(session.0, attempt))
            }
            Action::Redirect { session } => {
                self.schedule(1, ScheduledEvent::FinishCancellation(session.0, u32::MAX))
            }
            Action::Migrate {
                session, server, ..
            } => {
                if let Some(state) = self.sessions.get_mut(&session.0) {
                    state.migration_target = Some(server);
                }
            }
            Action::SetTimer { after, token } => {
                self.schedule(after.as_micros(), ScheduledEvent::Timer(token))
            }
            Action::CheckHealth { server } => {
                let after = self.random.between(1, 80) * MILLISECOND;
                self.schedule(after, ScheduledEvent::FinishHealthCheck(server));
            }
            Action::PollEndpoints => {
                let after = self.random.between(1, 60) * MILLISECOND;
                self.schedule(after, ScheduledEvent::AnswerPoll);
            }
            Action::SetRung { .. }
            | Action::WatchEndpoints(_)
            | Action::CloseIdleConnections { .. }
            | Action::SendToPeer { .. }
            | Action::Log(_) => {}
        }
    }

    fn mark_answered(&mut self, session: u64) {
        let Some(state) = self.sessions.get_mut(&session) else {
            return;
        };
        state.is_answered = true;
        if state.server.is_none() {
            self.sessions.remove(&session);
        }
    }

    /// Dispatches the events that are due by `until`, in order of time.
    fn advance_to(&mut self, until: Micros) {
        while let Some((at, _, event)) = self.queue.first().copied().filter(|(at, ..)| *at <= until)
        {
            self.queue.pop_first();
            self.now = at;
            self.dispatch(event);
        }
        self.now = until;
    }

    fn dispatch(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Timer(token) => self.deliver_event(Event::TimerFired(token)),
            ScheduledEvent::AttemptExpires(session, attempt) => {
                let is_in_flight = |s: &SessionState| {
                    s.attempts_sent == attempt + 1 && !s.is_playing && s.server.is_some()
                };
                if self.sessions.get(&session).is_some_and(is_in_flight) {
                    self.finish(session, Outcome::TimedOut);
                }
            }
            ScheduledEvent::FinishCancellation(session, attempt) => {
                let is_latest =
                    |s: &SessionState| attempt == u32::MAX || s.attempts_sent == attempt + 1;
                if self
                    .sessions
                    .get(&session)
                    .is_some_and(|s| s.server.is_some() && is_latest(s))
                {
                    self.finish(session, Outcome::Cancelled);
                }
            }
            ScheduledEvent::FinishHealthCheck(server) => {
                let outcome = self.random.pick(&[
                    Outcome::Success,
                    Outcome::Success,
                    Outcome::TimedOut,
                    Outcome::Rejected,
                ]);
                let load_report = self.draw_load_report();
                self.deliver_event(Event::HealthCheckFinished {
                    server,
                    outcome,
                    load_report,
                });
            }
            ScheduledEvent::AnswerPoll if self.random.percent(20) => {
                self.deliver_event(Event::EndpointsUpdated {
                    update: EndpointUpdate::Failed,
                    endpoints: Vec::new(),
                });
            }
            ScheduledEvent::AnswerPoll => {
                let endpoints = self.endpoints.values().copied().collect();
                self.deliver_event(Event::EndpointsUpdated {
                    update: EndpointUpdate::Full,
                    endpoints,
                });
            }
        }
    }

    fn draw_event(&mut self) {
        match self.random.below(100) {
            0..=34 => self.send_request(),
            35..=62 => self.attempt_ends(),
            63..=72 => self.session_ends(),
            73..=77 => self.change_endpoint(),
            78..=86 => self.notify(),
            87..=91 => self.request_migration(),
            92..=95 => self.finish_migration(),
            96 => self.withdraw(),
            97 => {
                let server = ServerId(self.random.below(SERVERS) + 1);
                self.deliver_event(Event::ServerSilent(server));
            }
            98 => self.update_settings(),
            _ => {
                let body = vec![self.random.below(256) as u8; 3];
                let from = self.random.below(3) as u32;
                self.deliver_event(Event::PeerMessage { from, body });
            }
        }
    }

    fn draw_request(&mut self) -> Request {
        let session = SessionId(self.next_session);
        self.next_session += 1;
        let random = &mut self.random;
        let classes = self.settings.classes.len();
        let tenants = self.settings.tenants.len();
        // One in 200 requests names a class that does not exist.
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

    fn send_request(&mut self) {
        let request = self.draw_request();
        let state = SessionState {
            class: request.class,
            attempts_sent: 0,
            server: None,
            is_playing: false,
            is_answered: false,
            migration_target: None,
        };
        self.sessions.insert(request.session.0, state);
        self.deliver_event(Event::RequestReceived(request));
    }

    /// A random one of the sessions that match the predicate.
    fn draw_session(&mut self, predicate: impl Fn(&SessionState) -> bool) -> Option<u64> {
        let matching: Vec<u64> = self
            .sessions
            .iter()
            .filter(|(_, s)| predicate(s))
            .map(|(id, _)| *id)
            .collect();
        if matching.is_empty() {
            None
        } else {
            Some(matching[self.random.index(matching.len())])
        }
    }

    fn attempt_ends(&mut self) {
        let Some(id) = self.draw_session(|s| s.server.is_some() && !s.is_playing) else {
            return;
        };
        let state = &self.sessions[&id];
        if !state.is_answered && self.random.percent(65) {
            return self.start_session(id);
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

    fn start_session(&mut self, id: u64) {
        let setup_time = self.random.between(20, 300) * MILLISECOND;
        let Some(state) = self.sessions.get_mut(&id) else {
            return;
        };
        let Some(server) = state.server else { return };
        state.is_playing = true;
        let attempt = state.attempts_sent - 1;
        self.deliver_event(Event::SessionStarted {
            session: SessionId(id),
            attempt,
            server,
            setup_time: shalewall::TimeDelta::from_micros(setup_time),
        });
    }

    fn session_ends(&mut self) {
        let Some(id) = self.draw_session(|s| s.is_playing) else {
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
        let load_report = self.draw_load_report();
        let Some(state) = self.sessions.get_mut(&id) else {
            return;
        };
        let Some(server) = state.server.take() else {
            return;
        };
        let is_answered = state.is_playing || state.is_answered;
        let is_migrating = state.migration_target.is_some();
        let attempt = state.attempts_sent - 1;
        if is_answered {
            self.sessions.remove(&id);
        }
        let session = SessionId(id);
        self.deliver_event(Event::AttemptFinished {
            session,
            attempt,
            server,
            outcome,
            is_answered,
            load_report,
        });
        if is_migrating {
            self.deliver_event(Event::MigrationFinished {
                session,
                migrated: false,
            });
        }
    }

    fn draw_load_report(&mut self) -> LoadReport {
        let random = &mut self.random;
        LoadReport {
            streams: random.percent(30).then(|| random.below(30) as f64),
            link_utilization: random.percent(70).then(|| random.utilization()),
            uplink_utilization: random.percent(50).then(|| random.utilization()),
        }
    }

    fn change_endpoint(&mut self) {
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
        let old = self.endpoints[&id];
        let started_at = if restarted {
            Some(self.now)
        } else {
            old.started_at.map(shalewall::Timestamp::as_micros)
        };
        let endpoint = Endpoint {
            state,
            started_at: started_at.map(shalewall::Timestamp::from_micros),
            weight,
            ..old
        };
        self.endpoints.insert(id, endpoint);
        self.deliver_event(Event::EndpointsUpdated {
            update: EndpointUpdate::Delta,
            endpoints: vec![endpoint],
        });
    }

    fn notify(&mut self) {
        let Some(id) = self.draw_session(|s| s.is_playing) else {
            return;
        };
        let random = &mut self.random;
        let notification = match random.below(4) {
            0 => Notification::DeliveredFraction(if random.percent(25) { 0.8 } else { 1.0 }),
            1 => Notification::LinkUtilization(random.utilization()),
            2 => Notification::UplinkUtilization(random.utilization()),
            _ => Notification::CurrentRung(random.index(5)),
        };
        let state = &self.sessions[&id];
        let Some(server) = state.server else { return };
        let attempt = state.attempts_sent - 1;
        self.deliver_event(Event::Notified {
            session: SessionId(id),
            attempt,
            server,
            notification,
        });
    }

    fn request_migration(&mut self) {
        let Some(id) = self.draw_session(|s| s.is_playing && s.migration_target.is_none()) else {
            return;
        };
        self.deliver_event(Event::MigrationRequested(SessionId(id)));
    }

    fn finish_migration(&mut self) {
        let Some(id) = self.draw_session(|s| s.migration_target.is_some()) else {
            return;
        };
        let migrated = self.random.percent(70);
        let Some(state) = self.sessions.get_mut(&id) else {
            return;
        };
        let target = state.migration_target.take();
        if migrated {
            state.server = target;
        }
        self.deliver_event(Event::MigrationFinished {
            session: SessionId(id),
            migrated,
        });
    }

    fn withdraw(&mut self) {
        let Some(id) = self.draw_session(|s| !s.is_playing && !s.is_answered) else {
            return;
        };
        self.mark_answered(id);
        self.deliver_event(Event::RequestWithdrawn(SessionId(id)));
    }

    /// Changes the classes' priority weights and session limits and the tenants' quotas. The classes keep their
    /// indices.
    fn update_settings(&mut self) {
        let mut classes = self.settings.classes.clone();
        let mut tenants = self.settings.tenants.clone();
        for class in &mut classes {
            class.priority_weight = self.random.pick(&[0.5, 1.0, 2.0]);
            class.session_limit_per_title = self.random.pick(&[0, 3, 6]);
        }
        for tenant in &mut tenants {
            tenant.fleet_quota = self.random.pick(&[0.0, 0.2, 0.4]);
        }
        self.deliver_event(Event::SettingsUpdated { classes, tenants });
    }

    fn encode_estimates(&mut self) {
        for estimate in self.director.server_estimates() {
            self.encoder.u64(estimate.server.0);
            self.encoder.f64(estimate.link_utilization);
            self.encoder.f64(estimate.uplink_utilization);
            self.encoder.u64(u64::from(estimate.failures));
            self.encoder.bool(estimate.is_warming_up);
            self.encoder.bool(estimate.is_short);
        }
        let playing = self.sessions.values().filter(|s| s.is_playing);
        let classes: usize = playing.map(|s| s.class + 1).sum();
        self.encoder.usize(classes);
    }
}

/// Server 5 belongs to another fleet, server 4 is of another machine kind, and zones alternate.
fn endpoint(id: u64) -> Endpoint {
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
            attempt_timeout,
        } => {
            encoder.begin_output(1);
            encoder.u64(session.0);
            encoder.u64(server.0);
            encoder.option(attempt_timeout.map(TimeDelta::as_micros), Encoder::i64);
        }
        Action::SetRung { session, rung } => {
            encoder.begin_output(2);
            encoder.u64(session.0);
            encoder.usize(*rung);
        }
        Action::Reject {
            session,
            retry_after,
        } => {
            encoder.begin_output(3);
            encoder.u64(session.0);
            encoder.option(retry_after.map(TimeDelta::as_micros), Encoder::i64);
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
        // Log texts are not behaviour, so only the fact is hashed.
        Action::Log(_) => encoder.begin_output(14),
    }
}
