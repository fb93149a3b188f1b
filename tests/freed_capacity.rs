//! Playing sessions are downgraded for a request that would otherwise be rejected.

mod common;

use common::{
    AT_MOST_ONCE, DirectorHarness, IDEMPOTENT, SECOND, attempted_server, is_rejected, settings,
    viewer_request,
};
use shalewall::{Action, Event, Notification, Request, ServerId, TimeDelta};

/// A director with one server, whose link is full with this number of sessions at the top rung.
fn harness_with_full_link(sessions: u64, hint: TimeDelta) -> DirectorHarness {
    let mut settings = settings();
    settings.rack_count = 0;
    settings.rack_uplink_kb_s = 0.0;
    settings.link_kb_s_per_weight = 2_000.0 * sessions as f64;
    let mut harness = DirectorHarness::new(settings, 1);
    for id in 1..=sessions {
        let request = Request {
            duration_hint: Some(hint),
            ..viewer_request(id, IDEMPOTENT, harness.now)
        };
        harness.handle(Event::SessionTransferred(request, ServerId(1)));
        harness.notify(id, ServerId(1), Notification::CurrentRung(4));
    }
    harness.notify(1, ServerId(1), Notification::LinkUtilization(0.95));
    harness
}

fn request_session(harness: &mut DirectorHarness, id: u64, hint: TimeDelta) -> Vec<Action> {
    let request = Request {
        duration_hint: Some(hint),
        ..viewer_request(id, IDEMPOTENT, harness.now)
    };
    harness.handle(Event::RequestReceived(request))
}

/// Sessions other than the new one whose rung was changed.
fn downgraded(out: &[Action], new: u64) -> Vec<u64> {
    let other = |a: &Action| match a {
        Action::SetRung { session, .. } if session.0 != new => Some(session.0),
        _ => None,
    };
    out.iter().filter_map(other).collect()
}

#[test]
fn own_sessions_are_downgraded_for_a_request_that_would_be_rejected() {
    let mut harness = harness_with_full_link(4, 600 * SECOND);
    let out = request_session(&mut harness, 9, 600 * SECOND);
    assert_eq!(attempted_server(&out), Some(ServerId(1)));
    assert_eq!(
        downgraded(&out, 9).len(),
        1,
        "the downgrade of one session suffices: {out:?}"
    );
    // The downgrades precede the attempt for which they free capacity.
    let send = out
        .iter()
        .position(|a| matches!(a, Action::StartAttempt { .. }));
    assert!(out.iter().position(|a| matches!(a, Action::SetRung { .. })) < send);
}

#[test]
fn a_short_session_does_not_justify_a_downgrade() {
    // A burst of sessions of 5 s must not downgrade all others (simulated scene 'peeks').
    let mut harness = harness_with_full_link(4, 600 * SECOND);
    let out = request_session(&mut harness, 9, 3 * SECOND / 2);
    assert!(is_rejected(&out) && downgraded(&out, 9).is_empty());
}

#[test]
fn a_session_is_not_downgraded_again_within_the_reconsider_interval() {
    let mut harness = harness_with_full_link(1, 600 * SECOND);
    assert_eq!(
        downgraded(&request_session(&mut harness, 9, 600 * SECOND), 9),
        vec![1]
    );
    harness.notify(1, ServerId(1), Notification::LinkUtilization(0.97));
    assert!(is_rejected(&request_session(
        &mut harness,
        10,
        600 * SECOND
    )));
    // After the interval, when reports show the effect of the downgrade, it may be downgraded again.
    harness.advance(5 * SECOND);
    harness.notify(1, ServerId(1), Notification::LinkUtilization(0.94));
    assert_eq!(
        downgraded(&request_session(&mut harness, 11, 600 * SECOND), 11).first(),
        Some(&1)
    );
}

#[test]
fn no_capacity_is_freed_at_a_server_with_a_shortage_or_for_a_request_without_a_legal_rung() {
    let mut harness = harness_with_full_link(4, 600 * SECOND);
    harness.notify(1, ServerId(1), Notification::DeliveredFraction(0.9));
    assert!(is_rejected(&request_session(&mut harness, 9, 600 * SECOND)));
    // A player that cannot use the class's lowest rung.
    let mut harness = harness_with_full_link(4, 600 * SECOND);
    let request = Request {
        highest_rung: 0,
        duration_hint: Some(600 * SECOND),
        ..viewer_request(9, AT_MOST_ONCE, harness.now)
    };
    let out = harness.handle(Event::RequestReceived(request));
    assert!(is_rejected(&out) && downgraded(&out, 9).is_empty());
}
