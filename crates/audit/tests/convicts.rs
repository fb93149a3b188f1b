//! The auditor convicts: for each rule a recording that breaks just that one, and one a hair inside it.

use shalewall_audit::{
    ClassRule, Placement, Record, RetryBudget, Rule, Rules, SetUpOutcome, TimeDelta, judge, read,
};
use std::collections::BTreeMap;

const S: i64 = 1_000_000;

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
        drain_within: TimeDelta::from_micros(S / 4),
        answer_slack: TimeDelta::from_micros(S / 20),
        warm_after: TimeDelta::from_secs(10),
        start_capacity: 0.4,
        overload_factor: 2.0,
        overload_window: TimeDelta::from_secs(2),
        retry_budget: Some(RetryBudget {
            free: 1.0,
            per_request: 0.5,
            window: TimeDelta::from_secs(10),
        }),
        transit: TimeDelta::from_micros(S / 20),
        cells: 4,
        titles: BTreeMap::from([("t".to_string(), Placement { home: 0, spread: 4 })]),
    }
}

fn set_up(t: i64, session: u64, attempt: u32, class: &str) -> Record {
    set_up_of(t, session, attempt, class, None)
}

fn set_up_of(t: i64, session: u64, attempt: u32, class: &str, tenant: Option<&str>) -> Record {
    let (class, title, tenant) = (
        class.to_string(),
        "t".to_string(),
        tenant.map(str::to_string),
    );
    Record::SetUpReceived {
        t,
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

fn done(t: i64, session: u64, attempt: u32, ran: SetUpOutcome) -> Record {
    Record::SetUpFinished {
        t,
        node: 1,
        session,
        attempt,
        ran,
    }
}

fn asked(t: i64, ask: u64, class: &str) -> Record {
    let (key, class, title) = (format!("v{ask}"), class.to_string(), "t".to_string());
    Record::RequestSent {
        t,
        director: 0,
        ask,
        key,
        tenant: None,
        class,
        title,
        wait: 2 * S,
    }
}

fn answered(t: i64, ask: u64, status: u16, session: u64) -> Record {
    Record::RequestAnswered {
        t,
        ask,
        status,
        session: Some(session),
    }
}

fn told(t: i64, standing: &str, came_up: Option<i64>) -> Record {
    Record::EndpointNotified {
        t,
        director: 0,
        node: 1,
        standing: standing.to_string(),
        came_up,
    }
}

#[track_caller]
fn breaks(mut records: Vec<Record>, rule: Option<Rule>) {
    records.sort_by_key(Record::time);
    let verdict = judge(&records, &rules());
    let found: Vec<Rule> = verdict.findings.iter().map(|f| f.rule).collect();
    assert!(
        found.iter().all(|f| Some(*f) == rule) && found.is_empty() == rule.is_none(),
        "{verdict}"
    );
}

#[test]
fn one_answer_in_time() {
    let late = S / 20 + S / 20;
    breaks(
        vec![asked(0, 1, "open"), answered(2 * S + late, 1, 201, 1)],
        None,
    );
    breaks(
        vec![asked(0, 1, "open"), answered(2 * S + late + 1, 1, 201, 1)],
        Some(Rule::OneAnswer),
    );
    let twice = vec![
        asked(0, 1, "open"),
        answered(S, 1, 201, 1),
        answered(S, 1, 503, 1),
    ];
    breaks(twice, Some(Rule::OneAnswer));
    breaks(
        vec![asked(0, 1, "open"), asked(9 * S, 2, "open")],
        Some(Rule::OneAnswer),
    );
    breaks(
        vec![
            asked(0, 1, "open"),
            Record::RequestUnanswered { t: S, ask: 1 },
        ],
        Some(Rule::OneAnswer),
    );
    // A killed director owes nothing, one that was stopped owes it later.
    let killed = Record::DirectorKilled { t: S, director: 0 };
    breaks(
        vec![
            asked(0, 1, "open"),
            killed,
            Record::RequestUnanswered { t: S, ask: 1 },
        ],
        None,
    );
    let stalled = Record::DirectorStalled {
        t: S,
        director: 0,
        until: 3 * S,
    };
    breaks(
        vec![asked(0, 1, "open"), stalled, answered(3 * S, 1, 504, 1)],
        None,
    );
}

#[test]
fn no_set_up_twice() {
    for ran in [
        SetUpOutcome::Playing,
        SetUpOutcome::Abandoned,
        SetUpOutcome::Cancelled,
    ] {
        let again = vec![
            set_up(0, 1, 0, "paid"),
            done(S, 1, 0, ran),
            set_up(2 * S, 1, 1, "paid"),
        ];
        breaks(again, Some(Rule::NoDuplicateSetUp));
    }
    let proven = vec![
        set_up(0, 1, 0, "paid"),
        done(S, 1, 0, SetUpOutcome::Rejected),
        set_up(2 * S, 1, 1, "paid"),
    ];
    breaks(proven, None);
    let harmless = vec![
        set_up(0, 1, 0, "open"),
        done(S, 1, 0, SetUpOutcome::Abandoned),
        set_up(2 * S, 1, 1, "open"),
    ];
    breaks(harmless, None);
    breaks(
        vec![set_up(0, 1, 0, "open"), set_up(S, 1, 1, "open")],
        Some(Rule::NoDuplicateSetUp),
    );
    let part = Record::PartialRequest {
        t: 0,
        node: 1,
        bytes: 30,
        session: Some(1),
        attempt: Some(0),
    };
    breaks(
        vec![part.clone(), set_up(S, 1, 1, "paid")],
        Some(Rule::NoDuplicateSetUp),
    );
    breaks(vec![part, set_up(S, 1, 1, "open")], None);
    // A refusal says that it never ran.
    let refused = |ran| {
        vec![
            asked(0, 1, "paid"),
            set_up(S / 2, 7, 0, "paid"),
            done(S, 7, 0, ran),
            answered(S, 1, 503, 7),
        ]
    };
    breaks(refused(SetUpOutcome::Rejected), None);
    breaks(
        refused(SetUpOutcome::Abandoned),
        Some(Rule::NoDuplicateSetUp),
    );
}

#[test]
fn drains_kept() {
    let within = S / 4 + S / 20;
    breaks(
        vec![told(S, "draining", None), set_up(S + within, 1, 0, "open")],
        None,
    );
    breaks(
        vec![
            told(S, "draining", None),
            set_up(S + within + 1, 1, 0, "open"),
        ],
        Some(Rule::Draining),
    );
    breaks(
        vec![told(S, "gone", None), set_up(3 * S, 1, 0, "open")],
        Some(Rule::Draining),
    );
    breaks(
        vec![
            told(S, "gone", None),
            told(2 * S, "ready", None),
            set_up(3 * S, 1, 0, "open"),
        ],
        None,
    );
    // Told again of the same drain is no new grace.
    let twice = vec![
        told(S, "draining", None),
        told(2 * S, "draining", None),
        set_up(2 * S, 1, 0, "open"),
    ];
    breaks(twice, Some(Rule::Draining));
}

#[test]
fn no_cold_node_pushed_over() {
    // 10 places over 10 s at 0.4, twice that over 2 s: 1.6, and 2 for chance.
    let push = |n: u64, knew: bool| {
        let mut records = vec![Record::NodeStarted {
            t: 0,
            node: 1,
            places: 10.0,
            warm: false,
            cell: None,
        }];
        records.extend(knew.then(|| told(1, "ready", Some(0))));
        records.extend((0..n).map(|i| set_up(1000 + i as i64, i, 0, "open")));
        records
    };
    breaks(push(3, true), None);
    breaks(push(4, true), Some(Rule::SlowStart));
    breaks(push(4, false), None);
    let mut fell = push(3, true);
    fell.push(Record::NodeStopped {
        t: 5000,
        node: 1,
        fell: true,
    });
    breaks(fell, Some(Rule::SlowStart));
}

#[test]
fn floors_and_seats_kept() {
    let mut low = set_up(0, 1, 0, "paid");
    if let Record::SetUpReceived { rung, .. } = &mut low {
        *rung = 0;
    }
    breaks(vec![low], Some(Rule::FloorsAndSeats));
    let step = Record::RungChanged {
        t: S,
        node: 1,
        session: 1,
        rung: 0,
    };
    breaks(
        vec![
            set_up(0, 1, 0, "paid"),
            done(1, 1, 0, SetUpOutcome::Playing),
            step,
        ],
        Some(Rule::FloorsAndSeats),
    );
    let seats = |n: u64| {
        (0..n)
            .map(|i| set_up(i as i64, i, 0, "paid"))
            .collect::<Vec<_>>()
    };
    breaks(seats(2), None);
    breaks(seats(3), Some(Rule::FloorsAndSeats));
    let mut freed = seats(2);
    freed.push(done(10, 0, 0, SetUpOutcome::Playing));
    freed.push(Record::SessionEnded {
        t: 20,
        node: 1,
        session: 0,
        attempt: 0,
    });
    freed.push(set_up(30, 9, 0, "paid"));
    breaks(freed, None);
}

#[test]
fn attempts_rationed() {
    // One free, and half of the two sessions taken.
    let tries = |n: u64| {
        let mut records = vec![asked(0, 1, "open"), asked(1, 2, "open")];
        for i in 0..n {
            let t = S + 10 * i as i64;
            records.extend([
                set_up(t, i, 0, "open"),
                done(t + 1, i, 0, SetUpOutcome::Abandoned),
                set_up(t + 2, i, 1, "open"),
            ]);
        }
        records.extend([answered(S, 1, 201, 0), answered(S, 2, 201, 1)]);
        records
    };
    breaks(tries(2), None);
    breaks(tries(3), Some(Rule::RetryBudget));
}

#[test]
fn a_recording_with_a_hole_is_no_recording() {
    let dir = std::env::temp_dir().join(format!("shalewall-hole-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let line = serde_json::to_string(&set_up(0, 1, 0, "open")).unwrap();
    std::fs::write(dir.join("a.jsonl"), format!("{line}\n{}", &line[..40])).unwrap();
    let error = read(&dir).unwrap_err().to_string();
    std::fs::remove_dir_all(&dir).unwrap();
    assert!(error.contains("a.jsonl:2"), "{error}");
}

#[test]
fn a_tenants_own_classes_are_its_rules_and_its_findings_its_own() {
    // Its "open" is paid and has one seat; the site's is neither.
    let others = || {
        vec![
            set_up(0, 1, 0, "open"),
            set_up(1, 2, 0, "open"),
            set_up_of(2, 3, 0, "open", Some("other")),
        ]
    };
    breaks(
        [others(), vec![set_up_of(3, 4, 0, "open", Some("own"))]].concat(),
        None,
    );
    let mut two = [
        others(),
        vec![
            set_up_of(3, 4, 0, "open", Some("own")),
            set_up_of(4, 5, 0, "open", Some("own")),
        ],
    ]
    .concat();
    breaks(two.clone(), Some(Rule::FloorsAndSeats));
    two.sort_by_key(Record::time);
    let verdict = judge(&two, &rules());
    assert_eq!(verdict.findings[0].tenant.as_deref(), Some("own"));
    let said = verdict.to_string();
    assert!(
        said.contains("tenant own: ") && said.contains("floors and seats kept BROKEN 1 times"),
        "{said}"
    );
    assert_eq!(verdict.tenants["other"][&Rule::NoDuplicateSetUp].tests, 1);
    let again = vec![
        set_up_of(0, 4, 0, "open", Some("own")),
        done(1, 4, 0, SetUpOutcome::Abandoned),
        set_up_of(2, 4, 1, "open", Some("own")),
    ];
    breaks(again, Some(Rule::NoDuplicateSetUp));
}
