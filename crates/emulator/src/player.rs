//! A player with a buffer that follows its session: it fetches media with positions, says when nothing comes, and goes
//! over to the node that its front offers. Every gap is recorded.

use crate::viewers::{Try, Viewer, Viewers};
use async_channel::Sender;
use async_executor::Task;
use async_io::Timer;
use shalewall::{ServerId, TimeDelta, Timestamp};
use shalewall_audit::{Record, RungTime};
use shalewall_fleet_model::playhead::Playhead;
use shalewall_http::Limits;
use shalewall_http::client::{Call, EventStream, with_timeout};
use shalewall_http::pool::Pool;
use shalewall_migration::Epoch;
use shalewall_migration::player::{PendingFetch, PlayerAction, PlayerMigration};
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

type Micros = i64;

/// Nothing has come for so long: it says so, and again after this.
const SILENT: Micros = 300_000;
const AGAIN: Micros = 200_000;
/// A picture of what it fetches has to come within this.
const TRIES: Micros = 450_000;
/// It shows nothing before so much has come.
const START: Micros = 300_000;
/// The picture has stood still for so long: the viewer gives up.
const PATIENCE: Micros = 5_000_000;
/// A wake-up so much too late says something of this process, not of a node.
const LAG: Micros = 150_000;

/// What a player hears.
enum News {
    Frame {
        source: u64,
        epoch: Epoch,
        rung: usize,
        position: Micros,
        span: Micros,
    },
    /// What was fetched has ended, or is not to be had.
    Ended {
        source: u64,
        epoch: Epoch,
    },
    Offer {
        epoch: Epoch,
        media: String,
    },
    /// The front says that the session is over.
    Over,
}

/// One session as its player sees it.
struct Player<'v> {
    viewers: &'v Viewers,
    front: u32,
    session: u64,
    tenant: Option<String>,
    /// Media addresses by their numbers here, which stand for nodes.
    sources: Vec<String>,
    seat: PlayerMigration,
    head: Playhead,
    ahead: Micros,
    live: bool,
    streams: BTreeMap<(u64, Epoch), Task<()>>,
    news: Sender<News>,
    heard: Micros,
    said: Micros,
    /// Since when it waits for the picture of what it fetches.
    tries: Option<Micros>,
    over: bool,
}

impl Player<'_> {
    fn number(&mut self, media: &str) -> u64 {
        let known = self.sources.iter().position(|s| s == media);
        known.unwrap_or_else(|| {
            self.sources.push(media.to_string());
            self.sources.len() - 1
        }) as u64
    }

    fn fetch(&mut self, source: u64, epoch: Epoch) {
        let from = self.head.received_to().as_millis();
        let (ahead, live) = (self.ahead / 1000, u8::from(self.live));
        let url = format!(
            "{}?epoch={}&from={from}&ahead={ahead}&live={live}",
            self.sources[source as usize], epoch.0
        );
        let news = self.news.clone();
        let task = self.viewers.ex.spawn(async move {
            read(url, source, epoch, &news).await;
            let _ = news.send(News::Ended { source, epoch }).await;
        });
        self.streams.insert((source, epoch), task);
    }

    /// A word to the front; it may be lost.
    fn say(&self, word: &'static str, data: serde_json::Value) {
        let Some(front) = self.viewers.front(self.front) else {
            return;
        };
        let target = format!("/sessions/{}/{word}", self.session);
        let tenant = self.tenant.clone();
        let task = async move {
            let (host, body) = (front.to_string(), data.to_string());
            let tenant = tenant.as_deref().map(|name| ("Shalewall-Tenant", name));
            let pool = Pool::new(front, Limits::default(), Duration::ZERO, 0);
            let call = Call::new("POST", &target, &host)
                .fields(tenant.as_slice())
                .json(body.as_bytes());
            let _ = with_timeout(Duration::from_secs(2), pool.call(&call)).await;
        };
        self.viewers.ex.spawn(task).detach();
    }

    fn carry_out(&mut self, now: Micros, all: Vec<PlayerAction>) {
        for what in all {
            match what {
                PlayerAction::Fetch { node, epoch } => {
                    let node = node.0;
                    if !self.streams.contains_key(&(node, epoch)) {
                        self.tries = Some(now);
                        self.fetch(node, epoch);
                    }
                }
                PlayerAction::Close { node } => {
                    let node = node.0;
                    let current = (self.seat.node().0, self.seat.epoch());
                    self.streams
                        .retain(|key, _| key.0 != node || *key == current);
                }
                PlayerAction::ConfirmSwitch { epoch } => {
                    self.say("playing", serde_json::json!({ "epoch": epoch.0 }))
                }
                PlayerAction::Decline { epoch } => {
                    self.say("declined", serde_json::json!({ "epoch": epoch.0 }))
                }
            }
        }
    }

    /// What is due by itself: words, and giving up what does not come.
    fn tick(&mut self, now: Micros) {
        self.head.advance(Timestamp::from_micros(now));
        if self.tries.is_some_and(|t| now - t >= TRIES) {
            self.tries = None;
            let all = self.seat.give_up();
            self.carry_out(now, all);
        }
        if now - self.heard >= SILENT && now - self.said >= AGAIN {
            self.said = now;
            let buffer = self.head.buffered(Timestamp::from_micros(now)).as_millis();
            self.say("silent", serde_json::json!({ "buffer_ms": buffer }));
        }
    }

    /// When [`Player::tick`] has something to do next.
    fn due(&self, now: Micros) -> Micros {
        let silent = (self.heard + SILENT).max(self.said + AGAIN);
        let tries = self.tries.map_or(Micros::MAX, |t| t + TRIES);
        let dry = self
            .head
            .stalled_since()
            .map_or(Micros::MAX, |t| t.as_micros() + PATIENCE);
        silent.min(tries).min(dry).max(now + 1000)
    }
}

/// Reads one stream of media to its end.
async fn read(url: String, source: u64, epoch: Epoch, news: &Sender<News>) {
    let Some(mut bytes) = crate::viewers::open(&url).await else {
        return;
    };
    let mut buf: Vec<u8> = Vec::new();
    while let Some(more) = bytes.next().await {
        buf.extend_from_slice(&more);
        let mut at = 0;
        while let Some(head) = buf.get(at..at + 21) {
            let number = |from: usize, to: usize| {
                head[from..to]
                    .iter()
                    .fold(0u64, |n, b| n << 8 | u64::from(*b))
            };
            let length = number(5, 9) as usize;
            if buf.len() < at + 21 + length {
                break;
            }
            let (rung, position, span) = (
                head[0] as usize,
                number(9, 17) as Micros,
                number(17, 21) as Micros,
            );
            let (position, span) = (position * 1000, span * 1000);
            at += 21 + length;
            if news
                .send(News::Frame {
                    source,
                    epoch,
                    rung,
                    position,
                    span,
                })
                .await
                .is_err()
            {
                return;
            }
        }
        buf.drain(..at);
    }
}

/// Keeps the stream of offers open, also over restarts of the front.
async fn follow(
    viewers: Viewers,
    number: u32,
    session: u64,
    tenant: Option<String>,
    plays: Rc<Cell<Epoch>>,
    news: Sender<News>,
) {
    let tenant = tenant.as_deref().map(|name| ("Shalewall-Tenant", name));
    loop {
        if let Some(front) = viewers.front(number) {
            let pool = Pool::new(front, Limits::default(), Duration::ZERO, 0);
            let (target, host) = (
                format!("/sessions/{session}/events?epoch={}", plays.get().0),
                front.to_string(),
            );
            let call = Call::new("GET", &target, &host).fields(tenant.as_slice());
            let opening = async { pool.connect().await.ok()?.stream(&call).await.ok() };
            let opened = with_timeout(Duration::from_secs(2), opening)
                .await
                .flatten();
            if let Some((head, incoming)) = opened {
                if head.status != 200 {
                    return; // nothing is handed over here
                }
                let mut events = EventStream::new(incoming, 64 * 1024);
                while let Some(batch) = events.next(Duration::from_secs(3)).await {
                    for event in batch {
                        let data: serde_json::Value =
                            serde_json::from_str(&event.data).unwrap_or_default();
                        let told = match (
                            event.kind.as_str(),
                            data["epoch"].as_u64(),
                            data["media"].as_str(),
                        ) {
                            ("offer", Some(epoch), Some(media)) => News::Offer {
                                epoch: Epoch(epoch as u32),
                                media: media.to_string(),
                            },
                            ("over", ..) => News::Over,
                            _ => continue,
                        };
                        if news.send(told).await.is_err() {
                            return;
                        }
                    }
                }
            }
        }
        Timer::after(Duration::from_millis(200)).await;
    }
}

/// Plays a session until its viewer's time is over, or the picture is gone for good.
pub(crate) async fn watch(
    viewers: &Viewers,
    viewer: &Viewer,
    front: u32,
    ask: u64,
    session: u64,
    media: &str,
    late: bool,
) -> Try {
    let (sender, news) = async_channel::bounded(64);
    let now = shalewall_clock::now().as_micros();
    let ahead = if viewer.class.live {
        viewers.buffers.0
    } else {
        viewers.buffers.1
    };
    // A live title is played so long behind what happens; a recorded one from its beginning.
    let begin = if viewer.class.live {
        (now - ahead) / 1000 * 1000
    } else {
        0
    };
    let mut player = Player {
        viewers,
        front,
        session,
        tenant: viewer.tenant.clone(),
        sources: Vec::new(),
        seat: PlayerMigration::new(ServerId(0)),
        head: Playhead::new(
            TimeDelta::from_micros(begin),
            TimeDelta::from_micros(START.min(ahead)),
        ),
        ahead,
        live: viewer.class.live,
        streams: BTreeMap::new(),
        news: sender.clone(),
        heard: now,
        said: now,
        tries: None,
        over: false,
    };
    let plays = Rc::new(Cell::new(Epoch(0)));
    player.number(media);
    player.fetch(0, Epoch(0));
    let _follow = viewers.ex.spawn(follow(
        viewers.clone(),
        front,
        session,
        viewer.tenant.clone(),
        plays.clone(),
        sender,
    ));
    let mut rungs: BTreeMap<usize, Micros> = BTreeMap::new();
    // What has come, in order: rung, and from where to where. It counts when it is shown.
    let mut coming: VecDeque<(usize, Micros, Micros)> = VecDeque::new();
    let (mut last_rung, mut steps, mut stood) = (None, 0u64, 0);
    let until = now
        + viewer
            .until
            .saturating_duration_since(std::time::Instant::now())
            .as_micros() as i64;
    let close = viewers.close_at();
    let whole = loop {
        let now = shalewall_clock::now().as_micros();
        let due = player.due(now).min(until);
        let heard = with_timeout(
            Duration::from_micros((due - now).max(0) as u64),
            news.recv(),
        )
        .await;
        let now = shalewall_clock::now().as_micros();
        viewers.lag.set(viewers.lag.get().max(now - due));
        if now - due > LAG {
            // This process stood still: what did not come meanwhile is not the node's doing.
            player.heard = now;
        }
        match heard {
            Some(Ok(News::Frame {
                source,
                epoch,
                rung,
                position,
                span,
            })) => {
                let all = player.seat.on_picture(ServerId(source), epoch);
                if !all.is_empty() {
                    player.tries = None;
                }
                player.carry_out(now, all);
                plays.set(player.seat.epoch());
                if (source, epoch) == (player.seat.node().0, player.seat.epoch()) {
                    let before = player.head.received_to();
                    player.head.receive(
                        Timestamp::from_micros(now),
                        TimeDelta::from_micros(position),
                        TimeDelta::from_micros(span),
                    );
                    player.heard = now;
                    let (from, to) = (
                        before.max(TimeDelta::from_micros(position)),
                        player.head.received_to(),
                    );
                    if to > from {
                        coming.push_back((rung, from.as_micros(), to.as_micros()));
                    }
                }
            }
            Some(Ok(News::Ended { source, epoch })) => {
                player.streams.remove(&(source, epoch));
                if (source, epoch) == (player.seat.node().0, player.seat.epoch()) {
                    player.heard = player.heard.min(now - SILENT); // it will not come again by itself
                } else if player.seat.pending()
                    == Some(PendingFetch {
                        node: ServerId(source),
                        epoch,
                    })
                {
                    player.tries = None;
                    let all = player.seat.give_up();
                    player.carry_out(now, all);
                }
            }
            Some(Ok(News::Offer { epoch, media })) => {
                let source = player.number(&media);
                let all = player.seat.on_offer(ServerId(source), epoch);
                player.carry_out(now, all);
            }
            Some(Ok(News::Over)) => player.over = true,
            Some(Err(_)) => break false,
            None => {}
        }
        player.tick(now);
        let shown_to =
            player.head.received_to() - player.head.buffered(Timestamp::from_micros(now));
        while let Some((rung, from, to)) = coming.pop_front() {
            let shown = shown_to.min(TimeDelta::from_micros(to)) - TimeDelta::from_micros(from);
            if shown <= TimeDelta::ZERO {
                coming.push_front((rung, from, to));
                break;
            }
            if close.is_none_or(|t| now < t) {
                *rungs.entry(rung).or_default() += shown.as_micros();
                steps += u64::from(last_rung.is_some_and(|r| r != rung));
            }
            last_rung = Some(rung);
            if shown_to < TimeDelta::from_micros(to) {
                coming.push_front((rung, shown_to.as_micros(), to));
                break;
            }
        }
        for gap in player.head.take_gaps() {
            stood += gap.length.as_micros();
            viewers.gap(ask, session, gap.at.as_micros(), gap.length.as_micros());
        }
        if now >= until {
            break true;
        }
        let dry = player.head.stalled_since().map(Timestamp::as_micros);
        let stands = dry.is_some_and(|since| now - since >= PATIENCE);
        let ended = player.over
            && player.streams.is_empty()
            && (dry.is_some() || !player.head.has_started());
        let nothing = !player.head.has_started() && now - player.heard >= PATIENCE;
        // Without a front that can offer another node, what has ended is over when the buffer is.
        if stands
            || ended
            || nothing
            || (player.streams.is_empty() && dry.is_some_and(|t| now - t >= 1_500_000))
        {
            break false;
        }
    };
    let now = shalewall_clock::now().as_micros();
    if let Some(since) = player.head.stalled_since().map(Timestamp::as_micros) {
        stood += now - since;
        match whole {
            true => viewers.gap(ask, session, since, now - since),
            // Until the viewer sees a picture again, if it does.
            false => viewer.dry.set(Some((ask, session, since))),
        }
    }
    let shown: Micros = rungs.values().sum();
    let part = shown as f64 / (shown + stood).max(1) as f64;
    let rungs: BTreeMap<usize, f64> = rungs
        .into_iter()
        .map(|(r, t)| (r, t as f64 / 1e6))
        .collect();
    viewers.enter_watched(viewer, &rungs, steps, part, late);
    viewers.enter_broken(viewer, !whole);
    let rungs = rungs.iter();
    let rung_times = rungs
        .map(|(rung, seconds)| RungTime::from((*rung, (seconds * 1e6) as i64)))
        .collect();
    let (got, due) = (shown as u64, (shown + stood) as u64);
    let micros = shown;
    viewers.recorder.note(Record::SessionWatched {
        time: Timestamp::from_micros(now),
        request: ask,
        session,
        duration: TimeDelta::from_micros(micros),
        bytes_received: got,
        bytes_expected: due,
        rung_times,
    });
    if whole {
        Try::Done
    } else {
        Try::Again(viewers.crowd().retry_pause)
    }
}
