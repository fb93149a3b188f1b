//! Rungs of sessions that play: each change is sent to the node until it is confirmed.

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

    /// Tells the node of a rung that it has not confirmed.
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
            // The node does not know it: its end is told on the event stream, or by what the node holds next time.
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
