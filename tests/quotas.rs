//! Tenants: quotas of the fleet, dedicated fleets, and settings that change while sessions play.

mod common;

use common::{
    AT_MOST_ONCE, DirectorHarness, IDEMPOTENT, MILLISECOND, endpoint, settings, viewer_request,
};
use shalewall::{
    Action, ClassSettings, Endpoint, EndpointState, EndpointUpdate, Event, Idempotency, Outcome,
    Request, ServerId, SessionId, TenantSettings,
};

/// The tenant that requests more than its quota.
const LOUD: usize = 0;
/// The tenant that requests sessions later, and gets its quota.
const QUIET: usize = 1;

/// A director with two tenants with these quotas; all servers have warmed up and their link capacity is known.
fn shared_fleet(quotas: [f64; 2]) -> DirectorHarness {
    let mut settings = settings();
    settings.rack_uplink_kb_s = 0.0;
    settings.tenants = quotas
        .map(|fleet_quota| TenantSettings {
            fleet_quota,
            ..Default::default()
        })
        .to_vec();
    DirectorHarness::new(settings, 4)
}

/// Requests a session for a tenant's viewer; returns its server and rung, if it is admitted.
fn request_session(
    harness: &mut DirectorHarness,
    id: u64,
    tenant: usize,
) -> Option<(ServerId, usize)> {
    let request = Request {
        tenant: Some(tenant),
        ..viewer_request(id, IDEMPOTENT, harness.now)
    };
    let actions = harness.handle(Event::RequestReceived(request));
    let rung = actions.iter().rev().find_map(|a| match a {
        Action::SetRung { session, rung } if session.0 == id => Some(*rung),
        _ => None,
    });
    let sent = actions.iter().find_map(|a| match a {
        Action::StartAttempt {
            session, server, ..
        } if session.0 == id => Some(*server),
        _ => None,
    })?;
    harness.start_session(id, 0, sent);
    // There is only this director, so its own sessions are the whole load of each link.
    Some((sent, rung.expect("a rung before the set-up")))
}

/// Requests sessions for a tenant until one is rejected; returns those that play, with their servers.
fn fill(
    harness: &mut DirectorHarness,
    ids: std::ops::Range<u64>,
    tenant: usize,
) -> Vec<(u64, ServerId)> {
    let mut playing = Vec::new();
    for id in ids {
        harness.now += 100 * MILLISECOND;
        match request_session(harness, id, tenant) {
            Some((server, _)) => playing.push((id, server)),
            None => break,
        }
    }
    playing
}

#[test]
fn a_tenant_within_its_quota_finds_capacity_at_once_and_gets_all_that_is_released() {
    let mut harness = shared_fleet([0.5, 0.5]);
    let loud = fill(&mut harness, 0..1000, LOUD);
    assert!(
        loud.len() > 150,
        "it may use all capacity that nobody else needs: {}",
        loud.len()
    );
    // There is capacity before any of the other tenant's sessions have ended.
    let quiet = fill(&mut harness, 1000..2000, QUIET);
    assert!((2..20).contains(&quiet.len()), "{}", quiet.len());
    // Both request all capacity that is released. The one with quota debt gets none until the other has its quota.
    let mut next = 2000;
    let mut got = [0, 0];
    for (id, server) in &loud[..60] {
        harness.now += 100 * MILLISECOND;
        harness.finish_attempt(*id, 0, *server, Outcome::Success);
        for tenant in [LOUD, QUIET] {
            got[tenant] += u32::from(request_session(&mut harness, next, tenant).is_some());
            next += 1;
        }
    }
    assert_eq!(got[LOUD], 0, "{got:?}");
    assert!(got[QUIET] >= 55, "{got:?}");
}

#[test]
fn both_tenants_converge_to_their_quotas_regardless_of_order() {
    for quotas in [[0.5, 0.5], [0.8, 0.2], [0.2, 0.8]] {
        let mut harness = shared_fleet(quotas);
        let mut playing: std::collections::VecDeque<(u64, ServerId, usize)> =
            fill(&mut harness, 0..1000, LOUD)
                .into_iter()
                .map(|(id, s)| (id, s, LOUD))
                .collect();
        let mut next = 1000;
        // Sessions end in order of their start; the demand of both exceeds the capacity.
        for _ in 0..1500 {
            harness.now += 100 * MILLISECOND;
            let Some((id, server, _)) = playing.pop_front() else {
                break;
            };
            harness.finish_attempt(id, 0, server, Outcome::Success);
            for tenant in [LOUD, QUIET] {
                if let Some((server, _)) = request_session(&mut harness, next, tenant) {
                    playing.push_back((next, server, tenant));
                }
                next += 1;
            }
        }
        let quiet =
            playing.iter().filter(|(_, _, t)| *t == QUIET).count() as f64 / playing.len() as f64;
        assert!(
            (quiet - quotas[QUIET]).abs() < 0.06,
            "quota {}, but a fraction of {quiet} of the sessions",
            quotas[QUIET]
        );
    }
}

#[test]
fn a_tenant_with_less_debt_is_not_downgraded_for_one_with_more() {
    let mut harness = shared_fleet([0.5, 0.5]);
    // The quiet tenant's sessions play at the top rung; the loud tenant's sessions fill the rest of the fleet.
    let quiet: Vec<u64> = fill(&mut harness, 0..4, QUIET)
        .into_iter()
        .map(|(id, _)| id)
        .collect();
    let mut downgraded = 0;
    for id in 1000..2000 {
        harness.now += 100 * MILLISECOND;
        let request = Request {
            tenant: Some(LOUD),
            ..viewer_request(id, IDEMPOTENT, harness.now)
        };
        let actions = harness.handle(Event::RequestReceived(request));
        for a in &actions {
            match a {
                Action::SetRung { session, .. } if quiet.contains(&session.0) => {
                    panic!("{id}: {a:?}")
                }
                Action::SetRung { session, .. } if session.0 != id => downgraded += 1,
                Action::StartAttempt {
                    session, server, ..
                } => drop(harness.start_session(session.0, 0, *server)),
                _ => {}
            }
        }
    }
    assert!(
        downgraded > 10,
        "its own sessions free capacity for it: {downgraded}"
    );
}

#[test]
fn tenants_without_quotas_have_no_effect() {
    let mut with = shared_fleet([0.0, 0.0]);
    let mut without = shared_fleet([0.0, 0.0]);
    for id in 0..300 {
        let tenant = Some((id % 2) as usize);
        let request = Request {
            tenant,
            ..viewer_request(id, IDEMPOTENT, with.now)
        };
        let nobody = Request {
            tenant: None,
            ..request
        };
        let of_tenant = with.handle(Event::RequestReceived(request));
        let of_nobody = without.handle(Event::RequestReceived(nobody));
        assert_eq!(of_tenant, of_nobody, "{id}");
        with.now += 50 * MILLISECOND;
        without.now += 50 * MILLISECOND;
    }
}

#[test]
fn a_request_is_sent_only_to_servers_of_its_fleet() {
    let mut harness = DirectorHarness::new(settings(), 4);
    let own = |id| Endpoint {
        fleet: u32::from(id >= 3),
        ..endpoint(id)
    };
    harness.update_endpoints(EndpointUpdate::Delta, (1..=4).map(own).collect());
    for id in 0..20 {
        let fleet = (id % 3 == 0) as u32;
        let actions = harness.handle(Event::RequestReceived(Request {
            fleet,
            ..viewer_request(id, IDEMPOTENT, harness.now)
        }));
        let sent = actions.iter().find_map(|a| match a {
            Action::StartAttempt { server, .. } => Some(server.0),
            _ => None,
        });
        assert_eq!(sent.expect("there is capacity") >= 3, fleet == 1, "{id}");
    }
    // With no available server in its fleet, the request is rejected and not sent to another fleet.
    let draining = |id| Endpoint {
        fleet: 1,
        state: EndpointState::Draining,
        ..endpoint(id)
    };
    harness.update_endpoints(EndpointUpdate::Delta, (3..=4).map(draining).collect());
    let actions = harness.handle(Event::RequestReceived(Request {
        fleet: 1,
        ..viewer_request(100, IDEMPOTENT, harness.now)
    }));
    assert!(
        actions.iter().any(|a| matches!(a, Action::Reject { .. })),
        "{actions:?}"
    );
}

#[test]
fn new_class_settings_apply_to_new_requests_only() {
    let mut harness = DirectorHarness::new(settings(), 4);
    let sent = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::StartAttempt { server, .. } => Some(*server),
            _ => None,
        })
    };
    let server = sent(&harness.request_session(1, AT_MOST_ONCE)).expect("there is capacity");
    // The class with new settings has a new index; an attempt in flight keeps its old settings.
    let mut classes = settings().classes;
    classes.push(ClassSettings {
        idempotency: Idempotency::Idempotent,
        lowest_rung: 3,
        ..classes[AT_MOST_ONCE]
    });
    harness.handle(Event::SettingsUpdated {
        classes,
        tenants: Vec::new(),
    });
    let actions = harness.finish_attempt(1, 0, server, Outcome::TimedOut);
    assert_eq!(
        actions,
        [Action::Fail {
            session: SessionId(1)
        }],
        "an at-most-once set-up that may have run"
    );
    let actions = harness.request_session(2, 2);
    assert!(sent(&actions).is_some());
    for a in actions {
        assert!(!matches!(a, Action::SetRung { rung: 0..3, .. }), "{a:?}");
    }
    // The session limit applies to the title, whatever the index of its class: two more sessions, and no third.
    assert!(sent(&harness.request_session(3, AT_MOST_ONCE)).is_some());
    assert!(sent(&harness.request_session(4, 2)).is_some());
    assert!(
        sent(&harness.request_session(5, AT_MOST_ONCE)).is_none()
            && sent(&harness.request_session(6, 2)).is_none()
    );
}

/// A migration has the same utilization limits as a new session: a tenant with quota debt may find no capacity where
/// another one does.
#[test]
fn a_migration_finds_capacity_within_its_tenants_quota_only() {
    let mut harness = shared_fleet([0.5, 0.5]);
    let loud = fill(&mut harness, 0..1000, LOUD);
    let quiet = fill(&mut harness, 1000..2000, QUIET);
    assert!(
        loud.len() > 100 && quiet.len() > 1,
        "{} {}",
        loud.len(),
        quiet.len()
    );
    for (id, server) in &loud[..12] {
        harness.finish_attempt(*id, 0, *server, Outcome::Success);
    }
    let migrates = |harness: &mut DirectorHarness, id: u64| {
        let out = harness.handle(Event::MigrationRequested(SessionId(id)));
        out.iter().any(|a| matches!(a, Action::Migrate { .. }))
    };
    assert!(
        !migrates(&mut harness, loud.last().unwrap().0),
        "the released capacity is reserved for the tenant with less debt"
    );
    assert!(migrates(&mut harness, quiet[0].0));
}
