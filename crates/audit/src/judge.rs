//! Checks a recording against the six rules.
//!
//! [`judge`] passes each record, in order of time, to the modules that track its subject: [`attempts`] tracks the state
//! of each session at the nodes, [`directors`] the information that each director has. One module for each rule checks
//! the records against them. Responses are matched with requests in a separate pass ([`answers`]).

mod answers;
mod attempts;
mod directors;
mod draining;
mod duplicates;
mod floors_and_seats;
mod retry_budget;
mod slow_start;

use crate::record::{Record, SetUpOutcome};
use crate::rules::Rules;
use crate::verdict::Verdict;
use attempts::{AttemptId, Attempts};
use directors::{Directors, Outages};
use floors_and_seats::Seats;
use retry_budget::RetryWindows;
use shalewall::Timestamp;
use slow_start::StartingNodes;

/// Checks a recording against the rules. `records` must be in order of time.
pub fn judge(records: &[Record], rules: &Rules) -> Verdict {
    let mut judge = Judge {
        rules,
        outages: Outages::from_records(records),
        verdict: Verdict::default(),
        attempts: Attempts::default(),
        directors: Directors::default(),
        seats: Seats::default(),
        starting_nodes: StartingNodes::default(),
        retry_windows: RetryWindows::default(),
    };
    for record in records {
        judge.process(record);
    }
    judge.check_answers(records);
    judge.verdict.findings.sort_by_key(|finding| finding.time);
    judge.verdict
}

struct Judge<'r> {
    rules: &'r Rules,
    outages: Outages,
    verdict: Verdict,
    attempts: Attempts,
    directors: Directors,
    seats: Seats,
    starting_nodes: StartingNodes,
    retry_windows: RetryWindows,
}

/// A director, and a node to which it sends.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Route {
    director: u32,
    node: u64,
}

impl Route {
    fn new(director: u32, node: u64) -> Route {
        Route { director, node }
    }
}

/// A set-up that arrived at a node.
struct SetUp<'r> {
    time: Timestamp,
    route: Route,
    id: AttemptId,
    tenant: Option<&'r str>,
    class: &'r str,
    title: &'r str,
    rung: usize,
}

impl Judge<'_> {
    fn process(&mut self, record: &Record) {
        let time = record.time();
        match record {
            Record::NodeStarted { .. } | Record::NodeStopped { .. } => {
                self.process_node_change(time, record)
            }
            Record::SetUpReceived { .. } | Record::SetUpFinished { .. } => {
                self.process_set_up(time, record)
            }
            Record::MigrationReceived { .. } | Record::MigrationReady { .. } => {
                self.process_migration(time, record)
            }
            Record::PartialRequest { .. }
            | Record::RungChanged { .. }
            | Record::SessionEnded { .. } => self.process_session_change(time, record),
            Record::EndpointNotified { .. }
            | Record::RequestSent { .. }
            | Record::DirectorStarted { .. } => self.process_director_event(time, record),
            _ => {}
        }
    }

    fn process_node_change(&mut self, time: Timestamp, record: &Record) {
        match record {
            Record::NodeStarted {
                node, places, warm, ..
            } => self.starting_nodes.start(*node, time, *places, *warm),
            Record::NodeStopped {
                node, overloaded, ..
            } => self.node_down(time, *node, *overloaded),
            _ => {}
        }
    }

    fn process_set_up(&mut self, time: Timestamp, record: &Record) {
        match record {
            Record::SetUpReceived {
                node,
                director,
                session,
                attempt,
                tenant,
                class,
                title,
                rung,
                ..
            } => self.set_up(&SetUp {
                time,
                route: Route::new(*director, *node),
                id: AttemptId::new(*session, *attempt),
                tenant: tenant.as_deref(),
                class,
                title,
                rung: *rung,
            }),
            Record::SetUpFinished {
                session,
                attempt,
                outcome,
                ..
            } => {
                let id = AttemptId::new(*session, *attempt);
                self.set_up_done(time, id, *outcome);
            }
            _ => {}
        }
    }

    fn process_migration(&mut self, time: Timestamp, record: &Record) {
        match record {
            Record::MigrationReceived {
                node,
                director,
                session,
                class,
                tenant,
                rung,
                ..
            } => {
                let route = Route::new(*director, *node);
                let tenant = tenant.as_deref();
                self.check_floor(time, *session, tenant, class, *rung);
                self.check_draining(time, route, tenant);
                self.check_slow_start(time, route, tenant);
            }
            Record::MigrationReady {
                node,
                session,
                attempt,
                ..
            } => {
                let id = AttemptId::new(*session, *attempt);
                self.hold(id, *node, time);
            }
            _ => {}
        }
    }

    fn process_session_change(&mut self, time: Timestamp, record: &Record) {
        match record {
            Record::PartialRequest {
                session: Some(session),
                attempt: Some(attempt),
                ..
            } => self
                .attempts
                .add_partial(AttemptId::new(*session, *attempt)),
            Record::RungChanged { session, rung, .. } => self.rung_changed(time, *session, *rung),
            Record::SessionEnded {
                node,
                session,
                attempt,
                ..
            } => {
                let id = AttemptId::new(*session, *attempt);
                self.release(id, *node, time);
            }
            _ => {}
        }
    }

    fn process_director_event(&mut self, time: Timestamp, record: &Record) {
        match record {
            Record::EndpointNotified {
                director,
                node,
                standing,
                node_started,
                ..
            } => {
                let route = Route::new(*director, *node);
                self.directors.notify(route, time, standing, *node_started);
            }
            Record::RequestSent { director, .. } => self.retry_windows.add_request(*director, time),
            Record::DirectorStarted { director, .. } => {
                self.directors.restart(*director, time);
                self.retry_windows.clear(*director);
                self.seats.clear(*director);
            }
            _ => {}
        }
    }

    fn node_down(&mut self, time: Timestamp, node: u64, overloaded: bool) {
        for id in self.attempts.at_node(node) {
            if let Some(director) = self.attempts.node_down(id, node, time) {
                let route = Route { director, node };
                self.directors.record_failure(route, time);
            }
            self.release(id, node, time);
        }
        if overloaded {
            self.check_overload(time, node);
        }
    }

    fn set_up(&mut self, set_up: &SetUp<'_>) {
        let SetUp {
            time,
            route,
            id,
            tenant,
            ..
        } = *set_up;
        self.check_floor(time, id.session, tenant, set_up.class, set_up.rung);
        self.check_duplicates(set_up);
        self.check_draining(time, route, tenant);
        self.check_slow_start(time, route, tenant);
        self.attempts.add(set_up);
        self.hold(id, route.node, time);
        self.check_retry_budget(set_up);
    }

    fn set_up_done(&mut self, time: Timestamp, id: AttemptId, outcome: SetUpOutcome) {
        let Some(route) = self.attempts.finish_set_up(id, time, outcome) else {
            return;
        };
        if outcome == SetUpOutcome::Abandoned {
            self.directors.record_failure(route, time);
        }
        if outcome != SetUpOutcome::Playing {
            self.release(id, route.node, time);
        }
    }

    fn rung_changed(&mut self, time: Timestamp, session: u64, rung: usize) {
        let Some(attempt) = self.attempts.playing(session) else {
            return;
        };
        let tenant = attempt.tenant.clone();
        let class = attempt.class.clone();
        self.check_floor(time, session, tenant.as_deref(), &class, rung);
    }
}
