//! Ledger of all requests of a soak, and the check that none was lost.

use crate::now;
use crate::recorder::Recorder;
use shalewall_audit::{Record, Timestamp};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Time after its deadline at which a request without an answer is lost.
const ANSWER_SLACK_US: i64 = 500_000;
/// The platform's tolerance for every time limit.
const TOLERANCE_US: i64 = 50_000;
/// Tolerance for events that this process sees late on a busy machine.
const TRANSIT_US: i64 = 150_000;
/// Time before the end of its connection within which a request crosses the close and is sent again.
const CROSSING_US: i64 = TOLERANCE_US + 10_000;
/// Time after its end by which a session must not stand at a node any more.
const RELEASE_LIMIT_US: i64 = 3_000_000;

/// An answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The session is active.
    Served,
    /// Rejected or failed.
    Ended,
}

/// Who ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClosedBy {
    /// The client, or its withdrawal of everything on the connection.
    Client,
    /// The director.
    Director,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    director: u32,
    connection: u64,
    /// When its last byte was written, microseconds.
    sent_at: i64,
    deadline: i64,
    withdrawn_at: Option<i64>,
    answers: Vec<(i64, Answer)>,
    /// When its session ended for its viewer, microseconds.
    session_ended_at: Option<i64>,
}

#[derive(Default)]
struct Inner {
    requests: BTreeMap<u64, Request>,
    closed: BTreeMap<u64, (i64, ClosedBy)>,
    /// Times at which each director was killed without a warning.
    kills: BTreeMap<u32, Vec<i64>>,
    /// Times at which each director stopped in any way.
    stops: BTreeMap<u32, Vec<i64>>,
    /// Pauses of each director: start and end.
    pauses: BTreeMap<u32, Vec<(i64, i64)>>,
    next_connection: u64,
}

/// The ledger; clones refer to the same one.
#[derive(Clone, Default)]
pub struct Ledger(Arc<Mutex<Inner>>);

/// Result of the check.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Requests that were lost, with the reason.
    pub lost: Vec<String>,
    /// Number of requests.
    pub requests: usize,
    /// Number of requests with a positive answer.
    pub served: usize,
    /// Number of requests that a viewer withdrew or whose director was killed.
    pub excused: usize,
}

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a connection; returns its number.
    pub fn open_connection(&self) -> u64 {
        let mut inner = self.lock();
        inner.next_connection += 1;
        inner.next_connection
    }

    /// Records the end of a connection; the first record counts. A client that closes it withdraws its requests.
    pub fn close_connection(&self, connection: u64, by: ClosedBy) {
        let mut inner = self.lock();
        let (at, by) = *inner.closed.entry(connection).or_insert((now(), by));
        if by == ClosedBy::Client {
            let requests = inner.requests.values_mut();
            let own = requests.filter(|request| request.connection == connection);
            own.filter(|request| request.answers.is_empty())
                .for_each(|request| {
                    request.withdrawn_at.get_or_insert(at);
                });
        }
    }

    /// Registers a request that is about to be written completely; returns the time, in microseconds.
    pub fn send(&self, tag: u64, director: u32, connection: u64, left_ms: i64) -> i64 {
        let sent_at = now();
        let request = Request {
            director,
            connection,
            sent_at,
            deadline: sent_at + left_ms * 1000,
            withdrawn_at: None,
            answers: Vec::new(),
            session_ended_at: None,
        };
        self.lock().requests.insert(tag, request);
        sent_at
    }

    /// Removes a request that was not written completely.
    pub fn forget(&self, tag: u64) {
        self.lock().requests.remove(&tag);
    }

    /// Records that a request's withdrawal was written. Returns whether it had no answer before.
    pub fn withdraw(&self, tag: u64) -> bool {
        let mut inner = self.lock();
        let Some(request) = inner.requests.get_mut(&tag) else {
            return false;
        };
        request.withdrawn_at.get_or_insert_with(now);
        request.answers.is_empty()
    }

    /// Records an answer, or the release of an active session. Returns whether it is the first answer, for which the
    /// viewer still waits.
    pub fn receive(&self, tag: u64, answer: Answer) -> bool {
        let mut inner = self.lock();
        let Some(request) = inner.requests.get_mut(&tag) else {
            return false;
        };
        let was_served = request
            .answers
            .iter()
            .any(|(_, old)| *old == Answer::Served);
        if was_served && answer == Answer::Ended {
            request.session_ended_at.get_or_insert_with(now);
            return false;
        }
        request.answers.push((now(), answer));
        request.answers.len() == 1 && request.withdrawn_at.is_none()
    }

    /// Records that a viewer ended its session.
    pub fn end_session(&self, tag: u64) {
        if let Some(request) = self.lock().requests.get_mut(&tag) {
            request.session_ended_at.get_or_insert_with(now);
        }
    }

    /// Records that a director was killed without a warning.
    pub fn kill(&self, director: u32) {
        let mut inner = self.lock();
        inner.kills.entry(director).or_default().push(now());
        inner.stops.entry(director).or_default().push(now());
    }

    /// Records that a director has stopped.
    pub fn stop(&self, director: u32) {
        self.lock().stops.entry(director).or_default().push(now());
    }

    /// Records a time during which a director did not run.
    pub fn pause(&self, director: u32, from: i64) {
        let pauses = &mut self.lock().pauses;
        pauses.entry(director).or_default().push((from, now()));
    }

    /// Checks all requests, and completes the records for the audit with the requests that need no answer.
    /// `standing` are the sessions that are active at nodes.
    pub fn check(&self, recorder: &Recorder, standing: &[u64]) -> Findings {
        let inner = self.lock();
        let forwarded = recorder.lock().forwarded.clone();
        let mut findings = Findings::default();
        for (tag, request) in &inner.requests {
            findings.requests += 1;
            findings.served += usize::from(request.is_served());
            let result = inner.check_answers(request);
            match result {
                Ok(Verdict::Answered) => {}
                Ok(Verdict::Excused) => {
                    findings.excused += 1;
                    recorder.record(Record::RequestCancelled {
                        time: Timestamp::from_micros(request.deadline),
                        request: *tag,
                    });
                }
                Err(reason) => findings.lost.push(format!("{tag:016x}: {reason}")),
            }
            for arrival in forwarded.get(tag).into_iter().flatten() {
                if let Some(reason) = inner.check_forward(request, *arrival) {
                    findings.lost.push(format!("{tag:016x}: {reason}"));
                }
            }
        }
        for tag in standing {
            if let Some(reason) = inner.check_standing(*tag) {
                findings.lost.push(format!("{tag:016x}: {reason}"));
            }
        }
        findings
    }
}

enum Verdict {
    Answered,
    Excused,
}

impl Request {
    fn is_served(&self) -> bool {
        self.answers
            .iter()
            .any(|(_, answer)| *answer == Answer::Served)
    }
}

impl Inner {
    fn check_answers(&self, request: &Request) -> Result<Verdict, String> {
        let closed = self.closed.get(&request.connection);
        if request.answers.len() > 1 {
            return Err(format!("{} answers", request.answers.len()));
        }
        if let Some((at, _)) = request.answers.first() {
            if request
                .withdrawn_at
                .is_some_and(|withdrawn| withdrawn <= *at)
            {
                return Ok(Verdict::Excused);
            }
            let lateness = at - request.deadline - self.paused_after(request) - TRANSIT_US;
            return if lateness <= ANSWER_SLACK_US {
                Ok(Verdict::Answered)
            } else {
                Err(format!("answered {} ms too late", lateness / 1000))
            };
        }
        if request.withdrawn_at.is_some() || self.was_killed(request, closed) {
            return Ok(Verdict::Excused);
        }
        match closed {
            Some((_, ClosedBy::Client)) => Ok(Verdict::Excused),
            Some((at, ClosedBy::Director)) if request.sent_at + CROSSING_US >= *at => {
                Ok(Verdict::Excused)
            }
            Some((at, ClosedBy::Director)) => Err(format!(
                "the connection of director {} ended {} ms after the request without an answer",
                request.director,
                (at - request.sent_at) / 1000
            )),
            None => Err(format!("no answer of director {}", request.director)),
        }
    }

    /// Whether its director was killed without a warning before it could answer.
    fn was_killed(&self, request: &Request, closed: Option<&(i64, ClosedBy)>) -> bool {
        let ended_at = closed.map_or(i64::MAX, |(at, _)| *at);
        let kills = self.kills.get(&request.director);
        kills.into_iter().flatten().any(|kill| {
            request.sent_at <= kill + TOLERANCE_US
                && *kill <= ended_at + TOLERANCE_US
                && *kill <= request.deadline + ANSWER_SLACK_US
        })
    }

    /// Time of the director's pauses after the request was sent.
    fn paused_after(&self, request: &Request) -> i64 {
        let pauses = self.pauses.get(&request.director);
        pauses
            .into_iter()
            .flatten()
            .map(|(from, until)| (until - (*from).max(request.sent_at)).max(0))
            .sum()
    }

    fn check_forward(&self, request: &Request, arrival: i64) -> Option<String> {
        let late = |since: i64| arrival - since - TOLERANCE_US - TRANSIT_US;
        let answered_at = request.answers.first().map(|(at, _)| *at);
        let ends = [
            ("its deadline", Some(request.deadline)),
            ("its withdrawal", request.withdrawn_at),
            ("its answer", answered_at),
        ];
        let (what, lateness) = ends
            .into_iter()
            .filter_map(|(what, since)| Some((what, late(since?))))
            .find(|(_, lateness)| *lateness > 0)?;
        Some(format!(
            "forwarded more than {} ms after {what}",
            lateness / 1000
        ))
    }

    /// A session that is active at a node has to be active for its viewer.
    fn check_standing(&self, tag: u64) -> Option<String> {
        let request = self.requests.get(&tag)?;
        let ended_at = match request.answers.first() {
            Some((_, Answer::Served)) => request.session_ended_at?,
            Some((at, Answer::Ended)) => *at,
            None => request.withdrawn_at?,
        };
        let stops = self.stops.get(&request.director);
        let was_stopped = stops
            .into_iter()
            .flatten()
            .any(|stop| *stop > request.sent_at);
        let is_overdue = now() - ended_at > RELEASE_LIMIT_US;
        (is_overdue && !was_stopped).then(|| {
            format!(
                "the session stands at its node {} ms after its end",
                (now() - ended_at) / 1000
            )
        })
    }
}
