//! Event scripts for a director, without the bench. The module's own tests use them too.
#![allow(dead_code)] // each test file uses a part of it

use shalewall::*;

pub const MS: TimeDelta = TimeDelta::from_millis(1);
pub const S: TimeDelta = TimeDelta::from_secs(1);
/// Index of the harmless class, and of the paid one (floor 1, seats 3).
pub const HARMLESS: usize = 0;
pub const PAID: usize = 1;

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
        latency_objective: S,
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
        ..class
    };
    Settings {
        director_count: 1,
        classes: vec![class, paid],
        ladder: ladder
            .iter()
            .map(|(kb, worth)| Rung {
                rate_kb_s: *kb,
                utility: *worth,
            })
            .collect(),
        cell_count: 4,
        rack_count: 2,
        stream_capacity_by_kind: vec![30.0],
        weight_is_capacity: true,
        link_kb_s_per_weight: 10_000.0,
        rack_uplink_kb_s: 20_000.0,
        notification_delay: S,
        notification_interval: 3 * S,
        join_rate_fraction: 1.0,
        stall_penalty: 7.0,
        rung_change_cost_s: 0.5,
        rules: RuleSettings {
            warm_up: 12 * S,
            initial_capacity: 0.4,
            overload_factor: 2.0,
            overload_window: 2 * S,
            poll_deadline: 10 * S,
            retry_budget: Some(RetryBudget {
                base: 2.0,
                per_request: 0.0,
                window: 10 * S,
            }),
        },
        limits: Limits {
            max_attempts: 4,
            can_cancel: true,
            max_retry_after: S,
            min_batch_interval: 10 * MS,
            ..Default::default()
        },
        ..Default::default()
    }
}

pub fn line(id: u64) -> Endpoint {
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

pub fn request(id: u64, class: usize, now: Timestamp) -> Request {
    Request {
        session: SessionId(id),
        class,
        tenant: None,
        viewer: id,
        title: TitleId(7),
        deadline: now + 4 * S,
        duration_hint: Some(40 * S),
        first_cell: 0,
        replica_cells: 4,
        highest_rung: 4,
        is_retry: false,
        fleet: 0,
    }
}

/// A director with the time of its script.
pub struct Desk {
    pub director: Director,
    pub now: Timestamp,
}

impl Desk {
    /// Servers 1 to `servers`, ready and warm for this director.
    pub fn new(set: Settings, servers: u64) -> Desk {
        let mut desk = Desk {
            director: Director::new(1, set, Timestamp::ZERO),
            now: Timestamp::ZERO,
        };
        desk.list(EndpointUpdate::Full, (1..=servers).map(line).collect());
        desk.now = Timestamp::ZERO + 60 * S;
        desk
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.director.handle(self.now, event, &mut out);
        out
    }

    pub fn list(&mut self, news: EndpointUpdate, lines: Vec<Endpoint>) -> Vec<Action> {
        self.tell(Event::EndpointsUpdated {
            update: news,
            endpoints: lines,
        })
    }

    pub fn ask(&mut self, id: u64, class: usize) -> Vec<Action> {
        let req = request(id, class, self.now);
        self.tell(Event::RequestReceived(req))
    }

    pub fn start(&mut self, id: u64, attempt: u32, server: ServerId) -> Vec<Action> {
        self.tell(Event::SessionStarted {
            session: SessionId(id),
            attempt,
            server,
            setup_time: 80 * MS,
        })
    }

    pub fn finish(
        &mut self,
        id: u64,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        let load = LoadReport::default();
        self.tell(Event::AttemptFinished {
            session: SessionId(id),
            attempt,
            server,
            outcome,
            is_answered: false,
            load_report: load,
        })
    }

    /// A session that already played there when the director began.
    pub fn carry(&mut self, id: u64, class: usize, server: ServerId) {
        let req = request(id, class, self.now);
        self.tell(Event::SessionTransferred(req, server));
    }

    /// The director's own timer rings.
    pub fn tick(&mut self) -> Vec<Action> {
        self.tell(Event::TimerFired(u64::MAX))
    }

    /// Time passes, and the timer rings when it is due.
    pub fn wait(&mut self, span: TimeDelta) {
        for _ in 0..span.as_micros() / (200 * MS).as_micros() {
            self.now += 200 * MS;
            self.tick();
        }
    }

    /// Link and uplink are reported, on a session's notes.
    pub fn report(&mut self, id: u64, server: ServerId, link: f64, uplink: f64) {
        self.note(id, server, Notification::LinkUtilization(link));
        self.note(id, server, Notification::UplinkUtilization(uplink));
    }

    pub fn note(&mut self, id: u64, server: ServerId, note: Notification) -> Vec<Action> {
        self.tell(Event::Notified {
            session: SessionId(id),
            attempt: 0,
            server,
            notification: note,
        })
    }
}

pub fn sent_to(out: &[Action]) -> Option<ServerId> {
    out.iter().find_map(|a| match a {
        Action::StartAttempt { server, .. } => Some(*server),
        _ => None,
    })
}

pub fn rung(out: &[Action]) -> Option<usize> {
    out.iter().find_map(|a| match a {
        Action::SetRung { rung, .. } => Some(*rung),
        _ => None,
    })
}

pub fn refused(out: &[Action]) -> bool {
    out.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub fn failed(out: &[Action]) -> bool {
    out.iter().any(|a| matches!(a, Action::Fail { .. }))
}

/// Random numbers of a fixed seed.
pub struct Dice(pub u64);

impl Dice {
    pub fn roll(&mut self, sides: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % sides
    }
}
