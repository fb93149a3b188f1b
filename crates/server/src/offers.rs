//! The open event streams of players, one for a session: where offers to migrate are put.

use async_channel::{Receiver, Sender};
use shalewall::SessionId;
use shalewall_migration::Epoch;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;

/// Events that wait for one player; it is offered again what it missed.
const MAX_WAITING_EVENTS: usize = 8;

/// An event for a player, as its stream carries it.
pub struct PlayerEvent {
    /// Kind of the event.
    pub kind: &'static str,
    /// Its data, JSON.
    pub data: String,
}

/// Distinguishes the streams that were opened for a session one after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamId(u64);

struct PlayerStream {
    id: StreamId,
    sender: Sender<PlayerEvent>,
}

/// The open streams, one for a session: the last one that was opened.
#[derive(Default)]
pub struct PlayerStreams {
    open: RefCell<HashMap<SessionId, PlayerStream>>,
    next_id: Cell<u64>,
}

impl PlayerStreams {
    /// Opens a stream in place of the one before.
    pub fn open(&self, session: SessionId) -> (StreamId, Receiver<PlayerEvent>) {
        let id = StreamId(self.next_id.get());
        self.next_id.set(id.0 + 1);
        let (sender, receiver) = async_channel::bounded(MAX_WAITING_EVENTS);
        let stream = PlayerStream { id, sender };
        self.open.borrow_mut().insert(session, stream);
        (id, receiver)
    }

    /// Closes a stream. False where another one was opened in its place, or the session is over.
    pub fn close(&self, session: SessionId, id: StreamId) -> bool {
        let mut open = self.open.borrow_mut();
        let is_open = open.get(&session).is_some_and(|stream| stream.id == id);
        if is_open {
            open.remove(&session);
        }
        is_open
    }

    /// Offers the player another node to fetch from.
    pub fn offer_migration(&self, session: SessionId, epoch: Epoch, media: &str) {
        let data = serde_json::json!({ "epoch": epoch.0, "media": media });
        self.send(session, "offer", data.to_string());
    }

    /// The session is over: its stream says so and ends.
    pub fn end_session(&self, session: SessionId) {
        self.send(session, "over", "{}".to_string());
        self.open.borrow_mut().remove(&session);
    }

    fn send(&self, session: SessionId, kind: &'static str, data: String) {
        if let Some(stream) = self.open.borrow().get(&session) {
            // Where the player has not read so many events, this one is offered again.
            let _ = stream.sender.try_send(PlayerEvent { kind, data });
        }
    }
}
