//! Viewers' requests, from the first message to the only answer. The request of a viewer that disconnects is withdrawn
//! without an answer.

use super::DirectorProtocol;
use crate::HexId;
use crate::ids::ViewerId;
use crate::log_event::LogEvent;
use crate::permission::{self, AdmissionState, Answer, RejectReason};
use crate::session::{Session, Stage};
use crate::session_request::{self, SessionRequest};
use crate::viewer_connection::LineKind;
use crate::viewer_message::{Verb, ViewerMessage, cause};
use shalewall::{Event, Outcome, Request, SessionId, Timestamp};
use std::net::IpAddr;

impl DirectorProtocol {
    /// Handles a request for a session, or the transfer of an active one.
    pub(super) fn handle_request(
        &mut self,
        viewer: ViewerId,
        wire_id: HexId,
        message: ViewerMessage,
        arrived_at: Timestamp,
    ) {
        let request =
            session_request::parse(message, wire_id, &self.names, &self.settings, arrived_at);
        if let Some(id) = self.sessions.find(wire_id) {
            let is_transfer = request.is_ok_and(|request| request.active_at.is_some());
            // A transferred session may already be known.
            if !is_transfer {
                self.handle_duplicate_request(viewer, wire_id, id);
            }
            return;
        }
        let Ok(request) = request else {
            return self.send_to_viewer(viewer, &ViewerMessage::finish(wire_id, cause::INVALID));
        };
        if let Some(server) = request.active_at {
            return self.handle_transfer(viewer, wire_id, server, request);
        }
        if let Err(reason) = self.admit(viewer, wire_id, &request) {
            return self.reject_immediately(viewer, wire_id, reason);
        }
        if let Some((id, request)) = self.insert_session(viewer, wire_id, request) {
            self.viewers.add_request(viewer, id);
            self.events.push_back(Event::RequestReceived(request));
        }
    }

    /// Answers a second request with the same id as invalid. On the same connection the first request is withdrawn as
    /// well; a duplicate from another connection does not affect it.
    fn handle_duplicate_request(&mut self, viewer: ViewerId, wire_id: HexId, id: SessionId) {
        let is_same_viewer = self
            .sessions
            .get(id)
            .is_some_and(|session| session.viewer == Some(viewer) && session.awaits_answer);
        if is_same_viewer {
            self.withdraw_request(id);
        }
        self.send_to_viewer(viewer, &ViewerMessage::finish(wire_id, cause::INVALID));
    }

    /// Decides whether a new request is passed to the decision module.
    fn admit(
        &self,
        viewer: ViewerId,
        wire_id: HexId,
        request: &SessionRequest,
    ) -> Result<(), RejectReason> {
        let state = AdmissionState {
            was_used: self.sessions.has_ended(wire_id),
            was_withdrawn: self.sessions.was_withdrawn(wire_id),
            is_shutting_down: self.is_shutting_down,
            has_viewer_left: self.viewers.is_stream_ending(viewer),
            sheds_connection: self.viewers.sheds_requests(viewer),
            is_full: self.is_full(request),
            deadline: request.request.deadline,
        };
        permission::admit(&state, self.now)
    }

    /// Whether there is no capacity for another request.
    fn is_full(&self, request: &SessionRequest) -> bool {
        let limits = &self.memory_limits;
        let max_sessions = limits
            .max_sessions
            .min(self.driver_limits.max_open_requests);
        let description_bytes = self.sessions.description_bytes() + request.description.len();
        self.sessions.len() >= max_sessions || description_bytes > limits.max_description_bytes
    }

    /// Answers a request that is not passed to the decision module.
    fn reject_immediately(&mut self, viewer: ViewerId, wire_id: HexId, reason: RejectReason) {
        match reason {
            RejectReason::Expired => self.counters.expired_before_read += 1,
            RejectReason::ConnectionLimit => self.counters.shed_requests += 1,
            _ => {}
        }
        self.outputs.log(LogEvent::RequestRejected {
            session: wire_id,
            reason,
        });
        let answer = ViewerMessage::finish(wire_id, reason.cause());
        self.send_to_viewer(viewer, &answer);
    }

    /// Rejects a request without consulting the decision module. The transfer of a session gets no answer.
    pub(super) fn reject_request(&mut self, viewer: ViewerId, message: &ViewerMessage) {
        let Some(wire_id) = HexId::parse(&message.session) else {
            return;
        };
        let is_transfer = session_request::is_transfer(message);
        if !is_transfer && self.sessions.find(wire_id).is_none() {
            self.sessions.record_ended(wire_id);
            self.send_to_viewer(viewer, &ViewerMessage::finish(wire_id, cause::REJECTED));
        }
    }

    /// Adds a session to the table; returns its number and the request for the decision module, or `None` if its viewer
    /// has disconnected.
    pub(super) fn insert_session(
        &mut self,
        viewer: ViewerId,
        wire_id: HexId,
        parsed: SessionRequest,
    ) -> Option<(SessionId, Request)> {
        let address = self.viewers.address(viewer)?;
        let id = SessionId(self.next_id());
        let mut request = parsed.request;
        request.session = id;
        let class = self.settings.classes.get(request.class);
        let rung = class.map_or(0, |class| class.lowest_rung);
        let session = Session::new(wire_id, viewer, address, parsed, rung, self.now);
        self.sessions.insert(id, session);
        Some((id, request))
    }

    // ---- end of a request --------------------------------------------------------------------

    /// Handles a viewer's message that withdraws its request or ends its session.
    pub(super) fn handle_finish(&mut self, viewer: ViewerId, wire_id: HexId) {
        match self.sessions.find(wire_id) {
            Some(id) if self.sessions.is_active(id) => self.release_session(id),
            Some(id) => self.withdraw_request(id),
            None if self.sessions.has_ended(wire_id) => {}
            // The withdrawal was received on one connection before the request on another.
            None => self.sessions.withdraw_in_advance(wire_id),
        }
        self.send_to_viewer(viewer, &ViewerMessage::new(Verb::Finished, wire_id));
    }

    /// Withdraws a request, which is not answered any more.
    pub(super) fn withdraw_request(&mut self, id: SessionId) {
        let Some(session) = self.sessions.get(id) else {
            return;
        };
        if session.awaits_answer {
            let was_sent = session.may_be_executed();
            self.counters.withdrawn_before_sent += u32::from(!was_sent);
            let session = session.wire_id;
            self.outputs
                .log(LogEvent::RequestWithdrawn { session, was_sent });
            self.mark_answered(id);
            self.events.push_back(Event::RequestWithdrawn(id));
        }
        match self.sessions.get(id).map(|session| &session.stage) {
            Some(Stage::Attempting(_)) => self.cancel_attempt(id, Outcome::Cancelled),
            Some(Stage::Unassigned) => self.remove_session(id),
            Some(Stage::Active(_)) | None => {}
        }
    }

    /// Answers a request negatively, unless it is already answered.
    pub(super) fn answer_without_session(&mut self, id: SessionId, answer: &ViewerMessage) {
        let Some(session) = self.sessions.get(id) else {
            return;
        };
        if !session.awaits_answer {
            return;
        }
        let viewer = session.viewer;
        self.record_answer(id, Answer::Ended(answer.cause.unwrap_or(cause::FAILED)));
        self.mark_answered(id);
        if let Some(viewer) = viewer {
            self.send_to_viewer(viewer, answer);
        }
        let stage = self.sessions.get(id).map(|session| &session.stage);
        if matches!(stage, Some(Stage::Unassigned)) {
            self.remove_session(id);
        }
    }

    /// Answers the pending requests of a connection on which nothing more can be received.
    pub(super) fn answer_requests_of(&mut self, viewer: ViewerId) {
        for id in self.viewers.pending_requests(viewer) {
            self.send_final_answer(id);
        }
    }

    /// Ends a pending request now: as rejected if no node can have executed it, else as failed.
    pub(super) fn send_final_answer(&mut self, id: SessionId) {
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
        self.record_answer(id, Answer::Ended(cause));
        self.withdraw_request(id);
        if let Some(viewer) = viewer {
            self.send_to_viewer(viewer, &answer);
        }
        self.process_module_events();
    }

    /// Releases an active session whose answer was not completely written, since its viewer does not know of it.
    pub(super) fn answer_undelivered(&mut self, id: SessionId) {
        if self.sessions.is_active(id) {
            self.release_session(id);
        }
    }

    /// Records that a request is answered, which may happen only once.
    pub(super) fn record_answer(&mut self, id: SessionId, answer: Answer) {
        let Some(session) = self.sessions.get(id) else {
            return;
        };
        self.counters.violations.second_answers += u32::from(!session.awaits_answer);
        let session = session.wire_id;
        self.outputs
            .log(LogEvent::RequestAnswered { session, answer });
    }

    /// Marks a request as answered, or as no longer waiting for an answer.
    pub(super) fn mark_answered(&mut self, id: SessionId) {
        if let Some(viewer) = self.sessions.mark_answered(id) {
            self.viewers.remove_request(viewer, id);
        }
    }

    /// Removes a session that has ended; only its id is kept.
    pub(super) fn remove_session(&mut self, id: SessionId) {
        if let Some(viewer) = self.sessions.remove(id) {
            self.viewers.remove_session(viewer, id);
        }
    }

    /// Notifies a viewer of the end of an active session: on the connection of its request, else on another connection
    /// from the same address, else on the next one.
    pub(super) fn send_release_to_viewer(
        &mut self,
        viewer: Option<ViewerId>,
        address: IpAddr,
        bytes: Vec<u8>,
    ) {
        let connection = viewer.or_else(|| self.viewers.find_by_address(address));
        let is_queued = connection.is_some_and(|connection| {
            self.enqueue_to_viewer(connection, LineKind::Release, bytes.clone())
        });
        if !is_queued {
            self.viewers.keep_release(address, bytes, self.now);
        }
    }
}
