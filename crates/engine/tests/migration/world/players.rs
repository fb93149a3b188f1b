//! Players that request sessions, receive pictures from the nodes that serve them, and report silence.

use super::{BUFFER, MILLISECOND, SECOND, SILENCE_REPORT_AFTER, Simulation};
use shalewall::{ServerId, SessionId, TimeDelta};
use shalewall_engine::{Input, NodeEvent, RequestId, SessionRequest};
use shalewall_migration::Epoch;
use shalewall_migration::player::PlayerAction;
use shalewall_migration::player::PlayerMigration;

impl Simulation {
    /// Runs an operation on a player's state machine, and carries out the resulting actions.
    pub fn with_player(
        &mut self,
        session: SessionId,
        operation: impl FnOnce(&mut PlayerMigration) -> Vec<PlayerAction>,
    ) {
        let Some(player) = self.players.get_mut(&session).filter(|p| !p.ended) else {
            return;
        };
        for action in operation(&mut player.protocol) {
            match action {
                PlayerAction::Fetch { node, epoch } => {
                    let node = node.0;
                    let player = self.players.get_mut(&session).unwrap();
                    player
                        .switch_deadline
                        .get_or_insert(self.now + 400 * MILLISECOND);
                    let frozen = self.frozen[node as usize];
                    let running_node = self.nodes[node as usize].as_mut().filter(|_| !frozen);
                    match running_node.map(|n| n.fetch(session, epoch)) {
                        None => {}
                        Some(Err(_)) => player.protocol.on_fetch_failed(ServerId(node), epoch),
                        Some(Ok(())) => {
                            let event = NodeEvent::StreamFetched {
                                session,
                                attempt: 0,
                                epoch,
                            };
                            self.messages.push((
                                self.now + 5 * MILLISECOND,
                                Input::NodeNotified {
                                    server: ServerId(node),
                                    event,
                                },
                            ));
                        }
                    }
                }
                PlayerAction::ConfirmSwitch { epoch } => {
                    if !self.is_lost() {
                        self.messages.push((
                            self.now + 5 * MILLISECOND,
                            Input::EpochPlaying { session, epoch },
                        ));
                    }
                }
                PlayerAction::Decline { epoch } => {
                    if !self.is_lost() {
                        self.messages.push((
                            self.now + 5 * MILLISECOND,
                            Input::EpochDeclined { session, epoch },
                        ));
                    }
                }
                PlayerAction::Close { .. } => {}
            }
        }
    }

    /// Delivers one picture to each player from the node that serves it, every 50 ms. Players report when none arrives.
    pub fn deliver_pictures(&mut self) {
        let ids: Vec<SessionId> = self
            .players
            .iter()
            .filter(|(_, p)| !p.ended)
            .map(|(id, _)| *id)
            .collect();
        for session in ids {
            let p = &self.players[&session];
            let (current_node, epoch, fetching) = (
                p.protocol.node().0,
                p.protocol.epoch(),
                p.protocol.pending(),
            );
            let serves = |node: u64, epoch: Epoch| {
                let sessions = self.nodes[node as usize].as_ref();
                !self.frozen[node as usize]
                    && sessions.is_some_and(|n| n.epochs(session).serving == Some(epoch))
            };
            let (now, current_serves) = (self.now, serves(current_node, epoch));
            let ready_target = fetching.filter(|pending| serves(pending.node.0, pending.epoch));
            if let Some(pending) = ready_target {
                self.with_player(session, |protocol| {
                    protocol.on_picture(pending.node, pending.epoch)
                });
            }
            let late = self.players[&session]
                .switch_deadline
                .is_some_and(|t| now >= t);
            if ready_target.is_none() && fetching.is_some() && late {
                self.with_player(session, PlayerMigration::give_up);
            }
            let p = self.players.get_mut(&session).unwrap();
            if ready_target.is_some() || p.protocol.pending().is_none() {
                p.switch_deadline = None;
            }
            if current_serves || ready_target.is_some() {
                p.last_received = now;
                if let Some(since) = p.empty_since.take() {
                    p.gaps.push(now - since);
                }
            } else if now - p.last_received >= BUFFER {
                p.empty_since.get_or_insert(p.last_received + BUFFER);
            }
            if now - p.last_received >= SILENCE_REPORT_AFTER
                && now - p.last_report >= 200 * MILLISECOND
            {
                p.last_report = now;
                let buffer = (p.last_received + BUFFER - now).max(TimeDelta::ZERO);
                self.messages.push((
                    now + 5 * MILLISECOND,
                    Input::StreamSilent {
                        session,
                        buffered: buffer,
                    },
                ));
            }
        }
    }

    pub fn request_sessions(&mut self, count: u64) {
        for number in 0..count {
            let (viewer_key, class, title) = (
                format!("v{}-{number}", self.now.as_micros()),
                "paid".into(),
                "t".into(),
            );
            let request = SessionRequest {
                viewer_key,
                class,
                title,
                ..SessionRequest::default()
            };
            let request_id = RequestId(self.now.as_micros() as u64 * 1000 + number);
            self.handle(Input::RequestReceived {
                request_id,
                request,
            });
        }
        self.run_for(SECOND);
    }

    pub fn gaps(&self) -> Vec<TimeDelta> {
        self.players
            .values()
            .flat_map(|p| p.gaps.iter().copied())
            .collect()
    }
}
