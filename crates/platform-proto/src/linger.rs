//! How connections to nodes end, and the lingering close.
//!
//! A close says nothing of what the other side wrote before it learned of it: bytes on their way are dropped unread.
//! A node says the end of a session once, on one connection, and again only on the next one opened after that. So a
//! connection over which an end may be under way is given up in two steps: this side writes no more, and reads on
//! until the node has closed, too. Where a stream can't be read any further, the next connection is opened only once
//! the node must have learned of the close: whatever it said before that, it says again there.

use crate::director_protocol::{
    ConnectError, ConnectionId, ConnectionKind, DirectorProtocol, Due, Output,
};
use crate::links::{ConnectReason, LinkId};
use crate::rtsp::RtspDecoder;
use shalewall::{LoadReport, Micros, Outcome, ServerId};
use std::collections::BTreeMap;

/// A node that stands still has not closed after this, and its connection is not waited for any longer: what it says
/// later it says again on a connection that was opened since.
const LINGER: Micros = 5_000_000;

/// How a connection to a node ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CloseReason {
    /// It did not come up.
    ConnectFailed(ConnectError),
    /// Of no more use to this side.
    NotNeeded,
    /// Something was given up on it, and there is a better one.
    Replaced,
    /// Closed by the node after its last message: nothing on it is unheard.
    ClosedByNode,
    /// Broken: what the node said last on it may be unheard, and is said again on the next one.
    Broken,
    /// Not to be read any further, or silent: as `Broken`, but the node has still to learn of it.
    Unusable,
}

struct Lingerer {
    server: ServerId,
    reader: RtspDecoder,
    until: Micros,
}

/// Connections to nodes that are written no more and still read.
#[derive(Default)]
pub(crate) struct Lingering(BTreeMap<LinkId, Lingerer>);

impl Lingering {
    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn has(&self, id: LinkId) -> bool {
        self.0.contains_key(&id)
    }

    /// Whether the node there has still to close one.
    pub fn at(&self, server: ServerId) -> bool {
        self.0.values().any(|l| l.server == server)
    }

    fn stale(&self, now: Micros) -> Vec<LinkId> {
        self.0
            .iter()
            .filter(|(_, l)| l.until <= now)
            .map(|(id, _)| *id)
            .collect()
    }
}

impl DirectorProtocol {
    /// A connection to a node ends; what was open on it ends with it, or never left.
    pub(crate) fn drop_link(&mut self, id: LinkId, lost: CloseReason) {
        let Some(link) = self.links.remove(id) else {
            return;
        };
        self.outputs
            .push_back(Output::Close(ConnectionId(ConnectionKind::Node(id))));
        let outcome = match lost {
            CloseReason::ConnectFailed(ConnectError::LocalShortage) => Outcome::NotSent,
            CloseReason::ConnectFailed(_) => Outcome::ConnectionFailed,
            CloseReason::NotNeeded
            | CloseReason::Replaced
            | CloseReason::ClosedByNode
            | CloseReason::Broken
            | CloseReason::Unusable => Outcome::ConnectionReset,
        };
        // Closed by the node after its last message, nothing on it is unheard.
        let crossed = !matches!(
            lost,
            CloseReason::ClosedByNode | CloseReason::ConnectFailed(_)
        );
        let given_up = link.given_up().map(|(_, tag)| tag);
        let whole = link
            .open
            .iter()
            .filter(|_| crossed)
            .filter_map(|id| self.may_stand(*id));
        let owed: Vec<_> = given_up.chain(whole).chain(link.unreleased()).collect();
        link.given_up()
            .for_each(|(session, _)| self.next_attempt(session));
        for session in link.open {
            self.cut(session, outcome);
        }
        for probe in link.probes {
            self.probed(probe, None, outcome, LoadReport::default());
        }
        if lost == CloseReason::Unusable {
            self.open_after(link.server);
        }
        if !owed.is_empty() {
            self.owe_release(link.server, owed);
        }
        self.lost(id, link.server, lost);
    }

    /// What stands at a node is told over the next connection, and a refused one tells that it is over.
    fn lost(&mut self, id: LinkId, server: ServerId, lost: CloseReason) {
        *self.lost.entry(lost).or_default() += 1;
        self.outputs.push_back(Output::Log(format!(
            "node s-{:08x}: link {} {lost:?}",
            server.0, id.0
        )));
        let unheard = matches!(lost, CloseReason::Broken | CloseReason::Unusable);
        if self.nodes.due(server, self.now) && (unheard || self.links.of(server).next().is_none()) {
            self.open_link(server, ConnectReason::ActiveSessions);
        }
    }

    /// Gives up a connection that nothing waits on.
    pub(crate) fn part_with(&mut self, id: LinkId, lost: CloseReason) {
        let Some(link) = self.links.get(id) else {
            return;
        };
        let (server, quiet) = (link.server, link.up && !link.busy() && link.part.is_none());
        if !quiet || !self.nodes.stands(server) {
            return self.drop_link(id, lost);
        }
        let Some(link) = self.links.remove(id) else {
            return;
        };
        let until = self.now + LINGER;
        self.lingering.0.insert(
            id,
            Lingerer {
                server,
                reader: link.reader,
                until,
            },
        );
        self.outputs
            .push_back(Output::Write(ConnectionId(ConnectionKind::Node(id))));
        self.lost(id, server, lost);
    }

    /// What a node says on a connection that is given up. False: it is not one of those.
    pub(crate) fn last_words(&mut self, id: LinkId, bytes: &[u8]) -> bool {
        let Some(link) = self.lingering.0.get_mut(&id) else {
            return false;
        };
        link.reader.push(bytes);
        while let Some(link) = self.lingering.0.get_mut(&id) {
            let server = link.server;
            match link.reader.message() {
                Ok(Some(message)) => {
                    if let Some(node) = self.nodes.all.get_mut(&server) {
                        (node.heard, node.refused) = (self.now, None);
                    }
                    self.heard(id, server, message);
                    self.run();
                }
                Ok(None) => break,
                Err(why) => {
                    self.outputs
                        .push_back(Output::Log(format!("node s-{:08x}: {why}", server.0)));
                    self.let_go(id);
                    self.open_after(server);
                }
            }
        }
        true
    }

    /// Closes a connection that was lingering, if it was.
    pub(crate) fn let_go(&mut self, id: LinkId) -> bool {
        let was = self.lingering.0.remove(&id).is_some();
        if was {
            self.outputs
                .push_back(Output::Close(ConnectionId(ConnectionKind::Node(id))));
        }
        was
    }

    /// Closes those that have lingered long enough.
    pub(crate) fn let_stale_go(&mut self) {
        for id in self.lingering.stale(self.now) {
            self.let_go(id);
        }
    }

    /// Room for a connection to a node, if need be at the cost of one that lingers.
    pub(crate) fn make_room(&mut self) {
        if self.links.len() + self.lingering.len() >= self.links.most
            && let Some(oldest) = self.lingering.0.keys().next().copied()
        {
            self.let_go(oldest);
        }
    }

    /// What a node said on a connection that this side closed is heard on the next one: opened once the node has
    /// learned of the close, which takes it no longer than a connection takes to come up.
    pub(crate) fn open_after(&mut self, server: ServerId) {
        let at = self.now + self.connect_within();
        if let Some(node) = self
            .nodes
            .all
            .get_mut(&server)
            .filter(|n| !n.standing.is_empty())
        {
            node.retry = node.retry.max(at);
            self.timers.set(at, Due::Again(server));
        }
    }

    /// The time for that has come.
    pub(crate) fn open_again(&mut self, server: ServerId) {
        if self.nodes.due(server, self.now) {
            self.open_link(server, ConnectReason::ActiveSessions);
        }
    }
}
