//! The outputs that the engine's driver carries out. Data types only.

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
        /// The rung at which playback starts.
        rung: usize,
        /// The URL of the stream.
        media: String,
    },
    /// Rejected: nothing was executed, and the viewer may retry.
    Rejected {
        /// The session, if one was created.
        session: Option<SessionId>,
        /// How long the viewer should wait before it retries.
        retry_after: Option<TimeDelta>,
    },
    /// Failed; the set-up may have been executed.
    Failed {
        /// The session.
        session: SessionId,
        /// Whether the viewer's deadline has passed.
        is_deadline_exceeded: bool,
    },
    /// The request names an unknown tenant, class or title. The string says which of the three.
    Unknown(&'static str),
    /// The request's idempotency key is in use by a conflicting request or session. The string gives the reason.
    Conflict(&'static str),
}

/// A call to a node.
#[derive(Clone, Debug, PartialEq)]
pub enum CallKind {
    /// Set up a session.
    SetUpSession {
        /// The session.
        session: SessionId,
        /// Number of the attempt.
        attempt: u32,
        /// Hash of the viewer's key. The node stores it, so that a restarted director can recover the session.
        viewer: u64,
        /// The tenant of the viewer.
        tenant: Option<String>,
        /// Name of the class.
        class: String,
        /// Name of the title.
        title: String,
        /// The rung at which playback starts.
        rung: usize,
        /// Rate of the rung, kB/s.
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
        /// Rate of the rung, kB/s.
        rate_kb_s: f64,
    },
    /// End whatever the node runs for this attempt, and reject anything of it that arrives later.
    EndSession {
        /// The session.
        session: SessionId,
        /// Number of the attempt.
        attempt: u32,
        /// If given, only epochs up to this one end: later ones continue, and may still start.
        up_to_epoch: Option<Epoch>,
    },
    /// Prepare to take a session over from another node.
    PrepareMigration {
        /// The session.
        session: SessionId,
        /// Number of the attempt that set it up.
        attempt: u32,
        /// The epoch under which the target will serve it.
        epoch: Epoch,
        /// The node that currently serves it.
        from: ServerId,
        /// Hash of the viewer's key.
        viewer: u64,
        /// The tenant of the viewer.
        tenant: Option<String>,
        /// Name of the class.
        class: String,
        /// Name of the title.
        title: String,
        /// The rung at which the target continues.
        rung: usize,
        /// Rate of the rung, kB/s.
        rate_kb_s: f64,
    },
    /// Cancel what is prepared under this epoch. The node answers with status 409 if it has already been fetched.
    CancelMigration {
        /// The session.
        session: SessionId,
        /// Number of the attempt that set it up.
        attempt: u32,
        /// The epoch.
        epoch: Epoch,
    },
    /// Check that the node responds.
    CheckHealth,
}

/// An operation that the driver has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Answer a viewer's request.
    Answer {
        /// The request, by the driver's number.
        request_id: RequestId,
        /// The final answer.
        answer: Answer,
    },
    /// Call a node. [`crate::Input::CallFinished`] reports the result.
    Call {
        /// The call.
        call: CallId,
        /// The node.
        server: ServerId,
        /// The address on which the node listens.
        address: SocketAddr,
        /// The operation that the call requests.
        kind: CallKind,
    },
    /// Abort the call and close its connection. No [`crate::Input::CallFinished`] follows for it.
    CancelCall {
        /// The call.
        call: CallId,
    },
    /// Keep an event stream from this node open.
    WatchNode {
        /// The node.
        server: ServerId,
        /// The address on which it listens.
        address: SocketAddr,
    },
    /// Close this node's event stream and its connections.
    UnwatchNode {
        /// The node.
        server: ServerId,
    },
    /// Close the idle connections to this node.
    CloseIdleConnections {
        /// The node.
        server: ServerId,
    },
    /// Offer the session's player the target of its migration.
    OfferMigration {
        /// The session.
        session: SessionId,
        /// The epoch that the target serves.
        epoch: Epoch,
        /// The URL of the stream at the target.
        media: String,
    },
    /// Notify a player that subscribes to its session's events that the session is over.
    SessionEnded {
        /// The session.
        session: SessionId,
    },
    /// A migration is over; reported for logs and metrics.
    MigrationFinished {
        /// The session.
        session: SessionId,
        /// The target node.
        to: ServerId,
        /// Why the session was to migrate.
        reason: MigrationReason,
        /// Time from the start to the end.
        duration: TimeDelta,
        /// Whether the session now plays at the target.
        migrated: bool,
    },
    /// A set-up attempt is over; reported for logs and metrics.
    AttemptFinished {
        /// The session.
        session: SessionId,
        /// Number of the attempt.
        attempt: u32,
        /// The node that was called.
        server: ServerId,
        /// The outcome.
        outcome: Outcome,
        /// Time from the start to the end.
        duration: TimeDelta,
    },
    /// A log line.
    Log(String),
}

/// A session as shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct SessionSummary {
    /// The session.
    pub session: SessionId,
    /// Name of its class.
    pub class: String,
    /// Name of its title.
    pub title: String,
    /// The node at which it plays, is being set up or is ending.
    pub server: Option<ServerId>,
    /// Its rung.
    pub rung: usize,
    /// Whether it plays.
    pub is_playing: bool,
}

/// Session counts by stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionCounts {
    /// Sessions that are not set up yet.
    pub waiting: usize,
    /// Sessions that are playing.
    pub playing: usize,
    /// Sessions that are over for their viewers, but that a node may still hold.
    pub ending: usize,
    /// Session ends that nodes have not confirmed yet.
    pub unconfirmed_ends: usize,
    /// Playing sessions that are migrating.
    pub migrating: usize,
}
