//! Rung changes of playing sessions: sent to the node until it confirms them.

use super::Engine;
use super::timer::Timer;
use crate::call_table::CallPurpose;
use crate::input::CallResult;
use crate::output::CallKind;
use crate::pending_ends::RETRY_DELAY;
use shalewall::SessionId;

impl Engine {
    pub(super) fn set_rung(&mut self, session: SessionId, rung: usize) {
        if let Some(state) = self.sessions.get_mut(session) {
            state.rung = rung;
            self.send_rung(session);
        }
    }

    /// Sends the current rung to the node, if the node has not confirmed it.
    pub(super) fn send_rung(&mut self, session: SessionId) {
        let Some(state) = self.sessions.get(session) else {
            return;
        };
        let (Some(server), Some(rung)) = (state.playing_at(), state.rung_to_send()) else {
            return;
        };
        let kind = CallKind::SetRung {
            session,
            attempt: state.last_attempt(),
            rung,
            rate_kb_s: self.config.settings.rate(state.request.class, rung),
        };
        let call = self.send_call(server, CallPurpose::SetRung { session, rung }, kind);
        if let Some(state) = self.sessions.get_mut(session) {
            state.rung_call = call;
        }
    }

    pub(super) fn rung_call_finished(
        &mut self,
        session: SessionId,
        rung: usize,
        result: &CallResult,
    ) {
        let Some(state) = self.sessions.get_mut(session) else {
            return;
        };
        state.rung_call = None;
        match result {
            CallResult::Answered {
                status: 200..=299, ..
            } => {
                state.confirmed_rung = rung;
                self.send_rung(session);
            }
            // The node does not know the session. Its end arrives on the event stream, or is detected from the list of
            // held sessions when the stream opens again.
            CallResult::Answered {
                status: 404 | 410, ..
            } => {}
            _ => {
                let due = self.now + RETRY_DELAY;
                self.timers.set(due, Timer::SendRung(session));
            }
        }
    }
}
