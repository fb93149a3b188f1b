//! The inputs that the driver passes to the engine. Data types only.

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

/// A viewer's request for a session.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SessionRequest {
    /// The viewer's idempotency key. While a session with this key exists, another request with the same key gets that
    /// session's answer.
    pub viewer_key: String,
    /// The tenant of the viewer.
    pub tenant: Option<String>,
    /// Name of the class.
    pub class: String,
    /// Name of the title.
    pub title: String,
    /// How long the viewer waits for the answer. Limited to the maximum of its class, which is also the default.
    pub max_wait: Option<TimeDelta>,
    /// Estimated viewing time.
    pub duration_hint: Option<TimeDelta>,
    /// The highest rung that the player supports.
    pub highest_rung: Option<usize>,
    /// Whether the viewer retries after it lost its session: an existing session with this key ends, and a new one
    /// starts.
    pub is_retry: bool,
}

/// A class that belongs to one tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassTerms {
    /// Settings of the class for the decision module.
    pub settings: ClassSettings,
    /// The maximum time that its viewers wait for an answer.
    pub max_wait: TimeDelta,
}

/// The terms of a tenant that is not part of the static settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantTerms {
    /// Its weight in the shared fleet, relative to the sum of all weights. Without one it accepts no new sessions.
    pub quota: Option<f64>,
    /// Its classes. If empty, the site's classes apply.
    pub classes: BTreeMap<String, ClassTerms>,
    /// Its titles. If empty, the site's titles apply.
    pub titles: BTreeMap<String, TitlePlacement>,
    /// Its dedicated nodes, which accept no other tenant's sessions. If empty, it uses the shared nodes.
    pub nodes: Vec<ServerId>,
}

/// A change of one tenant's terms.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantUpdate {
    /// The tenant's name.
    pub tenant: String,
    /// The new terms, or `None` if the tenant has been removed.
    pub terms: Option<TenantTerms>,
}

/// One entry of the endpoint list, with zone and machine kind by name.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The node.
    pub server: ServerId,
    /// The address on which it listens. Not required for nodes that are gone.
    pub address: Option<SocketAddr>,
    /// Name of its zone.
    pub zone: String,
    /// Name of its machine kind.
    pub machine_kind: String,
    /// Its cell.
    pub cell: u64,
    /// Whether it accepts sessions.
    pub state: EndpointState,
    /// Its capacity relative to other nodes.
    pub weight: f64,
    /// The time of its last start, on the engine's clock.
    pub started_at: Option<Timestamp>,
}

/// The result of a call to a node.
#[derive(Clone, Debug, PartialEq)]
pub enum CallResult {
    /// Nothing was sent, because a local resource was exhausted. This says nothing about the node.
    NotSent(String),
    /// No byte was written to a connection: the call was not executed.
    NotStarted(String),
    /// At least a part was written, but no complete answer arrived: the call may have been executed.
    MaybeExecuted(String),
    /// A complete answer arrived.
    Answered {
        /// The HTTP status.
        status: u16,
        /// Whether the answer states that nothing was set up.
        not_started: bool,
        /// The node's load, as far as the answer reports it.
        load_report: LoadReport,
        /// The URL of the stream.
        media: Option<String>,
    },
}

/// A session that a node holds, with everything that a restarted director needs to resume it.
#[derive(Clone, Debug, PartialEq)]
pub struct TransferredSession {
    /// The session.
    pub session: SessionId,
    /// Number of the attempt that set it up.
    pub attempt: u32,
    /// Hash of the viewer's key, as the director that set up the session computed it.
    pub viewer: u64,
    /// The tenant of the viewer.
    pub tenant: Option<String>,
    /// Name of its class.
    pub class: String,
    /// Name of its title.
    pub title: String,
    /// The rung at which it plays.
    pub rung: usize,
    /// The epochs that the node serves or has prepared.
    pub epochs: SessionEpochs,
    /// The URL of the stream.
    pub media: String,
}

/// An event on a node's event stream.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeEvent {
    /// The session has ended at the node: its viewer left, or the title was played to its end.
    SessionEnded {
        /// The session.
        session: SessionId,
        /// The attempt that set it up.
        attempt: u32,
    },
    /// The player of a session that is migrating to this node has fetched the stream.
    StreamFetched {
        /// The session.
        session: SessionId,
        /// The attempt that set it up.
        attempt: u32,
        /// The epoch that was fetched.
        epoch: Epoch,
    },
    /// The node's load, reported with one of its sessions.
    LoadReported {
        /// The session.
        session: SessionId,
        /// Fraction of the sessions' rate that reaches the viewers.
        delivered_fraction: Option<f64>,
        /// Utilization of the node's link.
        link_utilization: Option<f64>,
        /// Utilization of its rack's uplink.
        uplink_utilization: Option<f64>,
    },
}

/// An input of the engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A viewer requests a session.
    RequestReceived {
        /// The request, by the driver's number.
        request_id: RequestId,
        /// The content of the request.
        request: SessionRequest,
    },
    /// The viewer disconnected before it was answered.
    RequestWithdrawn {
        /// The request, by the driver's number.
        request_id: RequestId,
    },
    /// The viewer ended its session.
    EndSession {
        /// The session.
        session: SessionId,
    },
    /// The endpoint list, or an update of it.
    EndpointsUpdated {
        /// Whether `endpoints` is the complete list or only the changed entries.
        update: EndpointUpdate,
        /// The entries.
        endpoints: Vec<EndpointEntry>,
    },
    /// A call to a node has finished.
    CallFinished {
        /// The call.
        call: CallId,
        /// Its result.
        result: CallResult,
    },
    /// The sessions that a node holds for this director, reported before [`Input::NodeConnected`]. Sessions of an
    /// earlier process are resumed if migrations are enabled.
    NodeSessionsReported {
        /// The node.
        server: ServerId,
        /// The sessions that it holds.
        sessions: Vec<TransferredSession>,
    },
    /// A node's event stream has been opened.
    NodeConnected {
        /// The node.
        server: ServerId,
        /// When the stream was requested.
        requested_at: Timestamp,
        /// The attempts that the node held for this director when it opened the stream.
        held: Vec<SessionAttempt>,
    },
    /// A node sent an event on its event stream.
    NodeNotified {
        /// The node.
        server: ServerId,
        /// The event.
        event: NodeEvent,
    },
    /// A node's event stream broke and a new connection was refused: its process is gone.
    NodeDown {
        /// The node.
        server: ServerId,
    },
    /// The terms of tenants have changed. The updates are applied together, between two requests.
    TenantsUpdated(Vec<TenantUpdate>),
    /// A deleted tenant's grace period is over: its playing sessions end now.
    EndTenantSessions {
        /// The tenant's name.
        tenant: String,
    },
    /// A player that supports migration opened or closed its event stream.
    PlayerSubscription {
        /// The session.
        session: SessionId,
        /// The epoch that it plays, or `None` if it closed its event stream and can no longer be offered a target.
        playing_epoch: Option<Epoch>,
    },
    /// A player reports that it receives no data.
    StreamSilent {
        /// The session.
        session: SessionId,
        /// Playing time left in its buffer.
        buffered: TimeDelta,
    },
    /// A player has switched to an epoch.
    EpochPlaying {
        /// The session.
        session: SessionId,
        /// The epoch.
        epoch: Epoch,
    },
    /// A player received nothing of an epoch in time, and will not switch to it any more.
    EpochDeclined {
        /// The session.
        session: SessionId,
        /// The epoch.
        epoch: Epoch,
    },
}
