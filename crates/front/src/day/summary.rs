//! What a day came to.

use hdrhistogram::Histogram;
use serde::Serialize;
use shalewall_audit::Verdict;
use shalewall_standins::viewers::Count;
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

#[derive(Clone, Debug, Serialize)]
pub struct Summary {
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
    pub waits: BTreeMap<String, Waits>,
    pub rules_hold: bool,
    /// How near each rule came to its limit, 1 is at it; and on how many things it was tested.
    pub nearest: BTreeMap<String, f64>,
    pub tested: BTreeMap<String, u64>,
    pub findings: Vec<String>,
    #[serde(skip)]
    verdict: String,
}

impl Summary {
    pub fn new(count: &Count, verdict: &Verdict) -> Summary {
        let people = (count.people as f64).max(1.0);
        let time: f64 = count.rungs.values().sum();
        let waits = |took: &Vec<u64>| {
            let mut histogram = Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3)
                .expect("an hour in microseconds at three digits");
            took.iter().for_each(|t| histogram.saturating_record(*t));
            let ms = |q: f64| histogram.value_at_quantile(q) as f64 / 1000.0;
            Waits { answers: histogram.len(), p50: ms(0.5), p99: ms(0.99), most: ms(1.0) }
        };
        let named = |x: &BTreeMap<&'static str, f64>| x.iter().map(|(k, v)| (k.to_string(), *v)).collect();
        Summary {
            asked: count.asked,
            plays: count.plays,
            refused: count.refused,
            failed: count.failed,
            unanswered: count.unanswered,
            broken: count.broken,
            people: count.people,
            people_refused: count.people_refused as f64 / people,
            people_unserved: count.people_unserved as f64 / people,
            steps: count.steps as f64 * 60.0 / time.max(1e-9),
            worth: count.worth_got / count.worth_asked.max(1e-9),
            rungs: count.rungs.iter().map(|(r, s)| (*r, s / time.max(1e-9))).collect(),
            waits: count.took.iter().map(|(class, took)| (class.clone(), waits(took))).collect(),
            rules_hold: verdict.holds(),
            nearest: named(&verdict.nearest),
            tested: verdict.tested.iter().map(|(k, v)| (k.to_string(), *v)).collect(),
            findings: verdict.findings.iter().map(|f| format!("{}: {}", f.rule.name(), f.what)).collect(),
            verdict: verdict.to_string(),
        }
    }
}

impl fmt::Display for Summary {
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
        writeln!(f, "worth {:.3} of what was asked for within the day (stand-in nodes)", self.worth)?;
        writeln!(f, "changes of rung {:.2} a session-minute", self.steps)?;
        let rungs: Vec<_> = self.rungs.iter().map(|(r, p)| format!("{r}: {:.0}%", p * 100.0)).collect();
        writeln!(f, "time by rung  {}", rungs.join("  "))?;
        for (class, w) in &self.waits {
            let Waits { answers, p50, p99, most } = w;
            writeln!(
                f,
                "answers {class:<10} {answers:>6}  p50 {p50:.0} ms  p99 {p99:.0} ms  most {most:.0} ms"
            )?;
        }
        write!(f, "{}", self.verdict)
    }
}
