//! Viewers: they come, ask, come again, watch and leave.

use super::*;
use shalewall::TimeDelta;

impl World<'_> {
    /// Enters something of one viewer.
    pub(super) fn tally(&mut self, viewer: usize, what: impl Fn(&mut ViewerTotals)) {
        self.result
            .count
            .tallies
            .update(self.viewers[viewer].tenant.as_deref(), what);
    }

    pub(super) fn arrive(&mut self, stream: usize) {
        let tenant = self.crowd.tenants.get(stream).cloned();
        let burst = tenant
            .as_ref()
            .and_then(|(name, _)| self.bursts.get(name))
            .unwrap_or(&1.0);
        let times = tenant.as_ref().map_or(1.0, |(_, times)| *times) * burst;
        let extra = self.extra.as_ref().map_or(0.0, |(_, part)| *part);
        let all = self.burst + extra;
        let dice = &mut self.arrivals[stream];
        let gap = self
            .crowd
            .time_to_next_arrival(all * times, dice)
            .as_micros() as Micros;
        let extra = self.extra.as_ref().map(|(draw, _)| (draw, extra / all));
        let person = self.crowd.draw_viewer(extra, dice);
        let front = (dice.random::<f64>() * self.engines.len() as f64) as usize;
        self.later(gap, Due::Arrive(stream));
        let span = person.watch_time.as_micros() as Micros;
        *self
            .wanting
            .entry((self.classes[person.class], person.highest_rung))
            .or_default() += 1;
        let viewer = self.viewers.len();
        let until = self.now + span;
        let tenant = tenant.map(|(name, _)| name);
        let within = Duration::from_micros(
            (micros_from_millis(self.plan.day.seconds * 1000.0) - self.now).max(0) as u64,
        );
        let wanted = self.crowd.worth_offered(&person, within);
        let new = Viewer {
            person,
            tenant,
            until,
            front,
            asks: 0,
            refused: false,
            played: false,
        };
        self.viewers.push(new);
        self.tally(viewer, |t| {
            (t.viewers, t.viewers_unserved) = (t.viewers + 1, t.viewers_unserved + 1)
        });
        // Of all viewers what is wanted is summed up as time passes, beside the bound.
        let tenant = self.viewers[viewer].tenant.as_ref();
        let tallies = &mut self.result.count.tallies.tenants;
        tenant
            .and_then(|t| tallies.get_mut(t))
            .into_iter()
            .for_each(|t| t.worth_offered += wanted);
        self.later(span, Due::Gone(viewer));
        self.ask(viewer);
    }

    pub(super) fn ask(&mut self, viewer: usize) {
        let v = &mut self.viewers[viewer];
        if self.now >= v.until {
            return;
        }
        let (at, front) = (self.now as f64 / 1e6, v.front);
        self.tally(viewer, |t| t.requested += 1);
        self.result.count.span(at).asked += 1;
        if self.engines[front].is_none() {
            self.tally(viewer, |t| t.unanswered += 1);
            return self.again(viewer, None);
        }
        let v = &mut self.viewers[viewer];
        let left = (v.until - self.now) as f64 * self.crowd.hint_factor;
        let new = SessionRequest {
            viewer_key: v.person.key.clone(),
            class: self.crowd.classes[v.person.class].name.clone(),
            title: v.person.title.clone(),
            duration_hint: (left > 0.0).then_some(TimeDelta::from_micros(left as Micros)),
            highest_rung: Some(v.person.highest_rung),
            is_retry: v.asks > 0,
            tenant: v.tenant.clone(),
            ..SessionRequest::default()
        };
        v.asks += 1;
        let ask = self.next_ask;
        self.next_ask += 1;
        self.asks.insert(ask, viewer);
        self.tell(
            front,
            Input::RequestReceived {
                request_id: RequestId(ask),
                request: new,
            },
        );
    }

    /// Turned away, failed or broken off: most come again, to the next front half of the time.
    pub(super) fn again(&mut self, viewer: usize, pause: Option<Micros>) {
        if self.dice.random::<f64>() >= self.crowd.retry_fraction {
            return;
        }
        let pause = pause.unwrap_or(self.crowd.retry_pause.as_micros() as Micros) as f64;
        let pause = pause * (0.5 + self.dice.random::<f64>());
        if self.dice.random::<f64>() < 0.5 {
            let v = &mut self.viewers[viewer];
            v.front = (v.front + 1) % self.engines.len();
        }
        self.later(pause as Micros, Due::Ask(viewer));
    }

    pub(super) fn on_answer(&mut self, ask: u64, answer: Answer) {
        let Some(viewer) = self.asks.remove(&ask) else {
            return;
        };
        let at = self.seconds();
        let v = &mut self.viewers[viewer];
        match answer {
            Answer::Playing { session, .. } => {
                let Some((node, run)) = self.began.remove(&session.0) else {
                    return;
                };
                let left = v.until - self.now;
                let first = u64::from(!std::mem::replace(&mut v.played, true));
                self.tally(viewer, |t| {
                    (t.played, t.viewers_unserved) = (t.played + 1, t.viewers_unserved - first)
                });
                self.shown.insert(
                    session.0,
                    Shown {
                        viewer,
                        node,
                        run,
                        since: self.now,
                    },
                );
                if !self.fleet.nodes[&node].playing.contains_key(&run) {
                    return self.hide(session.0, true); // the node died while it answered
                }
                self.later(left, Due::Leave(session.0, false));
            }
            Answer::Rejected {
                retry_after: come_back,
                ..
            } => {
                let first = u64::from(!std::mem::replace(&mut v.refused, true));
                self.tally(viewer, |t| {
                    (t.rejected, t.viewers_rejected) = (t.rejected + 1, t.viewers_rejected + first)
                });
                self.result.count.span(at).refused += 1;
                self.again(viewer, come_back.map(TimeDelta::as_micros));
            }
            Answer::Failed { .. } | Answer::Unknown(_) | Answer::Conflict(_) => {
                self.tally(viewer, |t| t.failed += 1);
            }
        }
    }

    /// A viewer ends its session at the node; the front hears of it from there.
    pub(super) fn leave(&mut self, session: u64, poor: bool) {
        let Some(shown) = self.shown.get(&session) else {
            return;
        };
        let (node, run) = (shown.node, shown.run);
        let director = self.fleet.nodes[&node]
            .playing
            .get(&run)
            .map(|p| p.director);
        self.fleet.end_session(node, run);
        if let Some(d) = director {
            let told = NodeEvent::SessionEnded {
                session: SessionId(session),
                attempt: run.attempt,
            };
            self.later(
                NET,
                Due::Tell(
                    d as usize,
                    Input::NodeNotified {
                        server: ServerId(node),
                        event: told,
                    },
                ),
            );
        }
        self.hide(session, poor);
    }

    /// A session is over for its viewer. `broke`: it had wanted more, and may come again.
    pub(super) fn hide(&mut self, session: u64, broke: bool) {
        let Some(shown) = self.shown.remove(&session) else {
            return;
        };
        if broke && self.viewers[shown.viewer].until > self.now {
            self.tally(shown.viewer, |t| t.broken += 1);
            self.again(shown.viewer, None);
        }
    }
}
