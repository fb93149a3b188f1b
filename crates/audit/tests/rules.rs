//! Tests for each rule: a recording that violates only this rule, and one that stays just within its limit.

use shalewall_audit::{
    ClassRule, Placement, Record, RetryBudget, Rule, Rules, SetUpOutcome, TimeDelta, Timestamp,
    judge,
};
use std::collections::BTreeMap;

/// One second in microseconds.
const SECOND_US: i64 = 1_000_000;

fn at(micros: i64) -> Timestamp {
    Timestamp::from_micros(micros)
}

fn rules() -> Rules {
    let class = |paid, floor, seats| ClassRule { paid, floor, seats };
    Rules {
        classes: BTreeMap::from([
            ("open".to_string(), class(false, 0, 0)),
            ("paid".to_string(), class(true, 1, 2)),
        ]),
        tenants: BTreeMap::from([(
            "own".to_string(),
            BTreeMap::from([("open".to_string(), class(true, 0, 1))]),
        )]),
        drain_within: TimeDelta::from_micros(SECOND_US / 4),
        answer_slack: TimeDelta::from_micros(SECOND_US / 20),
        warm_after: TimeDelta::from_secs(10),
        start_capacity: 0.4,
        overload_factor: 2.0,
        overload_window: TimeDelta::from_secs(2),
        retry_budget: Some(RetryBudget {
            free: 1.0,
            per_request: 0.5,
            window: TimeDelta::from_secs(10),
        }),
        transit: TimeDelta::from_micros(SECOND_US / 20),
        cells: 4,
        titles: BTreeMap::from([("t".to_string(), Placement { home: 0, spread: 4 })]),
    }
}

fn set_up(t: i64, session: u64, attempt: u32, class: &str) -> Record {
    tenant_set_up(t, session, attempt, class, None)
}

fn tenant_set_up(t: i64, session: u64, attempt: u32, class: &str, tenant: Option<&str>) -> Record {
    let (class, title, tenant) = (
        class.to_string(),
        "t".to_string(),
        tenant.map(str::to_string),
    );
    Record::SetUpReceived {
        time: at(t),
        node: 1,
        director: 0,
        session,
        attempt,
        tenant,
        class,
        title,
        rung: 1,
    }
}

fn set_up_finished(t: i64, session: u64, attempt: u32, outcome: SetUpOutcome) -> Record {
    Record::SetUpFinished {
        time: at(t),
        node: 1,
        session,
        attempt,
        outcome,
    }
}

fn request_sent(t: i64, request: u64, class: &str) -> Record {
    let (key, class, title) = (format!("v{request}"), class.to_string(), "t".to_string());
    Record::RequestSent {
        time: at(t),
        director: 0,
        request,
        key,
        tenant: None,
        class,
        title,
        timeout: TimeDelta::from_micros(2 * SECOND_US),
    }
}

fn request_answered(t: i64, request: u64, status: u16, session: u64) -> Record {
    Record::RequestAnswered {
        time: at(t),
        request,
        status,
        session: Some(session),
    }
}

fn notified(t: i64, standing: &str, node_started: Option<i64>) -> Record {
    Record::EndpointNotified {
        time: at(t),
        director: 0,
        node: 1,
        standing: standing.to_string(),
        node_started: node_started.map(at),
    }
}

#[track_caller]
fn assert_violation(mut records: Vec<Record>, rule: Option<Rule>) {
    records.sort_by_key(Record::time);
    let verdict = judge(&records, &rules());
    let found: Vec<Rule> = verdict.findings.iter().map(|f| f.rule).collect();
    assert!(
        found.iter().all(|f| Some(*f) == rule) && found.is_empty() == rule.is_none(),
        "{verdict}"
    );
}

#[test]
fn every_request_has_one_answer_in_time() {
    let tolerance = SECOND_US / 20 + SECOND_US / 20;
    assert_violation(
        vec![
            request_sent(0, 1, "open"),
            request_answered(2 * SECOND_US + tolerance, 1, 201, 1),
        ],
        None,
    );
    assert_violation(
        vec![
            request_sent(0, 1, "open"),
            request_answered(2 * SECOND_US + tolerance + 1, 1, 201, 1),
        ],
        Some(Rule::OneAnswer),
    );
    let twice = vec![
        request_sent(0, 1, "open"),
        request_answered(SECOND_US, 1, 201, 1),
        request_answered(SECOND_US, 1, 503, 1),
    ];
    assert_violation(twice, Some(Rule::OneAnswer));
    assert_violation(
        vec![
            request_sent(0, 1, "open"),
            request_sent(9 * SECOND_US, 2, "open"),
        ],
        Some(Rule::OneAnswer),
    );
    assert_violation(
        vec![
            request_sent(0, 1, "open"),
            Record::RequestUnanswered {
                time: at(SECOND_US),
                request: 1,
            },
        ],
        Some(Rule::OneAnswer),
    );
    // A killed director owes no response; a suspended one may respond later.
    let killed = Record::DirectorKilled {
        time: at(SECOND_US),
        director: 0,
    };
    assert_violation(
        vec![
            request_sent(0, 1, "open"),
            killed,
            Record::RequestUnanswered {
                time: at(SECOND_US),
                request: 1,
            },
        ],
        None,
    );
    let stalled = Record::DirectorStalled {
        time: at(SECOND_US),
        director: 0,
        until: at(3 * SECOND_US),
    };
    assert_violation(
        vec![
            request_sent(0, 1, "open"),
            stalled,
            request_answered(3 * SECOND_US, 1, 504, 1),
        ],
        None,
    );
}

#[test]
fn no_paid_set_up_is_executed_twice() {
    for outcome in [
        SetUpOutcome::Playing,
        SetUpOutcome::Abandoned,
        SetUpOutcome::Cancelled,
    ] {
        let retried = vec![
            set_up(0, 1, 0, "paid"),
            set_up_finished(SECOND_US, 1, 0, outcome),
            set_up(2 * SECOND_US, 1, 1, "paid"),
        ];
        assert_violation(retried, Some(Rule::NoDuplicateSetUp));
    }
    let retry_after_rejection = vec![
        set_up(0, 1, 0, "paid"),
        set_up_finished(SECOND_US, 1, 0, SetUpOutcome::Rejected),
        set_up(2 * SECOND_US, 1, 1, "paid"),
    ];
    assert_violation(retry_after_rejection, None);
    let idempotent_retry = vec![
        set_up(0, 1, 0, "open"),
        set_up_finished(SECOND_US, 1, 0, SetUpOutcome::Abandoned),
        set_up(2 * SECOND_US, 1, 1, "open"),
    ];
    assert_violation(idempotent_retry, None);
    assert_violation(
        vec![set_up(0, 1, 0, "open"), set_up(SECOND_US, 1, 1, "open")],
        Some(Rule::NoDuplicateSetUp),
    );
    let partial_request = Record::PartialRequest {
        time: at(0),
        node: 1,
        bytes: 30,
        session: Some(1),
        attempt: Some(0),
    };
    assert_violation(
        vec![partial_request.clone(), set_up(SECOND_US, 1, 1, "paid")],
        Some(Rule::NoDuplicateSetUp),
    );
    assert_violation(vec![partial_request, set_up(SECOND_US, 1, 1, "open")], None);
    // A rejection states that the set-up was not executed.
    let rejected = |outcome| {
        vec![
            request_sent(0, 1, "paid"),
            set_up(SECOND_US / 2, 7, 0, "paid"),
            set_up_finished(SECOND_US, 7, 0, outcome),
            request_answered(SECOND_US, 1, 503, 7),
        ]
    };
    assert_violation(rejected(SetUpOutcome::Rejected), None);
    assert_violation(
        rejected(SetUpOutcome::Abandoned),
        Some(Rule::NoDuplicateSetUp),
    );
}

#[test]
fn nothing_new_is_sent_to_draining_nodes() {
    let within = SECOND_US / 4 + SECOND_US / 20;
    assert_violation(
        vec![
            notified(SECOND_US, "draining", None),
            set_up(SECOND_US + within, 1, 0, "open"),
        ],
        None,
    );
    assert_violation(
        vec![
            notified(SECOND_US, "draining", None),
            set_up(SECOND_US + within + 1, 1, 0, "open"),
        ],
        Some(Rule::Draining),
    );
    assert_violation(
        vec![
            notified(SECOND_US, "gone", None),
            set_up(3 * SECOND_US, 1, 0, "open"),
        ],
        Some(Rule::Draining),
    );
    assert_violation(
        vec![
            notified(SECOND_US, "gone", None),
            notified(2 * SECOND_US, "ready", None),
            set_up(3 * SECOND_US, 1, 0, "open"),
        ],
        None,
    );
    // A repeated notification of the same drain does not restart the grace period.
    let twice = vec![
        notified(SECOND_US, "draining", None),
        notified(2 * SECOND_US, "draining", None),
        set_up(2 * SECOND_US, 1, 0, "open"),
    ];
    assert_violation(twice, Some(Rule::Draining));
}

#[test]
fn nodes_that_warm_up_are_not_overloaded() {
    // 10 streams over 10 s of warm-up at capacity 0.4, times the overload factor 2 over a window of 2 s: 1.6 set-ups,
    // plus a slack of 2.
    let with_set_ups = |n: u64, knew: bool| {
        let mut records = vec![Record::NodeStarted {
            time: at(0),
            node: 1,
            places: 10.0,
            warm: false,
            cell: None,
        }];
        records.extend(knew.then(|| notified(1, "ready", Some(0))));
        records.extend((0..n).map(|i| set_up(1000 + i as i64, i, 0, "open")));
        records
    };
    assert_violation(with_set_ups(3, true), None);
    assert_violation(with_set_ups(4, true), Some(Rule::SlowStart));
    assert_violation(with_set_ups(4, false), None);
    let mut overloaded = with_set_ups(3, true);
    overloaded.push(Record::NodeStopped {
        time: at(5000),
        node: 1,
        overloaded: true,
    });
    assert_violation(overloaded, Some(Rule::SlowStart));
}

#[test]
fn floors_and_seats_hold() {
    let mut below_floor = set_up(0, 1, 0, "paid");
    if let Record::SetUpReceived { rung, .. } = &mut below_floor {
        *rung = 0;
    }
    assert_violation(vec![below_floor], Some(Rule::FloorsAndSeats));
    let rung_change = Record::RungChanged {
        time: at(SECOND_US),
        node: 1,
        session: 1,
        rung: 0,
    };
    assert_violation(
        vec![
            set_up(0, 1, 0, "paid"),
            set_up_finished(1, 1, 0, SetUpOutcome::Playing),
            rung_change,
        ],
        Some(Rule::FloorsAndSeats),
    );
    let seats = |n: u64| {
        (0..n)
            .map(|i| set_up(i as i64, i, 0, "paid"))
            .collect::<Vec<_>>()
    };
    assert_violation(seats(2), None);
    assert_violation(seats(3), Some(Rule::FloorsAndSeats));
    let mut freed = seats(2);
    freed.push(set_up_finished(10, 0, 0, SetUpOutcome::Playing));
    freed.push(Record::SessionEnded {
        time: at(20),
        node: 1,
        session: 0,
        attempt: 0,
    });
    freed.push(set_up(30, 9, 0, "paid"));
    assert_violation(freed, None);
}

#[test]
fn retries_stay_within_their_budget() {
    // The limit is 1 free retry plus 0.5 for each of the two requests.
    let with_retries = |n: u64| {
        let mut records = vec![request_sent(0, 1, "open"), request_sent(1, 2, "open")];
        for i in 0..n {
            let t = SECOND_US + 10 * i as i64;
            records.extend([
                set_up(t, i, 0, "open"),
                set_up_finished(t + 1, i, 0, SetUpOutcome::Abandoned),
                set_up(t + 2, i, 1, "open"),
            ]);
        }
        records.extend([
            request_answered(SECOND_US, 1, 201, 0),
            request_answered(SECOND_US, 2, 201, 1),
        ]);
        records
    };
    assert_violation(with_retries(2), None);
    assert_violation(with_retries(3), Some(Rule::RetryBudget));
}

#[test]
fn tenants_with_own_classes_are_judged_by_them() {
    // The tenant's class "open" is paid and has one seat; the site's class "open" is not paid and has no seat limit.
    let others = || {
        vec![
            set_up(0, 1, 0, "open"),
            set_up(1, 2, 0, "open"),
            tenant_set_up(2, 3, 0, "open", Some("other")),
        ]
    };
    assert_violation(
        [others(), vec![tenant_set_up(3, 4, 0, "open", Some("own"))]].concat(),
        None,
    );
    let mut two_sessions = [
        others(),
        vec![
            tenant_set_up(3, 4, 0, "open", Some("own")),
            tenant_set_up(4, 5, 0, "open", Some("own")),
        ],
    ]
    .concat();
    assert_violation(two_sessions.clone(), Some(Rule::FloorsAndSeats));
    two_sessions.sort_by_key(Record::time);
    let verdict = judge(&two_sessions, &rules());
    assert_eq!(verdict.findings[0].tenant.as_deref(), Some("own"));
    let text = verdict.to_string();
    assert!(
        text.contains("tenant own: ") && text.contains("floors and seats kept BROKEN 1 times"),
        "{text}"
    );
    assert_eq!(verdict.tenants["other"][&Rule::NoDuplicateSetUp].checks, 1);
    let retried = vec![
        tenant_set_up(0, 4, 0, "open", Some("own")),
        set_up_finished(1, 4, 0, SetUpOutcome::Abandoned),
        tenant_set_up(2, 4, 1, "open", Some("own")),
    ];
    assert_violation(retried, Some(Rule::NoDuplicateSetUp));
}
