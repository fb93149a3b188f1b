//! The decisions, one concern a file, and all tuned values, each beside what it tunes.
//!
//! Ordinary path: [`admission`] decides each request by D(C0). Every other file is a guard that a rule needs, an
//! exception whose condition stands beside it, or an estimate that these read.

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
