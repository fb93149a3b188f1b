//! What a connection writes next. Nothing leaves the table of sessions before its socket takes it: what waits for room
//! there is judged again when there is some.

use crate::director_protocol::{ConnectionId, ConnectionKind, DirectorProtocol};
use crate::linger::CloseReason;
use crate::links::{Item, LinkId};
use crate::rtsp;
use crate::viewer_message::cause;
use shalewall::Micros;

/// What a connection is to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Transmit {
    /// Write this whole, then ask again: asking says that it was written. Where the socket takes nothing of it, give it
    /// back with [`DirectorProtocol::return_unwritten`] and ask again when it does.
    Bytes(Vec<u8>),
    Wait,
    /// Close this side's half; what comes is still to be given to [`DirectorProtocol::handle_bytes`].
    Finish,
    /// Close it if nothing waits to be read, and say [`DirectorProtocol::connection_closed`]; else give what came to [`DirectorProtocol::handle_bytes`].
    CloseIfQuiet,
    Close,
}

impl DirectorProtocol {
    /// The next bytes of a connection; those given before have been written whole.
    pub fn poll_transmit(&mut self, now: Micros, conn: ConnectionId) -> Transmit {
        self.now = now;
        let id = match conn.0 {
            ConnectionKind::Node(id) => id,
            ConnectionKind::Viewer(id) => {
                if let Some(bytes) = self.viewers.pop(id) {
                    return Transmit::Bytes(bytes);
                }
                return match self.viewers.all.get(&id) {
                    None => Transmit::Close,
                    Some(v) if v.closes() => Transmit::Finish,
                    Some(_) if self.viewers.parts(id) => Transmit::CloseIfQuiet,
                    Some(_) => Transmit::Wait,
                };
            }
        };
        loop {
            let Some(link) = self.links.get(id) else {
                return if self.lingering.has(id) {
                    Transmit::Finish
                } else {
                    Transmit::Close
                };
            };
            (link.stuck, link.releasing) = (None, None);
            if let Some((session, attempt)) = link.writing.take() {
                self.whole(session, attempt);
                continue;
            }
            if let Some((session, _)) = link.giving.take() {
                self.next_attempt(session);
                continue;
            }
            let bytes = match link.pop() {
                None => return Transmit::Wait,
                Some(Item::Bytes(bytes)) => bytes,
                Some(Item::GiveUp(session, tag)) => {
                    link.giving = Some((session, tag));
                    rtsp::give_up(tag)
                }
                Some(Item::Release(tag)) => {
                    link.releasing = Some(tag);
                    rtsp::release(tag, cause::CANCELLED)
                }
                // Two nodes may be reached in either order: no two attempts are to be out.
                Some(Item::SetUp(session, attempt @ 1..)) if self.links.gives_up(session) => {
                    self.links
                        .get(id)
                        .into_iter()
                        .for_each(|l| l.put_back(Item::SetUp(session, attempt)));
                    return Transmit::Wait;
                }
                Some(Item::SetUp(session, attempt)) => match self.worded(session, attempt) {
                    Some(bytes) => {
                        self.links
                            .get(id)
                            .into_iter()
                            .for_each(|l| l.writing = Some((session, attempt)));
                        bytes
                    }
                    None => {
                        self.run();
                        continue;
                    }
                },
            };
            if let Some(link) = self.links.get(id) {
                // Only what is said or heard keeps the node from closing the connection as idle.
                (link.used, link.stuck) = (now, Some(now));
            }
            return Transmit::Bytes(bytes);
        }
    }

    /// The socket took nothing of the bytes given last: what goes back to its place can still be taken back.
    pub fn return_unwritten(&mut self, now: Micros, conn: ConnectionId, bytes: Vec<u8>) {
        self.now = now;
        let id = match conn.0 {
            ConnectionKind::Viewer(id) => return self.viewers.untaken(id, bytes),
            ConnectionKind::Node(id) => id,
        };
        let Some(link) = self.links.get(id) else {
            return;
        };
        if let Some((session, attempt)) = link.writing.take() {
            link.put_back(Item::SetUp(session, attempt));
            self.unworded(session, attempt);
        } else if let Some((session, tag)) = link.giving.take() {
            link.put_back(Item::GiveUp(session, tag));
            self.said_by_closing(id);
        } else if let Some(tag) = link.releasing.take() {
            link.put_back(Item::Release(tag));
        } else {
            link.put_back(Item::Bytes(bytes));
        }
    }

    /// The socket took a part of the bytes given last, and no more at present.
    pub fn partially_written(&mut self, now: Micros, conn: ConnectionId) {
        self.now = now;
        if let ConnectionKind::Node(id) = conn.0
            && self.links.get(id).is_some_and(|l| l.giving.is_some())
        {
            self.said_by_closing(id);
        }
    }

    /// Where a node does not take the word that a set-up is given up, closing the connection says the same at once, and the
    /// next attempt need not wait. Not where the answer to another one is waited for on it.
    fn said_by_closing(&mut self, id: LinkId) {
        if self.links.get(id).is_some_and(|l| l.open.is_empty()) {
            self.drop_link(id, CloseReason::Unusable);
            self.run();
        }
    }
}
