//! Graceful shutdown: new requests are rejected, pending ones are answered, and viewers' connections are closed once no
//! request is unread.

use super::{DirectorProtocol, Timer};
use shalewall::{TimeDelta, Timestamp};

/// Time before the end of the shutdown at which the remaining requests are answered: a viewer may wait for longer than
/// the shutdown may take.
const FINAL_ANSWER_MARGIN: TimeDelta = TimeDelta::from_millis(100);

impl DirectorProtocol {
    /// Begins the shutdown: new requests are rejected, and pending ones are answered until the time limit, which counts
    /// from the signal.
    pub fn begin_shutdown(&mut self, signalled_at: Timestamp) {
        self.is_shutting_down = true;
        let due = signalled_at + self.timeouts.shutdown - FINAL_ANSWER_MARGIN;
        self.timers.set(due, Timer::FinalAnswers);
    }

    /// Time limit of the shutdown, by which every pending request is answered. The process must not be killed before.
    pub fn shutdown_time_limit(&self) -> TimeDelta {
        self.timeouts.shutdown
    }

    /// Answers all pending requests before the time limit.
    pub(super) fn send_final_answers(&mut self) {
        for id in self.sessions.pending_requests() {
            self.send_final_answer(id);
        }
    }

    /// Closes viewers' connections, each once everything is written and its socket has no unread bytes: a request that
    /// was read has to be answered.
    pub fn close_viewers(&mut self) {
        for id in self.viewers.begin_closing_all() {
            self.outputs.write(id);
        }
    }

    /// Whether any bytes have still to be written, to a viewer or a node.
    pub fn has_pending_writes(&self) -> bool {
        self.viewers.has_pending_writes() || self.node_connections.has_pending_writes()
    }
}
