//! Plain records that policies hand to each other and to the director.

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

/// What brought a load report, which says how old and noisy it is.
#[derive(Clone, Copy)]
pub(crate) enum ReportSource {
    /// The answer to an attempt or a health check.
    Answer,
    /// A session's first notification, which comes with its set-up and is fresh.
    FirstNotification,
    /// A later notification, which comes with the usual delay.
    LaterNotification,
    /// Deduced from a shortage of delivery.
    Shortage,
}

/// How far a report counts.
pub(crate) struct ReportTrust {
    pub age: TimeDelta,
    pub weight: f64,
}

/// What a tenant holds here, and what is its own.
pub(crate) struct QuotaStatus {
    /// Sessions held here.
    pub sessions: f64,
    /// Its fraction of the rates that tenants hold here; the other directors are taken to hold alike.
    pub held_fraction: f64,
    /// Fraction of the fleet that is its own.
    pub quota: f64,
}

/// What is closed to a request for its tenant's debt.
pub(crate) struct QuotaLimit {
    /// Every line is lower by this factor.
    pub limit_scale: f64,
    /// Capacity to leave free beside its own, kB a second.
    pub reserved_kb_s: f64,
}

/// A downgrade that sessions of a group may take, with what each frees and loses.
pub(crate) struct Downgrade {
    pub utility_per_kb: f64,
    pub group: SessionGroup,
    pub rung: usize,
    pub freed_kb_s: f64,
    pub lost_utility: f64,
}

/// A request that lacks capacity.
pub(crate) struct CapacityNeed {
    /// Highest utilization that the request's tenant may fill links to.
    pub utilization_limit: f64,
    /// Rate that must fit under it, kB a second.
    pub kb_s: f64,
    /// Quota debt of the request's tenant.
    pub debt: f64,
    /// Utility of the request at its lowest rung for its duration, in seconds at full utility.
    pub gained_utility_s: f64,
}

/// A server that may take a request, with what it is ranked by.
pub(crate) struct Candidate<'a> {
    pub server: &'a Server,
    pub load: f64,
    pub tie_breaker: u64,
}

/// What all sessions of a group may be upgraded under.
pub(crate) struct UpgradeContext<'a> {
    pub server: &'a Server,
    pub reported_at: Timestamp,
    pub lowest_rung: usize,
    pub highest_rung: usize,
    pub load_ratio: f64,
    /// Rate that each session has there already.
    pub current_kb_s: f64,
}

/// One rung of one class, for all of its viewers.
pub(crate) struct RungStep {
    pub utility_per_kb: f64,
    pub at: ClassRung,
    pub kb_s: f64,
}

/// What a number of downgrades free and cost.
#[derive(Default)]
pub(crate) struct FreedCapacity {
    pub changes: Vec<RungChange>,
    pub kb_s: f64,
    /// Utility lost over the sessions' remaining time, in seconds at full utility.
    pub lost_utility_s: f64,
}

/// A session that is to change to a rung.
pub(crate) struct RungChange {
    pub session: SessionId,
    pub rung: usize,
}
