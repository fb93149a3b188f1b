//! Attempts, retries and final answers. Each test covers one rule and fails without it.

mod common;

use common::{
    AT_MOST_ONCE, DirectorHarness, IDEMPOTENT, MILLISECOND, SECOND, attempted_server, chosen_rung,
    endpoint, is_failed, is_rejected, settings, viewer_request,
};
use shalewall::{
    Action, Director, Endpoint, EndpointState, EndpointUpdate, Event, Notification, Outcome,
    Request, ServerId, SessionId, Settings, TimeDelta, Timestamp,
};

#[test]
fn an_at_most_once_attempt_that_may_have_run_fails_at_once_and_is_never_resent() {
    for outcome in [
        Outcome::TimedOut,
        Outcome::ConnectionReset,
        Outcome::Error,
        Outcome::Cancelled,
    ] {
        let mut harness = DirectorHarness::new(settings(), 4);
        let server = attempted_server(&harness.request_session(1, AT_MOST_ONCE)).unwrap();
        let out = harness.finish_attempt(1, 0, server, outcome);
        assert!(
            is_failed(&out) && attempted_server(&out).is_none() && !is_rejected(&out),
            "{outcome:?}"
        );
    }
}

#[test]
fn an_at_most_once_attempt_that_never_ran_is_retried_at_another_server() {
    for outcome in [
        Outcome::Rejected,
        Outcome::ConnectionFailed,
        Outcome::NotSent,
    ] {
        let mut harness = DirectorHarness::new(settings(), 4);
        let server = attempted_server(&harness.request_session(1, AT_MOST_ONCE)).unwrap();
        let next = attempted_server(&harness.finish_attempt(1, 0, server, outcome));
        assert!(next.is_some() && next != Some(server), "{outcome:?}");
    }
}

#[test]
fn an_idempotent_attempt_has_a_timeout_and_an_at_most_once_attempt_waits_until_the_deadline() {
    let mut harness = DirectorHarness::new(settings(), 4);
    let attempt_timeout = |out: &[Action]| {
        out.iter().find_map(|a| match a {
            Action::StartAttempt {
                attempt_timeout, ..
            } => Some(*attempt_timeout),
            _ => None,
        })
    };
    assert!(
        attempt_timeout(&harness.request_session(1, IDEMPOTENT))
            .unwrap()
            .is_some()
    );
    assert_eq!(
        attempt_timeout(&harness.request_session(2, AT_MOST_ONCE)),
        Some(None)
    );
}

#[test]
fn every_pending_request_gets_its_final_answer_in_time_and_only_one() {
    for (class, is_at_most_once) in [(IDEMPOTENT, false), (AT_MOST_ONCE, true)] {
        let mut harness = DirectorHarness::new(settings(), 4);
        let out = harness.request_session(9, class);
        let server = attempted_server(&out).unwrap();
        let due = out.iter().find_map(|a| match a {
            Action::SetTimer { after, token: 9 } => Some(*after),
            _ => None,
        });
        assert!(due.is_some_and(|d| d <= 4 * SECOND));
        harness.now += due.unwrap();
        let out = harness.handle(Event::TimerFired(9));
        assert_eq!(
            (is_failed(&out), is_rejected(&out)),
            (is_at_most_once, !is_at_most_once)
        );
        // A late outcome, a second timer and a late start have no effect on an answered request.
        assert!(harness.handle(Event::TimerFired(9)).is_empty());
        assert!(harness.start_session(9, 0, server).is_empty());
        assert!(
            harness
                .finish_attempt(9, 0, server, Outcome::TimedOut)
                .is_empty()
        );
    }
}

#[test]
fn no_attempt_is_sent_to_a_draining_or_gone_server() {
    for state in [EndpointState::Draining, EndpointState::Gone] {
        let mut harness = DirectorHarness::new(settings(), 1);
        assert!(attempted_server(&harness.request_session(1, IDEMPOTENT)).is_some());
        harness.update_endpoints(
            EndpointUpdate::Delta,
            vec![Endpoint {
                state,
                ..endpoint(1)
            }],
        );
        assert!(is_rejected(&harness.request_session(2, IDEMPOTENT)));
    }
    // A full list without the server has the same effect.
    let mut harness = DirectorHarness::new(settings(), 1);
    harness.update_endpoints(EndpointUpdate::Full, vec![]);
    assert!(is_rejected(&harness.request_session(1, IDEMPOTENT)));
}

#[test]
fn a_titles_session_limit_counts_attempts_until_their_outcome() {
    let mut harness = DirectorHarness::new(settings(), 4);
    let servers: Vec<_> = (1..=3)
        .map(|id| attempted_server(&harness.request_session(id, AT_MOST_ONCE)).unwrap())
        .collect();
    assert!(is_rejected(&harness.request_session(4, AT_MOST_ONCE)));
    // A withdrawn request still counts while its attempt is in flight.
    harness.handle(Event::RequestWithdrawn(SessionId(1)));
    assert!(is_rejected(&harness.request_session(5, AT_MOST_ONCE)));
    harness.finish_attempt(1, 0, servers[0], Outcome::Cancelled);
    assert!(attempted_server(&harness.request_session(6, AT_MOST_ONCE)).is_some());
    // A transferred session counts as well.
    let mut harness = DirectorHarness::new(settings(), 4);
    for id in 1..=3 {
        harness.transfer(id, AT_MOST_ONCE, ServerId(1));
    }
    assert!(is_rejected(&harness.request_session(4, AT_MOST_ONCE)));
}

#[test]
fn the_lowest_rung_and_the_viewers_highest_bound_every_rung() {
    let mut harness = DirectorHarness::new(settings(), 1);
    harness.notify(99, ServerId(1), Notification::LinkUtilization(0.90));
    assert!(
        is_rejected(&harness.request_session(1, AT_MOST_ONCE)),
        "rung 0 would fit, but the lowest rung of the class does not"
    );
    assert_eq!(
        chosen_rung(&harness.request_session(2, IDEMPOTENT)),
        Some(0)
    );
    let mut harness = DirectorHarness::new(settings(), 1);
    let request = Request {
        highest_rung: 2,
        ..viewer_request(3, IDEMPOTENT, harness.now)
    };
    assert_eq!(
        chosen_rung(&harness.handle(Event::RequestReceived(request))),
        Some(2)
    );
    let request = Request {
        highest_rung: 0,
        ..viewer_request(4, AT_MOST_ONCE, harness.now)
    };
    assert!(
        is_rejected(&harness.handle(Event::RequestReceived(request))),
        "no legal rung"
    );
}

#[test]
fn retries_stay_within_the_budget_at_the_exact_window_edges() {
    let mut harness = DirectorHarness::new(settings(), 4);
    let retry = |harness: &mut DirectorHarness, id| {
        let server = attempted_server(&harness.request_session(id, IDEMPOTENT)).unwrap();
        attempted_server(&harness.finish_attempt(id, 0, server, Outcome::Rejected))
    };
    assert!(retry(&mut harness, 1).is_some());
    assert!(retry(&mut harness, 2).is_some());
    assert!(retry(&mut harness, 3).is_none());
    harness.now += 10 * SECOND; // Exactly the window: earlier retries still count.
    assert!(retry(&mut harness, 4).is_none());
    harness.now += TimeDelta::from_micros(1);
    assert!(retry(&mut harness, 5).is_some());
}

#[test]
fn rejections_carry_retry_after_within_the_maximum() {
    let mut harness = DirectorHarness::new(settings(), 0);
    let out = harness.request_session(1, AT_MOST_ONCE);
    let advice = out.iter().find_map(|a| match a {
        Action::Reject { retry_after, .. } => *retry_after,
        _ => None,
    });
    assert!(advice.is_some_and(|t| t > TimeDelta::ZERO && t <= SECOND));
    let mut settings = settings();
    settings.limits.max_retry_after = TimeDelta::ZERO;
    let mut harness = DirectorHarness::new(settings, 0);
    assert!(
        harness
            .request_session(1, AT_MOST_ONCE)
            .contains(&Action::Reject {
                session: SessionId(1),
                retry_after: None
            })
    );
}

#[test]
fn a_failed_subscription_to_the_endpoint_list_is_repeated() {
    let mut harness = DirectorHarness {
        director: Director::new(
            1,
            Settings {
                must_poll_endpoints: true,
                ..settings()
            },
            Timestamp::ZERO,
        ),
        now: Timestamp::ZERO,
    };
    assert!(
        harness
            .update_endpoints(EndpointUpdate::Cached, vec![endpoint(1)])
            .contains(&Action::WatchEndpoints(true))
    );
    assert!(
        !harness
            .update_endpoints(EndpointUpdate::Failed, vec![])
            .contains(&Action::WatchEndpoints(true)),
        "no immediate retry"
    );
    harness.now += 3 * SECOND;
    assert!(harness.fire_tick().contains(&Action::WatchEndpoints(true)));
    harness.update_endpoints(EndpointUpdate::Delta, vec![]);
    harness.now += 60 * SECOND;
    assert!(!harness.fire_tick().contains(&Action::WatchEndpoints(true)));
}

/// Clients may request titles that no node knows. Without this rule, each such request ejected four nodes.
#[test]
fn a_request_that_two_servers_answer_with_an_error_is_not_retried() {
    let mut harness = DirectorHarness::new(settings(), 4);
    let first = attempted_server(&harness.request_session(1, IDEMPOTENT)).unwrap();
    let second = attempted_server(&harness.finish_attempt(1, 0, first, Outcome::Error)).unwrap();
    assert_ne!(first, second);
    assert!(is_failed(&harness.finish_attempt(
        1,
        1,
        second,
        Outcome::Error
    )));
    // Only the first server's error counts as a failure, and neither server has to warm up afterwards.
    harness.now += 1500 * MILLISECOND;
    let sent: std::collections::BTreeSet<_> = (10..60)
        .filter_map(|id| attempted_server(&harness.request_session(id, IDEMPOTENT)))
        .collect();
    assert_eq!(sent.len(), 4, "all servers are used again: {sent:?}");
}
