//! Session ends: sent to a node until it confirms them.

use super::Engine;
use super::calls::confirms_absence;
use super::timer::Timer;
use crate::call_table::CallPurpose;
use crate::input::CallResult;
use crate::output::CallKind;
use crate::pending_ends::{EndKey, EndRequirement};
use shalewall_migration::Epoch;

impl Engine {
    /// Has a node end an attempt that it may hold. The call is repeated until the node confirms the end.
    pub(super) fn require_end(&mut self, key: EndKey, up_to_epoch: Option<Epoch>) {
        match self.pending_ends.require(key, up_to_epoch) {
            EndRequirement::Unchanged => return,
            EndRequirement::Extended => {}
            EndRequirement::New => {
                let state = self.sessions.get_attempt_mut(key.session, key.attempt);
                if let Some(state) = state {
                    state.unconfirmed_ends += 1;
                }
            }
        }
        self.send_end(key);
    }

    /// Sends a pending end. An earlier call for it that has had no answer is cancelled.
    pub(super) fn send_end(&mut self, key: EndKey) {
        let Some(end) = self.pending_ends.prepare_call(key) else {
            return;
        };
        if let Some(call) = end.superseded {
            self.cancel_call(call);
        }
        let kind = CallKind::EndSession {
            session: key.session,
            attempt: key.attempt,
            up_to_epoch: end.up_to_epoch,
        };
        let Some(call) = self.send_call(key.server, CallPurpose::End(key), kind) else {
            return self.confirm_end(key);
        };
        if let Some(timeout) = self.pending_ends.record_call(key, call) {
            self.timers.set(self.now + timeout, Timer::SendEnd(key));
        }
    }

    pub(super) fn end_call_finished(&mut self, key: EndKey, result: &CallResult) {
        if confirms_absence(result) {
            self.confirm_end(key);
        } else if let Some(delay) = self.pending_ends.record_failure(key) {
            self.timers.set(self.now + delay, Timer::SendEnd(key));
        }
    }

    /// The node has confirmed that it no longer holds the attempt, or is no longer listed.
    pub(super) fn confirm_end(&mut self, key: EndKey) {
        let Some(end) = self.pending_ends.remove(key) else {
            return;
        };
        if let Some(call) = end.call {
            // Confirmed by something other than the call's answer, which may never arrive.
            self.cancel_call(call);
        }
        let state = self.sessions.get_attempt_mut(key.session, key.attempt);
        let Some(state) = state else {
            return;
        };
        state.unconfirmed_ends = state.unconfirmed_ends.saturating_sub(1);
        self.node_released(key.session, key.server, end.up_to_epoch);
        self.finish_if_over(key.session);
    }
}
