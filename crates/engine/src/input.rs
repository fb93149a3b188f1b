//! What happens to a director, as its driver tells the engine. No logic lives here.

use crate::config::TitlePlacement;
use crate::ids::{CallId, RequestId, SessionAttempt};
use shalewall::{
    ClassSettings, EndpointState, EndpointUpdate, LoadReport, ServerId, SessionId, TimeDelta,
    Timestamp,
};
use shalewall_migration::Epoch;
use shalewall_migration::node::SessionEpochs;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What a viewer asks for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SessionRequest {
    /// The viewer's own idempotency key. While a session with it is under way, a further request gets that
    /// session's answer.
    pub viewer_key: String,
    /// The tenant whose viewer this is.
    pub tenant: Option<String>,
    /// Name of the class.
    pub class: String,
    /// Name of the title.
    pub title: String,
    /// The viewer waits so long for the answer; at most what its class allows.
    pub max_wait: Option<TimeDelta>,
    /// Estimate of how long it will watch.
    pub duration_hint: Option<TimeDelta>,
    /// The highest rung that the player can use.
    pub highest_rung: Option<usize>,
    /// A session with this key is over for the viewer, whatever is known of it here: begin anew.
    pub is_retry: bool,
}

/// A class of a tenant's own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassTerms {
    /// The decision module's settings for it.
    pub settings: ClassSettings,
    /// The longest time that its viewers wait for an answer.
    pub max_wait: TimeDelta,
}

/// What is agreed with a tenant that the settings do not name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantTerms {
    /// Its weight in the fleet that all share, over the sum of all weights; without one it takes nothing new.
    pub quota: Option<f64>,
    /// Its classes; without any it has the site's.
    pub classes: BTreeMap<String, ClassTerms>,
    /// Its titles; without any it has the site's.
    pub titles: BTreeMap<String, TitlePlacement>,
    /// Nodes of its own, which take no other tenant's sessions; without any it has those that all share.
    pub nodes: Vec<ServerId>,
}

/// A change of what is agreed with one tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantUpdate {
    /// The tenant's name.
    pub tenant: String,
    /// What is agreed from now on; nothing: the tenant is gone.
    pub terms: Option<TenantTerms>,
}

/// One entry of the endpoint list, in names.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The node.
    pub server: ServerId,
    /// Where it listens. Entries of nodes that are gone need none.
    pub address: Option<SocketAddr>,
    /// Name of its zone.
    pub zone: String,
    /// Name of its machine kind.
    pub machine_kind: String,
    /// Its cell.
    pub cell: u64,
    /// Whether it may take sessions.
    pub state: EndpointState,
    /// Its capacity relative to other nodes.
    pub weight: f64,
    /// Its last start, on the engine's clock.
    pub started_at: Option<Timestamp>,
}

/// How a call to a node ended.
#[derive(Clone, Debug, PartialEq)]
pub enum CallResult {
    /// Nothing left this machine, for want of a resource of its own: it says nothing of the node.
    NotSent(String),
    /// No connection took a byte of it: the call was not executed.
    NotStarted(String),
    /// A connection took some of it, and no complete answer came: the call may have been executed.
    MaybeExecuted(String),
    /// A complete answer.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The answer states that nothing was set up.
        not_started: bool,
        /// The node's load, as far as the answer tells it.
        load_report: LoadReport,
        /// Where the viewer finds the stream.
        media: Option<String>,
    },
}

/// A session that a node holds, with all that a director which starts anew needs to go on with it.
#[derive(Clone, Debug, PartialEq)]
pub struct TransferredSession {
    /// The session.
    pub session: SessionId,
    /// Number of the attempt that set it up.
    pub attempt: u32,
    /// Hash of the viewer's key, as the director that set it up had it.
    pub viewer: u64,
    /// The tenant whose viewer this is.
    pub tenant: Option<String>,
    /// Name of its class.
    pub class: String,
    /// Name of its title.
    pub title: String,
    /// The rung that it plays at.
    pub rung: usize,
    /// The epochs under which the node serves it, or is ready to.
    pub epochs: SessionEpochs,
    /// Where the viewer finds the stream.
    pub media: String,
}

/// What a node tells on its event stream.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeEvent {
    /// The session has ended there: its viewer left, or it was complete.
    SessionEnded {
        /// The session.
        session: SessionId,
        /// The attempt that set it up.
        attempt: u32,
    },
    /// The player of a session that migrates to this node has fetched its stream.
    StreamFetched {
        /// The session.
        session: SessionId,
        /// The attempt that set it up.
        attempt: u32,
        /// The epoch under which it was fetched.
        epoch: Epoch,
    },
    /// The node's load, reported with one of the sessions there.
    LoadReported {
        /// The session.
        session: SessionId,
        /// Part of the rate that reaches the viewers.
        delivered_fraction: Option<f64>,
        /// Utilization of the node's link.
        link_utilization: Option<f64>,
        /// Utilization of its rack's uplink.
        uplink_utilization: Option<f64>,
    },
}

/// What happens to a director.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A viewer asks for a session.
    RequestReceived {
        /// The driver's number of the request.
        request_id: RequestId,
        /// What the viewer asks for.
        request: SessionRequest,
    },
    /// The viewer left before its answer.
    RequestWithdrawn {
        /// The driver's number of the request.
        request_id: RequestId,
    },
    /// The viewer ends its session.
    EndSession {
        /// The session.
        session: SessionId,
    },
    /// The endpoint list, or a change of it.
    EndpointsUpdated {
        /// Whether `endpoints` are all or those that changed.
        update: EndpointUpdate,
        /// The entries.
        endpoints: Vec<EndpointEntry>,
    },
    /// A call to a node is over.
    CallFinished {
        /// The call.
        call: CallId,
        /// How it ended.
        result: CallResult,
    },
    /// What a node holds for this director, reported before [`Input::NodeConnected`]: sessions of an earlier process
    /// of it go on where sessions can migrate.
    NodeSessionsReported {
        /// The node.
        server: ServerId,
        /// What it holds.
        sessions: Vec<TransferredSession>,
    },
    /// A node's event stream is open.
    NodeConnected {
        /// The node.
        server: ServerId,
        /// When the stream was requested.
        requested_at: Timestamp,
        /// What the node has held for this director since then or before.
        held: Vec<SessionAttempt>,
    },
    /// A node tells something on its event stream.
    NodeNotified {
        /// The node.
        server: ServerId,
        /// What it tells.
        event: NodeEvent,
    },
    /// A node's event stream broke and a new connection is refused: its process is gone.
    NodeDown {
        /// The node.
        server: ServerId,
    },
    /// What is agreed with tenants changes. All of it or none, between two requests.
    TenantsUpdated(Vec<TenantUpdate>),
    /// A tenant's time is over: its playing sessions end now.
    EndTenantSessions {
        /// The tenant's name.
        tenant: String,
    },
    /// A player that can be offered another node opened or closed its event stream.
    PlayerSubscription {
        /// The session.
        session: SessionId,
        /// The epoch that it plays; none: it can't be offered another node any more.
        playing_epoch: Option<Epoch>,
    },
    /// A player receives no data.
    StreamSilent {
        /// The session.
        session: SessionId,
        /// How much it has left to play.
        buffered: TimeDelta,
    },
    /// A player has switched to this epoch.
    EpochPlaying {
        /// The session.
        session: SessionId,
        /// The epoch.
        epoch: Epoch,
    },
    /// A player received nothing of this epoch in time, and takes nothing of it any more.
    EpochDeclined {
        /// The session.
        session: SessionId,
        /// The epoch.
        epoch: Epoch,
    },
}
