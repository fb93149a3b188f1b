//! Usage reports of directors, and whether the last session of a deleted tenant is over.
//!
//! A director that is disconnected can't report, and continues to serve the tenants that it knew. So the deletion of a
//! tenant is finished only when every director that has reported within a given time has just reported that it has
//! applied the deletion and holds no session of the tenant.

use crate::UnixMillis;
use crate::tenant::TenantId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of directors. Reports of further ones are rejected.
pub const MAX_DIRECTORS: usize = 1024;
/// Maximum age of a report that counts as current, in milliseconds.
const MAX_CURRENT_REPORT_AGE_MS: u64 = 5_000;
/// Maximum number of tenants whose sessions are requested from directors at once.
const MAX_REQUESTED_TENANTS: usize = 64;
/// How long a tenant's sessions are requested from directors after the last query for them, in milliseconds.
const REQUEST_LIFETIME_MS: u64 = 10_000;

/// A session as reported by its director.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedSession {
    /// The session's number.
    pub session: u64,
    /// Name of its class.
    pub class: String,
    /// Name of its title.
    pub title: String,
    /// The number of the node at which it plays or is being set up.
    pub node: Option<u64>,
    /// Its rung.
    pub rung: usize,
    /// Whether it plays. Otherwise it is being set up.
    #[serde(rename = "plays")]
    pub is_playing: bool,
}

/// The usage report of one director.
#[derive(Clone, Debug, Deserialize)]
pub struct UsageReport {
    /// The director's number.
    #[serde(rename = "front")]
    pub director: u32,
    /// The number of the last change of tenants that it has applied.
    #[serde(rename = "number")]
    pub change_number: u64,
    /// Numbers of sessions that it holds, by tenant. Tenants without sessions are omitted.
    #[serde(rename = "held")]
    pub session_counts: BTreeMap<TenantId, u64>,
    /// Sessions of the requested tenants. The list may be incomplete.
    #[serde(default)]
    pub sessions: BTreeMap<TenantId, Vec<ReportedSession>>,
}

/// The limit of directors is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("too many directors: reports of at most {MAX_DIRECTORS} are kept")]
pub struct TooManyDirectors;

/// The number of a tenant's sessions at one director.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct DirectorUsage {
    /// The director's number.
    #[serde(rename = "front")]
    pub director: u32,
    /// Number of sessions that it holds.
    #[serde(rename = "sessions")]
    pub session_count: u64,
    /// Age of its report in milliseconds.
    pub age_ms: u64,
}

/// A tenant's sessions at one director.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DirectorSessions {
    /// The director's number.
    #[serde(rename = "front")]
    pub director: u32,
    /// Age of its report in milliseconds.
    pub age_ms: u64,
    /// Number of sessions that it holds.
    #[serde(rename = "held")]
    pub session_count: u64,
    /// The reported sessions, or `None` if they have not been requested and reported yet.
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

/// Tracks the last report of each director.
pub struct UsageTracker {
    started_at: UnixMillis,
    /// Time without a report after which a director and its sessions are considered gone, in milliseconds.
    forget_after_ms: u64,
    reports: BTreeMap<u32, ReceivedReport>,
    /// Tenants whose sessions are requested from directors, and the time of the last query for them.
    requested: BTreeMap<TenantId, UnixMillis>,
}

impl UsageTracker {
    /// Creates a tracker that forgets a director `forget_after_ms` milliseconds after its last report.
    pub fn new(now: UnixMillis, forget_after_ms: u64) -> UsageTracker {
        UsageTracker {
            started_at: now,
            forget_after_ms,
            reports: BTreeMap::new(),
            requested: BTreeMap::new(),
        }
    }

    /// Records a director's report. Returns the tenants whose sessions its next report should include.
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

    /// A tenant's sessions as last reported by directors. Also requests them from directors for a while: sessions that
    /// are not available yet arrive with the next reports.
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

    /// The number of a tenant's sessions at each director, as of its last report.
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

    /// Whether the last session of a tenant is over: all directors that may be running have recently reported that they
    /// have applied change `change_number` and hold no session of the tenant.
    pub fn is_drained(&self, now: UnixMillis, tenant: &TenantId, change_number: u64) -> bool {
        let has_tracked_long_enough = now.saturating_sub(self.started_at) >= self.forget_after_ms;
        let mut possibly_running = self
            .reports
            .values()
            .filter(|received| received.age_ms(now) < self.forget_after_ms);
        has_tracked_long_enough
            && possibly_running.all(|received| {
                received.age_ms(now) < MAX_CURRENT_REPORT_AGE_MS
                    && received.report.change_number >= change_number
                    && !received.report.session_counts.contains_key(tenant)
            })
    }
}
