//! The table of sessions: messages become the module's events, its actions become messages, one for one.

use crate::HexId;
use crate::director_protocol::{ConnectionId, ConnectionKind, DirectorProtocol, Due, Output};
use crate::linger::CloseReason;
use crate::links::{ConnectReason, Item, LinkId};
use crate::rtsp::{self, SetUp};
use crate::viewer_message::{Message, Verb, cause};
use crate::viewers::{ViewerId, Word};
use serde_json::Value;
use shalewall::{Action, EndpointState, Event, LoadReport, Micros, Outcome, ServerId, SessionId};
use std::net::IpAddr;

/// A request, and the session that it became.
pub(crate) struct Session {
    pub tag: HexId,
    pub title: HexId,
    pub class: usize,
    /// Until it stands.
    pub description: String,
    pub viewer: Option<ViewerId>,
    pub ip: IpAddr,
    pub deadline: Micros,
    pub rung: usize,
    pub attempts: u32,
    /// Its viewer waits for an answer.
    pub owed: bool,
    pub stage: Stage,
}

pub(crate) enum Stage {
    /// Nothing of it is at a node.
    Asked,
    Out(Attempt),
    Stands {
        server: ServerId,
        attempt: u32,
        link: Option<LinkId>,
    },
}

pub(crate) struct Attempt {
    pub server: ServerId,
    pub number: u32,
    pub link: LinkId,
    pub sent: Micros,
    pub until: Micros,
    pub way: Way,
}

/// How far a set-up has come.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Way {
    /// No byte of it has been written.
    Waits,
    /// Some may have, not all: the node can't have it whole.
    Partly,
    /// The node may have it.
    Whole,
}

/// A release of what may stand at a node is owed so long: by then a connection has come up, or the node is gone.
const OWED: Micros = 8_000_000;
/// And so many at most to one node.
const MOST_OWED: usize = 64;

impl DirectorProtocol {
    /// Feeds the module what has happened, and carries out what it says.
    pub(crate) fn run(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.director.handle(
                shalewall::Timestamp::from_micros(self.now),
                event,
                &mut actions,
            );
            actions.drain(..).for_each(|action| self.act(action));
            self.actions = actions;
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::StartAttempt {
                session,
                server,
                attempt_timeout: patience,
            } => self.send(
                session,
                server,
                patience.map(shalewall::TimeDelta::as_micros),
            ),
            Action::SetRung { session, rung } => self.set_rung(session, rung),
            Action::Reject {
                session,
                retry_after: come_back,
            } => {
                let Some(s) = self.sessions.get(&session) else {
                    return;
                };
                let mut answer = Message::finish(s.tag, cause::REFUSED);
                if let Some(wait) = come_back {
                    answer
                        .opts
                        .insert("wait".into(), Value::String(wait.as_millis().to_string()));
                }
                self.answer(session, &answer);
            }
            Action::Fail { session } => {
                let Some(s) = self.sessions.get(&session) else {
                    return;
                };
                let answer = Message::finish(s.tag, cause::FAILED);
                self.answer(session, &answer);
            }
            Action::CancelAttempt { session, attempt } => {
                let out = |s: &Session| matches!(&s.stage, Stage::Out(a) if a.number == attempt);
                if self.sessions.get(&session).is_some_and(out) {
                    self.give_up(session, Outcome::Cancelled);
                }
            }
            Action::Redirect { session } => {
                let Some(s) = self.sessions.get(&session) else {
                    return;
                };
                let (tag, viewer, ip) = (s.tag, s.viewer, s.ip);
                if matches!(s.stage, Stage::Stands { .. }) {
                    self.say_over(viewer, ip, Message::new(Verb::Move, tag).write());
                }
                self.release(session);
            }
            Action::SetTimer { after, token } => self.timers.set(
                self.now + after.max(shalewall::TimeDelta::ZERO).as_micros(),
                Due::Module(token),
            ),
            Action::CheckHealth { server } => self.probe(server),
            Action::CloseIdleConnections { server } => {
                let idle = self
                    .links
                    .of(server)
                    .filter(|(_, l)| l.up && !l.busy())
                    .map(|(id, _)| id);
                let idle: Vec<_> = idle.collect();
                idle.into_iter()
                    .skip(1)
                    .for_each(|id| self.part_with(id, CloseReason::NotNeeded));
            }
            Action::Log(text) => self.outputs.push_back(Output::Log(text)),
            // The journal tells without being asked, and directors don't talk; nobody here asks for hand-overs.
            Action::PollEndpoints
            | Action::WatchEndpoints(_)
            | Action::SendToPeer { .. }
            | Action::Migrate { .. } => {}
        }
    }

    // ---- attempts ---------------------------------------------------------------------------

    fn send(&mut self, id: SessionId, server: ServerId, patience: Option<Micros>) {
        let now = self.now;
        let Some(s) = self.sessions.get_mut(&id) else {
            return;
        };
        let number = s.attempts;
        s.attempts += 1;
        if !matches!(s.stage, Stage::Asked) || !s.owed {
            return;
        }
        let until = patience.map_or(s.deadline, |p| (now + p).min(s.deadline));
        let Some(link) = self.link_for(server) else {
            self.outcome(id, server, number, Outcome::NotSent, LoadReport::default());
            return;
        };
        if let Some(s) = self.sessions.get_mut(&id) {
            s.stage = Stage::Out(Attempt {
                server,
                number,
                link,
                sent: now,
                until,
                way: Way::Waits,
            });
        }
        if let Some(link) = self.links.get(link) {
            link.open.insert(id);
        }
        self.timers.set(until, Due::Attempt(id, number));
        if !self.queue(link, Item::SetUp(id, number)) {
            self.cut(id, Outcome::NotSent);
        }
    }

    /// The connection that a set-up or a probe goes by: an idle one, else a further one, or where there are too many
    /// one to share.
    pub(crate) fn link_for(&mut self, server: ServerId) -> Option<LinkId> {
        if let Some(link) = self.links.idle(server, self.fresh()) {
            return Some(link);
        }
        self.make_room();
        if !self.links.room(server) {
            let spare = self
                .links
                .iter()
                .filter(|(_, l)| l.server != server && l.up && !l.busy());
            let spare = spare.filter(|(_, l)| {
                self.links.of(l.server).count() > 1 || !self.nodes.stands(l.server)
            });
            let spare = spare.min_by_key(|(id, l)| (l.used, *id)).map(|(id, _)| id);
            match spare.filter(|_| self.links.of(server).next().is_none()) {
                Some(spare) => self.part_with(spare, CloseReason::NotNeeded),
                None => return self.links.shared(server),
            }
        }
        let met = self.nodes.all.get(&server).is_some_and(|n| n.met);
        let why = self.links.why(server, self.fresh(), met);
        self.open_link(server, why)
    }

    /// A set-up's turn to be written: it is judged again, since it may have waited for its connection. None: it is
    /// not to be sent.
    pub(crate) fn worded(&mut self, id: SessionId, number: u32) -> Option<Vec<u8>> {
        let now = self.now;
        let s = self.sessions.get_mut(&id)?;
        let Stage::Out(a) = &mut s.stage else {
            return None;
        };
        if a.number != number || a.way != Way::Waits {
            return None;
        }
        let ready = self
            .nodes
            .all
            .get(&a.server)
            .is_some_and(|n| n.listed.state == EndpointState::Ready);
        let left = (a.until - now) / 1000;
        if !s.owed || !ready || left <= 0 {
            self.cut(id, Outcome::NotSent);
            return None;
        }
        a.way = Way::Partly;
        // `owed` was judged above; this counts what must not be.
        self.sent_for_left +=
            u32::from(s.viewer.is_none_or(|v| !self.viewers.all.contains_key(&v)));
        let class = self.names.classes.get(s.class)?;
        let set_up = SetUp {
            session: s.tag,
            title: s.title,
            class,
            left,
            rung: s.rung,
            description: &s.description,
        };
        Some(set_up.write())
    }

    /// An attempt is given up for good: the next one, which may have waited for that, can be written.
    pub(crate) fn next_attempt(&mut self, id: SessionId) {
        if let Some(Session {
            stage: Stage::Out(a),
            ..
        }) = self.sessions.get(&id)
        {
            self.outputs
                .push_back(Output::Write(ConnectionId(ConnectionKind::Node(a.link))));
        }
    }

    /// None of it was taken: it waits again.
    pub(crate) fn unworded(&mut self, id: SessionId, number: u32) {
        if let Some(Session {
            stage: Stage::Out(a),
            ..
        }) = self.sessions.get_mut(&id)
            && a.number == number
            && a.way == Way::Partly
        {
            a.way = Way::Waits;
        }
    }

    /// A set-up has been written whole: its node may have it.
    pub(crate) fn whole(&mut self, id: SessionId, number: u32) {
        if let Some(Session {
            stage: Stage::Out(a),
            ..
        }) = self.sessions.get_mut(&id)
            && a.number == number
        {
            a.way = Way::Whole;
        }
    }

    /// The connection of a set-up is gone.
    pub(crate) fn cut(&mut self, id: SessionId, outcome: Outcome) {
        let Some(Session {
            stage: Stage::Out(a),
            ..
        }) = self.sessions.get(&id)
        else {
            return;
        };
        let never_whole = a.way != Way::Whole && outcome == Outcome::ConnectionReset;
        let (server, number) = (a.server, a.number);
        let outcome = if never_whole {
            Outcome::NotSent
        } else {
            outcome
        };
        self.outcome(id, server, number, outcome, LoadReport::default());
    }

    /// An attempt is over without a session.
    pub(crate) fn outcome(
        &mut self,
        id: SessionId,
        server: ServerId,
        attempt: u32,
        outcome: Outcome,
        load: LoadReport,
    ) {
        let Some(s) = self.sessions.get_mut(&id) else {
            return;
        };
        if let Stage::Out(a) = std::mem::replace(&mut s.stage, Stage::Asked)
            && let Some(link) = self.links.get(a.link)
        {
            link.open.remove(&id);
            if link.unqueue(id) {
                self.outputs
                    .push_back(Output::Write(ConnectionId(ConnectionKind::Node(a.link))));
            }
        }
        let closed = !s.owed;
        if closed {
            self.forget(id);
        }
        self.finished(
            Event::AttemptFinished {
                session: id,
                attempt,
                server,
                outcome,
                is_answered: closed,
                load_report: load,
            },
            outcome,
        );
    }

    /// Tells the module of an end, and counts it for the log.
    fn finished(&mut self, end: Event, outcome: Outcome) {
        match self
            .ends
            .iter_mut()
            .find(|(counted, _)| *counted == outcome)
        {
            Some((_, n)) => *n += 1,
            None => self.ends.push((outcome, 1)),
        }
        self.events.push_back(end);
    }

    /// A set-up is given up: its node is told, if it can have heard of it.
    pub(crate) fn give_up(&mut self, id: SessionId, outcome: Outcome) {
        let Some(Session {
            tag,
            stage: Stage::Out(a),
            ..
        }) = self.sessions.get(&id)
        else {
            return;
        };
        let (tag, server, number, link, way) = (*tag, a.server, a.number, a.link, a.way);
        if way == Way::Whole {
            if let Some(link) = self.links.get(link) {
                link.doubt = true;
            }
            if !self.queue(link, Item::GiveUp(id, tag)) {
                self.drop_link(link, CloseReason::Unusable);
            }
        }
        self.outcome(id, server, number, outcome, LoadReport::default());
        // Half of it is with the node, which does not read on: the other half never follows.
        if way == Way::Partly {
            self.drop_link(link, CloseReason::Unusable);
        }
    }

    /// An attempt's time has run out.
    pub(crate) fn out_of_time(&mut self, id: SessionId, number: u32) {
        if matches!(self.sessions.get(&id), Some(Session { stage: Stage::Out(a), .. }) if a.number == number)
        {
            self.give_up(id, Outcome::TimedOut);
        }
    }

    /// A node answers a set-up.
    pub(crate) fn answered(
        &mut self,
        link: LinkId,
        tag: HexId,
        status: u16,
        message: rtsp::Message,
    ) {
        // Where the next attempt is out on the same connection, it is that one's answer.
        let here = |s: &Session| matches!(&s.stage, Stage::Out(a) if a.link == link && a.way != Way::Waits);
        let here = self.under(tag).is_some_and(here);
        if status == 200 && !here && self.links.get(link).is_some_and(|l| l.take_refused(tag)) {
            return self.disown(link, tag);
        }
        let Some(id) = self.tags.get(&tag).copied() else {
            return;
        };
        let Some(s) = self.sessions.get_mut(&id) else {
            return;
        };
        // A second copy, or an answer to what was given up.
        let Stage::Out(a) = &s.stage else { return };
        if a.link != link || a.way == Way::Waits {
            return;
        }
        let (server, number, sent, viewer, owed) = (a.server, a.number, a.sent, s.viewer, s.owed);
        if status != 200 {
            self.links.get(link).into_iter().for_each(|l| l.refuse(tag));
            let outcome = match status {
                453 => Outcome::Rejected,
                454 => Outcome::NotSent,
                504 => Outcome::ConnectionReset,
                _ => Outcome::Error,
            };
            return self.outcome(id, server, number, outcome, message.load());
        }
        if !owed {
            return self.give_up(id, Outcome::Cancelled);
        }
        let Ok(description) = message.description() else {
            return self.drop_link(link, CloseReason::Unusable); // the set-up on it ends with it
        };
        s.stage = Stage::Stands {
            server,
            attempt: number,
            link: Some(link),
        };
        if let Some(link) = self.links.get(link) {
            link.open.remove(&id);
        }
        self.settle(id);
        self.stands(id, server);
        self.events.push_back(Event::SessionStarted {
            session: id,
            attempt: number,
            server,
            setup_time: shalewall::TimeDelta::from_micros(self.now - sent),
        });
        if let Some(viewer) = viewer {
            let answer = Message {
                blob: Some(description),
                ..Message::new(Verb::Started, tag)
            };
            if !self.word(viewer, Word::Answer(id), answer.write()) {
                self.unheard(id);
            }
        }
    }

    /// A node that refused a set-up says that it stands: nobody here waits for that any more, and another node may have
    /// the next attempt. It is released, unless the same node has that one, too, and the word would be taken for it.
    fn disown(&mut self, link: LinkId, tag: HexId) {
        let Some(server) = self.links.get(link).map(|l| l.server) else {
            return;
        };
        let there = self.under(tag).is_some_and(|s| match &s.stage {
            Stage::Asked => false,
            Stage::Out(a) => a.server == server,
            Stage::Stands { server: at, .. } => *at == server,
        });
        if !there {
            self.queue(link, Item::Release(tag));
        }
    }

    fn under(&self, tag: HexId) -> Option<&Session> {
        self.sessions.get(self.tags.get(&tag)?)
    }

    /// The tag of a set-up that its node may have whole.
    pub(crate) fn may_stand(&self, id: SessionId) -> Option<HexId> {
        let whole = |s: &&Session| matches!(&s.stage, Stage::Out(a) if a.way == Way::Whole);
        self.sessions.get(&id).filter(whole).map(|s| s.tag)
    }

    /// Set-ups ended with a connection that closed, and an answer may have crossed that: what stands at the node then is nobody's.
    /// It is released over another connection, at once or when the next one is up.
    pub(crate) fn owe_release(&mut self, server: ServerId, tags: Vec<HexId>) {
        let until = self.now + OWED;
        let Some(node) = self.nodes.all.get_mut(&server) else {
            return;
        };
        for tag in tags {
            if node.owed.len() < MOST_OWED {
                node.owed.push((until, tag));
            }
        }
        if let Some(link) = self.links.any(server) {
            self.say_owed(server, link);
        }
    }

    pub(crate) fn say_owed(&mut self, server: ServerId, link: LinkId) {
        let Some(node) = self.nodes.all.get_mut(&server) else {
            return;
        };
        for (_, tag) in std::mem::take(&mut node.owed) {
            self.disown(link, tag);
        }
    }

    // ---- sessions ---------------------------------------------------------------------------

    /// A session stands at a node from now on.
    pub(crate) fn stands(&mut self, id: SessionId, server: ServerId) {
        let viewer = self.sessions.get(&id).and_then(|s| s.viewer);
        if let Some(v) = viewer.and_then(|v| self.viewers.all.get_mut(&v)) {
            v.standing.insert(id);
        }
        if let Some(node) = self.nodes.all.get_mut(&server) {
            node.standing.insert(id);
        }
        if self.links.of(server).next().is_none() {
            self.open_link(server, ConnectReason::ActiveSessions);
        }
    }

    /// A node ends a session, or breaks a set-up off.
    pub(crate) fn torn_down(
        &mut self,
        link: LinkId,
        server: ServerId,
        tag: HexId,
        message: rtsp::Message,
    ) {
        let Some(id) = self.tags.get(&tag).copied() else {
            return;
        };
        match self.sessions.get(&id).map(|s| &s.stage) {
            Some(Stage::Stands { server: at, .. }) if *at == server => {
                // Who ended it himself, or was moved, is owed no release.
                let (outcome, rc) = match message.cause() {
                    Some(cause::NORMAL) => (Outcome::Success, Some(cause::NORMAL)),
                    Some(cause::CANCELLED) => (
                        Outcome::Cancelled,
                        self.take_answer_back(id).then_some(cause::FAILED),
                    ),
                    _ => (Outcome::ConnectionReset, Some(cause::FAILED)),
                };
                self.ended(id, outcome, message.load(), rc);
            }
            Some(Stage::Out(a)) if a.server == server && a.way != Way::Waits => {
                let (number, load) = (a.number, message.load());
                // It has stood and come to its end at once: its answer comes with its release.
                if message.cause() == Some(cause::NORMAL) && !message.body.is_empty() {
                    self.answered(link, tag, 200, message);
                    return self.ended(id, Outcome::Success, load, Some(cause::NORMAL));
                }
                self.outcome(id, server, number, Outcome::ConnectionReset, load);
            }
            _ => {}
        }
    }

    /// Takes an answer back that has not left yet: it is no more true, and one answer is owed. Whoever has not heard
    /// that a session stands can't have ended it.
    fn take_answer_back(&mut self, id: SessionId) -> bool {
        let Some(s) = self.sessions.get(&id) else {
            return false;
        };
        s.viewer
            .is_some_and(|viewer| self.viewers.take_back(viewer, id))
    }

    /// A session is over; `rc`: what its viewer is told.
    pub(crate) fn ended(
        &mut self,
        id: SessionId,
        outcome: Outcome,
        load: LoadReport,
        rc: Option<i64>,
    ) {
        let Some(s) = self.sessions.get(&id) else {
            return;
        };
        let Stage::Stands {
            server, attempt, ..
        } = s.stage
        else {
            return;
        };
        let (tag, viewer, ip) = (s.tag, s.viewer, s.ip);
        if let Some(node) = self.nodes.all.get_mut(&server) {
            node.standing.remove(&id);
        }
        self.forget(id);
        if let Some(rc) = rc {
            self.say_over(viewer, ip, Message::finish(tag, rc).write());
        }
        self.finished(
            Event::AttemptFinished {
                session: id,
                attempt,
                server,
                outcome,
                is_answered: true,
                load_report: load,
            },
            outcome,
        );
    }

    /// A session that stands is released by its viewer, or moved: its node is told.
    pub(crate) fn release(&mut self, id: SessionId) {
        let Some(s) = self.sessions.get(&id) else {
            return;
        };
        let Stage::Stands { server, link, .. } = s.stage else {
            return;
        };
        let tag = s.tag;
        let way = self.way_to(server, link);
        if !way.is_some_and(|link| self.queue(link, Item::Release(tag))) {
            self.owe_release(server, vec![tag]);
        }
        self.ended(id, Outcome::Cancelled, LoadReport::default(), None);
    }

    /// The connection that a message on a session goes by: that of its set-up, else any, else a new one.
    fn way_to(&mut self, server: ServerId, link: Option<LinkId>) -> Option<LinkId> {
        let own = link.filter(|l| self.links.get(*l).is_some_and(|l| l.up && !l.doubt));
        own.or_else(|| self.links.any(server))
            .or_else(|| self.links.shared(server))
            .or_else(|| self.open_link(server, ConnectReason::ActiveSessions))
    }

    fn set_rung(&mut self, id: SessionId, rung: usize) {
        let Some(s) = self.sessions.get_mut(&id) else {
            return;
        };
        s.rung = rung;
        let Stage::Stands { server, link, .. } = s.stage else {
            return;
        };
        let tag = s.tag;
        if let Some(link) = self.way_to(server, link) {
            self.queue(link, Item::Bytes(rtsp::rung(tag, rung)));
        }
    }

    /// A note on a session that stands, or that its node has whole: the first one, which is the freshest word of how full
    /// the node is, comes ahead of the answer.
    pub(crate) fn noted(&mut self, server: ServerId, tag: HexId, message: &rtsp::Message) {
        let Some(session) = self.tags.get(&tag).copied() else {
            return;
        };
        let attempt = match self.sessions.get(&session).map(|s| &s.stage) {
            Some(Stage::Stands {
                server: at,
                attempt,
                ..
            }) if *at == server => *attempt,
            Some(Stage::Out(a)) if a.server == server && a.way == Way::Whole => a.number,
            _ => return,
        };
        if let Some(note) = message.note() {
            self.events.push_back(Event::Notified {
                session,
                attempt,
                server,
                notification: note,
            });
        }
    }
}
