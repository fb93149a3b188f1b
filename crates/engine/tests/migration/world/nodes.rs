//! Nodes: they answer calls late or not at all, fail, freeze, and report what they hold.

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

    /// The call arrives; what the node answers.
    pub fn answer_call(&mut self, server: ServerId, kind: &CallKind) -> CallResult {
        let i = server.0 as usize;
        let now = self.now_ms();
        let Some(node) = &mut self.nodes[i] else {
            return CallResult::NotStarted("refused".into());
        };
        let said = |status| CallResult::Answered {
            status,
            not_started: false,
            load_report: LoadReport::default(),
            media: Some(server.0.to_string()),
        };
        match kind {
            CallKind::SetUpSession { session, .. } => {
                *self.set_ups.entry(*session).or_default() += 1;
                node.set_up(*session);
                said(201)
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
                said(
                    if node.prepare(server, &ticket_key(), now, &ticket).is_ok() {
                        201
                    } else {
                        410
                    },
                )
            }
            CallKind::CancelMigration { session, epoch, .. } => said(
                if node.cancel(*session, *epoch) == CancelOutcome::Cancelled {
                    204
                } else {
                    409
                },
            ),
            CallKind::EndSession {
                session,
                up_to_epoch: upto,
                ..
            } => {
                node.release(*session, upto.unwrap_or(Epoch(u32::MAX)));
                said(204)
            }
            CallKind::SetRung { .. } | CallKind::CheckHealth => said(204),
        }
    }

    pub fn deliver_call(&mut self, n: usize) {
        let (_, call, server, kind) = self.calls.remove(n);
        if self.frozen[server.0 as usize] && self.nodes[server.0 as usize].is_some() {
            // It waits until the node goes on.
            self.calls
                .push((self.now + 50 * MILLISECOND, call, server, kind));
            return;
        }
        let moving = !matches!(kind, CallKind::SetUpSession { .. });
        if moving && self.is_lost() {
            return self.handle(Input::CallFinished {
                call,
                result: CallResult::MaybeExecuted("lost on its way".into()),
            });
        }
        let done = self.answer_call(server, &kind);
        if moving && self.is_lost() {
            return self.handle(Input::CallFinished {
                call,
                result: CallResult::MaybeExecuted("its answer was lost".into()),
            });
        }
        self.handle(Input::CallFinished { call, result: done });
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

    /// A node opens its event stream to a restarted director; a frozen one does so when it resumes.
    pub fn connect_node(&mut self, n: u64) {
        let (server, asked) = (ServerId(n), self.now);
        // Of those that left, a node that runs sees that nobody fetches.
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
        let there = self
            .set_ups
            .keys()
            .map(|session| (*session, node.epochs(*session)));
        let there: Vec<_> = there
            .filter(|(_, held)| held.serving.or(held.prepared).is_some())
            .collect();
        let carried = |(session, held): &(SessionId, SessionEpochs)| TransferredSession {
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
        let sessions = there.iter().map(carried).collect();
        self.handle(Input::NodeSessionsReported { server, sessions });
        let held = there
            .iter()
            .map(|(session, _)| SessionAttempt {
                session: *session,
                attempt: 0,
            })
            .collect();
        self.handle(Input::NodeConnected {
            server,
            requested_at: asked,
            held,
        });
    }
}
