//! The round that looks after connections: which are of no more use, and which nodes are to be tried.

use crate::director_protocol::DirectorProtocol;
use crate::linger::CloseReason;
use crate::links::ConnectReason;
use crate::nodes::{REFUSED, SILENCE, UNREACHABLE};
use shalewall::{EndpointState, Micros};

/// A message of which part has come is whole after this, or never.
const PART: Micros = 500_000;

impl DirectorProtocol {
    pub(crate) fn round(&mut self) {
        let now = self.now;
        for id in self.viewers.overdue(now) {
            self.drop_viewer(id);
        }
        for id in self.viewers.stale(now) {
            self.part_viewer(id);
        }
        let since = self.fresh();
        let mut lost = Vec::new();
        for (id, link) in self.links.iter().filter(|(_, l)| l.up) {
            let stands = self.nodes.stands(link.server);
            // A node that drains may take no further connection and still hold what stands there: the last one to it
            // is given up for a better one only, in `node_connected`.
            let last = stands
                && !self
                    .links
                    .of(link.server)
                    .any(|(other, l)| other != id && l.up);
            // Half a message that has come, or bytes that a node does not take.
            let halts = |since: Option<Micros>| since.is_some_and(|t| now - t >= PART);
            if halts(link.part) || halts(link.stuck) || (!link.busy() && link.doubt && !last) {
                lost.push((id, CloseReason::Unusable));
            } else if !link.busy() && link.used < since && !stands {
                lost.push((id, CloseReason::NotNeeded));
            }
        }
        lost.into_iter()
            .for_each(|(id, lost)| self.part_with(id, lost));
        self.let_stale_go();
        let mut over = Vec::new();
        let mut open = Vec::new();
        for (server, node) in self
            .nodes
            .all
            .iter()
            .filter(|(_, n)| !n.standing.is_empty())
        {
            let since = |t: Option<Micros>, span| t.is_some_and(|t| now - t >= span);
            if since(node.unreachable, UNREACHABLE) || since(node.refused, REFUSED) {
                over.push(*server);
                continue;
            }
            let sound = self.links.of(*server).any(|(_, l)| l.up && !l.doubt);
            let under_way = self.links.of(*server).any(|(_, l)| !l.up);
            let doubt = node.unreachable.is_some() || node.refused.is_some();
            if now >= node.retry && !under_way && (!sound || doubt || now - node.heard >= SILENCE) {
                let why = match self.links.of(*server).next() {
                    None => ConnectReason::ActiveSessions,
                    Some(_) if sound => ConnectReason::NodeSilent,
                    Some(_) => ConnectReason::AllSuspect,
                };
                open.push((*server, why));
            }
        }
        for (server, node) in &mut self.nodes.all {
            node.owed.retain(|(until, _)| *until > now);
            if !node.owed.is_empty() && now >= node.retry && self.links.of(*server).next().is_none()
            {
                open.push((*server, ConnectReason::ActiveSessions));
            }
        }
        over.into_iter().for_each(|server| self.gone(server));
        for (server, why) in open {
            self.open_link(server, why);
        }
        let links = &self.links;
        self.nodes.all.retain(|id, n| {
            let of_use =
                !n.standing.is_empty() || !n.owed.is_empty() || links.of(*id).next().is_some();
            n.listed.state != EndpointState::Gone || of_use
        });
    }
}
