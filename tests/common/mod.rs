//! Event scripts for a director, without the bench. The module's own tests use them too.
#![allow(dead_code)] // each test file uses a part of it

use shalewall::*;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;
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
    let class = ClassTerms {
        effect: Effect::Harmless,
        aim: S,
        worth: 1.0,
        scale: 1.0,
        top: 4,
        ..Default::default()
    };
    let paid = ClassTerms {
        effect: Effect::Paid,
        worth: 2.0,
        floor: 1,
        seats: 3,
        ..class
    };
    Settings {
        directors: 1,
        classes: vec![class, paid],
        ladder: ladder
            .iter()
            .map(|(kb, worth)| Rung {
                kb: *kb,
                worth: *worth,
            })
            .collect(),
        cells: 4,
        racks: 2,
        places_by_kind: vec![30.0],
        weights_tell_size: true,
        link_kb_per_weight: 10_000.0,
        uplink_kb: 20_000.0,
        told_late: S,
        told_every: 3 * S,
        join_adds: 1.0,
        stall_cost: 7.0,
        switch_s: 0.5,
        contract: Contract {
            warm_after: 12 * S,
            start_capacity: 0.4,
            overload_factor: 2.0,
            fall: 2 * S,
            must_ask_in: 10 * S,
            further: Some(FurtherAttempts {
                free: 2.0,
                per_request: 0.0,
                span: 10 * S,
            }),
        },
        limits: Limits {
            max_attempts: 4,
            may_cancel: true,
            max_come_back: S,
            step: 10 * MS,
            ..Default::default()
        },
        ..Default::default()
    }
}

pub fn line(id: u64) -> Listed {
    Listed {
        server: ServerId(id),
        zone: None,
        kind: Some(0),
        cell: id - 1,
        state: Standing::Ready,
        weight: 1.0,
        came_up: None,
        fleet: 0,
    }
}

pub fn request(id: u64, class: usize, now: Micros) -> Request {
    Request {
        session: SessionId(id),
        class,
        tenant: None,
        viewer: id,
        title: TitleId(7),
        deadline: now + 4 * S,
        hint: Some(40 * S),
        home: 0,
        spread: 4,
        top: 4,
        again: false,
        fleet: 0,
    }
}

/// A director with the time of its script.
pub struct Desk {
    pub director: Director,
    pub now: Micros,
}

impl Desk {
    /// Servers 1 to `servers`, ready and warm for this director.
    pub fn new(set: Settings, servers: u64) -> Desk {
        let mut desk = Desk {
            director: Director::new(1, set, 0),
            now: 0,
        };
        desk.list(ListNews::Full, (1..=servers).map(line).collect());
        desk.now = 60 * S;
        desk
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.director.handle(self.now, event, &mut out);
        out
    }

    pub fn list(&mut self, news: ListNews, lines: Vec<Listed>) -> Vec<Action> {
        self.tell(Event::List { news, lines })
    }

    pub fn ask(&mut self, id: u64, class: usize) -> Vec<Action> {
        let req = request(id, class, self.now);
        self.tell(Event::Asked(req))
    }

    pub fn start(&mut self, id: u64, attempt: u32, server: ServerId) -> Vec<Action> {
        self.tell(Event::Started {
            session: SessionId(id),
            attempt,
            server,
            waited: 80 * MS,
        })
    }

    pub fn finish(
        &mut self,
        id: u64,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
    ) -> Vec<Action> {
        let load = Load::default();
        self.tell(Event::Finished {
            session: SessionId(id),
            attempt,
            server,
            outcome,
            closed: false,
            load,
        })
    }

    /// A session that already played there when the director began.
    pub fn carry(&mut self, id: u64, class: usize, server: ServerId) {
        let req = request(id, class, self.now);
        self.tell(Event::Carried(req, server));
    }

    /// The director's own timer rings.
    pub fn tick(&mut self) -> Vec<Action> {
        self.tell(Event::Timer(u64::MAX))
    }

    /// Time passes, and the timer rings when it is due.
    pub fn wait(&mut self, span: Micros) {
        for _ in 0..span / (200 * MS) {
            self.now += 200 * MS;
            self.tick();
        }
    }

    /// Link and uplink are reported, on a session's notes.
    pub fn report(&mut self, id: u64, server: ServerId, link: f64, uplink: f64) {
        self.note(id, server, Note::Link(link));
        self.note(id, server, Note::Uplink(uplink));
    }

    pub fn note(&mut self, id: u64, server: ServerId, note: Note) -> Vec<Action> {
        self.tell(Event::Noted {
            session: SessionId(id),
            attempt: 0,
            server,
            note,
        })
    }
}

pub fn sent_to(out: &[Action]) -> Option<ServerId> {
    out.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
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
    out.iter().any(|a| matches!(a, Action::Refuse { .. }))
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
