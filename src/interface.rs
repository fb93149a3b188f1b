//! What a director is told and what it says: settings, events, actions, ids, times, outcomes.
//! No logic lives here.

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
    pub number: u32,
    /// How many directors share the fleet.
    pub directors: u32,
    /// Index of this director's zone, if it is known.
    pub zone: Option<usize>,
    /// Request classes; events name them by index.
    pub classes: Vec<ClassTerms>,
    /// Tenants; events name them by index. May be empty.
    pub tenants: Vec<TenantTerms>,
    /// The ladder of rates, lowest first.
    pub ladder: Vec<Rung>,
    /// Number of cells that titles are laid out over.
    pub cells: u64,
    /// Number of racks; a server's rack is its cell modulo this. 0: no rack uplinks.
    pub racks: u64,
    /// Streams that a server runs at most, for each machine kind.
    pub places_by_kind: Vec<f64>,
    /// Whether the listed weights say something of a server's size.
    pub weights_tell_size: bool,
    /// Told link, kB a second, for each unit of a server's weight. 0: not told.
    pub link_kb_per_weight: f64,
    /// All links together at the start, kB a second. 0: not told.
    pub fleet_kb: f64,
    /// Mean uplink of a rack, kB a second. 0: not told.
    pub uplink_kb: f64,
    /// What a further viewer of a live title adds to a stream, as a part of its rate. 1: shares nothing.
    pub join_adds: f64,
    /// How late notes come.
    pub told_late: Micros,
    /// Time between fullness notes of one server. 0: none come.
    pub told_every: Micros,
    /// Points of worth lost for each point of the rate that is missing. 0: not told.
    pub stall_cost: f64,
    /// A change of rung while playing costs so many seconds of worth.
    pub switch_s: f64,
    /// What it costs if all sessions cross zones, as a part of all worth.
    pub cross_price: f64,
    /// Worth of a request beyond its tenant's share, as a part of its class's worth.
    pub over_share_worth: f64,
    /// The terms of the rules.
    pub contract: Contract,
    /// What the site permits.
    pub limits: Limits,
    /// True where the list of servers must be asked for.
    pub ask_for_list: bool,
}

/// One rung of the ladder.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rung {
    /// Rate, kB a second.
    pub kb: f64,
    /// What it earns, 1 at the top.
    pub worth: f64,
}

/// Whether a set-up of a class may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// May be set up again without harm.
    Harmless,
    /// Paid for at set-up, or not known to be harmless: set up once.
    #[default]
    Paid,
}

/// Terms of a request class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassTerms {
    pub effect: Effect,
    /// Wanted playing within this time.
    pub aim: Micros,
    /// Worth of one second at a rung of worth 1.
    pub worth: f64,
    /// Rates of the class over those of the ladder.
    pub scale: f64,
    /// Lowest rung that may be set.
    pub floor: usize,
    /// Highest rung of the class.
    pub top: usize,
    /// Sessions of one title that a director may hold. 0: no limit.
    pub seats: u32,
    /// The class's titles are live.
    pub live: bool,
}

/// A tenant's share.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantTerms {
    /// Requests a second, over all directors, within its share. 0: no limit told.
    pub allowance_per_s: f64,
    /// Part of the fleet that is its own when all want theirs, from 0 to 1. 0: not told.
    pub part: f64,
}

/// Figures of the rules.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Contract {
    /// A started server is warm after this at the latest.
    pub warm_after: Micros,
    /// It begins at this part of its capacity.
    pub start_capacity: f64,
    /// It falls over at this multiple of its pace ...
    pub overload_factor: f64,
    /// ... over this span.
    pub fall: Micros,
    /// An unsubscribed director that has not asked for the list this long counts as told.
    pub must_ask_in: Micros,
    /// Further attempts allowed in each window; absent: not rationed.
    pub further: Option<FurtherAttempts>,
}

/// The ration of attempts beyond each request's first.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FurtherAttempts {
    pub free: f64,
    pub per_request: f64,
    pub span: Micros,
}

/// What a site permits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limits {
    /// Attempts for one request at most.
    pub max_attempts: u32,
    /// Attempts may be recalled.
    pub may_cancel: bool,
    /// Servers may be probed.
    pub may_probe: bool,
    /// What one probe for each request costs, as a part of all worth.
    pub probe_price: f64,
    /// Longest come-back advice that viewers honour. 0: advice is not passed on.
    pub max_come_back: Micros,
    /// Smallest time between two batches of events.
    pub step: Micros,
}

/// One line of the list of servers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Listed {
    pub server: ServerId,
    /// Index of its zone, if it is one of the settings' zones.
    pub zone: Option<usize>,
    /// Index of its machine kind, if it is one of the settings' kinds.
    pub kind: Option<usize>,
    pub cell: u64,
    pub state: Standing,
    pub weight: f64,
    /// Time of its last start; absent: long past.
    pub came_up: Option<Micros>,
    /// It takes requests of this fleet alone. 0: the one that all share.
    pub fleet: u32,
}

/// What the list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// How much of the list an event brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListNews {
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
    pub deadline: Micros,
    /// Guess of the session's length.
    pub hint: Option<Micros>,
    /// First cell that holds the title.
    pub home: u64,
    /// Cells in a row that hold it.
    pub spread: u64,
    /// Highest rung that the viewer can use.
    pub top: usize,
    /// Known to be a repeat of an earlier try.
    pub again: bool,
    /// The fleet that it is for.
    pub fleet: u32,
}

/// Load figures that came with an answer; each may be missing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Streams run or being set up.
    pub streams: Option<f64>,
    /// Asked of the link over what it gives.
    pub link: Option<f64>,
    /// The same of the rack's uplink.
    pub uplink: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Good,
    /// The server returned an error; may have run.
    Error,
    /// Turned away uninspected; never ran.
    Full,
    /// No answer in time; may have run.
    Late,
    /// No connection; never ran.
    NoConnection,
    /// The connection broke; may have run.
    Reset,
    /// Called off; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// What a note on a session tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// Share of the rate that the server delivers.
    Delivered(f64),
    /// The rung in force.
    Rung(usize),
    /// Asked of the server's link over what it gives.
    Link(f64),
    /// Asked of its rack's uplink over what that gives.
    Uplink(f64),
}

/// What happens to a director.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of servers.
    List {
        news: ListNews,
        lines: Vec<Listed>,
    },
    /// A viewer asks for a session.
    Asked(Request),
    /// A session that already played at the start, on this server.
    Carried(Request, ServerId),
    /// The session plays.
    Started {
        session: SessionId,
        attempt: u32,
        server: ServerId,
        waited: Micros,
    },
    /// An attempt, or the session that it began, has ended.
    Finished {
        session: SessionId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
        /// The request needs no further answer.
        closed: bool,
        load: Load,
    },
    Noted {
        session: SessionId,
        attempt: u32,
        server: ServerId,
        note: Note,
    },
    /// The viewer left, or the answer is overdue: nothing more is owed.
    Withdrawn(SessionId),
    /// A timer that the director set.
    Timer(u64),
    Probed {
        server: ServerId,
        outcome: Outcome,
        load: Load,
    },
    /// Classes and tenants as they are from now on, in place of those of the settings. An index means the same
    /// as long as a request or session that names it is under way.
    Terms {
        classes: Vec<ClassTerms>,
        tenants: Vec<TenantTerms>,
    },
    /// A session that plays is to be handed over while it plays, if another server has room. Answered at once by
    /// [`Action::HandOver`], or by nothing.
    HandOver(SessionId),
    /// That hand-over is over: the session plays at the other server, or where it was. Until then it may be at
    /// both.
    HandedOver {
        session: SessionId,
        moved: bool,
    },
    /// Players hear nothing from this server: it stands still, or is gone.
    Silent(ServerId),
    /// A message of another director.
    Peer {
        from: u32,
        body: Vec<u8>,
    },
}

/// What a director does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Set the session up there; `patience` bounds the wait, absent: as long as the viewer waits.
    Send {
        session: SessionId,
        server: ServerId,
        patience: Option<Micros>,
    },
    /// Choose the rung: before sending, or while it plays.
    SetRung {
        session: SessionId,
        rung: usize,
    },
    /// Final: turned away, and free to come back after `come_back`.
    Refuse {
        session: SessionId,
        come_back: Option<Micros>,
    },
    /// Final: failed.
    Fail {
        session: SessionId,
    },
    /// Stop waiting for an attempt.
    Recall {
        session: SessionId,
        attempt: u32,
    },
    /// End a session that plays; its viewer comes back.
    Move {
        session: SessionId,
    },
    /// Hand a session that plays over to this server, at this rung.
    HandOver {
        session: SessionId,
        server: ServerId,
        rung: usize,
    },
    Timer {
        after: Micros,
        token: u64,
    },
    Probe {
        server: ServerId,
    },
    /// Ask for the list once.
    FetchList,
    /// Subscribe to changes of the list, or stop.
    Subscribe(bool),
    CloseIdle {
        server: ServerId,
    },
    /// Tell another director, or all.
    Tell {
        to: Option<u32>,
        body: Vec<u8>,
    },
    Log(String),
}
