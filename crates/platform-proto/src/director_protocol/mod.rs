//! The coordinator: receives inputs, passes them between the state owners and the decision module, and queues the
//! resulting outputs.
//!
//! [`DirectorProtocol`] contains the owners and changes their state only by their methods, whose results it passes to
//! the next owner. Each submodule handles one kind of input or task: `viewer_events` and `requests` messages of
//! viewers, `node_events` and `node_lifecycle` messages of nodes and the lifecycle of their connections,
//! `endpoint_events` the endpoint list, `health_check_events` and `releases` health checks and releases of orphaned
//! sessions, `actions` the actions of the decision module, `attempts` and `sessions` a request from its first set-up to
//! its end, `transfers` sessions from before this director's start, `transmit` the next bytes of a connection,
//! `maintenance` periodic tasks, and `shutdown` the graceful shutdown.

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
mod transfers;
mod transmit;
mod viewer_events;

use crate::arrival::Arrival;
use crate::catch_up::CatchUp;
use crate::config::Config;
use crate::half_close::HalfClosedConnections;
use crate::health_checks::HealthChecks;
use crate::ids::{ConnectionId, HealthCheckId, NodeConnectionId, Peer};
use crate::memory_limits::MemoryLimits;
use crate::node_connections::NodeConnections;
use crate::node_registry::NodeRegistry;
use crate::output::{Output, OutputQueue};
use crate::permission::ViewerCloseReason;
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

/// File descriptors reserved for the listener, the endpoint watch, the log, signals and the runtime.
const RESERVED_DESCRIPTORS: usize = 32;
/// Minimum number of connections, even if the descriptor limit is lower.
const MIN_CONNECTIONS: usize = 8;
/// One connection in this many is reserved for nodes, the rest is for viewers.
const NODE_CONNECTIONS_DIVISOR: usize = 3;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// Set by the decision module.
    Module(u64),
    /// Timeout of a session's attempt.
    Attempt(SessionId, u32),
    HealthCheck(HealthCheckId),
    /// A message on the connection waits no longer for what follows it.
    ContentLength(NodeConnectionId),
    /// The node has had enough time to notice that its connection was closed: the next one can be opened.
    Reconnect(ServerId),
    /// During a shutdown, the remaining requests are answered.
    FinalAnswers,
    /// What arrived while the process did not run has been read: held messages are written.
    CatchUp,
    Maintenance,
}

/// The protocol state machine of one director.
pub struct DirectorProtocol {
    now: Timestamp,
    // Configuration from the start.
    settings: Settings,
    names: Names,
    driver_limits: DriverLimits,
    timeouts: Timeouts,
    memory_limits: MemoryLimits,
    // State owners.
    viewers: ViewerConnections,
    node_connections: NodeConnections,
    half_closed: HalfClosedConnections,
    health_checks: HealthChecks,
    nodes: NodeRegistry,
    sessions: SessionTable,
    catch_up: CatchUp,
    // The decision module, its queued events, and a buffer for its actions that is reused.
    director: Director,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    timers: Timers<Timer, Timestamp>,
    outputs: OutputQueue,
    /// The last id; sessions and health checks share one sequence.
    last_id: u64,
    /// The transferred session that was last checked for having been abandoned.
    last_checked_transfer: SessionId,
    is_shutting_down: bool,
    counters: StatusCounters,
}

impl DirectorProtocol {
    /// Creates a director from its configuration. `now` is the start time.
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
        let memory_limits = MemoryLimits::new(&config.limits);
        let mut protocol = DirectorProtocol {
            now,
            director: Director::new(config.seed(), settings.clone(), now),
            settings,
            names,
            timeouts: Timeouts::new(&driver_limits),
            driver_limits,
            memory_limits,
            viewers: ViewerConnections::new(connections - node_connections, &memory_limits),
            node_connections: NodeConnections::new(node_connections),
            half_closed: HalfClosedConnections::default(),
            health_checks: HealthChecks::default(),
            nodes: NodeRegistry::default(),
            sessions: SessionTable::default(),
            catch_up: CatchUp::default(),
            events: VecDeque::new(),
            actions: Vec::new(),
            timers: Timers::default(),
            outputs: OutputQueue::default(),
            last_id: 0,
            last_checked_transfer: SessionId(0),
            is_shutting_down: false,
            counters: StatusCounters::default(),
        };
        protocol.set_maintenance_timer();
        protocol.apply_known_events(config, now);
        Ok(protocol)
    }

    // ---- inputs ------------------------------------------------------------------------------

    /// Handles bytes that arrived on a connection just now.
    pub fn handle_bytes(&mut self, now: Timestamp, connection: ConnectionId, bytes: &[u8]) {
        self.handle_arrived_bytes(now, connection, Arrival::at(now), bytes);
    }

    /// Handles bytes that arrived on a connection at a known time. The time that a viewer waits counts from then on.
    pub fn handle_arrived_bytes(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        arrival: Arrival,
        bytes: &[u8],
    ) {
        self.now = now;
        if CatchUp::is_late(arrival.last_byte, now) {
            let until = self.catch_up.record_late_read(now);
            self.set_catch_up_timer(until);
        }
        match connection.0 {
            Peer::Viewer(id) => self.handle_viewer_bytes(id, arrival, bytes),
            Peer::Node(id) => self.handle_node_bytes(id, bytes),
        }
    }

    /// Holds set-ups and viewers' lines for a moment, because the process did not run: older events may be unread on
    /// other sockets.
    pub fn begin_catch_up(&mut self, now: Timestamp) {
        self.now = now;
        let until = self.catch_up.record_pause(now);
        self.set_catch_up_timer(until);
    }

    fn set_catch_up_timer(&mut self, until: Option<Timestamp>) {
        if let Some(until) = until {
            self.timers.set(until, Timer::CatchUp);
        }
    }

    fn finish_catch_up(&mut self) {
        for connection in self.catch_up.finish(self.now) {
            self.outputs.write(connection);
        }
    }

    /// Handles the end of a connection's incoming stream after its last message. Returns whether the connection stays
    /// open for what is still to be written; otherwise the driver has to report it as closed.
    pub fn handle_end_of_stream(&mut self, now: Timestamp, connection: ConnectionId) -> bool {
        self.now = now;
        match connection.0 {
            Peer::Viewer(id) => {
                self.handle_viewer_end_of_stream(id);
                self.viewers.contains(id)
            }
            Peer::Node(_) => false,
        }
    }

    /// Handles a connection that has ended. `is_clean`: a node closed it after its last message, or this side a viewer's
    /// after its last line; otherwise it broke.
    pub fn connection_closed(&mut self, now: Timestamp, connection: ConnectionId, is_clean: bool) {
        self.now = now;
        match connection.0 {
            Peer::Viewer(id) if is_clean => self.close_viewer(id, ViewerCloseReason::Finished),
            Peer::Viewer(id) => self.close_viewer(id, ViewerCloseReason::Broken),
            Peer::Node(id) => self.handle_node_closed(id, is_clean),
        }
        self.process_module_events();
    }

    /// Handles all timers that are due.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        self.now = now;
        if let Some(due) = self.timers.next_due() {
            self.counters.record_timer_delay(now - due);
        }
        while let Some(timer) = self.timers.pop_due(now) {
            self.handle_timer(timer);
            self.process_module_events();
        }
    }

    fn handle_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Module(token) => self.events.push_back(Event::TimerFired(token)),
            Timer::Attempt(session, number) => self.attempt_timed_out(session, number),
            Timer::HealthCheck(id) => {
                self.health_check_failed(id, Outcome::TimedOut);
            }
            Timer::ContentLength(id) => self.content_length_timed_out(id),
            Timer::Reconnect(server) => self.reconnect(server),
            Timer::FinalAnswers => self.send_final_answers(),
            Timer::CatchUp => self.finish_catch_up(),
            Timer::Maintenance => {
                self.set_maintenance_timer();
                self.maintain();
            }
        }
    }

    // ---- outputs -----------------------------------------------------------------------------

    /// Returns the next action for the driver.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop()
    }

    /// Returns the time at which to call [`DirectorProtocol::handle_timeout`].
    pub fn poll_timeout(&self) -> Option<Timestamp> {
        self.timers.next_due()
    }

    // ---- status ------------------------------------------------------------------------------

    /// Current number of requests and sessions.
    pub fn session_counts(&self) -> SessionCounts {
        self.sessions.counts()
    }

    /// Current number of connections and nodes.
    pub fn connection_counts(&self) -> ConnectionCounts {
        ConnectionCounts {
            viewers: self.viewers.len(),
            nodes: self.node_connections.len() + self.half_closed.len(),
            known_nodes: self.nodes.len(),
        }
    }

    /// Returns the current counts and the events since the previous call, and resets the latter.
    pub fn status(&mut self) -> Status {
        let counters = std::mem::take(&mut self.counters);
        let tally = self.node_connections.take_tally();
        Status::new(
            self.session_counts(),
            self.connection_counts(),
            self.director.server_estimates(),
            counters,
            tally,
            self.timers.len(),
        )
    }

    // ---- shared by the submodules ------------------------------------------------------------

    /// Returns a new id for a session or a health check.
    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Reports the end of an attempt or a session to the decision module.
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

/// The outcome of an attempt, a session or a health check, with the load report that its node sent.
#[derive(Clone, Copy)]
struct ReportedOutcome {
    outcome: Outcome,
    load_report: LoadReport,
}

impl From<Outcome> for ReportedOutcome {
    /// An outcome without a load report.
    fn from(outcome: Outcome) -> ReportedOutcome {
        ReportedOutcome {
            outcome,
            load_report: LoadReport::default(),
        }
    }
}
