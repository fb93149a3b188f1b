//! Periodic maintenance: closes connections that are no longer needed, and checks nodes that may be gone.

use super::{DirectorProtocol, Timer};
use crate::connection_reasons::{CloseReason, ConnectReason};
use crate::ids::NodeConnectionId;
use crate::node::Reachability;
use crate::permission::ViewerCloseReason;
use shalewall::{ServerId, SessionId, TimeDelta};

const MAINTENANCE_INTERVAL: TimeDelta = TimeDelta::from_millis(250);

/// Number of timers that may be pending in addition to those of sessions before obsolete ones are removed.
const MAX_OBSOLETE_TIMERS: usize = 1024;
/// Timers that a session may have, for its deadline and its attempts.
const TIMERS_PER_SESSION: usize = 4;

/// Nodes that are considered gone, and nodes to which a connection has to be opened.
#[derive(Default)]
struct ReachabilityPlan {
    gone: Vec<ServerId>,
    to_connect: Vec<(ServerId, ConnectReason)>,
}

impl DirectorProtocol {
    pub(super) fn set_maintenance_timer(&mut self) {
        let due = self.now + MAINTENANCE_INTERVAL;
        self.timers.set(due, Timer::Maintenance);
    }

    pub(super) fn maintain(&mut self) {
        self.maintain_viewers();
        self.maintain_node_connections();
        self.maintain_nodes();
        self.end_abandoned_transfers();
        self.remove_obsolete_timers();
    }

    /// Removes the timers of requests that have ended, once they outnumber the sessions: a viewer may state that it waits
    /// for an hour, and withdraw its request at once.
    fn remove_obsolete_timers(&mut self) {
        if self.timers.len() <= MAX_OBSOLETE_TIMERS + TIMERS_PER_SESSION * self.sessions.len() {
            return;
        }
        let (sessions, last_id) = (&self.sessions, self.last_id);
        self.timers.retain(|timer| match timer {
            // The decision module's timers of requests have the number of the session.
            Timer::Module(token) => *token > last_id || sessions.contains(SessionId(*token)),
            Timer::Attempt(session, _) => sessions.contains(*session),
            _ => true,
        });
    }

    fn maintain_viewers(&mut self) {
        for id in self.viewers.close_timed_out(self.now) {
            self.close_viewer(id, ViewerCloseReason::CloseTimeout);
        }
        self.viewers.expire_releases(self.now);
        for id in self.viewers.stale(self.now) {
            self.close_viewer_if_no_unread_bytes(id);
        }
    }

    fn maintain_node_connections(&mut self) {
        for (id, reason) in self.find_connections_to_close() {
            self.close_gracefully(id, reason);
        }
        for id in self.half_closed.expired(self.now) {
            self.abort(id);
        }
    }

    fn find_connections_to_close(&self) -> Vec<(NodeConnectionId, CloseReason)> {
        let used_since = self.timeouts.idle_cutoff(self.now);
        let mut to_close = Vec::new();
        for (id, connection) in self.node_connections.iter() {
            if !connection.is_connected() {
                continue;
            }
            let server = connection.server();
            let has_active_sessions = self.nodes.has_active_sessions(server);
            // A draining node may refuse new connections while sessions are still active there: the last connection to
            // it is only closed once a healthy one has replaced it.
            let is_last = has_active_sessions
                && !self
                    .node_connections
                    .to_server(server)
                    .any(|(other, connection)| other != id && connection.is_connected());
            let is_idle = !connection.is_busy();
            if connection.is_stalled(self.now) || (is_idle && connection.is_suspect() && !is_last) {
                to_close.push((id, CloseReason::Unusable));
            } else if is_idle && connection.last_used_at() < used_since && !has_active_sessions {
                to_close.push((id, CloseReason::NotNeeded));
            }
        }
        to_close
    }

    fn maintain_nodes(&mut self) {
        let plan = self.plan_reachability();
        for server in plan.gone {
            self.node_process_gone(server);
        }
        for (server, reason) in plan.to_connect {
            self.open_node_connection(server, reason);
        }
        let connections = &self.node_connections;
        self.nodes
            .remove_gone(|server| connections.has_connection(server));
    }

    fn plan_reachability(&mut self) -> ReachabilityPlan {
        let mut plan = ReachabilityPlan::default();
        for (server, node) in self.nodes.iter() {
            if !node.has_active_sessions() {
                continue;
            }
            let connectivity = self.node_connections.connectivity(server);
            match node.reachability(connectivity, self.now) {
                Reachability::Reachable => {}
                Reachability::Gone => plan.gone.push(server),
                Reachability::Reconnect(reason) => plan.to_connect.push((server, reason)),
            }
        }
        for (server, node) in self.nodes.iter_mut() {
            node.expire_pending_releases(self.now);
            let needs_connection = node.has_pending_releases()
                && node.may_reconnect(self.now)
                && !self.node_connections.has_connection(server);
            if needs_connection {
                let reason = ConnectReason::ActiveSessions;
                plan.to_connect.push((server, reason));
            }
        }
        plan
    }
}
