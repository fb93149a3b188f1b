//! Records of a recording: one JSON object per line, each with its time in microseconds on the machine's clock. The
//! keys and tags of the JSON form are stable, so that recordings of earlier versions can be read.

use crate::micros;
use serde::{Deserialize, Serialize};
use shalewall::{TimeDelta, Timestamp};
use std::fmt;

/// State of a node that accepts sessions, as the endpoint list names it.
pub(crate) const READY: &str = "ready";

/// Outcome of a set-up at its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SetUpOutcome {
    /// The session plays at the node.
    #[serde(rename = "plays")]
    Playing,
    /// Rejected without being executed.
    #[serde(rename = "turned_away")]
    Rejected,
    /// The director closed the connection, or the node died, before a response was sent.
    #[serde(rename = "given")]
    Abandoned,
    /// The session was released before the set-up began.
    #[serde(rename = "ended")]
    Cancelled,
}

/// Name that the evidence of findings uses.
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

/// Playback time at a rung. Stored as a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(usize, i64)", into = "(usize, i64)")]
pub struct RungTime {
    /// Rung of the ladder.
    pub rung: usize,
    /// Duration.
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

/// An event on a socket, as seen by a node, the endpoint list or a viewer, or a state change of a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what")]
pub enum Record {
    // nodes
    /// A node's process started.
    #[serde(rename = "node_up")]
    NodeStarted {
        /// Time of the event.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The node.
        node: u64,
        /// Number of concurrent streams of the node when it is warm.
        places: f64,
        /// Whether it has its full capacity from its start.
        warm: bool,
        /// Cell of the node.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        cell: Option<u64>,
    },
    /// A node's process died.
    #[serde(rename = "node_down")]
    NodeStopped {
        /// Time of the event.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The node.
        node: u64,
        /// Whether it failed of overload while it was warming up.
        #[serde(rename = "fell")]
        overloaded: bool,
    },
    /// A set-up arrived complete.
    #[serde(rename = "set_up")]
    SetUpReceived {
        /// Time of the event.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The node.
        node: u64,
        /// The director.
        director: u32,
        /// The session.
        session: u64,
        /// Number of the attempt: 0 for the first one, incremented by each retry.
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
    /// A set-up ended: a response was sent, or its connection was closed.
    #[serde(rename = "set_up_done")]
    SetUpFinished {
        /// Time of the event.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The node.
        node: u64,
        /// The session.
        session: u64,
        /// Number of the attempt: 0 for the first one, incremented by each retry.
        attempt: u32,
        /// Outcome.
        #[serde(rename = "ran")]
        outcome: SetUpOutcome,
    },
    /// Part of a request arrived before its connection broke.
    #[serde(rename = "partial")]
    PartialRequest {
        /// Time of the event.
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
        /// Time of the event.
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
        /// Time of the event.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The node.
        node: u64,
        /// The session.
        session: u64,
        /// Number of the attempt: 0 for the first one, incremented by each retry.
        attempt: u32,
    },

    /// A migration request arrived complete: a session that plays at another node is to be prepared at this one.
    #[serde(rename = "hand_in")]
    MigrationReceived {
        /// Time of the event.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The node.
        node: u64,
        /// The director.
        director: u32,
        /// The session.
        session: u64,
        /// Number of the attempt: 0 for the first one, incremented by each retry.
        attempt: u32,
        /// Epoch of the session, incremented by each migration.
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
    /// A migrated session is ready at its target.
    #[serde(rename = "hand_in_done")]
    MigrationReady {
        /// Time of the event.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The node.
        node: u64,
        /// The session.
        session: u64,
        /// Number of the attempt: 0 for the first one, incremented by each retry.
        attempt: u32,
        /// Epoch of the session, incremented by each migration.
        epoch: u32,
        /// Outcome.
        #[serde(rename = "ran")]
        outcome: SetUpOutcome,
    },
    /// The player of a migrated session fetched it from its target.
    #[serde(rename = "fetched")]
    PlayerFetched {
        /// Time of the event.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The node.
        node: u64,
        /// The session.
        session: u64,
        /// Number of the attempt: 0 for the first one, incremented by each retry.
        attempt: u32,
        /// Epoch of the session, incremented by each migration.
        epoch: u32,
    },
    /// A node's process was suspended.
    #[serde(rename = "froze")]
    NodeFrozen {
        /// Time of the event.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The node.
        node: u64,
    },
    /// A node's process was resumed.
    #[serde(rename = "thawed")]
    NodeResumed {
        /// Time of the event.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The node.
        node: u64,
    },
    /// Demand on a node, as fractions of its capacity.
    #[serde(rename = "load")]
    NodeLoad {
        /// Time of the event.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The node.
        node: u64,
        /// Utilization of its link.
        link: f64,
        /// Utilization of its rack's uplink.
        uplink: f64,
        /// Utilization of its streams.
        streams: f64,
    },

    // list
    /// A director was notified of a node's state.
    #[serde(rename = "told")]
    EndpointNotified {
        /// Time of the event.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The director.
        director: u32,
        /// The node.
        node: u64,
        /// `ready`, `draining` or `gone`.
        standing: String,
        /// Start time of the node's process, if the notification contains it.
        #[serde(default, rename = "came_up", with = "micros::optional_timestamp")]
        node_started: Option<Timestamp>,
    },

    // viewers
    /// A viewer's request was sent complete.
    #[serde(rename = "asked")]
    RequestSent {
        /// Time of the event.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The director.
        director: u32,
        /// Id of the request.
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
        /// Time that the viewer waits for a response.
        #[serde(rename = "wait", with = "micros")]
        timeout: TimeDelta,
    },
    /// A response was received complete.
    #[serde(rename = "answered")]
    RequestAnswered {
        /// Time of the event.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// Id of the request.
        #[serde(rename = "ask")]
        request: u64,
        /// The HTTP status.
        status: u16,
        /// The session that plays, or that was rejected.
        session: Option<u64>,
    },
    /// A request's connection ended without a response.
    #[serde(rename = "unanswered")]
    RequestUnanswered {
        /// Time of the event.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// Id of the request.
        #[serde(rename = "ask")]
        request: u64,
    },
    /// The viewer closed the connection before a response arrived.
    #[serde(rename = "left")]
    RequestCancelled {
        /// Time of the event.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// Id of the request.
        #[serde(rename = "ask")]
        request: u64,
    },
    /// Playback of a session by a viewer.
    #[serde(rename = "watched")]
    SessionWatched {
        /// Time of the event.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// Id of the request.
        #[serde(rename = "ask")]
        request: u64,
        /// The session.
        session: u64,
        /// Duration.
        #[serde(rename = "micros", with = "micros")]
        duration: TimeDelta,
        /// Bytes received.
        #[serde(rename = "got")]
        bytes_received: u64,
        /// Bytes at the full rates.
        #[serde(rename = "due")]
        bytes_expected: u64,
        /// Playback time at each rung.
        #[serde(rename = "rungs")]
        rung_times: Vec<RungTime>,
    },

    /// A playback gap began.
    #[serde(rename = "gap")]
    PlaybackGap {
        /// Time of the event.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// Id of the request.
        #[serde(rename = "ask")]
        request: u64,
        /// The session.
        session: u64,
        /// Duration.
        #[serde(rename = "micros", with = "micros")]
        duration: TimeDelta,
    },

    // directors
    /// A director's process started.
    #[serde(rename = "director_up")]
    DirectorStarted {
        /// Time of the event.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The director.
        director: u32,
    },
    /// A director was killed.
    #[serde(rename = "director_killed")]
    DirectorKilled {
        /// Time of the event.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The director.
        director: u32,
    },
    /// A director's process was suspended.
    #[serde(rename = "director_stalled")]
    DirectorStalled {
        /// Time of the event.
        #[serde(rename = "t", with = "micros::timestamp")]
        time: Timestamp,
        /// The director.
        director: u32,
        /// End of the suspension.
        #[serde(with = "micros::timestamp")]
        until: Timestamp,
    },
}

impl Record {
    /// Time of the event on the machine's clock.
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
