//! Servers that have just started, or may have, are paced.

mod common;

use common::{
    DirectorHarness, IDEMPOTENT, MILLISECOND, SECOND, attempted_server, endpoint, settings,
    viewer_request,
};
use shalewall::{Director, Endpoint, EndpointUpdate, Event, Request, Settings, Timestamp};

#[test]
fn a_server_that_has_just_started_is_paced() {
    let mut harness = DirectorHarness::new(settings(), 0);
    let now = harness.now;
    harness.update_endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint {
            started_at: Some(now - SECOND),
            ..endpoint(1)
        }],
    );
    let mut sent = 0;
    for id in 0..40 {
        sent += u32::from(attempted_server(&harness.request_session(id, IDEMPOTENT)).is_some());
        harness.now += 50 * MILLISECOND;
    }
    // 2 x 30 streams over 12 s at 0.4 is 4 in two seconds.
    assert!((1..=6).contains(&sent), "{sent} attempts in two seconds");
}

/// Attempts that so many directors send together when each is asked once, all for titles of one server.
fn attempts_of_all(directors: u32, update: impl Fn(&mut DirectorHarness)) -> usize {
    let settings = Settings {
        director_count: directors,
        ..settings()
    };
    (0..u64::from(directors))
        .filter(|id| {
            let mut harness = DirectorHarness {
                director: Director::new(*id, settings.clone(), Timestamp::ZERO),
                now: Timestamp::ZERO,
            };
            update(&mut harness);
            attempted_server(&harness.request_session(1000 + id, IDEMPOTENT)).is_some()
        })
        .count()
}

#[test]
fn three_hundred_directors_do_not_overload_a_warming_server_with_one_attempt_each() {
    // preempt, zone loss: the replacement is empty, so all send there, and each one's first was free.
    let started = |harness: &mut DirectorHarness| {
        harness.now = Timestamp::ZERO + 60 * SECOND;
        harness.update_endpoints(
            EndpointUpdate::Delta,
            vec![Endpoint {
                started_at: Some(harness.now - SECOND),
                ..endpoint(1)
            }],
        );
    };
    // 2 x 30 streams over 12 s at 0.4 is 4 in two seconds.
    let sent: Vec<usize> = [10, 30, 100, 300]
        .map(|n| attempts_of_all(n, started))
        .into();
    assert!(
        sent.iter().all(|n| *n <= 6) && sent.iter().sum::<usize>() >= 4,
        "{sent:?} attempts"
    );
}

#[test]
fn a_crowd_for_a_title_that_few_servers_hold_does_not_overload_a_warming_one() {
    // Found by a hunt: the draw presumed that few ask for a title that 3 of 300 servers hold, and let 2 in 3 through.
    let settings = Settings {
        director_count: 300,
        cell_count: 300,
        rack_count: 30,
        ..settings()
    };
    let sent = (0..300u64).filter(|id| {
        let mut harness = DirectorHarness {
            director: Director::new(*id, settings.clone(), Timestamp::ZERO),
            now: Timestamp::ZERO + 60 * SECOND,
        };
        harness.update_endpoints(
            EndpointUpdate::Delta,
            vec![Endpoint {
                started_at: Some(harness.now - SECOND),
                ..endpoint(1)
            }],
        );
        let request = Request {
            replica_cells: 3,
            ..viewer_request(1000 + id, IDEMPOTENT, harness.now)
        };
        attempted_server(&harness.handle(Event::RequestReceived(request))).is_some()
    });
    let sent = sent.count();
    assert!((20..150).contains(&sent), "{sent} of 300");
}

#[test]
fn a_starting_director_paces_all_servers_since_its_list_may_hide_a_start() {
    let cached = |harness: &mut DirectorHarness| {
        harness.update_endpoints(EndpointUpdate::Cached, vec![endpoint(1)]);
    };
    // The fleet of 4 cells shares what is asked, so 4 times as many may go to each.
    let sent = attempts_of_all(300, cached);
    assert!((4..=20).contains(&sent), "{sent} attempts");
}
