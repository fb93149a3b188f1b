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
/// A viewer who was turned away counts as wanting a session for so long, microseconds: most return sooner.
const WANTS_FOR: Micros = 3_000_000;
/// Evidence older than so many times the usual time between reports is stale: a short-delivery note lapses
/// and a believed share fades. Notes come only where this director has sessions, so a server once believed
/// full would else never be tried again.
const STALE_TIMES: Micros = 2;
/// Time in which a stale share fades to the mean of what is heard, microseconds.
const FADE: f64 = 10_000_000.0;
/// Steps aim at this share of what is delivered.
const RELIEF_TO: f64 = 0.97;
/// Sessions of a server step again only after this, microseconds.
const STEP_PAUSE: Micros = 2_000_000;
/// A stepped session may be decided anew after so long, microseconds.
const CALM: Micros = 6_000_000;
/// Part of the falling-over pace that all directors together may use on a cold server: margin for
/// set-ups of theirs that bunch by chance, and for places that are fewer than told.
const PACE_MARGIN: f64 = 0.7;
/// Weight of a report in an answer against what is believed; such reports are noisy and of unknown age.
const ANSWER_WEIGHT: f64 = 0.4;
/// Weight of a note on fullness: later, but without noise.
const NOTE_WEIGHT: f64 = 0.8;
/// What is known of the fleet before anything is heard weighs as much as so many reports or sessions.
const PRIOR: f64 = 2.0;
/// An own set-up that no report shows yet stands for so many of the others' at most: one set-up is weak
/// evidence of what hundreds of directors do.
const ECHO: f64 = 4.0;
/// Age of the figures in an answer, microseconds: a refresh and a delay of some tenths of a second.
const ANSWER_AGE: Micros = 500_000;
/// Own set-ups are remembered so long, microseconds, to be added to reports that predate them.
const LOG_SPAN: Micros = 5_000_000;
/// Director's tick, microseconds: often enough to see an overdue set-up before the next viewer does.
const TICK: Micros = 200_000;
/// A tick that comes later than this, microseconds, was held up here: a batch takes a few milliseconds.
const STALL: Micros = 300_000;
/// A link or uplink of which nothing fresh is heard is taken for fuller than the mean by so many spreads, for
/// all rungs but the lowest: what is not known turns nobody away.
const CAUTION: f64 = 0.7;
/// What a fresh reading of one holder saves, as a part of a session's worth; probes that cost more are not sent.
const NEWS_WORTH: f64 = 0.03;
/// Holders probed for one request at most.
const PROBES: usize = 3;
/// A report younger than this, microseconds, needs no probe.
const PROBE_FRESH: Micros = 2_000_000;
/// Probes are waited for so long, microseconds: they answer in milliseconds or not at all.
const PROBE_WAIT: Micros = 60_000;
/// A director that stood still sends no probes for so long, microseconds: their answers would find it still again.
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
    attempts: u32,
    tried: Vec<ServerId>,
}

/// The one attempt that a request has out, or the session that it became.
#[derive(Clone)]
struct Attempt {
    server: ServerId,
    number: u32,
    rung: usize,
    kb: f64,
    sent: Micros,
    /// Last change of rung while it played.
    stepped: Option<Micros>,
    /// From then on its rung may be decided anew, once: it was carried over, or stepped down.
    due: Option<Micros>,
}

enum Live {
    /// Sent, no answer yet.
    Pending(Ask, Attempt),
    /// Plays.
    Playing(Ask, Attempt),
    /// Answered or withdrawn while its attempt is still out: holds its seat and rate, is never sent again.
    Closed(Ask, Attempt),
}

impl Live {
    fn parts(&self) -> (&Ask, &Attempt) {
        match self {
            Live::Pending(a, t) | Live::Playing(a, t) | Live::Closed(a, t) => (a, t),
        }
    }
}

fn new_attempt(now: Micros, server: ServerId, number: u32, rung: usize, kb: f64) -> Attempt {
    Attempt { server, number, rung, kb, sent: now, stepped: None, due: None }
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
    /// The last report is not stale.
    heard: bool,
    /// Time that the last report tells of.
    seen_to: Micros,
    /// Own set-ups since then, kB a second.
    since: f64,
}

impl Account {
    fn fresh(&self, now: Micros, stale: Micros) -> bool {
        self.reported.is_some_and(|t| now - t <= stale)
    }

    fn part(&self, kb: f64) -> f64 {
        if self.kb > 0.0 { kb / self.kb } else { 0.0 }
    }

    fn add(&mut self, now: Micros, kb: f64) {
        self.own = (self.own + kb).max(0.0);
        self.share = (self.share + self.part(kb)).max(0.0);
        self.log.push_back((now, kb));
        self.since += kb.max(0.0);
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
        (self.reported, self.heard) = (Some(now), true);
        self.seen_to = self.seen_to.max(now - age);
        self.since = self.log.iter().filter(|(t, kb)| *t > self.seen_to && *kb > 0.0).map(|(_, kb)| kb).sum();
    }

    /// A tick without report: past `stale` the share moves towards the mean of those heard.
    fn fade(&mut self, now: Micros, stale: Micros, mean: f64) {
        self.heard = self.fresh(now, stale);
        if self.reported.is_some() && !self.heard {
            self.share += (mean - self.share) * TICK as f64 / FADE;
            self.since = 0.0;
        }
    }

    /// Until a report comes, the others' part of it is as full as the mean of those heard.
    fn believed(&self, fleet: &Fleet, mean: f64) -> f64 {
        if self.reported.is_none() {
            return mean * fleet.others + self.part(self.own);
        }
        // The others follow the same rule on the same reports: each set-up here since the last one counts
        // for some of theirs too.
        self.share + fleet.echo * self.part(self.since)
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
struct Server {
    listed: Listed,
    link: Account,
    /// A note says that it delivers short; full until cleared.
    short: bool,
    /// Worth of a session, in seconds, that the shortage told has cost so far.
    lost: f64,
    /// Last time that sessions were to step down for it: that must show in the notes first.
    relief_at: Micros,
    /// Last time that it was told short.
    short_at: Micros,
    /// Failures since the last sign of life.
    fails: u32,
    failed_at: Micros,
    /// Last answer or note.
    sign: Micros,
    playing: u32,
    pending: u32,
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
    /// Sessions of a title and class held, set-ups included.
    seats: BTreeMap<(TitleId, usize), u32>,
    /// Times of requests taken and of further attempts sent.
    taken: VecDeque<Micros>,
    further: VecDeque<Micros>,
    /// Viewers turned away lately: when, and of which class.
    turned: BTreeMap<u64, (Micros, usize)>,
    /// Sessions held, by class.
    held: BTreeMap<usize, f64>,
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
                self.on_finished(now, session, attempt, outcome, closed, out);
            }
            Event::Noted { session, attempt, server, note } => {
                self.on_note(now, session, attempt, server, note, out);
            }
            Event::Withdrawn(session) => {
                self.asking.remove(&session);
                self.turn(session, Live::Closed);
            }
            Event::Timer(TICK_TOKEN) => {
                self.ring(now, out);
                self.weigh_demand(now);
                self.fade(now);
                self.settle(now, out);
            }
            Event::Timer(token) => {
                self.asked(now, SessionId(token), out);
                self.on_deadline(now, SessionId(token), out);
            }
            Event::Probed { server, outcome, load } => {
                self.on_load(now, server, load, ANSWER_AGE, ANSWER_WEIGHT);
                match outcome {
                    Outcome::NoConnection | Outcome::Reset => self.on_sign(now, server, false),
                    Outcome::Late if self.stalled != now => self.on_sign(now, server, false),
                    _ => {}
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
        if holders.first().is_none_or(|s| s.link.fresh(now, PROBE_FRESH)) {
            return Vec::new();
        }
        let unsure = holders.iter().filter(|s| !s.link.fresh(now, PROBE_FRESH));
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
        let attempt = Attempt { due: Some(now), ..new_attempt(now, server, 0, rung, kb) };
        self.hold(now, Live::Playing(ask, attempt));
    }

    fn on_started(&mut self, now: Micros, id: SessionId, number: u32, server: ServerId, waited: Micros) {
        self.setup += 0.1 * (waited.max(0) as f64 - self.setup);
        self.on_sign(now, server, true);
        if matches!(self.live.get(&id), Some(Live::Pending(_, t)) if t.number == number) {
            self.turn(id, Live::Playing);
        }
    }

    fn on_finished(
        &mut self,
        now: Micros,
        id: SessionId,
        number: u32,
        outcome: Outcome,
        closed: bool,
        out: &mut Vec<Action>,
    ) {
        if self.live.get(&id).is_none_or(|l| l.parts().1.number != number) {
            return;
        }
        let Some(live) = self.live.remove(&id) else { return };
        let server = live.parts().1.server;
        self.release(now, &live);
        match outcome {
            Outcome::Late if self.stalled == now => {}
            Outcome::NoConnection | Outcome::Reset | Outcome::Late | Outcome::Error => {
                self.on_sign(now, server, false);
            }
            Outcome::Good | Outcome::Full => self.on_sign(now, server, true),
            Outcome::Cancelled | Outcome::NotSent => {}
        }
        // Only a request that is still owed its answer goes on; a paid one only on proof.
        let Live::Pending(ask, _) = live else { return };
        if closed || outcome == Outcome::Good {
            return;
        }
        if never_ran(outcome) || self.harmless(ask.req.class) {
            self.place(now, ask, out);
        } else {
            out.push(Action::Fail { session: id });
        }
    }

    fn on_note(
        &mut self,
        now: Micros,
        id: SessionId,
        number: u32,
        server: ServerId,
        note: Note,
        out: &mut Vec<Action>,
    ) {
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
                if self.set.stall_cost > 0.0 && s.lost >= self.set.switch_s && now - s.relief_at >= STEP_PAUSE
                {
                    (s.lost, s.relief_at) = (0.0, now);
                    self.step_down(now, server, share, out);
                }
            }
            Note::Rung(rung) => {
                let plays = matches!(self.live.get(&id), Some(Live::Playing(_, t)) if t.number == number);
                if plays && rung < self.set.ladder.len() {
                    self.set_rung(now, id, rung);
                }
            }
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
            Some(l) if now - l.parts().1.sent < self.set.told_every / 2 => 0,
            _ => self.set.told_late,
        }
    }

    /// The viewer's time is up: the final answer is due now, whatever is still out.
    fn on_deadline(&mut self, now: Micros, id: SessionId, out: &mut Vec<Action>) {
        let Some(Live::Pending(ask, attempt)) = self.live.get(&id) else { return };
        if now + self.set.limits.step < ask.req.deadline {
            return; // rang for probes that had answered before
        }
        if self.set.limits.may_cancel {
            out.push(Action::Recall { session: id, attempt: attempt.number });
        }
        if self.harmless(ask.req.class) {
            out.push(self.refusal(&ask.req));
        } else {
            out.push(Action::Fail { session: id });
        }
        self.turn(id, Live::Closed);
    }

    fn on_load(&mut self, now: Micros, server: ServerId, load: Load, age: Micros, weight: f64) {
        if let (Some(x), Some(s)) = (load.link, self.servers.get_mut(&server)) {
            s.link.report(now, age, x, weight);
        }
        if let (Some(x), Some(rack)) = (load.uplink, self.rack_of(server)) {
            self.uplink(rack).report(now, age, x, weight);
        }
    }

    /// Missing evidence is not bad evidence: what no report has confirmed for long wears off.
    fn fade(&mut self, now: Micros) {
        let stale = self.stale();
        let (link, uplink) = (self.fleet.link, self.fleet.uplink);
        for s in self.servers.values_mut() {
            s.link.fade(now, stale, link);
            s.short &= now - s.short_at <= stale;
        }
        self.uplinks.values_mut().for_each(|u| u.fade(now, stale, uplink));
    }

    /// Pools the evidence: means over what is heard, shrunk towards the own sessions times the directors.
    fn survey(&mut self) {
        let n = self.set.sharers();
        let mean = |heard: &mut dyn Iterator<Item = &Account>, own: f64, size: f64| {
            let (mut sum, mut squares, mut count) = (0.0, 0.0, 0.0);
            for a in heard.filter(|a| a.heard) {
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
        let held: f64 = self.held.values().sum();
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

    /// Age at which a report is stale.
    fn stale(&self) -> Micros {
        STALE_TIMES * self.set.told_every.max(1_000_000) + self.set.told_late
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

    /// Moves a request on to its next state.
    fn turn(&mut self, id: SessionId, next: fn(Ask, Attempt) -> Live) {
        let Some(live) = self.live.remove(&id) else { return };
        self.tally(&live, -1);
        let (Live::Pending(ask, t) | Live::Playing(ask, t) | Live::Closed(ask, t)) = live;
        let live = next(ask, t);
        self.tally(&live, 1);
        self.live.insert(id, live);
    }

    /// Counts a request in or out at its server, as playing or as pending.
    fn tally(&mut self, live: &Live, by: i32) {
        if let Some(s) = self.servers.get_mut(&live.parts().1.server) {
            let count = if matches!(live, Live::Playing(..)) { &mut s.playing } else { &mut s.pending };
            *count = count.saturating_add_signed(by);
        }
    }

    fn hold(&mut self, now: Micros, live: Live) {
        self.tally(&live, 1);
        let (ask, attempt) = live.parts();
        let (id, server, kb) = (ask.req.session, attempt.server, attempt.kb);
        *self.seats.entry((ask.req.title, ask.req.class)).or_insert(0) += 1;
        *self.held.entry(ask.req.class).or_insert(0.0) += 1.0;
        self.charge(now, server, kb);
        self.live.insert(id, live);
    }

    fn release(&mut self, now: Micros, live: &Live) {
        self.tally(live, -1);
        let (ask, attempt) = live.parts();
        let key = (ask.req.title, ask.req.class);
        if let Some(n) = self.seats.get_mut(&key) {
            *n -= 1;
            if *n == 0 {
                self.seats.remove(&key);
            }
        }
        *self.held.entry(ask.req.class).or_insert(0.0) -= 1.0;
        self.charge(now, attempt.server, -attempt.kb);
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
        let Some(Live::Playing(ask, t)) = self.live.get_mut(&id) else { return };
        let kb = self.set.rate(ask.req.class, rung);
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
        let held: f64 = self.held.values().sum();
        let classes = self.set.classes.len() as f64;
        let mut steps = Vec::new();
        for (c, class) in self.set.classes.iter().enumerate() {
            let turned = self.turned.values().filter(|(_, k)| *k == c).count() as f64;
            let seen = self.held.get(&c).copied().unwrap_or(0.0) + turned + PRIOR / classes;
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
        let doubt = |heard: bool, spread: f64| if heard { 0.0 } else { caution * spread };
        let link = doubt(s.link.heard, self.fleet.link_spread) + s.link.part(kb);
        let uplink = doubt(rack.is_some_and(|u| u.heard), self.fleet.uplink_spread);
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
        let number = ask.attempts;
        if number == 0 {
            let after = (ask.req.deadline - self.set.limits.step - now).max(0);
            out.push(Action::Timer { after, token: session.0 });
        } else {
            self.further.push_back(now);
        }
        ask.attempts += 1;
        ask.tried.push(server);
        out.push(Action::SetRung { session, rung });
        out.push(Action::Send { session, server, patience });
        let blind = self.servers.get(&server).is_some_and(|s| !s.link.fresh(now, self.stale()));
        let attempt = new_attempt(now, server, number, rung, kb);
        self.hold(now, Live::Pending(ask, Attempt { due: blind.then_some(now), ..attempt }));
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
        for (id, live) in &self.live {
            let Live::Playing(ask, t) = live else { continue };
            let Some(class) = self.set.classes.get(ask.req.class).filter(|_| t.server == server) else {
                continue;
            };
            own += t.kb;
            if t.rung > class.floor {
                let freed = t.kb - self.set.rate(ask.req.class, t.rung - 1);
                let lost = class.worth * (worth(t.rung) - worth(t.rung - 1));
                steps.push((lost / freed.max(1.0), *id, t.rung - 1, freed));
            }
        }
        steps.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mut need = own * (1.0 - share.max(0.0) / RELIEF_TO);
        for (_, id, rung, freed) in steps {
            // Many directors hold one session each there: of the last step only the part that is needed is
            // taken, by draw, or all together would free several times what is missing.
            if draw(self.seed ^ id.0 ^ now as u64) * freed < 2.0 * need {
                self.step(now, id, rung, out);
            }
            need -= freed;
            if need <= 0.0 {
                return;
            }
        }
    }

    fn step(&mut self, now: Micros, id: SessionId, rung: usize, out: &mut Vec<Action>) {
        let Some(Live::Playing(_, t)) = self.live.get_mut(&id) else { return };
        t.due = Some(now + CALM);
        t.stepped = Some(now);
        self.set_rung(now, id, rung);
        out.push(Action::SetRung { session: id, rung });
    }

    /// Exception: a session that was carried over plays at a rung that nobody decided on what is known here.
    /// Once link and uplink are reported it is decided like a new one, once, and upwards only, if what is
    /// left of it is worth more than the step. One a tick on each rack, so that the steps show.
    fn settle(&mut self, now: Micros, out: &mut Vec<Action>) {
        let mut steps: BTreeMap<u64, (SessionId, usize)> = BTreeMap::new();
        for (id, live) in &self.live {
            let Live::Playing(ask, t) = live else { continue };
            let Some(s) = self.servers.get(&t.server).filter(|s| !s.short && t.due.is_some_and(|d| now >= d))
            else {
                continue;
            };
            let Some(class) = self.set.classes.get(ask.req.class) else { continue };
            let told = s.link.reported.is_some_and(|r| r >= t.sent)
                && self.uplink_of(s).is_none_or(|u| u.reported.is_some());
            let Some(top) = self.set.top(&ask.req) else { continue };
            if !told || top <= t.rung {
                continue;
            }
            // All other directors decide theirs at the same time: what counts is not how full the link is now
            // but what all viewers there would ask at that rung.
            // Of the rung for which there is room for a part of them only, that part takes it, by draw.
            let (fuller, part) = (self.fuller(s), draw(id.0));
            let common = |r: &usize| {
                let (before, after) =
                    self.overfill.get(&(ask.req.class, *r)).copied().unwrap_or((0.0, f64::INFINITY));
                (before + part * (after - before)) * fuller <= 1.0
            };
            let Some(top) = (t.rung + 1..=top).rev().find(common) else { continue };
            let Some(rung) = self.rung_at(s, ask.req.class, class.floor, top, t.kb) else { continue };
            let left = ask.req.hint.map_or(f64::INFINITY, |h| (h - (now - t.sent)) as f64 / 1e6);
            if rung > t.rung
                && left * (self.set.ladder[rung].worth - self.set.ladder[t.rung].worth) > self.set.switch_s
            {
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
        let held = self.seats.get(&(ask.req.title, ask.req.class)).copied().unwrap_or(0);
        if seats > 0 && held >= seats {
            return false;
        }
        if ask.attempts >= self.set.limits.max_attempts.max(1)
            || now >= ask.req.deadline - self.set.limits.step
        {
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
        if s.listed.state != Standing::Ready || ask.tried.contains(&s.listed.server) {
            return false;
        }
        if !self.open(now, s, ask) {
            return false;
        }
        // A failing server is tried with harmless set-ups only, one at a time, ever more rarely.
        let wait = TRIAL_WAIT << s.fails.saturating_sub(1).min(3);
        s.fails == 0 || (self.harmless(ask.req.class) && s.pending == 0 && now - s.failed_at >= wait)
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
        if s.fails > 0 {
            return 2;
        }
        let due = self.set.told_every + self.set.told_late + NOTE_SLACK;
        u8::from(self.set.told_every > 0 && s.playing > 0 && now - s.sign > due)
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
                    let s = Server {
                        listed: line,
                        link: Account::default(),
                        short: false,
                        lost: 0.0,
                        relief_at: now - STEP_PAUSE,
                        short_at: now,
                        fails: 0,
                        failed_at: now,
                        sign: now,
                        playing: 0,
                        pending: 0,
                        cold_until,
                    };
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
