//! What is believed of links and uplinks, and when that is forgotten.

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
fn a_server_believed_full_is_retried_when_no_report_confirms_it() {
    // Found by the audit run: notes come only on own sessions, so without any the belief stood for ever.
    for note in [
        Notification::LinkUtilization(1.2),
        Notification::UplinkUtilization(1.2),
        Notification::DeliveredFraction(0.5),
    ] {
        let mut harness = DirectorHarness::new(settings(), 1);
        harness.notify(99, ServerId(1), note);
        assert!(
            is_rejected(&harness.request_session(1, IDEMPOTENT)),
            "{note:?}"
        );
        for _ in 0..200 {
            harness.now += 200 * MILLISECOND;
            harness.fire_tick();
        }
        assert!(
            attempted_server(&harness.request_session(2, IDEMPOTENT)).is_some(),
            "{note:?}"
        );
    }
}

#[test]
fn a_shortage_where_the_link_is_not_full_is_one_of_the_uplink() {
    // Incident iefaf2e: no report of uplinks came for the whole day, only notes of short delivery.
    let mut harness = DirectorHarness::new(settings(), 4);
    for id in 1..=4 {
        harness.report_utilization(99, ServerId(id), if id % 2 == 1 { 0.2 } else { 0.5 }, 0.3);
    }
    assert!(
        attempted_server(&harness.request_session(1, IDEMPOTENT)).is_some_and(|s| s.0 % 2 == 1),
        "the emptier links"
    );
    // Servers 1 and 3 share a rack: what 1 tells bears on 3.
    for _ in 0..4 {
        harness.notify(99, ServerId(1), Notification::DeliveredFraction(0.7));
    }
    assert!(
        attempted_server(&harness.request_session(2, IDEMPOTENT)).is_some_and(|s| s.0 % 2 == 0),
        "the other rack"
    );
}

#[test]
fn a_crowd_between_two_reports_is_counted_for_the_other_directors_too() {
    // Incident id3f40a: every director saw the same free capacity and all filled it.
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
