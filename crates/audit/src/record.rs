//! The records of a recording: one JSON object a line, each with its time in microseconds on the clock of the machine.
//! Keys and tags of the JSON form are those of earlier recordings.

use crate::micros;
use serde::{Deserialize, Serialize};
use shalewall::{TimeDelta, Timestamp};
use std::fmt;

/// The standing of a node that takes sessions, as the endpoint list names it.
pub(crate) const READY: &str = "ready";

/// How a set-up ended at its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SetUpOutcome {
    /// The session plays there.
    #[serde(rename = "plays")]
    Playing,
    /// Rejected, with the proof that nothing was executed.
    #[serde(rename = "turned_away")]
    Rejected,
    /// The director closed its connection, or the node died, before it was answered.
    #[serde(rename = "given")]
    Abandoned,
    /// Released before it began.
    #[serde(rename = "ended")]
    Cancelled,
}

/// The name that the evidence of findings uses.
impl fmt::Display for SetUpOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SetUpOutcome::Playing => "Plays",
            SetUpOutcome::Rejected => "TurnedAway",
            SetUpOutcome::Abandoned => "Given",
            SetUpOutcome::Cancelled => "Ended",
        })
    }
}

/// How long a rung was in force. A pair in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(usize, i64)", into = "(usize, i64)")]
pub struct RungTime {
    /// The rung of the ladder.
    pub rung: usize,
    /// For so long.
    pub duration: TimeDelta,
}

impl From<(usize, i64)> for RungTime {
    fn from((rung, micros): (usize, i64)) -> RungTime {
        RungTime {
            rung,
            duration: TimeDelta::from_micros(micros),
        }
    }
}

impl From<RungTime> for (usize, i64) {
    fn from(time: RungTime) -> (usize, i64) {
        (time.rung, time.duration.as_micros())
    }
}

/// One event on a socket, as its end at a node, the endpoint list or a viewer saw it; or a change of a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what")]
pub enum Record {
    // nodes
    /// A node's process started.
    #[serde(rename = "node_up")]
    NodeStarted {
        /// When.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The node.
        node: u64,
        /// Set-ups that the node can execute at a time when it is warm.
        places: f64,
        /// Whether it has its full capacity at once.
        warm: bool,
        /// The cell that it is in.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        cell: Option<u64>,
    },
    /// A node's process died.
    #[serde(rename = "node_down")]
    NodeStopped {
        /// When.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The node.
        node: u64,
        /// Whether it died of overload while it warmed up.
        #[serde(rename = "fell")]
        overloaded: bool,
    },
    /// A set-up arrived complete.
    #[serde(rename = "set_up")]
    SetUpReceived {
        /// When.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The node.
        node: u64,
        /// The director.
        director: u32,
        /// The session.
        session: u64,
        /// 0 for the first attempt, then one for each retry.
        attempt: u32,
        /// The tenant, if the request names one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        tenant: Option<String>,
        /// The class of session.
        class: String,
        /// The title.
        title: String,
        /// The rung of the ladder.
        rung: usize,
    },
    /// A set-up ended: it was answered, or its connection was closed.
    #[serde(rename = "set_up_done")]
    SetUpFinished {
        /// When.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The node.
        node: u64,
        /// The session.
        session: u64,
        /// 0 for the first attempt, then one for each retry.
        attempt: u32,
        /// How it ended.
        #[serde(rename = "ran")]
        outcome: SetUpOutcome,
    },
    /// Part of a request arrived before its connection broke.
    #[serde(rename = "partial")]
    PartialRequest {
        /// When.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The node.
        node: u64,
        /// Bytes that arrived.
        bytes: usize,
        /// The session, if the request line arrived.
        session: Option<u64>,
        /// The attempt, if the request line arrived.
        attempt: Option<u32>,
    },
    /// A session's rung was changed.
    #[serde(rename = "rung")]
    RungChanged {
        /// When.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The node.
        node: u64,
        /// The session.
        session: u64,
        /// The rung of the ladder.
        rung: usize,
    },
    /// A session ended at its node.
    #[serde(rename = "over")]
    SessionEnded {
        /// When.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The node.
        node: u64,
        /// The session.
        session: u64,
        /// 0 for the first attempt, then one for each retry.
        attempt: u32,
    },

    /// A migration arrived complete: a session that plays elsewhere is to be prepared here.
    #[serde(rename = "hand_in")]
    MigrationReceived {
        /// When.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The node.
        node: u64,
        /// The director.
        director: u32,
        /// The session.
        session: u64,
        /// 0 for the first attempt, then one for each retry.
        attempt: u32,
        /// Grows by each migration of the session.
        epoch: u32,
        /// The tenant, if the request names one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        tenant: Option<String>,
        /// The class of session.
        class: String,
        /// The title.
        title: String,
        /// The rung of the ladder.
        rung: usize,
    },
    /// A migrated session is ready here.
    #[serde(rename = "hand_in_done")]
    MigrationReady {
        /// When.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The node.
        node: u64,
        /// The session.
        session: u64,
        /// 0 for the first attempt, then one for each retry.
        attempt: u32,
        /// Grows by each migration of the session.
        epoch: u32,
        /// How it ended.
        #[serde(rename = "ran")]
        outcome: SetUpOutcome,
    },
    /// The player of a migrated session fetched it here.
    #[serde(rename = "fetched")]
    PlayerFetched {
        /// When.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The node.
        node: u64,
        /// The session.
        session: u64,
        /// 0 for the first attempt, then one for each retry.
        attempt: u32,
        /// Grows by each migration of the session.
        epoch: u32,
    },
    /// A node's process stands still.
    #[serde(rename = "froze")]
    NodeFrozen {
        /// When.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The node.
        node: u64,
    },
    /// A node's process runs again.
    #[serde(rename = "thawed")]
    NodeResumed {
        /// When.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The node.
        node: u64,
    },
    /// What is requested of a node, as fractions of what it can give.
    #[serde(rename = "load")]
    NodeLoad {
        /// When.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The node.
        node: u64,
        /// Of its link.
        link: f64,
        /// Of its uplink.
        uplink: f64,
        /// Of its streams.
        streams: f64,
    },

    // list
    /// A director was notified of a node's standing.
    #[serde(rename = "told")]
    EndpointNotified {
        /// When.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The director.
        director: u32,
        /// The node.
        node: u64,
        /// `ready`, `draining` or `gone`.
        standing: String,
        /// When the node's process started, if the notification says so.
        #[serde(default, rename = "came_up", with = "micros::optional_timestamp")]
        node_started: Option<Timestamp>,
    },

    // viewers
    /// A viewer's request was sent complete.
    #[serde(rename = "asked")]
    RequestSent {
        /// When.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The director.
        director: u32,
        /// The request.
        #[serde(rename = "ask")]
        request: u64,
        /// The idempotency key.
        key: String,
        /// The tenant, if the request names one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        tenant: Option<String>,
        /// The class of session.
        class: String,
        /// The title.
        title: String,
        /// How long the viewer waits for an answer.
        #[serde(rename = "wait", with = "micros")]
        timeout: TimeDelta,
    },
    /// A request's answer was read complete.
    #[serde(rename = "answered")]
    RequestAnswered {
        /// When.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The request.
        #[serde(rename = "ask")]
        request: u64,
        /// The HTTP status.
        status: u16,
        /// The session that plays or was rejected.
        session: Option<u64>,
    },
    /// A request's connection ended without an answer.
    #[serde(rename = "unanswered")]
    RequestUnanswered {
        /// When.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The request.
        #[serde(rename = "ask")]
        request: u64,
    },
    /// The viewer closed the connection before an answer arrived.
    #[serde(rename = "left")]
    RequestCancelled {
        /// When.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The request.
        #[serde(rename = "ask")]
        request: u64,
    },
    /// What a viewer received of a session.
    #[serde(rename = "watched")]
    SessionWatched {
        /// When.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The request.
        #[serde(rename = "ask")]
        request: u64,
        /// The session.
        session: u64,
        /// For so long.
        #[serde(rename = "micros", with = "micros")]
        duration: TimeDelta,
        /// Bytes received.
        #[serde(rename = "got")]
        bytes_received: u64,
        /// Bytes that the full rates would have been.
        #[serde(rename = "due")]
        bytes_expected: u64,
        /// How long each rung was in force.
        #[serde(rename = "rungs")]
        rung_times: Vec<RungTime>,
    },

    /// The picture stood still from this time on.
    #[serde(rename = "gap")]
    PlaybackGap {
        /// When.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The request.
        #[serde(rename = "ask")]
        request: u64,
        /// The session.
        session: u64,
        /// For so long.
        #[serde(rename = "micros", with = "micros")]
        duration: TimeDelta,
    },

    // directors
    /// A director's process started.
    #[serde(rename = "director_up")]
    DirectorStarted {
        /// When.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The director.
        director: u32,
    },
    /// A director was killed.
    #[serde(rename = "director_killed")]
    DirectorKilled {
        /// When.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The director.
        director: u32,
    },
    /// A director was stopped from outside.
    #[serde(rename = "director_stalled")]
    DirectorStalled {
        /// When.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The director.
        director: u32,
        /// Until when.
        #[serde(with = "micros::timestamp")]
        until: Timestamp,
    },
}

impl Record {
    /// When it happened, on the clock of the machine.
    pub fn time(&self) -> Timestamp {
        match self {
            Record::NodeStarted { time, .. }
            | Record::NodeStopped { time, .. }
            | Record::SetUpReceived { time, .. }
            | Record::SetUpFinished { time, .. }
            | Record::PartialRequest { time, .. }
            | Record::RungChanged { time, .. }
            | Record::SessionEnded { time, .. }
            | Record::MigrationReceived { time, .. }
            | Record::MigrationReady { time, .. }
            | Record::PlayerFetched { time, .. }
            | Record::NodeFrozen { time, .. }
            | Record::NodeResumed { time, .. }
            | Record::NodeLoad { time, .. }
            | Record::EndpointNotified { time, .. }
            | Record::RequestSent { time, .. }
            | Record::RequestAnswered { time, .. }
            | Record::RequestUnanswered { time, .. }
            | Record::RequestCancelled { time, .. }
            | Record::SessionWatched { time, .. }
            | Record::PlaybackGap { time, .. }
            | Record::DirectorStarted { time, .. }
            | Record::DirectorKilled { time, .. }
            | Record::DirectorStalled { time, .. } => *time,
        }
    }
}
