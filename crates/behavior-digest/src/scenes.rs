//! Digest of the simulated scenes of `shalewall-lab`: all figures of each scene's report, under the decision module
//! and under the baseline.

use crate::encoder::{Encoder, PartDigest};
use shalewall_fleet_model::totals::ViewerTotals;
use shalewall_settings::DayPlan;
use shalewall_simulation::bounds::Bounds;
use shalewall_simulation::scenes::all;
use shalewall_simulation::totals::{IntervalTotals, RunTotals};
use shalewall_simulation::world::{Policy, Report, run};
use std::collections::BTreeMap;
use std::path::Path;

/// Simulated time of a scene at most.
const MAX_DURATION_S: f64 = 400.0;
/// Simulated time at most of a scene with more than [`LARGE_FLEET_NODES`] nodes, as its cost grows with the fleet.
const MAX_LARGE_FLEET_DURATION_S: f64 = 25.0;
const LARGE_FLEET_NODES: u64 = 100;

/// Runs all scenes.
pub fn digest() -> PartDigest {
    let mut encoder = Encoder::new();
    for (number, scene) in all(&base_plan()).into_iter().enumerate() {
        let mut plan = scene.plan;
        let max_duration_s = if plan.fleet.node_count > LARGE_FLEET_NODES {
            MAX_LARGE_FLEET_DURATION_S
        } else {
            MAX_DURATION_S
        };
        plan.day.seconds = plan.day.seconds.min(max_duration_s);
        for (seed, policy) in [
            (0, Policy::Module),
            (1, Policy::Module),
            (0, Policy::Baseline),
        ] {
            let mut plan = plan.clone();
            plan.day.seed += seed;
            encoder.begin_case(number, plan.day.seed);
            let report = run(&plan, policy).expect("every scene can be simulated");
            encode_report(&mut encoder, &report);
        }
    }
    encoder.finish()
}

fn base_plan() -> DayPlan {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/fill-2.hcl");
    shalewall_settings::read(&file).expect("the plan of the scenes can be read")
}

fn encode_report(encoder: &mut Encoder, report: &Report) {
    encoder.begin_output(1);
    encode_totals(encoder, &report.totals);
    encode_bounds(encoder, &report.bounds);
}

fn encode_totals(encoder: &mut Encoder, totals: &RunTotals) {
    encode_viewer_totals(encoder, &totals.viewer_totals.all);
    encoder.usize(totals.viewer_totals.tenants.len());
    for totals in totals.viewer_totals.tenants.values() {
        encode_viewer_totals(encoder, totals);
    }
    encoder.f64(totals.stall_cost);
    encoder.f64(totals.rung_change_cost);
    encoder.u64(totals.overloaded_nodes);
    encoder.usize(totals.intervals.len());
    for interval in &totals.intervals {
        encode_interval(encoder, interval);
    }
}

fn encode_viewer_totals(encoder: &mut Encoder, totals: &ViewerTotals) {
    encoder.begin_output(2);
    let counts = [
        totals.requested,
        totals.played,
        totals.rejected,
        totals.failed,
        totals.unanswered,
        totals.broken,
        totals.viewers,
        totals.viewers_rejected,
        totals.viewers_unserved,
        totals.rung_changes,
    ];
    counts.into_iter().for_each(|count| encoder.u64(count));
    encoder.f64(totals.worth_offered);
    encoder.f64(totals.worth_earned);
    encode_rungs(encoder, &totals.seconds_by_rung);
}

fn encode_interval(encoder: &mut Encoder, interval: &IntervalTotals) {
    encoder.begin_output(3);
    encoder.u64(interval.requested);
    encoder.u64(interval.rejected);
    encoder.f64(interval.worth_offered);
    encoder.f64(interval.worth_earned);
    encoder.f64(interval.worth_bound);
    encode_rungs(encoder, &interval.seconds_by_rung);
}

fn encode_rungs(encoder: &mut Encoder, rungs: &BTreeMap<usize, f64>) {
    encoder.usize(rungs.len());
    for (rung, seconds) in rungs {
        encoder.usize(*rung);
        encoder.f64(*seconds);
    }
}

fn encode_bounds(encoder: &mut Encoder, bounds: &Bounds) {
    encoder.begin_output(4);
    encoder.f64(bounds.maximum);
    encoder.usize(bounds.at_constant_rung.len());
    bounds
        .at_constant_rung
        .iter()
        .for_each(|worth| encoder.f64(*worth));
}
