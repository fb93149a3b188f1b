//! A viewer's request and the session that results from it: its properties and its progress.

use crate::HexId;
use crate::ids::{NodeConnectionId, ViewerId};
use crate::session_request::SessionRequest;
use shalewall::{ServerId, TimeDelta, Timestamp};
use std::net::IpAddr;

/// Longest duration of a transferred session without a hint.
const UNHINTED_DURATION: TimeDelta = TimeDelta::from_secs(3600);
/// Longest duration of a transferred session, as a multiple of its hint.
const HINT_TOLERANCE: i64 = 4;
/// Bounds of the time after which a transferred session may be considered abandoned.
const MIN_TRANSFER_TIMEOUT: TimeDelta = TimeDelta::from_secs(60);
const MAX_TRANSFER_TIMEOUT: TimeDelta = TimeDelta::from_secs(4 * 3600);

/// A request, or the resulting session.
pub(crate) struct Session {
    /// Its id in messages.
    pub(crate) wire_id: HexId,
    pub(crate) title: HexId,
    /// Index of its class in the settings.
    pub(crate) class: usize,
    /// The viewer's session description, kept until the request is answered.
    pub(crate) description: String,
    /// The connection on which it was requested, until that closes.
    pub(crate) viewer: Option<ViewerId>,
    pub(crate) viewer_address: IpAddr,
    /// Time until which the viewer waits for the answer.
    pub(crate) deadline: Timestamp,
    pub(crate) rung: usize,
    pub(crate) attempts_started: u32,
    /// Whether all of a set-up was written.
    pub(crate) was_written: bool,
    pub(crate) received_at: Timestamp,
    /// The viewer's estimate of its duration.
    pub(crate) duration_hint: Option<TimeDelta>,
    /// Whether its viewer is waiting for an answer.
    pub(crate) awaits_answer: bool,
    pub(crate) stage: Stage,
}

/// Progress of a session.
pub(crate) enum Stage {
    /// Not assigned to a node.
    Unassigned,
    /// A set-up at a node is in progress.
    Attempting(Attempt),
    /// It is active at a node.
    Active(ActiveSession),
}

/// An attempt to set up a session.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) server: ServerId,
    /// Index of the attempt within its session, from 0.
    pub(crate) number: u32,
    pub(crate) connection: NodeConnectionId,
    pub(crate) started_at: Timestamp,
    /// Time at which it is cancelled unless it is answered.
    pub(crate) expires_at: Timestamp,
    pub(crate) progress: SendProgress,
}

/// A session that is active at a node.
#[derive(Clone, Copy)]
pub(crate) struct ActiveSession {
    pub(crate) server: ServerId,
    /// Number of the attempt that set it up.
    pub(crate) attempt: u32,
    /// The connection on which it was set up; `None` if it was transferred from another director.
    pub(crate) connection: Option<NodeConnectionId>,
}

/// How much of a set-up was written, which determines whether the node may have executed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendProgress {
    /// Nothing was written: the node has not executed it.
    NotStarted,
    /// Part of it was written: the node can't have executed it.
    PartlyWritten,
    /// All of it was written: the node may have executed it.
    Written,
}

impl Session {
    /// Creates a session from its viewer's request: unassigned, or already active if it is transferred from another
    /// director.
    pub(crate) fn new(
        wire_id: HexId,
        viewer: ViewerId,
        viewer_address: IpAddr,
        request: SessionRequest,
        rung: usize,
        received_at: Timestamp,
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
            // No set-up is sent for a transferred session.
            description: match transferred {
                None => request.description,
                Some(_) => String::new(),
            },
            viewer: Some(viewer),
            viewer_address,
            deadline: request.request.deadline,
            rung,
            attempts_started: u32::from(active_at.is_some()),
            was_written: false,
            received_at,
            duration_hint: request.request.duration_hint,
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

    /// Whether a node may have executed its current attempt.
    pub(crate) fn may_be_executed(&self) -> bool {
        self.attempt()
            .is_some_and(|attempt| attempt.progress == SendProgress::Written)
    }

    /// Whether a node may have executed it, now or in an earlier attempt.
    pub(crate) fn may_have_run(&self) -> bool {
        self.was_written || self.active().is_some()
    }

    /// Whether no byte of any of its set-ups was written.
    pub(crate) fn was_never_sent(&self) -> bool {
        match &self.stage {
            Stage::Unassigned => self.attempts_started == 0,
            Stage::Attempting(attempt) => {
                attempt.number == 0 && attempt.progress == SendProgress::NotStarted
            }
            Stage::Active(_) => false,
        }
    }

    /// Whether nothing shows any more that a transferred session is active: its viewer has disconnected, and its time is
    /// long over.
    pub(crate) fn is_abandoned(&self, now: Timestamp) -> bool {
        let longest = self
            .duration_hint
            .map_or(UNHINTED_DURATION, |hint| hint * HINT_TOLERANCE);
        let limit = longest.clamp(MIN_TRANSFER_TIMEOUT, MAX_TRANSFER_TIMEOUT);
        self.viewer.is_none() && now - self.received_at >= limit
    }

    /// Whether it is active, or has an attempt in progress, at that node.
    pub(crate) fn is_at(&self, server: ServerId) -> bool {
        match &self.stage {
            Stage::Unassigned => false,
            Stage::Attempting(attempt) => attempt.server == server,
            Stage::Active(active) => active.server == server,
        }
    }
}
