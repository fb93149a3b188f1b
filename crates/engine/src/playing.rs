//! Sessions that play: rungs, notes, and what becomes of them when nodes come and go.

use crate::engine::*;
use crate::input::*;
use crate::output::*;
use shalewall::{Event, LoadReport, Micros, Notification, Outcome, ServerId, SessionId};

impl Engine {
    /// Tells the node of a rung that it has not confirmed; one call at a time for a session.
    pub(crate) fn tell_rung(&mut self, session: SessionId) {
        let Some(s) = self.sessions.get(&session) else {
            return;
        };
        let Stage::Plays { server, .. } = s.stage else {
            return;
        };
        if s.rung == s.confirmed || s.telling.is_some() {
            return;
        }
        let rung = s.rung;
        let kb = self.config.settings.rate(s.request.class, rung);
        let kind = CallKind::SetRung {
            session,
            attempt: s.attempts - 1,
            rung,
            rate_kb_s: kb,
        };
        let call = self.call(server, Purpose::Rung(session, rung), kind);
        self.sessions
            .get_mut(&session)
            .into_iter()
            .for_each(|s| s.telling = call);
    }

    pub(crate) fn on_rung_done(&mut self, session: SessionId, rung: usize, done: &CallResult) {
        let Some(s) = self.sessions.get_mut(&session) else {
            return;
        };
        s.telling = None;
        match done {
            CallResult::Answered {
                status: 200..=299, ..
            } => {
                s.confirmed = rung;
                self.tell_rung(session);
            }
            // The node does not know it: its end is told on the event stream, or by the next snapshot.
            CallResult::Answered {
                status: 404 | 410, ..
            } => {}
            _ => self.timers.set(self.now + RETRY, Timer::Rung(session)),
        }
    }

    pub(crate) fn probe(&mut self, server: ServerId) {
        match self.call(server, Purpose::Probe(server), CallKind::CheckHealth) {
            Some(call) => self.timers.set(self.now + PROBE_TIME, Timer::Probe(call)),
            None => self.probed(server, Outcome::NotSent, LoadReport::default()),
        }
    }

    pub(crate) fn probed(&mut self, server: ServerId, outcome: Outcome, load: LoadReport) {
        self.pending.push_back(Event::HealthCheckFinished {
            server,
            outcome,
            load_report: load,
        });
    }

    pub(crate) fn on_list(&mut self, news: shalewall::EndpointUpdate, lines: Vec<EndpointEntry>) {
        let change = self.nodes.list(news, &lines);
        // The director first: nothing that follows may send to a node that has just been listed as gone.
        self.drains(&lines);
        let listed = |l: &EndpointEntry| {
            crate::nodes::listed(l, &self.config, self.catalogue.fleet(l.server))
        };
        let lines: Vec<_> = lines.iter().map(listed).collect();
        self.nodes.told(news, &lines);
        self.pending.push_back(Event::EndpointsUpdated {
            update: news,
            endpoints: lines,
        });
        self.settle();
        for (server, address) in change.new {
            self.outputs
                .push_back(Output::WatchNode { server, address });
        }
        for server in change.gone {
            self.outputs.push_back(Output::UnwatchNode { server });
            self.lose_sessions(server, Micros::MAX, &[]);
            let owed: Vec<_> = self
                .ends
                .keys()
                .filter(|(s, _, _)| *s == server)
                .copied()
                .collect();
            owed.into_iter().for_each(|(server, session, attempt)| {
                self.end_confirmed(server, session, attempt)
            });
        }
    }

    pub(crate) fn on_node_up(&mut self, server: ServerId, asked: Micros, held: &[SessionAttempt]) {
        self.lose_sessions(server, asked, held);
        for SessionAttempt { session, attempt } in held {
            let known = self
                .sessions
                .get(session)
                .filter(|s| s.attempts == attempt + 1);
            let ours = known.is_some_and(|s| match s.stage {
                Stage::Plays { server: at, .. } | Stage::SettingUp { server: at, .. } => {
                    at == server || s.moves_to(server)
                }
                Stage::Deciding | Stage::Leaving { .. } => false,
            });
            let found = self
                .moves
                .as_ref()
                .is_some_and(|m| m.found.contains_key(session));
            if !ours && !found && !self.ends.contains_key(&(server, *session, *attempt)) {
                // One that plays elsewhere may come back here by a later move.
                let upto = known
                    .and_then(|s| s.hand.as_ref())
                    .map(|h| h.handover.latest_epoch());
                self.owe_end(server, *session, *attempt, upto);
            }
        }
    }

    /// Sessions that began to play there before `before`, and that the node does not hold, are lost; and so is what
    /// was ready there for sessions that are handed over.
    pub(crate) fn lose_sessions(
        &mut self,
        server: ServerId,
        before: Micros,
        held: &[SessionAttempt],
    ) {
        let lost: Vec<(SessionId, u32)> = self
            .sessions
            .iter()
            .filter(|(id, s)| {
                let there = match s.stage {
                    Stage::Plays {
                        server: at, since, ..
                    } => (at == server && since < before) || s.ready_at(server, before),
                    _ => false,
                };
                there
                    && !held.contains(&SessionAttempt {
                        session: **id,
                        attempt: s.attempts - 1,
                    })
            })
            .map(|(id, s)| (*id, s.attempts - 1))
            .collect();
        for (session, attempt) in lost {
            if !self.dead(session, server) {
                self.over(session, server, attempt, Outcome::ConnectionReset);
            }
        }
    }

    pub(crate) fn on_told(&mut self, server: ServerId, told: NodeEvent) {
        match told {
            NodeEvent::LoadNotified {
                session,
                delivered_fraction: delivered,
                link_utilization: link,
                uplink_utilization: uplink,
            } => {
                self.figures(session, server, delivered, link, uplink);
            }
            NodeEvent::StreamFetched {
                session,
                attempt,
                epoch,
            } => self.on_fetched(server, session, attempt, epoch),
            NodeEvent::SessionEnded { session, attempt } => {
                let Some(s) = self.sessions.get_mut(&session) else {
                    return;
                };
                if s.attempts != attempt + 1 {
                    return;
                }
                if s.hand.as_ref().is_some_and(|h| h.target.is_some()) && self.dead(session, server)
                {
                    return; // its player has closed one of two streams: the other one may go on
                }
                let Some(s) = self.sessions.get_mut(&session) else {
                    return;
                };
                match &mut s.stage {
                    Stage::SettingUp {
                        server: at, over, ..
                    } if *at == server => *over = true,
                    Stage::Plays { server: at, .. } if *at == server => {
                        self.over(session, server, attempt, Outcome::Success);
                    }
                    Stage::Plays { .. } | Stage::Leaving { .. } => {
                        self.end_confirmed(server, session, attempt);
                    }
                    _ => {}
                }
            }
        }
    }

    /// Figures that a node told on one of the sessions there.
    pub(crate) fn figures(
        &mut self,
        session: SessionId,
        server: ServerId,
        delivered: Option<f64>,
        link: Option<f64>,
        uplink: Option<f64>,
    ) {
        let Some(s) = self.sessions.get(&session) else {
            return;
        };
        if !matches!(s.stage, Stage::Plays { server: at, .. } if at == server) {
            return;
        }
        let attempt = s.attempts - 1 - s.before;
        self.delivers(server, delivered);
        let notes = [
            delivered.map(Notification::DeliveredFraction),
            link.map(Notification::LinkUtilization),
            uplink.map(Notification::UplinkUtilization),
        ];
        for note in notes.into_iter().flatten() {
            self.pending.push_back(Event::Notified {
                session,
                attempt,
                server,
                notification: note,
            });
        }
    }
}
