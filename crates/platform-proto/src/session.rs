//! A viewer's request and the session that it becomes: what is known of it and how far it has come.

use crate::HexId;
use crate::ids::{NodeConnectionId, ViewerId};
use crate::session_request::SessionRequest;
use shalewall::{ServerId, Timestamp};
use std::net::IpAddr;

/// A request, or the session that it became.
pub(crate) struct Session {
    /// Its id on the wire.
    pub(crate) wire_id: HexId,
    pub(crate) title: HexId,
    /// Index of its class.
    pub(crate) class: usize,
    /// The viewer's description, kept until the request has its answer.
    pub(crate) description: String,
    /// The connection that it was requested on, while that is open.
    pub(crate) viewer: Option<ViewerId>,
    pub(crate) viewer_address: IpAddr,
    /// The viewer waits until then.
    pub(crate) deadline: Timestamp,
    pub(crate) rung: usize,
    pub(crate) attempts_started: u32,
    /// Its viewer waits for an answer.
    pub(crate) awaits_answer: bool,
    pub(crate) stage: Stage,
}

/// Where a session is.
pub(crate) enum Stage {
    /// At no node.
    Unassigned,
    /// A node is asked to set it up.
    Attempting(Attempt),
    /// It is active at a node.
    Active(ActiveSession),
}

/// An attempt to set a session up.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    /// From 0 for each session.
    pub(crate) number: u32,
    pub(crate) connection: NodeConnectionId,
    pub(crate) started_at: Timestamp,
    /// It is cancelled when it has no answer by then.
    pub(crate) expires_at: Timestamp,
    pub(crate) progress: SendProgress,
}

/// A session that is active at a node.
#[derive(Clone, Copy)]
pub(crate) struct ActiveSession {
    pub(crate) server: ServerId,
    /// Number of the attempt that set it up.
    pub(crate) attempt: u32,
    /// The connection that it was set up on; none where it was transferred.
    pub(crate) connection: Option<NodeConnectionId>,
}

/// How much of a set-up was written, which decides whether its node may have executed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendProgress {
    /// Nothing: it was not executed.
    NotStarted,
    /// Not all: the node can't have executed it.
    PartlyWritten,
    /// All: the node may have executed it.
    Written,
}

impl Session {
    /// A session as its viewer requests it: at no node yet, or transferred from another director.
    pub(crate) fn new(
        wire_id: HexId,
        viewer: ViewerId,
        viewer_address: IpAddr,
        request: SessionRequest,
        rung: usize,
    ) -> Session {
        let active_at = request.active_at;
        let transferred = active_at.map(|server| ActiveSession {
            server,
            attempt: 0,
            connection: None,
        });
        Session {
            wire_id,
            title: request.title,
            class: request.request.class,
            description: request.description,
            viewer: Some(viewer),
            viewer_address,
            deadline: request.request.deadline,
            rung,
            attempts_started: u32::from(active_at.is_some()),
            awaits_answer: active_at.is_none(),
            stage: transferred.map_or(Stage::Unassigned, Stage::Active),
        }
    }

    pub(crate) fn attempt(&self) -> Option<&Attempt> {
        match &self.stage {
            Stage::Attempting(attempt) => Some(attempt),
            Stage::Unassigned | Stage::Active(_) => None,
        }
    }

    pub(crate) fn active(&self) -> Option<&ActiveSession> {
        match &self.stage {
            Stage::Active(active) => Some(active),
            Stage::Unassigned | Stage::Attempting(_) => None,
        }
    }

    /// Whether a node may be executing or have executed a set-up of it.
    pub(crate) fn may_be_executed(&self) -> bool {
        self.attempt()
            .is_some_and(|attempt| attempt.progress == SendProgress::Written)
    }

    /// Whether no byte of any set-up of it was written.
    pub(crate) fn was_never_sent(&self) -> bool {
        match &self.stage {
            Stage::Unassigned => self.attempts_started == 0,
            Stage::Attempting(attempt) => {
                attempt.number == 0 && attempt.progress == SendProgress::NotStarted
            }
            Stage::Active(_) => false,
        }
    }

    /// Whether an attempt of it is open, or it is active, at that node.
    pub(crate) fn is_at(&self, server: ServerId) -> bool {
        match &self.stage {
            Stage::Unassigned => false,
            Stage::Attempting(attempt) => attempt.server == server,
            Stage::Active(active) => active.server == server,
        }
    }
}
