//! Summary of a day: results of viewers, response latencies, and how close each rule came to its limit.

use crate::host_resources::Shortfall;
use hdrhistogram::Histogram;
use serde::Serialize;
use shalewall_audit::{MigrationReport, Verdict};
use shalewall_emulator::viewers::ViewerResults;
use shalewall_fleet_model::totals::ViewerTotals;
use std::collections::BTreeMap;
use std::fmt;

/// Largest latency that the histogram distinguishes, one hour in microseconds.
const MAX_WAIT_US: u64 = 3_600_000_000;

/// Response latencies of one class, milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct WaitTimes {
    /// Number of responses.
    pub answers: u64,
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    #[serde(rename = "most")]
    pub max: f64,
}

/// Results of all viewers, or of one tenant's.
#[derive(Clone, Debug, Serialize)]
pub struct ViewerFigures {
    /// Requests sent.
    #[serde(rename = "asked")]
    pub requested: u64,
    /// Requests whose session played.
    #[serde(rename = "plays")]
    pub played: u64,
    /// Requests that were rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests with a failure response.
    pub failed: u64,
    /// Requests without a response.
    pub unanswered: u64,
    /// Sessions that were interrupted.
    pub broken: u64,
    /// Viewers that arrived.
    #[serde(rename = "people")]
    pub viewers: u64,
    /// Fraction of viewers that was rejected at least once.
    #[serde(rename = "people_refused")]
    pub viewers_rejected_fraction: f64,
    /// Fraction of viewers whose session never played.
    #[serde(rename = "people_unserved")]
    pub viewers_unserved_fraction: f64,
    /// Changes of rung per minute of playback.
    #[serde(rename = "steps")]
    pub rung_changes_per_minute: f64,
    /// Earned worth as a fraction of the offered worth within the day, less the cost of stalls and changes of rung, as
    /// measured at the viewers' sockets.
    pub worth: f64,
    /// Fraction of the playback time at each rung.
    pub rungs: BTreeMap<usize, f64>,
}

impl ViewerFigures {
    fn new(totals: &ViewerTotals) -> ViewerFigures {
        let time = totals.played_s().max(1e-9);
        ViewerFigures {
            requested: totals.requested,
            played: totals.played,
            rejected: totals.rejected,
            failed: totals.failed,
            unanswered: totals.unanswered,
            broken: totals.broken,
            viewers: totals.viewers,
            viewers_rejected_fraction: totals.viewers_rejected_fraction(),
            viewers_unserved_fraction: totals.unserved_fraction(),
            rung_changes_per_minute: totals.rung_changes_per_minute(),
            worth: totals.worth(),
            rungs: totals
                .seconds_by_rung
                .iter()
                .map(|(r, s)| (*r, s / time))
                .collect(),
        }
    }
}

/// Summary of a day.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Results of all viewers.
    #[serde(flatten)]
    pub all: ViewerFigures,
    /// Results of each tenant's viewers, if viewers name a tenant.
    pub tenants: BTreeMap<String, ViewerFigures>,
    /// Response latencies by class.
    pub waits: BTreeMap<String, WaitTimes>,
    /// Migrations and playback gaps, if players support migration.
    #[serde(rename = "moves")]
    pub migrations: Option<MigrationReport>,
    /// Largest delay of the emulators' timers, milliseconds.
    pub lag_ms: f64,
    /// Reasons why the day is not valid: resource shortages of the machine.
    #[serde(rename = "not_valid")]
    pub invalid_reasons: Vec<String>,
    /// Whether no rule was violated.
    pub rules_hold: bool,
    /// Largest fraction of its limit that each rule reached; 1 is the limit.
    #[serde(rename = "nearest")]
    pub max_limit_fractions: BTreeMap<String, f64>,
    /// Number of checks of each rule.
    #[serde(rename = "tested")]
    pub checks: BTreeMap<String, u64>,
    /// Violations of rules.
    pub findings: Vec<String>,
    #[serde(skip)]
    verdict: String,
}

impl Summary {
    /// Creates the summary from the viewers' results and the verdict.
    pub fn new(
        results: &ViewerResults,
        verdict: &Verdict,
        migrations: Option<MigrationReport>,
        shortfall: &Shortfall,
    ) -> Summary {
        let tenants = results.totals.tenants.iter();
        let waits = results.latencies_us.iter();
        let coverage = verdict.coverage.iter();
        let findings = verdict.findings.iter();
        Summary {
            all: ViewerFigures::new(&results.totals.all),
            tenants: tenants
                .map(|(name, totals)| (name.clone(), ViewerFigures::new(totals)))
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
    /// Creates the figures from the latency of each response in microseconds.
    fn new(waits: &[u64]) -> WaitTimes {
        let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_WAIT_US, 3)
            .expect("histogram bounds of one hour in microseconds at three digits are valid");
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
        for (tenant, figures) in &self.tenants {
            write!(f, "-- tenant {tenant}\n{figures}")?;
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
