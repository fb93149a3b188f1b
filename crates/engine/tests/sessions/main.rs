//! Sessions of the engine in simulated time: nodes that answer late, with errors or not at all, nodes that fail and
//! restart, and viewers that leave and retry.

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
        for number in 0..300 {
            simulation.request_session(number);
            if simulation.random.below(3) == 0 {
                simulation.inject_fault();
            }
            let wait = simulation.random.below(120) as i64 * MILLISECOND;
            simulation.run_until(simulation.now + wait);
        }
        // No more faults: calls in flight are answered, and pending ends are confirmed.
        for server in std::mem::take(&mut simulation.down) {
            simulation.connect_node(server);
        }
        simulation.run_until(simulation.now + 60 * SECOND);
        for (request_id, request_state) in &simulation.requests {
            assert!(
                request_state.withdrawn || request_state.answers == 1,
                "seed {seed}: {request_id:?} has {} answers",
                request_state.answers
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
            "seed {seed}: the nodes hold exactly the sessions that play"
        );
        attempts += simulation.attempts;
    }
    assert!(
        attempts > 3000,
        "too few set-up attempts to exercise the engine: {attempts}"
    );
}

#[test]
fn requests_with_the_same_key_get_the_same_session() {
    let mut simulation = Simulation::new(1);
    simulation.run_until(Timestamp::ZERO + 2 * SECOND);
    let request = SessionRequest {
        viewer_key: "a".into(),
        class: "open".into(),
        title: "t1".into(),
        ..Default::default()
    };
    for number in 0..3 {
        simulation.send_request(
            RequestId(number),
            simulation.now + 4 * SECOND,
            request.clone(),
        );
    }
    assert_eq!(simulation.attempts, 1);
    let other = SessionRequest {
        title: "t2".into(),
        ..request
    };
    simulation.send_request(RequestId(9), simulation.now, other);
    assert_eq!(
        simulation.requests[&RequestId(9)].answers,
        1,
        "a request for another title under a key in use is answered at once"
    );
    simulation.run_until(simulation.now + 10 * SECOND);
    assert!((0..3).all(|a| simulation.requests[&RequestId(a)].answers == 1));
    assert_eq!(simulation.playing.len(), 1);
}

#[test]
fn equal_inputs_give_equal_outputs() {
    let run = || {
        let mut engine = Engine::new(config(), Timestamp::ZERO);
        let entries = (0..NODES)
            .map(|n| endpoint(n, EndpointState::Ready))
            .collect();
        engine.handle(
            Timestamp::ZERO,
            Input::EndpointsUpdated {
                update: EndpointUpdate::Full,
                endpoints: entries,
            },
        );
        for number in 0..50 {
            let request = SessionRequest {
                viewer_key: format!("v{number}"),
                class: "open".into(),
                title: "t0".into(),
                ..Default::default()
            };
            engine.handle(
                Timestamp::ZERO + number as i64 * 10 * MILLISECOND,
                Input::RequestReceived {
                    request_id: RequestId(number),
                    request,
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
        let request = SessionRequest {
            viewer_key: "a".into(),
            class: "paid".into(),
            title: "t1".into(),
            ..Default::default()
        };
        simulation.send_request(RequestId(0), simulation.now + 4 * SECOND, request);
        let (call, (_, server, kind, _)) = simulation.calls.pop_first().unwrap();
        assert!(matches!(kind, CallKind::SetUpSession { .. }));
        simulation.execute(server, &kind);
        let call_result = CallResult::Answered {
            status: 201,
            not_started: false,
            load_report: LoadReport::default(),
            media: Some("m".into()),
        };
        simulation.now += 4 * SECOND - 10 * MILLISECOND;
        if answer_first {
            simulation.handle(Input::CallFinished {
                call,
                result: call_result.clone(),
            });
        }
        // The call was removed above: insert it again, so that its cancellation finds it.
        simulation
            .calls
            .insert(call, (Timestamp::MAX, server, kind, 1));
        simulation.engine.handle_timeout(simulation.now);
        simulation.carry_out_outputs();
        if !answer_first {
            simulation.handle(Input::CallFinished {
                call,
                result: call_result,
            });
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
    let request = SessionRequest {
        viewer_key: "a".into(),
        class: "open".into(),
        title: "t1".into(),
        ..Default::default()
    };
    simulation.send_request(RequestId(0), simulation.now + 4 * SECOND, request);
    simulation.run_until(simulation.now + 10 * SECOND);
    let session = simulation.playing.pop_first().unwrap();
    simulation.handle(Input::EndSession { session });
    let (_, server, ..) = simulation
        .calls
        .values()
        .next()
        .cloned()
        .expect("a call to end the session");
    // The node never answers; the endpoint list then reports it as gone.
    simulation.handle(Input::EndpointsUpdated {
        update: EndpointUpdate::Delta,
        endpoints: vec![endpoint(server.0, EndpointState::Gone)],
    });
    assert!(simulation.calls.is_empty(), "{:?}", simulation.calls);
    assert_eq!(simulation.engine.session_counts(), SessionCounts::default());
}

/// Guards against a request that is never answered. The node of a set-up in flight is removed from the endpoint list,
/// so at the viewer's deadline the end of the attempt counts as confirmed at once: the session must not be removed
/// before its request is answered.
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
        let (_, server, ..) = simulation
            .calls
            .values()
            .next()
            .cloned()
            .expect("a set-up call");
        // No node answers any more, and none is available.
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
        let entries = gone.collect();
        simulation.handle(Input::EndpointsUpdated {
            update: EndpointUpdate::Delta,
            endpoints: entries,
        });
        simulation.run_until(simulation.now + 6 * SECOND);
        assert_eq!(simulation.requests[&RequestId(0)].answers, 1);
        assert_eq!(simulation.engine.session_counts(), SessionCounts::default());
    }
}

/// A director that is out of file descriptors rejects requests at once, and does not count that as a fault of nodes.
#[test]
fn unsent_calls_do_not_count_against_nodes() {
    let mut simulation = Simulation::new(1);
    simulation.run_until(Timestamp::ZERO + 2 * SECOND);
    for number in 0..40 {
        let class = if number % 2 == 0 { "open" } else { "paid" };
        let (viewer, title) = (format!("v{number}"), format!("t{}", number % 6));
        simulation.send_request(
            RequestId(number),
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
            simulation.requests[&RequestId(number)].answers,
            1,
            "rejected at once"
        );
    }
    assert_eq!(
        simulation.engine.session_counts(),
        SessionCounts::default(),
        "no end is pending for calls that were never sent"
    );
    // Once descriptors are available again, every node gets sessions at once, as none of them has failed.
    let before = simulation.attempts;
    for number in 100..124 {
        simulation.now += 100 * MILLISECOND;
        let (viewer, title) = (format!("w{number}"), format!("t{}", number % 6));
        let class = "paid".to_string();
        simulation.send_request(
            RequestId(number),
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
