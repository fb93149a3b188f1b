//! The decision module: passes the queued events to it, and executes its actions.

use super::{DirectorProtocol, Timer};
use crate::connection_reasons::CloseReason;
use crate::log_event::LogEvent;
use crate::viewer_message::{Verb, ViewerMessage, cause};
use serde_json::Value;
use shalewall::{Action, Outcome, ServerId, SessionId, TimeDelta};

impl DirectorProtocol {
    /// Passes the queued events to the decision module, and executes the actions that it returns.
    pub(super) fn process_module_events(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.director.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute_action(action);
            }
            self.actions = actions;
        }
    }

    fn execute_action(&mut self, action: Action) {
        match action {
            Action::StartAttempt {
                session,
                server,
                attempt_timeout,
            } => self.start_attempt(session, server, attempt_timeout),
            Action::SetRung { session, rung } => self.set_rung(session, rung),
            Action::Reject {
                session,
                retry_after,
            } => self.reject(session, retry_after),
            Action::Fail { session } => self.fail(session),
            Action::CancelAttempt { session, attempt } => {
                if self.sessions.is_attempting(session, attempt) {
                    self.cancel_attempt(session, Outcome::Cancelled);
                }
            }
            Action::Redirect { session } => self.redirect(session),
            Action::SetTimer { after, token } => {
                let due = self.now + after.max(TimeDelta::ZERO);
                self.timers.set(due, Timer::Module(token));
            }
            Action::CheckHealth { server } => self.check_health(server),
            Action::CloseIdleConnections { server } => self.close_idle_connections(server),
            Action::Log(text) => self.outputs.log(LogEvent::Decision(text)),
            // Not used here: the endpoint list is pushed, directors exchange no messages, and no migration is
            // requested.
            Action::PollEndpoints
            | Action::WatchEndpoints(_)
            | Action::SendToPeer { .. }
            | Action::Migrate { .. } => {}
        }
    }

    fn reject(&mut self, id: SessionId, retry_after: Option<TimeDelta>) {
        let Some(session) = self.sessions.get(id) else {
            return;
        };
        let mut answer = ViewerMessage::finish(session.wire_id, cause::REJECTED);
        if let Some(wait) = retry_after {
            let millis = Value::String(wait.as_millis().to_string());
            answer.fields.insert("wait".into(), millis);
        }
        self.answer_without_session(id, &answer);
    }

    fn fail(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get(id) else {
            return;
        };
        let answer = ViewerMessage::finish(session.wire_id, cause::FAILED);
        self.answer_without_session(id, &answer);
    }

    /// Ends the session at this director; its viewer requests it again.
    fn redirect(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get(id) else {
            return;
        };
        if session.active().is_some() {
            let message = ViewerMessage::new(Verb::Move, session.wire_id);
            let viewer = session.viewer;
            let address = session.viewer_address;
            self.send_release_to_viewer(viewer, address, message.encode());
        }
        self.release_session(id);
    }

    /// Closes all idle connections to a node except one.
    fn close_idle_connections(&mut self, server: ServerId) {
        let idle: Vec<_> = self
            .node_connections
            .to_server(server)
            .filter(|(_, connection)| connection.is_connected() && !connection.is_busy())
            .map(|(id, _)| id)
            .collect();
        for id in idle.into_iter().skip(1) {
            self.close_gracefully(id, CloseReason::NotNeeded);
        }
    }
}
