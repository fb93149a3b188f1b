//! Days of several `shalewall direct` processes among stand-ins of the platform, judged from what passed on sockets.

use shalewall_audit::Rule;
use shalewall_test_harness::day::{Outcome, Plan, Trouble, play};
use shalewall_test_harness::lies::Lie;
use shalewall_test_harness::node::Mood;
use shalewall_test_harness::tape::broken;
use std::path::Path;

fn played(plan: &Plan) -> Outcome {
    let dir = tempfile::tempdir().unwrap();
    play(Path::new(env!("CARGO_BIN_EXE_shalewall")), dir.path(), plan)
        .unwrap_or_else(|e| panic!("the day could not be played: {e}"))
}

/// Nine directors, six nodes, and what a bad quarter of an hour brings, pressed into eleven seconds.
#[test]
fn a_day_of_troubles_breaks_no_rule() {
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
    let day = played(&plan);
    let at = |t: i64| (t - day.begun) / 1000;
    let found: Vec<_> = day
        .verdict
        .findings
        .iter()
        .map(|f| (at(f.time.as_micros()), f.rule, &f.evidence))
        .collect();
    println!(
        "{} requests\n{}{found:#?}{:#?}",
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

/// Wrong directors, each convicted of what it does; `None`: of what is judged beside the six rules.
fn convicted(lie: Lie, of: Option<Rule>) {
    use Trouble::*;
    // A director takes few requests until its nodes are warm for sure, 4 s after its start: too few for these.
    let late = match lie {
        Lie::PushesCold | Lie::Wastes => 3_600,
        // What is not told counts as told 4 s later.
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
    // Told to end with requests in flight: nodes answer nothing for a while.
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
    let day = played(&plan);
    let found = broken(&day.verdict);
    match of {
        Some(rule) => assert!(
            found.contains(&rule),
            "{lie:?} goes free: {}{:#?}",
            day.verdict,
            day.odd
        ),
        None => assert!(!day.odd.is_empty(), "{lie:?} goes free: {}", day.verdict),
    }
}

#[test]
fn who_loses_or_repeats_answers_is_convicted() {
    convicted(Lie::Loses, Some(Rule::OneAnswer));
    convicted(Lie::Twice, Some(Rule::OneAnswer));
}

#[test]
fn who_makes_answers_up_or_keeps_releases_is_convicted() {
    convicted(Lie::MakesUp, None);
    convicted(Lie::KeepsReleases, None);
}

#[test]
fn who_pays_twice_or_plays_under_the_floor_is_convicted() {
    convicted(Lie::PaysTwice, Some(Rule::NoDuplicateSetUp));
    convicted(Lie::UnderFloor, Some(Rule::FloorsAndSeats));
}

#[test]
fn who_ignores_drains_or_pushes_a_cold_node_is_convicted() {
    convicted(Lie::IgnoresDrains, Some(Rule::Draining));
    convicted(Lie::PushesCold, Some(Rule::SlowStart));
}

#[test]
fn who_sends_on_for_viewers_that_left_is_convicted() {
    convicted(Lie::SendsForLeft, None);
}

#[test]
fn who_ends_at_once_when_told_to_is_convicted() {
    convicted(Lie::EndsAtOnce, Some(Rule::OneAnswer));
}

#[test]
fn who_ignores_a_silent_list_is_convicted() {
    convicted(Lie::IgnoresSilence, Some(Rule::Draining));
}

/// The two days on which those are convicted, with right directors: what is judged there can be kept.
#[test]
fn a_silent_list_and_an_end_with_requests_in_flight_break_no_rule() {
    use Trouble::*;
    let mute = (0..6).map(|n| (6_500, Turn(n, Mood::Mute)));
    let troubles = [(500, JournalHush), (700, Drain(1))]
        .into_iter()
        .chain(mute)
        .chain([(6_900, Leave(0))])
        .collect();
    let day = played(&Plan {
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
fn who_wastes_attempts_is_convicted() {
    convicted(Lie::Wastes, Some(Rule::RetryBudget));
}
