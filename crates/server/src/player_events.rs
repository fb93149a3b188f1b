//! Event streams and reports of players that support migration. `docs/protocol.md` specifies them.

use crate::event_loop::EventLoop;
use crate::player_streams::{PlayerEvent, StreamId};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::{StreamExt, future, stream};
use serde::Deserialize;
use shalewall::{SessionId, TimeDelta};
use shalewall_engine::Input;
use shalewall_http::server::{Reply, Request};
use shalewall_http::sse;
use shalewall_migration::Epoch;
use std::rc::Rc;
use std::time::Duration;

/// Interval of keep-alives on a stream without events.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// An open event stream. Dropping it reports to the engine that the player can no longer receive migration offers,
/// unless the player has opened another stream.
struct OpenStream {
    event_loop: Rc<EventLoop>,
    session: SessionId,
    id: StreamId,
    events: Receiver<PlayerEvent>,
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        let session = self.session;
        if self.event_loop.player_streams.close(session, self.id) {
            self.event_loop.handle(Input::PlayerSubscription {
                session,
                playing_epoch: None,
            });
        }
    }
}

impl OpenStream {
    /// The next event, or a keep-alive if none arrives within the interval. Returns `None` once the session has ended.
    async fn next_bytes(&self) -> Option<Vec<u8>> {
        let keep_alive = async {
            Timer::after(KEEP_ALIVE_INTERVAL).await;
            Some(sse::KEEP_ALIVE.to_vec())
        };
        let event = async {
            let event = self.events.recv().await.ok()?;
            let mut bytes = Vec::new();
            sse::write_event(&mut bytes, event.kind, &event.data);
            Some(bytes)
        };
        future::or(event, keep_alive).await
    }
}

/// `GET /sessions/{session}/events`.
pub fn open_stream(event_loop: &Rc<EventLoop>, session: SessionId, request: &Request) -> Reply {
    let playing_epoch = match request.head.query("epoch").map(str::parse) {
        None => Epoch(0),
        Some(Ok(epoch)) => Epoch(epoch),
        Some(Err(_)) => return Reply::problem(400, "epoch is a number"),
    };
    if event_loop.director.ticket_key.is_none() {
        return Reply::problem(404, "sessions are not handed over here");
    }
    let (id, events) = event_loop.player_streams.open(session);
    let open_stream = OpenStream {
        event_loop: event_loop.clone(),
        session,
        id,
        events,
    };
    event_loop.handle(Input::PlayerSubscription {
        session,
        playing_epoch: Some(playing_epoch),
    });
    let events = stream::unfold(open_stream, |open_stream| async {
        let bytes = open_stream.next_bytes().await?;
        Some((bytes, open_stream))
    });
    let pieces = stream::once(sse::KEEP_ALIVE.to_vec()).chain(events);
    Reply::new(200)
        .with_field("Content-Type", "text/event-stream")
        .stream(pieces)
}

/// The content of `playing` and `declined`.
#[derive(Deserialize)]
struct EpochReport {
    epoch: u32,
}

impl EpochReport {
    fn decode(request: &Request) -> Result<Epoch, serde_json::Error> {
        let report: EpochReport = serde_json::from_slice(&request.body)?;
        Ok(Epoch(report.epoch))
    }
}

/// The content of `silent`.
#[derive(Deserialize)]
struct SilenceReport {
    buffer_ms: u32,
}

/// Handles `POST /sessions/{session}/{report}`. Returns `None` if there is no such report.
pub fn handle_report(
    event_loop: &Rc<EventLoop>,
    session: SessionId,
    report: &str,
    request: &Request,
) -> Option<Reply> {
    let input = match report {
        "playing" => {
            EpochReport::decode(request).map(|epoch| Input::EpochPlaying { session, epoch })
        }
        "declined" => {
            EpochReport::decode(request).map(|epoch| Input::EpochDeclined { session, epoch })
        }
        "silent" => decode_silence_report(session, request),
        _ => return None,
    };
    Some(match input {
        Err(error) => Reply::problem(422, &error.to_string()),
        Ok(input) => {
            event_loop.handle(input);
            Reply::new(204)
        }
    })
}

fn decode_silence_report(
    session: SessionId,
    request: &Request,
) -> Result<Input, serde_json::Error> {
    let report: SilenceReport = serde_json::from_slice(&request.body)?;
    let buffered = TimeDelta::from_millis(report.buffer_ms.into());
    Ok(Input::StreamSilent { session, buffered })
}
