//! Players that follow their session: offers to them, words from them, as `docs/protocol.md` has it.

use crate::hub::Hub;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::{future, stream};
use serde::Deserialize;
use shalewall::SessionId;
use shalewall_engine::Input;
use shalewall_http::server::{Reply, Request};
use shalewall_http::sse;
use shalewall_migration::Epoch;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// A sign of life on each stream that has nothing to tell.
const BEAT: Duration = Duration::from_secs(1);
/// Offers that wait for one player; it is offered again what it missed.
const MOST_WAITING: usize = 8;

type Event = (&'static str, String);

/// The open streams, one for a session: the last one that was opened.
#[derive(Default)]
pub struct Follows {
    open: RefCell<HashMap<SessionId, (u64, Sender<Event>)>>,
    next: Cell<u64>,
}

impl Follows {
    fn tell(&self, session: SessionId, event: Event) {
        if let Some((_, sender)) = self.open.borrow().get(&session) {
            let _ = sender.try_send(event); // full: it is offered again
        }
    }

    pub fn offer(&self, session: SessionId, epoch: Epoch, media: &str) {
        let data = serde_json::json!({ "epoch": epoch.0, "media": media }).to_string();
        self.tell(session, ("offer", data));
    }

    /// Its stream says so and ends.
    pub fn over(&self, session: SessionId) {
        self.tell(session, ("over", "{}".to_string()));
        self.open.borrow_mut().remove(&session);
    }
}

/// Held by a stream. When it goes, its player does not follow any more, unless it has opened another one.
struct Open {
    hub: Rc<Hub>,
    session: SessionId,
    number: u64,
}

impl Drop for Open {
    fn drop(&mut self) {
        let mut open = self.hub.follows.open.borrow_mut();
        if open
            .get(&self.session)
            .is_some_and(|(number, _)| *number == self.number)
        {
            open.remove(&self.session);
            drop(open);
            self.hub.feed(Input::PlayerFollowing {
                session: self.session,
                playing_epoch: None,
            });
        }
    }
}

/// `GET /sessions/{session}/events`.
pub fn events(hub: &Rc<Hub>, session: SessionId, request: &Request) -> Reply {
    let plays = match request.head.query("epoch").map(str::parse) {
        None => Epoch(0),
        Some(Ok(epoch)) => Epoch(epoch),
        Some(Err(_)) => return Reply::problem(400, "epoch is a number"),
    };
    if hub.key.get().is_none() {
        return Reply::problem(404, "sessions are not handed over here");
    }
    let follows = &hub.follows;
    let number = follows.next.get();
    follows.next.set(number + 1);
    let (sender, receiver) = async_channel::bounded(MOST_WAITING);
    follows.open.borrow_mut().insert(session, (number, sender));
    let open = Open {
        hub: hub.clone(),
        session,
        number,
    };
    hub.feed(Input::PlayerFollowing {
        session,
        playing_epoch: Some(plays),
    });
    let rest = stream::unfold((open, receiver), |(open, receiver)| async {
        let beat = async {
            Timer::after(BEAT).await;
            Some(sse::BEAT.to_vec())
        };
        let next = async {
            let (kind, data) = receiver.recv().await.ok()?;
            let mut out = Vec::new();
            sse::write(&mut out, kind, &data);
            Some(out)
        };
        future::or(next, beat)
            .await
            .map(|out| (out, (open, receiver)))
    });
    let first = stream::once(sse::BEAT.to_vec());
    let events = futures_lite::StreamExt::chain(first, rest);
    Reply::new(200)
        .with("Content-Type", "text/event-stream")
        .pieces(events)
}

#[derive(Deserialize)]
struct OfEpoch {
    epoch: u32,
}

#[derive(Deserialize)]
struct Silent {
    buffer_ms: u32,
}

/// `POST /sessions/{session}/{word}`. None: there is no such word.
pub fn word(hub: &Rc<Hub>, session: SessionId, word: &str, request: &Request) -> Option<Reply> {
    let epoch = || serde_json::from_slice::<OfEpoch>(&request.body).map(|x| Epoch(x.epoch));
    let input = match word {
        "playing" => epoch().map(|epoch| Input::EpochPlaying { session, epoch }),
        "declined" => epoch().map(|epoch| Input::EpochDeclined { session, epoch }),
        "silent" => serde_json::from_slice::<Silent>(&request.body).map(|x| Input::StreamSilent {
            session,
            buffered: i64::from(x.buffer_ms) * 1000,
        }),
        _ => return None,
    };
    Some(match input {
        Err(e) => Reply::problem(422, &e.to_string()),
        Ok(input) => {
            hub.feed(input);
            Reply::new(204)
        }
    })
}
