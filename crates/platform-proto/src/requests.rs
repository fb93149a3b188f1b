//! A viewer's request, from its first word to its one answer; who has left is owed none, and nothing more is done for him.

use crate::HexId;
use crate::ask::{self, Asked};
use crate::director_protocol::DirectorProtocol;
use crate::table::{Session, Stage, Way};
use crate::viewer_message::{Message, Verb, cause};
use crate::viewers::ViewerId;
use shalewall::{Event, Outcome, SessionId};

/// Sessions held at most; what comes beyond that is turned away unasked.
const MOST: usize = 50_000;
/// So many tags of the past are known: none is taken twice.
const PAST: usize = 4096;
/// And so many that were given up before they came.
const FORGONE: usize = 1024;

impl DirectorProtocol {
    /// A viewer asks, or says what it has from before this director's start.
    pub(crate) fn asked(&mut self, viewer: ViewerId, tag: HexId, message: Message) {
        let invalid = Message::finish(tag, cause::INVALID);
        let asked = ask::read(message, tag, &self.names, &self.settings, self.now);
        if let Some(id) = self.tags.get(&tag).copied() {
            if matches!(&asked, Ok(a) if a.at.is_some()) {
                return; // what is held already
            }
            // Two requests under one id: neither is to be believed where both come from one side, and the one
            // that is under way goes on where another tries to spoil it.
            let same = self
                .sessions
                .get(&id)
                .is_some_and(|s| s.viewer == Some(viewer) && s.owed);
            if same {
                self.withdraw(id);
            }
            self.say(viewer, &invalid);
            return;
        }
        let Ok(Asked {
            title,
            description,
            mut request,
            at,
        }) = asked
        else {
            self.say(viewer, &invalid);
            return;
        };
        if self.past.contains(&tag) {
            self.say(viewer, &invalid); // an id is used once
            return;
        }
        if at.is_none() && self.forgone.contains(&tag) {
            self.say(viewer, &Message::finish(tag, cause::REFUSED)); // its viewer waits no more
            return;
        }
        if at.is_none()
            && (self.leaving
                || self.sessions.len() >= MOST.min(self.driver_limits.max_open_requests))
        {
            self.say(viewer, &Message::finish(tag, cause::REFUSED));
            return;
        }
        if at.is_some_and(|server| !self.nodes.all.contains_key(&server)) {
            // It plays at a node that nobody has named: it is over.
            self.say(viewer, &Message::finish(tag, cause::FAILED));
            return;
        }
        let Some(ip) = self.viewers.ip(viewer) else {
            return;
        };
        self.next += 1;
        let id = SessionId(self.next);
        request.session = id;
        let stage = match at {
            None => Stage::Asked,
            Some(server) => Stage::Stands {
                server,
                attempt: 0,
                link: None,
            },
        };
        let session = Session {
            tag,
            title,
            class: request.class,
            description,
            viewer: Some(viewer),
            ip,
            deadline: request.deadline.as_micros(),
            rung: self
                .settings
                .classes
                .get(request.class)
                .map_or(0, |c| c.lowest_rung),
            attempts: u32::from(at.is_some()),
            owed: at.is_none(),
            stage,
        };
        self.sessions.insert(id, session);
        self.tags.insert(tag, id);
        match at {
            None => {
                if let Some(v) = self.viewers.all.get_mut(&viewer) {
                    v.open.insert(id);
                }
                self.events.push_back(Event::RequestReceived(request));
            }
            Some(server) => {
                self.stands(id, server);
                self.events
                    .push_back(Event::SessionTransferred(request, server));
            }
        }
    }

    /// A viewer gives a set-up up, or ends a session.
    pub(crate) fn released(&mut self, viewer: ViewerId, tag: HexId) {
        if let Some(id) = self.tags.get(&tag).copied() {
            let stands = matches!(
                self.sessions.get(&id),
                Some(Session {
                    stage: Stage::Stands { .. },
                    ..
                })
            );
            if stands {
                self.release(id)
            } else {
                self.withdraw(id)
            }
        } else if !self.past.contains(&tag) {
            // Said on one connection, and heard before the set-up on another.
            if self.forgone.len() >= FORGONE {
                self.forgone.pop_front();
            }
            self.forgone.push_back(tag);
        }
        self.say(viewer, &Message::new(Verb::Finished, tag));
    }

    /// A viewer's connection is going: what waits on it can't be answered any more.
    pub(crate) fn forget_viewer(&mut self, viewer: ViewerId) {
        let Some(v) = self.viewers.all.get_mut(&viewer) else {
            return;
        };
        let (open, standing) = (std::mem::take(&mut v.open), std::mem::take(&mut v.standing));
        for id in open {
            self.withdraw(id);
        }
        for id in standing {
            self.sessions.entry(id).and_modify(|s| s.viewer = None);
        }
        self.run();
    }

    /// No answer is owed any more.
    pub(crate) fn withdraw(&mut self, id: SessionId) {
        let Some(s) = self.sessions.get(&id) else {
            return;
        };
        if s.owed {
            self.left += u32::from(!matches!(&s.stage, Stage::Out(a) if a.way == Way::Whole));
            self.settle(id);
            self.events.push_back(Event::RequestWithdrawn(id));
        }
        match self.sessions.get(&id).map(|s| &s.stage) {
            Some(Stage::Out(_)) => self.give_up(id, Outcome::Cancelled),
            Some(Stage::Asked) => self.forget(id),
            _ => {}
        }
    }

    /// The answer of a session was never written whole: whoever it was for has gone, and it is nobody's.
    pub(crate) fn unheard(&mut self, id: SessionId) {
        if matches!(
            self.sessions.get(&id),
            Some(Session {
                stage: Stage::Stands { .. },
                ..
            })
        ) {
            self.release(id);
        }
    }

    /// What a director that is told to end still owes is answered before it must be gone.
    pub(crate) fn last_words_to_viewers(&mut self) {
        let owed: Vec<_> = self
            .sessions
            .iter()
            .filter(|(_, s)| s.owed)
            .map(|(id, _)| *id)
            .collect();
        for id in owed {
            let Some(s) = self.sessions.get(&id) else {
                continue;
            };
            let never_sent = match &s.stage {
                Stage::Asked => s.attempts == 0,
                Stage::Out(a) => a.number == 0 && a.way == Way::Waits,
                Stage::Stands { .. } => false,
            };
            let answer = Message::finish(
                s.tag,
                if never_sent {
                    cause::REFUSED
                } else {
                    cause::FAILED
                },
            );
            let viewer = s.viewer;
            self.withdraw(id);
            viewer.into_iter().for_each(|v| self.say(v, &answer));
            self.run();
        }
    }

    /// The one answer that is no session.
    pub(crate) fn answer(&mut self, id: SessionId, answer: &Message) {
        let Some(s) = self.sessions.get(&id).filter(|s| s.owed) else {
            return;
        };
        let viewer = s.viewer;
        self.settle(id);
        if let Some(viewer) = viewer {
            self.say(viewer, answer);
        }
        if matches!(
            self.sessions.get(&id),
            Some(Session {
                stage: Stage::Asked,
                ..
            })
        ) {
            self.forget(id);
        }
    }

    /// It has its answer, or needs none.
    pub(crate) fn settle(&mut self, id: SessionId) {
        let Some(s) = self.sessions.get_mut(&id) else {
            return;
        };
        s.owed = false;
        s.description = String::new();
        if let Some(v) = s.viewer.and_then(|v| self.viewers.all.get_mut(&v)) {
            v.open.remove(&id);
        }
    }

    pub(crate) fn forget(&mut self, id: SessionId) {
        let Some(s) = self.sessions.remove(&id) else {
            return;
        };
        self.tags.remove(&s.tag);
        if let Some(v) = s.viewer.and_then(|v| self.viewers.all.get_mut(&v)) {
            v.open.remove(&id);
            v.standing.remove(&id);
        }
        self.past.push_back(s.tag);
        if self.past.len() > PAST {
            self.past.pop_front();
        }
    }
}
