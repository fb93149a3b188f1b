//! Viewers' requests: admitted, coalesced with an earlier request under the same key, withdrawn and answered.

use super::Engine;
use crate::catalogue::{ResolvedNames, UnknownName};
use crate::ids::RequestId;
use crate::input::SessionRequest;
use crate::output::{Answer, Output};
use crate::policy::Admission;
use crate::session::{Session, Stage};
use shalewall::{Event, Request, SessionId, TimeDelta};
use xxhash_rust::xxh3::xxh3_64;

/// How a request is handled whose key belongs to an existing session.
enum Coalesced {
    /// It is answered at once.
    Answered(Answer),
    /// It waits for the session's answer.
    Waiting,
    /// The session is over for the viewer: it is ended, and a new one starts.
    SessionOver,
}

/// Hashes a viewer's key together with its tenant, since keys are unique within a tenant only.
fn viewer_hash(request: &SessionRequest) -> u64 {
    let tenant = request.tenant.as_deref().unwrap_or("");
    xxh3_64(format!("{tenant}\n{}", request.viewer_key).as_bytes())
}

/// Decides how to handle a request under the key of this session.
fn coalesce(session: &Session, request: &SessionRequest) -> Coalesced {
    let is_same = session.class == request.class && session.title == request.title;
    match &session.stage {
        Stage::Ending { .. } => Coalesced::SessionOver,
        Stage::Playing { .. } if request.is_retry => Coalesced::SessionOver,
        _ if !is_same => Coalesced::Answered(Answer::Conflict(
            "the key is in use for another title or class",
        )),
        Stage::Playing { media, .. } => Coalesced::Answered(Answer::Playing {
            session: session.request.session,
            rung: session.rung,
            media: media.clone(),
        }),
        // The viewer left, so no request waits for it any more; the decision module has been notified.
        Stage::SettingUp(_) if session.waiting.is_empty() => Coalesced::Answered(Answer::Conflict(
            "an earlier request with this key is still being ended",
        )),
        Stage::Deciding | Stage::SettingUp(_) => Coalesced::Waiting,
    }
}

impl Engine {
    pub(super) fn request_received(&mut self, request_id: RequestId, request: SessionRequest) {
        let viewer = viewer_hash(&request);
        if self.coalesce_request(request_id, viewer, &request) {
            return;
        }
        if self.sessions.len() >= self.config.max_sessions {
            let answer = Answer::Rejected {
                session: None,
                retry_after: Some(self.config.settings.limits.max_retry_after),
            };
            return self.answer_request(request_id, answer);
        }
        match self.admit(&request) {
            Ok(names) => self.begin_session(request_id, viewer, request, names),
            Err(answer) => self.answer_request(request_id, answer),
        }
    }

    /// Coalesces a request with the session of its key. Returns whether the request was answered or waits for it.
    fn coalesce_request(
        &mut self,
        request_id: RequestId,
        viewer: u64,
        request: &SessionRequest,
    ) -> bool {
        let Some(session) = self.sessions.find_by_viewer(viewer) else {
            return false;
        };
        let Some(state) = self.sessions.get(session) else {
            return false;
        };
        match coalesce(state, request) {
            Coalesced::Answered(answer) => {
                self.answer_request(request_id, answer);
                true
            }
            Coalesced::Waiting => {
                self.sessions.add_waiting(session, request_id);
                true
            }
            Coalesced::SessionOver => {
                self.end_session(session);
                false
            }
        }
    }

    /// Admits a request and resolves its names. Returns the answer if it is not admitted.
    fn admit(&mut self, request: &SessionRequest) -> Result<ResolvedNames, Answer> {
        let tenant = request.tenant.as_deref();
        let resolved = self
            .catalogue
            .resolve(tenant, &request.class, &request.title);
        let names = match resolved {
            Ok(names) => Some(names),
            // Admission control decides: before the first update of tenants, it does not treat any tenant as unknown.
            Err(UnknownName::Tenant) => None,
            Err(name) => return Err(Answer::Unknown(name.kind())),
        };
        let unknown_tenant = Answer::Unknown(UnknownName::Tenant.kind());
        match self.admission.admit(self.now, tenant) {
            Admission::Admitted => names.ok_or_else(|| {
                self.admission.release(self.now, tenant);
                unknown_tenant
            }),
            Admission::Rejected { retry_after } => Err(Answer::Rejected {
                session: None,
                retry_after: Some(retry_after),
            }),
            Admission::UnknownTenant => Err(unknown_tenant),
        }
    }

    fn begin_session(
        &mut self,
        request_id: RequestId,
        viewer: u64,
        session_request: SessionRequest,
        names: ResolvedNames,
    ) {
        self.catalogue.acquire(names.class, names.tenant);
        let max_wait = session_request.max_wait.unwrap_or(names.max_wait);
        let request = Request {
            session: self.sessions.allocate_id(),
            class: names.class,
            tenant: names.tenant,
            viewer,
            title: names.title,
            deadline: self.now + max_wait.clamp(TimeDelta::ZERO, names.max_wait),
            duration_hint: session_request.duration_hint,
            first_cell: names.placement.first_cell,
            replica_cells: names.placement.replica_cells,
            highest_rung: session_request.highest_rung.unwrap_or(usize::MAX),
            is_retry: session_request.is_retry,
            fleet: names.fleet,
        };
        self.sessions.insert(Session {
            viewer,
            request,
            title: session_request.title,
            tenant: session_request.tenant,
            class: session_request.class,
            stage: Stage::Deciding,
            attempts_sent: 0,
            earlier_attempts: 0,
            awaits_player: false,
            rung: 0,
            confirmed_rung: 0,
            rung_call: None,
            waiting: vec![request_id],
            unconfirmed_ends: 0,
            migration: None,
        });
        self.events.push_back(Event::RequestReceived(request));
    }

    pub(super) fn request_withdrawn(&mut self, request_id: RequestId) {
        let Some(session) = self.sessions.remove_waiting(request_id) else {
            return;
        };
        let Some(state) = self.sessions.get(session) else {
            return;
        };
        if !state.waiting.is_empty() {
            return;
        }
        match state.stage {
            Stage::Deciding => {
                self.events.push_back(Event::RequestWithdrawn(session));
                self.remove_session(session);
            }
            Stage::SettingUp(_) => self.events.push_back(Event::RequestWithdrawn(session)),
            Stage::Playing { .. } | Stage::Ending { .. } => {}
        }
    }

    fn answer_request(&mut self, request_id: RequestId, answer: Answer) {
        self.outputs
            .push_back(Output::Answer { request_id, answer });
    }

    /// Sends the final answer to all waiting requests. The session is kept while an attempt of it is in flight.
    pub(super) fn answer_session(&mut self, session: SessionId, answer: Answer) {
        for request_id in self.sessions.take_waiting(session) {
            self.answer_request(request_id, answer.clone());
        }
        if matches!(answer, Answer::Playing { .. }) {
            return;
        }
        let Some(state) = self.sessions.get(session) else {
            return;
        };
        let viewer = state.viewer;
        let is_deciding = matches!(state.stage, Stage::Deciding);
        self.sessions.release_viewer(viewer, session);
        if is_deciding {
            self.remove_session(session);
        }
        self.finish_if_over(session);
    }
}
