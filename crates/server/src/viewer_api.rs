//! The HTTP API for viewers, which requests and ends sessions. `docs/protocol.md` specifies it.

use crate::event_loop::EventLoop;
use crate::tenants::Tenants;
use crate::{player_events, session_request};
use serde_json::json;
use shalewall::{SessionId, TimeDelta};
use shalewall_engine::{Answer, Input};
use shalewall_http::server::{Reply, Request};
use std::cell::Cell;
use std::rc::Rc;

/// Answers viewers' requests.
pub struct ViewerApi {
    event_loop: Rc<EventLoop>,
    /// The tenants of a hosted service; `None` for a director without tenants.
    tenants: Option<Rc<Tenants>>,
    /// Set during a graceful shutdown: new sessions are rejected.
    is_shutting_down: Cell<bool>,
}

/// The path of a request below `/sessions/`.
struct SessionPath<'r> {
    session: Option<SessionId>,
    /// The sub-resource of the session, if the path names one.
    subresource: Option<&'r str>,
}

impl SessionPath<'_> {
    fn parse(path: &str) -> SessionPath<'_> {
        let rest = path.strip_prefix("/sessions/").unwrap_or_default();
        let (number, subresource) = match rest.split_once('/') {
            Some((number, subresource)) => (number, Some(subresource)),
            None => (rest, None),
        };
        SessionPath {
            session: number.parse().ok().map(SessionId),
            subresource,
        }
    }
}

impl ViewerApi {
    /// Creates the API of an event loop.
    pub fn new(event_loop: Rc<EventLoop>, tenants: Option<Rc<Tenants>>) -> ViewerApi {
        ViewerApi {
            event_loop,
            tenants,
            is_shutting_down: Cell::new(false),
        }
    }

    /// Rejects new sessions from now on.
    pub fn shut_down(&self) {
        self.is_shutting_down.set(true);
    }

    /// Answers one HTTP request.
    pub async fn answer(self: Rc<ViewerApi>, request: Request) -> Reply {
        let head = &request.head;
        let path = SessionPath::parse(head.path());
        if let (Some(session), Some(subresource)) = (path.session, path.subresource) {
            return self.answer_subresource(session, subresource, &request);
        }
        match (head.method.as_str(), head.path(), path.session) {
            ("POST", "/sessions", _) => self.begin_session(&request).await,
            ("DELETE", _, Some(session)) => {
                // Idempotent: ending a session that has ended or never existed is not an error.
                self.event_loop.handle(Input::EndSession { session });
                Reply::new(204)
            }
            ("GET", "/state", _) => self.state(),
            ("GET" | "POST" | "DELETE", ..) => Reply::problem(404, "no such thing here"),
            _ => Reply::problem(405, "no such method here"),
        }
    }

    fn answer_subresource(
        &self,
        session: SessionId,
        subresource: &str,
        request: &Request,
    ) -> Reply {
        let event_loop = &self.event_loop;
        let reply = match request.head.method.as_str() {
            "GET" if subresource == "events" => {
                Some(player_events::open_stream(event_loop, session, request))
            }
            "POST" => player_events::handle_report(event_loop, session, subresource, request),
            _ => None,
        };
        reply.unwrap_or_else(|| Reply::problem(404, "no such thing here"))
    }

    async fn begin_session(&self, request: &Request) -> Reply {
        if self.is_shutting_down.get() {
            // Nothing was set up, so the viewer may retry at another director immediately.
            return problem(503, "this front is ending", None, Some(TimeDelta::ZERO));
        }
        let request = match session_request::decode(request) {
            Ok(request) => request,
            Err(error) => return Reply::problem(422, &error.to_string()),
        };
        match self.event_loop.request_session(request).answer().await {
            Some(answer) => reply(answer),
            None => Reply::problem(500, "the front is being stopped"),
        }
    }

    fn state(&self) -> Reply {
        let counts = self.event_loop.session_counts();
        let mut state = json!({
            "waiting": counts.waiting,
            "playing": counts.playing,
            "moving": counts.migrating,
            "leaving": counts.ending,
            "owed_ends": counts.unconfirmed_ends,
        });
        if let Some(tenants) = &self.tenants {
            // The last applied change, and whether later ones are being received.
            state["tenants"] = tenants.change_number().into();
            state["tenants_followed"] = tenants.is_connected().into();
        }
        Reply::json(200, state.to_string())
    }
}

/// A problem document with the session's id and the retry delay, where they are known.
fn problem(
    status: u16,
    detail: &str,
    session: Option<SessionId>,
    retry_after: Option<TimeDelta>,
) -> Reply {
    let mut members = serde_json::Map::new();
    if let Some(session) = session {
        members.insert("session".into(), session.0.into());
    }
    if let Some(retry_after) = retry_after {
        let millis = retry_after.as_micros() as f64 / 1000.0;
        members.insert("come_back_ms".into(), millis.into());
    }
    Reply::problem_with(status, detail, members)
}

fn reply(answer: Answer) -> Reply {
    match answer {
        Answer::Playing {
            session,
            rung,
            media,
        } => {
            let body = json!({ "session": session.0, "rung": rung, "media": media });
            let location = format!("/sessions/{}", session.0);
            Reply::json(201, body.to_string()).with_field("Location", location)
        }
        Answer::Rejected {
            session,
            retry_after,
        } => rejection(session, retry_after),
        Answer::Failed {
            session,
            is_deadline_exceeded,
        } => {
            let (status, detail) = if is_deadline_exceeded {
                (504, "the time was up; it may have been set up")
            } else {
                (502, "failed; it may have been set up")
            };
            problem(status, detail, Some(session), None)
        }
        Answer::Unknown(what) => Reply::problem(404, &format!("{what} is not known here")),
        Answer::Conflict(what) => Reply::problem(409, what),
    }
}

fn rejection(session: Option<SessionId>, retry_after: Option<TimeDelta>) -> Reply {
    let reply = problem(503, "turned away, free to come back", session, retry_after);
    match retry_after {
        // The field takes whole seconds; the body has the exact delay.
        Some(after) => reply.with_field(
            "Retry-After",
            ((after.as_micros() + 999_999) / 1_000_000).to_string(),
        ),
        None => reply,
    }
}
