//! Scripted days of several `shalewall direct` processes in an emulated platform, audited from the recorded socket
//! traffic.

use shalewall_audit::Rule;
use shalewall_test_harness::day::{Outcome, Plan, Trouble, play};
use shalewall_test_harness::lies::Lie;
use shalewall_test_harness::node::Mood;
use shalewall_test_harness::tape::broken;
use std::path::Path;

fn run_day(plan: &Plan) -> Outcome {
    let dir = tempfile::tempdir().unwrap();
    play(Path::new(env!("CARGO_BIN_EXE_shalewall")), dir.path(), plan)
        .unwrap_or_else(|e| panic!("the day could not be run: {e}"))
}

/// Nine directors and six nodes, with the faults of a bad quarter of an hour within eleven seconds.
#[test]
fn day_with_faults_breaks_no_rule() {
    use Trouble::*;
    let troubles = vec![
        (800, Turn(0, Mood::Errors)),
        (1_300, Kill(0)),
        (1_500, Turn(0, Mood::Well)),
        (1_600, Noise),
        (2_000, Start(0)),
        (2_200, Drain(1)),
        (2_800, Die(2)),
        (3_200, Gone(1)),
        (3_800, Back(2)),
        (4_300, Turn(3, Mood::Mute)),
        (5_500, Turn(3, Mood::Well)),
        (5_600, JournalAway(true)),
        (5_700, Kill(2)),
        (5_710, Kill(3)),
        (5_720, Kill(4)),
        (6_200, Turn(4, Mood::Garbled)),
        (6_500, Start(2)),
        (6_600, Start(3)),
        (6_700, Start(4)),
        (6_900, JournalAway(false)),
        (7_000, Turn(4, Mood::Resets)),
        (7_300, Noise),
        (7_600, Leave(1)),
        (9_200, Start(1)),
        (9_300, Turn(4, Mood::Full)),
        (9_800, Turn(4, Mood::Well)),
    ];
    let plan = Plan {
        directors: 9,
        nodes: 6,
        seconds: 11,
        seed: 1,
        lie: None,
        troubles,
    };
    let day = run_day(&plan);
    let at = |t: i64| (t - day.begun) / 1000;
    let findings: Vec<_> = day
        .verdict
        .findings
        .iter()
        .map(|f| (at(f.time.as_micros()), f.rule, &f.evidence))
        .collect();
    println!(
        "{} requests\n{}{findings:#?}{:#?}",
        day.asked, day.verdict, day.odd
    );
    assert!(
        day.verdict.holds() && day.odd.is_empty(),
        "{}{:#?}",
        day.verdict,
        day.odd
    );
    assert!(
        day.fallen.is_empty() && !day.logs.contains("panic"),
        "{:?}",
        day.fallen
    );
    assert!(
        day.asked > 300,
        "{} requests: nothing was tested",
        day.asked
    );
    for rule in Rule::ALL {
        assert!(
            day.verdict.coverage.contains_key(&rule),
            "{} was not tested",
            rule.name()
        );
    }
}

/// Runs a day with faulty directors and asserts that the audit detects the fault. `broken_rule` is `None` for a fault
/// that is detected by checks other than the six rules.
fn assert_detected(lie: Lie, broken_rule: Option<Rule>) {
    use Trouble::*;
    // These faults need more requests than a director accepts before its nodes have warmed up, 4 s after its start.
    let late = match lie {
        Lie::PushesCold | Lie::Wastes => 3_600,
        // An event that is not delivered counts as delivered 4 s later.
        Lie::IgnoresSilence => 5_000,
        _ => 0,
    };
    let hush = (lie == Lie::IgnoresSilence).then_some([
        (500, JournalHush),
        (600, Drain(0)),
        (610, Drain(3)),
    ]);
    let troubles = vec![
        (late + 700, Drain(1)),
        (late + 800, Die(2)),
        (late + 1_100, Back(2)),
    ];
    let favoured = match lie {
        Lie::IgnoresDrains => Some(1),
        Lie::PushesCold => Some(2),
        _ => None,
    };
    let favoured = favoured.map(|n| (late + 1_200, Favour(n)));
    // Nodes stop answering for a while, so that the shutdown meets requests in flight.
    let ends = lie == Lie::EndsAtOnce;
    let mute = (0..6)
        .filter(|_| ends)
        .map(|n| (1_500, Turn(n, Mood::Mute)));
    let told = (0..4).filter(|_| ends).map(|d| (1_900, Leave(d)));
    let troubles = hush
        .into_iter()
        .flatten()
        .chain(troubles)
        .chain(favoured)
        .chain(mute)
        .chain(told)
        .collect();
    let plan = Plan {
        directors: 4,
        nodes: 6,
        seconds: 4 + late / 1000,
        seed: 2,
        lie: Some(lie),
        troubles,
    };
    let day = run_day(&plan);
    let broken_rules = broken(&day.verdict);
    match broken_rule {
        Some(rule) => assert!(
            broken_rules.contains(&rule),
            "{lie:?} is not detected: {}{:#?}",
            day.verdict,
            day.odd
        ),
        None => assert!(
            !day.odd.is_empty(),
            "{lie:?} is not detected: {}",
            day.verdict
        ),
    }
}

#[test]
fn lost_and_repeated_answers_are_detected() {
    assert_detected(Lie::Loses, Some(Rule::OneAnswer));
    assert_detected(Lie::Twice, Some(Rule::OneAnswer));
}

#[test]
fn invented_answers_and_unreported_releases_are_detected() {
    assert_detected(Lie::MakesUp, None);
    assert_detected(Lie::KeepsReleases, None);
}

#[test]
fn duplicate_set_ups_and_rungs_below_the_floor_are_detected() {
    assert_detected(Lie::PaysTwice, Some(Rule::NoDuplicateSetUp));
    assert_detected(Lie::UnderFloor, Some(Rule::FloorsAndSeats));
}

#[test]
fn ignored_draining_and_slow_start_are_detected() {
    assert_detected(Lie::IgnoresDrains, Some(Rule::Draining));
    assert_detected(Lie::PushesCold, Some(Rule::SlowStart));
}

#[test]
fn requests_forwarded_for_disconnected_viewers_are_detected() {
    assert_detected(Lie::SendsForLeft, None);
}

#[test]
fn immediate_exit_on_shutdown_is_detected() {
    assert_detected(Lie::EndsAtOnce, Some(Rule::OneAnswer));
}

#[test]
fn ignored_silence_of_the_list_is_detected() {
    assert_detected(Lie::IgnoresSilence, Some(Rule::Draining));
}

/// The conditions of the two tests above with correct directors: all rules can be kept.
#[test]
fn silent_list_and_shutdown_with_requests_in_flight_break_no_rule() {
    use Trouble::*;
    let mute = (0..6).map(|n| (6_500, Turn(n, Mood::Mute)));
    let troubles = [(500, JournalHush), (700, Drain(1))]
        .into_iter()
        .chain(mute)
        .chain([(6_900, Leave(0))])
        .collect();
    let day = run_day(&Plan {
        directors: 4,
        nodes: 6,
        seconds: 9,
        seed: 3,
        lie: None,
        troubles,
    });
    assert!(
        day.verdict.holds() && day.odd.is_empty(),
        "{}{:#?}",
        day.verdict,
        day.odd
    );
    assert!(day.verdict.coverage.contains_key(&Rule::Draining) && day.asked > 50);
}

#[test]
fn wasted_attempts_are_detected() {
    assert_detected(Lie::Wastes, Some(Rule::RetryBudget));
}
