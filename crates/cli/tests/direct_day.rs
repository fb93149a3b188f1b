//! Scripted days of several `shalewall direct` processes in an emulated platform, audited from the recorded socket
//! traffic.

use shalewall_audit::Rule;
use shalewall_test_harness::day::{DayEvent, Outcome, Plan, play};
use shalewall_test_harness::faulty_director::DirectorFault;
use shalewall_test_harness::node::NodeBehavior;
use shalewall_test_harness::recorder::broken_rules;
use std::path::Path;

fn run_day(plan: &Plan) -> Outcome {
    let dir = tempfile::tempdir().unwrap();
    play(Path::new(env!("CARGO_BIN_EXE_shalewall")), dir.path(), plan)
        .unwrap_or_else(|e| panic!("the day could not be run: {e}"))
}

/// Nine directors and six nodes, with the faults of a bad quarter of an hour within eleven seconds.
#[test]
fn day_with_faults_breaks_no_rule() {
    use DayEvent::*;
    let events = vec![
        (800, SetNodeBehavior(0, NodeBehavior::FailsSetUps)),
        (1_300, KillDirector(0)),
        (1_500, SetNodeBehavior(0, NodeBehavior::Healthy)),
        (1_600, SendMalformedRequests),
        (2_000, StartDirector(0)),
        (2_200, DrainNode(1)),
        (2_800, KillNode(2)),
        (3_200, RemoveNode(1)),
        (3_800, RestartNode(2)),
        (4_300, SetNodeBehavior(3, NodeBehavior::Unresponsive)),
        (5_500, SetNodeBehavior(3, NodeBehavior::Healthy)),
        (5_600, SetJournalOutage(true)),
        (5_700, KillDirector(2)),
        (5_710, KillDirector(3)),
        (5_720, KillDirector(4)),
        (6_200, SetNodeBehavior(4, NodeBehavior::SendsMalformed)),
        (6_500, StartDirector(2)),
        (6_600, StartDirector(3)),
        (6_700, StartDirector(4)),
        (6_900, SetJournalOutage(false)),
        (7_000, SetNodeBehavior(4, NodeBehavior::ResetsConnections)),
        (7_300, SendMalformedRequests),
        (7_600, StopDirector(1)),
        (9_200, StartDirector(1)),
        (9_300, SetNodeBehavior(4, NodeBehavior::RejectsAll)),
        (9_800, SetNodeBehavior(4, NodeBehavior::Healthy)),
    ];
    let plan = Plan {
        directors: 9,
        nodes: 6,
        seconds: 11,
        seed: 1,
        fault: None,
        events,
    };
    let day = run_day(&plan);
    let at = |t: i64| (t - day.started_at) / 1000;
    let findings: Vec<_> = day
        .verdict
        .findings
        .iter()
        .map(|f| (at(f.time.as_micros()), f.rule, &f.evidence))
        .collect();
    println!(
        "{} requests\n{}{findings:#?}{:#?}",
        day.requests, day.verdict, day.violations
    );
    assert!(
        day.verdict.holds() && day.violations.is_empty(),
        "{}{:#?}",
        day.verdict,
        day.violations
    );
    assert!(
        day.failed_directors.is_empty() && !day.logs.contains("panic"),
        "{:?}",
        day.failed_directors
    );
    assert!(
        day.requests > 300,
        "{} requests: nothing was tested",
        day.requests
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
fn assert_detected(fault: DirectorFault, broken_rule: Option<Rule>) {
    use DayEvent::*;
    // These faults need more requests than a director accepts before its nodes have warmed up, 4 s after its start.
    let delay_ms = match fault {
        DirectorFault::OverloadsColdNode | DirectorFault::WastesAttempts => 3_600,
        // An event that is not delivered counts as delivered 4 s later.
        DirectorFault::IgnoresSilentJournal => 5_000,
        _ => 0,
    };
    let silent_journal = (fault == DirectorFault::IgnoresSilentJournal).then_some([
        (500, SilenceJournal),
        (600, DrainNode(0)),
        (610, DrainNode(3)),
    ]);
    let events = vec![
        (delay_ms + 700, DrainNode(1)),
        (delay_ms + 800, KillNode(2)),
        (delay_ms + 1_100, RestartNode(2)),
    ];
    let preferred_node = match fault {
        DirectorFault::IgnoresDraining => Some(1),
        DirectorFault::OverloadsColdNode => Some(2),
        _ => None,
    };
    let preferred_node = preferred_node.map(|n| (delay_ms + 1_200, SetPreferredNode(n)));
    // Nodes stop answering for a while, so that the shutdown meets requests in flight.
    let exits_immediately = fault == DirectorFault::ExitsImmediately;
    let unresponsive_nodes = (0..6)
        .filter(|_| exits_immediately)
        .map(|n| (1_500, SetNodeBehavior(n, NodeBehavior::Unresponsive)));
    let director_stops = (0..4)
        .filter(|_| exits_immediately)
        .map(|d| (1_900, StopDirector(d)));
    let events = silent_journal
        .into_iter()
        .flatten()
        .chain(events)
        .chain(preferred_node)
        .chain(unresponsive_nodes)
        .chain(director_stops)
        .collect();
    let plan = Plan {
        directors: 4,
        nodes: 6,
        seconds: 4 + delay_ms / 1000,
        seed: 2,
        fault: Some(fault),
        events,
    };
    let day = run_day(&plan);
    let detected = broken_rules(&day.verdict);
    match broken_rule {
        Some(rule) => assert!(
            detected.contains(&rule),
            "{fault:?} is not detected: {}{:#?}",
            day.verdict,
            day.violations
        ),
        None => assert!(
            !day.violations.is_empty(),
            "{fault:?} is not detected: {}",
            day.verdict
        ),
    }
}

#[test]
fn lost_and_repeated_answers_are_detected() {
    assert_detected(DirectorFault::DropsAnswers, Some(Rule::OneAnswer));
    assert_detected(DirectorFault::DuplicatesAnswers, Some(Rule::OneAnswer));
}

#[test]
fn invented_answers_and_unreported_releases_are_detected() {
    assert_detected(DirectorFault::FabricatesAnswers, None);
    assert_detected(DirectorFault::DropsReleases, None);
}

#[test]
fn duplicate_set_ups_and_rungs_below_the_floor_are_detected() {
    assert_detected(
        DirectorFault::DuplicatesPaidSetUps,
        Some(Rule::NoDuplicateSetUp),
    );
    assert_detected(DirectorFault::IgnoresRungFloor, Some(Rule::FloorsAndSeats));
}

#[test]
fn ignored_draining_and_slow_start_are_detected() {
    assert_detected(DirectorFault::IgnoresDraining, Some(Rule::Draining));
    assert_detected(DirectorFault::OverloadsColdNode, Some(Rule::SlowStart));
}

#[test]
fn requests_forwarded_for_disconnected_viewers_are_detected() {
    assert_detected(DirectorFault::ForwardsCancelledRequests, None);
}

#[test]
fn immediate_exit_on_shutdown_is_detected() {
    assert_detected(DirectorFault::ExitsImmediately, Some(Rule::OneAnswer));
}

#[test]
fn ignored_silence_of_the_list_is_detected() {
    assert_detected(DirectorFault::IgnoresSilentJournal, Some(Rule::Draining));
}

/// The conditions of the two tests above with correct directors: all rules can be kept.
#[test]
fn silent_list_and_shutdown_with_requests_in_flight_break_no_rule() {
    use DayEvent::*;
    let unresponsive_nodes =
        (0..6).map(|n| (6_500, SetNodeBehavior(n, NodeBehavior::Unresponsive)));
    let events = [(500, SilenceJournal), (700, DrainNode(1))]
        .into_iter()
        .chain(unresponsive_nodes)
        .chain([(6_900, StopDirector(0))])
        .collect();
    let day = run_day(&Plan {
        directors: 4,
        nodes: 6,
        seconds: 9,
        seed: 3,
        fault: None,
        events,
    });
    assert!(
        day.verdict.holds() && day.violations.is_empty(),
        "{}{:#?}",
        day.verdict,
        day.violations
    );
    assert!(day.verdict.coverage.contains_key(&Rule::Draining) && day.requests > 50);
}

#[test]
fn wasted_attempts_are_detected() {
    assert_detected(DirectorFault::WastesAttempts, Some(Rule::RetryBudget));
}
