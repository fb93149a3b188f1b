//! The public types of the decision module: settings, events, actions, ids and outcomes. There is no logic
//! here.
//!
//! Times are [`Timestamp`]s of the caller's clock and durations are [`TimeDelta`]s. Rates are in kilobytes
//! per second (`kb_s`). Utilization is the sum of requested rates over capacity: 1 is full, and it may exceed
//! 1. Utility is the value of one second of play: 1 at the top of the ladder for a class of weight 1.

use crate::time::{TimeDelta, Timestamp};

/// A time or a duration in microseconds, for code that does not use [`Timestamp`] and [`TimeDelta`] yet.
pub type Micros = i64;

/// A media server. All directors use the same id, and it does not change when the server restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

/// A request for a session, and the session that results from it. Unique, and below 2^52.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// What viewers request, such as a film or a live feed. The same content in two classes, or of two tenants,
/// is two titles.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TitleId(pub u64);

/// Settings that are given once, at the start. An absent optional setting disables its feature.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// This director's index, from 0.
    pub director_index: u32,
    /// Number of directors that share the fleet.
    pub director_count: u32,
    /// Index of this director's zone, if it is known.
    pub zone: Option<usize>,
    /// Request classes; events name them by index.
    pub classes: Vec<ClassSettings>,
    /// Tenants; events name them by index. May be empty.
    pub tenants: Vec<TenantSettings>,
    /// The ladder of rates, lowest first.
    pub ladder: Vec<Rung>,
    /// Number of cells that titles are distributed over. A server hosts the titles of its cell.
    pub cell_count: u64,
    /// Number of racks; a server's rack is its cell modulo this. 0: no rack uplinks.
    pub rack_count: u64,
    /// Maximum number of streams of a server, by machine kind.
    pub stream_capacity_by_kind: Vec<f64>,
    /// Whether the weights of the endpoint list are proportional to link capacity.
    pub weight_is_capacity: bool,
    /// Link capacity per unit of a server's weight, kB/s. 0: unknown.
    pub link_kb_s_per_weight: f64,
    /// Capacity of all links together at the start, kB/s. 0: unknown.
    pub fleet_kb_s: f64,
    /// Mean uplink capacity of a rack, kB/s. 0: unknown.
    pub rack_uplink_kb_s: f64,
    /// Additional rate for each further viewer of a live title on the same stream, as a fraction of the
    /// stream's rate. 1: viewers do not share streams.
    pub join_rate_fraction: f64,
    /// Age of notifications on arrival.
    pub notification_delay: TimeDelta,
    /// Interval between utilization notifications of one server. 0: there are none.
    pub notification_interval: TimeDelta,
    /// Fraction of utility lost per fraction of the rate that is not delivered. 0: unknown.
    pub stall_penalty: f64,
    /// Cost of changing the rung of a playing session, in seconds of the session's utility.
    pub rung_change_cost_s: f64,
    /// Cost if all sessions were served from another zone, as a fraction of all utility.
    pub zone_crossing_price: f64,
    /// Weight of a request above its tenant's quota, as a fraction of its class's weight.
    pub over_quota_weight: f64,
    /// Parameters of the rules that all directors follow.
    pub rules: RuleSettings,
    /// Limits that the site sets.
    pub limits: Limits,
    /// Whether the director has to poll or subscribe to the endpoint list.
    pub must_poll_endpoints: bool,
}

/// One rung of the ladder.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rung {
    /// Rate, kB/s.
    pub rate_kb_s: f64,
    /// Utility of a second at this rung, 1 at the top of the ladder.
    pub utility: f64,
}

/// Whether a set-up of a class may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// May be set up more than once without side effects.
    Idempotent,
    /// Charged at set-up, or not known to be repeatable: must not be set up twice.
    #[default]
    AtMostOnce,
}

/// Settings of a request class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassSettings {
    /// Whether a set-up may be repeated.
    pub idempotency: Idempotency,
    /// Objective for the time from the request until it plays.
    pub latency_objective: TimeDelta,
    /// Utility of one second at a rung of utility 1.
    pub priority_weight: f64,
    /// Factor from the ladder's rates to those of the class.
    pub rate_scale: f64,
    /// Lowest rung that its sessions may have.
    pub lowest_rung: usize,
    /// Highest rung that its sessions may have.
    pub highest_rung: usize,
    /// Maximum number of sessions of one title at one director. 0: no limit.
    pub session_limit_per_title: u32,
    /// The class's titles are live.
    pub is_live: bool,
}

/// A tenant's quotas.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantSettings {
    /// Requests per second within its quota, over all directors. 0: no limit.
    pub request_quota_per_s: f64,
    /// Fraction of the fleet that is reserved for it when every tenant needs its quota, from 0 to 1. 0: no
    /// quota.
    pub fleet_quota: f64,
}

/// Parameters of the rules that all directors follow.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RuleSettings {
    /// Longest time that a server needs to warm up after its start.
    pub warm_up: TimeDelta,
    /// Capacity of a server that has just started, as a fraction of its full capacity.
    pub initial_capacity: f64,
    /// A warming server fails when its set-ups in an overload window exceed the rate that it can sustain by
    /// this factor.
    pub overload_factor: f64,
    /// Length of the window over which overload is measured.
    pub overload_window: TimeDelta,
    /// Longest time for which a director without a subscription may leave the endpoint list unpolled. Such
    /// a director is assumed to know every change that is older than this.
    pub poll_deadline: TimeDelta,
    /// Budget of retries; `None`: no limit.
    pub retry_budget: Option<RetryBudget>,
}

/// The budget of retries: attempts after a request's first one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed in a window regardless of traffic.
    pub base: f64,
    /// Additional retries for each request in the window.
    pub per_request: f64,
    /// Length of the sliding window.
    pub window: TimeDelta,
}

/// Limits that a site sets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub can_cancel: bool,
    /// Whether health checks may be sent.
    pub can_check_health: bool,
    /// Cost of one health check per request, as a fraction of all utility.
    pub health_check_price: f64,
    /// Longest Retry-After that viewers respect. 0: rejections carry none.
    pub max_retry_after: TimeDelta,
    /// Shortest interval between two batches of events.
    pub min_batch_interval: TimeDelta,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Index of its zone, if it is one of the settings' zones.
    pub zone: Option<usize>,
    /// Index of its machine kind, if it is one of the settings' kinds.
    pub machine_kind: Option<usize>,
    /// The cell whose titles it hosts.
    pub cell: u64,
    /// Whether it accepts requests.
    pub state: EndpointState,
    /// Its size in arbitrary units; see [`Settings::weight_is_capacity`].
    pub weight: f64,
    /// Time of its last start; `None` if it is long past.
    pub started_at: Option<Timestamp>,
    /// The only fleet whose requests it accepts. 0: the shared fleet.
    pub fleet: u32,
}

/// State of a server in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts requests.
    Ready,
    /// Keeps its sessions and accepts no requests.
    Draining,
    /// No longer exists.
    #[default]
    Gone,
}

/// Which part of the endpoint list an event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The complete current list.
    Full,
    /// The complete list from this director's cache; may be stale.
    Cached,
    /// Changed entries only.
    Delta,
    /// Nothing: a poll of the list failed or the subscription ended.
    Failed,
}

/// A viewer's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// The requested session.
    pub session: SessionId,
    /// Index of the class. A request with an unknown class is rejected.
    pub class: usize,
    /// Index of the tenant, if it has one.
    pub tenant: Option<usize>,
    /// Identifies the viewer; equal in all requests of one viewer.
    pub viewer: u64,
    /// The title.
    pub title: TitleId,
    /// Time until which the viewer waits for an answer.
    pub deadline: Timestamp,
    /// Estimate of the session's duration.
    pub duration_hint: Option<TimeDelta>,
    /// First cell that hosts the title.
    pub first_cell: u64,
    /// Number of consecutive cells that host it.
    pub replica_cells: u64,
    /// Highest rung that the viewer can use.
    pub highest_rung: usize,
    /// Whether it is known to repeat an earlier request.
    pub is_retry: bool,
    /// The fleet that has to serve it.
    pub fleet: u32,
}

/// Load that a server reports with an answer; each figure is optional.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Streams that run or are being set up.
    pub streams: Option<f64>,
    /// Utilization of its link.
    pub link_utilization: Option<f64>,
    /// Utilization of its rack's uplink.
    pub uplink_utilization: Option<f64>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The session played to its end, or the health check was answered.
    Success,
    /// The server returned an error; the set-up may have run.
    Error,
    /// The server rejected the attempt without processing it; the set-up did not run.
    Rejected,
    /// No answer in time; the set-up may have run.
    TimedOut,
    /// The connection could not be opened; the set-up did not run.
    ConnectionFailed,
    /// The connection was reset; the set-up may have run.
    ConnectionReset,
    /// Cancelled; the set-up may have run.
    Cancelled,
    /// Not sent; the set-up did not run.
    NotSent,
}

/// A server's notification about a session.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Notification {
    /// Fraction of the session's rate that the server delivers.
    DeliveredFraction(f64),
    /// The session's current rung.
    CurrentRung(usize),
    /// Utilization of the server's link.
    LinkUtilization(f64),
    /// Utilization of its rack's uplink.
    UplinkUtilization(f64),
}

/// An input of a director.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list, or a change of it, has arrived or has failed to arrive.
    EndpointsUpdated {
        /// Which part of the list it is.
        update: EndpointUpdate,
        /// The entries; empty after a failure.
        endpoints: Vec<Endpoint>,
    },
    /// A viewer requests a session.
    RequestReceived(Request),
    /// A session that already played on this server when the director started.
    SessionTransferred(Request, ServerId),
    /// A session has started to play.
    SessionStarted {
        /// The session.
        session: SessionId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The server on which it plays.
        server: ServerId,
        /// Time from sending the attempt to its first answer.
        setup_time: TimeDelta,
    },
    /// An attempt, or the session that it started, has ended.
    AttemptFinished {
        /// The session.
        session: SessionId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The server that it was sent to.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// Whether the request already has its final answer.
        is_answered: bool,
        /// Load that the server reported with the result.
        load_report: LoadReport,
    },
    /// A server has sent a notification about a session.
    Notified {
        /// The session.
        session: SessionId,
        /// Number of its attempt, from 0.
        attempt: u32,
        /// The server that sent it.
        server: ServerId,
        /// Its content.
        notification: Notification,
    },
    /// The viewer has left, or the answer is overdue: the request needs no answer any more.
    RequestWithdrawn(SessionId),
    /// The timer with this token, set by [`Action::SetTimer`], has fired.
    TimerFired(u64),
    /// A health check has finished.
    HealthCheckFinished {
        /// The checked server.
        server: ServerId,
        /// How the check ended.
        outcome: Outcome,
        /// Load that the server reported with the result.
        load_report: LoadReport,
    },
    /// Replaces the classes and tenants of the settings. An index must keep its meaning until every request
    /// and session that uses it has ended.
    SettingsUpdated {
        /// All classes.
        classes: Vec<ClassSettings>,
        /// All tenants.
        tenants: Vec<TenantSettings>,
    },
    /// A playing session should migrate if another server has capacity. The response to this event contains
    /// [`Action::Migrate`], or no action if there is no capacity.
    MigrationRequested(SessionId),
    /// The migration has finished. Until this event the session may be at both servers.
    MigrationFinished {
        /// The session.
        session: SessionId,
        /// Whether it plays at the target; otherwise it still plays at the source.
        migrated: bool,
    },
    /// Players receive no data from this server: its process has stopped or hangs.
    ServerSilent(ServerId),
    /// A message from another director. This version ignores it.
    PeerMessage {
        /// Number of the director that sent it.
        from: u32,
        /// Its content.
        body: Vec<u8>,
    },
}

/// An output of a director, for its caller to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt: set the session up at a server.
    StartAttempt {
        /// The session; the preceding [`Action::SetRung`] has set its rung.
        session: SessionId,
        /// The server to set it up at.
        server: ServerId,
        /// Longest wait for an answer; `None`: until the viewer's deadline.
        attempt_timeout: Option<TimeDelta>,
    },
    /// Set the rung, before an attempt or while the session plays.
    SetRung {
        /// The session.
        session: SessionId,
        /// Its new rung.
        rung: usize,
    },
    /// Final answer: rejected. The viewer may try again.
    Reject {
        /// The requested session.
        session: SessionId,
        /// Retry-After for the viewer; `None`: no advice.
        retry_after: Option<TimeDelta>,
    },
    /// Final answer: failed.
    Fail {
        /// The requested session.
        session: SessionId,
    },
    /// Cancel an attempt that is in flight.
    CancelAttempt {
        /// The session.
        session: SessionId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// End a playing session; its viewer will request it again.
    Redirect {
        /// The session.
        session: SessionId,
    },
    /// Migrate a playing session.
    Migrate {
        /// The session.
        session: SessionId,
        /// The target.
        server: ServerId,
        /// Its rung at the target.
        rung: usize,
    },
    /// Set a timer; [`Event::TimerFired`] returns its token.
    SetTimer {
        /// Delay until it fires.
        after: TimeDelta,
        /// Identifies the timer.
        token: u64,
    },
    /// Send a health check.
    CheckHealth {
        /// The server to check.
        server: ServerId,
    },
    /// Poll the endpoint list once.
    PollEndpoints,
    /// Subscribe to changes of the endpoint list, or stop.
    WatchEndpoints(bool),
    /// Close the idle connections to a server.
    CloseIdleConnections {
        /// The server.
        server: ServerId,
    },
    /// Send a message to one or all other directors.
    SendToPeer {
        /// Number of the receiver; `None`: all other directors.
        to: Option<u32>,
        /// Its content.
        body: Vec<u8>,
    },
    /// Write a line to the log.
    Log(String),
}
