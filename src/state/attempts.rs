//! When set-ups were asked for of late, and how long they usually take.

use crate::interface::{Outcome, SessionId};
use crate::time::{TimeDelta, Timestamp};
use std::collections::VecDeque;

/// When requests, retries and migrations were made, of late.
#[derive(Default)]
pub(crate) struct AttemptHistory {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
    migrations: VecDeque<Timestamp>,
}

impl AttemptHistory {
    /// Counts a request, and forgets what is older than `keep`.
    pub fn record_request(&mut self, now: Timestamp, keep: TimeDelta) {
        self.requests.push_back(now);
        for times in [&mut self.requests, &mut self.retries, &mut self.migrations] {
            while times.front().is_some_and(|time| *time < now - keep) {
                times.pop_front();
            }
        }
    }

    /// Counts a retry.
    pub fn record_retry(&mut self, now: Timestamp) {
        self.retries.push_back(now);
    }

    /// Counts a migration, which asks a server for a set-up too.
    pub fn record_migration(&mut self, now: Timestamp) {
        self.migrations.push_back(now);
    }

    /// All set-ups asked for after a time.
    pub fn count_after(&self, time: Timestamp) -> usize {
        let count = |times: &VecDeque<Timestamp>| times.iter().rev().take_while(|t| **t > time).count();
        count(&self.requests) + count(&self.retries) + count(&self.migrations)
    }

    /// Requests after a time.
    pub fn requests_after(&self, time: Timestamp) -> usize {
        self.requests.iter().filter(|request| **request > time).count()
    }

    /// Retries at or after a time.
    pub fn retries_from(&self, time: Timestamp) -> usize {
        self.retries.iter().filter(|retry| **retry >= time).count()
    }
}

/// Running mean of set-up times.
#[derive(Default)]
pub(crate) struct SetupTime {
    pub mean_us: f64,
}

impl SetupTime {
    /// Takes a set-up time of this weight against the mean, from 0 to 1.
    pub fn record(&mut self, setup_time: TimeDelta, weight: f64) {
        let latest_us = setup_time.max(TimeDelta::ZERO).as_micros() as f64;
        self.mean_us += weight * (latest_us - self.mean_us);
    }
}

/// How an attempt, or the session that it began, ended.
pub(crate) struct FinishedAttempt {
    pub session: SessionId,
    /// Attempts sent so far, this one included.
    pub attempts: u32,
    pub outcome: Outcome,
    /// The request needs no further answer.
    pub is_answered: bool,
}
