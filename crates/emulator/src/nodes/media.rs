//! Media streams of viewers: frames in the format of `docs/protocol.md`, at the rate that the links deliver.

use super::{FRAME_INTERVAL, Nodes};
use async_io::Timer;
use futures_lite::stream;
use shalewall::SessionId;
use shalewall_fleet_model::fleet::AttemptId;
use shalewall_http::head::RequestHead;
use shalewall_http::server::Reply;
use shalewall_migration::Epoch;

/// Factor of its rate at which a stream that is behind its schedule catches up, if the link is not full.
const MAX_CATCH_UP_RATE: f64 = 3.0;

/// Query parameters of a media request.
pub(super) struct MediaRequest {
    epoch: Option<Epoch>,
    /// Start position and lead over real time in milliseconds, and whether the title is live. The positions of a live
    /// title are Unix times, and it has no media beyond the current time.
    playback_range: Option<(f64, f64, bool)>,
}

impl MediaRequest {
    pub fn parse(head: &RequestHead) -> Result<MediaRequest, &'static str> {
        let number = |name| match head.query(name) {
            None => Ok(None),
            Some(text) => match text.parse::<f64>() {
                Ok(x) if (0.0..=1e15).contains(&x) => Ok(Some(x)),
                _ => Err("epoch, from and ahead are numbers from 0"),
            },
        };
        let live = head.query("live") == Some("1");
        let lead_ms = number("ahead")?.unwrap_or(0.0);
        Ok(MediaRequest {
            epoch: number("epoch")?.map(|e| Epoch(e as u32)),
            playback_range: number("from")?.map(|start_ms| (start_ms, lead_ms, live)),
        })
    }
}

/// A stream of frames with positions.
struct PacedStream {
    viewer: ViewerStream,
    opened_us: i64,
    last_frame_us: i64,
    start_ms: f64,
    lead_ms: f64,
    live: bool,
    position_ms: f64,
}

impl Nodes {
    pub(super) async fn media(
        self,
        node_id: u64,
        attempt_id: AttemptId,
        request: MediaRequest,
    ) -> Reply {
        self.wait_until_running(node_id).await;
        let migrated = {
            let mut inner = self.inner.borrow_mut();
            let Some(playing) = inner
                .fleet
                .nodes
                .get(&node_id)
                .and_then(|n| n.playing.get(&attempt_id))
            else {
                return Reply::problem(404, "no such session here");
            };
            let director = playing.director;
            let Some(node_sessions) = inner.node_sessions.get_mut(&node_id) else {
                return Reply::problem(404, "no such node");
            };
            let epochs = node_sessions.epochs(SessionId(attempt_id.session));
            // A request without an epoch gets the latest one at this node.
            let epoch = request
                .epoch
                .or(epochs.serving.max(epochs.prepared))
                .unwrap_or_default();
            if node_sessions
                .fetch(SessionId(attempt_id.session), epoch)
                .is_err()
            {
                return Reply::problem(404, "nothing of that epoch is here");
            }
            *inner.open_streams.entry((node_id, attempt_id)).or_default() += 1;
            (epoch > Epoch(0)).then_some((director, epoch))
        };
        let now = shalewall_clock::now().as_micros();
        if let Some((director, epoch)) = migrated {
            let AttemptId { session, attempt } = attempt_id;
            self.record_fetch(node_id, attempt_id, epoch);
            let data =
                serde_json::json!({ "session": session, "attempt": attempt, "epoch": epoch.0 });
            self.send_event(node_id, director, "fetched", data.to_string());
        }
        let viewer = ViewerStream {
            nodes: self,
            node_id,
            attempt_id,
        };
        let reply = Reply::new(200).with_field("Content-Type", "application/octet-stream");
        match request.playback_range {
            None => reply.stream(stream::unfold(viewer, |viewer| async {
                Timer::after(FRAME_INTERVAL).await;
                viewer.nodes.wait_until_running(viewer.node_id).await;
                viewer.frame().map(|frame| (frame, viewer))
            })),
            Some((start_ms, lead_ms, live)) => {
                let paced = PacedStream {
                    viewer,
                    opened_us: now,
                    last_frame_us: now,
                    start_ms,
                    lead_ms,
                    live,
                    position_ms: start_ms,
                };
                reply.stream(stream::unfold(paced, |mut paced| async {
                    loop {
                        Timer::after(FRAME_INTERVAL).await;
                        paced
                            .viewer
                            .nodes
                            .wait_until_running(paced.viewer.node_id)
                            .await;
                        if let Some(frame) = paced.frame()? {
                            return Some((frame, paced));
                        }
                    }
                }))
            }
        }
    }
}

/// Owned by a media stream; the session ends when its last stream is dropped.
struct ViewerStream {
    nodes: Nodes,
    node_id: u64,
    attempt_id: AttemptId,
}

impl ViewerStream {
    /// Rung, full rate in bytes per second, and delivered fraction; `None` if the session has ended at this node.
    fn current_rate(&self) -> Option<(u8, f64, f64)> {
        let inner = self.nodes.inner.borrow();
        let playing = inner
            .fleet
            .nodes
            .get(&self.node_id)?
            .playing
            .get(&self.attempt_id)?;
        let full_rate = playing.true_rate_kb_s * 1000.0 * self.nodes.settings.media_fraction;
        Some((
            playing.rung as u8,
            full_rate,
            inner.fleet.load(self.node_id).delivered,
        ))
    }

    fn frame(&self) -> Option<Vec<u8>> {
        let (rung, full_rate, delivered_fraction) = self.current_rate()?;
        let length = (full_rate * FRAME_INTERVAL.as_secs_f64() * delivered_fraction) as usize;
        let mut frame = Vec::with_capacity(9 + length);
        frame.push(rung);
        frame.extend_from_slice(&(full_rate as u32).to_be_bytes());
        frame.extend_from_slice(&(length as u32).to_be_bytes());
        frame.resize(9 + length, b'x');
        Some(frame)
    }
}

impl PacedStream {
    /// The next frame with its position, or `Some(None)` if none is due yet; `None` if the session has ended.
    fn frame(&mut self) -> Option<Option<Vec<u8>>> {
        let (rung, full_rate, delivered_fraction) = self.viewer.current_rate()?;
        let now = shalewall_clock::now().as_micros();
        let elapsed_ms = (now - self.last_frame_us) as f64 / 1000.0;
        self.last_frame_us = now;
        let mut target_ms = self.start_ms + (now - self.opened_us) as f64 / 1000.0 + self.lead_ms;
        if self.live {
            target_ms = target_ms.min(now as f64 / 1000.0);
        }
        // A full link has no bandwidth for catching up.
        let max_span_ms = elapsed_ms
            * if delivered_fraction < 1.0 {
                delivered_fraction
            } else {
                MAX_CATCH_UP_RATE
            };
        let span_ms = (target_ms - self.position_ms).min(max_span_ms).floor();
        if span_ms < 1.0 {
            return Some(None);
        }
        let length = (full_rate * span_ms / 1000.0) as usize;
        let mut frame = Vec::with_capacity(21 + length);
        frame.push(rung);
        frame.extend_from_slice(&(full_rate as u32).to_be_bytes());
        frame.extend_from_slice(&(length as u32).to_be_bytes());
        frame.extend_from_slice(&(self.position_ms as u64).to_be_bytes());
        frame.extend_from_slice(&(span_ms as u32).to_be_bytes());
        frame.resize(21 + length, b'x');
        self.position_ms += span_ms;
        Some(Some(frame))
    }
}

impl Drop for ViewerStream {
    fn drop(&mut self) {
        let last = {
            let mut inner = self.nodes.inner.borrow_mut();
            let open = inner
                .open_streams
                .entry((self.node_id, self.attempt_id))
                .or_default();
            *open = open.saturating_sub(1);
            let last = *open == 0;
            if last {
                inner.open_streams.remove(&(self.node_id, self.attempt_id));
            }
            last
        };
        if last {
            self.nodes.terminate_session(self.node_id, self.attempt_id);
        }
    }
}
