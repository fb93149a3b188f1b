//! Migrations of the engine in simulated time: nodes drain, freeze, fail and restart, directors restart, viewers
//! leave.

#[path = "../../../../tests/common/mod.rs"]
mod common;
mod world;

use shalewall::{EndpointState, ServerId};
use shalewall_engine::{Input, NodeEvent, SessionCounts};
use world::{MILLISECOND, NODES, SECOND, Simulation};

#[test]
fn draining_node_is_empty_before_it_fails_and_no_player_sees_a_gap() {
    for loss in [0, 10] {
        let mut simulation = Simulation::new(1, loss);
        simulation.request_sessions(40);
        let at = |w: &Simulation, n: u64| {
            w.players
                .values()
                .filter(|p| p.protocol.node().0 == n)
                .count()
        };
        let before = at(&simulation, 1);
        assert!(before >= 5, "{before} sessions at the node");
        simulation.set_endpoint_state(1, EndpointState::Draining);
        simulation.run_for(600 * MILLISECOND);
        let left = at(&simulation, 1);
        simulation.crash(1);
        simulation.set_endpoint_state(1, EndpointState::Gone);
        simulation.run_for(5 * SECOND);
        assert_eq!(
            at(&simulation, 1),
            0,
            "loss {loss}: {left} sessions were at the node when it failed"
        );
        assert_eq!(
            simulation.players.values().filter(|p| p.ended).count(),
            0,
            "a session was lost"
        );
        assert_eq!(simulation.gaps(), [], "loss {loss}");
        assert_eq!(simulation.migrated as usize, before);
        simulation.assert_settled();
    }
}

#[test]
fn frozen_node_is_evacuated_before_buffers_run_empty_and_released_on_resume() {
    let mut simulation = Simulation::new(2, 0);
    simulation.request_sessions(40);
    simulation.frozen[2] = true;
    simulation.run_for(3 * SECOND);
    assert!(
        simulation
            .players
            .values()
            .all(|p| p.protocol.node().0 != 2 && !p.ended)
    );
    assert_eq!(simulation.gaps(), []);
    assert!(simulation.migrated >= 5);
    simulation.assert_settled();
}

#[test]
fn crashed_node_loses_no_session_whose_buffer_lasts() {
    let mut simulation = Simulation::new(3, 0);
    simulation.request_sessions(40);
    simulation.crash(0);
    simulation.run_for(3 * SECOND);
    assert!(
        simulation
            .players
            .values()
            .all(|p| p.protocol.node().0 != 0 && !p.ended)
    );
    assert_eq!(simulation.gaps(), []);
    simulation.assert_settled();
}

#[test]
fn target_failure_at_any_step_loses_no_session() {
    for step in 0..12 {
        for kind in 0..3 {
            let mut simulation = Simulation::new(10 + step, 0);
            simulation.request_sessions(12);
            simulation.set_endpoint_state(0, EndpointState::Draining);
            // During the migrations, all targets but one fail.
            simulation.run_for(step as i64 * 10 * MILLISECOND);
            for node in 1..3 {
                match kind {
                    0 => simulation.crash(node),
                    1 => simulation.frozen[node as usize] = true,
                    _ => {
                        simulation.crash(node);
                        simulation.restart_node(node);
                    }
                }
            }
            simulation.run_for(4 * SECOND);
            let ended = simulation.players.values().filter(|p| p.ended).count();
            assert_eq!(ended, 0, "step {step}, kind {kind}");
            let worst = simulation.gaps().into_iter().max().unwrap_or_default();
            assert!(
                worst <= 200 * MILLISECOND,
                "step {step}, kind {kind}: a gap of {worst:?}"
            );
            simulation.assert_settled();
        }
    }
}

#[test]
fn director_restart_during_migrations_finishes_or_aborts_each() {
    for step in 0..20 {
        for loss in [0, 10] {
            let mut simulation = Simulation::new(30 + step, loss);
            simulation.request_sessions(24);
            simulation.draining[1] = true;
            simulation.set_endpoint_state(1, EndpointState::Draining);
            simulation.run_for(step as i64 * 5 * MILLISECOND);
            simulation.restart_director(200 * MILLISECOND);
            simulation.run_for(4 * SECOND);
            assert_eq!(
                simulation.players.values().filter(|p| p.ended).count(),
                0,
                "step {step}: a session was lost"
            );
            let left = simulation
                .players
                .values()
                .filter(|p| p.protocol.node().0 == 1)
                .count();
            assert_eq!(left, 0, "step {step}: the draining node still has sessions");
            assert_eq!(simulation.gaps(), [], "step {step}");
            simulation.assert_settled();
        }
    }
}

/// Guards against the loss of sessions when a node that drained while the director was down fails some 100 ms after
/// the director is back, and another node has not reported yet.
#[test]
fn node_failure_just_after_director_restart_loses_no_session_whose_buffer_lasts() {
    for after in [0, 5, 20, 100, 400] {
        let mut simulation = Simulation::new(40, 0);
        simulation.request_sessions(24);
        simulation.frozen[3] = true; // this node does not report yet
        let affected: Vec<_> = simulation
            .players
            .iter()
            .filter(|(_, p)| p.protocol.node().0 == 1)
            .map(|(id, _)| *id)
            .collect();
        simulation.restart_director(200 * MILLISECOND);
        simulation.run_for(after * MILLISECOND);
        simulation.crash(1);
        simulation.run_for(SECOND);
        simulation.frozen[3] = false;
        simulation.run_for(3 * SECOND);
        assert!(
            simulation
                .players
                .values()
                .all(|p| p.protocol.node().0 != 1 && !p.ended),
            "{after} ms after"
        );
        let gaps = affected
            .iter()
            .flat_map(|id| simulation.players[id].gaps.clone());
        assert!(
            gaps.max().unwrap_or_default() <= 200 * MILLISECOND,
            "{after} ms after"
        );
        simulation.assert_settled();
    }
}

#[test]
fn sessions_of_frozen_nodes_resume() {
    let mut simulation = Simulation::new(4, 0);
    simulation.request_sessions(20);
    simulation.frozen = vec![true; NODES as usize];
    simulation.run_for(3 * SECOND);
    simulation.assert_settled();
    assert!(
        simulation.players.values().all(|p| !p.ended),
        "a session ended"
    );
}

#[test]
fn random_faults_keep_one_set_up_per_session_and_end_every_migration() {
    let (mut migrated, mut aborted) = (0, 0);
    for seed in 1..=25 {
        let mut simulation = Simulation::new(seed, 15);
        for _ in 0..12 {
            simulation.request_sessions(4);
            let node = simulation.random.below(NODES);
            let i = node as usize;
            match simulation.random.below(6) {
                0 if simulation.nodes[i].is_some() => simulation.crash(node),
                1 | 2 => simulation.frozen[i] = !simulation.frozen[i],
                3 => {
                    simulation.draining[i] = !simulation.draining[i];
                    let drains = simulation.draining[i];
                    simulation.set_endpoint_state(
                        node,
                        if drains {
                            EndpointState::Draining
                        } else {
                            EndpointState::Ready
                        },
                    );
                }
                4 if simulation.random.below(3) == 0 => {
                    simulation.restart_director(300 * MILLISECOND)
                }
                4 => {
                    let first_playing = simulation
                        .players
                        .iter()
                        .find(|(_, p)| !p.ended)
                        .map(|(id, _)| *id);
                    if let Some(session) = first_playing {
                        simulation.handle(Input::EndSession { session });
                        simulation.players.get_mut(&session).unwrap().ended = true;
                    }
                }
                _ if simulation.nodes[i].is_none() => simulation.restart_node(node),
                _ => {}
            }
            let span = simulation.random.below(900) as i64;
            simulation.run_for(span * MILLISECOND);
        }
        (migrated, aborted) = (migrated + simulation.migrated, aborted + simulation.aborted);
        simulation.assert_settled();
    }
    assert!(
        migrated > 100 && aborted > 10,
        "too few migrations to exercise the engine: {migrated} migrated, {aborted} aborted"
    );
}

#[test]
fn viewer_leaving_at_any_step_leaks_nothing() {
    for step in 0..20 {
        let mut simulation = Simulation::new(50 + step, 0);
        simulation.request_sessions(24);
        simulation.set_endpoint_state(1, EndpointState::Draining);
        simulation.run_for(step as i64 * 5 * MILLISECOND);
        let ids: Vec<_> = simulation.players.keys().copied().collect();
        for session in ids {
            simulation.handle(Input::EndSession { session });
            simulation.players.get_mut(&session).unwrap().ended = true;
        }
        simulation.assert_settled();
        assert_eq!(
            simulation.engine.session_counts(),
            SessionCounts::default(),
            "step {step}"
        );
    }
}

#[test]
fn draining_target_during_migrations_causes_no_gap() {
    for step in 0..16 {
        let mut simulation = Simulation::new(70 + step, 0);
        simulation.request_sessions(24);
        simulation.set_endpoint_state(1, EndpointState::Draining);
        simulation.run_for(step as i64 * 10 * MILLISECOND);
        simulation.set_endpoint_state(2, EndpointState::Draining);
        simulation.run_for(600 * MILLISECOND);
        simulation.crash(1);
        simulation.crash(2);
        simulation.run_for(4 * SECOND);
        assert_eq!(
            simulation.players.values().filter(|p| p.ended).count(),
            0,
            "step {step}"
        );
        assert_eq!(simulation.gaps(), [], "step {step}");
        simulation.assert_settled();
    }
}

#[test]
fn sessions_of_a_failed_rack_migrate_before_buffers_run_empty() {
    let mut simulation = Simulation::new(5, 0);
    simulation.request_sessions(40);
    simulation.crash(0);
    simulation.crash(2);
    simulation.run_for(4 * SECOND);
    assert!(
        simulation
            .players
            .values()
            .all(|p| p.protocol.node().0 % 2 == 1 && !p.ended)
    );
    assert_eq!(simulation.gaps(), []);
    simulation.assert_settled();
}

/// With capacity for only some of the sessions, each one either continues without a gap or is ended.
#[test]
fn node_failure_with_little_capacity_left_resumes_or_ends_each_session() {
    let mut simulation = Simulation::new(6, 0);
    // All sessions start at node 0, since the others are draining. Each link carries about 93 sessions at 300 kB/s.
    (1..NODES).for_each(|n| simulation.set_endpoint_state(n, EndpointState::Draining));
    simulation.request_sessions(40);
    simulation.set_endpoint_state(0, EndpointState::Draining);
    (1..NODES).for_each(|n| simulation.set_endpoint_state(n, EndpointState::Ready));
    simulation.run_for(3 * SECOND);
    let at = |w: &Simulation, n: u64| {
        w.players
            .values()
            .filter(|p| p.protocol.node().0 == n && !p.ended)
            .count()
    };
    assert_eq!(
        at(&simulation, 0),
        0,
        "the other nodes have capacity for all sessions"
    );
    // Now two of the three other nodes drain and then fail, and the third reports that it is nearly full.
    simulation.set_endpoint_state(1, EndpointState::Draining);
    simulation.set_endpoint_state(2, EndpointState::Draining);
    simulation.set_endpoint_state(0, EndpointState::Gone);
    let first_playing = *simulation
        .players
        .iter()
        .find(|(_, p)| p.protocol.node().0 == 3)
        .expect("a player at node 3")
        .0;
    let full = NodeEvent::LoadReported {
        session: first_playing,
        delivered_fraction: None,
        link_utilization: Some(0.88),
        uplink_utilization: None,
    };
    simulation.handle(Input::NodeNotified {
        server: ServerId(3),
        event: full,
    });
    let (at_node_3_before, all) = (at(&simulation, 3), simulation.players.len());
    simulation.run_for(600 * MILLISECOND);
    simulation.crash(1);
    simulation.crash(2);
    simulation.run_for(6 * SECOND);
    let remaining = simulation.players.values().filter(|p| !p.ended).count();
    assert_eq!(
        remaining,
        at(&simulation, 3),
        "all remaining sessions play at the node with capacity"
    );
    assert!(
        remaining > at_node_3_before && remaining < all,
        "{at_node_3_before} played at node 3 before, {remaining} of {all} play now"
    );
    assert_eq!(simulation.gaps(), [], "a remaining session had a gap");
    simulation.assert_settled();
}

#[test]
fn migrations_and_a_burst_of_requests_together() {
    let mut simulation = Simulation::new(7, 5);
    simulation.request_sessions(40);
    simulation.set_endpoint_state(1, EndpointState::Draining);
    simulation.request_sessions(150);
    simulation.crash(1);
    simulation.run_for(4 * SECOND);
    assert_eq!(simulation.players.values().filter(|p| p.ended).count(), 0);
    assert!(
        simulation
            .players
            .values()
            .all(|p| p.protocol.node().0 != 1)
    );
    assert_eq!(simulation.gaps(), []);
    simulation.assert_settled();
}
