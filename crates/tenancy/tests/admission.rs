//! Admission of random arrivals: it is work conserving, quotas are met within the asserted bounds, and no tenant
//! starves.

mod support;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shalewall::{TimeDelta, Timestamp};
use shalewall_tenancy::admission::{Capacity, RejectionCause, TenantAdmission};
use shalewall_tenancy::tenant::TenantId;
use shalewall_tenancy::terms::Limits;
use std::collections::BTreeSet;

/// The id of tenant `number`.
fn id(number: usize) -> TenantId {
    support::id(&format!("t{number}"))
}

fn at_s(seconds: i64) -> Timestamp {
    Timestamp::ZERO + TimeDelta::from_secs(seconds)
}

/// An admitted session, ordered by its end.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Session {
    ends_at: Timestamp,
    number: u64,
    tenant: usize,
}

/// Simulates tenants that send requests at constant rates.
struct Run {
    admission: TenantAdmission,
    sessions: BTreeSet<Session>,
    admitted: u64,
}

impl Run {
    fn new(capacity: Capacity, shares: &[f64]) -> Run {
        let mut admission = TenantAdmission::new(capacity, Timestamp::ZERO);
        for (tenant, share) in shares.iter().enumerate() {
            admission.set_tenant(Timestamp::ZERO, &id(tenant), *share, &Limits::default());
        }
        Run {
            admission,
            sessions: BTreeSet::new(),
            admitted: 0,
        }
    }

    /// Ends the sessions that are due.
    fn end_sessions(&mut self, now: Timestamp) {
        while let Some(first) = self.sessions.first().copied() {
            if first.ends_at > now {
                break;
            }
            self.sessions.remove(&first);
            self.admission.release(first.ends_at, &id(first.tenant));
        }
    }

    fn request(&mut self, now: Timestamp, tenant: usize, duration: TimeDelta) -> bool {
        let admitted = self.admission.admit(now, &id(tenant)).is_ok();
        if admitted {
            self.admitted += 1;
            self.sessions.insert(Session {
                ends_at: now + duration,
                number: self.admitted,
                tenant,
            });
        }
        admitted
    }

    /// Tenants send requests at these rates between two times. Returns the number of admitted requests by tenant.
    fn requests(
        &mut self,
        from_s: i64,
        to_s: i64,
        rates_per_s: &[f64],
        duration: TimeDelta,
    ) -> Vec<u64> {
        let mut admitted = vec![0; rates_per_s.len()];
        let mut due: Vec<f64> = vec![0.0; rates_per_s.len()];
        for ms in from_s * 1000..to_s * 1000 {
            let now = Timestamp::ZERO + TimeDelta::from_millis(ms);
            self.end_sessions(now);
            // In each step, the tenants with the higher numbers, and mostly the higher rates, come first.
            for (tenant, rate) in rates_per_s.iter().enumerate().rev() {
                due[tenant] += rate / 1000.0;
                while due[tenant] >= 1.0 {
                    due[tenant] -= 1.0;
                    admitted[tenant] += u64::from(self.request(now, tenant, duration));
                }
            }
        }
        admitted
    }
}

const UNLIMITED_SESSIONS: Capacity = Capacity {
    set_ups_per_s: 100.0,
    sessions: 1e9,
};

#[test]
fn a_single_active_tenant_can_use_the_whole_director() {
    let mut run = Run::new(UNLIMITED_SESSIONS, &[1.0, 1.0, 1.0, 1.0]);
    let admitted = run.requests(0, 20, &[0.0, 0.0, 0.0, 300.0], TimeDelta::from_secs(1));
    assert!(admitted[3] >= 1900, "work conserving: {admitted:?}");
}

#[test]
fn a_tenant_within_its_quota_is_not_rejected_while_another_sends_ten_times_its_quota() {
    let mut run = Run::new(UNLIMITED_SESSIONS, &[1.0, 1.0]);
    run.requests(0, 10, &[0.0, 500.0], TimeDelta::from_secs(1));
    // The first tenant starts to send requests during the overload.
    let admitted = run.requests(10, 40, &[45.0, 500.0], TimeDelta::from_secs(1));
    assert!(admitted[0] >= 45 * 30 - 1, "{admitted:?}");
    assert!(
        admitted[1] >= 50 * 30,
        "the other tenant uses the rest: {admitted:?}"
    );
}

#[test]
fn unused_capacity_is_not_taken_by_the_busiest_tenant_alone() {
    let mut run = Run::new(UNLIMITED_SESSIONS, &[1.0, 1.0, 1.0]);
    // Two tenants request more than their third, one of them ten times as much as the other.
    let admitted = run.requests(0, 60, &[0.0, 60.0, 600.0], TimeDelta::from_secs(1));
    assert!(admitted[1] >= 60 * 38, "{admitted:?}");
    assert!(admitted[1] + admitted[2] >= 60 * 90, "{admitted:?}");
}

#[test]
fn a_tenant_regains_its_session_quota_as_sessions_of_others_end() {
    let capacity = Capacity {
        set_ups_per_s: 1e6,
        sessions: 1000.0,
    };
    let mut run = Run::new(capacity, &[1.0, 1.0]);
    // Tenant 1 fills all but the reserve with sessions of one minute that start and end steadily.
    run.requests(0, 70, &[0.0, 16.0], TimeDelta::from_secs(60));
    run.requests(70, 75, &[0.0, 100.0], TimeDelta::from_secs(60));
    assert!(run.admission.held_sessions(&id(1)) >= 940);
    // Tenant 0 then requests what its half can carry: 8 sessions per second of one minute each.
    let admitted = run.requests(75, 195, &[8.0, 100.0], TimeDelta::from_secs(60));
    assert!(
        admitted[0] >= 8 * 120 - 8,
        "too many requests were rejected: {admitted:?}"
    );
    assert!(run.admission.held_sessions(&id(0)) >= 470);
}

#[test]
fn a_tenant_regains_its_quota_when_sessions_of_others_end_all_at_once() {
    let capacity = Capacity {
        set_ups_per_s: 1e6,
        sessions: 1000.0,
    };
    let mut run = Run::new(capacity, &[1.0, 1.0]);
    run.requests(0, 15, &[0.0, 100.0], TimeDelta::from_secs(60));
    let first = run.requests(15, 60, &[8.0, 100.0], TimeDelta::from_secs(60));
    assert!(
        first[0] >= 50,
        "the reserve is available at once: {first:?}"
    );
    let then = run.requests(60, 180, &[8.0, 100.0], TimeDelta::from_secs(60));
    assert!(
        then[0] >= 8 * 90,
        "most of the quota is available after the next ends: {then:?}"
    );
    let later = run.requests(180, 300, &[8.0, 100.0], TimeDelta::from_secs(60));
    assert!(
        later[0] >= 8 * 115,
        "nearly the whole quota is available later: {later:?}"
    );
    // The reservation expires when the tenant sends no more requests, and tenant 1 can use the rest again.
    run.requests(300, 420, &[0.0, 100.0], TimeDelta::from_secs(60));
    assert!(run.admission.held_sessions(&id(1)) >= 940);
}

#[test]
fn a_quota_reduced_below_its_usage_ends_no_session_and_admits_hardly_any() {
    let capacity = Capacity {
        set_ups_per_s: 1e6,
        sessions: 100.0,
    };
    let mut run = Run::new(capacity, &[1.0, 1.0]);
    run.requests(0, 10, &[0.0, 9.0], TimeDelta::from_secs(600));
    let held = run.admission.held_sessions(&id(1));
    assert!(held >= 89);
    run.admission
        .set_tenant(at_s(10), &id(1), 0.1, &Limits::default());
    assert_eq!(run.admission.held_sessions(&id(1)), held);
    let admitted = run.requests(10, 15, &[2.0, 9.0], TimeDelta::from_secs(600));
    assert!(admitted[0] >= 5 && admitted[1] <= 5, "{admitted:?}");
}

#[test]
fn sessions_of_a_removed_tenant_count_until_they_end_and_no_new_ones_are_admitted() {
    let mut run = Run::new(UNLIMITED_SESSIONS, &[1.0, 1.0]);
    run.requests(0, 1, &[10.0, 10.0], TimeDelta::from_secs(30));
    run.admission.remove_tenant(&id(1));
    assert_eq!(
        (
            run.admission.tenant_count(),
            run.admission.held_sessions(&id(1))
        ),
        (2, 10)
    );
    let rejection = run.admission.admit(at_s(2), &id(1)).unwrap_err();
    assert_eq!(rejection.cause, RejectionCause::UnknownTenant);
    run.end_sessions(at_s(60));
    assert_eq!(
        run.admission.tenant_count(),
        1,
        "the removed tenant is dropped when its sessions have ended"
    );
    assert!(
        (run.admission.session_quota(&id(0)) - UNLIMITED_SESSIONS.sessions).abs() < 1.0,
        "the remaining tenant has the whole quota"
    );
}

#[test]
fn retry_after_is_accurate_for_a_tenant_above_its_own_limit() {
    let mut admission = TenantAdmission::new(UNLIMITED_SESSIONS, Timestamp::ZERO);
    let limits = Limits {
        set_ups_per_s: Some(2.0),
        ..Limits::default()
    };
    admission.set_tenant(Timestamp::ZERO, &id(0), 1.0, &limits);
    let mut now = Timestamp::ZERO;
    for _ in 0..50 {
        match admission.admit(now, &id(0)) {
            Ok(()) => now += TimeDelta::from_millis(1),
            Err(rejection) => {
                assert_eq!(rejection.cause, RejectionCause::TenantSetUpLimit);
                let retry_at = now + rejection.retry_after;
                let too_early = retry_at - TimeDelta::from_millis(50);
                assert!(
                    admission.admit(too_early, &id(0)).is_err(),
                    "still rejected 50 ms before retry_after"
                );
                now = retry_at + TimeDelta::from_micros(1);
                assert_eq!(
                    admission.admit(now, &id(0)),
                    Ok(()),
                    "admitted after retry_after"
                );
            }
        }
    }
}

proptest! {
    // A fixed seed makes the test deterministic.
    #![proptest_config(ProptestConfig {
        cases: 96,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Whatever the others send, at least 95 % of the requests of a tenant within 90 % of its quota are admitted. The
    /// director admits at least 85 % of what it can carry if that much is requested, and not more than it can carry.
    #[test]
    fn quotas_are_met_and_capacity_is_used(
        shares in prop::collection::vec(0.5f64..4.0, 2..8),
        loads in prop::collection::vec(0.0f64..6.0, 8),
        duration_s in 1i64..4,
    ) {
        let capacity = Capacity { set_ups_per_s: 100.0, sessions: 150.0 };
        let mut run = Run::new(capacity, &shares);
        let all: f64 = shares.iter().sum();
        let set_up_quota = |i: usize| 100.0 * shares[i] / all;
        // Sessions per second that the director can carry with this duration.
        let capacity_per_s = (150.0 / duration_s as f64).min(100.0);
        let rates: Vec<f64> = (0..shares.len()).map(|i| loads[i] * set_up_quota(i)).collect();
        run.requests(0, 10, &rates, TimeDelta::from_secs(duration_s));
        let admitted = run.requests(10, 30, &rates, TimeDelta::from_secs(duration_s));
        for (i, rate) in rates.iter().enumerate() {
            let own = shares[i] / all * capacity_per_s;
            if *rate <= 0.9 * own {
                prop_assert!(admitted[i] as f64 >= rate * 20.0 * 0.95 - 3.0, "{i}: {rate} of {own}, {admitted:?}");
            }
            prop_assert!(admitted[i] as f64 >= rate.min(own * 0.8) * 20.0 - 6.0, "{i} starves: {admitted:?} {rates:?}");
        }
        let requested_per_s: f64 = rates.iter().sum();
        let admitted_per_s = admitted.iter().sum::<u64>() as f64 / 20.0;
        prop_assert!(
            admitted_per_s >= 0.85 * requested_per_s.min(capacity_per_s) - 1.0,
            "{admitted_per_s} admitted of {requested_per_s} requested and a capacity of {capacity_per_s} per second"
        );
        prop_assert!(admitted_per_s <= capacity_per_s * 1.1 + 1.0);
    }
}
