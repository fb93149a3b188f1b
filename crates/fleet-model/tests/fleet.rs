//! Tests for shared links, overload of cold nodes, and sessions that end before their set-up arrives.

use shalewall::{TimeDelta, Timestamp};
use shalewall_fleet_model::fleet::{
    ActiveSession, AttemptId, Fleet, FleetParameters, Machine, ProcessState, SetupDecision,
};

const START: Timestamp = Timestamp::ZERO;

fn attempt(session: u64, attempt: u32) -> AttemptId {
    AttemptId { session, attempt }
}

fn fleet() -> Fleet {
    let parameters = FleetParameters {
        rate_deviation: 0.0,
        setup_time: TimeDelta::from_millis(50),
        report_interval: TimeDelta::from_millis(300),
        report_noise: 0.0,
        rejection_threshold: 0.0,
        warm_up: TimeDelta::from_secs(10),
        initial_capacity: 0.4,
        overload_factor: 2.0,
        overload_window: TimeDelta::from_secs(2),
        uplinks_kb_s: vec![1500.0],
    };
    let mut fleet = Fleet::new(parameters, 1);
    for id in 0..2 {
        let machine = Machine {
            id,
            zone: String::new(),
            kind: String::new(),
            cell: id,
            weight: 1.0,
            stream_capacity: 20.0,
            link_kb_s: 1000.0,
        };
        fleet.start(machine, START, true);
    }
    fleet
}

fn play(fleet: &mut Fleet, id: u64, session: u64, rate_kb_s: f64) {
    assert!(matches!(
        fleet.begin_setup(id, attempt(session, 0), START),
        SetupDecision::Accepted(_)
    ));
    let (class, title) = (String::new(), String::new());
    assert!(fleet.complete_setup(
        id,
        attempt(session, 0),
        ActiveSession {
            director: 0,
            viewer: 0,
            tenant: None,
            class,
            title,
            rung: 0,
            rate_kb_s,
            true_rate_kb_s: rate_kb_s
        }
    ));
}

#[test]
fn sessions_share_a_full_link_and_uplink_equally() {
    let mut fleet = fleet();
    play(&mut fleet, 0, 1, 800.0);
    play(&mut fleet, 0, 2, 800.0);
    assert!((fleet.load(0).delivered - 1.0 / 1.6).abs() < 1e-9);
    // Node 0 sends 1000 KB/s, its link's bandwidth, and node 1 sends 800: more than the uplink's 1500.
    play(&mut fleet, 1, 3, 800.0);
    assert!((fleet.load(1).uplink - 1.2).abs() < 1e-9);
    assert!((fleet.load(1).delivered - 1.0 / 1.2).abs() < 1e-9);
    assert!((fleet.load(0).delivered - 1.0 / 1.6 / 1.2).abs() < 1e-9);
}

#[test]
fn a_cold_node_fails_of_overload_and_a_warm_node_does_not() {
    for warm in [true, false] {
        let mut fleet = fleet();
        let machine = fleet.nodes[&0].machine.clone();
        fleet.start(machine, START, warm);
        // 20 streams over 10 s of warm-up at capacity 0.4, times the overload factor 2 over a window of 2 s: 3.2
        // set-ups, plus a slack of 2.
        let overloaded = (0..12).any(|s| {
            fleet.begin_setup(0, attempt(s, 0), START + TimeDelta::from_millis(1))
                == SetupDecision::Overloaded
        });
        assert_eq!(overloaded, !warm);
        assert_eq!(fleet.nodes[&0].process == ProcessState::Down, !warm);
    }
}

#[test]
fn a_set_up_that_arrives_after_its_end_is_cancelled() {
    let mut fleet = fleet();
    assert!(!fleet.end_session(0, attempt(7, 0)));
    assert_eq!(
        fleet.begin_setup(0, attempt(7, 0), START),
        SetupDecision::Cancelled
    );
    assert!(matches!(
        fleet.begin_setup(0, attempt(7, 1), START),
        SetupDecision::Accepted(_)
    ));
}
