//! Estimates of links and uplinks, and their expiry.

mod common;

use common::{DirectorHarness, IDEMPOTENT, MILLISECOND, attempted_server, is_rejected, settings};
use shalewall::{Notification, ServerId, Settings};

#[test]
fn a_report_of_short_delivery_marks_the_link_full_until_cleared() {
    let mut harness = DirectorHarness::new(settings(), 1);
    harness.notify(99, ServerId(1), Notification::DeliveredFraction(0.9));
    assert!(is_rejected(&harness.request_session(1, IDEMPOTENT)));
    harness.notify(99, ServerId(1), Notification::DeliveredFraction(0.99));
    assert!(attempted_server(&harness.request_session(2, IDEMPOTENT)).is_some());
}

#[test]
fn a_full_server_is_retried_when_its_reports_expire() {
    // Notifications come only with own sessions. Without expiry, a server without sessions was considered full forever.
    for notification in [
        Notification::LinkUtilization(1.2),
        Notification::UplinkUtilization(1.2),
        Notification::DeliveredFraction(0.5),
    ] {
        let mut harness = DirectorHarness::new(settings(), 1);
        harness.notify(99, ServerId(1), notification);
        assert!(
            is_rejected(&harness.request_session(1, IDEMPOTENT)),
            "{notification:?}"
        );
        for _ in 0..200 {
            harness.now += 200 * MILLISECOND;
            harness.fire_tick();
        }
        assert!(
            attempted_server(&harness.request_session(2, IDEMPOTENT)).is_some(),
            "{notification:?}"
        );
    }
}

#[test]
fn a_shortage_on_a_link_that_is_not_full_is_attributed_to_the_uplink() {
    // A fleet may report no uplink utilization at all, only shortages (incident iefaf2e).
    let mut harness = DirectorHarness::new(settings(), 4);
    for id in 1..=4 {
        harness.report_utilization(99, ServerId(id), if id % 2 == 1 { 0.2 } else { 0.5 }, 0.3);
    }
    assert!(
        attempted_server(&harness.request_session(1, IDEMPOTENT)).is_some_and(|s| s.0 % 2 == 1),
        "a server with a less loaded link"
    );
    // Servers 1 and 3 share a rack, so a shortage at 1 affects 3 as well.
    for _ in 0..4 {
        harness.notify(99, ServerId(1), Notification::DeliveredFraction(0.7));
    }
    assert!(
        attempted_server(&harness.request_session(2, IDEMPOTENT)).is_some_and(|s| s.0 % 2 == 0),
        "the other rack"
    );
}

#[test]
fn unreported_setups_are_assumed_of_the_other_directors_too() {
    // Between two reports, every director saw the same free capacity and all of them filled it (incident id3f40a).
    let taken = |directors| {
        let mut settings = Settings {
            director_count: directors,
            ..settings()
        };
        settings.rules.retry_budget = None;
        let mut harness = DirectorHarness::new(settings, 1);
        harness.report_utilization(99, ServerId(1), 0.3, 0.1);
        (1..60)
            .filter(|id| attempted_server(&harness.request_session(*id, IDEMPOTENT)).is_some())
            .count()
    };
    assert!(taken(4) < taken(1), "{} and {}", taken(4), taken(1));
}
