//! What a day came to: what viewers got, how long they waited, and how near the rules came to be broken.

use crate::host_resources::Shortfall;
use hdrhistogram::Histogram;
use serde::Serialize;
use shalewall_audit::{MigrationReport, Verdict};
use shalewall_emulator::viewers::Count;
use shalewall_fleet_model::totals::ViewerTotals;
use std::collections::BTreeMap;
use std::fmt;

/// Longest wait that is distinguished, microseconds: an hour.
const MAX_WAIT_US: u64 = 3_600_000_000;

/// Waits of one class for an answer, milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct WaitTimes {
    /// How many answers there were.
    pub answers: u64,
    /// Half of them came within this.
    pub p50: f64,
    /// 99 of 100 came within this.
    pub p99: f64,
    /// The slowest one.
    #[serde(rename = "most")]
    pub max: f64,
}

/// What viewers got: all of them, or one tenant's.
#[derive(Clone, Debug, Serialize)]
pub struct ViewerFigures {
    /// Requests.
    #[serde(rename = "asked")]
    pub requested: u64,
    /// Answered with a session.
    #[serde(rename = "plays")]
    pub played: u64,
    /// Rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Without an answer.
    pub unanswered: u64,
    /// Sessions that broke off.
    pub broken: u64,
    /// Viewers that came.
    #[serde(rename = "people")]
    pub viewers: u64,
    /// Part of them that was rejected at least once.
    #[serde(rename = "people_refused")]
    pub viewers_rejected_fraction: f64,
    /// Part of them that never got to watch.
    #[serde(rename = "people_unserved")]
    pub viewers_unserved_fraction: f64,
    /// Changes of rung for each minute that a session played.
    #[serde(rename = "steps")]
    pub rung_changes_per_minute: f64,
    /// Worth got over worth asked for, both within the day, less what stalls and steps cost, as viewers'
    /// sockets saw it.
    pub worth: f64,
    /// Part of the time at each rung.
    pub rungs: BTreeMap<usize, f64>,
}

impl ViewerFigures {
    fn new(t: &ViewerTotals) -> ViewerFigures {
        let time = t.played_s().max(1e-9);
        ViewerFigures {
            requested: t.requested,
            played: t.played,
            rejected: t.rejected,
            failed: t.failed,
            unanswered: t.unanswered,
            broken: t.broken,
            viewers: t.viewers,
            viewers_rejected_fraction: t.viewers_rejected_fraction(),
            viewers_unserved_fraction: t.unserved_fraction(),
            rung_changes_per_minute: t.rung_changes_per_minute(),
            worth: t.worth(),
            rungs: t
                .seconds_by_rung
                .iter()
                .map(|(r, s)| (*r, s / time))
                .collect(),
        }
    }
}

/// What a day came to.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// All viewers.
    #[serde(flatten)]
    pub all: ViewerFigures,
    /// The same for each tenant's viewers, where they name any.
    pub tenants: BTreeMap<String, ViewerFigures>,
    /// Waits by class.
    pub waits: BTreeMap<String, WaitTimes>,
    /// Hand-overs and gaps, where players follow.
    #[serde(rename = "moves")]
    pub migrations: Option<MigrationReport>,
    /// The latest that a timer of the emulators fired, milliseconds.
    pub lag_ms: f64,
    /// What the machine shortfall: figures of such a day are not of the program.
    #[serde(rename = "not_valid")]
    pub invalid_reasons: Vec<String>,
    /// Whether no rule was broken.
    pub rules_hold: bool,
    /// How near each rule came to its limit; 1 is at it.
    #[serde(rename = "nearest")]
    pub max_limit_fractions: BTreeMap<String, f64>,
    /// On how many things each rule was tested.
    #[serde(rename = "tested")]
    pub checks: BTreeMap<String, u64>,
    /// Each breach of a rule.
    pub findings: Vec<String>,
    #[serde(skip)]
    verdict: String,
}

impl Summary {
    /// The summary of what was counted and judged.
    pub fn new(
        count: &Count,
        verdict: &Verdict,
        migrations: Option<MigrationReport>,
        shortfall: &Shortfall,
    ) -> Summary {
        let tenants = count.tallies.tenants.iter();
        let waits = count.took.iter();
        let coverage = verdict.coverage.iter();
        let findings = verdict.findings.iter();
        Summary {
            all: ViewerFigures::new(&count.tallies.all),
            tenants: tenants
                .map(|(name, tally)| (name.clone(), ViewerFigures::new(tally)))
                .collect(),
            waits: waits
                .map(|(class, waits)| (class.clone(), WaitTimes::new(waits)))
                .collect(),
            migrations,
            lag_ms: shortfall.timer_delay.as_secs_f64() * 1000.0,
            invalid_reasons: shortfall.reasons(),
            rules_hold: verdict.holds(),
            max_limit_fractions: coverage
                .clone()
                .map(|(rule, coverage)| (rule.name().to_string(), coverage.max_limit_fraction))
                .collect(),
            checks: coverage
                .map(|(rule, coverage)| (rule.name().to_string(), coverage.checks))
                .collect(),
            findings: findings
                .map(|finding| format!("{}: {}", finding.rule.name(), finding.evidence))
                .collect(),
            verdict: verdict.to_string(),
        }
    }
}

impl WaitTimes {
    /// `waits`: one for each answer, microseconds.
    fn new(waits: &[u64]) -> WaitTimes {
        let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_WAIT_US, 3)
            .expect("an hour in microseconds at three digits");
        for wait in waits {
            histogram.saturating_record(*wait);
        }
        let millis_at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        WaitTimes {
            answers: histogram.len(),
            p50: millis_at(0.5),
            p99: millis_at(0.99),
            max: millis_at(1.0),
        }
    }
}

impl fmt::Display for ViewerFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} asked: {} played, {} refused, {} failed, {} without an answer; {} broke off",
            self.requested, self.played, self.rejected, self.failed, self.unanswered, self.broken
        )?;
        writeln!(
            f,
            "{} viewers: {:.1}% turned away at least once, {:.1}% never got to watch",
            self.viewers,
            self.viewers_rejected_fraction * 100.0,
            self.viewers_unserved_fraction * 100.0
        )?;
        writeln!(
            f,
            "worth {:.3} of what was asked for within the day (stand-in nodes)",
            self.worth
        )?;
        writeln!(
            f,
            "changes of rung {:.2} a session-minute",
            self.rung_changes_per_minute
        )?;
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
            let WaitTimes {
                answers,
                p50,
                p99,
                max,
            } = w;
            writeln!(
                f,
                "answers {class:<10} {answers:>6}  p50 {p50:.0} ms  p99 {p99:.0} ms  most {max:.0} ms"
            )?;
        }
        if let Some(migrations) = &self.migrations {
            write!(f, "{migrations}")?;
        }
        writeln!(
            f,
            "timers of the stand-ins rang up to {:.0} ms late",
            self.lag_ms
        )?;
        for why in &self.invalid_reasons {
            writeln!(f, "NOT VALID: {why}")?;
        }
        write!(f, "{}", self.verdict)
    }
}
