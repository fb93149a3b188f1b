//! What the engine has its driver do. No logic lives here.

use crate::ids::{CallId, RequestId};
use shalewall::{Outcome, ServerId, SessionId, TimeDelta};
use shalewall_migration::Epoch;
use shalewall_migration::planner::MigrationReason;
use std::net::SocketAddr;

/// The final answer to a viewer's request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The session plays.
    Playing {
        /// The session.
        session: SessionId,
        /// The rung that it begins at.
        rung: usize,
        /// Where the viewer finds the stream.
        media: String,
    },
    /// Rejected; nothing was executed, and the viewer may come back.
    Rejected {
        /// The session, where one was begun.
        session: Option<SessionId>,
        /// How long to wait before coming back.
        retry_after: Option<TimeDelta>,
    },
    /// Failed; the set-up may have been executed.
    Failed {
        /// The session.
        session: SessionId,
        /// The viewer's deadline had passed.
        is_deadline_exceeded: bool,
    },
    /// The request names a tenant, class or title that is not known here; which of these.
    Unknown(&'static str),
    /// The request's key is in use by another one; why that is in the way.
    Conflict(&'static str),
}

/// A call to a node.
#[derive(Clone, Debug, PartialEq)]
pub enum CallKind {
    /// Begin a session.
    SetUpSession {
        /// The session.
        session: SessionId,
        /// Number of the attempt.
        attempt: u32,
        /// Hash of the viewer's key, kept by the node for a director that starts anew.
        viewer: u64,
        /// The tenant whose viewer this is.
        tenant: Option<String>,
        /// Name of the class.
        class: String,
        /// Name of the title.
        title: String,
        /// The rung to begin at.
        rung: usize,
        /// Its rate.
        rate_kb_s: f64,
    },
    /// Change a session's rung.
    SetRung {
        /// The session.
        session: SessionId,
        /// Number of the attempt that set it up.
        attempt: u32,
        /// The new rung.
        rung: usize,
        /// Its rate.
        rate_kb_s: f64,
    },
    /// End whatever runs there under this attempt, and let nothing of it begin any more.
    EndSession {
        /// The session.
        session: SessionId,
        /// Number of the attempt.
        attempt: u32,
        /// With an epoch, what is held under later ones goes on, and may begin.
        up_to_epoch: Option<Epoch>,
    },
    /// Make ready to take a session over from another node.
    PrepareMigration {
        /// The session.
        session: SessionId,
        /// Number of the attempt that set it up.
        attempt: u32,
        /// The epoch under which it is to be served.
        epoch: Epoch,
        /// The node that serves it now.
        from: ServerId,
        /// Hash of the viewer's key.
        viewer: u64,
        /// The tenant whose viewer this is.
        tenant: Option<String>,
        /// Name of the class.
        class: String,
        /// Name of the title.
        title: String,
        /// The rung to go on at.
        rung: usize,
        /// Its rate.
        rate_kb_s: f64,
    },
    /// Let nobody fetch what is ready under this epoch any more; status 409 where it has been fetched.
    CancelMigration {
        /// The session.
        session: SessionId,
        /// Number of the attempt that set it up.
        attempt: u32,
        /// The epoch.
        epoch: Epoch,
    },
    /// See whether the node answers.
    CheckHealth,
}

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Answer a viewer's request.
    Answer {
        /// The driver's number of the request.
        request_id: RequestId,
        /// Its final answer.
        answer: Answer,
    },
    /// Call a node; [`crate::Input::CallFinished`] tells how that ended.
    Call {
        /// The call.
        call: CallId,
        /// The node.
        server: ServerId,
        /// Where the node listens.
        address: SocketAddr,
        /// What to call for.
        kind: CallKind,
    },
    /// Give the call up and close its connection. No [`crate::Input::CallFinished`] follows for it.
    CancelCall {
        /// The call.
        call: CallId,
    },
    /// Keep this node's event stream open.
    WatchNode {
        /// The node.
        server: ServerId,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Close this node's event stream and its connections.
    UnwatchNode {
        /// The node.
        server: ServerId,
    },
    /// Close the connections to this node that are not in use.
    CloseIdleConnections {
        /// The node.
        server: ServerId,
    },
    /// Tell the session's player where it may fetch.
    OfferMigration {
        /// The session.
        session: SessionId,
        /// The epoch under which it may fetch.
        epoch: Epoch,
        /// Where.
        media: String,
    },
    /// Tell a player that follows its session's events that the session is over.
    SessionEnded {
        /// The session.
        session: SessionId,
    },
    /// A migration is over, for the record.
    MigrationFinished {
        /// The session.
        session: SessionId,
        /// The node that it was to migrate to.
        to: ServerId,
        /// MigrationReason.
        reason: MigrationReason,
        /// How long that took.
        duration: TimeDelta,
        /// It plays at its target now.
        migrated: bool,
    },
    /// A set-up attempt is over, for the record.
    AttemptFinished {
        /// The session.
        session: SessionId,
        /// Number of the attempt.
        attempt: u32,
        /// The node that was called.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// How long that took.
        duration: TimeDelta,
    },
    /// A line for the log.
    Log(String),
}

/// A session as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct SessionSummary {
    /// The session.
    pub session: SessionId,
    /// Name of its class.
    pub class: String,
    /// Name of its title.
    pub title: String,
    /// Where it plays, is being set up or is ending.
    pub server: Option<ServerId>,
    /// Its rung.
    pub rung: usize,
    /// It plays.
    pub is_playing: bool,
}

/// How many sessions there are, by what is under way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionCounts {
    /// Not set up yet.
    pub waiting: usize,
    /// Set up and playing.
    pub playing: usize,
    /// Over for their viewers, not yet at their nodes.
    pub ending: usize,
    /// Ends that nodes have not confirmed yet.
    pub unconfirmed_ends: usize,
    /// Of those that play, how many are migrating.
    pub migrating: usize,
}
