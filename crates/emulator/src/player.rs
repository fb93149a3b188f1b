//! A player with a buffer that supports session migration: it fetches media by position, reports silence to its
//! director, and switches to the node that the director offers. Every playback gap is recorded.

use crate::viewers::{AttemptOutcome, Viewer, Viewers};
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

/// Time without media after which the player reports silence to its director.
const SILENCE_TIMEOUT_US: Micros = 300_000;
/// Interval at which it repeats the report.
const SILENCE_REPORT_INTERVAL_US: Micros = 200_000;
/// Time within which the first frame from a new node has to arrive; later, the switch is given up.
const SWITCH_TIMEOUT_US: Micros = 450_000;
/// Buffered media at which playback starts, unless the buffer itself is shorter.
const START_THRESHOLD_US: Micros = 300_000;
/// Time after which a viewer gives up on a stalled playback, or on one that does not start.
const STALL_TIMEOUT_US: Micros = 5_000_000;
/// Timer delay above which silence is attributed to this process instead of the node.
const MAX_TIMER_DELAY_US: Micros = 150_000;

/// Event that a player receives.
enum PlayerEvent {
    Frame {
        source: u64,
        epoch: Epoch,
        rung: usize,
        position: Micros,
        span: Micros,
    },
    /// A media stream ended, or could not be opened.
    StreamEnded {
        source: u64,
        epoch: Epoch,
    },
    Offer {
        epoch: Epoch,
        media: String,
    },
    /// The director reported the end of the session.
    SessionOver,
}

/// State of a player and its session.
struct Player<'v> {
    viewers: &'v Viewers,
    director: u32,
    session: u64,
    tenant: Option<String>,
    /// Media URLs; the index of a URL serves as the node's id.
    sources: Vec<String>,
    migration: PlayerMigration,
    playhead: Playhead,
    /// Lead over real time that media is requested with: the length of the buffer.
    ahead: Micros,
    live: bool,
    streams: BTreeMap<(u64, Epoch), Task<()>>,
    events: Sender<PlayerEvent>,
    last_received: Micros,
    last_silence_report: Micros,
    /// Start of the fetch from a new node, until its first frame arrives.
    switch_started: Option<Micros>,
    session_over: bool,
}

impl Player<'_> {
    fn source_id(&mut self, media: &str) -> u64 {
        let known = self.sources.iter().position(|s| s == media);
        known.unwrap_or_else(|| {
            self.sources.push(media.to_string());
            self.sources.len() - 1
        }) as u64
    }

    fn fetch(&mut self, source: u64, epoch: Epoch) {
        let from = self.playhead.received_to().as_millis();
        let (ahead, live) = (self.ahead / 1000, u8::from(self.live));
        let url = format!(
            "{}?epoch={}&from={from}&ahead={ahead}&live={live}",
            self.sources[source as usize], epoch.0
        );
        let events = self.events.clone();
        let task = self.viewers.executor.spawn(async move {
            read_media(url, source, epoch, &events).await;
            let _ = events
                .send(PlayerEvent::StreamEnded { source, epoch })
                .await;
        });
        self.streams.insert((source, epoch), task);
    }

    /// Sends a notification to the director, without a retry.
    fn post(&self, action: &'static str, data: serde_json::Value) {
        let Some(address) = self.viewers.director_address(self.director) else {
            return;
        };
        let target = format!("/sessions/{}/{action}", self.session);
        let tenant = self.tenant.clone();
        let task = async move {
            let (host, body) = (address.to_string(), data.to_string());
            let tenant = tenant.as_deref().map(|name| ("Shalewall-Tenant", name));
            let pool = Pool::new(address, Limits::default(), Duration::ZERO, 0);
            let call = Call::new("POST", &target, &host)
                .fields(tenant.as_slice())
                .json(body.as_bytes());
            let _ = with_timeout(Duration::from_secs(2), pool.call(&call)).await;
        };
        self.viewers.executor.spawn(task).detach();
    }

    fn perform(&mut self, now: Micros, actions: Vec<PlayerAction>) {
        for action in actions {
            match action {
                PlayerAction::Fetch { node, epoch } => {
                    let node = node.0;
                    if !self.streams.contains_key(&(node, epoch)) {
                        self.switch_started = Some(now);
                        self.fetch(node, epoch);
                    }
                }
                PlayerAction::Close { node } => {
                    let node = node.0;
                    let current = (self.migration.node().0, self.migration.epoch());
                    self.streams
                        .retain(|key, _| key.0 != node || *key == current);
                }
                PlayerAction::ConfirmSwitch { epoch } => {
                    self.post("playing", serde_json::json!({ "epoch": epoch.0 }))
                }
                PlayerAction::Decline { epoch } => {
                    self.post("declined", serde_json::json!({ "epoch": epoch.0 }))
                }
            }
        }
    }

    /// Performs what is due: silence reports, and giving up a switch that timed out.
    fn tick(&mut self, now: Micros) {
        self.playhead.advance(Timestamp::from_micros(now));
        if self
            .switch_started
            .is_some_and(|t| now - t >= SWITCH_TIMEOUT_US)
        {
            self.switch_started = None;
            let actions = self.migration.give_up();
            self.perform(now, actions);
        }
        if now - self.last_received >= SILENCE_TIMEOUT_US
            && now - self.last_silence_report >= SILENCE_REPORT_INTERVAL_US
        {
            self.last_silence_report = now;
            let buffer = self
                .playhead
                .buffered(Timestamp::from_micros(now))
                .as_millis();
            self.post("silent", serde_json::json!({ "buffer_ms": buffer }));
        }
    }

    /// When [`Player::tick`] has something to do next.
    fn next_deadline(&self, now: Micros) -> Micros {
        let silence_report = (self.last_received + SILENCE_TIMEOUT_US)
            .max(self.last_silence_report + SILENCE_REPORT_INTERVAL_US);
        let switch_deadline = self
            .switch_started
            .map_or(Micros::MAX, |t| t + SWITCH_TIMEOUT_US);
        let stall_deadline = self
            .playhead
            .stalled_since()
            .map_or(Micros::MAX, |t| t.as_micros() + STALL_TIMEOUT_US);
        silence_report
            .min(switch_deadline)
            .min(stall_deadline)
            .max(now + 1000)
    }
}

/// Reads a media stream to its end.
async fn read_media(url: String, source: u64, epoch: Epoch, events: &Sender<PlayerEvent>) {
    let Some(mut bytes) = crate::viewers::open_media(&url).await else {
        return;
    };
    let mut buf: Vec<u8> = Vec::new();
    while let Some(more) = bytes.next().await {
        buf.extend_from_slice(&more);
        let mut at = 0;
        while let Some(header) = buf.get(at..at + 21) {
            let number = |from: usize, to: usize| {
                header[from..to]
                    .iter()
                    .fold(0u64, |n, b| n << 8 | u64::from(*b))
            };
            let length = number(5, 9) as usize;
            if buf.len() < at + 21 + length {
                break;
            }
            let (rung, position, span) = (
                header[0] as usize,
                number(9, 17) as Micros,
                number(17, 21) as Micros,
            );
            let (position, span) = (position * 1000, span * 1000);
            at += 21 + length;
            if events
                .send(PlayerEvent::Frame {
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

/// Keeps the director's event stream open, and reopens it after restarts of the director.
async fn follow_events(
    viewers: Viewers,
    director: u32,
    session: u64,
    tenant: Option<String>,
    current_epoch: Rc<Cell<Epoch>>,
    sender: Sender<PlayerEvent>,
) {
    let tenant = tenant.as_deref().map(|name| ("Shalewall-Tenant", name));
    loop {
        if let Some(address) = viewers.director_address(director) {
            let pool = Pool::new(address, Limits::default(), Duration::ZERO, 0);
            let (target, host) = (
                format!("/sessions/{session}/events?epoch={}", current_epoch.get().0),
                address.to_string(),
            );
            let call = Call::new("GET", &target, &host).fields(tenant.as_slice());
            let opening = async { pool.connect().await.ok()?.stream(&call).await.ok() };
            let opened = with_timeout(Duration::from_secs(2), opening)
                .await
                .flatten();
            if let Some((head, incoming)) = opened {
                if head.status != 200 {
                    return; // the director does not migrate sessions
                }
                let mut events = EventStream::new(incoming, 64 * 1024);
                while let Some(batch) = events.next(Duration::from_secs(3)).await {
                    for event in batch {
                        let data: serde_json::Value =
                            serde_json::from_str(&event.data).unwrap_or_default();
                        let player_event = match (
                            event.kind.as_str(),
                            data["epoch"].as_u64(),
                            data["media"].as_str(),
                        ) {
                            ("offer", Some(epoch), Some(media)) => PlayerEvent::Offer {
                                epoch: Epoch(epoch as u32),
                                media: media.to_string(),
                            },
                            ("over", ..) => PlayerEvent::SessionOver,
                            _ => continue,
                        };
                        if sender.send(player_event).await.is_err() {
                            return;
                        }
                    }
                }
            }
        }
        Timer::after(Duration::from_millis(200)).await;
    }
}

/// Plays a session until the watch time is over, the session ends, or the viewer gives up because of a stall.
pub(crate) async fn watch(
    viewers: &Viewers,
    viewer: &Viewer,
    director: u32,
    request_id: u64,
    session: u64,
    media: &str,
    late: bool,
) -> AttemptOutcome {
    let (sender, events) = async_channel::bounded(64);
    let now = shalewall_clock::now().as_micros();
    let ahead = if viewer.class.live {
        viewers.buffers.0
    } else {
        viewers.buffers.1
    };
    // A live title is played one buffer length behind real time, a recorded one from its beginning.
    let first_position = if viewer.class.live {
        (now - ahead) / 1000 * 1000
    } else {
        0
    };
    let mut player = Player {
        viewers,
        director,
        session,
        tenant: viewer.tenant.clone(),
        sources: Vec::new(),
        migration: PlayerMigration::new(ServerId(0)),
        playhead: Playhead::new(
            TimeDelta::from_micros(first_position),
            TimeDelta::from_micros(START_THRESHOLD_US.min(ahead)),
        ),
        ahead,
        live: viewer.class.live,
        streams: BTreeMap::new(),
        events: sender.clone(),
        last_received: now,
        last_silence_report: now,
        switch_started: None,
        session_over: false,
    };
    let current_epoch = Rc::new(Cell::new(Epoch(0)));
    player.source_id(media);
    player.fetch(0, Epoch(0));
    let _follow = viewers.executor.spawn(follow_events(
        viewers.clone(),
        director,
        session,
        viewer.tenant.clone(),
        current_epoch.clone(),
        sender,
    ));
    let mut rungs: BTreeMap<usize, Micros> = BTreeMap::new();
    // Received media that is not shown yet, in order of position: rung, start and end. It counts when it is shown.
    let mut unshown: VecDeque<(usize, Micros, Micros)> = VecDeque::new();
    let (mut last_rung, mut rung_changes, mut stalled_us) = (None, 0u64, 0);
    let until = now
        + viewer
            .until
            .saturating_duration_since(std::time::Instant::now())
            .as_micros() as i64;
    let day_end = viewers.day_end_time();
    let completed = loop {
        let now = shalewall_clock::now().as_micros();
        let next_deadline = player.next_deadline(now).min(until);
        let received = with_timeout(
            Duration::from_micros((next_deadline - now).max(0) as u64),
            events.recv(),
        )
        .await;
        let now = shalewall_clock::now().as_micros();
        viewers
            .max_timer_delay_us
            .set(viewers.max_timer_delay_us.get().max(now - next_deadline));
        if now - next_deadline > MAX_TIMER_DELAY_US {
            // This process was suspended, so the silence meanwhile is not the node's fault.
            player.last_received = now;
        }
        match received {
            Some(Ok(PlayerEvent::Frame {
                source,
                epoch,
                rung,
                position,
                span,
            })) => {
                let actions = player.migration.on_picture(ServerId(source), epoch);
                if !actions.is_empty() {
                    player.switch_started = None;
                }
                player.perform(now, actions);
                current_epoch.set(player.migration.epoch());
                if (source, epoch) == (player.migration.node().0, player.migration.epoch()) {
                    let before = player.playhead.received_to();
                    player.playhead.receive(
                        Timestamp::from_micros(now),
                        TimeDelta::from_micros(position),
                        TimeDelta::from_micros(span),
                    );
                    player.last_received = now;
                    let (from, to) = (
                        before.max(TimeDelta::from_micros(position)),
                        player.playhead.received_to(),
                    );
                    if to > from {
                        unshown.push_back((rung, from.as_micros(), to.as_micros()));
                    }
                }
            }
            Some(Ok(PlayerEvent::StreamEnded { source, epoch })) => {
                player.streams.remove(&(source, epoch));
                if (source, epoch) == (player.migration.node().0, player.migration.epoch()) {
                    player.last_received = player.last_received.min(now - SILENCE_TIMEOUT_US); // report silence at once
                } else if player.migration.pending()
                    == Some(PendingFetch {
                        node: ServerId(source),
                        epoch,
                    })
                {
                    player.switch_started = None;
                    let actions = player.migration.give_up();
                    player.perform(now, actions);
                }
            }
            Some(Ok(PlayerEvent::Offer { epoch, media })) => {
                let source = player.source_id(&media);
                let actions = player.migration.on_offer(ServerId(source), epoch);
                player.perform(now, actions);
            }
            Some(Ok(PlayerEvent::SessionOver)) => player.session_over = true,
            Some(Err(_)) => break false,
            None => {}
        }
        player.tick(now);
        let shown_to =
            player.playhead.received_to() - player.playhead.buffered(Timestamp::from_micros(now));
        while let Some((rung, from, to)) = unshown.pop_front() {
            let shown = shown_to.min(TimeDelta::from_micros(to)) - TimeDelta::from_micros(from);
            if shown <= TimeDelta::ZERO {
                unshown.push_front((rung, from, to));
                break;
            }
            if day_end.is_none_or(|t| now < t) {
                *rungs.entry(rung).or_default() += shown.as_micros();
                rung_changes += u64::from(last_rung.is_some_and(|r| r != rung));
            }
            last_rung = Some(rung);
            if shown_to < TimeDelta::from_micros(to) {
                unshown.push_front((rung, shown_to.as_micros(), to));
                break;
            }
        }
        for gap in player.playhead.take_gaps() {
            stalled_us += gap.length.as_micros();
            viewers.record_gap(
                request_id,
                session,
                gap.at.as_micros(),
                gap.length.as_micros(),
            );
        }
        if now >= until {
            break true;
        }
        let stalled_since = player.playhead.stalled_since().map(Timestamp::as_micros);
        let stall_timed_out = stalled_since.is_some_and(|since| now - since >= STALL_TIMEOUT_US);
        let session_ended = player.session_over
            && player.streams.is_empty()
            && (stalled_since.is_some() || !player.playhead.has_started());
        let start_timed_out =
            !player.playhead.has_started() && now - player.last_received >= STALL_TIMEOUT_US;
        // A session whose streams have ended is over after a stall of 1.5 s without an offer of another node.
        if stall_timed_out
            || session_ended
            || start_timed_out
            || (player.streams.is_empty() && stalled_since.is_some_and(|t| now - t >= 1_500_000))
        {
            break false;
        }
    };
    let now = shalewall_clock::now().as_micros();
    if let Some(since) = player.playhead.stalled_since().map(Timestamp::as_micros) {
        stalled_us += now - since;
        match completed {
            true => viewers.record_gap(request_id, session, since, now - since),
            // The stall lasts until a retry of the viewer plays, if one does.
            false => viewer.stall.set(Some((request_id, session, since))),
        }
    }
    let shown: Micros = rungs.values().sum();
    let delivered_fraction = shown as f64 / (shown + stalled_us).max(1) as f64;
    let rungs: BTreeMap<usize, f64> = rungs
        .into_iter()
        .map(|(r, t)| (r, t as f64 / 1e6))
        .collect();
    viewers.count_playback(viewer, &rungs, rung_changes, delivered_fraction, late);
    viewers.count_interruption(viewer, !completed);
    let rungs = rungs.iter();
    let rung_times = rungs
        .map(|(rung, seconds)| RungTime::from((*rung, (seconds * 1e6) as i64)))
        .collect();
    let (received, expected) = (shown as u64, (shown + stalled_us) as u64);
    let duration_us = shown;
    viewers.recorder.record(Record::SessionWatched {
        time: Timestamp::from_micros(now),
        request: request_id,
        session,
        duration: TimeDelta::from_micros(duration_us),
        bytes_received: received,
        bytes_expected: expected,
        rung_times,
    });
    if completed {
        AttemptOutcome::Completed
    } else {
        AttemptOutcome::Retry(viewers.population().retry_pause)
    }
}
