//! Membership of simulated fleets: starts, crashes, pauses, restarts and network partitions.

mod simulated_fleet;

use shalewall::Timestamp;
use shalewall_membership::membership::Output;
use simulated_fleet::{Fleet, MILLISECOND, SECOND, start_director};

#[test]
fn directors_that_start_together_find_each_other_with_a_dead_seed() {
    for size in [3, 12, 40] {
        let mut fleet = Fleet::new(size, 0.0);
        let all: Vec<_> = (0..size).collect();
        let took = fleet.converge(&all, SECOND * 20);
        assert!(took.is_some(), "{size}: {:?}", fleet.known_counts(&all));
        assert!(fleet.down_reports.is_empty(), "{:?}", fleet.down_reports);
        // The steady-state traffic of each director does not grow with the fleet.
        fleet.advance(SECOND * 30);
        let before = fleet.sent;
        let seconds = 20;
        fleet.advance(SECOND * seconds);
        let each = (fleet.sent - before) as f64 / seconds as f64 / size as f64;
        println!("{size} directors: {each:.1} datagrams per second and director");
        assert!(each < 5.0, "{size}: {each}");
    }
}

#[test]
fn all_members_detect_a_crash_without_false_positives() {
    let mut fleet = Fleet::new(12, 0.05);
    let all: Vec<_> = (0..12).collect();
    assert!(fleet.converge(&all, SECOND * 30).is_some());
    fleet.advance(SECOND * 30);
    fleet.directors.remove(&7);
    let rest: Vec<_> = (0..12).filter(|n| *n != 7).collect();
    assert!(fleet.converge(&rest, SECOND * 60).is_some());
    assert!(
        fleet.down_reports.iter().all(|(_, name)| name == "n7"),
        "{:?}",
        fleet.down_reports
    );
}

#[test]
fn a_director_that_was_paused_returns_with_a_higher_incarnation() {
    let mut fleet = Fleet::new(8, 0.0);
    let all: Vec<_> = (0..8).collect();
    assert!(fleet.converge(&all, SECOND * 20).is_some());
    fleet.paused.insert(5);
    let rest: Vec<_> = (0..8).filter(|n| *n != 5).collect();
    assert!(fleet.converge(&rest, SECOND * 60).is_some());
    fleet.paused.clear();
    assert!(
        fleet.converge(&all, SECOND * 90).is_some(),
        "{:?}",
        all.iter().map(|n| fleet.known_by(*n)).collect::<Vec<_>>()
    );
    assert!(fleet.directors[&5].incarnation() > 1);
}

#[test]
fn a_director_that_is_killed_and_restarted_is_the_member_of_its_name() {
    let mut fleet = Fleet::new(8, 0.0);
    let all: Vec<_> = (0..8).collect();
    assert!(fleet.converge(&all, SECOND * 20).is_some());
    fleet.directors.remove(&3);
    fleet.advance(MILLISECOND * 100);
    let restarted = start_director(3, 2, fleet.now, 8);
    fleet.directors.insert(3, restarted);
    fleet.collect_outputs(3);
    assert!(fleet.converge(&all, SECOND * 20).is_some());
    for n in all.iter().filter(|n| **n != 3) {
        assert!(
            fleet.directors[n]
                .members()
                .any(|m| m.name == "n3" && m.incarnation >= 2),
            "n{n}"
        );
    }
}

/// Half of the fleet cannot reach the other for 30 s. Each side continues on its own. After the partition heals, they
/// find each other without contacting a seed and without a burst of datagrams.
#[test]
fn halves_of_a_partitioned_fleet_find_each_other_without_a_burst() {
    let mut fleet = Fleet::new(12, 0.0);
    let all: Vec<_> = (0..12).collect();
    assert!(fleet.converge(&all, SECOND * 20).is_some());
    fleet.partition = Some(6);
    fleet.advance(SECOND * 30);
    assert!(
        fleet.all_know_each_other(&all[..6]) && fleet.all_know_each_other(&all[6..]),
        "each side knows exactly its own members"
    );
    fleet.partition = None;
    let begun = fleet.now;
    let mut peak_datagrams_per_s = 0;
    while !fleet.all_know_each_other(&all) {
        let before = fleet.sent;
        fleet.advance(SECOND);
        peak_datagrams_per_s = peak_datagrams_per_s.max(fleet.sent - before);
        assert!(
            fleet.now - begun < SECOND * 240,
            "{:?}",
            fleet.known_counts(&all)
        );
    }
    println!(
        "healed after {} s with at most {} datagrams per second and director",
        (fleet.now - begun).as_secs_f64(),
        peak_datagrams_per_s / 12
    );
    assert!(
        peak_datagrams_per_s / 12 <= 40,
        "{peak_datagrams_per_s} datagrams per second"
    );
}

/// Fleets of mixed versions must interoperate. Compares the datagrams of one start, and those in flight over 20 s in a
/// fleet of five with 10% loss, with those that commit 7a79dca wrote.
#[test]
fn datagram_bytes_match_the_recorded_version() {
    let mut member = start_director(3, 2, Timestamp::ZERO + SECOND * 5, 8);
    let mut digest = blake3::Hasher::new();
    let mut lengths = Vec::new();
    while let Some(output) = member.poll_output() {
        let Output::Send { to, bytes } = output else {
            panic!("{output:?}")
        };
        digest.update(&to.port().to_be_bytes());
        digest.update(&bytes);
        lengths.push(bytes.len());
    }
    assert_eq!(lengths, [87, 87, 88]);
    assert_eq!(
        digest.finalize().to_hex().as_str(),
        "497c797158fb7b04826b9c2317336b635a76eb5b90d1874f4a0eeba92d461e5f"
    );
    let mut fleet = Fleet::new(5, 0.1);
    let mut digest = blake3::Hasher::new();
    for _ in 0..400 {
        for ((arrival, number), datagram) in &fleet.in_flight {
            let arrival = arrival.as_micros();
            let (from, to) = (datagram.from, datagram.to);
            digest.update(format!("{arrival} {number} {from} {to}").as_bytes());
            digest.update(&datagram.bytes);
        }
        fleet.advance(MILLISECOND * 50);
    }
    assert_eq!(
        digest.finalize().to_hex().as_str(),
        "61adb517864a8e9896836d30710f4a930f0cb1d89141e90e0dc5ae8a59ad51bc"
    );
}
