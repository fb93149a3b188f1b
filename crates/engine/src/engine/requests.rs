//! Viewers' requests: admitted, coalesced with an earlier one under the same key, withdrawn and answered.

use super::Engine;
use crate::catalogue::{ResolvedNames, UnknownName};
use crate::ids::RequestId;
use crate::input::SessionRequest;
use crate::output::{Answer, Output};
use crate::policy::Admission;
use crate::session::{Session, Stage};
use shalewall::{Event, Request, SessionId, TimeDelta};
use xxhash_rust::xxh3::xxh3_64;

/// What becomes of a request whose key stands for a session.
enum Coalesced {
    /// It has its answer at once.
    Answered(Answer),
    /// It waits for the same answer.
    Waiting,
    /// The session is over for the viewer: what is left of it ends, and a new one begins.
    SessionOver,
}

/// A viewer's key is unique among those of its tenant.
fn viewer_hash(request: &SessionRequest) -> u64 {
    let tenant = request.tenant.as_deref().unwrap_or("");
    xxh3_64(format!("{tenant}\n{}", request.viewer_key).as_bytes())
}

/// What becomes of a request under the key of this session.
fn coalesce(session: &Session, request: &SessionRequest) -> Coalesced {
    let is_same = session.class == request.class && session.title == request.title;
    match &session.stage {
        Stage::Leaving { .. } => Coalesced::SessionOver,
        Stage::Playing { .. } if request.is_retry => Coalesced::SessionOver,
        _ if !is_same => Coalesced::Answered(Answer::Conflict(
            "the key is in use for another title or class",
        )),
        Stage::Playing { media, .. } => Coalesced::Answered(Answer::Playing {
            session: session.request.session,
            rung: session.rung,
            media: media.clone(),
        }),
        // No request waits for it any more: its viewer left, and the decision module was told so.
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

    /// Whether a request is answered, or waits, by the session that its key stands for.
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

    /// What a request's names stand for, if it is admitted; its answer if it is not.
    fn admit(&mut self, request: &SessionRequest) -> Result<ResolvedNames, Answer> {
        let tenant = request.tenant.as_deref();
        let resolved = self
            .catalogue
            .resolve(tenant, &request.class, &request.title);
        let names = match resolved {
            Ok(names) => Some(names),
            // Admission control may know better: before the first update of tenants nobody is unknown.
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
        asked: SessionRequest,
        names: ResolvedNames,
    ) {
        self.catalogue.acquire(names.class, names.tenant);
        let max_wait = asked.max_wait.unwrap_or(names.max_wait);
        let request = Request {
            session: self.sessions.allocate_id(),
            class: names.class,
            tenant: names.tenant,
            viewer,
            title: names.title,
            deadline: self.now + max_wait.clamp(TimeDelta::ZERO, names.max_wait),
            duration_hint: asked.duration_hint,
            first_cell: names.placement.first_cell,
            replica_cells: names.placement.replica_cells,
            highest_rung: asked.highest_rung.unwrap_or(usize::MAX),
            is_retry: asked.is_retry,
            fleet: names.fleet,
        };
        self.sessions.insert(Session {
            viewer,
            request,
            title: asked.title,
            tenant: asked.tenant,
            class: asked.class,
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
            Stage::Playing { .. } | Stage::Leaving { .. } => {}
        }
    }

    fn answer_request(&mut self, request_id: RequestId, answer: Answer) {
        self.outputs
            .push_back(Output::Answer { request_id, answer });
    }

    /// Gives all requests that wait the final answer. The session stays while an attempt of it is in flight.
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
