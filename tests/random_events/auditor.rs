//! Checks every action of a director against the rules, based on the events.

use crate::common::MILLISECOND;
use shalewall::{Action, Idempotency, ServerId, SessionId, Settings, TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Tolerated delay of an answer after the deadline, since events come in batches.
const DEADLINE_TOLERANCE: TimeDelta = TimeDelta::from_millis(40);

/// The state of a request or session, as the events show it.
#[derive(Default)]
pub struct SeenSession {
    pub class: usize,
    pub requested_at: Timestamp,
    pub deadline: Timestamp,
    pub attempts: u32,
    /// Server of the attempt in flight or of the playing session.
    pub server: Option<ServerId>,
    pub is_playing: bool,
    pub may_have_run: bool,
    pub is_answered: bool,
}

impl SeenSession {
    fn awaits_answer(&self) -> bool {
        !self.is_answered && !self.is_playing
    }
}

/// A timer that the director set.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PendingTimer {
    pub due: Timestamp,
    pub token: u64,
}

/// The state of the run, against which actions are checked.
pub struct Auditor {
    pub now: Timestamp,
    pub settings: Settings,
    pub sessions: BTreeMap<u64, SeenSession>,
    /// Servers that are listed as draining or gone.
    pub closed_servers: BTreeSet<u64>,
    /// Time of each server's last start.
    pub started: BTreeMap<u64, Timestamp>,
    /// Times of attempts at each warming server.
    pub warm_up_attempts: BTreeMap<u64, Vec<Timestamp>>,
    pub requests: Vec<Timestamp>,
    pub retries: Vec<Timestamp>,
    pub timers: Vec<PendingTimer>,
    pub attempts: u32,
}

impl Auditor {
    /// An auditor of a director whose servers 1 to `servers` have just started.
    pub fn new(settings: Settings, servers: u64) -> Auditor {
        Auditor {
            now: Timestamp::ZERO,
            settings,
            sessions: BTreeMap::new(),
            closed_servers: BTreeSet::new(),
            started: (1..=servers).map(|id| (id, Timestamp::ZERO)).collect(),
            warm_up_attempts: BTreeMap::new(),
            requests: Vec::new(),
            retries: Vec::new(),
            timers: Vec::new(),
            attempts: 0,
        }
    }

    /// Checks the actions that follow one event, and that no request is left without an answer.
    pub fn check(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::SetTimer { after, token } => self.record_timer(*after, *token),
                Action::SetRung { session, rung } => self.check_rung(*session, *rung),
                Action::StartAttempt {
                    session, server, ..
                } => self.check_attempt(*session, *server),
                Action::Reject { session, .. } => self.check_answer(*session, true),
                Action::Fail { session } => self.check_answer(*session, false),
                _ => {}
            }
        }
        self.check_waiting_requests();
    }

    fn record_timer(&mut self, after: TimeDelta, token: u64) {
        let due = self.now + after.max(TimeDelta::from_micros(1));
        self.timers.push(PendingTimer { due, token });
    }

    fn check_rung(&self, session: SessionId, rung: usize) {
        let seen = &self.sessions[&session.0];
        let lowest = self.settings.classes[seen.class].lowest_rung;
        assert!(rung >= lowest, "a rung below the lowest one");
    }

    fn check_attempt(&mut self, session: SessionId, server: ServerId) {
        let seen = self.sessions.get_mut(&session.0).unwrap();
        assert!(seen.awaits_answer(), "an attempt after the final answer");
        assert!(seen.server.is_none(), "two attempts in flight");
        let class = seen.class;
        let is_idempotent = self.settings.classes[class].idempotency == Idempotency::Idempotent;
        assert!(
            is_idempotent || !seen.may_have_run,
            "an at-most-once set-up is repeated"
        );
        assert!(
            !self.closed_servers.contains(&server.0),
            "an attempt at a draining or gone server"
        );
        seen.server = Some(server);
        seen.attempts += 1;
        let is_retry = seen.attempts > 1;
        self.attempts += 1;
        if is_retry {
            self.check_retry_budget();
        }
        self.check_warm_up(server);
        self.check_session_limit(class);
    }

    fn check_retry_budget(&mut self) {
        self.retries.push(self.now);
        let budget = self.settings.rules.retry_budget.unwrap();
        let window_start = self.now - budget.window;
        let retries = self.retries.iter().filter(|at| **at >= window_start);
        let requests = self.requests.iter().filter(|at| **at > window_start);
        let allowed = budget.base + budget.per_request * requests.count() as f64;
        assert!(retries.count() as f64 <= allowed, "retry budget exceeded");
    }

    fn check_warm_up(&mut self, server: ServerId) {
        let rules = self.settings.rules;
        let is_warming_up = |started: &Timestamp| self.now < *started + rules.warm_up;
        if !self.started.get(&server.0).is_some_and(is_warming_up) {
            return;
        }
        let attempts = self.warm_up_attempts.entry(server.0).or_default();
        attempts.push(self.now);
        let window_start = self.now - rules.overload_window;
        let recent = attempts.iter().filter(|at| **at > window_start).count() as f64;
        let capacity = self.settings.stream_capacity_by_kind[0];
        // The rate at which the server fails, doubled to allow for random variation of the admitted requests.
        let overload_rate_per_us = rules.overload_factor * rules.initial_capacity * capacity
            / rules.warm_up.as_micros() as f64;
        let max_attempts = 2.0 * overload_rate_per_us * rules.overload_window.as_micros() as f64;
        assert!(
            recent <= max_attempts.max(1.0),
            "warming server overloaded: {recent} attempts, {max_attempts} allowed"
        );
    }

    fn check_session_limit(&self, class: usize) {
        let session_limit = self.settings.classes[class].session_limit_per_title;
        let is_active = |seen: &&SeenSession| seen.class == class && seen.server.is_some();
        let active_sessions = self.sessions.values().filter(is_active).count() as u32;
        assert!(
            session_limit == 0 || active_sessions <= session_limit,
            "session limit of the title exceeded"
        );
    }

    fn check_answer(&mut self, session: SessionId, is_rejection: bool) {
        let seen = self.sessions.get_mut(&session.0).unwrap();
        assert!(seen.awaits_answer(), "two final answers");
        let class = &self.settings.classes[seen.class];
        if is_rejection && class.idempotency == Idempotency::AtMostOnce {
            assert!(
                !seen.may_have_run && seen.server.is_none(),
                "a rejected set-up that may have run"
            );
        }
        assert!(
            self.now <= seen.deadline + DEADLINE_TOLERANCE,
            "a late answer"
        );
        seen.is_answered = true;
    }

    fn check_waiting_requests(&self) {
        for seen in self.sessions.values().filter(|seen| seen.awaits_answer()) {
            assert!(
                self.now <= seen.deadline + DEADLINE_TOLERANCE,
                "a request without an answer: received at {:?}",
                seen.requested_at
            );
            assert!(
                seen.server.is_some(),
                "a pending request without an attempt"
            );
        }
    }

    /// Removes and returns the first timer that is due by `until`.
    pub fn next_timer(&mut self, until: Timestamp) -> Option<PendingTimer> {
        self.timers.sort_unstable();
        let is_due = self.timers.first().is_some_and(|timer| timer.due <= until);
        is_due.then(|| self.timers.remove(0))
    }

    /// The time `millis` milliseconds after the last event.
    pub fn moment_after(&self, millis: i64) -> Timestamp {
        self.now + millis * MILLISECOND
    }
}
