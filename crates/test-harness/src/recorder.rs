//! Recording of events at the sockets of emulated nodes, viewers and journal service, and its audit.

use crate::{director_of, now};
use shalewall_audit::{
    ClassRule, Record, RetryBudget, Rule, Rules, SetUpOutcome, TimeDelta, Timestamp, Verdict, judge,
};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Tolerance for events that are seen late or reordered on a busy machine.
const TRANSIT_US: i64 = 150_000;
/// Time after its timeout at which a request without a response counts as lost.
const ANSWER_SLACK_US: i64 = 500_000;
/// Time within which a session has to be released after its node's notification of its end.
const RELEASE_LIMIT_US: i64 = 1_000_000;
/// Time within which a session has to be released after its end, if its node could not send a notification.
const UNNOTIFIED_RELEASE_LIMIT_US: i64 = 8_000_000;

/// Time after its cancellation within which a request may still be forwarded to a node.
const FORWARD_LIMIT_US: i64 = 300_000;

/// How a director learns of the end of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionEnd {
    /// The node sent a release.
    Notified,
    /// The node died without a release.
    Unnotified,
    /// The director or the viewer ended it, so that the viewer needs no release.
    Requested,
}

/// Contents of a recording. Sessions are identified by their tags.
#[derive(Default)]
pub struct Inner {
    /// Records for the audit, in order of arrival.
    pub records: Vec<Record>,
    /// Number of attempts of each session.
    pub attempts: BTreeMap<u64, u32>,
    /// Descriptions that nodes created for each session.
    pub descriptions: BTreeMap<u64, Vec<String>>,
    /// End of each session in microseconds, and how its director learns of it.
    pub ends: BTreeMap<u64, (i64, SessionEnd)>,
    /// When each session's viewer received the response, microseconds.
    pub playing_since: BTreeMap<u64, i64>,
    /// When each session's viewer received the release, microseconds.
    pub released: BTreeMap<u64, i64>,
    /// Downtimes of each director: start and end in microseconds.
    pub downtimes: BTreeMap<u32, Vec<(i64, i64)>>,
    /// Requests that were cancelled before a response, and when the cancellation was sent, microseconds.
    pub cancelled: BTreeMap<u64, i64>,
    /// When set-ups of each session arrived at nodes, microseconds.
    pub forwarded: BTreeMap<u64, Vec<i64>>,
    /// Start of the day, microseconds.
    pub started_at: i64,
    /// Violations of requirements beyond the six rules.
    pub violations: Vec<String>,
}

/// Recorder; clones write to the same recording.
#[derive(Clone, Default)]
pub struct Recorder(Arc<Mutex<Inner>>);

impl Recorder {
    /// Locks the recording, also after a panic in another thread: that thread fails the test, and the records stay
    /// valid.
    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a record.
    pub fn record(&self, record: Record) {
        self.lock().records.push(record);
    }

    /// Adds a violation beyond the six rules.
    pub fn report_violation(&self, violation: String) {
        self.lock().violations.push(violation);
    }

    /// Checks that a set-up that arrived at `t` was not forwarded too long after its cancellation.
    pub fn set_up_received(&self, tag: u64, t: i64) {
        let mut inner = self.lock();
        inner.forwarded.entry(tag).or_default().push(t);
        let delay_us = inner
            .cancelled
            .get(&tag)
            .map(|cancelled_at| t - cancelled_at)
            .filter(|delay_us| *delay_us > FORWARD_LIMIT_US + TRANSIT_US);
        if let Some(delay_us) = delay_us {
            inner.violations.push(format!(
                "{tag:016x} was forwarded {} ms after its cancellation",
                delay_us / 1000
            ));
        }
    }

    /// Records the first end of a session.
    pub fn session_ended(&self, tag: u64, end: SessionEnd) {
        self.lock().ends.entry(tag).or_insert((now(), end));
    }

    /// Checks the recording. Returns the verdict of the six rules, and the other violations.
    pub fn audit(&self, rules: &Rules) -> (Verdict, Vec<String>) {
        let inner = self.lock();
        let mut records = inner.records.clone();
        correct_abandoned_set_ups(&mut records);
        records.sort_by_key(Record::time);
        let verdict = judge(&records, rules);
        let mut violations = inner.violations.clone();
        let last = records.last().map_or(0, |record| record.time().as_micros());
        for (tag, (at, end)) in &inner.ends {
            let within = match end {
                SessionEnd::Notified => RELEASE_LIMIT_US,
                SessionEnd::Unnotified => UNNOTIFIED_RELEASE_LIMIT_US,
                SessionEnd::Requested => continue,
            } + TRANSIT_US;
            // A session that never played for its viewer needs no release, and a director that was down may release
            // late.
            let was_down =
                |(from, until): &(i64, i64)| *from <= at + within && *until + within >= *at;
            let excused = inner
                .downtimes
                .get(&director_of(*tag))
                .is_some_and(|d| d.iter().any(was_down));
            if !inner.playing_since.contains_key(tag) || excused || at + within > last {
                continue;
            }
            if inner.released.get(tag).is_none_or(|t| *t > at + within) {
                let at = (at - inner.started_at) / 1000;
                violations.push(format!(
                    "session {tag:016x} ended at {at} ms ({end:?}) and was not released in time"
                ));
            }
        }
        (verdict, violations)
    }
}

/// Corrects the order of events at two nodes, which may be recorded in another order than the director caused them. An
/// abandoned set-up counts as ended one transit tolerance earlier, but not before it arrived. One that was abandoned
/// within the tolerance, and arrived while another attempt was open, counts as arrived and ended just before that one:
/// its node may have read it only after the director had closed its connection and sent the next attempt.
fn correct_abandoned_set_ups(records: &mut [Record]) {
    let tolerance = TimeDelta::from_micros(TRANSIT_US);
    let arrivals: BTreeMap<(u64, u32), Timestamp> = records.iter().filter_map(arrival).collect();
    let ends: BTreeMap<(u64, u32), Timestamp> = records.iter().filter_map(end).collect();
    let mut corrected = BTreeMap::new();
    for record in records.iter_mut() {
        let Record::SetUpFinished {
            time,
            session,
            attempt,
            outcome: SetUpOutcome::Abandoned,
            ..
        } = record
        else {
            continue;
        };
        let own = (*session, *attempt);
        let arrived = arrivals.get(&own).copied().unwrap_or(*time);
        let is_open = |other: &(u64, u32), since: Timestamp| {
            let ended_at = ends.get(other).copied().unwrap_or(Timestamp::MAX);
            *other != own && since <= arrived && arrived < ended_at
        };
        let first_open = arrivals
            .range((*session, 0)..=(*session, u32::MAX))
            .filter(|(other, since)| is_open(other, **since))
            .map(|(_, since)| *since)
            .min();
        match first_open {
            Some(since) if *time - since < tolerance => {
                *time = since - TimeDelta::from_micros(1);
                corrected.insert(own, *time);
            }
            _ => *time = (*time - tolerance).max(arrived),
        }
    }
    for record in records {
        if let Record::SetUpReceived {
            time,
            session,
            attempt,
            ..
        } = record
            && let Some(earlier) = corrected.get(&(*session, *attempt))
        {
            *time = *earlier;
        }
    }
}

fn end(record: &Record) -> Option<((u64, u32), Timestamp)> {
    match record {
        Record::SetUpFinished {
            time,
            session,
            attempt,
            ..
        } => Some(((*session, *attempt), *time)),
        _ => None,
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

/// Parameters of the rules, the same as in the directors' settings by [`crate::director::settings`].
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
        answer_slack: TimeDelta::from_micros(ANSWER_SLACK_US),
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
        transit: TimeDelta::from_micros(TRANSIT_US),
    }
}

/// The rules of which a verdict has violations.
pub fn broken_rules(verdict: &Verdict) -> Vec<Rule> {
    let mut rules: Vec<Rule> = verdict.findings.iter().map(|f| f.rule).collect();
    rules.sort_unstable();
    rules.dedup();
    rules
}
