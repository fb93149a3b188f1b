//! Sessions handed over to other nodes while they play. When is the mover's to say, where to and at which rung the
//! director's, and how the protocol's (`shalewall-migration`): here they are put together with calls and timers.

use crate::engine::*;
use crate::input::*;
use crate::output::*;
use shalewall::{EndpointState, Event, Micros, ServerId, SessionId, TimeDelta, Timestamp};
use shalewall_migration::Epoch;
use shalewall_migration::coordinator::{self, MigrationCoordinator};
use shalewall_migration::node::CancelOutcome;
use shalewall_migration::planner::{MigrationPlanner, MigrationReason};
use std::collections::{BTreeMap, BTreeSet};

/// A front that begins anew hears what nodes hold for so long, or until all have told, before it goes on with it.
const ADOPT: Micros = 500_000;
/// The director hears of a silent node again after this, while it lasts.
const SILENT_AGAIN: Micros = 1_000_000;

/// All hand-overs of a front.
pub(crate) struct Moves {
    pub mover: MigrationPlanner,
    /// Something has happened that the mover may want a move for.
    news: bool,
    silent: BTreeMap<ServerId, Micros>,
    /// What nodes hold of an earlier process, until it is gone on with: by then all nodes that run have told.
    pub found: BTreeMap<SessionId, Vec<(ServerId, TransferredSession)>>,
    /// When that is, at the latest; and those whose players follow already.
    pub adopt: Option<Micros>,
    pub early: BTreeMap<SessionId, Epoch>,
    /// Nodes that have told, and those that have died meanwhile.
    pub told: BTreeSet<ServerId>,
    pub died: BTreeSet<ServerId>,
    /// Why a session is to be moved that the director is being asked about.
    asked: Option<(SessionId, MigrationReason)>,
}

impl Moves {
    pub fn new(mover: MigrationPlanner, now: Micros) -> Moves {
        Moves {
            mover,
            news: false,
            silent: BTreeMap::new(),
            found: BTreeMap::new(),
            adopt: Some(now + ADOPT),
            early: BTreeMap::new(),
            told: BTreeSet::new(),
            died: BTreeSet::new(),
            asked: None,
        }
    }
}

/// One session's hand-overs.
pub(crate) struct Hand {
    pub handover: MigrationCoordinator,
    /// Its player hears offers.
    pub follows: bool,
    /// Where it is being handed over to.
    pub target: Option<Target>,
    /// When its timer rings.
    pub rings: Option<Micros>,
}

pub(crate) struct Target {
    pub server: ServerId,
    pub rung: usize,
    pub media: Option<String>,
    /// Since when it is ready there.
    pub ready: Option<Micros>,
    pub call: Option<CallId>,
    pub began: Micros,
    pub why: MigrationReason,
}

impl Session {
    pub(crate) fn moves_to(&self, server: ServerId) -> bool {
        let target = self.hand.as_ref().and_then(|h| h.target.as_ref());
        target.is_some_and(|t| t.server == server)
    }

    pub(crate) fn ready_at(&self, server: ServerId, before: Micros) -> bool {
        let target = self
            .hand
            .as_ref()
            .and_then(|h| h.target.as_ref())
            .filter(|t| t.server == server);
        target.and_then(|t| t.ready).is_some_and(|t| t < before)
    }
}

impl Engine {
    fn hand(&mut self, session: SessionId) -> Option<&mut Hand> {
        self.sessions.get_mut(&session)?.hand.as_deref_mut()
    }

    // ---- players ----------------------------------------------------------------------------

    pub(crate) fn on_follows(&mut self, session: SessionId, plays: Option<Epoch>) {
        let now = self.now;
        let Some(moves) = &mut self.moves else { return };
        let Some(s) = self.sessions.get_mut(&session) else {
            let Some(epoch) = plays else {
                moves.early.remove(&session);
                return;
            };
            if moves.adopt.is_some() || !self.nodes.all_in(&moves.told) {
                moves.early.insert(session, epoch); // a node that has not told yet may hold it
            } else {
                // Over already: its player has not heard so.
                self.outputs.push_back(Output::SessionEnded { session });
            }
            return;
        };
        let Stage::Plays { server, since, .. } = s.stage else {
            return;
        };
        let Some(epoch) = plays else {
            s.hand.iter_mut().for_each(|h| h.follows = false);
            return moves.mover.remove_session(session);
        };
        let hand = s.hand.get_or_insert_with(|| {
            let handover = MigrationCoordinator::new(server);
            Box::new(Hand {
                handover,
                follows: true,
                target: None,
                rings: None,
            })
        });
        (hand.follows, s.carried) = (true, false);
        if !moves.mover.contains(session) {
            moves.mover.add_session(
                Timestamp::from_micros(now),
                session,
                server,
                s.request
                    .duration_hint
                    .map(|hint| Timestamp::from_micros(since) + hint),
            );
            if hand.handover.is_orphaned() {
                moves
                    .mover
                    .mark_orphaned(Timestamp::from_micros(now), session);
            }
            moves.news = true;
        }
        hand.handover.observe_player_epoch(epoch);
        self.carry_on(session);
    }

    pub(crate) fn on_silent(&mut self, session: SessionId, buffer: Micros) {
        let now = self.now;
        let Some(moves) = &mut self.moves else { return };
        moves.mover.report_silence(
            Timestamp::from_micros(now),
            session,
            TimeDelta::from_micros(buffer),
        );
        moves.news = true;
        moves.silent.retain(|_, told| now - *told < SILENT_AGAIN);
        for server in moves.mover.silent_nodes() {
            if moves.silent.insert(server, now).is_none() {
                self.pending.push_back(Event::ServerSilent(server));
            }
        }
    }

    pub(crate) fn on_playing(&mut self, session: SessionId, epoch: Epoch) {
        self.hand_on(session, Some(coordinator::Input::PlayerSwitched { epoch }));
    }

    pub(crate) fn on_declined(&mut self, session: SessionId, epoch: Epoch) {
        self.hand_on(session, Some(coordinator::Input::PlayerDeclined { epoch }));
    }

    // ---- nodes ------------------------------------------------------------------------------

    pub(crate) fn on_fetched(
        &mut self,
        server: ServerId,
        session: SessionId,
        attempt: u32,
        epoch: Epoch,
    ) {
        if self
            .sessions
            .get(&session)
            .is_some_and(|s| s.attempts == attempt + 1)
        {
            self.hand_on(
                session,
                Some(coordinator::Input::Serving {
                    node: server,
                    epoch,
                }),
            );
        }
    }

    pub(crate) fn on_prepared(
        &mut self,
        session: SessionId,
        server: ServerId,
        epoch: Epoch,
        done: CallResult,
    ) {
        let (now, node) = (self.now, server);
        let input = match done {
            CallResult::Answered {
                status: 201,
                media: Some(media),
                load_report: load,
                ..
            } => {
                self.figures(
                    session,
                    server,
                    None,
                    load.link_utilization,
                    load.uplink_utilization,
                );
                if let Some(t) = self.hand(session).and_then(|h| h.target.as_mut()) {
                    (t.media, t.ready) = (Some(media), Some(now));
                }
                coordinator::Input::Prepared { node, epoch }
            }
            CallResult::Answered { .. } | CallResult::NotStarted(_) => {
                coordinator::Input::PrepareRejected { node, epoch }
            }
            // It may be ready: asked again by the next repeat, with the same answer.
            CallResult::MaybeExecuted(_) | CallResult::NotSent(_) => return,
        };
        self.hand_on(session, Some(input));
    }

    pub(crate) fn on_cancelled(
        &mut self,
        session: SessionId,
        server: ServerId,
        epoch: Epoch,
        done: &CallResult,
    ) {
        let how = match done {
            CallResult::Answered {
                status: 200..=299 | 404 | 410,
                ..
            } => CancelOutcome::Cancelled,
            CallResult::Answered { status: 409, .. } => CancelOutcome::AlreadyServing,
            _ => return, // asked again by the next repeat
        };
        self.hand_on(
            session,
            Some(coordinator::Input::Cancelled {
                node: server,
                epoch,
                outcome: how,
            }),
        );
    }

    /// A node holds nothing of it any more, as it has said.
    pub(crate) fn released(&mut self, session: SessionId, server: ServerId, upto: Option<Epoch>) {
        let epoch = upto.unwrap_or(Epoch(u32::MAX));
        self.hand_on(
            session,
            Some(coordinator::Input::Released {
                node: server,
                epoch,
            }),
        );
    }

    /// A node's process, or this session's stream there, is gone. False: there are no hand-overs of it.
    pub(crate) fn dead(&mut self, session: SessionId, server: ServerId) -> bool {
        // Of an earlier process's sessions players are on their way back.
        let carried = self.sessions.get(&session).is_some_and(|s| s.carried);
        if self
            .hand(session)
            .is_none_or(|h| !h.follows && h.target.is_none() && !carried)
        {
            return false;
        }
        self.hand_on(
            session,
            Some(coordinator::Input::NodeFailed { node: server }),
        );
        true
    }

    /// What the list says of nodes, as far as it is a cause to move.
    pub(crate) fn drains(&mut self, lines: &[EndpointEntry]) {
        let now = self.now;
        let Some(moves) = &mut self.moves else { return };
        for line in lines {
            moves.mover.set_draining(
                Timestamp::from_micros(now),
                line.server,
                line.state == EndpointState::Draining,
            );
        }
        moves.news = true;
        // What is on its way to such a node goes elsewhere, unless its player has been told already.
        let off: Vec<_> = lines
            .iter()
            .filter(|l| l.state != EndpointState::Ready)
            .map(|l| l.server)
            .collect();
        let to = |s: &Session| off.iter().any(|server| s.moves_to(*server));
        let ids: Vec<_> = match off[..] {
            [] => Vec::new(),
            _ => self
                .sessions
                .iter()
                .filter(|(_, s)| to(s))
                .map(|(id, _)| *id)
                .collect(),
        };
        for session in ids {
            self.hand(session)
                .into_iter()
                .for_each(|h| h.handover.withdraw_target(Timestamp::from_micros(now)));
            self.carry_on(session);
        }
    }

    pub(crate) fn delivers(&mut self, server: ServerId, part: Option<f64>) {
        let now = self.now;
        if let (Some(moves), Some(part)) = (&mut self.moves, part) {
            moves
                .mover
                .report_delivery(Timestamp::from_micros(now), server, part);
        }
    }

    // ---- moves ------------------------------------------------------------------------------

    pub(crate) fn look_for_moves(&mut self) {
        let now = self.now;
        if self
            .moves
            .as_ref()
            .is_some_and(|m| m.adopt.is_some_and(|t| t <= now))
        {
            self.adopt();
        }
        let due = |m: &&mut Moves| {
            m.mover
                .poll_timeout()
                .is_some_and(|due| due.as_micros() <= now)
        };
        if let Some(moves) = self.moves.as_mut().filter(due) {
            moves.mover.handle_timeout(Timestamp::from_micros(now));
            moves.news = true;
        }
    }

    /// Asks the director for each session that the mover wants to be moved.
    pub(crate) fn plan_moves(&mut self) {
        let now = self.now;
        let Some(moves) = self.moves.as_mut().filter(|m| m.news) else {
            return;
        };
        moves.news = false;
        let due = moves.mover.due_migrations(Timestamp::from_micros(now));
        for migration in due {
            let (session, why) = (migration.session, migration.reason);
            if let Some(moves) = &mut self.moves {
                moves.asked = Some((session, why));
            }
            self.pending.push_back(Event::MigrationRequested(session));
            self.settle();
            let under_way = self.hand(session).is_some_and(|h| h.target.is_some());
            if let Some(moves) = &mut self.moves
                && !under_way
            {
                moves
                    .mover
                    .defer_migration(Timestamp::from_micros(now), session);
            }
        }
    }

    /// The director has found where to.
    pub(crate) fn hand_over(&mut self, session: SessionId, server: ServerId, rung: usize) {
        let now = self.now;
        let why = self
            .moves
            .as_mut()
            .and_then(|m| m.asked.take())
            .filter(|(id, _)| *id == session);
        // Half of what a move takes is for the target to be ready, so that a buffer lasts for another one.
        let within = self
            .config
            .migration
            .map_or(TimeDelta::ZERO, |terms| terms.duration / 2);
        let until = Timestamp::from_micros(now) + within;
        let free = self
            .moves
            .as_ref()
            .is_some_and(|m| m.mover.can_accept(server));
        let begun = why.filter(|_| free).and_then(|(_, why)| {
            let s = self.sessions.get_mut(&session)?;
            let plays = matches!(s.stage, Stage::Plays { .. });
            let hand = s
                .hand
                .as_deref_mut()
                .filter(|h| plays && h.follows && h.target.is_none())?;
            hand.handover
                .start(Timestamp::from_micros(now), server, until)
                .then(|| {
                    let (media, ready, call) = (None, None, None);
                    hand.target = Some(Target {
                        server,
                        rung,
                        media,
                        ready,
                        call,
                        began: now,
                        why,
                    });
                })
        });
        if begun.is_none() {
            return self.pending.push_back(Event::MigrationFinished {
                session,
                migrated: false,
            });
        }
        if let Some(moves) = &mut self.moves {
            moves.mover.migration_started(session, server);
        }
        self.hand_on(session, None);
    }

    /// Feeds a session's protocol and carries out what it says.
    pub(crate) fn hand_on(&mut self, session: SessionId, input: Option<coordinator::Input>) {
        let now = self.now;
        let Some(hand) = self.hand(session) else {
            return;
        };
        input
            .into_iter()
            .for_each(|input| hand.handover.handle(Timestamp::from_micros(now), input));
        self.carry_on(session);
    }

    pub(crate) fn on_hand_timer(&mut self, session: SessionId) {
        let now = self.now;
        let Some(hand) = self
            .hand(session)
            .filter(|h| h.rings.is_some_and(|t| t <= now))
        else {
            return;
        };
        hand.rings = None;
        if hand
            .handover
            .poll_timeout()
            .is_some_and(|due| due.as_micros() <= now)
        {
            hand.handover.handle_timeout(Timestamp::from_micros(now));
        }
        self.carry_on(session);
    }

    fn carry_on(&mut self, session: SessionId) {
        // One at a time: carrying one out may put further ones in, or end the session.
        while let Some(output) = self.hand(session).and_then(|h| h.handover.poll_output()) {
            self.carry_out_move(session, output);
        }
        let Some(hand) = self.hand(session) else {
            return;
        };
        let due = hand.handover.poll_timeout().map(Timestamp::as_micros);
        if due.is_some() && hand.rings.is_none_or(|t| Some(t) > due) {
            hand.rings = due;
            due.into_iter()
                .for_each(|due| self.timers.set(due, Timer::Hand(session)));
        }
    }

    fn carry_out_move(&mut self, session: SessionId, output: coordinator::Output) {
        match output {
            coordinator::Output::Prepare {
                source,
                target,
                epoch,
            } => {
                self.prepare(session, source, target, epoch);
            }
            coordinator::Output::Offer { node, epoch } => {
                let target = self.hand(session).and_then(|h| h.target.as_ref());
                let target = target.filter(|t| t.server == node);
                if let Some(media) = target.and_then(|t| t.media.clone()) {
                    self.outputs.push_back(Output::OfferMigration {
                        session,
                        epoch,
                        media,
                    });
                }
            }
            coordinator::Output::Cancel { node, epoch } => {
                let server = node;
                let Some(attempt) = self.attempt_of(session) else {
                    return;
                };
                let kind = CallKind::CancelMigration {
                    session,
                    attempt,
                    epoch,
                };
                if self
                    .call_target(
                        session,
                        server,
                        Purpose::Cancel(session, server, epoch),
                        kind,
                    )
                    .is_none()
                {
                    self.hand_on(session, Some(coordinator::Input::NodeFailed { node }));
                }
            }
            coordinator::Output::Release { node, epoch } => {
                let Some(attempt) = self.attempt_of(session) else {
                    return;
                };
                self.owe_end(node, session, attempt, Some(epoch));
            }
            coordinator::Output::Migrated { target, .. } => self.moved(session, target),
            coordinator::Output::Aborted { target } => self.move_over(session, target, false),
            coordinator::Output::Orphaned => {
                let now = self.now;
                if let Some(moves) = &mut self.moves {
                    moves
                        .mover
                        .mark_orphaned(Timestamp::from_micros(now), session);
                    moves.news = true;
                }
            }
            coordinator::Output::Lost => {
                let Some(s) = self.sessions.get(&session) else {
                    return;
                };
                if let Stage::Plays { server, .. } = s.stage {
                    self.over(
                        session,
                        server,
                        s.attempts - 1,
                        shalewall::Outcome::ConnectionReset,
                    );
                }
            }
        }
    }

    fn attempt_of(&self, session: SessionId) -> Option<u32> {
        self.sessions
            .get(&session)
            .map(|s| s.attempts.saturating_sub(1))
    }

    fn prepare(&mut self, session: SessionId, from: ServerId, to: ServerId, epoch: Epoch) {
        let now = self.now;
        let Some(s) = self.sessions.get_mut(&session) else {
            return;
        };
        let Some(hand) = s.hand.as_deref_mut() else {
            return;
        };
        // Back where it was, when the target that it may have gone over to is gone.
        let target = hand.target.get_or_insert(Target {
            server: to,
            rung: s.rung,
            media: None,
            ready: None,
            call: None,
            began: now,
            why: MigrationReason::Orphaned,
        });
        let rung = target.rung;
        let kind = CallKind::PrepareMigration {
            session,
            attempt: s.attempts.saturating_sub(1),
            epoch,
            from,
            viewer: s.key,
            tenant: s.tenant.clone(),
            class: s.class.clone(),
            title: s.title.clone(),
            rung,
            rate_kb_s: self.config.settings.rate(s.request.class, rung),
        };
        if self
            .call_target(session, to, Purpose::Prepare(session, to, epoch), kind)
            .is_none()
        {
            self.hand_on(
                session,
                Some(coordinator::Input::PrepareRejected { node: to, epoch }),
            );
        }
    }

    /// Calls a target, unless a call to it is out: one at a time. None: it has no address.
    fn call_target(
        &mut self,
        session: SessionId,
        server: ServerId,
        purpose: Purpose,
        kind: CallKind,
    ) -> Option<()> {
        let out = self.hand(session)?.target.as_ref().and_then(|t| t.call);
        if out.is_some_and(|call| self.calls.contains_key(&call)) {
            return Some(());
        }
        let call = self.call(server, purpose, kind)?;
        if let Some(target) = self.hand(session).and_then(|h| h.target.as_mut()) {
            target.call = Some(call);
        }
        Some(())
    }

    fn moved(&mut self, session: SessionId, to: ServerId) {
        let now = self.now;
        if let Some(s) = self.sessions.get_mut(&session)
            && let Some(target) = s.hand.as_deref().and_then(|h| h.target.as_ref())
            && let Stage::Plays {
                server,
                since,
                media,
            } = &mut s.stage
        {
            // Rungs chosen for the source meanwhile do not hold for the target.
            (s.rung, s.confirmed) = (target.rung, target.rung);
            (*server, *since) = (to, now);
            target.media.iter().for_each(|m| media.clone_from(m));
            let telling = s.telling.take();
            if let Some(call) = telling {
                self.give_up(call);
            }
        }
        self.move_over(session, to, true);
    }

    fn move_over(&mut self, session: SessionId, to: ServerId, moved: bool) {
        let now = self.now;
        let Some(s) = self.sessions.get_mut(&session) else {
            return;
        };
        let Some(target) = s.hand.as_deref_mut().and_then(|h| h.target.take()) else {
            return;
        };
        let Target {
            server,
            call,
            ready,
            began,
            why,
            ..
        } = target;
        if let Some(call) = call
            && self.give_up(call).is_some()
            && ready.is_none()
        {
            // It did not answer in time: a sign that it stands still.
            self.pending.push_back(Event::ServerSilent(server));
        }
        self.pending.push_back(Event::MigrationFinished {
            session,
            migrated: moved,
        });
        if let Some(moves) = &mut self.moves {
            moves
                .mover
                .migration_finished(Timestamp::from_micros(now), session, moved);
            moves.news = true;
        }
        self.outputs.push_back(Output::MigrationFinished {
            session,
            to,
            reason: why,
            duration: now - began,
            migrated: moved,
        });
    }

    /// It is leaving, or over: whatever is under way to another node ends there.
    pub(crate) fn stop_moving(&mut self, session: SessionId) {
        let Some(s) = self.sessions.get_mut(&session) else {
            return;
        };
        let (hand, attempt) = (s.hand.take(), s.attempts.saturating_sub(1));
        let Some(hand) = hand else { return };
        if let Some(moves) = &mut self.moves {
            moves.mover.remove_session(session);
        }
        if hand.follows {
            self.outputs.push_back(Output::SessionEnded { session });
        }
        if let Some(target) = hand.target {
            if let Some(call) = target.call {
                self.give_up(call);
            }
            self.pending.push_back(Event::MigrationFinished {
                session,
                migrated: false,
            });
            self.owe_end(target.server, session, attempt, None);
        }
    }
}
