//! What viewers fetch: frames as `docs/protocol.md` has them, at the rate that the links give.

use super::{FRAME, Nodes};
use async_io::Timer;
use futures_lite::stream;
use shalewall::SessionId;
use shalewall_fleet_model::fleet::AttemptId;
use shalewall_http::head::RequestHead;
use shalewall_http::server::Reply;
use shalewall_migration::Epoch;

/// A stream that is behind where it should be catches up at so many times its rate, where the link is not full.
const CATCH_UP: f64 = 3.0;

/// What is asked for of a session's media.
pub(super) struct Wanted {
    epoch: Option<Epoch>,
    /// From which position on, how far ahead of real time, and whether nothing is there before it happens. In
    /// milliseconds; those of a live title are unix time.
    place: Option<(f64, f64, bool)>,
}

impl Wanted {
    pub fn of(head: &RequestHead) -> Result<Wanted, &'static str> {
        let number = |name| match head.query(name) {
            None => Ok(None),
            Some(text) => match text.parse::<f64>() {
                Ok(x) if (0.0..=1e15).contains(&x) => Ok(Some(x)),
                _ => Err("epoch, from and ahead are numbers from 0"),
            },
        };
        let live = head.query("live") == Some("1");
        let ahead = number("ahead")?.unwrap_or(0.0);
        Ok(Wanted {
            epoch: number("epoch")?.map(|e| Epoch(e as u32)),
            place: number("from")?.map(|from| (from, ahead, live)),
        })
    }
}

/// Where a stream with positions is.
struct Paced {
    viewer: Watched,
    opened: i64,
    last: i64,
    from: f64,
    ahead: f64,
    live: bool,
    at: f64,
}

impl Nodes {
    pub(super) async fn media(self, id: u64, run: AttemptId, wanted: Wanted) -> Reply {
        self.awake(id).await;
        let told = {
            let mut inner = self.inner.borrow_mut();
            let Some(playing) = inner.fleet.nodes.get(&id).and_then(|n| n.playing.get(&run)) else {
                return Reply::problem(404, "no such session here");
            };
            let director = playing.director;
            let Some(holds) = inner.holds.get_mut(&id) else {
                return Reply::problem(404, "no such node");
            };
            let held = holds.epochs(SessionId(run.session));
            // Who names no epoch takes the one that is here.
            let epoch = wanted
                .epoch
                .or(held.serving.max(held.prepared))
                .unwrap_or_default();
            if holds.fetch(SessionId(run.session), epoch).is_err() {
                return Reply::problem(404, "nothing of that epoch is here");
            }
            *inner.watched.entry((id, run)).or_default() += 1;
            (epoch > Epoch(0)).then_some((director, epoch))
        };
        let now = shalewall_clock::now().as_micros();
        if let Some((director, epoch)) = told {
            let AttemptId { session, attempt } = run;
            self.note_fetched(id, run, epoch);
            let data =
                serde_json::json!({ "session": session, "attempt": attempt, "epoch": epoch.0 });
            self.say(id, director, "fetched", data.to_string());
        }
        let viewer = Watched {
            nodes: self,
            id,
            run,
        };
        let reply = Reply::new(200).with_field("Content-Type", "application/octet-stream");
        match wanted.place {
            None => reply.stream(stream::unfold(viewer, |viewer| async {
                Timer::after(FRAME).await;
                viewer.nodes.awake(viewer.id).await;
                viewer.frame().map(|frame| (frame, viewer))
            })),
            Some((from, ahead, live)) => {
                let paced = Paced {
                    viewer,
                    opened: now,
                    last: now,
                    from,
                    ahead,
                    live,
                    at: from,
                };
                reply.stream(stream::unfold(paced, |mut paced| async {
                    loop {
                        Timer::after(FRAME).await;
                        paced.viewer.nodes.awake(paced.viewer.id).await;
                        if let Some(frame) = paced.frame()? {
                            return Some((frame, paced));
                        }
                    }
                }))
            }
        }
    }
}

/// Held by a viewer's stream; when the last one of a session goes, the session is over.
struct Watched {
    nodes: Nodes,
    id: u64,
    run: AttemptId,
}

impl Watched {
    /// Rung, full rate in bytes a second, and the share that is delivered; none: it has ended here.
    fn now(&self) -> Option<(u8, f64, f64)> {
        let inner = self.nodes.inner.borrow();
        let playing = inner.fleet.nodes.get(&self.id)?.playing.get(&self.run)?;
        let full = playing.true_rate_kb_s * 1000.0 * self.nodes.telling.fraction;
        Some((
            playing.rung as u8,
            full,
            inner.fleet.load(self.id).delivered,
        ))
    }

    fn frame(&self) -> Option<Vec<u8>> {
        let (rung, full, share) = self.now()?;
        let length = (full * FRAME.as_secs_f64() * share) as usize;
        let mut frame = Vec::with_capacity(9 + length);
        frame.push(rung);
        frame.extend_from_slice(&(full as u32).to_be_bytes());
        frame.extend_from_slice(&(length as u32).to_be_bytes());
        frame.resize(9 + length, b'x');
        Some(frame)
    }
}

impl Paced {
    /// The next frame with its position; nothing where there is none yet.
    fn frame(&mut self) -> Option<Option<Vec<u8>>> {
        let (rung, full, share) = self.viewer.now()?;
        let now = shalewall_clock::now().as_micros();
        let passed = (now - self.last) as f64 / 1000.0;
        self.last = now;
        let mut to = self.from + (now - self.opened) as f64 / 1000.0 + self.ahead;
        if self.live {
            to = to.min(now as f64 / 1000.0);
        }
        // A full link has nothing to catch up with.
        let most = passed * if share < 1.0 { share } else { CATCH_UP };
        let span = (to - self.at).min(most).floor();
        if span < 1.0 {
            return Some(None);
        }
        let length = (full * span / 1000.0) as usize;
        let mut frame = Vec::with_capacity(21 + length);
        frame.push(rung);
        frame.extend_from_slice(&(full as u32).to_be_bytes());
        frame.extend_from_slice(&(length as u32).to_be_bytes());
        frame.extend_from_slice(&(self.at as u64).to_be_bytes());
        frame.extend_from_slice(&(span as u32).to_be_bytes());
        frame.resize(21 + length, b'x');
        self.at += span;
        Some(Some(frame))
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        let last = {
            let mut inner = self.nodes.inner.borrow_mut();
            let open = inner.watched.entry((self.id, self.run)).or_default();
            *open = open.saturating_sub(1);
            let last = *open == 0;
            if last {
                inner.watched.remove(&(self.id, self.run));
            }
            last
        };
        if last {
            self.nodes.end_here(self.id, self.run);
        }
    }
}
