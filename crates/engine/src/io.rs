//! Inputs and outputs. No logic lives here.

use crate::engine::Place;
use shalewall::{
    ClassSettings, EndpointState, EndpointUpdate, LoadReport, Micros, Outcome, ServerId, SessionId,
};
use shalewall_migration::Epoch;
use shalewall_migration::planner::MigrationReason;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A viewer's request that waits for its answer, as the driver numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AskId(pub u64);

/// A call to a node, as the engine numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What a viewer asks for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NewSession {
    /// The viewer's own key: the same when it asks again. While a session with it is under way, asking again
    /// gets that session's answer.
    pub viewer: String,
    pub tenant: Option<String>,
    pub class: String,
    pub title: String,
    /// The viewer waits so long; at most what its class gives up after.
    pub wait: Option<Micros>,
    /// Guess of how long it will watch.
    pub hint: Option<Micros>,
    /// Highest rung that the player can use.
    pub top: Option<usize>,
    /// A session with this key is over for the viewer, whatever is known of it here: begin anew.
    pub again: bool,
}

/// What is agreed with a tenant that the settings do not name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Agreed {
    /// Its share of what all share, over the sum of all shares; none: it takes nothing new.
    pub share: Option<f64>,
    /// Its classes with how long their viewers wait at most; without any it has the site's.
    pub classes: BTreeMap<String, (ClassSettings, Micros)>,
    /// Its titles; without any it has the site's.
    pub titles: BTreeMap<String, Place>,
    /// Nodes of its own, which take nothing of others; without any it has those that all share.
    pub nodes: Vec<ServerId>,
}

/// One line of the list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    pub server: ServerId,
    /// Where it listens; absent lines of servers that are gone need none.
    pub address: Option<SocketAddr>,
    pub zone: String,
    pub kind: String,
    pub cell: u64,
    pub standing: EndpointState,
    pub weight: f64,
    /// Its last start, on the engine's clock.
    pub came_up: Option<Micros>,
}

/// A session as its front shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Shown {
    pub session: SessionId,
    pub class: String,
    pub title: String,
    /// Where it plays, is being set up or is ending.
    pub server: Option<ServerId>,
    pub rung: usize,
    pub plays: bool,
}

/// How a call to a node ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Done {
    /// Nothing left this machine, for want of something of its own: it says nothing of the node.
    NotSent(String),
    /// No byte of it was taken by a connection.
    NeverRan(String),
    /// Some byte was, and no whole answer came.
    MayHaveRun(String),
    /// A whole answer.
    Answered {
        status: u16,
        /// The answer carries the stated proof that nothing was set up.
        never_ran: bool,
        load: LoadReport,
        /// Where the viewer finds the stream.
        media: Option<String>,
    },
}

/// A session that a node holds, with all that a front which begins anew needs to go on with it.
#[derive(Clone, Debug, PartialEq)]
pub struct Carried {
    pub session: SessionId,
    pub attempt: u32,
    /// The viewer's key, as the front that set it up had it.
    pub viewer: u64,
    pub tenant: Option<String>,
    pub class: String,
    pub title: String,
    pub rung: usize,
    pub held: shalewall_migration::node::SessionEpochs,
    pub media: String,
}

/// What a node tells on its event stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// The session has ended there: its viewer left, or it was over.
    Ended { session: SessionId, attempt: u32 },
    /// The player of a session that is handed over to this node has fetched its stream.
    Fetched {
        session: SessionId,
        attempt: u32,
        epoch: Epoch,
    },
    /// Figures, told on one of the sessions there.
    Figures {
        session: SessionId,
        delivered: Option<f64>,
        link: Option<f64>,
        uplink: Option<f64>,
    },
}

/// What happens to a front.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    Asked {
        ask: AskId,
        new: NewSession,
    },
    /// The viewer left before its answer.
    Left {
        ask: AskId,
    },
    /// The viewer ends its session, or the one under its key.
    Ended {
        session: SessionId,
    },
    List {
        news: EndpointUpdate,
        lines: Vec<Line>,
    },
    Done {
        call: CallId,
        done: Done,
    },
    /// What a node holds for this front, told before [`Input::NodeUp`]: sessions of an earlier process of it go on
    /// where players can be handed over.
    NodeHolds {
        server: ServerId,
        sessions: Vec<Carried>,
    },
    /// A node's event stream is open. `asked`: when it was asked for; `held`: what the node holds for this
    /// front since then or before.
    NodeUp {
        server: ServerId,
        asked: Micros,
        held: Vec<(SessionId, u32)>,
    },
    NodeTold {
        server: ServerId,
        told: Told,
    },
    /// What is agreed with these tenants from now on; nothing: it is gone. All of it or none, between two requests.
    Tenants(Vec<(String, Option<Agreed>)>),
    /// A tenant's time is over: what plays of it ends now.
    TenantEnded {
        tenant: String,
    },
    /// The player of a session can be offered another node from now on, and plays this epoch; none: it can't any more.
    Follows {
        session: SessionId,
        plays: Option<Epoch>,
    },
    /// A player hears nothing, and has so much left to play.
    Silent {
        session: SessionId,
        buffer: Micros,
    },
    /// A player has gone over to this epoch.
    Playing {
        session: SessionId,
        epoch: Epoch,
    },
    /// A player had nothing of this epoch in time, and takes nothing of it any more.
    Declined {
        session: SessionId,
        epoch: Epoch,
    },
    /// A node's event stream broke and a new connection is refused: its process is gone.
    NodeDown {
        server: ServerId,
    },
}

/// The final answer to a viewer's request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Plays {
        session: SessionId,
        rung: usize,
        media: String,
    },
    /// Turned away, free to come back.
    Refused {
        session: Option<SessionId>,
        come_back: Option<Micros>,
    },
    /// Failed; it may have run. `late`: the viewer's time was up.
    Failed {
        session: SessionId,
        late: bool,
    },
    /// No session here that fits: what is not known, or clashes.
    Unknown(&'static str),
    Clash(&'static str),
}

/// A call to a node.
#[derive(Clone, Debug, PartialEq)]
pub enum CallKind {
    SetUp {
        session: SessionId,
        attempt: u32,
        /// Kept by the node for a front that begins anew.
        viewer: u64,
        tenant: Option<String>,
        class: String,
        title: String,
        rung: usize,
        kb: f64,
    },
    Rung {
        session: SessionId,
        attempt: u32,
        rung: usize,
        kb: f64,
    },
    /// Whatever runs there under this number has to end, and must not begin any more; with `upto`, what is held
    /// under later epochs goes on, and may begin.
    End {
        session: SessionId,
        attempt: u32,
        upto: Option<Epoch>,
    },
    /// Make ready to take a session over from another node.
    Prepare {
        session: SessionId,
        attempt: u32,
        epoch: Epoch,
        from: ServerId,
        viewer: u64,
        tenant: Option<String>,
        class: String,
        title: String,
        rung: usize,
        kb: f64,
    },
    /// What is ready under this epoch is not to be fetched any more: 409 where it has been.
    Cancel {
        session: SessionId,
        attempt: u32,
        epoch: Epoch,
    },
    Probe,
}

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Answer {
        ask: AskId,
        answer: Answer,
    },
    Call {
        call: CallId,
        server: ServerId,
        address: SocketAddr,
        kind: CallKind,
    },
    /// Give the call up and close its connection. No [`Input::Done`] is owed for it any more.
    Drop {
        call: CallId,
    },
    /// Keep this node's event stream open.
    Watch {
        server: ServerId,
        address: SocketAddr,
    },
    Unwatch {
        server: ServerId,
    },
    CloseIdle {
        server: ServerId,
    },
    /// Tell the session's player where it may fetch.
    Offer {
        session: SessionId,
        epoch: Epoch,
        media: String,
    },
    /// The session is over, for a player that follows it.
    Gone {
        session: SessionId,
    },
    /// A hand-over has ended, for the record. `moved`: it plays at its target.
    Moved {
        session: SessionId,
        to: ServerId,
        why: MigrationReason,
        took: Micros,
        moved: bool,
    },
    /// A set-up attempt is over, for the record.
    Tried {
        session: SessionId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
        took: Micros,
    },
    Log(String),
}
