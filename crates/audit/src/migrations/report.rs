//! Report on the migrations and gaps of a day, as part of the JSON summary and as text.

use crate::micros;
use serde::Serialize;
use shalewall::TimeDelta;
use std::collections::BTreeMap;
use std::fmt;

/// Cause of a playback gap, derived from nodes and endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GapCause {
    /// The node died, or was listed as draining or gone.
    #[serde(rename = "death")]
    NodeLost,
    /// The node's process was frozen.
    #[serde(rename = "freeze")]
    NodeFrozen,
    /// The demand on the node's link or uplink exceeded the bandwidth.
    Shortage,
    /// Any other cause.
    Other,
}

/// Name that reports use.
impl fmt::Display for GapCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            GapCause::NodeLost => "Death",
            GapCause::NodeFrozen => "Freeze",
            GapCause::Shortage => "Shortage",
            GapCause::Other => "Other",
        })
    }
}

/// Results of the migrations of a day. Durations are microseconds in JSON.
#[derive(Clone, Debug, Default, Serialize)]
pub struct MigrationReport {
    /// Migrations whose player fetched from the target.
    #[serde(rename = "made")]
    pub completed: u64,
    /// Completed migrations from a node that was healthy, or recovered within 2 s.
    pub regretted: u64,
    /// Largest number of migrations of one session.
    #[serde(rename = "most")]
    pub most_per_session: u64,
    /// The longest gap around each migration, in order of length; zero if there was none.
    #[serde(rename = "gaps", serialize_with = "micros::serialize_list")]
    pub longest_gaps: Vec<TimeDelta>,
    /// Gaps over 200 ms of all sessions for which another node had capacity, by cause.
    #[serde(rename = "with_room")]
    pub gaps_with_capacity: BTreeMap<GapCause, u64>,
    /// Gaps over 200 ms for which no other node had capacity, by cause.
    #[serde(rename = "without")]
    pub gaps_without_capacity: BTreeMap<GapCause, u64>,
    /// Descriptions of the longest gaps for which another node had capacity.
    #[serde(rename = "worst")]
    pub worst_gaps: Vec<String>,
    /// Total length of all gaps.
    #[serde(rename = "stood", serialize_with = "micros::serialize")]
    pub total_gap_time: TimeDelta,
    /// Number of session epochs that two nodes served.
    pub served_twice: u64,
}

impl MigrationReport {
    /// Quantile of the longest gaps around the migrations, with `fraction` from 0 to 1; zero without migrations.
    pub fn gap_quantile(&self, fraction: f64) -> TimeDelta {
        let count = self.longest_gaps.len();
        let rank = (count as f64 * fraction).ceil() as usize;
        let index = rank.clamp(1, count.max(1)) - 1;
        self.longest_gaps.get(index).copied().unwrap_or_default()
    }
}

impl fmt::Display for MigrationReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis_at = |fraction| self.gap_quantile(fraction).as_millis();
        writeln!(
            f,
            "moves {}, {} regretted, most of one session {}; gaps around them p50 {} ms, p99 {} ms, most {} ms",
            self.completed,
            self.regretted,
            self.most_per_session,
            millis_at(0.5),
            millis_at(0.99),
            millis_at(1.0)
        )?;
        writeln!(
            f,
            "gaps over 200 ms: with room elsewhere {}; without {}; all gaps together {:.1} s; epochs served twice {}",
            causes_text(&self.gaps_with_capacity),
            causes_text(&self.gaps_without_capacity),
            self.total_gap_time.as_secs_f64(),
            self.served_twice
        )?;
        for description in &self.worst_gaps {
            writeln!(f, "  {description}")?;
        }
        Ok(())
    }
}

fn causes_text(counts: &BTreeMap<GapCause, u64>) -> String {
    if counts.is_empty() {
        return "none".to_string();
    }
    let counts = counts.iter();
    let texts: Vec<String> = counts
        .map(|(cause, count)| format!("{count} {cause}"))
        .collect();
    texts.join(", ")
}
