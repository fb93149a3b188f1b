//! One viewer's connection: its decoder, its queue of outgoing lines, and the conditions for closing it.

use crate::MAX_MESSAGE_BYTES;
use crate::arrival::Arrival;
use crate::error::ViewerProtocolError;
use crate::viewer_message::{LineDecoder, ViewerMessage};
use shalewall::{SessionId, TimeDelta, Timestamp};
use std::collections::{BTreeSet, VecDeque};
use std::net::IpAddr;

/// Time after which a connection is closed that has sent nothing, or only part of a message: the platform requires this
/// within 3 s of connecting.
const MESSAGE_TIMEOUT: TimeDelta = TimeDelta::from_secs(2);
/// Time after which a connection without requests and sessions is closed; viewers close theirs after 4 s.
const IDLE_TIMEOUT: TimeDelta = TimeDelta::from_secs(10);
/// Time for which received bytes are ignored after this side has shut down its write half. Closing a connection with
/// unread bytes resets it, and the reset may discard the last line, which tells the viewer why it is disconnected.
const CLOSE_TIMEOUT: TimeDelta = TimeDelta::from_secs(1);
/// Maximum number of bytes that are ignored in that time.
const MAX_IGNORED_BYTES: usize = 256 * 1024;
/// Maximum number of queued bytes of a viewer that does not read.
const MAX_QUEUED_BYTES: usize = 16 * MAX_MESSAGE_BYTES;

/// The kind of a line, which determines what happens if the connection closes before the line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LineKind {
    /// The answer that a session is active. The session is released if the line can't be written.
    Answer(SessionId),
    /// The end of an active session. It is sent on another connection of the viewer, or on the next one.
    Release,
    /// Any other line, which is dropped with its connection.
    Other,
}

pub(crate) struct QueuedLine {
    pub(crate) kind: LineKind,
    pub(crate) bytes: Vec<u8>,
}

/// A message with the time at which its last byte arrived.
pub(crate) struct ReceivedMessage {
    pub(crate) message: ViewerMessage,
    pub(crate) arrived_at: Timestamp,
}

/// What to do next with a connection that has nothing to write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ViewerCloseState {
    Open,
    /// To be closed if its socket has no unread bytes.
    CloseIfNoUnreadBytes,
    /// Everything is written; the write half has to be shut down.
    HalfClosed,
    /// Everything is written, and the viewer sends no more.
    Closed,
}

pub(crate) struct ViewerConnection {
    address: IpAddr,
    decoder: LineDecoder,
    /// Arrival of the bytes that were received last.
    last_arrival: Arrival,
    queue: VecDeque<QueuedLine>,
    queued_bytes: usize,
    /// The line that is being written: if the connection closes now, the viewer has not received it.
    in_flight: Option<QueuedLine>,
    /// Requests without an answer.
    pending_requests: BTreeSet<SessionId>,
    active_sessions: BTreeSet<SessionId>,
    /// Whether its requests are rejected, since there was no capacity when it was accepted.
    sheds_requests: bool,
    opened_at: Timestamp,
    last_received_at: Timestamp,
    has_sent_message: bool,
    /// Time since which part of a message has been received, but not the rest.
    partial_since: Option<Timestamp>,
    /// Time at which closing began.
    closing_since: Option<Timestamp>,
    /// Whether the viewer has closed its side; some of its messages may be unread.
    is_stream_ending: bool,
    /// Whether the viewer sends no more, and everything is read.
    is_stream_ended: bool,
    ignored_bytes: usize,
    close_if_no_unread_bytes: bool,
}

impl ViewerConnection {
    pub(crate) fn new(address: IpAddr, sheds_requests: bool, now: Timestamp) -> ViewerConnection {
        ViewerConnection {
            address,
            decoder: LineDecoder::default(),
            last_arrival: Arrival::at(now),
            queue: VecDeque::new(),
            queued_bytes: 0,
            in_flight: None,
            pending_requests: BTreeSet::new(),
            active_sessions: BTreeSet::new(),
            sheds_requests,
            opened_at: now,
            last_received_at: now,
            has_sent_message: false,
            partial_since: None,
            closing_since: None,
            is_stream_ending: false,
            is_stream_ended: false,
            ignored_bytes: 0,
            close_if_no_unread_bytes: false,
        }
    }

    pub(crate) fn address(&self) -> IpAddr {
        self.address
    }

    pub(crate) fn last_received_at(&self) -> Timestamp {
        self.last_received_at
    }

    // ---- receiving ---------------------------------------------------------------------------

    pub(crate) fn receive(&mut self, arrival: Arrival, bytes: &[u8], now: Timestamp) {
        self.last_arrival = arrival;
        self.last_received_at = now;
        self.close_if_no_unread_bytes = false;
        self.decoder.push(bytes);
    }

    pub(crate) fn next_message(
        &mut self,
        now: Timestamp,
    ) -> Result<Option<ReceivedMessage>, ViewerProtocolError> {
        let message = self.decoder.message()?;
        let has_more_bytes = self.decoder.has_partial_message();
        if message.is_some() {
            self.partial_since = None;
        } else {
            let since = self.partial_since.unwrap_or(now);
            self.partial_since = has_more_bytes.then_some(since);
        }
        let arrived_at = self.last_arrival.of_message(!has_more_bytes);
        Ok(message.map(|message| ReceivedMessage {
            message,
            arrived_at,
        }))
    }

    /// Size of the line that is received in part.
    pub(crate) fn unfinished_bytes(&self) -> usize {
        self.decoder.unfinished_bytes()
    }

    /// Records that a valid message was received.
    pub(crate) fn record_message(&mut self) {
        self.has_sent_message = true;
    }

    // ---- sessions ----------------------------------------------------------------------------

    pub(crate) fn add_request(&mut self, session: SessionId) {
        self.pending_requests.insert(session);
    }

    pub(crate) fn pending_requests(&self) -> Vec<SessionId> {
        self.pending_requests.iter().copied().collect()
    }

    pub(crate) fn remove_request(&mut self, session: SessionId) {
        self.pending_requests.remove(&session);
    }

    pub(crate) fn add_active_session(&mut self, session: SessionId) {
        self.active_sessions.insert(session);
    }

    pub(crate) fn remove_active_session(&mut self, session: SessionId) {
        self.active_sessions.remove(&session);
    }

    pub(crate) fn take_requests(&mut self) -> BTreeSet<SessionId> {
        std::mem::take(&mut self.pending_requests)
    }

    pub(crate) fn take_active_sessions(&mut self) -> BTreeSet<SessionId> {
        std::mem::take(&mut self.active_sessions)
    }

    // ---- writing -----------------------------------------------------------------------------

    /// Queues a line; returns `false` if the queue is full because the viewer does not read.
    pub(crate) fn enqueue(&mut self, kind: LineKind, bytes: Vec<u8>) -> bool {
        if self.queued_bytes + bytes.len() > MAX_QUEUED_BYTES {
            return false;
        }
        self.enqueue_unbounded(kind, bytes);
        true
    }

    /// Queues a line whose number is bounded elsewhere.
    pub(crate) fn enqueue_unbounded(&mut self, kind: LineKind, bytes: Vec<u8>) {
        self.queued_bytes += bytes.len();
        self.queue.push_back(QueuedLine { kind, bytes });
    }

    /// Size of the lines that have not begun to be written.
    pub(crate) fn queued_bytes(&self) -> usize {
        self.queued_bytes
    }

    /// Records that the last line has been written.
    pub(crate) fn finish_write(&mut self) {
        self.in_flight = None;
    }

    /// Returns the next line to write; the previous one has been written.
    pub(crate) fn next_line(&mut self) -> Option<Vec<u8>> {
        let line = self.queue.pop_front()?;
        self.queued_bytes = self.queued_bytes.saturating_sub(line.bytes.len());
        // Only a release is resent on another connection.
        let bytes_to_resend = match line.kind {
            LineKind::Release => line.bytes.clone(),
            LineKind::Answer(_) | LineKind::Other => Vec::new(),
        };
        self.in_flight = Some(QueuedLine {
            kind: line.kind,
            bytes: bytes_to_resend,
        });
        Some(line.bytes)
    }

    /// Returns the last line to the queue because the socket accepted no byte of it.
    pub(crate) fn return_unwritten(&mut self, bytes: Vec<u8>) {
        if let Some(line) = self.in_flight.take() {
            self.queued_bytes += bytes.len();
            self.queue.push_front(QueuedLine {
                kind: line.kind,
                bytes,
            });
        }
    }

    /// Takes all lines that are not known to be written.
    pub(crate) fn take_unwritten(&mut self) -> Vec<QueuedLine> {
        let in_flight = self.in_flight.take();
        in_flight.into_iter().chain(self.queue.drain(..)).collect()
    }

    /// Takes all lines that have not begun to be written.
    pub(crate) fn take_queued(&mut self) -> Vec<QueuedLine> {
        self.queued_bytes = 0;
        self.queue.drain(..).collect()
    }

    /// Removes an answer from the queue; returns `false` if it is being written or has been written.
    pub(crate) fn retract_answer(&mut self, session: SessionId) -> bool {
        let answer = LineKind::Answer(session);
        let Some(position) = self.queue.iter().position(|line| line.kind == answer) else {
            return false;
        };
        let bytes = self
            .queue
            .remove(position)
            .map_or(0, |line| line.bytes.len());
        self.queued_bytes = self.queued_bytes.saturating_sub(bytes);
        true
    }

    pub(crate) fn has_pending_writes(&self) -> bool {
        !self.queue.is_empty() || self.in_flight.is_some()
    }

    // ---- closing -----------------------------------------------------------------------------

    /// Closes the connection once everything is written; no more messages are read.
    pub(crate) fn close(&mut self, now: Timestamp) {
        self.closing_since = Some(now);
        self.decoder = LineDecoder::default();
    }

    /// Closes the connection once everything is written; its viewer sends no more.
    pub(crate) fn close_after_end_of_stream(&mut self, now: Timestamp) {
        self.is_stream_ended = true;
        if !self.is_closing() {
            self.close(now);
        }
    }

    /// Records that the viewer has closed its side, although some of its messages may be unread.
    pub(crate) fn record_stream_ending(&mut self) {
        self.is_stream_ending = true;
    }

    pub(crate) fn is_stream_ending(&self) -> bool {
        self.is_stream_ending
    }

    /// Closes the connection if its socket has no unread bytes, so that requests are served that the viewer sent before
    /// it could notice the close.
    pub(crate) fn close_if_no_unread_bytes(&mut self) {
        self.close_if_no_unread_bytes = true;
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.closing_since.is_some()
    }

    /// Whether neither side has begun to close it.
    pub(crate) fn is_open(&self) -> bool {
        !self.is_closing() && !self.is_stream_ending
    }

    /// Whether it has requests without an answer, or active sessions.
    pub(crate) fn has_sessions(&self) -> bool {
        !self.pending_requests.is_empty() || !self.active_sessions.is_empty()
    }

    pub(crate) fn close_state(&self) -> ViewerCloseState {
        if self.is_stream_ended {
            ViewerCloseState::Closed
        } else if self.is_closing() {
            ViewerCloseState::HalfClosed
        } else if self.close_if_no_unread_bytes || (self.sheds_requests && self.has_sent_message) {
            ViewerCloseState::CloseIfNoUnreadBytes
        } else {
            ViewerCloseState::Open
        }
    }

    /// Counts bytes that were received while closing; returns `false` if there are too many.
    pub(crate) fn count_ignored_bytes(&mut self, bytes: usize) -> bool {
        self.ignored_bytes += bytes;
        self.ignored_bytes <= MAX_IGNORED_BYTES
    }

    /// Whether the time for the viewer to close its half has expired.
    pub(crate) fn close_timed_out(&self, now: Timestamp) -> bool {
        self.closing_since
            .is_some_and(|since| now - since >= CLOSE_TIMEOUT)
    }

    pub(crate) fn sheds_requests(&self) -> bool {
        self.sheds_requests
    }

    /// Whether it has no requests, sessions or pending writes, so that it may be evicted for a new connection.
    pub(crate) fn is_unused(&self) -> bool {
        !self.has_sessions() && !self.has_pending_writes() && !self.close_if_no_unread_bytes
    }

    /// Sort key for eviction of unused connections: those without a valid message first, then the least recently used.
    pub(crate) fn eviction_order(&self) -> (bool, Timestamp) {
        (self.has_sent_message, self.last_received_at)
    }

    /// Whether it has been idle or silent for too long.
    pub(crate) fn is_stale(&self, now: Timestamp) -> bool {
        if !self.pending_requests.is_empty()
            || self.has_pending_writes()
            || self.close_if_no_unread_bytes
        {
            return false;
        }
        let message_is_overdue = |since: Timestamp| now - since >= MESSAGE_TIMEOUT;
        let is_silent = !self.has_sent_message && message_is_overdue(self.opened_at);
        let is_partial = self.partial_since.is_some_and(message_is_overdue);
        let is_idle =
            self.active_sessions.is_empty() && now - self.last_received_at >= IDLE_TIMEOUT;
        is_silent || is_partial || is_idle
    }
}
