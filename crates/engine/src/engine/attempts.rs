//! Set-up attempts: sent to a node, answered, timed out or cancelled. A session that an attempt may have started, but
//! that its viewer does not get, is ended at the node.

use super::Engine;
use super::calls::CallOutcome;
use super::nodes::NodeLoad;
use super::timer::Timer;
use crate::call_table::CallPurpose;
use crate::input::CallResult;
use crate::output::{Answer, CallKind, Output};
use crate::pending_ends::EndKey;
use crate::session::{Session, SetUpInFlight, Stage};
use shalewall::{Event, LoadReport, Outcome, ServerId, SessionId, Settings, TimeDelta};

/// Timeout of an attempt that has none of its own: its request's deadline applies.
const NO_TIMEOUT: TimeDelta = TimeDelta::from_micros(i64::MAX / 2);

fn set_up_call(session: &Session, attempt: u32, settings: &Settings) -> CallKind {
    CallKind::SetUpSession {
        session: session.request.session,
        attempt,
        viewer: session.viewer,
        tenant: session.tenant.clone(),
        class: session.class.clone(),
        title: session.title.clone(),
        rung: session.rung,
        rate_kb_s: settings.rate(session.request.class, session.rung),
    }
}

/// Whether an attempt with this outcome was certainly not executed by the node.
fn is_not_started(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Rejected | Outcome::ConnectionFailed | Outcome::NotSent
    )
}

impl Engine {
    pub(super) fn start_attempt(
        &mut self,
        session: SessionId,
        server: ServerId,
        timeout: Option<TimeDelta>,
    ) {
        let Some(state) = self.sessions.get_mut(session) else {
            return;
        };
        let Stage::Deciding = state.stage else {
            debug_assert!(false, "an attempt is started only while none is in flight");
            return;
        };
        let attempt = state.begin_attempt();
        let kind = set_up_call(state, attempt, &self.config.settings);
        let timeout = timeout.unwrap_or(NO_TIMEOUT).max(TimeDelta::ZERO);
        let due = state.request.deadline.min(self.now + timeout);
        let Some(call) = self.send_call(server, CallPurpose::SetUp(session), kind) else {
            // The node has no address, so nothing was sent.
            let load_report = LoadReport::default();
            let outcome = Outcome::NotSent;
            return self.finish_attempt(session, attempt, server, outcome, load_report);
        };
        if let Some(state) = self.sessions.get_mut(session) {
            state.confirmed_rung = state.rung;
            state.stage = Stage::SettingUp(SetUpInFlight {
                call,
                server,
                sent_at: self.now,
                ended_early: false,
            });
        }
        self.timers
            .set(due, Timer::AttemptTimeout { session, attempt });
    }

    /// Notifies the decision module of the outcome of an attempt that started no session.
    fn finish_attempt(
        &mut self,
        session: SessionId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
        load_report: LoadReport,
    ) {
        let mut is_answered = true;
        if let Some(state) = self.sessions.get_mut(session) {
            state.stage = Stage::Deciding;
            is_answered = state.waiting.is_empty();
            if is_answered {
                self.remove_session(session);
            }
        }
        self.events.push_back(Event::AttemptFinished {
            session,
            attempt,
            server,
            outcome,
            is_answered,
            load_report,
        });
    }

    /// Reports the outcome of an attempt to the driver.
    fn record_attempt(
        &mut self,
        session: SessionId,
        attempt: u32,
        set_up: SetUpInFlight,
        outcome: Outcome,
    ) {
        self.outputs.push_back(Output::AttemptFinished {
            session,
            attempt,
            server: set_up.server,
            outcome,
            duration: self.now - set_up.sent_at,
        });
    }

    pub(super) fn attempt_timed_out(&mut self, session: SessionId, attempt: u32) {
        let state = self.sessions.get(session);
        let Some(set_up) = state.and_then(|state| state.set_up_in_flight(attempt)) else {
            return;
        };
        let outcome = Outcome::TimedOut;
        let server = set_up.server;
        self.cancel_call(set_up.call);
        self.record_attempt(session, attempt, set_up, outcome);
        self.require_end(end_key(server, session, attempt), None);
        self.finish_attempt(session, attempt, server, outcome, LoadReport::default());
    }

    /// The decision module cancels an attempt. It is notified of the outcome when the node has confirmed the end.
    pub(super) fn cancel_attempt(&mut self, session: SessionId, attempt: u32) {
        let Some(state) = self.sessions.get_mut(session) else {
            return;
        };
        let Some(set_up) = state.set_up_in_flight(attempt) else {
            return;
        };
        let outcome = Outcome::Cancelled;
        let server = set_up.server;
        state.stage = Stage::Ending { server, outcome };
        self.cancel_call(set_up.call);
        self.record_attempt(session, attempt, set_up, outcome);
        self.require_end(end_key(server, session, attempt), None);
    }

    pub(super) fn set_up_finished(&mut self, session: SessionId, result: CallResult) {
        let Some(state) = self.sessions.get(session) else {
            return;
        };
        let Stage::SettingUp(set_up) = state.stage else {
            return;
        };
        let attempt = state.last_attempt();
        let is_abandoned = state.waiting.is_empty();
        let CallOutcome {
            outcome,
            load_report,
        } = CallOutcome::from(&result);
        self.record_attempt(session, attempt, set_up, outcome);
        let CallResult::Answered {
            status: 201,
            media: Some(media),
            ..
        } = result
        else {
            return self.set_up_failed(session, attempt, set_up.server, outcome, load_report);
        };
        if is_abandoned {
            return self.discard_set_up(session, attempt, set_up.server);
        }
        self.session_started(session, attempt, set_up, media, load_report);
    }

    fn set_up_failed(
        &mut self,
        session: SessionId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
        load_report: LoadReport,
    ) {
        if !is_not_started(outcome) {
            self.require_end(end_key(server, session, attempt), None);
        }
        // A success without the URL of the stream may have started a session, but the viewer can't use it.
        let outcome = match outcome {
            Outcome::Success => Outcome::Error,
            outcome => outcome,
        };
        self.finish_attempt(session, attempt, server, outcome, load_report);
    }

    /// Ends a session that was set up after its viewer left or was answered, so that it does not leak.
    fn discard_set_up(&mut self, session: SessionId, attempt: u32, server: ServerId) {
        if let Some(state) = self.sessions.get_mut(session) {
            state.stage = Stage::Ending {
                server,
                outcome: Outcome::Success,
            };
            let viewer = state.viewer;
            self.sessions.release_viewer(viewer, session);
        }
        self.require_end(end_key(server, session, attempt), None);
    }

    fn session_started(
        &mut self,
        session: SessionId,
        attempt: u32,
        set_up: SetUpInFlight,
        media: String,
        load_report: LoadReport,
    ) {
        let server = set_up.server;
        let Some(state) = self.sessions.get_mut(session) else {
            return;
        };
        state.stage = Stage::Playing {
            server,
            since: self.now,
            media: media.clone(),
        };
        let rung = state.confirmed_rung;
        self.events.push_back(Event::SessionStarted {
            session,
            attempt,
            server,
            setup_time: self.now - set_up.sent_at,
        });
        self.record_load(session, server, NodeLoad::from(load_report));
        let answer = Answer::Playing {
            session,
            rung,
            media,
        };
        self.answer_session(session, answer);
        if set_up.ended_early {
            self.finish_session(session, server, attempt, Outcome::Success);
        }
    }
}

fn end_key(server: ServerId, session: SessionId, attempt: u32) -> EndKey {
    EndKey {
        server,
        session,
        attempt,
    }
}
