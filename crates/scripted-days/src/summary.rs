//! What a day came to.

use crate::rig::Lacked;
use hdrhistogram::Histogram;
use serde::Serialize;
use shalewall_audit::{Moves, Verdict};
use shalewall_emulator::viewers::Count;
use shalewall_fleet_model::tally::Tally;
use std::collections::BTreeMap;
use std::fmt;

/// Waits of one class for an answer, milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Waits {
    pub answers: u64,
    pub p50: f64,
    pub p99: f64,
    pub most: f64,
}

/// What viewers got: all of them, or one tenant's.
#[derive(Clone, Debug, Serialize)]
pub struct Got {
    pub asked: u64,
    pub plays: u64,
    pub refused: u64,
    pub failed: u64,
    pub unanswered: u64,
    pub broken: u64,
    /// Viewers that came, part of them that was turned away at least once, and that never got to watch.
    pub people: u64,
    pub people_refused: f64,
    pub people_unserved: f64,
    /// Changes of rung for each minute that a session played.
    pub steps: f64,
    /// Worth got over worth asked for, both within the day, less what stalls and steps cost, as viewers'
    /// sockets saw it.
    pub worth: f64,
    /// Part of the time at each rung.
    pub rungs: BTreeMap<usize, f64>,
}

impl Got {
    fn new(t: &Tally) -> Got {
        let time = t.played_s().max(1e-9);
        Got {
            asked: t.asked,
            plays: t.played,
            refused: t.refused,
            failed: t.failed,
            unanswered: t.unanswered,
            broken: t.broken,
            people: t.people,
            people_refused: t.people_refused_part(),
            people_unserved: t.unserved_part(),
            steps: t.steps_a_minute(),
            worth: t.worth(),
            rungs: t.rungs.iter().map(|(r, s)| (*r, s / time)).collect(),
        }
    }
}

#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    #[serde(flatten)]
    pub all: Got,
    /// The same for each tenant's viewers, where they name any.
    pub tenants: BTreeMap<String, Got>,
    pub waits: BTreeMap<String, Waits>,
    /// Hand-overs and gaps, where players follow.
    pub moves: Option<Moves>,
    /// The latest that a timer of the stand-ins rang, milliseconds.
    pub lag_ms: f64,
    /// What the machine lacked: figures of such a day are not of the program.
    pub not_valid: Vec<String>,
    pub rules_hold: bool,
    /// How near each rule came to its limit, 1 is at it; and on how many things it was tested.
    pub nearest: BTreeMap<String, f64>,
    pub tested: BTreeMap<String, u64>,
    pub findings: Vec<String>,
    #[serde(skip)]
    verdict: String,
}

impl Summary {
    pub fn new(count: &Count, verdict: &Verdict, moves: Option<Moves>, lacked: &Lacked) -> Summary {
        let waits = |took: &Vec<u64>| {
            let mut histogram = Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3)
                .expect("an hour in microseconds at three digits");
            took.iter().for_each(|t| histogram.saturating_record(*t));
            let ms = |q: f64| histogram.value_at_quantile(q) as f64 / 1000.0;
            Waits {
                answers: histogram.len(),
                p50: ms(0.5),
                p99: ms(0.99),
                most: ms(1.0),
            }
        };
        let named =
            |x: &BTreeMap<&'static str, f64>| x.iter().map(|(k, v)| (k.to_string(), *v)).collect();
        Summary {
            all: Got::new(&count.tallies.all),
            tenants: count
                .tallies
                .tenants
                .iter()
                .map(|(name, t)| (name.clone(), Got::new(t)))
                .collect(),
            waits: count
                .took
                .iter()
                .map(|(class, took)| (class.clone(), waits(took)))
                .collect(),
            moves,
            lag_ms: lacked.lag.as_secs_f64() * 1000.0,
            not_valid: lacked.reasons(),
            rules_hold: verdict.holds(),
            nearest: named(&verdict.nearest),
            tested: verdict
                .tested
                .iter()
                .map(|(k, v)| (k.to_string(), *v))
                .collect(),
            findings: verdict
                .findings
                .iter()
                .map(|f| format!("{}: {}", f.rule.name(), f.what))
                .collect(),
            verdict: verdict.to_string(),
        }
    }
}

impl fmt::Display for Got {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} asked: {} played, {} refused, {} failed, {} without an answer; {} broke off",
            self.asked, self.plays, self.refused, self.failed, self.unanswered, self.broken
        )?;
        writeln!(
            f,
            "{} viewers: {:.1}% turned away at least once, {:.1}% never got to watch",
            self.people,
            self.people_refused * 100.0,
            self.people_unserved * 100.0
        )?;
        writeln!(
            f,
            "worth {:.3} of what was asked for within the day (stand-in nodes)",
            self.worth
        )?;
        writeln!(f, "changes of rung {:.2} a session-minute", self.steps)?;
        let rungs: Vec<_> = self
            .rungs
            .iter()
            .map(|(r, p)| format!("{r}: {:.0}%", p * 100.0))
            .collect();
        writeln!(f, "time by rung  {}", rungs.join("  "))
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.all.fmt(f)?;
        for (tenant, got) in &self.tenants {
            write!(f, "-- tenant {tenant}\n{got}")?;
        }
        for (class, w) in &self.waits {
            let Waits {
                answers,
                p50,
                p99,
                most,
            } = w;
            writeln!(
                f,
                "answers {class:<10} {answers:>6}  p50 {p50:.0} ms  p99 {p99:.0} ms  most {most:.0} ms"
            )?;
        }
        if let Some(moves) = &self.moves {
            write!(f, "{moves}")?;
        }
        writeln!(
            f,
            "timers of the stand-ins rang up to {:.0} ms late",
            self.lag_ms
        )?;
        for why in &self.not_valid {
            writeln!(f, "NOT VALID: {why}")?;
        }
        write!(f, "{}", self.verdict)
    }
}
