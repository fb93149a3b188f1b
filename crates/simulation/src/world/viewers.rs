//! Viewers: arrival, requests, retries, playing and departure.

use super::*;
use shalewall::TimeDelta;

impl World<'_> {
    /// Updates the totals of all viewers and of the viewer's tenant.
    pub(super) fn update_viewer_totals(
        &mut self,
        viewer: usize,
        update: impl Fn(&mut ViewerTotals),
    ) {
        self.result
            .totals
            .viewer_totals
            .update(self.viewers[viewer].tenant.as_deref(), update);
    }

    pub(super) fn viewer_arrives(&mut self, stream: usize) {
        let tenant = self.population.tenants.get(stream).cloned();
        let tenant_factor = tenant
            .as_ref()
            .and_then(|(name, _)| self.tenant_arrival_factors.get(name))
            .unwrap_or(&1.0);
        let tenant_rate = tenant.as_ref().map_or(1.0, |(_, rate)| *rate) * tenant_factor;
        let extra_arrivals = self
            .extra_arrivals
            .as_ref()
            .map_or(0.0, |(_, factor)| *factor);
        let all_arrivals = self.arrival_factor + extra_arrivals;
        let rng = &mut self.arrival_rngs[stream];
        let gap = self
            .population
            .time_to_next_arrival(all_arrivals * tenant_rate, rng)
            .as_micros() as Micros;
        let extra_interest = self
            .extra_arrivals
            .as_ref()
            .map(|(interest, _)| (interest, extra_arrivals / all_arrivals));
        let profile = self.population.draw_viewer(extra_interest, rng);
        let director = (rng.random::<f64>() * self.engines.len() as f64) as usize;
        self.schedule_after(gap, ScheduledEvent::ViewerArrives(stream));
        let watch_time = profile.watch_time.as_micros() as Micros;
        *self
            .demand
            .entry((self.classes[profile.class], profile.highest_rung))
            .or_default() += 1;
        let viewer = self.viewers.len();
        let departs_at = self.now + watch_time;
        let tenant = tenant.map(|(name, _)| name);
        let remaining_day = Duration::from_micros(
            (micros_from_millis(self.plan.day.seconds * 1000.0) - self.now).max(0) as u64,
        );
        let worth_offered = self.population.worth_offered(&profile, remaining_day);
        let new = Viewer {
            profile,
            tenant,
            departs_at,
            director,
            requests_sent: 0,
            was_rejected: false,
            has_played: false,
        };
        self.viewers.push(new);
        self.update_viewer_totals(viewer, |t| {
            (t.viewers, t.viewers_unserved) = (t.viewers + 1, t.viewers_unserved + 1)
        });
        // `World::observe` adds the worth offered by all viewers together, at the same time as the bound.
        let tenant = self.viewers[viewer].tenant.as_ref();
        let totals_by_tenant = &mut self.result.totals.viewer_totals.tenants;
        tenant
            .and_then(|t| totals_by_tenant.get_mut(t))
            .into_iter()
            .for_each(|t| t.worth_offered += worth_offered);
        self.schedule_after(watch_time, ScheduledEvent::ViewerDeparts(viewer));
        self.send_request(viewer);
    }

    pub(super) fn send_request(&mut self, viewer: usize) {
        let v = &mut self.viewers[viewer];
        if self.now >= v.departs_at {
            return;
        }
        let (at, director) = (self.now as f64 / 1e6, v.director);
        self.update_viewer_totals(viewer, |t| t.requested += 1);
        self.result.totals.interval(at).requested += 1;
        if self.engines[director].is_none() {
            self.update_viewer_totals(viewer, |t| t.unanswered += 1);
            return self.schedule_retry(viewer, None);
        }
        let v = &mut self.viewers[viewer];
        let duration_hint = (v.departs_at - self.now) as f64 * self.population.hint_factor;
        let request = SessionRequest {
            viewer_key: v.profile.key.clone(),
            class: self.population.classes[v.profile.class].name.clone(),
            title: v.profile.title.clone(),
            duration_hint: (duration_hint > 0.0)
                .then_some(TimeDelta::from_micros(duration_hint as Micros)),
            highest_rung: Some(v.profile.highest_rung),
            is_retry: v.requests_sent > 0,
            tenant: v.tenant.clone(),
            ..SessionRequest::default()
        };
        v.requests_sent += 1;
        let request_id = self.next_request_id;
        self.next_request_id += 1;
        self.pending_requests.insert(request_id, viewer);
        self.deliver_input(
            director,
            Input::RequestReceived {
                request_id: RequestId(request_id),
                request,
            },
        );
    }

    /// Schedules a retry of a viewer that was rejected, got no answer or lost its session. Part of the viewers give up;
    /// half of the others send the retry to the next director.
    pub(super) fn schedule_retry(&mut self, viewer: usize, pause: Option<Micros>) {
        if self.rng.random::<f64>() >= self.population.retry_fraction {
            return;
        }
        let pause = pause.unwrap_or(self.population.retry_pause.as_micros() as Micros) as f64;
        let pause = pause * (0.5 + self.rng.random::<f64>());
        if self.rng.random::<f64>() < 0.5 {
            let v = &mut self.viewers[viewer];
            v.director = (v.director + 1) % self.engines.len();
        }
        self.schedule_after(pause as Micros, ScheduledEvent::SendRequest(viewer));
    }

    pub(super) fn on_answer(&mut self, request_id: u64, answer: Answer) {
        let Some(viewer) = self.pending_requests.remove(&request_id) else {
            return;
        };
        let at = self.seconds();
        let v = &mut self.viewers[viewer];
        match answer {
            Answer::Playing { session, .. } => {
                let Some((node, attempt_id)) = self.completed_setups.remove(&session.0) else {
                    return;
                };
                let remaining_watch_time = v.departs_at - self.now;
                let first = u64::from(!std::mem::replace(&mut v.has_played, true));
                self.update_viewer_totals(viewer, |t| {
                    (t.played, t.viewers_unserved) = (t.played + 1, t.viewers_unserved - first)
                });
                self.playing_sessions.insert(
                    session.0,
                    PlayingSession {
                        viewer,
                        node,
                        attempt_id,
                        started_at: self.now,
                    },
                );
                if !self.fleet.nodes[&node].playing.contains_key(&attempt_id) {
                    return self.finish_session(session.0, true); // The node died before its answer arrived.
                }
                self.schedule_after(
                    remaining_watch_time,
                    ScheduledEvent::StopWatching(session.0, false),
                );
            }
            Answer::Rejected { retry_after, .. } => {
                let first = u64::from(!std::mem::replace(&mut v.was_rejected, true));
                self.update_viewer_totals(viewer, |t| {
                    (t.rejected, t.viewers_rejected) = (t.rejected + 1, t.viewers_rejected + first)
                });
                self.result.totals.interval(at).rejected += 1;
                self.schedule_retry(viewer, retry_after.map(TimeDelta::as_micros));
            }
            Answer::Failed { .. } | Answer::Unknown(_) | Answer::Conflict(_) => {
                self.update_viewer_totals(viewer, |t| t.failed += 1);
            }
        }
    }

    /// A viewer ends its session at the node, which notifies the director.
    pub(super) fn stop_watching(&mut self, session: u64, abandoned: bool) {
        let Some(playing_session) = self.playing_sessions.get(&session) else {
            return;
        };
        let (node, attempt_id) = (playing_session.node, playing_session.attempt_id);
        let director = self.fleet.nodes[&node]
            .playing
            .get(&attempt_id)
            .map(|p| p.director);
        self.fleet.end_session(node, attempt_id);
        if let Some(director) = director {
            let node_event = NodeEvent::SessionEnded {
                session: SessionId(session),
                attempt: attempt_id.attempt,
            };
            self.schedule_after(
                NETWORK_DELAY,
                ScheduledEvent::DeliverInput(
                    director as usize,
                    Input::NodeNotified {
                        server: ServerId(node),
                        event: node_event,
                    },
                ),
            );
        }
        self.finish_session(session, abandoned);
    }

    /// A session is over for its viewer. If it was interrupted before the end of the viewer's watch time, the viewer
    /// may retry.
    pub(super) fn finish_session(&mut self, session: u64, interrupted: bool) {
        let Some(playing_session) = self.playing_sessions.remove(&session) else {
            return;
        };
        if interrupted && self.viewers[playing_session.viewer].departs_at > self.now {
            self.update_viewer_totals(playing_session.viewer, |t| t.broken += 1);
            self.schedule_retry(playing_session.viewer, None);
        }
    }
}
