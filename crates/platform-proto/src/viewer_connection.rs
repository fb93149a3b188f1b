//! One viewer's connection: what is received on it, the lines that wait to be written, and when it may be closed.

use crate::MAX_MESSAGE_BYTES;
use crate::error::ViewerProtocolError;
use crate::viewer_message::{LineDecoder, ViewerMessage};
use shalewall::{SessionId, TimeDelta, Timestamp};
use std::collections::{BTreeSet, VecDeque};
use std::net::IpAddr;

/// A connection that has sent nothing, or the beginning of a message and no more, is closed after this: the platform
/// wants that within 3 s of connecting.
const MESSAGE_TIMEOUT: TimeDelta = TimeDelta::from_secs(2);
/// A connection without requests and sessions is closed after this; viewers close theirs after 4 s.
const IDLE_TIMEOUT: TimeDelta = TimeDelta::from_secs(10);
/// A viewer that is told why it is disconnected may read that line: this side's half is closed, and what still comes
/// is ignored for so long and up to so many bytes. A connection closed over unread bytes is reset, and the reset may
/// destroy the line.
const CLOSE_TIMEOUT: TimeDelta = TimeDelta::from_secs(1);
const MAX_IGNORED_BYTES: usize = 256 * 1024;
/// Bytes that wait for a viewer that reads nothing.
const MAX_QUEUED_BYTES: usize = 16 * MAX_MESSAGE_BYTES;

/// What a line tells, which decides what is done if its connection ends before the line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LineKind {
    /// This session is active. It is released if its viewer is never told of it.
    Answer(SessionId),
    /// An active session has ended. Sent on another connection of the viewer, or on its next one.
    Release,
    /// Of use on this connection only.
    Other,
}

pub(crate) struct QueuedLine {
    pub(crate) kind: LineKind,
    pub(crate) bytes: Vec<u8>,
}

/// What to do next with a connection that has nothing to write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ViewerCloseState {
    Open,
    /// To be closed if nothing of it waits unread.
    CloseIfNoUnreadBytes,
    /// All is written; this side's half is to be closed.
    HalfClosed,
}

pub(crate) struct ViewerConnection {
    address: IpAddr,
    decoder: LineDecoder,
    queue: VecDeque<QueuedLine>,
    queued_bytes: usize,
    /// The line that is being written: a viewer whose connection ends now has not received it.
    in_flight: Option<QueuedLine>,
    /// Requests without an answer.
    pending_requests: BTreeSet<SessionId>,
    active_sessions: BTreeSet<SessionId>,
    opened_at: Timestamp,
    last_received_at: Timestamp,
    has_sent_message: bool,
    /// Since when part of a message has come and the rest has not.
    partial_since: Option<Timestamp>,
    /// Since when it is being closed.
    closing_since: Option<Timestamp>,
    ignored_bytes: usize,
    close_if_no_unread_bytes: bool,
}

impl ViewerConnection {
    pub(crate) fn new(address: IpAddr, now: Timestamp) -> ViewerConnection {
        ViewerConnection {
            address,
            decoder: LineDecoder::default(),
            queue: VecDeque::new(),
            queued_bytes: 0,
            in_flight: None,
            pending_requests: BTreeSet::new(),
            active_sessions: BTreeSet::new(),
            opened_at: now,
            last_received_at: now,
            has_sent_message: false,
            partial_since: None,
            closing_since: None,
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

    pub(crate) fn receive(&mut self, bytes: &[u8], now: Timestamp) {
        self.last_received_at = now;
        self.close_if_no_unread_bytes = false;
        self.decoder.push(bytes);
    }

    pub(crate) fn next_message(
        &mut self,
        now: Timestamp,
    ) -> Result<Option<ViewerMessage>, ViewerProtocolError> {
        let message = self.decoder.message()?;
        if message.is_some() {
            self.partial_since = None;
        } else {
            let since = self.partial_since.unwrap_or(now);
            self.partial_since = self.decoder.has_partial_message().then_some(since);
        }
        Ok(message)
    }

    /// A message of it was valid.
    pub(crate) fn record_message(&mut self) {
        self.has_sent_message = true;
    }

    // ---- sessions ----------------------------------------------------------------------------

    pub(crate) fn add_request(&mut self, session: SessionId) {
        self.pending_requests.insert(session);
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

    /// Queues a line. False where its viewer reads nothing and too much waits already.
    pub(crate) fn enqueue(&mut self, kind: LineKind, bytes: Vec<u8>) -> bool {
        if self.queued_bytes + bytes.len() > MAX_QUEUED_BYTES {
            return false;
        }
        self.enqueue_unbounded(kind, bytes);
        true
    }

    /// The same for lines that were bounded elsewhere.
    pub(crate) fn enqueue_unbounded(&mut self, kind: LineKind, bytes: Vec<u8>) {
        self.queued_bytes += bytes.len();
        self.queue.push_back(QueuedLine { kind, bytes });
    }

    /// The next line to write; the one before it has been written.
    pub(crate) fn next_line(&mut self) -> Option<Vec<u8>> {
        self.in_flight = None;
        let line = self.queue.pop_front()?;
        self.queued_bytes = self.queued_bytes.saturating_sub(line.bytes.len());
        // Only a release is sent again elsewhere.
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

    /// Nothing of the line given last was written.
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

    /// Takes back an answer that has not begun to be written. False: it is on its way, or has been written.
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

    /// Closes it once all is written; nothing more of it is read.
    pub(crate) fn close(&mut self, now: Timestamp) {
        self.closing_since = Some(now);
        self.decoder = LineDecoder::default();
    }

    /// Closes it if nothing of it waits unread: what its viewer sent before it could know of the close is served.
    pub(crate) fn close_if_no_unread_bytes(&mut self) {
        self.close_if_no_unread_bytes = true;
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.closing_since.is_some()
    }

    pub(crate) fn close_state(&self) -> ViewerCloseState {
        if self.is_closing() {
            ViewerCloseState::HalfClosed
        } else if self.close_if_no_unread_bytes {
            ViewerCloseState::CloseIfNoUnreadBytes
        } else {
            ViewerCloseState::Open
        }
    }

    /// Counts bytes that came while it is being closed. False: they are too many.
    pub(crate) fn ignore(&mut self, bytes: usize) -> bool {
        self.ignored_bytes += bytes;
        self.ignored_bytes <= MAX_IGNORED_BYTES
    }

    /// Whether its viewer has had the time to close its half.
    pub(crate) fn close_timed_out(&self, now: Timestamp) -> bool {
        self.closing_since
            .is_some_and(|since| now - since >= CLOSE_TIMEOUT)
    }

    /// Whether it is of no use at present: it may be closed to make room.
    pub(crate) fn is_unused(&self) -> bool {
        self.pending_requests.is_empty()
            && self.active_sessions.is_empty()
            && !self.has_pending_writes()
            && !self.close_if_no_unread_bytes
    }

    /// Which unused connection is closed first: one that has sent no message, then the one not used for longest.
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
