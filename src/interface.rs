//! What a director is given and what it answers: settings, events, actions, ids, outcomes.
//!
//! No logic lives here. Times are [`Timestamp`]s of the caller's clock, lengths of time are [`TimeDelta`]s, rates are
//! kilobytes a second (`kb_s`), utilization is rates asked over capacity (1 is full), and utility is what a second of
//! play is worth, 1 at the top of the ladder for a class of weight 1.

use crate::time::{TimeDelta, Timestamp};

/// Microseconds of the caller's clock, or a number of them, where [`Timestamp`] and [`TimeDelta`] are not used yet.
pub type Micros = i64;

/// A media server. The same at every director, and kept when its process restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

/// One request for a session and the session that follows from it. Never used twice, and below 2^52.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(pub u64);

/// What viewers ask for: a film, a feed, a walkthrough. The same title under two classes, or of two tenants, is two.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TitleId(pub u64);

/// Settings given once, at the start. An absent optional setting switches off what it governs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// This director's number, from 0.
    pub director_index: u32,
    /// How many directors share the fleet.
    pub director_count: u32,
    /// Index of this director's zone, if it is known.
    pub zone: Option<usize>,
    /// Request classes; events name them by index.
    pub classes: Vec<ClassSettings>,
    /// Tenants; events name them by index. May be empty.
    pub tenants: Vec<TenantSettings>,
    /// The ladder of rates, lowest first.
    pub ladder: Vec<Rung>,
    /// Number of cells that titles are laid out over.
    pub cell_count: u64,
    /// Number of racks; a server's rack is its cell modulo this. 0: no rack uplinks.
    pub rack_count: u64,
    /// Streams that a server runs at most, for each machine kind.
    pub stream_capacity_by_kind: Vec<f64>,
    /// Whether the listed weights say something of a server's size.
    pub weight_is_capacity: bool,
    /// Link capacity for each unit of a server's weight, kB a second. 0: unknown.
    pub link_kb_s_per_weight: f64,
    /// All links together at the start, kB a second. 0: unknown.
    pub fleet_kb_s: f64,
    /// Mean uplink capacity of a rack, kB a second. 0: unknown.
    pub rack_uplink_kb_s: f64,
    /// What a further viewer of a live title adds to a stream, as a fraction of its rate. 1: viewers share nothing.
    pub join_rate_fraction: f64,
    /// How late notifications come.
    pub notification_delay: TimeDelta,
    /// Time between utilization notifications of one server. 0: none come.
    pub notification_interval: TimeDelta,
    /// Points of utility lost for each point of the rate that is not delivered. 0: unknown.
    pub stall_penalty: f64,
    /// Cost of a change of rung while playing, in seconds of the session's utility.
    pub rung_change_cost_s: f64,
    /// What it costs if all sessions cross zones, as a fraction of all utility.
    pub zone_crossing_price: f64,
    /// Weight of a request beyond its tenant's quota, as a fraction of its class's weight.
    pub over_quota_weight: f64,
    /// Figures of the rules that all directors keep.
    pub rules: RuleSettings,
    /// What the site permits.
    pub limits: Limits,
    /// True where the endpoint list must be polled or subscribed to.
    pub must_poll_endpoints: bool,
}

/// One rung of the ladder.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rung {
    /// Rate, kB a second.
    pub rate_kb_s: f64,
    /// Utility of playing at it, 1 at the top.
    pub utility: f64,
}

/// Whether a set-up of a class may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// May be set up again without harm.
    Idempotent,
    /// Paid for at set-up, or not known to be repeatable: set up once.
    #[default]
    AtMostOnce,
}

/// Terms of a request class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassSettings {
    /// Whether a set-up may be repeated.
    pub idempotency: Idempotency,
    /// Wanted playing within this time.
    pub latency_objective: TimeDelta,
    /// Utility of one second at a rung of utility 1.
    pub priority_weight: f64,
    /// Rates of the class over those of the ladder.
    pub rate_scale: f64,
    /// Lowest rung that may be set.
    pub lowest_rung: usize,
    /// Highest rung of the class.
    pub highest_rung: usize,
    /// Sessions of one title that a director may hold. 0: no limit.
    pub session_limit_per_title: u32,
    /// The class's titles are live.
    pub is_live: bool,
}

/// A tenant's quotas.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantSettings {
    /// Requests a second, over all directors, within its quota. 0: no limit.
    pub request_quota_per_s: f64,
    /// Fraction of the fleet that is its own when all want theirs, from 0 to 1. 0: none is set.
    pub fleet_quota: f64,
}

/// Figures of the rules that all directors keep.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RuleSettings {
    /// A started server is warm after this at the latest.
    pub warm_up: TimeDelta,
    /// It begins at this fraction of its capacity.
    pub initial_capacity: f64,
    /// It falls over at this multiple of its pace ...
    pub overload_factor: f64,
    /// ... over this length of time.
    pub overload_window: TimeDelta,
    /// An unsubscribed director that has not polled the endpoint list for this long is taken to know of its changes.
    pub poll_deadline: TimeDelta,
    /// Retries allowed in each window; absent: no limit.
    pub retry_budget: Option<RetryBudget>,
}

/// The budget of attempts beyond each request's first.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed in any window.
    pub base: f64,
    /// Retries allowed on top for each request of the window.
    pub per_request: f64,
    /// Length of the sliding window.
    pub window: TimeDelta,
}

/// What a site permits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    /// Attempts for one request at most.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub can_cancel: bool,
    /// Servers may be sent health checks.
    pub can_check_health: bool,
    /// What one health check for each request costs, as a fraction of all utility.
    pub health_check_price: f64,
    /// Longest advice on when to return that viewers honour. 0: advice is not passed on.
    pub max_retry_after: TimeDelta,
    /// Smallest time between two batches of events.
    pub min_batch_interval: TimeDelta,
}

/// One line of the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Index of its zone, if it is one of the settings' zones.
    pub zone: Option<usize>,
    /// Index of its machine kind, if it is one of the settings' kinds.
    pub machine_kind: Option<usize>,
    /// The cell whose titles it holds.
    pub cell: u64,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// Its size in units of the fleet's choice; see [`Settings::weight_is_capacity`].
    pub weight: f64,
    /// Time of its last start; absent: long past.
    pub started_at: Option<Timestamp>,
    /// It takes requests of this fleet alone. 0: the one that all share.
    pub fleet: u32,
}

/// What the endpoint list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    Ready,
    /// Keeps its sessions and takes no more.
    Draining,
    /// Is not there.
    #[default]
    Gone,
}

/// How much of the endpoint list an event brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The complete list as it is now.
    Full,
    /// The complete list as this director last held it; may be stale.
    Cached,
    /// Changed lines only.
    Delta,
    /// A poll of the list failed or the subscription broke.
    Failed,
}

/// A viewer's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// The session that it asks for.
    pub session: SessionId,
    /// Index of the class. One that the settings lack is rejected.
    pub class: usize,
    /// Index of the tenant, if it has one.
    pub tenant: Option<usize>,
    /// The same when a viewer returns.
    pub viewer: u64,
    /// The title.
    pub title: TitleId,
    /// The viewer waits until then.
    pub deadline: Timestamp,
    /// Guess of the session's length.
    pub duration_hint: Option<TimeDelta>,
    /// First cell that holds the title.
    pub first_cell: u64,
    /// Cells in a row that hold it.
    pub replica_cells: u64,
    /// Highest rung that the viewer can use.
    pub highest_rung: usize,
    /// Known to be a repeat of an earlier request.
    pub is_retry: bool,
    /// The fleet that it is for.
    pub fleet: u32,
}

/// Load figures that came with an answer; each may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Streams run or being set up.
    pub streams: Option<f64>,
    /// Rates asked of the link over its capacity.
    pub link_utilization: Option<f64>,
    /// The same of the rack's uplink.
    pub uplink_utilization: Option<f64>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The session has played to its end, or the server answered.
    Success,
    /// The server returned an error; may have run.
    Error,
    /// The server rejected it uninspected; never ran.
    Rejected,
    /// No answer in time; may have run.
    TimedOut,
    /// No connection; never ran.
    ConnectionFailed,
    /// The connection broke; may have run.
    ConnectionReset,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// What a server notifies of a session.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Notification {
    /// Fraction of the rate that the server delivers.
    DeliveredFraction(f64),
    /// The rung in force.
    CurrentRung(usize),
    /// Rates asked of the server's link over its capacity.
    LinkUtilization(f64),
    /// Rates asked of its rack's uplink over that one's capacity.
    UplinkUtilization(f64),
}

/// What happens to a director.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list, or a part of it, has come.
    EndpointsUpdated {
        /// How much of the list it is.
        update: EndpointUpdate,
        /// The lines; empty after a failure.
        endpoints: Vec<Endpoint>,
    },
    /// A viewer asks for a session.
    RequestReceived(Request),
    /// A session that already played at the start, on this server.
    SessionTransferred(Request, ServerId),
    /// The session plays.
    SessionStarted {
        /// The session.
        session: SessionId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Where it plays.
        server: ServerId,
        /// Time from the attempt to the first answer.
        setup_time: TimeDelta,
    },
    /// An attempt, or the session that it began, has ended.
    AttemptFinished {
        /// The session.
        session: SessionId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The server that it was sent to.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The request needs no further answer.
        is_answered: bool,
        /// Load that the server reported with it.
        load_report: LoadReport,
    },
    /// A server tells something of a session.
    Notified {
        /// The session.
        session: SessionId,
        /// Number of its attempt, from 0.
        attempt: u32,
        /// The server that tells.
        server: ServerId,
        /// What it tells.
        notification: Notification,
    },
    /// The viewer left, or the answer is overdue: none is awaited any more.
    RequestWithdrawn(SessionId),
    /// A timer that the director set, by its token.
    TimerFired(u64),
    /// A health check is over.
    HealthCheckFinished {
        /// The server checked.
        server: ServerId,
        /// How the check ended.
        outcome: Outcome,
        /// Load that the server reported with it.
        load_report: LoadReport,
    },
    /// Classes and tenants as they are from now on, in place of those of the settings. An index means the same
    /// as long as a request or session that names it is under way.
    SettingsUpdated {
        /// All classes.
        classes: Vec<ClassSettings>,
        /// All tenants.
        tenants: Vec<TenantSettings>,
    },
    /// A session is to migrate while it plays, if another server has capacity. Answered at once by
    /// [`Action::Migrate`], or by nothing.
    MigrationRequested(SessionId),
    /// That migration is over: the session plays at the other server, or where it was. Until then it may be at
    /// both.
    MigrationFinished {
        /// The session.
        session: SessionId,
        /// It plays at the other server.
        migrated: bool,
    },
    /// Players receive nothing from this server: its process has stopped or hangs.
    ServerSilent(ServerId),
    /// A message of another director. This version takes no notice of any.
    PeerMessage {
        /// Number of the director that sent it.
        from: u32,
        /// Its content.
        body: Vec<u8>,
    },
}

/// What a director does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Set the session up at a server.
    StartAttempt {
        /// The session; its rung was chosen by the [`Action::SetRung`] just before.
        session: SessionId,
        /// Where.
        server: ServerId,
        /// Bounds the wait for an answer; absent: as long as the viewer waits.
        attempt_timeout: Option<TimeDelta>,
    },
    /// Choose the rung: before an attempt, or while it plays.
    SetRung {
        /// The session.
        session: SessionId,
        /// Its rung from now on.
        rung: usize,
    },
    /// Final answer: rejected. The viewer may return.
    Reject {
        /// The session that was asked for.
        session: SessionId,
        /// Advice to return after this; absent: none is given.
        retry_after: Option<TimeDelta>,
    },
    /// Final answer: failed.
    Fail {
        /// The session that was asked for.
        session: SessionId,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The session.
        session: SessionId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// End a session that plays; its viewer returns.
    Redirect {
        /// The session.
        session: SessionId,
    },
    /// Migrate a session that plays.
    Migrate {
        /// The session.
        session: SessionId,
        /// Where to.
        server: ServerId,
        /// Its rung there.
        rung: usize,
    },
    /// Set a timer; [`Event::TimerFired`] brings the token back.
    SetTimer {
        /// When it fires, from now.
        after: TimeDelta,
        /// What it is known by.
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
    /// Close connections to a server that carry nothing.
    CloseIdleConnections {
        /// The server.
        server: ServerId,
    },
    /// Send a message to another director, or to all.
    SendToPeer {
        /// Number of the director; absent: all.
        to: Option<u32>,
        /// Its content.
        body: Vec<u8>,
    },
    /// A line for the log.
    Log(String),
}
