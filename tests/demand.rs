//! The demand of current and expected viewers, and the rungs that are given for it.

mod common;

use common::{
    AT_MOST_ONCE, DirectorHarness, IDEMPOTENT, MILLISECOND, SECOND, attempted_server, chosen_rung,
    endpoint, is_rejected, settings, viewer_request,
};
use shalewall::{
    Action, Director, EndpointUpdate, Event, Notification, Outcome, Request, ServerId, Settings,
    TimeDelta, Timestamp,
};
use std::collections::BTreeMap;

#[test]
fn demand_that_would_overfill_the_fleet_lowers_the_rungs_given() {
    let mut settings = settings();
    settings.classes[IDEMPOTENT].session_limit_per_title = 0;
    let first =
        chosen_rung(&DirectorHarness::new(settings.clone(), 4).request_session(1, IDEMPOTENT));
    let mut harness = DirectorHarness::new(settings, 4);
    for id in 1..=60 {
        harness.transfer(id, IDEMPOTENT, ServerId(1 + id % 4));
    }
    assert_eq!(first, Some(4));
    assert!(chosen_rung(&harness.request_session(100, IDEMPOTENT)).is_some_and(|r| r < 4));
}

#[test]
fn under_demand_the_class_with_more_utility_for_its_rate_gets_the_higher_rung() {
    let mut settings = settings();
    settings.classes[AT_MOST_ONCE].session_limit_per_title = 0;
    settings.classes[AT_MOST_ONCE].lowest_rung = 0;
    let given = |class| {
        let mut harness = DirectorHarness {
            director: Director::new(1, settings.clone(), Timestamp::ZERO),
            now: Timestamp::ZERO,
        };
        harness.update_endpoints(EndpointUpdate::Full, (1..=4).map(endpoint).collect());
        for id in 1..=60 {
            harness.transfer(id, (id % 2) as usize, ServerId(1 + id % 4));
        }
        harness.advance(20 * SECOND);
        chosen_rung(&harness.request_session(100, class)).unwrap()
    };
    assert!(
        given(AT_MOST_ONCE) > given(IDEMPOTENT),
        "{} and {}",
        given(AT_MOST_ONCE),
        given(IDEMPOTENT)
    );
}

#[test]
fn a_burst_not_yet_reported_lowers_the_rungs_given() {
    // Twice as many viewers within a second were set up at unchanged rungs, since no report showed them yet.
    let given = |crowd: u64| {
        let mut settings = Settings {
            director_count: 10,
            ..settings()
        };
        settings.classes[IDEMPOTENT].session_limit_per_title = 0;
        let mut harness = DirectorHarness {
            director: Director::new(1, settings, Timestamp::ZERO),
            now: Timestamp::ZERO,
        };
        harness.update_endpoints(EndpointUpdate::Full, (1..=4).map(endpoint).collect());
        for id in 1..=6 {
            harness.transfer(id, IDEMPOTENT, ServerId(1 + id % 4));
        }
        harness.advance(20 * SECOND);
        for id in 1..=4 {
            harness.report_utilization(id, ServerId(id), 0.3, 0.3);
        }
        (100..100 + crowd).for_each(|id| drop(harness.request_session(id, IDEMPOTENT)));
        harness.notify(99, ServerId(1), Notification::LinkUtilization(0.3));
        chosen_rung(&harness.request_session(1000, IDEMPOTENT))
    };
    assert!(given(8) < given(0), "{:?} and {:?}", given(8), given(0));
}

/// Capacity of the only link in [`rungs_on_idle_link`].
const LINK_KB_S: f64 = 30_000.0;

/// The rungs given to one viewer per second, starting with an idle link that can carry 14 sessions at the top rung.
/// Viewers have the duration hint `hint` and leave after `stay_s` seconds.
fn rungs_on_idle_link(hint: TimeDelta, stay_s: u64, is_retry: bool, viewers: u64) -> Vec<usize> {
    let mut settings = settings();
    settings.rack_count = 0;
    settings.rack_uplink_kb_s = 0.0;
    settings.link_kb_s_per_weight = LINK_KB_S;
    let ladder = settings.ladder.clone();
    let mut harness = DirectorHarness::new(settings, 1);
    let mut given = Vec::new();
    let mut rungs_by_session = BTreeMap::new();
    for id in 1..=viewers {
        harness.advance(SECOND);
        let request = Request {
            duration_hint: Some(hint),
            is_retry,
            ..viewer_request(id, IDEMPOTENT, harness.now)
        };
        let out = harness.handle(Event::RequestReceived(request));
        assert!(!is_rejected(&out), "viewer {id}");
        for action in &out {
            if let Action::SetRung { session, rung } = action {
                rungs_by_session.insert(session.0, *rung);
            }
        }
        given.push(rungs_by_session[&id]);
        harness.start_session(id, 0, ServerId(1));
        if id > stay_s {
            harness.finish_attempt(id - stay_s, 0, ServerId(1), Outcome::Success);
            rungs_by_session.remove(&(id - stay_s));
        }
        let requested_kb_s: f64 = rungs_by_session
            .values()
            .map(|rung| ladder[*rung].rate_kb_s)
            .sum();
        let utilization = requested_kb_s / LINK_KB_S;
        harness.notify(id, ServerId(1), Notification::LinkUtilization(utilization));
    }
    given
}

#[test]
fn a_filling_fleet_leaves_capacity_for_expected_arrivals() {
    // One viewer per second for two minutes each results in 120 concurrent sessions.
    let long = rungs_on_idle_link(120 * SECOND, 120, false, 40);
    assert_eq!(long[..3], [4; 3], "a few viewers are not extrapolated");
    assert!(long[13..].iter().all(|r| *r < 4), "{long:?}");
    // With five seconds each there are only five concurrent sessions, and all may have the top rung.
    assert_eq!(rungs_on_idle_link(5 * SECOND, 5, false, 40), [4; 40]);
}

#[test]
fn returning_viewers_do_not_count_as_new_demand() {
    let count_top_rungs = |is_retry| {
        rungs_on_idle_link(120 * SECOND, 120, is_retry, 40)
            .iter()
            .filter(|r| **r == 4)
            .count()
    };
    assert!(
        count_top_rungs(true) > count_top_rungs(false),
        "{} against {}",
        count_top_rungs(true),
        count_top_rungs(false)
    );
}

#[test]
fn wrong_duration_hints_are_corrected_by_observed_durations() {
    // Sessions last 10 s with hints of 100 s. The hints are trusted at first, and corrected once sessions have ended.
    let rung_sum = |hint, from: usize| {
        let rungs = rungs_on_idle_link(hint, 10, false, 120);
        rungs[from..from + 20].iter().sum::<usize>()
    };
    assert!(
        rung_sum(100 * SECOND, 15) + 3 <= rung_sum(10 * SECOND, 15),
        "{} {}",
        rung_sum(100 * SECOND, 15),
        rung_sum(10 * SECOND, 15)
    );
    assert!(
        rung_sum(100 * SECOND, 90) + 10 >= rung_sum(10 * SECOND, 90),
        "{} {}",
        rung_sum(100 * SECOND, 90),
        rung_sum(10 * SECOND, 90)
    );
}

/// During a rolling restart, a director that has just restarted gets the viewers of the next one. When growth was
/// estimated as a ratio to its own earlier sessions, of which it had none, it overestimated the fleet's load hundreds
/// of times and gave all viewers the lowest rung.
#[test]
fn a_burst_at_a_restarted_director_does_not_overestimate_the_load() {
    let mut settings = settings();
    settings.director_count = 2;
    settings.rules.warm_up = TimeDelta::ZERO;
    settings.rack_uplink_kb_s = 200_000.0;
    settings.link_kb_s_per_weight = 100_000.0;
    let mut harness = DirectorHarness {
        director: Director::new(1, settings, Timestamp::ZERO + 60 * SECOND),
        now: Timestamp::ZERO + 60 * SECOND,
    };
    harness.update_endpoints(EndpointUpdate::Full, (1..=4).map(endpoint).collect());
    harness.now += SECOND;
    for id in 1..=40 {
        harness.now += 10 * MILLISECOND;
        let server = attempted_server(&harness.request_session(id, IDEMPOTENT)).unwrap();
        harness.start_session(id, 0, server);
        harness.report_utilization(id, server, 0.2, 0.2); // The load of both directors' viewers.
    }
    assert!(chosen_rung(&harness.request_session(99, IDEMPOTENT)) >= Some(3));
}
