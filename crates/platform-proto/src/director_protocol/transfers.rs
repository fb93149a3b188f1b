//! Transfers: sessions that have been active at a node since before this director's start, and whose viewers announce
//! them to it.
//!
//! Connections are independent of each other: the node may release a session, or the viewer end it on another
//! connection, before the session is transferred. Such an end is kept until then.

use super::DirectorProtocol;
use crate::HexId;
use crate::ids::ViewerId;
use crate::session_request::SessionRequest;
use crate::viewer_message::{ViewerMessage, cause};
use shalewall::{Event, ServerId};

impl DirectorProtocol {
    /// Handles the transfer of a session that is active at a node. The viewer is only notified if the session has ended.
    pub(super) fn handle_transfer(
        &mut self,
        viewer: ViewerId,
        wire_id: HexId,
        server: ServerId,
        request: SessionRequest,
    ) {
        // Ids must not be reused.
        if self.sessions.has_ended(wire_id) {
            return self.release_transfer(viewer, wire_id, cause::INVALID);
        }
        // A session at a node that is not in the endpoint list has ended.
        if !self.nodes.contains(server) {
            return self.release_transfer(viewer, wire_id, cause::FAILED);
        }
        let early_release = self.sessions.take_early_release(wire_id, server);
        let was_ended_by_viewer = self.sessions.was_withdrawn(wire_id);
        match early_release {
            None if !was_ended_by_viewer => {
                return self.adopt_session(viewer, wire_id, server, request);
            }
            None => self.release_at_node(server, None, wire_id),
            Some(_) if was_ended_by_viewer => {}
            Some(release) => {
                if let Some(cause) = release.viewer_cause {
                    self.release_transfer(viewer, wire_id, cause);
                }
            }
        }
        self.sessions.record_ended(wire_id);
    }

    /// Notifies the viewer that the session it transfers has ended.
    fn release_transfer(&mut self, viewer: ViewerId, wire_id: HexId, cause: i64) {
        let Some(address) = self.viewers.address(viewer) else {
            return;
        };
        let release = ViewerMessage::finish(wire_id, cause).encode();
        self.send_release_to_viewer(Some(viewer), address, release);
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
