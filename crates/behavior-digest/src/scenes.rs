//! Digest of the simulated scenes of `shalewall-lab`: all figures of each scene's report, under the decision module
//! and under the baseline.

use crate::encoder::{Encoder, PartDigest};
use shalewall_fleet_model::totals::ViewerTotals;
use shalewall_settings::DayPlan;
use shalewall_simulation::bounds::Bounds;
use shalewall_simulation::count::{Count, Span};
use shalewall_simulation::scenes::all;
use shalewall_simulation::world::{Policy, Report, run};
use std::collections::BTreeMap;
use std::path::Path;

/// No scene is simulated for longer than this.
const LONGEST_S: f64 = 400.0;
/// Scenes of more nodes than `LARGE` are simulated for this long, as their cost grows with the fleet.
const LONGEST_LARGE_S: f64 = 25.0;
const LARGE: u64 = 100;

/// Runs all scenes.
pub fn digest() -> PartDigest {
    let mut encoder = Encoder::new();
    for (number, scene) in all(&base_plan()).into_iter().enumerate() {
        let mut plan = scene.plan;
        let longest = if plan.fleet.node_count > LARGE {
            LONGEST_LARGE_S
        } else {
            LONGEST_S
        };
        plan.day.seconds = plan.day.seconds.min(longest);
        for (seed, policy) in [(0, Policy::Module), (1, Policy::Module), (0, Policy::Plain)] {
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
    encode_count(encoder, &report.count);
    encode_bounds(encoder, &report.bounds);
}

fn encode_count(encoder: &mut Encoder, count: &Count) {
    encode_tally(encoder, &count.tallies.all);
    encoder.usize(count.tallies.tenants.len());
    for tally in count.tallies.tenants.values() {
        encode_tally(encoder, tally);
    }
    encoder.f64(count.stalled);
    encoder.f64(count.stepped);
    encoder.u64(count.fell);
    encoder.usize(count.spans.len());
    for span in &count.spans {
        encode_span(encoder, span);
    }
}

fn encode_tally(encoder: &mut Encoder, tally: &ViewerTotals) {
    encoder.begin_output(2);
    let counts = [
        tally.requested,
        tally.played,
        tally.rejected,
        tally.failed,
        tally.unanswered,
        tally.broken,
        tally.viewers,
        tally.viewers_rejected,
        tally.viewers_unserved,
        tally.rung_changes,
    ];
    counts.into_iter().for_each(|count| encoder.u64(count));
    encoder.f64(tally.worth_offered);
    encoder.f64(tally.worth_earned);
    encode_rungs(encoder, &tally.seconds_by_rung);
}

fn encode_span(encoder: &mut Encoder, span: &Span) {
    encoder.begin_output(3);
    encoder.u64(span.asked);
    encoder.u64(span.refused);
    encoder.f64(span.wanted);
    encoder.f64(span.got);
    encoder.f64(span.bound);
    encode_rungs(encoder, &span.rungs);
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
    encoder.f64(bounds.most);
    encoder.usize(bounds.at_rung.len());
    bounds.at_rung.iter().for_each(|worth| encoder.f64(*worth));
}
