//! What directors report that they hold of each tenant, and when the last session of a deleted one is over.
//!
//! A director that is cut off can't report, and goes on serving what it knew. So the deletion of a tenant is finished
//! only when every director that was heard of within a stated time has just reported that it knows of the deletion and
//! holds nothing.

use crate::UnixMillis;
use crate::tenant::TenantId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Directors at most: a report of one more is rejected.
pub const MAX_DIRECTORS: usize = 1024;
/// An older report says nothing of what is held now.
const FRESH_MS: u64 = 5_000;
/// Tenants at most whose sessions are asked for at once.
const MAX_REQUESTED_TENANTS: usize = 64;
/// A tenant's sessions are asked for so long after somebody wanted to see them.
const REQUEST_LIFETIME_MS: u64 = 10_000;

/// A session as its director reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedSession {
    /// The session's number.
    pub session: u64,
    /// Its class, by name.
    pub class: String,
    /// Its title, by name.
    pub title: String,
    /// The node where it plays or is being set up, by number.
    pub node: Option<u64>,
    /// Its rung.
    pub rung: usize,
    /// Whether it plays; else it is being set up.
    #[serde(rename = "plays")]
    pub is_playing: bool,
}

/// What one director reports.
#[derive(Clone, Debug, Deserialize)]
pub struct UsageReport {
    /// The director's number.
    #[serde(rename = "front")]
    pub director: u32,
    /// The last change of tenants that it has applied.
    #[serde(rename = "number")]
    pub change_number: u64,
    /// Sessions that it holds by tenant, of those that have some.
    #[serde(rename = "held")]
    pub session_counts: BTreeMap<TenantId, u64>,
    /// Sessions of the tenants that were asked for, perhaps not all of them.
    #[serde(default)]
    pub sessions: BTreeMap<TenantId, Vec<ReportedSession>>,
}

/// There are as many directors as are followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("there are too many directors: reports of {MAX_DIRECTORS} are kept at most")]
pub struct TooManyDirectors;

/// How many sessions of a tenant one director holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct DirectorUsage {
    /// The director's number.
    #[serde(rename = "front")]
    pub director: u32,
    /// How many sessions it holds.
    #[serde(rename = "sessions")]
    pub session_count: u64,
    /// Milliseconds since it reported so.
    pub age_ms: u64,
}

/// The sessions of a tenant that one director holds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DirectorSessions {
    /// The director's number.
    #[serde(rename = "front")]
    pub director: u32,
    /// Milliseconds since it reported them.
    pub age_ms: u64,
    /// How many sessions it holds.
    #[serde(rename = "held")]
    pub session_count: u64,
    /// Those that it reported; nothing where it has not been asked yet.
    pub sessions: Option<Vec<ReportedSession>>,
}

struct ReceivedReport {
    received_at: UnixMillis,
    report: UsageReport,
}

impl ReceivedReport {
    fn age_ms(&self, now: UnixMillis) -> u64 {
        now.saturating_sub(self.received_at)
    }

    fn session_count(&self, tenant: &TenantId) -> u64 {
        let count = self.report.session_counts.get(tenant);
        count.copied().unwrap_or(0)
    }
}

/// The last report of each director.
pub struct UsageTracker {
    started_at: UnixMillis,
    /// A director that has not been heard of for so long is taken for gone, and its sessions with it.
    forget_after_ms: u64,
    reports: BTreeMap<u32, ReceivedReport>,
    /// Tenants whose sessions somebody wants to see, and when that was said last.
    requested: BTreeMap<TenantId, UnixMillis>,
}

impl UsageTracker {
    /// A tracker that hears reports from now on, and forgets a director that has been silent for so long.
    pub fn new(now: UnixMillis, forget_after_ms: u64) -> UsageTracker {
        UsageTracker {
            started_at: now,
            forget_after_ms,
            reports: BTreeMap::new(),
            requested: BTreeMap::new(),
        }
    }

    /// Records a director's report. Returns the tenants whose sessions its next report should list.
    pub fn record(
        &mut self,
        now: UnixMillis,
        report: UsageReport,
    ) -> Result<Vec<TenantId>, TooManyDirectors> {
        let forget_after_ms = self.forget_after_ms;
        self.reports
            .retain(|_, received| received.age_ms(now) < forget_after_ms);
        self.requested
            .retain(|_, requested_at| now.saturating_sub(*requested_at) < REQUEST_LIFETIME_MS);
        let director = report.director;
        if self.reports.len() >= MAX_DIRECTORS && !self.reports.contains_key(&director) {
            return Err(TooManyDirectors);
        }
        let received = ReceivedReport {
            received_at: now,
            report,
        };
        self.reports.insert(director, received);
        Ok(self.requested.keys().cloned().collect())
    }

    /// A tenant's sessions as directors reported them last. From now on for a while they are asked for: what is not
    /// there yet comes with the next reports.
    pub fn sessions_by_director(
        &mut self,
        now: UnixMillis,
        tenant: &TenantId,
    ) -> Vec<DirectorSessions> {
        let is_requested = self.requested.contains_key(tenant);
        if is_requested || self.requested.len() < MAX_REQUESTED_TENANTS {
            self.requested.insert(tenant.clone(), now);
        }
        self.reports
            .values()
            .map(|received| DirectorSessions {
                director: received.report.director,
                age_ms: received.age_ms(now),
                session_count: received.session_count(tenant),
                sessions: received.report.sessions.get(tenant).cloned(),
            })
            .collect()
    }

    /// How many sessions of a tenant each director holds, as of its last report.
    pub fn usage_by_director(&self, now: UnixMillis, tenant: &TenantId) -> Vec<DirectorUsage> {
        self.reports
            .values()
            .map(|received| DirectorUsage {
                director: received.report.director,
                session_count: received.session_count(tenant),
                age_ms: received.age_ms(now),
            })
            .collect()
    }

    /// Whether the last session of a tenant is over, as of a change: all directors that may be running say so.
    pub fn is_drained(&self, now: UnixMillis, tenant: &TenantId, change_number: u64) -> bool {
        let heard_long_enough = now.saturating_sub(self.started_at) >= self.forget_after_ms;
        let mut maybe_running = self
            .reports
            .values()
            .filter(|received| received.age_ms(now) < self.forget_after_ms);
        heard_long_enough
            && maybe_running.all(|received| {
                received.age_ms(now) < FRESH_MS
                    && received.report.change_number >= change_number
                    && !received.report.session_counts.contains_key(tenant)
            })
    }
}
