//! A front that begins anew goes on with the sessions of the process before it, as nodes hold them.

use crate::engine::*;
use crate::input::*;
use crate::moves::{Hand, Target};
use shalewall::{Event, Micros, Notification, Request, ServerId, SessionId, Timestamp};
use shalewall_migration::Epoch;
use shalewall_migration::coordinator::{self, MigrationCoordinator, NodeReport};
use shalewall_migration::planner::MigrationReason;

/// Epochs that an earlier process used are not known: its own begin so far above those found.
const FAR: u32 = 1_000;

impl Engine {
    /// Whether a session is of an earlier process of this front.
    fn is_earlier(&self, session: SessionId) -> bool {
        let own = |id: u64| id >> 28;
        own(session.0) != own(self.next_session) && session.0 >> 42 == self.next_session >> 42
    }

    /// What a node holds, as it tells on a new event stream.
    pub(crate) fn on_holds(&mut self, server: ServerId, sessions: Vec<TransferredSession>) {
        if self.moves.is_none() {
            return;
        }
        for carried in sessions {
            if !self.is_earlier(carried.session) {
                continue;
            }
            let TransferredSession {
                session,
                attempt,
                epochs: held,
                ..
            } = carried;
            if let Some(s) = self.sessions.get(&session) {
                // Its player may have gone over there before this process began.
                let (known, later) = (
                    s.attempts == attempt + 1,
                    held.serving.filter(|e| *e > Epoch(0)),
                );
                let newer = later.filter(|e| {
                    s.hand
                        .as_ref()
                        .is_some_and(|h| *e > h.handover.current_epoch())
                });
                if let Some(epoch) = newer.filter(|_| known) {
                    self.aim(session, server, &carried);
                    self.hand_on(
                        session,
                        Some(coordinator::Input::Serving {
                            node: server,
                            epoch,
                        }),
                    );
                }
                continue;
            }
            let Some(moves) = &mut self.moves else { return };
            if !self.ends.contains_key(&(server, session, attempt)) {
                moves
                    .found
                    .entry(session)
                    .or_default()
                    .push((server, carried));
            }
        }
        let Some(moves) = &mut self.moves else { return };
        moves.told.insert(server);
        moves.died.remove(&server);
        // All have told; or one has that was out of reach before.
        if moves.adopt.is_none() || self.nodes.all_in(&moves.told) {
            self.adopt();
        }
    }

    /// A node dies before what it has told of is gone on with.
    pub(crate) fn dies_early(&mut self, server: ServerId) {
        if let Some(moves) = self.moves.as_mut().filter(|m| m.adopt.is_some()) {
            moves.died.insert(server);
            moves.told.insert(server); // it has nothing more to tell
        }
    }

    /// Where it is on its way to, as another process had decided.
    fn aim(&mut self, session: SessionId, server: ServerId, carried: &TransferredSession) {
        let now = self.now;
        let Some(hand) = self
            .sessions
            .get_mut(&session)
            .and_then(|s| s.hand.as_deref_mut())
        else {
            return;
        };
        let (media, rung) = (Some(carried.media.clone()), carried.rung);
        let (ready, call, began, why) = (Some(now), None, now, MigrationReason::Orphaned);
        hand.target.get_or_insert(Target {
            server,
            rung,
            media,
            ready,
            call,
            began,
            why,
        });
    }

    /// Goes on with all that was found: where it is served, under the greatest epoch; moves that were under way are
    /// finished or undone, as their targets say. What nobody serves ends.
    pub(crate) fn adopt(&mut self) {
        let Some(moves) = &mut self.moves else { return };
        moves.adopt = None;
        let (found, early) = (
            std::mem::take(&mut moves.found),
            std::mem::take(&mut moves.early),
        );
        for (session, all) in found {
            if !self.go_on(session, &all) {
                for (server, c) in all {
                    self.owe_end(server, session, c.attempt, None);
                }
            }
        }
        for (session, epoch) in early {
            self.on_follows(session, Some(epoch));
        }
        let died = self
            .moves
            .as_mut()
            .map(|m| std::mem::take(&mut m.died))
            .unwrap_or_default();
        died.into_iter()
            .for_each(|server| self.lose_sessions(server, Micros::MAX, &[]));
    }

    fn go_on(&mut self, session: SessionId, all: &[(ServerId, TransferredSession)]) -> bool {
        let now = self.now;
        let reports: Vec<NodeReport> = all
            .iter()
            .map(|(server, c)| NodeReport {
                node: *server,
                epochs: c.epochs,
            })
            .collect();
        let greatest = reports
            .iter()
            .filter_map(|report| report.epochs.serving.max(report.epochs.prepared))
            .max()
            .unwrap_or_default();
        let Some(handover) = MigrationCoordinator::recover(
            &reports,
            Epoch(greatest.0 + FAR),
            Timestamp::from_micros(now),
        ) else {
            return false;
        };
        let at = handover.current_node();
        let Some((_, carried)) = all.iter().find(|(server, _)| *server == at) else {
            return false;
        };
        let Ok(found) =
            self.catalogue
                .find(carried.tenant.as_deref(), &carried.class, &carried.title)
        else {
            return false;
        };
        self.catalogue.hold(found.class, found.tenant);
        let request = Request {
            session,
            class: found.class,
            tenant: found.tenant,
            viewer: carried.viewer,
            title: found.title,
            deadline: shalewall::Timestamp::from_micros(now),
            duration_hint: None,
            first_cell: found.place.first_cell,
            replica_cells: found.place.replica_cells,
            highest_rung: usize::MAX,
            is_retry: false,
            fleet: found.fleet,
        };
        let attempts = carried.attempt + 1;
        self.by_key.insert(carried.viewer, session);
        self.sessions.insert(
            session,
            Session {
                key: carried.viewer,
                request,
                title: carried.title.clone(),
                tenant: carried.tenant.clone(),
                class: carried.class.clone(),
                stage: Stage::Plays {
                    server: at,
                    since: now,
                    media: carried.media.clone(),
                },
                attempts,
                before: attempts - 1,
                carried: true,
                rung: carried.rung,
                confirmed: carried.rung,
                telling: None,
                waiting: Vec::new(),
                owed: 0,
                hand: Some(Box::new(Hand {
                    handover,
                    follows: false,
                    target: None,
                    rings: None,
                })),
            },
        );
        self.pending
            .push_back(Event::SessionTransferred(request, at));
        let (rung, attempt) = (Notification::CurrentRung(carried.rung), 0);
        self.pending.push_back(Event::Notified {
            session,
            attempt,
            server: at,
            notification: rung,
        });
        // One of the others is where a move was on its way to; the rest is behind.
        let going = self.sessions[&session]
            .hand
            .as_ref()
            .and_then(|h| h.handover.target());
        for (server, c) in all.iter().filter(|(server, _)| *server != at) {
            if Some(*server) == going {
                self.aim(session, *server, c);
            } else {
                self.owe_end(*server, session, c.attempt, Some(greatest));
            }
        }
        self.hand_on(session, None);
        true
    }
}
