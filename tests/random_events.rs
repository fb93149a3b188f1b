//! A fixed-seed run of random legal events under an auditor of the six rules.

mod common;

use common::{
    AT_MOST_ONCE, DirectorHarness, MILLISECOND, RandomNumbers, SECOND, attempted_server, endpoint,
    settings, viewer_request,
};
use shalewall::{
    Action, Director, Endpoint, EndpointState, EndpointUpdate, Event, Idempotency, LoadReport,
    Notification, Outcome, RetryBudget, ServerId, SessionId, Settings, TimeDelta, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
struct Seen {
    class: usize,
    asked: Timestamp,
    deadline: Timestamp,
    sends: u32,
    /// Server of the attempt that is out.
    out: Option<ServerId>,
    plays: bool,
    may_have_run: bool,
    answered: bool,
}

struct Auditor {
    now: Timestamp,
    settings: Settings,
    seen: BTreeMap<u64, Seen>,
    told_off: BTreeSet<u64>,
    started: BTreeMap<u64, Timestamp>,
    cold_sends: BTreeMap<u64, Vec<Timestamp>>,
    taken: Vec<Timestamp>,
    further: Vec<Timestamp>,
    timers: Vec<(Timestamp, u64)>,
    sends: u32,
}

impl Auditor {
    fn check(&mut self, out: &[Action]) {
        let now = self.now;
        for action in out {
            match action {
                Action::SetTimer { after, token } => self
                    .timers
                    .push((now + (*after).max(TimeDelta::from_micros(1)), *token)),
                Action::SetRung { session, rung } => {
                    let seen = &self.seen[&session.0];
                    assert!(
                        *rung >= self.settings.classes[seen.class].lowest_rung,
                        "under the floor"
                    );
                }
                Action::StartAttempt {
                    session, server, ..
                } => {
                    let seen = self.seen.get_mut(&session.0).unwrap();
                    assert!(!seen.answered && !seen.plays, "a send after closing");
                    assert!(seen.out.is_none(), "two attempts out");
                    let harmless =
                        self.settings.classes[seen.class].idempotency == Idempotency::Idempotent;
                    assert!(harmless || !seen.may_have_run, "a paid set-up twice");
                    assert!(
                        !self.told_off.contains(&server.0),
                        "a send to a drained server"
                    );
                    seen.out = Some(*server);
                    seen.sends += 1;
                    self.sends += 1;
                    if seen.sends > 1 {
                        self.further.push(now);
                        let f = self.settings.rules.retry_budget.unwrap();
                        let sent = self
                            .further
                            .iter()
                            .filter(|t| **t >= now - f.window)
                            .count() as f64;
                        let taken =
                            self.taken.iter().filter(|t| **t > now - f.window).count() as f64;
                        assert!(
                            sent <= f.base + f.per_request * taken,
                            "ration of further attempts"
                        );
                    }
                    let c = self.settings.rules;
                    if self
                        .started
                        .get(&server.0)
                        .is_some_and(|t| now < *t + c.warm_up)
                    {
                        let sends = self.cold_sends.entry(server.0).or_default();
                        sends.push(now);
                        let within = sends
                            .iter()
                            .filter(|t| **t > now - c.overload_window)
                            .count() as f64;
                        let places = self.settings.stream_capacity_by_kind[0];
                        // What all directors may send, and as much again for chance.
                        let pace = c.overload_factor * c.initial_capacity * places
                            / c.warm_up.as_micros() as f64;
                        let most = 2.0 * pace * c.overload_window.as_micros() as f64;
                        assert!(
                            within <= most.max(1.0),
                            "cold server pushed: {within} of {most}"
                        );
                    }
                    let class = seen.class;
                    let held = self
                        .seen
                        .values()
                        .filter(|s| s.class == class && s.out.is_some())
                        .count() as u32;
                    let seats = self.settings.classes[class].session_limit_per_title;
                    assert!(seats == 0 || held <= seats, "seats");
                }
                Action::Reject { session, .. } | Action::Fail { session } => {
                    let seen = self.seen.get_mut(&session.0).unwrap();
                    assert!(!seen.answered && !seen.plays, "two answers");
                    let paid =
                        self.settings.classes[seen.class].idempotency == Idempotency::AtMostOnce;
                    if paid && matches!(action, Action::Reject { .. }) {
                        assert!(
                            !seen.may_have_run && seen.out.is_none(),
                            "a refusal of what may have run"
                        );
                    }
                    assert!(now <= seen.deadline + 40 * MILLISECOND, "a late answer");
                    seen.answered = true;
                }
                _ => {}
            }
        }
        for seen in self.seen.values() {
            let waits = !seen.answered && !seen.plays;
            assert!(
                !waits || now <= seen.deadline + 40 * MILLISECOND,
                "a session lost: asked at {:?}",
                seen.asked
            );
            assert!(
                !waits || seen.out.is_some(),
                "a request held without an attempt"
            );
        }
    }
}

fn run(seed: u64) -> u32 {
    let mut settings = settings();
    settings.director_count = 2;
    settings.classes[AT_MOST_ONCE].session_limit_per_title = 2;
    settings.rules.retry_budget = Some(RetryBudget {
        base: 1.0,
        per_request: 0.02,
        window: 10 * SECOND,
    });
    let mut a = Auditor {
        now: Timestamp::ZERO,
        settings: settings.clone(),
        seen: BTreeMap::new(),
        told_off: BTreeSet::new(),
        started: (1..=4).map(|id| (id, Timestamp::ZERO)).collect(),
        cold_sends: BTreeMap::new(),
        taken: Vec::new(),
        further: Vec::new(),
        timers: Vec::new(),
        sends: 0,
    };
    let mut random = RandomNumbers(seed);
    let mut harness = DirectorHarness {
        director: Director::new(seed, settings, Timestamp::ZERO),
        now: Timestamp::ZERO,
    };
    let out = harness.update_endpoints(EndpointUpdate::Cached, (1..=4).map(endpoint).collect());
    a.check(&out);
    for id in 0..4000u64 {
        let next = harness.now + (random.below(120) as i64 + 1) * MILLISECOND;
        // Timers ring when they are due, in order, as the wire would bring them.
        a.timers.sort_unstable();
        while a.timers.first().is_some_and(|(t, _)| *t <= next) {
            let (due, token) = a.timers.remove(0);
            (harness.now, a.now) = (due, due);
            let out = harness.handle(Event::TimerFired(token));
            assert!(attempted_server(&out).is_none(), "a send from a timer");
            a.check(&out);
            a.timers.sort_unstable();
        }
        (harness.now, a.now) = (next, next);
        a.check(&[]);
        match random.below(12) {
            0..=3 => {
                let class = random.below(2) as usize;
                let request = viewer_request(id, class, harness.now);
                let seen = Seen {
                    class,
                    asked: harness.now,
                    deadline: request.deadline,
                    ..Default::default()
                };
                a.seen.insert(id, seen);
                a.taken.push(harness.now);
                let out = harness.handle(Event::RequestReceived(request));
                a.check(&out);
            }
            4..=9 => {
                // Some attempts hear nothing before the viewer's time is up.
                let heard =
                    |id: u64, s: &Seen| s.out.is_some() && (!id.is_multiple_of(7) || s.answered);
                let open: Vec<u64> = a
                    .seen
                    .iter()
                    .filter(|(id, s)| heard(**id, s))
                    .map(|(id, _)| *id)
                    .collect();
                if open.is_empty() {
                    continue;
                }
                let id = open[random.below(open.len() as u64) as usize];
                let seen = a.seen.get_mut(&id).unwrap();
                let server = seen.out.unwrap();
                let attempt = seen.sends - 1;
                if !seen.plays && !seen.answered && random.below(3) > 0 {
                    seen.plays = true;
                    let out = harness.start_session(id, attempt, server);
                    a.check(&out);
                } else {
                    seen.out = None;
                    let (outcome, ran) = match random.below(6) {
                        0 => (Outcome::Rejected, false),
                        1 => (Outcome::ConnectionFailed, false),
                        2 => (Outcome::TimedOut, true),
                        3 => (Outcome::ConnectionReset, true),
                        4 => (Outcome::Error, true),
                        _ => (Outcome::NotSent, false),
                    };
                    let closed = seen.plays || seen.answered;
                    seen.may_have_run |= ran || seen.plays;
                    let load = LoadReport {
                        link_utilization: Some(random.below(10) as f64 / 10.0),
                        ..LoadReport::default()
                    };
                    let session = SessionId(id);
                    let out = harness.handle(Event::AttemptFinished {
                        session,
                        attempt,
                        server,
                        outcome,
                        is_answered: closed,
                        load_report: load,
                    });
                    a.check(&out);
                }
            }
            10 => {
                let id = random.below(4) + 1;
                let state = match random.below(6) {
                    0 => EndpointState::Draining,
                    1 => EndpointState::Gone,
                    _ => EndpointState::Ready,
                };
                let restarted = state == EndpointState::Ready && random.below(4) == 0;
                let came_up = a
                    .started
                    .get(&id)
                    .copied()
                    .filter(|_| !restarted)
                    .or(Some(harness.now));
                if restarted {
                    a.started.insert(id, harness.now);
                    a.cold_sends.remove(&id);
                }
                if state == EndpointState::Ready {
                    a.told_off.remove(&id);
                } else {
                    a.told_off.insert(id);
                }
                let out = harness.update_endpoints(
                    EndpointUpdate::Delta,
                    vec![Endpoint {
                        state,
                        started_at: came_up,
                        ..endpoint(id)
                    }],
                );
                a.check(&out);
            }
            _ => {
                let note = match random.below(3) {
                    0 => Notification::DeliveredFraction(if random.below(4) == 0 {
                        0.8
                    } else {
                        1.0
                    }),
                    1 => Notification::LinkUtilization(random.below(10) as f64 / 10.0),
                    _ => Notification::UplinkUtilization(random.below(10) as f64 / 10.0),
                };
                let session = random.below(id + 1);
                let server = ServerId(random.below(4) + 1);
                let plays = a.seen.get(&session).is_some_and(|s| s.plays);
                if plays {
                    let out = harness.notify(session, server, note);
                    a.check(&out);
                }
            }
        }
    }
    a.sends
}

#[test]
fn random_legal_events_break_no_rule() {
    for seed in 1..=12 {
        let sends = run(seed * 0x9e37_79b9);
        assert!(
            sends > 100,
            "the run has to exercise the director: {sends} sends"
        );
    }
}
