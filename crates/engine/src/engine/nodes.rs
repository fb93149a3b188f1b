//! Events from nodes: which sessions they hold, their load, and which sessions have ended there.

use super::Engine;
use crate::ids::SessionAttempt;
use crate::input::NodeEvent;
use crate::pending_ends::EndKey;
use crate::session::Stage;
use shalewall::{Event, LoadReport, Notification, Outcome, ServerId, SessionId, Timestamp};

/// A node's load, as far as it reports it.
pub(super) struct NodeLoad {
    delivered_fraction: Option<f64>,
    link_utilization: Option<f64>,
    uplink_utilization: Option<f64>,
}

impl From<LoadReport> for NodeLoad {
    fn from(report: LoadReport) -> NodeLoad {
        NodeLoad {
            delivered_fraction: None,
            link_utilization: report.link_utilization,
            uplink_utilization: report.uplink_utilization,
        }
    }
}

impl NodeLoad {
    fn notifications(&self) -> impl Iterator<Item = Notification> {
        let delivered = self.delivered_fraction.map(Notification::DeliveredFraction);
        let link = self.link_utilization.map(Notification::LinkUtilization);
        let uplink = self.uplink_utilization.map(Notification::UplinkUtilization);
        [delivered, link, uplink].into_iter().flatten()
    }
}

impl Engine {
    /// A node's event stream has opened. Sessions that the node should hold and does not are lost; those that it holds
    /// and should not are ended.
    pub(super) fn node_connected(
        &mut self,
        server: ServerId,
        requested_at: Timestamp,
        held: &[SessionAttempt],
    ) {
        self.handle_lost_sessions(server, requested_at, held);
        for SessionAttempt { session, attempt } in held {
            let key = EndKey {
                server,
                session: *session,
                attempt: *attempt,
            };
            self.end_unless_expected(key);
        }
    }

    fn end_unless_expected(&mut self, key: EndKey) {
        let state = self.sessions.get_attempt(key.session, key.attempt);
        let is_expected = state.is_some_and(|state| state.is_expected_at(key.server));
        let recovery = self.recovery.as_ref();
        let is_recovering = recovery.is_some_and(|recovery| recovery.contains(key.session));
        if is_expected || is_recovering || self.pending_ends.contains(key) {
            return;
        }
        // A session that plays elsewhere may return to this node under a later epoch.
        let migration = state.and_then(|state| state.migration.as_ref());
        let up_to_epoch = migration.map(|migration| migration.coordinator.latest_epoch());
        self.require_end(key, up_to_epoch);
    }

    /// A node's process is gone.
    pub(super) fn node_down(&mut self, server: ServerId) {
        if let Some(recovery) = &mut self.recovery {
            recovery.node_failed(server);
        }
        self.handle_lost_sessions(server, Timestamp::MAX, &[]);
    }

    /// Handles the loss of sessions that have played at a node since before `before` and that it does not hold, and of
    /// migration targets that were ready there.
    pub(super) fn handle_lost_sessions(
        &mut self,
        server: ServerId,
        before: Timestamp,
        held: &[SessionAttempt],
    ) {
        let mut lost = Vec::new();
        for (session, state) in self.sessions.iter() {
            let attempt = state.last_attempt();
            let held_attempt = SessionAttempt { session, attempt };
            if state.was_held_at(server, before) && !held.contains(&held_attempt) {
                lost.push(held_attempt);
            }
        }
        for SessionAttempt { session, attempt } in lost {
            if !self.node_failed_for(session, server) {
                self.finish_session(session, server, attempt, Outcome::ConnectionReset);
            }
        }
    }

    pub(super) fn node_notified(&mut self, server: ServerId, event: NodeEvent) {
        match event {
            NodeEvent::LoadReported {
                session,
                delivered_fraction,
                link_utilization,
                uplink_utilization,
            } => {
                let load = NodeLoad {
                    delivered_fraction,
                    link_utilization,
                    uplink_utilization,
                };
                self.record_load(session, server, load);
            }
            NodeEvent::StreamFetched {
                session,
                attempt,
                epoch,
            } => self.stream_fetched(server, session, attempt, epoch),
            NodeEvent::SessionEnded { session, attempt } => {
                self.session_ended_at(server, session, attempt);
            }
        }
    }

    fn session_ended_at(&mut self, server: ServerId, session: SessionId, attempt: u32) {
        let Some(state) = self.sessions.get_attempt(session, attempt) else {
            return;
        };
        if state.is_migrating() && self.node_failed_for(session, server) {
            return; // the player has closed one of its two streams; the other one may continue
        }
        let Some(state) = self.sessions.get_mut(session) else {
            return;
        };
        match &mut state.stage {
            Stage::SettingUp(set_up) if set_up.server == server => set_up.ended_early = true,
            Stage::Playing { server: node, .. } if *node == server => {
                self.finish_session(session, server, attempt, Outcome::Success);
            }
            Stage::Playing { .. } | Stage::Ending { .. } => self.confirm_end(EndKey {
                server,
                session,
                attempt,
            }),
            Stage::SettingUp(_) | Stage::Deciding => {}
        }
    }

    /// Passes on a node's load if the session with which it was reported plays there.
    pub(super) fn record_load(&mut self, session: SessionId, server: ServerId, load: NodeLoad) {
        let Some(state) = self.sessions.get(session) else {
            return;
        };
        if state.playing_at() != Some(server) {
            return;
        }
        let attempt = state.last_attempt_of_process();
        if let (Some(migrations), Some(fraction)) = (&mut self.migrations, load.delivered_fraction)
        {
            migrations.report_delivery(self.now, server, fraction);
        }
        for notification in load.notifications() {
            self.events.push_back(Event::Notified {
                session,
                attempt,
                server,
                notification,
            });
        }
    }
}
