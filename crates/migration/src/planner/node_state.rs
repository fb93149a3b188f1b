//! The planner's state of one node: its sessions, and the reasons for them to migrate.

use super::MigrationPolicy;
use shalewall::{SessionId, TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// How long a player's silence report is valid. Players repeat it while they receive no data.
const MAX_SILENCE_REPORT_AGE: TimeDelta = TimeDelta::from_millis(500);
/// A node that delivers a smaller fraction of its sessions' rates has a shortage.
const MIN_DELIVERED_FRACTION: f64 = 0.95;
/// Interval between groups of migrations from a node with a shortage: the effect of one group must show before the
/// next one starts.
const SHORTAGE_STEP_INTERVAL: TimeDelta = TimeDelta::from_secs(3);

/// A player's report that it receives no data.
#[derive(Clone, Copy, Debug)]
struct SilenceReport {
    received_at: Timestamp,
    buffer_empty_at: Timestamp,
}

#[derive(Debug, Default)]
pub(super) struct NodeState {
    pub sessions: BTreeSet<SessionId>,
    silence_reports: BTreeMap<SessionId, SilenceReport>,
    /// The sessions that no node serves any more.
    pub orphans: BTreeSet<SessionId>,
    pub draining: bool,
    short_since: Option<Timestamp>,
    /// The last reported fraction of its sessions' rates that it delivers.
    pub delivered_fraction: f64,
    last_shortage_step: Option<Timestamp>,
    /// Migrations in progress from or to this node.
    pub in_flight: usize,
}

impl NodeState {
    /// Whether its state can be dropped.
    pub fn is_unused(&self) -> bool {
        self.sessions.is_empty() && !self.draining && self.in_flight == 0
    }

    /// Whether there may be a reason for its sessions to migrate.
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
            .retain(|_, report| now - report.received_at < MAX_SILENCE_REPORT_AGE);
    }

    pub fn record_delivery(&mut self, now: Timestamp, delivered_fraction: f64) {
        self.delivered_fraction = delivered_fraction;
        let is_short = delivered_fraction < MIN_DELIVERED_FRACTION;
        self.short_since = is_short.then(|| self.short_since.unwrap_or(now));
    }

    pub fn record_shortage_step(&mut self, now: Timestamp) {
        self.last_shortage_step = Some(now);
    }

    /// When the buffer of a session's player will be empty, if the player has reported silence.
    pub fn buffer_empty_at(&self, session: SessionId) -> Option<Timestamp> {
        let report = self.silence_reports.get(&session);
        report.map(|report| report.buffer_empty_at)
    }

    /// Whether at least half of its players receive no data; at least two of them, unless there is only one.
    pub fn is_silent(&self) -> bool {
        let silent = self.silence_reports.len();
        let all = self.sessions.len();
        all > 0 && silent >= 2.min(all) && 2 * silent >= all
    }

    /// Whether its shortage has lasted long enough for the next group of sessions to migrate now.
    pub fn is_shortage_due(&self, policy: &MigrationPolicy, now: Timestamp) -> bool {
        let lasts = self
            .short_since
            .is_some_and(|since| now - since >= policy.min_shortage);
        let step_due = self
            .last_shortage_step
            .is_none_or(|last| now - last >= SHORTAGE_STEP_INTERVAL);
        lasts && step_due
    }

    /// The sessions that are silent or orphaned.
    pub fn silent_or_orphaned_sessions(&self) -> BTreeSet<SessionId> {
        let silent = self.silence_reports.keys();
        silent.chain(&self.orphans).copied().collect()
    }
}
