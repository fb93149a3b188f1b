//! Scenes in simulated time: what they have to show, and that they are the same each time.

use shalewall_lab::scenes::{Scene, all};
use shalewall_lab::world::{Policy, Report, run};
use shalewall_settings::{DayPlan, Trouble, TroubleKind};
use std::path::Path;

fn base() -> DayPlan {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/fill-2.hcl");
    shalewall_settings::read(&file).expect("the plan of the scenes")
}

fn scene(name: &str) -> Scene {
    all(&base()).into_iter().find(|s| s.name == name).expect("a scene of that name")
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
    let (module, plain) = (run(&plan, Policy::Module).unwrap(), run(&plan, Policy::Plain).unwrap());
    assert_eq!(module.count.people, plain.count.people);
    assert_eq!(module.bounds, plain.bounds);
}

#[test]
fn nothing_gets_above_the_bound() {
    for name in ["fill-2", "tripled", "hot", "peeks"] {
        let report = report(name);
        assert!(report.count.got <= report.bounds.most * 1.01, "{name}: true rates stray a little");
        assert!(report.bounds.best_rung().1 <= report.bounds.most);
        assert!(report.count.played_s > 1000.0, "{name}: it has to be played");
    }
}

#[test]
fn a_trouble_that_cannot_be_played_is_an_error() {
    let mut plan = base();
    plan.trouble.insert("frozen".into(), Trouble::new(TroubleKind::Hang, 1.0, 1.0));
    assert!(run(&plan, Policy::Module).unwrap_err().contains("frozen"));
}
