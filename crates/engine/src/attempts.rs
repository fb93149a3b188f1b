//! Attempts at nodes, and the ends that are owed for what they may have begun.

use crate::engine::*;
use crate::io::*;
use shalewall::{Event, Load, Micros, Outcome, ServerId, SessionId};

impl Engine {
    pub(crate) fn send(&mut self, session: SessionId, server: ServerId, patience: Option<Micros>) {
        let Some(s) = self.sessions.get_mut(&session) else { return };
        let Stage::Deciding = s.stage else {
            return debug_assert!(false, "the director sends a session only while it decides it");
        };
        let attempt = s.attempts;
        s.attempts += 1;
        let kind = CallKind::SetUp {
            session,
            attempt,
            tenant: s.tenant.clone(),
            class: s.class.clone(),
            title: s.title.clone(),
            rung: s.rung,
            kb: self.config.settings.rate(s.request.class, s.rung),
        };
        let due = s.request.deadline.min(self.now + patience.unwrap_or(Micros::MAX / 2).max(0));
        match self.call(server, Purpose::SetUp(session), kind) {
            Some(call) => {
                let stage = Stage::SettingUp { call, server, sent: self.now, over: false };
                if let Some(s) = self.sessions.get_mut(&session) {
                    (s.stage, s.confirmed) = (stage, s.rung);
                }
                self.timers.set(due, Timer::Attempt(session, attempt));
            }
            // A server without an address was never reached.
            None => self.finished(session, attempt, server, Outcome::NotSent, Load::default()),
        }
    }

    /// Tells the director how an attempt, or the session that it began, ended.
    pub(crate) fn finished(
        &mut self,
        session: SessionId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
        load: Load,
    ) {
        let closed = match self.sessions.get_mut(&session) {
            None => true,
            Some(s) => {
                let owed = !s.waiting.is_empty();
                s.stage = Stage::Deciding;
                if !owed {
                    self.forget(session);
                }
                !owed
            }
        };
        self.pending.push_back(Event::Finished { session, attempt, server, outcome, closed, load });
    }

    pub(crate) fn tried(&mut self, session: SessionId, server: ServerId, sent: Micros, outcome: Outcome) {
        let attempt = self.sessions.get(&session).map_or(0, |s| s.attempts.saturating_sub(1));
        let took = self.now - sent;
        self.outputs.push_back(Output::Tried { session, attempt, server, outcome, took });
    }

    pub(crate) fn on_patience(&mut self, session: SessionId, attempt: u32) {
        let Some(s) = self.sessions.get(&session).filter(|s| s.attempts == attempt + 1) else { return };
        let Stage::SettingUp { call, server, sent, .. } = s.stage else { return };
        self.give_up(call);
        self.tried(session, server, sent, Outcome::Late);
        self.owe_end(server, session, attempt);
        self.finished(session, attempt, server, Outcome::Late, Load::default());
    }

    pub(crate) fn recall(&mut self, session: SessionId, attempt: u32) {
        let Some(s) = self.sessions.get_mut(&session).filter(|s| s.attempts == attempt + 1) else { return };
        let Stage::SettingUp { call, server, sent, .. } = s.stage else { return };
        s.stage = Stage::Leaving { server, outcome: Outcome::Cancelled };
        self.give_up(call);
        self.tried(session, server, sent, Outcome::Cancelled);
        self.owe_end(server, session, attempt);
    }

    pub(crate) fn on_done(&mut self, call: CallId, done: Done) {
        match self.calls.remove(&call) {
            None => {} // given up before
            Some(Purpose::SetUp(session)) => self.on_set_up(session, done),
            Some(Purpose::Probe(server)) => {
                let (outcome, load) = outcome(&done);
                self.probed(server, outcome, load);
            }
            Some(Purpose::End(server, session, attempt)) => {
                // 404: it does not run there, which is what was wanted.
                if matches!(done, Done::Answered { status: 200..=299 | 404 | 410, .. }) {
                    self.end_confirmed(server, session, attempt);
                } else if let Some((call, tries)) = self.ends.get_mut(&(server, session, attempt)) {
                    *call = None;
                    let wait = (RETRY << (*tries).min(4)).min(LONGEST_RETRY);
                    self.timers.set(self.now + wait, Timer::End(server, session, attempt));
                }
            }
            Some(Purpose::Rung(session, rung)) => self.on_rung_done(session, rung, &done),
        }
    }

    pub(crate) fn on_set_up(&mut self, session: SessionId, done: Done) {
        let Some(s) = self.sessions.get(&session) else { return };
        let Stage::SettingUp { server, sent, over, .. } = s.stage else { return };
        let attempt = s.attempts - 1;
        let (outcome, load) = outcome(&done);
        self.tried(session, server, sent, outcome);
        let media = match done {
            Done::Answered { status: 201, media: Some(media), .. } => media,
            _ => {
                if !matches!(outcome, Outcome::Full | Outcome::NoConnection) {
                    self.owe_end(server, session, attempt);
                }
                // A 201 that does not say where the stream is may run, and is of no use.
                let outcome = if outcome == Outcome::Good { Outcome::Error } else { outcome };
                return self.finished(session, attempt, server, outcome, load);
            }
        };
        let Some(s) = self.sessions.get_mut(&session) else { return };
        if s.waiting.is_empty() {
            // The viewer left, or has had its answer: what runs now must not be leaked.
            s.stage = Stage::Leaving { server, outcome: Outcome::Good };
            let key = s.key;
            self.unkey(key, session);
            return self.owe_end(server, session, attempt);
        }
        s.stage = Stage::Plays { server, since: self.now, media: media.clone() };
        let rung = s.confirmed;
        let waited = self.now - sent;
        self.pending.push_back(Event::Started { session, attempt, server, waited });
        self.figures(session, server, None, load.link, load.uplink);
        self.answer(session, Answer::Plays { session, rung, media });
        if over {
            self.over(session, server, attempt, Outcome::Good);
        }
    }

    /// A session that played has ended at its node.
    pub(crate) fn over(&mut self, session: SessionId, server: ServerId, attempt: u32, outcome: Outcome) {
        self.forget(session);
        let load = Load::default();
        self.pending.push_back(Event::Finished { session, attempt, server, outcome, closed: true, load });
    }

    /// The node may hold this attempt: it is told to end it until it has confirmed that.
    pub(crate) fn owe_end(&mut self, server: ServerId, session: SessionId, attempt: u32) {
        if self.ends.insert((server, session, attempt), (None, 0)).is_none() {
            self.send_end(server, session, attempt);
        }
    }

    pub(crate) fn send_end(&mut self, server: ServerId, session: SessionId, attempt: u32) {
        let key = (server, session, attempt);
        let Some((out, tries)) = self.ends.get(&key).copied() else { return };
        if let Some(call) = out {
            // Unanswered for too long: given up and tried again on another connection.
            self.give_up(call);
        }
        match self.call(server, Purpose::End(server, session, attempt), CallKind::End { session, attempt }) {
            Some(call) => {
                self.ends.insert(key, (Some(call), tries + 1));
                let wait = CONFIRM_TIME + (RETRY << tries.min(4)).min(LONGEST_RETRY);
                self.timers.set(self.now + wait, Timer::End(server, session, attempt));
            }
            None => self.end_confirmed(server, session, attempt),
        }
    }

    /// The node holds it no more.
    pub(crate) fn end_confirmed(&mut self, server: ServerId, session: SessionId, attempt: u32) {
        if let Some((Some(call), _)) = self.ends.remove(&(server, session, attempt)) {
            // Confirmed by other news than its answer, which may never come: nobody waits for it any more.
            self.give_up(call);
        }
        let Some(s) = self.sessions.get(&session).filter(|s| s.attempts == attempt + 1) else { return };
        if let Stage::Leaving { server: at, outcome } = s.stage
            && at == server
        {
            self.over(session, server, attempt, outcome);
        }
    }
}
