//! Rule: each request gets exactly one response in time, unless its director was killed.

use super::Judge;
use crate::record::Record;
use crate::verdict::Rule;
use shalewall::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// HTTP status of a rejection; the request may be retried.
const REJECTED_STATUS: u16 = 503;

/// A viewer's request.
#[derive(Clone, Copy)]
struct Request<'r> {
    id: u64,
    sent_at: Timestamp,
    director: u32,
    /// Time that the viewer waits for a response.
    timeout: TimeDelta,
    class: &'r str,
    tenant: Option<&'r str>,
}

/// The requests of a recording, and how many times each one ended.
#[derive(Default)]
struct Requests<'r> {
    sent: BTreeMap<u64, Request<'r>>,
    ended: BTreeMap<u64, u32>,
}

impl<'r> Requests<'r> {
    /// Counts an end of a request. Returns the request and the number of its ends so far, or `None` if it is unknown.
    fn end(&mut self, id: u64) -> Option<(Request<'r>, u32)> {
        let request = *self.sent.get(&id)?;
        Some((request, self.count_end(id)))
    }

    fn count_end(&mut self, id: u64) -> u32 {
        let count = self.ended.entry(id).or_default();
        *count += 1;
        *count
    }
}

impl Judge<'_> {
    pub(super) fn check_answers(&mut self, records: &[Record]) {
        let mut requests = Requests::default();
        for record in records {
            self.process_answer_record(&mut requests, record);
        }
        let last = records.last().map_or(Timestamp::ZERO, Record::time);
        self.check_open_requests(&requests, last);
    }

    fn process_answer_record<'r>(&mut self, requests: &mut Requests<'r>, record: &'r Record) {
        let time = record.time();
        match record {
            Record::RequestSent {
                director,
                request: id,
                timeout,
                class,
                tenant,
                ..
            } => {
                let request = Request {
                    id: *id,
                    sent_at: time,
                    director: *director,
                    timeout: *timeout,
                    class,
                    tenant: tenant.as_deref(),
                };
                requests.sent.insert(*id, request);
            }
            Record::RequestAnswered {
                request: id,
                status,
                session,
                ..
            } => {
                if let Some((request, count)) = requests.end(*id) {
                    self.check_rejected_session(time, request, *status, *session);
                    self.check_answer(time, request, *status, count);
                }
            }
            Record::RequestUnanswered { request: id, .. } => {
                if let Some((request, _)) = requests.end(*id) {
                    self.check_unanswered(time, request);
                }
            }
            Record::RequestCancelled { request: id, .. } => {
                requests.count_end(*id);
            }
            _ => {}
        }
    }

    fn check_rejected_session(
        &mut self,
        time: Timestamp,
        request: Request<'_>,
        status: u16,
        session: Option<u64>,
    ) {
        if let Some(session) = session.filter(|_| status == REJECTED_STATUS) {
            self.check_rejection(time, session, request.tenant, request.class);
        }
    }

    fn check_answer(&mut self, time: Timestamp, request: Request<'_>, status: u16, count: u32) {
        let Request { id, tenant, .. } = request;
        if count > 1 {
            let evidence = format!("request {id} has {count} answers");
            self.verdict
                .record_violation(Rule::OneAnswer, tenant, time, evidence);
        }
        let latest = time + self.rules.transit;
        let stalled = self
            .outages
            .stalled(request.director, request.sent_at, latest);
        let elapsed = time - request.sent_at - stalled;
        let limit = self.answer_limit(request);
        let utilization = elapsed.as_micros() as f64 / limit.as_micros() as f64;
        self.verdict
            .record_check(Rule::OneAnswer, tenant, utilization);
        if elapsed > limit {
            let evidence = format!(
                "request {id}: {status} after {} ms of {}",
                elapsed.as_millis(),
                request.timeout.as_millis()
            );
            self.verdict
                .record_violation(Rule::OneAnswer, tenant, time, evidence);
        }
    }

    /// Checks a request whose connection ended without a response.
    fn check_unanswered(&mut self, time: Timestamp, request: Request<'_>) {
        let Request {
            id,
            director,
            sent_at,
            ..
        } = request;
        let earliest = sent_at - self.rules.transit;
        let latest = sent_at + self.answer_limit(request);
        if self.outages.killed(director, earliest, latest) {
            return;
        }
        let waited = (time - sent_at).as_millis();
        let evidence =
            format!("request {id} to director {director} has no answer after {waited} ms");
        self.verdict
            .record_violation(Rule::OneAnswer, request.tenant, time, evidence);
    }

    /// Checks requests that never ended although they were due before the last record.
    fn check_open_requests(&mut self, requests: &Requests<'_>, last: Timestamp) {
        for request in requests.sent.values() {
            let Request { id, director, .. } = *request;
            let due = request.sent_at + self.answer_limit(*request);
            if requests.ended.contains_key(&id) || due >= last {
                continue;
            }
            let evidence = format!("request {id} to director {director} is still open");
            let sent_at = request.sent_at;
            self.verdict
                .record_violation(Rule::OneAnswer, request.tenant, sent_at, evidence);
        }
    }

    /// Longest time that a response may take.
    fn answer_limit(&self, request: Request<'_>) -> TimeDelta {
        request.timeout + self.rules.answer_slack + self.rules.transit
    }
}
