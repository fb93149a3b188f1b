//! Viewers: they ask, watch, come again, and count what they got.

use crate::recorder::Recorder;
use async_executor::LocalExecutor;
use async_io::Timer;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use shalewall_audit::Record;
use shalewall_http::Limits;
use shalewall_http::client::{Call, Failure, Incoming, in_time};
use shalewall_http::pool::Pool;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A class of request as viewers know it.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: String,
    /// Part of all viewers.
    pub part: f64,
    pub give_up: Duration,
    pub aim: Duration,
    /// Worth of a second at a rung of worth 1.
    pub worth: f64,
    /// Highest rung.
    pub top: usize,
}

/// Who comes, and what they do.
#[derive(Clone, Debug)]
pub struct Crowd {
    pub per_s: f64,
    pub classes: Vec<Class>,
    /// Titles, most wanted first, and how much more the first are wanted.
    pub titles: Vec<String>,
    pub skew: f64,
    pub shortest: Duration,
    pub longest: Duration,
    /// Part that can't use the two highest rungs.
    pub weak: f64,
    pub come_again: f64,
    pub pause: Duration,
    /// What each rung earns.
    pub worth: Vec<f64>,
    pub stall_cost: f64,
}

/// What has come of the viewers so far.
#[derive(Clone, Debug, Default)]
pub struct Count {
    pub asked: u64,
    pub plays: u64,
    pub refused: u64,
    pub failed: u64,
    /// Connections that ended without an answer, or could not be made.
    pub unanswered: u64,
    pub broken: u64,
    /// Worth asked for and got: seconds at a rung's worth, less what stalls cost.
    pub worth_asked: f64,
    pub worth_got: f64,
    /// Seconds at each rung.
    pub rungs: BTreeMap<usize, f64>,
    /// Answers by class: microseconds.
    pub took: BTreeMap<String, Vec<u64>>,
}

/// All viewers of a run.
#[derive(Clone)]
pub struct Viewers {
    ex: Rc<LocalExecutor<'static>>,
    recorder: Recorder,
    crowd: Rc<Crowd>,
    fronts: Rc<RefCell<Vec<SocketAddr>>>,
    dice: Rc<RefCell<ChaCha8Rng>>,
    asks: Rc<Cell<u64>>,
    pub count: Rc<RefCell<Count>>,
    /// How much faster than usual they come, and the title that extra ones come for.
    burst: Rc<Cell<f64>>,
    hot: Rc<RefCell<Option<(String, f64)>>>,
    here: Rc<Cell<usize>>,
}

/// One that wants to watch.
#[derive(Clone)]
struct Viewer {
    key: String,
    class: Class,
    title: String,
    top: usize,
    until: Instant,
}

/// How one try went.
enum Try {
    /// Watched to the end.
    Done,
    /// Turned away, failed or broken off: may come again after this.
    Again(Duration),
    /// Nothing more is wanted.
    Over,
}

impl Viewers {
    pub fn new(ex: Rc<LocalExecutor<'static>>, recorder: Recorder, crowd: Crowd, seed: u64) -> Viewers {
        Viewers {
            ex,
            recorder,
            crowd: Rc::new(crowd),
            fronts: Rc::default(),
            dice: Rc::new(RefCell::new(ChaCha8Rng::seed_from_u64(seed))),
            asks: Rc::default(),
            count: Rc::default(),
            burst: Rc::new(Cell::new(1.0)),
            hot: Rc::default(),
            here: Rc::default(),
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

    /// Extra viewers for one title, as a part of the usual rate.
    pub fn set_hot(&self, title: Option<(String, f64)>) {
        *self.hot.borrow_mut() = title;
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
        let mut next = Instant::now();
        loop {
            let hot = self.hot.borrow().as_ref().map_or(0.0, |(_, part)| *part);
            let rate = (self.crowd.per_s * (self.burst.get() + hot)).max(0.001);
            next += Duration::from_secs_f64((-(1.0 - self.roll()).ln() / rate).min(60.0));
            if next >= until {
                Timer::at(until).await;
                return;
            }
            Timer::at(next).await;
            let viewers = self.clone();
            let viewer = self.draw(hot / (self.burst.get() + hot));
            self.here.set(self.here.get() + 1);
            self.ex
                .spawn(async move {
                    viewers.live(viewer).await;
                    viewers.here.set(viewers.here.get() - 1);
                })
                .detach();
        }
    }

    fn draw(&self, hot: f64) -> Viewer {
        let crowd = &self.crowd;
        let all: f64 = crowd.classes.iter().map(|c| c.part).sum();
        let mut at = self.roll() * all;
        let class = crowd.classes.iter().find(|c| {
            at -= c.part;
            at <= 0.0
        });
        let class = class.unwrap_or(&crowd.classes[0]).clone();
        let weights: Vec<f64> = (0..crowd.titles.len()).map(|i| (i as f64 + 1.0).powf(-crowd.skew)).collect();
        let mut at = self.roll() * weights.iter().sum::<f64>();
        let title = weights.iter().position(|w| {
            at -= w;
            at <= 0.0
        });
        let usual = crowd.titles[title.unwrap_or(0)].clone();
        let wanted = self.hot.borrow().as_ref().map(|(t, _)| t.clone());
        let title = wanted.filter(|_| self.roll() < hot).unwrap_or(usual);
        let weak = self.roll() < crowd.weak;
        let span = crowd.shortest + (crowd.longest - crowd.shortest).mul_f64(self.roll());
        let key = format!("viewer-{:016x}", self.dice.borrow_mut().random::<u64>());
        let top = if weak { class.top.saturating_sub(2) } else { class.top };
        let mut count = self.count.borrow_mut();
        count.worth_asked += span.as_secs_f64() * class.worth * crowd.worth.get(top).copied().unwrap_or(1.0);
        Viewer { key, class, title, top, until: Instant::now() + span }
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
                    if self.roll() >= self.crowd.come_again {
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
        let body = serde_json::json!({
            "viewer": viewer.key, "class": viewer.class.name, "title": viewer.title,
            "wait_ms": viewer.class.give_up.as_millis() as u64, "hint_s": left.as_secs_f64(),
            "top": viewer.top, "again": again,
        })
        .to_string();
        let host = front.to_string();
        let content = Some(("application/json", body.as_bytes()));
        let call = Call { method: "POST", target: "/sessions", host: &host, content };
        let pool = Pool::new(front, Limits::default(), Duration::ZERO, 0);
        let Ok(mut connection) = pool.connect().await else {
            self.count.borrow_mut().unanswered += 1;
            return Try::Again(self.crowd.pause);
        };
        let t = shalewall_clock::now();
        let wait = viewer.class.give_up.as_micros() as i64;
        let (key, class, title) = (viewer.key.clone(), viewer.class.name.clone(), viewer.title.clone());
        self.recorder.note(Record::Asked { t, director: number, ask, key, class, title, wait });
        self.count.borrow_mut().asked += 1;
        // A viewer waits somewhat longer than it said: an answer that is late is to be seen.
        let patience = viewer.class.give_up + Duration::from_secs(3);
        let answer = in_time(patience, connection.call(&call)).await;
        let now = shalewall_clock::now();
        let answer = match answer {
            Some(Ok(answer)) => answer,
            Some(Err(Failure::NeverRan(_))) => {
                self.recorder.note(Record::Left { t: now, ask });
                return Try::Again(self.crowd.pause);
            }
            None | Some(Err(Failure::MayHaveRun(_))) => {
                self.recorder.note(Record::Unanswered { t: now, ask });
                self.count.borrow_mut().unanswered += 1;
                return Try::Again(self.crowd.pause);
            }
        };
        let said: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let session = said["session"].as_u64();
        let status = answer.head.status;
        self.recorder.note(Record::Answered { t: now, ask, status, session });
        let took = (now - t) as u64;
        self.count.borrow_mut().took.entry(viewer.class.name.clone()).or_default().push(took);
        let pause = said["come_back_ms"].as_f64().map(|ms| Duration::from_secs_f64(ms / 1000.0));
        match (status, session, said["media"].as_str()) {
            (201, Some(session), Some(media)) => {
                self.count.borrow_mut().plays += 1;
                let late = Duration::from_micros(took) > viewer.class.aim;
                let watched = self.watch(viewer, ask, session, media, late).await;
                if self.roll() < 0.5 {
                    let target = format!("/sessions/{session}");
                    let end = Call { method: "DELETE", target: &target, host: &host, content: None };
                    let _ = in_time(Duration::from_secs(2), pool.call(&end)).await;
                }
                watched
            }
            (503, ..) => {
                self.count.borrow_mut().refused += 1;
                Try::Again(pause.unwrap_or(self.crowd.pause))
            }
            (502 | 504, ..) => {
                self.count.borrow_mut().failed += 1;
                Try::Over // it may have run and been paid for: coming again could pay twice
            }
            _ => {
                self.count.borrow_mut().failed += 1;
                Try::Over
            }
        }
    }

    /// Takes media until the session's time is over, or leaves when too little comes.
    async fn watch(&self, viewer: &Viewer, ask: u64, session: u64, media: &str, late: bool) -> Try {
        let mut meter = Meter::new();
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
                match in_time(wait, frames.next()).await {
                    Some(Some(bytes)) => meter.take(&bytes),
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
        let (worth, cost) = (&self.crowd.worth, self.crowd.stall_cost);
        let share = if meter.due > 0.0 { (meter.got as f64 / meter.due).min(1.0) } else { 0.0 };
        let kept = (1.0 - cost * (0.98 - share).max(0.0)).max(0.0);
        let mut count = self.count.borrow_mut();
        for (rung, time) in &meter.rungs {
            *count.rungs.entry(*rung).or_default() += time;
            // What plays after the wanted time earns nothing for its first second.
            let lost = if late { 1.0_f64.min(*time) } else { 0.0 };
            count.worth_got +=
                (time - lost) * viewer.class.worth * worth.get(*rung).copied().unwrap_or(0.0) * kept;
        }
        count.broken += u64::from(!whole);
        drop(count);
        let rungs = meter.rungs.iter().map(|(r, s)| (*r, (s * 1e6) as i64)).collect();
        self.recorder.note(Record::Watched {
            t: shalewall_clock::now(),
            ask,
            session,
            micros: (meter.rungs.values().sum::<f64>() * 1e6) as i64,
            got: meter.got,
            due: meter.due as u64,
            rungs,
        });
        if whole { Try::Done } else { Try::Again(self.crowd.pause) }
    }
}

/// Opens a stream by its URL.
async fn open(url: &str) -> Option<Incoming<async_io::Async<std::net::TcpStream>>> {
    let (host, path) = url.strip_prefix("http://")?.split_once('/')?;
    let target = format!("/{path}");
    let pool = Pool::new(host.parse().ok()?, Limits::default(), Duration::ZERO, 0);
    let call = Call { method: "GET", target: &target, host, content: None };
    let opening = async { pool.connect().await.ok()?.stream(&call).await.ok() };
    let (head, frames) = in_time(Duration::from_secs(5), opening).await??;
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
}

impl Meter {
    fn new() -> Meter {
        Meter {
            buf: Vec::new(),
            got: 0,
            due: 0.0,
            rungs: BTreeMap::new(),
            now: None,
            left: 0,
            recent: 1.0,
            began: Instant::now(),
        }
    }

    /// Time passes at the rung in force.
    fn wait(&mut self) {
        let Some((rung, rate, since)) = self.now else { return };
        let time = since.elapsed().as_secs_f64();
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
                self.now = Some((rung as usize, rate, Instant::now()));
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
