//! Attempts of each session as the nodes saw them: which of them are in flight, and which nodes hold the session.

use super::{Route, SetUp};
use crate::record::SetUpOutcome;
use shalewall::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// One attempt to set up a session.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    pub session: u64,
    /// 0 for the first attempt, incremented by each retry.
    pub number: u32,
}

impl AttemptId {
    pub fn new(session: u64, number: u32) -> AttemptId {
        AttemptId { session, number }
    }
}

/// State of an attempt at the nodes.
pub(super) struct Attempt {
    /// Director that sent it, and node that received it.
    pub route: Route,
    pub tenant: Option<String>,
    pub class: String,
    pub title: String,
    /// Nodes that hold the session now: two during a migration.
    pub holders: BTreeSet<u64>,
    /// When its set-up ended; `None` while it is in flight.
    pub finished_at: Option<Timestamp>,
    /// When the last holder released it.
    pub released_at: Option<Timestamp>,
    /// How its set-up ended.
    pub outcome: Option<SetUpOutcome>,
}

/// All attempts of a recording.
#[derive(Default)]
pub(super) struct Attempts {
    attempts: BTreeMap<AttemptId, Attempt>,
    /// Numbers of the attempts of each session in order of arrival, including those that arrived incomplete.
    by_session: BTreeMap<u64, Vec<u32>>,
}

impl Attempts {
    pub fn get(&self, id: AttemptId) -> Option<&Attempt> {
        self.attempts.get(&id)
    }

    pub fn get_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.attempts.get_mut(&id)
    }

    /// Attempts of a session in order of arrival.
    pub fn of_session(&self, session: u64) -> Vec<AttemptId> {
        let numbers = self.by_session.get(&session).into_iter().flatten();
        numbers
            .map(|number| AttemptId::new(session, *number))
            .collect()
    }

    /// Attempts that a node holds.
    pub fn at_node(&self, node: u64) -> Vec<AttemptId> {
        let attempts = self.attempts.iter();
        attempts
            .filter(|(_, attempt)| attempt.holders.contains(&node))
            .map(|(id, _)| *id)
            .collect()
    }

    /// The first attempt of a session that is not released.
    pub fn playing(&self, session: u64) -> Option<&Attempt> {
        let first = AttemptId::new(session, 0);
        let last = AttemptId::new(session, u32::MAX);
        let mut attempts = self.attempts.range(first..=last);
        let found = attempts.find(|(_, attempt)| attempt.released_at.is_none());
        found.map(|(_, attempt)| attempt)
    }

    /// Adds a set-up that arrived complete.
    pub fn add(&mut self, set_up: &SetUp<'_>) {
        let id = set_up.id;
        let numbers = self.by_session.entry(id.session).or_default();
        numbers.push(id.number);
        let attempt = Attempt {
            route: set_up.route,
            tenant: set_up.tenant.map(str::to_string),
            class: set_up.class.to_string(),
            title: set_up.title.to_string(),
            holders: BTreeSet::new(),
            finished_at: None,
            released_at: None,
            outcome: None,
        };
        self.attempts.insert(id, attempt);
    }

    /// Adds a set-up that arrived incomplete: if the session is paid, it must not be retried. Its class is known from
    /// other attempts only.
    pub fn add_partial(&mut self, id: AttemptId) {
        let numbers = self.by_session.entry(id.session).or_default();
        if !numbers.contains(&id.number) {
            numbers.push(id.number);
        }
    }

    /// Sets the outcome of a set-up. Returns its route if the attempt is known.
    pub fn finish_set_up(
        &mut self,
        id: AttemptId,
        time: Timestamp,
        outcome: SetUpOutcome,
    ) -> Option<Route> {
        let attempt = self.attempts.get_mut(&id)?;
        attempt.finished_at.get_or_insert(time);
        attempt.outcome = Some(outcome);
        Some(attempt.route)
    }

    /// Ends an attempt's set-up at a node that died. Returns the director of the attempt.
    pub fn node_down(&mut self, id: AttemptId, node: u64, time: Timestamp) -> Option<u32> {
        let attempt = self.attempts.get_mut(&id)?;
        if attempt.route.node == node {
            attempt.finished_at.get_or_insert(time);
        }
        Some(attempt.route.director)
    }
}
