//! The open event streams of players, one per session, which deliver migration offers.

use async_channel::{Receiver, Sender};
use shalewall::SessionId;
use shalewall_migration::Epoch;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;

/// Maximum number of events queued for one player. Events beyond it are dropped; the engine repeats a lost offer.
const MAX_WAITING_EVENTS: usize = 8;

/// A server-sent event for a player.
pub struct PlayerEvent {
    /// The event's type.
    pub kind: &'static str,
    /// The event's data, as JSON.
    pub data: String,
}

/// Distinguishes successive streams of the same session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamId(u64);

struct PlayerStream {
    id: StreamId,
    sender: Sender<PlayerEvent>,
}

/// The open streams by session. A session has at most one, the stream opened last.
#[derive(Default)]
pub struct PlayerStreams {
    open: RefCell<HashMap<SessionId, PlayerStream>>,
    next_id: Cell<u64>,
}

impl PlayerStreams {
    /// Opens a stream, which replaces the session's previous one.
    pub fn open(&self, session: SessionId) -> (StreamId, Receiver<PlayerEvent>) {
        let id = StreamId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        let (sender, receiver) = async_channel::bounded(MAX_WAITING_EVENTS);
        let stream = PlayerStream { id, sender };
        self.open.borrow_mut().insert(session, stream);
        (id, receiver)
    }

    /// Closes a stream. Returns `false` if it was already replaced by another one or its session has ended.
    pub fn close(&self, session: SessionId, id: StreamId) -> bool {
        let mut open = self.open.borrow_mut();
        let is_open = open.get(&session).is_some_and(|stream| stream.id == id);
        if is_open {
            open.remove(&session);
        }
        is_open
    }

    /// Sends the player an offer to fetch the stream from another node.
    pub fn offer_migration(&self, session: SessionId, epoch: Epoch, media: &str) {
        let data = serde_json::json!({ "epoch": epoch.0, "media": media });
        self.send(session, "offer", data.to_string());
    }

    /// Reports the session's end to the player and closes the stream.
    pub fn end_session(&self, session: SessionId) {
        self.send(session, "over", "{}".to_string());
        self.open.borrow_mut().remove(&session);
    }

    fn send(&self, session: SessionId, kind: &'static str, data: String) {
        if let Some(stream) = self.open.borrow().get(&session) {
            // If the queue is full, this event is dropped; the engine offers the migration again.
            let _ = stream.sender.try_send(PlayerEvent { kind, data });
        }
    }
}
