//! Model checking of the migration protocol over all event orders. The network may delay, reorder, duplicate and lose
//! any message. Nodes crash and restart without state, and the director restarts.
//!
//! [`state`] contains the modelled system, [`messages`] the messages in flight, and [`checker`] the explored event
//! orders and the properties. Each test asserts the number of states of its search, so that a change of the protocol
//! which makes states unreachable is detected.

mod checker;
mod messages;
mod state;

use checker::{Bounds, ONE_MIGRATION, PLAYER_IS_SERVED, search};
use state::Fault;

/// Searches the correct protocol: all properties must hold, in exactly `expected_states` states.
fn check(name: &str, bounds: Bounds, expected_states: usize) {
    let result = search(bounds);
    let states = result.unique_states;
    println!("{name}: {states} states, depth {}", result.depth);
    assert_eq!(result.violations, Vec::<&str>::new());
    assert_eq!(states, expected_states);
}

#[test]
fn one_migration_with_every_loss_duplicate_and_order() {
    check("one migration", ONE_MIGRATION, 86);
}

#[test]
fn a_crash_of_either_node_at_any_point() {
    let bounds = Bounds {
        crashes: 1,
        ..ONE_MIGRATION
    };
    check("one migration, one crash", bounds, 4_507);
}

#[test]
fn a_viewer_that_leaves_at_any_point() {
    let bounds = Bounds {
        viewer_may_leave: true,
        crashes: 1,
        ..ONE_MIGRATION
    };
    check(
        "one migration, one crash, the viewer leaves",
        bounds,
        37_190,
    );
}

#[test]
fn a_director_that_restarts_at_any_point() {
    let bounds = Bounds {
        restarts: 1,
        ..ONE_MIGRATION
    };
    check("one migration, the director restarts", bounds, 594);
}

#[test]
fn two_migrations_in_a_row() {
    let bounds = Bounds {
        migrations: 2,
        ..ONE_MIGRATION
    };
    check("two migrations", bounds, 1_981);
}

#[test]
fn faults_in_the_protocol_are_found() {
    let releases_early = search(Bounds {
        fault: Fault::ReleasesEarly,
        ..ONE_MIGRATION
    });
    let violations = releases_early.violations;
    assert!(violations.contains(&PLAYER_IS_SERVED), "{violations:?}");
    let ignores_cancel_outcome = search(Bounds {
        fault: Fault::IgnoresCancelOutcome,
        crashes: 1,
        ..ONE_MIGRATION
    });
    assert!(!ignores_cancel_outcome.violations.is_empty());
}

#[test]
fn a_crash_and_a_restart_of_the_director() {
    let bounds = Bounds {
        crashes: 1,
        restarts: 1,
        ..ONE_MIGRATION
    };
    let name = "one migration, one crash, the director restarts";
    check(name, bounds, 39_922);
}

#[test]
#[ignore = "a minute, and longer without optimization"]
fn three_nodes_two_migrations_a_crash() {
    let bounds = Bounds {
        nodes: 3,
        migrations: 2,
        crashes: 1,
        ..ONE_MIGRATION
    };
    check("three nodes, two migrations, one crash", bounds, 1_660_018);
}

#[test]
#[ignore = "a minute, and longer without optimization"]
fn two_migrations_a_crash_and_a_restart_of_the_director() {
    let bounds = Bounds {
        migrations: 2,
        crashes: 1,
        restarts: 1,
        ..ONE_MIGRATION
    };
    let name = "two migrations, one crash, the director restarts";
    check(name, bounds, 12_136_560);
}

#[test]
fn a_player_that_declines_an_epoch() {
    let bounds = Bounds {
        declines: 1,
        migrations: 2,
        ..ONE_MIGRATION
    };
    check("two migrations, the player declines one", bounds, 19_529);
}

#[test]
fn a_player_that_declines_and_a_crash() {
    let bounds = Bounds {
        declines: 1,
        crashes: 1,
        ..ONE_MIGRATION
    };
    let name = "one migration, the player declines it, one crash";
    check(name, bounds, 14_742);
}
