//! A model of viewers, nodes and the endpoint list around one director. It applies random steps, and checks the
//! invariants after each of them.

mod checks;

use crate::common::{
    Harness, NODE, endpoint_entry, finish_message, set_up_answer, set_up_rejection, start_message,
    teardown,
};
use crate::steps::Step;
use shalewall::{EndpointState, TimeDelta};
use shalewall_platform_proto::{ConnectError, ConnectionId};
use std::collections::{BTreeMap, BTreeSet};

/// Connect timeout of the settings.
const CONNECT_TIMEOUT: TimeDelta = TimeDelta::from_millis(250);

/// The state of all parties.
pub struct Model {
    harness: Harness,
    viewers: Vec<ConnectionId>,
    last_session: u64,
    last_sequence: u64,
    /// Sessions whose request was withdrawn, or whose viewer disconnected.
    withdrawn: BTreeSet<u64>,
    /// Sessions without an answer, with their viewer's connection.
    pending: BTreeMap<u64, ConnectionId>,
    /// Written bytes of each connection that are not parsed yet.
    unparsed: BTreeMap<ConnectionId, String>,
    /// Unanswered set-ups by the node's connection.
    open_set_ups: BTreeMap<ConnectionId, Vec<u64>>,
    /// Active sessions at nodes: node and session.
    node_sessions: BTreeSet<(u64, u64)>,
    /// The node of each connection.
    node_of: BTreeMap<ConnectionId, u64>,
    answer_counts: BTreeMap<u64, u32>,
    /// Sessions whose viewer has received the answer that they are active.
    started: BTreeSet<u64>,
}

/// Returns the connection at `index` modulo their number.
fn pick(connections: &[ConnectionId], index: usize) -> Option<ConnectionId> {
    if connections.is_empty() {
        None
    } else {
        Some(connections[index % connections.len()])
    }
}

impl Model {
    pub fn new() -> Model {
        let mut harness = Harness::new();
        let viewers = (0..3).map(|_| harness.connect_viewer()).collect();
        Model {
            harness,
            viewers,
            last_session: 100,
            last_sequence: 1,
            withdrawn: BTreeSet::new(),
            pending: BTreeMap::new(),
            unparsed: BTreeMap::new(),
            open_set_ups: BTreeMap::new(),
            node_sessions: BTreeSet::new(),
            node_of: BTreeMap::new(),
            answer_counts: BTreeMap::new(),
            started: BTreeSet::new(),
        }
    }

    // ---- steps -------------------------------------------------------------------------------

    pub fn apply(&mut self, step: &Step) {
        // The director closes silent connections; requests on them would never be answered.
        let closed = &self.harness.closed;
        self.viewers.retain(|viewer| !closed.contains(viewer));
        if self.viewers.is_empty() {
            self.viewers.push(self.harness.connect_viewer());
        }
        match *step {
            Step::Request { viewer, paid } => self.request(viewer, paid),
            Step::Withdraw { request } => self.withdraw(request),
            Step::ViewerCloses { viewer, clean } => self.close_viewer(viewer, clean),
            Step::ViewerEndsStream { viewer } => self.end_viewer_stream(viewer),
            Step::ViewerConnects => self.connect_viewer(),
            Step::NodeConnects { connection } => self.connect_node(connection),
            Step::ConnectFails { connection, error } => self.fail_connect(connection, error),
            Step::NodeAnswers { connection, status } => self.answer(connection, status),
            Step::AnswerLost { connection } => self.lose_answer(connection),
            Step::NodeReleases { connection, cause } => self.release(connection, cause),
            Step::NodeCloses { connection, clean } => self.close_node(connection, clean),
            Step::SocketRefusesWrites { connection } => self.refuse_writes(connection),
            Step::SocketWritesPartially { connection } => self.write_partially(connection),
            Step::SocketsUnblocked => self.unblock_sockets(),
            Step::NodeDrains { node } => self.list_node(node, EndpointState::Draining),
            Step::NodeBecomesReady { node } => self.list_node(node, EndpointState::Ready),
            Step::Advance(span) => self.advance(span),
            Step::ShutdownBegins => self.harness.protocol.begin_shutdown(self.harness.now),
        }
    }

    fn request(&mut self, viewer: usize, paid: bool) {
        let viewer = self.viewers[viewer % self.viewers.len()];
        self.last_session += 1;
        self.pending.insert(self.last_session, viewer);
        let class = if paid { "paid" } else { "free" };
        let message = start_message(self.last_session, class, 1500, "");
        self.harness.receive(viewer, message);
    }

    fn withdraw(&mut self, request: usize) {
        let nth = self.pending.iter().nth(request);
        let Some((session, viewer)) = nth.map(|(session, viewer)| (*session, *viewer)) else {
            return;
        };
        self.pending.remove(&session);
        self.withdrawn.insert(session);
        self.harness.receive(viewer, finish_message(session));
        let started = &self.started;
        self.node_sessions
            .retain(|(_, active)| *active != session || !started.contains(active));
    }

    fn close_viewer(&mut self, viewer: usize, clean: bool) {
        let viewer = self.viewers.remove(viewer % self.viewers.len());
        self.withdraw_all(viewer);
        if clean {
            self.harness.end_stream(viewer);
        } else {
            self.harness.close(viewer, false);
        }
        self.apply(&Step::ViewerConnects);
    }

    /// A viewer sends no more and still reads: its requests need an answer, and must not be forwarded any more.
    fn end_viewer_stream(&mut self, viewer: usize) {
        let viewer = self.viewers.remove(viewer % self.viewers.len());
        let is_blocked = self.harness.refusing_writes.contains(&viewer)
            || self.harness.writing_partially.contains(&viewer);
        if is_blocked {
            self.withdraw_all(viewer);
        } else {
            let sessions = self.pending.iter();
            let sessions = sessions.filter(|(_, connection)| **connection == viewer);
            self.withdrawn.extend(sessions.map(|(session, _)| *session));
        }
        self.harness.end_stream(viewer);
        self.apply(&Step::ViewerConnects);
    }

    fn withdraw_all(&mut self, viewer: ConnectionId) {
        let sessions: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, connection)| **connection == viewer)
            .map(|(session, _)| *session)
            .collect();
        for session in sessions {
            self.pending.remove(&session);
            self.withdrawn.insert(session);
        }
    }

    fn connect_viewer(&mut self) {
        let viewer = self.harness.connect_viewer();
        self.viewers.push(viewer);
    }

    fn connect_node(&mut self, index: usize) {
        if let Some(connection) = self.connecting(index) {
            self.harness.connect(connection);
        }
    }

    fn fail_connect(&mut self, index: usize, error: ConnectError) {
        if let Some(connection) = self.connecting(index) {
            self.harness.fail_connect(connection, error);
        }
    }

    /// A node answers the oldest set-up on that connection.
    fn answer(&mut self, index: usize, status: u16) {
        let Some(connection) = self.established(index) else {
            return;
        };
        let Some(set_ups) = self.open_set_ups.get_mut(&connection) else {
            return;
        };
        if set_ups.is_empty() {
            return;
        }
        let session = set_ups.remove(0);
        if status == 200 {
            let node = self.node_of[&connection];
            self.node_sessions.insert((node, session));
            let answer = set_up_answer(session, "there\r\n");
            self.harness.receive(connection, answer);
        } else {
            let rejection = set_up_rejection(session, status);
            self.harness.receive(connection, rejection);
        }
    }

    /// A node accepts a session, and the answer is lost because the connection closes.
    fn lose_answer(&mut self, index: usize) {
        let Some(connection) = self.established(index) else {
            return;
        };
        let set_ups = self.open_set_ups.get_mut(&connection);
        let Some(session) = set_ups.and_then(Vec::pop) else {
            return;
        };
        let node = self.node_of[&connection];
        self.node_sessions.insert((node, session));
        self.open_set_ups.remove(&connection);
        self.harness.close(connection, false);
    }

    fn release(&mut self, index: usize, cause: i64) {
        let Some(connection) = self.established(index) else {
            return;
        };
        let node = self.node_of.get(&connection).copied().unwrap_or(0);
        let active = self
            .node_sessions
            .iter()
            .find(|(host, session)| *host == node && self.started.contains(session));
        let Some((_, session)) = active.copied() else {
            return;
        };
        self.node_sessions.remove(&(node, session));
        let message = teardown(session, cause, b"");
        self.harness.receive(connection, message);
    }

    fn close_node(&mut self, index: usize, clean: bool) {
        if let Some(connection) = self.established(index) {
            self.open_set_ups.remove(&connection);
            self.harness.close(connection, clean);
        }
    }

    fn refuse_writes(&mut self, index: usize) {
        let connection = self.any_connection(index);
        let writing_partially = &self.harness.writing_partially;
        let allowed = connection.filter(|connection| !writing_partially.contains(connection));
        self.harness.refusing_writes.extend(allowed);
    }

    fn write_partially(&mut self, index: usize) {
        let connection = self.any_connection(index);
        let refusing_writes = &self.harness.refusing_writes;
        for refusing in refusing_writes {
            assert!(!self.harness.writing_partially.contains(refusing));
        }
        let allowed = connection.filter(|connection| !refusing_writes.contains(connection));
        self.harness.writing_partially.extend(allowed);
    }

    fn unblock_sockets(&mut self) {
        for connection in std::mem::take(&mut self.harness.refusing_writes) {
            self.harness.write(connection);
            self.harness.process_outputs();
        }
    }

    fn list_node(&mut self, node: u64, state: EndpointState) {
        self.last_sequence += 1;
        let address = NODE[node as usize - 1];
        let entry = endpoint_entry(node, address, state, None);
        self.harness
            .apply_endpoint_event(self.last_sequence, &[entry]);
    }

    /// Lets time pass. Connections are established within the connect timeout unless a step fails them, so that no node
    /// is unreachable for seconds.
    fn advance(&mut self, span: TimeDelta) {
        if span < CONNECT_TIMEOUT {
            return self.harness.advance(span);
        }
        self.harness.advance(CONNECT_TIMEOUT);
        self.connect_all_nodes();
        self.harness.advance(span - CONNECT_TIMEOUT);
    }

    fn connect_all_nodes(&mut self) {
        for connection in self.node_connections() {
            if !self.harness.is_connecting(connection) {
                continue;
            }
            // The connection may be closed before the next check of what was written on it.
            let node = self.harness.node_of(connection);
            self.node_of.insert(connection, node);
            self.harness.connect(connection);
        }
    }

    // ---- connections -------------------------------------------------------------------------

    fn node_connections(&self) -> Vec<ConnectionId> {
        self.harness.node_connections.keys().copied().collect()
    }

    fn connecting(&self, index: usize) -> Option<ConnectionId> {
        pick(&self.node_connections(), index)
            .filter(|connection| self.harness.is_connecting(*connection))
    }

    fn established(&self, index: usize) -> Option<ConnectionId> {
        let mut connections = self.node_connections();
        connections.retain(|connection| !self.harness.is_connecting(*connection));
        pick(&connections, index)
    }

    /// Even indices select node connections, odd ones viewer connections.
    fn any_connection(&self, index: usize) -> Option<ConnectionId> {
        if index.is_multiple_of(2) {
            self.established(index / 2)
        } else {
            self.viewers.get(index / 2).copied()
        }
    }
}
