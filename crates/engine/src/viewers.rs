//! Viewers: asked, asked again, left, ended, answered.

use crate::catalogue::{Found, Missing};
use crate::engine::{Engine, Session, Stage};
use crate::input::*;
use crate::output::*;
use crate::policy::Admission;
use shalewall::{EndpointUpdate, Event, Outcome, Request, SessionId};
use xxhash_rust::xxh3::xxh3_64;

impl Engine {
    pub(crate) fn on_asked(&mut self, ask: RequestId, new: SessionRequest) {
        let key = xxh3_64(
            format!(
                "{}\n{}",
                new.tenant.as_deref().unwrap_or(""),
                new.viewer_key
            )
            .as_bytes(),
        );
        if let Some(session) = self.by_key.get(&key).copied() {
            if let Some(answer) = self.join(session, ask, &new) {
                return self.outputs.push_back(Output::Answer {
                    request_id: ask,
                    answer,
                });
            }
            if self.by_ask.contains_key(&ask) {
                return;
            }
            // Over for the viewer: what is left of it ends, and a new one begins.
            self.leave(session);
        }
        if self.sessions.len() >= self.config.max_sessions {
            let come_back = Some(self.config.settings.limits.max_retry_after);
            let answer = Answer::Rejected {
                session: None,
                retry_after: come_back.map(shalewall::TimeDelta::as_micros),
            };
            return self.outputs.push_back(Output::Answer {
                request_id: ask,
                answer,
            });
        }
        let unknown = |what| Output::Answer {
            request_id: ask,
            answer: Answer::Unknown(what),
        };
        let found = match self
            .catalogue
            .find(new.tenant.as_deref(), &new.class, &new.title)
        {
            // Of tenants the door may know better: before the first news of them nobody is unknown.
            Err(Missing::Tenant) => None,
            Err(Missing::Class) => return self.outputs.push_back(unknown("class")),
            Err(Missing::Title) => return self.outputs.push_back(unknown("title")),
            Ok(found) => Some(found),
        };
        match (self.door.admit(self.now, new.tenant.as_deref()), found) {
            (Admission::Admitted, Some(_)) => {}
            (
                Admission::Rejected {
                    retry_after: come_back,
                },
                _,
            ) => {
                let answer = Answer::Rejected {
                    session: None,
                    retry_after: Some(come_back),
                };
                return self.outputs.push_back(Output::Answer {
                    request_id: ask,
                    answer,
                });
            }
            (Admission::Admitted, None) => {
                self.door.release(self.now, new.tenant.as_deref());
                return self.outputs.push_back(unknown("tenant"));
            }
            (Admission::UnknownTenant, _) => return self.outputs.push_back(unknown("tenant")),
        }
        let Some(Found {
            class,
            give_up,
            title,
            place,
            tenant,
            fleet,
        }) = found
        else {
            return;
        };
        self.catalogue.hold(class, tenant);
        let session = SessionId(self.next_session);
        self.next_session += 1;
        let wait = new.max_wait.unwrap_or(give_up).clamp(0, give_up);
        let request = Request {
            session,
            class,
            tenant,
            viewer: key,
            title,
            deadline: shalewall::Timestamp::from_micros(self.now + wait),
            duration_hint: new.duration_hint.map(shalewall::TimeDelta::from_micros),
            first_cell: place.first_cell,
            replica_cells: place.replica_cells,
            highest_rung: new.highest_rung.unwrap_or(usize::MAX),
            is_retry: new.is_retry,
            fleet,
        };
        self.by_key.insert(key, session);
        self.by_ask.insert(ask, session);
        self.sessions.insert(
            session,
            Session {
                key,
                request,
                title: new.title,
                tenant: new.tenant,
                class: new.class,
                stage: Stage::Deciding,
                attempts: 0,
                before: 0,
                carried: false,
                rung: 0,
                confirmed: 0,
                telling: None,
                waiting: vec![ask],
                owed: 0,
                hand: None,
            },
        );
        self.pending.push_back(Event::RequestReceived(request));
    }

    /// The same key again: the answer at once where it plays, a place among those who wait for it where it is
    /// under way. None without a place: it is over for the viewer.
    pub(crate) fn join(
        &mut self,
        session: SessionId,
        ask: RequestId,
        new: &SessionRequest,
    ) -> Option<Answer> {
        let s = self.sessions.get_mut(&session)?;
        let same = s.class == new.class && s.title == new.title;
        match &s.stage {
            Stage::Plays { .. } if new.is_retry => None,
            Stage::Plays { .. } | Stage::Deciding | Stage::SettingUp { .. } if !same => Some(
                Answer::Conflict("the key is in use for another title or class"),
            ),
            Stage::Plays { media, .. } => Some(Answer::Playing {
                session,
                rung: s.rung,
                media: media.clone(),
            }),
            // Nobody waits for it any more: its viewer left, and the module was told so.
            Stage::SettingUp { .. } if s.waiting.is_empty() => Some(Answer::Conflict(
                "an earlier request with this key is still being ended",
            )),
            Stage::Deciding | Stage::SettingUp { .. } => {
                s.waiting.push(ask);
                self.by_ask.insert(ask, session);
                None
            }
            Stage::Leaving { .. } => None,
        }
    }

    pub(crate) fn on_left(&mut self, ask: RequestId) {
        let Some(session) = self.by_ask.remove(&ask) else {
            return;
        };
        let Some(s) = self.sessions.get_mut(&session) else {
            return;
        };
        s.waiting.retain(|a| *a != ask);
        if !s.waiting.is_empty() {
            return;
        }
        match s.stage {
            Stage::Deciding => {
                self.pending.push_back(Event::RequestWithdrawn(session));
                self.forget(session);
            }
            Stage::SettingUp { .. } => self.pending.push_back(Event::RequestWithdrawn(session)),
            Stage::Plays { .. } | Stage::Leaving { .. } => {}
        }
    }

    pub(crate) fn on_ended(&mut self, session: SessionId) {
        if self
            .sessions
            .get(&session)
            .is_some_and(|s| matches!(s.stage, Stage::Plays { .. }))
        {
            self.leave(session);
        }
    }

    /// Ends a session that plays; the director hears of it when the node has confirmed.
    pub(crate) fn leave(&mut self, session: SessionId) {
        let Some(s) = self.sessions.get_mut(&session) else {
            return;
        };
        let Stage::Plays { server, .. } = s.stage else {
            return;
        };
        s.stage = Stage::Leaving {
            server,
            outcome: Outcome::Success,
        };
        let (key, attempt) = (s.key, s.attempts - 1);
        // It is not over before the last of its nodes has confirmed.
        s.owed += 1;
        self.unkey(key, session);
        self.stop_moving(session);
        self.owe_end(server, session, attempt, None);
        self.sessions
            .get_mut(&session)
            .into_iter()
            .for_each(|s| s.owed -= 1);
        self.left(session);
    }

    /// Gives everyone who waits the final answer. The session stays while an attempt of it is out.
    pub(crate) fn answer(&mut self, session: SessionId, answer: Answer) {
        let Some(s) = self.sessions.get_mut(&session) else {
            return;
        };
        for ask in std::mem::take(&mut s.waiting) {
            self.by_ask.remove(&ask);
            self.outputs.push_back(Output::Answer {
                request_id: ask,
                answer: answer.clone(),
            });
        }
        if matches!(answer, Answer::Playing { .. }) {
            return;
        }
        let (key, deciding) = (s.key, matches!(s.stage, Stage::Deciding));
        self.unkey(key, session);
        if deciding {
            self.forget(session);
        }
        self.left(session);
    }

    pub(crate) fn unkey(&mut self, key: u64, session: SessionId) {
        if self.by_key.get(&key) == Some(&session) {
            self.by_key.remove(&key);
        }
    }

    pub(crate) fn forget(&mut self, session: SessionId) {
        self.stop_moving(session);
        if let Some(s) = self.sessions.remove(&session) {
            self.unkey(s.key, session);
            self.catalogue.release(s.request.class, s.request.tenant);
            self.door.release(self.now, s.tenant.as_deref());
        }
    }

    /// Tenants are agreed on anew. The module hears of it before the next request.
    pub(crate) fn on_tenants(&mut self, news: Vec<TenantUpdate>) {
        news.into_iter()
            .for_each(|update| self.catalogue.agree(&update.tenant, update.terms));
        let (classes, tenants) = (self.catalogue.classes(), self.catalogue.tenants());
        self.config.settings.classes.clone_from(&classes);
        self.pending
            .push_back(Event::SettingsUpdated { classes, tenants });
        let moved = self.catalogue.lay_out();
        let lines = self
            .nodes
            .move_to(&moved, |server| self.catalogue.fleet(server));
        if !lines.is_empty() {
            self.pending.push_back(Event::EndpointsUpdated {
                update: EndpointUpdate::Delta,
                endpoints: lines,
            });
        }
    }

    /// What plays of a tenant ends; what waits has its answer as usual.
    pub(crate) fn on_tenant_ended(&mut self, tenant: &str) {
        let of = |s: &Session| {
            s.tenant.as_deref() == Some(tenant) && matches!(s.stage, Stage::Plays { .. })
        };
        let ids: Vec<_> = self
            .sessions
            .iter()
            .filter(|(_, s)| of(s))
            .map(|(id, _)| *id)
            .collect();
        ids.into_iter().for_each(|id| self.leave(id));
    }
}
