//! The times of recent requests, retries and migrations, and the mean set-up time.

use crate::interface::{Outcome, SessionId};
use crate::time::{TimeDelta, Timestamp};
use std::collections::VecDeque;

/// Times of recent requests, retries and migrations.
#[derive(Default)]
pub(crate) struct AttemptHistory {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
    migrations: VecDeque<Timestamp>,
}

impl AttemptHistory {
    /// Records a request, and removes entries older than `keep`.
    pub fn record_request(&mut self, now: Timestamp, keep: TimeDelta) {
        self.requests.push_back(now);
        for times in [&mut self.requests, &mut self.retries, &mut self.migrations] {
            while times.front().is_some_and(|time| *time < now - keep) {
                times.pop_front();
            }
        }
    }

    /// Records a retry.
    pub fn record_retry(&mut self, now: Timestamp) {
        self.retries.push_back(now);
    }

    /// Records a migration, which causes a set-up at its target.
    pub fn record_migration(&mut self, now: Timestamp) {
        self.migrations.push_back(now);
    }

    /// Number of requests, retries and migrations after a time.
    pub fn count_after(&self, time: Timestamp) -> usize {
        let count = |times: &VecDeque<Timestamp>| times.iter().rev().take_while(|t| **t > time).count();
        count(&self.requests) + count(&self.retries) + count(&self.migrations)
    }

    /// Number of requests after a time.
    pub fn requests_after(&self, time: Timestamp) -> usize {
        self.requests.iter().filter(|request| **request > time).count()
    }

    /// Number of retries at or after a time.
    pub fn retries_from(&self, time: Timestamp) -> usize {
        self.retries.iter().filter(|retry| **retry >= time).count()
    }
}

/// Exponential moving average of set-up times.
#[derive(Default)]
pub(crate) struct SetupTime {
    pub mean_us: f64,
}

impl SetupTime {
    /// Adds a set-up time with a weight from 0 to 1.
    pub fn record(&mut self, setup_time: TimeDelta, weight: f64) {
        let latest_us = setup_time.max(TimeDelta::ZERO).as_micros() as f64;
        self.mean_us += weight * (latest_us - self.mean_us);
    }
}

/// The end of an attempt, or of the session that it started.
pub(crate) struct FinishedAttempt {
    pub session: SessionId,
    /// Attempts sent so far, including this one.
    pub attempts: u32,
    pub outcome: Outcome,
    /// Whether the request already has its final answer.
    pub is_answered: bool,
}
