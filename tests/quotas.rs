//! Tenants: quotas of the fleet, fleets of their own, terms that change while sessions play.

mod common;

use common::{
    AT_MOST_ONCE, DirectorHarness, IDEMPOTENT, MILLISECOND, endpoint, settings, viewer_request,
};
use shalewall::{
    Action, ClassSettings, Endpoint, EndpointState, EndpointUpdate, Event, Idempotency, Outcome,
    Request, ServerId, SessionId, TenantSettings,
};

const LOUD: usize = 0;
const QUIET: usize = 1;

/// Two tenants with these quotas; every server is warm and its link's capacity is known.
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

/// One viewer of a tenant asks; where it was sent, and at which rung.
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
    // What is asked of each link is what this director asks: it hears so with the set-up.
    Some((sent, rung.expect("a rung before the set-up")))
}

/// Viewers of a tenant come one after the other until one is rejected; those that play.
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
fn a_returning_tenant_finds_capacity_at_once_and_then_all_that_ends() {
    let mut harness = shared_fleet([0.5, 0.5]);
    let loud = fill(&mut harness, 0..1000, LOUD);
    assert!(
        loud.len() > 150,
        "it may have all that nobody else wants: {}",
        loud.len()
    );
    // There is capacity before anything of the other has ended.
    let quiet = fill(&mut harness, 1000..2000, QUIET);
    assert!((2..20).contains(&quiet.len()), "{}", quiet.len());
    // Both ask for all that comes free. The one in debt gets none of it until the other has its quota.
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
fn both_tenants_come_to_their_quotas_whoever_was_first() {
    for quotas in [[0.5, 0.5], [0.8, 0.2], [0.2, 0.8]] {
        let mut harness = shared_fleet(quotas);
        let mut playing: std::collections::VecDeque<(u64, ServerId, usize)> =
            fill(&mut harness, 0..1000, LOUD)
                .into_iter()
                .map(|(id, s)| (id, s, LOUD))
                .collect();
        let mut next = 1000;
        // Sessions end in the order in which they came; both want more than there is.
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
            "quota {} came to {quiet}",
            quotas[QUIET]
        );
    }
}

#[test]
fn a_tenant_of_less_debt_is_not_downgraded_for_one_of_more() {
    let mut harness = shared_fleet([0.5, 0.5]);
    // The quiet one's sessions play at the top on a fleet that is otherwise full of the loud one's.
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
fn without_quotas_tenants_change_nothing() {
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
fn a_request_goes_to_its_own_fleet_alone() {
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
    // Nothing of its own that is up: rejected, never sent to the others'.
    let gone = |id| Endpoint {
        fleet: 1,
        state: EndpointState::Draining,
        ..endpoint(id)
    };
    harness.update_endpoints(EndpointUpdate::Delta, (3..=4).map(gone).collect());
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
fn new_lowest_rungs_hold_from_then_on_and_playing_sessions_keep_theirs() {
    let mut harness = DirectorHarness::new(settings(), 4);
    let sent = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::StartAttempt { server, .. } => Some(*server),
            _ => None,
        })
    };
    let server = sent(&harness.request_session(1, AT_MOST_ONCE)).expect("there is capacity");
    // The same class on new terms has an index of its own; an attempt that is out stays what it was.
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
        "at most once, and may have run"
    );
    let actions = harness.request_session(2, 2);
    assert!(sent(&actions).is_some());
    for a in actions {
        assert!(!matches!(a, Action::SetRung { rung: 0..3, .. }), "{a:?}");
    }
    // Seats are of the title, whatever the index of its class: two more, and no third.
    assert!(sent(&harness.request_session(3, AT_MOST_ONCE)).is_some());
    assert!(sent(&harness.request_session(4, 2)).is_some());
    assert!(
        sent(&harness.request_session(5, AT_MOST_ONCE)).is_none()
            && sent(&harness.request_session(6, 2)).is_none()
    );
}

/// Capacity for a migration is the same as for a new session: a tenant in debt finds none where another does.
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
        "what came free is for the tenant of less debt"
    );
    assert!(migrates(&mut harness, quiet[0].0));
}
