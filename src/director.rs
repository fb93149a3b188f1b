//! The director: a state machine that takes timestamped events and returns actions.
//!
//! This file owns the state and dispatches each event; the files under `src/director` apply one kind of event
//! each. Decisions and their constants are in `src/policy` alone.

mod endpoints;
mod health_checks;
mod migrations;
mod reports;
mod requests;

use crate::interface::{Action, Event, ServerId, SessionId, Settings};
use crate::policy::capacity_estimate::OWN_CHANGES_RETENTION;
use crate::policy::downgrades::RECONSIDER_INTERVAL;
use crate::policy::health::STALL_RECOVERY_TIME;
use crate::policy::retries::INITIAL_SETUP_TIME_US;
use crate::policy::timers::TICK_INTERVAL;
use crate::state::attempts::{AttemptHistory, FinishedAttempt, SetupTime};
use crate::state::demand::Demand;
use crate::state::fleet_load::FleetLoad;
use crate::state::link_estimate::LinkEstimate;
use crate::state::records::ReportSource;
use crate::state::servers::Server;
use crate::state::sessions::{ActiveSession, SessionIndex, SessionState};
use crate::time::{TimeDelta, Timestamp};
use endpoints::EndpointWatch;
use health_checks::AwaitingChecks;
use std::collections::BTreeMap;

/// Token of the periodic timer. Timers of requests use the session id, which is below 2^52.
pub(crate) const TICK_TOKEN: u64 = u64::MAX;

/// Decides for one director process. Pass it every event in order, with the time.
#[derive(Default)]
pub struct Director {
    pub(crate) settings: Settings,
    pub(crate) seed: u64,
    pub(crate) started_at: Timestamp,
    /// Time of the event that is being handled.
    pub(crate) now: Timestamp,
    /// Actions in response to it.
    pub(crate) actions: Vec<Action>,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// Estimates of the racks' uplinks, by rack.
    pub(crate) uplinks: BTreeMap<u64, LinkEstimate>,
    pub(crate) sessions: SessionIndex,
    awaiting_checks: BTreeMap<SessionId, AwaitingChecks>,
    pub(crate) attempts: AttemptHistory,
    pub(crate) setup_time: SetupTime,
    pub(crate) demand: Demand,
    pub(crate) fleet_load: FleetLoad,
    endpoint_watch: EndpointWatch,
    /// When the periodic timer last fired long after it was due, which shows that this process was stalled.
    pub(crate) stalled_at: Timestamp,
    /// When the periodic timer is due; `None` before the first event.
    pub(crate) tick_due: Option<Timestamp>,
}

impl Director {
    /// A director without endpoints or sessions. `now` is the time of its start.
    pub fn new(seed: u64, settings: Settings, now: Timestamp) -> Director {
        Director {
            settings,
            seed,
            started_at: now,
            stalled_at: now - STALL_RECOVERY_TIME,
            setup_time: SetupTime { mean_us: INITIAL_SETUP_TIME_US },
            ..Director::default()
        }
    }

    /// Handles one event and appends the resulting actions to `out`, in order of execution.
    pub fn handle(&mut self, now: Timestamp, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        if self.tick_due.is_none() {
            self.set_tick();
        }
        self.detect_stall();
        self.dispatch(event);
        self.watch_endpoints();
        out.append(&mut self.actions);
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::EndpointsUpdated { update, endpoints } => self.update_endpoints(update, endpoints),
            Event::RequestReceived(request) => self.receive_request(request),
            Event::SessionTransferred(request, server) => self.adopt_session(request, server),
            Event::SessionStarted { session, attempt, server, setup_time } => {
                self.record_start(session, attempt.wrapping_add(1), server, setup_time);
            }
            Event::AttemptFinished { session, attempt, server, outcome, is_answered, load_report } => {
                self.record_load(server, load_report, ReportSource::Answer);
                let attempts = attempt.wrapping_add(1);
                self.finish_attempt(FinishedAttempt { session, attempts, outcome, is_answered });
            }
            Event::Notified { session, server, notification, .. } => {
                self.record_notification(session, server, notification);
            }
            Event::RequestWithdrawn(session) => {
                self.awaiting_checks.remove(&session);
                self.sessions.update(session, |s| s.state = SessionState::Closed);
            }
            Event::TimerFired(TICK_TOKEN) => {
                self.set_tick();
                self.run_periodic_tasks();
            }
            Event::TimerFired(token) => self.handle_deadline(SessionId(token)),
            Event::HealthCheckFinished { server, outcome, load_report } => {
                self.record_load(server, load_report, ReportSource::Answer);
                self.finish_health_check(server, outcome);
            }
            Event::MigrationRequested(session) => self.start_migration(session),
            Event::MigrationFinished { session, migrated } => self.finish_migration(session, migrated),
            Event::ServerSilent(server) => self.record_health(server, false),
            Event::SettingsUpdated { classes, tenants } => {
                self.settings.classes = classes;
                self.settings.tenants = tenants;
            }
            Event::PeerMessage { .. } => {}
        }
    }

    fn set_tick(&mut self) {
        self.tick_due = Some(self.now + TICK_INTERVAL);
        self.actions.push(Action::SetTimer { after: TICK_INTERVAL, token: TICK_TOKEN });
    }

    /// Sets a timer whose token is the session's id.
    pub(crate) fn set_session_timer(&mut self, session: SessionId, after: TimeDelta) {
        self.actions.push(Action::SetTimer { after, token: session.0 });
    }

    /// Adds a session and counts its rate. A tenant without a quota is recorded as no tenant.
    pub(crate) fn add_session(&mut self, mut session: ActiveSession) {
        let tenant = &mut session.pending.request.tenant;
        *tenant = tenant.filter(|tenant| self.settings.fleet_quota(*tenant).is_some());
        self.adjust_own_rate(session.server, session.rate_kb_s);
        self.sessions.insert(session);
    }

    /// Records that a set-up is sent to a server, for its warm-up limit.
    pub(crate) fn record_set_up(&mut self, server: ServerId) {
        let (now, window) = (self.now, self.settings.rules.overload_window);
        let server = self.servers.get_mut(&server);
        server.into_iter().for_each(|server| server.recent_set_ups.record(now, window));
    }

    /// Records a playing session's new rung and rate. Unknown rungs and sessions that do not play are
    /// ignored.
    pub(crate) fn apply_rung(&mut self, id: SessionId, rung: usize) {
        let is_applicable = |s: &&ActiveSession| s.is_playing() && rung < self.settings.ladder.len();
        let Some(session) = self.sessions.get(id).filter(is_applicable) else { return };
        let rate_kb_s = self.settings.rate(session.pending.request.class, rung);
        let server = session.server;
        let change = rate_kb_s - session.rate_kb_s;
        self.sessions.update(id, |s| {
            s.rung = rung;
            s.rate_kb_s = rate_kb_s;
        });
        self.adjust_own_rate(server, change);
    }

    /// Adds `kb_s`, which may be negative, to the rate of this director's sessions at a server and on its
    /// uplink.
    pub(crate) fn adjust_own_rate(&mut self, server: ServerId, kb_s: f64) {
        let now = self.now;
        let estimates = self.estimates_mut(server).into_iter().flatten();
        estimates.for_each(|estimate| estimate.adjust_own_rate(now, kb_s, OWN_CHANGES_RETENTION));
    }

    /// The estimates of a server's link and of its rack's uplink, where they exist.
    pub(crate) fn estimates_mut(&mut self, server: ServerId) -> [Option<&mut LinkEstimate>; 2] {
        let Some(server) = self.servers.get_mut(&server) else { return [None, None] };
        let rack = self.settings.rack_of_cell(server.endpoint.cell);
        let capacity_kb_s = self.settings.uplink_capacity_kb_s();
        let new = || LinkEstimate::with_capacity(capacity_kb_s);
        let uplink = rack.map(|rack| self.uplinks.entry(rack).or_insert_with(new));
        [Some(&mut server.link), uplink]
    }

    /// The estimate of the uplink of a server's rack; `None` until a session or a report has created it.
    pub(crate) fn uplink_of(&self, server: &Server) -> Option<&LinkEstimate> {
        self.uplinks.get(&self.settings.rack_of_cell(server.endpoint.cell)?)
    }

    /// The server itself and, if `rack` is given, all servers of that rack.
    pub(crate) fn servers_sharing(&self, server: &Server, rack: Option<u64>) -> Vec<ServerId> {
        let is_in_rack =
            |other: &Server| rack.is_some() && self.settings.rack_of_cell(other.endpoint.cell) == rack;
        let is_same = |other: &Server| other.endpoint.server == server.endpoint.server;
        let servers = self.servers.values().filter(|other| is_in_rack(other) || is_same(other));
        servers.map(|other| other.endpoint.server).collect()
    }

    /// Changes the rung of a playing session, which is not reconsidered within [`RECONSIDER_INTERVAL`].
    pub(crate) fn change_rung(&mut self, session: SessionId, rung: usize) {
        let reconsider_at = self.now + RECONSIDER_INTERVAL;
        self.sessions.update(session, |s| s.reconsider_at = reconsider_at);
        self.apply_rung(session, rung);
        self.actions.push(Action::SetRung { session, rung });
    }
}
