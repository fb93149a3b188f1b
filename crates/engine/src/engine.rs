//! The session table, and the way from inputs to the director and from its actions to outputs.

use crate::catalogue::Catalogue;
use crate::config::Config;
use crate::input::*;
use crate::moves::{Hand, Moves};
use crate::nodes::Nodes;
use crate::output::*;
use crate::policy::{AdmissionControl, AdmitKnownTenants, DecisionPolicy};
use shalewall::{
    Action, Director, Event, LoadReport, Micros, Outcome, Request, ServerId, SessionId, Timestamp,
};
use shalewall_migration::Epoch;
use shalewall_migration::planner::MigrationPlanner;
use shalewall_timers::Timers;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Where a session stands. Each stage holds just what is true of it.
pub(crate) enum Stage {
    /// The director has it; no attempt is out.
    Deciding,
    /// One attempt is out. `over`: the node told its end before its answer was read.
    SettingUp {
        call: CallId,
        server: ServerId,
        sent: Micros,
        over: bool,
    },
    Plays {
        server: ServerId,
        since: Micros,
        media: String,
    },
    /// Over for the viewer; the director hears `outcome` when the node has confirmed the end, since until then
    /// the node may hold it, and its seat is taken.
    Leaving { server: ServerId, outcome: Outcome },
}

pub(crate) struct Session {
    pub(crate) key: u64,
    pub(crate) request: Request,
    pub(crate) title: String,
    pub(crate) tenant: Option<String>,
    pub(crate) class: String,
    pub(crate) stage: Stage,
    /// Attempts sent; the last one's number is one less.
    pub(crate) attempts: u32,
    /// Of these, how many an earlier process sent: the director counts from there on.
    pub(crate) before: u32,
    /// Gone on with, and its player has not come back to this process yet.
    pub(crate) carried: bool,
    pub(crate) rung: usize,
    /// Rung that the node has confirmed, and the call that tells it of another.
    pub(crate) confirmed: usize,
    pub(crate) telling: Option<CallId>,
    /// Viewer's requests that wait for the answer: more than one where it asked again.
    pub(crate) waiting: Vec<RequestId>,
    /// Ends of its last attempt that nodes have not confirmed, wherever.
    pub(crate) owed: u32,
    /// Its hand-overs; none where its player has never followed.
    pub(crate) hand: Option<Box<Hand>>,
}

/// An end that a node owes.
pub(crate) struct Owed {
    /// The call that is out, and how often it was tried.
    pub(crate) call: Option<CallId>,
    pub(crate) tries: u32,
    /// What it holds under later epochs goes on; none: all ends, and nothing begins any more.
    pub(crate) upto: Option<Epoch>,
}

/// What a call was for.
pub(crate) enum Purpose {
    SetUp(SessionId),
    Rung(SessionId, usize),
    End(ServerId, SessionId, u32),
    Probe(ServerId),
    Prepare(SessionId, ServerId, Epoch),
    Cancel(SessionId, ServerId, Epoch),
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    Director(u64),
    /// The attempt's patience is over.
    Attempt(SessionId, u32),
    /// A probe has not been answered.
    Probe(CallId),
    End(ServerId, SessionId, u32),
    Rung(SessionId),
    Hand(SessionId),
}

/// A probe counts as unanswered after this; the director waits for less.
pub(crate) const PROBE_TIME: Micros = 1_000_000;
/// A call that a node must confirm is tried again after this, doubling up to [`LONGEST_RETRY`].
pub(crate) const RETRY: Micros = 250_000;
pub(crate) const LONGEST_RETRY: Micros = 4_000_000;
/// The wait for one such call.
pub(crate) const CONFIRM_TIME: Micros = 2_000_000;

/// One front's sessions.
pub struct Engine {
    pub(crate) config: Config,
    pub(crate) catalogue: Catalogue,
    pub(crate) director: Box<dyn DecisionPolicy>,
    pub(crate) door: Box<dyn AdmissionControl>,
    pub(crate) now: Micros,
    pub(crate) sessions: BTreeMap<SessionId, Session>,
    pub(crate) by_key: HashMap<u64, SessionId>,
    pub(crate) by_ask: HashMap<RequestId, SessionId>,
    pub(crate) nodes: Nodes,
    pub(crate) calls: HashMap<CallId, Purpose>,
    pub(crate) ends: BTreeMap<(ServerId, SessionId, u32), Owed>,
    pub(crate) moves: Option<Moves>,
    pub(crate) timers: Timers<Timer>,
    /// Events for the director that came up while its actions were carried out.
    pub(crate) pending: VecDeque<Event>,
    pub(crate) outputs: VecDeque<Output>,
    pub(crate) next_session: u64,
    pub(crate) next_call: u64,
}

impl Engine {
    /// `now` is the time of the front's start, on any clock that does not go back.
    pub fn new(config: Config, now: Micros) -> Engine {
        let director = Director::new(
            config.seed,
            config.settings.clone(),
            shalewall::Timestamp::from_micros(now),
        );
        Engine::with_policy(config, Box::new(director), now)
    }

    /// The same under another decider.
    pub fn with_policy(
        mut config: Config,
        director: Box<dyn DecisionPolicy>,
        now: Micros,
    ) -> Engine {
        // Session ids stay below 2^52: 10 bits of the front's number, 14 of its start, 28 that count.
        let number = u64::from(config.settings.director_index & 0x3ff);
        let first = number << 42 | u64::from(config.incarnation & 0x3fff) << 28;
        Engine {
            director,
            door: Box::new(AdmitKnownTenants(config.tenants.clone())),
            catalogue: Catalogue::new(&mut config),
            moves: config
                .migration
                .map(|terms| Moves::new(MigrationPlanner::new(terms, config.seed), now)),
            config,
            now,
            sessions: BTreeMap::new(),
            by_key: HashMap::new(),
            by_ask: HashMap::new(),
            nodes: Nodes::default(),
            calls: HashMap::new(),
            ends: BTreeMap::new(),
            timers: Timers::default(),
            pending: VecDeque::new(),
            outputs: VecDeque::new(),
            next_session: first,
            next_call: 0,
        }
    }

    /// Lets in whom this one does, from now on. For the start: who is in already is not known to it.
    pub fn set_admission_control(&mut self, door: Box<dyn AdmissionControl>) {
        self.door = door;
    }

    /// Takes one input. Inputs of one turn carry the same time.
    pub fn handle(&mut self, now: Micros, input: Input) {
        self.now = now;
        match input {
            Input::RequestReceived {
                request_id: ask,
                request: new,
            } => self.on_asked(ask, new),
            Input::RequestWithdrawn { request_id: ask } => self.on_left(ask),
            Input::EndSession { session } => self.on_ended(session),
            Input::EndpointsUpdated {
                update: news,
                endpoints: lines,
            } => self.on_list(news, lines),
            Input::CallFinished { call, result: done } => self.on_done(call, done),
            Input::NodeSessionsReported { server, sessions } => self.on_holds(server, sessions),
            Input::NodeConnected {
                server,
                requested_at: asked,
                held,
            } => self.on_node_up(server, asked, &held),
            Input::NodeNotified {
                server,
                event: told,
            } => self.on_told(server, told),
            Input::TenantsUpdated(news) => self.on_tenants(news),
            Input::EndTenantSessions { tenant } => self.on_tenant_ended(&tenant),
            Input::NodeDown { server } => {
                self.dies_early(server);
                self.lose_sessions(server, Micros::MAX, &[]);
            }
            Input::PlayerFollowing {
                session,
                playing_epoch: plays,
            } => self.on_follows(session, plays),
            Input::StreamSilent {
                session,
                buffered: buffer,
            } => self.on_silent(session, buffer),
            Input::EpochPlaying { session, epoch } => self.on_playing(session, epoch),
            Input::EpochDeclined { session, epoch } => self.on_declined(session, epoch),
        }
        self.settle();
        self.plan_moves();
    }

    /// Rings what is due.
    pub fn handle_timeout(&mut self, now: Micros) {
        self.now = now;
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Director(token) => self.pending.push_back(Event::TimerFired(token)),
                Timer::Attempt(session, attempt) => self.on_patience(session, attempt),
                Timer::Probe(call) => {
                    if let Some(Purpose::Probe(server)) = self.give_up(call) {
                        self.probed(server, Outcome::TimedOut, LoadReport::default());
                    }
                }
                Timer::End(server, session, attempt) => self.send_end(server, session, attempt),
                Timer::Rung(session) => self.tell_rung(session),
                Timer::Hand(session) => self.on_hand_timer(session),
            }
            self.settle();
        }
        self.look_for_moves();
        self.plan_moves();
    }

    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// When [`Engine::handle_timeout`] is to be called next.
    pub fn poll_timeout(&self) -> Option<Micros> {
        let moves = self
            .moves
            .iter()
            .flat_map(|m| [m.mover.poll_timeout().map(Timestamp::as_micros), m.adopt]);
        self.timers
            .next_due()
            .into_iter()
            .chain(moves.flatten())
            .min()
    }

    pub fn session_counts(&self) -> SessionCounts {
        let mut held = SessionCounts {
            unconfirmed_ends: self.ends.len(),
            ..SessionCounts::default()
        };
        for s in self.sessions.values() {
            held.migrating += usize::from(s.hand.as_ref().is_some_and(|h| h.target.is_some()));
            match s.stage {
                Stage::Deciding | Stage::SettingUp { .. } => held.waiting += 1,
                Stage::Plays { .. } => held.playing += 1,
                Stage::Leaving { .. } => held.leaving += 1,
            }
        }
        held
    }

    /// Sessions of a tenant, `most` at most. Walks all that are held: for people, not for the path of requests.
    pub fn sessions_of(&self, tenant: &str, most: usize) -> Vec<SessionSummary> {
        let of = |s: &&Session| s.tenant.as_deref() == Some(tenant);
        let shown = |s: &Session| SessionSummary {
            session: s.request.session,
            class: s.class.clone(),
            title: s.title.clone(),
            server: match s.stage {
                Stage::Deciding => None,
                Stage::SettingUp { server, .. }
                | Stage::Plays { server, .. }
                | Stage::Leaving { server, .. } => Some(server),
            },
            rung: s.rung,
            is_playing: matches!(s.stage, Stage::Plays { .. }),
        };
        self.sessions
            .values()
            .filter(of)
            .take(most)
            .map(shown)
            .collect()
    }

    /// Feeds the director what is pending, and carries out what it says, until neither is left.
    pub(crate) fn settle(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.pending.pop_front() {
            self.director.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
        }
    }

    pub(crate) fn carry_out(&mut self, action: Action) {
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
            Action::SetRung { session, rung } => {
                if let Some(s) = self.sessions.get_mut(&session) {
                    s.rung = rung;
                    self.tell_rung(session);
                }
            }
            Action::Reject {
                session,
                retry_after: come_back,
            } => self.answer(
                session,
                Answer::Rejected {
                    session: Some(session),
                    retry_after: come_back.map(shalewall::TimeDelta::as_micros),
                },
            ),
            Action::Fail { session } => {
                let late = self.sessions.get(&session).is_some_and(|s| {
                    shalewall::Timestamp::from_micros(self.now)
                        >= s.request.deadline
                            - self.config.settings.limits.min_batch_interval
                            - shalewall::TimeDelta::from_micros(1_000)
                });
                self.answer(
                    session,
                    Answer::Failed {
                        session,
                        is_deadline_exceeded: late,
                    },
                );
            }
            Action::CancelAttempt { session, attempt } => self.recall(session, attempt),
            Action::Redirect { session } => self.on_ended(session),
            Action::SetTimer { after, token } => self.timers.set(
                self.now + after.max(shalewall::TimeDelta::ZERO).as_micros(),
                Timer::Director(token),
            ),
            Action::Migrate {
                session,
                server,
                rung,
            } => self.hand_over(session, server, rung),
            Action::CheckHealth { server } => self.probe(server),
            Action::CloseIdleConnections { server } => self
                .outputs
                .push_back(Output::CloseIdleConnections { server }),
            Action::Log(text) => self.outputs.push_back(Output::Log(text)),
            // The list is pushed, and fronts do not talk to each other yet.
            Action::PollEndpoints | Action::WatchEndpoints(_) | Action::SendToPeer { .. } => {}
        }
    }

    /// Gives a call up, if it is still out.
    pub(crate) fn give_up(&mut self, call: CallId) -> Option<Purpose> {
        let purpose = self.calls.remove(&call)?;
        self.outputs.push_back(Output::CancelCall { call });
        Some(purpose)
    }

    pub(crate) fn call(
        &mut self,
        server: ServerId,
        purpose: Purpose,
        kind: CallKind,
    ) -> Option<CallId> {
        let address = self.nodes.address(server)?;
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.calls.insert(call, purpose);
        self.outputs.push_back(Output::Call {
            call,
            server,
            address,
            kind,
        });
        Some(call)
    }
}

/// A call's end in the words of the rules.
pub(crate) fn outcome(done: &CallResult) -> (Outcome, LoadReport) {
    match done {
        CallResult::NotSent(_) => (Outcome::NotSent, LoadReport::default()),
        CallResult::NotStarted(_) => (Outcome::ConnectionFailed, LoadReport::default()),
        CallResult::MaybeExecuted(_) => (Outcome::ConnectionReset, LoadReport::default()),
        CallResult::Answered {
            status: 200..=299,
            load_report: load,
            ..
        } => (Outcome::Success, *load),
        CallResult::Answered {
            not_started: true,
            load_report: load,
            ..
        } => (Outcome::Rejected, *load),
        CallResult::Answered {
            load_report: load, ..
        } => (Outcome::Error, *load),
    }
}
