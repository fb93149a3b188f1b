//! What a director is told and what it says: settings, events, actions, ids, times, outcomes.
//! No logic lives here.

use crate::time::{TimeDelta, Timestamp};

/// A point on the caller's clock, or a span of it, in microseconds. The clock may start anywhere.
pub type Micros = i64;

/// A media server. The same at every director, and kept when its process restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u64);

/// One request for a session and the session that follows from it. Never used twice.
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
    /// Told link, kB a second, for each unit of a server's weight. 0: not told.
    pub link_kb_s_per_weight: f64,
    /// All links together at the start, kB a second. 0: not told.
    pub fleet_kb_s: f64,
    /// Mean uplink of a rack, kB a second. 0: not told.
    pub rack_uplink_kb_s: f64,
    /// What a further viewer of a live title adds to a stream, as a part of its rate. 1: shares nothing.
    pub join_rate_fraction: f64,
    /// How late notes come.
    pub notification_delay: TimeDelta,
    /// Time between fullness notes of one server. 0: none come.
    pub notification_interval: TimeDelta,
    /// Points of worth lost for each point of the rate that is missing. 0: not told.
    pub stall_penalty: f64,
    /// A change of rung while playing costs so many seconds of worth.
    pub rung_change_cost_s: f64,
    /// What it costs if all sessions cross zones, as a part of all worth.
    pub zone_crossing_price: f64,
    /// Worth of a request beyond its tenant's share, as a part of its class's worth.
    pub over_quota_weight: f64,
    /// The terms of the rules.
    pub rules: RuleSettings,
    /// What the site permits.
    pub limits: Limits,
    /// True where the list of servers must be asked for.
    pub must_poll_endpoints: bool,
}

/// One rung of the ladder.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rung {
    /// Rate, kB a second.
    pub rate_kb_s: f64,
    /// What it earns, 1 at the top.
    pub utility: f64,
}

/// Whether a set-up of a class may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// May be set up again without harm.
    Idempotent,
    /// Paid for at set-up, or not known to be harmless: set up once.
    #[default]
    AtMostOnce,
}

/// Terms of a request class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassSettings {
    pub idempotency: Idempotency,
    /// Wanted playing within this time.
    pub latency_objective: TimeDelta,
    /// Worth of one second at a rung of worth 1.
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

/// A tenant's share.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantSettings {
    /// Requests a second, over all directors, within its share. 0: no limit told.
    pub request_quota_per_s: f64,
    /// Part of the fleet that is its own when all want theirs, from 0 to 1. 0: not told.
    pub fleet_quota: f64,
}

/// Figures of the rules.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RuleSettings {
    /// A started server is warm after this at the latest.
    pub warm_up: TimeDelta,
    /// It begins at this part of its capacity.
    pub initial_capacity: f64,
    /// It falls over at this multiple of its pace ...
    pub overload_factor: f64,
    /// ... over this span.
    pub overload_window: TimeDelta,
    /// An unsubscribed director that has not asked for the list this long counts as told.
    pub poll_deadline: TimeDelta,
    /// Further attempts allowed in each window; absent: not rationed.
    pub retry_budget: Option<RetryBudget>,
}

/// The ration of attempts beyond each request's first.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryBudget {
    pub base: f64,
    pub per_request: f64,
    pub window: TimeDelta,
}

/// What a site permits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    /// Attempts for one request at most.
    pub max_attempts: u32,
    /// Attempts may be recalled.
    pub can_cancel: bool,
    /// Servers may be probed.
    pub can_check_health: bool,
    /// What one probe for each request costs, as a part of all worth.
    pub health_check_price: f64,
    /// Longest come-back advice that viewers honour. 0: advice is not passed on.
    pub max_retry_after: TimeDelta,
    /// Smallest time between two batches of events.
    pub min_batch_interval: TimeDelta,
}

/// One line of the list of servers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Endpoint {
    pub server: ServerId,
    /// Index of its zone, if it is one of the settings' zones.
    pub zone: Option<usize>,
    /// Index of its machine kind, if it is one of the settings' kinds.
    pub machine_kind: Option<usize>,
    pub cell: u64,
    pub state: EndpointState,
    pub weight: f64,
    /// Time of its last start; absent: long past.
    pub started_at: Option<Timestamp>,
    /// It takes requests of this fleet alone. 0: the one that all share.
    pub fleet: u32,
}

/// What the list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// How much of the list an event brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The whole list as it is now.
    Full,
    /// The whole list as this director last held it; may be stale.
    Cached,
    /// Changed lines only.
    Delta,
    /// A call for the list failed or the subscription broke.
    Failed,
}

/// A viewer's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    pub session: SessionId,
    /// Index of the class. One that the settings lack is refused.
    pub class: usize,
    pub tenant: Option<usize>,
    /// The same when a viewer comes again.
    pub viewer: u64,
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
    /// Known to be a repeat of an earlier try.
    pub is_retry: bool,
    /// The fleet that it is for.
    pub fleet: u32,
}

/// Load figures that came with an answer; each may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Streams run or being set up.
    pub streams: Option<f64>,
    /// Asked of the link over what it gives.
    pub link_utilization: Option<f64>,
    /// The same of the rack's uplink.
    pub uplink_utilization: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Success,
    /// The server returned an error; may have run.
    Error,
    /// Turned away uninspected; never ran.
    Rejected,
    /// No answer in time; may have run.
    TimedOut,
    /// No connection; never ran.
    ConnectionFailed,
    /// The connection broke; may have run.
    ConnectionReset,
    /// Called off; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// What a note on a session tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Notification {
    /// Share of the rate that the server delivers.
    DeliveredFraction(f64),
    /// The rung in force.
    CurrentRung(usize),
    /// Asked of the server's link over what it gives.
    LinkUtilization(f64),
    /// Asked of its rack's uplink over what that gives.
    UplinkUtilization(f64),
}

/// What happens to a director.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of servers.
    EndpointsUpdated {
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
    },
    /// A viewer asks for a session.
    RequestReceived(Request),
    /// A session that already played at the start, on this server.
    SessionTransferred(Request, ServerId),
    /// The session plays.
    SessionStarted {
        session: SessionId,
        attempt: u32,
        server: ServerId,
        setup_time: TimeDelta,
    },
    /// An attempt, or the session that it began, has ended.
    AttemptFinished {
        session: SessionId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
        /// The request needs no further answer.
        is_answered: bool,
        load_report: LoadReport,
    },
    Notified {
        session: SessionId,
        attempt: u32,
        server: ServerId,
        notification: Notification,
    },
    /// The viewer left, or the answer is overdue: nothing more is owed.
    RequestWithdrawn(SessionId),
    /// A timer that the director set.
    TimerFired(u64),
    HealthCheckFinished {
        server: ServerId,
        outcome: Outcome,
        load_report: LoadReport,
    },
    /// Classes and tenants as they are from now on, in place of those of the settings. An index means the same
    /// as long as a request or session that names it is under way.
    SettingsUpdated {
        classes: Vec<ClassSettings>,
        tenants: Vec<TenantSettings>,
    },
    /// A session that plays is to be handed over while it plays, if another server has room. Answered at once by
    /// [`Action::Migrate`], or by nothing.
    MigrationRequested(SessionId),
    /// That hand-over is over: the session plays at the other server, or where it was. Until then it may be at
    /// both.
    MigrationFinished {
        session: SessionId,
        migrated: bool,
    },
    /// Players hear nothing from this server: it stands still, or is gone.
    ServerSilent(ServerId),
    /// A message of another director.
    PeerMessage {
        from: u32,
        body: Vec<u8>,
    },
}

/// What a director does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Set the session up there; `patience` bounds the wait, absent: as long as the viewer waits.
    StartAttempt {
        session: SessionId,
        server: ServerId,
        attempt_timeout: Option<TimeDelta>,
    },
    /// Choose the rung: before sending, or while it plays.
    SetRung {
        session: SessionId,
        rung: usize,
    },
    /// Final: turned away, and free to come back after `come_back`.
    Reject {
        session: SessionId,
        retry_after: Option<TimeDelta>,
    },
    /// Final: failed.
    Fail {
        session: SessionId,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        session: SessionId,
        attempt: u32,
    },
    /// End a session that plays; its viewer comes back.
    Redirect {
        session: SessionId,
    },
    /// Hand a session that plays over to this server, at this rung.
    Migrate {
        session: SessionId,
        server: ServerId,
        rung: usize,
    },
    SetTimer {
        after: TimeDelta,
        token: u64,
    },
    CheckHealth {
        server: ServerId,
    },
    /// Ask for the list once.
    PollEndpoints,
    /// Subscribe to changes of the list, or stop.
    WatchEndpoints(bool),
    CloseIdleConnections {
        server: ServerId,
    },
    /// Tell another director, or all.
    SendToPeer {
        to: Option<u32>,
        body: Vec<u8>,
    },
    Log(String),
}
