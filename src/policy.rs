//! All decisions of the director, one concern per file, with their constants.
//!
//! [`admission`] holds the normal path: it places or rejects each request by estimated utilization. Every
//! other file enforces a rule, handles an exception whose condition it documents, or computes an estimate
//! that the others use.

pub(crate) mod admission;
pub(crate) mod capacity_estimate;
pub(crate) mod demand;
pub(crate) mod downgrades;
pub(crate) mod health;
pub(crate) mod health_checks;
pub(crate) mod quotas;
pub(crate) mod retries;
pub(crate) mod timers;
pub(crate) mod upgrades;
pub(crate) mod warm_up;
