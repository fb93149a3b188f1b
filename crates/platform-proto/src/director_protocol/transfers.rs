//! Transfers: sessions that have been active at a node since before this director's start, and whose viewers announce
//! them to it.
//!
//! Connections are independent of each other: the node may release a session, or the viewer end it on another
//! connection, before the session is transferred. Such an end is kept until then.

use super::DirectorProtocol;
use crate::HexId;
use crate::ids::ViewerId;
use crate::log_event::LogEvent;
use crate::permission::{self, RejectReason, TransferState};
use crate::session_request::SessionRequest;
use crate::viewer_message::{ViewerMessage, cause};
use shalewall::{Event, Outcome, ServerId, SessionId};

/// Sessions of a node beyond its capacity, as a multiple of that: a transfer may arrive before the release of another
/// session.
const CAPACITY_TOLERANCE: f64 = 2.0;
/// Maximum number of transferred sessions that one maintenance checks.
const MAX_CHECKED_TRANSFERS: usize = 64;

impl DirectorProtocol {
    /// Handles the transfer of a session that is active at a node. The viewer is only notified if the session has ended.
    pub(super) fn handle_transfer(
        &mut self,
        viewer: ViewerId,
        wire_id: HexId,
        server: ServerId,
        request: SessionRequest,
    ) {
        let was_used = self.sessions.has_ended(wire_id);
        let is_node_listed = self.nodes.contains(server);
        if let Err(reason) = permission::accept_transfer(was_used, is_node_listed) {
            return self.reject_transfer(viewer, wire_id, reason);
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

    fn reject_transfer(&mut self, viewer: ViewerId, wire_id: HexId, reason: RejectReason) {
        self.outputs.log(LogEvent::RequestRejected {
            session: wire_id,
            reason,
        });
        self.release_transfer(viewer, wire_id, reason.cause());
    }

    /// Takes over a session, unless there is no capacity for it. The decision module counts no more sessions at a node
    /// than that can have: sessions that do not exist must not keep others from it.
    fn adopt_session(
        &mut self,
        viewer: ViewerId,
        wire_id: HexId,
        server: ServerId,
        request: SessionRequest,
    ) {
        match self.take_over(viewer) {
            Ok(displaced) => displaced
                .into_iter()
                .for_each(|displaced| self.end_unconfirmed(displaced)),
            Err(reason) => return self.reject_transfer(viewer, wire_id, reason),
        }
        let is_counted = !self.has_all_sessions(server);
        if let Some((id, request)) = self.insert_session(viewer, wire_id, request) {
            self.sessions.mark_transferred(id, viewer);
            self.session_activated(id, server);
            if is_counted {
                self.events
                    .push_back(Event::SessionTransferred(request, server));
            }
        }
    }

    // ---- limits ------------------------------------------------------------------------------

    /// Decides whether a session is taken over; returns the session that it displaces, if any.
    fn take_over(&self, viewer: ViewerId) -> Result<Option<SessionId>, RejectReason> {
        let unconfirmed = self.sessions.unconfirmed();
        let limits = &self.memory_limits;
        // With the new session, the viewer would have as many as the one that loses a session keeps.
        let count = unconfirmed.count_of(viewer) + 1;
        permission::take_over(&TransferState {
            is_full: unconfirmed.len() >= limits.max_unconfirmed
                || self.sessions.len() >= limits.max_sessions,
            displaceable: unconfirmed.find_displaceable(count),
        })
    }

    /// Whether as many sessions are known at a node as it can have. Without its capacity in the settings there is no
    /// such limit.
    fn has_all_sessions(&self, server: ServerId) -> bool {
        let Some(node) = self.nodes.get(server) else {
            return false;
        };
        let capacity = node
            .endpoint()
            .machine_kind
            .and_then(|kind| self.settings.stream_capacity_by_kind.get(kind))
            .filter(|streams| **streams > 0.0);
        let sessions = node.active_sessions().len();
        capacity.is_some_and(|streams| sessions as f64 >= streams * CAPACITY_TOLERANCE)
    }

    /// Ends a transferred session that no node has confirmed, as rejected. It is not released at the node, which
    /// probably has no such session: if it has, the viewer may transfer it to another director.
    fn end_unconfirmed(&mut self, id: SessionId) {
        self.end_session(id, Outcome::Cancelled.into(), Some(cause::REJECTED));
    }

    /// Ends transferred sessions that no node has confirmed for long and whose viewers have disconnected.
    pub(super) fn end_abandoned_transfers(&mut self) {
        let unconfirmed = self.sessions.unconfirmed();
        let checked = unconfirmed.sessions_after(self.last_checked_transfer, MAX_CHECKED_TRANSFERS);
        if let Some(last) = checked.last() {
            self.last_checked_transfer = *last;
        }
        for id in checked {
            let is_abandoned = self
                .sessions
                .get(id)
                .is_some_and(|session| session.is_abandoned(self.now));
            if is_abandoned {
                self.release_session(id);
            }
        }
    }
}
