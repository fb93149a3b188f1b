//! The state machine: takes inputs and timeouts, coordinates the modules that own its state, and queues outputs.
//!
//! Each submodule has one concern. `Engine::dispatch` passes an input to the submodule that handles it. Events for
//! the decision module are queued in `Engine::events`; the submodule `actions` passes them on and carries out the
//! resulting actions.

mod actions;
mod attempts;
mod calls;
mod endpoints;
mod ends;
mod health_checks;
mod migration_plan;
mod migration_protocol;
mod nodes;
mod players;
mod recovery;
mod requests;
mod rungs;
mod session_end;
mod tenants;
mod timer;

use crate::call_table::CallTable;
use crate::catalogue::Catalogue;
use crate::config::Config;
use crate::input::Input;
use crate::migrations::Migrations;
use crate::node_table::NodeTable;
use crate::output::{Output, SessionCounts, SessionSummary};
use crate::pending_ends::PendingEnds;
use crate::policy::{AdmissionControl, AdmitKnownTenants, DecisionPolicy};
use crate::recovery::Recovery;
use crate::session_table::SessionTable;
use shalewall::{Director, Event, Timestamp};
use shalewall_timers::Timers;
use std::collections::VecDeque;
use timer::Timer;

/// The sessions of one director.
pub struct Engine {
    config: Config,
    policy: Box<dyn DecisionPolicy>,
    admission: Box<dyn AdmissionControl>,
    /// The time of the input or timeout that is being handled.
    now: Timestamp,
    catalogue: Catalogue,
    sessions: SessionTable,
    nodes: NodeTable,
    calls: CallTable,
    pending_ends: PendingEnds,
    /// `None` if migrations are disabled.
    migrations: Option<Migrations>,
    /// `None` if migrations are disabled: sessions of an earlier process are then ended.
    recovery: Option<Recovery>,
    timers: Timers<Timer, Timestamp>,
    /// Events that have not been passed to the decision module yet.
    events: VecDeque<Event>,
    outputs: VecDeque<Output>,
}

impl Engine {
    /// Creates an engine with the decision module as its policy. `now` is the time of its start, on any monotonic
    /// clock.
    pub fn new(config: Config, now: Timestamp) -> Engine {
        let director = Director::new(config.seed, config.settings.clone(), now);
        Engine::with_policy(config, Box::new(director), now)
    }

    /// Creates an engine with another policy.
    pub fn with_policy(
        mut config: Config,
        policy: Box<dyn DecisionPolicy>,
        now: Timestamp,
    ) -> Engine {
        let migrations = config
            .migration
            .map(|policy| Migrations::new(policy, config.seed));
        let recovery = config.migration.map(|_| Recovery::new(now));
        let director = config.settings.director_index;
        Engine {
            admission: Box::new(AdmitKnownTenants(config.tenants.clone())),
            catalogue: Catalogue::new(&mut config),
            sessions: SessionTable::new(director, config.incarnation),
            config,
            policy,
            now,
            nodes: NodeTable::default(),
            calls: CallTable::default(),
            pending_ends: PendingEnds::default(),
            migrations,
            recovery,
            timers: Timers::default(),
            events: VecDeque::new(),
            outputs: VecDeque::new(),
        }
    }

    /// Sets the admission control. It has to be set before the first request, since it is not informed of requests that
    /// were admitted before.
    pub fn set_admission_control(&mut self, admission: Box<dyn AdmissionControl>) {
        self.admission = admission;
    }

    /// Handles one input. Inputs that are handled in one turn of the event loop carry the same time.
    pub fn handle(&mut self, now: Timestamp, input: Input) {
        self.now = now;
        self.dispatch(input);
        self.run_policy();
        self.plan_migrations();
    }

    fn dispatch(&mut self, input: Input) {
        match input {
            Input::RequestReceived {
                request_id,
                request,
            } => self.request_received(request_id, request),
            Input::RequestWithdrawn { request_id } => self.request_withdrawn(request_id),
            Input::EndSession { session } => self.end_session(session),
            Input::EndpointsUpdated { update, endpoints } => {
                self.endpoints_updated(update, &endpoints);
            }
            Input::CallFinished { call, result } => self.call_finished(call, result),
            Input::NodeSessionsReported { server, sessions } => {
                self.node_sessions_reported(server, sessions);
            }
            Input::NodeConnected {
                server,
                requested_at,
                held,
            } => self.node_connected(server, requested_at, &held),
            Input::NodeNotified { server, event } => self.node_notified(server, event),
            Input::NodeDown { server } => self.node_down(server),
            Input::TenantsUpdated(updates) => self.tenants_updated(updates),
            Input::EndTenantSessions { tenant } => self.end_tenant_sessions(&tenant),
            Input::PlayerSubscription {
                session,
                playing_epoch: Some(epoch),
            } => self.player_subscribed(session, epoch),
            Input::PlayerSubscription {
                session,
                playing_epoch: None,
            } => self.player_unsubscribed(session),
            Input::StreamSilent { session, buffered } => self.stream_silent(session, buffered),
            Input::EpochPlaying { session, epoch } => self.epoch_playing(session, epoch),
            Input::EpochDeclined { session, epoch } => self.epoch_declined(session, epoch),
        }
    }

    /// Fires the timers that are due, resumes recovered sessions and plans migrations.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        self.now = now;
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Policy(token) => self.events.push_back(Event::TimerFired(token)),
                Timer::AttemptTimeout { session, attempt } => {
                    self.attempt_timed_out(session, attempt);
                }
                Timer::HealthCheckTimeout(call) => self.health_check_timed_out(call),
                Timer::SendEnd(key) => self.send_end(key),
                Timer::SendRung(session) => self.send_rung(session),
                Timer::Migration(session) => self.migration_timer_fired(session),
            }
            self.run_policy();
        }
        self.recover_if_due();
        if let Some(migrations) = &mut self.migrations {
            migrations.handle_timeout(now);
        }
        self.plan_migrations();
    }

    /// Returns the next output. Call it until it returns `None`.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// The time at which [`Engine::handle_timeout`] is due.
    pub fn poll_timeout(&self) -> Option<Timestamp> {
        let migrations = self.migrations.as_ref().and_then(Migrations::poll_timeout);
        let recovery = self.recovery.as_ref().and_then(Recovery::poll_timeout);
        let all = [self.timers.next_due(), migrations, recovery];
        all.into_iter().flatten().min()
    }

    /// Session counts by stage.
    pub fn session_counts(&self) -> SessionCounts {
        SessionCounts {
            unconfirmed_ends: self.pending_ends.len(),
            ..self.sessions.counts()
        }
    }

    /// At most `limit` sessions of a tenant. Iterates over all sessions: meant for operators' queries, not for the
    /// request path.
    pub fn tenant_sessions(&self, tenant: &str, limit: usize) -> Vec<SessionSummary> {
        self.sessions.of_tenant(tenant, limit)
    }
}
