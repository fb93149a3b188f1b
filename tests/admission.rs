//! The normal path of a request: which server and which rung it gets, and when it is rejected.

mod common;

use common::{
    AT_MOST_ONCE, DirectorHarness, IDEMPOTENT, MILLISECOND, SECOND, attempted_server, chosen_rung,
    endpoint, is_rejected, settings, viewer_request,
};
use shalewall::{
    Director, Endpoint, EndpointState, EndpointUpdate, Event, Notification, Outcome, Request,
    ServerId, SessionId, Settings, Timestamp,
};

#[test]
fn utilization_decides_between_preferred_rung_lower_rung_and_rejection() {
    for (utilization, want) in [
        (0.2, Some(4)),
        (0.70, Some(3)),
        (0.88, Some(1)),
        (0.90, Some(0)),
        (0.95, None),
    ] {
        let mut harness = DirectorHarness::new(settings(), 1);
        harness.notify(99, ServerId(1), Notification::LinkUtilization(utilization));
        let out = harness.request_session(1, IDEMPOTENT);
        assert_eq!(
            (chosen_rung(&out), is_rejected(&out)),
            (want, want.is_none()),
            "at {utilization}"
        );
    }
}

#[test]
fn a_session_must_fit_the_rack_uplink_too() {
    let mut harness = DirectorHarness::new(settings(), 1);
    harness.notify(99, ServerId(1), Notification::UplinkUtilization(0.95));
    assert!(is_rejected(&harness.request_session(1, IDEMPOTENT)));
}

#[test]
fn the_least_loaded_server_is_chosen_also_within_one_rack() {
    // Servers 1 and 3 share a rack whose uplink has a higher utilization than their links.
    let mut harness = DirectorHarness::new(settings(), 4);
    for (id, utilization) in [(1, 0.5), (2, 0.6), (3, 0.1), (4, 0.6)] {
        harness.report_utilization(99, ServerId(id), utilization, 0.6);
    }
    assert_eq!(
        attempted_server(&harness.request_session(1, IDEMPOTENT)),
        Some(ServerId(3))
    );
}

#[test]
fn only_servers_that_host_the_title_are_chosen() {
    let mut harness = DirectorHarness::new(settings(), 4);
    let request = Request {
        first_cell: 3,
        replica_cells: 2,
        ..viewer_request(1, IDEMPOTENT, harness.now)
    };
    let cells = [ServerId(4), ServerId(1)]; // Cells 3 and 0: consecutive cells wrap around.
    assert!(
        cells
            .contains(&attempted_server(&harness.handle(Event::RequestReceived(request))).unwrap())
    );
    let request = Request {
        replica_cells: 0,
        ..viewer_request(2, IDEMPOTENT, harness.now)
    };
    assert!(is_rejected(
        &harness.handle(Event::RequestReceived(request))
    ));
}

#[test]
fn own_sessions_count_until_they_end() {
    let mut settings = settings();
    settings.rack_count = 0;
    let mut harness = DirectorHarness::new(settings, 1);
    let mut held = Vec::new();
    for id in 1..60 {
        match attempted_server(&harness.request_session(id, IDEMPOTENT)) {
            Some(_) => held.push(id),
            None => break,
        }
    }
    assert!(!held.is_empty() && held.len() < 59, "the link fills up");
    assert!(is_rejected(&harness.request_session(100, IDEMPOTENT)));
    harness.start_session(held[0], 0, ServerId(1));
    harness.finish_attempt(held[0], 0, ServerId(1), Outcome::Success);
    assert!(attempted_server(&harness.request_session(101, IDEMPOTENT)).is_some());
}

#[test]
fn equal_events_give_equal_actions() {
    let run = || {
        let mut harness = DirectorHarness::new(settings(), 4);
        (1..50)
            .map(|id| {
                (
                    harness.request_session(id, (id % 2) as usize),
                    harness.now += 37 * MILLISECOND,
                )
            })
            .collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

#[test]
fn invalid_input_causes_no_panics_and_no_illegal_actions() {
    let mut harness = DirectorHarness::new(settings(), 2);
    assert!(
        is_rejected(&harness.request_session(1, 77)),
        "no such class"
    );
    for value in [f64::NAN, f64::INFINITY, -1.0] {
        harness.notify(5, ServerId(1), Notification::LinkUtilization(value));
        harness.notify(5, ServerId(1), Notification::DeliveredFraction(value));
        harness.notify(5, ServerId(77), Notification::UplinkUtilization(value));
    }
    harness.notify(5, ServerId(1), Notification::CurrentRung(usize::MAX));
    harness.handle(Event::RequestWithdrawn(SessionId(404)));
    harness.handle(Event::TimerFired(404));
    harness.finish_attempt(404, 3, ServerId(404), Outcome::Success);
    harness.start_session(404, 3, ServerId(404));
    harness.request_session(6, IDEMPOTENT);
    harness.start_session(6, u32::MAX, ServerId(1));
    harness.finish_attempt(6, u32::MAX, ServerId(1), Outcome::Success);
    harness.handle(Event::PeerMessage {
        from: 9,
        body: vec![1],
    });
    let out = DirectorHarness {
        director: Director::new(0, Settings::default(), Timestamp::ZERO),
        now: Timestamp::ZERO,
    }
    .request_session(1, 0);
    assert!(is_rejected(&out), "empty settings reject");
    let mut zero = settings();
    zero.link_kb_s_per_weight = 0.0;
    zero.rack_uplink_kb_s = 0.0;
    let mut harness = DirectorHarness::new(zero, 2);
    assert!(
        attempted_server(&harness.request_session(1, IDEMPOTENT)).is_some(),
        "servers with unknown capacity are used"
    );
}

#[test]
fn a_zone_crossing_adds_load_in_proportion_to_its_price() {
    for (price, utilization, want) in [(0.04, 0.3, 1), (0.04, 0.9, 2), (0.0, 0.3, 2)] {
        let mut settings = Settings {
            zone: Some(0),
            zone_crossing_price: price,
            ..settings()
        };
        settings.rack_count = 0;
        let mut harness = DirectorHarness {
            director: Director::new(1, settings, Timestamp::ZERO),
            now: Timestamp::ZERO,
        };
        let near = Endpoint {
            zone: Some(0),
            ..endpoint(1)
        };
        harness.update_endpoints(
            EndpointUpdate::Full,
            vec![
                near,
                Endpoint {
                    zone: Some(1),
                    ..endpoint(2)
                },
            ],
        );
        harness.now = Timestamp::ZERO + 60 * SECOND;
        harness.notify(99, ServerId(1), Notification::LinkUtilization(utilization));
        harness.notify(99, ServerId(2), Notification::LinkUtilization(0.2));
        assert_eq!(
            attempted_server(&harness.request_session(1, IDEMPOTENT)),
            Some(ServerId(want)),
            "at {price}, {utilization}"
        );
    }
}

#[test]
fn extreme_fleet_and_director_counts_give_legal_actions() {
    for directors in [0, 1, 2, 300, u32::MAX] {
        for servers in [0, 1, 1000] {
            let settings = Settings {
                director_count: directors,
                director_index: 7,
                cell_count: 1000,
                rack_count: 100,
                ..settings()
            };
            let mut harness = DirectorHarness::new(settings, servers);
            harness.advance(SECOND);
            let request = Request {
                replica_cells: 1000,
                ..viewer_request(1, IDEMPOTENT, harness.now)
            };
            let out = harness.handle(Event::RequestReceived(request));
            assert_eq!(
                (attempted_server(&out).is_some(), is_rejected(&out)),
                (servers > 0, servers == 0),
                "{directors} {servers}"
            );
        }
    }
    // If all servers that host the title are draining or gone, requests are rejected at once. A new server in the same
    // cell is used.
    let mut harness = DirectorHarness::new(settings(), 2);
    harness.update_endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint {
            state: EndpointState::Draining,
            ..endpoint(1)
        }],
    );
    harness.update_endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint {
            state: EndpointState::Gone,
            ..endpoint(2)
        }],
    );
    assert!(
        is_rejected(&harness.request_session(1, IDEMPOTENT))
            && is_rejected(&harness.request_session(2, AT_MOST_ONCE))
    );
    harness.update_endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint {
            server: ServerId(9),
            ..endpoint(2)
        }],
    );
    assert_eq!(
        attempted_server(&harness.request_session(3, IDEMPOTENT)),
        Some(ServerId(9))
    );
}
