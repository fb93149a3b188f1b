//! One connection to a media node: what is open on it, the messages that wait to be written, and its condition.
//!
//! One set-up at a time is open on a connection where that can be had: a node closes the connection over what it can't
//! read, whatever else is open on it, and one unreadable answer spoils the whole stream.

use crate::HexId;
use crate::error::NodeProtocolError;
use crate::ids::HealthCheckId;
use crate::rtsp::{RtspDecoder, RtspMessage};
use shalewall::{ServerId, SessionId, TimeDelta, Timestamp};
use std::collections::{BTreeSet, VecDeque};

/// Messages that wait on one connection. They are small and written at once unless the node stands still.
const MAX_QUEUED_MESSAGES: usize = 256;
/// Rejected set-ups that are remembered. One set-up at a time is open on most connections.
const MAX_REJECTED_ATTEMPTS: usize = 16;
/// A message of which a part has come or was written is whole after this, or never.
const PARTIAL_MESSAGE_TIMEOUT: TimeDelta = TimeDelta::from_millis(500);

/// A message that waits to be written.
pub(crate) enum OutgoingMessage {
    /// The session's attempt of this number; encoded when its turn comes.
    SetUp { session: SessionId, attempt: u32 },
    /// The session's attempt is cancelled: its next one waits until this is written.
    CancelAttempt { session: SessionId, wire_id: HexId },
    /// The session is released: sent on another connection where it is not written on this one.
    Release(HexId),
    /// Anything else.
    Encoded(Vec<u8>),
}

/// The message that is being written, where more depends on it than its bytes.
#[derive(Clone, Copy)]
pub(crate) enum InFlight {
    SetUp { session: SessionId, attempt: u32 },
    CancelAttempt { session: SessionId, wire_id: HexId },
    Release(HexId),
}

/// What a connection that ends leaves open.
pub(crate) struct ClosedNodeConnection {
    pub(crate) server: ServerId,
    /// Sessions with an attempt without an answer.
    pub(crate) open_attempts: BTreeSet<SessionId>,
    /// Sessions whose cancellation was not written.
    pub(crate) unwritten_cancellations: Vec<(SessionId, HexId)>,
    /// Sessions whose release was not written.
    pub(crate) unwritten_releases: Vec<HexId>,
    /// Health checks without an answer.
    pub(crate) health_checks: BTreeSet<HealthCheckId>,
}

pub(crate) struct NodeConnection {
    server: ServerId,
    is_connected: bool,
    decoder: RtspDecoder,
    queue: VecDeque<OutgoingMessage>,
    in_flight: Option<InFlight>,
    /// Sessions with an attempt on it that has no answer.
    open_attempts: BTreeSet<SessionId>,
    health_checks: BTreeSet<HealthCheckId>,
    /// An attempt or a health check timed out on it and nothing was received since: it may be as silent for the next.
    is_suspect: bool,
    /// Since when part of a message has come and the rest has not.
    partial_since: Option<Timestamp>,
    /// Since when its socket does not take what was given to it.
    write_blocked_since: Option<Timestamp>,
    opened_at: Timestamp,
    /// When anything was last sent or received: only that keeps the node from closing the connection as idle.
    last_used_at: Timestamp,
    /// The last set-ups that were rejected on it. A node that accepts one all the same says so a little later, and
    /// nobody here would know of that session.
    rejected_attempts: VecDeque<HexId>,
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
            write_blocked_since: None,
            opened_at: now,
            last_used_at: now,
            rejected_attempts: VecDeque::new(),
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

    /// Whether anything is open on it or waits to be written.
    pub(crate) fn is_busy(&self) -> bool {
        !self.open_attempts.is_empty()
            || !self.health_checks.is_empty()
            || self.has_pending_writes()
    }

    /// Whether a message waits or is being written. Closed within a cancellation, it would leave the session's next
    /// attempt waiting for that.
    pub(crate) fn has_pending_writes(&self) -> bool {
        !self.queue.is_empty() || self.in_flight.is_some()
    }

    /// Whether half a message has come, or half a message was taken, for too long.
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
        Ok(message)
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
        if self.rejected_attempts.len() >= MAX_REJECTED_ATTEMPTS {
            self.rejected_attempts.pop_front();
        }
        self.rejected_attempts.push_back(session);
    }

    /// Whether a set-up was rejected on it. It is forgotten with that.
    pub(crate) fn take_rejection(&mut self, session: HexId) -> bool {
        let position = self
            .rejected_attempts
            .iter()
            .position(|rejected| *rejected == session);
        position
            .and_then(|position| self.rejected_attempts.remove(position))
            .is_some()
    }

    // ---- writing -----------------------------------------------------------------------------

    /// Queues a message. False where too many wait.
    pub(crate) fn enqueue(&mut self, message: OutgoingMessage) -> bool {
        let has_room = self.queue.len() < MAX_QUEUED_MESSAGES;
        if has_room {
            self.queue.push_back(message);
        }
        has_room
    }

    pub(crate) fn next_outgoing(&mut self) -> Option<OutgoingMessage> {
        self.queue.pop_front()
    }

    /// Puts a message back to the head of the queue.
    pub(crate) fn return_unwritten(&mut self, message: OutgoingMessage) {
        self.queue.push_front(message);
    }

    /// Takes a set-up that has not begun to be written off the queue. True: what waits behind it can be written.
    pub(crate) fn remove_queued_set_up(&mut self, id: SessionId) -> bool {
        let before = self.queue.len();
        self.queue.retain(
            |message| !matches!(message, OutgoingMessage::SetUp { session, .. } if *session == id),
        );
        self.queue.len() < before && !self.queue.is_empty()
    }

    /// Its socket is given bytes, and may not take them.
    pub(crate) fn begin_write(&mut self, now: Timestamp) {
        self.last_used_at = now;
        self.write_blocked_since = Some(now);
    }

    /// Its socket has taken all that it was given.
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

    /// Whether closing it ends no attempt that still waits for its answer.
    pub(crate) fn has_open_attempts(&self) -> bool {
        !self.open_attempts.is_empty()
    }

    /// Sessions whose cancellation has not been written, with their ids on the wire.
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

    /// Ends it.
    pub(crate) fn into_closed(self) -> ClosedNodeConnection {
        ClosedNodeConnection {
            server: self.server,
            unwritten_cancellations: self.unwritten_cancellations().collect(),
            unwritten_releases: self.unwritten_releases().collect(),
            open_attempts: self.open_attempts,
            health_checks: self.health_checks,
        }
    }

    /// Whether it can be half-closed: nothing waits on it.
    pub(crate) fn is_quiet(&self) -> bool {
        self.is_connected && !self.is_busy() && !self.has_partial_message()
    }

    /// Ends its writing half; what is still received goes through the decoder.
    pub(crate) fn into_decoder(self) -> RtspDecoder {
        self.decoder
    }
}
