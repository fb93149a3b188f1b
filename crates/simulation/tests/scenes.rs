//! Scenes in simulated time: what they have to show, and that they are the same each time.

use shalewall_settings::{DayPlan, Fault, FaultKind};
use shalewall_simulation::scenes::{Scene, all};
use shalewall_simulation::world::{Policy, Report, run};
use std::path::Path;

fn base() -> DayPlan {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/fill-2.hcl");
    shalewall_settings::read(&file).expect("the plan of the scenes")
}

fn scene(name: &str) -> Scene {
    all(&base())
        .into_iter()
        .find(|s| s.name == name)
        .expect("a scene of that name")
}

fn report(name: &str) -> Report {
    run(&scene(name).plan, Policy::Module).expect("a scene that can be played")
}

#[test]
fn the_same_plan_gives_the_same_figures() {
    assert_eq!(report("fill-2"), report("fill-2"));
    assert_eq!(report("directors"), report("directors"));
}

#[test]
fn who_comes_does_not_hang_on_who_decides() {
    let plan = scene("half").plan;
    let (module, plain) = (
        run(&plan, Policy::Module).unwrap(),
        run(&plan, Policy::Plain).unwrap(),
    );
    assert_eq!(
        module.count.tallies.all.viewers,
        plain.count.tallies.all.viewers
    );
    assert_eq!(module.bounds, plain.bounds);
}

#[test]
fn nothing_gets_above_the_bound() {
    for name in ["fill-2", "tripled", "hot", "peeks"] {
        let report = report(name);
        assert!(
            report.count.tallies.all.worth_earned <= report.bounds.most * 1.01,
            "{name}: true rates stray a little"
        );
        assert!(report.bounds.best_rung().1 <= report.bounds.most);
        assert!(
            report.count.tallies.all.played_s() > 1000.0,
            "{name}: it has to be played"
        );
    }
}

#[test]
fn a_trouble_that_cannot_be_played_is_an_error() {
    let mut plan = base();
    plan.faults
        .insert("frozen".into(), Fault::new(FaultKind::Hang, 1.0, 1.0));
    assert!(run(&plan, Policy::Module).unwrap_err().contains("frozen"));
}

/// Refused at most, worth at least: a little under what it has come to, far above what it was.
#[track_caller]
fn comes_to(name: &str, refused: f64, worth: f64) -> Report {
    let report = report(name);
    let count = &report.count;
    assert!(
        count.tallies.all.rejected_fraction() <= refused,
        "{name}: {} refused",
        count.tallies.all.rejected_fraction()
    );
    assert!(
        count.tallies.all.worth() >= worth,
        "{name}: worth {}",
        count.tallies.all.worth()
    );
    assert!(
        count.tallies.all.rung_changes_per_minute() < 1.0,
        "{name}: {} steps a session-minute",
        count.tallies.all.rung_changes_per_minute()
    );
    assert_eq!(count.fell, 0, "{name}: a node was pushed over");
    report
}

#[test]
fn a_fleet_that_fills_from_empty_serves_nearly_everyone() {
    // 45% and 53% refused, worth 0.54 and 0.40, before demand to come and room made.
    comes_to("fill-2", 0.04, 0.69);
    comes_to("fill-3", 0.08, 0.59);
    comes_to("empty-1", 0.04, 0.65);
}

#[test]
fn half_an_hour_long_sessions_make_no_blackout_of_half_an_hour() {
    comes_to("long-1", 0.02, 0.65); // 41%, 0.49
    comes_to("tripled-long", 0.03, 0.58); // 43%, 0.50
}

#[test]
fn rungs_come_back_within_two_minutes_after_the_load_has_fallen() {
    let report = comes_to("falls", 0.1, 0.5);
    // Twice the load to 150 s, a third of it from then on.
    let spans = &report.count.spans;
    let low = |i: usize| {
        let rungs = &spans[i].rungs;
        rungs.get(&0).copied().unwrap_or(0.0) / rungs.values().sum::<f64>()
    };
    assert!(
        low(14) > 0.3,
        "the crowd has to press rungs down: {}",
        low(14)
    );
    assert!(
        low(26) < 0.05 && spans[26].got > 0.85 * spans[26].bound,
        "{}",
        low(26)
    );
}

#[test]
fn short_visits_lies_and_swings_do_no_lasting_harm() {
    comes_to("swing", 0.05, 0.62);
    comes_to("hints-10", 0.08, 0.52);
    comes_to("hints-0.1", 0.06, 0.52);
    comes_to("no-hints", 0.09, 0.52);
    // A crowd of visits of 5 s: the sessions of a minute keep their worth.
    let peeks = report("peeks");
    assert!(
        peeks.count.tallies.all.worth() > 0.6,
        "{}",
        peeks.count.tallies.all.worth()
    );
}

#[test]
fn a_tenant_ten_times_above_its_share_leaves_a_quiet_one_nearly_all_of_its_own() {
    let quiet = |name: &str| report(name).count.tallies.tenants["quiet"].clone();
    let (alone, beside, shareless) = (
        quiet("quiet-alone"),
        quiet("quiet-beside"),
        quiet("quiet-shareless"),
    );
    // The same viewers come, whoever else does.
    assert_eq!(
        (alone.viewers, alone.worth_offered),
        (beside.viewers, beside.worth_offered)
    );
    assert!(alone.worth() > 0.98, "{}", alone.worth());
    // By itself the fleet would be the loud one's: one in two of the quiet one's viewers never got to watch.
    assert!(
        shareless.worth() < 0.4,
        "the loud one has to be felt: {}",
        shareless.worth()
    );
    assert!(
        beside.worth() > 0.85 && beside.unserved_fraction() < 0.05,
        "{}",
        beside.worth()
    );
    // What nobody else wants is the loud one's, but for a little.
    let loud = |name: &str| report(name).count.tallies.tenants["loud"].clone();
    let (with, without) = (loud("loud-alone"), loud("loud-shareless"));
    assert!(
        with.worth() > 0.9 * without.worth(),
        "{} of {}",
        with.worth(),
        without.worth()
    );
}
