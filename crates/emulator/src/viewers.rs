//! Emulated viewers: they request sessions, watch them, retry, and add up their results.

use crate::recorder::Recorder;
use async_executor::LocalExecutor;
use async_io::Timer;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use shalewall_audit::{Record, RungTime, TimeDelta, Timestamp};
use shalewall_fleet_model::population::{Class, Interest, ViewerPopulation};
use shalewall_fleet_model::totals::{TotalsByTenant, ViewerTotals};
use shalewall_http::Limits;
use shalewall_http::client::{BodyStream, Call, CallError, ConnectErrorKind, with_timeout};
use shalewall_http::pool::Pool;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Results of the viewers so far.
#[derive(Clone, Debug, Default)]
pub struct ViewerResults {
    /// Totals over viewers.
    pub totals: TotalsByTenant,
    /// Response latencies by class, microseconds.
    pub latencies_us: BTreeMap<String, Vec<u64>>,
    /// Largest timer delay of a player that supports migration, microseconds; gaps are measured no more precisely.
    pub max_timer_delay_us: i64,
}

/// All viewers of an emulation; clones share their state.
#[derive(Clone)]
pub struct Viewers {
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) recorder: Recorder,
    population: Rc<ViewerPopulation>,
    director_addresses: Rc<RefCell<Vec<SocketAddr>>>,
    rng: Rc<RefCell<ChaCha8Rng>>,
    /// Random number generators for arrivals: one for each tenant, or one for all viewers.
    arrival_rngs: Rc<RefCell<Vec<ChaCha8Rng>>>,
    request_count: Rc<Cell<u64>>,
    /// Results so far.
    pub results: Rc<RefCell<ViewerResults>>,
    /// Factor of the usual arrival rate of all viewers.
    rate_factor: Rc<Cell<f64>>,
    tenant_rate_factors: Rc<RefCell<BTreeMap<String, f64>>>,
    /// Interest of additional viewers, and their arrivals as a fraction of the usual rate.
    surge: Rc<RefCell<Option<(Interest, f64)>>>,
    active_viewers: Rc<Cell<usize>>,
    /// End of the day; worth is counted up to this time.
    day_end: Rc<Cell<Option<Instant>>>,
    /// Buffer lengths of players that support migration, for live and for recorded titles, microseconds.
    pub(crate) buffers: (i64, i64),
    /// Largest timer delay of a player that supports migration, microseconds.
    pub max_timer_delay_us: Rc<Cell<i64>>,
    /// Number of connections that failed because this machine ran out of descriptors or ports.
    pub local_resource_errors: Rc<Cell<u64>>,
}

/// A viewer, from its arrival to its last retry.
pub(crate) struct Viewer {
    pub(crate) tenant: Option<String>,
    key: String,
    pub(crate) class: Class,
    title: String,
    highest_rung: usize,
    pub(crate) until: Instant,
    /// Whether its player supports session migration.
    supports_migration: bool,
    /// Stall that the last session ended with: its request, session, and start in microseconds.
    pub(crate) stall: Cell<Option<(u64, u64, i64)>>,
    /// Whether a request of it was rejected.
    was_rejected: Cell<bool>,
    /// Whether a session of it has played.
    has_played: Cell<bool>,
}

/// Outcome of one request of a viewer.
pub(crate) enum AttemptOutcome {
    /// The viewer watched to the end.
    Completed,
    /// The request or its session failed; the viewer may retry after this backoff.
    Retry(Duration),
    /// The viewer does not retry.
    GiveUp,
}

impl Viewers {
    /// Creates the viewers. `arrival_rngs` are the random number generators for arrivals: one for each tenant of the
    /// population, or one if it has no tenants.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        recorder: Recorder,
        population: ViewerPopulation,
        arrival_rngs: Vec<ChaCha8Rng>,
        seed: u64,
    ) -> Viewers {
        let micros = |d: Duration| d.as_micros() as i64;
        Viewers {
            buffers: (
                micros(population.live_buffer),
                micros(population.recorded_buffer),
            ),
            max_timer_delay_us: Rc::default(),
            local_resource_errors: Rc::default(),
            executor,
            recorder,
            population: Rc::new(population),
            director_addresses: Rc::default(),
            rng: Rc::new(RefCell::new(ChaCha8Rng::seed_from_u64(seed))),
            arrival_rngs: Rc::new(RefCell::new(arrival_rngs)),
            request_count: Rc::default(),
            results: Rc::default(),
            rate_factor: Rc::new(Cell::new(1.0)),
            tenant_rate_factors: Rc::default(),
            surge: Rc::default(),
            active_viewers: Rc::default(),
            day_end: Rc::default(),
        }
    }

    /// Sets the address at which a director listens.
    pub fn set_director(&self, number: u32, address: SocketAddr) {
        let mut director_addresses = self.director_addresses.borrow_mut();
        let slots = director_addresses.len().max(number as usize + 1);
        director_addresses.resize(slots, address);
        director_addresses[number as usize] = address;
    }

    /// Sets the factor of the usual arrival rate of all viewers; 1 is the usual rate.
    pub fn set_rate_factor(&self, factor: f64) {
        self.rate_factor.set(factor.max(0.0));
    }

    /// Sets the factor of the usual arrival rate of a tenant's viewers; 1 is the usual rate.
    pub fn set_tenant_rate_factor(&self, tenant: &str, factor: f64) {
        self.tenant_rate_factors
            .borrow_mut()
            .insert(tenant.to_string(), factor.max(0.0));
    }

    /// Adds viewers with a common interest, as a fraction of the usual arrival rate; `None` ends the surge.
    pub fn set_surge(&self, surge: Option<(Interest, f64)>) {
        *self.surge.borrow_mut() = surge;
    }

    /// Population from which viewers are drawn.
    pub fn population(&self) -> &ViewerPopulation {
        &self.population
    }

    /// Number of viewers that wait for a response, watch, or are about to retry.
    pub fn active_viewers(&self) -> usize {
        self.active_viewers.get()
    }

    fn random_fraction(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    /// Lets viewers arrive for a duration, at exponentially distributed intervals.
    pub async fn run_arrivals(&self, time: Duration) {
        let until = Instant::now() + time;
        self.day_end.set(Some(until));
        let streams = self.arrival_rngs.borrow().len();
        let all = (0..streams).map(|stream| {
            let viewers = self.clone();
            self.executor
                .spawn(async move { viewers.run_arrival_stream(stream, until).await })
        });
        for stream in all.collect::<Vec<_>>() {
            stream.await;
        }
    }

    /// Lets the viewers of one arrival stream arrive until a time.
    async fn run_arrival_stream(&self, stream: usize, until: Instant) {
        let tenant = self.population.tenants.get(stream).cloned();
        let mut next = Instant::now();
        loop {
            let surge_factor = self
                .surge
                .borrow()
                .as_ref()
                .map_or(0.0, |(_, factor)| *factor);
            let total_factor = self.rate_factor.get() + surge_factor;
            let tenant_factor = tenant.as_ref().map_or(1.0, |(name, factor)| {
                factor * self.tenant_rate_factors.borrow().get(name).unwrap_or(&1.0)
            });
            next += self.population.time_to_next_arrival(
                total_factor * tenant_factor,
                &mut self.arrival_rngs.borrow_mut()[stream],
            );
            if next >= until {
                Timer::at(until).await;
                return;
            }
            Timer::at(next).await;
            let viewers = self.clone();
            let viewer = self.draw_viewer(
                stream,
                surge_factor / total_factor,
                tenant.as_ref().map(|(name, _)| name.clone()),
            );
            self.active_viewers.set(self.active_viewers.get() + 1);
            self.executor
                .spawn(async move {
                    viewers.run_viewer(viewer).await;
                    viewers.active_viewers.set(viewers.active_viewers.get() - 1);
                })
                .detach();
        }
    }

    /// Draws a viewer of an arrival stream. `surge_fraction` is the fraction of arrivals that belong to the surge.
    fn draw_viewer(&self, stream: usize, surge_fraction: f64, tenant: Option<String>) -> Viewer {
        let surge = self.surge.borrow();
        let surge = surge
            .as_ref()
            .map(|(interest, _)| (interest, surge_fraction));
        let drawn = self
            .population
            .draw_viewer(surge, &mut self.arrival_rngs.borrow_mut()[stream]);
        let now = Instant::now();
        let within = self
            .day_end
            .get()
            .map_or(drawn.watch_time, |t| t.saturating_duration_since(now));
        let worth_offered = self.population.worth_offered(&drawn, within);
        let viewer = Viewer {
            tenant,
            key: drawn.key,
            class: self.population.classes[drawn.class].clone(),
            title: drawn.title,
            highest_rung: drawn.highest_rung,
            until: now + drawn.watch_time,
            supports_migration: self.population.migratable_fraction > 0.0
                && self.random_fraction() < self.population.migratable_fraction,
            stall: Cell::default(),
            was_rejected: Cell::default(),
            has_played: Cell::default(),
        };
        self.update_totals(&viewer, |t| {
            t.viewers += 1;
            t.viewers_unserved += 1;
            t.worth_offered += worth_offered;
        });
        viewer
    }

    fn update_totals(&self, viewer: &Viewer, change: impl Fn(&mut ViewerTotals)) {
        self.results
            .borrow_mut()
            .totals
            .update(viewer.tenant.as_deref(), change);
    }

    async fn run_viewer(&self, viewer: Viewer) {
        let mut is_retry = false;
        let mut position = (self.random_fraction() * 1e6) as usize;
        while Instant::now() < viewer.until {
            let (director, address) = {
                let director_addresses = self.director_addresses.borrow();
                if director_addresses.is_empty() {
                    return;
                }
                (
                    position % director_addresses.len(),
                    director_addresses[position % director_addresses.len()],
                )
            };
            match self
                .request_session(&viewer, director as u32, address, is_retry)
                .await
            {
                AttemptOutcome::Completed | AttemptOutcome::GiveUp => return,
                AttemptOutcome::Retry(pause) => {
                    if self.random_fraction() >= self.population.retry_fraction {
                        return;
                    }
                    Timer::after(pause.mul_f64(0.5 + self.random_fraction())).await;
                }
            }
            is_retry = true;
            position += (self.random_fraction() * 2.0) as usize;
        }
    }

    async fn request_session(
        &self,
        viewer: &Viewer,
        director: u32,
        address: SocketAddr,
        is_retry: bool,
    ) -> AttemptOutcome {
        let request_id = self.request_count.get();
        self.request_count.set(request_id + 1);
        let left = viewer.until.saturating_duration_since(Instant::now());
        let hint = Some(left.as_secs_f64() * self.population.hint_factor).filter(|s| *s > 0.0);
        let body = serde_json::json!({
            "viewer": viewer.key, "tenant": viewer.tenant, "class": viewer.class.name, "title": viewer.title,
            "wait_ms": viewer.class.request_timeout.as_millis() as u64, "hint_s": hint,
            "top": viewer.highest_rung, "again": is_retry,
        })
        .to_string();
        let host = address.to_string();
        // A hosted director needs to know the tenant before it reads the body.
        let tenant = viewer
            .tenant
            .as_deref()
            .map(|name| ("Shalewall-Tenant", name));
        let call = Call::new("POST", "/sessions", &host)
            .fields(tenant.as_slice())
            .json(body.as_bytes());
        let pool = Pool::new(address, Limits::default(), Duration::ZERO, 0);
        let mut connection = match pool.connect().await {
            Ok(connection) => connection,
            Err(e) => {
                let is_local = matches!(
                    e,
                    CallError::NotConnected(ConnectErrorKind::LocalShortage, _)
                );
                self.local_resource_errors
                    .set(self.local_resource_errors.get() + u64::from(is_local));
                self.update_totals(viewer, |t| t.unanswered += 1);
                return AttemptOutcome::Retry(self.population.retry_pause);
            }
        };
        let sent_at = shalewall_clock::now().as_micros();
        let timeout_us = viewer.class.request_timeout.as_micros() as i64;
        let (key, class, title) = (
            viewer.key.clone(),
            viewer.class.name.clone(),
            viewer.title.clone(),
        );
        let tenant = viewer.tenant.clone();
        self.recorder.record(Record::RequestSent {
            time: Timestamp::from_micros(sent_at),
            director,
            request: request_id,
            key,
            tenant,
            class,
            title,
            timeout: TimeDelta::from_micros(timeout_us),
        });
        self.update_totals(viewer, |t| t.requested += 1);
        // The viewer waits longer than the timeout it announced, so that late responses are recorded.
        let patience = viewer.class.request_timeout + Duration::from_secs(3);
        let response = with_timeout(patience, connection.call(&call)).await;
        let now = shalewall_clock::now().as_micros();
        let response = match response {
            Some(Ok(response)) => response,
            Some(Err(CallError::NotConnected(..) | CallError::NotExecuted(_))) => {
                self.recorder.record(Record::RequestCancelled {
                    time: Timestamp::from_micros(now),
                    request: request_id,
                });
                return AttemptOutcome::Retry(self.population.retry_pause);
            }
            None | Some(Err(CallError::MaybeExecuted(_))) => {
                self.recorder.record(Record::RequestUnanswered {
                    time: Timestamp::from_micros(now),
                    request: request_id,
                });
                self.update_totals(viewer, |t| t.unanswered += 1);
                return AttemptOutcome::Retry(self.population.retry_pause);
            }
        };
        let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
        let session = body["session"].as_u64();
        let status = response.head.status;
        self.recorder.record(Record::RequestAnswered {
            time: Timestamp::from_micros(now),
            request: request_id,
            status,
            session,
        });
        let latency_us = (now - sent_at) as u64;
        self.results
            .borrow_mut()
            .latencies_us
            .entry(viewer.class.name.clone())
            .or_default()
            .push(latency_us);
        let retry_after = body["come_back_ms"]
            .as_f64()
            .map(|ms| Duration::from_secs_f64(ms / 1000.0));
        match (status, session, body["media"].as_str()) {
            (201, Some(session), Some(media)) => {
                let first = u64::from(!viewer.has_played.replace(true));
                self.update_totals(viewer, |t| {
                    (t.played, t.viewers_unserved) = (t.played + 1, t.viewers_unserved - first)
                });
                let late = Duration::from_micros(latency_us) > viewer.class.latency_objective;
                if let Some((stalled_request, session, since)) = viewer.stall.take() {
                    self.record_gap(stalled_request, session, since, now - since);
                }
                let watched = match viewer.supports_migration {
                    true => {
                        crate::player::watch(
                            self, viewer, director, request_id, session, media, late,
                        )
                        .await
                    }
                    false => self.watch(viewer, request_id, session, media, late).await,
                };
                if self.random_fraction() < 0.5 {
                    let target = format!("/sessions/{session}");
                    let end = Call::new("DELETE", &target, &host);
                    let _ = with_timeout(Duration::from_secs(2), pool.call(&end)).await;
                }
                watched
            }
            (503, ..) => {
                let first = u64::from(!viewer.was_rejected.replace(true));
                self.update_totals(viewer, |t| {
                    (t.rejected, t.viewers_rejected) = (t.rejected + 1, t.viewers_rejected + first)
                });
                AttemptOutcome::Retry(retry_after.unwrap_or(self.population.retry_pause))
            }
            (502 | 504, ..) => {
                self.update_totals(viewer, |t| t.failed += 1);
                AttemptOutcome::GiveUp // the set-up may have been executed and paid for; a retry could pay twice
            }
            _ => {
                self.update_totals(viewer, |t| t.failed += 1);
                AttemptOutcome::GiveUp
            }
        }
    }

    /// Current address of a director.
    pub(crate) fn director_address(&self, number: u32) -> Option<SocketAddr> {
        self.director_addresses
            .borrow()
            .get(number as usize)
            .copied()
    }

    /// End of the day on the clock of recordings, microseconds.
    pub(crate) fn day_end_time(&self) -> Option<i64> {
        let left = self
            .day_end
            .get()?
            .saturating_duration_since(Instant::now());
        Some(shalewall_clock::now().as_micros() + left.as_micros() as i64)
    }

    pub(crate) fn record_gap(
        &self,
        request_id: u64,
        session: u64,
        start_us: i64,
        duration_us: i64,
    ) {
        self.recorder.record(Record::PlaybackGap {
            time: Timestamp::from_micros(start_us),
            request: request_id,
            session,
            duration: TimeDelta::from_micros(duration_us),
        });
    }

    pub(crate) fn count_interruption(&self, viewer: &Viewer, interrupted: bool) {
        self.update_totals(viewer, |t| t.broken += u64::from(interrupted));
    }

    /// Adds the playback of a session without a buffer to the totals.
    fn count_unbuffered_playback(&self, viewer: &Viewer, playback: &PlaybackMeter, late: bool) {
        let delivered_fraction = if playback.bytes_expected > 0.0 {
            (playback.bytes_received as f64 / playback.bytes_expected).min(1.0)
        } else {
            0.0
        };
        self.count_playback(
            viewer,
            &playback.seconds_by_rung,
            playback.rung_changes,
            delivered_fraction,
            late,
        );
    }

    /// Adds the playback of a session to the totals. `rungs` are the seconds at each rung, `delivered_fraction` is the
    /// fraction of the rate that was received.
    pub(crate) fn count_playback(
        &self,
        viewer: &Viewer,
        rungs: &BTreeMap<usize, f64>,
        rung_changes: u64,
        delivered_fraction: f64,
        late: bool,
    ) {
        let kept = self.population.worth_kept(delivered_fraction);
        self.update_totals(viewer, |t| {
            t.rung_changes += rung_changes;
            t.worth_earned -= rung_changes as f64
                * self.population.rung_change_cost_s
                * viewer.class.priority_weight;
            for (rung, time) in rungs {
                *t.seconds_by_rung.entry(*rung).or_default() += time;
                // A response later than the latency objective forfeits the worth of the first second.
                let lost = if late { 1.0_f64.min(*time) } else { 0.0 };
                let worth = self.population.utility.get(*rung).copied().unwrap_or(0.0);
                t.worth_earned += (time - lost) * viewer.class.priority_weight * worth * kept;
            }
        });
    }

    /// Plays a session without a buffer until the watch time is over, or until the viewer gives up because of stalls.
    async fn watch(
        &self,
        viewer: &Viewer,
        request_id: u64,
        session: u64,
        media: &str,
        late: bool,
    ) -> AttemptOutcome {
        let mut playback = PlaybackMeter::new(self.day_end.get());
        let mut counted = false;
        let stream = open_media(media).await;
        let completed = match stream {
            None => false,
            Some(mut frames) => loop {
                let left = viewer.until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break true;
                }
                // A viewer gives up after five seconds without media.
                let wait = left.min(Duration::from_secs(5));
                match with_timeout(wait, frames.next()).await {
                    Some(Some(bytes)) => {
                        playback.receive(&bytes);
                        // A session may outlast the day and the process; only playback up to the day's end counts.
                        if !counted && self.day_end.get().is_some_and(|t| Instant::now() >= t) {
                            self.count_unbuffered_playback(viewer, &playback, late);
                            counted = true;
                        }
                    }
                    Some(None) => break false,
                    None => {
                        playback.advance();
                        break Instant::now() >= viewer.until;
                    }
                }
                // Below 75% of the rate for some time, a viewer gives up with a probability of 2% per chunk.
                if playback.is_poor() && self.random_fraction() < 0.02 {
                    break false;
                }
            },
        };
        playback.advance();
        if !counted {
            self.count_unbuffered_playback(viewer, &playback, late);
        }
        self.count_interruption(viewer, !completed);
        let rungs = playback.seconds_by_rung.iter();
        let rung_times = rungs
            .map(|(rung, seconds)| RungTime::from((*rung, (seconds * 1e6) as i64)))
            .collect();
        self.recorder.record(Record::SessionWatched {
            time: shalewall_clock::now(),
            request: request_id,
            session,
            duration: TimeDelta::from_micros(
                (playback.seconds_by_rung.values().sum::<f64>() * 1e6) as i64,
            ),
            bytes_received: playback.bytes_received,
            bytes_expected: playback.bytes_expected as u64,
            rung_times,
        });
        if completed {
            AttemptOutcome::Completed
        } else {
            AttemptOutcome::Retry(self.population.retry_pause)
        }
    }
}

/// Opens a media stream by its URL.
pub(crate) async fn open_media(
    url: &str,
) -> Option<BodyStream<async_io::Async<std::net::TcpStream>>> {
    let (host, path) = url.strip_prefix("http://")?.split_once('/')?;
    let target = format!("/{path}");
    let pool = Pool::new(host.parse().ok()?, Limits::default(), Duration::ZERO, 0);
    let call = Call::new("GET", &target, host);
    let opening = async { pool.connect().await.ok()?.stream(&call).await.ok() };
    let (head, frames) = with_timeout(Duration::from_secs(5), opening).await??;
    (head.status == 200).then_some(frames)
}

/// Measures the received and the expected media of a player without a buffer, in real time at the viewer.
struct PlaybackMeter {
    buf: Vec<u8>,
    bytes_received: u64,
    bytes_expected: f64,
    seconds_by_rung: BTreeMap<usize, f64>,
    /// Current frame: rung, full rate in bytes per second, and start time.
    current_frame: Option<(usize, f64, Instant)>,
    /// Bytes of the current frame that have not arrived yet.
    frame_bytes_left: usize,
    /// Moving average of the delivered fraction of the rate.
    recent_delivery: f64,
    started_at: Instant,
    /// End of the day; playback after it does not count.
    day_end: Option<Instant>,
    rung_changes: u64,
}

impl PlaybackMeter {
    fn new(day_end: Option<Instant>) -> PlaybackMeter {
        PlaybackMeter {
            buf: Vec::new(),
            bytes_received: 0,
            bytes_expected: 0.0,
            seconds_by_rung: BTreeMap::new(),
            current_frame: None,
            frame_bytes_left: 0,
            recent_delivery: 1.0,
            started_at: Instant::now(),
            day_end,
            rung_changes: 0,
        }
    }

    /// Accounts for the time since the last call at the current rung.
    fn advance(&mut self) {
        let Some((rung, rate, since)) = self.current_frame else {
            return;
        };
        let until = self
            .day_end
            .map_or_else(Instant::now, |t| t.min(Instant::now()));
        let time = until.saturating_duration_since(since).as_secs_f64();
        self.bytes_expected += rate * time;
        *self.seconds_by_rung.entry(rung).or_default() += time;
        self.current_frame = Some((rung, rate, Instant::now()));
    }

    /// Adds received bytes, which may contain parts of several frames.
    fn receive(&mut self, bytes: &[u8]) {
        self.advance();
        let mut rest = bytes;
        let (bytes_before, bytes_due) = (
            self.bytes_received,
            self.current_frame.map_or(0.0, |(_, rate, _)| rate * 0.1),
        );
        while !rest.is_empty() {
            if self.frame_bytes_left > 0 {
                let n = self.frame_bytes_left.min(rest.len());
                self.bytes_received += n as u64;
                self.frame_bytes_left -= n;
                rest = &rest[n..];
                continue;
            }
            let n = (9 - self.buf.len()).min(rest.len());
            self.buf.extend_from_slice(&rest[..n]);
            rest = &rest[n..];
            if let [rung, a, b, c, d, e, f, g, h] = self.buf[..] {
                let rate = f64::from(u32::from_be_bytes([a, b, c, d]));
                self.frame_bytes_left = u32::from_be_bytes([e, f, g, h]) as usize;
                let now = Instant::now();
                let rung_changed = self
                    .current_frame
                    .is_some_and(|(before, ..)| before != rung as usize);
                self.rung_changes +=
                    u64::from(rung_changed && self.day_end.is_none_or(|t| now < t));
                self.current_frame = Some((rung as usize, rate, now));
                self.buf.clear();
            }
        }
        if bytes_due > 0.0 {
            let delivered_fraction =
                ((self.bytes_received - bytes_before) as f64 / bytes_due).min(1.5);
            self.recent_delivery += 0.05 * (delivered_fraction - self.recent_delivery);
        }
    }

    /// Whether, after the first 3 s, less than 75% of the expected media has arrived recently.
    fn is_poor(&self) -> bool {
        self.recent_delivery < 0.75 && self.started_at.elapsed() > Duration::from_secs(3)
    }
}
