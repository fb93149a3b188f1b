//! What the planner knows of one node: its sessions, and the signs that they have to leave it.

use super::MigrationPolicy;
use shalewall::{SessionId, TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// A player's report that it receives nothing is valid for so long; players repeat it while it is true.
const SILENCE_REPORT_AGE: TimeDelta = TimeDelta::from_millis(500);
/// A node that delivers a lesser part of its sessions' rates is short.
const SHORTAGE_THRESHOLD: f64 = 0.95;
/// Sessions leave a short node in groups, so far apart: the effect of one has to show before the next.
const SHORTAGE_STEP_INTERVAL: TimeDelta = TimeDelta::from_secs(3);

/// A player's report that it receives nothing.
#[derive(Clone, Copy, Debug)]
struct SilenceReport {
    received_at: Timestamp,
    buffer_empty_at: Timestamp,
}

#[derive(Debug, Default)]
pub(super) struct NodeState {
    pub sessions: BTreeSet<SessionId>,
    silence_reports: BTreeMap<SessionId, SilenceReport>,
    /// Those of the sessions that no node serves any more.
    pub orphans: BTreeSet<SessionId>,
    pub draining: bool,
    short_since: Option<Timestamp>,
    /// The part of its sessions' rates that it delivered last.
    pub delivered_fraction: f64,
    last_shortage_step: Option<Timestamp>,
    /// Migrations under way from or to it.
    pub in_flight: usize,
}

impl NodeState {
    /// Whether nothing has to be remembered of it.
    pub fn is_unused(&self) -> bool {
        self.sessions.is_empty() && !self.draining && self.in_flight == 0
    }

    /// Whether there may be a reason for its sessions to leave.
    pub fn needs_checks(&self) -> bool {
        self.draining
            || self.short_since.is_some()
            || !self.silence_reports.is_empty()
            || !self.orphans.is_empty()
    }

    pub fn remove_session(&mut self, session: SessionId) {
        self.sessions.remove(&session);
        self.silence_reports.remove(&session);
        self.orphans.remove(&session);
    }

    pub fn record_silence(&mut self, now: Timestamp, session: SessionId, buffer: TimeDelta) {
        let report = SilenceReport {
            received_at: now,
            buffer_empty_at: now + buffer,
        };
        self.silence_reports.insert(session, report);
    }

    pub fn clear_silence_reports(&mut self) {
        self.silence_reports.clear();
    }

    pub fn expire_silence_reports(&mut self, now: Timestamp) {
        self.silence_reports
            .retain(|_, report| now - report.received_at < SILENCE_REPORT_AGE);
    }

    pub fn record_delivery(&mut self, now: Timestamp, delivered_fraction: f64) {
        self.delivered_fraction = delivered_fraction;
        let is_short = delivered_fraction < SHORTAGE_THRESHOLD;
        self.short_since = is_short.then(|| self.short_since.unwrap_or(now));
    }

    pub fn record_shortage_step(&mut self, now: Timestamp) {
        self.last_shortage_step = Some(now);
    }

    /// When the buffer of a session's player will be empty, if the player has reported that it receives nothing.
    pub fn buffer_empty_at(&self, session: SessionId) -> Option<Timestamp> {
        let report = self.silence_reports.get(&session);
        report.map(|report| report.buffer_empty_at)
    }

    /// Whether most players there receive nothing: at least two, where there are so many.
    pub fn is_silent(&self) -> bool {
        let silent = self.silence_reports.len();
        let all = self.sessions.len();
        all > 0 && silent >= 2.min(all) && 2 * silent >= all
    }

    /// Whether it has been short for long enough that sessions have to leave it now.
    pub fn is_shortage_due(&self, policy: &MigrationPolicy, now: Timestamp) -> bool {
        let lasts = self
            .short_since
            .is_some_and(|since| now - since >= policy.min_shortage);
        let step_due = self
            .last_shortage_step
            .is_none_or(|last| now - last >= SHORTAGE_STEP_INTERVAL);
        lasts && step_due
    }

    /// The sessions with a reason of their own to leave.
    pub fn sessions_in_trouble(&self) -> BTreeSet<SessionId> {
        let silent = self.silence_reports.keys();
        silent.chain(&self.orphans).copied().collect()
    }
}
