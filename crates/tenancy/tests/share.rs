//! The share module over random arrivals: it is work conserving, parts are met within a stated bound, and nobody
//! starves.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shalewall_tenancy::model::{Limits, TenantId};
use shalewall_tenancy::share::{Capacity, Cause, Shares, Verdict};

const S: i64 = 1_000_000;

fn id(i: usize) -> TenantId {
    TenantId::try_from(format!("t{i}")).unwrap()
}

/// Tenants that ask at steady rates, each session lasting so long; what each was taken for in the last part.
struct Run {
    shares: Shares,
    ends: std::collections::BTreeSet<(i64, u64, usize)>,
    next: u64,
}

impl Run {
    fn new(capacity: Capacity, weights: &[f64]) -> Run {
        let mut shares = Shares::new(capacity, 0);
        for (i, weight) in weights.iter().enumerate() {
            shares.agree(0, &id(i), true, *weight, &Limits::default());
        }
        Run {
            shares,
            ends: Default::default(),
            next: 0,
        }
    }

    fn pass(&mut self, now: i64) {
        while let Some(first) = self.ends.first().copied().filter(|e| e.0 <= now) {
            self.ends.remove(&first);
            self.shares.ended(first.0, &id(first.2));
        }
    }

    /// From a second to another, tenants ask at these rates; what each was taken for.
    fn ask(&mut self, from_s: i64, to_s: i64, rates: &[f64], lasts: i64) -> Vec<u64> {
        let mut taken = vec![0; rates.len()];
        let mut due: Vec<f64> = vec![0.0; rates.len()];
        for ms in from_s * 1000..to_s * 1000 {
            let now = ms * 1000;
            self.pass(now);
            // The loudest come first in each turn.
            for (i, rate) in rates.iter().enumerate().rev() {
                due[i] += rate / 1000.0;
                while due[i] >= 1.0 {
                    due[i] -= 1.0;
                    if self.shares.ask(now, &id(i)) == Verdict::Take {
                        taken[i] += 1;
                        self.next += 1;
                        self.ends.insert((now + lasts, self.next, i));
                    }
                }
            }
        }
        taken
    }
}

const WIDE: Capacity = Capacity {
    set_ups_per_s: 100.0,
    sessions: 1e9,
};

#[test]
fn alone_a_tenant_has_the_whole_front() {
    let mut run = Run::new(WIDE, &[1.0, 1.0, 1.0, 1.0]);
    let taken = run.ask(0, 20, &[0.0, 0.0, 0.0, 300.0], S);
    assert!(taken[3] >= 1900, "work conserving: {taken:?}");
}

#[test]
fn a_quiet_tenant_within_its_part_is_never_turned_away_beside_one_that_sends_ten_times_its_own() {
    let mut run = Run::new(WIDE, &[1.0, 1.0]);
    run.ask(0, 10, &[0.0, 500.0], S);
    // It comes back in the middle of the storm.
    let taken = run.ask(10, 40, &[45.0, 500.0], S);
    assert!(taken[0] >= 45 * 30 - 1, "{taken:?}");
    assert!(taken[1] >= 50 * 30, "and the rest is used: {taken:?}");
}

#[test]
fn what_others_leave_is_not_taken_by_the_loudest_alone() {
    let mut run = Run::new(WIDE, &[1.0, 1.0, 1.0]);
    // Both want more than their third; one wants ten times as much as the other.
    let taken = run.ask(0, 60, &[0.0, 60.0, 600.0], S);
    assert!(taken[1] >= 60 * 38, "{taken:?}");
    assert!(taken[1] + taken[2] >= 60 * 90, "{taken:?}");
}

#[test]
fn sessions_held_come_back_to_a_tenants_part_as_others_end() {
    let capacity = Capacity {
        set_ups_per_s: 1e6,
        sessions: 1000.0,
    };
    let mut run = Run::new(capacity, &[1.0, 1.0]);
    // The loud one fills all but the reserve with sessions of a minute that come and go steadily.
    run.ask(0, 70, &[0.0, 16.0], 60 * S);
    run.ask(70, 75, &[0.0, 100.0], 60 * S);
    assert!(run.shares.held(&id(1)) >= 940);
    // The quiet one comes back with what its half could carry: 8 a second for a minute each.
    let taken = run.ask(75, 195, &[8.0, 100.0], 60 * S);
    assert!(
        taken[0] >= 8 * 120 - 8,
        "hardly any is turned away: {taken:?}"
    );
    assert!(run.shares.held(&id(0)) >= 470);
}

#[test]
fn where_others_all_end_at_once_a_tenant_has_its_part_after_a_few_of_their_lengths() {
    let capacity = Capacity {
        set_ups_per_s: 1e6,
        sessions: 1000.0,
    };
    let mut run = Run::new(capacity, &[1.0, 1.0]);
    run.ask(0, 15, &[0.0, 100.0], 60 * S);
    let first = run.ask(15, 60, &[8.0, 100.0], 60 * S);
    assert!(first[0] >= 50, "the reserve is there at once: {first:?}");
    let then = run.ask(60, 180, &[8.0, 100.0], 60 * S);
    assert!(then[0] >= 8 * 90, "with the next ends most of it: {then:?}");
    let later = run.ask(180, 300, &[8.0, 100.0], 60 * S);
    assert!(later[0] >= 8 * 115, "and then all but a few: {later:?}");
    // The claim fades once the tenant is content, and the rest is the loud one's again.
    run.ask(300, 420, &[0.0, 100.0], 60 * S);
    assert!(run.shares.held(&id(1)) >= 940);
}

#[test]
fn a_part_lowered_below_what_is_in_use_ends_nothing_and_gives_nothing_new() {
    let capacity = Capacity {
        set_ups_per_s: 1e6,
        sessions: 100.0,
    };
    let mut run = Run::new(capacity, &[1.0, 1.0]);
    run.ask(0, 10, &[0.0, 9.0], 600 * S);
    let held = run.shares.held(&id(1));
    assert!(held >= 89);
    run.shares
        .agree(10 * S, &id(1), true, 0.1, &Limits::default());
    assert_eq!(run.shares.held(&id(1)), held);
    let taken = run.ask(10, 15, &[2.0, 9.0], 600 * S);
    assert!(taken[0] >= 5 && taken[1] <= 5, "{taken:?}");
}

#[test]
fn suspended_or_unknown_takes_nothing_and_what_it_holds_counts_until_it_ends() {
    let mut run = Run::new(WIDE, &[1.0, 1.0]);
    run.ask(0, 1, &[10.0, 10.0], 30 * S);
    run.shares.forget(&id(1));
    assert_eq!((run.shares.known(), run.shares.held(&id(1))), (2, 10));
    let Verdict::TurnAway { cause, .. } = run.shares.ask(2 * S, &id(1)) else {
        panic!("taken")
    };
    assert_eq!(cause, Cause::NoSuchTenant);
    run.pass(60 * S);
    assert_eq!(run.shares.known(), 1, "and then nothing of it is left");
    assert!(
        (run.shares.part(&id(0)) - WIDE.sessions).abs() < 1.0,
        "the other has it all"
    );
}

#[test]
fn advice_to_come_back_proves_true_for_a_tenant_above_its_own_limit() {
    let mut shares = Shares::new(WIDE, 0);
    shares.agree(
        0,
        &id(0),
        true,
        1.0,
        &Limits {
            set_ups_per_s: Some(2.0),
            ..Limits::default()
        },
    );
    let mut now = 0;
    for _ in 0..50 {
        match shares.ask(now, &id(0)) {
            Verdict::Take => now += 1000,
            Verdict::TurnAway { cause, come_back } => {
                assert_eq!(cause, Cause::OwnSetUps);
                assert!(
                    shares.ask(now + come_back - 50_000, &id(0)) != Verdict::Take,
                    "not long before"
                );
                now += come_back + 1;
                assert_eq!(
                    shares.ask(now, &id(0)),
                    Verdict::Take,
                    "and then it is taken"
                );
            }
        }
    }
}

proptest! {
    // Cases of a fixed seed: the same verdict every time.
    #![proptest_config(ProptestConfig {
        cases: 96,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Whatever the others send, a tenant that stays within nine tenths of its part is taken but for 5 in 100;
    /// the front takes 85 in 100 of what it can if that much is asked; nothing is held above the front's.
    #[test]
    fn parts_are_met_and_nothing_is_wasted(
        weights in prop::collection::vec(0.5f64..4.0, 2..8),
        loads in prop::collection::vec(0.0f64..6.0, 8),
        lasts in 1i64..4,
    ) {
        let capacity = Capacity { set_ups_per_s: 100.0, sessions: 150.0 };
        let mut run = Run::new(capacity, &weights);
        let all: f64 = weights.iter().sum();
        let part = |i: usize| 100.0 * weights[i] / all;
        // Sessions of `lasts` seconds: of the sessions held a part carries so many a second.
        let carried = (150.0 / lasts as f64).min(100.0);
        let rates: Vec<f64> = (0..weights.len()).map(|i| loads[i] * part(i)).collect();
        run.ask(0, 10, &rates, lasts * S);
        let taken = run.ask(10, 30, &rates, lasts * S);
        for (i, rate) in rates.iter().enumerate() {
            let own = weights[i] / all * carried;
            if *rate <= 0.9 * own {
                prop_assert!(taken[i] as f64 >= rate * 20.0 * 0.95 - 3.0, "{i}: {rate} of {own}, {taken:?}");
            }
            prop_assert!(taken[i] as f64 >= rate.min(own * 0.8) * 20.0 - 6.0, "{i} starves: {taken:?} {rates:?}");
        }
        let asked: f64 = rates.iter().sum();
        let done = taken.iter().sum::<u64>() as f64 / 20.0;
        prop_assert!(done >= 0.85 * asked.min(carried) - 1.0, "{done} of {asked} and {carried}");
        prop_assert!(done <= carried * 1.1 + 1.0);
    }
}
