//! Transfers: sessions that have been active at a node since before this director's start, and whose viewers announce
//! them to it.
//!
//! A viewer's connections and a node's are independent: the node may release a session before the session is
//! transferred. Such a release is kept until then.

use super::DirectorProtocol;
use crate::HexId;
use crate::ids::ViewerId;
use crate::session_request::SessionRequest;
use crate::viewer_message::{ViewerMessage, cause};
use shalewall::{Event, ServerId};

/// A session that ended before it was transferred.
struct EndedBefore {
    /// The cause for the viewer; `None` if the viewer is not notified.
    viewer_cause: Option<i64>,
}

impl DirectorProtocol {
    /// Handles the transfer of a session that is active at a node. The viewer is only notified if the session has ended.
    pub(super) fn handle_transfer(
        &mut self,
        viewer: ViewerId,
        wire_id: HexId,
        server: ServerId,
        request: SessionRequest,
    ) {
        match self.find_end(wire_id, server) {
            Some(ended) => self.release_transfer(viewer, wire_id, ended),
            None => self.adopt_session(viewer, wire_id, server, request),
        }
    }

    /// Returns the end of the session if it has already ended.
    fn find_end(&mut self, wire_id: HexId, server: ServerId) -> Option<EndedBefore> {
        // Ids must not be reused.
        if self.sessions.has_ended(wire_id) {
            let viewer_cause = Some(cause::INVALID);
            return Some(EndedBefore { viewer_cause });
        }
        // A session at a node that is not in the endpoint list has ended.
        if !self.nodes.contains(server) {
            let viewer_cause = Some(cause::FAILED);
            return Some(EndedBefore { viewer_cause });
        }
        let release = self.sessions.take_early_release(wire_id, server)?;
        self.sessions.record_ended(wire_id);
        let viewer_cause = release.viewer_cause;
        Some(EndedBefore { viewer_cause })
    }

    fn release_transfer(&mut self, viewer: ViewerId, wire_id: HexId, ended: EndedBefore) {
        let Some(address) = self.viewers.address(viewer) else {
            return;
        };
        if let Some(cause) = ended.viewer_cause {
            let release = ViewerMessage::finish(wire_id, cause).encode();
            self.send_release_to_viewer(Some(viewer), address, release);
        }
    }

    fn adopt_session(
        &mut self,
        viewer: ViewerId,
        wire_id: HexId,
        server: ServerId,
        request: SessionRequest,
    ) {
        if let Some((id, request)) = self.insert_session(viewer, wire_id, request) {
            self.session_activated(id, server);
            self.events
                .push_back(Event::SessionTransferred(request, server));
        }
    }
}
