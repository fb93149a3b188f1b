//! Sessions of the engine in simulated time: nodes that answer late, wrongly or not at all, viewers that leave and
//! ask again, nodes that fail and come back.

#[path = "../../../../tests/common/mod.rs"]
mod common;
mod world;

use shalewall::{EndpointState, EndpointUpdate, LoadReport, ServerId, Timestamp};
use shalewall_engine::{
    CallKind, CallResult, Engine, Input, RequestId, SessionCounts, SessionRequest,
};
use std::collections::BTreeSet;
use world::{MILLISECOND, NODES, SECOND, Simulation, config, endpoint};

#[test]
fn random_faults_give_one_answer_per_request_and_leak_nothing() {
    let mut attempts = 0;
    for seed in 1..=30u64 {
        let mut simulation = Simulation::new(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        simulation.run_until(Timestamp::ZERO + 2 * SECOND);
        for ask in 0..300 {
            simulation.request_session(ask);
            if simulation.random.below(3) == 0 {
                simulation.inject_fault();
            }
            let wait = simulation.random.below(120) as i64 * MILLISECOND;
            simulation.run_until(simulation.now + wait);
        }
        // No more faults: calls in flight are answered, pending ends confirmed.
        for server in std::mem::take(&mut simulation.down) {
            simulation.connect_node(server);
        }
        simulation.run_until(simulation.now + 60 * SECOND);
        for (ask, seen) in &simulation.requests {
            assert!(
                seen.withdrawn || seen.answers == 1,
                "seed {seed}: {ask:?} has {} answers",
                seen.answers
            );
        }
        let held = simulation.engine.session_counts();
        assert_eq!(
            (held.waiting, held.ending, held.unconfirmed_ends),
            (0, 0, 0),
            "seed {seed}"
        );
        let held_at_nodes: usize = simulation.held.values().map(BTreeSet::len).sum();
        assert_eq!(
            held_at_nodes, held.playing,
            "seed {seed}: what nodes hold is what is known here"
        );
        attempts += simulation.attempts;
    }
    assert!(
        attempts > 3000,
        "the runs have to exercise the engine: {attempts} set-ups"
    );
}

#[test]
fn requests_with_the_same_key_get_the_same_session() {
    let mut simulation = Simulation::new(1);
    simulation.run_until(Timestamp::ZERO + 2 * SECOND);
    let new = SessionRequest {
        viewer_key: "a".into(),
        class: "open".into(),
        title: "t1".into(),
        ..Default::default()
    };
    for ask in 0..3 {
        simulation.send_request(RequestId(ask), simulation.now + 4 * SECOND, new.clone());
    }
    assert_eq!(simulation.attempts, 1);
    let other = SessionRequest {
        title: "t2".into(),
        ..new
    };
    simulation.send_request(RequestId(9), simulation.now, other);
    assert_eq!(
        simulation.requests[&RequestId(9)].answers,
        1,
        "another title under a key in use clashes at once"
    );
    simulation.run_until(simulation.now + 10 * SECOND);
    assert!((0..3).all(|a| simulation.requests[&RequestId(a)].answers == 1));
    assert_eq!(simulation.playing.len(), 1);
}

#[test]
fn equal_inputs_give_equal_outputs() {
    let run = || {
        let mut engine = Engine::new(config(), Timestamp::ZERO);
        let lines = (0..NODES)
            .map(|n| endpoint(n, EndpointState::Ready))
            .collect();
        engine.handle(
            Timestamp::ZERO,
            Input::EndpointsUpdated {
                update: EndpointUpdate::Full,
                endpoints: lines,
            },
        );
        for ask in 0..50 {
            let new = SessionRequest {
                viewer_key: format!("v{ask}"),
                class: "open".into(),
                title: "t0".into(),
                ..Default::default()
            };
            engine.handle(
                Timestamp::ZERO + ask as i64 * 10 * MILLISECOND,
                Input::RequestReceived {
                    request_id: RequestId(ask),
                    request: new,
                },
            );
        }
        engine.handle_timeout(Timestamp::ZERO + 10 * SECOND);
        std::iter::from_fn(|| engine.poll_output())
            .map(|o| format!("{o:?}"))
            .collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}

#[test]
fn answer_and_deadline_in_one_turn_give_one_answer() {
    for answer_first in [true, false] {
        let mut simulation = Simulation::new(1);
        simulation.run_until(Timestamp::ZERO + 2 * SECOND);
        let new = SessionRequest {
            viewer_key: "a".into(),
            class: "paid".into(),
            title: "t1".into(),
            ..Default::default()
        };
        simulation.send_request(RequestId(0), simulation.now + 4 * SECOND, new);
        let (call, (_, server, kind, _)) = simulation.calls.pop_first().unwrap();
        assert!(matches!(kind, CallKind::SetUpSession { .. }));
        simulation.execute(server, &kind);
        let done = CallResult::Answered {
            status: 201,
            not_started: false,
            load_report: LoadReport::default(),
            media: Some("m".into()),
        };
        simulation.now += 4 * SECOND - 10 * MILLISECOND;
        if answer_first {
            simulation.handle(Input::CallFinished {
                call,
                result: done.clone(),
            });
        }
        // The call was taken off the list: hand it back so that giving it up finds it.
        simulation
            .calls
            .insert(call, (Timestamp::MAX, server, kind, 1));
        simulation.engine.handle_timeout(simulation.now);
        simulation.carry_out_outputs();
        if !answer_first {
            simulation.handle(Input::CallFinished { call, result: done });
        }
        simulation.calls.remove(&call);
        simulation.run_until(simulation.now + 20 * SECOND);
        assert_eq!(simulation.requests[&RequestId(0)].answers, 1);
        let held = simulation.engine.session_counts();
        let held_at_nodes: usize = simulation.held.values().map(BTreeSet::len).sum();
        assert_eq!(
            (held.playing, held_at_nodes),
            if answer_first { (1, 1) } else { (0, 0) }
        );
    }
}

#[test]
fn end_confirmed_by_the_endpoint_list_leaves_no_call_in_flight() {
    let mut simulation = Simulation::new(1);
    simulation.run_until(Timestamp::ZERO + 2 * SECOND);
    let new = SessionRequest {
        viewer_key: "a".into(),
        class: "open".into(),
        title: "t1".into(),
        ..Default::default()
    };
    simulation.send_request(RequestId(0), simulation.now + 4 * SECOND, new);
    simulation.run_until(simulation.now + 10 * SECOND);
    let session = simulation.playing.pop_first().unwrap();
    simulation.handle(Input::EndSession { session });
    let (_, server, ..) = simulation
        .calls
        .values()
        .next()
        .cloned()
        .expect("the node is told to end it");
    // The node never answers; the list says that it is gone.
    simulation.handle(Input::EndpointsUpdated {
        update: EndpointUpdate::Delta,
        endpoints: vec![endpoint(server.0, EndpointState::Gone)],
    });
    assert!(simulation.calls.is_empty(), "{:?}", simulation.calls);
    assert_eq!(simulation.engine.session_counts(), SessionCounts::default());
}

/// An incident of a scripted day of migrations: the node of a set-up in flight vanished, the list said so, and at the viewer's
/// deadline the pending end counted as confirmed at once. The session was forgotten before its answer.
#[test]
fn set_up_at_a_removed_node_is_answered_at_the_deadline() {
    for class in ["open", "paid"] {
        let mut simulation = Simulation::new(1);
        simulation.run_until(Timestamp::ZERO + 2 * SECOND);
        let (viewer, class, title) = ("a".into(), class.into(), "t1".into());
        simulation.send_request(
            RequestId(0),
            simulation.now + 4 * SECOND,
            SessionRequest {
                viewer_key: viewer,
                class,
                title,
                ..Default::default()
            },
        );
        let (_, server, ..) = simulation.calls.values().next().cloned().expect("a set-up");
        // None of them ever answers, and all are gone.
        simulation
            .calls
            .values_mut()
            .for_each(|(due, ..)| *due = Timestamp::MAX);
        let gone = (0..NODES).map(|n| {
            endpoint(
                n,
                if n == server.0 {
                    EndpointState::Gone
                } else {
                    EndpointState::Draining
                },
            )
        });
        let lines = gone.collect();
        simulation.handle(Input::EndpointsUpdated {
            update: EndpointUpdate::Delta,
            endpoints: lines,
        });
        simulation.run_until(simulation.now + 6 * SECOND);
        assert_eq!(simulation.requests[&RequestId(0)].answers, 1);
        assert_eq!(simulation.engine.session_counts(), SessionCounts::default());
    }
}

/// A director that is out of file descriptors: nothing is charged to nodes, and requests are rejected at once.
#[test]
fn unsent_calls_are_charged_to_no_node() {
    let mut simulation = Simulation::new(1);
    simulation.run_until(Timestamp::ZERO + 2 * SECOND);
    for ask in 0..40 {
        let class = if ask % 2 == 0 { "open" } else { "paid" };
        let (viewer, title) = (format!("v{ask}"), format!("t{}", ask % 6));
        simulation.send_request(
            RequestId(ask),
            simulation.now + 4 * SECOND,
            SessionRequest {
                viewer_key: viewer,
                class: class.into(),
                title,
                ..Default::default()
            },
        );
        while let Some((call, _)) = simulation.calls.pop_first() {
            simulation.handle(Input::CallFinished {
                call,
                result: CallResult::NotSent("too many open files".into()),
            });
        }
        assert_eq!(
            simulation.requests[&RequestId(ask)].answers,
            1,
            "turned away at once"
        );
    }
    assert_eq!(
        simulation.engine.session_counts(),
        SessionCounts::default(),
        "no end is pending for what was never sent"
    );
    // It is over: every node takes sessions of both classes at once, as none of them has failed.
    let before = simulation.attempts;
    for ask in 100..124 {
        simulation.now += 100 * MILLISECOND;
        let (viewer, title) = (format!("w{ask}"), format!("t{}", ask % 6));
        let class = "paid".to_string();
        simulation.send_request(
            RequestId(ask),
            simulation.now + 4 * SECOND,
            SessionRequest {
                viewer_key: viewer,
                class,
                title,
                ..Default::default()
            },
        );
    }
    assert_eq!(simulation.attempts - before, 24);
    let at: BTreeSet<ServerId> = simulation
        .calls
        .values()
        .map(|(_, server, ..)| *server)
        .collect();
    assert_eq!(at.len(), NODES as usize, "{at:?}");
}
