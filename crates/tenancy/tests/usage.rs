//! Usage reports of directors: when a tenant is drained, and whose sessions are requested.

mod support;

use shalewall_tenancy::tenant::TenantId;
use shalewall_tenancy::usage::{DirectorUsage, ReportedSession, UsageReport, UsageTracker};
use std::collections::BTreeMap;
use support::id;

fn report(director: u32, change_number: u64, counts: &[(&str, u64)]) -> UsageReport {
    let counts = counts.iter().map(|(tenant, count)| (id(tenant), *count));
    UsageReport {
        director,
        change_number,
        session_counts: counts.collect(),
        sessions: BTreeMap::new(),
    }
}

#[test]
fn a_tenant_is_drained_when_all_possibly_running_directors_report_no_session() {
    let tenant = id("a");
    let mut usage = UsageTracker::new(0, 60_000);
    assert!(
        !usage.is_drained(1_000, &tenant, 1),
        "the tracker has not run long enough to know all directors"
    );
    usage.record(70_000, report(1, 9, &[("a", 1)])).unwrap();
    usage.record(70_000, report(2, 9, &[])).unwrap();
    assert!(
        !usage.is_drained(70_001, &tenant, 9),
        "director 1 holds a session"
    );
    usage.record(71_000, report(1, 9, &[])).unwrap();
    assert!(usage.is_drained(71_001, &tenant, 9));
    assert!(
        !usage.is_drained(71_001, &tenant, 10),
        "the directors have not applied change 10"
    );
    usage.record(80_000, report(1, 10, &[])).unwrap();
    assert!(
        !usage.is_drained(80_001, &tenant, 10),
        "director 2 has not reported recently, and may still hold sessions"
    );
    usage.record(131_000, report(1, 10, &[])).unwrap();
    assert!(
        usage.is_drained(131_001, &tenant, 10),
        "director 2 is considered gone"
    );
    let expected = DirectorUsage {
        director: 1,
        session_count: 0,
        age_ms: 1,
    };
    assert_eq!(usage.usage_by_director(131_001, &tenant), [expected]);
}

#[test]
fn sessions_are_requested_for_a_while_after_a_query() {
    let mut usage = UsageTracker::new(0, 60_000);
    let report_with = |sessions: BTreeMap<TenantId, Vec<ReportedSession>>| UsageReport {
        sessions,
        ..report(1, 9, &[("a", 1)])
    };
    let nothing: Vec<TenantId> = Vec::new();
    let requested = usage.record(1_000, report_with(BTreeMap::new()));
    assert_eq!(requested, Ok(nothing.clone()));
    assert_eq!(
        usage.sessions_by_director(1_500, &id("a"))[0].sessions,
        None,
        "the sessions have not been requested yet"
    );
    let requested = usage.record(2_000, report_with(BTreeMap::new()));
    assert_eq!(requested, Ok(vec![id("a")]));
    let session = ReportedSession {
        session: 7,
        class: "room".to_string(),
        title: "monday".to_string(),
        node: Some(3),
        rung: 1,
        is_playing: true,
    };
    let sessions = BTreeMap::from([(id("a"), vec![session.clone()])]);
    usage.record(3_000, report_with(sessions)).unwrap();
    let of_director = &usage.sessions_by_director(3_400, &id("a"))[0];
    assert_eq!(of_director.age_ms, 400);
    assert_eq!(of_director.session_count, 1);
    assert_eq!(of_director.sessions, Some(vec![session]));
    assert_eq!(
        usage.sessions_by_director(3_400, &id("b"))[0].sessions,
        None,
        "the report contains no sessions of tenant b"
    );
    assert_eq!(
        usage.record(20_000, report_with(BTreeMap::new())),
        Ok(nothing),
        "the request has expired"
    );
}
