//! The end of a director: new requests are rejected, what was taken is answered, and viewers' connections are closed
//! so that nothing sent on them is lost.

use super::{DirectorProtocol, Timer};
use crate::viewer_message::{ViewerMessage, cause};
use shalewall::{SessionId, TimeDelta, Timestamp};

/// What has no answer so long before the end has none in time: a viewer may wait for longer than a director may stay.
const FINAL_ANSWERS_BEFORE_END: TimeDelta = TimeDelta::from_millis(100);

impl DirectorProtocol {
    /// Shuts down: nothing new is admitted, and what was taken is answered while there is time.
    pub fn begin_shutdown(&mut self, now: Timestamp) {
        self.is_shutting_down = true;
        let due = now + self.timeouts.shutdown - FINAL_ANSWERS_BEFORE_END;
        self.timers.set(due, Timer::FinalAnswers);
    }

    /// How long a director may go on after it was told to shut down: everything that it took is answered by then, and
    /// whoever wants it gone kills it no sooner.
    pub fn shutdown_time_limit(&self) -> TimeDelta {
        self.timeouts.shutdown
    }

    /// Answers what still waits, before the process must be gone.
    pub(super) fn send_final_answers(&mut self) {
        for id in self.sessions.pending_requests() {
            self.send_final_answer(id);
        }
    }

    fn send_final_answer(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get(id) else {
            return;
        };
        let cause = if session.was_never_sent() {
            cause::REJECTED
        } else {
            cause::FAILED
        };
        let answer = ViewerMessage::finish(session.wire_id, cause);
        let viewer = session.viewer;
        self.withdraw_request(id);
        if let Some(viewer) = viewer {
            self.send_to_viewer(viewer, &answer);
        }
        self.run_module();
    }

    /// Closes viewers' connections: once all is written, and in two steps, so that nothing sent is lost.
    pub fn close_viewers(&mut self, now: Timestamp) {
        for id in self.viewers.open_ids() {
            self.viewers.close(id, now);
            self.outputs.write(id);
        }
    }

    /// Whether anything is still to be written, to a viewer or a node.
    pub fn has_pending_writes(&self) -> bool {
        self.viewers.has_pending_writes() || self.node_connections.has_pending_writes()
    }
}
