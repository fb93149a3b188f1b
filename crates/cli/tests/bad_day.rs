//! The bad day in short, and the other kinds of trouble, on real sockets and with each director a process of
//! its own.

use shalewall_audit::Rule;
use shalewall_scripted_days::{self as day, Summary};
use shalewall_settings::{DayPlan, read};
use std::path::Path;

fn holds(day: &str) -> Summary {
    let file = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../days")).join(day);
    let plan: DayPlan = read(&file).unwrap();
    let out = tempfile::tempdir().unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_shalewall"));
    let summary = day::run(&plan, program, out.path(), |_| {}).unwrap();
    assert!(summary.rules_hold, "{summary}");
    // A rule that was tested on nothing was not shown to hold.
    for (rule, least) in [
        ("one answer in time", 100),
        ("no set-up twice", 100),
        ("drains kept", 100),
    ] {
        assert!(summary.checks[rule] >= least, "{rule}: {summary}");
    }
    assert!(
        summary.checks["floors and seats kept"] > 0 && summary.all.played > 80,
        "{summary}"
    );
    // The recordings say the same when they are judged again.
    let verdict = day::audit(out.path()).unwrap();
    assert!(verdict.holds());
    for (tenant, tested) in &verdict.tenants {
        for rule in [
            Rule::OneAnswer,
            Rule::NoDuplicateSetUp,
            Rule::Draining,
            Rule::FloorsAndSeats,
        ] {
            let name = rule.name();
            assert!(tested[&rule].checks > 10, "{tenant}: {name}: {summary}");
        }
    }
    summary
}

#[test]
fn all_six_rules_hold_on_the_short_bad_day() {
    let summary = holds("short-bad-day.hcl");
    assert!(summary.all.worth > 0.2, "{summary}");
}

/// A hosted service under troubles, one tenant at ten times its share: the rules hold for each tenant by itself, and
/// the quiet one is hardly turned away.
#[test]
fn all_six_rules_hold_for_each_tenant_on_the_short_hosted_day() {
    let summary = holds("short-hosted-day.hcl");
    let (quiet, loud) = (&summary.tenants["quiet"], &summary.tenants["loud"]);
    assert!(
        loud.viewers_rejected_fraction > 0.5 && loud.requested > 1000,
        "the loud one has to be loud: {summary}"
    );
    assert!(
        quiet.viewers_unserved_fraction < 0.15 && quiet.worth > 2.0 * loud.worth,
        "{summary}"
    );
}

#[test]
fn all_six_rules_hold_on_the_short_rough_day() {
    let summary = holds("short-rough-day.hcl");
    assert!(summary.all.worth > 0.2, "{summary}");
}

/// Sessions are handed over on sockets while they play, under all six rules, and hardly a viewer sees it.
#[test]
fn sessions_are_handed_over_on_the_short_day_of_moves() {
    let summary = holds("short-moves.hcl");
    let migrations = summary.migrations.as_ref().expect("players follow");
    assert!(migrations.completed >= 20, "{summary}");
    assert_eq!(migrations.served_twice, 0, "{summary}");
    // Gaps on a machine that keeps players waiting say nothing of the front.
    assert!(
        migrations.gap_quantile(0.9).as_micros() <= 200_000 || summary.lag_ms > 100.0,
        "{summary}"
    );
}
