//! The judgement. Records come in order of time.

use crate::record::{Ran, Record, Rules};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The six rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request taken by a running director has one answer in time.
    Answered,
    /// No paid set-up twice, no two attempts of one session out.
    Once,
    /// Nothing new to a node that drains or is gone.
    Drains,
    /// No cold node is sent more than its pace.
    Cold,
    /// Floors and seats.
    Terms,
    /// Further attempts within the ration.
    Ration,
}

impl Rule {
    pub const ALL: [Rule; 6] = [
        Rule::Answered,
        Rule::Once,
        Rule::Drains,
        Rule::Cold,
        Rule::Terms,
        Rule::Ration,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Rule::Answered => "one answer in time",
            Rule::Once => "no set-up twice",
            Rule::Drains => "drains kept",
            Rule::Cold => "no cold node pushed over",
            Rule::Terms => "floors and seats kept",
            Rule::Ration => "attempts rationed",
        }
    }
}

/// A rule that was broken, when, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    pub rule: Rule,
    pub t: i64,
    pub what: String,
    /// Whose session or request it was, where it is one's.
    pub tenant: Option<String>,
}

/// How near each rule came to its limit, 1 is at it, and on how many things it was tested.
pub type Tested = BTreeMap<&'static str, (f64, u64)>;

/// What a recording shows.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub findings: Vec<Finding>,
    /// How near each rule came to its limit: 1 is at it. Absent where nothing tested it.
    pub nearest: BTreeMap<&'static str, f64>,
    /// How many things each rule was tested on. A rule tested on nothing was not shown to hold.
    pub tested: BTreeMap<&'static str, u64>,
    /// The same for each tenant's requests and sessions.
    pub tenants: BTreeMap<String, Tested>,
    /// Whose the record in hand is.
    of: Option<String>,
}

impl Verdict {
    pub fn holds(&self) -> bool {
        self.findings.is_empty()
    }

    fn test(&mut self, rule: Rule, part: f64) {
        *self.tested.entry(rule.name()).or_default() += 1;
        let nearest = self.nearest.entry(rule.name()).or_default();
        *nearest = nearest.max(part);
        if let Some(tenant) = &self.of {
            let tested = self.tenants.entry(tenant.clone()).or_default();
            let (nearest, count) = tested.entry(rule.name()).or_default();
            (*nearest, *count) = (nearest.max(part), *count + 1);
        }
    }

    fn broken(&mut self, rule: Rule, t: i64, what: String) {
        self.findings.push(Finding {
            rule,
            t,
            what,
            tenant: self.of.clone(),
        });
    }

    /// One tenant's rules, a word for each.
    fn of_tenant(&self, tenant: &str, tested: &Tested) -> String {
        let word = |rule: Rule| {
            let own = |f: &&Finding| f.rule == rule && f.tenant.as_deref() == Some(tenant);
            match (
                self.findings.iter().filter(own).count(),
                tested.get(rule.name()),
            ) {
                (0, None) => format!("{} not tested", rule.name()),
                (0, Some((_, n))) => format!("{} kept ({n})", rule.name()),
                (n, _) => format!("{} BROKEN {n} times", rule.name()),
            }
        };
        Rule::ALL.map(word).join(", ")
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for rule in Rule::ALL {
            let broken = self.findings.iter().filter(|x| x.rule == rule).count();
            let tested = self.tested.get(rule.name()).copied().unwrap_or(0);
            let nearest = self
                .nearest
                .get(rule.name())
                .map_or("-".into(), |p| format!("{:.0}%", p * 100.0));
            let word = match (broken, tested) {
                (0, 0) => "not tested".into(),
                (0, _) => "kept".into(),
                (n, _) => format!("BROKEN {n} times"),
            };
            writeln!(
                f,
                "{:<26} {word:<16} tested {tested:>6}, nearest to its limit {nearest}",
                rule.name()
            )?;
        }
        for (tenant, tested) in &self.tenants {
            writeln!(f, "tenant {tenant}: {}", self.of_tenant(tenant, tested))?;
        }
        for finding in self.findings.iter().take(20) {
            writeln!(
                f,
                "  at {:.3} s: {}: {}",
                finding.t as f64 / 1e6,
                finding.rule.name(),
                finding.what
            )?;
        }
        Ok(())
    }
}

/// An attempt as the nodes saw it.
struct Attempt {
    /// Where it was set up, and those that hold it now: two while it is handed over.
    node: u64,
    at: BTreeSet<u64>,
    director: u32,
    tenant: Option<String>,
    class: String,
    title: String,
    /// Until then it is out; and until then the session holds its seat.
    out: Option<i64>,
    over: Option<i64>,
    ran: Option<Ran>,
}

/// What seats are counted by: director, tenant where classes are its own, class, title.
type Seat = (u32, Option<String>, String, String);

struct Judge<'r> {
    rules: &'r Rules,
    verdict: Verdict,
    attempts: BTreeMap<(u64, u32), Attempt>,
    /// Attempts of each session, in order of arrival.
    sessions: BTreeMap<u64, Vec<u32>>,
    /// Stops of directors from outside: from, until.
    stalls: BTreeMap<u32, Vec<(i64, i64)>>,
    kills: BTreeMap<u32, Vec<i64>>,
    told_off: BTreeMap<(u32, u64), i64>,
    /// Starts of nodes, and who was told of which.
    ups: BTreeMap<u64, (i64, f64, bool)>,
    knows: BTreeSet<(u32, u64, i64)>,
    director_up: BTreeMap<u32, i64>,
    saw_fail: BTreeMap<(u32, u64), i64>,
    cold: BTreeMap<u64, Vec<(i64, bool)>>,
    taken: BTreeMap<u32, Vec<i64>>,
    further: BTreeMap<u32, Vec<i64>>,
    held: BTreeMap<Seat, BTreeSet<(u64, u32)>>,
}

/// Judges a recording; `records` in order of time.
pub fn judge(records: &[Record], rules: &Rules) -> Verdict {
    let mut judge = Judge {
        rules,
        verdict: Verdict::default(),
        attempts: BTreeMap::new(),
        sessions: BTreeMap::new(),
        stalls: BTreeMap::new(),
        kills: BTreeMap::new(),
        told_off: BTreeMap::new(),
        ups: BTreeMap::new(),
        knows: BTreeSet::new(),
        director_up: BTreeMap::new(),
        saw_fail: BTreeMap::new(),
        cold: BTreeMap::new(),
        taken: BTreeMap::new(),
        further: BTreeMap::new(),
        held: BTreeMap::new(),
    };
    for record in records {
        match record {
            Record::DirectorStalled { t, director, until } => {
                judge
                    .stalls
                    .entry(*director)
                    .or_default()
                    .push((*t, *until));
            }
            Record::DirectorKilled { t, director } => {
                judge.kills.entry(*director).or_default().push(*t)
            }
            _ => {}
        }
    }
    records.iter().for_each(|r| judge.take(r));
    judge.answers(records);
    judge.verdict.findings.sort_by_key(|f| f.t);
    judge.verdict
}

impl Judge<'_> {
    /// How long the director stood still between two times.
    fn stalled(&self, director: u32, from: i64, to: i64) -> i64 {
        let stalls = self.stalls.get(&director).into_iter().flatten();
        stalls
            .map(|(a, b)| (to.min(*b) - from.max(*a)).max(0))
            .sum()
    }

    fn take(&mut self, record: &Record) {
        self.verdict.of = None;
        match record {
            Record::NodeUp {
                t,
                node,
                places,
                warm,
                ..
            } => {
                self.ups.insert(*node, (*t, *places, *warm));
                self.cold.remove(node);
            }
            Record::NodeDown { t, node, fell } => {
                let sessions: Vec<(u64, u32)> = self
                    .attempts
                    .iter()
                    .filter(|(_, a)| a.at.contains(node))
                    .map(|(id, _)| *id)
                    .collect();
                for id in sessions {
                    let a = self.attempts.get_mut(&id);
                    let director = a.map(|a| {
                        if a.node == *node {
                            a.out.get_or_insert(*t);
                        }
                        a.director
                    });
                    director.into_iter().for_each(|d| {
                        self.saw_fail.insert((d, *node), *t);
                    });
                    self.release(id, *node, *t);
                }
                if *fell {
                    // The node's own count agrees that it was pushed: see `cold_pace` for who pushed.
                    let by = self.cold.get(node).cloned().unwrap_or_default();
                    let recent = by.iter().filter(|(at, _)| *at > t - self.rules.fall);
                    let (knew, all) =
                        recent.fold((0, 0), |(k, n), (_, knew)| (k + i32::from(*knew), n + 1));
                    if 2 * knew >= all {
                        self.verdict.broken(
                            Rule::Cold,
                            *t,
                            format!("node {node} fell over: {all} set-ups, {knew} by directors that knew"),
                        );
                    }
                }
            }
            Record::SetUp {
                t,
                node,
                director,
                session,
                attempt,
                tenant,
                class,
                title,
                rung,
            } => {
                self.verdict.of.clone_from(tenant);
                self.set_up(
                    *t,
                    *node,
                    *director,
                    (*session, *attempt),
                    class,
                    title,
                    *rung,
                );
            }
            Record::SetUpDone {
                t,
                session,
                attempt,
                ran,
                ..
            } => {
                let id = (*session, *attempt);
                let Some(a) = self.attempts.get_mut(&id) else {
                    return;
                };
                a.out.get_or_insert(*t);
                a.ran = Some(*ran);
                if *ran == Ran::Given {
                    let key = (a.director, a.node);
                    self.saw_fail.insert(key, *t);
                }
                if *ran != Ran::Plays {
                    let node = a.node;
                    self.release(id, node, *t);
                }
            }
            Record::Partial {
                session: Some(session),
                attempt: Some(attempt),
                ..
            } => {
                // Some bytes came: whatever was sent, it may not be sent again if it was paid for. Its class
                // is learnt from the other attempts.
                let earlier = self.sessions.entry(*session).or_default();
                if !earlier.contains(attempt) {
                    earlier.push(*attempt);
                }
            }
            Record::Rung {
                t, session, rung, ..
            } => {
                let own = self.attempts.range((*session, 0)..=(*session, u32::MAX));
                let found = own.into_iter().find(|(_, a)| a.over.is_none());
                let Some((_, a)) = found else { return };
                let class = a.class.clone();
                self.verdict.of.clone_from(&a.tenant);
                self.floor(*t, *session, &class, *rung);
            }
            Record::Over {
                t,
                node,
                session,
                attempt,
            } => self.release((*session, *attempt), *node, *t),
            Record::HandIn {
                t,
                node,
                director,
                session,
                class,
                tenant,
                rung,
                ..
            } => {
                self.verdict.of.clone_from(tenant);
                self.floor(*t, *session, class, *rung);
                self.drained(*t, *node, *director);
                self.cold_pace(*t, *node, *director);
            }
            Record::HandInDone {
                t,
                node,
                session,
                attempt,
                ..
            } => self.hold((*session, *attempt), *node, *t),
            Record::Told {
                t,
                director,
                node,
                standing,
                came_up,
            } => {
                let off = standing != "ready";
                if off {
                    self.told_off.entry((*director, *node)).or_insert(*t);
                } else {
                    self.told_off.remove(&(*director, *node));
                }
                came_up.iter().for_each(|up| {
                    self.knows.insert((*director, *node, *up));
                });
            }
            Record::Asked { t, director, .. } => self.taken.entry(*director).or_default().push(*t),
            Record::DirectorUp { t, director } => {
                self.director_up.insert(*director, *t);
                // It begins anew: what it was told, took and sent before is not its own.
                self.told_off.retain(|(d, _), _| d != director);
                self.taken.remove(director);
                self.further.remove(director);
                self.held.retain(|(d, ..), _| d != director);
            }
            _ => {}
        }
    }

    fn floor(&mut self, t: i64, session: u64, class: &str, rung: usize) {
        let Some(terms) = self.rules.class(self.verdict.of.as_deref(), class) else {
            return;
        };
        if terms.floor == 0 {
            return;
        }
        self.verdict
            .test(Rule::Terms, if rung == terms.floor { 1.0 } else { 0.0 });
        if rung < terms.floor {
            let what = format!(
                "session {session} of {class} at rung {rung}, floor {}",
                terms.floor
            );
            self.verdict.broken(Rule::Terms, t, what);
        }
    }

    /// One node holds it no more; the seat is free when none does.
    fn release(&mut self, id: (u64, u32), node: u64, t: i64) {
        let Some(a) = self.attempts.get_mut(&id) else {
            return;
        };
        a.at.remove(&node);
        if !a.at.is_empty() {
            return;
        }
        a.over.get_or_insert(t);
        let owner = self.rules.owner(a.tenant.as_ref());
        let key = (a.director, owner, a.class.clone(), a.title.clone());
        if let Some(held) = self.held.get_mut(&key) {
            held.remove(&id);
        }
    }

    /// A node holds it, by its set-up or by a hand-over: it has a seat.
    fn hold(&mut self, id: (u64, u32), node: u64, t: i64) {
        let Some(a) = self.attempts.get_mut(&id) else {
            return;
        };
        a.at.insert(node);
        a.over = None;
        let (director, class, title) = (a.director, a.class.clone(), a.title.clone());
        self.verdict.of.clone_from(&a.tenant);
        let owner = self.rules.owner(a.tenant.as_ref());
        let terms = self.rules.class(a.tenant.as_deref(), &class);
        let seats = terms.map_or(0, |c| c.seats);
        let held = self
            .held
            .entry((director, owner, class.clone(), title.clone()))
            .or_default();
        held.insert(id);
        let count = held.len() as u32;
        if seats > 0 {
            self.verdict
                .test(Rule::Terms, f64::from(count) / f64::from(seats));
            if count > seats {
                let what = format!(
                    "director {director} holds {count} sessions of {title} in {class}, seats {seats}"
                );
                self.verdict.broken(Rule::Terms, t, what);
            }
        }
    }

    /// Nothing new to a node that drains or is gone.
    fn drained(&mut self, t: i64, node: u64, director: u32) {
        let transit = self.rules.transit;
        self.verdict.test(Rule::Drains, 0.0);
        if let Some(told) = self.told_off.get(&(director, node)).copied() {
            let within = self.rules.drain_within;
            let after = t - told - self.stalled(director, told, t);
            self.verdict.test(
                Rule::Drains,
                after as f64 / (within + transit).max(1) as f64,
            );
            if after > within + transit {
                let what = format!(
                    "director {director} sent to node {node} {} ms after it was told",
                    after / 1000
                );
                self.verdict.broken(Rule::Drains, t, what);
            }
        }
    }

    #[allow(clippy::too_many_arguments)] // one record's fields
    fn set_up(
        &mut self,
        t: i64,
        node: u64,
        director: u32,
        id: (u64, u32),
        class: &str,
        title: &str,
        rung: usize,
    ) {
        let (session, attempt) = id;
        let transit = self.rules.transit;
        let tenant = self.verdict.of.clone();
        let terms = self.rules.class(tenant.as_deref(), class).cloned();
        self.floor(t, session, class, rung);

        // Once.
        let earlier = self.sessions.entry(session).or_default().clone();
        let paid = terms.as_ref().is_none_or(|c| c.paid);
        self.verdict.test(Rule::Once, 0.0);
        for before in &earlier {
            match self.attempts.get(&(session, *before)) {
                None if paid => {
                    let what = format!(
                        "paid session {session}: attempt {attempt} after part of {before} was sent"
                    );
                    self.verdict.broken(Rule::Once, t, what);
                }
                None => {}
                Some(a) => {
                    if a.out.is_none() {
                        let what =
                            format!("session {session}: attempt {attempt} while {before} is out");
                        self.verdict.broken(Rule::Once, t, what);
                    }
                    if paid && a.ran != Some(Ran::TurnedAway) {
                        let what = format!(
                            "paid session {session}: attempt {attempt} after {before}: {:?}",
                            a.ran
                        );
                        self.verdict.broken(Rule::Once, t, what);
                    }
                }
            }
        }
        self.sessions.entry(session).or_default().push(attempt);

        self.drained(t, node, director);
        self.cold_pace(t, node, director);

        let (class, title) = (class.to_string(), title.to_string());
        let (out, over, ran, at) = (None, None, None, BTreeSet::new());
        self.attempts.insert(
            id,
            Attempt {
                node,
                at,
                director,
                tenant,
                class,
                title,
                out,
                over,
                ran,
            },
        );
        self.hold(id, node, t);

        // Ration.
        if attempt > 0
            && let Some(f) = &self.rules.further
        {
            let sent = self.further.entry(director).or_default();
            sent.push(t);
            // What arrives a little later than it was sent may fall into the next window.
            let recent = sent.iter().filter(|x| **x > t - f.span + transit).count() as f64;
            let taken = self.taken.get(&director).into_iter().flatten();
            let taken = taken.filter(|x| **x > t - f.span - transit).count() as f64;
            let most = f.free + f.per_request * taken;
            self.verdict.test(Rule::Ration, recent / most.max(1e-9));
            if recent > most {
                let what =
                    format!("director {director}: {recent} further attempts, {most:.1} allowed");
                self.verdict.broken(Rule::Ration, t, what);
            }
        }
    }

    /// What is sent within any span stays under multiple x present capacity x span, with a little slack for
    /// chance; broken when most of it came from directors that had been told of the start, had seen the node
    /// fail, or started later.
    fn cold_pace(&mut self, t: i64, node: u64, director: u32) {
        let Some((up, places, warm)) = self.ups.get(&node).copied() else {
            return;
        };
        let r = self.rules;
        let age = t - up;
        if warm || age >= r.warm_after || r.fall <= 0 {
            return;
        }
        let knew = self.knows.contains(&(director, node, up))
            || self
                .saw_fail
                .get(&(director, node))
                .is_some_and(|at| *at < t)
            || self.director_up.get(&director).is_some_and(|at| *at > up);
        let sends = self.cold.entry(node).or_default();
        sends.push((t, knew));
        let within: Vec<bool> = sends
            .iter()
            .filter(|(x, _)| *x > t - r.fall)
            .map(|(_, knew)| *knew)
            .collect();
        let share = r.start_capacity + (1.0 - r.start_capacity) * age as f64 / r.warm_after as f64;
        let pace = places / r.warm_after as f64 * share;
        let most = r.overload_factor * pace * r.fall as f64 + 2.0;
        self.verdict.test(Rule::Cold, within.len() as f64 / most);
        let knowing = within.iter().filter(|k| **k).count();
        if within.len() as f64 > most && 2 * knowing >= within.len() {
            let what = format!(
                "node {node}: {} set-ups within the span, {most:.1} at most",
                within.len()
            );
            self.verdict.broken(Rule::Cold, t, what);
        }
    }

    /// A refusal says that coming back is harmless: of a paid session no attempt may have run.
    fn refused(&mut self, t: i64, session: u64, class: &str) {
        if !self
            .rules
            .class(self.verdict.of.as_deref(), class)
            .is_none_or(|c| c.paid)
        {
            return;
        }
        for attempt in self.sessions.get(&session).into_iter().flatten() {
            let ran = self.attempts.get(&(session, *attempt)).map(|a| a.ran);
            if ran != Some(Some(Ran::TurnedAway)) {
                let what =
                    format!("paid session {session} refused after attempt {attempt}: {ran:?}");
                self.verdict.broken(Rule::Once, t, what);
            }
        }
    }

    /// Each request has one answer in time, unless its director was killed first.
    fn answers(&mut self, records: &[Record]) {
        let mut asked: BTreeMap<u64, (i64, u32, i64, String, Option<String>)> = BTreeMap::new();
        let mut ended: BTreeMap<u64, u32> = BTreeMap::new();
        let last = records.last().map_or(0, Record::time);
        for record in records {
            match record {
                Record::Asked {
                    t,
                    director,
                    ask,
                    wait,
                    class,
                    tenant,
                    ..
                } => {
                    asked.insert(*ask, (*t, *director, *wait, class.clone(), tenant.clone()));
                }
                Record::Answered {
                    t,
                    ask,
                    status,
                    session,
                } => {
                    let Some((from, director, wait, class, tenant)) = asked.get(ask) else {
                        continue;
                    };
                    self.verdict.of.clone_from(tenant);
                    if *status == 503
                        && let Some(session) = session
                    {
                        self.refused(*t, *session, class);
                    }
                    let count = ended.entry(*ask).or_default();
                    *count += 1;
                    if *count > 1 {
                        self.verdict.broken(
                            Rule::Answered,
                            *t,
                            format!("request {ask} has {count} answers"),
                        );
                    }
                    let took = t - from - self.stalled(*director, *from, *t + self.rules.transit);
                    let most = wait + self.rules.answer_slack + self.rules.transit;
                    self.verdict.test(Rule::Answered, took as f64 / most as f64);
                    if took > most {
                        let what = format!(
                            "request {ask}: {status} after {} ms of {}",
                            took / 1000,
                            wait / 1000
                        );
                        self.verdict.broken(Rule::Answered, *t, what);
                    }
                }
                Record::Unanswered { t, ask } => {
                    let Some((from, director, wait, _, tenant)) = asked.get(ask) else {
                        continue;
                    };
                    self.verdict.of.clone_from(tenant);
                    *ended.entry(*ask).or_default() += 1;
                    let slack = wait + self.rules.answer_slack + self.rules.transit;
                    let kills = self.kills.get(director).into_iter().flatten();
                    let killed = kills
                        .clone()
                        .any(|k| *k >= *from - self.rules.transit && *k <= *from + slack);
                    if !killed {
                        let waited = (t - from) / 1000;
                        let what = format!(
                            "request {ask} to director {director} has no answer after {waited} ms"
                        );
                        self.verdict.broken(Rule::Answered, *t, what);
                    }
                }
                Record::Left { ask, .. } => *ended.entry(*ask).or_default() += 1,
                _ => {}
            }
        }
        for (ask, (from, director, wait, _, tenant)) in &asked {
            self.verdict.of.clone_from(tenant);
            // A recording that stops while a request is under way says nothing of it.
            if !ended.contains_key(ask)
                && from + wait + self.rules.answer_slack + self.rules.transit < last
            {
                let what = format!("request {ask} to director {director} is still open");
                self.verdict.broken(Rule::Answered, *from, what);
            }
        }
    }
}
