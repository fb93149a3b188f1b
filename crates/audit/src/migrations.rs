//! Review of migrations and playback gaps in a recording: whether a migration was needed, and whether a gap could have
//! been avoided.
//!
//! [`Observations`] collects nodes, sessions and gaps from the records; [`NodeHistory`](node_history::NodeHistory)
//! answers queries about the state of a node at a time. This module evaluates the migrations and the gaps.

mod node_history;
mod observations;
mod report;

use crate::record::Record;
use crate::rules::Rules;
use observations::{Gap, Migration, Observations};
pub use report::{GapCause, MigrationReport};
use shalewall::TimeDelta;
use std::collections::BTreeMap;

/// Gaps longer than this count as avoidable if another node had capacity.
const GAP_LIMIT: TimeDelta = TimeDelta::from_millis(200);
/// Time before a gap in which a fault of the node may be its cause; players' buffers are shorter than this.
const GAP_CAUSE_WINDOW: TimeDelta = TimeDelta::from_secs(8);
/// A migration from a node that is healthy again within this time was not needed.
const REGRET_WINDOW: TimeDelta = TimeDelta::from_secs(2);
/// A gap belongs to a migration if it ends at most this time before the migration was requested.
const GAP_MARGIN_BEFORE: TimeDelta = TimeDelta::from_secs(1);
/// A gap belongs to a migration if it starts at most this time after the player's fetch from the target.
const GAP_MARGIN_AFTER: TimeDelta = TimeDelta::from_secs(2);
/// Number of gaps that the report describes.
const DESCRIBED_GAPS: usize = 10;

/// Reviews the migrations and gaps of a recording. `records` must be in order of time.
pub fn review_migrations(records: &[Record], rules: &Rules) -> MigrationReport {
    let mut observations = Observations::default();
    for record in records {
        observations.process(record);
    }
    let mut report = MigrationReport {
        served_twice: observations.served_twice,
        ..MigrationReport::default()
    };
    review_each_migration(&mut observations, &mut report);
    review_gaps(&observations, rules, &mut report);
    report
}

fn review_each_migration(observations: &mut Observations, report: &mut MigrationReport) {
    let mut per_session: BTreeMap<u64, u64> = BTreeMap::new();
    for migration in observations.migrations() {
        let Some(source) = observations.complete_migration(&migration) else {
            continue;
        };
        let count = per_session.entry(migration.session).or_default();
        *count += 1;
        report.completed += 1;
        report.most_per_session = report.most_per_session.max(*count);
        report.regretted += u64::from(is_regretted(observations, &migration, source));
        let gap = longest_gap_around(observations, &migration);
        report.longest_gaps.push(gap);
    }
    report.longest_gaps.sort_unstable();
}

/// Whether the migration was not needed: the source was healthy or recovered within [`REGRET_WINDOW`], and was not
/// draining, gone or short of bandwidth.
fn is_regretted(observations: &Observations, migration: &Migration, source: u64) -> bool {
    let requested_at = migration.requested_at;
    let from = requested_at - GAP_CAUSE_WINDOW;
    let until = requested_at + REGRET_WINDOW;
    let director = observations.sessions[&migration.session].director;
    let history = &observations.nodes[&source];
    let recovered = history.is_up(requested_at) && history.is_healthy(until);
    let healthy = history.is_healthy(requested_at) || recovered;
    let leaves = observations.was_leaving(director, source, from, until);
    healthy && !leaves && !history.was_short(from, until)
}

/// Longest gap of the session around a migration; zero if there is none.
fn longest_gap_around(observations: &Observations, migration: &Migration) -> TimeDelta {
    let earliest = migration.requested_at - GAP_MARGIN_BEFORE;
    let latest = migration.fetched_at + GAP_MARGIN_AFTER;
    let gaps = observations.gaps.iter();
    let near = gaps.filter(|gap| {
        gap.session == migration.session
            && gap.start + gap.length >= earliest
            && gap.start <= latest
    });
    near.map(|gap| gap.length).max().unwrap_or(TimeDelta::ZERO)
}

/// A long gap that a migration to another node could have avoided. Ordered by length.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct AvoidableGap {
    length: TimeDelta,
    description: String,
}

fn review_gaps(observations: &Observations, rules: &Rules, report: &mut MigrationReport) {
    let mut avoidable = Vec::new();
    for gap in &observations.gaps {
        report.total_gap_time += gap.length;
        if gap.length > GAP_LIMIT {
            avoidable.extend(review_long_gap(observations, rules, gap, report));
        }
    }
    avoidable.sort();
    let longest = avoidable.into_iter().rev().take(DESCRIBED_GAPS);
    report.worst_gaps = longest.map(|gap| gap.description).collect();
}

/// Counts a long gap by its cause. Returns it if another node could have avoided it.
fn review_long_gap(
    observations: &Observations,
    rules: &Rules,
    gap: &Gap,
    report: &mut MigrationReport,
) -> Option<AvoidableGap> {
    let session = observations.sessions.get(&gap.session)?;
    let node = session.node_before(gap.start);
    let cause = observations.gap_cause(session, node, gap.start);
    if !observations.other_node_had_capacity(rules, session, node, gap.start) {
        *report.gaps_without_capacity.entry(cause).or_default() += 1;
        return None;
    }
    *report.gaps_with_capacity.entry(cause).or_default() += 1;
    let description = format!(
        "{cause}: session {} at node {node}, {} ms at {:.3} s",
        gap.session,
        gap.length.as_millis(),
        gap.start.as_micros() as f64 / 1e6
    );
    Some(AvoidableGap {
        length: gap.length,
        description,
    })
}
