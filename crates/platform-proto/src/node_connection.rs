//! One connection to a media node: its open attempts and health checks, its queue of outgoing messages, and its
//! condition.
//!
//! Where possible, a connection has one open set-up at a time: a node closes the connection when it receives something
//! that it can't decode, whatever else is open on it, and one undecodable answer makes the rest of the stream unusable.

use crate::HexId;
use crate::error::NodeProtocolError;
use crate::ids::HealthCheckId;
use crate::recent::Recent;
use crate::rtsp::{RtspDecoder, RtspMessage};
use shalewall::{ServerId, SessionId, TimeDelta, Timestamp};
use std::collections::{BTreeSet, VecDeque};

/// Maximum number of queued messages of one connection. Messages are small, and written at once unless the node is
/// stalled.
const MAX_QUEUED_MESSAGES: usize = 256;
/// Number of rejected set-ups that are kept. Most connections have one open set-up at a time.
const MAX_REJECTED_ATTEMPTS: usize = 16;
/// Time within which a message that was partly received or partly written has to be completed.
const PARTIAL_MESSAGE_TIMEOUT: TimeDelta = TimeDelta::from_millis(500);
/// Time within which the rest of what a node sent at once is received: more than a round trip between zones.
const CONTENT_LENGTH_TIMEOUT: TimeDelta = TimeDelta::from_millis(20);

/// A queued message.
pub(crate) enum OutgoingMessage {
    /// The set-up of the session's attempt with this number; encoded when it is written.
    SetUp { session: SessionId, attempt: u32 },
    /// Cancels the session's attempt: the next attempt waits until this message is written.
    CancelAttempt { session: SessionId, wire_id: HexId },
    /// Releases the session; sent on another connection if it can't be written on this one.
    Release(HexId),
    /// Any other message, already encoded.
    Encoded(Vec<u8>),
}

/// The message that is being written, if the connection's end has to be handled depending on it.
#[derive(Clone, Copy)]
pub(crate) enum InFlight {
    SetUp { session: SessionId, attempt: u32 },
    CancelAttempt { session: SessionId, wire_id: HexId },
    Release(HexId),
}

/// What was open on a connection when it closed.
pub(crate) struct ClosedNodeConnection {
    pub(crate) server: ServerId,
    /// Sessions with an unanswered attempt.
    pub(crate) open_attempts: BTreeSet<SessionId>,
    /// Sessions with a cancellation that was not completely written.
    pub(crate) unwritten_cancellations: Vec<(SessionId, HexId)>,
    /// Sessions with a release that was not completely written.
    pub(crate) unwritten_releases: Vec<HexId>,
    /// Unanswered health checks.
    pub(crate) health_checks: BTreeSet<HealthCheckId>,
}

pub(crate) struct NodeConnection {
    server: ServerId,
    is_connected: bool,
    decoder: RtspDecoder,
    queue: VecDeque<OutgoingMessage>,
    in_flight: Option<InFlight>,
    /// Sessions with an unanswered attempt on it.
    open_attempts: BTreeSet<SessionId>,
    health_checks: BTreeSet<HealthCheckId>,
    /// Whether an attempt or a health check timed out on it and nothing was received since, so that the next one may
    /// time out as well.
    is_suspect: bool,
    /// Time since which part of a message has been received, but not the rest.
    partial_since: Option<Timestamp>,
    /// Time since which a message waits for what follows it, which shows whether its content length is right.
    unverified_since: Option<Timestamp>,
    /// Time since which its socket has not accepted all bytes of a message.
    write_blocked_since: Option<Timestamp>,
    opened_at: Timestamp,
    /// Time at which bytes were last sent or received: only traffic keeps the node from closing the connection as idle.
    last_used_at: Timestamp,
    /// The most recent set-ups that were rejected on it. A node may still accept a rejected set-up shortly afterwards,
    /// and that session would have no owner.
    rejected_attempts: Recent<HexId, MAX_REJECTED_ATTEMPTS>,
}

impl NodeConnection {
    pub(crate) fn new(server: ServerId, now: Timestamp) -> NodeConnection {
        NodeConnection {
            server,
            is_connected: false,
            decoder: RtspDecoder::default(),
            queue: VecDeque::new(),
            in_flight: None,
            open_attempts: BTreeSet::new(),
            health_checks: BTreeSet::new(),
            is_suspect: false,
            partial_since: None,
            unverified_since: None,
            write_blocked_since: None,
            opened_at: now,
            last_used_at: now,
            rejected_attempts: Recent::default(),
        }
    }

    // ---- condition ---------------------------------------------------------------------------

    pub(crate) fn server(&self) -> ServerId {
        self.server
    }

    pub(crate) fn opened_at(&self) -> Timestamp {
        self.opened_at
    }

    pub(crate) fn last_used_at(&self) -> Timestamp {
        self.last_used_at
    }

    pub(crate) fn is_connected(&self) -> bool {
        self.is_connected
    }

    pub(crate) fn is_suspect(&self) -> bool {
        self.is_suspect
    }

    pub(crate) fn has_partial_message(&self) -> bool {
        self.partial_since.is_some()
    }

    /// Whether it has open attempts, health checks or pending writes.
    pub(crate) fn is_busy(&self) -> bool {
        !self.open_attempts.is_empty()
            || !self.health_checks.is_empty()
            || self.has_pending_writes()
    }

    /// Whether a message is queued or being written. Such a connection must not be half-closed: within a cancellation,
    /// the session's next attempt would wait forever.
    pub(crate) fn has_pending_writes(&self) -> bool {
        !self.queue.is_empty() || self.in_flight.is_some()
    }

    /// Whether a message has been partly received or partly written for too long.
    pub(crate) fn is_stalled(&self, now: Timestamp) -> bool {
        let timed_out = |since: Option<Timestamp>| {
            since.is_some_and(|since| now - since >= PARTIAL_MESSAGE_TIMEOUT)
        };
        timed_out(self.partial_since) || timed_out(self.write_blocked_since)
    }

    pub(crate) fn mark_connected(&mut self, now: Timestamp) {
        self.is_connected = true;
        self.last_used_at = now;
    }

    pub(crate) fn mark_suspect(&mut self) {
        self.is_suspect = true;
    }

    // ---- receiving ---------------------------------------------------------------------------

    pub(crate) fn receive(&mut self, bytes: &[u8]) {
        self.decoder.push(bytes);
    }

    pub(crate) fn next_message(
        &mut self,
        now: Timestamp,
    ) -> Result<Option<RtspMessage>, NodeProtocolError> {
        let message = self.decoder.message()?;
        if message.is_some() {
            self.is_suspect = false;
            self.partial_since = None;
            self.last_used_at = now;
        } else {
            let since = self.partial_since.unwrap_or(now);
            self.partial_since = self.decoder.has_partial_message().then_some(since);
        }
        let is_unverified = self.decoder.has_unverified_message();
        let unverified_since = self.unverified_since.unwrap_or(now);
        self.unverified_since = is_unverified.then_some(unverified_since);
        Ok(message)
    }

    /// Time at which the content length of an unverified message is accepted, if there is one.
    pub(crate) fn content_length_due(&self) -> Option<Timestamp> {
        self.unverified_since
            .map(|since| since + CONTENT_LENGTH_TIMEOUT)
    }

    /// Accepts the content length of an unverified message, which is then the next one.
    pub(crate) fn accept_unverified_message(&mut self) {
        self.decoder.accept_unverified_message();
    }

    // ---- attempts and health checks ----------------------------------------------------------

    pub(crate) fn add_attempt(&mut self, session: SessionId) {
        self.open_attempts.insert(session);
    }

    pub(crate) fn remove_attempt(&mut self, session: SessionId) {
        self.open_attempts.remove(&session);
    }

    pub(crate) fn open_attempt_count(&self) -> usize {
        self.open_attempts.len()
    }

    pub(crate) fn add_health_check(&mut self, id: HealthCheckId) {
        self.health_checks.insert(id);
    }

    pub(crate) fn remove_health_check(&mut self, id: HealthCheckId) {
        self.health_checks.remove(&id);
    }

    pub(crate) fn record_rejection(&mut self, session: HexId) {
        self.rejected_attempts.push(session);
    }

    /// Removes a rejected set-up; returns whether there was one.
    pub(crate) fn take_rejection(&mut self, session: HexId) -> bool {
        self.rejected_attempts
            .take(|rejected| *rejected == session)
            .is_some()
    }

    // ---- writing -----------------------------------------------------------------------------

    /// Queues a message; returns `false` if the queue is full.
    pub(crate) fn enqueue(&mut self, message: OutgoingMessage) -> bool {
        let has_capacity = self.queue.len() < MAX_QUEUED_MESSAGES;
        if has_capacity {
            self.queue.push_back(message);
        }
        has_capacity
    }

    pub(crate) fn next_outgoing(&mut self) -> Option<OutgoingMessage> {
        self.queue.pop_front()
    }

    /// Puts a message back at the front of the queue.
    pub(crate) fn return_unwritten(&mut self, message: OutgoingMessage) {
        self.queue.push_front(message);
    }

    /// Removes a set-up that has not begun to be written from the queue; returns whether messages behind it can now be
    /// written.
    pub(crate) fn remove_queued_set_up(&mut self, id: SessionId) -> bool {
        let before = self.queue.len();
        self.queue.retain(
            |message| !matches!(message, OutgoingMessage::SetUp { session, .. } if *session == id),
        );
        self.queue.len() < before && !self.queue.is_empty()
    }

    /// Records that bytes are passed to the socket, which may not accept them.
    pub(crate) fn begin_write(&mut self, now: Timestamp) {
        self.last_used_at = now;
        self.write_blocked_since = Some(now);
    }

    /// Records that the socket has accepted all bytes; returns the message that was being written.
    pub(crate) fn finish_write(&mut self) -> Option<InFlight> {
        self.write_blocked_since = None;
        self.in_flight.take()
    }

    pub(crate) fn set_in_flight(&mut self, message: InFlight) {
        self.in_flight = Some(message);
    }

    pub(crate) fn take_in_flight(&mut self) -> Option<InFlight> {
        self.in_flight.take()
    }

    pub(crate) fn is_writing_cancellation(&self) -> bool {
        matches!(self.in_flight, Some(InFlight::CancelAttempt { .. }))
    }

    /// Whether an attempt on it is waiting for its answer.
    pub(crate) fn has_open_attempts(&self) -> bool {
        !self.open_attempts.is_empty()
    }

    /// Sessions with a cancellation that has not been completely written, with their wire ids.
    pub(crate) fn unwritten_cancellations(&self) -> impl Iterator<Item = (SessionId, HexId)> {
        let in_flight = match self.in_flight {
            Some(InFlight::CancelAttempt { session, wire_id }) => Some((session, wire_id)),
            Some(InFlight::SetUp { .. } | InFlight::Release(_)) | None => None,
        };
        let queued = self.queue.iter().filter_map(|message| match message {
            OutgoingMessage::CancelAttempt { session, wire_id } => Some((*session, *wire_id)),
            _ => None,
        });
        in_flight.into_iter().chain(queued)
    }

    fn unwritten_releases(&self) -> impl Iterator<Item = HexId> {
        let in_flight = match self.in_flight {
            Some(InFlight::Release(wire_id)) => Some(wire_id),
            Some(InFlight::SetUp { .. } | InFlight::CancelAttempt { .. }) | None => None,
        };
        let queued = self.queue.iter().filter_map(|message| match message {
            OutgoingMessage::Release(wire_id) => Some(*wire_id),
            _ => None,
        });
        in_flight.into_iter().chain(queued)
    }

    // ---- closing -----------------------------------------------------------------------------

    /// Consumes the connection; returns what was open on it.
    pub(crate) fn into_closed(self) -> ClosedNodeConnection {
        ClosedNodeConnection {
            server: self.server,
            unwritten_cancellations: self.unwritten_cancellations().collect(),
            unwritten_releases: self.unwritten_releases().collect(),
            open_attempts: self.open_attempts,
            health_checks: self.health_checks,
        }
    }

    /// Whether it is connected and has nothing open or pending, so that it can be half-closed.
    pub(crate) fn is_idle(&self) -> bool {
        self.is_connected && !self.is_busy() && !self.has_partial_message()
    }

    /// Consumes the connection; returns the decoder for what is received after its write half is shut down.
    pub(crate) fn into_decoder(self) -> RtspDecoder {
        self.decoder
    }
}
