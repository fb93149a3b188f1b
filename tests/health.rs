//! Failing servers, health checks, and stalls of the director's own process.

mod common;

use common::{
    AT_MOST_ONCE, DirectorHarness, IDEMPOTENT, MILLISECOND, SECOND, attempted_server, endpoint,
    is_rejected, settings,
};
use shalewall::{
    Action, Endpoint, EndpointState, EndpointUpdate, Event, LoadReport, Notification, Outcome,
    ServerId, SessionId,
};

/// A director with one server and no retry budget, after an idempotent attempt at that server with this outcome.
fn harness_after(outcome: Outcome) -> (DirectorHarness, ServerId) {
    let mut settings = settings();
    settings.rules.retry_budget = None;
    let mut harness = DirectorHarness::new(settings, 1);
    let server = attempted_server(&harness.request_session(1, IDEMPOTENT)).unwrap();
    harness.finish_attempt(1, 0, server, outcome);
    (harness, server)
}

#[test]
fn a_failing_server_is_treated_as_warming_up_and_gets_only_idempotent_trials() {
    let (mut harness, server) = harness_after(Outcome::ConnectionFailed);
    assert!(
        is_rejected(&harness.request_session(2, IDEMPOTENT)),
        "the server is ejected"
    );
    harness.now += 2 * SECOND;
    assert!(
        is_rejected(&harness.request_session(3, AT_MOST_ONCE)),
        "no at-most-once attempt as a trial"
    );
    assert!(
        attempted_server(&harness.request_session(4, IDEMPOTENT)).is_some(),
        "one trial attempt"
    );
    assert!(
        is_rejected(&harness.request_session(5, IDEMPOTENT)),
        "only one trial at a time"
    );
    harness.start_session(4, 0, server);
    let sent: Vec<u64> = (10..30)
        .filter(|id| attempted_server(&harness.request_session(*id, IDEMPOTENT)).is_some())
        .collect();
    assert!(
        sent.len() < 8,
        "it may be warming up after the trial: {sent:?} sent"
    );
    for id in sent {
        harness.finish_attempt(id, 0, server, Outcome::Success);
    }
    harness.now += 12 * SECOND;
    assert!(attempted_server(&harness.request_session(7, AT_MOST_ONCE)).is_some());
}

#[test]
fn errors_eject_a_server_and_notifications_do_not_readmit_it() {
    // A server that fails set-ups at once has the least load, so it attracted every attempt (incident id52cfd).
    let (mut harness, server) = harness_after(Outcome::Error);
    harness.notify(1, server, Notification::LinkUtilization(0.1));
    harness.now += 2 * SECOND;
    assert!(
        is_rejected(&harness.request_session(2, AT_MOST_ONCE)),
        "no at-most-once attempt before an idempotent trial"
    );
    assert!(attempted_server(&harness.request_session(3, IDEMPOTENT)).is_some());
}

#[test]
fn a_stalled_director_counts_no_timeout_against_a_server() {
    // The batch after a stall contains timeouts that the director's own stall has caused; connection resets in it
    // count.
    for (outcome, is_stalled, is_available) in [
        (Outcome::TimedOut, true, true),
        (Outcome::TimedOut, false, false),
        (Outcome::ConnectionReset, true, false),
    ] {
        let mut settings = settings();
        settings.rules.retry_budget = None;
        let mut harness = DirectorHarness::new(settings, 1);
        harness.fire_tick();
        let server = attempted_server(&harness.request_session(1, IDEMPOTENT)).unwrap();
        if is_stalled {
            harness.now += 2 * SECOND
        } else {
            harness.advance(2 * SECOND)
        }
        harness.finish_attempt(1, 0, server, outcome);
        assert_eq!(
            attempted_server(&harness.request_session(2, AT_MOST_ONCE)).is_some(),
            is_available,
            "{outcome:?}, stalled: {is_stalled}"
        );
    }
}

#[test]
fn cheap_health_checks_are_sent_to_unreported_servers_before_the_attempt() {
    let checked = |out: &[Action]| {
        let checked_server = |a: &Action| match a {
            Action::CheckHealth { server } => Some(*server),
            _ => None,
        };
        out.iter().filter_map(checked_server).collect::<Vec<_>>()
    };
    let mut settings = settings();
    settings.limits.can_check_health = true;
    for (price, want) in [(0.01, 2), (0.02, 1), (0.5, 0)] {
        settings.limits.health_check_price = price;
        let mut harness = DirectorHarness::new(settings.clone(), 4);
        harness.advance(6 * SECOND);
        let out = harness.request_session(1, IDEMPOTENT);
        assert_eq!(
            (checked(&out).len(), attempted_server(&out).is_none()),
            (want, want > 0),
            "at {price}"
        );
        // When all checks have finished, one attempt is sent, and the timer of the health checks has no effect.
        for (i, server) in checked(&out).into_iter().enumerate() {
            let load = LoadReport {
                link_utilization: Some(0.5 - i as f64 / 10.0),
                ..LoadReport::default()
            };
            let out = harness.handle(Event::HealthCheckFinished {
                server,
                outcome: Outcome::Success,
                load_report: load,
            });
            assert_eq!(
                attempted_server(&out).is_some(),
                i + 1 == want,
                "decided when all checks have finished"
            );
        }
        harness.now += 60 * MILLISECOND;
        assert!(harness.handle(Event::TimerFired(1)).is_empty());
    }
    // Without answers, the request is decided on the existing reports. For a withdrawn one nothing is sent.
    settings.limits.health_check_price = 0.01;
    let mut harness = DirectorHarness::new(settings, 4);
    harness.advance(6 * SECOND);
    harness.request_session(1, IDEMPOTENT);
    harness.request_session(2, IDEMPOTENT);
    harness.handle(Event::RequestWithdrawn(SessionId(2)));
    harness.now += 60 * MILLISECOND;
    assert!(attempted_server(&harness.handle(Event::TimerFired(1))).is_some());
    assert!(harness.handle(Event::TimerFired(2)).is_empty());
}

#[test]
fn a_health_check_does_not_admit_a_gone_or_failing_server() {
    let mut settings = settings();
    settings.limits.can_check_health = true;
    settings.limits.health_check_price = 0.01;
    let mut harness = DirectorHarness::new(settings, 2);
    harness.advance(6 * SECOND);
    assert!(
        attempted_server(&harness.request_session(1, AT_MOST_ONCE)).is_none(),
        "the request waits for its health checks"
    );
    harness.update_endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint {
            state: EndpointState::Gone,
            ..endpoint(1)
        }],
    );
    let load = LoadReport {
        link_utilization: Some(0.0),
        ..LoadReport::default()
    };
    assert!(
        attempted_server(&harness.handle(Event::HealthCheckFinished {
            server: ServerId(1),
            outcome: Outcome::Success,
            load_report: load
        }))
        .is_none()
    );
    let out = harness.handle(Event::HealthCheckFinished {
        server: ServerId(2),
        outcome: Outcome::TimedOut,
        load_report: LoadReport::default(),
    });
    assert!(
        is_rejected(&out),
        "the least loaded server is gone, and a failing one gets no at-most-once attempt"
    );
}
