//! Migration of playing sessions: the target, the rung, and what counts at both servers in the meantime.

mod common;

use common::{
    AT_MOST_ONCE, DirectorHarness, IDEMPOTENT, SECOND, attempted_server, endpoint, settings,
};
use shalewall::{
    Action, Endpoint, EndpointState, EndpointUpdate, Event, Outcome, ServerId, SessionId, Settings,
};

/// Starts a session and returns its server.
fn play(harness: &mut DirectorHarness, id: u64, class: usize) -> ServerId {
    let server = attempted_server(&harness.request_session(id, class)).expect("capacity");
    harness.start_session(id, 0, server);
    server
}

/// Requests a migration and returns its target and rung.
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

/// A director with servers without rack uplinks.
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
fn a_migration_targets_another_server() {
    let mut harness = harness(2);
    let from = play(&mut harness, 1, IDEMPOTENT);
    let (to, rung) = request_migration(&mut harness, 1).expect("capacity");
    assert_ne!(to, from);
    assert_eq!(rung, 4, "the preferred rung on an idle link");
    // Only one migration at a time; after it, the session may migrate back.
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
        "the target has just failed"
    );
    // A migration sets up nothing, so it may serve as a trial of a failing server, like an idempotent attempt.
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
        "it gets at-most-once attempts again"
    );
}

/// Like [`harness`], but sessions of the idempotent class require the top rung; four of them fill a link.
fn harness_of_top_rungs(servers: u64) -> DirectorHarness {
    let mut settings = Settings {
        rack_uplink_kb_s: 0.0,
        ..settings()
    };
    settings.classes[IDEMPOTENT].lowest_rung = 4;
    DirectorHarness::new(settings, servers)
}

/// Requests sessions and returns how many of them play.
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
        "the migrating session counts as two of the eight that fit"
    );
    finish_migration(&mut harness, 1, true);
    assert_eq!(
        fill(&mut harness, 100..200),
        1,
        "the capacity at the source is released"
    );
    assert_eq!(
        request_migration(&mut harness, 1),
        None,
        "there is no capacity for another migration"
    );
    // The session now counts at the target, and its end releases the capacity there.
    harness.finish_attempt(1, 0, ServerId(3 - from.0), Outcome::Success);
    assert_eq!(fill(&mut harness, 200..300), 1);
}

#[test]
fn a_failed_migration_releases_everything_at_its_target() {
    let mut harness = harness(2);
    play(&mut harness, 1, AT_MOST_ONCE);
    for _ in 0..50 {
        request_migration(&mut harness, 1).expect("capacity each time");
        finish_migration(&mut harness, 1, false);
    }
    // The title's limit is three sessions. After the failed migrations this session counts once.
    assert!(attempted_server(&harness.request_session(2, AT_MOST_ONCE)).is_some());
    assert!(attempted_server(&harness.request_session(3, AT_MOST_ONCE)).is_some());
    assert_eq!(
        attempted_server(&harness.request_session(4, AT_MOST_ONCE)),
        None
    );
}

#[test]
fn a_migrating_session_counts_twice_towards_its_titles_limit_but_does_not_block_itself() {
    let mut harness = harness(2);
    for id in 1..=3 {
        play(&mut harness, id, AT_MOST_ONCE);
    }
    assert!(
        request_migration(&mut harness, 1).is_some(),
        "the title's limit is reached, but the session itself is part of it"
    );
    finish_migration(&mut harness, 1, true);
    harness.finish_attempt(2, 0, ServerId(1), Outcome::Success);
    request_migration(&mut harness, 3).expect("capacity");
    assert_eq!(
        attempted_server(&harness.request_session(9, AT_MOST_ONCE)),
        None,
        "the migrating session may be at both servers"
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
    assert_eq!(playing, 3, "the title's whole limit is available");
}

#[test]
fn migrations_respect_the_warm_up_limit() {
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
    // The other server restarts. Its overload rate is 30 streams / 12 s * 0.4 * 2; half of it is used: 2 in 2 s.
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
