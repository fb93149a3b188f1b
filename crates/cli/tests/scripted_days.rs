//! Short scripted days with all kinds of faults, on real sockets and with each director as its own process.

use shalewall_audit::Rule;
use shalewall_scripted_days::{self as day, Summary};
use shalewall_settings::{DayPlan, read};
use std::path::Path;

fn run_and_audit(day: &str) -> Summary {
    let file = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../days")).join(day);
    let plan: DayPlan = read(&file).unwrap();
    let out = tempfile::tempdir().unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_shalewall"));
    let summary = day::run(&plan, program, out.path(), |_| {}).unwrap();
    assert!(summary.rules_hold, "{summary}");
    // A rule without enough test cases has not been shown to hold.
    for (rule, min_checks) in [
        ("one answer in time", 100),
        ("no set-up twice", 100),
        ("drains kept", 100),
    ] {
        assert!(summary.checks[rule] >= min_checks, "{rule}: {summary}");
    }
    assert!(
        summary.checks["floors and seats kept"] > 0 && summary.all.played > 80,
        "{summary}"
    );
    // An audit of the recordings gives the same result.
    let verdict = day::audit(out.path()).unwrap();
    assert!(verdict.holds());
    for (tenant, checks) in &verdict.tenants {
        for rule in [
            Rule::OneAnswer,
            Rule::NoDuplicateSetUp,
            Rule::Draining,
            Rule::FloorsAndSeats,
        ] {
            let name = rule.name();
            assert!(checks[&rule].checks > 10, "{tenant}: {name}: {summary}");
        }
    }
    summary
}

#[test]
fn all_six_rules_hold_on_the_short_bad_day() {
    let summary = run_and_audit("short-bad-day.hcl");
    assert!(summary.all.worth > 0.2, "{summary}");
}

/// A hosted service with faults and one tenant at ten times its quota: the rules hold for each tenant separately, and few
/// requests of the other tenant are rejected.
#[test]
fn all_six_rules_hold_for_each_tenant_on_the_short_hosted_day() {
    let summary = run_and_audit("short-hosted-day.hcl");
    let (quiet, loud) = (&summary.tenants["quiet"], &summary.tenants["loud"]);
    assert!(
        loud.viewers_rejected_fraction > 0.5 && loud.requested > 1000,
        "tenant loud is not overloaded: {summary}"
    );
    assert!(
        quiet.viewers_unserved_fraction < 0.15 && quiet.worth > 2.0 * loud.worth,
        "{summary}"
    );
}

#[test]
fn all_six_rules_hold_on_the_short_rough_day() {
    let summary = run_and_audit("short-rough-day.hcl");
    assert!(summary.all.worth > 0.2, "{summary}");
}

/// Playing sessions are migrated on sockets. All six rules hold, and viewers see almost no gaps.
#[test]
fn sessions_migrate_on_the_short_day_of_moves() {
    let summary = run_and_audit("short-moves.hcl");
    let migrations = summary.migrations.as_ref().expect("players follow");
    assert!(migrations.completed >= 20, "{summary}");
    assert_eq!(migrations.served_twice, 0, "{summary}");
    // Gaps are not counted if the machine itself delayed the players.
    assert!(
        migrations.gap_quantile(0.9).as_micros() <= 200_000 || summary.lag_ms > 100.0,
        "{summary}"
    );
}
