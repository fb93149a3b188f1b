//! Test support for directors: settings, requests, a harness with simulated time, and queries on actions.
#![allow(dead_code)] // Each test file uses only some of it.

use shalewall::{
    Action, ClassSettings, Director, Endpoint, EndpointState, EndpointUpdate, Event, Idempotency,
    Limits, LoadReport, Notification, Outcome, Request, RetryBudget, RuleSettings, Rung, ServerId,
    SessionId, Settings, TimeDelta, Timestamp, TitleId,
};

/// One millisecond.
pub const MILLISECOND: TimeDelta = TimeDelta::from_millis(1);
/// One second.
pub const SECOND: TimeDelta = TimeDelta::from_secs(1);
/// Index of the class whose set-ups may be repeated.
pub const IDEMPOTENT: usize = 0;
/// Index of the class whose set-ups may not be repeated. Its lowest rung is 1, its limit three sessions per title.
pub const AT_MOST_ONCE: usize = 1;

/// Settings with one director, a ladder of five rungs, the two classes, and rules like those of the platform.
pub fn settings() -> Settings {
    let ladder = [
        (200.0, 0.25),
        (400.0, 0.5),
        (700.0, 0.7),
        (1200.0, 0.85),
        (2000.0, 1.0),
    ];
    let class = ClassSettings {
        idempotency: Idempotency::Idempotent,
        latency_objective: SECOND,
        priority_weight: 1.0,
        rate_scale: 1.0,
        highest_rung: 4,
        ..Default::default()
    };
    let at_most_once = ClassSettings {
        idempotency: Idempotency::AtMostOnce,
        priority_weight: 2.0,
        lowest_rung: 1,
        session_limit_per_title: 3,
        ..class
    };
    Settings {
        director_count: 1,
        classes: vec![class, at_most_once],
        ladder: ladder
            .iter()
            .map(|(kb, utility)| Rung {
                rate_kb_s: *kb,
                utility: *utility,
            })
            .collect(),
        cell_count: 4,
        rack_count: 2,
        stream_capacity_by_kind: vec![30.0],
        weight_is_capacity: true,
        link_kb_s_per_weight: 10_000.0,
        rack_uplink_kb_s: 20_000.0,
        notification_delay: SECOND,
        notification_interval: 3 * SECOND,
        join_rate_fraction: 1.0,
        stall_penalty: 7.0,
        rung_change_cost_s: 0.5,
        rules: RuleSettings {
            warm_up: 12 * SECOND,
            initial_capacity: 0.4,
            overload_factor: 2.0,
            overload_window: 2 * SECOND,
            poll_deadline: 10 * SECOND,
            retry_budget: Some(RetryBudget {
                base: 2.0,
                per_request: 0.0,
                window: 10 * SECOND,
            }),
        },
        limits: Limits {
            max_attempts: 4,
            can_cancel: true,
            max_retry_after: SECOND,
            min_batch_interval: 10 * MILLISECOND,
            ..Default::default()
        },
        ..Default::default()
    }
}

/// A ready server in cell `id - 1`.
pub fn endpoint(id: u64) -> Endpoint {
    Endpoint {
        server: ServerId(id),
        zone: None,
        machine_kind: Some(0),
        cell: id - 1,
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: None,
        fleet: 0,
    }
}

/// A request for a title that all four cells host, from a viewer who waits for 4 s.
pub fn viewer_request(id: u64, class: usize, now: Timestamp) -> Request {
    Request {
        session: SessionId(id),
        class,
        tenant: None,
        viewer: id,
        title: TitleId(7),
        deadline: now + 4 * SECOND,
        duration_hint: Some(40 * SECOND),
        first_cell: 0,
        replica_cells: 4,
        highest_rung: 4,
        is_retry: false,
        fleet: 0,
    }
}

/// A director with its simulated time.
pub struct DirectorHarness {
    pub director: Director,
    pub now: Timestamp,
}

impl DirectorHarness {
    /// A director with the servers 1 to `servers`, which are ready and have warmed up.
    pub fn new(settings: Settings, servers: u64) -> DirectorHarness {
        let mut harness = DirectorHarness {
            director: Director::new(1, settings, Timestamp::ZERO),
            now: Timestamp::ZERO,
        };
        harness.update_endpoints(EndpointUpdate::Full, (1..=servers).map(endpoint).collect());
        harness.now = Timestamp::ZERO + 60 * SECOND;
        harness
    }

    /// Passes an event to the director and returns its actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.director.handle(self.now, event, &mut out);
        out
    }

    /// Passes the endpoint list or a change of it to the director.
    pub fn update_endpoints(
        &mut self,
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
    ) -> Vec<Action> {
        self.handle(Event::EndpointsUpdated { update, endpoints })
    }

    /// A viewer requests a session.
    pub fn request_session(&mut self, id: u64, class: usize) -> Vec<Action> {
        let request = viewer_request(id, class, self.now);
        self.handle(Event::RequestReceived(request))
    }

    /// A session starts to play.
    pub fn start_session(&mut self, id: u64, attempt: u32, server: ServerId) -> Vec<Action> {
        self.handle(Event::SessionStarted {
            session: SessionId(id),
            attempt,
            server,
            setup_time: 80 * MILLISECOND,
        })
    }

    /// An attempt ends whose request may still need an answer.
    pub fn finish_attempt(
        &mut self,
        id: u64,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.handle(Event::AttemptFinished {
            session: SessionId(id),
            attempt,
            server,
            outcome,
            is_answered: false,
            load_report: LoadReport::default(),
        })
    }

    /// Transfers a session that already played at this server when the director started.
    pub fn transfer(&mut self, id: u64, class: usize, server: ServerId) {
        let request = viewer_request(id, class, self.now);
        self.handle(Event::SessionTransferred(request, server));
    }

    /// Fires the director's periodic timer.
    pub fn fire_tick(&mut self) -> Vec<Action> {
        self.handle(Event::TimerFired(u64::MAX))
    }

    /// Advances the time and fires the periodic timer whenever it is due.
    pub fn advance(&mut self, span: TimeDelta) {
        for _ in 0..span.as_micros() / (200 * MILLISECOND).as_micros() {
            self.now += 200 * MILLISECOND;
            self.fire_tick();
        }
    }

    /// Reports link and uplink utilization by notifications about a session.
    pub fn report_utilization(&mut self, id: u64, server: ServerId, link: f64, uplink: f64) {
        self.notify(id, server, Notification::LinkUtilization(link));
        self.notify(id, server, Notification::UplinkUtilization(uplink));
    }

    /// A server sends a notification about a session.
    pub fn notify(&mut self, id: u64, server: ServerId, notification: Notification) -> Vec<Action> {
        self.handle(Event::Notified {
            session: SessionId(id),
            attempt: 0,
            server,
            notification,
        })
    }
}

/// The server to which an attempt was sent.
pub fn attempted_server(out: &[Action]) -> Option<ServerId> {
    out.iter().find_map(|a| match a {
        Action::StartAttempt { server, .. } => Some(*server),
        _ => None,
    })
}

/// The first rung that was set.
pub fn chosen_rung(out: &[Action]) -> Option<usize> {
    out.iter().find_map(|a| match a {
        Action::SetRung { rung, .. } => Some(*rung),
        _ => None,
    })
}

/// Whether a request was rejected.
pub fn is_rejected(out: &[Action]) -> bool {
    out.iter().any(|a| matches!(a, Action::Reject { .. }))
}

/// Whether a request failed.
pub fn is_failed(out: &[Action]) -> bool {
    out.iter().any(|a| matches!(a, Action::Fail { .. }))
}

/// A pseudo-random number generator with a fixed seed (xorshift).
pub struct RandomNumbers(pub u64);

impl RandomNumbers {
    /// A number below a bound.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound
    }
}
