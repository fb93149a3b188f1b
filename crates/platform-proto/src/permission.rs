//! Decides whether a request may be admitted, forwarded or answered at this moment.
//!
//! Between two steps of a request anything may happen: its time ends, its viewer leaves, its node drains. Each step that
//! writes bytes therefore asks here right before it does, whatever an earlier step has found.

use crate::session::{SendProgress, Session};
use crate::viewer_message::cause;
use shalewall::{SessionId, Timestamp};

/// Why a request is rejected without consulting the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// Its id was used before.
    ReusedId,
    /// Its withdrawal was received before it, on another connection.
    Withdrawn,
    /// The director is shutting down.
    ShuttingDown,
    /// Its time was over when it was read.
    Expired,
    /// Its viewer had closed the connection when it was read.
    ViewerLeft,
    /// There was no capacity for its connection.
    ConnectionLimit,
    /// The maximum number of sessions, or the maximum size of their descriptions, is reached.
    SessionLimit,
    /// It is a transfer, and its node is not in the endpoint list.
    UnknownNode,
    /// It is a transfer, and the maximum number of transferred sessions is reached.
    TransferLimit,
}

impl RejectReason {
    /// The cause that the viewer receives.
    pub(crate) fn cause(self) -> i64 {
        match self {
            RejectReason::ReusedId => cause::INVALID,
            // A session at a node that is not listed has ended.
            RejectReason::UnknownNode => cause::FAILED,
            RejectReason::Withdrawn
            | RejectReason::ShuttingDown
            | RejectReason::Expired
            | RejectReason::ViewerLeft
            | RejectReason::ConnectionLimit
            | RejectReason::SessionLimit
            | RejectReason::TransferLimit => cause::REJECTED,
        }
    }
}

/// What admission of a new request depends on.
pub(crate) struct AdmissionState {
    pub(crate) was_used: bool,
    pub(crate) was_withdrawn: bool,
    pub(crate) is_shutting_down: bool,
    pub(crate) has_viewer_left: bool,
    pub(crate) sheds_connection: bool,
    pub(crate) is_full: bool,
    pub(crate) deadline: Timestamp,
}

/// Decides whether a new request may be passed to the decision module.
pub(crate) fn admit(state: &AdmissionState, now: Timestamp) -> Result<(), RejectReason> {
    let reasons = [
        (state.was_used, RejectReason::ReusedId),
        (state.was_withdrawn, RejectReason::Withdrawn),
        (state.is_shutting_down, RejectReason::ShuttingDown),
        (state.deadline <= now, RejectReason::Expired),
        (state.has_viewer_left, RejectReason::ViewerLeft),
        (state.sheds_connection, RejectReason::ConnectionLimit),
        (state.is_full, RejectReason::SessionLimit),
    ];
    match reasons.into_iter().find(|(applies, _)| *applies) {
        Some((_, reason)) => Err(reason),
        None => Ok(()),
    }
}

/// Decides whether a session that is said to be active at a node can be active there.
pub(crate) fn accept_transfer(was_used: bool, is_node_listed: bool) -> Result<(), RejectReason> {
    if was_used {
        Err(RejectReason::ReusedId)
    } else if !is_node_listed {
        Err(RejectReason::UnknownNode)
    } else {
        Ok(())
    }
}

/// What taking over an active session depends on.
pub(crate) struct TransferState {
    /// Whether the maximum number of transferred sessions is reached.
    pub(crate) is_full: bool,
    /// The session that this one displaces in that case.
    pub(crate) displaceable: Option<SessionId>,
}

/// Decides whether a transferred session is taken over; returns the session that it displaces, if any.
pub(crate) fn take_over(state: &TransferState) -> Result<Option<SessionId>, RejectReason> {
    match state.displaceable {
        _ if !state.is_full => Ok(None),
        Some(displaced) => Ok(Some(displaced)),
        None => Err(RejectReason::TransferLimit),
    }
}

/// Why a queued set-up is not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// It is no longer the session's current attempt, or was written before.
    NotCurrent,
    /// The request is answered or withdrawn.
    RequestEnded,
    /// The node drains or is gone.
    NodeNotReady,
    /// The time of the attempt or of the request is over.
    Expired,
}

/// Decides whether the set-up of an attempt may be written now; returns the time that is left, in milliseconds.
pub(crate) fn forward(
    session: &Session,
    number: u32,
    is_node_ready: bool,
    now: Timestamp,
) -> Result<i64, DropReason> {
    let attempt = session
        .attempt()
        .filter(|attempt| attempt.number == number)
        .filter(|attempt| attempt.progress == SendProgress::NotStarted)
        .ok_or(DropReason::NotCurrent)?;
    let time_left_ms = (attempt.expires_at.min(session.deadline) - now).as_millis();
    if !session.awaits_answer {
        Err(DropReason::RequestEnded)
    } else if !is_node_ready {
        Err(DropReason::NodeNotReady)
    } else if time_left_ms <= 0 {
        Err(DropReason::Expired)
    } else {
        Ok(time_left_ms)
    }
}

/// How a request is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The session is active.
    Served,
    /// Rejected or failed, with the cause that is sent.
    Ended(i64),
}

/// Why a viewer's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewerCloseReason {
    /// The viewer reset it, or it broke.
    Broken,
    /// This side closed it after its last line.
    Finished,
    /// The viewer does not read its lines.
    NotReading,
    /// The viewer keeps sending although its connection is being closed.
    KeepsSending,
    /// The viewer has not closed its half in time.
    CloseTimeout,
}

impl ViewerCloseReason {
    /// Whether requests on the connection may be without an answer: their viewer can't receive one.
    pub(crate) fn allows_unanswered(self) -> bool {
        matches!(
            self,
            ViewerCloseReason::Broken | ViewerCloseReason::NotReading
        )
    }
}

/// Number of times that a rule was broken, counted where the bytes are written. All should stay at 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RuleViolations {
    /// Answers to requests that had one.
    pub second_answers: u32,
    /// Requests without an answer on connections that this side closed.
    pub closed_unanswered: u32,
    /// Set-ups written after the time of their request, or after their viewer had disconnected.
    pub forwarded_after_end: u32,
}

impl RuleViolations {
    /// The sum of all.
    pub fn total(&self) -> u32 {
        self.second_answers + self.closed_unanswered + self.forwarded_after_end
    }
}
