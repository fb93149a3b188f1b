//! Viewers: they ask, watch, come again, and count what they got.

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

/// What has come of the viewers so far.
#[derive(Clone, Debug, Default)]
pub struct Count {
    pub tallies: TotalsByTenant,
    /// Answers by class: microseconds.
    pub took: BTreeMap<String, Vec<u64>>,
    /// The latest wake-up of a player that follows, microseconds: gaps are measured no better.
    pub lag: i64,
}

/// All viewers of a run.
#[derive(Clone)]
pub struct Viewers {
    pub(crate) ex: Rc<LocalExecutor<'static>>,
    pub(crate) recorder: Recorder,
    crowd: Rc<ViewerPopulation>,
    fronts: Rc<RefCell<Vec<SocketAddr>>>,
    dice: Rc<RefCell<ChaCha8Rng>>,
    /// Chance of who comes: one stream for each tenant, or one for all.
    arrivals: Rc<RefCell<Vec<ChaCha8Rng>>>,
    asks: Rc<Cell<u64>>,
    pub count: Rc<RefCell<Count>>,
    /// How much faster than usual they come, and what extra ones come for, as a part of the usual rate.
    burst: Rc<Cell<f64>>,
    bursts: Rc<RefCell<BTreeMap<String, f64>>>,
    extra: Rc<RefCell<Option<(Interest, f64)>>>,
    here: Rc<Cell<usize>>,
    /// The day's end: worth is counted up to it.
    close: Rc<Cell<Option<Instant>>>,
    /// Of players that follow, what they keep in their buffers, microseconds; and the latest wake-up of any.
    pub(crate) buffers: (i64, i64),
    pub lag: Rc<Cell<i64>>,
    /// Connections that could not be made for want of something of this machine's own.
    pub lacked: Rc<Cell<u64>>,
}

/// One that wants to watch.
pub(crate) struct Viewer {
    pub(crate) tenant: Option<String>,
    key: String,
    pub(crate) class: Class,
    title: String,
    top: usize,
    pub(crate) until: Instant,
    /// Its player can be offered another node.
    follows: bool,
    /// Since when it sees nothing, and of which session.
    pub(crate) dry: Cell<Option<(u64, u64, i64)>>,
    /// It was turned away before, and it has played.
    refused: Cell<bool>,
    played: Cell<bool>,
}

/// How one try went.
pub(crate) enum Try {
    /// Watched to the end.
    Done,
    /// Turned away, failed or broken off: may come again after this.
    Again(Duration),
    /// Nothing more is wanted.
    Over,
}

impl Viewers {
    /// `arrivals`: chance of who comes, a stream for each tenant of the crowd, or one.
    pub fn new(
        ex: Rc<LocalExecutor<'static>>,
        recorder: Recorder,
        crowd: ViewerPopulation,
        arrivals: Vec<ChaCha8Rng>,
        seed: u64,
    ) -> Viewers {
        let micros = |d: Duration| d.as_micros() as i64;
        Viewers {
            buffers: (micros(crowd.live_buffer), micros(crowd.recorded_buffer)),
            lag: Rc::default(),
            lacked: Rc::default(),
            ex,
            recorder,
            crowd: Rc::new(crowd),
            fronts: Rc::default(),
            dice: Rc::new(RefCell::new(ChaCha8Rng::seed_from_u64(seed))),
            arrivals: Rc::new(RefCell::new(arrivals)),
            asks: Rc::default(),
            count: Rc::default(),
            burst: Rc::new(Cell::new(1.0)),
            bursts: Rc::default(),
            extra: Rc::default(),
            here: Rc::default(),
            close: Rc::default(),
        }
    }

    /// Where fronts listen, by number.
    pub fn set_front(&self, number: u32, address: SocketAddr) {
        let mut fronts = self.fronts.borrow_mut();
        let slots = fronts.len().max(number as usize + 1);
        fronts.resize(slots, address);
        fronts[number as usize] = address;
    }

    pub fn set_burst(&self, times: f64) {
        self.burst.set(times.max(0.0));
    }

    /// One tenant's viewers come so many times as often.
    pub fn set_tenant_burst(&self, tenant: &str, times: f64) {
        self.bursts
            .borrow_mut()
            .insert(tenant.to_string(), times.max(0.0));
    }

    /// Extra viewers, as a part of the usual rate.
    pub fn set_extra(&self, extra: Option<(Interest, f64)>) {
        *self.extra.borrow_mut() = extra;
    }

    pub fn crowd(&self) -> &ViewerPopulation {
        &self.crowd
    }

    /// Viewers that are asking, watching or about to come again.
    pub fn here(&self) -> usize {
        self.here.get()
    }

    fn roll(&self) -> f64 {
        self.dice.borrow_mut().random()
    }

    /// Viewers come for so long, at exponential distances.
    pub async fn arrive(&self, time: Duration) {
        let until = Instant::now() + time;
        self.close.set(Some(until));
        let streams = self.arrivals.borrow().len();
        let all = (0..streams).map(|stream| {
            let viewers = self.clone();
            self.ex
                .spawn(async move { viewers.come(stream, until).await })
        });
        for stream in all.collect::<Vec<_>>() {
            stream.await;
        }
    }

    /// The viewers of one stream of arrivals.
    async fn come(&self, stream: usize, until: Instant) {
        let tenant = self.crowd.tenants.get(stream).cloned();
        let mut next = Instant::now();
        loop {
            let extra = self.extra.borrow().as_ref().map_or(0.0, |(_, part)| *part);
            let all = self.burst.get() + extra;
            let times = tenant.as_ref().map_or(1.0, |(name, times)| {
                times * self.bursts.borrow().get(name).unwrap_or(&1.0)
            });
            next += self
                .crowd
                .time_to_next_arrival(all * times, &mut self.arrivals.borrow_mut()[stream]);
            if next >= until {
                Timer::at(until).await;
                return;
            }
            Timer::at(next).await;
            let viewers = self.clone();
            let viewer = self.draw(
                stream,
                extra / all,
                tenant.as_ref().map(|(name, _)| name.clone()),
            );
            self.here.set(self.here.get() + 1);
            self.ex
                .spawn(async move {
                    viewers.live(viewer).await;
                    viewers.here.set(viewers.here.get() - 1);
                })
                .detach();
        }
    }

    fn draw(&self, stream: usize, part: f64, tenant: Option<String>) -> Viewer {
        let extra = self.extra.borrow();
        let extra = extra.as_ref().map(|(draw, _)| (draw, part));
        let person = self
            .crowd
            .draw_viewer(extra, &mut self.arrivals.borrow_mut()[stream]);
        let now = Instant::now();
        let within = self
            .close
            .get()
            .map_or(person.watch_time, |t| t.saturating_duration_since(now));
        let wanted = self.crowd.worth_offered(&person, within);
        let viewer = Viewer {
            tenant,
            key: person.key,
            class: self.crowd.classes[person.class].clone(),
            title: person.title,
            top: person.highest_rung,
            until: now + person.watch_time,
            follows: self.crowd.follow_fraction > 0.0 && self.roll() < self.crowd.follow_fraction,
            dry: Cell::default(),
            refused: Cell::default(),
            played: Cell::default(),
        };
        self.enter(&viewer, |t| {
            t.viewers += 1;
            t.viewers_unserved += 1;
            t.worth_offered += wanted;
        });
        viewer
    }

    fn enter(&self, viewer: &Viewer, what: impl Fn(&mut ViewerTotals)) {
        self.count
            .borrow_mut()
            .tallies
            .update(viewer.tenant.as_deref(), what);
    }

    async fn live(&self, viewer: Viewer) {
        let mut again = false;
        let mut at = (self.roll() * 1e6) as usize;
        while Instant::now() < viewer.until {
            let (number, front) = {
                let fronts = self.fronts.borrow();
                if fronts.is_empty() {
                    return;
                }
                (at % fronts.len(), fronts[at % fronts.len()])
            };
            match self.attempt(&viewer, number as u32, front, again).await {
                Try::Done | Try::Over => return,
                Try::Again(pause) => {
                    if self.roll() >= self.crowd.retry_fraction {
                        return;
                    }
                    Timer::after(pause.mul_f64(0.5 + self.roll())).await;
                }
            }
            again = true;
            at += (self.roll() * 2.0) as usize;
        }
    }

    async fn attempt(&self, viewer: &Viewer, number: u32, front: SocketAddr, again: bool) -> Try {
        let ask = self.asks.get();
        self.asks.set(ask + 1);
        let left = viewer.until.saturating_duration_since(Instant::now());
        let hint = Some(left.as_secs_f64() * self.crowd.hint_factor).filter(|s| *s > 0.0);
        let body = serde_json::json!({
            "viewer": viewer.key, "tenant": viewer.tenant, "class": viewer.class.name, "title": viewer.title,
            "wait_ms": viewer.class.request_timeout.as_millis() as u64, "hint_s": hint,
            "top": viewer.top, "again": again,
        })
        .to_string();
        let host = front.to_string();
        // Of a hosted service: whose viewer it is has to be known before its content is read.
        let tenant = viewer
            .tenant
            .as_deref()
            .map(|name| ("Shalewall-Tenant", name));
        let call = Call::new("POST", "/sessions", &host)
            .fields(tenant.as_slice())
            .json(body.as_bytes());
        let pool = Pool::new(front, Limits::default(), Duration::ZERO, 0);
        let mut connection = match pool.connect().await {
            Ok(connection) => connection,
            Err(e) => {
                let own = matches!(
                    e,
                    CallError::NotConnected(ConnectErrorKind::LocalShortage, _)
                );
                self.lacked.set(self.lacked.get() + u64::from(own));
                self.enter(viewer, |t| t.unanswered += 1);
                return Try::Again(self.crowd.retry_pause);
            }
        };
        let t = shalewall_clock::now().as_micros();
        let wait = viewer.class.request_timeout.as_micros() as i64;
        let (key, class, title) = (
            viewer.key.clone(),
            viewer.class.name.clone(),
            viewer.title.clone(),
        );
        let tenant = viewer.tenant.clone();
        self.recorder.note(Record::RequestSent {
            time: Timestamp::from_micros(t),
            director: number,
            request: ask,
            key,
            tenant,
            class,
            title,
            timeout: TimeDelta::from_micros(wait),
        });
        self.enter(viewer, |t| t.requested += 1);
        // A viewer waits somewhat longer than it said: an answer that is late is to be seen.
        let patience = viewer.class.request_timeout + Duration::from_secs(3);
        let answer = with_timeout(patience, connection.call(&call)).await;
        let now = shalewall_clock::now().as_micros();
        let answer = match answer {
            Some(Ok(answer)) => answer,
            Some(Err(CallError::NotConnected(..) | CallError::NotExecuted(_))) => {
                self.recorder.note(Record::RequestCancelled {
                    time: Timestamp::from_micros(now),
                    request: ask,
                });
                return Try::Again(self.crowd.retry_pause);
            }
            None | Some(Err(CallError::MaybeExecuted(_))) => {
                self.recorder.note(Record::RequestUnanswered {
                    time: Timestamp::from_micros(now),
                    request: ask,
                });
                self.enter(viewer, |t| t.unanswered += 1);
                return Try::Again(self.crowd.retry_pause);
            }
        };
        let said: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let session = said["session"].as_u64();
        let status = answer.head.status;
        self.recorder.note(Record::RequestAnswered {
            time: Timestamp::from_micros(now),
            request: ask,
            status,
            session,
        });
        let took = (now - t) as u64;
        self.count
            .borrow_mut()
            .took
            .entry(viewer.class.name.clone())
            .or_default()
            .push(took);
        let pause = said["come_back_ms"]
            .as_f64()
            .map(|ms| Duration::from_secs_f64(ms / 1000.0));
        match (status, session, said["media"].as_str()) {
            (201, Some(session), Some(media)) => {
                let first = u64::from(!viewer.played.replace(true));
                self.enter(viewer, |t| {
                    (t.played, t.viewers_unserved) = (t.played + 1, t.viewers_unserved - first)
                });
                let late = Duration::from_micros(took) > viewer.class.latency_objective;
                if let Some((before, session, since)) = viewer.dry.take() {
                    self.gap(before, session, since, now - since);
                }
                let watched = match viewer.follows {
                    true => {
                        crate::player::watch(self, viewer, number, ask, session, media, late).await
                    }
                    false => self.watch(viewer, ask, session, media, late).await,
                };
                if self.roll() < 0.5 {
                    let target = format!("/sessions/{session}");
                    let end = Call::new("DELETE", &target, &host);
                    let _ = with_timeout(Duration::from_secs(2), pool.call(&end)).await;
                }
                watched
            }
            (503, ..) => {
                let first = u64::from(!viewer.refused.replace(true));
                self.enter(viewer, |t| {
                    (t.rejected, t.viewers_rejected) = (t.rejected + 1, t.viewers_rejected + first)
                });
                Try::Again(pause.unwrap_or(self.crowd.retry_pause))
            }
            (502 | 504, ..) => {
                self.enter(viewer, |t| t.failed += 1);
                Try::Over // it may have run and been paid for: coming again could pay twice
            }
            _ => {
                self.enter(viewer, |t| t.failed += 1);
                Try::Over
            }
        }
    }

    /// Where a front listens now.
    pub(crate) fn front(&self, number: u32) -> Option<SocketAddr> {
        self.fronts.borrow().get(number as usize).copied()
    }

    /// When the day is over, on the clock of recordings.
    pub(crate) fn close_at(&self) -> Option<i64> {
        let left = self.close.get()?.saturating_duration_since(Instant::now());
        Some(shalewall_clock::now().as_micros() + left.as_micros() as i64)
    }

    pub(crate) fn gap(&self, ask: u64, session: u64, t: i64, micros: i64) {
        self.recorder.note(Record::PlaybackGap {
            time: Timestamp::from_micros(t),
            request: ask,
            session,
            duration: TimeDelta::from_micros(micros),
        });
    }

    pub(crate) fn enter_broken(&self, viewer: &Viewer, broken: bool) {
        self.enter(viewer, |t| t.broken += u64::from(broken));
    }

    /// Enters what a session came to into the count.
    fn tally(&self, viewer: &Viewer, meter: &Meter, late: bool) {
        let share = if meter.due > 0.0 {
            (meter.got as f64 / meter.due).min(1.0)
        } else {
            0.0
        };
        self.enter_watched(viewer, &meter.rungs, meter.steps, share, late);
    }

    /// `rungs`: seconds at each; `share`: part of it that was delivered.
    pub(crate) fn enter_watched(
        &self,
        viewer: &Viewer,
        rungs: &BTreeMap<usize, f64>,
        steps: u64,
        share: f64,
        late: bool,
    ) {
        let kept = self.crowd.worth_kept(share);
        self.enter(viewer, |t| {
            t.rung_changes += steps;
            t.worth_earned -=
                steps as f64 * self.crowd.rung_change_cost_s * viewer.class.priority_weight;
            for (rung, time) in rungs {
                *t.seconds_by_rung.entry(*rung).or_default() += time;
                // What plays after the wanted time earns nothing for its first second.
                let lost = if late { 1.0_f64.min(*time) } else { 0.0 };
                let worth = self.crowd.utility.get(*rung).copied().unwrap_or(0.0);
                t.worth_earned += (time - lost) * viewer.class.priority_weight * worth * kept;
            }
        });
    }

    /// Takes media until the session's time is over, or leaves when too little comes.
    async fn watch(&self, viewer: &Viewer, ask: u64, session: u64, media: &str, late: bool) -> Try {
        let mut meter = Meter::new(self.close.get());
        let mut counted = false;
        let stream = open(media).await;
        let whole = match stream {
            None => false,
            Some(mut frames) => loop {
                let left = viewer.until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break true;
                }
                // Nothing at all for five seconds: the picture stands, and the viewer gives up.
                let wait = left.min(Duration::from_secs(5));
                match with_timeout(wait, frames.next()).await {
                    Some(Some(bytes)) => {
                        meter.take(&bytes);
                        // Many sessions outlast the day and this run: what counts of them is known now.
                        if !counted && self.close.get().is_some_and(|t| Instant::now() >= t) {
                            self.tally(viewer, &meter, late);
                            counted = true;
                        }
                    }
                    Some(None) => break false,
                    None => {
                        meter.wait();
                        break Instant::now() >= viewer.until;
                    }
                }
                // Under 75% for a while, viewers begin to leave.
                if meter.poor() && self.roll() < 0.02 {
                    break false;
                }
            },
        };
        meter.wait();
        if !counted {
            self.tally(viewer, &meter, late);
        }
        self.enter_broken(viewer, !whole);
        let rungs = meter.rungs.iter();
        let rung_times = rungs
            .map(|(rung, seconds)| RungTime::from((*rung, (seconds * 1e6) as i64)))
            .collect();
        self.recorder.note(Record::SessionWatched {
            time: shalewall_clock::now(),
            request: ask,
            session,
            duration: TimeDelta::from_micros((meter.rungs.values().sum::<f64>() * 1e6) as i64),
            bytes_received: meter.got,
            bytes_expected: meter.due as u64,
            rung_times,
        });
        if whole {
            Try::Done
        } else {
            Try::Again(self.crowd.retry_pause)
        }
    }
}

/// Opens a stream by its URL.
pub(crate) async fn open(url: &str) -> Option<BodyStream<async_io::Async<std::net::TcpStream>>> {
    let (host, path) = url.strip_prefix("http://")?.split_once('/')?;
    let target = format!("/{path}");
    let pool = Pool::new(host.parse().ok()?, Limits::default(), Duration::ZERO, 0);
    let call = Call::new("GET", &target, host);
    let opening = async { pool.connect().await.ok()?.stream(&call).await.ok() };
    let (head, frames) = with_timeout(Duration::from_secs(5), opening).await??;
    (head.status == 200).then_some(frames)
}

/// Counts what came, and what should have come, by the viewer's own clock.
struct Meter {
    buf: Vec<u8>,
    got: u64,
    due: f64,
    rungs: BTreeMap<usize, f64>,
    /// The frame in force: rung, full rate, since when.
    now: Option<(usize, f64, Instant)>,
    /// Bytes of the frame that are still to come.
    left: usize,
    recent: f64,
    began: Instant,
    /// Nothing counts from then on.
    close: Option<Instant>,
    steps: u64,
}

impl Meter {
    fn new(close: Option<Instant>) -> Meter {
        Meter {
            buf: Vec::new(),
            got: 0,
            due: 0.0,
            rungs: BTreeMap::new(),
            now: None,
            left: 0,
            recent: 1.0,
            began: Instant::now(),
            close,
            steps: 0,
        }
    }

    /// Time passes at the rung in force.
    fn wait(&mut self) {
        let Some((rung, rate, since)) = self.now else {
            return;
        };
        let until = self
            .close
            .map_or_else(Instant::now, |t| t.min(Instant::now()));
        let time = until.saturating_duration_since(since).as_secs_f64();
        self.due += rate * time;
        *self.rungs.entry(rung).or_default() += time;
        self.now = Some((rung, rate, Instant::now()));
    }

    fn take(&mut self, bytes: &[u8]) {
        self.wait();
        let mut rest = bytes;
        let (before, due) = (self.got, self.now.map_or(0.0, |(_, rate, _)| rate * 0.1));
        while !rest.is_empty() {
            if self.left > 0 {
                let n = self.left.min(rest.len());
                self.got += n as u64;
                self.left -= n;
                rest = &rest[n..];
                continue;
            }
            let n = (9 - self.buf.len()).min(rest.len());
            self.buf.extend_from_slice(&rest[..n]);
            rest = &rest[n..];
            if let [rung, a, b, c, d, e, f, g, h] = self.buf[..] {
                let rate = f64::from(u32::from_be_bytes([a, b, c, d]));
                self.left = u32::from_be_bytes([e, f, g, h]) as usize;
                let now = Instant::now();
                let stepped = self.now.is_some_and(|(before, ..)| before != rung as usize);
                self.steps += u64::from(stepped && self.close.is_none_or(|t| now < t));
                self.now = Some((rung as usize, rate, now));
                self.buf.clear();
            }
        }
        if due > 0.0 {
            let share = ((self.got - before) as f64 / due).min(1.5);
            self.recent += 0.05 * (share - self.recent);
        }
    }

    fn poor(&self) -> bool {
        self.recent < 0.75 && self.began.elapsed() > Duration::from_secs(3)
    }
}
