//! Sessions that migrate while they play: where to, at which rung, and what is held at both servers meanwhile.

mod common;

use common::{
    AT_MOST_ONCE, DirectorHarness, IDEMPOTENT, SECOND, attempted_server, endpoint, settings,
};
use shalewall::{
    Action, Endpoint, EndpointState, EndpointUpdate, Event, Outcome, ServerId, SessionId, Settings,
};

/// A session that plays, and where.
fn play(harness: &mut DirectorHarness, id: u64, class: usize) -> ServerId {
    let server = attempted_server(&harness.request_session(id, class)).expect("capacity");
    harness.start_session(id, 0, server);
    server
}

/// Asks for a session to migrate: where to, and at which rung.
fn request_migration(harness: &mut DirectorHarness, id: u64) -> Option<(ServerId, usize)> {
    let out = harness.handle(Event::MigrationRequested(SessionId(id)));
    out.iter().find_map(|a| match a {
        Action::Migrate {
            session,
            server,
            rung,
        } if session.0 == id => Some((*server, *rung)),
        _ => None,
    })
}

fn finish_migration(harness: &mut DirectorHarness, id: u64, migrated: bool) {
    harness.handle(Event::MigrationFinished {
        session: SessionId(id),
        migrated,
    });
}

/// A director over servers whose links are all that counts.
fn harness(servers: u64) -> DirectorHarness {
    DirectorHarness::new(
        Settings {
            rack_uplink_kb_s: 0.0,
            ..settings()
        },
        servers,
    )
}

#[test]
fn another_holder_is_found_and_never_the_one_where_it_plays() {
    let mut harness = harness(2);
    let from = play(&mut harness, 1, IDEMPOTENT);
    let (to, rung) = request_migration(&mut harness, 1).expect("capacity");
    assert_ne!(to, from);
    assert_eq!(rung, 4, "the asked rung, on an empty link");
    // One migration at a time; once it is over the other way is open.
    assert_eq!(request_migration(&mut harness, 1), None);
    finish_migration(&mut harness, 1, true);
    assert_eq!(
        request_migration(&mut harness, 1).map(|(to, _)| to),
        Some(from)
    );
}

#[test]
fn a_draining_gone_or_silent_server_is_no_migration_target() {
    for state in [EndpointState::Draining, EndpointState::Gone] {
        let mut harness = harness(2);
        let from = play(&mut harness, 1, IDEMPOTENT);
        harness.update_endpoints(
            EndpointUpdate::Delta,
            vec![Endpoint {
                state,
                ..endpoint(3 - from.0)
            }],
        );
        assert_eq!(request_migration(&mut harness, 1), None);
    }
    let mut harness = harness(2);
    let other = ServerId(3 - play(&mut harness, 1, AT_MOST_ONCE).0);
    harness.handle(Event::ServerSilent(other));
    assert_eq!(
        request_migration(&mut harness, 1),
        None,
        "it has just failed"
    );
    // Nothing is set up by a migration: it tries a failing server as idempotent attempts do, and clears it.
    harness.now += 2 * SECOND;
    harness.handle(Event::ServerSilent(ServerId(3 - other.0)));
    assert_eq!(
        request_migration(&mut harness, 1).map(|(to, _)| to),
        Some(other)
    );
    finish_migration(&mut harness, 1, true);
    assert_eq!(
        attempted_server(&harness.request_session(2, AT_MOST_ONCE)),
        Some(other),
        "it takes at-most-once attempts again"
    );
}

/// The same where every session wants the top rung and nothing less: four to a link.
fn harness_of_top_rungs(servers: u64) -> DirectorHarness {
    let mut settings = Settings {
        rack_uplink_kb_s: 0.0,
        ..settings()
    };
    settings.classes[IDEMPOTENT].lowest_rung = 4;
    DirectorHarness::new(settings, servers)
}

/// How many of these viewers play.
fn fill(harness: &mut DirectorHarness, ids: std::ops::Range<u64>) -> usize {
    let mut playing = 0;
    for id in ids {
        if let Some(server) = attempted_server(&harness.request_session(id, IDEMPOTENT)) {
            harness.start_session(id, 0, server);
            playing += 1;
        }
    }
    playing
}

#[test]
fn a_rate_counts_at_both_servers_until_the_migration_is_over() {
    let mut harness = harness_of_top_rungs(2);
    let from = play(&mut harness, 1, IDEMPOTENT);
    request_migration(&mut harness, 1).expect("capacity");
    assert_eq!(
        fill(&mut harness, 10..100),
        6,
        "two of eight top rungs are its own"
    );
    finish_migration(&mut harness, 1, true);
    assert_eq!(
        fill(&mut harness, 100..200),
        1,
        "one came free where it played"
    );
    assert_eq!(
        request_migration(&mut harness, 1),
        None,
        "there is no capacity for another migration"
    );
    // It counts where it plays now: its end there frees that.
    harness.finish_attempt(1, 0, ServerId(3 - from.0), Outcome::Success);
    assert_eq!(fill(&mut harness, 200..300), 1);
}

#[test]
fn a_migration_that_failed_leaves_nothing_behind() {
    let mut harness = harness(2);
    play(&mut harness, 1, AT_MOST_ONCE);
    for _ in 0..50 {
        request_migration(&mut harness, 1).expect("capacity each time");
        finish_migration(&mut harness, 1, false);
    }
    // Three seats of a title in the at-most-once class. The session has one of them, whatever was tried.
    assert!(attempted_server(&harness.request_session(2, AT_MOST_ONCE)).is_some());
    assert!(attempted_server(&harness.request_session(3, AT_MOST_ONCE)).is_some());
    assert_eq!(
        attempted_server(&harness.request_session(4, AT_MOST_ONCE)),
        None
    );
}

#[test]
fn a_sessions_own_seat_is_no_hindrance_and_no_seat_is_given_while_it_may_be_at_both() {
    let mut harness = harness(2);
    for id in 1..=3 {
        play(&mut harness, id, AT_MOST_ONCE);
    }
    assert!(
        request_migration(&mut harness, 1).is_some(),
        "all seats are taken, one of them by itself"
    );
    finish_migration(&mut harness, 1, true);
    harness.finish_attempt(2, 0, ServerId(1), Outcome::Success);
    request_migration(&mut harness, 3).expect("capacity");
    assert_eq!(
        attempted_server(&harness.request_session(9, AT_MOST_ONCE)),
        None,
        "may be at both"
    );
    finish_migration(&mut harness, 3, true);
    assert!(attempted_server(&harness.request_session(10, AT_MOST_ONCE)).is_some());
}

#[test]
fn an_end_during_a_migration_frees_both_servers() {
    let mut harness = harness(2);
    let from = play(&mut harness, 1, AT_MOST_ONCE);
    request_migration(&mut harness, 1).expect("capacity");
    harness.finish_attempt(1, 0, from, Outcome::Success);
    finish_migration(&mut harness, 1, false);
    let playing = (2..10)
        .filter(|id| attempted_server(&harness.request_session(*id, AT_MOST_ONCE)).is_some())
        .count();
    assert_eq!(playing, 3, "all seats");
}

#[test]
fn migrations_keep_a_warming_servers_pace() {
    let mut harness = harness(2);
    let ids: Vec<u64> = (1..=8).collect();
    harness.update_endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint {
            state: EndpointState::Draining,
            ..endpoint(2)
        }],
    );
    ids.iter()
        .for_each(|id| assert_eq!(play(&mut harness, *id, IDEMPOTENT), ServerId(1)));
    // The other restarts: 30 streams over 12 s at 0.4, twice that, half of it used: 2 in 2 s.
    harness.now += SECOND;
    harness.update_endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint {
            started_at: Some(harness.now),
            ..endpoint(2)
        }],
    );
    let migrated = ids
        .iter()
        .filter(|id| request_migration(&mut harness, **id).is_some())
        .count();
    assert!(migrated <= 2, "{migrated}");
}
