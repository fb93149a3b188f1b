//! The coordinator: takes what happened, passes it between the owners of the states and the decision module, and
//! queues what is to be done.
//!
//! [`DirectorProtocol`] holds the owners and changes none of their state by itself: it calls their methods, and hands
//! what they return to the next one. Its submodules each translate one kind of input:
//! `viewer_events` and `requests` what viewers send, `node_events` and `node_lifecycle` what nodes send and how their
//! connections end, `endpoint_events` the endpoint list, `actions` what the decision module orders; `attempts` and
//! `sessions` follow a request from its first set-up to its end; `transmit` says what a connection writes next,
//! `maintenance` what is done a few times a second, `shutdown` how a director ends.

mod actions;
mod attempts;
mod endpoint_events;
mod health_check_events;
mod maintenance;
mod node_events;
mod node_lifecycle;
mod releases;
mod requests;
mod sessions;
mod shutdown;
mod transmit;
mod viewer_events;

use crate::config::Config;
use crate::half_close::HalfClosedConnections;
use crate::health_checks::HealthChecks;
use crate::ids::{ConnectionId, HealthCheckId, Peer};
use crate::node_connections::NodeConnections;
use crate::node_registry::NodeRegistry;
use crate::output::{Output, OutputQueue};
use crate::session_table::{SessionCounts, SessionTable};
use crate::status::{ConnectionCounts, Status, StatusCounters};
use crate::timeouts::Timeouts;
use crate::viewer_connections::ViewerConnections;
use shalewall::{
    Action, Director, Event, LoadReport, Outcome, ServerId, SessionId, Settings, Timestamp,
};
use shalewall_director_config::{DirectorConfig, DriverLimits, Names, SettingError};
use shalewall_timers::Timers;
use std::collections::VecDeque;

/// Descriptors that are neither viewers' nor nodes': listener, endpoint watch, log, signals and what the runtime needs.
const RESERVED_DESCRIPTORS: usize = 32;
/// Connections that there may be whatever the limit.
const MIN_CONNECTIONS: usize = 8;
/// This part of the connections is for nodes, the rest for viewers.
const NODE_CONNECTIONS_DIVISOR: usize = 3;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// The decision module set it.
    Module(u64),
    /// An attempt of a session has no answer.
    Attempt(SessionId, u32),
    HealthCheck(HealthCheckId),
    /// A node must have learned that its connection was closed: the next one can be opened.
    Reconnect(ServerId),
    /// A director that shuts down answers what still waits.
    FinalAnswers,
    Maintenance,
}

/// One director.
pub struct DirectorProtocol {
    now: Timestamp,
    // What it was told at its start.
    settings: Settings,
    names: Names,
    driver_limits: DriverLimits,
    timeouts: Timeouts,
    // The owners.
    viewers: ViewerConnections,
    node_connections: NodeConnections,
    half_closed: HalfClosedConnections,
    health_checks: HealthChecks,
    nodes: NodeRegistry,
    sessions: SessionTable,
    // The decision module, its events that wait, and its actions, kept for their allocation.
    director: Director,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    timers: Timers<Timer, Timestamp>,
    outputs: OutputQueue,
    /// Sessions and health checks are numbered together.
    last_id: u64,
    is_shutting_down: bool,
    counters: StatusCounters,
}

impl DirectorProtocol {
    /// A director that knows what its configuration says. `now` is the time of its start.
    pub fn new(config: &Config, now: Timestamp) -> Result<DirectorProtocol, SettingError> {
        let DirectorConfig {
            settings,
            names,
            driver_limits,
        } = DirectorConfig::from_json(&config.settings)?;
        let descriptors = config.limits.sockets;
        let connections = descriptors
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(MIN_CONNECTIONS);
        let node_connections = connections / NODE_CONNECTIONS_DIVISOR;
        let mut protocol = DirectorProtocol {
            now,
            director: Director::new(config.seed(), settings.clone(), now),
            settings,
            names,
            timeouts: Timeouts::new(&driver_limits),
            driver_limits,
            viewers: ViewerConnections::new(connections - node_connections),
            node_connections: NodeConnections::new(node_connections),
            half_closed: HalfClosedConnections::default(),
            health_checks: HealthChecks::default(),
            nodes: NodeRegistry::default(),
            sessions: SessionTable::default(),
            events: VecDeque::new(),
            actions: Vec::new(),
            timers: Timers::default(),
            outputs: OutputQueue::default(),
            last_id: 0,
            is_shutting_down: false,
            counters: StatusCounters::default(),
        };
        protocol.set_maintenance_timer();
        protocol.apply_known_events(config, now);
        Ok(protocol)
    }

    // ---- input -------------------------------------------------------------------------------

    /// Bytes were received.
    pub fn handle_bytes(&mut self, now: Timestamp, connection: ConnectionId, bytes: &[u8]) {
        self.now = now;
        match connection.0 {
            Peer::Viewer(id) => self.handle_viewer_bytes(id, bytes),
            Peer::Node(id) => self.handle_node_bytes(id, bytes),
        }
    }

    /// The other side closed the connection, or it broke. `is_clean`: it was closed after its last message.
    pub fn connection_closed(&mut self, now: Timestamp, connection: ConnectionId, is_clean: bool) {
        self.now = now;
        match connection.0 {
            Peer::Viewer(id) => self.close_viewer(id),
            Peer::Node(id) => self.handle_node_closed(id, is_clean),
        }
        self.run_module();
    }

    /// Timers may be due.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        self.now = now;
        if let Some(due) = self.timers.next_due() {
            self.counters.record_timer_delay(now - due);
        }
        while let Some(timer) = self.timers.pop_due(now) {
            self.handle_timer(timer);
            self.run_module();
        }
    }

    fn handle_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Module(token) => self.events.push_back(Event::TimerFired(token)),
            Timer::Attempt(session, number) => self.attempt_timed_out(session, number),
            Timer::HealthCheck(id) => {
                self.health_check_failed(id, Outcome::TimedOut);
            }
            Timer::Reconnect(server) => self.reconnect(server),
            Timer::FinalAnswers => self.send_final_answers(),
            Timer::Maintenance => {
                self.set_maintenance_timer();
                self.maintain();
            }
        }
    }

    // ---- output ------------------------------------------------------------------------------

    /// What is to be done next.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop()
    }

    /// When to call [`DirectorProtocol::handle_timeout`].
    pub fn poll_timeout(&self) -> Option<Timestamp> {
        self.timers.next_due()
    }

    // ---- status ------------------------------------------------------------------------------

    /// How many requests and sessions there are.
    pub fn session_counts(&self) -> SessionCounts {
        self.sessions.counts()
    }

    /// How many connections and nodes there are.
    pub fn connection_counts(&self) -> ConnectionCounts {
        ConnectionCounts {
            viewers: self.viewers.len(),
            nodes: self.node_connections.len() + self.half_closed.len(),
            known_nodes: self.nodes.len(),
        }
    }

    /// What there is now, and what has happened since the last look.
    pub fn status(&mut self) -> Status {
        let counters = std::mem::take(&mut self.counters);
        let tally = self.node_connections.take_tally();
        Status::new(
            self.session_counts(),
            self.connection_counts(),
            self.director.server_estimates(),
            counters,
            tally,
        )
    }

    // ---- shared by the submodules ------------------------------------------------------------

    /// A number for a session or a health check.
    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Tells the decision module that an attempt or a session ended.
    fn report_end(
        &mut self,
        session: SessionId,
        attempt: u32,
        server: ServerId,
        reported: ReportedOutcome,
        is_answered: bool,
    ) {
        self.counters.count_ended(reported.outcome);
        self.events.push_back(Event::AttemptFinished {
            session,
            attempt,
            server,
            outcome: reported.outcome,
            is_answered,
            load_report: reported.load_report,
        });
    }
}

/// How an attempt or a session ended, and what its node reported with that.
#[derive(Clone, Copy)]
struct ReportedOutcome {
    outcome: Outcome,
    load_report: LoadReport,
}

impl From<Outcome> for ReportedOutcome {
    /// An end of which the node reported nothing.
    fn from(outcome: Outcome) -> ReportedOutcome {
        ReportedOutcome {
            outcome,
            load_report: LoadReport::default(),
        }
    }
}
