//! What passed, as the stand-ins' ends of the sockets saw it, and what follows from it.

use crate::{director_of, now};
use shalewall_audit::{
    ClassRule, Record, RetryBudget, Rule, Rules, SetUpOutcome, TimeDelta, Timestamp, Verdict, judge,
};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// On a busy machine what passes may be seen so much later, or in another order.
const TRANSIT: i64 = 150_000;
/// A request that has no answer by then is lost, however late answers are priced.
const SLACK: i64 = 500_000;
/// What has stood and is over is released within this of its node's word, and of its end without one.
const RELEASE: i64 = 1_000_000;
const RELEASE_UNTOLD: i64 = 8_000_000;

/// A request that was given up is not sent on so much later.
const SENT_ON: i64 = 300_000;

/// How a session's end came to its director.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Its node said so.
    Told,
    /// Its node died without a word.
    Untold,
    /// The director or the viewer ended it: no release is owed.
    Own,
}

#[derive(Default)]
pub struct Inner {
    pub records: Vec<Record>,
    /// Attempts of each session so far.
    pub attempts: BTreeMap<u64, u32>,
    /// Descriptions that nodes made for it.
    pub made: BTreeMap<u64, Vec<String>>,
    pub ends: BTreeMap<u64, (i64, End)>,
    /// Told its viewer that it stands, and that it is over.
    pub stood: BTreeMap<u64, i64>,
    pub released: BTreeMap<u64, i64>,
    /// Times at which a director was down: from, until.
    pub down: BTreeMap<u32, Vec<(i64, i64)>>,
    /// Requests that were given up while they waited, and when their directors had been told.
    pub left: BTreeMap<u64, i64>,
    /// When the day began.
    pub started_at: i64,
    /// What can be wrong beside the six rules.
    pub violations: Vec<String>,
}

/// The tape; clones write to the same one.
#[derive(Clone, Default)]
pub struct Recorder(Arc<Mutex<Inner>>);

impl Recorder {
    /// A stand-in that panics fails its test by itself; what it taped before is as true as ever.
    pub fn open(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn note(&self, record: Record) {
        self.open().records.push(record);
    }

    pub fn report_violation(&self, violation: String) {
        self.open().violations.push(violation);
    }

    /// A node has a set-up whole.
    pub fn came(&self, tag: u64, t: i64) {
        let mut inner = self.open();
        let late = inner
            .left
            .get(&tag)
            .map(|left| t - left)
            .filter(|late| *late > SENT_ON + TRANSIT);
        if let Some(late) = late {
            inner.violations.push(format!(
                "{tag:016x} was sent on {} ms after its viewer had left",
                late / 1000
            ));
        }
    }

    pub fn ended(&self, tag: u64, end: End) {
        self.open().ends.entry(tag).or_insert((now(), end));
    }

    /// The verdict of the six rules, and what else is wrong.
    pub fn judged(&self, rules: &Rules) -> (Verdict, Vec<String>) {
        let inner = self.open();
        let mut records = inner.records.clone();
        // Two nodes may be heard in another order than they were written to: what is given up counts as given up as
        // much earlier, though not before it came.
        let came: BTreeMap<(u64, u32), Timestamp> = records.iter().filter_map(arrival).collect();
        for record in &mut records {
            if let Record::SetUpFinished {
                time,
                session,
                attempt,
                outcome: SetUpOutcome::Abandoned,
                ..
            } = record
            {
                let arrived = came.get(&(*session, *attempt)).copied().unwrap_or(*time);
                *time = (*time - TimeDelta::from_micros(TRANSIT)).max(arrived);
            }
        }
        records.sort_by_key(Record::time);
        let verdict = judge(&records, rules);
        let mut violations = inner.violations.clone();
        let last = records.last().map_or(0, |record| record.time().as_micros());
        for (tag, (at, end)) in &inner.ends {
            let within = match end {
                End::Told => RELEASE,
                End::Untold => RELEASE_UNTOLD,
                End::Own => continue,
            } + TRANSIT;
            // What never stood for its viewer has its one answer, and a director that was away hears of it later.
            let away = |(from, until): &(i64, i64)| *from <= at + within && *until + within >= *at;
            let excused = inner
                .down
                .get(&director_of(*tag))
                .is_some_and(|d| d.iter().any(away));
            if !inner.stood.contains_key(tag) || excused || at + within > last {
                continue;
            }
            if inner.released.get(tag).is_none_or(|t| *t > at + within) {
                let at = (at - inner.started_at) / 1000;
                violations.push(format!(
                    "session {tag:016x} is over since {at} ms ({end:?}) and not released in time"
                ));
            }
        }
        (verdict, violations)
    }
}

fn arrival(record: &Record) -> Option<((u64, u32), Timestamp)> {
    let Record::SetUpReceived {
        time,
        session,
        attempt,
        ..
    } = record
    else {
        return None;
    };
    Some(((*session, *attempt), *time))
}

/// The rules of the rig's settings: [`crate::director::settings`] tells the directors the same figures.
pub fn rules() -> Rules {
    let class = |paid, floor, seats| ClassRule { paid, floor, seats };
    Rules {
        classes: [
            ("paid".into(), class(true, 1, 0)),
            ("free".into(), class(false, 0, 0)),
        ]
        .into(),
        tenants: BTreeMap::new(),
        drain_within: TimeDelta::from_millis(250),
        answer_slack: TimeDelta::from_micros(SLACK),
        warm_after: TimeDelta::from_secs(4),
        start_capacity: 0.4,
        overload_factor: 2.0,
        overload_window: TimeDelta::from_secs(1),
        retry_budget: Some(RetryBudget {
            free: 4.0,
            per_request: 0.345,
            window: TimeDelta::from_secs(10),
        }),
        cells: 0,
        titles: BTreeMap::new(),
        transit: TimeDelta::from_micros(TRANSIT),
    }
}

/// The rules that a verdict found broken.
pub fn broken_rules(verdict: &Verdict) -> Vec<Rule> {
    let mut rules: Vec<Rule> = verdict.findings.iter().map(|f| f.rule).collect();
    rules.sort_unstable();
    rules.dedup();
    rules
}
