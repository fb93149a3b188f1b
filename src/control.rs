//! The decisions. Types, events and actions are in `src/interface.rs`.
//!
//! Ordinary path, D(C0): the holder with the least account; the asked rung while it fits under the
//! mark, else the highest rung that fits under the full line, else refusal. Everything else here is
//! a guard that a rule needs or an exception whose condition stands beside it.

use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};

// ---- constants -------------------------------------------------------------------------------

/// Part of a link under which the asked rung is given (the design's default).
const MARK: f64 = 0.85;
/// Part of a link that no set-up passes (the design's default): rates stray by a few points.
const FULL_LINE: f64 = 0.93;
/// A viewer turned away counts as wanting a session for so long, microseconds: most return sooner.
const WANTS_FOR: Micros = 3_000_000;
/// Evidence older than so many usual times between reports is stale, and forgotten.
const STALE_TIMES: Micros = 2;
/// Steps aim at this share of what is delivered.
const RELIEF_TO: f64 = 0.97;
/// Sessions of a server step down again only after this, microseconds: the last steps must show first.
const STEP_PAUSE: Micros = 2_000_000;
/// Steps down free so many times what is missing: a shortage costs several points for each, room at most one.
const RELIEF_TIMES: f64 = 2.0;
/// A stepped session may be decided anew after so long, microseconds.
const CALM: Micros = 6_000_000;
/// Part of the falling-over pace of a cold server that all directors may use: chance bunches, places stray.
const PACE_MARGIN: f64 = 0.7;
/// Weight of a report in an answer, noisy and of unknown age, against what is believed.
const ANSWER_WEIGHT: f64 = 0.4;
/// Weight of a note on fullness: later, but without noise.
const NOTE_WEIGHT: f64 = 0.8;
/// What is taken for granted of the fleet weighs as much as so many reports or sessions.
const PRIOR: f64 = 2.0;
/// An own set-up that no report shows yet stands for so many of the others' at most: it is weak evidence.
const ECHO: f64 = 4.0;
/// Age of the figures in an answer, microseconds: a refresh and a delay of some tenths of a second.
const ANSWER_AGE: Micros = 500_000;
/// Own set-ups are remembered so long, microseconds, to be added to reports that predate them.
const LOG_SPAN: Micros = 5_000_000;
/// Director's tick, microseconds: often enough to see an overdue set-up before the next viewer does.
const TICK: Micros = 200_000;
/// A tick that comes later than this, microseconds, was held up here: a batch takes a few milliseconds.
const STALL: Micros = 300_000;
/// What is not heard of is taken for fuller than the mean by so many spreads, for all rungs but the lowest.
const CAUTION: f64 = 0.7;
/// What fresh readings save, as a part of a session's worth: probes that cost more are not sent.
const NEWS_WORTH: f64 = 0.03;
/// Holders probed for one request at most.
const PROBES: usize = 3;
/// A report younger than this, microseconds, needs no probe.
const PROBE_FRESH: Micros = 2_000_000;
/// Probes are waited for so long, microseconds: they answer in milliseconds or not at all.
const PROBE_WAIT: Micros = 60_000;
/// A director that stood still sends no probes for so long, microseconds: their answers would wait too.
const STALL_MEMORY: Micros = 5_000_000;
/// A harmless set-up is given so many usual set-up times before it is tried elsewhere.
const PATIENCE_TIMES: f64 = 4.0;
/// Shortest patience, microseconds: a handshake and a busy core.
const PATIENCE_MIN: Micros = 300_000;
/// Usual set-up time believed before any was seen, microseconds.
const SETUP_GUESS: f64 = 120_000.0;
/// Wait before a failing server is tried again, microseconds; doubles up to three times.
const TRIAL_WAIT: Micros = 1_000_000;
/// Slack on the time by which a note is due, microseconds: one lost note is no silence.
const NOTE_SLACK: Micros = 1_500_000;
/// No viewer waits longer, microseconds: odd deadlines are cut to an hour.
const LONGEST: Micros = 3_600_000_000;
/// A failed call for the list is repeated after this, microseconds.
const LIST_RETRY: Micros = 2_000_000;
/// Token of the tick's timer; tokens of requests are session ids, which stay below 2^52.
const TICK_TOKEN: u64 = u64::MAX;

// ---- settings views --------------------------------------------------------------------------

impl Settings {
    fn rate(&self, class: usize, rung: usize) -> f64 {
        let scale = self.classes.get(class).map_or(1.0, |c| c.scale);
        let kb = self.ladder.get(rung).map_or(0.0, |r| r.kb) * scale;
        if kb.is_finite() { kb.max(0.0) } else { 0.0 }
    }

    fn sharers(&self) -> f64 {
        f64::from(self.directors.max(1))
    }

    /// Rack of a cell; none where racks have no uplinks.
    fn rack(&self, cell: u64) -> Option<u64> {
        cell.checked_rem(self.racks)
    }

    /// Highest rung that viewer and class allow; none without a ladder.
    fn top(&self, req: &Request) -> Option<usize> {
        let class = self.classes.get(req.class)?;
        Some(req.top.min(class.top).min(self.ladder.len().checked_sub(1)?))
    }

    fn places(&self, kind: Option<usize>) -> f64 {
        kind.and_then(|k| self.places_by_kind.get(k)).copied().filter(|p| *p > 0.0).unwrap_or(0.0)
    }
}

// ---- request state machine -------------------------------------------------------------------

/// A request without an attempt. Sending and answering consume it, so neither can happen twice.
#[derive(Clone)]
struct Ask {
    req: Request,
    /// Attempts sent; the last one's number is one less.
    attempts: u32,
    tried: Vec<ServerId>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    /// Sent, no answer yet.
    Pending,
    Plays,
    /// Answered or withdrawn while its attempt is still out: holds its seat and rate, is never sent again.
    Closed,
}

/// A request with its one attempt that is out, or the session that it became.
struct Live {
    ask: Ask,
    state: State,
    server: ServerId,
    rung: usize,
    kb: f64,
    sent: Micros,
    /// From then on its rung may be decided anew: it was carried over, placed blind, or stepped.
    due: Option<Micros>,
}

/// True if the outcome proves that the attempt never ran.
fn never_ran(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Full | Outcome::NoConnection | Outcome::NotSent)
}

// ---- account ---------------------------------------------------------------------------------

/// What is believed asked of one link or uplink, as a part of what it gives.
#[derive(Default)]
struct Account {
    /// Told size, kB a second; 0 where not told.
    kb: f64,
    /// Believed share asked.
    share: f64,
    /// Own rate on it, kB a second.
    own: f64,
    /// Own changes of the last seconds: time and kB a second.
    log: VecDeque<(Micros, f64)>,
    reported: Option<Micros>,
    /// Time that the last report tells of.
    seen_to: Micros,
}

impl Account {
    fn fresh(&self, now: Micros) -> bool {
        self.reported.is_some_and(|t| now - t <= PROBE_FRESH)
    }

    fn part(&self, kb: f64) -> f64 {
        if self.kb > 0.0 { kb / self.kb } else { 0.0 }
    }

    fn add(&mut self, now: Micros, kb: f64) {
        self.own = (self.own + kb).max(0.0);
        self.share = (self.share + self.part(kb)).max(0.0);
        self.log.push_back((now, kb));
        while self.log.front().is_some_and(|(t, _)| *t < now - LOG_SPAN) {
            self.log.pop_front();
        }
    }

    /// A report of `age`: own changes since then are added to it.
    fn report(&mut self, now: Micros, age: Micros, share: f64, weight: f64) {
        if !share.is_finite() || share < 0.0 {
            return;
        }
        let since: f64 = self.log.iter().filter(|(t, _)| *t > now - age).map(|(_, kb)| kb).sum();
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
        // The others follow the same rule on the same reports: each set-up here since counts for some of theirs.
        let since = self.log.iter().filter(|(t, kb)| *t > self.seen_to && *kb > 0.0).map(|(_, kb)| kb);
        self.share + fleet.echo * self.part(since.sum())
    }
}

/// What this director makes of the whole fleet: its own sessions are taken for a part like any other's, and
/// what it hears replaces that the more it hears.
#[derive(Default)]
struct Fleet {
    /// Mean share asked of links, and of uplinks.
    link: f64,
    uplink: f64,
    /// How far single ones stray from it.
    link_spread: f64,
    uplink_spread: f64,
    /// Sessions that play.
    sessions: f64,
    /// Part of all sessions that is the others', and how many set-ups of theirs an own one stands for.
    others: f64,
    echo: f64,
}

/// Evidence on one server.
#[derive(Default)]
struct Server {
    listed: Listed,
    link: Account,
    /// A note says that it delivers short; full until cleared.
    short: bool,
    /// Worth of a session, in seconds, that the shortage told has cost so far.
    lost: f64,
    /// Last time that sessions were to step down for it: that must show in the notes first.
    relief_at: Option<Micros>,
    /// Last time that it was told short.
    short_at: Micros,
    /// Failures since the last sign of life.
    fails: u32,
    failed_at: Micros,
    /// Last answer or note.
    sign: Micros,
    /// Cold until then, as far as this director can tell.
    cold_until: Micros,
}

// ---- director --------------------------------------------------------------------------------

/// Decides for one front. Feed it every event in order, with the time.
#[derive(Default)]
pub struct Director {
    set: Settings,
    seed: u64,
    born: Micros,
    servers: BTreeMap<ServerId, Server>,
    uplinks: BTreeMap<u64, Account>,
    live: BTreeMap<SessionId, Live>,
    /// Requests that wait for these probes.
    asking: BTreeMap<SessionId, (Ask, Vec<ServerId>)>,
    /// Times of requests taken and of further attempts sent.
    taken: VecDeque<Micros>,
    further: VecDeque<Micros>,
    /// Viewers turned away lately: when, and of which class.
    turned: BTreeMap<u64, (Micros, usize)>,
    fleet: Fleet,
    /// What the demand seen asks before and with each class's rung, over what the fleet gives.
    overfill: BTreeMap<(usize, usize), (f64, f64)>,
    /// Usual time of a set-up, microseconds.
    setup: f64,
    subscribed: bool,
    asked_list: Option<Micros>,
    /// When the tick is due; and the last time at which it was found long overdue.
    tick_due: Option<Micros>,
    stalled: Micros,
}

impl Director {
    /// A director that knows nothing yet. `now` is the time of its start.
    pub fn new(seed: u64, settings: Settings, now: Micros) -> Director {
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
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        if self.tick_due.is_none() {
            self.ring(now, out);
        }
        // This director stood still: its evidence aged here, and no server is judged by what ran out meanwhile.
        let late = self.tick_due.map_or(0, |due| now - due);
        if late > STALL {
            self.stalled = now;
            self.servers.values_mut().for_each(|s| s.sign = s.sign.max(now));
        }
        match event {
            Event::List { news, lines } => self.on_list(now, news, lines),
            Event::Asked(req) => self.on_asked(now, req, out),
            Event::Carried(req, server) => self.on_carried(now, req, server),
            Event::Started { session, attempt, server, waited } => {
                self.on_started(now, session, attempt, server, waited);
            }
            Event::Finished { session, attempt, server, outcome, closed, load } => {
                self.on_load(now, server, load, ANSWER_AGE, ANSWER_WEIGHT);
                self.on_finished(now, session, (attempt, outcome, closed), out);
            }
            Event::Noted { session, server, note, .. } => {
                self.on_note(now, session, server, note, out);
            }
            Event::Withdrawn(session) => {
                self.asking.remove(&session);
                self.turn(session, State::Closed);
            }
            Event::Timer(TICK_TOKEN) => {
                self.ring(now, out);
                self.weigh_demand(now);
                self.forget(now);
                self.settle(now, out);
            }
            Event::Timer(token) => {
                self.asked(now, SessionId(token), out);
                self.on_deadline(now, SessionId(token), out);
            }
            Event::Probed { server, outcome, load } => {
                self.on_load(now, server, load, ANSWER_AGE, ANSWER_WEIGHT);
                // A probe shows that the process runs, not that it sets sessions up.
                if outcome != Outcome::Good {
                    self.judge(now, server, outcome);
                }
                self.on_probed(now, server, out);
            }
            Event::Peer { .. } => {}
        }
        self.keep_list(now, out);
    }

    fn ring(&mut self, now: Micros, out: &mut Vec<Action>) {
        self.tick_due = Some(now + TICK);
        out.push(Action::Timer { after: TICK, token: TICK_TOKEN });
    }

    // ---- events -----------------------------------------------------------------------------

    fn on_asked(&mut self, now: Micros, mut req: Request, out: &mut Vec<Action>) {
        let span = self.set.contract.further.map_or(0, |f| f.span).max(self.set.contract.fall);
        self.taken.push_back(now);
        self.taken.retain(|t| *t >= now - span);
        self.further.retain(|t| *t >= now - span);
        req.deadline = req.deadline.clamp(now, now + LONGEST);
        self.turned.remove(&req.viewer);
        self.weigh_demand(now);
        if self.live.contains_key(&req.session) || self.asking.contains_key(&req.session) {
            return; // an id that is already held: odd input, and its answer is under way
        }
        let ask = Ask { req, attempts: 0, tried: Vec::new() };
        let probed = self.unsure_of(now, &ask);
        if probed.is_empty() {
            return self.place(now, ask, out);
        }
        out.extend(probed.iter().map(|s| Action::Probe { server: *s }));
        out.push(Action::Timer { after: PROBE_WAIT, token: ask.req.session.0 });
        self.asking.insert(ask.req.session, (ask, probed));
    }

    /// Exception: where probes are allowed and cost less than the news is worth, and nothing fresh is known
    /// of the holder that would be taken, the best holders of which that is so are asked first.
    fn unsure_of(&self, now: Micros, ask: &Ask) -> Vec<ServerId> {
        let limits = &self.set.limits;
        let most = if limits.may_probe { (NEWS_WORTH / limits.probe_price.max(1e-4)) as usize } else { 0 };
        if most == 0 || now - self.stalled < STALL_MEMORY {
            return Vec::new();
        }
        let holders = self.holders(now, ask);
        if holders.first().is_none_or(|s| s.link.fresh(now)) {
            return Vec::new();
        }
        let unsure = holders.iter().filter(|s| !s.link.fresh(now));
        unsure.take(most.min(PROBES)).map(|s| s.listed.server).collect()
    }

    fn on_probed(&mut self, now: Micros, server: ServerId, out: &mut Vec<Action>) {
        let waiting = self.asking.values_mut();
        waiting.for_each(|(_, probed)| probed.retain(|s| *s != server));
        let ready: Vec<SessionId> =
            self.asking.iter().filter(|(_, (_, probed))| probed.is_empty()).map(|(id, _)| *id).collect();
        for id in ready {
            self.asked(now, id, out);
        }
    }

    /// The answers are in, or late: the request is decided on what is known.
    fn asked(&mut self, now: Micros, id: SessionId, out: &mut Vec<Action>) {
        if let Some((ask, _)) = self.asking.remove(&id) {
            self.place(now, ask, out);
        }
    }

    fn on_carried(&mut self, now: Micros, req: Request, server: ServerId) {
        if self.live.contains_key(&req.session) {
            return;
        }
        let rung = self.set.classes.get(req.class).map_or(0, |c| c.floor);
        let kb = self.set.rate(req.class, rung);
        let ask = Ask { req, attempts: 1, tried: vec![server] };
        self.hold(now, Live { ask, state: State::Plays, server, rung, kb, sent: now, due: Some(now) });
    }

    fn on_started(&mut self, now: Micros, id: SessionId, number: u32, server: ServerId, waited: Micros) {
        self.setup += 0.1 * (waited.max(0) as f64 - self.setup);
        self.on_sign(now, server, true);
        if self.live.get(&id).is_some_and(|l| l.state == State::Pending && l.ask.attempts == number + 1) {
            self.turn(id, State::Plays);
        }
    }

    fn on_finished(&mut self, now: Micros, id: SessionId, how: (u32, Outcome, bool), out: &mut Vec<Action>) {
        let (number, outcome, closed) = how;
        if self.live.get(&id).is_none_or(|l| l.ask.attempts != number + 1) {
            return;
        }
        let Some(Live { ask, state, server, kb, .. }) = self.live.remove(&id) else { return };
        self.charge(now, server, -kb);
        self.judge(now, server, outcome);
        // Only a request that is still owed its answer goes on; a paid one only on proof.
        if closed || outcome == Outcome::Good || state != State::Pending {
            return;
        }
        if never_ran(outcome) || self.harmless(ask.req.class) {
            self.place(now, ask, out);
        } else {
            out.push(Action::Fail { session: id });
        }
    }

    /// What an outcome says of the server. A time-out that ran out while this director stood still says nothing.
    fn judge(&mut self, now: Micros, server: ServerId, outcome: Outcome) {
        match outcome {
            Outcome::Late if self.stalled == now => {}
            Outcome::NoConnection | Outcome::Reset | Outcome::Late | Outcome::Error => {
                self.on_sign(now, server, false);
            }
            Outcome::Good | Outcome::Full => self.on_sign(now, server, true),
            Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    fn on_note(&mut self, now: Micros, id: SessionId, server: ServerId, note: Note, out: &mut Vec<Action>) {
        // A note shows that the process runs, not that it sets sessions up: it clears no failure.
        if let Some(s) = self.servers.get_mut(&server) {
            s.sign = now;
        }
        match note {
            Note::Delivered(share) => {
                let Some(s) = self.servers.get_mut(&server) else { return };
                if share >= 0.98 {
                    (s.short, s.lost) = (false, 0.0);
                    return;
                }
                // Such notes come each second while it lasts.
                s.lost += (self.set.stall_cost * (0.98 - share)).clamp(0.0, 1.0);
                (s.short, s.short_at) = (true, now);
                let calm = s.relief_at.is_none_or(|t| now - t >= STEP_PAUSE);
                if self.set.stall_cost > 0.0 && s.lost >= self.set.switch_s && calm {
                    (s.lost, s.relief_at) = (0.0, Some(now));
                    self.step_down(now, server, share, out);
                }
            }
            Note::Rung(rung) if rung < self.set.ladder.len() => self.set_rung(now, id, rung),
            Note::Rung(_) => {}
            Note::Link(x) => {
                let load = Load { link: Some(x), ..Load::default() };
                self.on_load(now, server, load, self.note_age(now, id), NOTE_WEIGHT);
            }
            Note::Uplink(x) => {
                let load = Load { uplink: Some(x), ..Load::default() };
                self.on_load(now, server, load, self.note_age(now, id), NOTE_WEIGHT);
            }
        }
    }

    /// The first note of a session comes with its set-up and is fresh; later ones are late.
    fn note_age(&self, now: Micros, id: SessionId) -> Micros {
        match self.live.get(&id) {
            Some(l) if now - l.sent < self.set.told_every / 2 => 0,
            _ => self.set.told_late,
        }
    }

    /// The viewer's time is up: the final answer is due now, whatever is still out.
    fn on_deadline(&mut self, now: Micros, id: SessionId, out: &mut Vec<Action>) {
        let Some(Live { ask, state: State::Pending, .. }) = self.live.get(&id) else { return };
        if now + self.set.limits.step < ask.req.deadline {
            return; // rang for probes that had answered before
        }
        if self.set.limits.may_cancel {
            out.push(Action::Recall { session: id, attempt: ask.attempts - 1 });
        }
        if self.harmless(ask.req.class) {
            out.push(self.refusal(&ask.req));
        } else {
            out.push(Action::Fail { session: id });
        }
        self.turn(id, State::Closed);
    }

    fn on_load(&mut self, now: Micros, server: ServerId, load: Load, age: Micros, weight: f64) {
        if let (Some(x), Some(s)) = (load.link, self.servers.get_mut(&server)) {
            s.link.report(now, age, x, weight);
        }
        if let (Some(x), Some(rack)) = (load.uplink, self.rack_of(server)) {
            self.uplink(rack).report(now, age, x, weight);
        }
    }

    /// Missing evidence is not bad evidence: what no report has confirmed for long is forgotten.
    fn forget(&mut self, now: Micros) {
        let stale = STALE_TIMES * self.set.told_every.max(1_000_000) + self.set.told_late;
        let fresh = |t: &Micros| now - *t <= stale;
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
        let uplinks = self.set.racks as f64 * self.set.uplink_kb.max(0.0);
        let own: f64 = self.servers.values().map(|s| s.link.own).sum();
        let held = self.live.len() as f64;
        let (link, link_spread) = mean(&mut self.servers.values().map(|s| &s.link), own, links);
        let (uplink, uplink_spread) = mean(&mut self.uplinks.values(), own, uplinks);
        let middle = self.set.rate(0, self.set.ladder.len() / 2);
        let usual = (own + 0.5 * middle) / (held + 0.5);
        let asked = if uplinks > 0.0 { uplink * uplinks } else { link * links };
        let sessions = if usual > 0.0 { asked / usual } else { held * n };
        let echo = (n - 1.0) / (1.0 + (n - 1.0) / ECHO);
        self.fleet =
            Fleet { link, uplink, link_spread, uplink_spread, sessions, others: 1.0 - 1.0 / n, echo };
    }

    fn on_sign(&mut self, now: Micros, server: ServerId, alive: bool) {
        let warm = self.set.contract.warm_after;
        let Some(s) = self.servers.get_mut(&server) else { return };
        if alive {
            s.sign = now;
            s.fails = 0;
        } else {
            s.fails += 1;
            s.failed_at = now;
            // It may be back at any moment, and cold: pace it from the failure on.
            s.cold_until = s.cold_until.max(now + warm);
        }
    }

    // ---- holding ----------------------------------------------------------------------------

    fn turn(&mut self, id: SessionId, state: State) {
        self.live.get_mut(&id).into_iter().for_each(|l| l.state = state);
    }

    fn hold(&mut self, now: Micros, live: Live) {
        self.charge(now, live.server, live.kb);
        self.live.insert(live.ask.req.session, live);
    }

    fn charge(&mut self, now: Micros, server: ServerId, kb: f64) {
        if let Some(s) = self.servers.get_mut(&server) {
            s.link.add(now, kb);
        }
        if let Some(rack) = self.rack_of(server) {
            self.uplink(rack).add(now, kb);
        }
    }

    /// Books a change of rung of a session that plays.
    fn set_rung(&mut self, now: Micros, id: SessionId, rung: usize) {
        let Some(t) = self.live.get_mut(&id).filter(|l| l.state == State::Plays) else { return };
        let kb = self.set.rate(t.ask.req.class, rung);
        let (server, change) = (t.server, kb - t.kb);
        (t.rung, t.kb) = (rung, kb);
        self.charge(now, server, change);
    }

    fn rack_of(&self, server: ServerId) -> Option<u64> {
        self.set.rack(self.servers.get(&server)?.listed.cell)
    }

    fn uplink(&mut self, rack: u64) -> &mut Account {
        let kb = self.set.uplink_kb.max(0.0);
        self.uplinks.entry(rack).or_insert_with(|| Account { kb, ..Account::default() })
    }

    // ---- placement: D(C0) -------------------------------------------------------------------

    fn place(&mut self, now: Micros, ask: Ask, out: &mut Vec<Action>) {
        match self.choose(now, &ask) {
            Some((server, rung)) => self.send(now, ask, server, rung, out),
            None => {
                self.turned.insert(ask.req.viewer, (now, ask.req.class));
                out.push(self.refusal(&ask.req));
            }
        }
    }

    /// The holder with the least account, and the rung that its occupancy allows.
    fn choose(&self, now: Micros, ask: &Ask) -> Option<(ServerId, usize)> {
        let class = self.set.classes.get(ask.req.class)?;
        let top = self.set.top(&ask.req)?;
        if top < class.floor || !self.may_send(now, ask) {
            return None;
        }
        self.holders(now, ask).into_iter().find_map(|s| {
            self.rung_at(s, ask.req.class, class.floor, top, 0.0).map(|rung| (s.listed.server, rung))
        })
    }

    /// Holders that may take the request, the least account first.
    fn holders(&self, now: Micros, ask: &Ask) -> Vec<&Server> {
        let mut holders: Vec<_> = self
            .servers
            .values()
            .filter(|s| self.holds(s, &ask.req) && self.may_take(now, s, ask))
            .map(|s| (self.doubt(now, s), self.account(s), self.tie(ask, s), s))
            .collect();
        holders.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        holders.into_iter().map(|(_, _, _, s)| s).collect()
    }

    /// D(C0): the asked rung under the mark, else the highest under the full line, else none. `held` is the
    /// rate that the session has there already.
    fn rung_at(&self, s: &Server, class: usize, floor: usize, asked: usize, held: f64) -> Option<usize> {
        let rate = |rung| self.set.rate(class, rung) - held;
        if self.fits(s, rate(asked), MARK * self.answer(class, asked), CAUTION) {
            return Some(asked);
        }
        let mut lower = (floor + 1..asked).rev();
        let found = lower.find(|r| self.fits(s, rate(*r), FULL_LINE * self.answer(class, *r), CAUTION));
        found.or_else(|| self.fits(s, rate(floor), FULL_LINE, 0.0).then_some(floor))
    }

    /// The mark answers demand (the paper's choice of C0), on each rung of the ladder: a rung at which
    /// the viewers seen would overfill the fleet is given only while the link is that much emptier.
    fn answer(&self, class: usize, rung: usize) -> f64 {
        let (_, overfill) = self.overfill.get(&(class, rung)).copied().unwrap_or_default();
        1.0 / overfill.max(1.0)
    }

    /// Demand as seen from here: sessions held and viewers turned away, the others taken to see as much.
    /// A rung's overfill is what all viewers would ask if each had every rung that is worth as much for
    /// its rate, over what links and uplinks give under the full line.
    fn weigh_demand(&mut self, now: Micros) {
        self.survey();
        self.turned.retain(|_, (t, _)| now - *t < WANTS_FOR);
        let mut racks: BTreeMap<Option<u64>, f64> = BTreeMap::new();
        for s in self.servers.values().filter(|s| s.listed.state == Standing::Ready && s.fails == 0) {
            *racks.entry(self.set.rack(s.listed.cell)).or_insert(0.0) += s.link.kb;
        }
        let uplink =
            if self.set.racks > 0 && self.set.uplink_kb > 0.0 { self.set.uplink_kb } else { f64::INFINITY };
        let room = FULL_LINE * racks.values().map(|kb| kb.min(uplink)).sum::<f64>();
        self.overfill.clear();
        if room <= 0.0 {
            return;
        }
        let held = self.live.len() as f64;
        let classes = self.set.classes.len() as f64;
        let mut steps = Vec::new();
        for (c, class) in self.set.classes.iter().enumerate() {
            let turned = self.turned.values().filter(|(_, k)| *k == c).count();
            let own = self.live.values().filter(|l| l.ask.req.class == c).count();
            let seen = (own + turned) as f64 + PRIOR / classes;
            let wanting = seen / (held + PRIOR) * self.fleet.sessions;
            let mut density = f64::INFINITY;
            for rung in class.floor..=class.top {
                let Some(here) = self.set.ladder.get(rung) else { break };
                let below = if rung > class.floor { self.set.ladder[rung - 1] } else { Rung::default() };
                let kb = (here.kb - below.kb) * class.scale;
                if kb > 0.0 {
                    density = density.min(class.worth * (here.worth - below.worth) / kb);
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
        let doubt = |heard: Option<Micros>, spread: f64| if heard.is_some() { 0.0 } else { caution * spread };
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

    fn account(&self, s: &Server) -> f64 {
        self.link_share(s) + self.uplink_share(s)
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

    fn holds(&self, s: &Server, req: &Request) -> bool {
        let (cell, cells) = (s.listed.cell, self.set.cells);
        if cell >= cells {
            return false;
        }
        let home = req.home % cells;
        (if cell >= home { cell - home } else { cells - home + cell }) < req.spread
    }

    fn send(&mut self, now: Micros, mut ask: Ask, server: ServerId, rung: usize, out: &mut Vec<Action>) {
        let session = ask.req.session;
        let kb = self.set.rate(ask.req.class, rung);
        let patience = self.patience(now, &ask);
        if ask.attempts == 0 {
            let after = (ask.req.deadline - self.set.limits.step - now).max(0);
            out.push(Action::Timer { after, token: session.0 });
        } else {
            self.further.push_back(now);
        }
        ask.attempts += 1;
        ask.tried.push(server);
        out.push(Action::SetRung { session, rung });
        out.push(Action::Send { session, server, patience });
        let blind = self.servers.get(&server).is_some_and(|s| s.link.reported.is_none());
        let due = blind.then_some(now);
        self.hold(now, Live { ask, state: State::Pending, server, rung, kb, sent: now, due });
    }

    /// A harmless set-up is tried elsewhere while the viewer's aim can still be met; a paid one may
    /// not be sent again after a time-out, so it waits as long as the viewer does.
    fn patience(&self, now: Micros, ask: &Ask) -> Option<Micros> {
        let last = ask.attempts + 1 >= self.set.limits.max_attempts;
        let usual = ((self.setup * PATIENCE_TIMES) as Micros).max(PATIENCE_MIN);
        if !self.harmless(ask.req.class) || last || now + usual >= ask.req.deadline {
            return None;
        }
        Some(usual)
    }

    fn refusal(&self, req: &Request) -> Action {
        let most = self.set.limits.max_come_back;
        // Spread over the upper half of what viewers honour, so that they don't come back as one crowd.
        let spread = mix(self.seed ^ req.session.0) % 1000;
        let come_back = (most > 0).then(|| most / 2 + most / 2 * spread as Micros / 1000);
        Action::Refuse { session: req.session, come_back }
    }

    // ---- exception: held rungs ----------------------------------------------------------------

    /// Exception: the shortage that a server tells, of its link or its uplink, has cost each session there as
    /// much as a change of rung costs, so it lasts. This director's sessions step down by their own part of
    /// what is missing, least worth for the rate first.
    fn step_down(&mut self, now: Micros, server: ServerId, share: f64, out: &mut Vec<Action>) {
        let worth = |r: usize| self.set.ladder.get(r).map_or(0.0, |x| x.worth);
        let (mut own, mut steps) = (0.0, Vec::new());
        for (id, t) in self.live.iter().filter(|(_, l)| l.state == State::Plays && l.server == server) {
            let Some(class) = self.set.classes.get(t.ask.req.class) else { continue };
            own += t.kb;
            if t.rung > class.floor {
                let freed = t.kb - self.set.rate(t.ask.req.class, t.rung - 1);
                let lost = class.worth * (worth(t.rung) - worth(t.rung - 1));
                steps.push((lost / freed.max(1.0), *id, t.rung - 1, freed));
            }
        }
        steps.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mut need = own * (1.0 - share.max(0.0) / RELIEF_TO);
        for (_, id, rung, freed) in steps {
            // Many directors hold one session each there: of the last step only the part that is needed is
            // taken, by draw, or all together would free several times what is missing.
            if draw(self.seed ^ id.0 ^ now as u64) * freed < RELIEF_TIMES * need {
                self.step(now, id, rung, out);
            }
            need -= freed;
            if need <= 0.0 {
                return;
            }
        }
    }

    fn step(&mut self, now: Micros, id: SessionId, rung: usize, out: &mut Vec<Action>) {
        self.live.get_mut(&id).into_iter().for_each(|l| l.due = Some(now + CALM));
        self.set_rung(now, id, rung);
        out.push(Action::SetRung { session: id, rung });
    }

    /// Exception: a session that was carried over, placed blind or stepped plays at a rung that was not decided
    /// on what is known here. Once link and uplink are reported it is decided like a new one, upwards only,
    /// if what is left of it is worth more than the step. One a tick on each rack, so that the steps show.
    fn settle(&mut self, now: Micros, out: &mut Vec<Action>) {
        let mut steps: BTreeMap<u64, (SessionId, usize)> = BTreeMap::new();
        for (id, t) in
            self.live.iter().filter(|(_, l)| l.state == State::Plays && l.due.is_some_and(|d| now >= d))
        {
            let Some(s) = self.servers.get(&t.server).filter(|s| !s.short) else { continue };
            let (req, class) = (&t.ask.req, t.ask.req.class);
            let (Some(terms), Some(top)) = (self.set.classes.get(class), self.set.top(req)) else { continue };
            let told = s.link.reported.is_some_and(|r| r >= t.sent);
            if !told || self.uplink_of(s).is_some_and(|u| u.reported.is_none()) || top <= t.rung {
                continue;
            }
            // All other directors decide theirs at the same time: what counts is not how full the link is now
            // but what all viewers there would ask at that rung. Of a rung for which there is room for a part
            // of them only, that part takes it, by draw.
            let (fuller, part) = (self.fuller(s), draw(id.0));
            let common = |r: &usize| {
                self.overfill
                    .get(&(class, *r))
                    .is_some_and(|(before, after)| (before + part * (after - before)) * fuller <= 1.0)
            };
            let Some(top) = (t.rung + 1..=top).rev().find(common) else { continue };
            let Some(rung) = self.rung_at(s, class, terms.floor, top, t.kb).filter(|r| *r > t.rung) else {
                continue;
            };
            let left = req.hint.map_or(f64::INFINITY, |h| (h - (now - t.sent)) as f64 / 1e6);
            if left * (self.set.ladder[rung].worth - self.set.ladder[t.rung].worth) > self.set.switch_s {
                steps.entry(self.rack_of(t.server).unwrap_or(t.server.0)).or_insert((*id, rung));
            }
        }
        for (id, rung) in steps.into_values() {
            self.step(now, id, rung, out);
        }
    }

    // ---- guards -----------------------------------------------------------------------------

    fn harmless(&self, class: usize) -> bool {
        self.set.classes.get(class).is_some_and(|c| c.effect == Effect::Harmless)
    }

    /// Seats, attempts and the ration of further attempts allow another send.
    fn may_send(&self, now: Micros, ask: &Ask) -> bool {
        let seats = self.set.classes.get(ask.req.class).map_or(0, |c| c.seats);
        let same = |l: &&Live| (l.ask.req.title, l.ask.req.class) == (ask.req.title, ask.req.class);
        let used_up = ask.attempts >= self.set.limits.max_attempts.max(1);
        if used_up || now >= ask.req.deadline - self.set.limits.step {
            return false;
        }
        if seats > 0 && self.live.values().filter(same).count() >= seats as usize {
            return false;
        }
        let Some(f) = self.set.contract.further.filter(|_| ask.attempts > 0) else { return true };
        // Strict edges: an attempt on the window's edge counts, a request on it does not.
        let sent = self.further.iter().filter(|t| **t >= now - f.span).count() as f64;
        let taken = self.taken.iter().filter(|t| **t > now - f.span).count() as f64;
        sent + 1.0 <= f.free + f.per_request * taken
    }

    /// Listed ready, not tried for this request, not ahead of its cold pace, not failing.
    fn may_take(&self, now: Micros, s: &Server, ask: &Ask) -> bool {
        let barred = s.listed.state != Standing::Ready || ask.tried.contains(&s.listed.server);
        if barred || !self.open(now, s, ask) {
            return false;
        }
        // A failing server is tried with harmless set-ups only, one at a time, ever more rarely.
        let wait = TRIAL_WAIT << s.fails.saturating_sub(1).min(3);
        let trial = self.harmless(ask.req.class) && now - s.failed_at >= wait;
        s.fails == 0 || (trial && !self.has(s, State::Pending) && !self.has(s, State::Closed))
    }

    fn has(&self, s: &Server, state: State) -> bool {
        self.live.values().any(|l| l.server == s.listed.server && l.state == state)
    }

    /// A cold server is open to a part of the requests only, by hash: as many as keep its pace if every
    /// director sends it all that it may. One that is known cold draws all requests for its titles; while
    /// any may be, since a cached list may hide a start, they draw alike.
    fn open(&self, now: Micros, s: &Server, ask: &Ask) -> bool {
        let c = &self.set.contract;
        let spread = if now < s.cold_until { ask.req.spread.min(self.set.cells) } else { 1 };
        if now >= s.cold_until.max(self.born + c.warm_after) {
            return true;
        }
        let span = c.fall.max(1);
        let lately = |times: &VecDeque<Micros>| times.iter().rev().take_while(|t| **t > now - span).count();
        let asked = lately(&self.taken) + lately(&self.further);
        let warm = c.warm_after.max(1) as f64;
        let pace = (c.overload_factor * c.start_capacity * self.set.places(s.listed.kind)).max(1.0) / warm;
        let all =
            self.set.sharers() * asked.max(1) as f64 * spread.max(1) as f64 / self.set.cells.max(1) as f64;
        draw(self.tie(ask, s)) * all < pace * PACE_MARGIN * span as f64
    }

    /// 0: nothing against it. 1: notes are overdue. 2: failing.
    fn doubt(&self, now: Micros, s: &Server) -> u8 {
        let due = self.set.told_every + self.set.told_late + NOTE_SLACK;
        if s.fails > 0 {
            return 2;
        }
        u8::from(self.set.told_every > 0 && now - s.sign > due && self.has(s, State::Plays))
    }

    // ---- list -------------------------------------------------------------------------------

    fn on_list(&mut self, now: Micros, news: ListNews, lines: Vec<Listed>) {
        match news {
            ListNews::Failed => {
                self.subscribed = false;
                return;
            }
            ListNews::Delta => self.subscribed = true,
            ListNews::Full => {
                self.subscribed = self.asked_list.is_some();
                self.absent_gone(&lines);
            }
            ListNews::Cached => self.absent_gone(&lines),
        }
        let warm = self.set.contract.warm_after;
        for line in lines {
            let came = line.came_up.unwrap_or(now - warm);
            let cold_until = came + warm;
            match self.servers.get_mut(&line.server) {
                Some(s) => {
                    if line.came_up > s.listed.came_up {
                        (s.fails, s.short, s.link.share) = (0, false, 0.0);
                        s.cold_until = s.cold_until.max(cold_until);
                    }
                    s.listed = line;
                }
                None => {
                    let s = Server { listed: line, sign: now, cold_until, ..Server::default() };
                    self.servers.insert(line.server, s);
                }
            }
        }
        self.size_links();
    }

    fn absent_gone(&mut self, lines: &[Listed]) {
        let mut named: Vec<ServerId> = lines.iter().map(|l| l.server).collect();
        named.sort_unstable();
        for s in self.servers.values_mut() {
            if named.binary_search(&s.listed.server).is_err() {
                s.listed.state = Standing::Gone;
            }
        }
    }

    /// Told link: by weight where weights tell size, else the mean link shared out by places.
    fn size_links(&mut self) {
        let known: Vec<f64> = self.servers.values().map(|s| self.set.places(s.listed.kind)).collect();
        let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
        for s in self.servers.values_mut() {
            let places = self.set.places(s.listed.kind);
            let size =
                if self.set.weights_tell_size || mean <= 0.0 { s.listed.weight } else { places / mean };
            let kb = self.set.link_kb_per_weight * size;
            s.link.kb = if kb.is_finite() { kb.max(0.0) } else { 0.0 };
        }
    }

    /// Where the list must be asked for: subscribe, and again after a failure.
    fn keep_list(&mut self, now: Micros, out: &mut Vec<Action>) {
        let waited = self.asked_list.is_none_or(|t| now - t >= LIST_RETRY);
        if self.set.ask_for_list && !self.subscribed && waited {
            self.asked_list = Some(now);
            out.push(Action::Subscribe(true));
        }
    }
}

// ---- hash ------------------------------------------------------------------------------------

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// From 0 to 1, the same for the same seed.
fn draw(seed: u64) -> f64 {
    (mix(mix(seed)) >> 11) as f64 / (1u64 << 53) as f64
}
