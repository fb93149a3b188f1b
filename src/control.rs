//! The decisions. Types, events and actions are in `src/interface.rs`.
//!
//! Ordinary path, D(C0): the holder with the least account; the asked rung while it fits under the
//! mark, else the highest rung that fits under the full line, else refusal. Everything else here is
//! a guard that a rule needs or an exception whose condition stands beside it.

use crate::interface::*;
use crate::time::{TimeDelta, Timestamp};
use hash::{draw, mix};
use held::{Arrivals, Ask, ByTime, Group, Held, Live, State, later, twin};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub mod belief;
mod hash;
mod held;
mod views;

// ---- constants -------------------------------------------------------------------------------

// Times are in microseconds.
const MARK: f64 = 0.85; // part of a link under which the asked rung is given (the design's default)
const FULL_LINE: f64 = 0.93; // part that no set-up passes (the design's default): rates stray by some points
const WANTS_FOR: TimeDelta = TimeDelta::from_micros(3_000_000); // a viewer turned away still wants a session so long: most return sooner
const FLOW_SPAN: TimeDelta = TimeDelta::from_micros(30_000_000); // arrivals are counted so long: what they will come to is demand
const FLOW_LATE: TimeDelta = TimeDelta::from_micros(5_000_000); // and a flow goes on only if they came in the last of it as well
const FLOW_STEP: TimeDelta = TimeDelta::from_micros(1_000_000); // and by steps of this, so that a crowd does not cost more to count
const FLOW_START: f64 = 2.0; // seconds without arrivals presumed before the start: a first viewer is no flow
const HORIZON: f64 = 40.0; // seconds ahead that a rung is chosen for: what is later can step for it
const ENDS_PRIOR: f64 = 8.0; // hints weigh as much as so many sessions that have ended as told
const ENDS_FADE: f64 = 0.98; // and the older ends fade by this with each
const STALE_TIMES: i64 = 2; // evidence older than so many usual times between reports is forgotten
const RELIEF_TO: f64 = 0.97; // steps down aim at this share of what is delivered
const RELIEF_TIMES: f64 = 2.0; // and free so many times what is missing: shortage costs more than room
const STEP_PAUSE: TimeDelta = TimeDelta::from_micros(2_000_000); // a server's sessions step down again after this: it must show
const CROSS_SHARE: f64 = 10.0; // a crossing weighs as much as so many times its price of a link
const CALM: TimeDelta = TimeDelta::from_micros(4_000_000); // a stepped session may be decided anew after so long
const PACE_MARGIN: f64 = 0.5; // part used of a cold server's falling pace: chance bunches, places stray
const CROWD: f64 = 0.02; // a title may draw so large a part of all viewers however few servers hold it
const ANSWER_WEIGHT: f64 = 0.4; // weight of a report in an answer, noisy, of unknown age, against the belief
const NOTE_WEIGHT: f64 = 0.8; // weight of a note on fullness: later, but without noise
const PRIOR: f64 = 2.0; // what is presumed of the fleet weighs as much as so many reports or sessions
const PRIOR_LEAST: f64 = 0.02; // and what is less of it for each class is left out
const PRIOR_RATE: f64 = 0.5; // own sessions that the ladder's middle weighs as: a few own rates tell more
const ECHO: f64 = 4.0; // an own set-up not yet reported stands for so many of others at most: weak evidence
const ANSWER_AGE: TimeDelta = TimeDelta::from_micros(500_000); // age of the figures in an answer: refresh and delay
const LOG_SPAN: TimeDelta = TimeDelta::from_micros(5_000_000); // own set-ups are remembered so long, for reports that predate them
const GROWTH_SPAN: TimeDelta = TimeDelta::from_micros(3_000_000); // reports lag by about so much
const TICK: TimeDelta = TimeDelta::from_micros(200_000); // often enough to follow the notes
const STALL: TimeDelta = TimeDelta::from_micros(300_000); // a tick this much late was held up here: a batch takes a few milliseconds
const OWED_ROOM: f64 = 0.05; // part of a link closed to a tenant that owes all; half of it to one that owes
const CAUTION: f64 = 0.7; // spreads over the mean for the unheard, but not for the lowest rung
const NEWS_WORTH: f64 = 0.03; // what fresh readings save of a session's worth: dearer probes are not sent
const PROBES: usize = 2; // holders probed for one request at most
const PROBE_FRESH: TimeDelta = TimeDelta::from_micros(2_000_000); // a younger report needs no probe
const PROBE_WAIT: TimeDelta = TimeDelta::from_micros(60_000); // probes answer in milliseconds or not at all
const STALL_MEMORY: TimeDelta = TimeDelta::from_micros(5_000_000); // no probes so long after a stall here: their answers would wait too
const PATIENCE_TIMES: f64 = 4.0; // a harmless set-up is tried elsewhere after so many usual set-up times
const PATIENCE_MIN: TimeDelta = TimeDelta::from_micros(300_000); // shortest patience: a handshake and a busy core
const SETUP_GUESS: f64 = 120_000.0; // usual set-up time before any was seen, microseconds
const TRIAL_WAIT: TimeDelta = TimeDelta::from_micros(1_000_000); // a failing server is tried again after this; doubles three times
const LONGEST: TimeDelta = TimeDelta::from_micros(3_600_000_000); // odd deadlines are cut to an hour
const LIST_RETRY: TimeDelta = TimeDelta::from_micros(2_000_000); // a failed call for the list is repeated after this
const TICK_TOKEN: u64 = u64::MAX; // the tick's timer; tokens of requests are session ids, below 2^52

// ---- account ---------------------------------------------------------------------------------

/// What is believed asked of one link or uplink, as a part of what it gives.
#[derive(Default)]
struct Account {
    kb: f64,                         // told size, kB a second; 0 where not told
    share: f64,                      // believed share asked
    own: f64,                        // own rate on it, kB a second
    log: VecDeque<(Timestamp, f64)>, // own changes of the last seconds: time and kB a second
    reported: Option<Timestamp>,
    seen_to: Timestamp, // time that the last report tells of
}

impl Account {
    fn fresh(&self, now: Timestamp) -> bool {
        self.reported.is_some_and(|t| now - t <= PROBE_FRESH)
    }

    fn part(&self, kb: f64) -> f64 {
        if self.kb > 0.0 { kb / self.kb } else { 0.0 }
    }

    fn add(&mut self, now: Timestamp, kb: f64) {
        self.own = (self.own + kb).max(0.0);
        self.share = (self.share + self.part(kb)).max(0.0);
        self.log.push_back((now, kb));
        while self.log.front().is_some_and(|(t, _)| *t < now - LOG_SPAN) {
            self.log.pop_front();
        }
    }

    /// Own changes after a time. The log is in order of time, and at thousands of set-ups a second the rest
    /// of it is long.
    fn since(&self, time: Timestamp) -> impl Iterator<Item = &(Timestamp, f64)> {
        self.log.range(self.log.partition_point(|(t, _)| *t <= time)..)
    }

    /// A report of `age`: own changes since then are added to it.
    fn report(&mut self, now: Timestamp, age: TimeDelta, share: f64, weight: f64) {
        if !share.is_finite() || share < 0.0 {
            return;
        }
        let since: f64 = self.since(now - age).map(|(_, kb)| kb).sum();
        let seen = (share + self.part(since)).max(0.0);
        let weight = if self.reported.is_none() { 1.0 } else { weight };
        self.share += weight * (seen - self.share);
        self.reported = Some(now);
        self.seen_to = self.seen_to.max(now - age);
    }

    /// Until a report comes, the others' part of it is as full as the mean of those heard.
    fn believed(&self, fleet: &Fleet, mean: f64) -> f64 {
        if self.reported.is_none() {
            return mean * fleet.others + self.part(self.own);
        }
        // The others follow the same rule: each own set-up since the report counts for some of theirs.
        let since = self.since(self.seen_to).filter(|(_, kb)| *kb > 0.0).map(|(_, kb)| kb);
        self.share + fleet.echo * self.part(since.sum())
    }
}

/// What this director makes of the whole fleet: its own sessions are taken for a part like any other's, and
/// what it hears replaces that the more it hears.
#[derive(Default)]
struct Fleet {
    link: f64, // mean share asked of links, and of uplinks
    uplink: f64,
    link_spread: f64, // how far single ones stray from it
    uplink_spread: f64,
    sessions: f64, // sessions that play
    /// Part of all sessions that is the others', and how many set-ups of theirs an own one stands for.
    others: f64,
    echo: f64,
}

/// How long sessions last that have ended here.
#[derive(Default)]
struct Ends {
    all: f64,     // how many,
    seconds: f64, // how long,
    told: f64,    // how many with a hint,
    parts: f64,   // and their lengths as parts of it
}

/// Worth lost for the rate, who steps down, to which rung, and what each frees and loses for each second.
type Step = (f64, Group, usize, f64, f64);

/// Evidence on one server.
#[derive(Default)]
struct Server {
    listed: Endpoint,
    link: Account,
    short: bool, // a note says that it delivers short; full until cleared
    lost: f64,   // worth of a session, in seconds, that the shortage told has cost so far
    /// Last time that sessions were to step down for it: that must show in the notes first.
    relief_at: Option<Timestamp>,
    short_at: Timestamp, // last time that it was told short
    fails: u32,          // failures since the last sign of life
    failed_at: Timestamp,
    cold_until: Timestamp, // cold until then, as far as this director can tell
}

impl Ends {
    fn count(&mut self, seconds: f64, hint: Option<TimeDelta>) {
        let part = hint.filter(|h| *h > TimeDelta::ZERO).map(|h| seconds * 1e6 / h.as_micros() as f64);
        let (told, part) = part.map_or((0.0, 0.0), |p| (1.0, p));
        let sums = [&mut self.all, &mut self.seconds, &mut self.told, &mut self.parts];
        sums.into_iter().zip([1.0, seconds, told, part]).for_each(|(sum, x)| *sum = *sum * ENDS_FADE + x);
    }

    /// Expected seconds of a session; `oldest`: how long the oldest one held has lasted.
    fn length(&self, hint: Option<TimeDelta>, oldest: f64) -> f64 {
        match hint {
            Some(hint) => {
                hint.max(TimeDelta::ZERO).as_secs_f64() * (self.parts + ENDS_PRIOR) / (self.told + ENDS_PRIOR)
            }
            None => (self.seconds + 2.0 * oldest * ENDS_PRIOR) / (self.all + ENDS_PRIOR),
        }
    }
}

// ---- director --------------------------------------------------------------------------------

/// Decides for one front. Feed it every event in order, with the time.
#[derive(Default)]
pub struct Director {
    set: Settings,
    seed: u64,
    born: Timestamp,
    now: Timestamp, // time of the event under way, and what is to be done for it
    out: Vec<Action>,
    servers: BTreeMap<ServerId, Server>,
    uplinks: BTreeMap<u64, Account>,
    held: Held,
    asking: BTreeMap<SessionId, (Ask, Vec<ServerId>)>, // requests that wait for these probes
    taken: VecDeque<Timestamp>,                        // times of requests taken and of further attempts sent
    further: VecDeque<Timestamp>,
    moved: VecDeque<Timestamp>,                // and of sessions handed over
    turned: BTreeMap<u64, (Timestamp, usize)>, // viewers turned away lately: when, and of which class
    came: VecDeque<Arrivals>,                  // new viewers of late
    ends: Ends,
    fleet: Fleet,
    /// What the demand seen asks before and with each class's rung, over what the fleet gives.
    overfill: BTreeMap<(usize, usize), (f64, f64)>,
    room: f64,    // that, kB a second
    within: bool, // some tenant here holds no more than its part
    setup: f64,   // usual time of a set-up, microseconds
    subscribed: bool,
    asked_list: Option<Timestamp>,
    tick_due: Option<Timestamp>, // when the tick is due; and the last time at which it was found long overdue
    stalled: Timestamp,
}

impl Director {
    /// A director that knows nothing yet. `now` is the time of its start.
    pub fn new(seed: u64, settings: Settings, now: Timestamp) -> Director {
        Director {
            set: settings,
            seed,
            born: now,
            stalled: now - STALL_MEMORY,
            setup: SETUP_GUESS,
            ..Director::default()
        }
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Timestamp, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        if self.tick_due.is_none() {
            self.ring();
        }
        // This director stood still: no server is judged by what ran out meanwhile.
        if self.tick_due.is_some_and(|due| now - due > STALL) {
            self.stalled = now;
        }
        match event {
            Event::EndpointsUpdated { update: news, endpoints: lines } => self.on_list(news, lines),
            Event::RequestReceived(req) => self.on_asked(req),
            Event::SessionTransferred(req, server) => self.on_carried(req, server),
            Event::SessionStarted { session, attempt, server, setup_time: waited } => {
                self.on_started(session, attempt.wrapping_add(1), server, waited);
            }
            Event::AttemptFinished {
                session,
                attempt,
                server,
                outcome,
                is_answered: closed,
                load_report: load,
            } => {
                self.on_load(server, load, ANSWER_AGE, ANSWER_WEIGHT);
                self.on_finished(session, attempt.wrapping_add(1), outcome, closed);
            }
            Event::Notified { session, server, notification: note, .. } => {
                self.on_note(session, server, note)
            }
            Event::RequestWithdrawn(session) => {
                self.asking.remove(&session);
                self.held.change(session, |l| l.state = State::Closed);
            }
            Event::TimerFired(TICK_TOKEN) => {
                self.ring();
                self.weigh_demand();
                self.forget();
                self.settled().into_iter().for_each(|(id, rung)| self.step(id, rung));
            }
            Event::TimerFired(token) => self.on_deadline(SessionId(token)),
            Event::HealthCheckFinished { server, outcome, load_report: load } => {
                self.on_load(server, load, ANSWER_AGE, ANSWER_WEIGHT);
                // A probe shows that the process runs, not that it sets sessions up.
                if outcome != Outcome::Success {
                    self.judge(server, outcome);
                }
                self.on_probed(server);
            }
            Event::MigrationRequested(session) => self.hand_over(session),
            Event::MigrationFinished { session, migrated: moved } => self.handed_over(session, moved),
            Event::ServerSilent(server) => self.on_sign(server, false),
            Event::SettingsUpdated { classes, tenants } => {
                (self.set.classes, self.set.tenants) = (classes, tenants)
            }
            Event::PeerMessage { .. } => {}
        }
        self.keep_list();
        out.append(&mut self.out);
    }

    fn ring(&mut self) {
        self.tick_due = Some(self.now + TICK);
        self.out.push(Action::SetTimer { after: TICK, token: TICK_TOKEN });
    }

    // ---- events -----------------------------------------------------------------------------

    fn on_asked(&mut self, mut req: Request) {
        let span = self
            .set
            .rules
            .retry_budget
            .map_or(TimeDelta::ZERO, |f| f.window)
            .max(self.set.rules.overload_window);
        self.taken.push_back(self.now);
        for times in [&mut self.taken, &mut self.further, &mut self.moved] {
            while times.front().is_some_and(|t| *t < self.now - span) {
                times.pop_front();
            }
        }
        req.deadline = req.deadline.clamp(self.now, self.now + LONGEST);
        let known = self.turned.remove(&req.viewer).is_some();
        self.count_new(&req, known || req.is_retry);
        self.weigh_demand();
        if self.held.live.contains_key(&req.session) || self.asking.contains_key(&req.session) {
            return; // an id that is already held: odd input, and its answer is under way
        }
        let ask = Ask { req, attempts: 0, tried: Vec::new(), booked: false, errors: 0 };
        let probed = self.unsure_of(&ask);
        if probed.is_empty() {
            return self.place(ask);
        }
        self.out.extend(probed.iter().map(|s| Action::CheckHealth { server: *s }));
        self.out.push(Action::SetTimer { after: PROBE_WAIT, token: ask.req.session.0 });
        self.asking.insert(ask.req.session, (ask, probed));
    }

    /// Exception: where probes are allowed and cost less than the news is worth, and nothing fresh is known
    /// of the holder that would be taken, the best holders of which that is so are asked first.
    fn unsure_of(&self, ask: &Ask) -> Vec<ServerId> {
        let limits = &self.set.limits;
        let most = if limits.can_check_health {
            (NEWS_WORTH / limits.health_check_price.max(1e-4)) as usize
        } else {
            0
        };
        if most == 0 || self.now - self.stalled < STALL_MEMORY {
            return Vec::new();
        }
        let holders = self.holders(ask);
        if holders.first().is_none_or(|s| s.link.fresh(self.now)) {
            return Vec::new();
        }
        let unsure = holders.iter().filter(|s| !s.link.fresh(self.now));
        unsure.take(most.min(PROBES)).map(|s| s.listed.server).collect()
    }

    fn on_probed(&mut self, server: ServerId) {
        self.asking.values_mut().for_each(|(_, probed)| probed.retain(|s| *s != server));
        let ready = self.asking.iter().filter(|(_, (_, probed))| probed.is_empty()).map(|(id, _)| *id);
        ready.collect::<Vec<_>>().into_iter().for_each(|id| self.asked(id));
    }

    /// The answers are in, or late: the request is decided on what is known.
    fn asked(&mut self, id: SessionId) {
        let Some((ask, _)) = self.asking.remove(&id) else { return };
        self.place(ask);
    }

    fn on_carried(&mut self, mut req: Request, server: ServerId) {
        if self.held.live.contains_key(&req.session) {
            return;
        }
        // What is handed over played at the start, a little late as the word may come: it is no growth since.
        let sent = if self.now - self.born < GROWTH_SPAN { self.born } else { self.now };
        req.duration_hint = req.duration_hint.map(|h| h + (self.now - sent)); // its hint counts from now
        let rung = self.set.floor(req.class);
        let kb = self.set.rate(req.class, rung);
        let ask = Ask { req, attempts: 1, tried: vec![server], booked: true, errors: 0 };
        self.hold(Live { ask, state: State::Plays, server, rung, kb, sent, due: self.now });
    }

    fn on_started(&mut self, id: SessionId, attempts: u32, server: ServerId, waited: TimeDelta) {
        self.setup += 0.1 * (waited.max(TimeDelta::ZERO).as_micros() as f64 - self.setup);
        self.on_sign(server, true);
        if self.held.live.get(&id).is_some_and(|l| l.state == State::Pending && l.ask.attempts == attempts) {
            self.held.change(id, |l| l.state = State::Plays);
        }
    }

    fn on_finished(&mut self, id: SessionId, attempts: u32, outcome: Outcome, closed: bool) {
        if self.held.live.get(&id).is_none_or(|l| l.ask.attempts != attempts) {
            return;
        }
        self.handed_over(id, false);
        let Some(Live { mut ask, state, server, kb, sent, .. }) = self.held.remove(id) else { return };
        self.charge(server, -kb);
        if state == State::Plays && outcome == Outcome::Success {
            self.ends.count((self.now - sent).as_secs_f64(), ask.req.duration_hint);
        }
        // What two servers answer with an error is wrong by itself: the second is not judged by it.
        ask.errors += u32::from(outcome == Outcome::Error);
        self.judge(server, if ask.errors < 2 { outcome } else { Outcome::NotSent });
        // Only a request that is still owed its answer goes on; a paid one only on proof.
        if closed || outcome == Outcome::Success || state != State::Pending {
            return;
        }
        let never_ran = matches!(outcome, Outcome::Rejected | Outcome::ConnectionFailed | Outcome::NotSent);
        if never_ran || (self.set.harmless(ask.req.class) && ask.errors < 2) {
            return self.place(ask);
        }
        self.out.push(Action::Fail { session: id });
    }

    /// What an outcome says of the server; a time-out while this director stood still says nothing.
    fn judge(&mut self, server: ServerId, outcome: Outcome) {
        match outcome {
            Outcome::TimedOut if self.stalled == self.now => {}
            Outcome::ConnectionFailed | Outcome::ConnectionReset | Outcome::TimedOut => {
                self.on_sign(server, false)
            }
            Outcome::Error => self.servers.get_mut(&server).into_iter().for_each(|s| {
                (s.fails, s.failed_at) = (s.fails + 1, self.now); // it answers: it will not be back cold
            }),
            Outcome::Success | Outcome::Rejected => self.on_sign(server, true),
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    fn on_note(&mut self, id: SessionId, server: ServerId, note: Notification) {
        // A note shows that the process runs, not that it sets sessions up: it clears no failure.
        match note {
            Notification::DeliveredFraction(share) => {
                let Some(s) = self.servers.get_mut(&server) else { return };
                if share >= 0.98 {
                    return (s.short, s.lost) = (false, 0.0);
                }
                // Such notes come each second while it lasts, also where no others do.
                let uplink = s.link.reported.is_some() && s.link.share < FULL_LINE;
                s.lost += (self.set.stall_penalty * (0.98 - share)).clamp(0.0, 1.0);
                (s.short, s.short_at) = (true, self.now);
                let calm = s.relief_at.is_none_or(|t| self.now - t >= STEP_PAUSE);
                if self.set.stall_penalty > 0.0 && s.lost >= self.set.rung_change_cost_s && calm {
                    (s.lost, s.relief_at) = (0.0, Some(self.now));
                    self.step_down(server, share);
                }
                // Where the link is not full the uplink falls short, and this tells how full it is.
                let load =
                    LoadReport { uplink_utilization: uplink.then_some(1.0 / share), ..LoadReport::default() };
                self.on_load(server, load, self.set.notification_delay, ANSWER_WEIGHT);
            }
            Notification::CurrentRung(rung) => self.set_rung(id, rung),
            Notification::LinkUtilization(x) => self.on_fullness(
                id,
                server,
                LoadReport { link_utilization: Some(x), ..LoadReport::default() },
            ),
            Notification::UplinkUtilization(x) => self.on_fullness(
                id,
                server,
                LoadReport { uplink_utilization: Some(x), ..LoadReport::default() },
            ),
        }
    }

    /// The first note of a session comes with its set-up and is fresh; later ones are late.
    fn on_fullness(&mut self, id: SessionId, server: ServerId, load: LoadReport) {
        let first =
            self.held.live.get(&id).is_some_and(|l| self.now - l.sent < self.set.notification_interval / 2);
        self.on_load(
            server,
            load,
            if first { TimeDelta::ZERO } else { self.set.notification_delay },
            NOTE_WEIGHT,
        );
    }

    /// Probes are late, or the viewer's time is up: the final answer is due now, whatever is still out.
    fn on_deadline(&mut self, id: SessionId) {
        self.asked(id);
        let Some(Live { ask, state: State::Pending, .. }) = self.held.live.get(&id) else { return };
        if self.now + self.set.limits.min_batch_interval < ask.req.deadline {
            return; // rang for probes that had answered before
        }
        if self.set.limits.can_cancel {
            self.out.push(Action::CancelAttempt { session: id, attempt: ask.attempts - 1 });
        }
        let fail = Action::Fail { session: id };
        self.out.push(if self.set.harmless(ask.req.class) { self.refusal(&ask.req) } else { fail });
        self.held.change(id, |l| l.state = State::Closed);
    }

    fn on_load(&mut self, server: ServerId, load: LoadReport, age: TimeDelta, weight: f64) {
        let now = self.now;
        for (account, share) in
            self.accounts(server).into_iter().zip([load.link_utilization, load.uplink_utilization])
        {
            if let (Some(account), Some(share)) = (account, share) {
                account.report(now, age, share, weight);
            }
        }
    }

    /// Missing evidence is not bad evidence: what no report has confirmed for long is forgotten.
    fn forget(&mut self) {
        let stale = self.set.notification_interval.max(TimeDelta::from_secs(1)) * STALE_TIMES
            + self.set.notification_delay;
        let fresh = |t: &Timestamp| self.now - *t <= stale;
        for s in self.servers.values_mut() {
            s.link.reported = s.link.reported.filter(fresh);
            s.short &= fresh(&s.short_at);
        }
        self.uplinks.values_mut().for_each(|u| u.reported = u.reported.filter(fresh));
    }

    /// Pools the evidence: means over what is heard, shrunk towards the own sessions times the directors.
    fn survey(&mut self) {
        let n = self.set.sharers();
        let mean = |heard: &mut dyn Iterator<Item = &Account>, own: f64, size: f64| {
            let (mut sum, mut squares, mut count) = (0.0, 0.0, 0.0);
            for a in heard.filter(|a| a.reported.is_some()) {
                (sum, squares, count) = (sum + a.share, squares + a.share * a.share, count + 1.0);
            }
            let guess = if size > 0.0 { own * n / size } else { 0.0 };
            let mean = (sum + PRIOR * guess) / (count + PRIOR);
            let spread = (squares - sum * sum / f64::max(count, 1.0)) / (count + PRIOR);
            (mean, spread.max(0.0).sqrt())
        };
        let links: f64 = self.servers.values().map(|s| s.link.kb).sum();
        let uplinks = self.set.rack_count as f64 * self.set.rack_uplink_kb_s.max(0.0);
        let own: f64 = self.servers.values().map(|s| s.link.own).sum();
        let (held, middle) = (self.held.live.len() as f64, self.set.rate(0, self.set.ladder.len() / 2));
        let (link, link_spread) = mean(&mut self.servers.values().map(|s| &s.link), own, links);
        let (uplink, uplink_spread) = mean(&mut self.uplinks.values(), own, uplinks);
        let usual = (own + PRIOR_RATE * middle) / (held + PRIOR_RATE);
        let asked = if uplinks > 0.0 { uplink * uplinks } else { link * links };
        let sessions = if usual > 0.0 { asked / usual } else { held * n };
        // Reports lag a crowd: others set up as many. No ratio: one just back has nothing it grew from.
        let sessions = sessions + n * later(&self.held.sent, self.born.max(self.now - GROWTH_SPAN)) as f64;
        let echo = (n - 1.0) / (1.0 + (n - 1.0) / ECHO);
        self.fleet =
            Fleet { link, uplink, link_spread, uplink_spread, sessions, others: 1.0 - 1.0 / n, echo };
    }

    fn on_sign(&mut self, server: ServerId, alive: bool) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.fails = if alive { 0 } else { s.fails + 1 };
        if !alive {
            // It may be back at any moment, and cold: pace it from the failure on.
            let warm = self.now + self.set.rules.warm_up;
            (s.failed_at, s.cold_until) = (self.now, s.cold_until.max(warm));
        }
    }

    // ---- holding ----------------------------------------------------------------------------

    fn hold(&mut self, mut live: Live) {
        live.ask.req.tenant = live.ask.req.tenant.filter(|t| self.parts(Some(*t)).is_some());
        self.charge(live.server, live.kb);
        self.held.insert(live);
    }

    fn charge(&mut self, server: ServerId, kb: f64) {
        let now = self.now;
        self.accounts(server).into_iter().flatten().for_each(|a| a.add(now, kb));
    }

    /// The accounts of a server's link and of its rack's uplink.
    fn accounts(&mut self, server: ServerId) -> [Option<&mut Account>; 2] {
        let Some(s) = self.servers.get_mut(&server) else { return [None, None] };
        let (rack, kb) = (self.set.rack(s.listed.cell), self.set.rack_uplink_kb_s.max(0.0));
        let new = || Account { kb, ..Account::default() };
        let uplink = rack.map(|rack| self.uplinks.entry(rack).or_insert_with(new));
        [Some(&mut s.link), uplink]
    }

    /// Books a change of rung of a session that plays.
    fn set_rung(&mut self, id: SessionId, rung: usize) {
        let plays = |l: &&Live| l.state == State::Plays && rung < self.set.ladder.len();
        let Some(t) = self.held.live.get(&id).filter(plays) else { return };
        let kb = self.set.rate(t.ask.req.class, rung);
        let (server, change) = (t.server, kb - t.kb);
        self.held.change(id, |t| (t.rung, t.kb) = (rung, kb));
        self.charge(server, change);
    }

    // ---- placement: D(C0) -------------------------------------------------------------------

    fn place(&mut self, ask: Ask) {
        let Some((server, rung)) = self.find(&ask) else {
            self.turned.insert(ask.req.viewer, (self.now, ask.req.class));
            return self.out.push(self.refusal(&ask.req));
        };
        self.send(ask, server, rung);
    }

    fn find(&mut self, ask: &Ask) -> Option<(ServerId, usize)> {
        self.choose(ask).or_else(|| self.make_room(ask).then(|| self.choose(ask))?)
    }

    /// The holder with the least account, and the rung that its occupancy allows.
    fn choose(&self, ask: &Ask) -> Option<(ServerId, usize)> {
        let class = self.set.classes.get(ask.req.class)?;
        let top = self.set.top(&ask.req)?;
        if top < class.lowest_rung || !self.may_send(ask) {
            return None;
        }
        self.holders(ask).into_iter().find_map(|s| {
            self.rung_at(s, &ask.req, class.lowest_rung, top, 0.0).map(|rung| (s.listed.server, rung))
        })
    }

    /// Holders that may take the request, the least account first.
    fn holders(&self, ask: &Ask) -> Vec<&Server> {
        let mut holders: Vec<_> = self
            .servers
            .values()
            .filter(|s| self.set.holds(&s.listed, &ask.req) && self.may_take(s, ask))
            .map(|s| (s.fails > 0, self.account(s), self.tie(ask, s), s))
            .collect();
        holders.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        holders.into_iter().map(|(_, _, _, s)| s).collect()
    }

    /// D(C0): the asked rung under the mark, else the highest under the full line, else none. `held` is the
    /// rate that the session has there already.
    fn rung_at(&self, s: &Server, req: &Request, floor: usize, asked: usize, held: f64) -> Option<usize> {
        let (line, beside) = self.closed(req);
        let rate = |rung| self.set.rate(req.class, rung) - held + beside;
        if self.fits(s, rate(asked), line * MARK * self.answer(req, asked), CAUTION) {
            return Some(asked);
        }
        let mut lower = (floor + 1..asked).rev();
        let found = lower.find(|r| self.fits(s, rate(*r), line * FULL_LINE * self.answer(req, *r), CAUTION));
        found.or_else(|| self.fits(s, rate(floor), line * FULL_LINE, 0.0).then_some(floor))
    }

    /// A tenant's sessions, its part of the rates held here, and the part of the fleet that is its own; none
    /// where none is told. The others are taken to hold theirs alike.
    fn parts(&self, tenant: Option<usize>) -> Option<(f64, f64, f64)> {
        let part = self.set.tenants.get(tenant?).map(|t| t.fleet_quota).filter(|p| *p > 0.0)?;
        let (sessions, kb) = self.held.by_tenant.get(&tenant?).copied().unwrap_or_default();
        Some((sessions as f64, kb / self.held.tenants_kb.max(f64::MIN_POSITIVE), part))
    }

    /// Exception: where tenants have parts of the fleet, one that holds more than its own finds all lines
    /// lower, the more so the more it owes. What is above is for those who owe less as soon as they come.
    fn owes(&self, tenant: Option<usize>) -> f64 {
        self.parts(tenant).filter(|(_, held, part)| held > part).map_or(0.0, |(_, h, p)| (1.0 + h - p) / 2.0)
    }

    /// What is closed to who owes: a part of every line; while others are here within their parts all that is
    /// above the mark too, and room for one of their sessions at the top beside its own.
    fn closed(&self, req: &Request) -> (f64, f64) {
        let (owes, top) = (self.owes(req.tenant), self.set.ladder.len().saturating_sub(1));
        let line = 1.0 - OWED_ROOM * owes;
        let near = owes > 0.0 && self.within;
        if near { (line * MARK / FULL_LINE, self.set.rate(req.class, top)) } else { (line, 0.0) }
    }

    /// What all viewers would ask before and with a rung, over the room. One tenant's demand is not the
    /// other's: for its sessions it is what they alone would ask of its part of the room, if that is less.
    fn pressed(&self, class: usize, tenant: Option<usize>, rung: usize) -> Option<(f64, f64)> {
        let (before, after) = self.overfill.get(&(class, rung)).copied()?;
        let Some((sessions, _, part)) = self.parts(tenant) else { return Some((before, after)) };
        let own = |kb: f64| sessions * kb * self.set.sharers() / (part * self.room);
        let below = rung.checked_sub(1).map_or(0.0, |below| own(self.set.rate(class, below)));
        Some((before.min(below), after.min(own(self.set.rate(class, rung)))))
    }

    /// The mark answers demand (the paper's choice of C0), on each rung of the ladder: a rung at which
    /// the viewers seen would overfill the fleet is given only while the link is that much emptier.
    fn answer(&self, req: &Request, rung: usize) -> f64 {
        1.0 / self.pressed(req.class, req.tenant, rung).map_or(1.0, |(_, all)| all.max(1.0))
    }

    /// Whether all viewers could have a rung where it is so much fuller than the mean: or that part of them.
    fn common(&self, group: &Group, rung: usize, part: f64, fuller: f64) -> bool {
        let found = self.pressed(group.class, group.tenant, rung);
        found.is_some_and(|(before, after)| (before + part * (after - before)) * fuller <= 1.0)
    }

    /// Counts a new viewer: by its hint, corrected by how hints have proved; without one by how long sessions
    /// lasted, and at first twice as long as any has by now. A `known` one was counted when it came first.
    fn count_new(&mut self, req: &Request, known: bool) {
        let (from, seconds) = (self.now.round_down(FLOW_STEP), self.left(req, TimeDelta::ZERO));
        if self.came.back().is_none_or(|a| a.from < from) {
            self.came.push_back(Arrivals { from, ..Arrivals::default() });
        }
        if let Some(step) = self.came.back_mut().filter(|_| !known) {
            step.count += 1.0;
            *step.seconds.entry(req.class).or_default() += seconds;
        }
    }

    /// What the sessions held will grow by, by class, if viewers go on coming as of late: their rate
    /// times their length is what they come to (Little), and a part of it is there within the horizon.
    fn growth(&mut self, held: f64) -> BTreeMap<usize, f64> {
        while self.came.front().is_some_and(|a| a.from < self.now - FLOW_SPAN) {
            self.came.pop_front();
        }
        let (mut count, mut all, mut late, mut growth) = (0.0f64, 1e-9, 0.0, BTreeMap::new());
        for step in &self.came {
            count += step.count;
            for (class, seconds) in &step.seconds {
                all += seconds;
                late += if step.from > self.now - FLOW_LATE { *seconds } else { 0.0 };
                *growth.entry(*class).or_insert(0.0) += seconds;
            }
        }
        // Few arrivals, as at each of hundreds of directors, are weak evidence: two spreads are taken off.
        // A crowd that is over is no flow either.
        let time = |span| (self.now - self.born).min(span).as_secs_f64() + FLOW_START;
        let flow =
            f64::min(late / time(FLOW_LATE), all / time(FLOW_SPAN) * (1.0 - 2.0 / count.max(4.0).sqrt()));
        let more = (flow - held).max(0.0) * (HORIZON * count / all).min(1.0);
        growth.values_mut().for_each(|seconds| *seconds *= more / all);
        growth
    }

    /// Demand as seen from here: sessions held and viewers turned away, the others taken to see as much.
    /// A rung's overfill is what all viewers would ask if each had every rung that is worth as much for
    /// its rate, over what links and uplinks give under the full line.
    fn weigh_demand(&mut self) {
        self.survey();
        self.turned.retain(|_, (t, _)| self.now - *t < WANTS_FOR);
        self.within = self.held.by_tenant.keys().any(|t| self.owes(Some(*t)) == 0.0);
        let mut racks: BTreeMap<Option<u64>, f64> = BTreeMap::new();
        for s in self.servers.values().filter(|s| s.listed.state == EndpointState::Ready && s.fails == 0) {
            *racks.entry(self.set.rack(s.listed.cell)).or_insert(0.0) += s.link.kb;
        }
        let told = Some(self.set.rack_uplink_kb_s).filter(|kb| self.set.rack_count > 0 && *kb > 0.0);
        let room = FULL_LINE * racks.values().map(|kb| kb.min(told.unwrap_or(*kb))).sum::<f64>();
        (self.room, self.overfill) = (room, BTreeMap::new());
        if room <= 0.0 {
            return;
        }
        let held = self.held.live.len() as f64;
        let mut seen = self.growth(held + self.turned.len() as f64);
        let own = self.held.by_class.iter().map(|(class, n)| (*class, *n as f64));
        let turned = self.turned.values().map(|(_, class)| (*class, 1.0));
        own.chain(turned).for_each(|(class, n)| *seen.entry(class).or_default() += n);
        let prior = PRIOR / self.set.classes.len().max(1) as f64;
        // Of few classes each may be asked for next; of thousands that a front hosts those seen are weighed.
        if prior > PRIOR_LEAST {
            (0..self.set.classes.len()).for_each(|class| *seen.entry(class).or_default() += prior);
        }
        let mut steps = Vec::new();
        for (c, seen) in seen {
            let Some(class) = self.set.classes.get(c) else { continue };
            let wanting = seen / (held + PRIOR) * self.fleet.sessions;
            let mut density = f64::INFINITY;
            for rung in class.lowest_rung..=class.highest_rung {
                let Some(here) = self.set.ladder.get(rung) else { break };
                let below =
                    if rung > class.lowest_rung { self.set.ladder[rung - 1] } else { Rung::default() };
                let kb = (here.rate_kb_s - below.rate_kb_s) * class.rate_scale;
                if kb > 0.0 {
                    density = density.min(class.priority_weight * (here.utility - below.utility) / kb);
                }
                steps.push((density, c, rung, kb * wanting));
            }
        }
        steps.sort_by(|a, b| b.0.total_cmp(&a.0).then((a.2, a.1).cmp(&(b.2, b.1))));
        let mut asked = 0.0;
        for (_, class, rung, kb) in steps {
            self.overfill.insert((class, rung), (asked / room, (asked + kb) / room));
            asked += kb;
        }
    }

    /// `caution`: how far an unheard link or uplink is taken for fuller than the mean, in spreads.
    fn fits(&self, s: &Server, kb: f64, line: f64, caution: f64) -> bool {
        let rack = self.uplink_of(s);
        let doubt =
            |heard: Option<Timestamp>, spread: f64| if heard.is_some() { 0.0 } else { caution * spread };
        let link = doubt(s.link.reported, self.fleet.link_spread) + s.link.part(kb);
        let uplink = doubt(rack.and_then(|u| u.reported), self.fleet.uplink_spread);
        let uplink = uplink + rack.map_or(0.0, |u| u.part(kb));
        !s.short && self.link_share(s) + link <= line && self.uplink_share(s) + uplink <= line
    }

    fn uplink_of(&self, s: &Server) -> Option<&Account> {
        self.uplinks.get(&self.set.rack(s.listed.cell)?)
    }

    fn link_share(&self, s: &Server) -> f64 {
        s.link.believed(&self.fleet, self.fleet.link)
    }

    fn uplink_share(&self, s: &Server) -> f64 {
        let Some(_) = self.set.rack(s.listed.cell) else { return 0.0 };
        self.uplink_of(s).map_or(self.fleet.uplink, |u| u.believed(&self.fleet, self.fleet.uplink))
    }

    /// What places: link and uplink alike, and what a crossing of zones costs, in shares of a link.
    fn account(&self, s: &Server) -> f64 {
        let crosses = self.set.zone.is_some() && s.listed.zone.is_some() && self.set.zone != s.listed.zone;
        let price = if crosses { self.set.zone_crossing_price * CROSS_SHARE } else { 0.0 };
        self.link_share(s) + self.uplink_share(s) + price
    }

    /// How much fuller than the mean the server's link or its uplink is believed.
    fn fuller(&self, s: &Server) -> f64 {
        let over = |share: f64, mean: f64| if mean > 0.0 { share / mean } else { 1.0 };
        over(self.link_share(s), self.fleet.link).max(over(self.uplink_share(s), self.fleet.uplink))
    }

    /// Where nothing is known all accounts are equal: each request falls its own way at each director.
    fn tie(&self, ask: &Ask, s: &Server) -> u64 {
        mix(self.seed ^ mix(ask.req.session.0) ^ mix(s.listed.server.0.wrapping_add(0x9e37_79b9_7f4a_7c15)))
    }

    fn send(&mut self, mut ask: Ask, server: ServerId, rung: usize) {
        let session = ask.req.session;
        let kb = self.set.rate(ask.req.class, rung);
        let patience = self.patience(&ask);
        if ask.attempts == 0 {
            let after =
                (ask.req.deadline - self.set.limits.min_batch_interval - self.now).max(TimeDelta::ZERO);
            self.out.push(Action::SetTimer { after, token: session.0 });
        } else {
            self.further.push_back(self.now);
        }
        ask.attempts += 1;
        ask.tried.push(server);
        self.out.push(Action::SetRung { session, rung });
        self.out.push(Action::StartAttempt { session, server, attempt_timeout: patience });
        let blind = self.servers.get(&server).is_some_and(|s| s.link.reported.is_none());
        let due = self.now + if blind { TimeDelta::ZERO } else { CALM };
        self.hold(Live { ask, state: State::Pending, server, rung, kb, sent: self.now, due });
    }

    /// A harmless set-up is tried elsewhere while the viewer's aim can still be met; a paid one may
    /// not be sent again after a time-out, so it waits as long as the viewer does.
    fn patience(&self, ask: &Ask) -> Option<TimeDelta> {
        let last = ask.attempts + 1 >= self.set.limits.max_attempts;
        let usual = (TimeDelta::from_micros((self.setup * PATIENCE_TIMES) as i64)).max(PATIENCE_MIN);
        if !self.set.harmless(ask.req.class) || last || self.now + usual >= ask.req.deadline {
            return None;
        }
        Some(usual)
    }

    fn refusal(&self, req: &Request) -> Action {
        let most = self.set.limits.max_retry_after;
        // Spread over the upper half of what viewers honour, so that they don't come back as one crowd.
        let spread = mix(self.seed ^ req.session.0) % 1000;
        let come_back = (most > TimeDelta::ZERO).then(|| most / 2 + most / 2 * spread as i64 / 1000);
        Action::Reject { session: req.session, retry_after: come_back }
    }

    // ---- exception: held rungs ----------------------------------------------------------------

    /// Groups that may step down at some servers, who owes most, then least worth for the rate first.
    fn cheapest(&self, at: &[ServerId], to: impl Fn(&Group) -> Option<usize>) -> Vec<Step> {
        let step = |(g, _): (&Group, _)| {
            let rung = to(g)?;
            let (from, down) = (self.set.ladder.get(g.rung)?, self.set.ladder.get(rung)?);
            let freed = self.set.rate(g.class, g.rung) - self.set.rate(g.class, rung);
            let lost = self.set.classes.get(g.class)?.priority_weight * (from.utility - down.utility);
            Some((lost / freed.max(1.0), *g, rung, freed, lost))
        };
        let mut steps: Vec<_> = at.iter().flat_map(|s| self.held.groups(*s)).filter_map(step).collect();
        let owes = |s: &Step| self.owes(s.1.tenant);
        steps.sort_by(|a, b| owes(b).total_cmp(&owes(a)).then(a.0.total_cmp(&b.0)).then(a.1.cmp(&b.1)));
        steps
    }

    /// Exception: the shortage that a server tells, of its link or its uplink, has cost each session there as
    /// much as a change of rung costs, so it lasts. This director's sessions step down by their own part of
    /// what is missing, least worth for the rate first.
    fn step_down(&mut self, server: ServerId, share: f64) {
        let rate = |(g, ids): (&Group, &ByTime)| self.set.rate(g.class, g.rung) * ids.len() as f64;
        let own: f64 = self.held.groups(server).map(rate).sum();
        let mut need = own * (1.0 - share.max(0.0) / RELIEF_TO);
        let down = |g: &Group| g.rung.checked_sub(1).filter(|r| *r >= self.set.floor(g.class));
        for (_, group, rung, freed, _) in self.cheapest(&[server], down) {
            let ids: BTreeSet<_> =
                self.held.due.get(&group).into_iter().flatten().map(|(_, id)| *id).collect();
            for id in ids {
                // Many directors hold one session each there: of the last step only the part that is needed
                // is taken, by draw, or all together would free several times what is missing.
                if draw(self.seed ^ id.0 ^ self.now.as_micros() as u64) * freed < RELIEF_TIMES * need {
                    self.step(id, rung);
                }
                need -= freed;
                if need <= 0.0 {
                    return;
                }
            }
        }
    }

    /// Exception: a request would be turned away for want of room, though this director's own sessions on a
    /// holder (or under its rack's uplink, if only that lacks room) play above what all viewers there could
    /// have. They step down to that, least worth for the rate first, if the request gains more than they lose
    /// and the steps cost (what is freed beyond its need serves the next), not within `CALM` of the last.
    fn make_room(&mut self, ask: &Ask) -> bool {
        let may = |c: &&ClassSettings| self.may_send(ask) && self.set.top(&ask.req) >= Some(c.lowest_rung);
        let Some(class) = self.set.classes.get(ask.req.class).filter(may) else { return false };
        let kb = self.set.rate(ask.req.class, class.lowest_rung);
        let worth = self.set.ladder.get(class.lowest_rung).map_or(0.0, |r| r.utility);
        let (gain, owes) =
            (class.priority_weight * worth * self.left(&ask.req, TimeDelta::ZERO), self.owes(ask.req.tenant));
        let (line, beside) = self.closed(&ask.req);
        let mut looked = BTreeSet::new();
        let found = self.holders(ask).into_iter().filter(|s| !s.short && s.fails == 0).find_map(|s| {
            let lacks = |a: &Account, share: f64| (share + a.part(kb + beside) - line * FULL_LINE) * a.kb;
            let link = lacks(&s.link, self.link_share(s));
            let uplink = self.uplink_of(s).map_or(0.0, |u| lacks(u, self.uplink_share(s)));
            let rack = self.set.rack(s.listed.cell).filter(|_| link <= 0.0);
            if rack.is_some_and(|rack| !looked.insert(rack)) {
                return None; // the same sessions for the same want
            }
            let same = |o: &&Server| rack.is_some() && self.set.rack(o.listed.cell) == rack;
            let near = self.servers.values().filter(|o| same(o) || o.listed.server == s.listed.server);
            let at: Vec<_> = near.map(|o| o.listed.server).collect();
            let down = |g: &Group| {
                let (floor, fuller) = (self.set.floor(g.class), self.fuller(&self.servers[&g.server]));
                let common = |r: &usize| self.common(g, *r, 1.0, fuller);
                // Who owes less makes no room for who owes more.
                let may = g.rung > floor && self.owes(g.tenant) >= owes;
                may.then(|| (floor..g.rung).rev().find(common).unwrap_or(floor))
            };
            let (need, mut freed, mut lost, mut taken) = (link.max(uplink), 0.0, 0.0, Vec::new());
            for (_, group, rung, frees, loses) in self.cheapest(&at, down) {
                let due = self.held.due[&group].iter().take_while(|(due, _)| *due <= self.now);
                for t in due.filter_map(|(_, id)| self.held.live.get(id)) {
                    if freed >= need {
                        break;
                    }
                    let left = self.left(&t.ask.req, self.now - t.sent);
                    let step = self.set.rung_change_cost_s * self.set.classes[group.class].priority_weight;
                    (freed, lost) = (freed + frees, lost + loses * left + step);
                    taken.push((t.ask.req.session, rung));
                }
            }
            (freed >= need && lost * need < gain * freed).then_some(taken)
        });
        found.as_ref().into_iter().flatten().for_each(|(id, rung)| self.step(*id, *rung));
        found.is_some()
    }

    /// Seconds that a session has to go, as far as is known; `age`: how long it has lasted.
    fn left(&self, req: &Request, age: TimeDelta) -> f64 {
        let oldest =
            self.held.sent.first().map_or(TimeDelta::ZERO, |(sent, _)| self.now - *sent).as_secs_f64();
        (self.ends.length(req.duration_hint, oldest) - age.as_secs_f64()).max(0.0)
    }

    fn step(&mut self, id: SessionId, rung: usize) {
        self.held.change(id, |l| l.due = self.now + CALM);
        self.set_rung(id, rung);
        self.out.push(Action::SetRung { session: id, rung });
    }

    /// Exception: a session plays at a rung decided for a load that may have changed. Once link and uplink
    /// are reported it is decided like a new one, upwards only, if its rest is worth more than the step.
    fn settled(&self) -> BTreeMap<SessionId, usize> {
        let mut steps = BTreeMap::new();
        for (group, sessions) in &self.held.due {
            let Group { server, class, rung: held, top, .. } = group;
            let Some(s) = self.servers.get(server).filter(|s| !s.short) else { continue };
            let (Some(terms), Some(told)) = (self.set.classes.get(*class), s.link.reported) else { continue };
            let Some(last) = self.set.ladder.len().checked_sub(1) else { continue };
            let top = (*top).min(terms.highest_rung).min(last);
            if self.uplink_of(s).is_some_and(|u| u.reported.is_none()) {
                continue;
            }
            // All other directors decide theirs at the same time: what counts is not how full the link is now
            // but what all viewers there would ask at that rung. Of a rung for which there is room for a part
            // of them only, that part takes it, by draw.
            let fuller = self.fuller(s);
            let common = |r: &usize, part: f64| self.common(group, *r, part, fuller);
            // Where no draw has room the sessions need not be looked at one by one.
            if !(held + 1..=top).any(|r| common(&r, 0.0) || common(&r, 1.0)) {
                continue;
            }
            let kb = self.set.rate(*class, *held);
            for (_, id) in sessions.iter().take_while(|(due, _)| *due <= self.now) {
                let Some(t) = self.held.live.get(id).filter(|t| told >= t.sent) else { continue };
                let part = draw(id.0);
                let Some(top) = (held + 1..=top).rev().find(|r| common(r, part)) else { continue };
                let found = self.rung_at(s, &t.ask.req, terms.lowest_rung, top, kb);
                let Some(rung) = found.filter(|r| r > held) else { continue };
                let more = self.set.ladder[rung].utility - self.set.ladder[*held].utility;
                let left = t
                    .ask
                    .req
                    .duration_hint
                    .map_or(f64::INFINITY, |h| (h - (self.now - t.sent)).as_secs_f64());
                if left * more > self.set.rung_change_cost_s {
                    steps.insert(*id, rung);
                }
            }
        }
        steps
    }

    /// Exception: a caller that hands sessions over while they play asks for another holder for one. It
    /// is found like for a new one; rates and seats count at both until it is known where it plays.
    fn hand_over(&mut self, id: SessionId) {
        let alone = !self.held.live.contains_key(&twin(id));
        if !self.held.live.get(&id).is_some_and(|l| alone && l.state == State::Plays) {
            return;
        }
        let Some(own) = self.held.remove(id) else { return };
        let hint = own.ask.req.duration_hint.map(|h| h - (self.now - own.sent));
        let req = Request { duration_hint: hint, deadline: self.now + LONGEST, ..own.ask.req };
        let ask = Ask { req, attempts: 0, tried: vec![own.server], booked: true, errors: 0 };
        let found = self.find(&ask); // its own seat is no hindrance, and it makes no room for itself
        self.held.insert(own);
        let Some((server, rung)) = found else { return };
        self.moved.push_back(self.now);
        let (kb, sent) = (self.set.rate(req.class, rung), self.now);
        let ask = Ask { req: Request { session: twin(id), ..req }, ..ask };
        self.hold(Live { ask, state: State::Closed, server, rung, kb, sent, due: sent + CALM });
        self.out.push(Action::Migrate { session: id, server, rung });
    }

    /// It plays where it was to be handed over to, or it stays.
    fn handed_over(&mut self, id: SessionId, moved: bool) {
        let Some(there) = self.held.remove(twin(id)) else { return };
        let Some(own) = moved.then(|| self.held.remove(id)).flatten() else {
            return self.charge(there.server, -there.kb);
        };
        self.on_sign(there.server, true);
        self.charge(own.server, -own.kb);
        let ask = Ask { req: Request { session: id, ..there.ask.req }, ..own.ask };
        self.held.insert(Live { ask, state: State::Plays, ..there });
    }

    // ---- guards -----------------------------------------------------------------------------

    /// Seats, attempts and the ration of further attempts allow another send.
    fn may_send(&self, ask: &Ask) -> bool {
        let seats = self.set.classes.get(ask.req.class).map_or(0, |c| c.session_limit_per_title);
        let held = self.held.by_title.get(&ask.req.title).copied().unwrap_or(0);
        let seated = seats > 0 && held >= seats as usize;
        let used_up = seated || ask.attempts >= self.set.limits.max_attempts.max(1);
        if used_up || self.now >= ask.req.deadline - self.set.limits.min_batch_interval {
            return false;
        }
        let Some(f) = self.set.rules.retry_budget.filter(|_| ask.attempts > 0) else { return true };
        // Strict edges: an attempt on the window's edge counts, a request on it does not.
        let sent = self.further.iter().filter(|t| **t >= self.now - f.window).count() as f64;
        let taken = self.taken.iter().filter(|t| **t > self.now - f.window).count() as f64;
        sent + 1.0 <= f.base + f.per_request * taken
    }

    /// Endpoint ready, not tried for this request, not ahead of its cold pace, not failing.
    fn may_take(&self, s: &Server, ask: &Ask) -> bool {
        let barred = s.listed.state != EndpointState::Ready || ask.tried.contains(&s.listed.server);
        if barred || !self.open(s, ask) {
            return false;
        }
        // A failing server is tried with what may be repeated only, one at a time, ever more rarely.
        let wait = TRIAL_WAIT * (1 << s.fails.saturating_sub(1).min(3));
        let trial = (ask.booked || self.set.harmless(ask.req.class)) && self.now - s.failed_at >= wait;
        s.fails == 0 || (trial && !self.held.out.contains_key(&s.listed.server))
    }

    /// A cold server is open to a part of the requests only, by hash: as many as keep its pace if every
    /// director sends it all that it may. One that is known cold draws all requests for its titles; while
    /// any may be, since a cached list may hide a start, they draw alike.
    fn open(&self, s: &Server, ask: &Ask) -> bool {
        let c = &self.set.rules;
        let (known, cells) = (self.now < s.cold_until, self.set.cell_count.max(1) as f64);
        if !known && self.now >= self.born + c.warm_up {
            return true;
        }
        let span = c.overload_window.max(TimeDelta::from_micros(1));
        let lately =
            |times: &VecDeque<Timestamp>| times.iter().rev().take_while(|t| **t > self.now - span).count();
        let asked = [&self.taken, &self.further, &self.moved].map(lately).iter().sum::<usize>();
        let warm = c.warm_up.max(TimeDelta::from_micros(1)).as_micros() as f64;
        let pace =
            (c.overload_factor * c.initial_capacity * self.set.places(s.listed.machine_kind)).max(1.0) / warm;
        let part = if known { (ask.req.replica_cells as f64 / cells).clamp(CROWD, 1.0) } else { 1.0 / cells };
        let all = self.set.sharers() * asked.max(1) as f64 * part;
        let most = pace * PACE_MARGIN * span.as_micros() as f64;
        let sent = self.held.at.get(&s.listed.server).map_or(0, |at| later(at, self.now - span));
        draw(self.tie(ask, s)) * all < most && sent < (most / self.set.sharers()).max(1.0) as usize
    }

    // ---- list -------------------------------------------------------------------------------

    fn on_list(&mut self, news: EndpointUpdate, lines: Vec<Endpoint>) {
        match news {
            EndpointUpdate::Failed => return self.subscribed = false,
            EndpointUpdate::Delta => self.subscribed = true,
            EndpointUpdate::Full => {
                self.subscribed = self.asked_list.is_some();
                self.absent_gone(&lines);
            }
            EndpointUpdate::Cached => self.absent_gone(&lines),
        }
        let warm = self.set.rules.warm_up;
        for line in lines {
            let cold_until = line.started_at.unwrap_or(self.now - warm) + warm;
            let new = || Server { listed: line, cold_until, ..Server::default() };
            let s = self.servers.entry(line.server).or_insert_with(new);
            if line.started_at > s.listed.started_at {
                (s.fails, s.short, s.link.share) = (0, false, 0.0);
                s.cold_until = s.cold_until.max(cold_until);
            }
            s.listed = line;
        }
        let held = &self.held.at; // what is gone is forgotten once nothing plays there
        self.servers.retain(|id, s| s.listed.state != EndpointState::Gone || held.contains_key(id));
        self.size_links();
    }

    fn absent_gone(&mut self, lines: &[Endpoint]) {
        let mut named: Vec<ServerId> = lines.iter().map(|l| l.server).collect();
        named.sort_unstable();
        for s in self.servers.values_mut() {
            if named.binary_search(&s.listed.server).is_err() {
                s.listed.state = EndpointState::Gone;
            }
        }
    }

    /// Told link: by weight where weights tell size, else the mean link shared out by places.
    fn size_links(&mut self) {
        let known: Vec<f64> = self.servers.values().map(|s| self.set.places(s.listed.machine_kind)).collect();
        let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
        for s in self.servers.values_mut() {
            let places = self.set.places(s.listed.machine_kind);
            let size =
                if self.set.weight_is_capacity || mean <= 0.0 { s.listed.weight } else { places / mean };
            let kb = self.set.link_kb_s_per_weight * size;
            s.link.kb = if kb.is_finite() { kb.max(0.0) } else { 0.0 };
        }
    }

    /// Where the list must be asked for: subscribe, and again after a failure.
    fn keep_list(&mut self) {
        let waited = self.asked_list.is_none_or(|t| self.now - t >= LIST_RETRY);
        if self.set.must_poll_endpoints && !self.subscribed && waited {
            self.asked_list = Some(self.now);
            self.out.push(Action::WatchEndpoints(true));
        }
    }
}

#[cfg(test)]
mod counts;
