//! Attempts at nodes, and the ends that are owed for what they may have begun.

use crate::engine::*;
use crate::input::*;
use crate::output::*;
use shalewall::{Event, LoadReport, Micros, Outcome, ServerId, SessionId};
use shalewall_migration::Epoch;

impl Engine {
    pub(crate) fn send(&mut self, session: SessionId, server: ServerId, patience: Option<Micros>) {
        let Some(s) = self.sessions.get_mut(&session) else {
            return;
        };
        let Stage::Deciding = s.stage else {
            return debug_assert!(
                false,
                "the director sends a session only while it decides it"
            );
        };
        let attempt = s.attempts;
        (s.attempts, s.owed) = (s.attempts + 1, 0);
        let kind = CallKind::SetUpSession {
            session,
            attempt,
            viewer: s.key,
            tenant: s.tenant.clone(),
            class: s.class.clone(),
            title: s.title.clone(),
            rung: s.rung,
            rate_kb_s: self.config.settings.rate(s.request.class, s.rung),
        };
        let due = s.request.deadline.min(shalewall::Timestamp::from_micros(
            self.now + patience.unwrap_or(Micros::MAX / 2).max(0),
        ));
        match self.call(server, Purpose::SetUp(session), kind) {
            Some(call) => {
                let stage = Stage::SettingUp {
                    call,
                    server,
                    sent: self.now,
                    over: false,
                };
                if let Some(s) = self.sessions.get_mut(&session) {
                    (s.stage, s.confirmed) = (stage, s.rung);
                }
                self.timers
                    .set(due.as_micros(), Timer::Attempt(session, attempt));
            }
            // A server without an address was never reached.
            None => self.finished(
                session,
                attempt,
                server,
                Outcome::NotSent,
                LoadReport::default(),
            ),
        }
    }

    /// Tells the director how an attempt, or the session that it began, ended.
    pub(crate) fn finished(
        &mut self,
        session: SessionId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
        load: LoadReport,
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
        self.pending.push_back(Event::AttemptFinished {
            session,
            attempt,
            server,
            outcome,
            is_answered: closed,
            load_report: load,
        });
    }

    pub(crate) fn tried(
        &mut self,
        session: SessionId,
        server: ServerId,
        sent: Micros,
        outcome: Outcome,
    ) {
        let attempt = self
            .sessions
            .get(&session)
            .map_or(0, |s| s.attempts.saturating_sub(1));
        let took = self.now - sent;
        self.outputs.push_back(Output::AttemptFinished {
            session,
            attempt,
            server,
            outcome,
            duration: took,
        });
    }

    pub(crate) fn on_patience(&mut self, session: SessionId, attempt: u32) {
        let Some(s) = self
            .sessions
            .get(&session)
            .filter(|s| s.attempts == attempt + 1)
        else {
            return;
        };
        let Stage::SettingUp {
            call, server, sent, ..
        } = s.stage
        else {
            return;
        };
        self.give_up(call);
        self.tried(session, server, sent, Outcome::TimedOut);
        self.owe_end(server, session, attempt, None);
        self.finished(
            session,
            attempt,
            server,
            Outcome::TimedOut,
            LoadReport::default(),
        );
    }

    pub(crate) fn recall(&mut self, session: SessionId, attempt: u32) {
        let Some(s) = self
            .sessions
            .get_mut(&session)
            .filter(|s| s.attempts == attempt + 1)
        else {
            return;
        };
        let Stage::SettingUp {
            call, server, sent, ..
        } = s.stage
        else {
            return;
        };
        s.stage = Stage::Leaving {
            server,
            outcome: Outcome::Cancelled,
        };
        self.give_up(call);
        self.tried(session, server, sent, Outcome::Cancelled);
        self.owe_end(server, session, attempt, None);
    }

    pub(crate) fn on_done(&mut self, call: CallId, done: CallResult) {
        match self.calls.remove(&call) {
            None => {} // given up before
            Some(Purpose::SetUp(session)) => self.on_set_up(session, done),
            Some(Purpose::Probe(server)) => {
                let (outcome, load) = outcome(&done);
                self.probed(server, outcome, load);
            }
            Some(Purpose::End(server, session, attempt)) => {
                // 404: it does not run there, which is what was wanted.
                if matches!(
                    done,
                    CallResult::Answered {
                        status: 200..=299 | 404 | 410,
                        ..
                    }
                ) {
                    self.end_confirmed(server, session, attempt);
                } else if let Some(owed) = self.ends.get_mut(&(server, session, attempt)) {
                    owed.call = None;
                    let wait = (RETRY << owed.tries.min(4)).min(LONGEST_RETRY);
                    self.timers
                        .set(self.now + wait, Timer::End(server, session, attempt));
                }
            }
            Some(Purpose::Rung(session, rung)) => self.on_rung_done(session, rung, &done),
            Some(Purpose::Prepare(session, node, epoch)) => {
                self.on_prepared(session, node, epoch, done)
            }
            Some(Purpose::Cancel(session, node, epoch)) => {
                self.on_cancelled(session, node, epoch, &done)
            }
        }
    }

    pub(crate) fn on_set_up(&mut self, session: SessionId, done: CallResult) {
        let Some(s) = self.sessions.get(&session) else {
            return;
        };
        let Stage::SettingUp {
            server, sent, over, ..
        } = s.stage
        else {
            return;
        };
        let attempt = s.attempts - 1;
        let (outcome, load) = outcome(&done);
        self.tried(session, server, sent, outcome);
        let media = match done {
            CallResult::Answered {
                status: 201,
                media: Some(media),
                ..
            } => media,
            _ => {
                if !matches!(
                    outcome,
                    Outcome::Rejected | Outcome::ConnectionFailed | Outcome::NotSent
                ) {
                    self.owe_end(server, session, attempt, None);
                }
                // A 201 that does not say where the stream is may run, and is of no use.
                let outcome = if outcome == Outcome::Success {
                    Outcome::Error
                } else {
                    outcome
                };
                return self.finished(session, attempt, server, outcome, load);
            }
        };
        let Some(s) = self.sessions.get_mut(&session) else {
            return;
        };
        if s.waiting.is_empty() {
            // The viewer left, or has had its answer: what runs now must not be leaked.
            s.stage = Stage::Leaving {
                server,
                outcome: Outcome::Success,
            };
            let key = s.key;
            self.unkey(key, session);
            return self.owe_end(server, session, attempt, None);
        }
        s.stage = Stage::Plays {
            server,
            since: self.now,
            media: media.clone(),
        };
        let rung = s.confirmed;
        let waited = self.now - sent;
        self.pending.push_back(Event::SessionStarted {
            session,
            attempt,
            server,
            setup_time: shalewall::TimeDelta::from_micros(waited),
        });
        self.figures(
            session,
            server,
            None,
            load.link_utilization,
            load.uplink_utilization,
        );
        self.answer(
            session,
            Answer::Playing {
                session,
                rung,
                media,
            },
        );
        if over {
            self.over(session, server, attempt, Outcome::Success);
        }
    }

    /// A session that played has ended at its node.
    pub(crate) fn over(
        &mut self,
        session: SessionId,
        server: ServerId,
        attempt: u32,
        outcome: Outcome,
    ) {
        let attempt = attempt
            - self
                .sessions
                .get(&session)
                .map_or(0, |s| s.before)
                .min(attempt);
        self.forget(session);
        let load = LoadReport::default();
        self.pending.push_back(Event::AttemptFinished {
            session,
            attempt,
            server,
            outcome,
            is_answered: true,
            load_report: load,
        });
    }

    /// The node may hold this attempt: it is told to end it until it has confirmed that.
    pub(crate) fn owe_end(
        &mut self,
        server: ServerId,
        session: SessionId,
        attempt: u32,
        upto: Option<Epoch>,
    ) {
        let key = (server, session, attempt);
        match self.ends.get_mut(&key) {
            // No end of an epoch is one of all.
            Some(owed) if owed.upto.is_none() || (upto.is_some() && owed.upto >= upto) => return,
            Some(owed) => owed.upto = upto,
            None => {
                self.ends.insert(
                    key,
                    Owed {
                        call: None,
                        tries: 0,
                        upto,
                    },
                );
                if let Some(s) = self
                    .sessions
                    .get_mut(&session)
                    .filter(|s| s.attempts == attempt + 1)
                {
                    s.owed += 1;
                }
            }
        }
        self.send_end(server, session, attempt);
    }

    pub(crate) fn send_end(&mut self, server: ServerId, session: SessionId, attempt: u32) {
        let key = (server, session, attempt);
        let Some(owed) = self.ends.get_mut(&key) else {
            return;
        };
        let (out, tries, upto) = (owed.call.take(), owed.tries, owed.upto);
        if let Some(call) = out {
            // Unanswered for too long, or of less than is owed now: given up and sent on another connection.
            self.give_up(call);
        }
        let kind = CallKind::EndSession {
            session,
            attempt,
            up_to_epoch: upto,
        };
        match self.call(server, Purpose::End(server, session, attempt), kind) {
            Some(call) => {
                self.ends.insert(
                    key,
                    Owed {
                        call: Some(call),
                        tries: tries + 1,
                        upto,
                    },
                );
                let wait = CONFIRM_TIME + (RETRY << tries.min(4)).min(LONGEST_RETRY);
                self.timers
                    .set(self.now + wait, Timer::End(server, session, attempt));
            }
            None => self.end_confirmed(server, session, attempt),
        }
    }

    /// The node holds it no more.
    pub(crate) fn end_confirmed(&mut self, server: ServerId, session: SessionId, attempt: u32) {
        let Some(Owed { call, upto, .. }) = self.ends.remove(&(server, session, attempt)) else {
            return;
        };
        if let Some(call) = call {
            // Confirmed by other news than its answer, which may never come: nobody waits for it any more.
            self.give_up(call);
        }
        let Some(s) = self
            .sessions
            .get_mut(&session)
            .filter(|s| s.attempts == attempt + 1)
        else {
            return;
        };
        s.owed = s.owed.saturating_sub(1);
        self.released(session, server, upto);
        self.left(session);
    }

    /// Over, if it is leaving, nobody waits for an answer and no node holds it any more.
    pub(crate) fn left(&mut self, session: SessionId) {
        let done = |s: &&Session| s.owed == 0 && s.waiting.is_empty();
        let Some(s) = self.sessions.get(&session).filter(done) else {
            return;
        };
        if let Stage::Leaving { server, outcome } = s.stage {
            self.over(session, server, s.attempts - 1, outcome);
        }
    }
}
