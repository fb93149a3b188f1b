//! The bad day in short, and the other kinds of trouble, on real sockets and with each director a process of
//! its own.

use shalewall_front::day;
use shalewall_settings::{DayPlan, read};
use std::path::Path;

fn holds(day: &str) {
    let file = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../days")).join(day);
    let plan: DayPlan = read(&file).unwrap();
    let out = tempfile::tempdir().unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_shalewall"));
    let summary = day::run(&plan, program, out.path(), |_| {}).unwrap();
    assert!(summary.rules_hold, "{summary}");
    // A rule that was tested on nothing was not shown to hold.
    for (rule, least) in [("one answer in time", 100), ("no set-up twice", 100), ("drains kept", 100)] {
        assert!(summary.tested[rule] >= least, "{rule}: {summary}");
    }
    assert!(summary.tested["floors and seats kept"] > 0 && summary.all.plays > 80, "{summary}");
    assert!(summary.all.worth > 0.2, "{summary}");
    // The recordings say the same when they are judged again.
    assert!(day::audit(out.path()).unwrap().holds());
}

#[test]
fn all_six_rules_hold_on_the_short_bad_day() {
    holds("short-bad-day.hcl");
}

#[test]
fn all_six_rules_hold_on_the_short_rough_day() {
    holds("short-rough-day.hcl");
}
