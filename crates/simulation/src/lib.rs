//! Discrete-event simulation of engines, fleet and viewers in simulated time.
//!
//! [`world`] drives the production engines against the models of `shalewall-fleet-model`; [`plan`] converts a day's
//! plan into those models, for runs over sockets too; [`bounds`] computes upper bounds on the worth of any policy;
//! [`baseline`] is a simple policy to compare the decision module with; [`scenes`] are days that each test one
//! situation; [`totals`] are the results of a run.
//!
//! All results are simulated. The same plan and seed give the same results.
//!
//! This crate may depend on the engine, the models and plans. It must not use sockets or clocks, and it must not
//! contain decision logic except in the baseline.

pub mod baseline;
pub mod bounds;
pub mod plan;
pub mod scenes;
pub mod totals;
pub mod world;
