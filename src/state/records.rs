//! Plain data types that policies pass to each other and to the director.

use super::demand::ClassRung;
use super::servers::Server;
use super::sessions::SessionGroup;
use crate::interface::{ServerId, SessionId};
use crate::time::{TimeDelta, Timestamp};

/// Where a session is to be set up, and at which rung.
#[derive(Clone, Copy)]
pub(crate) struct Placement {
    pub server: ServerId,
    pub rung: usize,
}

/// The source of a load report, which determines its age and noise.
#[derive(Clone, Copy)]
pub(crate) enum ReportSource {
    /// The answer to an attempt or a health check.
    Answer,
    /// A session's first notification, sent with its set-up and without delay.
    FirstNotification,
    /// A later notification, which arrives with the notification delay.
    LaterNotification,
    /// Derived from a reported shortage.
    Shortage,
}

/// Assumed age of a report, and its weight against the current estimate.
pub(crate) struct ReportTrust {
    pub age: TimeDelta,
    pub weight: f64,
}

/// A tenant's usage at this director, and its quota.
pub(crate) struct QuotaStatus {
    /// Number of its sessions at this director.
    pub sessions: f64,
    /// Its fraction of all tenants' rates at this director. It is assumed to be the same at the others.
    pub used_fraction: f64,
    /// Fraction of the fleet that is reserved for it.
    pub quota: f64,
}

/// How the utilization limits of a request are reduced for its tenant's quota debt.
pub(crate) struct QuotaLimit {
    /// Factor on every utilization limit.
    pub limit_scale: f64,
    /// Capacity that must stay free in addition to its own rate, kB/s.
    pub reserved_kb_s: f64,
}

/// A possible downgrade of a group's sessions, with the rate freed and the utility lost by each session.
pub(crate) struct Downgrade {
    pub utility_per_kb: f64,
    pub group: SessionGroup,
    pub rung: usize,
    pub freed_kb_s: f64,
    pub lost_utility: f64,
}

/// The capacity that a request needs.
pub(crate) struct CapacityNeed {
    /// Utilization limit for the request's tenant.
    pub utilization_limit: f64,
    /// Rate that must fit within it, kB/s.
    pub kb_s: f64,
    /// Quota debt of the request's tenant.
    pub debt: f64,
    /// Utility of the request at its lowest rung for its duration, in seconds at full utility.
    pub gained_utility_s: f64,
}

/// A server that is available to a request, with its ranking criteria.
pub(crate) struct Candidate<'a> {
    pub server: &'a Server,
    pub load: f64,
    pub tie_breaker: u64,
}

/// What all sessions of a group have in common when they are considered for an upgrade.
pub(crate) struct UpgradeContext<'a> {
    pub server: &'a Server,
    pub reported_at: Timestamp,
    pub lowest_rung: usize,
    pub highest_rung: usize,
    pub load_ratio: f64,
    /// Rate that each session already has there.
    pub current_kb_s: f64,
}

/// One rung of one class, with the rate that it adds for all viewers of the class.
pub(crate) struct RungStep {
    pub utility_per_kb: f64,
    pub at: ClassRung,
    pub kb_s: f64,
}

/// A set of downgrades, with the capacity that they free and the utility that they cost.
#[derive(Default)]
pub(crate) struct FreedCapacity {
    pub changes: Vec<RungChange>,
    pub kb_s: f64,
    /// Utility lost over the sessions' remaining time, in seconds at full utility.
    pub lost_utility_s: f64,
}

/// A change of a session's rung.
pub(crate) struct RungChange {
    pub session: SessionId,
    pub rung: usize,
}
