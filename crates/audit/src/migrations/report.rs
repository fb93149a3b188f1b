//! The report on the migrations and gaps of a day, in the summary's JSON form and as text.

use crate::micros;
use serde::Serialize;
use shalewall::TimeDelta;
use std::collections::BTreeMap;
use std::fmt;

/// Why a picture stood still, as far as nodes and endpoint list show it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GapCause {
    /// Its node died, or was draining.
    #[serde(rename = "death")]
    NodeLost,
    /// Its node's process stood still.
    #[serde(rename = "freeze")]
    NodeFrozen,
    /// Links or uplinks gave less than was requested.
    Shortage,
    /// None of these.
    Other,
}

/// The name that reports use.
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

/// What the migrations of a day came to. Lengths of time are microseconds in JSON.
#[derive(Clone, Debug, Default, Serialize)]
pub struct MigrationReport {
    /// Migrations whose player fetched at the target.
    #[serde(rename = "made")]
    pub completed: u64,
    /// Of these, from a node that was healthy, or was again within 2 s.
    pub regretted: u64,
    /// Most migrations of one session.
    #[serde(rename = "most")]
    pub most_per_session: u64,
    /// The longest gap around each migration, in order of length; zero: none.
    #[serde(rename = "gaps", serialize_with = "micros::serialize_list")]
    pub longest_gaps: Vec<TimeDelta>,
    /// Gaps over 200 ms of all sessions, by cause, where another node had capacity.
    #[serde(rename = "with_room")]
    pub gaps_with_capacity: BTreeMap<GapCause, u64>,
    /// The same where no other node had.
    #[serde(rename = "without")]
    pub gaps_without_capacity: BTreeMap<GapCause, u64>,
    /// Descriptions of the longest gaps where another node had capacity.
    #[serde(rename = "worst")]
    pub worst_gaps: Vec<String>,
    /// The length of all gaps together.
    #[serde(rename = "stood", serialize_with = "micros::serialize")]
    pub total_gap_time: TimeDelta,
    /// Epochs of a session that two nodes served.
    pub served_twice: u64,
}

impl MigrationReport {
    /// The gap that this fraction of the migrations stays within.
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
