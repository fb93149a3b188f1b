//! Nodes that answer calls late or not at all, crash, freeze, and report what they hold.

use super::{MILLISECOND, NODES, Simulation, ticket_key};
use shalewall::{LoadReport, ServerId, SessionId};
use shalewall_engine::{CallKind, CallResult, Input, SessionAttempt, TransferredSession};
use shalewall_migration::Epoch;
use shalewall_migration::node::CancelOutcome;
use shalewall_migration::node::NodeSessions;
use shalewall_migration::node::SessionEpochs;
use shalewall_migration::ticket::Validity;

impl Simulation {
    pub fn serving_node(&self, session: SessionId) -> Option<u64> {
        let serves = |n: &NodeSessions| n.epochs(session).serving.is_some();
        (0..NODES).find(|n| self.nodes[*n as usize].as_ref().is_some_and(serves))
    }

    /// Executes a call at its node, and returns the node's answer.
    pub fn answer_call(&mut self, server: ServerId, kind: &CallKind) -> CallResult {
        let i = server.0 as usize;
        let now = self.now_ms();
        let Some(node) = &mut self.nodes[i] else {
            return CallResult::NotStarted("refused".into());
        };
        let answered = |status| CallResult::Answered {
            status,
            not_started: false,
            load_report: LoadReport::default(),
            media: Some(server.0.to_string()),
        };
        match kind {
            CallKind::SetUpSession { session, .. } => {
                *self.set_ups.entry(*session).or_default() += 1;
                node.set_up(*session);
                answered(201)
            }
            CallKind::PrepareMigration {
                session,
                epoch,
                from,
                ..
            } => {
                let ticket = ticket_key().issue(
                    *session,
                    *epoch,
                    *from,
                    server,
                    Validity {
                        issued_at: now,
                        expires_at: now + 2000,
                    },
                );
                answered(
                    if node.prepare(server, &ticket_key(), now, &ticket).is_ok() {
                        201
                    } else {
                        410
                    },
                )
            }
            CallKind::CancelMigration { session, epoch, .. } => answered(
                if node.cancel(*session, *epoch) == CancelOutcome::Cancelled {
                    204
                } else {
                    409
                },
            ),
            CallKind::EndSession {
                session,
                up_to_epoch,
                ..
            } => {
                node.release(*session, up_to_epoch.unwrap_or(Epoch(u32::MAX)));
                answered(204)
            }
            CallKind::SetRung { .. } | CallKind::CheckHealth => answered(204),
        }
    }

    pub fn deliver_call(&mut self, n: usize) {
        let (_, call, server, kind) = self.calls.remove(n);
        if self.frozen[server.0 as usize] && self.nodes[server.0 as usize].is_some() {
            // Calls to a frozen node wait until it resumes.
            self.calls
                .push((self.now + 50 * MILLISECOND, call, server, kind));
            return;
        }
        let may_be_lost = !matches!(kind, CallKind::SetUpSession { .. });
        if may_be_lost && self.is_lost() {
            return self.handle(Input::CallFinished {
                call,
                result: CallResult::MaybeExecuted("request lost".into()),
            });
        }
        let result = self.answer_call(server, &kind);
        if may_be_lost && self.is_lost() {
            return self.handle(Input::CallFinished {
                call,
                result: CallResult::MaybeExecuted("answer lost".into()),
            });
        }
        self.handle(Input::CallFinished { call, result });
    }

    pub fn crash(&mut self, node: u64) {
        self.nodes[node as usize] = None;
        self.frozen[node as usize] = false;
        self.unreported.retain(|n| *n != node);
        self.handle(Input::NodeDown {
            server: ServerId(node),
        });
    }

    pub fn restart_node(&mut self, node: u64) {
        self.nodes[node as usize] = Some(NodeSessions::new(self.now_ms()));
        self.handle(Input::NodeConnected {
            server: ServerId(node),
            requested_at: self.now,
            held: vec![],
        });
    }

    /// Opens a node's event stream to a restarted director; a frozen node does so when it resumes.
    pub fn connect_node(&mut self, n: u64) {
        let (server, requested_at) = (ServerId(n), self.now);
        // A running node releases the sessions of viewers that have left, since nobody fetches them any more.
        let mut node = self.nodes[n as usize]
            .as_mut()
            .filter(|_| !self.frozen[n as usize]);
        for (session, _) in self.players.iter().filter(|(_, p)| p.ended) {
            node.iter_mut()
                .for_each(|n| n.release(*session, Epoch(u32::MAX)));
        }
        let Some(node) = self.nodes[n as usize]
            .as_ref()
            .filter(|_| !self.frozen[n as usize])
        else {
            return self.unreported.push(n);
        };
        let held_sessions = self
            .set_ups
            .keys()
            .map(|session| (*session, node.epochs(*session)));
        let held_sessions: Vec<_> = held_sessions
            .filter(|(_, held)| held.serving.or(held.prepared).is_some())
            .collect();
        let transferred = |(session, held): &(SessionId, SessionEpochs)| TransferredSession {
            session: *session,
            attempt: 0,
            viewer: session.0,
            tenant: None,
            class: "paid".into(),
            title: "t".into(),
            rung: 0,
            epochs: *held,
            media: n.to_string(),
        };
        let sessions = held_sessions.iter().map(transferred).collect();
        self.handle(Input::NodeSessionsReported { server, sessions });
        let held = held_sessions
            .iter()
            .map(|(session, _)| SessionAttempt {
                session: *session,
                attempt: 0,
            })
            .collect();
        self.handle(Input::NodeConnected {
            server,
            requested_at,
            held,
        });
    }
}
