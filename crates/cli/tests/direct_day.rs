//! Days of several `shalewall direct` processes among stand-ins of the platform, judged from what passed on sockets.

use shalewall_audit::Rule;
use shalewall_test_harness::day::{DayEvent, Outcome, Plan, play};
use shalewall_test_harness::faulty_director::DirectorFault;
use shalewall_test_harness::node::NodeBehavior;
use shalewall_test_harness::recorder::broken_rules;
use std::path::Path;

fn played(plan: &Plan) -> Outcome {
    let dir = tempfile::tempdir().unwrap();
    play(Path::new(env!("CARGO_BIN_EXE_shalewall")), dir.path(), plan)
        .unwrap_or_else(|e| panic!("the day could not be played: {e}"))
}

/// Nine directors, six nodes, and what a bad quarter of an hour brings, pressed into eleven seconds.
#[test]
fn a_day_of_troubles_breaks_no_rule() {
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
    let day = played(&plan);
    let at = |t: i64| (t - day.started_at) / 1000;
    let found: Vec<_> = day
        .verdict
        .findings
        .iter()
        .map(|f| (at(f.time.as_micros()), f.rule, &f.evidence))
        .collect();
    println!(
        "{} requests\n{}{found:#?}{:#?}",
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

/// Wrong directors, each convicted of what it does; `None`: of what is judged beside the six rules.
fn convicted(fault: DirectorFault, of: Option<Rule>) {
    use DayEvent::*;
    // A director takes few requests until its nodes are warm for sure, 4 s after its start: too few for these.
    let late = match fault {
        DirectorFault::OverloadsColdNode | DirectorFault::WastesAttempts => 3_600,
        // What is not told counts as told 4 s later.
        DirectorFault::IgnoresSilentJournal => 5_000,
        _ => 0,
    };
    let hush = (fault == DirectorFault::IgnoresSilentJournal).then_some([
        (500, SilenceJournal),
        (600, DrainNode(0)),
        (610, DrainNode(3)),
    ]);
    let events = vec![
        (late + 700, DrainNode(1)),
        (late + 800, KillNode(2)),
        (late + 1_100, RestartNode(2)),
    ];
    let preferred_node = match fault {
        DirectorFault::IgnoresDraining => Some(1),
        DirectorFault::OverloadsColdNode => Some(2),
        _ => None,
    };
    let preferred_node = preferred_node.map(|n| (late + 1_200, SetPreferredNode(n)));
    // Told to end with requests in flight: nodes answer nothing for a while.
    let ends = fault == DirectorFault::ExitsImmediately;
    let mute = (0..6)
        .filter(|_| ends)
        .map(|n| (1_500, SetNodeBehavior(n, NodeBehavior::Unresponsive)));
    let told = (0..4).filter(|_| ends).map(|d| (1_900, StopDirector(d)));
    let events = hush
        .into_iter()
        .flatten()
        .chain(events)
        .chain(preferred_node)
        .chain(mute)
        .chain(told)
        .collect();
    let plan = Plan {
        directors: 4,
        nodes: 6,
        seconds: 4 + late / 1000,
        seed: 2,
        fault: Some(fault),
        events,
    };
    let day = played(&plan);
    let found = broken_rules(&day.verdict);
    match of {
        Some(rule) => assert!(
            found.contains(&rule),
            "{fault:?} goes free: {}{:#?}",
            day.verdict,
            day.violations
        ),
        None => assert!(
            !day.violations.is_empty(),
            "{fault:?} goes free: {}",
            day.verdict
        ),
    }
}

#[test]
fn who_loses_or_repeats_answers_is_convicted() {
    convicted(DirectorFault::DropsAnswers, Some(Rule::OneAnswer));
    convicted(DirectorFault::DuplicatesAnswers, Some(Rule::OneAnswer));
}

#[test]
fn who_makes_answers_up_or_keeps_releases_is_convicted() {
    convicted(DirectorFault::FabricatesAnswers, None);
    convicted(DirectorFault::DropsReleases, None);
}

#[test]
fn who_pays_twice_or_plays_under_the_floor_is_convicted() {
    convicted(
        DirectorFault::DuplicatesPaidSetUps,
        Some(Rule::NoDuplicateSetUp),
    );
    convicted(DirectorFault::IgnoresRungFloor, Some(Rule::FloorsAndSeats));
}

#[test]
fn who_ignores_drains_or_pushes_a_cold_node_is_convicted() {
    convicted(DirectorFault::IgnoresDraining, Some(Rule::Draining));
    convicted(DirectorFault::OverloadsColdNode, Some(Rule::SlowStart));
}

#[test]
fn who_sends_on_for_viewers_that_left_is_convicted() {
    convicted(DirectorFault::ForwardsCancelledRequests, None);
}

#[test]
fn who_ends_at_once_when_told_to_is_convicted() {
    convicted(DirectorFault::ExitsImmediately, Some(Rule::OneAnswer));
}

#[test]
fn who_ignores_a_silent_list_is_convicted() {
    convicted(DirectorFault::IgnoresSilentJournal, Some(Rule::Draining));
}

/// The two days on which those are convicted, with right directors: what is judged there can be kept.
#[test]
fn a_silent_list_and_an_end_with_requests_in_flight_break_no_rule() {
    use DayEvent::*;
    let mute = (0..6).map(|n| (6_500, SetNodeBehavior(n, NodeBehavior::Unresponsive)));
    let events = [(500, SilenceJournal), (700, DrainNode(1))]
        .into_iter()
        .chain(mute)
        .chain([(6_900, StopDirector(0))])
        .collect();
    let day = played(&Plan {
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
fn who_wastes_attempts_is_convicted() {
    convicted(DirectorFault::WastesAttempts, Some(Rule::RetryBudget));
}
