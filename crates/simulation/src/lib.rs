//! The lab: engines, fleet and viewers in simulated time.
//!
//! [`world`] drives the same engines as sockets do, against the models of `shalewall-fleet-model`; [`plan`] turns a
//! day's plan into those models, for sockets too; [`bounds`] tells what could have been had; [`plain`] is the
//! design's textbook form, to compare with; [`scenes`] are days that show one thing.
//!
//! Figures from here are simulated. Same plan and seed, same figures.
//!
//! What this crate may know: engine, models, plans. What it must not: sockets, clocks, and how to decide but
//! for the baselines.

pub mod bounds;
pub mod count;
pub mod plain;
pub mod plan;
pub mod scenes;
pub mod world;
