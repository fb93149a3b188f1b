//! A baseline policy to compare the decision module with; it is not meant for production.
//!
//! It picks the holder of the title whose link and uplink have the lowest summed utilization. The session gets the
//! requested rung if both stay at or below `PREFERRED_RUNG_LIMIT`, else the class's lowest rung if both stay at or
//! below `LOWEST_RUNG_LIMIT`, else the request is rejected. The policy relies on the utilization that nodes report
//! and has none of the module's special cases, such as slow start of nodes that are warming up.

use shalewall::{
    Action, Endpoint, EndpointState, EndpointUpdate, Event, Idempotency, Notification, Outcome,
    Request, ServerId, SessionId, Settings, Timestamp,
};
use shalewall_engine::DecisionPolicy;
use std::collections::BTreeMap;

/// Highest utilization of a link at which a session may start at its requested rung.
const PREFERRED_RUNG_LIMIT: f64 = 0.85;
/// Highest utilization of a link at which a session may start at its class's lowest rung.
const LOWEST_RUNG_LIMIT: f64 = 0.93;

#[derive(Default)]
struct Link {
    capacity_kb_s: f64,
    utilization: f64,
}

impl Link {
    fn utilization_with(&self, rate_kb_s: f64) -> f64 {
        self.utilization + self.added_utilization(rate_kb_s)
    }

    fn added_utilization(&self, rate_kb_s: f64) -> f64 {
        if self.capacity_kb_s > 0.0 {
            rate_kb_s / self.capacity_kb_s
        } else {
            0.0
        }
    }
}

/// A session from its request to its end: its server and rate (kB a second) and all servers that were attempted.
struct SessionState {
    request: Request,
    placement: Option<(ServerId, f64)>,
    is_playing: bool,
    attempted_servers: Vec<ServerId>,
}

/// Decides by the utilization of links alone.
pub struct BaselinePolicy {
    settings: Settings,
    endpoints: BTreeMap<ServerId, Endpoint>,
    links: BTreeMap<ServerId, Link>,
    uplinks: BTreeMap<u64, Link>,
    sessions: BTreeMap<SessionId, SessionState>,
}

impl BaselinePolicy {
    pub fn new(settings: Settings) -> BaselinePolicy {
        let uplink = |rack| {
            (
                rack,
                Link {
                    capacity_kb_s: settings.rack_uplink_kb_s,
                    utilization: 0.0,
                },
            )
        };
        let uplinks = (0..settings.rack_count).map(uplink).collect();
        BaselinePolicy {
            settings,
            endpoints: BTreeMap::new(),
            links: BTreeMap::new(),
            uplinks,
            sessions: BTreeMap::new(),
        }
    }

    fn rack(&self, server: ServerId) -> Option<u64> {
        self.endpoints
            .get(&server)?
            .cell
            .checked_rem(self.settings.rack_count)
    }

    fn add_load(&mut self, server: ServerId, rate_kb_s: f64) {
        let rack = self.rack(server);
        let links = [
            self.links.get_mut(&server),
            rack.and_then(|r| self.uplinks.get_mut(&r)),
        ];
        links
            .into_iter()
            .flatten()
            .for_each(|link| link.utilization = link.utilization_with(rate_kb_s).max(0.0));
    }

    fn fits(&self, server: ServerId, rate_kb_s: f64, limit: f64) -> bool {
        let uplink = self.rack(server).and_then(|r| self.uplinks.get(&r));
        let links = [self.links.get(&server), uplink];
        links
            .into_iter()
            .flatten()
            .all(|link| link.utilization_with(rate_kb_s) <= limit)
    }

    fn holders(&self, session_state: &SessionState) -> Vec<ServerId> {
        let (request, cells) = (&session_state.request, self.settings.cell_count.max(1));
        let mut holders: Vec<ServerId> = self
            .endpoints
            .values()
            .filter(|endpoint| {
                endpoint.state == EndpointState::Ready
                    && !session_state.attempted_servers.contains(&endpoint.server)
            })
            .filter(|endpoint| {
                (endpoint.cell + cells - request.first_cell % cells) % cells < request.replica_cells
            })
            .map(|endpoint| endpoint.server)
            .collect();
        let total_utilization = |s: &ServerId| {
            let uplink = self
                .rack(*s)
                .and_then(|r| self.uplinks.get(&r))
                .map_or(0.0, |link| link.utilization);
            self.links.get(s).map_or(0.0, |link| link.utilization) + uplink
        };
        holders.sort_by(|a, b| total_utilization(a).total_cmp(&total_utilization(b)));
        holders
    }

    fn place(
        &mut self,
        now: Timestamp,
        mut session_state: SessionState,
        actions: &mut Vec<Action>,
    ) {
        let (session, class) = (session_state.request.session, session_state.request.class);
        let terms = self.settings.classes[class];
        let requested_rung = session_state
            .request
            .highest_rung
            .min(terms.highest_rung)
            .min(self.settings.ladder.len() - 1);
        let same_title = self
            .sessions
            .values()
            .filter(|s| (s.request.title, s.request.class) == (session_state.request.title, class));
        let title_limit_reached = terms.session_limit_per_title > 0
            && same_title.count() >= terms.session_limit_per_title as usize;
        let deadline_near =
            now + self.settings.limits.min_batch_interval >= session_state.request.deadline;
        let attempts_exhausted = session_state.attempted_servers.len() as u32
            >= self.settings.limits.max_attempts.max(1);
        let found = self.holders(&session_state).into_iter().find_map(|s| {
            let preferred = self
                .fits(
                    s,
                    self.settings.rate(class, requested_rung),
                    PREFERRED_RUNG_LIMIT,
                )
                .then_some((s, requested_rung));
            let lowest = || {
                self.fits(
                    s,
                    self.settings.rate(class, terms.lowest_rung),
                    LOWEST_RUNG_LIMIT,
                )
            };
            preferred.or_else(|| lowest().then_some((s, terms.lowest_rung)))
        });
        let Some((server, rung)) =
            found.filter(|_| !title_limit_reached && !deadline_near && !attempts_exhausted)
        else {
            let retry_after = Some(self.settings.limits.max_retry_after);
            return actions.push(Action::Reject {
                session,
                retry_after,
            });
        };
        let rate_kb_s = self.settings.rate(class, rung);
        self.add_load(server, rate_kb_s);
        session_state.attempted_servers.push(server);
        session_state.placement = Some((server, rate_kb_s));
        self.sessions.insert(session, session_state);
        actions.push(Action::SetRung { session, rung });
        actions.push(Action::StartAttempt {
            session,
            server,
            attempt_timeout: None,
        });
    }

    fn record_utilization(&mut self, server: ServerId, notification: Notification) {
        let rack = self.rack(server);
        let (link, utilization) = match notification {
            Notification::LinkUtilization(x) => (self.links.get_mut(&server), x),
            Notification::UplinkUtilization(x) => (rack.and_then(|r| self.uplinks.get_mut(&r)), x),
            Notification::DeliveredFraction(_) | Notification::CurrentRung(_) => return,
        };
        link.into_iter()
            .for_each(|link| link.utilization = utilization);
    }

    fn update_endpoints(&mut self, update: EndpointUpdate, endpoints: Vec<Endpoint>) {
        if matches!(update, EndpointUpdate::Full | EndpointUpdate::Cached) {
            self.endpoints.clear();
        }
        for endpoint in endpoints {
            let capacity_kb_s = self.settings.link_kb_s_per_weight * endpoint.weight;
            self.links.entry(endpoint.server).or_default().capacity_kb_s = capacity_kb_s;
            self.endpoints.insert(endpoint.server, endpoint);
        }
    }
}

impl DecisionPolicy for BaselinePolicy {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsUpdated { update, endpoints } => {
                self.update_endpoints(update, endpoints)
            }
            Event::RequestReceived(request) => {
                let after = request.deadline - self.settings.limits.min_batch_interval - now;
                actions.push(Action::SetTimer {
                    after,
                    token: request.session.0,
                });
                self.place(
                    now,
                    SessionState {
                        request,
                        placement: None,
                        is_playing: false,
                        attempted_servers: Vec::new(),
                    },
                    actions,
                );
            }
            Event::SessionStarted { session, .. } => {
                self.sessions
                    .get_mut(&session)
                    .into_iter()
                    .for_each(|o| o.is_playing = true);
            }
            Event::AttemptFinished {
                session,
                outcome,
                is_answered,
                ..
            } => {
                let Some(session_state) = self.sessions.remove(&session) else {
                    return;
                };
                session_state
                    .placement
                    .into_iter()
                    .for_each(|(server, rate_kb_s)| self.add_load(server, -rate_kb_s));
                let not_started = matches!(
                    outcome,
                    Outcome::Rejected | Outcome::ConnectionFailed | Outcome::NotSent
                );
                if is_answered || session_state.is_playing || outcome == Outcome::Success {
                } else if not_started
                    || self.settings.classes[session_state.request.class].idempotency
                        == Idempotency::Idempotent
                {
                    self.place(now, session_state, actions);
                } else {
                    actions.push(Action::Fail { session });
                }
            }
            Event::Notified {
                server,
                notification,
                ..
            } => self.record_utilization(server, notification),
            Event::TimerFired(token) => {
                let waiting = self
                    .sessions
                    .get(&SessionId(token))
                    .filter(|o| !o.is_playing);
                if let Some(session_state) = waiting {
                    actions.push(Action::CancelAttempt {
                        session: session_state.request.session,
                        attempt: session_state.attempted_servers.len() as u32 - 1,
                    });
                    actions.push(Action::Fail {
                        session: session_state.request.session,
                    });
                }
            }
            Event::SettingsUpdated { classes, tenants } => {
                (self.settings.classes, self.settings.tenants) = (classes, tenants)
            }
            // The baseline migrates no sessions.
            Event::SessionTransferred(..)
            | Event::RequestWithdrawn(_)
            | Event::HealthCheckFinished { .. }
            | Event::PeerMessage { .. } => {}
            Event::MigrationRequested(_)
            | Event::MigrationFinished { .. }
            | Event::ServerSilent(_) => {}
        }
    }
}
