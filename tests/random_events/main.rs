//! Runs random legal events with fixed seeds and checks the director's actions against its rules.

mod auditor;
#[path = "../common/mod.rs"]
mod common;

use auditor::{Auditor, SeenSession};
use common::{
    AT_MOST_ONCE, DirectorHarness, RandomNumbers, SECOND, attempted_server, endpoint, settings,
    viewer_request,
};
use shalewall::{
    Action, Director, Endpoint, EndpointState, EndpointUpdate, Event, LoadReport, Notification,
    Outcome, RetryBudget, ServerId, SessionId, Settings, Timestamp,
};

const SERVERS: u64 = 4;
const EVENTS_PER_RUN: u64 = 4000;

/// A director, its auditor, and the generator of its events.
struct Run {
    auditor: Auditor,
    harness: DirectorHarness,
    random: RandomNumbers,
}

/// The outcome of an attempt, and whether the set-up may have run.
struct DrawnOutcome {
    outcome: Outcome,
    may_have_run: bool,
}

fn audited_settings() -> Settings {
    let mut settings = settings();
    settings.director_count = 2;
    settings.classes[AT_MOST_ONCE].session_limit_per_title = 2;
    settings.rules.retry_budget = Some(RetryBudget {
        base: 1.0,
        per_request: 0.02,
        window: 10 * SECOND,
    });
    settings
}

impl Run {
    fn new(seed: u64) -> Run {
        let mut run = Run {
            auditor: Auditor::new(audited_settings(), SERVERS),
            harness: DirectorHarness {
                director: Director::new(seed, audited_settings(), Timestamp::ZERO),
                now: Timestamp::ZERO,
            },
            random: RandomNumbers(seed),
        };
        let endpoints = (1..=SERVERS).map(endpoint).collect();
        let actions = run
            .harness
            .update_endpoints(EndpointUpdate::Cached, endpoints);
        run.auditor.check(&actions);
        run
    }

    fn set_time(&mut self, now: Timestamp) {
        self.harness.now = now;
        self.auditor.now = now;
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let actions = self.harness.handle(event);
        self.auditor.check(&actions);
        actions
    }

    /// Advances the time and fires timers when they are due, in order.
    fn advance(&mut self) {
        let millis = self.random.below(120) as i64 + 1;
        let next = self.auditor.moment_after(millis);
        while let Some(timer) = self.auditor.next_timer(next) {
            self.set_time(timer.due);
            let actions = self.handle(Event::TimerFired(timer.token));
            assert!(
                attempted_server(&actions).is_none(),
                "an attempt from a timer"
            );
        }
        self.set_time(next);
        self.auditor.check(&[]);
    }

    fn draw_event(&mut self, id: u64) {
        match self.random.below(12) {
            0..=3 => self.request_session(id),
            4..=9 => self.answer_attempt(),
            10 => self.change_server(),
            _ => self.notify(id),
        }
    }

    fn request_session(&mut self, id: u64) {
        let class = self.random.below(2) as usize;
        let request = viewer_request(id, class, self.harness.now);
        let seen = SeenSession {
            class,
            requested_at: self.harness.now,
            deadline: request.deadline,
            ..SeenSession::default()
        };
        self.auditor.sessions.insert(id, seen);
        self.auditor.requests.push(self.harness.now);
        self.handle(Event::RequestReceived(request));
    }

    /// An attempt is answered, or a session ends.
    fn answer_attempt(&mut self) {
        // Every seventh attempt gets no answer before the viewer's deadline.
        let gets_answer = |id: u64, seen: &SeenSession| {
            seen.server.is_some() && (!id.is_multiple_of(7) || seen.is_answered)
        };
        let sessions = self.auditor.sessions.iter();
        let answerable = sessions.filter(|(id, seen)| gets_answer(**id, seen));
        let answerable: Vec<u64> = answerable.map(|(id, _)| *id).collect();
        if answerable.is_empty() {
            return;
        }
        let id = answerable[self.random.below(answerable.len() as u64) as usize];
        let seen = self.auditor.sessions.get_mut(&id).unwrap();
        let is_closed = seen.is_playing || seen.is_answered;
        if !is_closed && self.random.below(3) > 0 {
            seen.is_playing = true;
            let server = seen.server.unwrap();
            let actions = self.harness.start_session(id, seen.attempts - 1, server);
            self.auditor.check(&actions);
        } else {
            self.finish_attempt(id);
        }
    }

    fn finish_attempt(&mut self, id: u64) {
        let drawn = self.draw_outcome();
        let load_report = LoadReport {
            link_utilization: Some(self.random.below(10) as f64 / 10.0),
            ..LoadReport::default()
        };
        let seen = self.auditor.sessions.get_mut(&id).unwrap();
        let server = seen.server.take().unwrap();
        seen.may_have_run |= drawn.may_have_run || seen.is_playing;
        let event = Event::AttemptFinished {
            session: SessionId(id),
            attempt: seen.attempts - 1,
            server,
            outcome: drawn.outcome,
            is_answered: seen.is_playing || seen.is_answered,
            load_report,
        };
        self.handle(event);
    }

    fn draw_outcome(&mut self) -> DrawnOutcome {
        let outcome = match self.random.below(6) {
            0 => Outcome::Rejected,
            1 => Outcome::ConnectionFailed,
            2 => Outcome::TimedOut,
            3 => Outcome::ConnectionReset,
            4 => Outcome::Error,
            _ => Outcome::NotSent,
        };
        let may_have_run = matches!(
            outcome,
            Outcome::TimedOut | Outcome::ConnectionReset | Outcome::Error
        );
        DrawnOutcome {
            outcome,
            may_have_run,
        }
    }

    /// A server starts draining, disappears, returns or restarts.
    fn change_server(&mut self) {
        let id = self.random.below(SERVERS) + 1;
        let state = match self.random.below(6) {
            0 => EndpointState::Draining,
            1 => EndpointState::Gone,
            _ => EndpointState::Ready,
        };
        let is_restart = state == EndpointState::Ready && self.random.below(4) == 0;
        if is_restart {
            self.auditor.started.insert(id, self.harness.now);
            self.auditor.warm_up_attempts.remove(&id);
        }
        if state == EndpointState::Ready {
            self.auditor.closed_servers.remove(&id);
        } else {
            self.auditor.closed_servers.insert(id);
        }
        let changed = Endpoint {
            state,
            started_at: Some(self.auditor.started[&id]),
            ..endpoint(id)
        };
        self.handle(Event::EndpointsUpdated {
            update: EndpointUpdate::Delta,
            endpoints: vec![changed],
        });
    }

    /// A server sends a notification about a random session, if that plays.
    fn notify(&mut self, newest_id: u64) {
        let notification = match self.random.below(3) {
            0 => {
                let is_short = self.random.below(4) == 0;
                Notification::DeliveredFraction(if is_short { 0.8 } else { 1.0 })
            }
            1 => Notification::LinkUtilization(self.random.below(10) as f64 / 10.0),
            _ => Notification::UplinkUtilization(self.random.below(10) as f64 / 10.0),
        };
        let id = self.random.below(newest_id + 1);
        let server = ServerId(self.random.below(SERVERS) + 1);
        let seen = self.auditor.sessions.get(&id);
        if seen.is_some_and(|seen| seen.is_playing) {
            let actions = self.harness.notify(id, server, notification);
            self.auditor.check(&actions);
        }
    }
}

#[test]
fn random_legal_events_violate_no_rule() {
    for seed in 1..=12 {
        let mut run = Run::new(seed * 0x9e37_79b9);
        for id in 0..EVENTS_PER_RUN {
            run.advance();
            run.draw_event(id);
        }
        let attempts = run.auditor.attempts;
        assert!(
            attempts > 100,
            "the run must exercise the director: {attempts} attempts"
        );
    }
}
